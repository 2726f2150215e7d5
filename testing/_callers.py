"""Client of the caller interface, for tests with real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import aiohttp
import msgspec

from standins.cluster_files import account_key
from standins.tokens import answer_tokens
from tanagerscale.generated.callers import ProblemDetails
from tanagerscale.generated.upstream import EngineRequest

MODEL = "round-planner"
VERSION = "2026-11"
ACCOUNT = "crew-north"
SEED = 11
POLL_INTERVAL_S = 0.02
REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=60)


@dataclass(kw_only=True)
class Answer:
    """Event stream as received by a caller over all its connections."""

    request_id: str = ""
    texts: list[str] = field(default_factory=list)
    cursor: str = ""
    done: bool = False
    error: str = ""
    status: int = 0

    @property
    def text(self) -> str:
        """Complete text received so far."""
        return "".join(self.texts)


def headers(*, account: str = ACCOUNT) -> dict[str, str]:
    """Return the request headers that authenticate a client account."""
    return {"Authorization": f"Bearer {account_key(account)}"}


def expected_text(*, prompt: str, max_tokens: int = 16384, model: str = MODEL) -> str:
    """Return the only correct answer to a prompt."""
    request = EngineRequest(
        attempt_id="", model=model, prompt=prompt, seed=SEED, max_tokens=max_tokens
    )
    return "".join(answer_tokens(request, version=VERSION))


async def ask(
    *,
    session: aiohttp.ClientSession,
    url: str,
    prompt: str,
    answer: Answer | None = None,
    model: str = MODEL,
) -> Answer:
    """Request a streamed completion and read it until the connection ends."""
    answer = answer or Answer()
    async with session.post(
        f"{url}/v1/completions",
        json=_body(prompt, model),
        headers=headers(),
        timeout=REQUEST_TIMEOUT,
    ) as response:
        answer.request_id = response.headers.get("X-Request-Id", "")
        await _read_events(response, answer)
    return answer


async def resume(
    *,
    session: aiohttp.ClientSession,
    url: str,
    answer: Answer,
    account: str = ACCOUNT,
    prompt: str = "",
    model: str = MODEL,
) -> Answer:
    """Resume a stream at a host; with the prompt, a lost generation can be generated again."""
    async with session.request(
        "POST" if prompt else "GET",
        f"{url}/v1/completions/{answer.request_id}/events",
        json=_body(prompt, model) if prompt else None,
        headers={**headers(account=account), "Last-Event-ID": answer.cursor},
        timeout=REQUEST_TIMEOUT,
    ) as response:
        await _read_events(response, answer)
    return answer


async def book(*, session: aiohttp.ClientSession, url: str, key: str) -> bytes | ProblemDetails:
    """Send one booking and return the response of the service, or the problem."""
    async with session.post(
        f"{url}/services/bookings/bookings",
        json={"id": key},
        headers={**headers(), "Idempotency-Key": key},
        timeout=REQUEST_TIMEOUT,
    ) as response:
        body = await response.read()
    if response.content_type == "application/problem+json":
        return msgspec.json.decode(body, type=ProblemDetails)
    return body


async def book_with_retries(*, session: aiohttp.ClientSession, url: str, key: str) -> bytes:
    """Send a booking and retry it after ``retry_after_ms`` while it is reported as not executed."""
    while True:
        reply = await book(session=session, url=url, key=key)
        if isinstance(reply, bytes):
            return reply
        assert reply.execution == "not-executed", reply
        assert reply.retry_after_ms is not None
        await asyncio.sleep(reply.retry_after_ms / 1000)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll a condition until it holds; only the timeout of the test limits the wait."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)


def _body(prompt: str, model: str) -> dict[str, object]:
    return {"model": model, "prompt": prompt, "stream": True, "seed": SEED}


async def _read_events(response: aiohttp.ClientResponse, answer: Answer) -> None:
    answer.status = response.status
    if response.status != 200:
        answer.error = await response.text()
        return
    pending = b""
    try:
        async for chunk in response.content.iter_any():
            *events, pending = (pending + chunk).split(b"\n\n")
            for event in events:
                _handle_event(event.decode(), answer)
    except aiohttp.ClientError as error:
        answer.error = f"{type(error).__name__}"


def _handle_event(event: str, answer: Answer) -> None:
    fields = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
    data = fields.get("data", "")
    if data == "[DONE]":
        answer.done = True
    elif fields.get("event") == "error":
        answer.error = data
    elif data:
        answer.texts.append(msgspec.json.decode(data)["choices"][0]["text"])
    answer.cursor = fields.get("id", answer.cursor)
