"""Questions to hosts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import asynccontextmanager
from typing import final

import aiohttp
import msgspec
from msgspec import Struct

from tanagerscale.generated.callers import HostStatus

ASK_TIMEOUT_S = 3.0


@final
class HostAnswer(Struct, frozen=True, kw_only=True):
    """What one host said.

    :param address: Its callers' address.
    :param status: Its status, or ``None`` when it gave none.
    :param problem: Why it gave none.
    """

    address: str
    status: HostStatus | None = None
    problem: str = ""


@asynccontextmanager
async def open_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Open an HTTP session for the time of one command."""
    timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield session


def url_of(*, address: str, path: str) -> str:
    """Return the URL of a path on a host; plain HTTP unless the address says otherwise."""
    base = address if "://" in address else f"http://{address}"
    return f"{base}{path}"


async def ask_status(
    *, session: aiohttp.ClientSession, hosts: Sequence[str]
) -> tuple[HostAnswer, ...]:
    """Ask all hosts for their status at once."""
    return tuple(await asyncio.gather(*(_ask_one(session, address) for address in hosts)))


async def _ask_one(session: aiohttp.ClientSession, address: str) -> HostAnswer:
    body, problem = await read_body(session=session, address=address, path="/v1/status")
    if problem:
        return HostAnswer(address=address, problem=problem)
    try:
        return HostAnswer(address=address, status=msgspec.json.decode(body, type=HostStatus))
    except msgspec.MsgspecError:
        return HostAnswer(address=address, problem="its status can't be read; is it a host?")


async def read_body(
    *, session: aiohttp.ClientSession, address: str, path: str
) -> tuple[bytes, str]:
    """Read one document of a host.

    :returns: Its body, and why there is none.
    """
    try:
        async with session.get(url_of(address=address, path=path)) as reply:
            body = await reply.read()
            if reply.status != 200:
                return b"", f"it answered with HTTP status {reply.status}"
            return body, ""
    except TimeoutError:
        return b"", f"no answer within {ASK_TIMEOUT_S:g} s"
    except aiohttp.ClientError as error:
        return b"", f"no connection ({type(error).__name__})"
