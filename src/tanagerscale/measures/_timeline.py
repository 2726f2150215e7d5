"""The progress of one request as its caller sees it."""

from __future__ import annotations

from typing import final

GOOD_STALL_PART = 0.25
"""A good answer's stall is at most this part of the time its objectives grant it."""


@final
class RequestTimeline:
    """Stall time of one request.

    Progress is the highest number of tokens made for the request so far, whichever generation
    made them: tokens made again after a move or a loss are no progress. Stall is the wait for
    the first token beyond its objective, and each wait for progress beyond the objective for
    the time between tokens. All times are milliseconds of one clock.

    :param arrived: When the request came, before any refusal that it was told to come back on.
    :param first_token_ms: Objective for the first token.
    :param token_gap_ms: Objective for the time between tokens.
    """

    __slots__ = (
        "_arrived",
        "_first_token_ms",
        "_last",
        "_token_gap_ms",
        "first_token_at",
        "stall_ms",
        "tokens",
    )

    def __init__(self, *, arrived: float, first_token_ms: float, token_gap_ms: float) -> None:
        self._arrived = arrived
        self._first_token_ms = first_token_ms
        self._token_gap_ms = token_gap_ms
        self._last = arrived
        self.first_token_at: float | None = None
        self.stall_ms = 0.0
        self.tokens = 0

    @property
    def first_token_wait(self) -> float | None:
        """Return the wait for the first token, or ``None`` before it came."""
        return None if self.first_token_at is None else self.first_token_at - self._arrived

    def on_tokens(self, *, total: int, now: float) -> float | None:
        """Record that the request's generation has made ``total`` tokens.

        :returns: The time since the progress before, when this is progress but not the first.
        """
        if total <= self.tokens:
            return None
        waited = now - self._last
        self._last = now
        self.tokens = total
        if self.first_token_at is None:
            self.first_token_at = now
            self.stall_ms += max(waited - self._first_token_ms, 0.0)
            return None
        self.stall_ms += max(waited - self._token_gap_ms, 0.0)
        return waited

    def add_steps(self, *, total: int, now: float, stall_ms: float) -> None:
        """Record several tokens at once whose gaps were measured elsewhere.

        :param total: Tokens made in all.
        :param now: When the last of them came.
        :param stall_ms: Sum of the gaps' excess over the objective.
        """
        if total > self.tokens:
            self.tokens = total
            self._last = now
            self.stall_ms += stall_ms

    def give_up(self, *, now: float) -> None:
        """Record that the request ends without its answer; the wait until now was stall."""
        grace = self._first_token_ms if self.first_token_at is None else self._token_gap_ms
        self.stall_ms += max(now - self._last - grace, 0.0)

    def is_good(self) -> bool:
        """Return whether a whole answer came in good time."""
        granted = self._first_token_ms + self._token_gap_ms * self.tokens
        return self.stall_ms <= max(self._first_token_ms, GOOD_STALL_PART * granted)
