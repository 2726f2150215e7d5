"""Forwarding of requests whose response is buffered and sent as a whole."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from itertools import takewhile
from typing import Any
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.coordination import AttemptHealthRecorder
from tanagerscale.coordination import eligible_upstreams
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._closed_bodies import check_close
from tanagerscale.forwarding._crash_evidence import is_quarantined
from tanagerscale.forwarding._crash_evidence import record_broken_response
from tanagerscale.forwarding._crash_evidence import record_complete_response
from tanagerscale.forwarding._crash_evidence import wait_if_suspected
from tanagerscale.forwarding._execution import ExecutionRecord
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._pauses import refuse_if_paused
from tanagerscale.forwarding._refusals import no_upstream
from tanagerscale.forwarding._refusals import quarantined
from tanagerscale.forwarding._refusals import rate_limited
from tanagerscale.forwarding._refusals import upstream_failed
from tanagerscale.forwarding._sending import HostStoppingError
from tanagerscale.forwarding._sending import QuarantinedError
from tanagerscale.forwarding._sending import SendPath
from tanagerscale.forwarding._sending import send_request
from tanagerscale.forwarding._types import MIN_SERVER_ERROR_STATUS
from tanagerscale.forwarding._types import Header
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import UpstreamRequest
from tanagerscale.forwarding._types import UpstreamResponse
from tanagerscale.generated.messages import RequestClass
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamLeavingError

REMOTE_DOMAIN_PENALTY_REQUESTS: Final = 0.5
"""Load penalty of an upstream in another failure domain, in requests. A value below 1 only breaks
ties."""

HEDGE_DELAY_RATIO: Final = 0.75
"""Fraction of a route's target time after which an idempotent request is hedged: sent to a second
upstream as well. Most responses take a quarter of the target, so few requests are hedged, and the
second response to most of these is still in time."""

PROMPT_WAIT_RATIO: Final = 0.5
"""Fraction of a route's target time that a request may wait for a permit to be answered in time."""

_log = get_logger(part="forwarding")


class _CompleteResponse(Struct, frozen=True, kw_only=True):
    status: int
    reason: str
    headers: Sequence[Header]
    body: bytes


@final
class PlainForwarder:
    """Forwards one request and sends the complete response to the caller.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    """

    def __init__(self, *, routed: RoutedRequest, context: ForwardingContext) -> None:
        self._routed = routed
        self._context = context
        self._record = ExecutionRecord(route=routed.route)
        self.upstream_part = self._record.part
        self._refusal: Refusal | None = None
        self._is_hedged = False
        self._is_given_up = False
        """Whether its attempts were ended since this host reaches no upstream any more."""
        self._permit_delay_ms: int | None = None
        """Time until a rate-limited upstream can take the request, if only limits prevent that."""
        self._error_response: _CompleteResponse | None = None
        """Latest server error of an upstream; sent to the caller if no other attempt succeeds."""

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have been executed."""
        return self._record.may_have_run

    @property
    def can_be_delegated(self) -> bool:
        """Whether another host may send the request, since this one has reached no upstream."""
        return self._record.has_reached_none or self._is_given_up

    async def serve(self, responder: Responder) -> Refusal | None:
        """Serve the request.

        :returns: A refusal if no upstream's response was sent to the caller, otherwise ``None``.
        """
        try:
            response = await self._get_first_success() or self._error_response
        except QuarantinedError:
            return quarantined(may_have_run=self._record.may_have_run)
        if response is not None:
            await responder.respond(
                status=response.status,
                reason=response.reason,
                headers=response.headers,
                body=response.body,
            )
            return None
        if is_quarantined(self._routed, self._context):
            return quarantined(may_have_run=self._record.may_have_run)
        if self._record.may_have_run:
            return self._refusal or upstream_failed(cause="An attempt got no answer")
        refusal = refuse_if_paused(self._routed, self._context, self._record.tried)
        if refusal is not None:
            return refusal
        if self._permit_delay_ms is not None:
            return rate_limited(
                service=self._routed.service,
                delay_ms=self._permit_delay_ms,
                rng=self._context.rng,
            )
        self._log_no_upstream()
        return no_upstream(service=self._routed.service, rng=self._context.rng)

    def _log_no_upstream(self) -> None:
        _log.info(
            "No upstream takes the request.",
            request=self._routed.request.request,
            service=self._routed.service,
            tried=len(self._record.tried),
            are_some_evacuated=self._context.upstreams.has_evacuated(self._routed.service),
        )

    async def _get_first_success(self) -> _CompleteResponse | None:
        """Try upstreams in turn, with a hedged attempt in parallel where that is allowed."""
        running: set[asyncio.Task[_CompleteResponse | None]] = set()
        cut_off = self._context.paths.cut_off
        try:
            while True:
                entry = await self._next_entry()
                if entry is not None:
                    chosen_at = self._context.clock.now()
                    running.add(asyncio.create_task(self._attempt(entry, chosen_at)))
                if not running:
                    return None
                response = await self._wait_for_any(running, cut_off)
                if response is not None:
                    return response
                if cut_off.done() and await self._give_up():
                    return None
        finally:
            for task in running:
                task.cancel()

    async def _give_up(self) -> bool:
        """Return whether another host may repeat the request, whose attempts get no answer here."""
        self._is_given_up = self._record.is_retry_allowed() and await self._may_repeat()
        return self._is_given_up

    async def _wait_for_any(
        self,
        running: set[asyncio.Task[_CompleteResponse | None]],
        cut_off: asyncio.Future[None],
    ) -> _CompleteResponse | None:
        """Wait for a response, until the hedge delay is over or until this host is cut off."""
        hedge_delay_ms = self._hedge_delay_ms()
        watched: set[asyncio.Future[Any]] = {*running}
        if not cut_off.done() and self._record.is_retry_allowed():
            watched.add(cut_off)
        await asyncio.wait(
            watched,
            timeout=None if hedge_delay_ms is None else hedge_delay_ms / MS_PER_SECOND,
            return_when=asyncio.FIRST_COMPLETED,
        )
        done = {task for task in running if task.done()}
        running -= done
        responses = [response for task in done if (response := task.result()) is not None]
        return responses[0] if responses else None

    def _hedge_delay_ms(self) -> float | None:
        """Return the delay before a hedged attempt; ``None`` if no hedged attempt is allowed."""
        if not self._record.is_retry_allowed() or self._is_hedged:
            return None
        self._is_hedged = True
        return self._routed.route.target_ms * HEDGE_DELAY_RATIO

    async def _next_entry(self) -> UpstreamEntry | None:
        """Return the upstream for the next attempt; ``None`` if no further attempt is allowed."""
        record = self._record
        self._permit_delay_ms = None
        if not record.has_attempts_left or self._context.paths.is_cut_off:
            return None
        if is_quarantined(self._routed, self._context):
            return None
        if not self._usable_entries():
            return None
        if record.reached and not await self._may_repeat():
            return None
        return await self._choose_permitted()

    async def _choose_permitted(self) -> UpstreamEntry | None:
        """Return the upstream for the next attempt; one with a rate limit requires a permit."""
        ranked = self._rank_entries()
        limits = self._context.rate_limits
        limited = list(takewhile(lambda entry: limits.is_limited(entry.upstream), ranked))
        unlimited = next(iter(ranked[len(limited) :]), None)
        if not limited:
            return unlimited
        entry = await self._get_permitted(limited, may_wait=unlimited is None)
        if entry is not None or unlimited is None:
            return entry
        return unlimited if self._may_send(unlimited.upstream) else None

    async def _get_permitted(
        self, entries: Sequence[UpstreamEntry], *, may_wait: bool
    ) -> UpstreamEntry | None:
        """Return an upstream once its rate limit allows the request, if that is soon enough.

        :param entries: Upstreams with rate limits, in order of preference.
        :param may_wait: Whether the request can't be sent to another upstream instead.
        """
        wait_ms, prompt_ms = self._max_waits_ms() if may_wait else (0, 0)
        permit = await self._context.rate_permits.acquire(
            upstreams=[entry.upstream for entry in entries],
            kind=RequestClass.PLAIN,
            wait_ms=wait_ms,
            prompt_ms=prompt_ms,
        )
        if not permit.may_send:
            self._permit_delay_ms = permit.delay_ms if may_wait else None
            return None
        if permit.delay_ms:
            await self._context.clock.sleep(permit.delay_ms)
        usable = {entry.upstream: entry for entry in self._usable_entries()}
        chosen = usable.get(permit.upstream)
        if chosen is None or not self._may_send(permit.upstream):
            return await self._choose_permitted() if permit.delay_ms else None
        return chosen

    def _max_waits_ms(self) -> tuple[int, int]:
        """Return how long the request may wait for a permit, and how long to be in time."""
        if self._record.sent:
            return 0, 0
        now, target_ms = self._context.clock.now(), self._routed.route.target_ms
        waited_ms = now - self._routed.request.arrived
        return (
            max(self._routed.deadline - now - target_ms, 0),
            max(int(target_ms * PROMPT_WAIT_RATIO) - waited_ms, 0),
        )

    def _may_send(self, upstream: UpstreamId) -> bool:
        context = self._context
        return not context.gate.is_leaving(upstream) and not context.pauses.is_paused(upstream)

    async def _may_repeat(self) -> bool:
        may = await self._context.retry_permits.may_repeat(service=self._routed.service)
        if not may:
            _log.info("The retry budget is exhausted.", request=self._routed.request.request)
        return may

    def _rank_entries(self) -> list[UpstreamEntry]:
        """Return the usable upstreams; first those with the fewest requests from this host."""
        counts = self._context.work.plain_counts
        is_repeat = bool(self._record.sent)

        def cost(entry: UpstreamEntry) -> tuple[bool, float, float]:
            is_remote = entry.failure_domain != self._context.failure_domain
            busy = counts[entry.upstream] + (REMOTE_DOMAIN_PENALTY_REQUESTS if is_remote else 0.0)
            # Repeats leave limited upstreams to first attempts.
            is_last = is_repeat and self._context.rate_limits.is_limited(entry.upstream)
            return is_last, busy, self._context.rng.random()

        return sorted(self._usable_entries(), key=cost)

    def _usable_entries(self) -> list[UpstreamEntry]:
        routed = self._routed
        excluded = self._record.tried | self._context.pauses.paused
        return eligible_upstreams(self._context, routed.service, excluded, routed.domains)

    async def _attempt(self, entry: UpstreamEntry, chosen_at: Millis) -> _CompleteResponse | None:
        """Send the request to one upstream; return ``None`` if another upstream should be tried."""
        response: UpstreamResponse | None = None
        path = self._choose_path()
        sent_at = self._context.clock.now()
        self._record.record_sent(entry.upstream)
        late = AttemptHealthRecorder(
            health=self._context.health, entry=entry, after_ms=self._routed.route.target_ms
        )
        counts = self._context.work.plain_counts
        counts[entry.upstream] += 1
        try:
            response = await send_request(
                self._routed,
                self._context,
                self._build_request(entry),
                path=path,
                chosen_at=chosen_at,
            )
            body = await response.read_all()
            await check_close(self._context, entry, response)
        except QuarantinedError:
            self._record.record_not_run(entry.upstream)
            raise
        except HostStoppingError:
            self._record.record_not_run(entry.upstream)
            if not self._record.is_in_flight:
                raise
            return None
        except UpstreamLeavingError:
            self._record.record_withheld(entry.upstream)
            return None
        except ExchangeError as error:
            late.end(is_good=False)
            self._record_error(entry, error)
            if self._record.is_retry_allowed():
                await wait_if_suspected(self._routed, self._context, entry)
            else:
                # The caller may send the request again at once.
                await self._context.crash_reports.wait_for_finding(entry.upstream)
            return None
        finally:
            late.cancel()
            counts[entry.upstream] -= 1
            if response is not None:
                response.close()
        late.end(is_good=response.status < MIN_SERVER_ERROR_STATUS)
        if response.not_executed:
            self._record_not_executed(entry, response, sent_at)
            return None
        return self._record_response(entry, response, body, sent_at)

    def _choose_path(self) -> SendPath:
        if not self._record.reached:
            return SendPath.FIRST
        return SendPath.HEDGED if self._record.is_in_flight else SendPath.REPEATED

    def _build_request(self, entry: UpstreamEntry) -> UpstreamRequest:
        return UpstreamRequest(
            request=self._routed.request,
            upstream=entry,
            account=self._routed.caller.account,
            time_left_ms=self._routed.deadline - self._context.clock.now(),
        )

    def _record_response(
        self, entry: UpstreamEntry, response: UpstreamResponse, body: bytes, sent_at: Millis
    ) -> _CompleteResponse | None:
        self._record.record_run(entry.upstream, is_whole=True)
        self._context.gate.record_success(upstream=entry.upstream)
        if response.status < MIN_SERVER_ERROR_STATUS:
            record_complete_response(self._routed, self._context, entry, sent_at=sent_at)
        else:
            self._context.suspects.record_alive(upstream=entry.upstream, sent_at=sent_at)
        self._context.metrics.attempts.labels("answered").inc()
        self._log("An upstream has answered.", entry, status=response.status)
        complete = _CompleteResponse(
            status=response.status, reason=response.reason, headers=response.headers, body=body
        )
        repeatable = self._routed.route.kind is RouteKind.IDEMPOTENT
        if repeatable and response.status >= MIN_SERVER_ERROR_STATUS:
            self._error_response = complete
            return None
        return complete

    def _record_error(self, entry: UpstreamEntry, error: ExchangeError) -> None:
        if error.failure is ExchangeFailure.NOT_SENT:
            self._record.record_not_sent(entry.upstream)
            self._context.gate.record_failure(upstream=entry.upstream)
        else:
            self._record.record_run(entry.upstream)
            # An upstream whose answer this host has given up has not crashed.
            if error.failure is not ExchangeFailure.TOO_LARGE:
                record_broken_response(self._routed, self._context, entry)
        self._refusal = upstream_failed(cause=error.detail)
        self._context.metrics.attempts.labels(error.failure.value).inc()
        self._log("An attempt failed.", entry, failure=error.failure.value, detail=error.detail)

    def _record_not_executed(
        self, entry: UpstreamEntry, response: UpstreamResponse, sent_at: Millis
    ) -> None:
        self._record.record_not_run(entry.upstream)
        if response.is_address_reassigned:
            self._context.gate.record_gone(upstream=entry.upstream)
        else:
            self._context.suspects.record_alive(upstream=entry.upstream, sent_at=sent_at)
        self._context.metrics.attempts.labels("not-executed").inc()
        self._log(
            "An upstream refused the request before execution.", entry, status=response.status
        )

    def _log(self, message: str, entry: UpstreamEntry, **inputs: object) -> None:
        request = self._routed.request
        _log.info(
            message,
            request=request.request,
            upstream=entry.upstream,
            attempt=self._record.sent,
            after_ms=self._context.clock.now() - request.arrived,
            **inputs,
        )
