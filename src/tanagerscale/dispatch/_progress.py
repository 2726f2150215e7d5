"""State of a generation across its attempts."""

from __future__ import annotations

from msgspec import Struct
from msgspec import field

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.dispatch._exclusions import Exclusions


class GenerationProgress(Struct, kw_only=True):
    """State of a generation across its attempts.

    :param started_at: When the request arrived.
    :param not_admitted: Engines on which the crash watch did not admit the request just now.
    :param excluded: Engines that failed on the request.
    :param waiting_since: When the current wait for an engine began, or ``None`` if not waiting.
    :param attempts: Number of attempts started.
    :param lost_attempts: Number of attempts that failed after an engine may have started them.
    :param may_have_run: Whether an engine may have executed the request.
    """

    started_at: Millis
    not_admitted: Exclusions
    excluded: set[UpstreamId] = field(default_factory=set)
    waiting_since: Millis | None = None
    attempts: int = 0
    lost_attempts: int = 0
    may_have_run: bool = False
