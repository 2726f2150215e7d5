"""The forms of replies to completions."""

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

EVENT_STREAM = "text/event-stream"


@final
class LazyReply:
    """A reply of events that begins with its first byte, so that a refusal can still be plain.

    :param request: The caller's request.
    :param request_id: Goes into the reply's header.
    """

    def __init__(self, *, request: web.Request, request_id: str) -> None:
        self._request = request
        self._response = web.StreamResponse(
            headers={
                "Content-Type": EVENT_STREAM,
                "Cache-Control": "no-store",
                "X-Request-Id": request_id,
            }
        )

    @property
    def begun(self) -> bool:
        """Whether a byte has been sent."""
        return self._response.prepared

    def write(self, data: bytes) -> Awaitable[None]:
        """Send bytes, and the header before the first."""
        if self._response.prepared:
            return self._response.write(data)
        return self._begin(data)

    async def end(self) -> web.StreamResponse:
        """Close the reply."""
        await self._response.write_eof()
        return self._response

    async def _begin(self, data: bytes) -> None:
        await self._response.prepare(self._request)
        await self._response.write(data)


async def end_stream(
    result: Result[Finish, Problem],
    sink: StreamSink | BufferedSink,
    reply: LazyReply,
    event_format: EventFormat,
    request_id: str,
) -> web.StreamResponse:
    """End a reply of events by its end marker, or by a problem in place of one.

    :param result: How the generation ended.
    :param sink: Took its tokens.
    :param reply: The reply, which has not begun when nothing was delivered.
    :param event_format: Frames the events.
    :param request_id: Names the request.
    """
    match result:
        case Success(finish):
            if isinstance(sink, BufferedSink):
                await sink.send_all(event_format=event_format, reason=finish.reason.value)
            else:
                await sink.finish(reason=finish.reason.value)
        case Failure(problem):
            if not reply.begun:
                return problem_response(problem=problem, request_id=request_id)
            await reply.write(problem_event(problem=problem, request_id=request_id))
    return await reply.end()


def whole_body(checked: GenerationRequest, finish: Finish, text: str, chat: bool) -> bytes:
    """Return the body of a reply that holds the whole answer.

    :param checked: The request.
    :param finish: How the generation ended.
    :param text: The answer.
    :param chat: Whether the answer is shaped as a chat.
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
