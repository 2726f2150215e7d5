"""Selection of the cell whose owner is asked to place a request."""

from __future__ import annotations

from random import Random
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing._cells import Cell
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._cells import rendezvous_score
from tanagerscale.routing._ownership import Ownership
from tanagerscale.routing._protocol import UpstreamAvailability

_MAX_PREFERRED_CELLS = 3
"""Number of cells that requests with the same prefix are limited to while one is not busy."""
_BUSY_TIMEOUT_MS = 2000
"""How long a cell counts as busy after a request was queued there."""


@final
class CellSelector:
    """Selects the same few cells for requests with the same prefix, unless these cells are busy.

    :param ownership: Source of the declared cells.
    :param gate: Source of the engines that accept new work.
    :param clock: Clock used to expire the busy state of cells.
    :param rng: Random number generator used to select a cell when all preferred ones are busy.
    """

    def __init__(
        self, *, ownership: Ownership, gate: UpstreamAvailability, clock: Clock, rng: Random
    ) -> None:
        self._ownership = ownership
        self._gate = gate
        self._clock = clock
        self._rng = rng
        self._queued_at: dict[CellId, Millis] = {}

    def record_queued(self, cell: CellId) -> None:
        """Mark a cell as busy because a request was queued there."""
        self._queued_at[cell] = self._clock.now()

    def select(self, request: PlacementRequest) -> CellId | None:
        """Return the cell to ask; ``None`` when no open engine can serve the request."""
        cells = self._find_open_cells(request)
        if len(cells) <= 1:
            return cells[0] if cells else None
        for cell in cells[:_MAX_PREFERRED_CELLS]:
            if not self._is_busy(cell):
                return cell
        idle = [cell for cell in cells if not self._is_busy(cell)]
        return self._rng.choice(idle or cells)

    def should_reselect(self, cell: CellId, request: PlacementRequest) -> bool:
        """Return whether a request queued at a cell should be sent to another cell.

        This is the case if another cell with an open engine is not busy, or if the present cell
        has no open engine for the request.
        """
        others = [each for each in self._find_open_cells(request) if each != cell]
        return any(not self._is_busy(each) for each in others) or not self.can_serve(cell, request)

    def open_engines(self, request: PlacementRequest) -> frozenset[UpstreamId]:
        """Return the open engines that can serve a request, including excluded ones."""
        cells = self._ownership.cells_for(model=request.model, adapter=request.adapter)
        engines = (spec.engine for cell in cells for spec in cell.specs)
        return frozenset(engine for engine in engines if self._gate.is_open(engine))

    def can_serve(self, cell: CellId, request: PlacementRequest) -> bool:
        """Return whether a cell has an open engine that the request does not exclude."""
        found = self._ownership.find_cell(cell)
        return found is not None and self._has_open_engine(found, request)

    def _find_open_cells(self, request: PlacementRequest) -> list[CellId]:
        """Return the cells with an open engine for a request, in order of preference."""
        key = request.prefix or request.generation
        cells = [
            cell.cell_id
            for cell in self._ownership.cells_for(model=request.model, adapter=request.adapter)
            if self._has_open_engine(cell, request)
        ]
        return sorted(cells, key=lambda cell: rendezvous_score(key, cell), reverse=True)

    def _is_busy(self, cell: CellId) -> bool:
        queued_at = self._queued_at.get(cell)
        return queued_at is not None and self._clock.now() - queued_at < _BUSY_TIMEOUT_MS

    def _has_open_engine(self, cell: Cell, request: PlacementRequest) -> bool:
        return any(
            spec.engine not in request.excluded and self._gate.is_open(spec.engine)
            for spec in cell.specs
        )
