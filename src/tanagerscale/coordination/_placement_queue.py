"""Queue of generations of all hosts that wait for an engine."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.coordination._account_usage import AccountUsage
from tanagerscale.coordination._account_usage import priority_label
from tanagerscale.coordination._context import DecisionContext
from tanagerscale.coordination._context import build_engine_view
from tanagerscale.coordination._context import eligible_upstreams
from tanagerscale.coordination._ledger import EngineTotal
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import ClientAccountId
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.generated.messages import RequestClass
from tanagerscale.generated.messages import RunUse
from tanagerscale.policy import PlacementDecision
from tanagerscale.policy import PlacementQuery
from tanagerscale.policy import PlacementVerdict
from tanagerscale.policy import WaitingGeneration
from tanagerscale.policy import place

REEVALUATION_INTERVAL_MS: Final = 50
"""Interval at which the queue is evaluated without a change: generations become late as time
passes."""

EVACUATED: Final = "the failure domains of its engines are evacuated"
AT_RATE_LIMIT: Final = "its engines are at their rate limits"
OUTSIDE_ALLOWED_REGIONS: Final = "no engine is in the regions that its route and account name"

_log = get_logger(part="placement")


class _QueuedPlacement(Struct, kw_only=True, eq=False):
    """A generation that waits for an engine.

    :param host: Host that asks.
    :param domain: Failure domain of that host.
    :param ask: The ask.
    :param arrived_at: When the request arrived at that host.
    :param deadline: When its first event is due.
    :param reason: Why it waits.
    """

    host: HostId
    domain: FailureDomainId
    ask: PlaceAsk
    arrived_at: Millis
    deadline: Millis
    reason: str = ""


@final
class PlacementQueue:
    """Assigns each generation an engine, immediately or when there is capacity, or refuses it.

    Generations that can still meet their deadline go before late ones. Where priorities differ,
    accounts below their minimum go first, then high priorities before low ones. Short generations
    go before long ones: they hold their memory for half a second where a long one holds it for ten,
    and are interactive. Within a class the account with the lowest
    usage goes first, and the order within an account is first in, first out across all hosts.

    :param context: Inputs of decisions.
    :param ledger: Runs of all hosts.
    :param usage: Usage of the client accounts.
    :param send_answer: Sends a decision to a host.
    """

    def __init__(
        self,
        *,
        context: DecisionContext,
        ledger: RunLedger,
        usage: AccountUsage,
        send_answer: Callable[[HostId, PlaceAnswer], None],
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._usage = usage
        self._send_answer = send_answer
        self._waiting: dict[tuple[HostId, int], _QueuedPlacement] = {}
        self._limited: Counter[ServiceId] = Counter()
        """Generations of this evaluation that wait for the rate limits of their service."""
        self._timer: asyncio.TimerHandle | None = None
        self._is_evaluating = False

    @property
    def waiting(self) -> int:
        """Number of waiting generations."""
        return len(self._waiting)

    def waiting_by_priority(self) -> Counter[int]:
        """Return the number of waiting generations, by priority as in metrics."""
        return Counter(priority_label(one.ask.priority) for one in self._waiting.values())

    def submit(self, *, host: HostId, domain: FailureDomainId, ask: PlaceAsk) -> None:
        """Place a generation, or queue it until there is capacity.

        :param host: Host that asks.
        :param domain: Failure domain of that host.
        :param ask: The ask; a host repeats it while there is no capacity.
        """
        key = (host, ask.serial)
        if key in self._waiting:
            self._send_answer(host, PlaceAnswer(serial=ask.serial, kind=PlaceKind.WAIT))
            return
        now = self._context.clock.now()
        waiting = _QueuedPlacement(
            host=host,
            domain=domain,
            ask=ask,
            arrived_at=Millis(now - ask.waited_ms),
            deadline=Millis(now + ask.left_ms),
        )
        self._waiting[key] = waiting
        self.reevaluate()
        if key in self._waiting:
            self._send_answer(host, PlaceAnswer(serial=ask.serial, kind=PlaceKind.WAIT))

    def withdraw(self, *, host: HostId, serial: int) -> None:
        """Remove a generation whose placement its host has withdrawn."""
        self._waiting.pop((host, serial), None)

    def forget(self, *, host: HostId) -> None:
        """Remove all asks of a host that has disconnected."""
        for key in [key for key in self._waiting if key[0] == host]:
            del self._waiting[key]

    def reevaluate(self) -> None:
        """Evaluate all waiting generations again."""
        if self._is_evaluating or not self._waiting:
            return  # A decision changes the ledger, which calls this again.
        self._is_evaluating = True
        try:
            self._evaluate_all()
        finally:
            self._is_evaluating = False
        self._schedule_reevaluation()

    def _evaluate_all(self) -> None:
        totals = self._ledger.totals()
        now = self._context.clock.now()
        self._limited.clear()
        entries = [(_describe(one, now), one) for one in self._waiting.values()]
        for waiting in self._usage.order(entries):
            placement = self._place(waiting, totals)
            if placement.verdict is PlacementVerdict.WAIT:
                self._record_wait(waiting, placement)
                continue
            del self._waiting[(waiting.host, waiting.ask.serial)]
            self._decide(waiting, placement)
            if placement.verdict is PlacementVerdict.SEND:
                totals = self._ledger.totals()

    def _place(
        self, waiting: _QueuedPlacement, totals: Mapping[UpstreamId, EngineTotal]
    ) -> PlacementDecision:
        context = self._context
        ask = waiting.ask
        service = ServiceId(ask.service)
        excluded = {UpstreamId(upstream) for upstream in ask.excluded}
        engine = context.get_engine_capabilities(service)
        domains = {FailureDomainId(domain) for domain in ask.domains}
        entries = eligible_upstreams(context, service, excluded, domains)
        if not entries and context.upstreams.has_evacuated(service):
            return PlacementDecision(verdict=PlacementVerdict.REFUSE, reason=EVACUATED)
        if not entries and domains:
            return PlacementDecision(
                verdict=PlacementVerdict.REFUSE, reason=OUTSIDE_ALLOWED_REGIONS
            )
        query = PlacementQuery(
            prompt_tokens=ask.prompt_tokens,
            is_long=ask.is_long,
            left_ms=waiting.deadline - context.clock.now(),
            patience_ms=ask.patience_ms,
        )
        limits, kind = context.rate_limits, _class_of(ask)
        allowed = [one for one in entries if limits.allows(one.upstream, kind)]
        if entries and not allowed:
            return self._wait_for_rate(service, [one.upstream for one in entries], query)
        views = [
            build_engine_view(entry, engine=engine, totals=totals, upstreams=context.upstreams)
            for entry in allowed
        ]
        return place(
            query=query,
            views=views,
            reserved_tokens=self._leaving_tokens(totals),
            failure_domain=waiting.domain,
            rng=context.rng,
        )

    def _wait_for_rate(
        self, service: ServiceId, engines: Sequence[UpstreamId], query: PlacementQuery
    ) -> PlacementDecision:
        """Let a generation wait for the rate limits of its engines, or refuse it at once.

        :param service: The service.
        :param engines: The engines, all of which are at their limits.
        :param query: The generation.
        """
        limits, ahead = self._context.rate_limits, self._limited[service]
        left_ms = query.left_ms + query.patience_ms - REEVALUATION_INTERVAL_MS
        if limits.count_until(engines, ms=left_ms) > ahead:
            self._limited[service] += 1
            return PlacementDecision(verdict=PlacementVerdict.WAIT, reason=AT_RATE_LIMIT)
        return PlacementDecision(
            verdict=PlacementVerdict.REFUSE,
            wait_ms=limits.forecast_ms(engines, ahead=ahead),
            reason=AT_RATE_LIMIT,
        )

    def _leaving_tokens(self, totals: Mapping[UpstreamId, EngineTotal]) -> int:
        """Return the memory of long generations on leaving engines that have no copy elsewhere."""
        return sum(
            total.uncopied_tokens
            for upstream, total in totals.items()
            if self._context.gate.is_leaving(upstream)
        )

    def _record_wait(self, waiting: _QueuedPlacement, placement: PlacementDecision) -> None:
        if waiting.reason != placement.reason:
            waiting.reason = placement.reason
            self._log("A generation waits.", waiting, **_placement_fields(placement))

    def _decide(self, waiting: _QueuedPlacement, placement: PlacementDecision) -> None:
        ask = waiting.ask
        view = placement.engine
        if view is None:
            self._log("A generation is refused.", waiting, **_placement_fields(placement))
            refusal = PlaceAnswer(
                serial=ask.serial,
                kind=PlaceKind.REFUSE,
                reason=placement.reason,
                retry_ms=int(placement.wait_ms),
            )
            self._send_answer(waiting.host, refusal)
            return
        use = RunUse(
            request=ask.request,
            upstream=view.upstream,
            prompt_tokens=ask.prompt_tokens,
            tokens=ask.prompt_tokens,
            is_long=ask.is_long,
            domains=ask.domains,
            account=ask.account,
            priority=ask.priority,
            max_tokens=ask.max_tokens,
        )
        self._usage.grant(use)
        self._ledger.grant(host=waiting.host, use=use)
        self._context.rate_limits.record(view.upstream, _class_of(ask))
        self._log(
            "An engine is chosen.",
            waiting,
            upstream=view.upstream,
            prompt_tokens=ask.prompt_tokens,
            forecast_ms=int(placement.wait_ms),
            engine_running=view.running,
            engine_planned=view.planned_tokens,
            engine_waiting=view.waiting_tokens,
            engine_copies=view.copy_tokens,
        )
        granted = PlaceAnswer(
            serial=ask.serial,
            kind=PlaceKind.SEND,
            upstream=view.upstream,
            forecast_ms=int(placement.wait_ms),
            reason=placement.reason,
            queued_tokens=view.waiting_tokens + ask.prompt_tokens,
        )
        self._send_answer(waiting.host, granted)

    def _schedule_reevaluation(self) -> None:
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(REEVALUATION_INTERVAL_MS / MS_PER_SECOND, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.reevaluate()

    def _log(self, message: str, waiting: _QueuedPlacement, **inputs: object) -> None:
        _log.info(
            message,
            request=RequestId(waiting.ask.request),
            entry_host=waiting.host,
            after_ms=self._context.clock.now() - waiting.arrived_at,
            queued=len(self._waiting),
            account=waiting.ask.account,
            priority=waiting.ask.priority,
            usage_tokens=self._usage.get(ClientAccountId(waiting.ask.account)),
            **inputs,
        )


def _describe(waiting: _QueuedPlacement, now: Millis) -> WaitingGeneration:
    ask = waiting.ask
    return WaitingGeneration(
        account=ClientAccountId(ask.account),
        service=ServiceId(ask.service),
        priority=ask.priority,
        route_priority=ask.route_priority,
        prompt_tokens=ask.prompt_tokens,
        is_late=waiting.deadline <= now,
        is_long=ask.is_long,
        arrived_at=waiting.arrived_at,
        waited_ms=now - waiting.arrived_at,
        target_ms=waiting.deadline - waiting.arrived_at,
        has_waited=bool(waiting.reason),
    )


def _class_of(ask: PlaceAsk) -> RequestClass:
    return RequestClass.LONG if ask.is_long else RequestClass.SHORT


def _placement_fields(placement: PlacementDecision) -> dict[str, object]:
    return {"reason": placement.reason, "engines": [str(view) for view in placement.views]}
