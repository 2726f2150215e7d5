"""Batch of a language model engine: prompts in chunks, tokens in steps, memory and preemption."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from typing import Final
from typing import final

from standins.platform_day_records import Arrival
from standins.platform_day_records import RunEnd
from tanagerscale.core import MS_PER_SECOND

SLOTS: Final = 24
MEMORY_TOKENS: Final = 34_392
QUEUE: Final = 72
STEP_MS: Final = 7.0
STEP_MS_PER_RUN: Final = 0.12
EVENT_TOKENS: Final = 4
PROMPT_TOKENS_PER_MS: Final = 14.0
CHUNK_TOKENS: Final = 112
MAX_BACKLOG_S: Final = 0.25
"""Delay of the event loop that a batch makes up for; beyond it the engine counts as stalled."""


@dataclass(slots=True, eq=False)
class DayRun:
    """A generation at one engine.

    :param arrival: Its record.
    :param priority: Its priority; 0 is the most urgent.
    :param prompt: Tokens of its prompt.
    :param length: Number of events of the whole answer.
    :param memory_of: Request whose memory it uses; its own in a sound system.
    :param deadline: Monotonic time at which the engine ends it, in milliseconds.
    :param events: Events generated so far, at all engines.
    :param tokens: Tokens generated so far.
    :param read: Tokens that are in memory.
    :param number: Order in which runs arrived.
    :param is_copying: Whether its memory is being copied.
    :param changed: Set when there are new events or it has ended.
    """

    arrival: Arrival
    priority: int
    prompt: int
    length: int
    memory_of: str
    deadline: float
    events: int = 0
    tokens: int = 0
    read: int = 0
    number: int = 0
    is_copying: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def request(self) -> str:
        """Id of its request."""
        return self.arrival.request

    @property
    def size(self) -> int:
        """Tokens that it needs in memory."""
        return self.prompt + self.tokens

    @property
    def is_over(self) -> bool:
        """Whether the engine has ended it."""
        return self.arrival.end is not None

    @property
    def urgency(self) -> tuple[bool, int, int]:
        """Order of admission; the highest value is preempted first."""
        return (not self.arrival.is_continuation, self.priority, self.number)


@dataclass(slots=True, eq=False)
class KeptMemory:
    """Memory of a run that engines hold for it to go on.

    :param run: The run.
    :param events: Events that the memory covers.
    :param tokens: Tokens of the memory.
    :param expires: Monotonic time in milliseconds.
    :param is_used: Whether its handle has been used; shared by source and target.
    """

    run: DayRun
    events: int
    tokens: int
    expires: float
    is_used: bool = False


@final
class Batch:
    """Runs and waiting requests of one engine.

    :param slowness: Factor of the duration of each step.
    :param memory_tokens: Tokens that its memory holds.
    """

    def __init__(self, *, slowness: float = 1.0, memory_tokens: int = MEMORY_TOKENS) -> None:
        self.memory_tokens = memory_tokens
        self.running: list[DayRun] = []
        self.waiting: list[DayRun] = []
        self.kept: dict[str, KeptMemory] = {}
        """Copies, and memory of runs that were stopped, by handle."""
        self.preemptions = 0
        self._slowness = slowness
        self._numbers = count(1)
        self._work = asyncio.Event()

    @property
    def used(self) -> int:
        """Tokens in memory that cannot yield."""
        self._expire()
        kept = {memory.run.request: memory.tokens for memory in self.kept.values()}
        return sum(kept.values()) + sum(run.size for run in self.running)

    @property
    def places(self) -> int:
        """Slots in use."""
        return len(self.running) + len({memory.run.request for memory in self.kept.values()})

    def find(self, request: str) -> DayRun | None:
        """Return the run of a request that is in memory."""
        return next((run for run in self.running if run.request == request), None)

    def add(self, run: DayRun) -> bool:
        """Queue a run, or return ``False`` if the queue is full or the run too large."""
        if len(self.waiting) >= QUEUE or run.size > self.memory_tokens:
            return False
        run.number = next(self._numbers)
        self.waiting.append(run)
        self._work.set()
        return True

    def resume(self, run: DayRun, memory: KeptMemory) -> None:
        """Admit a run that goes on from memory, before all that wait."""
        run.number = next(self._numbers)
        run.read = min(memory.tokens, run.size)
        run.arrival.admitted = _now()
        self.running.append(run)
        self._work.set()

    def end(self, run: DayRun, end: RunEnd) -> None:
        """End a run in whichever state it is."""
        if run.is_over:
            return
        run.arrival.end = end
        run.arrival.finished = _now()
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)
        run.changed.set()

    def has_room(self, tokens: int) -> bool:
        """Return whether a copy of some tokens fits beside everything else."""
        return self.places < SLOTS and self.used + tokens <= self.memory_tokens

    async def run_forever(self) -> None:
        """Advance the batch step by step until cancelled."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            if not self.running and not self.waiting:
                self._work.clear()
                await self._work.wait()
                due = loop.time()
            self._end_late()
            self._admit()
            reading = self._choose_chunk()
            due += self._step_ms(reading) * self._slowness / MS_PER_SECOND
            due = max(due, loop.time() - MAX_BACKLOG_S)
            await asyncio.sleep(max(due - loop.time(), 0))
            self._advance(reading)

    def _step_ms(self, reading: list[tuple[DayRun, int]]) -> float:
        chunk_ms = sum(tokens for _, tokens in reading) / PROMPT_TOKENS_PER_MS
        return STEP_MS + STEP_MS_PER_RUN * len(self.running) + chunk_ms

    def _end_late(self) -> None:
        now = _now()
        for run in [*self.running, *self.waiting]:
            if now >= run.deadline:
                # A request whose deadline passes in the queue has not been executed.
                is_executed = run.arrival.executed
                self.end(run, RunEnd.DEADLINE if is_executed else RunEnd.NOT_EXECUTED)

    def _admit(self) -> None:
        for run in sorted(self.waiting, key=lambda run: run.urgency):
            if not self._make_room(run):
                return
            self.waiting.remove(run)
            self.running.append(run)
            if run.arrival.pauses and run.arrival.pauses[-1][1] is None:
                run.arrival.pauses[-1][1] = _now()
            if run.arrival.admitted is None:
                run.arrival.admitted = _now()

    def _make_room(self, run: DayRun) -> bool:
        """Preempt less urgent runs as far as that makes room for a run."""
        while self.places >= SLOTS or self.used + run.size > self.memory_tokens:
            victim = max(self.running, key=lambda run: run.urgency, default=None)
            if victim is None or victim.priority <= run.priority:
                return False
            self._preempt(victim)
        return True

    def _preempt(self, run: DayRun) -> None:
        self.preemptions += 1
        self.running.remove(run)
        self.waiting.append(run)
        run.read = 0
        run.arrival.pauses.append([_now(), None])

    def _choose_chunk(self) -> list[tuple[DayRun, int]]:
        """Return how many tokens of which runs are read in this step."""
        left, chosen = CHUNK_TOKENS, []
        # Runs that go on from a copy lack little and have been admitted first.
        for run in sorted(self.running, key=lambda run: not run.arrival.is_continuation):
            tokens = min(run.size - run.read, left)
            if tokens > 0:
                chosen.append((run, tokens))
                left -= tokens
        return chosen

    def _advance(self, reading: Iterable[tuple[DayRun, int]]) -> None:
        readers = {run for run, _ in reading}
        for run, tokens in reading:
            run.read += tokens
        for run in list(self.running):
            if run in readers or run.read < run.size:
                continue
            run.tokens += 1
            run.read += 1
            if run.tokens % EVENT_TOKENS == 0:
                self._emit(run)
        while self.used > self.memory_tokens and self.running:
            self._preempt(max(self.running, key=lambda run: run.urgency))

    def _emit(self, run: DayRun) -> None:
        run.events += 1
        arrival = run.arrival
        arrival.events, arrival.last_event = run.events, _now()
        arrival.first_event = arrival.first_event or arrival.last_event
        if run.events >= run.length:
            self.end(run, RunEnd.WHOLE)
        run.changed.set()

    def _expire(self) -> None:
        now = _now()
        for handle in [one for one, memory in self.kept.items() if memory.expires <= now]:
            del self.kept[handle]


def _now() -> float:
    return asyncio.get_running_loop().time() * MS_PER_SECOND
