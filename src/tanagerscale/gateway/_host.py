"""The composition root of a host that forwards by routes."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import random
import secrets
from typing import Any
from typing import Final
from typing import final

from aiohttp import web
from prometheus_client import CollectorRegistry

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import ServiceId
from tanagerscale.core import get_logger
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import Dispatcher
from tanagerscale.forwarding import ForwardingParts
from tanagerscale.forwarding import Meters
from tanagerscale.forwarding import OwnWork
from tanagerscale.forwarding import StreamMovers
from tanagerscale.gateway._caller_server import CallerServer
from tanagerscale.gateway._caller_server import serve_readiness
from tanagerscale.gateway._control import HostControl
from tanagerscale.gateway._edges import CallerRules
from tanagerscale.gateway._edges import Edges
from tanagerscale.gateway._metrics import serve_metrics
from tanagerscale.gateway._planned_stop import finish_requests
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.routes import CallerLimits
from tanagerscale.routes import Homes
from tanagerscale.settings import get_regions_by_domain

SWEEP_MS: Final = 1000
"""How often idle connections are looked through; idle times are declared in seconds."""

BEFORE_CONFIGURATION: Final = CallerLimits(
    header_bytes=16_384, body_bytes=4_194_304, header_timeout_ms=3000, idle_timeout_ms=15_000
)
"""What callers may do while nothing is declared yet; they only get refusals then."""

_log = get_logger(part="host")


@final
class GatewayHost:
    """One host with all its parts.

    :param settings: Its checked settings.
    :param edges: The platform.
    :param clock: Time.
    """

    def __init__(self, *, settings: GatewaySettings, edges: Edges, clock: Clock) -> None:
        self._settings = settings
        self._edges = edges
        self._clock = clock
        self._rng = random.Random(secrets.randbits(64))
        self._leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.ServerRunner] = []
        self._registry = CollectorRegistry()
        self._work = OwnWork(clock=clock)
        self._control = HostControl(
            settings=settings,
            edges=edges,
            work=self._work,
            carry_out=lambda order: self._movers.carry_out(order),
            is_leaving=lambda: self._leaving,
            clock=clock,
            rng=self._rng,
        )
        self._dispatcher = self._make_dispatcher()

    async def start(self) -> None:
        """Begin to serve."""
        settings = self._settings
        readiness = settings.host.readiness
        asked = await serve_readiness(is_ready=lambda: self.ready, address=readiness)
        self._runners.append(asked)
        if settings.host.metrics:
            metrics = await serve_metrics(registry=self._registry, address=settings.host.metrics)
            self._runners.append(metrics)
        rules = CallerRules(
            body_bytes=lambda: self._limits.body_bytes,
            idle_timeout_ms=lambda: self._limits.idle_timeout_ms,
        )
        self._server = CallerServer(
            serve=self._dispatcher.serve,
            codec=self._edges.callers,
            rules=rules,
            clock=self._clock,
        )
        await self._server.start(address=settings.host.callers)
        await self._control.start()
        self._control.gate.changes.subscribe(self._movers.on_upstreams)
        self._control.roster.replaced.subscribe(
            lambda earlier: self._edges.upstreams.forget(upstream=earlier)
        )
        self._spawn(self._sweep())
        _log.info(
            "The host starts.",
            incarnation=self._control.incarnation,
            failure_domain=settings.host.failure_domain,
            callers=settings.host.callers,
        )

    def reload(self, *, settings: GatewaySettings) -> None:
        """Put changed settings in force, as far as a running host can.

        :param settings: The checked settings; addresses take a restart.
        """
        old = self._settings
        retries = settings.retries
        if retries != old.retries:
            self._control.repeats.reconfigure(
                ratio=retries.ratio, slack=retries.slack, window_s=retries.window_s
            )
        self._settings = settings
        _log.info(
            "The settings are read again.",
            changed=[
                name
                for name in ("host", "store", "retries", "deadlines", "logs")
                if getattr(old, name) != getattr(settings, name)
            ],
            need_restart=old.host != settings.host or old.store != settings.store,
        )

    async def abandon(self) -> None:
        """End at once, without a planned stop."""
        await self._end()

    async def stop(self) -> None:
        """Carry out a planned stop: no new work, then the end of all that runs."""
        self._leaving = True
        self._control.mesh.beat_now()
        self._server.begin_stop()
        self._spawn(self._control.withdraw())
        _log.info("The host stops.", running=self._dispatcher.running)
        took_ms = await finish_requests(
            server=self._server, grace_s=self._settings.host.stop_grace_s, clock=self._clock
        )
        _log.info("The host ends.", running=self._dispatcher.running, after_ms=took_ms)
        await self._end()

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._control.stop()
        await self._server.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._edges.close()

    @property
    def ready(self) -> bool:
        """Whether the host takes new connections.

        One that has started while the store is away has its declarations from peers and no
        upstreams; the other hosts serve its callers at once, and it would refuse them.
        """
        return (
            not self._leaving
            and self._control.keeper.table is not None
            and self._control.roster.has_read
            and self._control.evacuations.has_read
        )

    @property
    def version(self) -> int:
        """Version of the declarations in force; 0 before any is known."""
        return self._control.keeper.head_revision

    @property
    def peers(self) -> list[HostId]:
        """The hosts this one is connected to."""
        return [peer.host for peer in self._control.mesh.live.value]

    @property
    def sharing_hosts(self) -> int:
        """How many hosts share what may be repeated, those included that can't be reached."""
        return self._control.directory.hosts

    @property
    def upstreams_known(self) -> int:
        """How many upstreams are listed."""
        return self._control.roster.known

    @property
    def runs_known(self) -> int:
        """How many generations are known to run on engines, those of other hosts included."""
        totals = self._control.coordinator.ledger.totals().values()
        return sum(total.running + total.waiting for total in totals)

    @property
    def decider(self) -> HostId:
        """The host that places this one's generations."""
        return self._control.directory.decider

    def upstreams_open(self, service: str) -> int:
        """Return how many upstreams of a service take work."""
        return len(self._control.roster.open_for(ServiceId(service)))

    @property
    def _limits(self) -> CallerLimits:
        table = self._control.keeper.table
        return BEFORE_CONFIGURATION if table is None else table.limits

    def _make_dispatcher(self) -> Dispatcher:
        control = self._control
        parts = ForwardingParts(
            tables=control.keeper,
            upstreams=control.roster,
            gate=control.gate,
            health=control.health,
            suspects=control.suspects,
            caller=self._edges.upstreams,
            engines=self._edges.upstreams,
            work=self._work,
            repeats=control.client,
            warmup=control.warmup,
            permits=control.client,
            meters=Meters(registry=self._registry),
            failure_domain=FailureDomainId(self._settings.host.failure_domain),
            clock=self._clock,
            rng=self._rng,
        )
        parts.meters.evacuated.set_function(lambda: len(control.evacuations.domains))
        self._movers = StreamMovers(
            parts=parts,
            check_decider=control.client.check_decider,
            ask_engine=control.coordinator.ask_engine,
        )
        return Dispatcher(
            parts=parts,
            admission=Admission(parts=parts, placer=control.client),
            movers=self._movers,
            homes=Homes(regions=get_regions_by_domain(self._settings)),
            is_stopping=lambda: self._leaving,
        )

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_MS)
            self._server.sweep()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))
