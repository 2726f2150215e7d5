"""Simulates an inference engine, with parameters derived from published behaviour.

Continuous batching, block memory and preemption by recompute follow PagedAttention (Kwon et al.,
SOSP 2023), chunked prefill follows Sarathi-Serve (Agrawal et al., OSDI 2024). Every decoding
generation produces one token per step. Completions and block allocations are indexed by step
number, so the simulation of a step takes constant time whatever the batch size.
"""

from __future__ import annotations

from collections import OrderedDict
import heapq
from typing import final

from msgspec import Struct

from tanagerscale.replay._sequence import Sequence
from tanagerscale.replay._sequence import SequenceListener
from tanagerscale.replay._sequence import StepListener

BLOCK_TOKENS = 16
MEMORY_WATERMARK = 0.01
"""Fraction of memory that admission keeps free, as in vLLM."""


class EngineModel(Struct, frozen=True, kw_only=True):
    """Performance model of an engine: step times and memory.

    :param base_ms: Fixed time of a step.
    :param sequence_ms: Additional time per generation decoded in the step.
    :param context_ms: Additional time per token of context read in the step.
    :param prefill_ms: Additional time per prompt token computed in the step.
    :param chunk_tokens: Maximum number of prompt tokens computed in a step.
    :param memory_tokens: Capacity of the KV cache, in tokens.
    :param max_batch: Maximum number of generations in the batch.
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
class SimulatedEngine:
    """Simulates one engine with continuous batching in simulated time.

    :param name: Id of the engine.
    :param model: Step times and memory of the engine.
    :param listener: Receives the events of generations and of the prefix cache.
    :param step_listener: Receives the duration of each step.
    :param token_gap_ms: Objective for the time between tokens, in milliseconds; time beyond it
        counts as stall.
    """

    def __init__(
        self,
        *,
        name: str,
        model: EngineModel,
        listener: SequenceListener,
        step_listener: StepListener,
        token_gap_ms: float,
    ) -> None:
        self.name = name
        self.model = model
        self.is_alive = True
        self.preemptions = 0
        self.recomputed_tokens = 0
        self.busy_ms = 0.0
        self.prefilled_tokens = 0
        self._listener = listener
        self._step_listener = step_listener
        self._token_gap_ms = token_gap_ms
        self._blocks = model.memory_tokens // BLOCK_TOKENS
        self._free = self._blocks
        """Blocks that no running generation holds; cached prefixes occupy some of them."""
        self._cached_prefixes: OrderedDict[str, int] = OrderedDict()
        self._cached_blocks = 0
        self._prefix_users: dict[str, int] = {}
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: dict[int, Sequence] = {}
        self._prefilling: list[Sequence] = []
        self._next_events: list[tuple[int, int, int, Sequence]] = []
        self._blocks_due = [0] * BLOCK_TOKENS
        """Number of generations that need a new block, by step number modulo ``BLOCK_TOKENS``."""
        self._step = 0
        self._decoding = 0
        self._progressing = 0
        self._stall_ms = 0.0
        self._last_number = 0
        self._duration = 0.0
        self._in_step = False
        self._prefilled: list[Sequence] = []

    @property
    def is_idle(self) -> bool:
        """Whether the engine has no running and no waiting generations."""
        return not self._running and not self._waiting

    @property
    def running(self) -> int:
        """Number of generations in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of generations waiting to join the batch."""
        return len(self._waiting)

    @property
    def used_tokens(self) -> int:
        """Memory that running generations hold, in tokens."""
        return (self._blocks - self._free) * BLOCK_TOKENS

    def has_prefix(self, prefix: str) -> bool:
        """Return whether a prefix is in memory; only for the clairvoyant scheduler."""
        return prefix in self._cached_prefixes or prefix in self._prefix_users

    def sequences(self) -> list[Sequence]:
        """Return the running generations, then the waiting ones."""
        return list(self._running.values()) + [entry[2] for entry in self._waiting]

    def produced(self, sequence: Sequence) -> int:
        """Return the number of tokens a generation has produced."""
        if sequence.start_step >= 0:
            return sequence.produced + self._step - sequence.start_step
        return sequence.produced

    def submit(self, sequence: Sequence) -> None:
        """Add a generation to the waiting queue."""
        self._last_number += 1
        sequence.number = self._last_number
        heapq.heappush(self._waiting, (sequence.priority, sequence.number, sequence))

    def cancel(self, sequence: Sequence, *, now: float) -> int:
        """Cancel a generation.

        :param now: Current time, in milliseconds.
        :returns: The number of tokens it had produced.
        """
        if sequence.running:
            self._remove_running(sequence, now=now)
        else:
            self._waiting = [entry for entry in self._waiting if entry[2] is not sequence]
            heapq.heapify(self._waiting)
        return sequence.produced

    def begin_step(self, *, now: float) -> float:
        """Begin a step.

        :param now: Current time, in milliseconds.
        :returns: Duration of the step, in milliseconds.
        """
        self._preempt_for_memory(now=now)
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
        self._free -= self._blocks_due[self._step % BLOCK_TOKENS]
        self._in_step = True
        return self._duration

    def end_step(self, *, now: float) -> None:
        """Complete the current step.

        :param now: Current time, in milliseconds.
        """
        self._in_step = False
        self._step += 1
        if self._progressing:
            self._step_listener.on_step(duration_ms=self._duration, generations=self._progressing)
        self._stall_ms += max(self._duration - self._token_gap_ms, 0.0)
        while self._next_events and self._next_events[0][0] <= self._step:
            _, _, epoch, sequence = heapq.heappop(self._next_events)
            if epoch == sequence.epoch:
                self._handle_event(sequence, now=now)
        for sequence in self._prefilled:
            if sequence.running and sequence.prefill_remaining == 0 and sequence.start_step < 0:
                self._start_decoding(sequence, now=now)
        self._prefilled.clear()

    def _handle_event(self, sequence: Sequence, *, now: float) -> None:
        """Handle the scheduled event of a generation: its first new token or its completion."""
        total = self.produced(sequence)
        if not sequence.is_progressing:
            self._start_progress(sequence, total=total, now=now)
        if total >= sequence.output_tokens:
            self._remove_running(sequence, now=now)
            self._listener.on_end(sequence, now=now)
            return
        self._schedule_event(sequence)

    def _start_progress(self, sequence: Sequence, *, total: int, now: float) -> None:
        self._listener.on_progress(sequence, total=total, now=now)
        sequence.is_progressing = True
        sequence.stall_at_resume_ms = self._stall_ms
        self._progressing += 1

    def _start_decoding(self, sequence: Sequence, *, now: float) -> None:
        if (sequence.private_tokens + sequence.produced) % BLOCK_TOKENS == 0:
            self._free -= 1
        sequence.produced += 1
        sequence.start_step = self._step
        self._decoding += 1
        self._blocks_due[self._due_index(sequence)] += 1
        if sequence.produced > sequence.already_generated:
            self._handle_event(sequence, now=now)
        else:
            self._schedule_event(sequence)

    def _schedule_event(self, sequence: Sequence) -> None:
        goal = (
            sequence.output_tokens
            if sequence.is_progressing
            else min(sequence.already_generated + 1, sequence.output_tokens)
        )
        step = sequence.start_step + goal - sequence.produced
        heapq.heappush(self._next_events, (step, sequence.number, sequence.epoch, sequence))

    def _due_index(self, sequence: Sequence) -> int:
        return (sequence.start_step - sequence.private_tokens - sequence.produced) % BLOCK_TOKENS

    def _preempt_for_memory(self, *, now: float) -> None:
        """Preempt generations until the step's new tokens fit in memory."""
        while self._blocks_due[self._step % BLOCK_TOKENS] > self._free and len(self._running) > 1:
            victim = max(self._running.values(), key=lambda item: (item.priority, item.number))
            self._preempt(victim, now=now)
        self._evict_prefixes()

    def _preempt(self, sequence: Sequence, *, now: float) -> None:
        self._remove_running(sequence, now=now)
        self.preemptions += 1
        self.recomputed_tokens += (
            sequence.private_tokens + sequence.prefix_tokens + sequence.produced
        )
        sequence.already_generated = max(sequence.already_generated, sequence.produced)
        heapq.heappush(self._waiting, (sequence.priority, sequence.number, sequence))

    def _remove_running(self, sequence: Sequence, *, now: float) -> None:
        """Remove a generation from the batch and free its memory."""
        total = self.produced(sequence)
        if sequence.start_step >= 0:
            self._blocks_due[self._due_index(sequence)] -= 1
            self._decoding -= 1
        if sequence.is_progressing:
            self._progressing -= 1
            self._listener.on_pause(
                sequence,
                total=total,
                now=now,
                stall_ms=self._stall_ms - sequence.stall_at_resume_ms,
            )
        sequence.is_progressing = False
        sequence.running = False
        sequence.epoch += 1
        del self._running[sequence.number]
        if sequence.prefill_remaining > 0:
            self._prefilling.remove(sequence)
            sequence.prefill_remaining = 0
        held = sequence.private_tokens + total
        self._free += _blocks(held)
        if self._in_step and sequence.start_step >= 0 and held % BLOCK_TOKENS == 0:
            # The current step has allocated a block for a token that is not produced any more.
            self._free += 1
        sequence.produced = total
        sequence.start_step = -1
        self._release_prefix(sequence)

    def _admit(self) -> None:
        reserved_blocks = int(self._blocks * MEMORY_WATERMARK)
        while self._waiting and len(self._running) < self.model.max_batch:
            sequence = self._waiting[0][2]
            need = _blocks(sequence.private_tokens + sequence.produced)
            if sequence.prefix and sequence.prefix not in self._prefix_users:
                need += _blocks(sequence.prefix_tokens)
            if need + reserved_blocks > self._free and self._running:
                return
            heapq.heappop(self._waiting)
            self._start_running(sequence)

    def _start_running(self, sequence: Sequence) -> None:
        self._free -= _blocks(sequence.private_tokens + sequence.produced)
        cached = self._acquire_prefix(sequence)
        sequence.prefill_remaining = max(
            sequence.private_tokens + sequence.produced + (0 if cached else sequence.prefix_tokens),
            1,
        )
        sequence.running = True
        self._running[sequence.number] = sequence
        self._prefilling.append(sequence)
        self._evict_prefixes()

    def _prefill(self) -> int:
        """Compute up to one chunk of prompt tokens, in order of admission."""
        left = self.model.chunk_tokens
        while self._prefilling and left > 0:
            sequence = self._prefilling[0]
            computed = min(sequence.prefill_remaining, left)
            sequence.prefill_remaining -= computed
            left -= computed
            if sequence.prefill_remaining == 0:
                self._prefilling.pop(0)
                self._prefilled.append(sequence)
        return self.model.chunk_tokens - left

    def _acquire_prefix(self, sequence: Sequence) -> bool:
        """Acquire the blocks of a generation's prefix.

        :returns: Whether the prefix needs no computation.
        """
        prefix = sequence.prefix
        if not prefix:
            return True
        if prefix in self._prefix_users:
            self._prefix_users[prefix] += 1
            return True
        self._prefix_users[prefix] = 1
        blocks = _blocks(sequence.prefix_tokens)
        self._free -= blocks
        if prefix in self._cached_prefixes:
            self._cached_blocks -= self._cached_prefixes.pop(prefix)
            return True
        self._listener.on_cache(self, prefix=prefix, stored=True)
        return False

    def _release_prefix(self, sequence: Sequence) -> None:
        prefix = sequence.prefix
        if not prefix:
            return
        self._prefix_users[prefix] -= 1
        if self._prefix_users[prefix]:
            return
        del self._prefix_users[prefix]
        blocks = _blocks(sequence.prefix_tokens)
        self._free += blocks
        self._cached_prefixes[prefix] = blocks
        self._cached_blocks += blocks

    def _evict_prefixes(self) -> None:
        """Evict the least recently used prefixes until the step's new blocks fit in memory."""
        need = self._blocks_due[self._step % BLOCK_TOKENS]
        while self._cached_prefixes and self._cached_blocks + need > self._free:
            prefix, blocks = self._cached_prefixes.popitem(last=False)
            self._cached_blocks -= blocks
            self._listener.on_cache(self, prefix=prefix, stored=False)
