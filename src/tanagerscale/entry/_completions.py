"""Completions: from a caller's request to the last token of its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

from aiohttp import web
import msgspec
from msgspec import Struct
from msgspec.structs import replace
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import AttemptId
from tanagerscale.core import ClientAccountId
from tanagerscale.core import Execution
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.core import new_id
from tanagerscale.declarations import Declarations
from tanagerscale.delivery import BufferedSink
from tanagerscale.delivery import Cursor
from tanagerscale.delivery import CursorBinding
from tanagerscale.delivery import CursorSigner
from tanagerscale.delivery import EventFormat
from tanagerscale.delivery import StreamSink
from tanagerscale.delivery import verify_cursor
from tanagerscale.dispatch import Attempt
from tanagerscale.dispatch import AttemptEnd
from tanagerscale.dispatch import DispatchContext
from tanagerscale.dispatch import Finish
from tanagerscale.dispatch import Generation
from tanagerscale.dispatch import GenerationRequest
from tanagerscale.dispatch import Relay
from tanagerscale.dispatch import ResumePoint
from tanagerscale.entry._limits import AccountLimiter
from tanagerscale.entry._problems import problem_response
from tanagerscale.entry._replies import LazyReply
from tanagerscale.entry._replies import end_stream
from tanagerscale.entry._replies import whole_body
from tanagerscale.entry._requests import RequestChecker
from tanagerscale.entry._requests import bad_request

RESUME_RETRY_AFTER_MS = 1000

_log = get_logger(part="entry")


class CompletionParts(Struct, frozen=True, kw_only=True):
    """What the completion handlers use.

    :param host: This host.
    :param cursor_key: Signs cursors.
    :param checker: Checks bodies.
    :param dispatch: What generations use.
    :param declarations: Returns what is in force.
    :param limits: Limits of accounts.
    :param attached: Tells another host that the caller of one of its attempts has come here.
    """

    host: HostId
    cursor_key: bytes
    checker: RequestChecker
    dispatch: DispatchContext
    declarations: Callable[[], Declarations]
    limits: AccountLimiter
    attached: Callable[[HostId, AttemptId], None]


@final
class Completions:
    """Serves completions and their continuation.

    :param parts: What the handlers use.
    """

    def __init__(self, *, parts: CompletionParts) -> None:
        self._parts = parts

    async def complete(
        self, *, request: web.Request, account: ClientAccountId, chat: bool
    ) -> web.StreamResponse:
        """Answer ``POST /v1/completions`` and ``POST /v1/chat/completions``.

        :param request: The caller's request.
        :param account: Who asks.
        :param chat: Whether it is a chat.
        """
        generation = GenerationId(new_id(prefix="cmpl"))
        checked = self._parts.checker.check(
            body=await request.read(),
            chat=chat,
            account=account,
            generation=generation,
            declarations=self._parts.declarations(),
        )
        match checked:
            case Success((asked, checked_request)):
                problem = self._parts.limits.start(
                    account=account, tokens=checked_request.prompt_tokens
                )
                if problem is None and asked.stream:
                    return await self._stream(request, checked_request, chat)
                if problem is None:
                    return await self._reply_whole(checked_request, chat)
                return problem_response(problem=problem, request_id=generation)
            case Failure(problem):
                return problem_response(problem=problem, request_id=generation)
        raise AssertionError("A Result is a Success or a Failure.")

    async def _reply_whole(self, checked: GenerationRequest, chat: bool) -> web.Response:
        sink = BufferedSink()
        generation = Generation(request=checked, sink=sink, context=self._parts.dispatch)
        match await self._run_counted(generation, checked):
            case Success(finish):
                body = whole_body(checked, finish, sink.text, chat)
                return web.Response(
                    body=body,
                    content_type="application/json",
                    headers={"X-Request-Id": checked.generation},
                )
            case Failure(problem):
                return problem_response(problem=problem, request_id=checked.generation)
        raise AssertionError("A Result is a Success or a Failure.")

    async def _run_counted(
        self, generation: Generation, checked: GenerationRequest
    ) -> Result[Finish, Problem]:
        """Run a generation that the account's limits have let in."""
        try:
            return await generation.run()
        finally:
            self._parts.limits.finish(account=checked.account, tokens=generation.tokens)

    async def _stream(
        self,
        request: web.Request,
        checked: GenerationRequest,
        chat: bool,
        cursor: Cursor | None = None,
    ) -> web.StreamResponse:
        reply = LazyReply(request=request, request_id=checked.generation)
        binding = self._binding(checked, chat)
        event_format = EventFormat(binding=binding)

        def signer_of(attempt: AttemptId, engine: UpstreamId) -> CursorSigner:
            bound = msgspec.structs.replace(binding, attempt=attempt, engine=engine)
            return CursorSigner(key=self._parts.cursor_key, binding=bound)

        sink: StreamSink | BufferedSink
        if checked.whole and (cursor is None or cursor.offset == 0):
            sink = BufferedSink(signer_of=signer_of, writer=reply)
        else:
            sink = StreamSink(
                writer=reply,
                signer_of=signer_of,
                event_format=event_format,
                offset=cursor.offset if cursor is not None else 0,
                checksum=cursor.checksum if cursor is not None else 0,
            )
        generation = Generation(
            request=checked,
            sink=sink,
            context=self._parts.dispatch,
            resume=self._resume_point(cursor) if cursor is not None else None,
        )
        # A continuation was let in with its first request, and a limit would only waste that.
        if cursor is None:
            result = await self._run_counted(generation, checked)
        else:
            result = await generation.run()
        return await end_stream(result, sink, reply, event_format, checked.generation)

    def _resume_point(self, cursor: Cursor) -> ResumePoint:
        attempt = AttemptId(cursor.binding.attempt)
        self._parts.dispatch.canceller.on_caller_returned(attempt=attempt)
        self._parts.attached(HostId(cursor.binding.host), attempt)
        return ResumePoint(
            attempt=attempt,
            engine=UpstreamId(cursor.binding.engine),
            offset=cursor.offset,
            checksum=cursor.checksum,
        )

    def _binding(self, checked: GenerationRequest, chat: bool) -> CursorBinding:
        return CursorBinding(
            request=checked.generation,
            account=checked.account,
            attempt="",
            engine="",
            host=self._parts.host,
            model=checked.model,
            chat=chat,
            seed=checked.seed,
            fingerprint=checked.fingerprint,
        )

    async def resume(self, *, request: web.Request, account: ClientAccountId) -> web.StreamResponse:
        """Answer ``GET`` and ``POST /v1/completions/{request_id}/events``.

        With the body of the first request a generation that was lost meanwhile is made again.

        :param request: The caller's request, with its cursor in ``Last-Event-ID``.
        :param account: Who asks.
        """
        request_id = request.match_info["request_id"]
        text = request.headers.get("Last-Event-ID", "")
        if not text:
            problem = bad_request("Send the last event's id in the header Last-Event-ID.")
            return _refuse_continuation(problem, request_id)
        cursor = verify_cursor(key=self._parts.cursor_key, text=text)
        if (
            cursor is None
            or cursor.binding.account != account
            or cursor.binding.request != request_id
        ):
            return problem_response(problem=_CURSOR_REFUSED, request_id=request_id)
        if request.method == "GET":
            return await self._follow(request, cursor)
        return await self._go_on(request, cursor)

    async def _go_on(self, request: web.Request, cursor: Cursor) -> web.StreamResponse:
        binding = cursor.binding
        checked = self._parts.checker.check(
            body=await request.read(),
            chat=binding.chat,
            account=ClientAccountId(binding.account),
            generation=GenerationId(binding.request),
            declarations=self._parts.declarations(),
        )
        match checked:
            case Failure(problem):
                return _refuse_continuation(problem, binding.request)
            case Success((_, found)) if found.fingerprint == binding.fingerprint:
                again = replace(found, seed=binding.seed)
                return await self._stream(request, again, binding.chat, cursor)
        return problem_response(problem=_OTHER_BODY, request_id=binding.request)

    async def _follow(self, request: web.Request, cursor: Cursor) -> web.StreamResponse:
        binding = cursor.binding
        point = self._resume_point(cursor)
        reply = LazyReply(request=request, request_id=binding.request)
        event_format = EventFormat(binding=binding)
        bound = msgspec.structs.replace(binding, host=self._parts.host)
        signer = CursorSigner(key=self._parts.cursor_key, binding=bound)
        sink = StreamSink(
            writer=reply,
            signer_of=lambda _attempt, _engine: signer,
            event_format=event_format,
            offset=point.offset,
            checksum=point.checksum,
        )
        await sink.begin(attempt=point.attempt, engine=point.engine)
        relay = Relay(offset=point.offset, checksum=point.checksum)
        result = await self._run_resumed(point.attempt, point.engine, relay, sink)
        return await end_stream(result, sink, reply, event_format, binding.request)

    async def _run_resumed(
        self, attempt_id: AttemptId, engine: UpstreamId, relay: Relay, sink: StreamSink
    ) -> Result[Finish, Problem]:
        dispatch = self._parts.dispatch
        if engine not in self._parts.declarations().engines:
            return Failure(_GENERATION_LOST)
        attempt = Attempt(
            attempt=attempt_id,
            client=dispatch.client_of(engine),
            relay=relay,
            sink=sink,
            on_progress=_no_report,
            clock=dispatch.clock,
        )
        ended = False
        try:
            outcome = await attempt.resume()
            ended = True
        finally:
            if not ended:
                pause = sink.cancel_after_ms or 0
                dispatch.canceller.cancel(attempt=attempt_id, engine=engine, after_ms=pause)
        if outcome.end is AttemptEnd.FINISHED and relay.finish is not None:
            return Success(Finish(relay.finish, relay.delivered))
        _log.info("A continued generation was lost.", attempt=attempt_id, end=outcome.end.value)
        return Failure(_GENERATION_LOST)


_CURSOR_REFUSED = Problem(
    kind=ProblemKind.CURSOR_REFUSED,
    detail="The cursor is not one of this request; send the id of its last event unchanged.",
    execution=Execution.UNKNOWN,
)
_OTHER_BODY = Problem(
    kind=ProblemKind.CURSOR_REFUSED,
    detail="The body is not the one that this cursor's request was made with; send that one.",
    execution=Execution.UNKNOWN,
)
_GENERATION_LOST = Problem(
    kind=ProblemKind.GENERATION_LOST,
    detail="The engine lost the generation; send the cursor again by POST with the first body.",
    execution=Execution.UNKNOWN,
    retry_after_ms=RESUME_RETRY_AFTER_MS,
)


def _refuse_continuation(problem: Problem, request_id: str) -> web.Response:
    """Refuse a continuation; its request has run, at least in part."""
    told = replace(problem, execution=Execution.UNKNOWN)
    return problem_response(problem=told, request_id=request_id)


def _no_report(_tokens: int) -> None:
    """Take no note; routing does not know of a generation that another host placed."""
