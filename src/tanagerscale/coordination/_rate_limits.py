"""Rate limits of upstreams, shared by all hosts.

An upstream may limit the requests that it takes from all hosts together: while it is warming, since
it is cold, or because it names a limit in its responses. A decider grants the requests to such an
upstream, from whichever source its limit comes.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import hashlib
from math import ceil
from math import inf
from typing import Final
from typing import Protocol
from typing import final

from msgspec import Struct

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import RequestClass
from tanagerscale.upstreams import NamedLimits

NAMED_BURST_MS: Final = 250
"""Requests of this time may be sent at once to an upstream that names a limit."""

MIN_NAMED_RATE_PER_S: Final = 0.1
"""Lowest rate of requests to an upstream that names a limit. Only its responses show that the limit
has ended."""

MAX_WAIT_MS: Final = 1000
"""Longest time ahead for which a request is permitted. When the decider changes, requests that the
previous one has permitted are added to those of the new one."""

OVERLOAD_MS: Final = 1000
"""Time after a refusal in which only requests are permitted that are answered in time. Otherwise
all of them would wait, and all would be late."""

MAX_DEBT_MS: Final = 4000
"""Requests that can't wait are counted against later ones, of this time at most."""

RESUME_OVERDRAFT: Final = 2.0
RESUME_OVERDRAFT_MS: Final = 500
"""Requests, and requests of this time, that runs which would be lost may take in advance."""

TURN_MS: Final = 2000
"""Time in which a refused class of requests goes before one that was served after it; at least two
requests take their turns."""

MIN_FORECAST_MS: Final = 50
MAX_FORECAST_MS: Final = 60_000
FORECAST_STEP: Final = 1.1
"""Bounds of the times that are told to refused requests, and the ratio between two of them."""

_DIGEST_BYTES: Final = 8
_DIGEST_RANGE: Final = 2 ** (8 * _DIGEST_BYTES)


class Rate(Struct, frozen=True, kw_only=True):
    """Limit of the requests to an upstream.

    :param per_s: Requests a second.
    :param burst: Requests that may be sent at once; at least one.
    :param overdraft: Requests of runs that would be lost that may be sent in advance.
    """

    per_s: float
    burst: float
    overdraft: float = 0.0


UNLIMITED: Final = Rate(per_s=inf, burst=inf)


class RateSource(Protocol):
    """Provides the limits of upstreams that have one cause."""

    def rate(self, upstream: UpstreamId) -> Rate | None:
        """Return the limit of an upstream; ``None`` if it has none."""


@final
class NamedRates:
    """Provides the limits that upstreams name in their responses.

    :param named: The limits as named.
    """

    def __init__(self, *, named: NamedLimits) -> None:
        self._named = named

    def rate(self, upstream: UpstreamId) -> Rate | None:
        """Return the limit that an upstream names; ``None`` if it names none."""
        named_per_s = self._named.rate_per_s(upstream)
        if named_per_s is None:
            return None
        per_s = max(named_per_s, MIN_NAMED_RATE_PER_S)
        return Rate(per_s=per_s, burst=max(per_s * NAMED_BURST_MS / MS_PER_SECOND, 1.0))


class Permit(Struct, frozen=True, kw_only=True):
    """Decision on one request to an upstream.

    :param may_send: Whether an upstream may get it.
    :param upstream: That upstream; empty if there is none.
    :param delay_ms: Time until it may be sent, or until one like it may be permitted.
    """

    may_send: bool
    upstream: UpstreamId = UpstreamId("")
    delay_ms: int = 0


class _Bucket(Struct, kw_only=True):
    """Requests that an upstream may get now.

    :param level: Number of requests; negative if requests are permitted in advance.
    :param refilled_at: Time up to which the level is computed.
    :param overloaded_at: When a request was last refused that could have waited.
    :param turns: When each class of requests was last served, as a count of all requests.
    :param refused_at: When each class was last refused.
    """

    level: float
    refilled_at: Millis
    overloaded_at: Millis | None = None
    served: int = 0
    turns: dict[RequestClass, int]
    refused_at: dict[RequestClass, Millis]


class _Offer(Struct, frozen=True, kw_only=True):
    """When an upstream may get a request.

    :param upstream: The upstream.
    :param rate: Its limit.
    :param bucket: Its bucket; ``None`` if it has no limit.
    :param delay_ms: Time until then.
    """

    upstream: UpstreamId
    rate: Rate
    bucket: _Bucket | None
    delay_ms: int = 0


@final
class RateLimits:
    """Grants requests to upstreams with rate limits, and counts them.

    A decider grants an upstream's rate multiplied by the fraction of all hosts that use this
    decider. Where many hosts decide for themselves alone, only some of them, selected by a hash,
    may send requests.

    :param host: This host.
    :param sources: The causes of limits; the lowest limit counts.
    :param share: Returns the fraction of all hosts that use this decider, between 0 and 1.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        host: HostId,
        sources: Sequence[RateSource],
        share: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._host = host
        self._sources = sources
        self._share = share
        self._clock = clock
        self._buckets: dict[UpstreamId, _Bucket] = {}

    def is_limited(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream currently accepts only a limited rate."""
        return self._total_rate(upstream) is not None

    def allows_resume(self, upstream: UpstreamId) -> bool:
        """Return whether a run may continue on an upstream now."""
        rate = self._rate(upstream)
        if rate is None:
            return True
        return not self._delay_ms(self._refill(upstream, rate), rate, RequestClass.RESUMED)

    def allows(self, upstream: UpstreamId, kind: RequestClass) -> bool:
        """Return whether an upstream may get a waiting request now.

        :param upstream: The upstream.
        :param kind: Class of the request; it is served in turn with the other classes.
        """
        rate = self._rate(upstream)
        if rate is None:
            return True
        bucket = self._refill(upstream, rate)
        is_allowed = bucket.level >= 1 and self._has_turn(bucket, rate, kind)
        if not is_allowed:
            bucket.refused_at[kind] = self._clock.now()
        return is_allowed

    def record(self, upstream: UpstreamId, kind: RequestClass) -> None:
        """Count a request that is sent to an upstream."""
        rate = self._rate(upstream)
        if rate is not None:
            self._take(self._refill(upstream, rate), rate, kind)

    def acquire(
        self,
        upstreams: Sequence[UpstreamId],
        kind: RequestClass,
        *,
        wait_ms: int = 0,
        prompt_ms: int = 0,
    ) -> Permit:
        """Permit and count one request if one of some upstreams may get it soon enough.

        :param upstreams: The upstreams in order of preference; at least one.
        :param kind: Class of the request.
        :param wait_ms: How long it may wait.
        :param prompt_ms: How long it may wait to be answered in time.
        """
        offers = [self._make_offer(upstream, kind) for upstream in upstreams]
        best = min(offers, key=lambda offer: offer.delay_ms)
        now = self._clock.now()
        if best.bucket is None or best.delay_ms <= self._max_wait_ms(best, wait_ms, prompt_ms):
            if best.bucket is not None:
                self._take(best.bucket, best.rate, kind)
            return Permit(may_send=True, upstream=best.upstream, delay_ms=best.delay_ms)
        for offer in offers:
            if offer.bucket is not None:
                offer.bucket.refused_at[kind] = now
                offer.bucket.overloaded_at = now if wait_ms else offer.bucket.overloaded_at
        return Permit(may_send=False, delay_ms=best.delay_ms)

    def count_until(self, upstreams: Sequence[UpstreamId], *, ms: int) -> int:
        """Return how many requests some limited upstreams may get within some time."""
        count = 0
        for upstream in upstreams:
            rate = self._rate(upstream)
            if rate is not None:
                level = self._refill(upstream, rate).level
                count += max(int(level + rate.per_s * ms / MS_PER_SECOND), 0)
        return count

    def forecast_ms(self, upstreams: Sequence[UpstreamId], *, ahead: int) -> int:
        """Return the time until some limited upstreams may get a request, within ten per cent.

        :param upstreams: The upstreams.
        :param ahead: Number of requests that wait for the same upstreams before it.
        """
        ms = MIN_FORECAST_MS
        while ms < MAX_FORECAST_MS and self.count_until(upstreams, ms=ms) <= ahead:
            ms = ceil(ms * FORECAST_STEP)
        return ms

    def _total_rate(self, upstream: UpstreamId) -> Rate | None:
        """Return the limit of an upstream over all hosts."""
        rates = [rate for source in self._sources if (rate := source.rate(upstream)) is not None]
        if not rates:
            self._buckets.pop(upstream, None)
            return None
        return Rate(
            per_s=min(rate.per_s for rate in rates), burst=min(rate.burst for rate in rates)
        )

    def _rate(self, upstream: UpstreamId) -> Rate | None:
        """Return the part of an upstream's limit that this decider grants."""
        total = self._total_rate(upstream)
        if total is None:
            return None
        share = self._share()
        selected = min(2 * share * max(total.per_s, 1.0), 1.0)
        if self._hash_fraction(upstream) >= selected:
            return Rate(per_s=0.0, burst=0.0)
        part = min(share / selected, 1.0)
        overdraft = RESUME_OVERDRAFT + total.per_s * RESUME_OVERDRAFT_MS / MS_PER_SECOND
        return Rate(
            per_s=total.per_s * part,
            burst=max(total.burst * part, 1.0),
            overdraft=overdraft * part,
        )

    def _refill(self, upstream: UpstreamId, rate: Rate) -> _Bucket:
        now = self._clock.now()
        bucket = self._buckets.get(upstream)
        if bucket is None:
            bucket = _Bucket(level=1.0, refilled_at=now, turns={}, refused_at={})
            self._buckets[upstream] = bucket
        refilled = bucket.level + rate.per_s * (now - bucket.refilled_at) / MS_PER_SECOND
        bucket.level = min(refilled, rate.burst)
        bucket.refilled_at = now
        return bucket

    def _take(self, bucket: _Bucket, rate: Rate, kind: RequestClass) -> None:
        bucket.level = max(bucket.level - 1, -rate.per_s * MAX_DEBT_MS / MS_PER_SECOND - 1)
        bucket.served += 1
        bucket.turns[kind] = bucket.served
        bucket.refused_at.pop(kind, None)

    def _has_turn(self, bucket: _Bucket, rate: Rate, kind: RequestClass) -> bool:
        """Return whether no class is waiting that was served longer ago than this one."""
        oldest = self._clock.now() - max(TURN_MS, 2 * _interval_ms(rate))
        turn = bucket.turns.get(kind, 0)
        return kind is RequestClass.RESUMED or not any(
            refused_at > oldest and bucket.turns.get(other, 0) < turn
            for other, refused_at in bucket.refused_at.items()
            if other is not kind
        )

    def _delay_ms(self, bucket: _Bucket, rate: Rate, kind: RequestClass) -> int:
        """Return the time until a request of some class may be sent."""
        needed = 1.0 - rate.overdraft if kind is RequestClass.RESUMED else 1.0
        missing = needed - bucket.level
        if missing <= 0:
            return 0
        return ceil(missing * _interval_ms(rate))

    def _make_offer(self, upstream: UpstreamId, kind: RequestClass) -> _Offer:
        rate = self._rate(upstream)
        if rate is None:
            return _Offer(upstream=upstream, rate=UNLIMITED, bucket=None)
        bucket = self._refill(upstream, rate)
        delay_ms = self._delay_ms(bucket, rate, kind)
        if not self._has_turn(bucket, rate, kind):
            delay_ms += _interval_ms(rate)
        return _Offer(upstream=upstream, rate=rate, bucket=bucket, delay_ms=delay_ms)

    def _max_wait_ms(self, offer: _Offer, wait_ms: int, prompt_ms: int) -> int:
        """Return how long a request may wait for an offer."""
        limit_ms = min(wait_ms, MAX_WAIT_MS)
        overloaded_at = None if offer.bucket is None else offer.bucket.overloaded_at
        if overloaded_at is not None and self._clock.now() - overloaded_at < OVERLOAD_MS:
            return min(prompt_ms, limit_ms)
        return limit_ms

    def _hash_fraction(self, upstream: UpstreamId) -> float:
        """Return a number between 0 and 1 that is derived from the host and the upstream."""
        text = f"{self._host}\n{upstream}".encode()
        digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
        return int.from_bytes(digest, "big") / _DIGEST_RANGE


def _interval_ms(rate: Rate) -> int:
    """Return the time between two requests."""
    return ceil(MS_PER_SECOND / rate.per_s) if rate.per_s > 0 else MAX_DEBT_MS
