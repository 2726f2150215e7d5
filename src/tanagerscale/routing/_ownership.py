"""Which host decides for which cell, as far as this host can tell."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import msgspec

from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.declarations import Engine
from tanagerscale.policy import EngineSpec
from tanagerscale.routing._cells import Cell
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._cells import make_cells
from tanagerscale.routing._cells import owner_of


@final
class Ownership:
    """The declared cells and the hosts that share them out.

    :param host: The host that this process is.
    """

    def __init__(self, *, host: HostId) -> None:
        self._host = host
        self._leaving = False
        self._peers: frozenset[HostId] = frozenset()
        self._known_hosts = 1
        self._declared: tuple[Engine, ...] = ()
        self._cells: dict[CellId, Cell] = {}
        self._engines: dict[UpstreamId, CellId] = {}
        self._candidates: frozenset[HostId] = frozenset((host,))
        self._owners: dict[CellId, HostId] = {}

    @property
    def owned(self) -> tuple[CellId, ...]:
        """The cells of the host that this process is."""
        return tuple(cell for cell in self._cells if self.owner(cell) == self._host)

    @property
    def owned_engines(self) -> frozenset[UpstreamId]:
        """The engines of those cells."""
        return frozenset(spec.engine for cell in self.owned for spec in self.specs(cell))

    @property
    def share(self) -> float:
        """Part of an engine's memory an owner may fill.

        All of it, unless this host reaches less than half of the hosts there should be: then
        others decide too, and it keeps to the part that its side of the cut brings.
        """
        reached = len(self._peers) + 1
        return reached / self._known_hosts if 2 * reached < self._known_hosts else 1.0

    @property
    def equal_share(self) -> float:
        """Part of an engine's memory each host may fill when all decide alone."""
        return 1.0 / max(self._known_hosts, len(self._peers) + 1)

    def set_engines(self, engines: Sequence[Engine]) -> None:
        """Replace the declared engines."""
        declared = tuple(engines)
        if declared == self._declared:
            return  # Most changes of the declarations are about accounts.
        self._declared = declared
        self._cells = {cell.cell: cell for cell in make_cells(engines=declared)}
        self._engines = {
            spec.engine: cell.cell for cell in self._cells.values() for spec in cell.specs
        }
        # An owner depends on the cell's id alone, so those of cells that remain stay.
        self._owners = {cell: host for cell, host in self._owners.items() if cell in self._cells}

    def set_peers(self, peers: frozenset[HostId]) -> bool:
        """Replace the live peers that stay; return whether they differ."""
        if peers == self._peers:
            return False
        self._peers = peers
        self._update_candidates()
        return True

    def set_leaving(self, *, leaving: bool) -> None:
        """Record whether this process is in a planned stop."""
        self._leaving = leaving
        self._update_candidates()

    def set_known_hosts(self, known: int) -> None:
        """Record how many hosts there should be, this one included."""
        self._known_hosts = max(known, 1)

    def cells_for(self, *, model: str, adapter: str) -> list[Cell]:
        """Return the cells declared to serve a model and an adapter."""
        return [cell for cell in self._cells.values() if cell.serves(model=model, adapter=adapter)]

    def cell(self, cell: CellId) -> Cell | None:
        """Return a declared cell."""
        return self._cells.get(cell)

    def specs(self, cell: CellId) -> tuple[EngineSpec, ...]:
        """Return a cell's engines; none when it is not declared."""
        found = self._cells.get(cell)
        return () if found is None else found.specs

    def cell_of_engine(self, engine: UpstreamId) -> CellId | None:
        """Return the cell of a declared engine."""
        return self._engines.get(engine)

    def owner(self, cell: CellId) -> HostId:
        """Return the host that decides for a cell."""
        owner = self._owners.get(cell)
        if owner is None:
            owner = owner_of(cell=cell, hosts=tuple(self._candidates))
            self._owners[cell] = owner
        return owner

    def _update_candidates(self) -> None:
        """Take in which hosts may own cells, looking only at those that came or went."""
        former = self._candidates
        stays = not self._leaving or not self._peers
        self._candidates = self._peers | {self._host} if stays else self._peers
        gone, new = former - self._candidates, self._candidates - former
        for cell, owner in tuple(self._owners.items()):
            if owner in gone:
                del self._owners[cell]
            elif new:
                self._owners[cell] = owner_of(cell=cell, hosts=(owner, *new))


def scaled(spec: EngineSpec, *, share: float) -> EngineSpec:
    """Return an engine of which only a part may be filled."""
    return msgspec.structs.replace(
        spec,
        memory_tokens=max(int(spec.memory_tokens * share), 1),
        max_batch=max(int(spec.max_batch * share), 1),
    )
