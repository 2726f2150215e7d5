"""HTTP requests to hosts."""

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

REQUEST_TIMEOUT_S = 3.0


@final
class HostReply(Struct, frozen=True, kw_only=True):
    """Result of a status request to one host.

    :param address: Address at which the host serves callers.
    :param status: Status of the host, or ``None`` if the request failed.
    :param problem: Reason of the failure, or the empty string.
    """

    address: str
    status: HostStatus | None = None
    problem: str = ""


@asynccontextmanager
async def open_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Open an HTTP session for the duration of one command."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield session


def build_url(*, address: str, path: str) -> str:
    """Return the URL of a path on a host.

    :param address: ``IP:PORT``, optionally with a scheme; the default scheme is ``http``.
    :param path: Path of the URL, with a leading slash.
    """
    base = address if "://" in address else f"http://{address}"
    return f"{base}{path}"


async def fetch_statuses(
    *, session: aiohttp.ClientSession, hosts: Sequence[str]
) -> tuple[HostReply, ...]:
    """Request the status of all hosts concurrently.

    :returns: One reply per host, in the order of ``hosts``.
    """
    return tuple(await asyncio.gather(*(_fetch_status(session, address) for address in hosts)))


async def _fetch_status(session: aiohttp.ClientSession, address: str) -> HostReply:
    body, problem = await fetch_body(session=session, address=address, path="/v1/status")
    if problem:
        return HostReply(address=address, problem=problem)
    try:
        return HostReply(address=address, status=msgspec.json.decode(body, type=HostStatus))
    except msgspec.MsgspecError:
        return HostReply(
            address=address,
            problem="its status is invalid; check that the address belongs to a host",
        )


async def fetch_body(
    *, session: aiohttp.ClientSession, address: str, path: str
) -> tuple[bytes, str]:
    """Fetch one document from a host.

    :returns: The body, and the reason of a failure or the empty string.
    """
    try:
        async with session.get(build_url(address=address, path=path)) as reply:
            body = await reply.read()
            if reply.status != 200:
                return b"", f"it responded with HTTP status {reply.status}"
            return body, ""
    except TimeoutError:
        return b"", f"no response within {REQUEST_TIMEOUT_S:g} s"
    except aiohttp.ClientError as error:
        return b"", f"no connection ({type(error).__name__})"
