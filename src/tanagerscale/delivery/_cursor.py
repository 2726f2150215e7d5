"""Cursors: opaque signed positions in a generation.

A caller that lost its connection shows its last cursor to any host and goes on with the same
generation. The cursor holds all that the host needs, since hosts keep nothing for one another.
Its text is ``BINDING.OFFSET.CHECKSUM.MAC``: the binding is the part that one attempt's cursors
share, so that one token costs only the short rest.
"""

from __future__ import annotations

from base64 import urlsafe_b64decode
from base64 import urlsafe_b64encode
from hashlib import blake2b
import hmac
from typing import final

import msgspec
from msgspec import Struct

MAC_BYTES = 12
MAX_CURSOR_CHARS = 1024
CHECKSUM_FORMAT = "08x"


@final
class CursorBinding(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What all cursors of one attempt share.

    :param request: Request id that the caller knows.
    :param account: Client account that may use it.
    :param attempt: Attempt that runs on the engine.
    :param engine: Upstream id of the engine.
    :param host: Host that follows the attempt.
    :param model: Model asked for.
    :param chat: Whether the answer is shaped as a chat.
    :param seed: Seed of all its attempts.
    :param fingerprint: Recognises the body that asked for it.
    """

    request: str
    account: str
    attempt: str
    engine: str
    host: str
    model: str
    chat: bool
    seed: int
    fingerprint: str


class Cursor(Struct, frozen=True, kw_only=True):
    """A verified position.

    :param binding: The attempt it belongs to.
    :param offset: Tokens delivered before it.
    :param checksum: Running CRC-32 of the delivered text.
    """

    binding: CursorBinding
    offset: int
    checksum: int


@final
class CursorSigner:
    """Makes the cursors of one attempt.

    :param key: The installation's cursor key.
    :param binding: The attempt.
    """

    def __init__(self, *, key: bytes, binding: CursorBinding) -> None:
        encoded = urlsafe_b64encode(msgspec.msgpack.encode(binding)).rstrip(b"=")
        self._prefix = encoded + b"."
        self._mac = _mac_start(key, self._prefix)

    def sign(self, *, offset: int, checksum: int) -> bytes:
        """Return the cursor behind a token.

        :param offset: Tokens delivered so far.
        :param checksum: Running checksum of their text.
        """
        position = b"%d.%08x." % (offset, checksum)
        mac = self._mac.copy()
        mac.update(position)
        return self._prefix + position + mac.hexdigest().encode()


def verify_cursor(*, key: bytes, text: str) -> Cursor | None:
    """Return the position a cursor stands for.

    :param key: The installation's cursor key.
    :param text: What the caller sent.
    :returns: The position, or ``None`` when the cursor was not made with this key.
    """
    parts = text.split(".")
    if len(text) > MAX_CURSOR_CHARS or len(parts) != 4 or not text.isascii():
        return None
    encoded, offset, checksum, mac = parts
    expected = _mac_start(key, f"{encoded}.".encode())
    expected.update(f"{offset}.{checksum}.".encode())
    if not hmac.compare_digest(expected.hexdigest(), mac):
        return None
    # The MAC proves that this installation wrote the rest, so it can be read without fear.
    padding = "=" * (-len(encoded) % 4)
    binding = msgspec.msgpack.decode(urlsafe_b64decode(encoded + padding), type=CursorBinding)
    return Cursor(binding=binding, offset=int(offset), checksum=int(checksum, 16))


def _mac_start(key: bytes, prefix: bytes) -> blake2b:
    return blake2b(prefix, key=key[: blake2b.MAX_KEY_SIZE], digest_size=MAC_BYTES)
