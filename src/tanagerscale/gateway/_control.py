"""Control plane of a host: cluster state, placement decisions and messages to other hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random
from typing import Final
from typing import final

from tanagerscale.coordination import AnnouncementRelay
from tanagerscale.coordination import CoordinationClient
from tanagerscale.coordination import Coordinator
from tanagerscale.coordination import DecisionContext
from tanagerscale.coordination import Directory
from tanagerscale.coordination import FeedListener
from tanagerscale.coordination import LimitReports
from tanagerscale.coordination import ListFeed
from tanagerscale.coordination import StoreSourceSelector
from tanagerscale.coordination import UpstreamHealth
from tanagerscale.coordination import distance
from tanagerscale.coordination import heartbeat_interval_ms
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import ServiceId
from tanagerscale.core import TaskMonitor
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding import LocalWorkload
from tanagerscale.forwarding import MoveResult
from tanagerscale.gateway._configuration import ConfigurationManager
from tanagerscale.gateway._peer_messages import MessageReceivers
from tanagerscale.gateway._peer_messages import PeerMessageRouter
from tanagerscale.gateway._platform import Platform
from tanagerscale.gateway._presence import make_presence
from tanagerscale.gateway._shared_limits import make_rate_limits
from tanagerscale.gateway._shared_limits import make_retry_budgets
from tanagerscale.gateway._store_followers import StoreFollowers
from tanagerscale.gateway._upstream_reach import UpstreamReach
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.generated.messages import Delegate
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import ListTopic
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.membership import Evacuations
from tanagerscale.membership import HeadReplicator
from tanagerscale.membership import Mesh
from tanagerscale.membership import Message
from tanagerscale.membership import Transport
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import UpstreamRoster
from tanagerscale.quarantine import SuspectTracker
from tanagerscale.routes import RouteTable
from tanagerscale.upstreams import NamedLimits
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamNotice
from tanagerscale.upstreams import UpstreamPaths
from tanagerscale.upstreams import UpstreamPauses

WATCH_GRACE_MS: Final = 150
"""How long a host notified of a newer configuration waits for its own watch to deliver it."""

HEAD_REQUEST_CHECK_INTERVAL_MS: Final = 1000
"""How often a host checks whether a peer that it asked for a configuration has failed to answer.
Each heartbeat from a peer with a newer configuration triggers the same check."""

_log = get_logger(part="host")


@final
class HostControl:
    """Tracks hosts, upstreams and the configuration, and requests placements from coordinators.

    :param settings: The host's validated settings.
    :param platform: Adapters to the platform.
    :param work: The runs that this host has on engines.
    :param execute_order: Copies or moves one of this host's runs.
    :param is_leaving: Returns whether the host is shutting down gracefully.
    :param clock: Clock for timeouts and intervals.
    :param rng: Random number generator for jitter and tie-breaking.
    :param transport: Carries messages instead of WebSockets; set by tests.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        platform: Platform,
        work: LocalWorkload,
        execute_order: Callable[[MoveOrder], Awaitable[MoveResult]],
        is_leaving: Callable[[], bool],
        clock: Clock,
        rng: Random,
        transport: Transport | None = None,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._work = work
        self._is_leaving = is_leaving
        self._clock = clock
        self._rng = rng
        self._host = HostId(settings.host.id)
        self._domain = FailureDomainId(settings.host.failure_domain)
        self._tasks: list[asyncio.Task[None]] = []
        self.monitor = TaskMonitor(clock=clock)
        self.incarnation = clock.wall()
        self.directory = Directory(
            host=self._host,
            seeds=settings.host.seeds,
            is_cut_off=lambda: self.paths.is_cut_off,
            clock=clock,
        )
        self.configuration = ConfigurationManager(decode=platform.decode_configuration)
        self.suspects = SuspectTracker(clock=clock)
        self.health = UpstreamHealth(
            service_of=self._service_of,
            can_eject=lambda: self.directory.is_first,
            is_doubtful=lambda: self.paths.is_doubtful,
            clock=clock,
        )
        self.mesh = self._make_mesh(transport)
        self._relay = AnnouncementRelay(network=self.mesh, directory=self.directory, clock=clock)
        self.gate = UpstreamGate(clock=clock, rng=rng, broadcast=self._relay.announce)
        self.evacuations = Evacuations(
            parse_evacuated_domain=platform.parse_evacuated_domain, clock=clock
        )
        self.roster = UpstreamRoster(
            gate=self.gate,
            evacuations=self.evacuations,
            decode=platform.decode_entry,
            parse_upstream_name=platform.parse_upstream_name,
            clock=clock,
        )
        self.paths = UpstreamPaths(
            probe=lambda entry, force_new: platform.upstreams.probe(
                upstream=entry, force_new=force_new
            ),
            known=self._expected_upstreams,
            clock=clock,
            rng=rng,
        )
        self.pauses = UpstreamPauses(clock=clock)
        self.named_limits = NamedLimits(clock=clock)
        self.feed = self._make_feed(ListTopic.UPSTREAMS, self.roster)
        self.evacuations_feed = self._make_feed(ListTopic.EVACUATIONS, self.evacuations)
        self._head_replicator = self._make_head_replicator()
        self._presence = make_presence(
            settings=settings,
            store=platform.store,
            incarnation=self.incarnation,
            directory=self.directory,
            on_availability=self._on_store_availability,
            clock=clock,
            rng=rng,
        )
        self.rate_limits = make_rate_limits(
            host=self._host,
            configuration=self.configuration,
            roster=self.roster,
            named_limits=self.named_limits,
            share=self._share_of_hosts,
            clock=clock,
        )
        self.limit_reports = LimitReports(
            directory=self.directory,
            named=self.named_limits,
            send=self._send,
            broadcast=lambda message: self.mesh.broadcast(message=message),
            clock=clock,
        )
        self.store_followers = self._make_store_followers()
        self.store_source = self._make_store_source()
        self.retry_budgets = make_retry_budgets(
            settings=settings.retries,
            directory=self.directory,
            configuration=self.configuration,
            share=self._share_of_hosts,
            clock=clock,
        )
        self.reach = UpstreamReach(
            own=Delegate(
                host=self._host,
                address=settings.host.delegates,
                failure_domain=self._domain,
            ),
            paths=self.paths,
            known=self._expected_upstreams,
            client=platform.upstreams,
            gate=self.gate,
            health=self.health,
            directory=self.directory,
            mesh=self.mesh,
            is_leaving=is_leaving,
            suspects=self.suspects,
            clock=clock,
            rng=rng,
        )
        self.coordinator = self._make_coordinator()
        self.client = CoordinationClient(
            host=self._host,
            directory=self.directory,
            send=self._send,
            uses=work.uses,
            paused=lambda: self.pauses.paused,
            refused=work.refused.refused,
            returned=work.refused.returned,
            incarnation=self.incarnation,
            max_request_age_ms=lambda: self.retry_budgets.max_request_age_ms,
            clock=clock,
        )
        self._messages = self._make_message_router(execute_order)

    async def start(self) -> None:
        """Connect to the other hosts and start following the store."""
        await self.mesh.start()
        self._messages.start()
        self._head_replicator.start()
        self._subscribe()
        self._tasks = [
            self.monitor.start(self._presence.run, name="presence"),
            self.monitor.start(self.coordinator.poll_engines, name="engine-polls"),
        ]
        self.mesh.set_peers(self.directory.targets())
        self.store_source.reevaluate()

    async def stop(self) -> None:
        """Cancel all tasks and close the connections to other hosts."""
        self._messages.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.paths.stop()
        await self.reach.crash_reports.stop()
        await self.store_source.stop()
        await self._head_replicator.stop()
        await self.mesh.stop()

    async def withdraw(self) -> None:
        """Remove the host's entry from the store, so that other hosts drop it immediately."""
        await self._presence.withdraw()

    def _make_mesh(self, transport: Transport | None) -> Mesh:
        return Mesh(
            host=self._host,
            failure_domain=self._domain,
            incarnation=self.incarnation,
            listen=self._settings.host.peers,
            clock=self._clock,
            rng=self._rng,
            heartbeat_source=self._heartbeat,
            # All other hosts connect to a coordinator, whichever of the two has dialed.
            closes_unwanted=lambda: not self.directory.is_coordinator,
            heartbeat_interval_ms=lambda _: heartbeat_interval_ms(
                hosts=self.directory.hosts, is_coordinator=self.directory.is_coordinator
            ),
            transport=transport,
            delegate_address=self._settings.host.delegates,
            account=self._platform.account,
        )

    def _make_feed(self, topic: ListTopic, listener: FeedListener) -> ListFeed:
        return ListFeed(topic=topic, listener=listener, send=self._send, clock=self._clock)

    def _make_head_replicator(self) -> HeadReplicator:
        return HeadReplicator(
            network=self.mesh,
            follower=self.configuration,
            clock=self._clock,
            request_delay_ms=lambda: WATCH_GRACE_MS if self.store_source.follows_store else 0,
            order_key=lambda host: distance(self._host, host),
            check_interval_ms=HEAD_REQUEST_CHECK_INTERVAL_MS,
            broadcast=self._relay.announce,
        )

    def _make_store_followers(self) -> StoreFollowers:
        return StoreFollowers(
            platform=self._platform,
            deadlines=self._settings.deadlines,
            configuration=self.configuration,
            evacuations=self.evacuations_feed,
            feed=self.feed,
            presence=self._presence,
            monitor=self.monitor,
            clock=self._clock,
            rng=self._rng,
        )

    def _make_store_source(self) -> StoreSourceSelector:
        return StoreSourceSelector(
            host=self._host,
            directory=self.directory,
            feeds=self.feeds,
            loops=self.store_followers.loops,
            is_store_available=self.store_followers.is_store_available,
            clock=self._clock,
            rng=self._rng,
        )

    @property
    def feeds(self) -> tuple[ListFeed, ...]:
        """The entries of the store that hosts tell each other."""
        return (self.feed, self.evacuations_feed)

    def _share_of_hosts(self) -> float:
        """Return the fraction of all hosts whose requests this host places, between 0 and 1."""
        deciding = self.coordinator.ledger.count_hosts(self._host)
        return min(max(deciding, 1) / self.directory.hosts, 1.0)

    def _make_coordinator(self) -> Coordinator:
        context = DecisionContext(
            tables=self.configuration,
            upstreams=self.roster,
            gate=self.gate,
            health=self.health,
            rate_limits=self.rate_limits,
            clock=self._clock,
            rng=self._rng,
        )
        return Coordinator(
            host=self._host,
            domain=self._domain,
            context=context,
            retry_budgets=self.retry_budgets,
            delegates=self.reach.delegates,
            engines=self._platform.upstreams,
            pauses=self.pauses,
            send=self._send,
            is_stopping=lambda host: (
                self._is_leaving() if host == self._host else self.directory.is_stopping(host)
            ),
            refuse_by_forecast=self._settings.placement.refuse_by_forecast,
        )

    def _make_message_router(
        self, execute_order: Callable[[MoveOrder], Awaitable[MoveResult]]
    ) -> PeerMessageRouter:
        receivers = MessageReceivers(
            directory=self.directory,
            store_source=self.store_source,
            feeds=self.feeds,
            coordinator=self.coordinator,
            client=self.client,
            relay=self._relay,
            limit_reports=self.limit_reports,
            gate=self.gate,
            health=self.health,
            suspects=self.suspects,
        )
        return PeerMessageRouter(mesh=self.mesh, receivers=receivers, execute_order=execute_order)

    def _subscribe(self) -> None:
        """Subscribe components to each other's changes."""
        self.configuration.tables.subscribe(self._on_table)
        self.directory.changes.subscribe(lambda _: self._presence.on_coordinators_changed())
        self.directory.changes.subscribe(lambda _: self.client.on_coordinators_changed())
        self.gate.changes.subscribe(self.coordinator.on_upstreams)
        self.roster.changes.subscribe(self.coordinator.on_upstreams)
        self.evacuations.changes.subscribe(lambda _: self.coordinator.reevaluate())
        self.roster.is_current_changes.subscribe(self.coordinator.on_store_current_changed)
        self._work.changes.subscribe(lambda _: self.client.schedule_report())
        self.pauses.changes.subscribe(lambda _: self.client.schedule_report())
        self._platform.upstreams.notices.subscribe(self._on_notice)
        self._platform.upstreams.notices.subscribe(self.pauses.on_notice)
        self.reach.start()
        self.named_limits.heard.subscribe(self.limit_reports.on_heard)
        self.named_limits.changes.subscribe(self._on_limit)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            revision=self.configuration.head_revision,
            leaving=self._is_leaving(),
            store_lost=self._presence.store_lost,
            cut_off=self.paths.is_cut_off,
            listed=self.feed.revision,
            evacuations=self.evacuations_feed.revision,
        )

    def _send(self, host: HostId, message: Message) -> bool:
        return self._messages.send(host, message)

    def _on_notice(self, notice: UpstreamNotice) -> None:
        if notice.is_leaving:
            self.gate.record_own_notice(upstream=notice.upstream)

    def _on_limit(self, upstream: UpstreamId) -> None:
        self.limit_reports.on_change(upstream)
        self.coordinator.reevaluate()

    def _on_table(self, table: RouteTable | None) -> None:
        if table is not None:
            self._head_replicator.announce(revision=table.version, digest="")

    def _on_store_availability(self, is_answered: bool) -> None:
        _log.info(
            "Calls to the store succeed again." if is_answered else "Calls to the store fail."
        )
        self.feed.on_calls(answered=is_answered)
        self.store_source.on_own_store(is_lost=not is_answered)
        if self.directory.is_coordinator:
            self.mesh.send_heartbeat()

    def _expected_upstreams(self) -> list[UpstreamEntry]:
        """Return the upstreams that are expected to answer this host."""
        table = self.configuration.table
        services = () if table is None else table.services
        return [entry for one in services for entry in self.roster.not_leaving(one.name)]

    def _service_of(self, upstream: UpstreamId) -> ServiceId | None:
        entry = self.roster.get(upstream)
        return None if entry is None else entry.service
