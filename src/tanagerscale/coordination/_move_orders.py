"""What a decider keeps of the orders that it has sent to move runs."""

from __future__ import annotations

from collections import Counter
from typing import Final

from msgspec import Struct
from msgspec import field

from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.policy import Move

TARGET_EXCLUSION_MS: Final = 200
"""How long an engine that did not take a run gets no order for it; doubles with each failure.
Engines leave about two seconds after their notice."""


class PendingOrder(Struct, kw_only=True):
    """An order that its host is executing.

    :param host: Host that owns the run.
    :param service: Service of the run.
    :param move: The ordered move.
    :param expires_at: When the order counts as ended.
    """

    host: HostId
    service: ServiceId
    move: Move
    expires_at: Millis

    @property
    def engines(self) -> set[UpstreamId]:
        """The engines whose links the order uses."""
        return {self.move.run.engine, self.move.target}


class MoveAttempts(Struct, kw_only=True):
    """Results of the orders for one run on one engine.

    :param engine: Engine of the run.
    :param has_copy_failed: Whether its last copy failed.
    :param retry_at: When the next order may be sent.
    """

    engine: UpstreamId
    has_copy_failed: bool = False
    retry_at: Millis = Millis(0)
    _failures: Counter[UpstreamId] = field(default_factory=Counter)
    _excluded_until: dict[UpstreamId, Millis] = field(default_factory=dict)

    def record_failure(self, *, target: UpstreamId, now: Millis) -> None:
        """Exclude an engine that did not take the run, for longer after each failure."""
        for_ms = TARGET_EXCLUSION_MS * 2 ** self._failures[target]
        self._failures[target] += 1
        self._excluded_until[target] = Millis(now + for_ms)

    def excluded(self, *, now: Millis) -> frozenset[UpstreamId]:
        """Return the engines that get no order now."""
        return frozenset(target for target, until in self._excluded_until.items() if now < until)
