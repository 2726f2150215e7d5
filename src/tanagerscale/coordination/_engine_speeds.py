"""Speeds of engines, learned by each coordinator from the runs that all hosts report."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import RunUse
from tanagerscale.policy import DEFAULT_SPEEDS
from tanagerscale.policy import UNKNOWN_SPEED
from tanagerscale.policy import EngineSpeed
from tanagerscale.policy import ServiceSpeeds
from tanagerscale.policy import add_decode_sample
from tanagerscale.policy import add_prefill_sample
from tanagerscale.policy import expected_prefill_tokens
from tanagerscale.policy import get_prefill_tokens_per_ms
from tanagerscale.policy import get_slowness
from tanagerscale.policy import summarize_speeds

MIN_DECODE_SAMPLE_MS: Final = 500
"""Least time of a run that gives a sample of decoding. Progress is reported in events of four
tokens, which take 36 ms: 7% of this time."""

REFRESH_INTERVAL_MS: Final = 100
"""Age at which the summaries over services are made anew. Engines show a first event a second."""

REFRESH_INTERVAL_MS_PER_ENGINE: Final = 0.1
"""The same for each known engine: a summary of 12,000 engines took 35 ms, 3% of this time."""

MAX_FIRST_EVENT_AGE_MS: Final = 5000
"""Age up to which a first event counts for an engine that has shown one already. A new coordinator
gets reports of runs that began during a slow period that is over."""

HOST_TIMEOUT_MS: Final = 60_000
"""Time after which the runs of a host that reports no more are forgotten. A host that connects
again sooner reports runs that have been counted already."""

SLOW_ENGINE_RATIO: Final = 1.2
NORMAL_ENGINE_RATIO: Final = 1.13
"""Slowness from which an engine is logged as slow, and below which as normal. The gap prevents a
line for each sample of an engine near the boundary."""

LOG_INTERVAL_MS: Final = 2000
"""Least time between two log lines about the speed of one engine."""

_log = get_logger(part="speeds")


class _CountedRun(Struct, kw_only=True):
    """What has been counted of a run on one engine.

    :param upstream: The engine.
    :param is_prefill_counted: Whether its first event has been counted.
    :param made: Generated tokens at the start of the next sample of decoding.
    :param begun_ms: Running time at that point; negative if there is no such point.
    """

    upstream: UpstreamId
    is_prefill_counted: bool = False
    made: int = 0
    begun_ms: int = -1


class _CountedHost(Struct, frozen=True, kw_only=True):
    """The runs in the last report of a host."""

    reported_at: Millis
    runs: dict[RequestId, _CountedRun]


class _Current(Struct, frozen=True, kw_only=True):
    """What decisions use of an engine's speed."""

    prefill_tokens_per_ms: float
    slowness: float


class _Engine(Struct, kw_only=True):
    """The speed of one start of an engine, and what was logged about it.

    :param service: Its service.
    :param speed: What it has shown.
    :param current: Its prefill speed and slowness; ``None`` if they have to be computed.
    :param is_slow: Whether it was logged as slow.
    :param logged_at: Time of the last log line.
    """

    service: ServiceId
    speed: EngineSpeed = UNKNOWN_SPEED
    current: _Current | None = None
    is_slow: bool = False
    logged_at: Millis | None = None


@final
class EngineSpeeds:
    """Learns the speeds of engines from reports of hosts.

    :param service_of: Returns the service of an engine; ``None`` once its entry is removed.
    :param clock: Source of the current time.
    """

    def __init__(
        self, *, service_of: Callable[[UpstreamId], ServiceId | None], clock: Clock
    ) -> None:
        self._service_of = service_of
        self._clock = clock
        self._engines: dict[UpstreamId, _Engine] = {}
        self._hosts: dict[HostId, _CountedHost] = {}
        self._services: dict[ServiceId, ServiceSpeeds] = {}
        self._refreshed_at: Millis | None = None

    @property
    def known(self) -> int:
        """Number of engines that have shown a speed."""
        return len(self._engines)

    @property
    def slow(self) -> int:
        """Number of engines that are slower than the others of their service."""
        return sum(engine.is_slow for engine in self._engines.values())

    def record(self, *, host: HostId, runs: Sequence[RunUse]) -> None:
        """Count what a report of a host shows and earlier ones have not.

        :param host: The host.
        :param runs: All its runs, from a report that is newer than the last one.
        """
        self._refresh()
        before = self._hosts.get(host)
        counted: dict[RequestId, _CountedRun] = {}
        for use in runs:
            request, upstream = RequestId(use.request), UpstreamId(use.upstream)
            run = None if before is None else before.runs.get(request)
            if run is None or run.upstream != upstream:
                run = _CountedRun(upstream=upstream)
            counted[request] = run
            if use.begun_ms >= 0:
                self._count(run, use)
        self._hosts[host] = _CountedHost(reported_at=self._clock.now(), runs=counted)

    def forget_silent_hosts(self) -> None:
        """Drop the runs of hosts that report no more."""
        oldest = self._clock.now() - HOST_TIMEOUT_MS
        self._hosts = {
            host: counted for host, counted in self._hosts.items() if counted.reported_at >= oldest
        }

    def prefill_tokens_per_ms(self, upstream: UpstreamId) -> float:
        """Return the prompt tokens that an engine processes in a millisecond."""
        return self._current(upstream).prefill_tokens_per_ms

    def slowness(self, upstream: UpstreamId) -> float:
        """Return how many times as long as the fastest third of its service an engine takes."""
        return self._current(upstream).slowness

    def decode_ms_per_token(self, upstream: UpstreamId) -> float | None:
        """Return the time per token of a run on an engine; ``None`` if that is unknown."""
        decode = self._speed(upstream).decode
        return None if decode is None else decode.ms_per_token

    def _speed(self, upstream: UpstreamId) -> EngineSpeed:
        engine = self._engines.get(upstream)
        return UNKNOWN_SPEED if engine is None else engine.speed

    def _current(self, upstream: UpstreamId) -> _Current:
        self._refresh()
        engine = self._engine(upstream) or _Engine(service=ServiceId(""))
        if engine.current is None:
            service = self._services.get(engine.service, DEFAULT_SPEEDS)
            now = self._clock.now()
            engine.current = _Current(
                prefill_tokens_per_ms=get_prefill_tokens_per_ms(
                    engine.speed, service=service, now=now
                ),
                slowness=get_slowness(engine.speed, service=service, now=now),
            )
        return engine.current

    def _count(self, run: _CountedRun, use: RunUse) -> None:
        """Add the samples of a run that has begun to answer."""
        engine = self._engine(run.upstream)
        if engine is None:
            return
        service = self._services.get(engine.service, DEFAULT_SPEEDS)
        now = self._clock.now()
        before = engine.speed
        if not run.is_prefill_counted:
            run.is_prefill_counted = True
            if engine.speed.prefill is None or use.begun_ms <= MAX_FIRST_EVENT_AGE_MS:
                engine.speed = add_prefill_sample(
                    engine.speed,
                    service=service,
                    tokens=expected_prefill_tokens(
                        queued_tokens=use.queued_tokens, prompt_tokens=use.prompt_tokens
                    ),
                    ms=use.first_event_ms,
                    now=now,
                )
        ms = use.begun_ms - run.begun_ms
        is_interrupted = run.begun_ms < 0 or use.is_moving
        if not is_interrupted and ms >= MIN_DECODE_SAMPLE_MS:
            engine.speed = add_decode_sample(
                engine.speed, service=service, tokens=use.made - run.made, ms=ms, now=now
            )
        if is_interrupted or ms >= MIN_DECODE_SAMPLE_MS:
            run.made = use.made
            run.begun_ms = -1 if use.is_moving else use.begun_ms
        if engine.speed != before:
            engine.current = None
            self._engines[run.upstream] = engine
            self._log_change(run.upstream, engine)

    def _engine(self, upstream: UpstreamId) -> _Engine | None:
        engine = self._engines.get(upstream)
        if engine is not None:
            return engine
        service = self._service_of(upstream)
        return None if service is None else _Engine(service=service)

    def _refresh(self) -> None:
        """Drop engines without an entry and summarize services, unless that was done recently."""
        now = self._clock.now()
        interval_ms = REFRESH_INTERVAL_MS + REFRESH_INTERVAL_MS_PER_ENGINE * len(self._engines)
        if self._refreshed_at is not None and now - self._refreshed_at < interval_ms:
            return
        self._refreshed_at = now
        self._engines = {
            upstream: engine
            for upstream, engine in self._engines.items()
            if self._service_of(upstream) is not None
        }
        by_service: dict[ServiceId, list[EngineSpeed]] = {}
        for engine in self._engines.values():
            engine.current = None
            by_service.setdefault(engine.service, []).append(engine.speed)
        self._services = {
            service: summarize_speeds(speeds) for service, speeds in by_service.items()
        }

    def _log_change(self, upstream: UpstreamId, engine: _Engine) -> None:
        """Log when an engine becomes slow or normal."""
        slowness = self.slowness(upstream)
        is_slow = slowness > (NORMAL_ENGINE_RATIO if engine.is_slow else SLOW_ENGINE_RATIO)
        now = self._clock.now()
        is_logged = engine.logged_at is not None and now - engine.logged_at < LOG_INTERVAL_MS
        if is_slow is engine.is_slow or is_logged:
            return
        engine.is_slow = is_slow
        engine.logged_at = now
        decode_ms = self.decode_ms_per_token(upstream)
        _log.info(
            "An engine becomes slow." if is_slow else "An engine has its usual speed again.",
            upstream=upstream,
            service=engine.service,
            slowness=round(slowness, 2),
            prefill_tokens_per_ms=round(self.prefill_tokens_per_ms(upstream), 2),
            decode_ms_per_token=None if decode_ms is None else round(decode_ms, 2),
        )
