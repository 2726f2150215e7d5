"""A caller that follows the published interface: it resumes, retries, and checks every token."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import final

import aiohttp
import msgspec

from standins.caller_reports import AnswerReport
from standins.caller_reports import AnswerState
from standins.caller_reports import Ask
from standins.caller_reports import BookingReport
from standins.caller_reports import BookingState
from standins.sse import read_events
from standins.tokens import answer_tokens
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.generated.callers import Completion
from tanagerscale.generated.callers import CompletionRequest
from tanagerscale.generated.callers import ProblemDetails
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.measures import RequestTimeline

CONNECT_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 20.0
PAUSE_MS = 200
LONGEST_PAUSE_MS = 3_000
GIVE_UP_MS = 90_000
MOST_RESUMES = 100
DONE = "[DONE]"
GENERATION_LOST = ":generation-lost"
SHARE_WITHOUT_BODY = 0.25
RETRIED_STATUS = frozenset({409, 429, 500, 502, 503, 504})


class BookingReply(msgspec.Struct, frozen=True, kw_only=True):
    """What is read of the booking service's answer."""

    number: int


class _EventChoice(msgspec.Struct, frozen=True, kw_only=True):
    text: str = ""
    finish_reason: str | None = None


class _EventBody(msgspec.Struct, frozen=True, kw_only=True):
    choices: list[_EventChoice]


@dataclass(kw_only=True, slots=True)
class _Trial:
    """One sending of a request and what has come of it."""

    prompt: str
    expected: str
    text: str = ""
    cursor: str = ""
    request_id: str = ""
    finish: str = ""
    done: bool = False
    problem: ProblemDetails | None = None


class _WrongAnswerError(Exception):
    """The answer differs from what the engine generated."""


@final
class Caller:
    """One caller behind the platform's balancer.

    :param session: Its connections.
    :param hosts: Returns the base URLs that the balancer offers now.
    :param key: Its bearer key.
    :param rng: Chooses among them.
    :param give_up_ms: How long it tries, in milliseconds.
    :param objective: What it counts as stall time.
    :param silence_s: Longest silence before it goes to another host, in seconds.
    :param share_without_body: How often it first goes on without sending its body again.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        hosts: Callable[[], Sequence[str]],
        key: str,
        rng: Random,
        objective: Objective,
        give_up_ms: int = GIVE_UP_MS,
        silence_s: float = SILENCE_TIMEOUT_S,
        share_without_body: float = SHARE_WITHOUT_BODY,
    ) -> None:
        self._session = session
        self._hosts = hosts
        self._headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        self._rng = rng
        self._objective = objective
        self._clock = Clock()
        self._give_up_ms = give_up_ms
        self._share_without_body = share_without_body
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=silence_s
        )
        self._last_host = ""

    async def complete(self, ask: Ask) -> AnswerReport:
        """Send a request until its answer is whole, finally refused, wrong, or given up.

        :param ask: The request.
        """
        began = self._clock.now()
        report = AnswerReport(ask=ask, began_ms=began)
        timeline = RequestTimeline(
            arrived=began,
            first_token_ms=self._objective.first_token_ms,
            token_gap_ms=self._objective.token_gap_ms,
        )
        try:
            while self._clock.now() - began < self._give_up_ms:
                trial = self._new_trial(ask, report)
                pause_ms = await self._run_trial(trial, ask, report, timeline)
                if pause_ms is None:
                    break
                await self._clock.sleep(pause_ms)
        except _WrongAnswerError as error:
            report.state = AnswerState.WRONG
            report.detail = str(error)
        report.took_ms = self._clock.now() - began
        if report.state is not AnswerState.WHOLE:
            timeline.give_up(now=self._clock.now())
        report.stall_ms = round(timeline.stall_ms)
        if timeline.time_to_first_token_ms is not None:
            report.first_token_ms = round(timeline.time_to_first_token_ms)
        return report

    async def book(self, *, service: str, key: str, retry_refused: bool) -> BookingReport:
        """Send a booking with one key until its outcome is final.

        :param service: Name of the service.
        :param key: Idempotency key, and id of the booking.
        :param retry_refused: Whether to come back after "not executed", as one is told to.
        """
        report = BookingReport(key=key)
        began = self._clock.now()
        while self._clock.now() - began < self._give_up_ms:
            report.calls += 1
            pause_ms = await self._book_once(service, report, retry_refused)
            if pause_ms is None:
                break
            await self._clock.sleep(pause_ms)
        report.took_ms = self._clock.now() - began
        return report

    async def _book_once(
        self, service: str, report: BookingReport, retry_refused: bool
    ) -> int | None:
        url = f"{self._pick_host()}/services/{service}/bookings"
        headers = self._headers | {"Idempotency-Key": report.key}
        body = msgspec.json.encode({"id": report.key})
        try:
            async with self._session.post(
                url, data=body, headers=headers, timeout=self._timeout
            ) as reply:
                content = await reply.read()
                report.events.append(f"{url} {reply.status} {content[:300]!r}")
                return self._judge_booking(reply, content, report, retry_refused)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            report.events.append(f"{url} {error!r}")
            report.state = BookingState.LOST
            report.uncertain = True
            return PAUSE_MS

    def _judge_booking(
        self,
        reply: aiohttp.ClientResponse,
        content: bytes,
        report: BookingReport,
        retry_refused: bool,
    ) -> int | None:
        if reply.content_type != "application/problem+json":
            report.state = BookingState.BOOKED if reply.status == 201 else BookingState.UNKNOWN
            report.detail = f"status {reply.status}"
            if reply.status == 201:
                report.number = msgspec.json.decode(content, type=BookingReply).number
            return None
        problem = msgspec.json.decode(content, type=ProblemDetails)
        report.detail = f"{problem.title}: {problem.detail}"
        if problem.execution == Execution.NOT_EXECUTED.value:
            report.state = BookingState.NOT_EXECUTED
            # The word is about this call; what became of an earlier one must still be asked.
            if (retry_refused or report.uncertain) and reply.status in RETRIED_STATUS:
                return self._pause_of(problem)
            return None
        report.state = BookingState.UNKNOWN
        report.uncertain = True
        if problem.retry_after_ms is not None:
            return self._pause_of(problem)
        return None

    def _new_trial(self, ask: Ask, report: AnswerReport) -> _Trial:
        report.trials += 1
        prompt = ask.prompt(trial=report.trials)
        asked = EngineRequest(
            attempt_id="",
            model=ask.model,
            version=ask.version,
            prompt=prompt,
            seed=ask.seed,
            max_tokens=ask.max_tokens,
        )
        return _Trial(prompt=prompt, expected="".join(answer_tokens(asked)))

    async def _run_trial(
        self, trial: _Trial, ask: Ask, report: AnswerReport, timeline: RequestTimeline
    ) -> int | None:
        body = msgspec.json.encode(
            CompletionRequest(
                model=ask.model,
                prompt=trial.prompt,
                stream=ask.stream,
                seed=ask.seed,
                max_tokens=ask.max_tokens,
                request_class=ask.request_class,
            )
        )
        await self._exchange("POST", "/v1/completions", body, {}, trial, report, timeline)
        while not trial.done and trial.problem is None and trial.cursor:
            if report.resumes > MOST_RESUMES:
                return PAUSE_MS
            await self._clock.sleep(PAUSE_MS)
            report.resumes += 1
            await self._go_on(trial, body, report, timeline)
            self._forgive_busy_host(trial, report)
        return self._judge(trial, report)

    async def _go_on(
        self, trial: _Trial, body: bytes, report: AnswerReport, timeline: RequestTimeline
    ) -> None:
        path = f"/v1/completions/{trial.request_id}/events"
        if self._rng.random() < self._share_without_body:
            await self._exchange("GET", path, None, _cursor(trial), trial, report, timeline)
            if trial.problem is None or not trial.problem.type.endswith(GENERATION_LOST):
                return
            # With the first body a host can make the lost generation again.
            trial.problem = None
        await self._exchange("POST", path, body, _cursor(trial), trial, report, timeline)

    def _forgive_busy_host(self, trial: _Trial, report: AnswerReport) -> None:
        # A host that is starting or stopping says to go elsewhere; the cursor is still good.
        if trial.problem is not None and trial.problem.type.endswith((":stopping", ":overloaded")):
            self._note_denial(trial.problem, report)
            trial.problem = None

    def _note_denial(self, problem: ProblemDetails, report: AnswerReport) -> None:
        if problem.execution == Execution.NOT_EXECUTED.value:
            report.told_not_executed.append(f"{report.ask.name}.{report.trials}")

    def _judge(self, trial: _Trial, report: AnswerReport) -> int | None:
        if trial.done:
            if trial.finish in ("stop", "length"):
                if trial.text != trial.expected:
                    raise _WrongAnswerError(_difference(trial, "ended too early"))
                report.state = AnswerState.WHOLE
                report.tokens = _count(trial.text)
                return None
            report.detail = f"finish reason {trial.finish}"
            raise _WrongAnswerError(f"an end marker with finish reason {trial.finish!r}")
        if trial.problem is None:
            return PAUSE_MS
        problem = trial.problem
        report.detail = f"{problem.title}: {problem.detail}"
        report.execution = problem.execution
        self._note_denial(problem, report)
        if problem.status in RETRIED_STATUS:
            return self._pause_of(problem)
        report.state = AnswerState.REFUSED
        return None

    def _pause_of(self, problem: ProblemDetails) -> int:
        asked = PAUSE_MS if problem.retry_after_ms is None else problem.retry_after_ms
        return min(asked, LONGEST_PAUSE_MS)

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        trial: _Trial,
        report: AnswerReport,
        timeline: RequestTimeline,
    ) -> None:
        url = self._pick_host() + path
        try:
            async with self._session.request(
                method, url, data=body, headers=self._headers | headers, timeout=self._timeout
            ) as reply:
                trial.request_id = trial.request_id or reply.headers.get("X-Request-Id", "")
                report.events.append(f"{method} {url} {reply.status} at {len(trial.text)}")
                if reply.status != 200:
                    trial.problem = msgspec.json.decode(await reply.read(), type=ProblemDetails)
                    report.events.append(f"{trial.problem}")
                elif reply.content_type == "text/event-stream":
                    await self._read_stream(reply, trial, report, timeline)
                else:
                    self._read_whole(await reply.read(), trial, report, timeline)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            report.events.append(f"{method} {url} {error!r} at {len(trial.text)}")
        except msgspec.MsgspecError as error:
            raise _WrongAnswerError(f"an answer that is not the published one: {error}") from error

    def _read_whole(
        self, body: bytes, trial: _Trial, report: AnswerReport, timeline: RequestTimeline
    ) -> None:
        choice = msgspec.json.decode(body, type=Completion).choices[0]
        trial.text = choice.text
        trial.finish = choice.finish_reason or ""
        trial.done = True
        timeline.on_tokens(total=_count(trial.text), now=self._clock.now())

    async def _read_stream(
        self,
        reply: aiohttp.ClientResponse,
        trial: _Trial,
        report: AnswerReport,
        timeline: RequestTimeline,
    ) -> None:
        async for event in read_events(reply):
            if event.event == "error":
                trial.problem = msgspec.json.decode(event.data, type=ProblemDetails)
                report.events.append(f"{trial.problem}")
                return
            if event.data == DONE:
                trial.done = True
                return
            if event.data:
                self._take(event.data, trial, report, timeline)
            # The cursor counts only together with the tokens before it.
            trial.cursor = event.id or trial.cursor

    def _take(
        self, data: str, trial: _Trial, report: AnswerReport, timeline: RequestTimeline
    ) -> None:
        choice = msgspec.json.decode(data, type=_EventBody).choices[0]
        trial.finish = choice.finish_reason or trial.finish
        if not choice.text:
            return
        trial.text += choice.text
        gap = timeline.on_tokens(total=_count(trial.text), now=self._clock.now())
        if gap is not None:
            report.gaps_ms.append(round(gap))
        if not trial.expected.startswith(trial.text):
            raise _WrongAnswerError(_difference(trial, "differs"))

    def _pick_host(self) -> str:
        hosts = [host for host in self._hosts() if host != self._last_host]
        self._last_host = self._rng.choice(hosts or list(self._hosts()))
        return self._last_host


def _cursor(trial: _Trial) -> dict[str, str]:
    return {"Last-Event-ID": trial.cursor}


def _count(text: str) -> int:
    # Each token of the stand-in but the first begins with a space.
    return len(text.split(" ")) if text else 0


def _difference(trial: _Trial, what: str) -> str:
    common = 0
    for got, wanted in zip(trial.text, trial.expected, strict=False):
        if got != wanted:
            break
        common += 1
    start = max(0, common - 40)
    got, wanted = trial.text[start : common + 40], trial.expected[start : common + 40]
    return f"the answer {what} at character {common}: got {got!r}, not {wanted!r}"
