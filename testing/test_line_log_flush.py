"""The log handler's last lines never keep the process from ending."""

from __future__ import annotations

from itertools import count
import os
import select

import pytest

from tanagerscale.core import Clock
from tanagerscale.core import JsonLinesHandler
from tanagerscale.core import Millis
from tanagerscale.core import get_logger

TIMEOUT_MS = 100
LINES = 5000

log = get_logger(part="part")


class _Poll:
    """Records how long it is to wait, and doesn't."""

    def __init__(self) -> None:
        self.timeouts: list[int] = []

    def register(self, descriptor: int, events: int) -> None:
        """Do nothing."""

    def poll(self, timeout: int) -> None:
        """Record a wait."""
        self.timeouts.append(timeout)


# Guards against a process that doesn't end since nobody reads its log: a negative timeout of poll
# has no end, and the time can run out between the two looks at the clock.
def test_flush_never_waits_without_end(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, writer = os.pipe()
    poll = _Poll()
    monkeypatch.setattr(select, "poll", lambda: poll)
    monkeypatch.setattr(Clock, "now", lambda _: Millis(0))
    with JsonLinesHandler(descriptor=writer, host="h", lines_per_s=LINES, clock=Clock()) as handler:
        for number in range(LINES):
            log.warning("Cut.", number=number)
        times = count(step=TIMEOUT_MS - 1)
        monkeypatch.setattr(Clock, "now", lambda _: Millis(next(times)))
        handler.flush(timeout_ms=TIMEOUT_MS)
        assert poll.timeouts
    os.close(reader)
    os.close(writer)
    assert all(timeout >= 0 for timeout in poll.timeouts), poll.timeouts
