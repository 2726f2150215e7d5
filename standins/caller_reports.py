"""Requests of callers and reports of their results."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique


@unique
class AnswerState(Enum):
    """How a request for an answer ended."""

    COMPLETE = "whole"
    """Every token arrived once and in order, followed by the end marker."""
    REFUSED = "refused"
    """A final problem response was received instead of an answer."""
    WRONG = "wrong"
    """Tokens differ from the expected answer, or the end marker arrived too early."""
    LOST = "lost"
    """Neither an answer nor a final refusal arrived before the caller's timeout."""


@unique
class BookingState(Enum):
    """Final state of a booking as reported to its caller."""

    BOOKED = "booked"
    NOT_EXECUTED = "not-executed"
    UNKNOWN = "unknown"
    LOST = "lost"
    """No final answer arrived before the caller's timeout."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerRequest:
    """One request for an answer.

    :param name: Unique name, which appears in the journal of the engine.
    :param tokens: Length of the answer; ``None`` lets the engine choose.
    :param directives: Additional directives for the engine stand-in.
    :param stream: Whether tokens are streamed as they are generated.
    :param same_prompt: Whether each submission sends the same prompt, as real callers do; otherwise
        each prompt carries the number of its submission.
    """

    name: str
    model: str
    version: str
    tokens: int | None = None
    directives: str = ""
    stream: bool = True
    seed: int = 1
    max_tokens: int = 16_384
    request_class: str = ""
    text: str = "Please answer this."
    same_prompt: bool = False

    def prompt(self, *, submission: int) -> str:
        """Return the prompt of one submission.

        :param submission: Number of the submission, from 1.
        """
        length = "" if self.tokens is None else f"[[tokens={self.tokens}]]"
        tag = self.name if self.same_prompt else f"{self.name}.{submission}"
        return f"{self.text} [[tag={tag}]] {length} {self.directives}".strip()


@dataclass(kw_only=True, slots=True)
class AnswerReport:
    """Result of one request as observed by its caller; times in milliseconds.

    :param first_token_ms: Time from the first submission to the first token.
    :param gaps_ms: Times between consecutive events with new tokens.
    :param stall_ms: Waiting time beyond the objectives, as defined by ``tanagerscale.measures``.
    :param began_ms: Time of the first submission, on the clock of the event loop.
    :param resumes: Number of times the answer was resumed from its cursor.
    :param trials: Number of submissions of the request.
    :param told_not_executed: Submissions that were reported as not executed, as ``NAME.NUMBER``.
    :param tokens: Number of tokens in the complete answer.
    :param events: Human-readable history of the request.
    """

    ask: AnswerRequest
    state: AnswerState = AnswerState.LOST
    detail: str = ""
    execution: str = ""
    first_token_ms: int | None = None
    gaps_ms: list[int] = field(default_factory=list)
    stall_ms: int = 0
    resumes: int = 0
    trials: int = 0
    told_not_executed: list[str] = field(default_factory=list)
    tokens: int = 0
    began_ms: int = 0
    took_ms: int = 0
    events: list[str] = field(default_factory=list)


@dataclass(kw_only=True, slots=True)
class BookingReport:
    """Result of one booking as observed by its caller.

    :param calls: Number of calls sent.
    :param number: Number that the service assigned to the booking.
    :param uncertain: Whether a call failed without an answer or was reported with an unknown
        outcome.
    :param events: Human-readable history of the booking.
    """

    key: str
    state: BookingState = BookingState.LOST
    detail: str = ""
    calls: int = 0
    took_ms: int = 0
    number: int | None = None
    uncertain: bool = False
    events: list[str] = field(default_factory=list)
