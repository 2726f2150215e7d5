"""Queue of generations of all hosts that wait for an engine."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import final

from msgspec import Struct
from msgspec.structs import replace

from tanagerscale.coordination._account_usage import AccountUsage
from tanagerscale.coordination._account_usage import priority_label
from tanagerscale.coordination._capacity_admission import NO_CAPACITY_IN_TIME
from tanagerscale.coordination._capacity_admission import NO_REVIEW
from tanagerscale.coordination._capacity_admission import RESERVED_WAIT_MS
from tanagerscale.coordination._capacity_admission import CapacityAdmission
from tanagerscale.coordination._capacity_admission import CapacityReview
from tanagerscale.coordination._context import DecisionContext
from tanagerscale.coordination._context import eligible_upstreams
from tanagerscale.coordination._engine_views import EngineGroup
from tanagerscale.coordination._engine_views import EvaluationViews
from tanagerscale.coordination._engine_views import engine_group
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.coordination._pacing import Pacing
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
from tanagerscale.generated.messages import RefusalCause
from tanagerscale.generated.messages import RunUse
from tanagerscale.policy import QUEUES_TOO_LONG
from tanagerscale.policy import PlacementDecision
from tanagerscale.policy import PlacementQuery
from tanagerscale.policy import PlacementVerdict
from tanagerscale.policy import WaitingGeneration
from tanagerscale.policy import place

REEVALUATION_INTERVAL_MS: Final = 50
"""Interval at which the queue is evaluated without a change: generations become late as time
passes."""

MAX_EVALUATION_SHARE: Final = 0.3
"""Fraction of the processor time that a decider spends on evaluations of the queue at most. Reports
change the ledger hundreds of times a second in a burst; asks and reports have to be read in
between."""

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
    :param group: What determines which engines it may use.
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
    group: EngineGroup
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

    Generations that can still meet their deadline go before late ones. Where priorities differ,
    accounts below their minimum go first, then high priorities before low ones. Short generations
    go before long ones: they hold their memory for half a second where a long one holds it for ten,
    and are interactive. Within a class the account with the lowest
    usage goes first, and the order within an account is first in, first out across all hosts.

    :param context: Inputs of decisions.
    :param ledger: Runs of all hosts.
    :param usage: Usage of the client accounts.
    :param admission: Forecasts capacity and keeps the reservations of refused callers.
    :param send_answer: Sends a decision to a host.
    """

    def __init__(
        self,
        *,
        context: DecisionContext,
        ledger: RunLedger,
        usage: AccountUsage,
        admission: CapacityAdmission,
        send_answer: Callable[[HostId, PlaceAnswer], None],
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._usage = usage
        self._admission = admission
        self._send_answer = send_answer
        self._waiting: dict[tuple[HostId, int], _QueuedPlacement] = {}
        self._limited: Counter[ServiceId] = Counter()
        """Generations of this evaluation that wait for the rate limits of their service."""
        self._timer: asyncio.TimerHandle | None = None
        self._is_evaluating = False
        self._pacing = Pacing(max_share=MAX_EVALUATION_SHARE)

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
        has_reservation = self._admission.has_reservation(ask, present=self._returned())
        waiting = _QueuedPlacement(
            host=host,
            domain=domain,
            ask=ask,
            arrived_at=Millis(now - ask.waited_ms),
            deadline=Millis(now + ask.left_ms),
            group=engine_group(ask),
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
        delay_ms = self._pacing.delay_ms()
        if delay_ms > 0:
            self._schedule_reevaluation(delay_ms)
            return
        self._is_evaluating = True
        try:
            with self._pacing.measure():
                self._evaluate_all()
        finally:
            self._is_evaluating = False
        self._schedule_reevaluation(REEVALUATION_INTERVAL_MS)

    def _evaluate_all(self) -> None:
        views = EvaluationViews(context=self._context, ledger=self._ledger)
        now = self._context.clock.now()
        self._limited.clear()
        self._use_due_reservations(now)
        self._admission.start_pass(
            present=self._returned(),
            waiting=frozenset(one.ask.fingerprint for one in self._waiting.values()),
        )
        entries = [(_describe(one, now), one) for one in self._waiting.values()]
        for waiting in self._usage.order(entries):
            placement = self._review(waiting, self._place(waiting, views), views)
            if placement.verdict is PlacementVerdict.WAIT:
                if placement.reason == QUEUES_TOO_LONG:
                    views.waiting_in_time.add(waiting.group.service)
                self._record_wait(waiting, placement)
                continue
            del self._waiting[(waiting.host, waiting.ask.serial)]
            self._decide(waiting, placement)
            if placement.engine is not None:
                views.on_granted(placement.engine.upstream)

    def _place(self, waiting: _QueuedPlacement, views: EvaluationViews) -> PlacementDecision:
        context = self._context
        ask = waiting.ask
        entries = views.entries(waiting.group)
        if not entries and context.upstreams.has_evacuated(waiting.group.service):
            return PlacementDecision(verdict=PlacementVerdict.REFUSE, reason=EVACUATED)
        if not entries and ask.domains:
            return PlacementDecision(
                verdict=PlacementVerdict.REFUSE, reason=OUTSIDE_ALLOWED_REGIONS
            )
        if not entries and _is_refused_by_all(ask, context):
            return PlacementDecision(verdict=PlacementVerdict.REFUSE, reason=ALL_EXCLUDED)
        query = PlacementQuery(
            prompt_tokens=ask.prompt_tokens,
            is_long=ask.is_long,
            left_ms=waiting.left_ms(context.clock.now()),
            patience_ms=ask.patience_ms,
            yields=waiting.group.service in views.waiting_in_time,
        )
        group = waiting.group
        allowed = views.allowed_entries(group)
        if entries and not allowed:
            return self._wait_for_rate(group.service, [one.upstream for one in entries], query)
        decision = views.known_decision(group, query)
        if decision is None:
            decision = place(
                query=query,
                views=[views.view(entry) for entry in allowed],
                reserved_tokens=views.leaving_tokens(),
                failure_domain=waiting.domain,
                rng=context.rng,
            )
            views.record(group, query, decision)
        return decision

    def _review(
        self,
        waiting: _QueuedPlacement,
        placement: PlacementDecision,
        views: EvaluationViews,
    ) -> PlacementDecision:
        """Return the decision for a generation once it is known when there will be capacity."""
        now = self._context.clock.now()
        left_ms = waiting.left_ms(now) + waiting.ask.patience_ms
        review = self._admission.review(
            waiting.ask,
            placement,
            left_ms=left_ms,
            queued_ms=now - waiting.arrived_at - waiting.ask.waited_ms,
            # Callers return once, and one that arrives late was refused before.
            may_reserve=not waiting.has_reservation and waiting.deadline > waiting.arrived_at,
            views=views,
        )
        waiting.review = review if review.outlook is not None else waiting.review
        if placement.verdict is PlacementVerdict.WAIT and review.retry is not None:
            return replace(placement, verdict=PlacementVerdict.REFUSE, reason=NO_CAPACITY_IN_TIME)
        return placement

    def _use_due_reservations(self, now: Millis) -> None:
        """Let callers that have returned too early use their reservations once these are due."""
        admission = self._admission
        for waiting in self._waiting.values():
            if waiting.has_reservation or waiting.ask.fingerprint not in admission.schedule:
                continue
            if admission.has_reservation(waiting.ask, present=self._returned()):
                waiting.has_reservation = True
                waiting.reserved_until = Millis(now + RESERVED_WAIT_MS)

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
        self._usage.grant(use)
        self._ledger.grant(host=waiting.host, use=use)
        self._context.rate_limits.record(view.upstream, waiting.group.kind)
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
            engine_prefill_tokens_per_ms=round(view.prefill_tokens_per_ms, 2),
            engine_slowness=round(view.slowness, 2),
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

    def _schedule_reevaluation(self, delay_ms: float) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time() + delay_ms / MS_PER_SECOND
        if not self._waiting or (self._timer is not None and self._timer.when() <= at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(at, self._on_timer)

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
        is_returning=waiting.has_reservation,
        arrived_at=waiting.arrived_at,
        waited_ms=now - waiting.arrived_at,
        target_ms=waiting.deadline - waiting.arrived_at,
        has_waited=bool(waiting.reason),
    )


def _is_refused_by_all(ask: PlaceAsk, context: DecisionContext) -> bool:
    """Return whether each engine of the service has refused a generation or is paused for it."""
    upstreams = {entry.upstream for entry in eligible_upstreams(context, ServiceId(ask.service))}
    return bool(upstreams) and upstreams <= set(ask.refused_by)


def _cause_of(placement: PlacementDecision) -> RefusalCause:
    if placement.reason == AT_RATE_LIMIT:
        return RefusalCause.RATE_LIMIT
    if placement.reason == NO_CAPACITY_IN_TIME:
        return RefusalCause.FORECAST
    return RefusalCause.CAPACITY if placement.views else RefusalCause.OTHER


def _placement_fields(placement: PlacementDecision) -> dict[str, object]:
    return {"reason": placement.reason, "engines": [str(view) for view in placement.views]}
