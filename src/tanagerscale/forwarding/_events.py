"""Whole events of a stream, cut from the bytes as they arrive."""

from __future__ import annotations

from typing import Final
from typing import final

from msgspec import Struct

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"

MAX_EVENT_BYTES: Final = 4 * 1024 * 1024
"""An event that grows beyond this has lost its end."""


class Event(Struct, frozen=True):
    """One event.

    :param number: Its id.
    :param content: Its bytes, the empty line included.
    """

    number: int
    content: bytes


class EventError(Exception):
    """Bytes that are no stream of numbered events."""


@final
class EventReader:
    """Cuts bytes into whole events and keeps the rest until more arrives."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether no part of an event is waiting for its end."""
        return not self._rest

    def feed(self, chunk: bytes) -> list[Event]:
        """Take in bytes and return the events they complete.

        :raises EventError: An event has no id or no end.
        """
        self._rest += chunk
        end = self._rest.rfind(EVENT_END)
        if end < 0:
            if len(self._rest) > MAX_EVENT_BYTES:
                raise EventError("An event has no end; choose another engine.")
            return []
        whole = bytes(self._rest[: end + len(EVENT_END)])
        del self._rest[: end + len(EVENT_END)]
        return [
            Event(_number_of(text), text + EVENT_END)
            for text in whole[: -len(EVENT_END)].split(EVENT_END)
        ]


def _number_of(text: bytes) -> int:
    for line in text.split(b"\n"):
        if line.startswith(ID_FIELD):
            try:
                return int(line[len(ID_FIELD) :])
            except ValueError:
                break
    raise EventError("An event has no number; choose another engine.")
