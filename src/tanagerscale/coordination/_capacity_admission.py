"""Decides which waiting generations are refused at once, from the runs of all hosts."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import math
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.coordination._context import DecisionContext
from tanagerscale.coordination._context import eligible_upstreams
from tanagerscale.coordination._engine_views import EvaluationViews
from tanagerscale.coordination._ledger import TOKEN_INTERVAL_MS
from tanagerscale.coordination._ledger import LedgerRun
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import RequestClass
from tanagerscale.policy import GROWTH_RESERVE_TOKENS
from tanagerscale.policy import MAX_PLANNED_MEMORY_RATIO
from tanagerscale.policy import PREFILL_TOKENS_PER_MS
from tanagerscale.policy import AdmissionOutlook
from tanagerscale.policy import CapacityForecast
from tanagerscale.policy import Claim
from tanagerscale.policy import EngineView
from tanagerscale.policy import LengthEstimator
from tanagerscale.policy import PlacementDecision
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import PlacementVerdict
from tanagerscale.policy import Release
from tanagerscale.policy import Reservation
from tanagerscale.policy import RetrySchedule
from tanagerscale.policy import RetryTime
from tanagerscale.policy import choose_retry_time
from tanagerscale.policy import is_hopeless

FORECAST_INTERVAL_MS: Final = 40
"""Minimum time between two forecasts. The queue is evaluated every 50 ms and with each report; a
forecast reads all runs, and so many would use up the decider's processor."""

MIN_TIME_IN_OFFICE_MS: Final = 1000
"""Time for which a decider refuses nobody by forecast: all hosts report to it within a second."""

MIN_ENDED_RUNS: Final = 8
"""Ended long generations of a service before its forecasts refuse anybody; until then the estimate
is mostly the assumed distribution."""

MIN_MEASURED_TOKENS: Final = 20
"""Tokens of an answer from which its time per token is taken; before that, prefill distorts it."""

MIN_SHARE: Final = 0.9
"""Fraction of the hosts below which a decider refuses nobody by forecast: it does not know which
memory the callers of the other deciders will get."""

MIN_RETRY_MS: Final = 50
"""Shortest retry delay; callers that return at once only compete with others."""

RESERVED_WAIT_MS: Final = 4000
"""Time for which a caller that returned as told is not treated as late, except that those in time
go first. With the patience of 3 s it is refused before callers abandon a stream, after 7 s."""

NO_CAPACITY_IN_TIME: Final = "by the forecast there is no capacity in time"

UNKNOWN_LENGTH: Final = 1 << 20
"""Upper bound in tokens of an answer whose caller names none."""


class CapacityReview(Struct, frozen=True, kw_only=True):
    """What the forecast says about a generation for which there is no capacity now.

    :param outlook: The forecast; ``None`` if there is none that can be trusted.
    :param retry: When its caller should return; ``None`` unless it is refused.
    """

    outlook: AdmissionOutlook | None = None
    retry: RetryTime | None = None

    def fields(self) -> dict[str, object]:
        """Return the fields for the log."""
        if self.outlook is None:
            return {}
        start_ms = self.outlook.start_ms
        return {
            "forecast_start_ms": -1 if math.isinf(start_ms) else int(start_ms),
            "ahead_tokens": self.outlook.ahead_tokens,
            "retry_ms": 0 if self.retry is None else self.retry.retry_ms,
            "is_reserved": self.retry is not None and self.retry.is_reserved,
        }


NO_REVIEW: Final = CapacityReview()


@final
class CapacityAdmission:
    """Forecasts capacity for the queue and keeps the reservations of refused callers.

    :param context: Inputs of decisions.
    :param ledger: Runs of all hosts.
    :param share: Returns the fraction of all hosts that use this decider.
    :param in_office_ms: Returns for how long this host has been a decider.
    :param is_enabled: Whether anything is forecast, refused by forecast or reserved.
    """

    def __init__(
        self,
        *,
        context: DecisionContext,
        ledger: RunLedger,
        share: Callable[[], float],
        in_office_ms: Callable[[], int],
        is_enabled: bool = False,
    ) -> None:
        self.is_enabled = is_enabled
        self._context = context
        self._ledger = ledger
        self._share = share
        self._in_office_ms = in_office_ms
        self._lengths = LengthEstimator()
        self._ended: dict[ServiceId, int] = {}
        self._forecasts: dict[ServiceId, CapacityForecast | None] = {}
        self._pass_at: Millis | None = None
        self._is_due = False
        self._waiting: frozenset[str] = frozenset()
        self.schedule: Final = RetrySchedule()
        ledger.ended.subscribe(self._on_ended)

    def on_report(self, runs: HostRuns) -> None:
        """Take over the reservations that a host reports."""
        if not self.is_enabled:
            return
        now = self._context.clock.now()
        for fingerprint in runs.returned:
            self.schedule.drop_used(fingerprint, now=now)
        for refused in runs.refused:
            reservation = Reservation(
                fingerprint=refused.fingerprint,
                service=refused.service,
                tokens=refused.tokens,
                is_long=refused.is_long,
                return_at=Millis(now + refused.return_ms),
            )
            self.schedule.restore(reservation, now=now)

    def has_reservation(self, ask: PlaceAsk, *, present: frozenset[str]) -> bool:
        """Return whether a caller has returned in its time.

        :param ask: Its ask.
        :param present: Fingerprints of the waiting callers that have a reservation.
        """
        now = self._context.clock.now()
        return (
            self.is_enabled
            and ask.fingerprint not in present
            and self.schedule.find(ask.fingerprint, now=now) is not None
        )

    def start_pass(self, *, present: frozenset[str], waiting: frozenset[str]) -> None:
        """Begin an evaluation of the queue.

        :param present: Fingerprints of the waiting callers that have a reservation.
        :param waiting: Fingerprints of all waiting callers. One that has returned too early waits
            as a new one, so its reservation takes no capacity besides.
        """
        now = self._context.clock.now()
        self._waiting = waiting
        for fingerprint in present:
            self.schedule.hold(fingerprint, now=now)
        self._is_due = self._pass_at is None or now - self._pass_at >= FORECAST_INTERVAL_MS
        if self._is_due:
            self._pass_at = now
            self._forecasts.clear()

    def review(
        self,
        ask: PlaceAsk,
        placement: PlacementDecision,
        *,
        left_ms: int,
        queued_ms: int,
        may_reserve: bool,
        views: EvaluationViews,
    ) -> CapacityReview:
        """Return the forecast for a generation, and its return time if it is to be refused.

        :param ask: The generation.
        :param placement: Decision without a forecast; only one for lack of capacity is reviewed.
        :param left_ms: Time for which it can wait.
        :param queued_ms: Time since its ask was received.
        :param may_reserve: Whether capacity may be reserved for its return.
        :param views: Views of the engines in this evaluation.
        """
        is_over = placement.verdict is PlacementVerdict.REFUSE
        if not self.is_enabled or not placement.views or not (self._is_due or is_over):
            return NO_REVIEW
        service = ServiceId(ask.service)
        if service not in self._forecasts:
            self._forecasts[service] = self._build_forecast(service, views)
        forecast = self._forecasts[service]
        if forecast is None:
            return NO_REVIEW
        outlook = forecast.forecast(tokens=ask.prompt_tokens)
        if outlook is None:
            return NO_REVIEW
        is_refusable = ask.deadline_ms > 0 and not ask.domains
        retry: RetryTime | None = None
        if is_refusable and (is_over or is_hopeless(start_ms=outlook.start_ms, left_ms=left_ms)):
            retry = choose_retry_time(
                start_ms=max(outlook.start_ms, MIN_RETRY_MS),
                deadline_ms=max(ask.deadline_ms - queued_ms, 0),
                spread=self._context.rng.random(),
            )
            retry = self._reserve(ask, retry, may_reserve=may_reserve)
        if retry is not None or not is_over:
            self._take(ask, forecast, retry)
        return CapacityReview(outlook=outlook, retry=retry)

    def _take(self, ask: PlaceAsk, forecast: CapacityForecast, retry: RetryTime | None) -> None:
        """Take the capacity of a generation that waits or has a reservation."""
        if retry is not None and not retry.is_reserved:
            return  # Others get the capacity.
        service = ServiceId(ask.service)
        hold_ms = self._hold_ms(
            service, tokens=ask.prompt_tokens, is_long=ask.is_long, max_tokens=ask.max_tokens
        )
        forecast.take(tokens=ask.prompt_tokens, hold_ms=hold_ms)

    def _reserve(self, ask: PlaceAsk, retry: RetryTime, *, may_reserve: bool) -> RetryTime:
        """Reserve capacity for a refused generation, and return its time as it is told."""
        now = self._context.clock.now()
        retry_ms = max(retry.retry_ms, MIN_RETRY_MS)
        reservation = Reservation(
            fingerprint=ask.fingerprint,
            service=ask.service,
            tokens=ask.prompt_tokens,
            is_long=ask.is_long,
            return_at=Millis(now + retry_ms),
        )
        is_reserved = retry.is_reserved and may_reserve
        is_reserved = is_reserved and self.schedule.reserve(reservation, now=now)
        return RetryTime(retry_ms=retry_ms, is_reserved=is_reserved)

    def _build_forecast(
        self, service: ServiceId, evaluation: EvaluationViews
    ) -> CapacityForecast | None:
        """Return the forecast for a service; ``None`` if there is too little data for one."""
        if self._in_office_ms() < MIN_TIME_IN_OFFICE_MS or self._share() < MIN_SHARE:
            return None
        if self._ended.get(service, 0) < MIN_ENDED_RUNS:
            return None
        context = self._context
        views = {
            entry.upstream: evaluation.view(entry) for entry in eligible_upstreams(context, service)
        }
        runs = self._ledger.runs()
        releases = [
            self._expect_release(service, run, views[UpstreamId(run.use.upstream)])
            for run in runs
            if run.use.upstream in views
        ]
        if not releases:
            return None
        return CapacityForecast(
            free={
                upstream: view.memory_tokens * MAX_PLANNED_MEMORY_RATIO - view.planned_tokens
                for upstream, view in views.items()
            },
            releases=releases,
            claims=[*self._leaving_claims(service, runs), *self._reservation_claims(service)],
        )

    def _expect_release(self, service: ServiceId, run: LedgerRun, view: EngineView) -> Release:
        use = run.use
        has_begun = run.running_ms >= 0 or not use.prompt_tokens
        after_ms = 0.0 if has_begun else view.waiting_tokens / view.prefill_tokens_per_ms
        interval_ms = _token_interval_ms(run)
        after_ms += interval_ms * self._expected_left(
            service, is_long=use.is_long, max_tokens=use.max_tokens, made=run.answer_tokens
        )
        return Release(
            upstream=view.upstream,
            after_ms=after_ms,
            tokens=run.tokens + GROWTH_RESERVE_TOKENS,
            growth_per_ms=1 / interval_ms if has_begun and use.is_long else 0.0,
        )

    def _leaving_claims(self, service: ServiceId, runs: Sequence[LedgerRun]) -> list[Claim]:
        """Return the claims of long runs that must leave their engine and have no copy."""
        claims = []
        for run in runs:
            upstream = UpstreamId(run.use.upstream)
            if (
                not run.use.is_long
                or run.use.copy_at
                or not self._context.gate.is_leaving(upstream)
            ):
                continue
            entry = self._context.upstreams.get(upstream)
            if entry is not None and entry.service == service:
                hold_ms = _token_interval_ms(run) * self._expected_left(
                    service, is_long=True, max_tokens=run.use.max_tokens, made=run.answer_tokens
                )
                claims.append(Claim(after_ms=0.0, tokens=run.tokens, hold_ms=hold_ms))
        return claims

    def _reservation_claims(self, service: ServiceId) -> list[Claim]:
        now = self._context.clock.now()
        return [
            Claim(
                after_ms=max(kept.return_at - now, 0),
                tokens=kept.tokens,
                hold_ms=self._hold_ms(service, tokens=kept.tokens, is_long=kept.is_long),
            )
            for kept in self.schedule.pending(service, now=now)
            if kept.fingerprint not in self._waiting
        ]

    def _hold_ms(
        self, service: ServiceId, *, tokens: int, is_long: bool, max_tokens: int = 0
    ) -> float:
        """Return how long a generation that starts is expected to hold its memory."""
        left = self._expected_left(service, is_long=is_long, max_tokens=max_tokens, made=0)
        return tokens / PREFILL_TOKENS_PER_MS + left * TOKEN_INTERVAL_MS

    def _expected_left(
        self, service: ServiceId, *, is_long: bool, max_tokens: int, made: int
    ) -> float:
        request = _length_request(service, is_long=is_long, max_tokens=max_tokens)
        left = self._lengths.curve(request=request).expected_left(made)
        return min(left, max(request.max_tokens - made, 0))

    def _on_ended(self, run: LedgerRun) -> None:
        entry = self._context.upstreams.get(UpstreamId(run.use.upstream))
        if not self.is_enabled or entry is None:
            return
        request = _length_request(
            entry.service, is_long=run.use.is_long, max_tokens=run.use.max_tokens
        )
        # Reports are extrapolated, so the estimate may exceed what the caller has asked for.
        self._lengths.observe(request=request, tokens=min(run.answer_tokens, request.max_tokens))
        if run.use.is_long:
            self._ended[entry.service] = self._ended.get(entry.service, 0) + 1


def _token_interval_ms(run: LedgerRun) -> float:
    """Return the time per token of a run, measured on itself if it has enough tokens."""
    use = run.use
    if use.begun_ms > 0 and use.made >= MIN_MEASURED_TOKENS:
        return use.begun_ms / use.made
    return TOKEN_INTERVAL_MS


def _length_request(service: ServiceId, *, is_long: bool, max_tokens: int) -> PlacementRequest:
    return PlacementRequest(
        generation=GenerationId(""),
        model=ModelId(service),
        account=ClientAccountId(""),
        request_class=(RequestClass.LONG if is_long else RequestClass.SHORT).value,
        prompt_tokens=0,
        max_tokens=max_tokens if max_tokens > 0 else UNKNOWN_LENGTH,
        arrived=Millis(0),
    )
