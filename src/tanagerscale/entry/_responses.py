"""Responses to completion requests."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import final

from aiohttp import web
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Problem
from tanagerscale.delivery import BufferedSink
from tanagerscale.delivery import EventFormat
from tanagerscale.delivery import StreamSink
from tanagerscale.dispatch import Finish
from tanagerscale.dispatch import GenerationRequest
from tanagerscale.entry._problems import problem_event
from tanagerscale.entry._problems import problem_response
from tanagerscale.generated.callers import ChatChoice
from tanagerscale.generated.callers import ChatCompletion
from tanagerscale.generated.callers import ChatMessage
from tanagerscale.generated.callers import Completion
from tanagerscale.generated.callers import CompletionChoice
from tanagerscale.generated.callers import Usage

EVENT_STREAM_CONTENT_TYPE = "text/event-stream"


@final
class DeferredStreamResponse:
    """Event stream response that sends its header only with the first byte of the body.

    Until then, the request can still be rejected with a plain response.

    :param request: HTTP request from the caller.
    :param request_id: Value of the response header ``X-Request-Id``.
    """

    def __init__(self, *, request: web.Request, request_id: str) -> None:
        self._request = request
        self._response = web.StreamResponse(
            headers={
                "Content-Type": EVENT_STREAM_CONTENT_TYPE,
                "Cache-Control": "no-store",
                "X-Request-Id": request_id,
            }
        )

    @property
    def is_started(self) -> bool:
        """Whether the header has been sent."""
        return self._response.prepared

    def write(self, data: bytes) -> Awaitable[None]:
        """Write bytes to the body; the first call sends the header before them."""
        if self._response.prepared:
            return self._response.write(data)
        return self._start(data)

    async def end(self) -> web.StreamResponse:
        """Complete the response."""
        await self._response.write_eof()
        return self._response

    async def _start(self, data: bytes) -> None:
        await self._response.prepare(self._request)
        await self._response.write(data)


async def finish_stream_response(
    result: Result[Finish, Problem],
    sink: StreamSink | BufferedSink,
    response: DeferredStreamResponse,
    event_format: EventFormat,
    request_id: str,
) -> web.StreamResponse:
    """Finish an event stream with its end marker, or with a problem if the generation failed.

    :param result: Result of the generation.
    :param sink: Sink that received the generated tokens.
    :param response: Response to finish. If it has not started, a failure is sent as a plain
        response instead.
    :param event_format: Encodes the events.
    :param request_id: Id that identifies the request in logs.
    """
    match result:
        case Success(finish):
            if isinstance(sink, BufferedSink):
                await sink.send_all(event_format=event_format, reason=finish.reason.value)
            else:
                await sink.finish(reason=finish.reason.value)
        case Failure(problem):
            if not response.is_started:
                return problem_response(problem=problem, request_id=request_id)
            await response.write(problem_event(problem=problem, request_id=request_id))
    return await response.end()


def build_completion_body(
    checked: GenerationRequest, finish: Finish, text: str, chat: bool
) -> bytes:
    """Return the JSON body of a response that contains the complete answer.

    :param checked: Validated request.
    :param finish: Finish reason and number of generated tokens.
    :param text: Generated text.
    :param chat: Whether to return a chat completion.
    """
    usage = Usage(
        prompt_tokens=checked.prompt_tokens,
        completion_tokens=finish.tokens,
        total_tokens=checked.prompt_tokens + finish.tokens,
    )
    reason = finish.reason.value
    if chat:
        message = ChatMessage(role="assistant", content=text)
        choice = ChatChoice(index=0, message=message, finish_reason=reason)
        return msgspec.json.encode(
            ChatCompletion(
                id=checked.generation,
                object="chat.completion",
                model=checked.model,
                choices=[choice],
                usage=usage,
            )
        )
    return msgspec.json.encode(
        Completion(
            id=checked.generation,
            object="text_completion",
            model=checked.model,
            choices=[CompletionChoice(index=0, text=text, finish_reason=reason)],
            usage=usage,
        )
    )
