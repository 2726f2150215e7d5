"""The platform's metadata store in memory."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from itertools import count
import json
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from stand_http1 import Connection
from stand_http1 import Request
from stand_http1 import Server

MAX_PAGE_ITEMS = 500


@dataclass
class StoreCopy:
    """What a store held at a moment.

    :param revision: Its revision.
    :param items: Its items by key.
    """

    revision: int
    items: dict[str, dict[str, Any]]


class Store:
    """Keys with revisions, leases and watches; each call is answered at once and acknowledged."""

    def __init__(self) -> None:
        self.address = ""
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[int, asyncio.TimerHandle]] = {}
        self._numbers = count(1000)
        self._changed = asyncio.Event()
        self._server = Server(self._handle)
        self._ip = ""
        self._era = 1
        self._compacted = 0
        """Revision before which no history is kept."""

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._ip = ip
        self.address = await self._server.start(ip)

    async def stop(self) -> None:
        """Stop listening."""
        for _, timer in self._leases.values():
            timer.cancel()
        await self._server.stop()

    def copy(self) -> StoreCopy:
        """Return a copy of what the store holds now."""
        return StoreCopy(self._revision, {key: dict(item) for key, item in self._items.items()})

    async def come_back_from(self, copy: StoreCopy, *, away_s: float) -> None:
        """Be away for a moment, and come back with what a copy holds.

        Revisions go back to those of the copy, and leases that were granted since are gone.

        :param copy: The copy.
        :param away_s: How long the store is away.
        """
        port = int(self.address.rpartition(":")[2])
        await self._server.stop()
        await asyncio.sleep(away_s)
        self._era += 1
        self._revision = copy.revision
        self._items = {key: dict(item) for key, item in copy.items.items()}
        self._history.clear()
        self._compacted = copy.revision
        for lease, (_, timer) in list(self._leases.items()):
            if not any(item["lease"] == lease for item in self._items.values()):
                timer.cancel()
                del self._leases[lease]
        await self._server.start(self._ip, port)

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key, as the operator and engines do."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        old = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self._revision,
            "createdRev": old["createdRev"] if old else self._revision,
            "lease": lease,
        }
        self._notify(self._items[key])

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._notify({"key": key, "revision": self._revision, "deleted": True})

    def _notify(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, connection: Connection, request: Request) -> None:
        query = {
            name: values[0] for name, values in parse_qs(urlsplit(request.target).query).items()
        }
        body = json.loads(request.body) if request.body else {}
        status, answer = await self._answer(request.method, request.path, query, body)
        fields = [("Content-Type", "application/json"), ("Store-Era", str(self._era))]
        await connection.respond(status, fields, json.dumps(answer).encode())

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        match method, path:
            case "GET", "/v1/kv-key":
                item = self._items.get(query["key"])
                return (404, {}) if item is None else (200, item | {"asOf": self._revision})
            case "GET", "/v1/kv-range":
                return 200, self._range(query["pathPrefix"], query.get("after", ""))
            case "GET", "/v1/kv-watch":
                after = int(query["after"])
                if after < self._compacted or after > self._revision:
                    return 410, {}
                return 200, await self._watch(query)
            case "POST", "/v1/kv-txn":
                return self._commit(body)
            case "POST", "/v1/kv-lease":
                lease = next(self._numbers)
                self._renew(lease, body["ttlMs"])
                return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        name = path.rpartition("/")[2]
        if path.startswith("/v1/kv-keep/") and int(name) in self._leases:
            ttl_ms, timer = self._leases[int(name)]
            timer.cancel()
            self._renew(int(name), ttl_ms)
            return 200, {"ttlMs": ttl_ms}
        if path.startswith("/v1/kv-lease-end/"):
            self._end_lease(int(name))
            return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        found = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        page = found[:MAX_PAGE_ITEMS]
        return {"items": page, "morePages": len(found) > len(page), "asOf": self._revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        ends = loop.time() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > int(query["after"])
                and event["key"].startswith(query["pathPrefix"])
            ]
            if events or loop.time() >= ends:
                return {"events": events, "asOf": self._revision}
            changed = self._changed
            try:
                async with asyncio.timeout_at(ends):
                    await changed.wait()
            except TimeoutError:
                pass

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body["expectedRevision"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else [], "asOf": self._revision}
        if any(put.get("lease") and put["lease"] not in self._leases for put in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self._revision}

    def _renew(self, lease: int, ttl_ms: int) -> None:
        loop = asyncio.get_running_loop()
        self._leases[lease] = ttl_ms, loop.call_later(ttl_ms / 1000, self._end_lease, lease)

    def _end_lease(self, lease: int) -> None:
        entry = self._leases.pop(lease, None)
        if entry is None:
            return
        entry[1].cancel()
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self.remove(key)
