"""A generation on an engine fake, and who hears of it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import final

if TYPE_CHECKING:
    from tanagerscale.replay._engine import EngineFake


class GapSink(Protocol):
    """Takes the times between tokens that an engine's steps make."""

    def step(self, *, duration_ms: float, generations: int) -> None:
        """Record one step."""


@final
class Sequence:
    """One generation on an engine.

    :param owner: Whatever the caller wants to find it by.
    :param prompt: Prompt tokens.
    :param prefix: Name of the shared prefix.
    :param prefix_tokens: Its length.
    :param output: True length.
    :param priority: 0 goes first.
    :param seen: Tokens that were made for the request before; making them again is no progress.
    """

    __slots__ = (
        "arrived",
        "counted",
        "epoch",
        "excess_at",
        "number",
        "output",
        "owner",
        "prefill_left",
        "prefix",
        "prefix_tokens",
        "priority",
        "private",
        "produced",
        "running",
        "seen",
        "start_step",
    )

    def __init__(
        self,
        *,
        owner: Any,
        prompt: int,
        prefix: str,
        prefix_tokens: int,
        output: int,
        priority: int,
        seen: int,
    ) -> None:
        self.owner = owner
        self.prefix = prefix
        self.prefix_tokens = prefix_tokens
        self.private = prompt - prefix_tokens
        self.output = output
        self.priority = priority
        self.seen = seen
        self.number = 0
        self.produced = 0
        self.start_step = -1
        self.prefill_left = 0
        self.running = False
        self.epoch = 0
        self.counted = False
        self.excess_at = 0.0


class SequenceEvents(Protocol):
    """What an engine tells of its generations."""

    def on_progress(self, sequence: Sequence, *, total: int, now: float) -> None:
        """The first new token after a start, a preemption or a move."""

    def on_pause(self, sequence: Sequence, *, total: int, now: float, excess_ms: float) -> None:
        """Tokens up to ``total`` were made; ``excess_ms`` is their stall."""

    def on_end(self, sequence: Sequence, *, now: float) -> None:
        """The answer is complete."""

    def on_cache(self, engine: EngineFake, *, prefix: str, stored: bool) -> None:
        """A prefix entered or left the cache."""
