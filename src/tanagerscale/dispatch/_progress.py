"""State that a generation keeps between its attempts."""

from __future__ import annotations

from msgspec import Struct
from msgspec import field

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId


class GenerationProgress(Struct, kw_only=True):
    """State that a generation keeps between its attempts.

    :param began: When the request arrived.
    :param excluded: Engines that failed on the request.
    :param not_admitted: Engines on which the crash watch does not admit the request at present.
    :param waiting_since: When the current wait for an engine began, or ``None`` if not waiting.
    """

    began: Millis
    excluded: set[UpstreamId] = field(default_factory=set)
    not_admitted: set[UpstreamId] = field(default_factory=set)
    waiting_since: Millis | None = None
    attempts: int = 0
    lost: int = 0
    may_have_run: bool = False
