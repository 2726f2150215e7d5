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
from msgspec.structs import replace

from tanagerscale.coordination._capacity_admission import NO_CAPACITY_IN_TIME
from tanagerscale.coordination._capacity_admission import NO_REVIEW
from tanagerscale.coordination._capacity_admission import RESERVED_WAIT_MS
from tanagerscale.coordination._capacity_admission import CapacityAdmission
from tanagerscale.coordination._capacity_admission import CapacityReview
from tanagerscale.coordination._context import DecisionContext
from tanagerscale.coordination._context import build_engine_view
from tanagerscale.coordination._context import eligible_upstreams
from tanagerscale.coordination._ledger import EngineTotal
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.core import MS_PER_SECOND
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
from tanagerscale.generated.messages import RefusalCause
from tanagerscale.generated.messages import RequestClass
from tanagerscale.generated.messages import RunUse
from tanagerscale.policy import PlacementDecision
from tanagerscale.policy import PlacementQuery
from tanagerscale.policy import PlacementVerdict
from tanagerscale.policy import place

REEVALUATION_INTERVAL_MS: Final = 50
"""Interval at which the queue is evaluated without a change: generations become late as time
passes."""

EVACUATED: Final = "the failure domains of its engines are evacuated"
AT_RATE_LIMIT: Final = "its engines are at their rate limits"
OUTSIDE_ALLOWED_REGIONS: Final = "no engine is in the regions that its route and account name"
ALL_EXCLUDED: Final = "each engine has refused it or asked its host for a pause"

_log = get_logger(part="placement")


class _QueuedPlacement(Struct, kw_only=True, eq=False):
    """A generation that waits for an engine.

    :param host: Host that asks.
    :param domain: Failure domain of that host.
    :param ask: The ask.
    :param arrived_at: When the request arrived at that host.
    :param deadline: When its first event is due.
    :param reason: Why it waits.
    :param has_reservation: Whether its caller was refused before and has returned as told.
    :param reserved_until: Until when it waits in any case, and needs no more room than one in time.
    :param review: What the last forecast says about it.
    """

    host: HostId
    domain: FailureDomainId
    ask: PlaceAsk
    arrived_at: Millis
    deadline: Millis
    reason: str = ""
    has_reservation: bool = False
    reserved_until: Millis = Millis(0)
    review: CapacityReview = NO_REVIEW

    def left_ms(self, now: Millis) -> int:
        """Return the time until its first event is late, or for which it waits in any case."""
        until = max(self.deadline, self.reserved_until) if self.has_reservation else self.deadline
        return until - now


@final
class PlacementQueue:
    """Assigns each generation an engine, immediately or when there is capacity, or refuses it.

    Generations that can still meet their deadline go before late ones. Short generations go before
    long ones: they hold their memory for half a second where a long one holds it for ten, and are
    interactive. Within a class the order is first in, first out across all hosts.

    :param context: Inputs of decisions.
    :param ledger: Runs of all hosts.
    :param admission: Forecasts capacity and keeps the reservations of refused callers.
    :param send_answer: Sends a decision to a host.
    """

    def __init__(
        self,
        *,
        context: DecisionContext,
        ledger: RunLedger,
        admission: CapacityAdmission,
        send_answer: Callable[[HostId, PlaceAnswer], None],
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._admission = admission
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
        has_reservation = self._admission.has_reservation(ask, present=self._returned())
        waiting = _QueuedPlacement(
            host=host,
            domain=domain,
            ask=ask,
            arrived_at=Millis(now - ask.waited_ms),
            deadline=Millis(now + ask.left_ms),
            has_reservation=has_reservation,
            reserved_until=Millis(now + RESERVED_WAIT_MS if has_reservation else 0),
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
        self._admission.start_pass(present=self._returned())
        ordered = sorted(
            self._waiting.values(),
            key=lambda one: (
                one.deadline <= now,
                not one.has_reservation,
                one.ask.is_long,
                one.arrived_at,
            ),
        )
        for waiting in ordered:
            placement = self._review(waiting, self._place(waiting, totals), totals)
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
        if not entries and excluded and eligible_upstreams(context, service):
            return PlacementDecision(verdict=PlacementVerdict.REFUSE, reason=ALL_EXCLUDED)
        query = PlacementQuery(
            prompt_tokens=ask.prompt_tokens,
            is_long=ask.is_long,
            left_ms=waiting.left_ms(context.clock.now()),
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

    def _review(
        self,
        waiting: _QueuedPlacement,
        placement: PlacementDecision,
        totals: Mapping[UpstreamId, EngineTotal],
    ) -> PlacementDecision:
        """Return the decision for a generation once it is known when there will be capacity."""
        left_ms = waiting.left_ms(self._context.clock.now()) + waiting.ask.patience_ms
        review = self._admission.review(
            waiting.ask,
            placement,
            left_ms=left_ms,
            # Callers return once, and one that arrives late was refused before.
            may_reserve=not waiting.has_reservation and waiting.deadline > waiting.arrived_at,
            totals=totals,
        )
        waiting.review = review if review.outlook is not None else waiting.review
        if placement.verdict is PlacementVerdict.WAIT and review.retry is not None:
            return replace(placement, verdict=PlacementVerdict.REFUSE, reason=NO_CAPACITY_IN_TIME)
        return placement

    def _returned(self) -> frozenset[str]:
        """Return the fingerprints of the waiting callers that have a reservation."""
        return frozenset(
            one.ask.fingerprint for one in self._waiting.values() if one.has_reservation
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
        if waiting.has_reservation:
            self._admission.schedule.use(ask.fingerprint, now=self._context.clock.now())
        if view is None:
            self._log(
                "A generation is refused.",
                waiting,
                **_placement_fields(placement),
                **waiting.review.fields(),
            )
            retry = waiting.review.retry
            refusal = PlaceAnswer(
                serial=ask.serial,
                kind=PlaceKind.REFUSE,
                reason=placement.reason,
                retry_ms=int(placement.wait_ms) if retry is None else retry.retry_ms,
                cause=_cause_of(placement),
                is_reserved=retry is not None and retry.is_reserved,
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
            has_reservation=waiting.has_reservation,
        )
        granted = PlaceAnswer(
            serial=ask.serial,
            kind=PlaceKind.SEND,
            upstream=view.upstream,
            forecast_ms=int(placement.wait_ms),
            reason=placement.reason,
            queued_tokens=view.waiting_tokens + ask.prompt_tokens,
            is_reserved=waiting.has_reservation,
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
            **inputs,
        )


def _class_of(ask: PlaceAsk) -> RequestClass:
    return RequestClass.LONG if ask.is_long else RequestClass.SHORT


def _cause_of(placement: PlacementDecision) -> RefusalCause:
    if placement.reason == AT_RATE_LIMIT:
        return RefusalCause.RATE_LIMIT
    if placement.reason == NO_CAPACITY_IN_TIME:
        return RefusalCause.FORECAST
    return RefusalCause.CAPACITY if placement.views else RefusalCause.OTHER


def _placement_fields(placement: PlacementDecision) -> dict[str, object]:
    return {"reason": placement.reason, "engines": [str(view) for view in placement.views]}
