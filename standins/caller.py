"""A caller of the published interface that resumes, retries and verifies every token."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import final

import aiohttp
import msgspec

from standins.caller_reports import AnswerReport
from standins.caller_reports import AnswerRequest
from standins.caller_reports import AnswerState
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
READ_TIMEOUT_S = 20.0
RETRY_DELAY_MS = 200
MAX_RETRY_DELAY_MS = 3_000
CALLER_TIMEOUT_MS = 90_000
MAX_RESUMES = 100
DONE_EVENT = "[DONE]"
GENERATION_LOST_SUFFIX = ":generation-lost"
BODYLESS_RESUME_PROBABILITY = 0.25
RETRYABLE_STATUSES = frozenset({409, 429, 500, 502, 503, 504})


class BookingReply(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that the caller reads from an answer of the booking service."""

    number: int


class _EventChoice(msgspec.Struct, frozen=True, kw_only=True):
    text: str = ""
    finish_reason: str | None = None


class _EventBody(msgspec.Struct, frozen=True, kw_only=True):
    choices: list[_EventChoice]


@dataclass(kw_only=True, slots=True)
class _Submission:
    """One submission of a request and its result so far."""

    prompt: str
    expected: str
    text: str = ""
    cursor: str = ""
    request_id: str = ""
    finish_reason: str = ""
    done: bool = False
    problem: ProblemDetails | None = None


class _WrongAnswerError(Exception):
    """The answer differs from the tokens that the engine generates for the request."""


@final
class Caller:
    """A caller that reaches the hosts through the load balancer.

    :param session: HTTP session used for all requests.
    :param get_urls: Returns the base URLs that the load balancer offers now.
    :param key: Bearer key of the client account.
    :param rng: Random number generator used to select a base URL and how to resume.
    :param timeout_ms: Time after which no further submission or call is started, in milliseconds.
    :param objective: Latency objective from which the stall time is computed.
    :param read_timeout_s: Longest time without data before the caller switches to another host, in
        seconds.
    :param bodyless_resume_probability: Probability that a resumption is first tried without
        the request body.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        get_urls: Callable[[], Sequence[str]],
        key: str,
        rng: Random,
        objective: Objective,
        timeout_ms: int = CALLER_TIMEOUT_MS,
        read_timeout_s: float = READ_TIMEOUT_S,
        bodyless_resume_probability: float = BODYLESS_RESUME_PROBABILITY,
    ) -> None:
        self._session = session
        self._get_urls = get_urls
        self._headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        self._rng = rng
        self._objective = objective
        self._clock = Clock()
        self._timeout_ms = timeout_ms
        self._bodyless_resume_probability = bodyless_resume_probability
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=read_timeout_s
        )
        self._last_url = ""

    async def complete(self, request: AnswerRequest) -> AnswerReport:
        """Submit a request until its answer is complete, refused or wrong, or the timeout expires.

        :param request: The request to send.
        """
        started_ms = self._clock.now()
        report = AnswerReport(ask=request, began_ms=started_ms)
        timeline = RequestTimeline(
            arrived=started_ms,
            first_token_ms=self._objective.first_token_ms,
            token_gap_ms=self._objective.token_gap_ms,
        )
        try:
            while self._clock.now() - started_ms < self._timeout_ms:
                submission = self._new_submission(request, report)
                delay_ms = await self._run_submission(submission, request, report, timeline)
                if delay_ms is None:
                    break
                await self._clock.sleep(delay_ms)
        except _WrongAnswerError as error:
            report.state = AnswerState.WRONG
            report.detail = str(error)
        report.took_ms = self._clock.now() - started_ms
        if report.state is not AnswerState.COMPLETE:
            timeline.record_incomplete(now=self._clock.now())
        report.stall_ms = round(timeline.stall_ms)
        if timeline.time_to_first_token_ms is not None:
            report.first_token_ms = round(timeline.time_to_first_token_ms)
        return report

    async def book(self, *, service: str, key: str, retry_refused: bool) -> BookingReport:
        """Send a booking with one key until its outcome is final or the timeout expires.

        :param service: Name of the service.
        :param key: Idempotency key, also used as the id of the booking.
        :param retry_refused: Whether to retry after "not executed", as the interface asks callers
            to do.
        """
        report = BookingReport(key=key)
        started_ms = self._clock.now()
        while self._clock.now() - started_ms < self._timeout_ms:
            report.calls += 1
            delay_ms = await self._book_once(service, report, retry_refused)
            if delay_ms is None:
                break
            await self._clock.sleep(delay_ms)
        report.took_ms = self._clock.now() - started_ms
        return report

    async def _book_once(
        self, service: str, report: BookingReport, retry_refused: bool
    ) -> int | None:
        url = f"{self._select_url()}/services/{service}/bookings"
        headers = self._headers | {"Idempotency-Key": report.key}
        body = msgspec.json.encode({"id": report.key})
        try:
            async with self._session.post(
                url, data=body, headers=headers, timeout=self._timeout
            ) as reply:
                content = await reply.read()
                report.events.append(f"{url} {reply.status} {content[:300]!r}")
                return self._handle_booking_reply(reply, content, report, retry_refused)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            report.events.append(f"{url} {error!r}")
            report.state = BookingState.LOST
            report.uncertain = True
            return RETRY_DELAY_MS

    def _handle_booking_reply(
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
            # "Not executed" refers to this call only; an earlier call may have been executed.
            if (retry_refused or report.uncertain) and reply.status in RETRYABLE_STATUSES:
                return self._compute_retry_delay_ms(problem)
            return None
        report.state = BookingState.UNKNOWN
        report.uncertain = True
        if problem.retry_after_ms is not None:
            return self._compute_retry_delay_ms(problem)
        return None

    def _new_submission(self, request: AnswerRequest, report: AnswerReport) -> _Submission:
        report.trials += 1
        prompt = request.prompt(submission=report.trials)
        engine_request = EngineRequest(
            attempt_id="",
            model=request.model,
            version=request.version,
            prompt=prompt,
            seed=request.seed,
            max_tokens=request.max_tokens,
        )
        return _Submission(prompt=prompt, expected="".join(answer_tokens(engine_request)))

    async def _run_submission(
        self,
        submission: _Submission,
        request: AnswerRequest,
        report: AnswerReport,
        timeline: RequestTimeline,
    ) -> int | None:
        body = msgspec.json.encode(
            CompletionRequest(
                model=request.model,
                prompt=submission.prompt,
                stream=request.stream,
                seed=request.seed,
                max_tokens=request.max_tokens,
                request_class=request.request_class,
            )
        )
        await self._exchange("POST", "/v1/completions", body, {}, submission, report, timeline)
        while not submission.done and submission.problem is None and submission.cursor:
            if report.resumes > MAX_RESUMES:
                return RETRY_DELAY_MS
            await self._clock.sleep(RETRY_DELAY_MS)
            report.resumes += 1
            await self._resume(submission, body, report, timeline)
            self._clear_busy_host_problem(submission, report)
        return self._handle_outcome(submission, report)

    async def _resume(
        self, submission: _Submission, body: bytes, report: AnswerReport, timeline: RequestTimeline
    ) -> None:
        path = f"/v1/completions/{submission.request_id}/events"
        if self._rng.random() < self._bodyless_resume_probability:
            await self._exchange(
                "GET", path, None, _cursor_headers(submission), submission, report, timeline
            )
            if submission.problem is None or not submission.problem.type.endswith(
                GENERATION_LOST_SUFFIX
            ):
                return
            # A host needs the original body to repeat a lost generation.
            submission.problem = None
        await self._exchange(
            "POST", path, body, _cursor_headers(submission), submission, report, timeline
        )

    def _clear_busy_host_problem(self, submission: _Submission, report: AnswerReport) -> None:
        # A host that starts or stops redirects callers to other hosts; the cursor stays valid.
        if submission.problem is not None and submission.problem.type.endswith(
            (":stopping", ":overloaded")
        ):
            self._record_not_executed(submission.problem, report)
            submission.problem = None

    def _record_not_executed(self, problem: ProblemDetails, report: AnswerReport) -> None:
        if problem.execution == Execution.NOT_EXECUTED.value:
            report.told_not_executed.append(f"{report.ask.name}.{report.trials}")

    def _handle_outcome(self, submission: _Submission, report: AnswerReport) -> int | None:
        if submission.done:
            if submission.finish_reason in ("stop", "length"):
                if submission.text != submission.expected:
                    raise _WrongAnswerError(_describe_difference(submission, "ended too early"))
                report.state = AnswerState.COMPLETE
                report.tokens = _count_tokens(submission.text)
                return None
            report.detail = f"finish reason {submission.finish_reason}"
            raise _WrongAnswerError(
                f"the answer ended with unexpected finish reason {submission.finish_reason!r}"
            )
        if submission.problem is None:
            return RETRY_DELAY_MS
        problem = submission.problem
        report.detail = f"{problem.title}: {problem.detail}"
        report.execution = problem.execution
        self._record_not_executed(problem, report)
        if problem.status in RETRYABLE_STATUSES:
            return self._compute_retry_delay_ms(problem)
        report.state = AnswerState.REFUSED
        return None

    def _compute_retry_delay_ms(self, problem: ProblemDetails) -> int:
        requested_ms = RETRY_DELAY_MS if problem.retry_after_ms is None else problem.retry_after_ms
        return min(requested_ms, MAX_RETRY_DELAY_MS)

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        submission: _Submission,
        report: AnswerReport,
        timeline: RequestTimeline,
    ) -> None:
        url = self._select_url() + path
        try:
            async with self._session.request(
                method, url, data=body, headers=self._headers | headers, timeout=self._timeout
            ) as reply:
                submission.request_id = submission.request_id or reply.headers.get(
                    "X-Request-Id", ""
                )
                report.events.append(f"{method} {url} {reply.status} at {len(submission.text)}")
                if reply.status != 200:
                    submission.problem = msgspec.json.decode(
                        await reply.read(), type=ProblemDetails
                    )
                    report.events.append(f"{submission.problem}")
                elif reply.content_type == "text/event-stream":
                    await self._read_stream(reply, submission, report, timeline)
                else:
                    self._read_completion(await reply.read(), submission, report, timeline)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            report.events.append(f"{method} {url} {error!r} at {len(submission.text)}")
        except msgspec.MsgspecError as error:
            raise _WrongAnswerError(
                f"the answer violates the published interface: {error}"
            ) from error

    def _read_completion(
        self, body: bytes, submission: _Submission, report: AnswerReport, timeline: RequestTimeline
    ) -> None:
        choice = msgspec.json.decode(body, type=Completion).choices[0]
        submission.text = choice.text
        submission.finish_reason = choice.finish_reason or ""
        submission.done = True
        timeline.record_tokens(total=_count_tokens(submission.text), now=self._clock.now())

    async def _read_stream(
        self,
        reply: aiohttp.ClientResponse,
        submission: _Submission,
        report: AnswerReport,
        timeline: RequestTimeline,
    ) -> None:
        async for event in read_events(reply):
            if event.event == "error":
                submission.problem = msgspec.json.decode(event.data, type=ProblemDetails)
                report.events.append(f"{submission.problem}")
                return
            if event.data == DONE_EVENT:
                submission.done = True
                return
            if event.data:
                self._handle_tokens(event.data, submission, report, timeline)
            # The cursor is valid only after the tokens before it have been processed.
            submission.cursor = event.id or submission.cursor

    def _handle_tokens(
        self, data: str, submission: _Submission, report: AnswerReport, timeline: RequestTimeline
    ) -> None:
        choice = msgspec.json.decode(data, type=_EventBody).choices[0]
        submission.finish_reason = choice.finish_reason or submission.finish_reason
        if not choice.text:
            return
        submission.text += choice.text
        gap = timeline.record_tokens(total=_count_tokens(submission.text), now=self._clock.now())
        if gap is not None:
            report.gaps_ms.append(round(gap))
        if not submission.expected.startswith(submission.text):
            raise _WrongAnswerError(_describe_difference(submission, "differs"))

    def _select_url(self) -> str:
        urls = [url for url in self._get_urls() if url != self._last_url]
        self._last_url = self._rng.choice(urls or list(self._get_urls()))
        return self._last_url


def _cursor_headers(submission: _Submission) -> dict[str, str]:
    return {"Last-Event-ID": submission.cursor}


def _count_tokens(text: str) -> int:
    # Every token of the engine stand-in except the first begins with a space.
    return len(text.split(" ")) if text else 0


def _describe_difference(submission: _Submission, what: str) -> str:
    common = 0
    for got, wanted in zip(submission.text, submission.expected, strict=False):
        if got != wanted:
            break
        common += 1
    start = max(0, common - 40)
    got, wanted = submission.text[start : common + 40], submission.expected[start : common + 40]
    return f"the answer {what} at character {common}: got {got!r}, expected {wanted!r}"
