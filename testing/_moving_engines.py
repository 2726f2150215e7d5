"""Engines between which runs move in a simulated world, and what they keep of runs."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from functools import cached_property
from typing import Final

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import CopyError
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import RunCopy
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import RunState
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import FakeUpstreams

EVENT_MS: Final = 100
CALL_MS: Final = 5
"""Time that a call takes to an engine that is not slow."""
COPY_MS: Final = 20
COPY_TTL_MS: Final = 5000
"""Time for which engines keep a copy at least, and here at most."""
CALL_TIMEOUT_MS: Final = 2500
"""Time after which a host gives up a control call."""
MAX_CONFIRMATION_MS: Final = 100 + CALL_MS
"""Age of a copy up to which a run may be stopped for it, as its host learns of it later."""
MAX_OVERLAP_MS: Final = 400
"""Longest time for which two engines may work on one run."""
LAST_REQUEST_MS: Final = 2000
"""Time after its notice from which an engine may get no request."""
REPORT_AGE_MS: Final = 300
"""Age of what an engine reports of its runs."""


@unique
class Close(Enum):
    """How an engine closes a stream that has not come to its end."""

    CLEAN = "clean"
    """Between two events, by FIN. Only a body without length or chunks is complete then."""
    RESET = "reset"
    """Between two events, by RST."""
    HALF_EVENT = "half-event"
    """Within an event."""


def event(number: int) -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: {number}\n\n".encode()


@dataclass(eq=False, slots=True)
class Memory:
    """What one copy of a run, or one run that was stopped, occupies at one or two engines."""

    request: RequestId
    holders: dict[str, bool]
    """Whether each engine with the memory is the one that stopped the run."""
    expires_at: int
    """When the engines with the memory may free it."""
    handles: set[str] = field(default_factory=set)
    stop_handle: str = ""
    """The handle with which the engine that stopped the run takes it back."""
    known: set[str] = field(default_factory=set)
    """Handles that the host has been told."""

    def accepts(self, handle: str, *, at: str) -> bool:
        """Return whether a run continues from it at an engine.

        :param handle: The handle in the request.
        :param at: The engine.
        """
        if at not in self.holders:
            return False
        return handle == self.stop_handle if self.holders[at] else handle in self.handles

    def is_known(self, *, at: str) -> bool:
        """Return whether the host knows a handle with which an engine continues the run."""
        return any(self.accepts(handle, at=at) for handle in self.known)


class WorldResponse:
    """The response of an engine, written event by event."""

    named_rates: Sequence[float | None] = ()
    headers: Sequence[Header] = ()
    is_address_reassigned = False
    closes_connection = False
    reason = ""

    def __init__(
        self,
        *,
        status: int = 200,
        not_executed: bool = False,
        is_close_delimited: bool = False,
    ) -> None:
        self.status = status
        self.not_executed = not_executed
        self.is_close_delimited = is_close_delimited
        self.closed = False
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()

    def put(self, chunk: bytes | None) -> None:
        """Send bytes, empty ones as the proper end, or break the connection."""
        self._chunks.put_nowait(chunk)

    def cut(self, close: Close, *, number: int) -> None:
        """Close the connection before the end of the stream.

        :param close: How.
        :param number: The next event.
        """
        if close is Close.HALF_EVENT:
            self.put(event(number)[:4])
        is_clean = self.is_close_delimited and close is not Close.RESET
        self.put(b"" if is_clean else None)

    async def read_some(self) -> bytes:
        """Return the next bytes."""
        chunk = await self._chunks.get()
        if chunk is None:
            raise ExchangeError(ExchangeFailure.LOST, "connection lost")
        return chunk

    async def skip(self) -> None:
        """Read and discard the body."""
        await self.read_all()

    async def read_all(self) -> bytes:
        """Return the complete body."""
        parts = []
        while part := await self.read_some():
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Close the connection."""
        self.closed = True


@dataclass(eq=False, slots=True)
class Work:
    """A run at the engine that works on it."""

    request: RequestId
    response: WorldResponse
    event: int
    """Number of the last event that was made."""
    sent: int = 0
    """Number of the last event that was sent."""
    is_copied: bool = False
    is_over: bool = False
    is_detached: bool = False
    """Whether the engine has closed its stream and works on it nevertheless."""


@dataclass(eq=False, slots=True)
class Engine:
    """An engine and its faults."""

    entry: UpstreamEntry
    is_alive: bool = True
    notice_at: int | None = None
    is_full: bool = False
    refuses_stops: bool = False
    """Whether runs that were stopped can't be copied to it, as it has become full meanwhile."""
    loses_stops: bool = False
    """Whether its answers to stops are lost."""
    lost_after_ms: int = CALL_TIMEOUT_MS
    """Time after which a host gives up a lost answer."""
    stop_failure: CopyFailure | None = None
    """Why it does not stop runs that it is asked to stop."""
    answer_ms: int = 0
    """Time by which its answers to stops are later."""
    is_close_delimited: bool = False
    """Whether the streams that it begins have neither a length nor chunks."""
    close: Close = Close.RESET
    """How it closes the streams of runs that it stops."""
    close_after_ms: int = 0
    """Time from the stop of a run until its stream is closed."""
    end_ms: int = 0
    """Time from the last event of a run to its end."""
    holds_back: bool = False
    """Whether it makes events that it does not send yet."""
    delay_ms: int = 0
    queue_ms: int = 0
    """Time for which a request that continues a run waits at it, after its handle was used."""
    link_ms: int = 0
    """Time for which copies wait for others on its link."""
    works: dict[RequestId, Work] = field(default_factory=dict)
    changes: list[tuple[int, RequestId, int | None]] = field(default_factory=list)
    """When its runs have made how many events; ``None`` at their end."""

    @property
    def name(self) -> str:
        """Its name."""
        return self.entry.upstream

    def record_events(self, request: RequestId, events: int | None) -> None:
        """Record how many events a run has made; ``None`` at its end."""
        self.changes.append((Clock().now(), request, events))

    def reported_runs(self) -> tuple[RunState, ...]:
        """Return its runs as it reports them, which is some time ago."""
        runs: dict[RequestId, int] = {}
        for at, request, events in self.changes:
            if at > Clock().now() - REPORT_AGE_MS:
                break
            if events is None:
                runs.pop(request, None)
            else:
                runs[request] = events
        return tuple(
            RunState(request=request, tokens=events, events=events)
            for request, events in runs.items()
        )


class KnownUpstreams(FakeUpstreams):
    """What the host knows of the engines."""

    @cached_property
    def known_at(self) -> dict[str, int]:
        """When the host learnt that upstreams leave."""
        return {}

    def leaving_for_ms(self, upstream: UpstreamId) -> int | None:
        """Return the time since the host has known that an upstream is leaving."""
        if upstream not in self.leaving:
            return None
        return Clock().now() - self.known_at[upstream]


def has_room(engine: Engine, *, stop: bool) -> bool:
    """Return whether an engine takes a copy of a run, which may have been stopped."""
    return engine.is_alive and not engine.is_full and not (stop and engine.refuses_stops)


def is_unknown_run(result: Result[RunCopy, CopyError]) -> bool:
    """Return whether an engine has said that it has no such run."""
    is_failed = isinstance(result, Failure)
    return is_failed and result.failure().failure is CopyFailure.UNKNOWN_RUN


def describe(result: Result[RunCopy, CopyError]) -> str:
    """Return the result of a copy for the trace."""
    if isinstance(result, Success):
        copied: RunCopy = result.unwrap()
        return copied.copy
    error = result.failure()
    return f"{error.failure.value} {error.retained_copy or ''}".strip()
