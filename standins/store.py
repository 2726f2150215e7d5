"""Stand-in of the platform's key-value service: the JSON gateway of etcd v3, in memory.

``POST /admin/fault`` injects faults, and ``GET /admin/stats`` returns call counts.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from enum import StrEnum
from enum import unique
from typing import Any
from typing import TypeVar
from typing import final

from aiohttp import web
import msgspec
from msgspec import Struct

from standins._common import JSON_CONTENT_TYPE
from standins._common import abort_connection
from standins._common import cancel_task
from standins._common import json_response
from standins._common import read_json
from standins._common import run_main
from standins._common import serve
from standins._etcd_txn import INVALID_ARGUMENT
from standins._etcd_txn import NOT_FOUND
from standins._etcd_txn import Executor
from standins._etcd_txn import RequestError
from standins._etcd_txn import encode_record
from standins._etcd_types import CompactionRequest
from standins._etcd_types import DeleteRangeRequest
from standins._etcd_types import LeaseRequest
from standins._etcd_types import PutRequest
from standins._etcd_types import RangeRequest
from standins._etcd_types import TxnRequest
from standins._etcd_types import WatchCreateRequest
from standins._etcd_types import WatchRequest
from standins._etcd_types import decode_request
from standins._etcd_types import encode_reply
from standins._leases import Lease
from standins._leases import Leases
from standins._limiter import TokenBucket
from standins._mvcc import CompactedError
from standins._mvcc import FutureRevisionError
from standins._mvcc import KeyRange
from standins._mvcc import KeySpace
from standins._mvcc import Record
from tanagerscale.core import Clock

MAX_VALUE_BYTES = 1 << 20
MAX_BODY_BYTES = 8 << 20
EXPIRY_INTERVAL_MS = 100
OUT_OF_RANGE = 11
UNAVAILABLE = 14
RESOURCE_EXHAUSTED = 8
HTTP_STATUS_BY_GRPC_CODE = {
    INVALID_ARGUMENT: 400,
    NOT_FOUND: 404,
    OUT_OF_RANGE: 400,
    RESOURCE_EXHAUSTED: 429,
}
READ_PATHS = frozenset({"/v3/kv/range", "/v3/watch", "/v3/lease/timetolive", "/v3/lease/leases"})

_Body = TypeVar("_Body")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@unique
class FaultMode(StrEnum):
    """Faults that can be injected into calls."""

    UP = "up"
    DOWN = "down"
    """Connections are closed immediately, and calls have no effect."""
    HANG = "hang"
    """Calls hang without an effect, and watches send no events."""
    LOSE_REPLY = "lose_reply"
    """Calls take effect, then their connection is aborted."""
    SLOW = "slow"
    """Calls are delayed by ``delay_ms`` before they take effect."""


class Fault(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/fault``.

    :param mode: Fault to inject.
    :param count: Number of calls affected before the store is up again; 0 means all.
    :param delay_ms: Delay of a slow call, in milliseconds.
    :param watch_delay_ms: Delay of watch events, in milliseconds.
    :param path: Prefix of the paths affected; empty means all.
    """

    mode: FaultMode = FaultMode.UP
    count: int = 0
    delay_ms: int = 0
    watch_delay_ms: int = 0
    path: str = ""


class Stats(Struct, frozen=True, kw_only=True):
    """Body of ``GET /admin/stats``.

    :param calls: Number of calls by path.
    :param total: Number of all calls.
    :param writes: Number of calls that are not reads.
    :param reads: Number of reads, including watches.
    :param watches: Number of open watches.
    :param revision: The latest revision.
    """

    calls: dict[str, int]
    total: int
    writes: int
    reads: int
    watches: int
    revision: int


@final
class StoreServer:
    """HTTP server of one store.

    :param reads_per_s: Maximum number of reads per second; 0 means no limit.
    :param writes_per_s: Maximum number of writes per second; 0 means no limit.
    """

    def __init__(self, *, reads_per_s: float = 0, writes_per_s: float = 0) -> None:
        self._clock = Clock()
        self._space = KeySpace()
        self._leases = Leases(space=self._space, clock=self._clock)
        self._executor = Executor(
            space=self._space, leases=self._leases, max_value_bytes=MAX_VALUE_BYTES
        )
        self._read_limiter = TokenBucket(per_second=reads_per_s, clock=self._clock)
        self._write_limiter = TokenBucket(per_second=writes_per_s, clock=self._clock)
        self._fault = Fault()
        self._remaining_faults = 0
        self._fault_changed = asyncio.Event()
        self._calls: Counter[str] = Counter()
        self._watch_requests: list[web.Request] = []

    def app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        routes: dict[str, Handler] = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete_range,
            "/v3/kv/txn": self._txn,
            "/v3/kv/compaction": self._compact,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
            "/v3/lease/timetolive": self._time_to_live,
            "/v3/kv/lease/timetolive": self._time_to_live,
            "/v3/watch": self._watch,
        }
        for path, handler in routes.items():
            app.router.add_post(path, self._with_faults(handler))
        app.router.add_post("/admin/fault", self._set_fault)
        app.router.add_get("/admin/stats", self._get_stats)
        app.cleanup_ctx.append(self._run_expiry)
        return app

    async def _run_expiry(self, _app: web.Application) -> Any:
        task = asyncio.create_task(self._leases.expire_forever(interval_ms=EXPIRY_INTERVAL_MS))
        yield
        await cancel_task(task)

    def _with_faults(self, handler: Handler) -> Handler:
        async def handle_with_faults(request: web.Request) -> web.StreamResponse:
            self._calls[request.path] += 1
            fault = self._next_fault(request.path)
            if fault is FaultMode.HANG:
                await self._wait_for_fault_change()
            if fault in (FaultMode.DOWN, FaultMode.HANG):
                abort_connection(request)
                return web.Response()
            if fault is FaultMode.SLOW:
                await self._clock.sleep(self._fault.delay_ms)
            reply = await self._handle(handler, request)
            if fault is FaultMode.LOSE_REPLY:
                abort_connection(request)
            return reply

        return handle_with_faults

    async def _handle(self, handler: Handler, request: web.Request) -> web.StreamResponse:
        limiter = self._read_limiter if request.path in READ_PATHS else self._write_limiter
        if not limiter.try_acquire():
            return _error_response(RESOURCE_EXHAUSTED, "etcdserver: too many requests")
        try:
            return await handler(request)
        except msgspec.DecodeError as error:
            return _error_response(INVALID_ARGUMENT, str(error))
        except RequestError as error:
            return _error_response(error.code, error.message)
        except CompactedError:
            return _error_response(
                OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted"
            )
        except FutureRevisionError:
            return _error_response(
                OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision"
            )
        finally:
            self._space.rollback()

    def _next_fault(self, path: str) -> FaultMode:
        if self._fault.mode is FaultMode.UP or not path.startswith(self._fault.path):
            return FaultMode.UP
        if self._fault.count == 0:
            return self._fault.mode
        if self._remaining_faults == 0:
            return FaultMode.UP
        self._remaining_faults -= 1
        return self._fault.mode

    async def _wait_for_fault_change(self) -> None:
        # A hanging call is aborted when the fault changes, so its caller cannot know its outcome.
        await self._fault_changed.wait()

    async def _set_fault(self, request: web.Request) -> web.Response:
        self._fault = await read_json(request, Fault)
        self._remaining_faults = self._fault.count
        changed, self._fault_changed = self._fault_changed, asyncio.Event()
        changed.set()
        if self._fault.mode is FaultMode.DOWN:
            for watcher in tuple(self._watch_requests):
                abort_connection(watcher)
        return json_response(self._fault)

    async def _get_stats(self, _request: web.Request) -> web.Response:
        total = sum(self._calls.values())
        reads = sum(count for path, count in self._calls.items() if path in READ_PATHS)
        stats = Stats(
            calls=dict(self._calls),
            total=total,
            reads=reads,
            writes=total - reads,
            watches=len(self._watch_requests),
            revision=self._space.revision,
        )
        return json_response(stats)

    async def _range(self, request: web.Request) -> web.Response:
        return self._response(self._executor.range(await _decode(request, RangeRequest)))

    async def _put(self, request: web.Request) -> web.Response:
        body = await _decode(request, PutRequest)
        self._executor.check_put(body)
        return self._commit(self._executor.put(body))

    async def _delete_range(self, request: web.Request) -> web.Response:
        return self._commit(self._executor.delete(await _decode(request, DeleteRangeRequest)))

    async def _txn(self, request: web.Request) -> web.Response:
        body = await _decode(request, TxnRequest)
        self._executor.check_txn(body)
        return self._commit(self._executor.txn(body, self._next_header))

    async def _compact(self, request: web.Request) -> web.Response:
        self._space.compact((await _decode(request, CompactionRequest)).revision)
        return self._response({})

    async def _grant(self, request: web.Request) -> web.Response:
        body = await _decode(request, LeaseRequest)
        if body.ID and self._leases.exists(body.ID):
            raise RequestError(INVALID_ARGUMENT, "etcdserver: lease already exists")
        return self._response(
            _encode_lease(self._leases.grant(ttl_s=max(1, body.TTL), lease=body.ID))
        )

    async def _keep_alive(self, request: web.Request) -> web.Response:
        body = await _decode(request, LeaseRequest)
        lease = self._leases.keep_alive(body.ID)
        fields = {"ID": body.ID} if lease is None else _encode_lease(lease)
        text = encode_reply({"result": {"header": self._header(), **fields}}) + b"\n"
        return web.Response(body=text, content_type=JSON_CONTENT_TYPE)

    async def _revoke(self, request: web.Request) -> web.Response:
        body = await _decode(request, LeaseRequest)
        if not self._leases.revoke(body.ID):
            raise RequestError(NOT_FOUND, "etcdserver: requested lease not found")
        return self._response({})

    async def _time_to_live(self, request: web.Request) -> web.Response:
        body = await _decode(request, LeaseRequest)
        lease = self._leases.find(body.ID)
        if lease is None:
            return self._response({"ID": body.ID, "TTL": -1})
        keys = sorted(lease.keys) if body.keys else []
        return self._response(
            {
                "ID": lease.id,
                "TTL": self._leases.remaining_s(lease),
                "grantedTTL": lease.ttl_s,
                "keys": keys,
            }
        )

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        watch = (await _decode(request, WatchRequest)).create_request
        key_range = KeyRange(key=watch.key, end=watch.range_end)
        response = web.StreamResponse(headers={"Content-Type": JSON_CONTENT_TYPE})
        queue: asyncio.Queue[tuple[int, tuple[Record, ...]]] = asyncio.Queue()
        # An await between these two statements would duplicate or lose changes.
        backlog = self._backlog(watch, key_range)
        unsubscribe = self._space.subscribe(lambda number, new: queue.put_nowait((number, new)))
        self._watch_requests.append(request)
        try:
            await response.prepare(request)
            await self._send(response, {"created": True})
            if backlog is None:
                canceled = {"canceled": True, "compact_revision": self._space.compacted_revision}
                await self._send(response, canceled)
                return response
            await self._send_events(response, backlog)
            await self._send_changes(response, watch, key_range, queue)
        except ConnectionResetError:
            pass
        finally:
            unsubscribe()
            self._watch_requests.remove(request)
        return response

    def _backlog(self, watch: WatchCreateRequest, key_range: KeyRange) -> list[Record] | None:
        if not watch.start_revision:
            return []
        try:
            return self._space.events_since(watch.start_revision, key_range)
        except CompactedError:
            return None

    async def _send_changes(
        self,
        response: web.StreamResponse,
        watch: WatchCreateRequest,
        key_range: KeyRange,
        queue: asyncio.Queue[tuple[int, tuple[Record, ...]]],
    ) -> None:
        while True:
            revision, records = await queue.get()
            matching = [record for record in records if key_range.contains(record.key)]
            if matching and revision >= watch.start_revision:
                await self._clock.sleep(self._fault.watch_delay_ms)
                await self._wait_while_hanging()
                await self._send_events(response, matching)

    async def _wait_while_hanging(self) -> None:
        while self._fault.mode is FaultMode.HANG:
            await self._fault_changed.wait()

    async def _send_events(self, response: web.StreamResponse, records: list[Record]) -> None:
        events = [
            {"type": "DELETE" if record.is_deleted else "", "kv": encode_record(record)}
            for record in records
        ]
        if events:
            await self._send(response, {"events": events})

    async def _send(self, response: web.StreamResponse, result: dict[str, Any]) -> None:
        body = {"result": {"header": self._header(), **result}}
        await response.write(encode_reply(body) + b"\n")

    def _commit(self, reply: dict[str, Any]) -> web.Response:
        self._space.commit()
        return self._response(reply)

    def _response(self, reply: dict[str, Any]) -> web.Response:
        body = encode_reply({"header": self._header(), **reply})
        return web.Response(body=body, content_type=JSON_CONTENT_TYPE)

    def _header(self) -> dict[str, Any]:
        return {"cluster_id": 1, "member_id": 1, "revision": self._space.revision, "raft_term": 2}

    def _next_header(self) -> dict[str, Any]:
        return {"revision": self._space.revision + 1}


async def _decode(request: web.Request, kind: type[_Body]) -> _Body:
    return decode_request(await request.read(), kind)


def _encode_lease(lease: Lease) -> dict[str, Any]:
    return {"ID": lease.id, "TTL": lease.ttl_s}


def _error_response(code: int, message: str) -> web.Response:
    body = {"error": message, "code": code, "message": message}
    return json_response(body, status=HTTP_STATUS_BY_GRPC_CODE.get(code, 500))


def main(port: int = 0, reads_per_s: float = 0, writes_per_s: float = 0) -> None:
    """Run the store.

    :param port: Port on the loopback address; 0 selects a free one.
    :param reads_per_s: Maximum number of reads per second; 0 means no limit.
    :param writes_per_s: Maximum number of writes per second; 0 means no limit.
    """
    server = StoreServer(reads_per_s=reads_per_s, writes_per_s=writes_per_s)
    asyncio.run(serve(app=server.app(), port=port))


if __name__ == "__main__":
    run_main(main)
