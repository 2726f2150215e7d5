"""What dispatch asks of routing."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from returns.result import Result

from tanagerscale.core import GenerationId
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.policy import PlacementRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """A place for a generation.

    :param generation: The generation.
    :param engine: The engine that is to run it.
    :param move_requested: Set when the generation should be cancelled there and placed again,
        which is asked only of movable generations.
    """

    generation: GenerationId
    engine: UpstreamId
    move_requested: asyncio.Event = field(default_factory=asyncio.Event)


class Router(Protocol):
    """Finds an engine for each generation."""

    async def place(self, *, request: PlacementRequest) -> Result[Placement, Problem]:
        """Wait for a place; cancelling the call withdraws the request.

        Each call that succeeds must be followed by one ``release`` for the generation.
        """

    def report_progress(self, *, generation: GenerationId, tokens: int) -> None:
        """Tell how many tokens a placed generation has made so far."""

    def release(
        self, *, generation: GenerationId, tokens: int, complete: bool, engine_lost: bool
    ) -> None:
        """Tell that a generation no longer uses its engine."""
