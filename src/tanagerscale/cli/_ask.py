"""Sending a prompt and following its answer over breaks and from host to host."""

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
from tanagerscale.cli._hosts import url_of
from tanagerscale.cli._output import Output
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Execution
from tanagerscale.generated.callers import CompletionRequest
from tanagerscale.generated.callers import ProblemDetails

STANDARD_INPUT = "-"
KEY_VARIABLE = "TANAGERSCALE_KEY"
CONNECT_TIMEOUT_S = 3.0
SILENCE_TIMEOUT_S = 60.0
TRIES = 6
PAUSE_MS = 500
END_MARKER = "[DONE]"
ERROR_EVENT = "error"


@final
class Question(Struct, frozen=True, kw_only=True):
    """What to ask, and where."""

    prompt: str
    hosts: tuple[str, ...]
    model: str
    adapter: str
    key: str
    key_file: str
    max_tokens: int


@final
class _Answer(Struct, kw_only=True):
    request_id: str = ""
    cursor: str = ""
    texts: list[str] = field(default_factory=list)
    finish_reason: str = ""
    complete: bool = False


async def run_ask(*, question: Question, output: Output) -> None:
    """Ask, print the answer as it comes, and go on by cursor after a break."""
    if not question.model:
        fail(code=ExitCode.BAD_INPUT, message="Say which model to ask, with --model NAME.")
    headers = {"Authorization": f"Bearer {_find_key(question)}"}
    prompt = _find_prompt(question)
    body = msgspec.json.encode(
        CompletionRequest(
            model=question.model,
            prompt=prompt,
            adapter=question.adapter,
            max_tokens=question.max_tokens,
            stream=True,
        )
    )
    answer = _Answer()
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S
    )
    async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
        for number in range(TRIES):
            host = question.hosts[number % len(question.hosts)]
            problem = await _try(
                session=session, host=host, body=body, answer=answer, output=output
            )
            if answer.complete:
                break
            output.progress(f"{host}: {problem}; trying again.")
            await asyncio.sleep(PAUSE_MS / MS_PER_SECOND)
    if not answer.complete:
        message = (
            "The answer could not be had in full from any host; check 'tanagerscale status', "
            "then ask again."
        )
        fail(code=ExitCode.HOST_UNREACHABLE, message=message)
    output.line("")
    document = {
        "id": answer.request_id,
        "text": "".join(answer.texts),
        "finish_reason": answer.finish_reason,
    }
    output.document(document)


def _find_prompt(question: Question) -> str:
    try:
        if question.prompt == STANDARD_INPUT:
            return sys.stdin.buffer.read().decode()
        question.prompt.encode()
    except UnicodeError:
        fail(code=ExitCode.BAD_INPUT, message="The prompt must be text in UTF-8.")
    return question.prompt


def _find_key(question: Question) -> str:
    if question.key_file:
        try:
            return Path(question.key_file).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            message = f"--key-file can't be read ({error}); name a file that holds the key."
            fail(code=ExitCode.BAD_INPUT, message=message)
    key = question.key or os.environ.get(KEY_VARIABLE, "")
    if not key or not key.isprintable():
        message = f"Give the account's key with --key-file FILE, or in {KEY_VARIABLE}."
        fail(code=ExitCode.BAD_INPUT, message=message)
    return key


async def _try(
    *, session: aiohttp.ClientSession, host: str, body: bytes, answer: _Answer, output: Output
) -> str:
    """Ask one host for the answer or for its rest; return what went wrong."""
    try:
        async with _send(session=session, host=host, body=body, answer=answer) as reply:
            if reply.status != 200:
                return _refuse(body=await reply.read(), answer=answer)
            answer.request_id = reply.headers.get("X-Request-Id", answer.request_id)
            async for event in read_events(reply.content):
                if event.kind == ERROR_EVENT:
                    return _refuse(body=event.data.encode(), answer=answer)
                _take(event=event, answer=answer, output=output)
            return "the answer broke off"
    except TimeoutError:
        return "no answer in time"
    except aiohttp.ClientError as error:
        return f"the connection failed ({type(error).__name__})"


def _send(*, session: aiohttp.ClientSession, host: str, body: bytes, answer: _Answer) -> Any:
    """Send the request, or with a cursor the same body for the rest of its answer."""
    headers = {"Content-Type": "application/json"}
    path = "/v1/completions"
    if answer.cursor:
        path = f"{path}/{answer.request_id}/events"
        headers["Last-Event-ID"] = answer.cursor
    return session.post(url_of(address=host, path=path), data=body, headers=headers)


def _take(*, event: Event, answer: _Answer, output: Output) -> None:
    if event.data == END_MARKER:
        answer.complete = True
        return
    if event.data:
        text, reason = _decode_chunk(event.data)
        answer.texts.append(text)
        answer.finish_reason = reason or answer.finish_reason
        if not output.as_json:
            output.text(text)
    # Only what has been printed may be skipped when the answer is resumed.
    answer.cursor = event.id or answer.cursor


def _decode_chunk(data: str) -> tuple[str, str]:
    try:
        choice = msgspec.json.decode(data)["choices"][0]
        return str(choice["text"]), str(choice.get("finish_reason") or "")
    except (msgspec.MsgspecError, LookupError, TypeError, AttributeError):
        message = "The answer can't be read; check that the address is that of a host."
        fail(code=ExitCode.HOST_UNREACHABLE, message=message)


def _refuse(*, body: bytes, answer: _Answer) -> str:
    """End the command on a final answer; return the reason when another try may help."""
    try:
        problem = msgspec.json.decode(body, type=ProblemDetails)
    except msgspec.MsgspecError:
        return "the host gave no answer that can be read"
    # With a cursor the same generation goes on, so trying again runs nothing twice.
    harmless = problem.execution == Execution.NOT_EXECUTED.value or bool(answer.cursor)
    if harmless and problem.retry_after_ms is not None:
        return problem.detail
    fail(
        code=ExitCode.REFUSED,
        message=f"{problem.title}: {problem.detail} (execution: {problem.execution})",
    )
