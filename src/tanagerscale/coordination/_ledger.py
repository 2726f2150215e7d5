"""What all hosts run on engines, as they told, and what was granted to them since."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Final
from typing import final

from msgspec import Struct
from msgspec.structs import replace
from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import RunUse

GRANT_MS: Final = 1000
"""How long a place stays taken for a host that has not told that it uses it. Hosts tell within
30 ms; one that has died in between must not hold memory that others wait for."""

DROP_MS: Final = 200
"""How long a copy counts as dropped though its host has not said so; it takes a few
milliseconds."""

TOKEN_MS: Final = 9.0
"""How long an engine with five to twelve generations takes for a token of each, by which what was
told a while ago is brought up to date."""


class EngineTotal(Struct, kw_only=True):
    """What runs on one engine.

    :param running: Generations that have begun to answer.
    :param waiting: Generations that have not.
    :param waiting_tokens: Their prompt tokens.
    :param long_tokens: Tokens that long generations hold or will hold.
    :param short_tokens: The same for short ones.
    :param copy_tokens: Memory of copies of what leaves another engine.
    :param yielding_tokens: Memory of copies taken ahead, which yield to new work.
    :param uncopied_tokens: Memory of long generations that have no copy elsewhere.
    """

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    long_tokens: int = 0
    short_tokens: int = 0
    copy_tokens: int = 0
    yielding_tokens: int = 0
    uncopied_tokens: int = 0


class LedgerRun(Struct, frozen=True, kw_only=True):
    """A generation as it stands now.

    :param host: Whose caller waits for it.
    :param use: What its host told.
    :param tokens: Memory it holds by now.
    :param made: Tokens of its answer by now.
    :param running_ms: How long it has answered on its engine; negative before that.
    :param copy_age_ms: Age of its copy.
    """

    host: HostId
    use: RunUse
    tokens: int
    made: int
    running_ms: int
    copy_age_ms: int


class _HostBook(Struct, kw_only=True):
    """What is known of one host."""

    number: int
    decider: HostId
    heard: Millis
    runs: dict[RequestId, RunUse]


class _Plan(Struct, frozen=True, kw_only=True):
    """A change of a run's copy that its host has been asked for.

    :param copy_at: Engine that will hold its copy; empty for none.
    :param yields: Whether the copy is taken ahead.
    :param is_moving: Whether the run is being copied.
    :param until: When it counts no more.
    """

    copy_at: str
    yields: bool
    is_moving: bool
    until: Millis


class _Grant(Struct, frozen=True, kw_only=True):
    """A place that a host has been given and has not told to use yet."""

    host: HostId
    use: RunUse
    until: Millis


@final
class RunLedger:
    """Adds up what all hosts run.

    :param clock: Time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._hosts: dict[HostId, _HostBook] = {}
        self._grants: dict[RequestId, _Grant] = {}
        self._plans: dict[RequestId, _Plan] = {}
        self._news: Subject[None] = Subject()

    @property
    def news(self) -> Observable[None]:
        """Fires when anything has changed."""
        return self._news

    def hosts_of(self, decider: HostId) -> int:
        """Return how many hosts let one decide."""
        return sum(book.decider == decider for book in self._hosts.values())

    def report(self, *, host: HostId, runs: HostRuns) -> None:
        """Take in what a host runs, unless something newer was heard of it."""
        before = self._hosts.get(host)
        if before is not None and runs.number <= before.number:
            return
        self._hosts[host] = _HostBook(
            number=runs.number,
            decider=HostId(runs.decider),
            heard=self._clock.now(),
            runs={RequestId(use.request): use for use in runs.runs},
        )
        for use in runs.runs:
            self._grants.pop(RequestId(use.request), None)
        self._news.on_next(None)

    def forget(self, *, host: HostId) -> None:
        """Drop what a host had that is gone or has started again."""
        if self._hosts.pop(host, None) is not None:
            self._news.on_next(None)

    def grant(self, *, host: HostId, use: RunUse) -> None:
        """Count a place that a host has been given, until it tells of it or the grant is old."""
        until = Millis(self._clock.now() + GRANT_MS)
        self._grants[RequestId(use.request)] = _Grant(host=host, use=use, until=until)
        self._news.on_next(None)

    def take_back(self, *, request: RequestId) -> None:
        """Forget a place whose host does not use it."""
        if self._grants.pop(request, None) is not None:
            self._news.on_next(None)

    def plan_copy(self, *, run: LedgerRun, target: UpstreamId, yields: bool, for_ms: int) -> None:
        """Count the memory of a copy from now on that its host is asked to make.

        :param run: The run.
        :param target: Where the copy goes.
        :param yields: Whether it is taken ahead and yields to new work.
        :param for_ms: How long that counts, unless it is ended before.
        """
        self._plan(run, target, yields=yields, is_moving=True, for_ms=for_ms)

    def plan_drop(self, *, run: LedgerRun) -> None:
        """Count the memory of a copy as free that its host is asked to give up."""
        self._plan(run, "", yields=False, is_moving=False, for_ms=DROP_MS)

    def end_plan(self, *, request: RequestId) -> None:
        """Go by what the host tells of a run again."""
        self._plans.pop(request, None)

    def runs_of(self, *, decider: HostId) -> list[LedgerRun]:
        """Return the generations of the hosts that let one host plan their moves."""
        return [
            run
            for host, book in self._hosts.items()
            if book.decider == decider
            for run in self._runs_in(host, book)
        ]

    def totals(self) -> dict[UpstreamId, EngineTotal]:
        """Return what runs on each engine that has anything."""
        totals: dict[UpstreamId, EngineTotal] = defaultdict(EngineTotal)
        for run in self._all():
            _add(run, totals)
        return totals

    def _plan(
        self, run: LedgerRun, copy_at: str, *, yields: bool, is_moving: bool, for_ms: int
    ) -> None:
        self._plans[RequestId(run.use.request)] = _Plan(
            copy_at=copy_at,
            yields=yields,
            is_moving=is_moving,
            until=Millis(self._clock.now() + for_ms),
        )

    def _all(self) -> Iterator[LedgerRun]:
        now = self._clock.now()
        self._plans = {one: plan for one, plan in self._plans.items() if plan.until > now}
        self._grants = {one: grant for one, grant in self._grants.items() if grant.until > now}
        for host, book in self._hosts.items():
            yield from self._runs_in(host, book)
        for grant in self._grants.values():
            yield _brought_up(grant.host, grant.use, 0)

    def _runs_in(self, host: HostId, book: _HostBook) -> Iterator[LedgerRun]:
        age_ms = self._clock.now() - book.heard
        for request, use in book.runs.items():
            plan = self._plans.get(request)
            yield _brought_up(host, use if plan is None else _as_planned(use, plan), age_ms)


def _as_planned(use: RunUse, plan: _Plan) -> RunUse:
    return replace(use, copy_at=plan.copy_at, copy_yields=plan.yields, is_moving=plan.is_moving)


def _brought_up(host: HostId, use: RunUse, age_ms: int) -> LedgerRun:
    """Return a generation as it stands some time after its host told of it."""
    has_begun = use.begun_ms >= 0
    grown = int(age_ms / TOKEN_MS) if has_begun and use.is_long else 0
    return LedgerRun(
        host=host,
        use=use,
        tokens=use.tokens + grown,
        made=use.made + grown,
        running_ms=use.begun_ms + age_ms if has_begun else use.begun_ms,
        copy_age_ms=use.copy_ms + age_ms,
    )


def _add(run: LedgerRun, totals: dict[UpstreamId, EngineTotal]) -> None:
    """Count a generation on its engine, and its copy on the engine that holds it."""
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
        totals[UpstreamId(use.copy_at)].yielding_tokens += run.tokens
    elif use.copy_at:
        totals[UpstreamId(use.copy_at)].copy_tokens += run.tokens
