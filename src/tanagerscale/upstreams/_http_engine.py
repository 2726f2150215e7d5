"""HTTP client for model engines."""

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
from tanagerscale.core import decode_json
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
VALID_STATUSES = range(200, 600)
CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 2.0
RESUME_TIMEOUT_S = 1.0
"""A working engine answers a resume at once because it has no prompt to process."""
STALL_TIMEOUT_S = 1.0
"""Short because a resume on an engine that is merely slow costs only a connection."""
JSON_HEADERS = {"Content-Type": "application/json"}

_Body = TypeVar("_Body")


@final
class HttpEngineClient:
    """Client of one engine over its published HTTP protocol.

    :param session: HTTP session shared by all clients of the process. Its connections must carry
        one call each: a refusal names no attempt, and shows that a call was not executed.
    :param address: IP address and port.
    :param poll_session: HTTP session for reports of load and of the cache, which are repeated
        anyway and may come late; ``None`` uses ``session``.
    :param stall_timeout_s: Maximum time to wait for the next byte of a response that has begun, in
        seconds; a stall is detected after one to two times this value.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        poll_session: aiohttp.ClientSession | None = None,
        stall_timeout_s: float = STALL_TIMEOUT_S,
    ) -> None:
        self._session = session
        self._poll_session = poll_session or session
        self._base = f"http://{address}"
        self._stall_timeout_s = stall_timeout_s
        self._stream_timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self._call_timeout = aiohttp.ClientTimeout(
            total=RESPONSE_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )

    def generate(self, *, request: EngineRequest) -> TokenBatches:
        """Start an attempt and stream its events; the iterator ends after the first failure.

        :param request: The request; its attempt id must not have been used before.
        """
        url = f"{self._base}/v1/completions"
        body = msgspec.json.encode(request)
        attempt = AttemptId(request.attempt_id)
        return self._follow("POST", url, attempt, body, RESPONSE_TIMEOUT_S)

    def resume(self, *, attempt: AttemptId, offset: int) -> TokenBatches:
        """Stream the events of a running or finished attempt.

        :param attempt: Id of the attempt.
        :param offset: Number of tokens already received.
        """
        url = f"{self._base}/v1/completions/{attempt}/events?offset={offset}"
        return self._follow("GET", url, attempt, None, RESUME_TIMEOUT_S)

    async def cancel(self, *, attempt: AttemptId) -> Result[None, UpstreamError]:
        """Cancel an attempt; idempotent.

        :param attempt: Id of the attempt.
        """
        result = await self._call("DELETE", f"/v1/completions/{attempt}", None)
        return result.map(lambda _body: None)

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Read the load report, which lags behind the actual load."""
        return _decode(await self._poll("/load"), LoadReport)

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Read the cache events with a sequence number above ``after``.

        :param after: Last sequence number received.
        """
        return _decode(await self._poll(f"/cache-events?after={after}"), CacheEvents)

    async def state(self) -> Result[EngineState, UpstreamError]:
        """Read the state of the engine, such as the models that it holds."""
        return _decode(await self._call("GET", "/state", None), EngineState)

    async def order(self, *, order: EngineOrder) -> Result[EngineState, UpstreamError]:
        """Send an order to the engine.

        :param order: The order, including its fencing number.
        """
        return _decode(await self._call("POST", "/orders", msgspec.json.encode(order)), EngineState)

    async def _follow(
        self, method: str, url: str, attempt: AttemptId, body: bytes | None, reply_timeout_s: float
    ) -> TokenBatches:
        response = None
        detector = None
        try:
            async with asyncio.timeout(reply_timeout_s):
                response = await self._session.request(
                    method, url, data=body, headers=JSON_HEADERS, timeout=self._stream_timeout
                )
            error = await _find_error(response, attempt)
            if error is not None:
                yield Failure(error)
                return
            # The empty batch signals that the engine has accepted the attempt.
            yield Success(())
            detector = _StallDetector(response=response, interval_s=self._stall_timeout_s)
            pending = b""
            async for chunk in response.content.iter_any():
                events, pending = self._decode_events(pending + chunk)
                detector.is_reading = False
                yield Success(events)
                detector.record_progress()
            has_stall = detector.has_stalled
            kind = UpstreamErrorKind.STALLED if has_stall else UpstreamErrorKind.BROKEN
            yield Failure(_build_error(kind, "The reply ended."))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            has_stall = detector is not None and detector.has_stalled
            yield Failure(
                _STALLED
                if has_stall
                else _classify_exception(error, has_response=response is not None)
            )
        finally:
            if detector is not None:
                detector.stop()
            if response is not None:
                response.close()

    def _decode_events(self, data: bytes) -> tuple[list[TokenEvent], bytes]:
        """Decode the events in ``data``; return them and the incomplete rest."""
        *frames, pending = data.split(EVENT_END)
        if len(pending) > MAX_EVENT_BYTES:
            raise msgspec.ValidationError("An event is larger than the protocol allows.")
        # Keep-alive comments and markers such as [DONE] carry no token. If a token were skipped
        # with them, it would show up as a gap in the offsets.
        events = [
            _decode_event(frame[start + len(DATA_FIELD) :])
            for frame in frames
            if (start := frame.find(DATA_OBJECT)) >= 0
        ]
        return events, pending

    async def _poll(self, path: str) -> Result[bytes, UpstreamError]:
        return await self._call("GET", path, None, session=self._poll_session)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        *,
        session: aiohttp.ClientSession | None = None,
    ) -> Result[bytes, UpstreamError]:
        has_response = False
        try:
            async with (session or self._session).request(
                method,
                self._base + path,
                data=body,
                headers=JSON_HEADERS,
                timeout=self._call_timeout,
            ) as response:
                has_response = True
                error = await _find_error(response, None)
                if error is not None:
                    return Failure(error)
                return Success(await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(_classify_exception(error, has_response=has_response))


@final
class _StallDetector:
    """Closes a response that makes no progress while it is being read.

    The library's own read timeout resets a timer on each read. This class checks only once per
    interval, so that it detects a stall after one to two intervals.

    :param response: The response to watch.
    :param interval_s: Interval between checks, in seconds.
    """

    def __init__(self, *, response: aiohttp.ClientResponse, interval_s: float) -> None:
        self.is_reading = True
        self.has_stalled = False
        self._has_progressed = False
        self._response = response
        self._interval_s = interval_s
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(interval_s, self._check)

    def record_progress(self) -> None:
        """Record that data was received and that the next read has begun."""
        self._has_progressed = True
        self.is_reading = True

    def stop(self) -> None:
        """Stop checking."""
        self._timer.cancel()

    def _check(self) -> None:
        if self.is_reading and not self._has_progressed:
            self.has_stalled = True
            self._response.close()
            return
        self._has_progressed = False
        self._timer = self._loop.call_later(self._interval_s, self._check)


async def _find_error(
    response: aiohttp.ClientResponse, attempt: AttemptId | None
) -> UpstreamError | None:
    if response.status not in VALID_STATUSES:
        detail = f"The engine answered with the invalid status {response.status:03}."
        return _build_error(UpstreamErrorKind.BROKEN, detail)
    if response.status >= 300:
        return _build_refusal_error(response.status, await response.read())
    if attempt is not None and response.headers.get(ATTEMPT_HEADER, attempt) != attempt:
        return _build_error(UpstreamErrorKind.MALFORMED, "The reply belongs to another attempt.")
    return None


def _decode_event(document: bytes) -> TokenEvent:
    decoded = decode_json(document, TokenEvent)
    if isinstance(decoded, Failure):
        raise msgspec.ValidationError(decoded.failure())
    return decoded.unwrap()


def _build_refusal_error(status: int, body: bytes) -> UpstreamError:
    decoded = decode_json(body, Refusal)
    if isinstance(decoded, Failure):
        # Only a refusal as the protocol defines it proves that the call was not executed.
        return _build_error(
            UpstreamErrorKind.BROKEN, f"The engine answered {status} without a reason."
        )
    refusal = decoded.unwrap()
    return UpstreamError(
        kind=UpstreamErrorKind.REFUSED,
        detail=f"The engine refused: {refusal.kind.value}.",
        refusal=refusal,
    )


def _classify_exception(error: Exception, *, has_response: bool) -> UpstreamError:
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return _build_error(UpstreamErrorKind.NOT_SENT, "No connection could be made.")
    if isinstance(error, TimeoutError):
        kind = UpstreamErrorKind.STALLED if has_response else UpstreamErrorKind.UNRESPONSIVE
        return _build_error(kind, "No byte came in the time allowed.")
    if isinstance(error, ValueError) and not isinstance(error, aiohttp.ClientError):
        return _build_error(UpstreamErrorKind.MALFORMED, "An event could not be read.")
    return _build_error(UpstreamErrorKind.BROKEN, f"The connection broke: {type(error).__name__}.")


def _build_error(kind: UpstreamErrorKind, detail: str) -> UpstreamError:
    return UpstreamError(kind=kind, detail=detail)


def _decode(
    body: Result[bytes, UpstreamError], body_type: type[_Body]
) -> Result[_Body, UpstreamError]:
    if isinstance(body, Failure):
        return body
    decoded = decode_json(body.unwrap(), body_type)
    return decoded.alt(lambda cause: _build_error(UpstreamErrorKind.MALFORMED, cause))


_STALLED = _build_error(UpstreamErrorKind.STALLED, "No byte came in the time allowed.")
