"""Sends requests and resume requests of a stream to engines."""

from __future__ import annotations

from typing import Final
from typing import final

from msgspec import Struct
from msgspec import field

from tanagerscale.coordination import AttemptHealthRecorder
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._crash_evidence import record_broken_response
from tanagerscale.forwarding._crash_evidence import record_complete_response
from tanagerscale.forwarding._demand import is_long
from tanagerscale.forwarding._demand import run_origin
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._request_state import UpstreamPart
from tanagerscale.forwarding._sending import SendPath
from tanagerscale.forwarding._sending import send_request
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._types import Continuation
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import UpstreamRequest
from tanagerscale.forwarding._types import UpstreamResponse
from tanagerscale.routes import effective_priority
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry

MIN_FAILURE_STATUS: Final = 300

_log = get_logger(part="stream")


class StreamSegment(Struct, kw_only=True):
    """The part of a stream that one engine produces.

    :param entry: The engine.
    :param response: The engine's response.
    :param sent_at: When the request was sent to the engine.
    :param late: Records a failure in the engine's health if the first event is late.
    :param first_event: Time of the engine's first event; ``None`` before that.
    :param is_slow: Whether a gap between the engine's events exceeded the route's limit.
    :param is_sound: Whether the engine has written for so long that no part of the prompt crashes
        it.
    :param part: How far the engine's part has come, for the log.
    """

    entry: UpstreamEntry
    response: UpstreamResponse
    sent_at: Millis
    late: AttemptHealthRecorder
    first_event: Millis | None = None
    is_slow: bool = False
    is_sound: bool = False
    part: UpstreamPart = field(default_factory=UpstreamPart)

    def close(self) -> None:
        """Close the connection, so that the engine stops the run."""
        self.late.cancel()
        self.response.close()


class RunProgress(Struct, frozen=True, kw_only=True):
    """Progress of a run.

    :param tokens: Tokens in the KV cache, or tokens it will hold once the prompt is processed.
    :param answer_tokens: Tokens of the answer so far.
    :param event: Number of the last event that was relayed to the caller.
    """

    tokens: int
    answer_tokens: int
    event: int


@final
class SegmentSender:
    """Sends one request to engines and records how they respond.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    """

    def __init__(self, *, routed: RoutedRequest, context: ForwardingContext) -> None:
        self._routed = routed
        self._context = context
        self._engine_priority = _find_engine_priority(routed, context)

    @property
    def request(self) -> RequestId:
        """Id of the request."""
        return self._routed.request.request

    async def send(
        self,
        *,
        entry: UpstreamEntry,
        resume_target: ResumeTarget | None,
        progress: RunProgress,
        path: SendPath,
        chosen_at: Millis,
    ) -> StreamSegment:
        """Send the request, or a request to resume its run.

        :param entry: The engine.
        :param resume_target: Where the run resumes; ``None`` for a new run.
        :param progress: Progress of the run.
        :param path: How the request gets to the engine.
        :param chosen_at: When the engine was chosen.
        :raises QuarantinedError: The request was not sent.
        :raises ExchangeError: The engine did not respond.
        """
        work = self._context.work
        request = self._routed.request
        work.begin(
            request=request.request,
            upstream=entry.upstream,
            prompt_tokens=progress.tokens if resume_target is None else 0,
            tokens=progress.tokens,
            answer_tokens=progress.answer_tokens,
            is_long=is_long(self._routed),
            domains=self._routed.domains,
            origin=run_origin(self._routed),
        )
        sent_at = self._context.clock.now()
        late_ms = self._routed.route.target_ms
        late = AttemptHealthRecorder(health=self._context.health, entry=entry, after_ms=late_ms)
        try:
            upstream_request = self._build_request(entry, resume_target, progress)
            response = await send_request(
                self._routed, self._context, upstream_request, path=path, chosen_at=chosen_at
            )
        except BaseException:
            late.cancel()
            work.end(request=request.request)
            raise
        return StreamSegment(entry=entry, response=response, sent_at=sent_at, late=late)

    async def drain(self, segment: StreamSegment) -> None:
        """Read and discard a response, so that its connection can be reused."""
        segment.late.cancel()
        try:
            await segment.response.skip()
        except ExchangeError as error:
            self.log(
                "The rest of a response could not be read.", segment.entry, detail=error.detail
            )
            segment.response.close()

    def record_failure(self, entry: UpstreamEntry) -> None:
        """Record a failure in an engine's health, unless the engine is leaving."""
        if not self._context.gate.is_leaving(entry.upstream):
            self._context.health.record_failure(upstream=entry.upstream)

    def record_broken_response(self, entry: UpstreamEntry, *, written_ms: int = 0) -> None:
        """Record a truncated response; the request may have crashed its engine.

        :param entry: The engine.
        :param written_ms: Time since its first event; 0 before that.
        """
        self.record_failure(entry)
        record_broken_response(self._routed, self._context, entry, written_ms=written_ms)

    def record_lost_response(self, entry: UpstreamEntry, error: ExchangeError) -> None:
        """Record a response that was not read completely.

        :param entry: The engine, which has not crashed if this host has given the response up.
        :param error: What was wrong with the response.
        """
        if error.failure is ExchangeFailure.TOO_LARGE:
            self.record_failure(entry)
        else:
            self.record_broken_response(entry)

    def record_complete_response(self, segment: StreamSegment) -> None:
        """Record a complete response."""
        entry = segment.entry
        self._context.health.record_success(upstream=entry.upstream)
        record_complete_response(self._routed, self._context, entry, sent_at=segment.sent_at)

    def log(self, message: str, entry: UpstreamEntry, **inputs: object) -> None:
        """Log a message about this request at an engine."""
        request = self._routed.request
        _log.info(
            message,
            request=request.request,
            upstream=entry.upstream,
            after_ms=self._context.clock.now() - request.arrived,
            **inputs,
        )

    def _build_request(
        self, entry: UpstreamEntry, resume_target: ResumeTarget | None, progress: RunProgress
    ) -> UpstreamRequest:
        continuation = None
        if resume_target is not None:
            continuation = Continuation(
                holder=resume_target.holder.address,
                copy=resume_target.copy,
                after_event=progress.event,
            )
        return UpstreamRequest(
            request=self._routed.request,
            upstream=entry,
            account=self._routed.caller.account,
            time_left_ms=self._routed.deadline - self._context.clock.now(),
            priority=self._engine_priority,
            continuation=continuation,
        )


def _find_engine_priority(routed: RoutedRequest, context: ForwardingContext) -> int | None:
    """Return the priority at engines, which a run keeps when the configuration changes."""
    table = context.tables.table
    if table is None or routed.engine is None:
        return None
    priority = effective_priority(route=routed.route, caller=routed.caller)
    return table.engine_priority(service=routed.service, priority=priority)
