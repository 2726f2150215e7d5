"""Requests whose answer is passed on whole."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final
from typing import final

from tanagerscale.core import get_logger
from tanagerscale.forwarding._execution import ExecutionRecord
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._parts import without
from tanagerscale.forwarding._refusals import failed
from tanagerscale.forwarding._refusals import no_upstream
from tanagerscale.forwarding._types import Header
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import UpstreamAnswer
from tanagerscale.forwarding._types import UpstreamOrder
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry

FIRST_SERVER_ERROR: Final = 500

MOST_TRIES: Final = 4
"""Upstreams that one request is offered to while none has run it; more would only add arrivals at
a service that is full."""

AWAY_REQUESTS: Final = 0.5
"""What another failure domain counts as requests already there: it breaks ties and no more."""

_log = get_logger(part="forwarding")


@dataclass(frozen=True, kw_only=True, slots=True)
class _WholeAnswer:
    status: int
    reason: str
    headers: Sequence[Header]
    body: bytes


@final
class PlainForward:
    """One request whose answer is passed on whole.

    :param routed: The request.
    :param parts: What every request uses.
    """

    def __init__(self, *, routed: RoutedRequest, parts: ForwardingParts) -> None:
        self._routed = routed
        self._parts = parts
        self._record = ExecutionRecord(route=routed.route)
        self._refusal: Refusal | None = None
        self._failed_answer: _WholeAnswer | None = None
        """An upstream's own error; its caller gets it when no other upstream does better."""

    async def serve(self, responder: Responder) -> Refusal | None:
        """Answer the request.

        :returns: The answer of our own, when no upstream's was passed on.
        """
        answer = await self._first_good_answer() or self._failed_answer
        if answer is not None:
            await responder.answer(
                status=answer.status,
                reason=answer.reason,
                headers=answer.headers,
                body=answer.body,
            )
            return None
        if self._refusal is not None and self._record.may_have_run:
            return self._refusal
        return no_upstream(service=self._routed.service, rng=self._parts.rng)

    async def _first_good_answer(self) -> _WholeAnswer | None:
        record = self._record
        while record.allows_another() and record.sent < MOST_TRIES:
            entry = self._choose()
            if entry is None:
                return None
            if record.sent and not self._parts.budgets.try_spend(self._routed.service):
                self._log("No repeat is left in the budget.", entry)
                return None
            answer = await self._attempt(entry)
            if answer is not None:
                return answer
        return None

    def _choose(self) -> UpstreamEntry | None:
        """Return the upstream with the least of this host's own work."""
        upstreams = self._parts.upstreams
        service = self._routed.service
        entries = without(upstreams.open_for(service), self._record.tried)
        if not entries:
            entries = without(upstreams.staying(service), self._record.tried)
        counts = self._parts.work.plain_counts

        def cost(entry: UpstreamEntry) -> tuple[float, float]:
            away = entry.failure_domain != self._parts.failure_domain
            busy = counts[entry.upstream] + (AWAY_REQUESTS if away else 0.0)
            return busy, self._parts.rng.random()

        return min(entries, key=cost, default=None)

    async def _attempt(self, entry: UpstreamEntry) -> _WholeAnswer | None:
        """Send the request to one upstream; ``None`` means to go on with another."""
        answer: UpstreamAnswer | None = None
        counts = self._parts.work.plain_counts
        counts[entry.upstream] += 1
        try:
            answer = await self._parts.caller.send(order=self._order(entry))
            body = await answer.read_all()
        except ExchangeError as error:
            self._note_error(entry, error)
            return None
        finally:
            counts[entry.upstream] -= 1
            if answer is not None:
                answer.close()
        if answer.not_executed:
            self._note_not_executed(entry, answer)
            return None
        return self._note_answer(entry, answer, body)

    def _order(self, entry: UpstreamEntry) -> UpstreamOrder:
        return UpstreamOrder(
            request=self._routed.request,
            upstream=entry,
            account=self._routed.caller.account,
            time_left_ms=self._routed.deadline - self._parts.clock.now(),
        )

    def _note_answer(
        self, entry: UpstreamEntry, answer: UpstreamAnswer, body: bytes
    ) -> _WholeAnswer | None:
        self._record.note_run(entry.upstream)
        self._parts.notes.note_up(upstream=entry.upstream)
        self._parts.meters.attempts.labels("answered").inc()
        self._log("An upstream has answered.", entry, status=answer.status)
        whole = _WholeAnswer(
            status=answer.status, reason=answer.reason, headers=answer.headers, body=body
        )
        repeatable = self._routed.route.kind is RouteKind.IDEMPOTENT
        if repeatable and answer.status >= FIRST_SERVER_ERROR:
            self._failed_answer = whole
            return None
        return whole

    def _note_error(self, entry: UpstreamEntry, error: ExchangeError) -> None:
        if error.failure is ExchangeFailure.NOT_SENT:
            self._record.note_not_run(entry.upstream)
            self._parts.notes.note_down(upstream=entry.upstream)
        else:
            self._record.note_run(entry.upstream)
        self._refusal = failed(cause=error.detail)
        self._parts.meters.attempts.labels(error.failure.value).inc()
        self._log("An attempt failed.", entry, failure=error.failure.value, detail=error.detail)

    def _note_not_executed(self, entry: UpstreamEntry, answer: UpstreamAnswer) -> None:
        self._record.note_not_run(entry.upstream)
        if answer.is_someone_else:
            self._parts.notes.note_gone(upstream=entry.upstream)
        self._parts.meters.attempts.labels("not-executed").inc()
        self._log("An upstream did not take the request.", entry, status=answer.status)

    def _log(self, message: str, entry: UpstreamEntry, **inputs: object) -> None:
        request = self._routed.request
        _log.info(
            message,
            request=request.request,
            upstream=entry.upstream,
            attempt=self._record.sent,
            after_ms=self._parts.clock.now() - request.arrived,
            **inputs,
        )
