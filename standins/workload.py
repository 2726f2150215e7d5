"""Callers that ask and book again and again until they are told to stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any
from typing import final

import aiohttp
import msgspec

from standins.caller import GIVE_UP_MS
from standins.caller import Caller
from standins.caller_reports import AnswerReport
from standins.caller_reports import Ask
from standins.caller_reports import BookingReport
from tanagerscale.core import Clock
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Objective


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerKind:
    """One kind of caller.

    :param name: Names its requests.
    :param key: Its account's bearer key.
    :param tokens: Shortest and longest answer.
    :param pause_ms: Shortest and longest pause between two requests, in milliseconds.
    """

    name: str
    key: str
    tokens: tuple[int, int] = (10, 40)
    pause_ms: tuple[int, int] = (200, 800)
    stream: bool = True


@final
class Workload:
    """All callers and what they saw.

    :param session: Their connections.
    :param hosts: Returns the base URLs that the balancer offers now.
    :param model: What they ask for.
    :param objective: What they count as stall time.
    :param service: Where they book.
    :param seed: Seed of all that is random.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        hosts: Callable[[], Sequence[str]],
        model: Model,
        objective: Objective,
        service: str,
        seed: int,
    ) -> None:
        self._session = session
        self._hosts = hosts
        self._model = model
        self._objective = objective
        self._service = service
        self._seed = seed
        self._clock = Clock()
        self._stopping = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.answers: list[AnswerReport] = []
        self.bookings: list[BookingReport] = []
        self.poisoned: list[AnswerReport] = []

    def start_askers(self, kind: CallerKind, count: int) -> None:
        """Start callers that ask for answers.

        :param kind: Their kind.
        :param count: How many.
        """
        for number in range(count):
            self._spawn(self._ask_on(kind, f"{kind.name}-{number}"))

    def start_bookers(self, kind: CallerKind, count: int) -> None:
        """Start callers that book.

        :param kind: Their kind.
        :param count: How many.
        """
        for number in range(count):
            self._spawn(self._book_on(kind, f"{kind.name}-{number}"))

    def start_one(self, kind: CallerKind, name: str, tokens: int) -> None:
        """Start a single request.

        :param kind: The caller's kind.
        :param name: Name of the request.
        :param tokens: Length of its answer.
        """
        self._spawn(self._ask_once(self._caller(kind, name), kind, name, tokens))

    def start_poison(self, kind: CallerKind, *, every_ms: int) -> None:
        """Start a caller that sends one request that crashes engines, again and again.

        :param kind: The caller's kind.
        :param every_ms: Pause between two sendings, in milliseconds.
        """
        self._spawn(self._poison_on(kind, every_ms))

    async def finish(self) -> None:
        """Begin no more requests, and wait for the end of those that run."""
        self._stopping.set()
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def write_reports(self, path: Path) -> None:
        """Write all reports to a file, one JSON text a line.

        :param path: The file.
        """
        lines = [msgspec.json.encode(report) for report in (*self.answers, *self.bookings)]
        path.write_bytes(b"\n".join(lines) + b"\n")

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _caller(self, kind: CallerKind, name: str, *, give_up_ms: int = GIVE_UP_MS) -> Caller:
        return Caller(
            session=self._session,
            hosts=self._hosts,
            key=kind.key,
            rng=Random(f"{self._seed}-{name}"),
            objective=self._objective,
            give_up_ms=give_up_ms,
        )

    async def _ask_on(self, kind: CallerKind, name: str) -> None:
        rng = Random(f"{self._seed}-asks-{name}")
        caller = self._caller(kind, name)
        number = 0
        while not self._stopping.is_set():
            number += 1
            await self._ask_once(caller, kind, f"{name}-{number}", rng.randint(*kind.tokens))
            await self._pause(rng.randint(*kind.pause_ms))

    async def _ask_once(self, caller: Caller, kind: CallerKind, name: str, tokens: int) -> None:
        ask = Ask(
            name=name,
            model=self._model.name,
            version=self._model.version,
            tokens=tokens,
            stream=kind.stream,
            max_tokens=self._model.max_output_tokens,
            request_class=kind.name,
        )
        self.answers.append(await caller.complete(ask))

    async def _poison_on(self, kind: CallerKind, every_ms: int) -> None:
        ask = Ask(
            name=kind.name,
            model=self._model.name,
            version=self._model.version,
            tokens=kind.tokens[1],
            directives="[[crash]]",
            same_prompt=True,
            max_tokens=self._model.max_output_tokens,
        )
        caller = self._caller(kind, kind.name, give_up_ms=every_ms)
        while not self._stopping.is_set():
            self.poisoned.append(await caller.complete(ask))
            await self._pause(every_ms)

    async def _book_on(self, kind: CallerKind, name: str) -> None:
        rng = Random(f"{self._seed}-books-{name}")
        caller = self._caller(kind, name)
        number = 0
        while not self._stopping.is_set():
            number += 1
            key = f"{name}-{number}"
            # Half of the callers believe "not executed" and let it be, so that it can be checked.
            retried = rng.random() < 0.5
            copies = 2 if rng.random() < 0.25 else 1
            # Some send the same booking twice at the same moment, to different hosts.
            booked = await asyncio.gather(
                *(
                    caller.book(service=self._service, key=key, retry_refused=retried)
                    for _ in range(copies)
                )
            )
            self.bookings.extend(booked)
            await self._pause(rng.randint(*kind.pause_ms))

    async def _pause(self, pause_ms: int) -> None:
        await self._clock.sleep(0 if self._stopping.is_set() else pause_ms)
