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
_QUEUE_MEMORY_MS = 500
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
        cells = [
            cell.cell
            for cell in self._ownership.cells_for(model=request.model, adapter=request.adapter)
            if self._has_open_engine(cell, request)
        ]
        if len(cells) <= 1:
            return cells[0] if cells else None
        key = request.prefix or request.generation
        cells.sort(key=lambda cell: rendezvous_score(key, cell), reverse=True)
        for cell in cells[:_PREFERRED_CELLS]:
            if not self._is_busy(cell):
                return cell
        return self._rng.choice(cells)

    def _is_busy(self, cell: CellId) -> bool:
        queued = self._queued.get(cell)
        return queued is not None and self._clock.now() - queued < _QUEUE_MEMORY_MS

    def _has_open_engine(self, cell: Cell, request: PlacementRequest) -> bool:
        return any(
            spec.engine not in request.excluded and self._gate.is_open(spec.engine)
            for spec in cell.specs
        )
