"""The entry host's side: placements wanted and held by this host."""

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

ANSWER_LIMIT_MS = 250
"""An owner that has said nothing for this long is taken as lost for the request."""

REPEAT_MS = 1000
"""Time between two asks for a placement that waits."""

LONG_WAIT_MS = 5000
"""A placement that has waited this long is logged."""


@unique
class Decider(Enum):
    """Who decided, or is to decide, about a placement."""

    OWNER = "owner"
    FALLBACK = "fallback"
    """This host's share of the cell, used while the owner is silent or has no open engine."""


class Entry(Struct, kw_only=True):
    """One placement that this host wants or holds.

    :param serial: Its number at this host.
    :param request: What is asked for.
    :param cell: The cell that decides.
    :param outcome: What ``place`` waits for.
    :param owner: Whom it was asked of last.
    :param asked: When it was asked last.
    :param answered: Whether the owner has answered since.
    :param in_fallback: Whether this host's own share decides too.
    :param placement: The place, once there is one.
    :param tokens: Tokens made so far.
    :param wait_logged: Whether a wait of ``LONG_WAIT_MS`` has been logged.
    """

    serial: int
    request: PlacementRequest
    cell: CellId
    outcome: asyncio.Future[Result[Placement, Problem]]
    owner: HostId
    asked: Millis
    answered: bool = False
    in_fallback: bool = False
    placement: Placement | None = None
    tokens: int = 0
    wait_logged: bool = False

    @property
    def engine(self) -> UpstreamId | None:
        """Where it runs, once placed."""
        return None if self.placement is None else self.placement.engine

    def answer_is_late(self, *, now: Millis) -> bool:
        """Return whether the owner should have answered by now."""
        return not self.answered and now - self.asked >= ANSWER_LIMIT_MS

    def ask_is_due(self, *, now: Millis) -> bool:
        """Return whether to ask again, which also tells the owner that it is still wanted."""
        return now - self.asked >= REPEAT_MS

    def wait_is_long(self, *, now: Millis) -> bool:
        """Return whether the placement has waited long enough to be logged."""
        return now - self.request.arrived >= LONG_WAIT_MS

    def is_meant_by(self, grant: Grant) -> bool:
        """Return whether a decision with this serial is about this placement."""
        return grant.generation == self.request.generation and grant.cell == self.cell

    def admit(self, *, engine: UpstreamId) -> Placement:
        """Record the place and wake ``place``."""
        placement = Placement(generation=self.request.generation, engine=engine)
        self.placement = placement
        if not self.outcome.done():
            self.outcome.set_result(Success(placement))
        return placement

    def refuse(self, *, problem: Problem) -> None:
        """Wake ``place`` with a problem."""
        if not self.outcome.done():
            self.outcome.set_result(Failure(problem))

    def finished(
        self, *, tokens: int = 0, complete: bool = False, engine_lost: bool = False
    ) -> Finished:
        """Return the message that gives the placement up."""
        return Finished(
            cell=self.cell,
            serial=self.serial,
            generation=self.request.generation,
            tokens=tokens,
            complete=complete,
            upstream_lost=engine_lost,
        )


@final
class EntryTable:
    """The placements of this host, by serial and by generation."""

    def __init__(self) -> None:
        self._by_serial: dict[int, Entry] = {}
        self._by_generation: dict[GenerationId, Entry] = {}

    def __len__(self) -> int:
        return len(self._by_serial)

    def __iter__(self) -> Iterator[Entry]:
        return iter(tuple(self._by_serial.values()))

    def add(self, entry: Entry) -> None:
        """Enter a placement."""
        self._by_serial[entry.serial] = entry
        self._by_generation[entry.request.generation] = entry

    def remove(self, entry: Entry) -> None:
        """Forget a placement."""
        self._by_serial.pop(entry.serial, None)
        if self._by_generation.get(entry.request.generation) is entry:
            del self._by_generation[entry.request.generation]

    def by_serial(self, serial: int) -> Entry | None:
        """Return a placement by its number."""
        return self._by_serial.get(serial)

    def by_generation(self, generation: GenerationId) -> Entry | None:
        """Return the latest placement of a generation."""
        return self._by_generation.get(generation)
