"""Assignment of cells to owner hosts, as seen by this host."""

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
from tanagerscale.routing._cells import select_owner


@final
class Ownership:
    """The declared cells and the hosts that own them.

    :param host: Id of this host.
    """

    def __init__(self, *, host: HostId) -> None:
        self._host = host
        self._leaving = False
        self._peers: frozenset[HostId] = frozenset()
        self._expected_hosts = 1
        self._declared_engines: tuple[Engine, ...] = ()
        self._cells: dict[CellId, Cell] = {}
        self._cells_by_engine: dict[UpstreamId, CellId] = {}
        self._candidates: frozenset[HostId] = frozenset((host,))
        self._owners: dict[CellId, HostId] = {}

    @property
    def owned(self) -> tuple[CellId, ...]:
        """Ids of the cells that this host owns."""
        return tuple(cell for cell in self._cells if self.owner(cell) == self._host)

    @property
    def owned_engines(self) -> frozenset[UpstreamId]:
        """Ids of the engines in the cells that this host owns."""
        return frozenset(spec.engine for cell in self.owned for spec in self.specs(cell))

    @property
    def share(self) -> float:
        """Fraction of an engine's capacity that an owner may use.

        It is 1 unless this host reaches less than half of the expected hosts. In that case hosts
        on the other side of the network partition use the same engines, and the fraction is the
        number of hosts on this side divided by the number of expected hosts.
        """
        reached = len(self._peers) + 1
        return reached / self._expected_hosts if 2 * reached < self._expected_hosts else 1.0

    @property
    def equal_share(self) -> float:
        """Fraction of an engine's capacity that each host may use when all hosts use fallbacks."""
        return 1.0 / max(self._expected_hosts, len(self._peers) + 1)

    def set_engines(self, engines: Sequence[Engine]) -> None:
        """Replace the declared engines."""
        declared = tuple(engines)
        if declared == self._declared_engines:
            return  # Most changes of the declarations concern accounts only.
        self._declared_engines = declared
        self._cells = {cell.cell_id: cell for cell in make_cells(engines=declared)}
        self._cells_by_engine = {
            spec.engine: cell.cell_id for cell in self._cells.values() for spec in cell.specs
        }
        # The owner depends on the cell's id alone, so the owners of remaining cells stay valid.
        self._owners = {cell: host for cell, host in self._owners.items() if cell in self._cells}

    def set_peers(self, peers: frozenset[HostId]) -> bool:
        """Replace the live peers that are not leaving; return whether they have changed."""
        if peers == self._peers:
            return False
        self._peers = peers
        self._update_candidates()
        return True

    def set_leaving(self, *, leaving: bool) -> None:
        """Record whether this host is shutting down gracefully."""
        self._leaving = leaving
        self._update_candidates()

    def set_expected_hosts(self, count: int) -> None:
        """Record the number of expected hosts, this one included."""
        self._expected_hosts = max(count, 1)

    def cells_for(self, *, model: str, adapter: str) -> list[Cell]:
        """Return the cells declared to serve a model and an adapter."""
        return [cell for cell in self._cells.values() if cell.serves(model=model, adapter=adapter)]

    def find_cell(self, cell: CellId) -> Cell | None:
        """Return a cell by its id; ``None`` when it is not declared."""
        return self._cells.get(cell)

    def specs(self, cell: CellId) -> tuple[EngineSpec, ...]:
        """Return the engines of a cell; empty when it is not declared."""
        found = self._cells.get(cell)
        return () if found is None else found.specs

    def cell_of_engine(self, engine: UpstreamId) -> CellId | None:
        """Return the cell of an engine; ``None`` when the engine is not declared."""
        return self._cells_by_engine.get(engine)

    def owner(self, cell: CellId) -> HostId:
        """Return the host that owns a cell."""
        owner = self._owners.get(cell)
        if owner is None:
            owner = select_owner(cell=cell, hosts=tuple(self._candidates))
            self._owners[cell] = owner
        return owner

    def _update_candidates(self) -> None:
        """Update the hosts that may own cells, and only the owners that this changes."""
        previous = self._candidates
        is_candidate = not self._leaving or not self._peers
        self._candidates = self._peers | {self._host} if is_candidate else self._peers
        removed, added = previous - self._candidates, self._candidates - previous
        for cell, owner in tuple(self._owners.items()):
            if owner in removed:
                del self._owners[cell]
            elif added:
                self._owners[cell] = select_owner(cell=cell, hosts=(owner, *added))


def scale_spec(spec: EngineSpec, *, share: float) -> EngineSpec:
    """Return an engine with its memory and batch limits scaled down, to at least 1 each.

    :param spec: The engine.
    :param share: Fraction of the limits to keep, between 0 and 1.
    """
    return msgspec.structs.replace(
        spec,
        memory_tokens=max(int(spec.memory_tokens * share), 1),
        max_batch=max(int(spec.max_batch * share), 1),
    )
