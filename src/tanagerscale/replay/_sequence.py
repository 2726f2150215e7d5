"""Generations on a simulated engine and the interfaces of their listeners."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import final

if TYPE_CHECKING:
    from tanagerscale.replay._engine import SimulatedEngine


class StepListener(Protocol):
    """Receives the durations of an engine's steps, which are the gaps between tokens."""

    def on_step(self, *, duration_ms: float, generations: int) -> None:
        """Handle a completed step.

        :param duration_ms: Duration of the step.
        :param generations: Number of generations that produced a new token in the step.
        """


@final
class Sequence:
    """State of one generation on an engine.

    :param owner: Object that the caller associates with the generation.
    :param prompt_tokens: Number of prompt tokens, including the prefix.
    :param prefix: Name of the shared prefix; empty for none.
    :param prefix_tokens: Length of the shared prefix, in tokens.
    :param output_tokens: True length of the output, in tokens.
    :param priority: Scheduling priority; 0 is the highest.
    :param already_generated: Number of tokens that were generated for the request before;
        generating them again is not progress.
    """

    __slots__ = (
        "already_generated",
        "arrived",
        "epoch",
        "is_progressing",
        "number",
        "output_tokens",
        "owner",
        "prefill_remaining",
        "prefix",
        "prefix_tokens",
        "priority",
        "private_tokens",
        "produced",
        "running",
        "stall_at_resume_ms",
        "start_step",
    )

    def __init__(
        self,
        *,
        owner: Any,
        prompt_tokens: int,
        prefix: str,
        prefix_tokens: int,
        output_tokens: int,
        priority: int,
        already_generated: int,
    ) -> None:
        self.owner = owner
        self.prefix = prefix
        self.prefix_tokens = prefix_tokens
        self.private_tokens = prompt_tokens - prefix_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.already_generated = already_generated
        self.number = 0
        self.produced = 0
        self.start_step = -1
        self.prefill_remaining = 0
        self.running = False
        self.epoch = 0
        self.is_progressing = False
        self.stall_at_resume_ms = 0.0


class SequenceListener(Protocol):
    """Receives the events of an engine's generations and of its prefix cache."""

    def on_progress(self, sequence: Sequence, *, total: int, now: float) -> None:
        """Handle the first new token after a start, a preemption or a move."""

    def on_pause(self, sequence: Sequence, *, total: int, now: float, stall_ms: float) -> None:
        """Handle the removal of a generation from the batch.

        :param total: Number of tokens produced so far.
        :param stall_ms: Stall time of the tokens produced since the last progress event.
        """

    def on_end(self, sequence: Sequence, *, now: float) -> None:
        """Handle the completion of an answer."""

    def on_cache(self, engine: SimulatedEngine, *, prefix: str, stored: bool) -> None:
        """Handle the insertion of a prefix into the cache or its eviction."""
