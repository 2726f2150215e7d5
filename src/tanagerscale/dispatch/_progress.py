"""State of a generation across its attempts."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.dispatch._exclusions import FAILED_MS
from tanagerscale.dispatch._exclusions import FINAL_EXCLUSION_MS
from tanagerscale.dispatch._exclusions import LOST_MS
from tanagerscale.dispatch._exclusions import Exclusions
from tanagerscale.dispatch._exclusions import exclusion_ms

MAX_LOST_ATTEMPTS = 3
MAX_ATTEMPTS = 12
MAX_ATTEMPTS_ON_FAILED = 8
"""Attempts after which engines that have failed are tried rarely, to leave some for others."""


class GenerationProgress(Struct, kw_only=True):
    """State of a generation across its attempts.

    :param not_admitted: Engines on which the crash watch did not admit the request just now.
    :param failed: Engines that failed on the request recently.
    :param waiting_since: When the current wait for an engine began, or ``None`` if not waiting.
    :param attempts: Number of attempts started.
    :param lost_attempts: Number of attempts that failed after an engine may have started them.
    :param may_have_run: Whether an engine may have executed the request.
    """

    not_admitted: Exclusions
    failed: Exclusions
    waiting_since: Millis | None = None
    attempts: int = 0
    lost_attempts: int = 0
    may_have_run: bool = False

    @property
    def excluded(self) -> frozenset[UpstreamId]:
        """Engines that are excluded at present for what happened to the request there."""
        return self.failed.engines | self.not_admitted.engines

    @property
    def next_exclusion_end_s(self) -> float | None:
        """Loop time in seconds at which the first exclusion ends; ``None`` if there are none."""
        ends = (self.failed.next_end_s, self.not_admitted.next_end_s)
        return min((end for end in ends if end is not None), default=None)

    @property
    def is_attempt_limit_reached(self) -> bool:
        """Whether no further attempt is allowed."""
        return self.lost_attempts > MAX_LOST_ATTEMPTS or self.attempts >= MAX_ATTEMPTS

    def record_failure(self, engine: UpstreamId, *, lost: bool) -> None:
        """Exclude an engine that failed, and count the attempt if the engine may have started it.

        :param engine: The engine.
        :param lost: Whether the engine may have started the attempt.
        """
        if lost:
            self.may_have_run = True
            self.lost_attempts += 1
            duration_ms = exclusion_ms(first_ms=LOST_MS, attempts=self.lost_attempts)
        else:
            duration_ms = exclusion_ms(first_ms=FAILED_MS, attempts=self.attempts)
        self.failed.add(engine, duration_ms=duration_ms)
        if self.attempts >= MAX_ATTEMPTS_ON_FAILED or self.lost_attempts >= MAX_LOST_ATTEMPTS:
            self.failed.extend(duration_ms=FINAL_EXCLUSION_MS)
