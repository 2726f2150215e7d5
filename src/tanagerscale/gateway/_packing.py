"""Values on their way between hosts, compressed with a value that the receiver has.

The load it answers: a configuration of 28 routes and 40 accounts is 12 KB, and a change of one
account goes to 190 hosts, most of them in other failure domains. What differs is some hundred
bytes.
"""

from __future__ import annotations

import base64
import binascii
from typing import Final
import zlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

MOST_BYTES: Final = 4 * 1024 * 1024
"""Largest value that is read; the store holds a megabyte."""


def pack(value: bytes, *, known: bytes) -> str:
    """Return a value deflated, as text.

    :param value: The value.
    :param known: What the receiver has, or nothing.
    """
    packer = zlib.compressobj(level=9, zdict=known) if known else zlib.compressobj(level=9)
    return base64.b64encode(packer.compress(value) + packer.flush()).decode()


def unpack(text: bytes, *, known: bytes) -> Result[bytes, str]:
    """Return the value that ``pack`` was given.

    :param text: What it returned.
    :param known: What the receiver has, or nothing.
    """
    unpacker = zlib.decompressobj(zdict=known) if known else zlib.decompressobj()
    try:
        value = unpacker.decompress(base64.b64decode(text, validate=True), MOST_BYTES)
    except (binascii.Error, zlib.error) as error:
        return Failure(f"The value can't be read ({error}); ask for the whole of it.")
    if not unpacker.eof:
        return Failure("The value is cut or too large; ask for the whole of it.")
    return Success(value)
