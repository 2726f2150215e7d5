"""Stand-in for the store of the platform: keys with revisions, leases, watches and failures."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
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
MAX_PAGE_ITEMS = 500
MS_PER_S = 1000
FIRST_LEASE = 2**62
"""Numbers of leases may be as large as a signed integer of 64 bits allows."""


@unique
class StoreBehavior(Enum):
    """How the store handles calls."""

    NORMAL = "well"
    BUSY = "busy"
    """Answers with status 503 without executing the call."""
    RESET = "reset"
    """Resets the connection without executing the call."""
    SILENT = "silent"
    """Never answers and does not execute the call."""
    RESET_AFTER_EXECUTION = "loses-answers"
    """Executes writes and resets their connections; reads are answered."""


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


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Content of the store at one moment.

    :param revision: Its revision.
    :param items: Copies of its items by key.
    """

    revision: int
    items: dict[str, _Item]


@dataclass(eq=False, slots=True)
class WaitingWatch:
    """A watch that waits for changes.

    :param prefix: Prefix of the keys.
    :param is_lost: Whether it is never answered, though its connection stays open.
    :param is_cut: Whether its connection is reset.
    """

    prefix: str
    is_lost: bool = False
    is_cut: bool = False


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    timer: asyncio.TimerHandle | None = None
    keys: set[str] = field(default_factory=set)


@final
class StoreEmulator:
    """An in-memory store served over HTTP on the loopback address.

    :param page_size: Maximum number of items in one page of a range.
    """

    def __init__(self, *, page_size: int = MAX_PAGE_ITEMS) -> None:
        self.behavior = StoreBehavior.NORMAL
        self.calls: list[str] = []
        self.revision = 1
        self.era = 1
        """Number of times that the store has come back from a copy, counted from 1."""
        self.waiting_watches: list[WaitingWatch] = []
        self.loses_watch: Callable[[str], bool] = lambda _prefix: False
        """Returns whether a watch that begins is lost, by its prefix."""
        self._is_away = False
        self._are_watches_stalled = False
        self._page = page_size
        self._items: dict[str, _Item] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted = 0
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = count(FIRST_LEASE)
        self._changed = asyncio.Event()

    async def start(self) -> str:
        """Start serving on a free port and return the listening address."""
        app = web.Application()
        app.router.add_get("/v1/kv-key", self._with_behavior(self._get))
        app.router.add_get("/v1/kv-range", self._with_behavior(self._range))
        app.router.add_get("/v1/kv-watch", self._with_behavior(self._watch))
        app.router.add_post("/v1/kv-txn", self._with_behavior(self._commit))
        app.router.add_post("/v1/kv-lease", self._with_behavior(self._grant_lease))
        app.router.add_post("/v1/kv-keep/{lease}", self._with_behavior(self._renew_lease))
        app.router.add_delete("/v1/kv-lease-end/{lease}", self._with_behavior(self._revoke_lease))
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, 0)
        await site.start()
        return f"{LOOPBACK}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Cancel all lease timers and close all connections."""
        for lease in self._leases.values():
            if lease.timer is not None:
                lease.timer.cancel()
        await self._runner.cleanup()

    def put(self, key: str, value: bytes, *, lease: int = 0) -> int:
        """Write a key, as operators and upstreams do, and return the new revision."""
        self.revision += 1
        previous = self._items.get(key)
        item = _Item(
            key, value, self.revision, previous.created if previous else self.revision, lease
        )
        self._items[key] = item
        if lease:
            self._leases[lease].keys.add(key)
        self._append_event(item.to_wire())
        return self.revision

    def delete(self, *keys: str) -> None:
        """Delete keys without yielding to other calls."""
        for key in keys:
            if self._items.pop(key, None) is not None:
                self.revision += 1
                self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def copy(self) -> StoreCopy:
        """Return a copy of the content, from which the store can come back."""
        return StoreCopy(self.revision, {key: replace(one) for key, one in self._items.items()})

    def go_away(self) -> None:
        """Reset all calls and waiting watches until the store comes back."""
        self._is_away = True
        self._notify_watches()

    def cut_watches(self) -> None:
        """Reset the connections of the waiting watches."""
        for watch in self.waiting_watches:
            watch.is_cut = True
        self._notify_watches()

    def come_back_from(self, copy: StoreCopy) -> None:
        """Replace the content by that of a copy, which starts a new era.

        Revisions and leases continue from those of the copy. Leases granted since are gone.
        """
        self.era += 1
        self.revision = self._compacted = copy.revision
        self._items = {key: replace(one) for key, one in copy.items.items()}
        self._history.clear()
        kept = {item.lease for item in self._items.values()}
        for lease in [lease for lease in self._leases if lease not in kept]:
            timer = self._leases.pop(lease).timer
            if timer is not None:
                timer.cancel()
        self._lease_ids = count(max(self._leases, default=FIRST_LEASE - 1) + 1)
        self._is_away = False
        self._notify_watches()

    def stall_watches(self) -> None:
        """Let watches hear of no changes until the history is compacted."""
        self._are_watches_stalled = True

    def compact(self) -> None:
        """Drop the event history and wake the waiting watches, which then fail as compacted."""
        self._history.clear()
        self._compacted = self.revision
        self._are_watches_stalled = False
        self._notify_watches()

    def keys(self) -> list[str]:
        """Return all keys in order."""
        return sorted(self._items)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key; ``None`` when it does not exist."""
        item = self._items.get(key)
        return None if item is None else item.value

    def _append_event(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _with_behavior(self, handler: Any) -> Any:
        async def wrapped(request: web.Request) -> web.StreamResponse:
            self.calls.append(f"{request.method} {request.path}")
            if self.behavior is StoreBehavior.BUSY:
                return web.Response(status=503)
            if self.behavior is StoreBehavior.SILENT:
                await asyncio.Event().wait()
            if self.behavior is StoreBehavior.RESET:
                _reset(request)
            if self._is_away:
                _reset(request)
            response: web.StreamResponse = await handler(request)
            response.headers["Store-Era"] = str(self.era)
            if self.behavior is StoreBehavior.RESET_AFTER_EXECUTION and request.method != "GET":
                _reset(request)
            return response

        return wrapped

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
        watch = WaitingWatch(prefix, is_lost=self.loses_watch(prefix))
        self.waiting_watches.append(watch)
        try:
            response = await self._answer_watch(request, watch)
        finally:
            self.waiting_watches.remove(watch)
        if watch.is_lost:
            await asyncio.Event().wait()
        return response

    async def _answer_watch(self, request: web.Request, watch: WaitingWatch) -> web.Response:
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["waitMs"]) / MS_PER_S
        era = self.era
        while True:
            if self._is_away or watch.is_cut:
                _reset(request)
            if after < self._compacted or after > self.revision or era != self.era:
                return web.Response(status=GONE_STATUS)
            events = [
                event
                for event in self._history
                if event["revision"] > after
                and str(event["key"]).startswith(watch.prefix)
                and not self._are_watches_stalled
            ]
            remaining_s = deadline - loop.time()
            if events or remaining_s <= 0:
                return json_response({"events": events, "asOf": self.revision})
            try:
                async with asyncio.timeout(remaining_s):
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

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read())["ttlMs"]
        lease = next(self._lease_ids)
        self._leases[lease] = _Lease(ttl_ms)
        self._start_lease_timer(lease)
        return json_response({"lease": lease, "ttlMs": ttl_ms})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self._leases:
            return web.Response(status=404)
        self._start_lease_timer(lease)
        return json_response({"ttlMs": self._leases[lease].ttl_ms})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        self._expire_lease(int(request.match_info["lease"]))
        return json_response({})

    def _start_lease_timer(self, lease: int) -> None:
        lease_record = self._leases[lease]
        if lease_record.timer is not None:
            lease_record.timer.cancel()
        loop = asyncio.get_running_loop()
        lease_record.timer = loop.call_later(
            lease_record.ttl_ms / MS_PER_S, self._expire_lease, lease
        )

    def _expire_lease(self, lease: int) -> None:
        lease_record = self._leases.pop(lease, None)
        if lease_record is not None:
            self.delete(*lease_record.keys)


def _reset(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError
