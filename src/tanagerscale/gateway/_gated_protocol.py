"""HTTP protocol whose input passes a gate before it is parsed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from typing import Final

from aiohttp import StreamReader
from aiohttp import web
from aiohttp.http import RawRequestMessage

from tanagerscale.core import Clock
from tanagerscale.core import get_logger
from tanagerscale.gateway._chunk_decoder import ChunkError
from tanagerscale.gateway._connection_use import ConnectionUse
from tanagerscale.gateway._gated_transport import GatedTransport
from tanagerscale.gateway._input_context import InputContext
from tanagerscale.gateway._input_gate import HeadTooLargeError
from tanagerscale.gateway._input_gate import InputGate
from tanagerscale.gateway._input_refusals import InputProblem
from tanagerscale.gateway._input_refusals import encode_refusal
from tanagerscale.gateway._input_turns import InputTurns
from tanagerscale.gateway._platform import DEFAULT_HEADER_BYTES

MAX_KEEPALIVE_S: Final = 3600.0
"""Above any idle timeout that can be configured; the server enforces the configured one."""
MAX_PARSED_BYTES: Final = 1 << 30
"""Limit of the parser for lines and fields, as it gets only heads within their limit."""

READ_BYTES: Final = 32 * 1024
"""Most that is read from a connection at a time, and that waits for the parser."""
BODY_BUFFER_BYTES: Final = 16 * 1024
"""Half of the unread bytes of a body above which its connection is not read."""

LINGER_S: Final = 2.0
"""Longest time for which the input of a refused client is dropped, so that it can read the refusal
before the connection is reset."""
LINGER_BYTES: Final = 16 * 1024 * 1024
"""Most input of a refused client that is dropped; several times the largest usual body."""
UNHANDLED_BODY_S: Final = 1.0
"""Longest time for which a body is read that its request's handler did not want."""

# What is read is copied before another connection is read.
_buffer = memoryview(bytearray(READ_BYTES))

_log = get_logger(part="callers")


class GatedProtocol(web.RequestHandler, asyncio.BufferedProtocol):
    """HTTP protocol of one connection.

    The parser gets whole heads within their limit and parts of bodies. What it does not take yet
    waits here, and the connection is not read meanwhile.

    :param server: Server that handles the requests.
    :param clock: Clock that measures idle times.
    :param head_bytes: Returns the largest head of a request in bytes.
    :param context: What it shares with other connections; ``None`` for nothing.
    """

    def __init__(
        self,
        *,
        server: web.Server,
        clock: Clock,
        head_bytes: Callable[[], int] = lambda: DEFAULT_HEADER_BYTES,
        context: InputContext | None = None,
    ) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            auto_decompress=False,
            keepalive_timeout=MAX_KEEPALIVE_S,
            max_line_size=MAX_PARSED_BYTES,
            max_field_size=MAX_PARSED_BYTES,
            max_headers=MAX_PARSED_BYTES,
            lingering_time=UNHANDLED_BODY_S,
            read_bufsize=BODY_BUFFER_BYTES,
            access_log=None,  # type: ignore[arg-type]
        )
        self._clock = clock
        self._refusals = None if context is None else context.refusals
        self._turns = InputTurns() if context is None else context.turns
        self._gate = InputGate(head_bytes=head_bytes)
        self._waiting = b""
        """Input that the gate has yet to take."""
        self._is_turn_due = False
        self._is_last = False
        """Whether no request may follow the one that was parsed last."""
        self._body: StreamReader | None = None
        """Body of the request that was parsed last."""
        self._refusal: InputProblem | None = None
        """Why the connection is closed after the responses to earlier requests."""
        self._linger_timer: asyncio.TimerHandle | None = None
        self._dropped_bytes = 0
        self.is_evicted = False
        """Whether the connection is closed for others."""
        self.on_evicted: Callable[[], None] = lambda: None
        """Called as the connection is closed for others."""
        self.is_refused = False
        """Whether the client was refused, and nothing more of it is read."""
        self._gated: GatedTransport | None = None
        self._own_transport: asyncio.Transport | None = None
        self.use = ConnectionUse(opened=clock.now(), last_active=clock.now())

    @property
    def held_bytes(self) -> int:
        """Bytes of input that wait for the parser."""
        return len(self._waiting) + self._gate.held_bytes

    @property
    def has_begun_head(self) -> bool:
        """Whether a part of a head has arrived, or empty lines in its place."""
        return self._gate.has_begun_head

    @property
    def is_unserved(self) -> bool:
        """Whether no request has been read on the connection, or its client was refused."""
        if self._linger_timer is not None:
            return True
        use = self.use
        is_handling = use.is_handling or use.next_request is not None
        return not (use.requests or is_handling or self._messages)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being handled or read on the connection."""
        use = self.use
        is_handling = use.is_handling or use.next_request is not None or bool(self._messages)
        return not (is_handling or use.has_unhandled_data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, which the server forgets as it closes the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._own_transport = transport
        self._gated = GatedTransport(
            transport, on_change=self._on_parser_paused, lingers=self._linger
        )
        super().connection_made(self._gated)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop the input that is left."""
        super().connection_lost(exc)
        self._stop_input()
        if self._linger_timer is not None:
            self._linger_timer.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of all connections, whose size bounds each read."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what has been read."""
        if not self._gate.has_ended:
            self.data_received(bytes(_buffer[:nbytes]))
            return
        self._dropped_bytes += nbytes
        if self._dropped_bytes > LINGER_BYTES and self._linger_timer is not None:
            self._abort()

    def data_received(self, data: bytes) -> None:
        """Pass input on, as far as the parser takes it; no data lets it go on with what it has."""
        if not data:
            super().data_received(data)
        elif not self._gate.has_ended:
            self._waiting = self._waiting + data if self._waiting else data
        self._pass_input()

    def _on_parser_paused(self) -> None:
        """Read the connection again, or not, as the parser has paused or resumed."""
        if self._waiting:
            # The parser may be in the middle of what it was given.
            self._loop.call_soon(self._pass_input)
        self._update_reading()

    def _pass_input(self) -> None:
        """Give the parser what has arrived, until it has to wait or the turn is over."""
        if self._is_turn_due:
            return
        while self._waiting and self._can_pass():
            if self._gate.is_chunked and self._turns.is_busy:
                self._wait_for_turn()
                break
            if not self._pass_once():
                break
        self._update_reading()

    def _can_pass(self) -> bool:
        if self._gate.has_ended or self._gated is None or self._gated.is_paused:
            return False
        # One request is parsed ahead, so that it can be named if the connection ends.
        return not (self._gate.is_at_head and self._messages)

    def _pass_once(self) -> bool:
        """Pass one head or a part of a body on; return whether the turn goes on."""
        was_at_head = self._gate.is_at_head
        was_chunked = self._gate.is_chunked
        try:
            piece, used = self._gate.take(self._waiting)
        except HeadTooLargeError:
            self.refuse_input(InputProblem.HEAD_TOO_LARGE)
            return False
        except ChunkError as error:
            self._fail_body(error)
            return False
        self._waiting = self._waiting[used:]
        self._record_input(piece, was_at_head=was_at_head)
        if piece and was_at_head:
            self._parse_head(piece)
        elif piece:
            super().data_received(piece)
        if was_chunked and self._gate.is_chunked and self._waiting:
            self._wait_for_turn()
            return False
        return True

    def _record_input(self, piece: bytes, *, was_at_head: bool) -> None:
        """Record that the connection is in use; empty lines in place of a head are no use."""
        if piece or not was_at_head or self._gate.held_bytes:
            if not self.use.is_handling:
                self.use.has_unhandled_data = True
            self.use.record_activity(now=self._clock.now())
        if not self._gate.has_begun_head:
            self.use.end_head()
        elif self.use.head_began is None:
            self.use.head_began = self._clock.now()

    def _parse_head(self, head: bytes) -> None:
        before = len(self._messages)
        super().data_received(head)
        if len(self._messages) == before:
            self.refuse_input(InputProblem.MALFORMED)
            return
        message, payload = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            self._end_input(InputProblem.MALFORMED)
            # The traceback holds the input until cycles are collected.
            _strip_traceback(message.exc)
            return
        self._body = payload
        size = 0 if payload.is_eof() else int(message.headers.get("Content-Length", "0"))
        self._is_last = message.upgrade or message.method == "CONNECT"
        self._gate.begin_body(size=None if message.chunked else size, is_last=self._is_last)

    def _wait_for_turn(self) -> None:
        self._is_turn_due = True
        self._turns.add(self._take_turn)

    def _take_turn(self) -> None:
        self._is_turn_due = False
        if self._waiting and self._can_pass():
            self._pass_once()
            self._pass_input()
        self._update_reading()

    def _update_reading(self) -> None:
        if self._gated is None:
            return
        is_held = self._gated.is_paused or self._is_turn_due or len(self._waiting) >= READ_BYTES
        self._gated.set_reading(self._gate.has_ended or not is_held)

    def begin_request(self, request: web.BaseRequest) -> None:
        """Record that the handling of a request is about to begin, and go on with the input."""
        self.use.next_request = request
        if self._is_last and not self._messages:
            self.use.must_close = True
        if self._waiting:
            self._loop.call_soon(self._pass_input)

    def end_request(self) -> None:
        """Record that the handling of a request has ended, and refuse what has come behind it."""
        self.use.end_request(now=self._clock.now())
        if self._refusal is not None and not self._messages:
            self._loop.call_soon(self._send_refusal)

    def refuse_input(self, problem: InputProblem) -> None:
        """Refuse what has arrived of a request, which is not run, and close the connection."""
        self._end_input(problem)
        self._refusal = problem
        is_busy = self.use.is_handling or self.use.next_request is not None or self._messages
        if not is_busy:
            self._send_refusal()

    def end_late_head(self) -> None:
        """Refuse a request whose head has not arrived in time; close a connection without one."""
        if self._gate.held_bytes:
            self.refuse_input(InputProblem.HEAD_TIMED_OUT)
            return
        self._end_input(InputProblem.HEAD_TIMED_OUT)
        self.force_close()

    def _send_refusal(self) -> None:
        transport = self._own_transport
        if transport is None or transport.is_closing() or self._refusal is None:
            return
        transport.write(encode_refusal(self._refusal))
        self._refusal = None
        self.close()
        self._linger()

    def _end_input(self, problem: InputProblem) -> None:
        """Ignore all further input of the client because of a problem."""
        self.is_refused = True
        self.record_problem(problem)
        self._stop_input()
        self._update_reading()

    def record_problem(self, problem: InputProblem) -> None:
        """Count a problem with the input of the client."""
        if self._refusals is not None:
            peer = None if self._gated is None else self._gated.get_extra_info("peername")
            self._refusals.record(problem, peer=peer[0] if peer else "")

    def _stop_input(self) -> None:
        self._gate.end()
        self._waiting = b""
        self.use.end_head()
        if self._body is not None and not self._body.is_eof():
            _drop_unread(self._body)

    def _fail_body(self, error: ChunkError) -> None:
        self._end_input(InputProblem.MALFORMED)
        if self._body is not None:
            self._body.set_exception(web.RequestPayloadError(str(error)))

    def give_up_body(self, error: Exception) -> None:
        """Let the handler that reads a body fail.

        :param error: What it fails with.
        """
        self._stop_input()
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a malformed request, of which a count tells, or to an error."""
        if status != web.HTTPBadRequest.status_code:
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=status, text=message)
        response.force_close()
        return response

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log an error without its traceback, as clients can cause many."""
        _log.warning("A connection has failed.", reason=repr(kw.get("exc_info")))

    def refuse_rest(self) -> None:
        """Drop all further input of the client, whose request has been refused."""
        self.is_refused = True
        self._stop_input()
        self._update_reading()
        if self._body is not None and not self._body.is_eof():
            self._body.feed_eof()

    def _linger(self) -> bool:
        """Drop input of a refused client until it closes the connection, or for ``LINGER_S``.

        A connection that is closed with unread input is reset, and the refusal with it.

        :returns: Whether the connection stays open meanwhile.
        """
        transport = self._own_transport
        if transport is None or transport.is_closing() or self._force_close or self.is_evicted:
            return False
        if not self.is_refused:
            return False
        if self._linger_timer is None:
            if transport.can_write_eof():
                transport.write_eof()
            self._linger_timer = self._loop.call_later(LINGER_S, self._abort)
        return True

    def end_at_once(self) -> bool:
        """Close the connection, which is needed for other clients; return whether it was open."""
        if self.is_evicted or self.transport is None:
            return False
        self.is_refused = self.is_evicted = True
        self.on_evicted()
        self.record_problem(InputProblem.NO_DESCRIPTOR)
        self._abort()
        return True

    def _abort(self) -> None:
        if self._own_transport is not None:
            self._own_transport.abort()


def _drop_unread(body: StreamReader) -> None:
    """Let go of what nobody will read, as it is part of a cycle that is collected much later."""
    if body.exception() is not None:
        return
    try:
        while body.read_nowait():
            pass
    except RuntimeError:
        # A handler waits for more, so that nothing is unread.
        return


def _strip_traceback(error: BaseException) -> None:
    """Let go of the frames that an error refers to."""
    related: BaseException | None = error
    while related is not None:
        related.__traceback__ = None
        related = related.__cause__ or related.__context__
