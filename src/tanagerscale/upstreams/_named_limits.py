"""Rate limits that upstreams name in their responses."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from typing import final

from msgspec import Struct
from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger

MAX_RATE_PER_S: Final = 10_000.0
"""Limits above this exceed the requests of all hosts together, so they have no effect."""

_log = get_logger(part="limits")


class RateObservation(Struct, frozen=True, kw_only=True):
    """What a response says of the rate limit of its upstream.

    :param upstream: The incarnation that responded.
    :param rate_per_s: Requests a second that it takes from all hosts together; ``None`` if it names
        no limit.
    :param sent_at: When the request was sent.
    :param received_at: When the head of the response arrived; the upstream wrote it in between.
    """

    upstream: UpstreamId
    rate_per_s: float | None
    sent_at: Millis
    received_at: Millis


@final
class NamedLimits:
    """Tracks the rate limits that upstreams name, from the responses to this host.

    :param clock: Source of the current time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._observations: dict[UpstreamId, RateObservation] = {}
        self._known_since: dict[UpstreamId, Millis] = {}
        self._rejected: set[UpstreamId] = set()
        self._changes: Subject[UpstreamId] = Subject()

    @property
    def changes(self) -> Observable[UpstreamId]:
        """Emits each upstream whose limit has begun, changed or ended."""
        return self._changes

    @property
    def count(self) -> int:
        """Number of upstreams with a limit."""
        return len(self._known_since)

    def rate_per_s(self, upstream: UpstreamId) -> float | None:
        """Return the requests a second that an upstream takes; ``None`` if it has no limit."""
        observation = self._observations.get(upstream)
        return None if observation is None else observation.rate_per_s

    def known_ms(self, upstream: UpstreamId) -> int:
        """Return for how long this host has known of a limit; 0 if there is none."""
        now = self._clock.now()
        return now - self._known_since.get(upstream, now)

    def on_response(
        self,
        *,
        upstream: UpstreamId,
        named: Sequence[float | None],
        is_success: bool,
        sent_at: Millis,
    ) -> None:
        """Record what a response that has just arrived says of the limit of its upstream.

        :param upstream: The upstream.
        :param named: The rates that it names, in requests a second; ``None`` for a value that is no
            decimal number.
        :param is_success: Whether the request was executed; other responses can't end a limit.
        :param sent_at: When the request was sent.
        """
        rates = [rate for rate in named if rate is not None and rate > 0]
        if named and not rates:
            self._log_rejected(upstream)
            return
        if not named and not is_success:
            return
        lowest = min(rates, default=None)
        self.record(
            RateObservation(
                upstream=upstream,
                rate_per_s=None if lowest is None or lowest > MAX_RATE_PER_S else lowest,
                sent_at=sent_at,
                received_at=self._clock.now(),
            )
        )

    def record(self, observation: RateObservation) -> None:
        """Record what a response says of the limit of its upstream."""
        upstream, rate_per_s = observation.upstream, observation.rate_per_s
        before_per_s = self.rate_per_s(upstream)
        if rate_per_s is None and before_per_s is None:
            return
        self._observations[upstream] = observation
        if rate_per_s == before_per_s:
            return
        if rate_per_s is None:
            _log.info(
                "The rate limit of an upstream has ended.",
                upstream=upstream,
                before_per_s=before_per_s,
                known_ms=self.known_ms(upstream),
            )
            del self._known_since[upstream]
        else:
            self._known_since.setdefault(upstream, self._clock.now())
            _log.info(
                "An upstream names a rate limit.",
                upstream=upstream,
                rate_per_s=rate_per_s,
                before_per_s=before_per_s,
            )
        self._changes.on_next(upstream)

    def _log_rejected(self, upstream: UpstreamId) -> None:
        if upstream not in self._rejected:
            self._rejected.add(upstream)
            _log.info("An upstream names a rate limit that is no number.", upstream=upstream)
