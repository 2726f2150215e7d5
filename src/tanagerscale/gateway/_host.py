"""Composition root of a host that forwards requests by route."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from functools import partial
import random
import secrets
from typing import Any
from typing import Final
from typing import final

from aiohttp import web
from prometheus_client import CollectorRegistry

from tanagerscale.core import Clock
from tanagerscale.core import FailedStartCollector
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import ServiceId
from tanagerscale.core import UnexpectedErrorCollector
from tanagerscale.core import get_logger
from tanagerscale.core import get_stop_signal_time
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import DelegateSelector
from tanagerscale.forwarding import Dispatcher
from tanagerscale.forwarding import LocalWorkload
from tanagerscale.forwarding import ShutdownSchedule
from tanagerscale.forwarding import StreamMover
from tanagerscale.gateway._caller_server import CallerServer
from tanagerscale.gateway._caller_server import serve_readiness
from tanagerscale.gateway._control import HostControl
from tanagerscale.gateway._delegate_client import HttpDelegateClient
from tanagerscale.gateway._delegate_server import DelegateServer
from tanagerscale.gateway._exchange_metrics import ExchangeCollector
from tanagerscale.gateway._forwarding import make_forwarding_context
from tanagerscale.gateway._gated_server import GatedServer
from tanagerscale.gateway._graceful_shutdown import drain_requests
from tanagerscale.gateway._host_limits import make_host_limits
from tanagerscale.gateway._input_context import InputContext
from tanagerscale.gateway._input_refusals import InputRefusals
from tanagerscale.gateway._input_turns import InputTurns
from tanagerscale.gateway._listener import open_when_free
from tanagerscale.gateway._metrics import serve_metrics
from tanagerscale.gateway._platform import DEFAULT_HEADER_BYTES
from tanagerscale.gateway._platform import CallerRules
from tanagerscale.gateway._platform import Platform
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.routes import AllowedRegions
from tanagerscale.routes import CallerLimits
from tanagerscale.settings import get_regions_by_domain

IDLE_CHECK_INTERVAL_MS: Final = 1000
"""How often idle connections are checked; idle timeouts are configured in seconds."""

METRICS_OPEN_INTERVAL_MS: Final = 1000
"""How often the port of the metrics is tried while it is taken, which may last."""

DEFAULT_CALLER_LIMITS: Final = CallerLimits(
    header_bytes=DEFAULT_HEADER_BYTES,
    body_bytes=4_194_304,
    header_timeout_ms=3000,
    idle_timeout_ms=15_000,
)
"""Limits that apply until a configuration is known; callers only get refusals until then."""

_log = get_logger(part="host")


@final
class GatewayHost:
    """A gateway host with all its components.

    :param settings: The host's validated settings.
    :param platform: Adapters to the platform.
    :param clock: Clock shared by all components.
    :param count_dropped_lines: Returns how many lines the log has dropped.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        platform: Platform,
        clock: Clock,
        count_dropped_lines: Callable[[], int] = int,
    ) -> None:
        self._count_dropped_lines = count_dropped_lines
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._rng = random.Random(secrets.randbits(64))
        self._shutdown = ShutdownSchedule(clock=clock)
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.ServerRunner] = []
        self._registry = CollectorRegistry()
        self._registry.register(ExchangeCollector(log=platform.exchange_log))
        self._registry.register(UnexpectedErrorCollector())
        self._registry.register(FailedStartCollector())
        self._work = LocalWorkload(clock=clock)
        self._control = HostControl(
            settings=settings,
            platform=platform,
            work=self._work,
            execute_order=lambda order: self._stream_mover.execute_order(order),
            is_leaving=lambda: self._shutdown.has_begun,
            clock=clock,
            rng=self._rng,
        )
        self._host_limits = make_host_limits(
            settings=settings.host,
            clock=clock,
            rng=self._rng,
            registry=self._registry,
            count_peers=lambda: (
                len(self._control.mesh.live.value) + self._delegate_server.connections
            ),
            account=platform.account,
        )
        self._input_context = InputContext(
            refusals=InputRefusals(clock=clock, registry=self._registry), turns=InputTurns()
        )
        self._delegate_client = HttpDelegateClient(
            clock=clock, log=platform.exchange_log, account=platform.account
        )
        self._dispatcher = self._make_dispatcher()
        self._delegate_server = DelegateServer(
            serve=partial(self._dispatcher.serve, is_delegated=True),
            can_help=lambda: self._control.reach.can_help and self._host_limits.is_ready,
            clock=clock,
            limits=self._host_limits,
            context=self._input_context,
        )

    async def start(self) -> None:
        """Start all servers and background tasks."""
        settings = self._settings
        readiness = settings.host.readiness
        if settings.host.metrics:
            self._spawn(self._serve_metrics, name="metrics")
        self._runners.append(
            await open_when_free(
                lambda: serve_readiness(
                    is_ready=lambda: self.ready,
                    address=readiness,
                    clock=self._clock,
                    context=self._input_context,
                ),
                part="readiness",
                address=readiness,
            )
        )
        rules = CallerRules(
            body_bytes=lambda: self._limits.body_bytes,
            header_timeout_ms=lambda: self._limits.header_timeout_ms,
            idle_timeout_ms=lambda: self._limits.idle_timeout_ms,
            header_bytes=lambda: self._limits.header_bytes,
        )
        self._server = CallerServer(
            serve=self._dispatcher.serve,
            codec=self._platform.callers,
            rules=rules,
            clock=self._clock,
            limits=self._host_limits,
            count_cut=self._dispatcher.count_cut,
            context=self._input_context,
            is_allowed=self._dispatcher.is_allowed,
        )
        await self._server.start(address=settings.host.callers)
        if settings.host.delegates:
            await self._delegate_server.start(address=settings.host.delegates)
        await open_when_free(self._control.start, part="peers", address=settings.host.peers)
        self._control.gate.changes.subscribe(self._stream_mover.on_upstreams)
        self._control.roster.replaced.subscribe(
            lambda replaced: self._platform.upstreams.forget(upstream=replaced)
        )
        self._spawn(self._close_idle_connections, name="idle-connections")
        self._spawn(self._host_limits.run, name="host-limits")
        _log.info(
            "The host starts.",
            incarnation=self._control.incarnation,
            failure_domain=settings.host.failure_domain,
            callers=settings.host.callers,
        )

    async def _serve_metrics(self) -> None:
        """Serve metrics as soon as their port is free; nothing else depends on them."""
        address = self._settings.host.metrics
        try:
            runner = await open_when_free(
                lambda: serve_metrics(
                    registry=self._registry,
                    address=address,
                    clock=self._clock,
                    context=self._input_context,
                ),
                part="metrics",
                address=address,
                interval_ms=METRICS_OPEN_INTERVAL_MS,
            )
        # Metrics are optional, whatever keeps them from being served.
        except Exception as error:
            _log.error("The host runs without metrics.", reason=repr(error))
            return
        self._runners.append(runner)

    def reload(self, *, settings: GatewaySettings) -> None:
        """Apply changed settings, as far as a running host can.

        :param settings: The validated settings; changed addresses take effect after a restart.
        """
        old = self._settings
        retries = settings.retries
        if retries != old.retries:
            self._control.retry_budgets.reconfigure(
                ratio=retries.ratio, slack=retries.slack, window_s=retries.window_s
            )
        self._settings = settings
        _log.info(
            "Settings were reloaded.",
            changed=[
                name
                for name in ("host", "store", "retries", "deadlines", "logs", "placement")
                if getattr(old, name) != getattr(settings, name)
            ],
            need_restart=(old.host, old.store, old.placement)
            != (settings.host, settings.store, settings.placement),
        )

    async def abort(self) -> None:
        """Stop immediately, without waiting for running requests."""
        await self._shut_down()

    async def stop(self) -> None:
        """Shut down gracefully: accept no new work, then wait for running requests to finish."""
        grace_s = self._settings.host.stop_grace_s
        self._shutdown.begin(grace_s=grace_s, signalled=get_stop_signal_time())
        self._server.begin_shutdown()
        self._announce_shutdown()
        self._spawn(self._control.withdraw, name="withdrawal")
        _log.info(
            "The host stops.",
            running=self._dispatcher.running,
            after_ms=self._shutdown.elapsed_ms,
        )
        await drain_requests(
            servers=(self._server, self._delegate_server),
            schedule=self._shutdown,
            end_unfinishable=self._dispatcher.end_unfinishable,
            sleep=self._clock.sleep,
        )
        running = self._dispatcher.list_running()
        log = _log.warning if running else _log.info
        log(
            "The host ends.",
            running=self._dispatcher.running,
            requests=running,
            after_ms=self._shutdown.elapsed_ms,
        )
        await self._shut_down()
        dropped_lines = self._count_dropped_lines()
        log = _log.warning if dropped_lines else _log.info
        log(
            "The host has ended.",
            after_ms=self._shutdown.elapsed_ms,
            dropped_lines=dropped_lines,
        )

    def _announce_shutdown(self) -> None:
        try:
            self._control.mesh.send_heartbeat()
        except Exception:
            # Other hosts notice the end of this one anyway; its callers wait for their responses.
            _log.exception("The other hosts are not told that this host stops.")

    async def _shut_down(self) -> None:
        # Callers and other hosts wait for these; the process may be killed while the rest ends.
        await self._server.close()
        await self._delegate_server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._control.stop()
        self._delegate_client.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._platform.close()

    @property
    def ready(self) -> bool:
        """Whether the host accepts new connections.

        A host that starts while the store is unavailable gets the configuration from peers but has
        no upstreams. It would refuse callers that other hosts can serve immediately. A host one of
        whose background tasks has ended may believe what no longer holds.
        """
        return (
            not self._shutdown.has_begun
            and self._control.configuration.table is not None
            and self._control.roster.has_read
            and self._control.evacuations.has_read
            and self._host_limits.is_ready
            and not self._control.monitor.ended
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 until one is known."""
        return self._control.configuration.head_revision

    @property
    def peers(self) -> list[HostId]:
        """The hosts that this host is connected to."""
        return [peer.host for peer in self._control.mesh.live.value]

    @property
    def known_hosts(self) -> int:
        """Number of hosts that share the retry budgets, including unreachable ones."""
        return self._control.directory.hosts

    @property
    def known_upstreams(self) -> int:
        """Number of listed upstreams."""
        return self._control.roster.known_count

    @property
    def known_runs(self) -> int:
        """Number of generations known to run or wait on engines, including those of other hosts."""
        totals = self._control.coordinator.ledger.totals().values()
        return sum(total.running + total.waiting for total in totals)

    @property
    def decider(self) -> HostId:
        """The host that places this host's generations."""
        return self._control.directory.decider

    def count_open_upstreams(self, service: str) -> int:
        """Return how many upstreams of a service accept work."""
        return len(self._control.roster.open_for(ServiceId(service)))

    @property
    def _limits(self) -> CallerLimits:
        table = self._control.configuration.table
        return DEFAULT_CALLER_LIMITS if table is None else table.limits

    def _make_dispatcher(self) -> Dispatcher:
        control = self._control
        context = make_forwarding_context(
            control=control,
            upstreams=self._platform.upstreams,
            work=self._work,
            registry=self._registry,
            failure_domain=FailureDomainId(self._settings.host.failure_domain),
            clock=self._clock,
            rng=self._rng,
            has_bounded_buffers=self._host_limits.has_byte_limit,
            account=self._platform.account,
        )
        self._stream_mover = StreamMover(
            context=context,
            check_decider=control.client.check_decider,
            query_engine=control.coordinator.query_engine,
            shutdown=self._shutdown,
        )
        return Dispatcher(
            context=context,
            admission=Admission(context=context, placer=control.client),
            stream_mover=self._stream_mover,
            allowed_regions=AllowedRegions(regions=get_regions_by_domain(self._settings)),
            shutdown=self._shutdown,
            delegates=DelegateSelector(
                find=control.client.get_delegates,
                failure_domain=FailureDomainId(self._settings.host.failure_domain),
                clock=self._clock,
                rng=self._rng,
            ),
            delegate_client=self._delegate_client,
        )

    async def _close_idle_connections(self) -> None:
        while True:
            await self._clock.sleep(IDLE_CHECK_INTERVAL_MS)
            self._server.close_idle(interval_ms=IDLE_CHECK_INTERVAL_MS)
            self._delegate_server.close_idle(interval_ms=IDLE_CHECK_INTERVAL_MS)
            for runner in self._runners:
                if isinstance(runner.server, GatedServer):
                    runner.server.close_idle(interval_ms=IDLE_CHECK_INTERVAL_MS)

    def _spawn(self, run: Callable[[], Coroutine[Any, Any, None]], *, name: str) -> None:
        self._tasks.append(self._control.monitor.start(run, name=name))
