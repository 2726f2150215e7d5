"""Following a watch of the etcd v3 JSON gateway."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final
from typing import final

import aiohttp
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.store._gateway import HTTP_OK
from tanagerscale.store._gateway import Gateway
from tanagerscale.store._gateway import compacted
from tanagerscale.store._gateway import decode
from tanagerscale.store._gateway import from_error_reply
from tanagerscale.store._gateway import parse_error
from tanagerscale.store._gateway import to_store_error
from tanagerscale.store._protocol import LeaseId
from tanagerscale.store._protocol import StoreEntry
from tanagerscale.store._protocol import StoreError
from tanagerscale.store._protocol import StoreErrorKind
from tanagerscale.store._protocol import StoreRevision
from tanagerscale.store._protocol import WatchBatch
from tanagerscale.store._wire import DELETED
from tanagerscale.store._wire import KeyValue
from tanagerscale.store._wire import WatchCreate
from tanagerscale.store._wire import WatchMessage
from tanagerscale.store._wire import WatchRequest
from tanagerscale.store._wire import WatchResponse

WATCH_PATH: Final = "/v3/watch"
MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024
LINE_END: Final = b"\n"


@final
class WatchStream:
    """One watch over one connection.

    :param gateway: Where to open it.
    :param silence_ms: After this many milliseconds without a message the watch counts as
        stalled, since a connection may die without breaking.
    """

    def __init__(self, *, gateway: Gateway, silence_ms: int) -> None:
        self._gateway = gateway
        self._silence_ms = silence_ms
        self._buffer = bytearray()

    async def follow(
        self, *, key: bytes, range_end: bytes, from_revision: StoreRevision
    ) -> AsyncIterator[Result[WatchBatch, StoreError]]:
        """Yield what changes until the first failure."""
        request = WatchRequest(
            create_request=WatchCreate(
                key=key,
                range_end=range_end,
                start_revision=str(from_revision),
                progress_notify=True,
            )
        )
        content = msgspec.json.encode(request)
        opened = await self._open(content)
        if isinstance(opened, Failure):
            yield opened
            return
        async with opened.unwrap() as response:
            async for result in self._batches(response):
                yield result
                if isinstance(result, Failure):
                    return

    async def _open(self, content: bytes) -> Result[aiohttp.ClientResponse, StoreError]:
        result: Result[aiohttp.ClientResponse, StoreError] = Failure(_ended())
        for endpoint in self._gateway.endpoints:
            result = await self._open_one(endpoint + WATCH_PATH, content)
            if isinstance(result, Success):
                self._gateway.prefer(endpoint=endpoint)
                return result
            self._gateway.avoid(endpoint=endpoint)
        return result

    async def _open_one(
        self, url: str, content: bytes
    ) -> Result[aiohttp.ClientResponse, StoreError]:
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=self._gateway.timeout_ms / MS_PER_SECOND,
            sock_connect=self._gateway.timeout_ms / MS_PER_SECOND,
            sock_read=self._silence_ms / MS_PER_SECOND,
        )
        try:
            response = await self._gateway.session().post(url, data=content, timeout=timeout)
            if response.status == HTTP_OK:
                return Success(response)
            async with response:
                return Failure(parse_error(await response.read()))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(to_store_error(error))

    async def _batches(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[Result[WatchBatch, StoreError]]:
        try:
            async for chunk in response.content.iter_any():
                self._buffer += chunk
                if len(self._buffer) > MAX_MESSAGE_BYTES:
                    break
                for line in self._take_lines():
                    result = _to_batch(line)
                    if result is not None:
                        yield result
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        yield Failure(_ended())

    def _take_lines(self) -> list[bytes]:
        end = self._buffer.rfind(LINE_END)
        if end < 0:
            return []
        whole = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        return [line for line in whole.split(LINE_END) if line.strip()]


def to_entry(kv: KeyValue) -> StoreEntry:
    """Turn a key of the wire into an entry.

    :raises UnicodeDecodeError: The key is not text, so none of ours.
    """
    return StoreEntry(
        key=kv.key.decode(),
        value=kv.value,
        create_revision=StoreRevision(kv.create_revision),
        mod_revision=StoreRevision(kv.mod_revision),
        lease=LeaseId(kv.lease),
    )


def _to_batch(line: bytes) -> Result[WatchBatch, StoreError] | None:
    decoded = decode(line, WatchMessage)
    if isinstance(decoded, Failure):
        return decoded
    message = decoded.unwrap()
    if message.error is not None:
        return Failure(from_error_reply(message.error))
    response = message.result or WatchResponse()
    if response.compact_revision:
        return Failure(compacted())
    if response.canceled:
        return Failure(_ended())
    if response.created and not response.events:
        return None
    try:
        return Success(_collect(response))
    except UnicodeDecodeError:
        return Failure(_ended())


def _collect(response: WatchResponse) -> WatchBatch:
    """Keep the last change of each key, since the two lists would lose the order of several."""
    last = {event.kv.key: event for event in response.events}
    changes = sorted(last.values(), key=lambda event: event.kv.mod_revision)
    reached = max((change.kv.mod_revision for change in changes), default=0)
    return WatchBatch(
        entries=tuple(to_entry(change.kv) for change in changes if change.type != DELETED),
        deleted=tuple(change.kv.key.decode() for change in changes if change.type == DELETED),
        # With events the header may run ahead of what this watch has delivered.
        revision=StoreRevision(reached or response.header.revision),
    )


def _ended() -> StoreError:
    return StoreError(
        kind=StoreErrorKind.UNCERTAIN,
        detail="The watch ended or went silent; read the present state and watch again.",
    )
