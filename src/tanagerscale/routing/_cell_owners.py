"""Cells that this host schedules, as their owner or as a fallback."""

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
class CellOwners:
    """Creates the ``CellOwner`` of a cell on first use, and removes it when it is no longer needed.

    :param make_scheduler: Creates the scheduler of one cell.
    :param get_specs: Returns the engines of a cell that accept new work, or ``None`` when no such
        cell is declared.
    :param is_retained: Returns whether the owner of a cell is kept while it has no reservations.
    :param clock: Clock of this host.
    :param send: Sends a message to an entry host.
    """

    def __init__(
        self,
        *,
        make_scheduler: Callable[[], PoolScheduler],
        get_specs: Callable[[CellId], Sequence[EngineSpec] | None],
        is_retained: Callable[[CellId], bool],
        clock: Clock,
        send: Callable[[HostId, Grant | RunningRequest], None],
    ) -> None:
        self._make_scheduler = make_scheduler
        self._get_specs = get_specs
        self._is_retained = is_retained
        self._clock = clock
        self._send = send
        self._owners: dict[CellId, CellOwner] = {}

    def __iter__(self) -> Iterator[CellOwner]:
        return iter(tuple(self._owners.values()))

    @property
    def reservations(self) -> int:
        """Number of reservations in all cells."""
        return sum(owner.reservations for owner in self)

    def find(self, cell: CellId) -> CellOwner | None:
        """Return the owner of a cell; ``None`` when it has not been created."""
        return self._owners.get(cell)

    def get_or_create(self, cell: CellId) -> CellOwner | None:
        """Return the owner of a cell; ``None`` when no such cell is declared."""
        owner = self._owners.get(cell)
        if owner is not None:
            return owner
        specs = self._get_specs(cell)
        if specs is None:
            return None
        owner = CellOwner(
            cell=cell, scheduler=self._make_scheduler(), clock=self._clock, send=self._send
        )
        self._owners[cell] = owner
        owner.set_engines(specs)
        return owner

    def refresh_engines(self) -> None:
        """Update the engines of each cell to those that accept new work now."""
        for cell, owner in self._owners.items():
            owner.set_engines(self._get_specs(cell) or ())

    def configure(self, apply: Callable[[PoolScheduler], None]) -> None:
        """Apply a change to the scheduler of each cell."""
        for owner in self:
            owner.configure(apply)

    def tick(self) -> None:
        """Run the scheduler of each cell, and remove owners that are no longer needed."""
        for cell, owner in tuple(self._owners.items()):
            owner.tick()
            if not owner.reservations and not self._is_retained(cell):
                owner.close()
                del self._owners[cell]

    def close(self) -> None:
        """Cancel all scheduled decisions."""
        for owner in self:
            owner.close()
