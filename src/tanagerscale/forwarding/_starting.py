"""Finds the first engine of a streaming request."""

from __future__ import annotations

from typing import final

from returns.result import Failure

from tanagerscale.forwarding._admission import Admission
from tanagerscale.forwarding._execution import ExecutionRecord
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._pauses import get_pause_ms
from tanagerscale.forwarding._pauses import refuse_if_paused
from tanagerscale.forwarding._refusals import no_upstream
from tanagerscale.forwarding._refusals import upstream_failed
from tanagerscale.forwarding._segments import RunProgress
from tanagerscale.forwarding._segments import SegmentSender
from tanagerscale.forwarding._segments import StreamSegment
from tanagerscale.forwarding._sending import HostStoppingError
from tanagerscale.forwarding._sending import QuarantinedError
from tanagerscale.forwarding._sending import SendPath
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamLeavingError


@final
class StreamStarter:
    """Starts one streaming request on an engine.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    :param admission: Gets engines.
    :param sender: Sends the request to them.
    """

    def __init__(
        self,
        *,
        routed: RoutedRequest,
        context: ForwardingContext,
        admission: Admission,
        sender: SegmentSender,
    ) -> None:
        self._routed = routed
        self._context = context
        self._admission = admission
        self._sender = sender
        self.record = ExecutionRecord(route=routed.route)
        """Which engines the request has reached, and whether it may have run."""

    async def start(self, *, progress: RunProgress) -> StreamSegment | Refusal:
        """Send the request to engines until one accepts it.

        :param progress: Progress of the run, which is to process its prompt.
        :returns: The part of the answer that this engine produces; a refusal if none accepts it.
        """
        record = self.record
        failure: Refusal | None = None
        while record.has_attempts_left and not self._context.paths.is_cut_off:
            if record.reached and not await self._may_repeat():
                break
            found = await self._admission.find_engine(routed=self._routed, excluded=record.tried)
            if isinstance(found, Failure):
                refusal: Refusal = found.failure()
                return refusal
            tried = await self._try_engine(found.unwrap(), progress)
            if isinstance(tried, StreamSegment):
                return tried
            failure = tried
        if failure is not None and record.may_have_run:
            return failure
        refusal_for_pause = refuse_if_paused(self._routed, self._context, record.tried)
        return refusal_for_pause or no_upstream(service=self._routed.service, rng=self._context.rng)

    async def _may_repeat(self) -> bool:
        if get_pause_ms(self._routed, self._context, self.record.tried) is not None:
            return False
        return await self._context.retry_permits.may_repeat(service=self._routed.service)

    async def _try_engine(
        self, entry: UpstreamEntry, progress: RunProgress
    ) -> StreamSegment | Refusal:
        sender = self._sender
        path = SendPath.PLACED_AGAIN if self.record.reached else SendPath.PLACED
        chosen_at = self._context.clock.now()
        self.record.record_sent(entry.upstream)
        try:
            segment = await sender.send(
                entry=entry,
                resume_target=None,
                progress=progress,
                path=path,
                chosen_at=chosen_at,
            )
        except (QuarantinedError, HostStoppingError):
            self.record.record_not_run(entry.upstream)
            raise
        except UpstreamLeavingError as error:
            self.record.record_withheld(entry.upstream)
            return upstream_failed(cause=error.detail)
        except ExchangeError as error:
            return await self._record_no_response(entry, error)
        if segment.response.not_executed:
            self.record.record_not_run(entry.upstream)
            sender.record_failure(entry)
            if segment.response.is_address_reassigned:
                self._context.gate.record_gone(upstream=entry.upstream)
            else:
                self._context.suspects.record_alive(
                    upstream=entry.upstream, sent_at=segment.sent_at
                )
            self._context.metrics.attempts.labels("not-executed").inc()
            sender.log(
                "An engine refused the request before execution.",
                entry,
                status=segment.response.status,
            )
            await sender.drain(segment)
            return upstream_failed(cause="No engine took the request")
        self.record.record_run(entry.upstream)
        self._context.metrics.attempts.labels("answered").inc()
        return segment

    async def _record_no_response(self, entry: UpstreamEntry, error: ExchangeError) -> Refusal:
        not_sent = error.failure is ExchangeFailure.NOT_SENT
        if not_sent:
            self.record.record_not_sent(entry.upstream)
            self._context.gate.record_failure(upstream=entry.upstream)
        else:
            self.record.record_run(entry.upstream)
            self._sender.record_lost_response(entry, error)
        self._context.metrics.attempts.labels(error.failure.value).inc()
        self._sender.log("An attempt failed.", entry, detail=error.detail, sent=not not_sent)
        await self._context.crash_reports.wait_for_finding(entry.upstream)
        return upstream_failed(cause=error.detail)
