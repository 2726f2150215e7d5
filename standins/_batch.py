"""Continuous batching in real time with paged memory and preemption by recomputation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from typing import final

from standins._prefix_cache import PrefixCache
from standins.journal import Execution
from standins.journal import Journal
from standins.tokens import answer_length
from standins.tokens import count_prompt_tokens
from standins.tokens import crash_offset
from standins.tokens import finish_reason
from standins.tokens import prompt_tag
from standins.tokens import token_at
from tanagerscale.core import Clock
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import LoadReport

BLOCK_TOKENS = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchLimits:
    """Capacity and timing of an engine.

    :param memory_tokens: Capacity of the key-value memory, in tokens.
    :param max_batch: Maximum number of sequences that run at once.
    :param max_waiting: Maximum length of the waiting queue.
    :param step_ms: Fixed duration of one step, in milliseconds.
    :param sequence_ms: Duration that each decoded sequence adds to a step, in milliseconds.
    :param prefill_chunk_tokens: Maximum number of tokens prefilled in one step.
    :param prefill_token_ms: Duration that each prefilled token adds to a step, in milliseconds.
    """

    memory_tokens: int = 60_000
    max_batch: int = 64
    max_waiting: int = 1_000
    step_ms: float = 10.0
    sequence_ms: float = 0.1
    prefill_chunk_tokens: int = 512
    prefill_token_ms: float = 0.02


@unique
class Phase(Enum):
    """Scheduling state of a sequence."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(kw_only=True, slots=True, eq=False)
class Sequence:
    """One generation.

    :param request: The caller's request.
    :param version: Version of the model that serves it.
    :param submission_number: Position in the order of submission, from 1.
    :param length: Number of tokens the complete answer has.
    :param phase: Scheduling state.
    :param tokens: Tokens generated so far.
    :param finish_reason: Why it ended; ``None`` until then.
    :param admission_number: Position in the order of admission to the batch; 0 until then.
    :param remaining_prefill_tokens: Tokens to prefill before decoding starts or continues.
    :param preemptions: Number of times it was preempted.
    :param executed: Whether it has ever entered the batch.
    :param finished_at_ms: Clock time of its end; 0 until then.
    :param changed: Event set, and then replaced, on each new token and at the end.
    """

    request: EngineRequest
    version: str
    submission_number: int
    length: int
    phase: Phase = Phase.WAITING
    tokens: list[str] = field(default_factory=list)
    finish_reason: FinishReason | None = None
    admission_number: int = 0
    remaining_prefill_tokens: int = 0
    preemptions: int = 0
    executed: bool = False
    finished_at_ms: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def queue_key(self) -> tuple[int, int]:
        """Sort key in the waiting queue: priority, then order of submission."""
        return self.request.priority, self.submission_number

    @property
    def required_tokens(self) -> int:
        """Memory that the sequence needs now, in tokens rounded up to whole blocks."""
        used_tokens = count_prompt_tokens(self.request.prompt) + len(self.tokens)
        return -(-used_tokens // BLOCK_TOKENS) * BLOCK_TOKENS

    def notify(self) -> None:
        """Wake every stream that waits for a change of the sequence."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


@final
class Batch:
    """The sequences of one engine and the scheduling loop that advances them.

    :param limits: Capacity and timing of the engine.
    :param clock: Source of the current time.
    :param cache: Cache of prompt prefixes, whose tokens need no prefill.
    :param journal: File to which executions are appended.
    :param crash: Terminates the process; called when a prompt contains a crash directive.
    """

    def __init__(
        self,
        *,
        limits: BatchLimits,
        clock: Clock,
        cache: PrefixCache,
        journal: Journal,
        crash: Callable[[], None],
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._cache = cache
        self._journal = journal
        self._crash = crash
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._submissions = 0
        self._admissions = 0
        self._preemptions = 0
        self._generated_tokens = 0
        self._work_available = asyncio.Event()

    @property
    def running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of sequences in the waiting queue."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether the waiting queue is at its limit."""
        return len(self._waiting) >= self._limits.max_waiting

    def is_in_use(self, *, name: str) -> bool:
        """Return whether an unfinished sequence uses a model or adapter.

        :param name: Name of the model or adapter.
        """
        active = (*self._running, *self._waiting)
        return any(name in (item.request.model, item.request.adapter) for item in active)

    def submit(self, request: EngineRequest, *, version: str) -> Sequence:
        """Append a request to the waiting queue.

        :param request: The caller's request.
        :param version: Version of the model that serves it.
        :returns: The new sequence.
        """
        self._submissions += 1
        length = min(request.max_tokens, answer_length(request.prompt))
        sequence = Sequence(
            request=request, version=version, submission_number=self._submissions, length=length
        )
        self._waiting.append(sequence)
        self._work_available.set()
        return sequence

    def finish(self, sequence: Sequence, reason: FinishReason) -> None:
        """End a sequence; does nothing if it has already ended.

        :param sequence: The sequence to end.
        :param reason: Finish reason reported to its streams.
        """
        if sequence.finish_reason is not None:
            return
        sequence.finish_reason = reason
        sequence.phase = Phase.FINISHED
        sequence.finished_at_ms = self._clock.now()
        for queue in (self._waiting, self._running):
            if sequence in queue:
                queue.remove(sequence)
        sequence.notify()

    def fail_running(self) -> int:
        """End all running sequences with an error, simulating an out-of-memory failure.

        :returns: Number of sequences ended.
        """
        failed = list(self._running)
        for sequence in failed:
            self.finish(sequence, FinishReason.ERROR)
        return len(failed)

    def preempt_running(self) -> int:
        """Move all running sequences back to the waiting queue.

        :returns: Number of sequences preempted.
        """
        preempted = list(self._running)
        for sequence in preempted:
            self._preempt(sequence)
        return len(preempted)

    def load_report(self) -> LoadReport:
        """Return the current load of the engine."""
        return LoadReport(
            running=len(self._running),
            waiting=len(self._waiting),
            used_tokens=self._used_tokens(),
            memory_tokens=self._limits.memory_tokens,
            preemptions=self._preemptions,
            tokens_generated=self._generated_tokens,
        )

    async def run_forever(self) -> None:
        """Execute steps while there are sequences, and wait for a submission otherwise."""
        while True:
            if not self._waiting and not self._running:
                self._work_available.clear()
                await self._work_available.wait()
            self._admit()
            duration_ms = self._advance_prefill()
            decoding = self._reserve_blocks()
            duration_ms += self._limits.step_ms + self._limits.sequence_ms * len(decoding)
            # The clock sleeps whole milliseconds, but a step time may include a fraction.
            await asyncio.sleep(duration_ms / 1000)
            for sequence in decoding:
                self._decode(sequence)

    def _admit(self) -> None:
        self._waiting.sort(key=lambda sequence: sequence.queue_key)
        while self._waiting and len(self._running) < self._limits.max_batch:
            sequence = self._waiting[0]
            if sequence.required_tokens > self._limits.memory_tokens:
                self.finish(sequence, FinishReason.ERROR)
                continue
            if self._used_tokens() + sequence.required_tokens > self._limits.memory_tokens:
                return
            self._waiting.pop(0)
            self._start(sequence)

    def _start(self, sequence: Sequence) -> None:
        self._admissions += 1
        sequence.admission_number = self._admissions
        sequence.phase = Phase.RUNNING
        prompt = sequence.request.prompt
        if not sequence.executed:
            attempt = sequence.request.attempt_id
            self._journal.record(Execution(id=attempt, tag=prompt_tag(prompt)))
        sequence.executed = True
        cached_tokens = self._cache.lookup(prompt)
        sequence.remaining_prefill_tokens = (
            count_prompt_tokens(prompt) + len(sequence.tokens) - cached_tokens
        )
        self._running.append(sequence)

    def _advance_prefill(self) -> float:
        budget = self._limits.prefill_chunk_tokens
        for sequence in self._running:
            taken = min(budget, sequence.remaining_prefill_tokens)
            sequence.remaining_prefill_tokens -= taken
            budget -= taken
        return (self._limits.prefill_chunk_tokens - budget) * self._limits.prefill_token_ms

    def _reserve_blocks(self) -> list[Sequence]:
        ready = [sequence for sequence in self._running if sequence.remaining_prefill_tokens <= 0]
        new_blocks = sum(1 for sequence in ready if self._needs_block(sequence))
        while self._used_tokens() + new_blocks * BLOCK_TOKENS > self._limits.memory_tokens:
            if len(self._running) == 1:
                self.finish(self._running[0], FinishReason.ERROR)
                return []
            victim = max(
                self._running, key=lambda item: (item.request.priority, item.admission_number)
            )
            self._preempt(victim)
            ready = [sequence for sequence in ready if sequence is not victim]
            new_blocks = sum(1 for sequence in ready if self._needs_block(sequence))
        return ready

    def _needs_block(self, sequence: Sequence) -> bool:
        used_tokens = count_prompt_tokens(sequence.request.prompt) + len(sequence.tokens)
        return used_tokens % BLOCK_TOKENS == 0

    def _preempt(self, sequence: Sequence) -> None:
        self._running.remove(sequence)
        sequence.phase = Phase.WAITING
        sequence.preemptions += 1
        self._preemptions += 1
        self._waiting.append(sequence)

    def _decode(self, sequence: Sequence) -> None:
        if sequence.phase is not Phase.RUNNING:
            return
        offset = len(sequence.tokens)
        if crash_offset(sequence.request.prompt) == offset:
            self._crash()
        if offset >= sequence.length:
            self.finish(sequence, finish_reason(sequence.request))
            return
        sequence.tokens.append(token_at(sequence.request, offset, version=sequence.version))
        self._generated_tokens += 1
        if len(sequence.tokens) >= sequence.length:
            self.finish(sequence, finish_reason(sequence.request))
        sequence.notify()

    def _used_tokens(self) -> int:
        return sum(sequence.required_tokens for sequence in self._running)
