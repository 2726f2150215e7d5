"""What callers ask and what they report."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique


@unique
class AnswerState(Enum):
    """How a request for an answer ended."""

    WHOLE = "whole"
    """All tokens came once and in order, and the end marker with them."""
    REFUSED = "refused"
    """A typed final answer in place of one."""
    WRONG = "wrong"
    """Tokens came that are not the answer's, or an end marker before its end."""
    LOST = "lost"
    """Neither an answer nor a final refusal came in the time a caller waits."""


@unique
class BookingState(Enum):
    """What a caller knows of a booking at the end."""

    BOOKED = "booked"
    NOT_EXECUTED = "not-executed"
    UNKNOWN = "unknown"
    LOST = "lost"
    """No final answer came in the time a caller waits."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """One request for an answer.

    :param name: Unique name, which the engine's journal shows.
    :param tokens: Length of its answer; ``None`` lets the engine choose.
    :param directives: More directives for the engine stand-in.
    :param stream: Whether tokens are wanted as they come.
    :param same_prompt: Whether each trial sends the same text, as callers do.
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

    def prompt(self, *, trial: int) -> str:
        """Return the prompt of one trial.

        :param trial: Its number.
        """
        length = "" if self.tokens is None else f"[[tokens={self.tokens}]]"
        tag = self.name if self.same_prompt else f"{self.name}.{trial}"
        return f"{self.text} [[tag={tag}]] {length} {self.directives}".strip()


@dataclass(kw_only=True, slots=True)
class AnswerReport:
    """What a caller saw of one request; times in milliseconds.

    :param first_token_ms: From the first sending to the first token.
    :param gaps_ms: Times between two events with new tokens.
    :param stall_ms: Waiting beyond the objectives, as ``tanagerscale.measures`` defines it.
    :param began_ms: When it was sent first, on the loop's clock.
    :param resumes: How often it went on with its cursor.
    :param trials: How often it sent the request.
    :param told_not_executed: Trials of which it was told that they had not run.
    :param tokens: Tokens of the whole answer.
    :param events: What happened, for people.
    """

    ask: Ask
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
    """What a caller saw of one booking.

    :param calls: How often it sent the call.
    :param number: Number that the service gave it.
    :param uncertain: Whether a call broke or its outcome was called unknown.
    :param events: What happened, for people.
    """

    key: str
    state: BookingState = BookingState.LOST
    detail: str = ""
    calls: int = 0
    took_ms: int = 0
    number: int | None = None
    uncertain: bool = False
    events: list[str] = field(default_factory=list)
