"""Execution of one attempt on an engine, including resumes of its connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
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
from tanagerscale.routing import Placement
from tanagerscale.upstreams import EngineClient
from tanagerscale.upstreams import TokenBatches
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind

RESUME_DELAY_MS = 100
MAX_SILENT_RESUMES = 1
MAX_IDLE_RESUMES = 80
"""Maximum number of consecutive resumes without a new token before the attempt counts as lost.

An engine that responds still holds the attempt, for example a preempted one that waits for memory.
"""

_log = get_logger(part="dispatch")


@unique
class AttemptEnd(Enum):
    """How an attempt ended."""

    FINISHED = "finished"
    NOT_SENT = "not-sent"
    """The engine could not be reached, so nothing ran."""
    REFUSED = "refused"
    """The engine refused the attempt before running it."""
    CRASHED = "crashed"
    """The engine crashed, or restarted without the attempt."""
    LOST = "lost"
    """The attempt failed or its connection was lost, but the engine may still run."""
    DIFFERS = "differs"
    """The replay differs from the delivered tokens."""


class AttemptOutcome(Struct, frozen=True, kw_only=True):
    """The result of an attempt.

    :param end: How the attempt ended.
    :param detail: Explanation in one sentence for the log.
    :param refusal: Refusal by the engine, if it ended the attempt.
    """

    end: AttemptEnd
    detail: str = ""
    refusal: Refusal | None = None


@final
class Attempt:
    """Runs one attempt and resumes it after broken or stalled connections.

    :param attempt: Id of the attempt.
    :param client: Client of the engine.
    :param relay: Position in the generation.
    :param sink: Delivers the accepted tokens.
    :param on_progress: Called with the number of tokens that the attempt has generated.
    :param clock: Clock used for the delays between resumes.
    """

    def __init__(
        self,
        *,
        attempt: AttemptId,
        client: EngineClient,
        relay: Relay,
        sink: Sink,
        on_progress: Callable[[int], None],
        clock: Clock,
    ) -> None:
        self._attempt = attempt
        self._client = client
        self._relay = relay
        self._sink = sink
        self._on_progress = on_progress
        self._clock = clock
        self._accepted = False
        self._silent_resumes = 0
        self._idle_resumes = 0

    @property
    def accepted(self) -> bool:
        """Whether the engine has started to respond."""
        return self._accepted

    async def run(self, *, request: EngineRequest) -> AttemptOutcome:
        """Send the request and follow the attempt to its end.

        :param request: Request to the engine.
        """
        self._relay.begin(attempt=self._attempt)
        outcome = await self._follow(self._client.generate(request=request))
        return await self._resume_until_end(outcome)

    async def resume(self) -> AttemptOutcome:
        """Follow an attempt that another host has started."""
        self._accepted = True
        self._relay.follow(attempt=self._attempt)
        return await self._resume_until_end(None)

    async def _resume_until_end(self, outcome: AttemptOutcome | None) -> AttemptOutcome:
        while outcome is None:
            if self._silent_resumes > MAX_SILENT_RESUMES or self._idle_resumes > MAX_IDLE_RESUMES:
                return AttemptOutcome(end=AttemptEnd.LOST, detail="The engine made no progress.")
            offset = self._relay.next_offset
            outcome = await self._follow(
                self._client.resume(attempt=self._attempt, offset=offset), resumed=True
            )
        return outcome

    async def _follow(
        self, batches: TokenBatches, *, resumed: bool = False
    ) -> AttemptOutcome | None:
        """Process batches until the attempt ends; ``None`` means that it must be resumed."""
        before = self._relay.next_offset
        replied = False
        try:
            async for batch in batches:
                # This runs for each token, and matching a class pattern takes twice as long.
                if isinstance(batch, Failure):
                    return await self._handle_error(batch.failure(), before, replied, resumed)
                replied = True
                self._accepted = True
                texts, fault = self._relay.accept(events=batch.unwrap())
                if texts:
                    await self._deliver(texts)
                if self._relay.finish is not None:
                    return AttemptOutcome(end=AttemptEnd.FINISHED)
                if fault is not None:
                    return await self._handle_fault(fault, before)
        finally:
            await batches.aclose()
        return None

    def _deliver(self, texts: Sequence[str]) -> Awaitable[None]:
        relay = self._relay
        self._on_progress(relay.next_offset)
        return self._sink.deliver(texts=texts, offset=relay.delivered, checksum=relay.checksum)

    async def _handle_fault(self, fault: RelayFault, before: int) -> AttemptOutcome | None:
        _log.warning("Token events were rejected.", attempt=self._attempt, fault=fault.value)
        if fault is RelayFault.DIFFERS:
            return AttemptOutcome(end=AttemptEnd.DIFFERS, detail="The replay differs.")
        if fault is RelayFault.ENDED_BADLY:
            return AttemptOutcome(end=AttemptEnd.LOST, detail="The engine ended it unfinished.")
        await self._count_resume(before, replied=True)
        return None

    async def _handle_error(
        self, error: UpstreamError, before: int, replied: bool, resumed: bool
    ) -> AttemptOutcome | None:
        if error.kind is UpstreamErrorKind.REFUSED and error.refusal is not None:
            return self._handle_refusal(error.refusal, resumed)
        if error.kind is UpstreamErrorKind.NOT_SENT:
            end = AttemptEnd.CRASHED if resumed else AttemptEnd.NOT_SENT
            return AttemptOutcome(end=end, detail=error.detail)
        _log.info(
            "The response of an engine was interrupted.",
            attempt=self._attempt,
            kind=error.kind.value,
            offset=before,
        )
        await self._count_resume(before, replied=replied)
        return None

    async def _count_resume(self, before: int, *, replied: bool) -> None:
        if self._relay.next_offset > before:
            self._silent_resumes = 0
            self._idle_resumes = 0
            return
        self._idle_resumes += 1
        self._silent_resumes = 0 if replied else self._silent_resumes + 1
        await self._clock.sleep(RESUME_DELAY_MS)

    def _handle_refusal(self, refusal: Refusal, resumed: bool) -> AttemptOutcome:
        if not resumed:
            return AttemptOutcome(end=AttemptEnd.REFUSED, refusal=refusal, detail=refusal.detail)
        # An engine that has started the attempt and no longer has it must have crashed in between.
        if self._accepted and refusal.kind is RefusalKind.UNKNOWN_GENERATION:
            return AttemptOutcome(end=AttemptEnd.CRASHED, detail="The engine lost the attempt.")
        return AttemptOutcome(end=AttemptEnd.LOST, detail="The engine refused to resume.")


async def run_until_move(
    run: Coroutine[None, None, AttemptOutcome], placement: Placement
) -> AttemptOutcome | None:
    """Run an attempt; cancel it and return ``None`` when a move of its placement is requested."""
    running = asyncio.ensure_future(run)
    moved = asyncio.ensure_future(placement.move_requested.wait())
    try:
        await asyncio.wait({running, moved}, return_when=asyncio.FIRST_COMPLETED)
        return running.result() if running.done() else None
    finally:
        moved.cancel()
        if not running.done():
            running.cancel()
            await asyncio.wait({running})
