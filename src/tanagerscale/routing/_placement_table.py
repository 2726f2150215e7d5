"""Placements requested or held by this host as an entry host."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from enum import Enum
from enum import unique
from typing import final

from msgspec import Struct
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import Finished
from tanagerscale.generated.messages import Grant
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._protocol import Placement

ANSWER_TIMEOUT_MS = 250
"""Time without an answer after which the owner is considered lost for the request."""

ASK_INTERVAL_MS = 1000
"""Time between two ``Ask`` messages for a waiting placement."""

LONG_WAIT_THRESHOLD_MS = 5000
"""Waiting time after which a placement is logged."""


@unique
class DecisionSource(Enum):
    """Which scheduler made a placement decision."""

    OWNER = "owner"
    FALLBACK = "fallback"
    """This host's share of the cell, used while the owner does not answer or has no open engine."""


class PlacementRecord(Struct, kw_only=True):
    """State of one placement that this host requests or holds.

    :param serial: Serial number, unique on this host.
    :param request: Request to place.
    :param cell: Cell whose owner places the request.
    :param outcome: Result that ``place`` awaits.
    :param owner: Host that the placement was last sent to as the owner of its cell.
    :param asked_at: When the owner was asked last.
    :param answered: Whether the owner has answered since.
    :param in_fallback: Whether the request is also queued or placed in this host's own share.
    :param rejected: Engines excluded because they were closed at this host when the owner selected
        them.
    :param placement: Assigned engine; ``None`` until the request is placed.
    :param tokens: Number of tokens generated so far.
    :param wait_logged: Whether a wait of ``LONG_WAIT_THRESHOLD_MS`` has been logged.
    """

    serial: int
    request: PlacementRequest
    cell: CellId
    outcome: asyncio.Future[Result[Placement, Problem]]
    owner: HostId
    asked_at: Millis
    answered: bool = False
    in_fallback: bool = False
    rejected: frozenset[UpstreamId] = frozenset()
    placement: Placement | None = None
    tokens: int = 0
    wait_logged: bool = False

    @property
    def engine(self) -> UpstreamId | None:
        """Engine that the request is placed on; ``None`` until it is placed."""
        return None if self.placement is None else self.placement.engine

    def is_answer_late(self, *, now: Millis) -> bool:
        """Return whether the owner has exceeded the answer timeout."""
        return not self.answered and now - self.asked_at >= ANSWER_TIMEOUT_MS

    def is_ask_due(self, *, now: Millis) -> bool:
        """Return whether to ask again, which also renews the reservation at the owner."""
        return now - self.asked_at >= ASK_INTERVAL_MS

    def is_wait_long(self, *, now: Millis) -> bool:
        """Return whether the placement has waited long enough to be logged."""
        return now - self.request.arrived >= LONG_WAIT_THRESHOLD_MS

    def matches(self, grant: Grant) -> bool:
        """Return whether a decision with this serial belongs to this placement."""
        return grant.generation == self.request.generation and grant.cell == self.cell

    def admit(self, *, engine: UpstreamId) -> Placement:
        """Record the assigned engine and complete the pending ``place`` call."""
        placement = Placement(generation=self.request.generation, engine=engine)
        self.placement = placement
        if not self.outcome.done():
            self.outcome.set_result(Success(placement))
        return placement

    def refuse(self, *, problem: Problem) -> None:
        """Complete the pending ``place`` call with a problem."""
        if not self.outcome.done():
            self.outcome.set_result(Failure(problem))

    def build_finished(
        self, *, tokens: int = 0, complete: bool = False, engine_lost: bool = False
    ) -> Finished:
        """Return the message that releases the placement at its owner.

        :param tokens: Number of tokens generated.
        :param complete: Whether the answer is complete.
        :param engine_lost: Whether the engine crashed.
        """
        return Finished(
            cell=self.cell,
            serial=self.serial,
            generation=self.request.generation,
            tokens=tokens,
            complete=complete,
            upstream_lost=engine_lost,
        )


@final
class PlacementTable:
    """Placements of this host, indexed by serial number and by generation."""

    def __init__(self) -> None:
        self._by_serial: dict[int, PlacementRecord] = {}
        self._by_generation: dict[GenerationId, PlacementRecord] = {}

    def __len__(self) -> int:
        return len(self._by_serial)

    def __iter__(self) -> Iterator[PlacementRecord]:
        return iter(tuple(self._by_serial.values()))

    def add(self, record: PlacementRecord) -> None:
        """Add a placement."""
        self._by_serial[record.serial] = record
        self._by_generation[record.request.generation] = record

    def remove(self, record: PlacementRecord) -> None:
        """Remove a placement."""
        self._by_serial.pop(record.serial, None)
        if self._by_generation.get(record.request.generation) is record:
            del self._by_generation[record.request.generation]

    def by_serial(self, serial: int) -> PlacementRecord | None:
        """Return the placement with a serial number."""
        return self._by_serial.get(serial)

    def by_generation(self, generation: GenerationId) -> PlacementRecord | None:
        """Return the latest placement of a generation."""
        return self._by_generation.get(generation)
