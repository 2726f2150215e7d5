"""In-memory fakes of an engine, a router and a sink, for tests in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import random

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import AttemptId
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import GenerationId
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import UpstreamId
from tanagerscale.generated.upstream import CacheEvents
from tanagerscale.generated.upstream import EngineOrder
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.generated.upstream import Refusal
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.generated.upstream import TokenEvent
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing import Placement
from tanagerscale.upstreams import TokenBatches
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind

STEP_MS = 10
RESPONSE_TIMEOUT_MS = 3000


def answer_tokens(request: EngineRequest, *, salt: int = 0) -> list[str]:
    """Return the answer to a request; it depends only on the prompt, the seed and the salt."""
    rng = random.Random(f"{request.prompt} {request.seed} {salt}")
    return [f"w{rng.randrange(1000)} " for _ in range(request.max_tokens)]


@dataclass(kw_only=True)
class Run:
    """One attempt on an engine."""

    request: EngineRequest
    tokens: list[str]
    started: int
    cancelled: bool = False


@dataclass(kw_only=True)
class Faults:
    """Faults of an engine; each ``..._at`` fault occurs once, at that token offset.

    :param unreachable: Whether the engine is unreachable.
    :param frozen: Whether the engine stops replying.
    :param cut_at: Offset at which the connection breaks.
    :param crash_at: Offset at which the engine crashes.
    :param error_at: Offset at which the engine ends the attempt with an error.
    :param cross_at: Offset at which a token of another attempt is sent.
    :param skip_at: Offset of a token that is not sent.
    :param drop_end: Number of times that the connection breaks before the end marker.
    :param overlap: Number of tokens that a resume repeats.
    :param refuse: Kind of refusal for new attempts, or ``None``.
    :param salt: Changes the generated answer.
    """

    unreachable: bool = False
    frozen: bool = False
    cut_at: int | None = None
    crash_at: int | None = None
    error_at: int | None = None
    cross_at: int | None = None
    skip_at: int | None = None
    drop_end: int = 0
    overlap: int = 0
    refuse: RefusalKind | None = None
    salt: int = 0


@dataclass(kw_only=True)
class FakeEngine:
    """Engine that implements ``EngineClient``; a broken connection does not stop an attempt.

    :param step_ms: Time to generate one token.
    :param token_padding: Text appended to each token.
    :param sent_events: Number of token events sent so far.
    """

    clock: Clock
    faults: Faults = field(default_factory=Faults)
    runs: dict[str, Run] = field(default_factory=dict)
    executed: list[str] = field(default_factory=list)
    step_ms: int = STEP_MS
    token_padding: str = ""
    sent_events: int = 0

    async def generate(self, *, request: EngineRequest) -> TokenBatches:
        """Start an attempt."""
        if self.faults.unreachable:
            yield _failure(UpstreamErrorKind.NOT_SENT)
            return
        if self.faults.refuse is not None:
            yield _refusal(self.faults.refuse)
            return
        if self.faults.frozen:
            await self.clock.sleep(RESPONSE_TIMEOUT_MS)
            yield _failure(UpstreamErrorKind.UNRESPONSIVE)
            return
        assert request.attempt_id not in self.runs, "An attempt was sent twice."
        tokens = answer_tokens(request, salt=self.faults.salt)
        self.runs[request.attempt_id] = Run(
            request=request, tokens=tokens, started=self.clock.now()
        )
        self.executed.append(request.attempt_id)
        async for batch in self._follow(AttemptId(request.attempt_id), 0):
            yield batch

    async def resume(self, *, attempt: AttemptId, offset: int) -> TokenBatches:
        """Follow an attempt."""
        if self.faults.unreachable:
            yield _failure(UpstreamErrorKind.NOT_SENT)
            return
        if self.faults.frozen:
            await self.clock.sleep(RESPONSE_TIMEOUT_MS)
            yield _failure(UpstreamErrorKind.UNRESPONSIVE)
            return
        if attempt not in self.runs:
            yield _refusal(RefusalKind.UNKNOWN_GENERATION)
            return
        async for batch in self._follow(attempt, max(0, offset - self.faults.overlap)):
            yield batch

    async def _follow(self, attempt: AttemptId, offset: int) -> TokenBatches:
        run = self.runs[attempt]
        faults = self.faults
        yield Success(())
        while offset < len(run.tokens):
            await self.clock.sleep(run.started + (offset + 1) * self.step_ms - self.clock.now())
            if faults.crash_at == offset:
                faults.unreachable = True
                faults.crash_at = None
                self.runs.clear()
            if faults.unreachable or faults.cut_at == offset:
                faults.cut_at = None
                yield _failure(UpstreamErrorKind.BROKEN)
                return
            if faults.frozen:
                await self.clock.sleep(RESPONSE_TIMEOUT_MS)
                yield _failure(UpstreamErrorKind.STALLED)
                return
            if faults.error_at == offset:
                faults.error_at = None
                yield Success((_end_event(attempt, offset, FinishReason.ERROR),))
                return
            if faults.cross_at == offset:
                faults.cross_at = None
                yield Success((TokenEvent(attempt_id="other", offset=offset, text="foreign"),))
            elif faults.skip_at == offset:
                faults.skip_at = None
            else:
                text = run.tokens[offset] + self.token_padding
                self.sent_events += 1
                yield Success((TokenEvent(attempt_id=attempt, offset=offset, text=text),))
            offset += 1
        if faults.drop_end > 0:
            faults.drop_end -= 1
            yield _failure(UpstreamErrorKind.BROKEN)
            return
        yield Success((_end_event(attempt, offset, FinishReason.STOP),))

    async def cancel(self, *, attempt: AttemptId) -> Result[None, UpstreamError]:
        """Stop an attempt."""
        if self.faults.unreachable:
            return _failure(UpstreamErrorKind.NOT_SENT)
        if self.faults.frozen:
            return _failure(UpstreamErrorKind.UNRESPONSIVE)
        if attempt in self.runs:
            self.runs[attempt].cancelled = True
        return Success(None)

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Return the load of an idle engine."""
        if self.faults.unreachable:
            return _failure(UpstreamErrorKind.NOT_SENT)
        return Success(LoadReport(running=0, waiting=0, used_tokens=0, memory_tokens=60000))

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Return no events."""
        return Success(CacheEvents(events=[], next_sequence=after))

    async def state(self) -> Result[EngineState, UpstreamError]:
        """Fail, because no test uses this call."""
        return _failure(UpstreamErrorKind.MALFORMED)

    async def order(self, *, order: EngineOrder) -> Result[EngineState, UpstreamError]:
        """Fail, because no test sends orders."""
        return _failure(UpstreamErrorKind.MALFORMED)


class FakeRouter:
    """Places each generation on the first engine that is not excluded."""

    def __init__(self, *, engines: Sequence[UpstreamId]) -> None:
        self.engines = list(engines)
        self.placed: dict[GenerationId, Placement] = {}
        self.requests: list[PlacementRequest] = []
        self.released = 0
        self.shed_after: int | None = None
        """Number of releases after which one request is shed; ``None`` for never."""
        self.capacity = asyncio.Event()
        """Set while the engines have capacity; placements wait for it."""
        self.capacity.set()

    async def place(self, *, request: PlacementRequest) -> Result[Placement, Problem]:
        """Return a placement or a refusal, once the engines have capacity."""
        assert request.generation not in self.placed, "Placed twice without a release."
        self.requests.append(request)
        await self.capacity.wait()
        if self.shed_after is not None and self.released >= self.shed_after:
            self.shed_after = None
            return Failure(
                Problem(
                    kind=ProblemKind.OVERLOADED,
                    detail="All are full.",
                    execution=Execution.NOT_EXECUTED,
                    retry_after_ms=3000,
                )
            )
        for engine in self.engines:
            if engine not in request.excluded:
                placement = Placement(generation=request.generation, engine=engine)
                self.placed[request.generation] = placement
                return Success(placement)
        return Failure(
            Problem(
                kind=ProblemKind.NO_UPSTREAM,
                detail="None is left.",
                execution=Execution.NOT_EXECUTED,
                retry_after_ms=1000,
            )
        )

    def open_engines(self, *, request: PlacementRequest) -> frozenset[UpstreamId]:
        """Return all engines, which are always open."""
        return frozenset(self.engines)

    def adopt(self, *, request: PlacementRequest, engine: UpstreamId, tokens: int) -> Placement:
        """Record the placement."""
        placement = Placement(generation=request.generation, engine=engine)
        self.placed[request.generation] = placement
        return placement

    def report_progress(self, *, generation: GenerationId, tokens: int) -> None:
        """Check that the generation is placed."""
        assert generation in self.placed

    def release(
        self, *, generation: GenerationId, tokens: int, complete: bool, engine_lost: bool
    ) -> None:
        """Remove the placement."""
        del self.placed[generation]
        self.released += 1


@dataclass(kw_only=True)
class ListSink:
    """Sink that stores the texts in lists.

    :param whole: Whether texts are kept in ``pending`` instead of ``texts``.
    :param texts: Texts sent to the caller.
    :param pending: Texts not yet sent to the caller.
    :param on_token: Called with the offset after each delivery.
    """

    whole: bool = False
    texts: list[str] = field(default_factory=list)
    pending: list[str] = field(default_factory=list)
    on_token: Callable[[int], None] = lambda _count: None

    @property
    def cancel_after_ms(self) -> int | None:
        """Cancel at once."""
        return 0

    async def begin(self, *, attempt: AttemptId, engine: UpstreamId) -> None:
        """Do nothing."""

    async def deliver(self, *, texts: Sequence[str], offset: int, checksum: int) -> None:
        """Store the texts."""
        (self.pending if self.whole else self.texts).extend(texts)
        self.on_token(offset)
        await asyncio.sleep(0)

    def discard(self) -> bool:
        """Discard the pending texts; return whether no text was sent to the caller."""
        self.pending.clear()
        return not self.texts


def _end_event(attempt: AttemptId, offset: int, reason: FinishReason) -> TokenEvent:
    return TokenEvent(attempt_id=attempt, offset=offset, finish_reason=reason)


def _failure(kind: UpstreamErrorKind) -> Failure[UpstreamError]:
    return Failure(UpstreamError(kind=kind, detail="Failed by the test."))


def _refusal(kind: RefusalKind) -> Failure[UpstreamError]:
    refusal = Refusal(kind=kind)
    return Failure(
        UpstreamError(
            kind=UpstreamErrorKind.REFUSED, detail="Refused by the test.", refusal=refusal
        )
    )
