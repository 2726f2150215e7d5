"""The composition root: builds the parts of a host and ends them in order."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from hashlib import blake2b
import random
import secrets
from typing import Any
from typing import final

import aiohttp
from aiohttp import web
import msgspec
from msgspec import Struct
from prometheus_client import CollectorRegistry

from tanagerscale.accounts import KeyChecker
from tanagerscale.claims import Claims
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import AttemptId
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import get_logger
from tanagerscale.daemon._admission import DoorKeeper
from tanagerscale.daemon._control import EngineControl
from tanagerscale.daemon._crashes import QuarantineWatch
from tanagerscale.daemon._limits import HostLimits
from tanagerscale.daemon._notes import EngineClients
from tanagerscale.daemon._notes import GateNotes
from tanagerscale.daemon._peers import PeerGlue
from tanagerscale.daemon._scheduling import HostSchedulers
from tanagerscale.daemon._secrets import callers_ssl_context
from tanagerscale.daemon._secrets import cursor_key
from tanagerscale.declarations import Declarations
from tanagerscale.declarations import Follower
from tanagerscale.dispatch import Canceller
from tanagerscale.dispatch import DispatchContext
from tanagerscale.entry import CompletionParts
from tanagerscale.entry import Completions
from tanagerscale.entry import Entry
from tanagerscale.entry import EntryParts
from tanagerscale.entry import RequestChecker
from tanagerscale.generated.callers import HostStatus
from tanagerscale.generated.messages import Attached
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.settings import HostSettings
from tanagerscale.membership import HostListFollower
from tanagerscale.membership import Mesh
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import peer_ssl_contexts
from tanagerscale.policy import RetryBudget
from tanagerscale.quarantine import Quarantine
from tanagerscale.routing import PoolRouter
from tanagerscale.services import ServiceDependencies
from tanagerscale.services import ServiceDispatch
from tanagerscale.store import EtcdStore
from tanagerscale.upstreams import HttpServiceClient
from tanagerscale.usage import HostCollector
from tanagerscale.usage import HostGauges
from tanagerscale.usage import UsageMeter

SHUTDOWN_TIMEOUT_S = 0.5
"""Time for the last bytes of replies; a planned stop has waited its limit before."""
CLAIMS_DRAIN_S = 10.0
"""Longest wait of a planned stop for the store to take the outcomes of claims."""
FINGERPRINT_KEY_BYTES = 32
RETRY_RESERVE = 128.0
"""Retries saved up: what one host may run on engines that die together, since their callers are
owed whole answers. In the long run retries stay at a tenth of the work.

Two engines with batches of 64 that die together under one host are 128 retries. With 32 saved up 81
of those callers were refused, with 128 none; ``tools/bench_recovery.py`` shows it.
"""

_log = get_logger(part="daemon")


class BoundAddresses(Struct, frozen=True, kw_only=True):
    """Where a host listens.

    :param callers: IP number and port for callers.
    :param peers: IP number and port for the other hosts.
    """

    callers: str
    peers: str


@final
class HostProcess:
    """One host with all its parts.

    :param settings: Its checked settings.
    """

    def __init__(self, *, settings: HostSettings) -> None:
        self._settings = settings
        self._clock = Clock()
        self._rng = random.Random(secrets.randbits(64))
        self._host = HostId(settings.host.id)
        self._incarnation = self._clock.wall()
        self._leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._door = DoorKeeper(limit=settings.limits.concurrent_requests, rng=self._rng)

    async def start(self) -> BoundAddresses:
        """Build the parts and begin to serve."""
        settings = self._settings
        self._build_outer_edges()
        self._build_membership()
        self._build_dispatch()
        self._glue.start()
        self._crashes.start()
        self._router.start()
        peers = await self._mesh.start()
        self._host_list.start()
        self._spawn(self._follower.run())
        self._spawn(self._quarantine.load())
        self._spawn(self._control.run())
        callers = await self._serve_callers()
        _log.info("The host serves.", host=self._host, callers=callers, peers=peers)
        if settings.host_list.url == "":
            self._glue.use_seeds()
        return BoundAddresses(callers=callers, peers=peers)

    async def stop(self) -> None:
        """Carry out a planned stop: no new work, then the end of all that runs."""
        self._leaving = True
        self._router.set_leaving(leaving=True)
        self._mesh.send_heartbeat()
        grace_s = self._settings.host.stop_grace_ms / MS_PER_SECOND
        try:
            await asyncio.wait_for(self._door.wait_empty(), grace_s)
        except TimeoutError:
            _log.warning("Streams are handed over; their callers hold cursors.")
            self._canceller.disable_delayed_cancellations()
        await self._control.stop()
        await self._services.drain()
        await self._runner.cleanup()
        await self._canceller.drain()
        await self._record_claims()
        await self._quarantine.close()
        await self._router.stop()
        await self._glue.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._host_list.stop()
        await self._mesh.stop()
        await self._session.close()
        await self._service_session.close()
        await self._store.close()

    async def _record_claims(self) -> None:
        try:
            await asyncio.wait_for(self._claims.drain(), CLAIMS_DRAIN_S)
        except TimeoutError:
            _log.warning("Outcomes of claims were not recorded; repeats will be told unknown.")
        await self._claims.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _build_outer_edges(self) -> None:
        settings = self._settings
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        # A connection that is used twice may break under the second call, and then nobody knows
        # whether it ran; so calls to plain services get connections of their own.
        self._service_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True), auto_decompress=False
        )
        self._store = EtcdStore(
            endpoints=settings.store.endpoints,
            timeout_ms=settings.store.timeout_ms,
            clock=self._clock,
        )
        self._follower = Follower(
            store=self._store, prefix=settings.store.prefix, clock=self._clock, random=self._rng
        )

    def _build_membership(self) -> None:
        settings = self._settings
        contexts = peer_ssl_contexts(tls=settings.tls)
        self._mesh = Mesh(
            host=self._host,
            failure_domain=FailureDomainId(settings.host.failure_domain),
            incarnation=self._incarnation,
            listen=settings.host.peers,
            clock=self._clock,
            rng=self._rng,
            heartbeat_source=self._heartbeat,
            server_ssl=contexts[0] if contexts else None,
            client_ssl=contexts[1] if contexts else None,
        )
        self._gate = UpstreamGate(
            clock=self._clock,
            rng=self._rng,
            broadcast=lambda message: self._mesh.broadcast(message=message),
        )
        self._host_list = HostListFollower(
            url=settings.host_list.url,
            interval_ms=settings.host_list.interval_ms,
            clock=self._clock,
        )
        self._engines = EngineClients(session=self._session, declarations=self._declarations)
        self._canceller = Canceller(client_of=self._engines.client_of, clock=self._clock)
        self._schedulers = HostSchedulers(rng=self._rng)
        self._router = PoolRouter(
            network=self._mesh,
            gate=self._gate,
            make_scheduler=self._schedulers.make,
            clock=self._clock,
            rng=self._rng,
            engine_clients=self._engines.client_of,
            observe_length=self._schedulers.learn,
        )
        self._control = EngineControl(
            store=self._store,
            prefix=settings.store.prefix,
            host=self._host,
            incarnation=self._incarnation,
            clock=self._clock,
            rng=self._rng,
            declarations=self._follower.in_force,
            owned=lambda: self._router.owned,
            client_of=self._engines.client_of,
        )
        self._keys = KeyChecker()
        self._limits = HostLimits(clock=self._clock)
        self._glue = PeerGlue(
            mesh=self._mesh,
            gate=self._gate,
            follower=self._follower,
            host_list=self._host_list,
            router=self._router,
            schedulers=self._schedulers,
            canceller=self._canceller,
            keys=self._keys,
            limits=self._limits,
            seeds=tuple(settings.host_list.seeds),
            clock=self._clock,
        )

    def _build_dispatch(self) -> None:
        notes = GateNotes(gate=self._gate)
        retries = RetryBudget(reserve=RETRY_RESERVE)
        self._quarantine = Quarantine(
            store=self._store,
            prefix=self._settings.store.prefix,
            host=self._host,
            clock=self._clock,
            rng=self._rng,
        )
        self._crashes = QuarantineWatch(
            quarantine=self._quarantine,
            mesh=self._mesh,
            declarations=self._declarations,
            clock=self._clock,
        )
        self._meter = UsageMeter(
            clock=self._clock, objective=lambda: self._declarations().objective
        )
        self._claims = Claims(
            store=self._store,
            prefix=self._settings.store.prefix,
            host=self._host,
            incarnation=self._incarnation,
            clock=self._clock,
            rng=self._rng,
            is_live=self._glue.is_live,
        )
        self._dispatch = DispatchContext(
            router=self._router,
            client_of=self._engines.client_of,
            observer=notes,
            crash_watch=self._crashes,
            retries=retries,
            canceller=self._canceller,
            meter=self._meter,
            clock=self._clock,
            rng=self._rng,
        )
        self._services = ServiceDispatch(
            dependencies=ServiceDependencies(
                client=HttpServiceClient(session=self._service_session),
                claims=self._claims,
                notes=notes,
                is_open=self._gate.is_open,
                retries=retries,
                clock=self._clock,
                rng=self._rng,
            )
        )

    def _entry(self) -> Entry:
        key = cursor_key(settings=self._settings)
        fingerprint_key = blake2b(b"fingerprint", key=key).digest()[:FINGERPRINT_KEY_BYTES]
        completions = Completions(
            parts=CompletionParts(
                host=self._host,
                cursor_key=key,
                checker=RequestChecker(fingerprint_key=fingerprint_key, rng=self._rng),
                dispatch=self._dispatch,
                declarations=self._declarations,
                limits=self._limits,
                attached=self._tell_attached,
            )
        )
        registry = CollectorRegistry()
        registry.register(HostCollector(meter=self._meter, gauges=self._gauges))
        return Entry(
            parts=EntryParts(
                keys=self._keys,
                admission=self._door,
                account_limits=self._limits,
                completions=completions,
                services=self._services,
                declarations=self._declarations,
                status=self._status,
                usage=lambda: msgspec.json.encode(self._meter.usage()),
                registry=registry,
                limits=self._settings.limits,
            )
        )

    async def _serve_callers(self) -> str:
        limits = self._settings.limits
        self._runner = web.AppRunner(
            self._entry().application(),
            handler_cancellation=True,
            access_log=None,
            max_field_size=limits.header_bytes,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        address, _, port = self._settings.host.callers.rpartition(":")
        site = web.TCPSite(
            self._runner,
            address.strip("[]"),
            int(port),
            ssl_context=callers_ssl_context(tls=self._settings.tls),
        )
        await site.start()
        bound = self._runner.addresses[0]
        return f"{address}:{bound[1]}"

    def _declarations(self) -> Declarations:
        return self._follower.declarations

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            revision=self._follower.head_revision,
            leaving=self._leaving,
            usage=self._limits.usage(),
        )

    def _tell_attached(self, host: HostId, attempt: AttemptId) -> None:
        if host != self._host:
            self._mesh.send(host=host, message=Attached(attempt=attempt))

    def _gauges(self) -> HostGauges:
        status = self._status()
        counters = self._mesh.counters
        return HostGauges(
            running=status.running,
            revision=status.revision,
            live_hosts=len(status.live_hosts),
            closed_upstreams=len(status.closed_upstreams),
            peer_sent_bytes=counters.sent_bytes,
            peer_received_bytes=counters.received_bytes,
        )

    def _status(self) -> HostStatus:
        declarations = self._declarations()
        return HostStatus(
            host=self._host,
            incarnation=self._incarnation,
            revision=declarations.revision,
            digest=declarations.digest,
            ready=bool(self._follower.ready.value) and declarations.revision > 0,
            leaving=self._leaving,
            running=self._door.running,
            live_hosts=[peer.host for peer in self._mesh.live.value],
            closed_upstreams=[
                name for name in declarations.engines if not self._gate.is_open(name)
            ],
        )
