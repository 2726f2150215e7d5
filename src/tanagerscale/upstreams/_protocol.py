"""Interface to a model engine."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import Sequence
from enum import Enum
from enum import unique
from typing import Protocol
from typing import TypeAlias

from msgspec import Struct
from returns.result import Result

from tanagerscale.core import AttemptId
from tanagerscale.generated.upstream import CacheEvents
from tanagerscale.generated.upstream import EngineOrder
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.generated.upstream import Refusal
from tanagerscale.generated.upstream import TokenEvent


@unique
class UpstreamErrorKind(Enum):
    """How a call to an upstream failed, which determines whether it may have been executed."""

    NOT_SENT = "not-sent"
    """No connection was established, so the upstream did not receive the call."""
    REFUSED = "refused"
    """The upstream reported that it executed nothing; ``refusal`` holds the reason."""
    BROKEN = "broken"
    """The connection ended before the response did; the call may have run."""
    UNRESPONSIVE = "unresponsive"
    """A connection was established, but no response began in time; the call may have run."""
    STALLED = "stalled"
    """The response began and then made no progress in time; the call may still be running."""
    MALFORMED = "malformed"
    """The response violates the protocol; the call may have run."""


class UpstreamError(Struct, frozen=True, kw_only=True):
    """A failed call to an upstream.

    :param kind: How the call failed.
    :param detail: One sentence for the log.
    :param refusal: Refusal that the upstream sent; ``None`` if it sent none.
    """

    kind: UpstreamErrorKind
    detail: str
    refusal: Refusal | None = None


TokenBatches: TypeAlias = AsyncGenerator[Result[Sequence[TokenEvent], UpstreamError], None]
"""Batches of events, one per read; a batch may be empty once the response has begun."""


class EngineClient(Protocol):
    """One model engine that is called through its published protocol; no method retries."""

    def generate(self, *, request: EngineRequest) -> TokenBatches:
        """Start an attempt and stream its events; the iterator ends after the first failure."""

    def resume(self, *, attempt: AttemptId, offset: int) -> TokenBatches:
        """Stream the events of a running or finished attempt from the token at ``offset``."""

    async def cancel(self, *, attempt: AttemptId) -> Result[None, UpstreamError]:
        """Cancel an attempt; idempotent."""

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Read the load report, which lags behind the actual load."""

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Read the cache events with a sequence number above ``after``."""

    async def state(self) -> Result[EngineState, UpstreamError]:
        """Read the state of the engine, such as the models that it holds."""

    async def order(self, *, order: EngineOrder) -> Result[EngineState, UpstreamError]:
        """Send an order to the engine."""
