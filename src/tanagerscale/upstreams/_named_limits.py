"""Rate limits that upstreams name in their responses."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from typing import Final
from typing import final

from msgspec import Struct
from msgspec.structs import replace
from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger

MAX_RATE_PER_S: Final = 10_000.0
"""Limits above this exceed the requests of all hosts together, so they have no effect."""

RETENTION_MS: Final = 600_000
"""How long a limit is kept without a response; the upstream has restarted or is gone by then."""

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
    """Tracks the rate limits that upstreams name, from the responses to all hosts.

    Responses overtake each other, and those of other hosts are known later. A response counts if
    the upstream has certainly written it after the one known so far; if that is open, the lower
    limit counts until a request that is sent later is answered.

    :param clock: Source of the current time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._observations: dict[UpstreamId, RateObservation] = {}
        self._known_since: dict[UpstreamId, Millis] = {}
        self._rejected: set[UpstreamId] = set()
        self._changes: Subject[UpstreamId] = Subject()
        self._heard: Subject[UpstreamId] = Subject()

    @property
    def changes(self) -> Observable[UpstreamId]:
        """Emits each upstream whose limit has begun, changed or ended."""
        return self._changes

    @property
    def heard(self) -> Observable[UpstreamId]:
        """Emits each upstream whose response to this host has named a limit or ended one."""
        return self._heard

    @property
    def limited(self) -> list[UpstreamId]:
        """The upstreams with a limit."""
        return list(self._known_since)

    def observation(self, upstream: UpstreamId) -> RateObservation:
        """Return what is known of the limit of an upstream that has named one."""
        return self._observations[upstream]

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
        if not named and (not is_success or upstream not in self._observations):
            return
        lowest = min(rates, default=None)
        was_limited = upstream in self._known_since
        self.record(
            RateObservation(
                upstream=upstream,
                rate_per_s=None if lowest is None or lowest > MAX_RATE_PER_S else lowest,
                sent_at=sent_at,
                received_at=self._clock.now(),
            )
        )
        if was_limited or upstream in self._known_since:
            self._heard.on_next(upstream)

    def record(self, observation: RateObservation) -> None:
        """Record what a response to any host says of the limit of its upstream."""
        upstream = observation.upstream
        known = self._observations.get(upstream)
        if known is None and observation.rate_per_s is None:
            return
        before_per_s = None if known is None else known.rate_per_s
        current = observation if known is None else _combine(known, observation)
        self._observations[upstream] = current
        rate_per_s = current.rate_per_s
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
            if before_per_s is None:
                self._known_since[upstream] = self._clock.now()
                self._forget_old()
            _log.info(
                "An upstream names a rate limit.",
                upstream=upstream,
                rate_per_s=rate_per_s,
                before_per_s=before_per_s,
            )
        self._changes.on_next(upstream)

    def _forget_old(self) -> None:
        """End the limits of upstreams that have responded to nobody for long."""
        oldest = self._clock.now() - RETENTION_MS
        for upstream, observation in list(self._observations.items()):
            if observation.received_at >= oldest:
                continue
            self._rejected.discard(upstream)
            if self._known_since.pop(upstream, None) is None:
                del self._observations[upstream]
            else:
                self._observations[upstream] = replace(observation, rate_per_s=None)
                self._changes.on_next(upstream)

    def _log_rejected(self, upstream: UpstreamId) -> None:
        if upstream not in self._rejected:
            self._rejected.add(upstream)
            _log.info("An upstream names a rate limit that is no number.", upstream=upstream)


def _combine(known: RateObservation, other: RateObservation) -> RateObservation:
    """Return which of two observations of one upstream counts."""
    if other.sent_at >= known.received_at:
        return other
    if known.sent_at >= other.received_at:
        return known
    if known.rate_per_s == other.rate_per_s:
        return replace(
            known,
            sent_at=max(known.sent_at, other.sent_at),
            received_at=max(known.received_at, other.received_at),
        )
    return min(known, other, key=_rate_or_infinity)


def _rate_or_infinity(observation: RateObservation) -> float:
    return inf if observation.rate_per_s is None else observation.rate_per_s
