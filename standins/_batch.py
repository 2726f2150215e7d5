"""Continuous batching in real time, with block memory and preemption by recompute."""

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
from standins.tokens import crash_offset
from standins.tokens import finish_reason
from standins.tokens import prompt_tag
from standins.tokens import prompt_tokens
from standins.tokens import token_at
from tanagerscale.core import Clock
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import LoadReport

BLOCK_TOKENS = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchLimits:
    """How large and how fast an engine is; times in milliseconds."""

    memory_tokens: int = 60_000
    max_batch: int = 64
    max_waiting: int = 1_000
    step_ms: float = 10.0
    sequence_ms: float = 0.1
    prefill_chunk: int = 512
    prefill_token_ms: float = 0.02


@unique
class Phase(Enum):
    """Where a sequence stands."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(kw_only=True, slots=True, eq=False)
class Sequence:
    """One generation."""

    request: EngineRequest
    version: str
    order: int
    length: int
    phase: Phase = Phase.WAITING
    tokens: list[str] = field(default_factory=list)
    finish: FinishReason | None = None
    admitted: int = 0
    prefill_left: int = 0
    preemptions: int = 0
    executed: bool = False
    finished_at: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def rank(self) -> tuple[int, int]:
        """Order in which sequences wait."""
        return self.request.priority, self.order

    @property
    def held_tokens(self) -> int:
        """Tokens of memory it needs now, in whole blocks."""
        used = prompt_tokens(self.request.prompt) + len(self.tokens)
        return -(-used // BLOCK_TOKENS) * BLOCK_TOKENS

    def notify(self) -> None:
        """Wake all that follow the generation."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


@final
class Batch:
    """The sequences of one engine and the loop that moves them on.

    :param limits: How large and how fast it is.
    :param clock: The time.
    :param cache: Prompt prefixes that need no prefill.
    :param journal: Where executions are noted.
    :param crash: Ends the process; called when a prompt says so.
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
        self._orders = 0
        self._admissions = 0
        self._preemptions = 0
        self._generated = 0
        self._work = asyncio.Event()

    @property
    def running(self) -> int:
        """How many sequences are in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """How many sequences wait for memory."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether no further sequence may wait."""
        return len(self._waiting) >= self._limits.max_waiting

    def holds(self, *, name: str) -> bool:
        """Return whether a model or adapter is in use.

        :param name: Its name.
        """
        live = (*self._running, *self._waiting)
        return any(name in (item.request.model, item.request.adapter) for item in live)

    def submit(self, request: EngineRequest, *, version: str) -> Sequence:
        """Queue a request.

        :param request: What is asked.
        :param version: The version that serves it.
        """
        self._orders += 1
        length = min(request.max_tokens, answer_length(request.prompt))
        sequence = Sequence(request=request, version=version, order=self._orders, length=length)
        self._waiting.append(sequence)
        self._work.set()
        return sequence

    def finish(self, sequence: Sequence, reason: FinishReason) -> None:
        """End a sequence; a second end changes nothing.

        :param sequence: The sequence.
        :param reason: Why it ends.
        """
        if sequence.finish is not None:
            return
        sequence.finish = reason
        sequence.phase = Phase.FINISHED
        sequence.finished_at = self._clock.now()
        for group in (self._waiting, self._running):
            if sequence in group:
                group.remove(sequence)
        sequence.notify()

    def fail_running(self) -> int:
        """End all running sequences with an error, as when memory runs out for good.

        :returns: How many.
        """
        failed = list(self._running)
        for sequence in failed:
            self.finish(sequence, FinishReason.ERROR)
        return len(failed)

    def preempt_running(self) -> int:
        """Send all running sequences back to the waiting ones.

        :returns: How many.
        """
        preempted = list(self._running)
        for sequence in preempted:
            self._preempt(sequence)
        return len(preempted)

    def report(self) -> LoadReport:
        """Return what the engine carries now."""
        return LoadReport(
            running=len(self._running),
            waiting=len(self._waiting),
            used_tokens=self._used(),
            memory_tokens=self._limits.memory_tokens,
            preemptions=self._preemptions,
            tokens_generated=self._generated,
        )

    async def run_forever(self) -> None:
        """Take steps as long as there is work."""
        while True:
            if not self._waiting and not self._running:
                self._work.clear()
                await self._work.wait()
            self._admit()
            duration = self._prefill_cost()
            decoding = self._reserve()
            duration += self._limits.step_ms + self._limits.sequence_ms * len(decoding)
            # Fractions of a millisecond count here, so the clock's whole ones don't do.
            await asyncio.sleep(duration / 1000)
            for sequence in decoding:
                self._decode(sequence)

    def _admit(self) -> None:
        self._waiting.sort(key=lambda sequence: sequence.rank)
        while self._waiting and len(self._running) < self._limits.max_batch:
            sequence = self._waiting[0]
            if sequence.held_tokens > self._limits.memory_tokens:
                self.finish(sequence, FinishReason.ERROR)
                continue
            if self._used() + sequence.held_tokens > self._limits.memory_tokens:
                return
            self._waiting.pop(0)
            self._start(sequence)

    def _start(self, sequence: Sequence) -> None:
        self._admissions += 1
        sequence.admitted = self._admissions
        sequence.phase = Phase.RUNNING
        prompt = sequence.request.prompt
        if not sequence.executed:
            attempt = sequence.request.attempt_id
            self._journal.note(Execution(id=attempt, tag=prompt_tag(prompt)))
        sequence.executed = True
        cached = self._cache.use(prompt)
        sequence.prefill_left = prompt_tokens(prompt) + len(sequence.tokens) - cached
        self._running.append(sequence)

    def _prefill_cost(self) -> float:
        chunk = self._limits.prefill_chunk
        for sequence in self._running:
            taken = min(chunk, sequence.prefill_left)
            sequence.prefill_left -= taken
            chunk -= taken
        return (self._limits.prefill_chunk - chunk) * self._limits.prefill_token_ms

    def _reserve(self) -> list[Sequence]:
        ready = [sequence for sequence in self._running if sequence.prefill_left <= 0]
        grown = sum(1 for sequence in ready if self._needs_block(sequence))
        while self._used() + grown * BLOCK_TOKENS > self._limits.memory_tokens:
            if len(self._running) == 1:
                self.finish(self._running[0], FinishReason.ERROR)
                return []
            victim = max(self._running, key=lambda item: (item.request.priority, item.admitted))
            self._preempt(victim)
            ready = [sequence for sequence in ready if sequence is not victim]
            grown = sum(1 for sequence in ready if self._needs_block(sequence))
        return ready

    def _needs_block(self, sequence: Sequence) -> bool:
        used = prompt_tokens(sequence.request.prompt) + len(sequence.tokens)
        return used % BLOCK_TOKENS == 0

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
        self._generated += 1
        if len(sequence.tokens) >= sequence.length:
            self.finish(sequence, finish_reason(sequence.request))
        sequence.notify()

    def _used(self) -> int:
        return sum(sequence.held_tokens for sequence in self._running)
