"""Requests whose answer is passed on whole."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from collections.abc import Set
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.coordination import AttemptHealthRecorder
from tanagerscale.coordination import eligible_upstreams
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._execution import ExecutionRecord
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._refusals import failed
from tanagerscale.forwarding._refusals import no_upstream
from tanagerscale.forwarding._suspicion import note_broken
from tanagerscale.forwarding._suspicion import note_whole
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

AWAY_REQUESTS: Final = 0.5
"""What another failure domain counts as requests already there: it breaks ties and no more."""

HEDGE_SHARE: Final = 0.75
"""Part of a route's target time after which what may be repeated is asked of another upstream as
well. Answers usually take a quarter of the target, so few requests wait so long, and the second
answer of most of these is still in time."""

_log = get_logger(part="forwarding")


class _WholeAnswer(Struct, frozen=True, kw_only=True):
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
        self._is_hedged = False
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
        self._log_nobody()
        return no_upstream(service=self._routed.service, rng=self._parts.rng)

    def _log_nobody(self) -> None:
        service = self._routed.service
        _log.info(
            "No upstream takes the request.",
            request=self._routed.request.request,
            service=service,
            tried=len(self._record.tried),
            are_some_evacuated=self._parts.upstreams.has_evacuated(service),
        )

    async def _first_good_answer(self) -> _WholeAnswer | None:
        """Try upstreams one after the other; a second one beside the first where that may be."""
        running: set[asyncio.Task[_WholeAnswer | None]] = set()
        try:
            while True:
                entry = await self._next_entry()
                if entry is not None:
                    running.add(asyncio.create_task(self._attempt(entry)))
                if not running:
                    return None
                answer = await self._first_of(running)
                if answer is not None:
                    return answer
        finally:
            for task in running:
                task.cancel()

    async def _first_of(
        self, running: set[asyncio.Task[_WholeAnswer | None]]
    ) -> _WholeAnswer | None:
        """Wait for an answer, or until another upstream is to be asked as well."""
        patience_ms = self._patience_ms()
        done, _ = await asyncio.wait(
            running,
            timeout=None if patience_ms is None else patience_ms / MS_PER_SECOND,
            return_when=asyncio.FIRST_COMPLETED,
        )
        running -= done
        answers = [answer for task in done if (answer := task.result()) is not None]
        return answers[0] if answers else None

    def _patience_ms(self) -> float | None:
        """Return how long to wait before another upstream is asked beside the first."""
        if not self._record.allows_another() or self._is_hedged:
            return None
        self._is_hedged = True
        return self._routed.route.target_ms * HEDGE_SHARE

    async def _next_entry(self) -> UpstreamEntry | None:
        """Return the upstream to ask now, if one more may be asked."""
        record = self._record
        if not record.may_try_another or self._choose() is None:
            return None
        if record.arrived and not await self._may_repeat():
            return None
        return await self._choose_permitted()

    async def _choose_permitted(self) -> UpstreamEntry | None:
        """Return the upstream to ask; one that warms up needs a permit of the decider."""
        denied: set[UpstreamId] = set()
        while (entry := self._choose(denied)) is not None:
            is_warming = self._parts.warmup.is_warming(entry)
            if not is_warming or await self._parts.permits.may_send(upstream=entry.upstream):
                return entry
            denied.add(entry.upstream)
        return None

    async def _may_repeat(self) -> bool:
        may = await self._parts.repeats.may_repeat(service=self._routed.service)
        if not may:
            _log.info("No repeat is left.", request=self._routed.request.request)
        return may

    def _choose(self, denied: Set[UpstreamId] = frozenset()) -> UpstreamEntry | None:
        """Return the upstream with the least of this host's own work.

        :param denied: Upstreams that warm up and get no more now.
        """
        routed = self._routed
        excluded = self._record.tried | denied
        entries = eligible_upstreams(self._parts, routed.service, excluded, routed.domains)
        counts = self._parts.work.plain_counts

        def cost(entry: UpstreamEntry) -> tuple[float, float]:
            away = entry.failure_domain != self._parts.failure_domain
            busy = counts[entry.upstream] + (AWAY_REQUESTS if away else 0.0)
            return busy, self._parts.rng.random()

        return min(entries, key=cost, default=None)

    async def _attempt(self, entry: UpstreamEntry) -> _WholeAnswer | None:
        """Send the request to one upstream; ``None`` means to go on with another."""
        answer: UpstreamAnswer | None = None
        self._record.note_sent(entry.upstream)
        late = AttemptHealthRecorder(
            health=self._parts.health, entry=entry, after_ms=self._routed.route.target_ms
        )
        counts = self._parts.work.plain_counts
        counts[entry.upstream] += 1
        try:
            answer = await self._parts.caller.send(order=self._order(entry))
            body = await answer.read_all()
        except ExchangeError as error:
            late.end(is_good=False)
            self._note_error(entry, error)
            return None
        finally:
            late.cancel()
            counts[entry.upstream] -= 1
            if answer is not None:
                answer.close()
        late.end(is_good=answer.status < FIRST_SERVER_ERROR)
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
        self._parts.gate.note_up(upstream=entry.upstream)
        note_whole(self._routed, self._parts, entry)
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
            self._record.note_not_sent(entry.upstream)
            self._parts.gate.note_down(upstream=entry.upstream)
        else:
            self._record.note_run(entry.upstream)
            note_broken(self._routed, self._parts, entry)
        self._refusal = failed(cause=error.detail)
        self._parts.meters.attempts.labels(error.failure.value).inc()
        self._log("An attempt failed.", entry, failure=error.failure.value, detail=error.detail)

    def _note_not_executed(self, entry: UpstreamEntry, answer: UpstreamAnswer) -> None:
        self._record.note_not_run(entry.upstream)
        if answer.is_someone_else:
            self._parts.gate.note_gone(upstream=entry.upstream)
        else:
            self._parts.suspects.note_alive(upstream=entry.upstream)
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
