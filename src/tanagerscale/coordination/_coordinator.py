"""All that a host does for those that let it decide."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final
from typing import Protocol
from typing import final

from returns.result import Failure
from returns.result import Result

from tanagerscale.coordination._departures import Departures
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.coordination._parts import DecisionParts
from tanagerscale.coordination._placement_queue import PlacementQueue
from tanagerscale.coordination._planner import MovePlanner
from tanagerscale.coordination._repeats import RepeatAllowance
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import MoveDone
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceWithdrawal
from tanagerscale.generated.messages import RepeatAnswer
from tanagerscale.generated.messages import RepeatAsk
from tanagerscale.generated.messages import WarmupAnswer
from tanagerscale.generated.messages import WarmupAsk
from tanagerscale.membership import Message
from tanagerscale.upstreams import EngineReport
from tanagerscale.upstreams import UpstreamEntry

REPORT_MS: Final = 700
"""After a notice, when the engine's report tells when it goes: reports are half a second old."""

REPORT_LAG_MS: Final = 580
"""Taken off what a report says of the time left, since reports are half a second old."""

ASK_MS: Final = 300
"""How often each engine that runs anything is asked whether it leaves, while the store does not
tell. Reports are renewed each few hundred milliseconds, and each one is paid for."""

_log = get_logger(part="departures")


class EngineReports(Protocol):
    """Asks engines how they are."""

    async def report(self, *, upstream: UpstreamEntry) -> Result[EngineReport, str]:
        """Return what an engine says of itself."""


@final
class Coordinator:
    """Places generations and plans the moves of runs.

    Every host has one. It decides for whoever asks it: for all hosts where it is the first in rank,
    for those that can't reach the first ones, and for its own host where that can reach no other.

    :param host: This host.
    :param domain: Where it stands.
    :param parts: What decisions go by.
    :param repeats: Which requests may be repeated.
    :param engines: Asks engines how they are.
    :param tell: Sends a message to a host, which may be this one; returns whether it can be
        reached.
    """

    def __init__(
        self,
        *,
        host: HostId,
        domain: FailureDomainId,
        parts: DecisionParts,
        repeats: RepeatAllowance,
        engines: EngineReports,
        tell: Callable[[HostId, Message], bool],
    ) -> None:
        self._host = host
        self._domain = domain
        self._parts = parts
        self._repeats = repeats
        self._engines = engines
        self._tell = tell
        self._domains: dict[HostId, FailureDomainId] = {}
        self._background: set[asyncio.Task[None]] = set()
        self._is_stale = asyncio.Event()
        self.ledger = RunLedger(clock=parts.clock)
        self.departures = Departures(clock=parts.clock)
        self.queue = PlacementQueue(
            parts=parts,
            ledger=self.ledger,
            answer=lambda asker, answer: _note_unsent(asker, tell(asker, answer)),
        )
        self.planner = MovePlanner(
            host=host, parts=parts, ledger=self.ledger, departures=self.departures, order=tell
        )
        self.ledger.news.subscribe(lambda _: self._on_news())

    def on_message(self, host: HostId, message: Message) -> None:
        """Take in what a host asks or tells; other messages are ignored."""
        match message:
            case HostRuns():
                self.ledger.report(host=host, runs=message)
            case PlaceAsk():
                domain = self._domains.get(host, self._domain)
                self.queue.ask(host=host, domain=domain, ask=message)
            case PlaceWithdrawal():
                self.queue.withdraw(host=host, serial=message.serial)
            case RepeatAsk():
                service = ServiceId(message.service)
                may = self._repeats.take(service=service, requests=message.requests)
                self._tell(host, RepeatAnswer(serial=message.serial, may_repeat=may))
            case WarmupAsk():
                self._answer_warmup(host, message)
            case MoveDone():
                self.planner.on_done(host=host, done=message)
            case _:
                pass

    def _answer_warmup(self, host: HostId, ask: WarmupAsk) -> None:
        entry = self._parts.upstreams.get(UpstreamId(ask.upstream))
        may = entry is None or self._parts.warmup.take(entry)
        self._tell(host, WarmupAnswer(serial=ask.serial, may_send=may))

    def on_joined(self, host: HostId, domain: FailureDomainId) -> None:
        """Begin anew with a host that has connected; another process of it may have gone."""
        self.on_gone(host)
        self._domains[host] = domain

    def on_gone(self, host: HostId) -> None:
        """Drop all that a host had and asked which is gone."""
        self._domains.pop(host, None)
        self.queue.forget(host=host)
        self.planner.forget(host=host)
        self.ledger.forget(host=host)

    def on_upstreams(self, upstream: UpstreamId) -> None:
        """Take in that an upstream is new, leaves, is gone or takes work again."""
        if not self._parts.gate.is_leaving(upstream):
            self.departures.forget(upstream)
        elif self._parts.upstreams.get(upstream) is not None:
            self._note_leaving(upstream)
        self.look()

    def look(self) -> None:
        """Decide anew about what waits and what may move, since engines have changed."""
        self.queue.look()
        self.planner.look()

    def on_currency(self, is_current: bool) -> None:
        """Take in whether the store tells of upstreams that leave."""
        if is_current:
            self._is_stale.clear()
        else:
            self._is_stale.set()
        self.planner.look_soon()

    def loops(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what has to run for as long as the host lives."""
        return (self._watch_engines(),)

    async def _watch_engines(self) -> None:
        """Ask engines whether they leave, while the store does not tell.

        The load it answers: the store is away for eight seconds while an engine is taken away each
        three. Their notices stand in the store, where nobody can read them; but an engine says in
        its own report that it leaves, half a second late, and when. That leaves about a second.
        """
        while True:
            await self._is_stale.wait()
            await self._parts.clock.sleep(int(ASK_MS * self._parts.rng.uniform(0.5, 1.5)))
            if self._is_stale.is_set():
                await asyncio.gather(*(self.ask_engine(one) for one in self._engines_used()))

    async def ask_engine(self, upstream: UpstreamId) -> None:
        """Ask an engine whether it leaves, and take in its word."""
        entry = self._parts.upstreams.get(upstream)
        if entry is None:
            return
        reported = await self._engines.report(upstream=entry)
        if isinstance(reported, Failure):
            _log.info("No report came.", upstream=upstream, detail=reported.failure())
            return
        report = reported.unwrap()
        if not report.is_leaving:
            return
        in_ms = report.leaves_in_ms
        _log.info("An engine reports that it leaves.", upstream=upstream, leaves_in_ms=in_ms)
        self.departures.note(upstream)
        if in_ms is not None:
            self.departures.correct_end(upstream, in_ms=in_ms - REPORT_LAG_MS)
        self._parts.gate.note_leaving(upstream=upstream)

    def _engines_used(self) -> list[UpstreamId]:
        """Return the engines that run anything of the hosts this one decides for."""
        runs = self.ledger.runs_of(decider=self._host)
        engines = {UpstreamId(run.use.upstream) for run in runs}
        return [one for one in sorted(engines) if not self._parts.gate.is_leaving(one)]

    def _note_leaving(self, upstream: UpstreamId) -> None:
        self.departures.note(upstream)
        if self.departures.ask_once(upstream):
            self._spawn(self._ask_end(upstream))

    async def _ask_end(self, upstream: UpstreamId) -> None:
        """Ask a leaving engine when it goes, if any run still has to leave it."""
        asked_at = self.departures.noticed_at(upstream) + REPORT_MS
        await self._parts.clock.sleep(max(asked_at - self._parts.clock.now(), 0))
        entry = self._parts.upstreams.get(upstream)
        runs = self.ledger.runs_of(decider=self._host)
        if entry is None or all(run.use.upstream != upstream for run in runs):
            return
        reported = await self._engines.report(upstream=entry)
        if isinstance(reported, Failure):
            _log.info("No end is known.", upstream=upstream, detail=reported.failure())
            return
        leaves_in_ms = reported.unwrap().leaves_in_ms
        _log.info("An engine tells its end.", upstream=upstream, leaves_in_ms=leaves_in_ms)
        if leaves_in_ms is not None:
            self.departures.note_end(upstream, in_ms=leaves_in_ms - REPORT_LAG_MS)

    def _on_news(self) -> None:
        self.queue.look()
        self.planner.look_soon()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _note_unsent(host: HostId, is_sent: bool) -> None:
    if not is_sent:
        _log.info("A host that asked can't be reached.", host_that_asked=host)
