"""Admission of generations: requests a placement and reserves memory on the chosen engine."""

from __future__ import annotations

import asyncio
from collections.abc import Set
from typing import Final
from typing import Protocol
from typing import final

from msgspec.structs import replace
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._crash_evidence import is_quarantined
from tanagerscale.forwarding._demand import is_long
from tanagerscale.forwarding._demand import max_answer_tokens
from tanagerscale.forwarding._demand import max_late_wait_ms
from tanagerscale.forwarding._demand import prompt_tokens
from tanagerscale.forwarding._demand import run_origin
from tanagerscale.forwarding._demand import time_until_late_ms
from tanagerscale.forwarding._demand import waited_ms
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._pauses import refuse_if_paused
from tanagerscale.forwarding._refusals import no_capacity
from tanagerscale.forwarding._refusals import no_capacity_until
from tanagerscale.forwarding._refusals import quarantined
from tanagerscale.forwarding._refusals import rate_limited
from tanagerscale.forwarding._types import PUBLIC_ACCOUNT
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.generated.messages import RefusalCause
from tanagerscale.generated.messages import RefusedGeneration
from tanagerscale.routes import effective_priority
from tanagerscale.upstreams import UpstreamEntry

ENTRY_POLL_INTERVAL_MS: Final = 10
MAX_ENTRY_POLLS: Final = 10
"""Interval and maximum number of polls for the entry of an engine that was chosen by the decider
but is not known to this host yet. The decider may receive a new engine some milliseconds
earlier."""

UNKNOWN_REASON: Final = "it is not known here"
EVACUATED_REASON: Final = "its failure domain is evacuated"
LEAVING_REASON: Final = "it is leaving"
PAUSED_REASON: Final = "it has asked for a pause"

CAPACITY_CAUSES: Final = frozenset({RefusalCause.CAPACITY, RefusalCause.FORECAST})
"""Causes of refusals whose retry delay is a time in the schedule of the decider."""

_log = get_logger(part="admission")

AdmissionResult = Result[UpstreamEntry, Refusal]


class Placer(Protocol):
    """Places generations on engines."""

    async def place(self, *, ask: PlaceAsk) -> PlaceAnswer:
        """Return the placement of a generation; cancelling the call withdraws the request."""


@final
class Admission:
    """Gets an engine for each generation, waiting for capacity if necessary, or refuses it.

    :param context: Dependencies shared by all requests.
    :param placer: Places generations on engines.
    """

    def __init__(self, *, context: ForwardingContext, placer: Placer) -> None:
        self._context = context
        self._placer = placer

    async def find_engine(
        self, *, routed: RoutedRequest, excluded: Set[UpstreamId]
    ) -> AdmissionResult:
        """Return the engine to send a generation to, or a refusal.

        On success, the generation's memory on the engine is reserved in ``context.work``; the
        calling code must release it with ``work.end``.

        :param routed: The request.
        :param excluded: Engines that did not accept the request.
        """
        tried = set(excluded)
        while True:
            if is_quarantined(routed, self._context):
                return Failure(quarantined())
            refusal = refuse_if_paused(routed, self._context, tried)
            if refusal is not None:
                return Failure(refusal)
            answer = await self._place(routed, tried, refused_by=excluded)
            if answer is None:
                continue
            if answer.kind is not PlaceKind.SEND:
                paused = refuse_if_paused(routed, self._context, tried)
                return Failure(paused or self._refuse(routed, answer))
            upstream = UpstreamId(answer.upstream)
            entry = await self._wait_for_entry(upstream)
            obstacle = self._find_obstacle(upstream)
            if entry is not None and not obstacle:
                self._reserve(routed, entry, queued_tokens=answer.queued_tokens)
                if answer.is_reserved:
                    self._context.work.refused.record_returned(routed.fingerprint)
                self._log(
                    "An engine is given.",
                    routed,
                    upstream=upstream,
                    forecast_ms=answer.forecast_ms,
                )
                return Success(entry)
            self._log(
                "The placed engine can't be used.",
                routed,
                upstream=upstream,
                reason=obstacle or UNKNOWN_REASON,
            )
            if obstacle != PAUSED_REASON:
                tried.add(upstream)

    def _refuse(self, routed: RoutedRequest, answer: PlaceAnswer) -> Refusal:
        """Return the refusal of a generation that the decider has refused."""
        self._log(
            "A generation is refused.",
            routed,
            reason=answer.reason,
            cause=answer.cause.value,
            retry_ms=answer.retry_ms,
            is_reserved=answer.is_reserved,
        )
        service, rng = routed.service, self._context.rng
        is_for_capacity = answer.cause in CAPACITY_CAUSES
        if is_for_capacity:
            self._context.metrics.capacity_refusals.labels(answer.cause.value).inc()
        if not answer.retry_ms:
            return no_capacity(service=service, rng=rng)
        if not is_for_capacity:
            return rate_limited(service=service, delay_ms=answer.retry_ms, rng=rng)
        if answer.is_reserved:
            refused = RefusedGeneration(
                fingerprint=routed.fingerprint,
                service=service,
                account=routed.caller.account or PUBLIC_ACCOUNT,
                priority=effective_priority(route=routed.route, caller=routed.caller),
                tokens=prompt_tokens(routed),
                is_long=is_long(routed),
                return_ms=answer.retry_ms,
            )
            self._context.work.refused.record_refused(refused)
        return no_capacity_until(service=service, delay_ms=answer.retry_ms)

    async def _place(
        self, routed: RoutedRequest, tried: Set[UpstreamId], *, refused_by: Set[UpstreamId]
    ) -> PlaceAnswer | None:
        """Ask for a placement; return ``None`` if what it depends on changes before the answer.

        That is which engines are paused, and whether the request has what crashes upstreams.
        """
        paused = self._paused_engines(routed)
        all_paused = self._context.pauses.paused
        ask = self._build_ask(routed, tried, all_paused)
        ask = replace(ask, refused_by=sorted(refused_by | all_paused))
        asking = asyncio.ensure_future(self._placer.place(ask=ask))
        changed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def on_change(_: object) -> None:
            is_affected = self._paused_engines(routed) != paused
            if not changed.done() and (is_affected or is_quarantined(routed, self._context)):
                changed.set_result(None)

        subscriptions = (
            self._context.pauses.changes.subscribe(on_change),
            self._context.suspects.convictions.subscribe(on_change),
        )
        try:
            await asyncio.wait((asking, changed), return_when=asyncio.FIRST_COMPLETED)
            return asking.result() if asking.done() else None
        finally:
            for subscription in subscriptions:
                subscription.dispose()
            asking.cancel()

    def _paused_engines(self, routed: RoutedRequest) -> frozenset[UpstreamId]:
        return frozenset(
            upstream
            for upstream in self._context.pauses.paused
            if (entry := self._context.upstreams.get(upstream)) is not None
            and entry.service == routed.service
        )

    def _build_ask(
        self, routed: RoutedRequest, tried: Set[UpstreamId], paused: Set[UpstreamId]
    ) -> PlaceAsk:
        # A generation that an engine has got is not refused by forecast.
        time_left_ms = 0 if tried else max(routed.deadline - self._context.clock.now(), 0)
        return PlaceAsk(
            serial=0,
            request=routed.request.request,
            service=routed.service,
            prompt_tokens=prompt_tokens(routed),
            is_long=is_long(routed),
            left_ms=time_until_late_ms(routed, self._context),
            patience_ms=max_late_wait_ms(routed, self._context),
            waited_ms=waited_ms(routed, self._context),
            excluded=sorted(tried | paused),
            domains=sorted(routed.domains),
            account=routed.caller.account or PUBLIC_ACCOUNT,
            priority=effective_priority(route=routed.route, caller=routed.caller),
            route_priority=routed.route.priority,
            max_tokens=max_answer_tokens(routed),
            fingerprint=routed.fingerprint,
            deadline_ms=time_left_ms,
        )

    def _find_obstacle(self, upstream: UpstreamId) -> str:
        """Return why a placed engine must get no request; the empty string if it may get one.

        The host that placed the generation may not know yet what this host knows.
        """
        if self._context.upstreams.is_evacuated(upstream):
            return EVACUATED_REASON
        if self._context.gate.is_leaving(upstream):
            return LEAVING_REASON
        return PAUSED_REASON if self._context.pauses.is_paused(upstream) else ""

    async def _wait_for_entry(self, upstream: UpstreamId) -> UpstreamEntry | None:
        """Return the entry of an engine, polling for it for a short time if it is unknown."""
        for _ in range(MAX_ENTRY_POLLS):
            entry = self._context.upstreams.get(upstream)
            if entry is not None:
                return entry
            await self._context.clock.sleep(ENTRY_POLL_INTERVAL_MS)
        return None

    def _reserve(self, routed: RoutedRequest, entry: UpstreamEntry, *, queued_tokens: int) -> None:
        prompt = prompt_tokens(routed)
        self._context.work.begin(
            request=routed.request.request,
            upstream=entry.upstream,
            prompt_tokens=prompt,
            tokens=prompt,
            is_long=is_long(routed),
            domains=routed.domains,
            origin=run_origin(routed),
            queued_tokens=queued_tokens,
        )

    def _log(self, message: str, routed: RoutedRequest, **inputs: object) -> None:
        request = routed.request
        _log.info(
            message,
            request=request.request,
            after_ms=self._context.clock.now() - request.arrived,
            **inputs,
        )
