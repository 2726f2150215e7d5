"""Groups of engines that one owner decides for."""

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

CELL_ENGINES = 32
"""Engines of a cell, about; bounds what one decision looks at and what one owner's loss costs."""

_DIGEST_BYTES = 8
_POOL_DIGITS = 8
_REMEMBERED_ENGINES = 32_768


class Cell(Struct, frozen=True, kw_only=True):
    """Engines that hold the same models and adapters, or a part of them when they are many.

    :param cell: Its id, the same on each host.
    :param models: Models each of its engines holds.
    :param adapters: Adapters each of its engines holds.
    :param specs: Its engines.
    """

    cell: CellId
    models: frozenset[str]
    adapters: frozenset[str]
    specs: tuple[EngineSpec, ...]

    def serves(self, *, model: str, adapter: str) -> bool:
        """Return whether its engines are declared to hold a model and an adapter of it."""
        return model in self.models and (not adapter or adapter in self.adapters)


def make_cells(*, engines: Iterable[Engine]) -> tuple[Cell, ...]:
    """Group declared engines by what they hold, and split large groups.

    An engine stays in its cell while others come and go, except for the few that move when the
    number of cells changes.
    """
    pools: dict[tuple[frozenset[str], frozenset[str]], list[Engine]] = {}
    for engine in engines:
        key = (frozenset(engine.models), frozenset(engine.adapters))
        pools.setdefault(key, []).append(engine)
    cells = [
        cell
        for (models, adapters), members in pools.items()
        for cell in _split(models=models, adapters=adapters, members=members)
    ]
    return tuple(sorted(cells, key=lambda cell: cell.cell))


def owner_of(*, cell: CellId, hosts: Sequence[HostId]) -> HostId:
    """Return the host that decides for a cell, by rendezvous hashing.

    Hosts that know the same hosts agree; when one leaves, only its cells change owner.

    :param cell: The cell.
    :param hosts: Live hosts that stay, at least one.
    """
    return max(hosts, key=lambda host: rendezvous_score(cell, host))


def rendezvous_score(item: str, node: str) -> int:
    """Return the weight of a node for an item; the highest wins."""
    digest = hashlib.blake2b(f"{item}\n{node}".encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest())


def _split(
    *, models: frozenset[str], adapters: frozenset[str], members: Sequence[Engine]
) -> list[Cell]:
    names = "\n".join([*sorted(models), "", *sorted(adapters)])
    pool = hashlib.blake2b(names.encode(), digest_size=_DIGEST_BYTES).hexdigest()[:_POOL_DIGITS]
    ids = [CellId(f"{pool}-{index}") for index in range(ceil(len(members) / CELL_ENGINES))]
    parts: dict[CellId, list[EngineSpec]] = {cell: [] for cell in ids}
    for engine in members:
        parts[ids[_part_of(engine.name, len(ids))]].append(_spec(engine))
    return [
        Cell(cell=cell, models=models, adapters=adapters, specs=tuple(specs))
        for cell, specs in parts.items()
        if specs
    ]


@lru_cache(maxsize=_REMEMBERED_ENGINES)
def _part_of(engine: str, parts: int) -> int:
    """Return in which of a pool's cells an engine is; remembered, as declarations change often."""
    return max(range(parts), key=lambda part: rendezvous_score(engine, str(part)))


def _spec(engine: Engine) -> EngineSpec:
    return EngineSpec(
        engine=UpstreamId(engine.name),
        memory_tokens=engine.memory_tokens,
        max_batch=engine.max_batch,
    )
