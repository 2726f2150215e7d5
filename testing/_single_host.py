"""A host that can reach no other host, so it decides for itself."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field

from tanagerscale.coordination import CoordinationClient
from tanagerscale.coordination import Coordinator
from tanagerscale.coordination import DecisionContext
from tanagerscale.coordination import DelegateList
from tanagerscale.coordination import Directory
from tanagerscale.coordination import EngineReports
from tanagerscale.coordination import SharedRetryBudgets
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import NOT_MOVED
from tanagerscale.forwarding import LocalWorkload
from tanagerscale.forwarding import StreamMover
from tanagerscale.generated.messages import Delegate
from tanagerscale.generated.messages import MoveDone
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.membership import Message
from tanagerscale.upstreams import UpstreamPauses

HOST = HostId("host")
DOMAIN = FailureDomainId("a")


@dataclass(slots=True, eq=False)
class SingleHost:
    """The decision-making parts of a host, without a mesh."""

    work: LocalWorkload
    coordinator: Coordinator
    client: CoordinationClient
    movers: StreamMover | None = None
    orders: list[MoveOrder] = field(default_factory=list)
    """Orders sent so far."""
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def deliver(self, host: HostId, message: Message) -> bool:
        """Deliver a message to this host; no other host can be reached."""
        if host != HOST:
            return False
        if isinstance(message, MoveOrder):
            self.orders.append(message)
            self._start_order(message)
        self.coordinator.on_message(host, message)
        self.client.on_message(host, message)
        return True

    def on_leaving(self, upstream: UpstreamId) -> None:
        """Handle a leaving upstream."""
        self.coordinator.on_upstreams(upstream)
        if self.movers is not None:
            self.movers.on_upstreams(upstream)

    def _start_order(self, order: MoveOrder) -> None:
        task = asyncio.create_task(self._execute(order))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _execute(self, order: MoveOrder) -> None:
        result = NOT_MOVED if self.movers is None else await self.movers.execute_order(order)
        self.client.report_now()
        done = MoveDone(number=order.number, is_done=result.is_done, has_stopped=result.has_stopped)
        self.deliver(HOST, done)


def make_single_host(
    *,
    context: DecisionContext,
    engines: EngineReports,
    pauses: UpstreamPauses,
    work: LocalWorkload,
) -> SingleHost:
    """Return a host that decides for itself.

    :param context: Inputs of decisions.
    :param engines: Source of engine status reports.
    :param pauses: Engines that asked for a pause.
    :param work: Runs of the host.
    """
    created: list[SingleHost] = []

    def deliver(host: HostId, message: Message) -> bool:
        return created[0].deliver(host, message)

    repeats = SharedRetryBudgets(
        ratio=0.2,
        slack=100.0,
        window_s=10.0,
        share=lambda: 1.0,
        since=lambda: Millis(-60_000),
        has_runs=lambda service: True,
        clock=context.clock,
    )
    coordinator = Coordinator(
        host=HOST,
        domain=DOMAIN,
        context=context,
        retry_budgets=repeats,
        delegates=DelegateList(
            own=Delegate(host=HOST, address="", failure_domain=DOMAIN),
            can_help=lambda: True,
            peers=lambda: (),
            rng=context.rng,
        ),
        engines=engines,
        pauses=pauses,
        send=deliver,
    )
    client = CoordinationClient(
        host=HOST,
        directory=Directory(host=HOST, seeds=(), clock=context.clock),
        send=deliver,
        uses=work.uses,
        paused=lambda: pauses.paused,
        incarnation=1,
        max_request_age_ms=lambda: 5000,
        clock=context.clock,
    )
    created.append(SingleHost(work=work, coordinator=coordinator, client=client))
    work.changes.subscribe(lambda _: client.schedule_report())
    pauses.changes.subscribe(lambda _: client.schedule_report())
    return created[0]
