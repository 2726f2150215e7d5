"""A caller that follows the interface, for tests with real processes."""

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
POLL_S = 0.02
HANG_GUARD = aiohttp.ClientTimeout(total=60)


@dataclass(kw_only=True)
class Answer:
    """What a caller of events received, over all its connections."""

    request_id: str = ""
    texts: list[str] = field(default_factory=list)
    cursor: str = ""
    done: bool = False
    error: str = ""
    status: int = 0

    @property
    def text(self) -> str:
        """All text."""
        return "".join(self.texts)


def headers(*, account: str = ACCOUNT) -> dict[str, str]:
    """Return the headers that identify an account."""
    return {"Authorization": f"Bearer {account_key(account)}"}


def expected(*, prompt: str, max_tokens: int = 16384, model: str = MODEL) -> str:
    """Return the one right answer to a prompt."""
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
    """Ask for an answer as events, until the connection ends."""
    answer = answer or Answer()
    async with session.post(
        f"{url}/v1/completions", json=_body(prompt, model), headers=headers(), timeout=HANG_GUARD
    ) as response:
        answer.request_id = response.headers.get("X-Request-Id", "")
        await _read(response, answer)
    return answer


async def go_on(
    *,
    session: aiohttp.ClientSession,
    url: str,
    answer: Answer,
    account: str = ACCOUNT,
    prompt: str = "",
    model: str = MODEL,
) -> Answer:
    """Go on with an answer at a host; with the prompt also when its engine is gone."""
    async with session.request(
        "POST" if prompt else "GET",
        f"{url}/v1/completions/{answer.request_id}/events",
        json=_body(prompt, model) if prompt else None,
        headers={**headers(account=account), "Last-Event-ID": answer.cursor},
        timeout=HANG_GUARD,
    ) as response:
        await _read(response, answer)
    return answer


async def book(*, session: aiohttp.ClientSession, url: str, key: str) -> bytes | ProblemDetails:
    """Book once and return the service's answer or the problem."""
    async with session.post(
        f"{url}/services/bookings/bookings",
        json={"id": key},
        headers={**headers(), "Idempotency-Key": key},
        timeout=HANG_GUARD,
    ) as response:
        body = await response.read()
    if response.content_type == "application/problem+json":
        return msgspec.json.decode(body, type=ProblemDetails)
    return body


async def book_until_served(*, session: aiohttp.ClientSession, url: str, key: str) -> bytes:
    """Book and come back as told, for as long as the answer says that nothing ran."""
    while True:
        reply = await book(session=session, url=url, key=key)
        if isinstance(reply, bytes):
            return reply
        assert reply.execution == "not-executed", reply
        assert reply.retry_after_ms is not None
        await asyncio.sleep(reply.retry_after_ms / 1000)


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the test's own end is the limit."""
    while not condition():
        await asyncio.sleep(POLL_S)


def _body(prompt: str, model: str) -> dict[str, object]:
    return {"model": model, "prompt": prompt, "stream": True, "seed": SEED}


async def _read(response: aiohttp.ClientResponse, answer: Answer) -> None:
    answer.status = response.status
    if response.status != 200:
        answer.error = await response.text()
        return
    pending = b""
    try:
        async for chunk in response.content.iter_any():
            *events, pending = (pending + chunk).split(b"\n\n")
            for event in events:
                _take(event.decode(), answer)
    except aiohttp.ClientError as error:
        answer.error = f"{type(error).__name__}"


def _take(event: str, answer: Answer) -> None:
    fields = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
    data = fields.get("data", "")
    if data == "[DONE]":
        answer.done = True
    elif fields.get("event") == "error":
        answer.error = data
    elif data:
        answer.texts.append(msgspec.json.decode(data)["choices"][0]["text"])
    answer.cursor = fields.get("id", answer.cursor)
