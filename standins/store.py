"""Stand-in of the platform's key-value service: the JSON gateway of etcd v3, in memory.

Faults are set by ``POST /admin/fault``; ``GET /admin/stats`` counts the calls.
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

from standins._common import JSON_CONTENT
from standins._common import cut_connection
from standins._common import end_task
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
from standins._limiter import Limiter
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
HTTP_STATUS = {INVALID_ARGUMENT: 400, NOT_FOUND: 404, OUT_OF_RANGE: 400, RESOURCE_EXHAUSTED: 429}
READS = frozenset({"/v3/kv/range", "/v3/watch", "/v3/lease/timetolive", "/v3/lease/leases"})

_Body = TypeVar("_Body")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@unique
class FaultMode(StrEnum):
    """What the store does with calls."""

    UP = "up"
    DOWN = "down"
    """Connections are closed at once, and nothing has an effect."""
    HANG = "hang"
    """Calls wait without an effect, and watches say nothing."""
    LOSE_REPLY = "lose_reply"
    """Calls take effect, then their connection is cut."""
    SLOW = "slow"
    """Calls wait ``delay_ms`` before they take effect."""


class Fault(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/fault``.

    :param mode: What calls meet.
    :param count: How many calls meet it before the store is up again; 0 means all.
    :param delay_ms: How long a slow call waits, in milliseconds.
    :param watch_delay_ms: How late watches report, in milliseconds.
    :param path: Which calls meet it, by the start of their path; empty means all.
    """

    mode: FaultMode = FaultMode.UP
    count: int = 0
    delay_ms: int = 0
    watch_delay_ms: int = 0
    path: str = ""


class Stats(Struct, frozen=True, kw_only=True):
    """Body of ``GET /admin/stats``."""

    calls: dict[str, int]
    total: int
    writes: int
    reads: int
    watches: int
    revision: int


@final
class StoreServer:
    """One store with its calls.

    :param reads_per_s: Most reads a second; 0 means no limit.
    :param writes_per_s: Most writes a second; 0 means no limit.
    """

    def __init__(self, *, reads_per_s: float = 0, writes_per_s: float = 0) -> None:
        self._clock = Clock()
        self._space = KeySpace()
        self._leases = Leases(space=self._space, clock=self._clock)
        self._executor = Executor(
            space=self._space, leases=self._leases, max_value_bytes=MAX_VALUE_BYTES
        )
        self._reads = Limiter(per_second=reads_per_s, clock=self._clock)
        self._writes = Limiter(per_second=writes_per_s, clock=self._clock)
        self._fault = Fault()
        self._fault_left = 0
        self._fault_changed = asyncio.Event()
        self._calls: Counter[str] = Counter()
        self._watchers: list[web.Request] = []

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
            app.router.add_post(path, self._guarded(handler))
        app.router.add_post("/admin/fault", self._set_fault)
        app.router.add_get("/admin/stats", self._show_stats)
        app.cleanup_ctx.append(self._run_expiry)
        return app

    async def _run_expiry(self, _app: web.Application) -> Any:
        task = asyncio.create_task(self._leases.expire_forever(interval_ms=EXPIRY_INTERVAL_MS))
        yield
        await end_task(task)

    def _guarded(self, handler: Handler) -> Handler:
        async def guard(request: web.Request) -> web.StreamResponse:
            self._calls[request.path] += 1
            fault = self._meet_fault(request.path)
            if fault is FaultMode.HANG:
                await self._hang()
            if fault in (FaultMode.DOWN, FaultMode.HANG):
                cut_connection(request)
                return web.Response()
            if fault is FaultMode.SLOW:
                await self._clock.sleep(self._fault.delay_ms)
            reply = await self._answer(handler, request)
            if fault is FaultMode.LOSE_REPLY:
                cut_connection(request)
            return reply

        return guard

    async def _answer(self, handler: Handler, request: web.Request) -> web.StreamResponse:
        limiter = self._reads if request.path in READS else self._writes
        if not limiter.take():
            return _error(RESOURCE_EXHAUSTED, "etcdserver: too many requests")
        try:
            return await handler(request)
        except msgspec.DecodeError as error:
            return _error(INVALID_ARGUMENT, str(error))
        except RequestError as error:
            return _error(error.code, error.message)
        except CompactedError:
            return _error(OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted")
        except FutureRevisionError:
            return _error(OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision")
        finally:
            self._space.rollback()

    def _meet_fault(self, path: str) -> FaultMode:
        if self._fault.mode is FaultMode.UP or not path.startswith(self._fault.path):
            return FaultMode.UP
        if self._fault.count == 0:
            return self._fault.mode
        if self._fault_left == 0:
            return FaultMode.UP
        self._fault_left -= 1
        return self._fault.mode

    async def _hang(self) -> None:
        # A hung call is cut when the fault ends: its caller can't know what became of it.
        await self._fault_changed.wait()

    async def _set_fault(self, request: web.Request) -> web.Response:
        self._fault = await read_json(request, Fault)
        self._fault_left = self._fault.count
        changed, self._fault_changed = self._fault_changed, asyncio.Event()
        changed.set()
        if self._fault.mode is FaultMode.DOWN:
            for watcher in tuple(self._watchers):
                cut_connection(watcher)
        return json_response(self._fault)

    async def _show_stats(self, _request: web.Request) -> web.Response:
        total = sum(self._calls.values())
        reads = sum(count for path, count in self._calls.items() if path in READS)
        stats = Stats(
            calls=dict(self._calls),
            total=total,
            reads=reads,
            writes=total - reads,
            watches=len(self._watchers),
            revision=self._space.revision,
        )
        return json_response(stats)

    async def _range(self, request: web.Request) -> web.Response:
        return self._reply(self._executor.range(await _decode(request, RangeRequest)))

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
        return self._reply({})

    async def _grant(self, request: web.Request) -> web.Response:
        body = await _decode(request, LeaseRequest)
        if body.ID and self._leases.exists(body.ID):
            raise RequestError(INVALID_ARGUMENT, "etcdserver: lease already exists")
        return self._reply(_show(self._leases.grant(ttl_s=max(1, body.TTL), lease=body.ID)))

    async def _keep_alive(self, request: web.Request) -> web.Response:
        body = await _decode(request, LeaseRequest)
        lease = self._leases.keep_alive(body.ID)
        shown = {"ID": body.ID} if lease is None else _show(lease)
        text = encode_reply({"result": {"header": self._header(), **shown}}) + b"\n"
        return web.Response(body=text, content_type=JSON_CONTENT)

    async def _revoke(self, request: web.Request) -> web.Response:
        body = await _decode(request, LeaseRequest)
        if not self._leases.revoke(body.ID):
            raise RequestError(NOT_FOUND, "etcdserver: requested lease not found")
        return self._reply({})

    async def _time_to_live(self, request: web.Request) -> web.Response:
        body = await _decode(request, LeaseRequest)
        lease = self._leases.find(body.ID)
        if lease is None:
            return self._reply({"ID": body.ID, "TTL": -1})
        keys = sorted(lease.keys) if body.keys else []
        return self._reply(
            {
                "ID": lease.id,
                "TTL": self._leases.remaining_s(lease),
                "grantedTTL": lease.ttl_s,
                "keys": keys,
            }
        )

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        wanted = (await _decode(request, WatchRequest)).create_request
        span = KeyRange(key=wanted.key, end=wanted.range_end)
        response = web.StreamResponse(headers={"Content-Type": JSON_CONTENT})
        queue: asyncio.Queue[tuple[int, tuple[Record, ...]]] = asyncio.Queue()
        # Nothing may be awaited between these two, or changes would be sent twice or not at all.
        backlog = self._backlog(wanted, span)
        unsubscribe = self._space.subscribe(lambda number, new: queue.put_nowait((number, new)))
        self._watchers.append(request)
        try:
            await response.prepare(request)
            await self._send(response, {"created": True})
            if backlog is None:
                canceled = {"canceled": True, "compact_revision": self._space.compacted}
                await self._send(response, canceled)
                return response
            await self._send_events(response, backlog)
            await self._follow(response, wanted, span, queue)
        except ConnectionResetError:
            pass
        finally:
            unsubscribe()
            self._watchers.remove(request)
        return response

    def _backlog(self, wanted: WatchCreateRequest, span: KeyRange) -> list[Record] | None:
        if not wanted.start_revision:
            return []
        try:
            return self._space.events_since(wanted.start_revision, span)
        except CompactedError:
            return None

    async def _follow(
        self,
        response: web.StreamResponse,
        wanted: WatchCreateRequest,
        span: KeyRange,
        queue: asyncio.Queue[tuple[int, tuple[Record, ...]]],
    ) -> None:
        while True:
            revision, records = await queue.get()
            matching = [record for record in records if span.covers(record.key)]
            if matching and revision >= wanted.start_revision:
                await self._clock.sleep(self._fault.watch_delay_ms)
                await self._wait_while_hung()
                await self._send_events(response, matching)

    async def _wait_while_hung(self) -> None:
        while self._fault.mode is FaultMode.HANG:
            await self._fault_changed.wait()

    async def _send_events(self, response: web.StreamResponse, records: list[Record]) -> None:
        events = [
            {"type": "DELETE" if record.deleted else "", "kv": encode_record(record)}
            for record in records
        ]
        if events:
            await self._send(response, {"events": events})

    async def _send(self, response: web.StreamResponse, result: dict[str, Any]) -> None:
        body = {"result": {"header": self._header(), **result}}
        await response.write(encode_reply(body) + b"\n")

    def _commit(self, reply: dict[str, Any]) -> web.Response:
        self._space.commit()
        return self._reply(reply)

    def _reply(self, reply: dict[str, Any]) -> web.Response:
        body = encode_reply({"header": self._header(), **reply})
        return web.Response(body=body, content_type=JSON_CONTENT)

    def _header(self) -> dict[str, Any]:
        return {"cluster_id": 1, "member_id": 1, "revision": self._space.revision, "raft_term": 2}

    def _next_header(self) -> dict[str, Any]:
        return {"revision": self._space.revision + 1}


async def _decode(request: web.Request, kind: type[_Body]) -> _Body:
    return decode_request(await request.read(), kind)


def _show(lease: Lease) -> dict[str, Any]:
    return {"ID": lease.id, "TTL": lease.ttl_s}


def _error(code: int, message: str) -> web.Response:
    body = {"error": message, "code": code, "message": message}
    return json_response(body, status=HTTP_STATUS.get(code, 500))


def main(port: int = 0, reads_per_s: float = 0, writes_per_s: float = 0) -> None:
    """Run the store.

    :param port: Port on the loopback address; 0 takes a free one.
    :param reads_per_s: Most reads a second; 0 means no limit.
    :param writes_per_s: Most writes a second; 0 means no limit.
    """
    server = StoreServer(reads_per_s=reads_per_s, writes_per_s=writes_per_s)
    asyncio.run(serve(app=server.app(), port=port))


if __name__ == "__main__":
    run_main(main)
