"""Owner side of routing: answers entry hosts and polls the engines of owned cells."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import Ask
from tanagerscale.generated.messages import Finished
from tanagerscale.generated.messages import Grant
from tanagerscale.generated.messages import Progress
from tanagerscale.generated.messages import Running
from tanagerscale.generated.messages import RunningRequest
from tanagerscale.membership import Message
from tanagerscale.policy import EngineSpec
from tanagerscale.routing._cell_owners import CellOwners
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._owner import CellOwner
from tanagerscale.routing._ownership import Ownership
from tanagerscale.routing._poller import EnginePollers
from tanagerscale.routing._protocol import PoolScheduler
from tanagerscale.routing._protocol import UpstreamAvailability
from tanagerscale.upstreams import EngineClient


@final
class OwnedCells:
    """Places requests of any host that asks, whether or not this host owns the cell.

    Hosts may briefly disagree on which host owns a cell.

    :param ownership: Source of the cells and engines that this host owns.
    :param open_specs: Returns the engines of a cell that accept new work, or ``None`` when no such
        cell is declared.
    :param make_scheduler: Creates the scheduler of one cell.
    :param gate: Records which engines are reachable.
    :param clock: Clock of this host.
    :param send: Sends a message to an entry host.
    :param get_client: Returns the client that polls an engine; ``None`` disables polling.
    """

    def __init__(
        self,
        *,
        ownership: Ownership,
        open_specs: Callable[[CellId], Sequence[EngineSpec] | None],
        make_scheduler: Callable[[], PoolScheduler],
        gate: UpstreamAvailability,
        clock: Clock,
        send: Callable[[HostId, Grant | RunningRequest], None],
        get_client: Callable[[UpstreamId], EngineClient] | None,
    ) -> None:
        self._ownership = ownership
        self._cell_owners = CellOwners(
            make_scheduler=make_scheduler,
            get_specs=open_specs,
            is_retained=lambda cell: cell in ownership.owned,
            clock=clock,
            send=send,
        )
        self._pollers = EnginePollers(
            get_client=get_client, clock=clock, gate=gate, get_owner=self._get_owner_of_engine
        )

    @property
    def reservations(self) -> int:
        """Number of reservations held for all entry hosts."""
        return self._cell_owners.reservations

    def on_message(self, host: HostId, message: Message) -> None:
        """Handle a message from an entry host; messages of other types are ignored."""
        match message:
            case Ask():
                owner = self._cell_owners.get_or_create(CellId(message.cell))
                if owner is not None:
                    owner.on_ask(host=host, ask=message)
            case Running():
                owner = self._cell_owners.get_or_create(CellId(message.ask.cell))
                if owner is not None:
                    owner.on_running(host=host, running=message)
            case Progress():
                owner = self._cell_owners.get_or_create(CellId(message.cell))
                if owner is not None:
                    owner.on_progress(host=host, progress=message)
            case Finished():
                owner = self._cell_owners.find(CellId(message.cell))
                if owner is not None:
                    owner.on_finished(host=host, finished=message)
            case _:
                pass

    def refresh_engines(self) -> None:
        """Update the open engines of each cell and the set of engines that this host polls."""
        self._cell_owners.refresh_engines()
        self._pollers.set_engines(self._ownership.owned_engines)

    def configure(self, apply: Callable[[PoolScheduler], None]) -> None:
        """Apply a change to the scheduler of each cell."""
        self._cell_owners.configure(apply)

    def tick(self) -> None:
        """Run the scheduler of each cell."""
        self._cell_owners.tick()

    async def stop(self) -> None:
        """Stop scheduling and polling."""
        self._cell_owners.close()
        await self._pollers.stop()

    def _get_owner_of_engine(self, engine: UpstreamId) -> CellOwner | None:
        cell = self._ownership.cell_of_engine(engine)
        return None if cell is None else self._cell_owners.get_or_create(cell)
