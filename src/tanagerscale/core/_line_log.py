"""JSON log lines on a descriptor that never holds the process up."""

from __future__ import annotations

import os
from typing import Any
from typing import final

import logbook
import msgspec

from tanagerscale.core._clock import MS_PER_SECOND
from tanagerscale.core._clock import Clock

MOST_LINE_BYTES = 4096
"""A pipe takes as many bytes whole or not at all (PIPE_BUF), so no line is cut in two."""

MOST_VALUE_CHARS = 200
"""What is kept of each text in a line that would be too long; a line has about fifteen fields."""

_encoder = msgspec.json.Encoder(enc_hook=str)


@final
class LineLog(logbook.Handler):  # type: ignore[misc]
    """Writes one JSON object a line, at most so many a second, and never waits.

    Lines beyond the limit, and lines that a full pipe would not take, are counted and left out;
    the next line that goes through tells how many.

    :param descriptor: Where lines go; it is set to fail at once where it would block.
    :param host: Id of this host, which stands in each line.
    :param lines_per_s: Most lines a second; warnings and worse are not counted.
    :param clock: Time.
    :param level: The least severe line that is written.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        host: str,
        lines_per_s: int,
        clock: Clock,
        level: int = logbook.INFO,
    ) -> None:
        super().__init__(level=level)
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._host = host
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def set_limit(self, *, lines_per_s: int) -> None:
        """Replace the most lines a second."""
        self._lines_per_s = lines_per_s

    def emit(self, record: Any) -> None:
        """Write one record, unless it is one too many."""
        now = self._clock.now()
        if not self._has_room(now) and record.level < logbook.WARNING:
            self._left_out += 1
            return
        line: dict[str, Any] = {
            "t": now,
            "wall": self._clock.wall(),
            "host": self._host,
            "level": record.level_name.lower(),
            "part": record.channel,
            "message": record.message,
            **record.kwargs,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        if self._left_out:
            line["lines_left_out"] = self._left_out
        encoded = _encoder.encode(line) + b"\n"
        if len(encoded) > MOST_LINE_BYTES:
            encoded = _encoder.encode(_shortened(line)) + b"\n"
        try:
            os.write(self._descriptor, encoded)
            self._left_out = 0
        except OSError:
            # A reader that is slow or gone costs lines and never requests.
            self._left_out += 1

    def _has_room(self, now: int) -> bool:
        second = now // MS_PER_SECOND
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines <= self._lines_per_s


def _shortened(line: dict[str, Any]) -> dict[str, Any]:
    """Return a line whose long texts and lists are cut, so that it is read as JSON still."""
    return {
        name: str(value)[:MOST_VALUE_CHARS] if isinstance(value, str | list | dict) else value
        for name, value in line.items()
    }


def set_up_line_log(*, descriptor: int, host: str, lines_per_s: int, clock: Clock) -> LineLog:
    """Send all log lines to a descriptor.

    :param descriptor: Usually standard output.
    :param host: Id of this host.
    :param lines_per_s: Most lines a second.
    :param clock: Time.
    """
    handler = LineLog(descriptor=descriptor, host=host, lines_per_s=lines_per_s, clock=clock)
    handler.push_application()
    return handler
