"""Composition root: builds the components of a host and stops them in order."""

from __future__ import annotations

import asyncio
from hashlib import blake2b
import random
import secrets
from typing import final

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
from tanagerscale.core import TaskMonitor
from tanagerscale.core import UnexpectedErrorCollector
from tanagerscale.core import get_logger
from tanagerscale.daemon._adapters import EngineClients
from tanagerscale.daemon._adapters import GateHealthRecorder
from tanagerscale.daemon._admission import RequestAdmission
from tanagerscale.daemon._cell_controllers import CellControllers
from tanagerscale.daemon._limits import HostAccountLimits
from tanagerscale.daemon._peers import PeerEventHandler
from tanagerscale.daemon._quarantine_adapter import QuarantineAdapter
from tanagerscale.daemon._scheduling import HostSchedulers
from tanagerscale.daemon._secrets import load_cursor_key
from tanagerscale.daemon._secrets import make_callers_ssl_context
from tanagerscale.declarations import Declarations
from tanagerscale.declarations import Follower
from tanagerscale.dispatch import Canceller
from tanagerscale.dispatch import DispatchContext
from tanagerscale.dispatch import EngineReachability
from tanagerscale.entry import CallerApi
from tanagerscale.entry import CallerApiContext
from tanagerscale.entry import CompletionContext
from tanagerscale.entry import CompletionHandlers
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
from tanagerscale.services import ServiceContext
from tanagerscale.services import ServiceDispatch
from tanagerscale.store import EtcdStore
from tanagerscale.upstreams import HttpServiceClient
from tanagerscale.upstreams import make_single_use_session
from tanagerscale.usage import HostCollector
from tanagerscale.usage import HostGauges
from tanagerscale.usage import UsageMeter

SHUTDOWN_TIMEOUT_S = 0.5
"""Time to flush the remaining bytes of responses, after the grace period of a shutdown."""
CLAIMS_DRAIN_TIMEOUT_S = 10.0
"""Maximum time a graceful shutdown waits for claim outcomes to be written to the store."""
FINGERPRINT_KEY_BYTES = 32
RETRY_RESERVE = 128.0
"""Size of the retry reserve: the number of runs that one host can retry when engines fail together,
so that their callers still get complete answers. Over time, retries are limited to a tenth of the
work.

Two engines with batches of 64 that fail together cause 128 retries on one host. With a reserve of
32, 81 of those callers were rejected, with 128 none; see ``tools/bench_recovery.py``.
"""

_log = get_logger(part="daemon")


class BoundAddresses(Struct, frozen=True, kw_only=True):
    """Addresses on which a host listens.

    :param callers: IP address and port for callers.
    :param peers: IP address and port for the other hosts.
    """

    callers: str
    peers: str


@final
class HostProcess:
    """One host with all its components.

    :param settings: Validated settings of the host.
    """

    def __init__(self, *, settings: HostSettings) -> None:
        self._settings = settings
        self._clock = Clock()
        self._rng = random.Random(secrets.randbits(64))
        self._host = HostId(settings.host.id)
        self._incarnation = self._clock.wall()
        self._leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._monitor = TaskMonitor(clock=self._clock)
        self._request_admission = RequestAdmission(
            limit=settings.limits.concurrent_requests, rng=self._rng
        )

    async def start(self) -> BoundAddresses:
        """Build all components and start serving.

        :returns: Addresses the host listens on, with the ports that were assigned.
        """
        settings = self._settings
        self._build_clients()
        self._build_membership()
        self._build_dispatch()
        self._peer_events.start()
        self._crash_adapter.start()
        self._router.start()
        peers = await self._mesh.start()
        self._host_list.start()
        self._tasks = [
            self._monitor.start(self._follower.run, name="declarations"),
            self._monitor.start(self._quarantine.load, name="quarantine"),
            self._monitor.start(self._controllers.run, name="cell-controllers"),
        ]
        callers = await self._serve_callers()
        _log.info("The host serves.", host=self._host, callers=callers, peers=peers)
        if settings.host_list.url == "":
            self._peer_events.connect_to_seeds()
        return BoundAddresses(callers=callers, peers=peers)

    async def stop(self) -> None:
        """Shut down gracefully: reject new requests, drain running ones, then stop everything."""
        self._leaving = True
        self._router.set_leaving(leaving=True)
        self._mesh.send_heartbeat()
        grace_s = self._settings.host.stop_grace_ms / MS_PER_SECOND
        try:
            await asyncio.wait_for(self._request_admission.wait_idle(), grace_s)
        except TimeoutError:
            _log.warning("Stop grace period exceeded; interrupting the remaining requests.")
            self._canceller.disable_delayed_cancellations()
        await self._controllers.stop()
        await self._services.drain()
        self._caller_api.interrupt()
        await self._runner.cleanup()
        await self._canceller.drain()
        await self._drain_claims()
        await self._quarantine.close()
        await self._router.stop()
        await self._peer_events.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._host_list.stop()
        await self._mesh.stop()
        await asyncio.gather(self._engines.close(), self._service_session.close())
        await self._store.close()

    async def _drain_claims(self) -> None:
        try:
            await asyncio.wait_for(self._claims.drain(), CLAIMS_DRAIN_TIMEOUT_S)
        except TimeoutError:
            _log.warning(
                "Timeout recording claim outcomes; repeated calls will get an unknown outcome."
            )
        await self._claims.close()

    def _build_clients(self) -> None:
        settings = self._settings
        self._service_session = make_single_use_session(auto_decompress=False)
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
            heartbeat_source=self._build_heartbeat,
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
        self._engines = EngineClients(declarations=self._declarations)
        self._canceller = Canceller(get_client=self._engines.get_client, clock=self._clock)
        self._schedulers = HostSchedulers(rng=self._rng)
        self._router = PoolRouter(
            network=self._mesh,
            gate=self._gate,
            make_scheduler=self._schedulers.make,
            clock=self._clock,
            rng=self._rng,
            get_client=self._engines.get_client,
            observe_length=self._schedulers.record_answer_length,
        )
        self._controllers = CellControllers(
            store=self._store,
            prefix=settings.store.prefix,
            host=self._host,
            incarnation=self._incarnation,
            clock=self._clock,
            rng=self._rng,
            declarations=self._follower.in_force,
            get_owned_cells=lambda: self._router.owned,
            get_client=self._engines.get_client,
        )
        self._keys = KeyChecker()
        self._limits = HostAccountLimits(clock=self._clock)
        self._peer_events = PeerEventHandler(
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
        health_recorder = GateHealthRecorder(gate=self._gate)
        retries = RetryBudget(reserve=RETRY_RESERVE)
        self._quarantine = Quarantine(
            store=self._store,
            prefix=self._settings.store.prefix,
            host=self._host,
            clock=self._clock,
            rng=self._rng,
        )
        self._crash_adapter = QuarantineAdapter(
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
            is_live=self._peer_events.is_live,
        )
        self._dispatch = DispatchContext(
            router=self._router,
            get_client=self._engines.get_client,
            reachability=EngineReachability(get_client=self._engines.get_client, clock=self._clock),
            observer=health_recorder,
            crash_watch=self._crash_adapter,
            retries=retries,
            canceller=self._canceller,
            meter=self._meter,
            clock=self._clock,
            rng=self._rng,
        )
        self._services = ServiceDispatch(
            context=ServiceContext(
                client=HttpServiceClient(session=self._service_session),
                claims=self._claims,
                observer=health_recorder,
                is_open=self._gate.is_open,
                retries=retries,
                clock=self._clock,
                rng=self._rng,
            )
        )

    def _build_caller_api(self) -> CallerApi:
        key = load_cursor_key(settings=self._settings)
        fingerprint_key = blake2b(b"fingerprint", key=key).digest()[:FINGERPRINT_KEY_BYTES]
        completions = CompletionHandlers(
            context=CompletionContext(
                host=self._host,
                cursor_key=key,
                checker=RequestChecker(fingerprint_key=fingerprint_key, rng=self._rng),
                dispatch=self._dispatch,
                declarations=self._declarations,
                limits=self._limits,
                notify_attached=self._send_attached,
            )
        )
        registry = CollectorRegistry()
        registry.register(HostCollector(meter=self._meter, gauges=self._build_gauges))
        registry.register(UnexpectedErrorCollector())
        return CallerApi(
            context=CallerApiContext(
                keys=self._keys,
                admission=self._request_admission,
                account_limits=self._limits,
                completions=completions,
                services=self._services,
                declarations=self._declarations,
                status=self._build_status,
                is_leaving=lambda: self._leaving,
                usage=lambda: msgspec.json.encode(self._meter.usage()),
                registry=registry,
                limits=self._settings.limits,
            )
        )

    async def _serve_callers(self) -> str:
        limits = self._settings.limits
        self._caller_api = self._build_caller_api()
        self._runner = web.AppRunner(
            self._caller_api.application(),
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
            ssl_context=make_callers_ssl_context(tls=self._settings.tls),
        )
        await site.start()
        bound = self._runner.addresses[0]
        return f"{address}:{bound[1]}"

    def _declarations(self) -> Declarations:
        return self._follower.declarations

    def _build_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            revision=self._follower.head_revision,
            leaving=self._leaving,
            usage=self._limits.usage(),
        )

    def _send_attached(self, host: HostId, attempt: AttemptId) -> None:
        if host != self._host:
            self._mesh.send(host=host, message=Attached(attempt=attempt))

    def _build_gauges(self) -> HostGauges:
        status = self._build_status()
        counters = self._mesh.counters
        return HostGauges(
            running=status.running,
            revision=status.revision,
            live_hosts=len(status.live_hosts),
            closed_upstreams=len(status.closed_upstreams),
            peer_sent_bytes=counters.sent_bytes,
            peer_received_bytes=counters.received_bytes,
        )

    def _build_status(self) -> HostStatus:
        declarations = self._declarations()
        return HostStatus(
            host=self._host,
            incarnation=self._incarnation,
            revision=declarations.revision,
            digest=declarations.digest,
            ready=bool(self._follower.ready.value)
            and declarations.revision > 0
            and not self._monitor.ended,
            leaving=self._leaving,
            running=self._request_admission.running,
            live_hosts=[peer.host for peer in self._mesh.live.value],
            closed_upstreams=[
                name for name in declarations.engines if not self._gate.is_open(name)
            ],
        )
