"""Seeded fault injection for hosts on the platform; faults may overlap."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any
from typing import final

from standins.platform_engine import UpstreamBehavior
from standins.platform_engine import UpstreamEmulator
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_hosts import PlatformHostProcess
from standins.platform_store import StoreBehavior
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import NOTES_SERVICE
from standins.platform_world import PlatformCluster
from standins.platform_world import configuration
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock

FAULT_INTERVAL_RANGE_MS = (50, 900)
OUTAGE_RANGE_MS = (100, 2_500)
FREEZE_RANGE_MS = (100, 2_000)
STOP_GAP_RANGE_MS = (0, 600)
MAX_STOPS = 4
MIN_FREE_HOSTS = 1
LEAVING_MS = 2_000
"""How long a leaving upstream keeps serving after its notice, at least."""
REFUSAL_PAUSE_S = 3.0
RETRY_SLACKS = (10, 100)
"""Range of the retries in addition to the ratio that hosts are reconfigured with."""
IDLE_TIMEOUTS_MS = (3_000, 15_000)
STORE_FAULTS = [behavior for behavior in StoreBehavior if behavior is not StoreBehavior.NORMAL]
UPSTREAM_FAULTS = (
    UpstreamBehavior.FULL,
    UpstreamBehavior.FULL,
    UpstreamBehavior.HANGS,
    UpstreamBehavior.RESET_AFTER_EXECUTION,
)

FaultHandler = Callable[[Random], Awaitable[None]]


@final
class PlatformFaultInjector:
    """Injects faults into hosts, store and upstreams, and recovers from each of them.

    :param cluster: Store and upstreams.
    :param hosts: Host processes.
    :param fault_log: Record of the faults.
    :param retry_slacks: Range of the retries in addition to the ratio.
    """

    def __init__(
        self,
        *,
        cluster: PlatformCluster,
        hosts: list[PlatformHostProcess],
        fault_log: FaultLog,
        retry_slacks: tuple[int, int] = RETRY_SLACKS,
    ) -> None:
        self._retry_slacks = retry_slacks
        self._cluster = cluster
        self._hosts = hosts
        self._fault_log = fault_log
        self._clock = Clock()
        self.on_added: Callable[[UpstreamEmulator], None] = lambda _upstream: None
        """Called for each upstream that is started."""
        self.tells_start = True
        """Whether the entries of upstreams have the time of their start."""
        self.make_configuration: Callable[[int], dict[str, Any]] = soak_configuration
        self._upstreams: dict[str, tuple[str, dict[str, Any]]] = {}
        """Service and options of the upstreams that are neither leaving nor down."""
        self._chosen_prefix = ""
        """Beginning of the names of upstreams into which faults are injected."""
        self._busy_hosts: set[str] = set()
        self._numbers = count(1)
        self._versions = count(2)
        self._weights: dict[FaultHandler, int] = {
            self._stop_hosts: 10,
            self._kill_host: 2,
            self._freeze_host: 3,
            self._reload_host: 2,
            self._disconnect_host_from_store: 2,
            self._disturb_store: 2,
            self._replace_upstream: 3,
            self._crash_upstream: 2,
            self._change_behavior: 4,
            self._change_configuration: 3,
        }

    def disturb_few(self) -> None:
        """Inject few faults, and none into upstreams or the store, which another one disturbs."""
        self._weights = {
            self._rest: 40,
            self._stop_hosts: 1,
            self._kill_host: 1,
            self._freeze_host: 2,
            self._change_configuration: 2,
        }

    def disturb_as_planned(self) -> None:
        """Replace engines and change the configuration, and inject nothing unplanned."""
        self._chosen_prefix = MODEL_SERVICE
        self._weights = {
            self._replace_upstream: 6,
            self._change_configuration: 2,
            self._rest: 2,
        }

    @property
    def living(self) -> list[tuple[UpstreamEmulator, str]]:
        """The upstreams that are neither leaving nor down, with their services."""
        return [
            (self._cluster.upstreams[name], service)
            for name, (service, _) in self._upstreams.items()
        ]

    def retire(self, upstream: str) -> dict[str, Any]:
        """Leave an upstream out of all faults, and return its options."""
        return self._upstreams.pop(upstream)[1]

    async def add_upstream(self, service: str, options: dict[str, Any]) -> UpstreamEmulator:
        """Start an upstream under a new name.

        :param service: Name of its service.
        :param options: Options of ``UpstreamEmulator``.
        """
        name = f"{service}-{next(self._numbers)}"
        born = self._clock.wall() if self.tells_start else 0
        upstream = await self._cluster.add_upstream(name, service, born=born, **options)
        self._upstreams[name] = service, options
        self.on_added(upstream)
        return upstream

    async def replace_crashed(self, upstream: UpstreamEmulator, *, outage_ms: int) -> None:
        """Stop an upstream that a request has crashed, and start another one.

        :param upstream: The upstream.
        :param outage_ms: Time until the other one is started, in milliseconds.
        """
        service, options = self._upstreams.pop(upstream.upstream, (None, {}))
        with self._fault_log.lasting(FaultKind.UPSTREAM, upstream.upstream, detail="part"):
            await upstream.stop()
            await self._clock.sleep(outage_ms)
            self._cluster.store.delete(f"servers/{upstream.upstream}")
        if service is not None:
            await self.add_upstream(service, options)

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self._cluster.configure(self.make_configuration(next(self._versions)))

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Inject faults for some time, and wait until everything has recovered.

        :param rng: Seeded random number generator; each fault gets its own from it, so that the
            choices depend on no timing.
        :param duration_ms: Time in milliseconds.
        """
        due = started = self._clock.now()
        async with asyncio.TaskGroup() as tasks:
            while due < started + duration_ms:
                await self._clock.sleep(due - self._clock.now())
                fault_rng = Random(rng.random())
                handlers, weights = list(self._weights), list(self._weights.values())
                tasks.create_task(_run(fault_rng.choices(handlers, weights)[0], fault_rng))
                due = type(due)(due + rng.randint(*FAULT_INTERVAL_RANGE_MS))

    def _reserve_host(self, rng: Random) -> PlatformHostProcess | None:
        free = [host for host in self._hosts if host.name not in self._busy_hosts]
        if len(free) <= MIN_FREE_HOSTS:
            return None
        host = rng.choice(free)
        self._busy_hosts.add(host.name)
        return host

    async def _restart(self, host: PlatformHostProcess, rng: Random) -> None:
        await self._clock.sleep(rng.randint(*OUTAGE_RANGE_MS))
        await host.start()
        await host.wait_until_ready()
        self._busy_hosts.discard(host.name)

    async def _stop_hosts(self, rng: Random) -> None:
        gap_ms = rng.choice((0, rng.randint(*STOP_GAP_RANGE_MS)))
        async with asyncio.TaskGroup() as tasks:
            for _ in range(rng.randint(1, MAX_STOPS)):
                tasks.create_task(self._stop_host(Random(rng.random())))
                await self._clock.sleep(gap_ms)

    async def _stop_host(self, rng: Random) -> None:
        if host := self._reserve_host(rng):
            await host.stop()
            await self._restart(host, rng)

    async def _kill_host(self, rng: Random) -> None:
        if host := self._reserve_host(rng):
            await host.kill()
            await self._restart(host, rng)

    async def _freeze_host(self, rng: Random) -> None:
        # A host may also be frozen while it starts or stops.
        await rng.choice(self._hosts).freeze(rng.randint(*FREEZE_RANGE_MS))

    async def _reload_host(self, rng: Random) -> None:
        if host := self._reserve_host(rng):
            host.reload(retry_slack=rng.randint(*self._retry_slacks))
            self._busy_hosts.discard(host.name)

    async def _disconnect_host_from_store(self, rng: Random) -> None:
        host = rng.choice(self._hosts).name
        with self._fault_log.lasting(FaultKind.STORE, host):
            self._cluster.disconnect_from_store(host)
            self._cluster.store_links[host].refuse(refusing=rng.random() < 0.7)
            await self._clock.sleep(rng.randint(*OUTAGE_RANGE_MS))
            self._cluster.store_links[host].refuse(refusing=False)

    async def _disturb_store(self, rng: Random) -> None:
        behavior = rng.choice(STORE_FAULTS)
        with self._fault_log.lasting(FaultKind.STORE, detail=behavior.name):
            self._cluster.store.behavior = behavior
            await self._clock.sleep(rng.randint(*OUTAGE_RANGE_MS))
            self._cluster.store.behavior = StoreBehavior.NORMAL

    async def _replace_upstream(self, rng: Random) -> None:
        """Add an upstream of the same service, and let the previous one leave."""
        upstream = self._choose_upstream(rng)
        service, options = self._upstreams.pop(upstream.upstream)
        await self.add_upstream(service, options)
        with self._fault_log.lasting(FaultKind.LEAVING, upstream.upstream):
            upstream.leaving = True
            upstream.says_leaving = True
            # Some upstreams never report that they leave; their entry is removed.
            if rng.random() < 0.8:
                self._cluster.register(upstream, service, state="draining")
            else:
                self._cluster.store.delete(f"servers/{upstream.upstream}")
            await self._clock.sleep(LEAVING_MS + rng.randint(*OUTAGE_RANGE_MS))
            self._cluster.store.delete(f"servers/{upstream.upstream}")
        with self._fault_log.lasting(FaultKind.UPSTREAM, upstream.upstream, detail="has left"):
            await upstream.stop()

    async def _crash_upstream(self, rng: Random) -> None:
        upstream = self._choose_upstream(rng)
        service, options = self._upstreams.pop(upstream.upstream)
        with self._fault_log.lasting(FaultKind.UPSTREAM, upstream.upstream, detail="crash"):
            await upstream.stop()
            await self._clock.sleep(rng.randint(*OUTAGE_RANGE_MS))
            if rng.random() < 0.5:
                self._cluster.store.delete(f"servers/{upstream.upstream}")
                await self.add_upstream(service, options)
                return
            port = int(upstream.address.rpartition(":")[2])
            restart = {**options, "port": port, "born": self._clock.wall()}
            restarted = await self._cluster.add_upstream(upstream.upstream, service, **restart)
            self._upstreams[upstream.upstream] = service, options
            self.on_added(restarted)

    async def _change_behavior(self, rng: Random) -> None:
        upstream = self._choose_upstream(rng)
        behavior = rng.choice(UPSTREAM_FAULTS)
        is_full = behavior is UpstreamBehavior.FULL
        kind = FaultKind.REFUSAL if is_full else FaultKind.UPSTREAM
        with self._fault_log.lasting(kind, upstream.upstream, detail=behavior.name):
            upstream.refusal_pause_s = REFUSAL_PAUSE_S
            upstream.behavior = behavior
            await self._clock.sleep(rng.randint(*OUTAGE_RANGE_MS))
            upstream.behavior = UpstreamBehavior.NORMAL

    async def _change_configuration(self, rng: Random) -> None:
        value = self.make_configuration(next(self._versions))
        value["limits"]["idleTimeoutMs"] = rng.choice(IDLE_TIMEOUTS_MS)
        value["tenants"].append({"name": "two", "apiKeys": [f"key-{rng.random()}"]})
        self._cluster.configure(value)
        with self._fault_log.lasting(FaultKind.CONFIGURATION):
            await self._clock.sleep(MS_PER_SECOND)

    async def _rest(self, rng: Random) -> None:
        """Inject nothing."""

    def _choose_upstream(self, rng: Random) -> UpstreamEmulator:
        names = [name for name in self._upstreams if name.startswith(self._chosen_prefix)]
        return self._cluster.upstreams[rng.choice(sorted(names))]


def soak_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with an additional route and service for short streams."""
    value = configuration(version=version)
    draft = value["routes"][0]
    value["routes"].append(
        {**draft, "name": "note", "pathPrefix": "/note/", "service": NOTES_SERVICE}
    )
    value["services"].append({**value["services"][0], "name": NOTES_SERVICE})
    return value


async def _run(handler: FaultHandler, rng: Random) -> None:
    await handler(rng)
