"""The dispatcher that serves caller requests on every kind of route."""

from __future__ import annotations

import asyncio
from typing import final

from msgspec import Struct
from msgspec.structs import replace

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import FailureDomainId
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._admission import Admission
from tanagerscale.forwarding._crash_evidence import is_quarantined
from tanagerscale.forwarding._cut_answers import CutAnswers
from tanagerscale.forwarding._delegation import DelegateClient
from tanagerscale.forwarding._delegation import DelegatedForwarder
from tanagerscale.forwarding._delegation import DelegateSelector
from tanagerscale.forwarding._mover import StreamMover
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._plain import PlainForwarder
from tanagerscale.forwarding._refusals import UNKNOWN_KEY
from tanagerscale.forwarding._refusals import UNKNOWN_ROUTE
from tanagerscale.forwarding._refusals import host_stopping
from tanagerscale.forwarding._refusals import no_path
from tanagerscale.forwarding._refusals import no_region
from tanagerscale.forwarding._refusals import not_ready
from tanagerscale.forwarding._refusals import quarantined
from tanagerscale.forwarding._refusals import stopped_before_response
from tanagerscale.forwarding._refusals import timed_out
from tanagerscale.forwarding._request_state import UpstreamPart
from tanagerscale.forwarding._sending import HostStoppingError
from tanagerscale.forwarding._shutdown import ShutdownSchedule
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._suspected_requests import get_keys
from tanagerscale.forwarding._types import CallerRequest
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.quarantine import Conviction
from tanagerscale.routes import AllowedRegions
from tanagerscale.routes import Caller
from tanagerscale.routes import EngineCapabilities
from tanagerscale.routes import Route
from tanagerscale.routes import RouteKind
from tanagerscale.routes import RouteTable
from tanagerscale.routes import choose_target

_log = get_logger(part="forwarding")


class _RequestInProgress(Struct, kw_only=True, eq=False):
    """A request that is being forwarded.

    :param routed: The request.
    :param responder: Sends its response.
    :param timeout: Ends the forwarding.
    :param forwarder: Sends it to upstreams; ``None`` before it is accepted.
    :param is_ended: Whether it was ended because the host shuts down.
    :param is_convicted: Whether it was ended because it has what crashes upstreams.
    :param is_delegated: Whether another host has delegated it to this one.
    """

    routed: RoutedRequest
    responder: Responder
    timeout: asyncio.Timeout
    forwarder: PlainForwarder | StreamRun | DelegatedForwarder | None = None
    is_ended: bool = False
    is_convicted: bool = False
    is_delegated: bool = False

    @property
    def is_ending(self) -> bool:
        """Whether it has been ended, or has timed out."""
        return self.is_ended or self.is_convicted or self.timeout.expired()

    @property
    def phase(self) -> str:
        """How far its answer has come, for logs and metrics."""
        if isinstance(self.forwarder, StreamRun):
            return self.forwarder.phase.value
        return "answering" if self.responder.begun else "waiting"

    @property
    def upstream_part(self) -> UpstreamPart:
        """The part of the upstream that had it last."""
        return UpstreamPart() if self.forwarder is None else self.forwarder.upstream_part

    @property
    def has_events(self) -> bool:
        """Whether an upstream has begun to write the answer."""
        if isinstance(self.forwarder, StreamRun):
            return self.forwarder.begun
        return self.responder.begun

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have been executed."""
        return self.forwarder is not None and self.forwarder.may_have_run


@final
class Dispatcher:
    """Serves caller requests: routes each one, enforces its deadline and reports its outcome.

    :param context: Dependencies shared by all requests.
    :param admission: Gets engines for generations.
    :param stream_mover: Moves streams between engines; holds the set of active streams.
    :param allowed_regions: Returns the failure domains in which a request may run.
    :param shutdown: Schedule of this host's graceful shutdown.
    :param delegates: Selects hosts that send requests while this one reaches no upstream.
    :param delegate_client: Sends requests to them.
    """

    def __init__(
        self,
        *,
        context: ForwardingContext,
        admission: Admission,
        stream_mover: StreamMover,
        allowed_regions: AllowedRegions,
        shutdown: ShutdownSchedule,
        delegates: DelegateSelector,
        delegate_client: DelegateClient,
    ) -> None:
        self._delegates = delegates
        self._delegate_client = delegate_client
        self._context = replace(context, can_start=shutdown.can_start)
        self._admission = admission
        self._stream_mover = stream_mover
        self._allowed_regions = allowed_regions
        self._shutdown = shutdown
        self._running = 0
        self._in_progress: set[_RequestInProgress] = set()
        self._cut_answers = CutAnswers(context=context, shutdown=shutdown)
        context.suspects.convictions.subscribe(self._end_convicted)

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return self._running

    def list_running(self) -> list[tuple[str, str, int | None]]:
        """Return id, phase and time since the last event of the oldest requests in progress."""
        running = [(one.routed.request, one) for one in self._in_progress]
        return self._cut_answers.list_requests(running)

    def count_cut(self, cause: str) -> None:
        """Count a request that has ended before it was forwarded.

        :param cause: Why it has ended.
        """
        self._context.metrics.cut_answers.labels(cause, "waiting").inc()

    def end_unfinishable(self) -> None:
        """End each request that a shutdown leaves no time for, so that it gets a final response.

        Requests whose response has begun go on.
        """
        now = asyncio.get_running_loop().time()
        for one in self._in_progress:
            if not one.responder.begun and not one.is_ending and self._is_unfinishable(one):
                one.is_ended = True
                one.timeout.reschedule(now)

    def _end_convicted(self, conviction: Conviction) -> None:
        """End the requests that upstreams may be about to answer, and would crash by that."""
        now = asyncio.get_running_loop().time()
        for one in self._in_progress:
            if one.has_events or one.is_ending or not conviction.keys <= get_keys(one.routed):
                continue
            one.is_convicted = True
            one.timeout.reschedule(now)

    def _is_unfinishable(self, one: _RequestInProgress) -> bool:
        if self._shutdown.are_responses_due:
            return True
        return not one.may_have_run and not self._shutdown.can_start(one.routed)

    def is_allowed(self, request: CallerRequest) -> bool:
        """Return whether a request has a route and a key for it in the configuration.

        :param request: The request, whose body may not have arrived.
        """
        table = self._context.tables.table
        route = None if table is None else table.route(host=request.host, path=request.path)
        if table is None or route is None:
            return False
        return table.caller(route=route, key=request.key) is not None

    async def serve(
        self, request: CallerRequest, responder: Responder, *, is_delegated: bool = False
    ) -> None:
        """Serve one request and send its response or a refusal.

        :param request: The request as received.
        :param responder: Sends the response to the caller.
        :param is_delegated: Whether another host has delegated the request to this one.
        """
        self._running += 1
        try:
            await self._serve(request, responder, is_delegated=is_delegated)
        except ConnectionError:
            raise
        except Exception:
            _log.exception(
                "A request has failed by an error of this host.",
                request=request.request,
                begun=responder.begun,
                after_ms=self._context.clock.now() - request.arrived,
            )
            raise
        finally:
            self._running -= 1

    async def _serve(
        self, request: CallerRequest, responder: Responder, *, is_delegated: bool
    ) -> None:
        table = self._context.tables.table
        if table is None:
            await self._refuse(request, responder, not_ready(rng=self._context.rng), table)
            return
        route = table.route(host=request.host, path=request.path)
        if route is None:
            await self._refuse(request, responder, UNKNOWN_ROUTE, table)
            return
        caller = table.caller(route=route, key=request.key)
        if caller is None:
            await self._refuse(request, responder, UNKNOWN_KEY, table)
            return
        domains = self._allowed_regions.get_failure_domains(route=route, caller=caller)
        if domains is None:
            await self._refuse(request, responder, no_region(rng=self._context.rng), table)
            return
        routed = self._build_routed(request, route, caller, table, domains)
        in_progress = self._make_in_progress(routed, responder, is_delegated=is_delegated)
        refusal = await self._forward_in_time(in_progress)
        self._record_outcome(routed, refusal)
        if refusal is not None:
            await self._refuse(request, responder, refusal, table, in_progress)

    def _make_in_progress(
        self, routed: RoutedRequest, responder: Responder, *, is_delegated: bool
    ) -> _RequestInProgress:
        left_ms = max(routed.deadline - self._context.clock.now(), 0)
        return _RequestInProgress(
            routed=routed,
            responder=responder,
            timeout=asyncio.timeout(left_ms / MS_PER_SECOND),
            is_delegated=is_delegated,
        )

    async def _forward_in_time(self, in_progress: _RequestInProgress) -> Refusal | None:
        """Forward a request until its deadline, or until a shutdown leaves no time for it."""
        try:
            async with in_progress.timeout:
                self._in_progress.add(in_progress)
                return await self._forward(in_progress.routed, in_progress)
        except (TimeoutError, HostStoppingError) as error:
            if in_progress.is_convicted:
                return quarantined(may_have_run=in_progress.may_have_run)
            if isinstance(error, TimeoutError) and not in_progress.is_ended:
                return timed_out()
            if in_progress.may_have_run:
                return stopped_before_response()
            return host_stopping(rng=self._context.rng)
        except (asyncio.CancelledError, ConnectionError):
            # A write fails after the end of the caller's connection, before the cancellation.
            self._cut_answers.log_cancelled(
                in_progress.routed.request, in_progress.responder, in_progress
            )
            raise
        finally:
            self._in_progress.discard(in_progress)

    def _record_outcome(self, routed: RoutedRequest, refusal: Refusal | None) -> None:
        kind = routed.route.kind.value
        outcome = "answered" if refusal is None else refusal.kind.value
        metrics = self._context.metrics
        metrics.requests.labels(kind, outcome).inc()
        took_ms = self._context.clock.now() - routed.request.arrived
        metrics.latency_ms.labels(kind).observe(took_ms)

    def _build_routed(
        self,
        request: CallerRequest,
        route: Route,
        caller: Caller,
        table: RouteTable,
        domains: frozenset[FailureDomainId],
    ) -> RoutedRequest:
        # A caller that still sends its body is not kept waiting.
        received = request.arrived if request.received is None else request.received
        deadline = received + route.timeout_ms
        if request.time_left_ms is not None:
            deadline = min(deadline, request.arrived + request.time_left_ms)
        service = choose_target(route=route, rng=self._context.rng)
        return RoutedRequest(
            request=request,
            route=route,
            caller=caller,
            service=service,
            engine=_get_engine_capabilities(table, service),
            deadline=Millis(deadline),
            domains=domains,
        )

    async def _forward(
        self, routed: RoutedRequest, in_progress: _RequestInProgress
    ) -> Refusal | None:
        if is_quarantined(routed, self._context):
            return quarantined()
        if not self._shutdown.accepts(routed):
            return host_stopping(rng=self._context.rng)
        if in_progress.is_delegated:
            return await self._send_delegated(routed, in_progress)
        self._context.retry_permits.count_request(service=routed.service)
        if self._context.paths.is_cut_off:
            return await self._delegate(routed, in_progress)
        refusal = await self._send(routed, in_progress)
        if refusal is not None and self._lacks_path(refusal, in_progress):
            return await self._delegate(routed, in_progress)
        return refusal

    async def _send_delegated(
        self, routed: RoutedRequest, in_progress: _RequestInProgress
    ) -> Refusal | None:
        """Send a request that another host has delegated, and counted."""
        refusal = await self._send(routed, in_progress)
        if refusal is not None and self._lacks_path(refusal, in_progress):
            return refusal if in_progress.may_have_run else no_path(rng=self._context.rng)
        return refusal

    def _lacks_path(self, refusal: Refusal, in_progress: _RequestInProgress) -> bool:
        """Return whether a request was refused because this host reaches no upstream."""
        forwarder = in_progress.forwarder
        if forwarder is None or not forwarder.can_be_delegated:
            return False
        # An upstream that holds a request back may well be reached.
        return self._context.paths.is_cut_off or not refusal.is_held_back

    async def _delegate(
        self, routed: RoutedRequest, in_progress: _RequestInProgress
    ) -> Refusal | None:
        """Have another host send a request that this one can't."""
        delegated = DelegatedForwarder(
            routed=routed,
            context=self._context,
            client=self._delegate_client,
            selector=self._delegates,
            may_have_run=in_progress.may_have_run,
        )
        in_progress.forwarder = delegated
        return await delegated.serve(in_progress.responder)

    async def _send(self, routed: RoutedRequest, in_progress: _RequestInProgress) -> Refusal | None:
        """Send a request to upstreams."""
        if routed.route.kind is not RouteKind.STREAMING:
            forwarder = PlainForwarder(routed=routed, context=self._context)
            in_progress.forwarder = forwarder
            return await forwarder.serve(in_progress.responder)
        run = StreamRun(
            routed=routed,
            responder=in_progress.responder,
            context=self._context,
            admission=self._admission,
            hooks=self._stream_mover,
        )
        in_progress.forwarder = run
        self._stream_mover.runs.add(run)
        try:
            return await run.serve()
        finally:
            self._stream_mover.runs.discard(run)

    async def _refuse(
        self,
        request: CallerRequest,
        responder: Responder,
        refusal: Refusal,
        table: RouteTable | None,
        in_progress: _RequestInProgress | None = None,
    ) -> None:
        log = _log.warning if responder.begun else _log.info
        phase = "waiting" if in_progress is None else in_progress.phase
        log(
            "A request is answered with a failure.",
            kind=refusal.kind.value,
            detail=refusal.detail,
            retry_after_ms=refusal.retry_after_ms,
            version=None if table is None else table.version,
            **self._cut_answers.describe(
                request, responder, in_progress, is_closing=responder.begun
            ),
        )
        if responder.begun:
            self._context.metrics.cut_answers.labels(refusal.kind.value, phase).inc()
            # Abort the connection so that the partial response does not look complete.
            responder.abort()
            return
        try:
            await responder.refuse(refusal=refusal)
        except (asyncio.CancelledError, ConnectionError):
            self._cut_answers.log_cancelled(request, responder, in_progress)
            raise


def _get_engine_capabilities(table: RouteTable, service: ServiceId) -> EngineCapabilities | None:
    declared = table.service(service)
    return None if declared is None else declared.engine
