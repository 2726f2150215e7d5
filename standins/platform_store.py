"""Stand-in of the users' platform store: keys with revisions, leases, watches, and its failures."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from itertools import count
from typing import Any
from typing import final

from aiohttp import web
import msgspec

from standins._common import LOOPBACK
from standins._common import json_response

GONE_STATUS = 410
CONFLICT_STATUS = 412
MOST_ITEMS = 500
MS_PER_S = 1000


@unique
class StoreMood(Enum):
    """How the store treats calls."""

    WELL = "well"
    BUSY = "busy"
    """It answers 503 and does nothing."""
    RESET = "reset"
    """It resets the connection and does nothing."""
    SILENT = "silent"
    """It never answers and does nothing."""
    LOSES_ANSWERS = "loses-answers"
    """Writes are done and their connection is reset."""


@dataclass(slots=True)
class _Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def to_wire(self) -> dict[str, Any]:
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "createdRev": self.created,
            "lease": self.lease,
        }


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    timer: asyncio.TimerHandle | None = None
    keys: set[str] = field(default_factory=set)


@final
class StoreEmulator:
    """An in-memory store served over HTTP on the loopback address.

    :param page: Most items in one answer to a range.
    """

    def __init__(self, *, page: int = MOST_ITEMS) -> None:
        self.mood = StoreMood.WELL
        self.calls: list[str] = []
        self.revision = 1
        self._page = page
        self._items: dict[str, _Item] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted = 0
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = count(1000)
        self._changed = asyncio.Event()

    async def start(self) -> str:
        """Serve on a free port and return the address."""
        app = web.Application()
        app.router.add_get("/v1/kv-key", self._guarded(self._get))
        app.router.add_get("/v1/kv-range", self._guarded(self._range))
        app.router.add_get("/v1/kv-watch", self._guarded(self._watch))
        app.router.add_post("/v1/kv-txn", self._guarded(self._commit))
        app.router.add_post("/v1/kv-lease", self._guarded(self._grant))
        app.router.add_post("/v1/kv-keep/{lease}", self._guarded(self._keep))
        app.router.add_delete("/v1/kv-lease-end/{lease}", self._guarded(self._end))
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, 0)
        await site.start()
        return f"{LOOPBACK}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """End all connections and timers."""
        for lease in self._leases.values():
            if lease.timer is not None:
                lease.timer.cancel()
        await self._runner.cleanup()

    def put(self, key: str, value: bytes, *, lease: int = 0) -> int:
        """Write a key as the operators and the upstreams do."""
        self.revision += 1
        before = self._items.get(key)
        item = _Item(key, value, self.revision, before.created if before else self.revision, lease)
        self._items[key] = item
        if lease:
            self._leases[lease].keys.add(key)
        self._note(item.to_wire())
        return self.revision

    def delete(self, *keys: str) -> None:
        """Delete keys at one moment."""
        for key in keys:
            if self._items.pop(key, None) is not None:
                self.revision += 1
                self._note({"key": key, "revision": self.revision, "deleted": True})

    def compact(self) -> None:
        """Drop all history and cut the watches that wait."""
        self._history.clear()
        self._compacted = self.revision
        self._wake()

    def keys(self) -> list[str]:
        """Return all keys there are."""
        return sorted(self._items)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self._items.get(key)
        return None if item is None else item.value

    def _note(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _guarded(self, handler: Any) -> Any:
        async def guarded(request: web.Request) -> web.StreamResponse:
            self.calls.append(f"{request.method} {request.path}")
            if self.mood is StoreMood.BUSY:
                return web.Response(status=503)
            if self.mood is StoreMood.SILENT:
                await asyncio.Event().wait()
            if self.mood is StoreMood.RESET:
                _reset(request)
            answer: web.StreamResponse = await handler(request)
            if self.mood is StoreMood.LOSES_ANSWERS and request.method != "GET":
                _reset(request)
            return answer

        return guarded

    async def _get(self, request: web.Request) -> web.Response:
        item = self._items.get(request.query["key"])
        if item is None:
            return web.Response(status=404)
        return json_response({**item.to_wire(), "asOf": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["pathPrefix"], request.query.get("after", "")
        found = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        page = found[: self._page]
        return json_response(
            {
                "items": [item.to_wire() for item in page],
                "morePages": len(found) > len(page),
                "asOf": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["pathPrefix"]
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query["waitMs"]) / MS_PER_S
        while True:
            if after < self._compacted:
                return web.Response(status=GONE_STATUS)
            events = [
                event
                for event in self._history
                if event["revision"] > after and str(event["key"]).startswith(prefix)
            ]
            left = until - loop.time()
            if events or left <= 0:
                return json_response({"events": events, "asOf": self.revision})
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _commit(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        for row in body["expectedRevision"]:
            item = self._items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                present = [item.to_wire()] if item else []
                return json_response({"items": present, "asOf": self.revision}, status=412)
        for put in body["puts"]:
            if put.get("lease") and put["lease"] not in self._leases:
                return web.Response(status=404)
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), lease=put.get("lease", 0))
        self.delete(*body["remove"])
        return json_response({"revision": self.revision})

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read())["ttlMs"]
        lease = next(self._lease_ids)
        self._leases[lease] = _Lease(ttl_ms)
        self._arm(lease)
        return json_response({"lease": lease, "ttlMs": ttl_ms})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self._leases:
            return web.Response(status=404)
        self._arm(lease)
        return json_response({"ttlMs": self._leases[lease].ttl_ms})

    async def _end(self, request: web.Request) -> web.Response:
        self._lapse(int(request.match_info["lease"]))
        return json_response({})

    def _arm(self, lease: int) -> None:
        held = self._leases[lease]
        if held.timer is not None:
            held.timer.cancel()
        loop = asyncio.get_running_loop()
        held.timer = loop.call_later(held.ttl_ms / MS_PER_S, self._lapse, lease)

    def _lapse(self, lease: int) -> None:
        held = self._leases.pop(lease, None)
        if held is not None:
            self.delete(*held.keys)


def _reset(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError
