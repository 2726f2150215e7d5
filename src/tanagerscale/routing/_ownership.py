"""Which host decides for which cell, as far as this host can tell."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from typing import final

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
        self._cells: dict[CellId, Cell] = {}
        self._engines: dict[UpstreamId, CellId] = {}
        self._owner_cache: dict[CellId, HostId] = {}

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
        self._cells = {cell.cell: cell for cell in make_cells(engines=engines)}
        self._engines = {
            spec.engine: cell.cell for cell in self._cells.values() for spec in cell.specs
        }
        self._owner_cache.clear()

    def set_peers(self, peers: frozenset[HostId]) -> bool:
        """Replace the live peers that stay; return whether they differ."""
        if peers == self._peers:
            return False
        self._peers = peers
        self._owner_cache.clear()
        return True

    def set_leaving(self, *, leaving: bool) -> None:
        """Record whether this process is in a planned stop."""
        self._leaving = leaving
        self._owner_cache.clear()

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
        owner = self._owner_cache.get(cell)
        if owner is None:
            hosts = [*self._peers]
            if not self._leaving or not hosts:
                hosts.append(self._host)
            owner = self._owner_cache[cell] = owner_of(cell=cell, hosts=hosts)
        return owner


def scaled(spec: EngineSpec, *, share: float) -> EngineSpec:
    """Return an engine of which only a part may be filled."""
    return dataclasses.replace(
        spec,
        memory_tokens=max(int(spec.memory_tokens * share), 1),
        max_batch=max(int(spec.max_batch * share), 1),
    )
