"""Counts and logs what clients sent outside the limits."""

from __future__ import annotations

from collections import Counter as Tally
from enum import Enum
from enum import unique
from typing import Final
from typing import final

from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import get_logger

LOG_INTERVAL_MS: Final = 1000
"""A crowd of clients must not use up the lines of everything else."""

_log = get_logger(part="callers")


@unique
class InputProblem(Enum):
    """Why the input of a connection is refused, or the connection closed."""

    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TIMED_OUT = "head-timed-out"
    MALFORMED = "malformed"
    NO_DESCRIPTOR = "no-descriptor"


_STATUS_LINES: Final = {
    InputProblem.HEAD_TOO_LARGE: "431 Request Header Fields Too Large",
    InputProblem.HEAD_TIMED_OUT: "408 Request Timeout",
    InputProblem.MALFORMED: "400 Bad Request",
}


def encode_refusal(problem: InputProblem) -> bytes:
    """Return the response to input that is refused before it is a request.

    :param problem: The problem, which is not one of the host.
    """
    fields = "Content-Length: 0\r\nConnection: close\r\n\r\n"
    return f"HTTP/1.1 {_STATUS_LINES[problem]}\r\n{fields}".encode()


@final
class InputRefusals:
    """Counts refused input by its problem, and logs at most one line in an interval.

    :param clock: Source of the current time.
    :param registry: Registry that exports the metric.
    """

    def __init__(self, *, clock: Clock, registry: CollectorRegistry | None = None) -> None:
        self._clock = clock
        self._counter = Counter(
            "tanagerscale_refused_inputs",
            "Connections whose input was refused, by problem.",
            ["problem"],
            registry=registry,
        )
        self._logged: Millis | None = None
        self._since: Tally[str] = Tally()

    def record(self, problem: InputProblem, *, peer: str) -> None:
        """Count a problem.

        :param problem: The problem.
        :param peer: IP address of the client.
        """
        self._counter.labels(problem.value).inc()
        self._since[problem.value] += 1
        now = self._clock.now()
        if self._logged is not None and now - self._logged < LOG_INTERVAL_MS:
            return
        self._logged = now
        _log.info("Input of clients is refused.", problems=dict(self._since), last_peer=peer)
        self._since.clear()
