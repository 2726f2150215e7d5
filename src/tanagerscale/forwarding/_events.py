"""Incremental parser for the server-sent events of a stream."""

from __future__ import annotations

from typing import Final
from typing import final

from msgspec import Struct

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


@final
class EventReader:
    """Splits a byte stream into complete events and buffers the rest."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._rest

    def feed(self, chunk: bytes) -> list[Event]:
        """Add bytes and return the events that are now complete.

        :raises EventError: An event has no id or no end.
        """
        self._rest += chunk
        end = self._rest.rfind(EVENT_DELIMITER)
        if end < 0:
            if len(self._rest) > MAX_EVENT_BYTES:
                raise EventError("An event has no end; choose another engine.")
            return []
        complete = bytes(self._rest[: end + len(EVENT_DELIMITER)])
        del self._rest[: end + len(EVENT_DELIMITER)]
        return [
            Event(_parse_event_id(text), text + EVENT_DELIMITER)
            for text in complete[: -len(EVENT_DELIMITER)].split(EVENT_DELIMITER)
        ]


def _parse_event_id(text: bytes) -> int:
    for line in text.split(b"\n"):
        if line.startswith(ID_FIELD):
            try:
                return int(line[len(ID_FIELD) :])
            except ValueError:
                break
    raise EventError("An event has no number; choose another engine.")
