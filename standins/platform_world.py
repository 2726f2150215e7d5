"""A small platform on loopback: a store, upstreams, and hosts of the product between them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
import secrets
import socket
from typing import Any
from typing import final

import aiohttp
import msgspec

from standins._common import LOOPBACK
from standins.platform_engine import Ledger
from standins.platform_engine import UpstreamEmulator
from standins.platform_store import StoreEmulator
from standins.tcp_relay import TcpRelay
from tanagerscale.core import Clock
from tanagerscale.gateway import GatewayHost
from tanagerscale.generated.gateway import DeadlinesSection
from tanagerscale.generated.gateway import GatewayHost as HostSection
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.generated.gateway import GatewayStore
from tanagerscale.platform import make_platform

HOST_NAME = "api.example"
KEY = "key-of-account-one"
MODEL_SERVICE = "drafts"
PLAIN_SERVICE = "bookings"

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Ports of hosts. They lie below those that the kernel gives to outgoing connections (from 32,768
on), or one of these may take a port between the look for it and its use."""


@dataclass(slots=True)
class Answer:
    """What a caller got.

    :param status: HTTP status.
    :param headers: Header fields.
    :param body: All bytes that came.
    :param whole: Whether the answer came to its proper end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


_given_ports: set[int] = set()
"""Ports that were given out; a server binds its own only some time later."""


def free_port() -> int:
    """Return a port that is free now, of those that no outgoing connection gets meanwhile.

    No port is given out twice by one process.
    """
    while True:
        port = FIRST_PORT + secrets.randbelow(LAST_PORT - FIRST_PORT)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return port


def configuration(*, version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration as the operators write it.

    :param version: Its version.
    :param changes: Top-level fields that replace the usual ones.
    """
    engine = {
        "slots": 24,
        "kvCacheTokens": 34000,
        "kvTokenBytes": 163840,
        "linkMbps": 24000.0,
        "moves": True,
        "backups": False,
        "stride": 4,
        "handleS": 5.0,
        "models": [{"name": "m"}],
    }
    usual: dict[str, Any] = {
        "version": version,
        "routes": [
            _route("stream", "/draft/", "streaming", MODEL_SERVICE, 39000, 1),
            _route("book", "/book/", "unsafe", PLAIN_SERVICE, 2000, 1),
            _route("read", "/read/", "safe", PLAIN_SERVICE, 2000, 2),
        ],
        "services": [
            {"name": MODEL_SERVICE, "maxConnections": 100, "engine": engine},
            {"name": PLAIN_SERVICE, "maxConnections": 100},
        ],
        "limits": {"maxBodyBytes": 100_000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "one", "apiKeys": [KEY]}],
    }
    return {**usual, **changes}


def _route(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int, attempts: int
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 1500,
        "attempts": attempts,
    }


@final
class PlatformWorld:
    """Everything around the hosts, and the hosts."""

    def __init__(self) -> None:
        self.store = StoreEmulator()
        self.ledger = Ledger()
        self.upstreams: dict[str, UpstreamEmulator] = {}
        self.hosts: dict[str, GatewayHost] = {}
        self.links: dict[str, TcpRelay] = {}
        """The way of each host to the store."""
        self._settings: dict[str, GatewaySettings] = {}
        self._store_address = ""
        self._session: aiohttp.ClientSession | None = None
        self._requests = 0

    async def start(self) -> None:
        """Start the store and write the first configuration."""
        self._store_address = await self.store.start()
        self._session = aiohttp.ClientSession(auto_decompress=False)
        self.configure(configuration())

    async def stop(self) -> None:
        """End everything."""
        for host in list(self.hosts):
            await self.kill_host(host)
        for upstream in self.upstreams.values():
            await upstream.stop()
        if self._session is not None:
            await self._session.close()
        await self.store.stop()

    def configure(self, value: dict[str, Any]) -> None:
        """Write a configuration."""
        self.store.put("op/config", msgspec.json.encode(value))

    async def add_upstream(self, name: str, service: str, **options: Any) -> UpstreamEmulator:
        """Start an upstream and register it."""
        upstream = UpstreamEmulator(upstream=name, ledger=self.ledger, **options)
        await upstream.start()
        self.upstreams[name] = upstream
        self.register(upstream, service)
        return upstream

    def register(self, upstream: UpstreamEmulator, service: str, *, state: str = "ready") -> None:
        """Write an upstream's entry."""
        entry = {
            "service": service,
            "address": upstream.address,
            "zone": "a",
            "version": "v1",
            "slots": 24,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        self.put_entry(
            upstream.upstream, entry | ({"born": upstream.born} if upstream.born else {})
        )

    def put_entry(self, name: str, entry: object) -> None:
        """Write an entry of an upstream as it is; bytes stand as they are."""
        value = entry if isinstance(entry, bytes) else msgspec.json.encode(entry)
        self.store.put(f"servers/{name}", value)

    async def restart_upstream(self, name: str, service: str, *, born: int) -> UpstreamEmulator:
        """End an upstream with all that runs there, and start it under the same name and address.

        :param name: Its name.
        :param service: Its service.
        :param born: When the new start began, in milliseconds since 1970.
        """
        earlier = self.upstreams[name]
        await earlier.stop()
        port = int(earlier.address.rpartition(":")[2])
        return await self.add_upstream(name, service, born=born, port=port)

    async def add_host(self, name: str, *, seeds: tuple[str, ...] = ()) -> GatewayHost:
        """Start a host, which reaches the store by a link of its own."""
        link = TcpRelay(target=self._store_address)
        await link.__aenter__()
        self.links[name] = link
        settings = GatewaySettings(
            host=HostSection(
                id=name,
                failure_domain="a",
                callers=f"{LOOPBACK}:{free_port()}",
                readiness=f"{LOOPBACK}:{free_port()}",
                peers=f"{LOOPBACK}:{free_port()}",
                seeds=list(seeds),
                stop_grace_s=4,
            ),
            store=GatewayStore(address=link.address),
            deadlines=DeadlinesSection(),
        )
        clock = Clock()
        host = GatewayHost(
            settings=settings, platform=make_platform(settings=settings, clock=clock), clock=clock
        )
        self._settings[name] = settings
        await host.start()
        self.hosts[name] = host
        return host

    async def kill_host(self, name: str) -> None:
        """End a host without a planned stop."""
        await self.hosts.pop(name).abort()
        await self.links.pop(name).__aexit__()

    def cut_from_store(self, name: str) -> None:
        """Let no call of a host reach the store any more."""
        link = self.links[name]
        link.refuse()
        link.cut()

    def callers_address(self, name: str) -> str:
        """Return where a host takes callers."""
        return self._settings[name].host.callers

    def peers_address(self, name: str) -> str:
        """Return where a host takes its peers."""
        return self._settings[name].host.peers

    async def wait_until(self, condition: Any, *, timeout_s: float = 10.0) -> None:
        """Wait until a condition holds.

        :param condition: Called without arguments.
        :param timeout_s: Longest wait, far beyond what is needed.
        :raises TimeoutError: It never held.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.005)

    async def call(
        self,
        host: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"content",
        headers: dict[str, str] | None = None,
        key: str | None = KEY,
        tokens: tuple[int, int] | None = None,
    ) -> Answer:
        """Make one call and return what came of it."""
        assert self._session is not None
        self._requests += 1
        sent = {
            "Host": HOST_NAME,
            "Tanagerscale-Attempt-Id": f"request-{self._requests}",
            "Tanagerscale-Deadline-Remaining": "20000",
            **(headers or {}),
        }
        if key is not None:
            sent["Authorization"] = f"Bearer {key}"
        if tokens is not None:
            sent["Tanagerscale-Model"] = "m"
            sent["Tanagerscale-Token-Usage"] = f"{tokens[0]},{tokens[1]}"
        url = f"http://{self.callers_address(host)}{path}"
        chunks: list[bytes] = []
        try:
            async with self._session.request(
                method, url, data=body if method != "GET" else None, headers=sent
            ) as response:
                status, found = response.status, dict(response.headers)
                async for chunk in response.content.iter_any():
                    chunks.append(chunk)
        except aiohttp.ClientPayloadError:
            return Answer(status, found, b"".join(chunks), whole=False)
        except aiohttp.ClientError:
            return Answer(0, {}, b"".join(chunks), whole=False)
        return Answer(status, found, b"".join(chunks), whole=True)


def write_settings(path: Path, settings: GatewaySettings) -> None:
    """Write settings as the INI file that a host reads."""
    lines: list[str] = []
    for title, section in msgspec.to_builtins(settings).items():
        lines.append(f"[{title}]")
        for key, value in section.items():
            text = ", ".join(value) if isinstance(value, list) else str(value)
            lines.append(f"{key} = {text}")
    path.write_text("\n".join(lines) + "\n")
