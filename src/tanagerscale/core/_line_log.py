"""Logging of JSON lines to a file descriptor without blocking the process."""

from __future__ import annotations

from collections import deque
import contextlib
import fcntl
import os
import select
import stat
import sys
import termios
from typing import Any
from typing import final

import logbook
import msgspec

from tanagerscale.core._clock import MS_PER_SECOND
from tanagerscale.core._clock import Clock

MAX_LINE_BYTES = 4096
"""PIPE_BUF: writes to a pipe of up to this size are atomic, so no line is split."""

FLUSH_TIMEOUT_MS = 100
"""Longest wait for the reader of the log as a process ends."""

MAX_VALUE_CHARS = 200
"""Length to which each text of an oversized line is truncated; a line has about fifteen fields."""

MAX_ODD_VALUE_CHARS = 20
"""As above, if it is still too long, as a character may take six bytes."""

MAX_KEPT_LINES = 256
"""Warnings that are kept while the pipe is full, at most 1 MB."""

PIPE_BYTES = 262_144
"""Size to which the pipe is set; the default is 64 KB."""

RESERVED_RATIO = 0.75
"""Part of the pipe that only warnings may use. A reader that reads once a second finds the lines of
the last second there, also after the process has ended."""

_encoder = msgspec.json.Encoder(enc_hook=str)


@final
class JsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Log handler that writes one JSON object per line, limits their rate and never blocks.

    Lines that exceed the rate limit or do not fit into a full pipe are dropped. The next line that
    is written reports how many were dropped, in its field ``lines_left_out``. Warnings and more
    severe lines are exempt from the limit, have a part of the pipe for themselves, and are kept for
    a while if the pipe is full.

    :param descriptor: File descriptor to write to; it is set to non-blocking mode.
    :param host: Id of this host, included in each line.
    :param lines_per_s: Maximum number of lines per second.
    :param clock: Clock for the timestamps and the rate limit.
    :param level: Minimum level of the lines that are written.
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
        self._info_bytes = _enlarge_pipe(descriptor)
        self._host = host
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._current_second = 0
        self._lines_in_second = 0
        self._unreported_lines = 0
        """Dropped lines that no written or kept line reports."""
        self.dropped_lines = 0
        """Number of lines that were dropped since the start."""
        self._kept_lines: deque[tuple[bytes, int]] = deque()
        """Lines that wait, and how many dropped ones each of them reports."""

    def set_limit(self, *, lines_per_s: int) -> None:
        """Change the rate limit.

        :param lines_per_s: Maximum number of lines per second.
        """
        self._lines_per_s = lines_per_s

    def emit(self, record: Any) -> None:
        """Write one record, or drop it if it exceeds the rate limit."""
        now = self._clock.now()
        is_severe = record.level >= logbook.WARNING
        is_within_limit = self._is_within_limit(now)
        if not is_severe and not (is_within_limit and self._has_space_for_info()):
            self._drop()
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
        if self._unreported_lines:
            line["lines_left_out"] = self._unreported_lines
        encoded = _encode(line)
        if self._write_kept_lines() and self._write(encoded):
            self._unreported_lines = 0
        elif is_severe:
            self._keep(encoded)
        else:
            # A slow or closed reader loses log lines but does not delay requests.
            self._drop()

    def flush(self, *, timeout_ms: int = FLUSH_TIMEOUT_MS) -> None:
        """Write the lines that were kept, waiting for the reader; called as the process ends.

        :param timeout_ms: Longest wait in milliseconds.
        """
        writable = select.poll()
        writable.register(self._descriptor, select.POLLOUT)
        ends_at = self._clock.now() + timeout_ms
        while not self._write_kept_lines():
            left_ms = ends_at - self._clock.now()
            if left_ms <= 0 or _is_closed(writable.poll(left_ms)):
                return

    def _write_kept_lines(self) -> bool:
        """Write the lines that were kept; return whether none is left."""
        while self._kept_lines and self._write(self._kept_lines[0][0]):
            self._kept_lines.popleft()
        return not self._kept_lines

    def _keep(self, encoded: bytes) -> None:
        """Keep a line until the pipe has space, instead of the oldest one if there are too many."""
        self._kept_lines.append((encoded, self._unreported_lines))
        self._unreported_lines = 0
        if len(self._kept_lines) > MAX_KEPT_LINES:
            # The latest lines name the requests that are cut as the process ends.
            _, reported_lines = self._kept_lines.popleft()
            self._unreported_lines = reported_lines
            self._drop()

    def _drop(self) -> None:
        self._unreported_lines += 1
        self.dropped_lines += 1

    def _write(self, encoded: bytes) -> bool:
        try:
            os.write(self._descriptor, encoded)
        except OSError:
            return False
        return True

    def _has_space_for_info(self) -> bool:
        """Return whether the pipe has space beside the part that is reserved for warnings."""
        if self._info_bytes is None:
            return True
        unread = fcntl.ioctl(self._descriptor, termios.FIONREAD, bytes(4))
        return int.from_bytes(unread, sys.byteorder) < self._info_bytes

    def _is_within_limit(self, now: int) -> bool:
        second = now // MS_PER_SECOND
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= self._lines_per_s


def _enlarge_pipe(descriptor: int) -> int | None:
    """Enlarge a pipe; return the bytes that lines other than warnings may fill, if it is a pipe."""
    if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
        return None
    with contextlib.suppress(OSError):
        fcntl.fcntl(descriptor, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    return int(fcntl.fcntl(descriptor, fcntl.F_GETPIPE_SZ) * (1 - RESERVED_RATIO))


def _is_closed(events: list[tuple[int, int]] | None) -> bool:
    """Return whether nobody reads a pipe any more."""
    return any(event & (select.POLLERR | select.POLLHUP) for _, event in events or ())


def _encode(line: dict[str, Any]) -> bytes:
    """Return a line as JSON; one that is too long is truncated so that it stays valid."""
    try:
        encoded = _encoder.encode(line) + b"\n"
    except UnicodeEncodeError:
        # Header fields of callers may hold bytes that are not UTF-8.
        line = {name: _escape(value) for name, value in line.items()}
        encoded = _encoder.encode(line) + b"\n"
    for max_chars in (MAX_VALUE_CHARS, MAX_ODD_VALUE_CHARS):
        if len(encoded) > MAX_LINE_BYTES:
            encoded = _encoder.encode(_truncate(line, max_chars)) + b"\n"
    return encoded


def _truncate(line: dict[str, Any], max_chars: int) -> dict[str, Any]:
    """Return a line with its long texts and lists truncated."""
    return {
        name: str(value)[:max_chars] if isinstance(value, str | list | dict) else value
        for name, value in line.items()
    }


def _escape(value: object) -> object:
    """Return a text, list or object as text that can be encoded."""
    if not isinstance(value, str | list | dict):
        return value
    return str(value).encode(errors="backslashreplace").decode()


def set_up_json_lines_log(
    *, descriptor: int, host: str, lines_per_s: int, clock: Clock
) -> JsonLinesHandler:
    """Install a handler that writes all log records to a file descriptor as JSON lines.

    :param descriptor: File descriptor to write to, usually standard output.
    :param host: Id of this host.
    :param lines_per_s: Maximum number of lines per second.
    :param clock: Clock for the timestamps and the rate limit.
    :returns: The installed handler.
    """
    handler = JsonLinesHandler(
        descriptor=descriptor, host=host, lines_per_s=lines_per_s, clock=clock
    )
    handler.push_application()
    return handler
