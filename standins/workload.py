"""Load generator: callers that repeatedly request answers and bookings until stopped."""

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

from standins.caller import CALLER_TIMEOUT_MS
from standins.caller import Caller
from standins.caller_reports import AnswerReport
from standins.caller_reports import AnswerRequest
from standins.caller_reports import BookingReport
from tanagerscale.core import Clock
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Objective


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerKind:
    """Settings of one kind of caller.

    :param name: Prefix of the request names, also sent as the request class.
    :param key: Bearer key of the client account.
    :param tokens: Shortest and longest answer, in tokens.
    :param pause_ms: Shortest and longest pause between two requests, in milliseconds.
    :param stream: Whether answers are streamed.
    """

    name: str
    key: str
    tokens: tuple[int, int] = (10, 40)
    pause_ms: tuple[int, int] = (200, 800)
    stream: bool = True


@final
class Workload:
    """All callers of a run and their reports.

    :param session: HTTP session of all callers.
    :param get_urls: Returns the base URLs that the load balancer offers now.
    :param model: Model that the callers request.
    :param objective: Latency objective from which the stall time is computed.
    :param service: Name of the service that takes bookings.
    :param seed: Seed of all random choices.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        get_urls: Callable[[], Sequence[str]],
        model: Model,
        objective: Objective,
        service: str,
        seed: int,
    ) -> None:
        self._session = session
        self._get_urls = get_urls
        self._model = model
        self._objective = objective
        self._service = service
        self._seed = seed
        self._clock = Clock()
        self._stopping = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.answers: list[AnswerReport] = []
        self.bookings: list[BookingReport] = []
        self.crashing_answers: list[AnswerReport] = []

    def start_answer_callers(self, kind: CallerKind, count: int) -> None:
        """Start callers that request answers.

        :param kind: Kind of the callers.
        :param count: Number of callers.
        """
        for number in range(count):
            self._spawn(self._run_answer_caller(kind, f"{kind.name}-{number}"))

    def start_booking_callers(self, kind: CallerKind, count: int) -> None:
        """Start callers that send bookings.

        :param kind: Kind of the callers.
        :param count: Number of callers.
        """
        for number in range(count):
            self._spawn(self._run_booking_caller(kind, f"{kind.name}-{number}"))

    def start_request(self, kind: CallerKind, name: str, tokens: int) -> None:
        """Start a single request for an answer.

        :param kind: Kind of the caller.
        :param name: Name of the request.
        :param tokens: Length of the answer, in tokens.
        """
        self._spawn(self._request_answer(self._caller(kind, name), kind, name, tokens))

    def start_crashing_caller(self, kind: CallerKind, *, interval_ms: int) -> None:
        """Start a caller that repeatedly sends one request that crashes engines.

        :param kind: Kind of the caller.
        :param interval_ms: Pause between two requests, also the timeout of each, in milliseconds.
        """
        self._spawn(self._run_crashing_caller(kind, interval_ms))

    async def finish(self) -> None:
        """Start no more requests, and wait until the running ones end."""
        self._stopping.set()
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def write_reports(self, path: Path) -> None:
        """Write all reports to a file, one JSON object per line.

        :param path: File to write.
        """
        lines = [msgspec.json.encode(report) for report in (*self.answers, *self.bookings)]
        path.write_bytes(b"\n".join(lines) + b"\n")

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _caller(
        self, kind: CallerKind, name: str, *, timeout_ms: int = CALLER_TIMEOUT_MS
    ) -> Caller:
        return Caller(
            session=self._session,
            get_urls=self._get_urls,
            key=kind.key,
            rng=Random(f"{self._seed}-{name}"),
            objective=self._objective,
            timeout_ms=timeout_ms,
        )

    async def _run_answer_caller(self, kind: CallerKind, name: str) -> None:
        rng = Random(f"{self._seed}-asks-{name}")
        caller = self._caller(kind, name)
        number = 0
        while not self._stopping.is_set():
            number += 1
            await self._request_answer(caller, kind, f"{name}-{number}", rng.randint(*kind.tokens))
            await self._pause(rng.randint(*kind.pause_ms))

    async def _request_answer(
        self, caller: Caller, kind: CallerKind, name: str, tokens: int
    ) -> None:
        request = AnswerRequest(
            name=name,
            model=self._model.name,
            version=self._model.version,
            tokens=tokens,
            stream=kind.stream,
            max_tokens=self._model.max_output_tokens,
            request_class=kind.name,
        )
        self.answers.append(await caller.complete(request))

    async def _run_crashing_caller(self, kind: CallerKind, interval_ms: int) -> None:
        request = AnswerRequest(
            name=kind.name,
            model=self._model.name,
            version=self._model.version,
            tokens=kind.tokens[1],
            directives="[[crash]]",
            same_prompt=True,
            max_tokens=self._model.max_output_tokens,
        )
        caller = self._caller(kind, kind.name, timeout_ms=interval_ms)
        while not self._stopping.is_set():
            self.crashing_answers.append(await caller.complete(request))
            await self._pause(interval_ms)

    async def _run_booking_caller(self, kind: CallerKind, name: str) -> None:
        rng = Random(f"{self._seed}-books-{name}")
        caller = self._caller(kind, name)
        number = 0
        while not self._stopping.is_set():
            number += 1
            key = f"{name}-{number}"
            # Half of the bookings are not retried after "not executed", so that the journals of the
            # services can confirm it.
            retry_refused = rng.random() < 0.5
            call_count = 2 if rng.random() < 0.25 else 1
            # A quarter of the bookings are sent twice concurrently, to different hosts.
            booked = await asyncio.gather(
                *(
                    caller.book(service=self._service, key=key, retry_refused=retry_refused)
                    for _ in range(call_count)
                )
            )
            self.bookings.extend(booked)
            await self._pause(rng.randint(*kind.pause_ms))

    async def _pause(self, pause_ms: int) -> None:
        await self._clock.sleep(0 if self._stopping.is_set() else pause_ms)
