"""The one place at which requests are sent to upstreams, on whichever way they come."""

from __future__ import annotations

from enum import Enum
from enum import unique
from typing import Final
from typing import final

from msgspec.structs import replace

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._crash_evidence import is_quarantined
from tanagerscale.forwarding._limited_requests import record_limited_request
from tanagerscale.forwarding._limited_requests import record_named_rate
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._repeats import record_repeat
from tanagerscale.forwarding._suspected_requests import record_suspected_request
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import UpstreamRequest
from tanagerscale.forwarding._types import UpstreamResponse
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import UpstreamLeavingError

_log = get_logger(part="forwarding")


@unique
class SendPath(Enum):
    """How a request gets to an upstream."""

    FIRST = "first"
    """The first attempt of a plain request."""
    REPEATED = "repeated"
    """A plain request after an attempt that failed."""
    HEDGED = "hedged"
    """A plain request while another attempt is under way."""
    PLACED = "placed"
    """A generation that has reached no engine before."""
    PLACED_AGAIN = "placed-again"
    """A generation that its engine did not run."""
    RESUMED = "resumed"
    """A run that continues, on whichever engine."""

    @property
    def is_repeat(self) -> bool:
        """Whether the retry budget counts it, since the request has reached an upstream before."""
        return self not in (SendPath.FIRST, SendPath.PLACED)


RESUME_AT_LEAVING_MS: Final = 1200
"""How long after its notice a run may go on at a leaving engine that holds its copy. The run would
be lost otherwise, and an engine gets nothing two seconds after its notice."""

_LEAVING_ALLOWANCE_MS: Final = {
    path: RESUME_AT_LEAVING_MS if path is SendPath.RESUMED else 0 for path in SendPath
}


class QuarantinedError(Exception):
    """A request is not sent, since it has what crashes upstreams."""


class HostStoppingError(Exception):
    """A request that has not run is not sent, since its host stops before it could be finished."""


async def send_request(
    routed: RoutedRequest,
    context: ForwardingContext,
    upstream_request: UpstreamRequest,
    *,
    path: SendPath,
    chosen_at: Millis,
) -> UpstreamResponse:
    """Send a request to an upstream and wait for the head of its response.

    :param routed: The request as it was received.
    :param context: Dependencies shared by all requests.
    :param upstream_request: The request to the upstream.
    :param path: How the request gets to it.
    :param chosen_at: When the upstream was chosen.
    :raises QuarantinedError: The request was not sent.
    :raises HostStoppingError: The request was not sent.
    :raises UpstreamLeavingError: The request was not sent.
    :raises ExchangeError: The upstream did not respond.
    """
    upstream = upstream_request.upstream.upstream
    if is_quarantined(routed, context):
        context.metrics.unsent_requests.labels(path.value).inc()
        _log.info(
            "A request is not sent, since it has what crashes upstreams.",
            request=routed.request.request,
            upstream=upstream,
            path=path.value,
        )
        raise QuarantinedError
    sending = _Sending(routed, context, upstream, path, chosen_at)
    sending.check()
    sending.record()
    record_limited_request(routed, context, upstream, path=path.value)
    record_suspected_request(routed, context, upstream, path=path.value)
    if path.is_repeat:
        record_repeat(routed, context, upstream, path=path.value)
    sent_at = context.clock.now()
    checked_request = replace(upstream_request, check=sending.check)
    response = await context.upstream_client.send(upstream_request=checked_request)
    record_named_rate(context, upstream, response, sent_at=sent_at)
    return response


@final
class _Sending:
    """One sending of a request, and what its host knows of the upstream meanwhile."""

    def __init__(
        self,
        routed: RoutedRequest,
        context: ForwardingContext,
        upstream: UpstreamId,
        path: SendPath,
        chosen_at: Millis,
    ) -> None:
        self._routed = routed
        self._context = context
        self._upstream = upstream
        self._path = path
        self._chosen_at = chosen_at

    def check(self) -> None:
        """Raise an error if the request must not be sent on this path any more.

        :raises HostStoppingError: This host stops before the request could be finished.
        :raises UpstreamLeavingError: The upstream must get no more requests.
        """
        if self._has_not_run and not self._context.can_start(self._routed):
            self._log_stopping()
            raise HostStoppingError
        leaving_ms = self._context.gate.leaving_for_ms(self._upstream)
        if leaving_ms is None or leaving_ms < _LEAVING_ALLOWANCE_MS[self._path]:
            return
        self._context.metrics.withheld_requests.labels(self._path.value).inc()
        self._log("A request is not sent, since its upstream leaves.", leaving_ms)
        raise UpstreamLeavingError(self._upstream)

    def record(self) -> None:
        """Record what the host knows of the upstream as it sends the request."""
        leaving_ms = self._context.gate.leaving_for_ms(self._upstream)
        self._context.metrics.choice_age_ms.labels(self._path.value).observe(self._chosen_ms)
        if leaving_ms is not None:
            self._context.metrics.leaving_requests.labels(self._path.value).inc()
        self._log("A request is sent.", leaving_ms)

    @property
    def _has_not_run(self) -> bool:
        """Whether the request has certainly not run, so that it can be refused instead.

        A request that may have run goes on, since its caller gets no better answer otherwise.
        """
        if self._path is SendPath.REPEATED:
            return self._routed.route.kind is not RouteKind.IDEMPOTENT
        return self._path not in (SendPath.HEDGED, SendPath.RESUMED)

    @property
    def _chosen_ms(self) -> int:
        return self._context.clock.now() - self._chosen_at

    def _log_stopping(self) -> None:
        _log.info(
            "A request is not sent, since this host stops before it could be finished.",
            request=self._routed.request.request,
            upstream=self._upstream,
            path=self._path.value,
            chosen_ms=self._chosen_ms,
            left_ms=self._routed.deadline - self._context.clock.now(),
        )

    def _log(self, message: str, leaving_ms: int | None) -> None:
        _log.info(
            message,
            request=self._routed.request.request,
            upstream=self._upstream,
            path=self._path.value,
            chosen_ms=self._chosen_ms,
            leaving_ms=leaving_ms,
            list_age_ms=self._context.list_age_ms(),
        )
