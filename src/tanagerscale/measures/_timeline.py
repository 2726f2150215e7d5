"""Progress of one request as its caller sees it."""

from __future__ import annotations

from typing import final

MAX_GOOD_STALL_FRACTION = 0.25
"""Maximum stall time of a good answer, as a fraction of the time that its objectives allow."""


@final
class RequestTimeline:
    """Measures the stall time of one request.

    Progress is the highest number of tokens generated for the request so far by any generation;
    tokens generated again after a move or a loss do not count. Stall time is the time to the first
    token in excess of its objective, plus the excess of each wait for progress over the objective
    for the time between tokens. All times are in milliseconds of one clock.

    :param arrived: Time of arrival, before any refusal with a Retry-After.
    :param first_token_ms: Objective for the time to the first token.
    :param token_gap_ms: Objective for the time between tokens.
    """

    __slots__ = (
        "_arrived_at",
        "_first_token_ms",
        "_last_progress_at",
        "_token_gap_ms",
        "first_token_at",
        "stall_ms",
        "tokens",
    )

    def __init__(self, *, arrived: float, first_token_ms: float, token_gap_ms: float) -> None:
        self._arrived_at = arrived
        self._first_token_ms = first_token_ms
        self._token_gap_ms = token_gap_ms
        self._last_progress_at = arrived
        self.first_token_at: float | None = None
        self.stall_ms = 0.0
        self.tokens = 0

    @property
    def time_to_first_token_ms(self) -> float | None:
        """Time to the first token, or ``None`` before it has arrived."""
        return None if self.first_token_at is None else self.first_token_at - self._arrived_at

    def record_tokens(self, *, total: int, now: float) -> float | None:
        """Record tokens and add the wait for them, in excess of the objective, to the stall time.

        :param total: Number of tokens of the request's answer generated so far.
        :param now: Time at which the last of them arrived.
        :returns: Time since the previous progress; ``None`` if no token is new or these are the
            first.
        """
        if total <= self.tokens:
            return None
        waited = now - self._last_progress_at
        self._last_progress_at = now
        self.tokens = total
        if self.first_token_at is None:
            self.first_token_at = now
            self.stall_ms += max(waited - self._first_token_ms, 0.0)
            return None
        self.stall_ms += max(waited - self._token_gap_ms, 0.0)
        return waited

    def record_token_batch(self, *, total: int, now: float, stall_ms: float) -> None:
        """Record several tokens at once whose gaps were measured by the caller.

        :param total: Number of tokens of the request's answer generated so far.
        :param now: Time of the last token.
        :param stall_ms: Sum of the excess of the gaps over the objective.
        """
        if total > self.tokens:
            self.tokens = total
            self._last_progress_at = now
            self.stall_ms += stall_ms

    def record_incomplete(self, *, now: float) -> None:
        """Record that the request ends without a complete answer.

        The wait since the last progress, in excess of the objective, counts as stall time.

        :param now: Time at which the request ends.
        """
        allowed_ms = self._first_token_ms if self.first_token_at is None else self._token_gap_ms
        self.stall_ms += max(now - self._last_progress_at - allowed_ms, 0.0)

    def is_good(self) -> bool:
        """Return whether the stall time of a complete answer is within the limit."""
        allowed_ms = self._first_token_ms + self._token_gap_ms * self.tokens
        return self.stall_ms <= max(self._first_token_ms, MAX_GOOD_STALL_FRACTION * allowed_ms)
