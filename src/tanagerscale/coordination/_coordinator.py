"""The decision-making part of a host: placements, moves, retries and rate limits."""

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

from tanagerscale.coordination._account_usage import AccountUsage
from tanagerscale.coordination._capacity_admission import CapacityAdmission
from tanagerscale.coordination._context import DecisionContext
from tanagerscale.coordination._delegates import DelegateList
from tanagerscale.coordination._departures import Departures
from tanagerscale.coordination._engine_speeds import EngineSpeeds
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.coordination._placement_queue import PlacementQueue
from tanagerscale.coordination._planner import MovePlanner
from tanagerscale.coordination._rate_limits import Permit
from tanagerscale.coordination._retry_budgets import SharedRetryBudgets
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.core import record_unexpected_error
from tanagerscale.generated.messages import DelegatesAnswer
from tanagerscale.generated.messages import DelegatesAsk
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import MoveDone
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceWithdrawal
from tanagerscale.generated.messages import RateAnswer
from tanagerscale.generated.messages import RateAsk
from tanagerscale.generated.messages import RepeatAnswer
from tanagerscale.generated.messages import RepeatAsk
from tanagerscale.membership import Message
from tanagerscale.upstreams import EngineReport
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamPauses

REPORT_DELAY_MS: Final = 700
"""Delay between a leaving notice and the query for the departure time: reports are half a second
old."""

REPORT_LAG_MS: Final = 580
"""Subtracted from the remaining time in a report, since reports are half a second old."""

POLL_INTERVAL_MS: Final = 300
"""Polling interval of engines with runs while the store delivers no changes. Engines renew their
reports every few hundred milliseconds, and each report has a cost."""

_log = get_logger(part="departures")
_limits_log = get_logger(part="limits")
_repeats_log = get_logger(part="repeats")


class EngineReports(Protocol):
    """Source of engine status reports."""

    async def report(self, *, upstream: UpstreamEntry) -> Result[EngineReport, str]:
        """Return the status report of an engine."""


@final
class Coordinator:
    """Places generations and plans the moves of runs.

    Every host has one. It decides for every host that asks it: for all hosts where it is first in
    rank, for those that can't reach the hosts before it, and for its own host where that can reach
    no other.

    :param host: This host.
    :param domain: Failure domain of this host.
    :param context: Inputs of decisions.
    :param retry_budgets: Limits the retries of each service.
    :param engines: Source of engine status reports.
    :param pauses: Engines that are not polled because they asked this host for a pause.
    :param delegates: Hosts to which others can delegate requests.
    :param send: Sends a message to a host, which may be this one; returns whether it can be
        reached.
    :param is_stopping: Returns whether a host is shutting down.
    :param refuse_by_forecast: Whether generations are refused at once by a capacity forecast.
    """

    def __init__(
        self,
        *,
        host: HostId,
        domain: FailureDomainId,
        context: DecisionContext,
        retry_budgets: SharedRetryBudgets,
        engines: EngineReports,
        pauses: UpstreamPauses,
        delegates: DelegateList,
        send: Callable[[HostId, Message], bool],
        is_stopping: Callable[[HostId], bool] = lambda _: False,
        refuse_by_forecast: bool = False,
    ) -> None:
        self._delegates = delegates
        self._host = host
        self._domain = domain
        self._context = context
        self._retry_budgets = retry_budgets
        self._engines = engines
        self._pauses = pauses
        self._send = send
        self._failure_domains: dict[HostId, FailureDomainId] = {}
        self._background: set[asyncio.Task[None]] = set()
        self._is_store_stale = asyncio.Event()
        self.speeds = EngineSpeeds(service_of=self._service_of, clock=context.clock)
        self.ledger = RunLedger(clock=context.clock, speeds=self.speeds)
        self.usage = AccountUsage(clock=context.clock)
        self.departures = Departures(clock=context.clock)
        self.admission = CapacityAdmission(
            context=context,
            ledger=self.ledger,
            share=lambda: retry_budgets.share,
            in_office_ms=lambda: retry_budgets.decider_since_ms,
            is_enabled=refuse_by_forecast,
        )
        self.queue = PlacementQueue(
            context=context,
            ledger=self.ledger,
            usage=self.usage,
            admission=self.admission,
            send_answer=lambda asker, answer: _log_unsent(asker, send(asker, answer)),
        )
        self.planner = MovePlanner(
            host=host,
            context=context,
            ledger=self.ledger,
            departures=self.departures,
            retry_budgets=retry_budgets,
            send_order=send,
            is_stopping=is_stopping,
        )
        self.ledger.changes.subscribe(lambda _: self._on_ledger_change())

    def on_message(self, host: HostId, message: Message) -> None:
        """Handle the asks and reports of a host; other messages are ignored."""
        match message:
            case HostRuns():
                self.usage.report(host=host, runs=message.runs)
                self.admission.on_report(message)
                self.ledger.report(host=host, runs=message)
            case PlaceAsk():
                domain = self._failure_domains.get(host, self._domain)
                self.queue.submit(host=host, domain=domain, ask=message)
            case PlaceWithdrawal():
                self.queue.withdraw(host=host, serial=message.serial)
            case RepeatAsk():
                self._answer_repeat_ask(host, message)
            case RateAsk():
                self._answer_rate_ask(host, message)
            case DelegatesAsk():
                domain = self._failure_domains.get(host, self._domain)
                chosen = self._delegates.choose(asker=host, domain=domain)
                self._send(host, DelegatesAnswer(serial=message.serial, delegates=chosen))
            case MoveDone():
                self.planner.on_done(host=host, done=message)
            case _:
                pass

    def _answer_repeat_ask(self, host: HostId, ask: RepeatAsk) -> None:
        service = ServiceId(ask.service)
        permit = self._retry_budgets.acquire(service=service, requests=ask.requests, kind=ask.kind)
        _repeats_log.info(
            "A host asks for a repeat.",
            host_that_asked=host,
            service=service,
            kind=ask.kind.value,
            requests=ask.requests,
            may_repeat=permit.is_granted,
            delay_ms=permit.delay_ms,
            left=round(self._retry_budgets.left(service), 1),
            decider_since_ms=self._retry_budgets.decider_since_ms,
        )
        answer = RepeatAnswer(
            serial=ask.serial, may_repeat=permit.is_granted, delay_ms=permit.delay_ms
        )
        self._send(host, answer)

    def _answer_rate_ask(self, host: HostId, ask: RateAsk) -> None:
        upstreams = [UpstreamId(upstream) for upstream in ask.upstreams]
        permit = Permit(may_send=False)
        if upstreams:
            permit = self._context.rate_limits.acquire(
                upstreams, ask.kind, wait_ms=ask.wait_ms, prompt_ms=ask.prompt_ms
            )
        _limits_log.info(
            "A host asks for a rate-limited upstream.",
            host_that_asked=host,
            upstreams=ask.upstreams,
            kind=ask.kind.value,
            may_send=permit.may_send,
            upstream=permit.upstream,
            delay_ms=permit.delay_ms,
        )
        answer = RateAnswer(
            serial=ask.serial,
            may_send=permit.may_send,
            upstream=permit.upstream,
            delay_ms=permit.delay_ms,
        )
        self._send(host, answer)

    def on_joined(self, host: HostId, domain: FailureDomainId) -> None:
        """Reset the state of a host that has connected, since it may be a new process."""
        self.on_gone(host)
        self._failure_domains[host] = domain

    def on_gone(self, host: HostId) -> None:
        """Drop the runs and pending asks of a host that has disconnected."""
        self._failure_domains.pop(host, None)
        self.queue.forget(host=host)
        self.planner.forget(host=host)
        self.usage.forget(host=host)
        self.ledger.forget(host=host)

    def on_upstreams(self, upstream: UpstreamId) -> None:
        """Handle an upstream that is new, leaving, removed or accepting work again."""
        if not self._context.gate.is_leaving(upstream):
            self.departures.forget(upstream)
        elif self._context.upstreams.get(upstream) is not None:
            self._record_leaving(upstream)
        self.reevaluate()

    def reevaluate(self) -> None:
        """Evaluate waiting generations and possible moves again after a change of the engines."""
        self.queue.reevaluate()
        self.planner.reevaluate()

    def on_store_current_changed(self, is_current: bool) -> None:
        """Record whether the store delivers notices of leaving upstreams."""
        if is_current:
            self._is_store_stale.clear()
        else:
            self._is_store_stale.set()
        self.planner.schedule_reevaluation()

    async def poll_engines(self) -> None:
        """Poll engines for leaving notices while the store delivers no changes, until cancelled.

        When the store is down for eight seconds while an engine is removed every three, nobody can
        read the notices in the store. An engine's own report says, half a second late, that it is
        leaving and when. That leaves about a second to move its runs.
        """
        while True:
            await self._is_store_stale.wait()
            await self._context.clock.sleep(
                int(POLL_INTERVAL_MS * self._context.rng.uniform(0.5, 1.5))
            )
            if self._is_store_stale.is_set():
                queries = (self.query_engine(one) for one in self._engines_in_use())
                for error in await asyncio.gather(*queries, return_exceptions=True):
                    if isinstance(error, Exception):
                        record_unexpected_error("engine-polls", error)

    async def query_engine(self, upstream: UpstreamId) -> None:
        """Query whether an engine is leaving, and record its answer."""
        entry = self._context.upstreams.get(upstream)
        if entry is None or self._pauses.is_paused(upstream):
            return
        reported = await self._engines.report(upstream=entry)
        if isinstance(reported, Failure):
            _log.info(
                "Querying the report of an engine failed.",
                upstream=upstream,
                detail=reported.failure(),
            )
            return
        report = reported.unwrap()
        if not report.is_leaving:
            return
        in_ms = report.leaves_in_ms
        _log.info("An engine reports that it is leaving.", upstream=upstream, leaves_in_ms=in_ms)
        self.departures.record_notice(upstream)
        if in_ms is not None:
            self.departures.set_departure(upstream, in_ms=in_ms - REPORT_LAG_MS)
        self._context.gate.record_own_notice(upstream=upstream)

    def _engines_in_use(self) -> list[UpstreamId]:
        """Return the engines with runs of the hosts that this host decides for."""
        runs = self.ledger.runs_of(decider=self._host)
        engines = {UpstreamId(run.use.upstream) for run in runs}
        return [one for one in sorted(engines) if not self._context.gate.is_leaving(one)]

    def _record_leaving(self, upstream: UpstreamId) -> None:
        self.departures.record_notice(upstream)
        if self.departures.mark_queried(upstream):
            self._spawn(self._query_departure(upstream))

    async def _query_departure(self, upstream: UpstreamId) -> None:
        """Query the departure time of a leaving engine if any run still has to leave it."""
        query_at = self.departures.noticed_at(upstream) + REPORT_DELAY_MS
        await self._context.clock.sleep(max(query_at - self._context.clock.now(), 0))
        entry = self._context.upstreams.get(upstream)
        runs = self.ledger.runs_of(decider=self._host)
        if entry is None or all(run.use.upstream != upstream for run in runs):
            return
        reported = await self._engines.report(upstream=entry)
        if isinstance(reported, Failure):
            _log.info(
                "Querying the departure time of an engine failed.",
                upstream=upstream,
                detail=reported.failure(),
            )
            return
        leaves_in_ms = reported.unwrap().leaves_in_ms
        _log.info("An engine tells its end.", upstream=upstream, leaves_in_ms=leaves_in_ms)
        if leaves_in_ms is not None:
            self.departures.extend_departure(upstream, in_ms=leaves_in_ms - REPORT_LAG_MS)

    def _service_of(self, upstream: UpstreamId) -> ServiceId | None:
        entry = self._context.upstreams.get(upstream)
        return None if entry is None else entry.service

    def _on_ledger_change(self) -> None:
        self._retry_budgets.on_hosts_changed()
        self.queue.reevaluate()
        self.planner.schedule_reevaluation()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _log_unsent(host: HostId, is_sent: bool) -> None:
    if not is_sent:
        _log.info("The answer to a placement could not be sent to its host.", host_that_asked=host)
