"""Client-side parser of server-sent events."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp

FIELD_SEPARATOR = ":"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSentEvent:
    """One event; absent fields are empty."""

    id: str = ""
    event: str = ""
    data: str = ""


async def read_events(reply: aiohttp.ClientResponse) -> AsyncIterator[ServerSentEvent]:
    """Yield events until the response ends.

    :param reply: Response to read.
    """
    fields: dict[str, str] = {}
    # Lines may exceed the length limit of aiohttp's own line reader.
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
            name, _, value = text.partition(FIELD_SEPARATOR)
            if name in ("id", "event", "data"):
                value = value.removeprefix(" ")
                fields[name] = f"{fields[name]}\n{value}" if name in fields else value
