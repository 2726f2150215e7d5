"""Model engines over HTTP."""

from __future__ import annotations

import asyncio
from typing import TypeVar
from typing import final

import aiohttp
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import AttemptId
from tanagerscale.generated.upstream import CacheEvents
from tanagerscale.generated.upstream import EngineOrder
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.generated.upstream import Refusal
from tanagerscale.generated.upstream import TokenEvent
from tanagerscale.upstreams._protocol import TokenBatches
from tanagerscale.upstreams._protocol import UpstreamError
from tanagerscale.upstreams._protocol import UpstreamErrorKind

ATTEMPT_HEADER = "X-Attempt-Id"
EVENT_END = b"\n\n"
DATA_FIELD = b"data: "
DATA_OBJECT = b"data: {"
MAX_EVENT_BYTES = 1 << 20
CONNECT_TIMEOUT_S = 1.0
REPLY_TIMEOUT_S = 2.0
RESUME_TIMEOUT_S = 1.0
"""An engine that lives answers a resume at once, since it has no prompt to read."""
STALL_TIMEOUT_S = 1.0
"""Short, since a resume on an engine that is only slow costs a connection and nothing else."""
JSON_HEADERS = {"Content-Type": "application/json"}

_Body = TypeVar("_Body")


@final
class HttpEngineClient:
    """One engine behind its published HTTP protocol.

    :param session: Shared by all clients of the process.
    :param address: IP number and port.
    :param stall_s: Longest wait for the next byte of a reply that has begun, in seconds.
    """

    def __init__(
        self, *, session: aiohttp.ClientSession, address: str, stall_s: float = STALL_TIMEOUT_S
    ) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._events = msgspec.json.Decoder(TokenEvent)
        self._stall_s = stall_s
        self._stream_timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self._call_timeout = aiohttp.ClientTimeout(
            total=REPLY_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )

    def generate(self, *, request: EngineRequest) -> TokenBatches:
        """Start an attempt and follow it; the iterator ends after its first failure.

        :param request: The attempt; its id must be new.
        """
        url = f"{self._base}/v1/completions"
        body = msgspec.json.encode(request)
        attempt = AttemptId(request.attempt_id)
        return self._follow("POST", url, attempt, body, REPLY_TIMEOUT_S)

    def resume(self, *, attempt: AttemptId, offset: int) -> TokenBatches:
        """Follow a running or finished attempt.

        :param attempt: The attempt.
        :param offset: Number of tokens already held.
        """
        url = f"{self._base}/v1/completions/{attempt}/events?offset={offset}"
        return self._follow("GET", url, attempt, None, RESUME_TIMEOUT_S)

    async def cancel(self, *, attempt: AttemptId) -> Result[None, UpstreamError]:
        """Stop an attempt; idempotent.

        :param attempt: The attempt.
        """
        result = await self._call("DELETE", f"/v1/completions/{attempt}", None)
        return result.map(lambda _body: None)

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Read the late load report."""
        return _decode(await self._call("GET", "/load", None), LoadReport)

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Read the cache events with a sequence above ``after``.

        :param after: Last sequence seen.
        """
        return _decode(await self._call("GET", f"/cache-events?after={after}", None), CacheEvents)

    async def state(self) -> Result[EngineState, UpstreamError]:
        """Read what the engine holds."""
        return _decode(await self._call("GET", "/state", None), EngineState)

    async def order(self, *, order: EngineOrder) -> Result[EngineState, UpstreamError]:
        """Give an order.

        :param order: The order, with its fencing number.
        """
        return _decode(await self._call("POST", "/orders", msgspec.json.encode(order)), EngineState)

    async def _follow(
        self, method: str, url: str, attempt: AttemptId, body: bytes | None, reply_s: float
    ) -> TokenBatches:
        response = None
        guard = None
        try:
            async with asyncio.timeout(reply_s):
                response = await self._session.request(
                    method, url, data=body, headers=JSON_HEADERS, timeout=self._stream_timeout
                )
            error = await _reply_error(response, attempt)
            if error is not None:
                yield Failure(error)
                return
            # The empty batch tells that the engine has accepted the attempt.
            yield Success(())
            guard = _StallGuard(response=response, limit_s=self._stall_s)
            pending = b""
            async for chunk in response.content.iter_any():
                events, pending = self._split(pending + chunk)
                guard.reading = False
                yield Success(events)
                guard.progressed()
            stalled = guard.fired
            kind = UpstreamErrorKind.STALLED if stalled else UpstreamErrorKind.BROKEN
            yield Failure(_error(kind, "The reply ended."))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            stalled = guard is not None and guard.fired
            yield Failure(_STALLED if stalled else _classify(error, replied=response is not None))
        finally:
            if guard is not None:
                guard.stop()
            if response is not None:
                response.close()

    def _split(self, data: bytes) -> tuple[list[TokenEvent], bytes]:
        """Return the events in ``data`` and the rest behind the last of them."""
        *frames, pending = data.split(EVENT_END)
        if len(pending) > MAX_EVENT_BYTES:
            raise msgspec.ValidationError("An event is larger than the protocol allows.")
        decode = self._events.decode
        # Comments that keep a connection open, and markers such as [DONE], carry no token; a
        # token that is lost with them shows as a gap.
        events = [
            decode(frame[start + len(DATA_FIELD) :])
            for frame in frames
            if (start := frame.find(DATA_OBJECT)) >= 0
        ]
        return events, pending

    async def _call(
        self, method: str, path: str, body: bytes | None
    ) -> Result[bytes, UpstreamError]:
        replied = False
        try:
            async with self._session.request(
                method,
                self._base + path,
                data=body,
                headers=JSON_HEADERS,
                timeout=self._call_timeout,
            ) as response:
                replied = True
                error = await _reply_error(response, None)
                if error is not None:
                    return Failure(error)
                return Success(await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(_classify(error, replied=replied))


@final
class _StallGuard:
    """Closes a reply that makes no progress while it is read.

    The library's own read timeout moves a timer for each read; this one looks at its watch only
    once each interval, so a stall is noticed after one to two intervals.

    :param response: The reply.
    :param limit_s: The interval, in seconds.
    """

    def __init__(self, *, response: aiohttp.ClientResponse, limit_s: float) -> None:
        self.reading = True
        self.fired = False
        self._progress = False
        self._response = response
        self._limit_s = limit_s
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(limit_s, self._look)

    def progressed(self) -> None:
        """Record that bytes have come and that the next ones are waited for."""
        self._progress = True
        self.reading = True

    def stop(self) -> None:
        """Look no more."""
        self._timer.cancel()

    def _look(self) -> None:
        if self.reading and not self._progress:
            self.fired = True
            self._response.close()
            return
        self._progress = False
        self._timer = self._loop.call_later(self._limit_s, self._look)


async def _reply_error(
    response: aiohttp.ClientResponse, attempt: AttemptId | None
) -> UpstreamError | None:
    if response.status >= 300:
        return _refused(response.status, await response.read())
    if attempt is not None and response.headers.get(ATTEMPT_HEADER, attempt) != attempt:
        return _error(UpstreamErrorKind.MALFORMED, "The reply belongs to another attempt.")
    return None


def _refused(status: int, body: bytes) -> UpstreamError:
    try:
        refusal = msgspec.json.decode(body, type=Refusal)
    except msgspec.MsgspecError:
        # Without the published refusal nothing proves that the call was not executed.
        return _error(UpstreamErrorKind.BROKEN, f"The engine answered {status} without a reason.")
    return UpstreamError(
        kind=UpstreamErrorKind.REFUSED,
        detail=f"The engine refused: {refusal.kind.value}.",
        refusal=refusal,
    )


def _classify(error: Exception, *, replied: bool) -> UpstreamError:
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return _error(UpstreamErrorKind.NOT_SENT, "No connection could be made.")
    if isinstance(error, TimeoutError):
        kind = UpstreamErrorKind.STALLED if replied else UpstreamErrorKind.UNRESPONSIVE
        return _error(kind, "No byte came in the time allowed.")
    if isinstance(error, ValueError) and not isinstance(error, aiohttp.ClientError):
        return _error(UpstreamErrorKind.MALFORMED, "An event could not be read.")
    return _error(UpstreamErrorKind.BROKEN, f"The connection broke: {type(error).__name__}.")


def _error(kind: UpstreamErrorKind, detail: str) -> UpstreamError:
    return UpstreamError(kind=kind, detail=detail)


def _decode(
    body: Result[bytes, UpstreamError], body_type: type[_Body]
) -> Result[_Body, UpstreamError]:
    match body:
        case Success(content):
            try:
                return Success(msgspec.json.decode(content, type=body_type))
            except msgspec.MsgspecError as error:
                return Failure(_error(UpstreamErrorKind.MALFORMED, str(error)))
        case Failure(error):
            return Failure(error)
    raise AssertionError("A Result is a Success or a Failure.")


_STALLED = _error(UpstreamErrorKind.STALLED, "No byte came in the time allowed.")
