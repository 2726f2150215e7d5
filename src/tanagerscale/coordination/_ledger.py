"""Runs of all hosts on engines, as last reported, and grants made since."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Iterator
from typing import Final
from typing import final

from msgspec import Struct
from msgspec.structs import replace
from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.coordination._engine_speeds import EngineSpeeds
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import RunUse
from tanagerscale.policy import DEFAULT_DECODE_MS_PER_TOKEN

GRANT_TTL_MS: Final = 1000
"""How long a grant reserves memory for a host that has not reported the run. Hosts report within 30
ms; a host that crashed in between must not hold memory that others wait for."""

DROP_TIMEOUT_MS: Final = 200
"""How long a copy counts as dropped without a confirmation of its host; dropping takes a few
milliseconds."""

TOKEN_INTERVAL_MS: Final = DEFAULT_DECODE_MS_PER_TOKEN
"""Time per token of each generation on an engine that has not shown its speed; used to extrapolate
old reports."""


class EngineTotal(Struct, kw_only=True):
    """Sums of the runs on one engine.

    :param running: Generations that have begun to answer.
    :param waiting: Generations that have not begun to answer.
    :param waiting_tokens: Prompt tokens of waiting generations.
    :param long_tokens: Tokens that long generations hold or will hold.
    :param short_tokens: Tokens that short generations hold or will hold.
    :param copy_tokens: Memory of copies of runs that are leaving another engine.
    :param evictable_tokens: Memory of copies made ahead of time, which are evicted for new work.
    :param uncopied_tokens: Memory of long generations that have no copy elsewhere.
    """

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    long_tokens: int = 0
    short_tokens: int = 0
    copy_tokens: int = 0
    evictable_tokens: int = 0
    uncopied_tokens: int = 0


class LedgerRun(Struct, frozen=True, kw_only=True):
    """The current state of a generation.

    :param host: Host that serves its caller.
    :param use: Last report of its host.
    :param tokens: Estimated memory in tokens.
    :param answer_tokens: Estimated number of generated tokens.
    :param running_ms: Time since its engine began to answer; negative before that.
    :param copy_age_ms: Age of its copy.
    """

    host: HostId
    use: RunUse
    tokens: int
    answer_tokens: int
    running_ms: int
    copy_age_ms: int


class _HostReport(Struct, kw_only=True):
    """The last report of one host."""

    number: int
    decider: HostId
    received_at: Millis
    runs: dict[RequestId, RunUse]
    paused: frozenset[UpstreamId]


class _CopyPlan(Struct, frozen=True, kw_only=True):
    """A change to the copy of a run that its host has been ordered to make.

    :param copy_at: Engine that will hold the copy; empty for none.
    :param is_evictable: Whether the copy is made ahead of time.
    :param is_moving: Whether the run is being copied.
    :param expires_at: When the plan stops counting.
    """

    copy_at: str
    is_evictable: bool
    is_moving: bool
    expires_at: Millis


class _Grant(Struct, frozen=True, kw_only=True):
    """Memory granted to a host that has not reported the run yet."""

    host: HostId
    use: RunUse
    expires_at: Millis


@final
class RunLedger:
    """Sums up the runs of all hosts.

    :param clock: Source of the current time.
    :param speeds: Learns from the reports; ``None`` if the services of engines are unknown.
    """

    def __init__(self, *, clock: Clock, speeds: EngineSpeeds | None = None) -> None:
        self._clock = clock
        self.speeds: Final = (
            EngineSpeeds(service_of=lambda _: None, clock=clock) if speeds is None else speeds
        )
        self._hosts: dict[HostId, _HostReport] = {}
        self._hosts_by_decider: Counter[HostId] = Counter()
        self._grants: dict[RequestId, _Grant] = {}
        self._plans: dict[RequestId, _CopyPlan] = {}
        self._changes: Subject[None] = Subject()
        self._ended: Subject[LedgerRun] = Subject()

    @property
    def ended(self) -> Observable[LedgerRun]:
        """Emits each generation that has begun to answer and is no longer reported by its host."""
        return self._ended

    @property
    def changes(self) -> Observable[None]:
        """Emits after every change."""
        return self._changes

    def count_hosts(self, decider: HostId) -> int:
        """Return the number of hosts that use this decider."""
        return self._hosts_by_decider[decider]

    def report(self, *, host: HostId, runs: HostRuns) -> None:
        """Store the runs of a host, unless a newer report is known."""
        before = self._hosts.get(host)
        if before is not None and runs.number <= before.number:
            return
        if before is not None:
            self._hosts_by_decider[before.decider] -= 1
        self._hosts_by_decider[HostId(runs.decider)] += 1
        self._hosts[host] = _HostReport(
            number=runs.number,
            decider=HostId(runs.decider),
            received_at=self._clock.now(),
            runs={RequestId(use.request): use for use in runs.runs},
            paused=frozenset(UpstreamId(upstream) for upstream in runs.paused),
        )
        self.speeds.record(host=host, runs=runs.runs)
        for use in runs.runs:
            self._grants.pop(RequestId(use.request), None)
        if before is not None:
            self._emit_ended(host, before)
        self._changes.on_next(None)

    def paused_for(self, host: HostId) -> frozenset[UpstreamId]:
        """Return the engines that have asked a host for a pause."""
        report = self._hosts.get(host)
        return frozenset() if report is None else report.paused

    def forget(self, *, host: HostId) -> None:
        """Drop the runs of a host that has disconnected or restarted."""
        self.speeds.forget_silent_hosts()
        report = self._hosts.pop(host, None)
        if report is not None:
            self._hosts_by_decider[report.decider] -= 1
            self._changes.on_next(None)

    def grant(self, *, host: HostId, use: RunUse) -> None:
        """Reserve memory for a host until it reports the run or the grant expires."""
        expires_at = Millis(self._clock.now() + GRANT_TTL_MS)
        self._grants[RequestId(use.request)] = _Grant(host=host, use=use, expires_at=expires_at)
        self._changes.on_next(None)

    def release_grant(self, *, request: RequestId) -> None:
        """Remove a grant that its host does not use."""
        if self._grants.pop(request, None) is not None:
            self._changes.on_next(None)

    def plan_copy(
        self, *, run: LedgerRun, target: UpstreamId, is_evictable: bool, for_ms: int
    ) -> None:
        """Count the memory of a copy that a host is ordered to make.

        :param run: The run.
        :param target: Engine that will hold the copy.
        :param is_evictable: Whether the copy is made ahead of time and is evicted for new work.
        :param for_ms: How long the plan counts unless it is ended earlier.
        """
        self._set_plan(run, target, is_evictable=is_evictable, is_moving=True, for_ms=for_ms)

    def plan_drop(self, *, run: LedgerRun) -> None:
        """Count the memory of a copy as free, since its host is ordered to drop it."""
        self._set_plan(run, "", is_evictable=False, is_moving=False, for_ms=DROP_TIMEOUT_MS)

    def end_plan(self, *, request: RequestId) -> None:
        """Use the report of the host for a run again."""
        self._plans.pop(request, None)

    def runs_of(self, *, decider: HostId) -> list[LedgerRun]:
        """Return the generations of the hosts that use this decider."""
        return [
            run
            for host, report in self._hosts.items()
            if report.decider == decider
            for run in self._runs_in_report(host, report)
        ]

    def runs(self) -> list[LedgerRun]:
        """Return the generations of all hosts, including grants that are not reported yet."""
        return list(self._all_runs())

    def totals(self) -> dict[UpstreamId, EngineTotal]:
        """Return the sums of the runs on each engine that has any."""
        totals: dict[UpstreamId, EngineTotal] = defaultdict(EngineTotal)
        for run in self._all_runs():
            _add_to_totals(run, totals)
        return totals

    def _set_plan(
        self, run: LedgerRun, copy_at: str, *, is_evictable: bool, is_moving: bool, for_ms: int
    ) -> None:
        self._plans[RequestId(run.use.request)] = _CopyPlan(
            copy_at=copy_at,
            is_evictable=is_evictable,
            is_moving=is_moving,
            expires_at=Millis(self._clock.now() + for_ms),
        )

    def _emit_ended(self, host: HostId, before: _HostReport) -> None:
        """Emit the generations of an earlier report of a host that its last one doesn't have."""
        known = self._hosts[host].runs
        for run in self._runs_in_report(host, before):
            if run.running_ms >= 0 and RequestId(run.use.request) not in known:
                self._ended.on_next(run)

    def _all_runs(self) -> Iterator[LedgerRun]:
        now = self._clock.now()
        self._plans = {one: plan for one, plan in self._plans.items() if plan.expires_at > now}
        self._grants = {one: grant for one, grant in self._grants.items() if grant.expires_at > now}
        for host, report in self._hosts.items():
            yield from self._runs_in_report(host, report)
        for grant in self._grants.values():
            yield _extrapolate(grant.host, grant.use, 0, TOKEN_INTERVAL_MS)

    def _runs_in_report(self, host: HostId, report: _HostReport) -> Iterator[LedgerRun]:
        age_ms = self._clock.now() - report.received_at
        for request, use in report.runs.items():
            plan = self._plans.get(request)
            known_ms = self.speeds.decode_ms_per_token(UpstreamId(use.upstream))
            yield _extrapolate(
                host,
                use if plan is None else _apply_plan(use, plan),
                age_ms,
                # Memory that is planned too low makes an engine exceed what it has.
                min(known_ms or TOKEN_INTERVAL_MS, TOKEN_INTERVAL_MS),
            )


def _apply_plan(use: RunUse, plan: _CopyPlan) -> RunUse:
    return replace(
        use, copy_at=plan.copy_at, copy_yields=plan.is_evictable, is_moving=plan.is_moving
    )


def _extrapolate(host: HostId, use: RunUse, age_ms: int, token_ms: float) -> LedgerRun:
    """Extrapolate a reported generation by the age of the report and its time per token."""
    has_begun = use.begun_ms >= 0
    growth = int(age_ms / token_ms) if has_begun and use.is_long else 0
    return LedgerRun(
        host=host,
        use=use,
        tokens=use.tokens + growth,
        answer_tokens=use.made + growth,
        running_ms=use.begun_ms + age_ms if has_begun else use.begun_ms,
        copy_age_ms=use.copy_ms + age_ms,
    )


def _add_to_totals(run: LedgerRun, totals: dict[UpstreamId, EngineTotal]) -> None:
    """Add a generation to its engine, and its copy to the engine that holds it."""
    use = run.use
    total = totals[UpstreamId(use.upstream)]
    if run.running_ms >= 0 or not use.prompt_tokens:
        total.running += 1
    else:
        total.waiting += 1
        total.waiting_tokens += use.prompt_tokens
    if use.is_long:
        total.long_tokens += run.tokens
    else:
        total.short_tokens += run.tokens
    if use.is_long and not use.copy_at and run.running_ms >= 0:
        total.uncopied_tokens += run.tokens
    if use.copy_at and use.copy_yields:
        totals[UpstreamId(use.copy_at)].evictable_tokens += run.tokens
    elif use.copy_at:
        totals[UpstreamId(use.copy_at)].copy_tokens += run.tokens
