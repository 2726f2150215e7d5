"""One attempt: from its dispatch to an engine to its end there."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from enum import Enum
from enum import unique
from typing import final

from msgspec import Struct
from returns.result import Failure

from tanagerscale.core import AttemptId
from tanagerscale.core import Clock
from tanagerscale.core import get_logger
from tanagerscale.dispatch._relay import Relay
from tanagerscale.dispatch._relay import RelayFault
from tanagerscale.dispatch._types import Sink
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import Refusal
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.upstreams import EngineClient
from tanagerscale.upstreams import TokenBatches
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind

RESUME_PAUSE_MS = 100
MAX_SILENT_RESUMES = 1
MAX_IDLE_RESUMES = 80
"""Resumes that an engine answers without any new token before the attempt is given up.

An engine that answers still holds the attempt, such as a preempted one that waits for memory.
"""

_log = get_logger(part="dispatch")


@unique
class AttemptEnd(Enum):
    """How an attempt ended."""

    FINISHED = "finished"
    NOT_SENT = "not-sent"
    """The engine could not be reached, so nothing ran."""
    REFUSED = "refused"
    """The engine refused before it ran anything."""
    CRASHED = "crashed"
    """The engine died, or came back without the attempt."""
    LOST = "lost"
    """The attempt failed or was cut off, and its engine may live."""
    DIFFERS = "differs"
    """The replay differs from what was delivered."""


class AttemptOutcome(Struct, frozen=True, kw_only=True):
    """The end of an attempt.

    :param end: How it ended.
    :param detail: One sentence for the log.
    :param refusal: The engine's refusal, if that is what ended it.
    """

    end: AttemptEnd
    detail: str = ""
    refusal: Refusal | None = None


@final
class Attempt:
    """Follows one attempt through broken and silent connections.

    :param attempt: Its id.
    :param client: The engine.
    :param relay: Position in the generation.
    :param sink: Takes the accepted tokens.
    :param report: Told how many tokens the attempt has made.
    :param clock: Times the pauses between resumes.
    """

    def __init__(
        self,
        *,
        attempt: AttemptId,
        client: EngineClient,
        relay: Relay,
        sink: Sink,
        report: Callable[[int], None],
        clock: Clock,
    ) -> None:
        self._attempt = attempt
        self._client = client
        self._relay = relay
        self._sink = sink
        self._report = report
        self._clock = clock
        self._accepted = False
        self._silent = 0
        self._idle = 0

    @property
    def accepted(self) -> bool:
        """Whether the engine has begun a reply."""
        return self._accepted

    async def run(self, *, request: EngineRequest) -> AttemptOutcome:
        """Send the attempt and follow it to its end.

        :param request: What the engine is to generate.
        """
        self._relay.begin(attempt=self._attempt)
        outcome = await self._follow(self._client.generate(request=request))
        return await self._resume_until_end(outcome)

    async def resume(self) -> AttemptOutcome:
        """Follow an attempt that another host has sent."""
        self._accepted = True
        self._relay.follow(attempt=self._attempt)
        return await self._resume_until_end(None)

    async def _resume_until_end(self, outcome: AttemptOutcome | None) -> AttemptOutcome:
        while outcome is None:
            if self._silent > MAX_SILENT_RESUMES or self._idle > MAX_IDLE_RESUMES:
                return AttemptOutcome(end=AttemptEnd.LOST, detail="The engine made no progress.")
            offset = self._relay.next_offset
            outcome = await self._follow(
                self._client.resume(attempt=self._attempt, offset=offset), resumed=True
            )
        return outcome

    async def _follow(
        self, batches: TokenBatches, *, resumed: bool = False
    ) -> AttemptOutcome | None:
        """Take batches until the attempt ends or the connection must be made anew."""
        before = self._relay.next_offset
        replied = False
        try:
            async for batch in batches:
                # This runs for each token, and a class pattern costs twice what this does.
                if isinstance(batch, Failure):
                    return await self._after_error(batch.failure(), before, replied, resumed)
                replied = True
                self._accepted = True
                texts, fault = self._relay.accept(events=batch.unwrap())
                if texts:
                    await self._deliver(texts)
                if self._relay.finish is not None:
                    return AttemptOutcome(end=AttemptEnd.FINISHED)
                if fault is not None:
                    return await self._after_fault(fault, before)
        finally:
            await batches.aclose()
        return None

    def _deliver(self, texts: Sequence[str]) -> Awaitable[None]:
        relay = self._relay
        self._report(relay.next_offset)
        return self._sink.deliver(texts=texts, offset=relay.delivered, checksum=relay.checksum)

    async def _after_fault(self, fault: RelayFault, before: int) -> AttemptOutcome | None:
        _log.warning("Events were refused.", attempt=self._attempt, fault=fault.value)
        if fault is RelayFault.DIFFERS:
            return AttemptOutcome(end=AttemptEnd.DIFFERS, detail="The replay differs.")
        if fault is RelayFault.ENDED_BADLY:
            return AttemptOutcome(end=AttemptEnd.LOST, detail="The engine ended it unfinished.")
        await self._count_resume(before, replied=True)
        return None

    async def _after_error(
        self, error: UpstreamError, before: int, replied: bool, resumed: bool
    ) -> AttemptOutcome | None:
        if error.kind is UpstreamErrorKind.REFUSED and error.refusal is not None:
            return self._after_refusal(error.refusal, resumed)
        if error.kind is UpstreamErrorKind.NOT_SENT:
            end = AttemptEnd.CRASHED if resumed else AttemptEnd.NOT_SENT
            return AttemptOutcome(end=end, detail=error.detail)
        _log.info("A reply stopped.", attempt=self._attempt, kind=error.kind.value, offset=before)
        await self._count_resume(before, replied=replied)
        return None

    async def _count_resume(self, before: int, *, replied: bool) -> None:
        if self._relay.next_offset > before:
            self._silent = 0
            self._idle = 0
            return
        self._idle += 1
        self._silent = 0 if replied else self._silent + 1
        await self._clock.sleep(RESUME_PAUSE_MS)

    def _after_refusal(self, refusal: Refusal, resumed: bool) -> AttemptOutcome:
        if not resumed:
            return AttemptOutcome(end=AttemptEnd.REFUSED, refusal=refusal, detail=refusal.detail)
        # An engine that had begun the attempt and knows nothing of it now has died in between.
        if self._accepted and refusal.kind is RefusalKind.UNKNOWN_GENERATION:
            return AttemptOutcome(end=AttemptEnd.CRASHED, detail="The engine lost the attempt.")
        return AttemptOutcome(end=AttemptEnd.LOST, detail="The engine refused to resume.")
