"""State reports of engines."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId


class RunState(Struct, frozen=True, kw_only=True):
    """State of one run as reported by its engine.

    :param request: Request id that the caller assigned to the run.
    :param tokens: Number of tokens that it holds in memory.
    :param events: Number of events produced so far.
    """

    request: RequestId
    tokens: int
    events: int


class EngineReport(Struct, frozen=True, kw_only=True):
    """State that an engine reported; the data is some hundred milliseconds old.

    :param upstream: The engine.
    :param waiting: Number of requests in its queue.
    :param running: Number of requests in its batch.
    :param used_tokens: Memory that cannot be freed, in tokens.
    :param total_tokens: Total memory, in tokens.
    :param leaves_in_ms: Time until it leaves, in milliseconds; ``None`` if unknown.
    :param is_leaving: Whether it accepts no new requests because it is leaving.
    :param runs: Runs in progress.
    """

    upstream: UpstreamId
    waiting: int
    running: int
    used_tokens: int
    total_tokens: int
    leaves_in_ms: int | None
    is_leaving: bool
    runs: tuple[RunState, ...]
