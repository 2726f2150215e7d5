"""Cells: groups of engines that are scheduled by a single owner host."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from functools import lru_cache
import hashlib
from math import ceil
from typing import NewType

from msgspec import Struct

from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.declarations import Engine
from tanagerscale.policy import EngineSpec

CellId = NewType("CellId", str)

TARGET_CELL_ENGINES = 32
"""Approximate number of engines in a cell.

It bounds the number of engines considered in one decision and the effect of losing one owner.
"""

_DIGEST_BYTES = 8
_POOL_ID_DIGITS = 8
_CELL_INDEX_CACHE_SIZE = 32_768


class Cell(Struct, frozen=True, kw_only=True):
    """Engines that hold the same models and adapters; large groups are split into several cells.

    :param cell_id: Id of the cell, the same on each host.
    :param models: Models that each engine of the cell holds.
    :param adapters: Adapters that each engine of the cell holds.
    :param specs: Engines of the cell.
    """

    cell_id: CellId
    models: frozenset[str]
    adapters: frozenset[str]
    specs: tuple[EngineSpec, ...]

    def serves(self, *, model: str, adapter: str) -> bool:
        """Return whether the engines are declared to hold a model and, if given, an adapter."""
        return model in self.models and (not adapter or adapter in self.adapters)


def make_cells(*, engines: Iterable[Engine]) -> tuple[Cell, ...]:
    """Group declared engines by their models and adapters, and split large groups.

    Adding or removing an engine does not change the cell of any other engine, except for a few
    engines when the number of cells changes.
    """
    pools: dict[tuple[frozenset[str], frozenset[str]], list[Engine]] = {}
    for engine in engines:
        key = (frozenset(engine.models), frozenset(engine.adapters))
        pools.setdefault(key, []).append(engine)
    cells = [
        cell
        for (models, adapters), members in pools.items()
        for cell in _split_pool(models=models, adapters=adapters, members=members)
    ]
    return tuple(sorted(cells, key=lambda cell: cell.cell_id))


def select_owner(*, cell: CellId, hosts: Sequence[HostId]) -> HostId:
    """Return the host that owns a cell, by rendezvous hashing.

    Hosts with the same list of hosts select the same owner. When a host leaves, only the cells
    that it owned change owner.

    :param cell: Id of the cell.
    :param hosts: Live hosts that are not leaving; must not be empty.
    """
    return max(hosts, key=lambda host: rendezvous_score(cell, host))


def rendezvous_score(item: str, node: str) -> int:
    """Return the rendezvous weight of a node for an item; the node with the highest is selected."""
    digest = hashlib.blake2b(f"{item}\n{node}".encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest())


def _split_pool(
    *, models: frozenset[str], adapters: frozenset[str], members: Sequence[Engine]
) -> list[Cell]:
    names = "\n".join([*sorted(models), "", *sorted(adapters)])
    pool = hashlib.blake2b(names.encode(), digest_size=_DIGEST_BYTES).hexdigest()[:_POOL_ID_DIGITS]
    ids = [CellId(f"{pool}-{index}") for index in range(ceil(len(members) / TARGET_CELL_ENGINES))]
    specs_by_cell: dict[CellId, list[EngineSpec]] = {cell: [] for cell in ids}
    for engine in members:
        specs_by_cell[ids[_select_cell_index(engine.name, len(ids))]].append(_build_spec(engine))
    return [
        Cell(cell_id=cell, models=models, adapters=adapters, specs=tuple(specs))
        for cell, specs in specs_by_cell.items()
        if specs
    ]


@lru_cache(maxsize=_CELL_INDEX_CACHE_SIZE)
def _select_cell_index(engine: str, cells: int) -> int:
    """Return the index of an engine's cell in its pool; cached because declarations change often.

    :param engine: Name of the engine.
    :param cells: Number of cells in the pool.
    """
    return max(range(cells), key=lambda index: rendezvous_score(engine, str(index)))


def _build_spec(engine: Engine) -> EngineSpec:
    return EngineSpec(
        engine=UpstreamId(engine.name),
        memory_tokens=engine.memory_tokens,
        max_batch=engine.max_batch,
    )
