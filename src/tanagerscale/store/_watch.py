"""Watch streams of the etcd v3 JSON gateway."""

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
from tanagerscale.store._gateway import MAX_RESPONSE_BYTES
from tanagerscale.store._gateway import GatewayClient
from tanagerscale.store._gateway import classify_client_error
from tanagerscale.store._gateway import classify_error_response
from tanagerscale.store._gateway import compacted_error
from tanagerscale.store._gateway import decode
from tanagerscale.store._gateway import parse_error_response
from tanagerscale.store._protocol import LeaseId
from tanagerscale.store._protocol import StoreEntry
from tanagerscale.store._protocol import StoreError
from tanagerscale.store._protocol import StoreErrorKind
from tanagerscale.store._protocol import WatchBatch
from tanagerscale.store._revision import StoreRevision
from tanagerscale.store._wire import DELETED
from tanagerscale.store._wire import KeyValue
from tanagerscale.store._wire import WatchCreate
from tanagerscale.store._wire import WatchMessage
from tanagerscale.store._wire import WatchRequest
from tanagerscale.store._wire import WatchResponse

WATCH_PATH: Final = "/v3/watch"
LINE_END: Final = b"\n"


@final
class WatchStream:
    """One watch on its own connection.

    :param gateway: Client used to open the watch.
    :param idle_timeout_ms: Time in milliseconds without a message after which the watch fails,
        because a connection may be lost without being closed.
    """

    def __init__(self, *, gateway: GatewayClient, idle_timeout_ms: int) -> None:
        self._gateway = gateway
        self._idle_timeout_ms = idle_timeout_ms
        self._buffer = bytearray()

    async def follow(
        self, *, key: bytes, range_end: bytes, from_revision: StoreRevision
    ) -> AsyncIterator[Result[WatchBatch, StoreError]]:
        """Open the watch and yield batches of changes until the first failure."""
        request = WatchRequest(
            create_request=WatchCreate(
                key=key,
                range_end=range_end,
                start_revision=str(from_revision),
                progress_notify=True,
            )
        )
        request_body = msgspec.json.encode(request)
        opened = await self._open(request_body)
        if isinstance(opened, Failure):
            yield opened
            return
        async with opened.unwrap() as response:
            async for result in self._read_batches(response):
                yield result
                if isinstance(result, Failure):
                    return

    async def _open(self, request_body: bytes) -> Result[aiohttp.ClientResponse, StoreError]:
        result: Result[aiohttp.ClientResponse, StoreError] = Failure(_watch_ended_error())
        for endpoint in self._gateway.endpoints:
            result = await self._open_one(endpoint + WATCH_PATH, request_body)
            if isinstance(result, Success):
                self._gateway.prefer(endpoint=endpoint)
                return result
            self._gateway.avoid(endpoint=endpoint)
        return result

    async def _open_one(
        self, url: str, request_body: bytes
    ) -> Result[aiohttp.ClientResponse, StoreError]:
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=self._gateway.timeout_ms / MS_PER_SECOND,
            sock_connect=self._gateway.timeout_ms / MS_PER_SECOND,
            sock_read=self._idle_timeout_ms / MS_PER_SECOND,
        )
        try:
            response = await self._gateway.session().post(url, data=request_body, timeout=timeout)
            if response.status == HTTP_OK:
                return Success(response)
            async with response:
                return Failure(parse_error_response(await response.read()))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(classify_client_error(error))

    async def _read_batches(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[Result[WatchBatch, StoreError]]:
        try:
            async for chunk in response.content.iter_any():
                self._buffer += chunk
                if len(self._buffer) > MAX_RESPONSE_BYTES:
                    break
                for line in self._pop_lines():
                    result = _to_batch(line)
                    if result is not None:
                        yield result
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        yield Failure(_watch_ended_error())

    def _pop_lines(self) -> list[bytes]:
        end = self._buffer.rfind(LINE_END)
        if end < 0:
            return []
        complete_lines = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        return [line for line in complete_lines.split(LINE_END) if line.strip()]


def to_entry(kv: KeyValue) -> StoreEntry:
    """Convert a key-value pair of the gateway to an entry.

    :raises UnicodeDecodeError: If the key is not UTF-8. This system writes no such keys.
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
        return Failure(classify_error_response(message.error))
    response = message.result or WatchResponse()
    if response.compact_revision:
        return Failure(compacted_error())
    if response.canceled:
        return Failure(_watch_ended_error())
    if response.created and not response.events:
        return None
    try:
        return Success(_build_batch(response))
    except UnicodeDecodeError:
        return Failure(_watch_ended_error())


def _build_batch(response: WatchResponse) -> WatchBatch:
    """Return a batch with the last change of each key.

    The two lists of written and deleted keys cannot represent the order of several changes of one
    key.
    """
    last_changes = {event.kv.key: event for event in response.events}
    changes = sorted(last_changes.values(), key=lambda event: event.kv.mod_revision)
    newest_revision = max((change.kv.mod_revision for change in changes), default=0)
    return WatchBatch(
        entries=tuple(to_entry(change.kv) for change in changes if change.type != DELETED),
        deleted=tuple(change.kv.key.decode() for change in changes if change.type == DELETED),
        # With events, the header revision may be ahead of the changes delivered by this watch.
        revision=StoreRevision(newest_revision or response.header.revision),
    )


def _watch_ended_error() -> StoreError:
    return StoreError(
        kind=StoreErrorKind.UNCERTAIN,
        detail="The watch ended or timed out; read the current state and watch again.",
    )
