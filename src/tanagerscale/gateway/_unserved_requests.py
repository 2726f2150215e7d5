"""Logs requests that end before they are passed on to be served."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from aiohttp import web

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.forwarding import ConnectionEnd
from tanagerscale.gateway._connections import CallerProtocol
from tanagerscale.gateway._platform import CallerCodec

_log = get_logger(part="callers")


@final
class UnservedRequestLog:
    """Logs requests that end before they are passed on to be served.

    :param codec: Tells the id of a request.
    :param stopping_since: Returns when the shutdown began; ``None`` before it.
    :param count_cut: Counts a request that was not forwarded, by cause.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        codec: CallerCodec,
        stopping_since: Callable[[], Millis | None],
        count_cut: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._count_cut = count_cut
        self._codec = codec
        self._stopping_since = stopping_since
        self._clock = clock

    def log_connection(
        self, protocol: CallerProtocol, unhandled: Sequence[web.BaseRequest]
    ) -> None:
        """Log what is left on a connection that has ended.

        :param protocol: The connection.
        :param unhandled: Requests that were read on it and whose handling has not begun.
        """
        for request in unhandled:
            self.log(request, has_begun=False)
        if protocol.is_refused:
            return
        state = protocol.state
        if state.end is not ConnectionEnd.THIS_HOST or protocol.is_unread_logged:
            return
        # The kernel resets a connection with unread bytes, or one on which bytes arrive later, and
        # the caller may lose what it has not received.
        is_undelivered = self._stopping_since() is not None and state.unsent_response_bytes
        if state.unread_request_bytes or is_undelivered:
            log = _log.info if self._stopping_since() is None else _log.warning
            log(
                (
                    "A connection is closed with bytes of its caller unread."
                    if state.unread_request_bytes
                    else "A connection is closed before its response was delivered."
                ),
                request=protocol.use.request,
                is_complete=not protocol.use.is_handling,
                unread_request_bytes=state.unread_request_bytes,
                unread_response_bytes=state.unread_response_bytes,
                unsent_response_bytes=state.unsent_response_bytes,
            )

    def log(self, request: web.BaseRequest, *, has_begun: bool, detail: str = "") -> None:
        """Log a request that has ended; one without an id can't be named.

        :param request: The request.
        :param has_begun: Whether its body was being read.
        :param detail: The error that has ended it.
        """
        echoed = self._codec.echoed_headers(request)
        protocol = request.protocol
        if not echoed or not echoed[0][1] or not isinstance(protocol, CallerProtocol):
            return
        self._count_cut("not-forwarded")
        since, state = self._stopping_since(), protocol.state
        is_open = state.end is ConnectionEnd.OPEN
        log = _log.info if since is None else _log.warning
        log(
            "A request has ended before it was forwarded.",
            request=echoed[0][1],
            has_begun=has_begun,
            has_arrived=request.content.is_eof(),
            since_stop_ms=0 if since is None else self._clock.now() - since,
            earlier_requests=protocol.use.requests,
            unread_request_bytes=state.unread_request_bytes,
            closed_by=(ConnectionEnd.THIS_HOST if is_open else state.end).value,
            errno=state.errno,
            detail=detail,
        )
