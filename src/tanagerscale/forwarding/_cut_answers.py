"""Logs and counts the requests whose callers get no whole response."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import Protocol
from typing import final

from tanagerscale.core import get_logger
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._request_state import ConnectionEnd
from tanagerscale.forwarding._request_state import UpstreamPart
from tanagerscale.forwarding._shutdown import ShutdownSchedule
from tanagerscale.forwarding._types import CallerRequest
from tanagerscale.forwarding._types import Responder

MAX_LISTED_REQUESTS: Final = 24
"""Requests in progress that one line lists, so that it stays below the size of an atomic write."""

MAX_LISTED_ID_CHARS: Final = 40

_log = get_logger(part="forwarding")


class RequestInProgress(Protocol):
    """A request that is being forwarded."""

    @property
    def phase(self) -> str:
        """How far its answer has come."""

    @property
    def upstream_part(self) -> UpstreamPart:
        """The part of the upstream that had it last."""


@final
class CutAnswers:
    """Logs and counts the requests whose callers get no whole response.

    :param context: Dependencies shared by all requests.
    :param shutdown: Schedule of this host's graceful shutdown.
    """

    def __init__(self, *, context: ForwardingContext, shutdown: ShutdownSchedule) -> None:
        self._context = context
        self._shutdown = shutdown

    def log_cancelled(
        self, request: CallerRequest, responder: Responder, in_progress: RequestInProgress | None
    ) -> None:
        """Log that a request ends because its caller has left or the host ends.

        :param request: The request.
        :param responder: Sends its response.
        :param in_progress: The request as far as it is forwarded; ``None`` if it isn't.
        """
        is_cut = self._shutdown.is_over
        if is_cut or responder.begun:
            cause = "host-ends" if is_cut else "caller-left"
            self._context.metrics.cut_answers.labels(cause, _get_phase(in_progress)).inc()
        log = _log.warning if self._shutdown.has_begun else _log.info
        log(
            "A response is cut because the host ends." if is_cut else "A caller has left.",
            **self.describe(request, responder, in_progress, is_closing=True),
        )

    def describe(
        self,
        request: CallerRequest,
        responder: Responder,
        in_progress: RequestInProgress | None,
        *,
        is_closing: bool,
    ) -> dict[str, object]:
        """Return the state of a request whose caller gets no whole response of an upstream.

        :param request: The request.
        :param responder: Sends its response.
        :param in_progress: The request as far as it is forwarded; ``None`` if it isn't.
        :param is_closing: Whether this host closes the connection now, unless it has ended.
        """
        part = UpstreamPart() if in_progress is None else in_progress.upstream_part
        connection = responder.connection_state
        is_closed_here = is_closing and connection.end is ConnectionEnd.OPEN
        return {
            "request": request.request,
            "begun": responder.begun,
            "phase": _get_phase(in_progress),
            "since_stop_ms": self._shutdown.elapsed_ms,
            "after_ms": self._context.clock.now() - request.arrived,
            "upstream": part.upstream,
            "upstream_part": part.end.value,
            "since_event_ms": self._get_since_event_ms(part),
            "unread_response_bytes": connection.unread_response_bytes,
            "unread_request_bytes": connection.unread_request_bytes,
            "closed_by": (ConnectionEnd.THIS_HOST if is_closed_here else connection.end).value,
            "errno": connection.errno,
        }

    def list_requests(
        self, requests: Iterable[tuple[CallerRequest, RequestInProgress]]
    ) -> list[tuple[str, str, int | None]]:
        """Return the id, phase and time since the last event of requests, the oldest first."""
        oldest = sorted(requests, key=lambda one: one[0].arrived)[:MAX_LISTED_REQUESTS]
        return [
            (
                request.request[:MAX_LISTED_ID_CHARS],
                in_progress.phase,
                self._get_since_event_ms(in_progress.upstream_part),
            )
            for request, in_progress in oldest
        ]

    def _get_since_event_ms(self, part: UpstreamPart) -> int | None:
        return None if part.last_event is None else self._context.clock.now() - part.last_event


def _get_phase(in_progress: RequestInProgress | None) -> str:
    return "waiting" if in_progress is None else in_progress.phase
