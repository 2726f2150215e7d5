"""A small platform on loopback: a store, upstreams, and the hosts of the product."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
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
from standins.stream_framing import StreamFramings
from standins.tcp_relay import TcpRelay
from standins.upstream_link import CutKind
from standins.upstream_link import UpstreamLink
from tanagerscale.core import Clock
from tanagerscale.gateway import GatewayHost
from tanagerscale.generated.gateway import DeadlinesSection
from tanagerscale.generated.gateway import GatewayHost as HostSection
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.generated.gateway import GatewayStore
from tanagerscale.generated.gateway import RetrySection
from tanagerscale.platform import make_platform

HOST_NAME = "api.example"
API_KEY = "key-of-account-one"
MODEL_SERVICE = "drafts"
NOTES_SERVICE = "notes"
PLAIN_SERVICE = "bookings"

MIN_HOST_PORT = 20_000
MAX_HOST_PORT = 32_000
"""End of the range of host ports, exclusive. The range lies below the ports that the kernel assigns
to outgoing connections (from 32,768 on): such a connection could take a port between the check and
its use."""


@dataclass(slots=True)
class Answer:
    """Answer received by a caller.

    :param status: HTTP status; 0 when no answer arrived.
    :param headers: Header fields.
    :param body: All bytes received.
    :param is_complete: Whether the answer came to its proper end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


_allocated_ports: set[int] = set()
"""Ports already returned by ``free_port``; a server binds its port only some time later."""


def free_port() -> int:
    """Return a port that is free now and outside the range of outgoing connections.

    No port is returned twice in one process.
    """
    while True:
        port = MIN_HOST_PORT + secrets.randbelow(MAX_HOST_PORT - MIN_HOST_PORT)
        if port in _allocated_ports:
            continue
        _allocated_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return port


def configuration(*, version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration in the format that operators write.

    :param version: Version of the configuration.
    :param changes: Top-level fields that replace the default ones.
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
    defaults: dict[str, Any] = {
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
        "tenants": [{"name": "one", "apiKeys": [API_KEY]}],
    }
    return {**defaults, **changes}


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
class PlatformCluster:
    """A store, upstreams and hosts, which tests start, call and disturb.

    :param has_links: Whether hosts reach upstreams through relays that can cut them off.
    :param framings: How upstreams send their streams; ``None`` lets them send chunks.
    """

    def __init__(self, *, has_links: bool = False, framings: StreamFramings | None = None) -> None:
        self.store = StoreEmulator()
        self.upstream_links: dict[str, UpstreamLink] = {}
        """Relay in front of each upstream, by its name, if hosts can be cut off."""
        self._has_links = has_links
        self._framings = framings
        self._cuts: dict[str, CutKind] = {}
        """Hosts that are cut off, by that address."""
        self.ledger = Ledger()
        self.upstreams: dict[str, UpstreamEmulator] = {}
        self.on_upstream: Callable[[UpstreamEmulator], None] = lambda _upstream: None
        """Called for each upstream before it is started."""
        self.hosts: dict[str, GatewayHost] = {}
        self.store_links: dict[str, TcpRelay] = {}
        """Relay between each host and the store, by host name."""
        self._settings: dict[str, GatewaySettings] = {}
        self._heartbeats: Counter[tuple[str, int]] = Counter()
        """Entries that each incarnation of an upstream has written."""
        self._store_address = ""
        self._session: aiohttp.ClientSession | None = None
        self._requests = 0

    async def start(self) -> None:
        """Start the store and write the default configuration."""
        self._store_address = await self.store.start()
        self._session = aiohttp.ClientSession(auto_decompress=False)
        self.configure(configuration())

    async def stop(self) -> None:
        """Stop all hosts, upstreams and the store."""
        for host in list(self.hosts):
            await self.kill_host(host)
        for upstream in self.upstreams.values():
            await upstream.stop()
        for link in self.upstream_links.values():
            await link.__aexit__()
        if self._session is not None:
            await self._session.close()
        await self.store.stop()

    def configure(self, value: dict[str, Any]) -> None:
        """Write a configuration to the store."""
        self.store.put("op/config", msgspec.json.encode(value))

    async def add_upstream(self, name: str, service: str, **options: Any) -> UpstreamEmulator:
        """Start an upstream and register it in the store.

        :param name: Id of the upstream.
        :param service: Service to which it belongs.
        :param options: Options of ``UpstreamEmulator``.
        """
        upstream = UpstreamEmulator(upstream=name, ledger=self.ledger, **options)
        upstream.framings = self._framings or upstream.framings
        self.on_upstream(upstream)
        await upstream.start()
        self.upstreams[name] = upstream
        if self._has_links:
            await self._add_link(upstream)
        self.register(upstream, service)
        return upstream

    async def _add_link(self, upstream: UpstreamEmulator) -> None:
        link = self.upstream_links.get(upstream.upstream)
        if link is None:
            link = UpstreamLink(
                target=upstream.address,
                on_connection=lambda source, port: self.ledger.relayed.update(
                    {port: self.ledger.hosts.get(source, "")}
                ),
            )
            await link.__aenter__()
            self.upstream_links[upstream.upstream] = link
            for source, kind in self._cuts.items():
                link.cut(source, kind)
        self.ledger.engines[link.address] = upstream

    def cut_off(self, host: str, kind: CutKind) -> None:
        """Cut off a host from all upstreams, also from those that are added later."""
        source = self._settings[host].host.source_ip
        self._cuts[source] = kind
        for link in self.upstream_links.values():
            link.cut(source, kind)

    def heal(self, host: str) -> None:
        """End the cut of a host."""
        source = self._settings[host].host.source_ip
        self._cuts.pop(source, None)
        for link in self.upstream_links.values():
            link.heal(source)

    def register(
        self,
        upstream: UpstreamEmulator,
        service: str,
        *,
        state: str = "ready",
        sequence: int | None = None,
    ) -> int:
        """Write the entry of an upstream to the store.

        :param upstream: The upstream.
        :param service: Service to which it belongs.
        :param state: State that the entry tells.
        :param sequence: Number of the heartbeat; ``None`` for the next one.
        :returns: Number of the heartbeat.
        """
        identity = upstream.upstream, upstream.born
        if sequence is None:
            self._heartbeats[identity] += 1
            sequence = self._heartbeats[identity]
        link = self.upstream_links.get(upstream.upstream)
        entry = {
            "service": service,
            "address": upstream.address if link is None else link.address,
            "zone": "a",
            "version": "v1",
            "slots": upstream.slots or 24,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": sequence,
        }
        self.put_entry(
            upstream.upstream, entry | ({"born": upstream.born} if upstream.born else {})
        )
        return sequence

    def put_entry(self, name: str, entry: object) -> None:
        """Write an entry of an upstream without checks; bytes are written unencoded."""
        value = entry if isinstance(entry, bytes) else msgspec.json.encode(entry)
        self.store.put(f"servers/{name}", value)

    async def restart_upstream(self, name: str, service: str, *, born: int) -> UpstreamEmulator:
        """Stop an upstream with its running requests, and start it at the same name and address.

        :param name: Id of the upstream.
        :param service: Service to which it belongs.
        :param born: Start time of the new process, in milliseconds since 1970.
        """
        previous = self.upstreams[name]
        await previous.stop()
        port = int(previous.address.rpartition(":")[2])
        return await self.add_upstream(name, service, born=born, port=port)

    async def add_host(
        self, name: str, *, seeds: tuple[str, ...] = (), stop_grace_s: int = 4
    ) -> GatewayHost:
        """Start a host that reaches the store through its own relay.

        :param name: Id of the host.
        :param seeds: Peer addresses of other hosts.
        :param stop_grace_s: Grace period of its graceful shutdown, in seconds.
        """
        settings = await self.make_settings(name, seeds=seeds, stop_grace_s=stop_grace_s)
        clock = Clock()
        host = GatewayHost(
            settings=settings, platform=make_platform(settings=settings, clock=clock), clock=clock
        )
        await host.start()
        self.hosts[name] = host
        return host

    async def make_settings(
        self,
        name: str,
        *,
        seeds: tuple[str, ...],
        stop_grace_s: float,
        ip: str = LOOPBACK,
        retry_slack: float | None = None,
        memory_mb: float = 0.0,
        file_descriptors: int = 0,
    ) -> GatewaySettings:
        """Start a relay between a host and the store, and return the settings of the host.

        :param name: Id of the host.
        :param seeds: Peer addresses of other hosts.
        :param stop_grace_s: Grace period of the host in seconds.
        :param ip: Loopback address on which the host listens.
        :param retry_slack: Retries allowed in addition to the ratio; ``None`` for the default.
        :param memory_mb: Memory of the host in units of 1,000,000 bytes; 0 for no limit.
        :param file_descriptors: Descriptors that the host may have open; 0 for no limit.
        """
        relay = TcpRelay(target=self._store_address)
        await relay.__aenter__()
        self.store_links[name] = relay
        source_ip = f"127.200.1.{len(self.ledger.hosts) + 1}"
        self.ledger.hosts[source_ip] = name
        self._settings[name] = GatewaySettings(
            host=HostSection(
                id=name,
                failure_domain="a",
                callers=f"{ip}:{free_port()}",
                readiness=f"{ip}:{free_port()}",
                peers=f"{ip}:{free_port()}",
                delegates=f"{ip}:{free_port()}",
                seeds=list(seeds),
                source_ip=source_ip,
                stop_grace_s=stop_grace_s,
                memory_mb=memory_mb,
                file_descriptors=file_descriptors,
            ),
            store=GatewayStore(address=relay.address),
            retries=RetrySection() if retry_slack is None else RetrySection(slack=retry_slack),
            deadlines=DeadlinesSection(),
        )
        return self._settings[name]

    async def kill_host(self, name: str) -> None:
        """Stop a host without a graceful shutdown."""
        await self.hosts.pop(name).abort()
        await self.store_links.pop(name).__aexit__()

    async def stop_host(self, name: str) -> None:
        """Stop a host gracefully."""
        await self.hosts.pop(name).stop()
        await self.store_links.pop(name).__aexit__()

    def disconnect_from_store(self, name: str) -> None:
        """Cut the connections of a host to the store and refuse new ones."""
        relay = self.store_links[name]
        relay.refuse()
        relay.cut()

    def callers_address(self, name: str) -> str:
        """Return the address of a host for callers."""
        return self._settings[name].host.callers

    def peers_address(self, name: str) -> str:
        """Return the address of a host for its peers."""
        return self._settings[name].host.peers

    def requests_at(self, upstream: UpstreamEmulator) -> int:
        """Return how many requests, first and repeated ones, have reached an upstream."""
        received = self.ledger.received_requests
        return sum(
            one.headers["Tanagerscale-Expect-Instance"] == upstream.upstream for one in received
        )

    async def wait_until(self, condition: Any, *, timeout_s: float = 10.0) -> None:
        """Wait until a condition holds.

        :param condition: Function without parameters that returns whether the condition holds.
        :param timeout_s: Longest wait in seconds, far longer than needed.
        :raises TimeoutError: If the condition does not hold within that time.
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
        key: str | None = API_KEY,
        tokens: tuple[int, int] | None = None,
    ) -> Answer:
        """Send one call to a host and return the answer.

        :param key: API key; ``None`` sends none.
        :param tokens: Values of the ``Tanagerscale-Token-Usage`` header, the prompt length first;
            ``None`` sends a call without a model.
        """
        assert self._session is not None
        self._requests += 1
        request_headers = {
            "Host": HOST_NAME,
            "Tanagerscale-Attempt-Id": f"request-{self._requests}",
            "Tanagerscale-Deadline-Remaining": "20000",
            **(headers or {}),
        }
        if key is not None:
            request_headers["Authorization"] = f"Bearer {key}"
        if tokens is not None:
            request_headers["Tanagerscale-Model"] = "m"
            request_headers["Tanagerscale-Token-Usage"] = f"{tokens[0]},{tokens[1]}"
        url = f"http://{self.callers_address(host)}{path}"
        chunks: list[bytes] = []
        try:
            async with self._session.request(
                method, url, data=body if method != "GET" else None, headers=request_headers
            ) as response:
                status, response_headers = response.status, dict(response.headers)
                async for chunk in response.content.iter_any():
                    chunks.append(chunk)
        except aiohttp.ClientPayloadError:
            return Answer(status, response_headers, b"".join(chunks), is_complete=False)
        except aiohttp.ClientError:
            return Answer(0, {}, b"".join(chunks), is_complete=False)
        return Answer(status, response_headers, b"".join(chunks), is_complete=True)


def write_settings(path: Path, settings: GatewaySettings) -> None:
    """Write settings as an INI file that a host reads."""
    lines: list[str] = []
    for title, section in msgspec.to_builtins(settings).items():
        lines.append(f"[{title}]")
        for key, value in section.items():
            text = ", ".join(value) if isinstance(value, list) else str(value)
            lines.append(f"{key} = {text}")
    path.write_text("\n".join(lines) + "\n")
