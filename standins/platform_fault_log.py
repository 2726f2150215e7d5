"""Record of the faults that a soak run on the platform injected, against which it is judged."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import final

from tanagerscale.core import Clock


@unique
class FaultKind(Enum):
    """What happened to a host, an upstream or the store."""

    HOST_START = "host started"
    HOST_STOP = "host got SIGTERM"
    HOST_KILL = "host got SIGKILL"
    HOST_FREEZE = "host frozen"
    HOST_RELOAD = "host got SIGHUP"
    HOST_EXIT = "host ended by itself"
    STORE = "store disturbed"
    CONFIGURATION = "configuration changed"
    UPSTREAM = "upstream broken"
    LEAVING = "upstream leaving"
    REFUSAL = "upstream full"
    LIMIT = "upstream names a rate limit"
    CUT = "host cut off from all upstreams"
    PART = "part of prompts crashes upstreams"
    NOTICE = "store acknowledged that an upstream leaves"
    WATCHES = "watches of the store lost"
    KEY = "key of an account valid"
    SECOND_ANSWERS = "upstream sends answers again"
    CROWD = "most new connections go to one host"


@dataclass(slots=True)
class Fault:
    """A fault at one target, with its monotonic times.

    :param kind: What happened.
    :param target: Name of the host or upstream; empty for all.
    :param detail: Further description.
    :param began: When it began.
    :param ended: When it ended; ``None`` while it lasts.
    """

    kind: FaultKind
    target: str
    detail: str
    began: int
    ended: int | None = None


@final
class FaultLog:
    """All faults in the order in which they began."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self._clock = Clock()

    @contextmanager
    def lasting(self, kind: FaultKind, target: str = "", *, detail: str = "") -> Iterator[Fault]:
        """Record a fault that lasts as long as the context."""
        fault = Fault(kind, target, detail, self._clock.now())
        self.faults.append(fault)
        try:
            yield fault
        finally:
            fault.ended = self._clock.now()

    def note(self, kind: FaultKind, target: str) -> None:
        """Record a fault without duration."""
        with self.lasting(kind, target):
            pass

    def find(
        self, target: str, kinds: frozenset[FaultKind], *, began: int, ended: int
    ) -> list[Fault]:
        """Return the faults of some kinds at a target that overlap a period."""
        return [
            fault
            for fault in self.faults
            if fault.target == target
            and fault.kind in kinds
            and fault.began <= ended
            and (fault.ended is None or fault.ended >= began)
        ]
