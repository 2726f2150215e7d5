"""The cells that this host decides for, as their owner or as a fallback."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.generated.messages import Grant
from tanagerscale.generated.messages import RunningRequest
from tanagerscale.policy import EngineSpec
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._owner import CellOwner
from tanagerscale.routing._protocol import PoolScheduler


@final
class Deciders:
    """Makes a cell's decider when it is first asked, and drops it when nothing is left to hold.

    :param make_scheduler: Makes the scheduler of one cell.
    :param specs: Returns the engines of a cell that take new work, or ``None`` when no such
        cell is declared.
    :param keeps: Returns whether a cell's decider stays although it holds nothing.
    :param clock: Time.
    :param tell: Sends a decision to a host.
    """

    def __init__(
        self,
        *,
        make_scheduler: Callable[[], PoolScheduler],
        specs: Callable[[CellId], Sequence[EngineSpec] | None],
        keeps: Callable[[CellId], bool],
        clock: Clock,
        tell: Callable[[HostId, Grant | RunningRequest], None],
    ) -> None:
        self._make_scheduler = make_scheduler
        self._specs = specs
        self._keeps = keeps
        self._clock = clock
        self._tell = tell
        self._owners: dict[CellId, CellOwner] = {}

    def __iter__(self) -> Iterator[CellOwner]:
        return iter(tuple(self._owners.values()))

    @property
    def reservations(self) -> int:
        """How many placements are held in all cells together."""
        return sum(owner.reservations for owner in self)

    def find(self, cell: CellId) -> CellOwner | None:
        """Return a cell's decider if it has been asked already."""
        return self._owners.get(cell)

    def get(self, cell: CellId) -> CellOwner | None:
        """Return a cell's decider; ``None`` when no such cell is declared."""
        owner = self._owners.get(cell)
        if owner is not None:
            return owner
        specs = self._specs(cell)
        if specs is None:
            return None
        owner = CellOwner(
            cell=cell, scheduler=self._make_scheduler(), clock=self._clock, tell=self._tell
        )
        self._owners[cell] = owner
        owner.set_engines(specs)
        return owner

    def refresh_engines(self) -> None:
        """Take in which engines take new work now."""
        for cell, owner in self._owners.items():
            owner.set_engines(self._specs(cell) or ())

    def configure(self, apply: Callable[[PoolScheduler], None]) -> None:
        """Change the schedulers in use."""
        for owner in self:
            owner.configure(apply)

    def tick(self) -> None:
        """Let each cell decide, and drop those that hold nothing."""
        for cell, owner in tuple(self._owners.items()):
            owner.tick()
            if not owner.reservations and not self._keeps(cell):
                owner.close()
                del self._owners[cell]

    def close(self) -> None:
        """Decide no more."""
        for owner in self:
            owner.close()
