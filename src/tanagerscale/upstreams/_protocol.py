"""What the system asks of a model engine."""

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
    """How a call to an upstream failed, which decides what may be said of its execution."""

    NOT_SENT = "not-sent"
    """No connection was made, so the upstream knows nothing of the call."""
    REFUSED = "refused"
    """The upstream said that it executed nothing; ``refusal`` tells why."""
    BROKEN = "broken"
    """The connection ended before the answer did; the call may have run."""
    UNRESPONSIVE = "unresponsive"
    """A connection was made and no reply began in the time allowed; the call may have run."""
    STALLED = "stalled"
    """The reply began and then made no progress in the time allowed; the call may still run."""
    MALFORMED = "malformed"
    """The answer breaks the protocol; the call may have run."""


class UpstreamError(Struct, frozen=True, kw_only=True):
    """A failed call to an upstream.

    :param kind: How it failed.
    :param detail: One sentence for the log.
    :param refusal: The upstream's refusal, when it sent one.
    """

    kind: UpstreamErrorKind
    detail: str
    refusal: Refusal | None = None


TokenBatches: TypeAlias = AsyncGenerator[Result[Sequence[TokenEvent], UpstreamError], None]
"""Events as they arrive, those of one read together; a batch may be empty once the reply began."""


class EngineClient(Protocol):
    """One model engine, reached by its published protocol; no method retries."""

    def generate(self, *, request: EngineRequest) -> TokenBatches:
        """Start an attempt and follow it; the iterator ends after its first failure."""

    def resume(self, *, attempt: AttemptId, offset: int) -> TokenBatches:
        """Follow a running or finished attempt from the token at ``offset``."""

    async def cancel(self, *, attempt: AttemptId) -> Result[None, UpstreamError]:
        """Stop an attempt; idempotent."""

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Read the late load report."""

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Read the cache events with a sequence above ``after``."""

    async def state(self) -> Result[EngineState, UpstreamError]:
        """Read what the engine holds."""

    async def order(self, *, order: EngineOrder) -> Result[EngineState, UpstreamError]:
        """Give an order."""
