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
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import Dispatcher
from tanagerscale.forwarding import EngineWork
from tanagerscale.forwarding import ForwardingParts
from tanagerscale.forwarding import Meters
from tanagerscale.forwarding import RetryBudgets
from tanagerscale.forwarding import StreamMovers
from tanagerscale.forwarding import UpstreamHealth
from tanagerscale.gateway._caller_server import CallerServer
from tanagerscale.gateway._caller_server import serve_readiness
from tanagerscale.gateway._configuration import ConfigurationKeeper
from tanagerscale.gateway._edges import CallerRules
from tanagerscale.gateway._edges import Edges
from tanagerscale.gateway._following import StoreFollowing
from tanagerscale.gateway._metrics import serve_metrics
from tanagerscale.gateway._peers import PeerNews
from tanagerscale.gateway._planned_stop import finish_requests
from tanagerscale.gateway._presence import HostPresence
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.records import HostRecord
from tanagerscale.membership import HeadSpread
from tanagerscale.membership import Mesh
from tanagerscale.membership import Rumours
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import UpstreamRoster
from tanagerscale.membership import is_many
from tanagerscale.membership import stretch
from tanagerscale.quarantine import Suspects
from tanagerscale.routes import CallerLimits
from tanagerscale.routes import RouteTable

SWEEP_MS: Final = 1000
"""How often idle connections are looked through; idle times are declared in seconds."""

TELL_HEALTH_MS: Final = 500
"""How often peers hear of bad answers; an upstream that fails then rests within a second or two."""

BEFORE_CONFIGURATION: Final = CallerLimits(
    header_bytes=16_384, body_bytes=4_194_304, header_timeout_ms=3000, idle_timeout_ms=15_000
)
"""What callers may do while nothing is declared yet; they only get refusals then."""

PATIENCE_MS: Final = 150
"""How long a host that hears of a newer configuration waits for its own watch to bring it."""

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
        self._host = HostId(settings.host.id)
        self._leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.ServerRunner] = []
        self._registry = CollectorRegistry()
        self._keeper = ConfigurationKeeper(decode=edges.decode_configuration)
        self._work = EngineWork(host=self._host)
        self._build_membership()
        self._build_forwarding()

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
        await self._mesh.start()
        self._news.start()
        self._spread.start()
        self._keeper.tables.subscribe(self._on_table)
        self._gate.changes.subscribe(self._movers.evacuation.on_change)
        self._gate.changes.subscribe(lambda _: self._admission.look())
        self._roster.changes.subscribe(lambda _: self._admission.look())
        self._roster.replaced.subscribe(
            lambda earlier: self._edges.upstreams.forget(upstream=earlier)
        )
        self._work.news.subscribe(lambda _: self._admission.look())
        for loop in self._following.loops(
            keeper=self._keeper, roster=self._roster, presence=self._presence
        ):
            self._spawn(loop)
        self._spawn(self._presence.run())
        self._spawn(self._sweep())
        self._spawn(self._tell_health())
        for loop in self._movers.loops():
            self._spawn(loop)
        self._presence.use_seeds()
        _log.info(
            "The host starts.",
            incarnation=self._incarnation,
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
            self._budgets.reconfigure(
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
        self._mesh.beat_now()
        self._server.begin_stop()
        self._spawn(self._presence.withdraw())
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
        await self._spread.stop()
        await self._mesh.stop()
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
        return not self._leaving and self._keeper.table is not None and self._roster.has_read

    @property
    def version(self) -> int:
        """Version of the declarations in force; 0 before any is known."""
        return self._keeper.head_revision

    @property
    def peers(self) -> list[HostId]:
        """The hosts this one is connected to."""
        return [peer.host for peer in self._mesh.live.value]

    @property
    def sharing_hosts(self) -> int:
        """How many hosts share what may be repeated, those included that can't be reached."""
        return max(len(self._mesh.live.value) + 1, self._presence.hosts)

    @property
    def upstreams_known(self) -> int:
        """How many upstreams are listed."""
        return self._roster.known

    @property
    def runs_known(self) -> int:
        """How many generations are known to run on engines, those of the peers included."""
        totals = self._work.totals().values()
        return sum(total.running + total.waiting for total in totals)

    def upstreams_open(self, service: str) -> int:
        """Return how many upstreams of a service take work."""
        return len(self._roster.open_for(ServiceId(service)))

    @property
    def _limits(self) -> CallerLimits:
        table = self._keeper.table
        return BEFORE_CONFIGURATION if table is None else table.limits

    def _build_membership(self) -> None:
        settings = self._settings
        self._incarnation = self._clock.wall()
        self._mesh = Mesh(
            host=self._host,
            failure_domain=FailureDomainId(settings.host.failure_domain),
            incarnation=self._incarnation,
            listen=settings.host.peers,
            clock=self._clock,
            rng=self._rng,
            heartbeat_source=lambda: Heartbeat(
                revision=self._keeper.head_revision,
                leaving=self._leaving,
                store_lost=self._presence.store_lost,
            ),
        )
        rumours = Rumours(mesh=self._mesh, rng=self._rng)
        self._gate = UpstreamGate(
            clock=self._clock,
            rng=self._rng,
            spread=rumours.tell,
        )
        self._roster = UpstreamRoster(
            gate=self._gate,
            decode=self._edges.decode_entry,
            name_of=self._edges.name_of,
            clock=self._clock,
        )
        self._following = StoreFollowing(
            edges=self._edges,
            mesh=self._mesh,
            leaving_ms=lambda: self._settings.deadlines.leaving_ms,
            clock=self._clock,
            rng=self._rng,
        )
        self._spread = HeadSpread(
            network=self._mesh,
            follower=self._keeper,
            clock=self._clock,
            patience_ms=PATIENCE_MS,
            tell=rumours.tell,
        )
        self._health = UpstreamHealth(service_of=self._service_of, clock=self._clock)
        self._suspects = Suspects(clock=self._clock)
        self._news = PeerNews(
            mesh=self._mesh,
            gate=self._gate,
            work=self._work,
            health=self._health,
            suspects=self._suspects,
            rumours=rumours,
            incarnation=self._incarnation,
            on_store_lost=lambda: self._presence.check_soon(),
        )
        self._presence = HostPresence(
            store=self._edges.store,
            prefix=settings.store.prefix,
            record=HostRecord(
                host=self._host, peers=settings.host.peers, incarnation=self._incarnation
            ),
            seeds=settings.host.seeds,
            on_peers=self._mesh.set_peers,
            on_answers=self._on_store_answers,
            clock=self._clock,
            rng=self._rng,
        )

    def _build_forwarding(self) -> None:
        retries = self._settings.retries
        self._budgets = RetryBudgets(
            ratio=retries.ratio,
            slack=retries.slack,
            window_s=retries.window_s,
            hosts=lambda: self.sharing_hosts,
            clock=self._clock,
        )
        parts = ForwardingParts(
            tables=self._keeper,
            upstreams=self._roster,
            notes=self._gate,
            health=self._health,
            suspects=self._suspects,
            caller=self._edges.upstreams,
            engines=self._edges.upstreams,
            work=self._work,
            budgets=self._budgets,
            meters=Meters(registry=self._registry),
            failure_domain=FailureDomainId(self._settings.host.failure_domain),
            clock=self._clock,
            rng=self._rng,
        )
        movers = StreamMovers(parts=parts)
        self._movers = movers
        self._admission = Admission(parts=parts)
        self._dispatcher = Dispatcher(
            parts=parts,
            admission=self._admission,
            movers=movers,
            is_stopping=lambda: self._leaving,
        )

    def _on_table(self, table: RouteTable | None) -> None:
        if table is not None:
            self._spread.announce(revision=table.version, digest="")

    def _on_store_answers(self, is_answered: bool) -> None:
        _log.info(
            "Calls to the store are answered again." if is_answered else "Calls to the store fail."
        )
        self._roster.on_calls(answered=is_answered)
        if not is_answered and not is_many(peers=len(self._mesh.live.value)):
            self._mesh.beat_now()

    def _service_of(self, upstream: UpstreamId) -> ServiceId | None:
        entry = self._roster.get(upstream)
        return None if entry is None else entry.service

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_MS)
            self._server.sweep()

    async def _tell_health(self) -> None:
        while True:
            peers = len(self._mesh.live.value)
            await self._clock.sleep(int(TELL_HEALTH_MS * stretch(peers=peers)))
            self._health.tell()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))
