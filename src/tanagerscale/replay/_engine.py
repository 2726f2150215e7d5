"""A small fake of a model engine, parametrised from published behaviour.

Continuous batching, block memory and preemption by recompute follow PagedAttention (Kwon et al.,
SOSP 2023), chunked prefill follows Sarathi-Serve (Agrawal et al., OSDI 2024). All generations
that decode make one token in each step, so a step costs a constant time here however large the
batch is: ends and block boundaries are indexed by step number.
"""

from __future__ import annotations

from collections import OrderedDict
import heapq
from typing import final

from msgspec import Struct

from tanagerscale.replay._sequence import GapSink
from tanagerscale.replay._sequence import Sequence
from tanagerscale.replay._sequence import SequenceEvents

BLOCK_TOKENS = 16
WATERMARK = 0.01
"""Part of memory that admission leaves free, as vLLM does."""


class EngineModel(Struct, frozen=True, kw_only=True):
    """Speed and memory of an engine.

    :param base_ms: Time of a step however small.
    :param sequence_ms: Time for each generation decoded in a step.
    :param context_ms: Time for each token of context read in a step.
    :param prefill_ms: Time for each prompt token computed in a step.
    :param chunk_tokens: Most prompt tokens computed in a step.
    :param memory_tokens: Tokens of key-value memory.
    :param max_batch: Most generations that run together.
    """

    base_ms: float = 14.0
    sequence_ms: float = 0.25
    context_ms: float = 0.0002
    prefill_ms: float = 0.06
    chunk_tokens: int = 512
    memory_tokens: int = 60_000
    max_batch: int = 64


def _blocks(tokens: int) -> int:
    return -(-tokens // BLOCK_TOKENS)


@final
class EngineFake:
    """One engine in virtual time.

    :param name: Its id.
    :param model: Speed and memory.
    :param events: Who hears of its generations.
    :param gaps: Who hears of its steps.
    :param token_gap_ms: Objective for the time between tokens.
    """

    def __init__(
        self,
        *,
        name: str,
        model: EngineModel,
        events: SequenceEvents,
        gaps: GapSink,
        token_gap_ms: float,
    ) -> None:
        self.name = name
        self.model = model
        self.alive = True
        self.preemptions = 0
        self.recomputed_tokens = 0
        self.busy_ms = 0.0
        self.prefilled_tokens = 0
        self._events = events
        self._gaps = gaps
        self._token_gap_ms = token_gap_ms
        self._blocks = model.memory_tokens // BLOCK_TOKENS
        self._free = self._blocks
        """Blocks that no running generation holds; cached prefixes lie in them."""
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._cached_blocks = 0
        self._users: dict[str, int] = {}
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: dict[int, Sequence] = {}
        self._prefilling: list[Sequence] = []
        self._ends: list[tuple[int, int, int, Sequence]] = []
        self._boundaries = [0] * BLOCK_TOKENS
        self._step = 0
        self._decoding = 0
        self._counted = 0
        self._excess = 0.0
        self._number = 0
        self._duration = 0.0
        self._in_step = False
        self._started: list[Sequence] = []

    @property
    def idle(self) -> bool:
        """Return whether there is nothing to run."""
        return not self._running and not self._waiting

    @property
    def running(self) -> int:
        """Return how many generations are in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return how many generations wait for the batch."""
        return len(self._waiting)

    @property
    def used_tokens(self) -> int:
        """Return how many tokens of memory running generations hold."""
        return (self._blocks - self._free) * BLOCK_TOKENS

    def caches(self, prefix: str) -> bool:
        """Return whether a prefix need not be computed; only the clairvoyant may ask."""
        return prefix in self._cached or prefix in self._users

    def sequences(self) -> list[Sequence]:
        """Return everything it holds, running first."""
        return list(self._running.values()) + [entry[2] for entry in self._waiting]

    def produced(self, sequence: Sequence) -> int:
        """Return how many tokens a generation has made."""
        if sequence.start_step >= 0:
            return sequence.produced + self._step - sequence.start_step
        return sequence.produced

    def submit(self, sequence: Sequence) -> None:
        """Queue a generation."""
        self._number += 1
        sequence.number = self._number
        heapq.heappush(self._waiting, (sequence.priority, sequence.number, sequence))

    def cancel(self, sequence: Sequence, *, now: float) -> int:
        """Stop a generation.

        :returns: How many tokens it had made.
        """
        if sequence.running:
            self._leave(sequence, now=now)
        else:
            self._waiting = [entry for entry in self._waiting if entry[2] is not sequence]
            heapq.heapify(self._waiting)
        return sequence.produced

    def begin_step(self, *, now: float) -> float:
        """Start a step.

        :returns: How long it takes, in milliseconds.
        """
        self._secure_memory(now=now)
        self._admit()
        chunk = self._prefill()
        model = self.model
        self._duration = (
            model.base_ms
            + model.sequence_ms * self._decoding
            + model.context_ms * self.used_tokens
            + model.prefill_ms * chunk
        )
        self.busy_ms += self._duration
        self.prefilled_tokens += chunk
        self._free -= self._boundaries[self._step % BLOCK_TOKENS]
        self._in_step = True
        return self._duration

    def end_step(self, *, now: float) -> None:
        """Finish the step that was begun last."""
        self._in_step = False
        self._step += 1
        if self._counted:
            self._gaps.step(duration_ms=self._duration, generations=self._counted)
        self._excess += max(self._duration - self._token_gap_ms, 0.0)
        while self._ends and self._ends[0][0] <= self._step:
            _, _, epoch, sequence = heapq.heappop(self._ends)
            if epoch == sequence.epoch:
                self._reached(sequence, now=now)
        for sequence in self._started:
            if sequence.running and sequence.prefill_left == 0 and sequence.start_step < 0:
                self._start_decoding(sequence, now=now)
        self._started.clear()

    def _reached(self, sequence: Sequence, *, now: float) -> None:
        """Handle a generation's next event: its first new token, or its end."""
        total = self.produced(sequence)
        if not sequence.counted:
            self._count(sequence, total=total, now=now)
        if total >= sequence.output:
            self._leave(sequence, now=now)
            self._events.on_end(sequence, now=now)
            return
        self._schedule(sequence)

    def _count(self, sequence: Sequence, *, total: int, now: float) -> None:
        self._events.on_progress(sequence, total=total, now=now)
        sequence.counted = True
        sequence.excess_at = self._excess
        self._counted += 1

    def _start_decoding(self, sequence: Sequence, *, now: float) -> None:
        if (sequence.private + sequence.produced) % BLOCK_TOKENS == 0:
            self._free -= 1
        sequence.produced += 1
        sequence.start_step = self._step
        self._decoding += 1
        self._boundaries[self._boundary(sequence)] += 1
        if sequence.produced > sequence.seen:
            self._reached(sequence, now=now)
        else:
            self._schedule(sequence)

    def _schedule(self, sequence: Sequence) -> None:
        goal = sequence.output if sequence.counted else min(sequence.seen + 1, sequence.output)
        step = sequence.start_step + goal - sequence.produced
        heapq.heappush(self._ends, (step, sequence.number, sequence.epoch, sequence))

    def _boundary(self, sequence: Sequence) -> int:
        return (sequence.start_step - sequence.private - sequence.produced) % BLOCK_TOKENS

    def _secure_memory(self, *, now: float) -> None:
        """Preempt until the step's new tokens have room."""
        while self._boundaries[self._step % BLOCK_TOKENS] > self._free and len(self._running) > 1:
            victim = max(self._running.values(), key=lambda item: (item.priority, item.number))
            self._preempt(victim, now=now)
        self._trim_cache()

    def _preempt(self, sequence: Sequence, *, now: float) -> None:
        self._leave(sequence, now=now)
        self.preemptions += 1
        self.recomputed_tokens += sequence.private + sequence.prefix_tokens + sequence.produced
        sequence.seen = max(sequence.seen, sequence.produced)
        heapq.heappush(self._waiting, (sequence.priority, sequence.number, sequence))

    def _leave(self, sequence: Sequence, *, now: float) -> None:
        """Take a generation out of the batch and free its memory."""
        total = self.produced(sequence)
        if sequence.start_step >= 0:
            self._boundaries[self._boundary(sequence)] -= 1
            self._decoding -= 1
        if sequence.counted:
            self._counted -= 1
            self._events.on_pause(
                sequence, total=total, now=now, excess_ms=self._excess - sequence.excess_at
            )
        sequence.counted = False
        sequence.running = False
        sequence.epoch += 1
        del self._running[sequence.number]
        if sequence.prefill_left > 0:
            self._prefilling.remove(sequence)
            sequence.prefill_left = 0
        held = sequence.private + total
        self._free += _blocks(held)
        if self._in_step and sequence.start_step >= 0 and held % BLOCK_TOKENS == 0:
            # The step under way had taken a block for the token that will not be made.
            self._free += 1
        sequence.produced = total
        sequence.start_step = -1
        self._release_prefix(sequence)

    def _admit(self) -> None:
        spare = int(self._blocks * WATERMARK)
        while self._waiting and len(self._running) < self.model.max_batch:
            sequence = self._waiting[0][2]
            need = _blocks(sequence.private + sequence.produced)
            if sequence.prefix and sequence.prefix not in self._users:
                need += _blocks(sequence.prefix_tokens)
            if need + spare > self._free and self._running:
                return
            heapq.heappop(self._waiting)
            self._enter(sequence)

    def _enter(self, sequence: Sequence) -> None:
        self._free -= _blocks(sequence.private + sequence.produced)
        cached = self._take_prefix(sequence)
        sequence.prefill_left = max(
            sequence.private + sequence.produced + (0 if cached else sequence.prefix_tokens), 1
        )
        sequence.running = True
        self._running[sequence.number] = sequence
        self._prefilling.append(sequence)
        self._trim_cache()

    def _prefill(self) -> int:
        """Compute up to a chunk of prompt tokens, the longest waiting generation first."""
        left = self.model.chunk_tokens
        while self._prefilling and left > 0:
            sequence = self._prefilling[0]
            part = min(sequence.prefill_left, left)
            sequence.prefill_left -= part
            left -= part
            if sequence.prefill_left == 0:
                self._prefilling.pop(0)
                self._started.append(sequence)
        return self.model.chunk_tokens - left

    def _take_prefix(self, sequence: Sequence) -> bool:
        """Hold a prefix's blocks.

        :returns: Whether they were computed before.
        """
        prefix = sequence.prefix
        if not prefix:
            return True
        if prefix in self._users:
            self._users[prefix] += 1
            return True
        self._users[prefix] = 1
        blocks = _blocks(sequence.prefix_tokens)
        self._free -= blocks
        if prefix in self._cached:
            self._cached_blocks -= self._cached.pop(prefix)
            return True
        self._events.on_cache(self, prefix=prefix, stored=True)
        return False

    def _release_prefix(self, sequence: Sequence) -> None:
        prefix = sequence.prefix
        if not prefix:
            return
        self._users[prefix] -= 1
        if self._users[prefix]:
            return
        del self._users[prefix]
        blocks = _blocks(sequence.prefix_tokens)
        self._free += blocks
        self._cached[prefix] = blocks
        self._cached_blocks += blocks

    def _trim_cache(self) -> None:
        """Evict the least recently used prefixes whose blocks are needed."""
        need = self._boundaries[self._step % BLOCK_TOKENS]
        while self._cached and self._cached_blocks + need > self._free:
            prefix, blocks = self._cached.popitem(last=False)
            self._cached_blocks -= blocks
            self._events.on_cache(self, prefix=prefix, stored=False)
