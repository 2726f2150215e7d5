"""A host that reaches no other, so that it decides for itself."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field

from tanagerscale.coordination import CoordinationClient
from tanagerscale.coordination import Coordinator
from tanagerscale.coordination import DecisionParts
from tanagerscale.coordination import Directory
from tanagerscale.coordination import EngineReports
from tanagerscale.coordination import RepeatAllowance
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import LocalWorkload
from tanagerscale.forwarding import StreamMover
from tanagerscale.generated.messages import MoveDone
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.membership import Message

HOST = HostId("host")
DOMAIN = FailureDomainId("a")


@dataclass(slots=True, eq=False)
class HostAlone:
    """What of a host decides, without a mesh."""

    work: LocalWorkload
    coordinator: Coordinator
    client: CoordinationClient
    movers: StreamMover | None = None
    orders: list[MoveOrder] = field(default_factory=list)
    """Orders given so far."""
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def tell(self, host: HostId, message: Message) -> bool:
        """Send a message to this host; no other one can be reached."""
        if host != HOST:
            return False
        if isinstance(message, MoveOrder):
            self.orders.append(message)
            self._begin(message)
        self.coordinator.on_message(host, message)
        self.client.on_message(host, message)
        return True

    def on_leaving(self, upstream: UpstreamId) -> None:
        """Take in that an upstream leaves."""
        self.coordinator.on_upstreams(upstream)
        if self.movers is not None:
            self.movers.on_upstreams(upstream)

    def _begin(self, order: MoveOrder) -> None:
        task = asyncio.create_task(self._carry_out(order))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _carry_out(self, order: MoveOrder) -> None:
        is_done = False if self.movers is None else await self.movers.carry_out(order)
        self.client.report_now()
        self.tell(HOST, MoveDone(number=order.number, is_done=is_done))


def make_host_alone(
    *, parts: DecisionParts, engines: EngineReports, work: LocalWorkload
) -> HostAlone:
    """Return a host that decides for itself.

    :param parts: What it goes by.
    :param engines: Asks engines how they are.
    :param work: What it runs.
    """
    made: list[HostAlone] = []

    def tell(host: HostId, message: Message) -> bool:
        return made[0].tell(host, message)

    repeats = RepeatAllowance(
        ratio=0.2,
        slack=100.0,
        window_s=10.0,
        share=lambda: 1.0,
        since=lambda: Millis(0),
        clock=parts.clock,
    )
    coordinator = Coordinator(
        host=HOST, domain=DOMAIN, parts=parts, repeats=repeats, engines=engines, tell=tell
    )
    client = CoordinationClient(
        host=HOST,
        directory=Directory(host=HOST, seeds=(), clock=parts.clock),
        tell=tell,
        uses=work.uses,
        incarnation=1,
        clock=parts.clock,
    )
    made.append(HostAlone(work=work, coordinator=coordinator, client=client))
    work.changes.subscribe(lambda _: client.report_soon())
    return made[0]
