"""Handlers for completions and for resuming their streams."""

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
from tanagerscale.entry._requests import RequestChecker
from tanagerscale.entry._requests import bad_request
from tanagerscale.entry._responses import DeferredStreamResponse
from tanagerscale.entry._responses import build_completion_body
from tanagerscale.entry._responses import finish_stream_response

RESUME_RETRY_AFTER_MS = 1000

_log = get_logger(part="entry")


class CompletionContext(Struct, frozen=True, kw_only=True):
    """Dependencies of the completion handlers.

    :param host: Id of this host.
    :param cursor_key: Key used to sign and verify cursors.
    :param checker: Validates request bodies.
    :param dispatch: Dependencies of generations.
    :param declarations: Returns the declarations in force.
    :param limits: Enforces the limits of client accounts.
    :param notify_attached: Notifies another host that the caller of one of its attempts has
        reconnected to this host.
    """

    host: HostId
    cursor_key: bytes
    checker: RequestChecker
    dispatch: DispatchContext
    declarations: Callable[[], Declarations]
    limits: AccountLimiter
    notify_attached: Callable[[HostId, AttemptId], None]


@final
class CompletionHandlers:
    """Handles completion requests and requests to resume their streams.

    :param context: Dependencies of the handlers.
    """

    def __init__(self, *, context: CompletionContext) -> None:
        self._context = context

    async def complete(
        self, *, request: web.Request, account: ClientAccountId, chat: bool
    ) -> web.StreamResponse:
        """Handle ``POST /v1/completions`` and ``POST /v1/chat/completions``.

        :param request: HTTP request from the caller.
        :param account: Client account that sent the request.
        :param chat: Whether it is a chat completion.
        """
        generation = GenerationId(new_id(prefix="cmpl"))
        checked = self._context.checker.check(
            body=await request.read(),
            chat=chat,
            account=account,
            generation=generation,
            declarations=self._context.declarations(),
        )
        match checked:
            case Success((completion_request, checked_request)):
                problem = self._context.limits.start(
                    account=account, tokens=checked_request.prompt_tokens
                )
                if problem is None and completion_request.stream:
                    return await self._stream(request, checked_request, chat)
                if problem is None:
                    return await self._complete_whole(checked_request, chat)
                return problem_response(problem=problem, request_id=generation)
            case Failure(problem):
                return problem_response(problem=problem, request_id=generation)
        raise AssertionError("Result is neither Success nor Failure")

    async def _complete_whole(self, checked: GenerationRequest, chat: bool) -> web.Response:
        sink = BufferedSink()
        generation = Generation(request=checked, sink=sink, context=self._context.dispatch)
        match await self._run_admitted(generation, checked):
            case Success(finish):
                body = build_completion_body(checked, finish, sink.text, chat)
                return web.Response(
                    body=body,
                    content_type="application/json",
                    headers={"X-Request-Id": checked.generation},
                )
            case Failure(problem):
                return problem_response(problem=problem, request_id=checked.generation)
        raise AssertionError("Result is neither Success nor Failure")

    async def _run_admitted(
        self, generation: Generation, checked: GenerationRequest
    ) -> Result[Finish, Problem]:
        """Run a generation and record its end in the limits of the client account."""
        try:
            return await generation.run()
        finally:
            self._context.limits.finish(account=checked.account, tokens=generation.tokens)

    async def _stream(
        self,
        request: web.Request,
        checked: GenerationRequest,
        chat: bool,
        cursor: Cursor | None = None,
    ) -> web.StreamResponse:
        response = DeferredStreamResponse(request=request, request_id=checked.generation)
        binding = self._binding(checked, chat)
        event_format = EventFormat(binding=binding)

        def signer_of(attempt: AttemptId, engine: UpstreamId) -> CursorSigner:
            attempt_binding = msgspec.structs.replace(binding, attempt=attempt, engine=engine)
            return CursorSigner(key=self._context.cursor_key, binding=attempt_binding)

        sink: StreamSink | BufferedSink
        if checked.whole and (cursor is None or cursor.offset == 0):
            sink = BufferedSink(signer_of=signer_of, writer=response)
        else:
            sink = StreamSink(
                writer=response,
                signer_of=signer_of,
                event_format=event_format,
                offset=cursor.offset if cursor is not None else 0,
                checksum=cursor.checksum if cursor is not None else 0,
            )
        generation = Generation(
            request=checked,
            sink=sink,
            context=self._context.dispatch,
            resume=self._resume_point(cursor) if cursor is not None else None,
        )
        # A resumed stream was admitted with its original request. Applying the limits again could
        # only waste the work already done.
        if cursor is None:
            result = await self._run_admitted(generation, checked)
        else:
            result = await generation.run()
        return await finish_stream_response(
            result, sink, response, event_format, checked.generation
        )

    def _resume_point(self, cursor: Cursor) -> ResumePoint:
        attempt = AttemptId(cursor.binding.attempt)
        self._context.dispatch.canceller.on_caller_returned(attempt=attempt)
        self._context.notify_attached(HostId(cursor.binding.host), attempt)
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
            host=self._context.host,
            model=checked.model,
            chat=chat,
            seed=checked.seed,
            fingerprint=checked.fingerprint,
        )

    async def resume(self, *, request: web.Request, account: ClientAccountId) -> web.StreamResponse:
        """Handle ``GET`` and ``POST /v1/completions/{request_id}/events``.

        If a ``POST`` contains the body of the original request, a generation that has been lost is
        generated again.

        :param request: HTTP request from the caller, with its cursor in ``Last-Event-ID``.
        :param account: Client account that sent the request.
        """
        request_id = request.match_info["request_id"]
        text = request.headers.get("Last-Event-ID", "")
        if not text:
            problem = bad_request("Send the last event's id in the header Last-Event-ID.")
            return _refuse_resume(problem, request_id)
        cursor = verify_cursor(key=self._context.cursor_key, text=text)
        if (
            cursor is None
            or cursor.binding.account != account
            or cursor.binding.request != request_id
        ):
            return problem_response(problem=_CURSOR_REFUSED, request_id=request_id)
        if request.method == "GET":
            return await self._resume_stream(request, cursor)
        return await self._resume_with_body(request, cursor)

    async def _resume_with_body(self, request: web.Request, cursor: Cursor) -> web.StreamResponse:
        binding = cursor.binding
        checked = self._context.checker.check(
            body=await request.read(),
            chat=binding.chat,
            account=ClientAccountId(binding.account),
            generation=GenerationId(binding.request),
            declarations=self._context.declarations(),
        )
        match checked:
            case Failure(problem):
                return _refuse_resume(problem, binding.request)
            case Success((_, matching_request)) if (
                matching_request.fingerprint == binding.fingerprint
            ):
                regenerated = replace(matching_request, seed=binding.seed)
                return await self._stream(request, regenerated, binding.chat, cursor)
        return problem_response(problem=_BODY_MISMATCH, request_id=binding.request)

    async def _resume_stream(self, request: web.Request, cursor: Cursor) -> web.StreamResponse:
        binding = cursor.binding
        resume_point = self._resume_point(cursor)
        response = DeferredStreamResponse(request=request, request_id=binding.request)
        event_format = EventFormat(binding=binding)
        attempt_binding = msgspec.structs.replace(binding, host=self._context.host)
        signer = CursorSigner(key=self._context.cursor_key, binding=attempt_binding)
        sink = StreamSink(
            writer=response,
            signer_of=lambda _attempt, _engine: signer,
            event_format=event_format,
            offset=resume_point.offset,
            checksum=resume_point.checksum,
        )
        await sink.begin(attempt=resume_point.attempt, engine=resume_point.engine)
        relay = Relay(offset=resume_point.offset, checksum=resume_point.checksum)
        result = await self._resume_attempt(resume_point.attempt, resume_point.engine, relay, sink)
        return await finish_stream_response(result, sink, response, event_format, binding.request)

    async def _resume_attempt(
        self, attempt_id: AttemptId, engine: UpstreamId, relay: Relay, sink: StreamSink
    ) -> Result[Finish, Problem]:
        dispatch = self._context.dispatch
        if engine not in self._context.declarations().engines:
            return Failure(_GENERATION_LOST)
        attempt = Attempt(
            attempt=attempt_id,
            client=dispatch.get_client(engine),
            relay=relay,
            sink=sink,
            on_progress=_ignore_progress,
            clock=dispatch.clock,
        )
        is_ended = False
        try:
            outcome = await attempt.resume()
            is_ended = True
        finally:
            if not is_ended:
                cancel_delay_ms = sink.cancel_after_ms or 0
                dispatch.canceller.cancel(
                    attempt=attempt_id, engine=engine, after_ms=cancel_delay_ms
                )
        if outcome.end is AttemptEnd.FINISHED and relay.finish is not None:
            return Success(Finish(relay.finish, relay.delivered))
        _log.info("Resumed generation was lost.", attempt=attempt_id, end=outcome.end.value)
        return Failure(_GENERATION_LOST)


_CURSOR_REFUSED = Problem(
    kind=ProblemKind.CURSOR_REFUSED,
    detail="The cursor is not one of this request; send the id of its last event unchanged.",
    execution=Execution.UNKNOWN,
)
_BODY_MISMATCH = Problem(
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


def _refuse_resume(problem: Problem, request_id: str) -> web.Response:
    """Return a response that rejects a resume request.

    The execution is reported as unknown because the original request has run, at least in part.
    """
    refusal = replace(problem, execution=Execution.UNKNOWN)
    return problem_response(problem=refusal, request_id=request_id)


def _ignore_progress(_tokens: int) -> None:
    """Ignore progress: this host's router has no entry for a run that another host placed."""
