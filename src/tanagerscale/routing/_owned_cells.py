"""What this host does as an owner: answer entry hosts and read engines."""

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
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._deciders import Deciders
from tanagerscale.routing._owner import CellOwner
from tanagerscale.routing._ownership import Ownership
from tanagerscale.routing._poller import EnginePollers
from tanagerscale.routing._protocol import PoolScheduler
from tanagerscale.routing._protocol import UpstreamOpenness
from tanagerscale.upstreams import EngineClient


@final
class OwnedCells:
    """Decides for whoever asks, since hosts may differ for a moment on who the owner is.

    :param ownership: Which cells are this host's.
    :param open_specs: Returns the engines of a cell that take new work, or ``None`` when no such
        cell is declared.
    :param make_scheduler: Makes the scheduler of one cell.
    :param gate: Is told which engines answer.
    :param clock: Time.
    :param tell: Sends a decision to a host.
    :param engine_clients: Gives the client by which to read an engine, if any.
    """

    def __init__(
        self,
        *,
        ownership: Ownership,
        open_specs: Callable[[CellId], Sequence[EngineSpec] | None],
        make_scheduler: Callable[[], PoolScheduler],
        gate: UpstreamOpenness,
        clock: Clock,
        tell: Callable[[HostId, Grant | RunningRequest], None],
        engine_clients: Callable[[UpstreamId], EngineClient] | None,
    ) -> None:
        self._ownership = ownership
        self._deciders = Deciders(
            make_scheduler=make_scheduler,
            specs=open_specs,
            keeps=lambda cell: cell in ownership.owned,
            clock=clock,
            tell=tell,
        )
        self._pollers = EnginePollers(
            clients=engine_clients, clock=clock, gate=gate, decider=self._decider_of_engine
        )

    @property
    def reservations(self) -> int:
        """How many placements are held for any host."""
        return self._deciders.reservations

    def on_message(self, host: HostId, message: Message) -> None:
        """Take in what an entry host tells; other messages are ignored."""
        match message:
            case Ask():
                owner = self._deciders.get(CellId(message.cell))
                if owner is not None:
                    owner.on_ask(host=host, ask=message)
            case Running():
                owner = self._deciders.get(CellId(message.ask.cell))
                if owner is not None:
                    owner.on_running(host=host, running=message)
            case Progress():
                owner = self._deciders.get(CellId(message.cell))
                if owner is not None:
                    owner.on_progress(host=host, progress=message)
            case Finished():
                owner = self._deciders.find(CellId(message.cell))
                if owner is not None:
                    owner.on_finished(host=host, finished=message)
            case _:
                pass

    def refresh_engines(self) -> None:
        """Take in which engines are open, and which are this host's to read."""
        self._deciders.refresh_engines()
        self._pollers.set_engines(self._ownership.owned_engines)

    def configure(self, apply: Callable[[PoolScheduler], None]) -> None:
        """Change the schedulers in use."""
        self._deciders.configure(apply)

    def tick(self) -> None:
        """Let each cell decide."""
        self._deciders.tick()

    async def stop(self) -> None:
        """Decide and read no more."""
        self._deciders.close()
        await self._pollers.stop()

    def _decider_of_engine(self, engine: UpstreamId) -> CellOwner | None:
        cell = self._ownership.cell_of_engine(engine)
        return None if cell is None else self._deciders.get(cell)
