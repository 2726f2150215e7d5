"""Cursors: opaque signed positions in a generation.

A caller that lost its connection sends its last cursor to any host and resumes the same generation.
The cursor contains all the state that the host needs, since hosts store none for one another.
Its text is ``BINDING.OFFSET.CHECKSUM.MAC``. All cursors of one attempt share the binding, so that
only the short rest is computed for each token.
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
    """The part that all cursors of one attempt share.

    :param request: Request id that the caller knows.
    :param account: Client account that may use the cursor.
    :param attempt: Id of the attempt that runs on the engine.
    :param engine: Upstream id of the engine.
    :param host: Host that relays the attempt.
    :param model: Requested model.
    :param chat: Whether the response has the format of a chat completion.
    :param seed: Seed of all attempts of the request.
    :param fingerprint: Identifies the body of the request.
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
    """A verified position in a generation.

    :param binding: The attempt that the position belongs to.
    :param offset: Number of tokens delivered before the position.
    :param checksum: Running CRC-32 of the delivered text.
    """

    binding: CursorBinding
    offset: int
    checksum: int


@final
class CursorSigner:
    """Signs the cursors of one attempt.

    :param key: The installation's cursor key.
    :param binding: The attempt that the cursors belong to.
    """

    def __init__(self, *, key: bytes, binding: CursorBinding) -> None:
        encoded = urlsafe_b64encode(msgspec.msgpack.encode(binding)).rstrip(b"=")
        self._prefix = encoded + b"."
        self._mac = _start_mac(key, self._prefix)

    def sign(self, *, offset: int, checksum: int) -> bytes:
        """Return the cursor for the position after the last delivered token.

        :param offset: Number of tokens delivered so far.
        :param checksum: Running CRC-32 of their text.
        """
        position = b"%d.%08x." % (offset, checksum)
        mac = self._mac.copy()
        mac.update(position)
        return self._prefix + position + mac.hexdigest().encode()


def verify_cursor(*, key: bytes, text: str) -> Cursor | None:
    """Verify a cursor and return its position.

    :param key: The installation's cursor key.
    :param text: Cursor as sent by the caller.
    :returns: The position, or ``None`` if the cursor was not signed with this key.
    """
    parts = text.split(".")
    if len(text) > MAX_CURSOR_CHARS or len(parts) != 4 or not text.isascii():
        return None
    encoded, offset, checksum, mac = parts
    expected = _start_mac(key, f"{encoded}.".encode())
    expected.update(f"{offset}.{checksum}.".encode())
    if not hmac.compare_digest(expected.hexdigest(), mac):
        return None
    # The MAC proves that this installation created the cursor, so decoding the rest is safe.
    padding = "=" * (-len(encoded) % 4)
    binding = msgspec.msgpack.decode(urlsafe_b64decode(encoded + padding), type=CursorBinding)
    return Cursor(binding=binding, offset=int(offset), checksum=int(checksum, 16))


def _start_mac(key: bytes, prefix: bytes) -> blake2b:
    return blake2b(prefix, key=key[: blake2b.MAX_KEY_SIZE], digest_size=MAC_BYTES)
