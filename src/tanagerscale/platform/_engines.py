"""Client for upstreams and engines on the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Final
from typing import final

import msgspec
from reactivex import Observable
from reactivex.subject import Subject
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import RequestId
from tanagerscale.core import decode_json
from tanagerscale.core import get_logger
from tanagerscale.forwarding import CopyError
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import RunCopy
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.platform._headers import ACCOUNT
from tanagerscale.platform._headers import CONTINUE_FROM
from tanagerscale.platform._headers import EXPECTED_UPSTREAM
from tanagerscale.platform._headers import LAST_EVENT
from tanagerscale.platform._headers import NOT_EXECUTED
from tanagerscale.platform._headers import PRIORITY
from tanagerscale.platform._headers import RATE_LIMIT
from tanagerscale.platform._headers import REQUEST_ID
from tanagerscale.platform._headers import TIME_LEFT
from tanagerscale.platform._headers import forwarded_response_headers
from tanagerscale.platform._notices import decode_decimal
from tanagerscale.platform._notices import decode_notice
from tanagerscale.platform._wire import WireMove
from tanagerscale.platform._wire import WireMoved
from tanagerscale.platform._wire import WireReport
from tanagerscale.upstreams import AnswerRule
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import EngineReport
from tanagerscale.upstreams import Exchange
from tanagerscale.upstreams import ExchangeClient
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeKind
from tanagerscale.upstreams import ExchangeLabel
from tanagerscale.upstreams import PooledResponse
from tanagerscale.upstreams import ResponseHead
from tanagerscale.upstreams import RunState
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamNotice
from tanagerscale.upstreams import make_json_call

_log = get_logger(part="engines")

HTTP_OK: Final = 200
HTTP_MISDIRECTED: Final = 421

CALL_TIMEOUT_MS: Final = 2500
"""Longest wait for a control call to an engine; engines announce their departure about two seconds
ahead."""

_COPY_FAILURES: Final = {
    404: CopyFailure.UNKNOWN_RUN,
    409: CopyFailure.BUSY,
    503: CopyFailure.NO_ROOM,
}

ENGINE_ANSWERS: Final = AnswerRule(id_field=REQUEST_ID, may_answer_twice=True)
"""Answers to requests repeat their ids; answers to control calls bear none."""


@final
class PlatformResponse(PooledResponse):
    """A response of an upstream, read from its connection."""

    @property
    def headers(self) -> Sequence[Header]:
        """Header fields that are forwarded to the caller."""
        headers = self.reply.headers
        return forwarded_response_headers(headers, headers.items())

    @property
    def not_executed(self) -> bool:
        """Whether the upstream reports that it did not run the request."""
        return self.is_address_reassigned or NOT_EXECUTED in self.reply.headers

    @property
    def is_address_reassigned(self) -> bool:
        """Whether another upstream now has the address."""
        return self.reply.status == HTTP_MISDIRECTED

    @property
    def named_rates(self) -> Sequence[float | None]:
        """Rates to which the upstream limits all hosts together, in requests a second."""
        return [decode_decimal(value) for value in self.reply.headers.getall(RATE_LIMIT, ())]


@final
class PlatformUpstreams:
    """Sends requests to upstreams and control calls to engines.

    :param pool: Pool of connections to upstreams.
    """

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool
        self._client = ExchangeClient(
            pool=pool, rule=ENGINE_ANSWERS, response_type=PlatformResponse
        )
        self._notices: Subject[UpstreamNotice] = Subject()

    @property
    def notices(self) -> Observable[UpstreamNotice]:
        """Emits what upstreams say of themselves in their responses."""
        return self._notices

    async def send(self, *, upstream_request: UpstreamRequest) -> PlatformResponse:
        """Send a request and wait for the head of its response."""
        request, upstream = upstream_request.request, upstream_request.upstream
        exchange = Exchange(
            label=ExchangeLabel(
                kind=ExchangeKind.REQUEST, peer=upstream.upstream, request=request.request
            ),
            method=request.method,
            head=_encode_head(upstream_request),
            body=request.body,
            id=request.request,
        )
        response = await self._client.run(
            address=upstream.address, exchange=exchange, check=upstream_request.check
        )
        self._publish_notice(upstream, response.reply)
        return response

    async def copy(
        self, *, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError]:
        """Copy the part of a run's KV cache that the target engine does not have yet."""
        order = WireMove(id=request, to=target.address, last=stop)
        label = ExchangeLabel(kind=ExchangeKind.COPY, peer=source.upstream, request=request)
        try:
            reply, content = await self._call(
                label, source, method="POST", target="/v1/kv-move", body=msgspec.json.encode(order)
            )
        except (ExchangeError, TimeoutError) as error:
            copy_error = CopyError(failure=CopyFailure.LOST, detail=type(error).__name__)
            return Failure(copy_error)
        self._publish_notice(source, reply)
        moved = _decode_copy_answer(content)
        if reply.status == HTTP_OK and moved.handle:
            return Success(RunCopy(copy=moved.handle, events=moved.created_rev))
        return Failure(
            CopyError(
                failure=_COPY_FAILURES.get(reply.status, CopyFailure.LOST),
                detail=f"the engine responded with status {reply.status}",
                retained_copy=moved.handle or None,
            )
        )

    async def report(self, *, upstream: UpstreamEntry) -> Result[EngineReport, str]:
        """Return an engine's report of its load and its runs."""
        try:
            label = ExchangeLabel(kind=ExchangeKind.REPORT, peer=upstream.upstream)
            reply, content = await self._call(label, upstream)
        except (ExchangeError, TimeoutError) as error:
            return Failure(f"The engine sent no report ({type(error).__name__}); try again later.")
        decoded = decode_json(content, WireReport)
        if isinstance(decoded, Failure):
            return Failure(f"The report can't be decoded ({decoded.failure()}); try again later.")
        report = decoded.unwrap()
        if _is_other_incarnation(upstream, report):
            return Failure("Another incarnation of the engine answered; use its newest entry.")
        self._publish_notice(upstream, reply)
        if reply.status != HTTP_OK:
            return Failure(f"The engine responded with status {reply.status}; try again later.")
        return Success(_to_report(upstream, report))

    async def probe(self, *, upstream: UpstreamEntry, force_new: bool = False) -> bool:
        """Return whether this incarnation of an upstream answers, whatever it says."""
        try:
            label = ExchangeLabel(kind=ExchangeKind.PROBE, peer=upstream.upstream)
            _, content = await self._call(label, upstream, force_new=force_new)
        except (ExchangeError, TimeoutError):
            return False
        report = decode_json(content, WireReport).value_or(WireReport())
        return not _is_other_incarnation(upstream, report)

    def forget(self, *, upstream: UpstreamEntry) -> None:
        """Close the idle connections to an incarnation of an upstream that has ended."""
        self._pool.drop(address=upstream.address)

    async def drop_copy(self, *, holder: UpstreamEntry, copy: str) -> None:
        """Free a copy that will not be used."""
        label = ExchangeLabel(kind=ExchangeKind.FREED_COPY, peer=holder.upstream)
        try:
            target = f"/v1/kv-handle/{copy}"
            reply, _ = await self._call(label, holder, method="DELETE", target=target)
            self._publish_notice(holder, reply)
        except (ExchangeError, TimeoutError):
            _log.info(
                "A copy could not be freed; the engine will expire it.", upstream=holder.upstream
            )

    def _publish_notice(self, upstream: UpstreamEntry, reply: ResponseHead) -> None:
        """Publish what a response says of its upstream, unless another one has the address."""
        if reply.status == HTTP_MISDIRECTED:
            return
        notice = decode_notice(upstream=upstream.upstream, reply=reply)
        if notice is not None:
            self._notices.on_next(notice)

    async def _call(
        self,
        label: ExchangeLabel,
        upstream: UpstreamEntry,
        *,
        method: str = "GET",
        target: str = "/v1/report",
        body: bytes = b"",
        force_new: bool = False,
    ) -> tuple[ResponseHead, bytes]:
        """Make one control call to an engine and return the head and body of its response."""
        address = upstream.address
        exchange = make_json_call(
            label=label, method=method, address=address, target=target, body=body
        )
        async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_SECOND):
            return await self._client.call(address=address, exchange=exchange, force_new=force_new)


def _decode_copy_answer(content: bytes) -> WireMoved:
    # Refusals have bodies of any format; only their status matters.
    return decode_json(content, WireMoved).value_or(WireMoved())


def _is_other_incarnation(upstream: UpstreamEntry, wire: WireReport) -> bool:
    return bool(upstream.started_ms) and wire.born not in (msgspec.UNSET, upstream.started_ms)


def _to_report(upstream: UpstreamEntry, wire: WireReport) -> EngineReport:
    return EngineReport(
        upstream=upstream.upstream,
        waiting=wire.waiting,
        running=wire.running,
        used_tokens=int(wire.kv_cache_used),
        total_tokens=int(wire.kv_cache_total),
        leaves_in_ms=None if wire.leaves_ms is None else int(wire.leaves_ms),
        is_leaving=wire.state == "draining",
        runs=tuple(
            RunState(request=RequestId(run.id), tokens=int(run.tokens), events=run.events)
            for run in wire.runs
        ),
    )


def _encode_head(upstream_request: UpstreamRequest) -> bytes:
    request = upstream_request.request
    lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {request.host}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines += [f"{name}: {value}" for name, value in _gateway_fields(upstream_request)]
    if request.body or request.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")


def _gateway_fields(upstream_request: UpstreamRequest) -> list[Header]:
    fields: list[Header] = [(EXPECTED_UPSTREAM, upstream_request.upstream.name)]
    if upstream_request.time_left_ms is not None:
        fields.append((TIME_LEFT, str(upstream_request.time_left_ms)))
    if upstream_request.account is not None:
        fields.append((ACCOUNT, upstream_request.account))
    if upstream_request.priority is not None:
        fields.append((PRIORITY, str(upstream_request.priority)))
    if upstream_request.continuation is not None:
        origin = upstream_request.continuation
        fields.append((CONTINUE_FROM, f"{origin.holder}/{origin.copy}"))
        fields.append((LAST_EVENT, str(origin.after_event)))
    elif upstream_request.request.resume_after:
        fields.append((LAST_EVENT, upstream_request.request.resume_after))
    return fields
