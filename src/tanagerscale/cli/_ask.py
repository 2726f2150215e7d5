"""The ``ask`` command: sends a prompt and resumes its stream after a failure, on any host."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import sys
from typing import Any
from typing import final

import aiohttp
import msgspec
from msgspec import Struct
from msgspec import field

from tanagerscale.cli._events import Event
from tanagerscale.cli._events import read_events
from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._exit import fail
from tanagerscale.cli._hosts import build_url
from tanagerscale.cli._output import Output
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Execution
from tanagerscale.generated.callers import CompletionRequest
from tanagerscale.generated.callers import ProblemDetails

STANDARD_INPUT = "-"
KEY_VARIABLE = "TANAGERSCALE_KEY"
CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 60.0
MAX_ATTEMPTS = 6
RETRY_PAUSE_MS = 500
END_MARKER = "[DONE]"
ERROR_EVENT = "error"


@final
class AskOptions(Struct, frozen=True, kw_only=True):
    """Options of the ``ask`` command.

    :param prompt: The prompt; a hyphen reads it from standard input.
    :param hosts: Callers' addresses of the hosts, used in turn.
    :param model: Name of the model.
    :param adapter: Name of the adapter, or empty for none.
    :param key: Key of the client account; empty reads it from the environment.
    :param key_file: File that contains the key; it takes precedence over ``key``.
    :param max_tokens: Maximum number of output tokens; 0 means the model's limit.
    """

    prompt: str
    hosts: tuple[str, ...]
    model: str
    adapter: str
    key: str
    key_file: str
    max_tokens: int


@final
class _AnswerState(Struct, kw_only=True):
    request_id: str = ""
    cursor: str = ""
    texts: list[str] = field(default_factory=list)
    finish_reason: str = ""
    complete: bool = False


async def run_ask(*, options: AskOptions, output: Output) -> None:
    """Send the prompt, print the answer as it streams and resume it by cursor after a failure.

    :raises CommandError: When an option is invalid, the request is refused or the attempts are
        used up.
    """
    if not options.model:
        fail(code=ExitCode.BAD_INPUT, message="No model is given; pass --model NAME.")
    headers = {"Authorization": f"Bearer {_read_key(options)}"}
    prompt = _read_prompt(options)
    body = msgspec.json.encode(
        CompletionRequest(
            model=options.model,
            prompt=prompt,
            adapter=options.adapter,
            max_tokens=options.max_tokens,
            stream=True,
        )
    )
    answer = _AnswerState()
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
    )
    async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
        for attempt in range(MAX_ATTEMPTS):
            host = options.hosts[attempt % len(options.hosts)]
            problem = await _request_once(
                session=session, host=host, body=body, answer=answer, output=output
            )
            if answer.complete:
                break
            output.progress(f"{host}: {problem}; retrying.")
            await asyncio.sleep(RETRY_PAUSE_MS / MS_PER_SECOND)
    if not answer.complete:
        message = (
            "No host delivered the complete answer; check 'tanagerscale status', then send the "
            "prompt again."
        )
        fail(code=ExitCode.HOST_UNREACHABLE, message=message)
    output.line("")
    document = {
        "id": answer.request_id,
        "text": "".join(answer.texts),
        "finish_reason": answer.finish_reason,
    }
    output.document(document)


def _read_prompt(options: AskOptions) -> str:
    try:
        if options.prompt == STANDARD_INPUT:
            return sys.stdin.buffer.read().decode()
        options.prompt.encode()
    except UnicodeError:
        fail(code=ExitCode.BAD_INPUT, message="The prompt is not valid UTF-8 text.")
    return options.prompt


def _read_key(options: AskOptions) -> str:
    if options.key_file:
        try:
            return Path(options.key_file).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            message = f"--key-file can't be read ({error}); name a file that contains the key."
            fail(code=ExitCode.BAD_INPUT, message=message)
    key = options.key or os.environ.get(KEY_VARIABLE, "")
    if not key or not key.isprintable():
        message = f"No valid account key is given; pass --key-file FILE, or set {KEY_VARIABLE}."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return key


async def _request_once(
    *, session: aiohttp.ClientSession, host: str, body: bytes, answer: _AnswerState, output: Output
) -> str:
    """Request the answer, or the rest of it, from one host and return why it is incomplete."""
    try:
        async with _send(session=session, host=host, body=body, answer=answer) as reply:
            if reply.status != 200:
                return _handle_problem(body=await reply.read(), answer=answer)
            answer.request_id = reply.headers.get("X-Request-Id", answer.request_id)
            async for event in read_events(reply.content):
                if event.kind == ERROR_EVENT:
                    return _handle_problem(body=event.data.encode(), answer=answer)
                _handle_event(event=event, answer=answer, output=output)
            return "the answer broke off"
    except TimeoutError:
        return "no answer in time"
    except aiohttp.ClientError as error:
        return f"the connection failed ({type(error).__name__})"


def _send(*, session: aiohttp.ClientSession, host: str, body: bytes, answer: _AnswerState) -> Any:
    """Send the request; with a cursor, send the same body to resume the answer after it."""
    headers = {"Content-Type": "application/json"}
    path = "/v1/completions"
    if answer.cursor:
        path = f"{path}/{answer.request_id}/events"
        headers["Last-Event-ID"] = answer.cursor
    return session.post(build_url(address=host, path=path), data=body, headers=headers)


def _handle_event(*, event: Event, answer: _AnswerState, output: Output) -> None:
    if event.data == END_MARKER:
        answer.complete = True
        return
    if event.data:
        text, reason = _decode_chunk(event.data)
        answer.texts.append(text)
        answer.finish_reason = reason or answer.finish_reason
        if not output.as_json:
            output.text(text)
    # The cursor advances only after the text is printed, so that a resumed answer skips no text.
    answer.cursor = event.id or answer.cursor


def _decode_chunk(data: str) -> tuple[str, str]:
    try:
        choice = msgspec.json.decode(data)["choices"][0]
        return str(choice["text"]), str(choice.get("finish_reason") or "")
    except (msgspec.MsgspecError, LookupError, TypeError, AttributeError):
        message = "The response is not a completion; check that the address belongs to a host."
        fail(code=ExitCode.HOST_UNREACHABLE, message=message)


def _handle_problem(*, body: bytes, answer: _AnswerState) -> str:
    """Return the reason of a problem that a retry may solve, or end the command."""
    try:
        problem = msgspec.json.decode(body, type=ProblemDetails)
    except msgspec.MsgspecError:
        return "the host sent an invalid error response"
    # With a cursor, the same generation is resumed, so a retry does not execute it twice.
    may_retry = problem.execution == Execution.NOT_EXECUTED.value or bool(answer.cursor)
    if may_retry and problem.retry_after_ms is not None:
        return problem.detail
    fail(
        code=ExitCode.REFUSED,
        message=f"{problem.title}: {problem.detail} (execution: {problem.execution})",
    )
