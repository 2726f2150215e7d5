"""Incremental parser for the server-sent events of a stream."""

from __future__ import annotations

from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.policy import ByteAccount

EVENT_DELIMITER: Final = b"\n\n"
ID_FIELD: Final = b"id:"

MAX_EVENT_BYTES: Final = 4 * 1024 * 1024
"""Maximum size of an event; a longer one is treated as missing its end."""


class Event(Struct, frozen=True):
    """One event.

    :param number: Its id.
    :param content: Its bytes, including the empty line at the end.
    """

    number: int
    content: bytes


class EventError(Exception):
    """The bytes are not a stream of numbered events."""


class EventSizeError(EventError):
    """An event is too large, or the host has not enough memory for it."""


@final
class EventBuffer:
    """Collects the bytes of a stream until they end an event.

    :param account: Account of what the host holds; ``None`` for none.
    :param peer: Address of the process that sends the stream.
    """

    def __init__(self, *, account: ByteAccount | None = None, peer: str = "") -> None:
        # Parts are not joined before the event ends; a buffer that grows fragments the memory.
        self._parts: list[bytes] = []
        self._size = 0
        self._holding = (account or ByteAccount()).open(peer=peer, on_failure=self._drop)

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete event is buffered, and none was given up."""
        return not self._parts and not self._holding.has_failed

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes and return the events that are now complete.

        :raises EventSizeError: An event has no end, or the host has not enough memory for it.
        """
        if self._holding.has_failed:
            raise EventSizeError("The memory is used up by events without an end.")
        end = self._find_end(chunk)
        complete = b"".join((*self._parts, chunk[:end])) if end else b""
        if end:
            self._drop()
        if end < len(chunk):
            self._parts.append(chunk[end:])
            self._size += len(chunk) - end
        if self._size > MAX_EVENT_BYTES:
            raise EventSizeError("An event has no end; choose another engine.")
        self._holding.resize(self._size)
        return complete

    def close(self) -> None:
        """Give up the rest."""
        self._drop()
        self._holding.resize(0)

    def _find_end(self, chunk: bytes) -> int:
        """Return how many bytes of a chunk belong to complete events."""
        end = chunk.rfind(EVENT_DELIMITER)
        if end >= 0:
            return end + len(EVENT_DELIMITER)
        is_delimiter_split = chunk[:1] == b"\n" and self._parts and self._parts[-1][-1:] == b"\n"
        return 1 if is_delimiter_split else 0

    def _drop(self) -> None:
        self._parts = []
        self._size = 0


@final
class EventReader:
    """Splits a byte stream into complete events and buffers the rest.

    :param account: Account of what the host holds; ``None`` for none.
    :param peer: Address of the process that sends the stream.
    """

    def __init__(self, *, account: ByteAccount | None = None, peer: str = "") -> None:
        self._buffer = EventBuffer(account=account, peer=peer)

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete event is buffered."""
        return self._buffer.is_empty

    def feed(self, chunk: bytes) -> list[Event]:
        """Add bytes and return the events that are now complete.

        :raises EventError: An event has no id or no end, or the host has not enough memory for it.
        """
        complete = self._buffer.feed(chunk)
        if not complete:
            return []
        return [
            Event(_parse_event_id(text), text + EVENT_DELIMITER)
            for text in complete[: -len(EVENT_DELIMITER)].split(EVENT_DELIMITER)
        ]

    def close(self) -> None:
        """Give up the rest."""
        self._buffer.close()


def _parse_event_id(text: bytes) -> int:
    for line in text.split(b"\n"):
        if line.startswith(ID_FIELD):
            try:
                return int(line[len(ID_FIELD) :])
            except ValueError:
                break
    raise EventError("An event has no number; choose another engine.")
