"""Server-sent events as a caller reads them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp

FIELD_END = ":"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSentEvent:
    """One event; fields that it lacks are empty."""

    id: str = ""
    event: str = ""
    data: str = ""


async def read_events(reply: aiohttp.ClientResponse) -> AsyncIterator[ServerSentEvent]:
    """Read events until the reply ends.

    :param reply: The reply.
    """
    fields: dict[str, str] = {}
    # Lines may be longer than the limit of the library's own line reader.
    pending = b""
    async for chunk in reply.content.iter_any():
        *lines, pending = (pending + chunk).split(b"\n")
        for line in lines:
            text = line.decode()
            if not text:
                if fields:
                    yield ServerSentEvent(**fields)
                fields = {}
                continue
            name, _, value = text.partition(FIELD_END)
            if name in ("id", "event", "data"):
                value = value.removeprefix(" ")
                fields[name] = f"{fields[name]}\n{value}" if name in fields else value
