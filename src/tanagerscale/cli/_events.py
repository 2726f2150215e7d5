"""Parser of server-sent events."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import final

import aiohttp
from msgspec import Struct

MAX_LINE_BYTES = 4 * 1024 * 1024


@final
class Event(Struct, frozen=True, kw_only=True):
    """One server-sent event.

    :param kind: The ``event`` field, or the empty string.
    :param id: The ``id`` field, or the empty string.
    :param data: The ``data`` fields, joined by line breaks.
    """

    kind: str = ""
    id: str = ""
    data: str = ""


async def read_events(content: aiohttp.StreamReader) -> AsyncIterator[Event]:
    """Yield events until the response ends; an incomplete last event is dropped.

    :param content: Body of the response.
    :raises aiohttp.ClientPayloadError: When a line exceeds ``MAX_LINE_BYTES``.
    """
    fields: dict[str, list[str]] = {}
    async for line in _read_lines(content):
        if not line:
            if fields:
                yield Event(
                    kind=fields.get("event", [""])[-1],
                    id=fields.get("id", [""])[-1],
                    data="\n".join(fields.get("data", [])),
                )
            fields = {}
            continue
        name, _, value = line.partition(":")
        if name:
            fields.setdefault(name, []).append(value.removeprefix(" "))


async def _read_lines(content: aiohttp.StreamReader) -> AsyncIterator[str]:
    buffer = b""
    async for data in content.iter_any():
        buffer += data
        *lines, buffer = buffer.split(b"\n")
        for line in lines:
            yield line.removesuffix(b"\r").decode("utf-8", "replace")
        if len(buffer) > MAX_LINE_BYTES:
            raise aiohttp.ClientPayloadError(
                "A line of the event stream exceeds the limit of 4 MiB."
            )
