"""Which cell to ask."""

from __future__ import annotations

from random import Random
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing._cells import Cell
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._cells import rendezvous_score
from tanagerscale.routing._ownership import Ownership
from tanagerscale.routing._protocol import UpstreamOpenness

_PREFERRED_CELLS = 3
_QUEUE_MEMORY_MS = 2000
"""How long a cell is avoided after a request had to wait there."""


@final
class CellChooser:
    """Sends requests with the same prefix to the same few cells, unless work waits there.

    :param ownership: The declared cells.
    :param gate: Which engines take new work.
    :param clock: Time.
    :param rng: Chooses when all preferred cells are busy.
    """

    def __init__(
        self, *, ownership: Ownership, gate: UpstreamOpenness, clock: Clock, rng: Random
    ) -> None:
        self._ownership = ownership
        self._gate = gate
        self._clock = clock
        self._rng = rng
        self._queued: dict[CellId, Millis] = {}

    def note_queue(self, cell: CellId) -> None:
        """Record that a request waits at a cell."""
        self._queued[cell] = self._clock.now()

    def choose(self, request: PlacementRequest) -> CellId | None:
        """Return the cell to ask; ``None`` when no open engine may serve the request."""
        cells = self._serving(request)
        if len(cells) <= 1:
            return cells[0] if cells else None
        for cell in cells[:_PREFERRED_CELLS]:
            if not self._is_busy(cell):
                return cell
        idle = [cell for cell in cells if not self._is_busy(cell)]
        return self._rng.choice(idle or cells)

    def should_leave(self, cell: CellId, request: PlacementRequest) -> bool:
        """Return whether a request that waits at a cell had better ask another one."""
        others = [each for each in self._serving(request) if each != cell]
        return any(not self._is_busy(each) for each in others) or not self.serves(cell, request)

    def serves(self, cell: CellId, request: PlacementRequest) -> bool:
        """Return whether some open engine of a cell may still take a request."""
        found = self._ownership.cell(cell)
        return found is not None and self._has_open_engine(found, request)

    def _serving(self, request: PlacementRequest) -> list[CellId]:
        """Return the cells with an open engine for a request, the preferred ones first."""
        key = request.prefix or request.generation
        cells = [
            cell.cell
            for cell in self._ownership.cells_for(model=request.model, adapter=request.adapter)
            if self._has_open_engine(cell, request)
        ]
        return sorted(cells, key=lambda cell: rendezvous_score(key, cell), reverse=True)

    def _is_busy(self, cell: CellId) -> bool:
        queued = self._queued.get(cell)
        return queued is not None and self._clock.now() - queued < _QUEUE_MEMORY_MS

    def _has_open_engine(self, cell: Cell, request: PlacementRequest) -> bool:
        return any(
            spec.engine not in request.excluded and self._gate.is_open(spec.engine)
            for spec in cell.specs
        )
