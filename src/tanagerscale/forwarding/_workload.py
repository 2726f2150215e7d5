"""Registry of the requests and generations that this host has on upstreams."""

from __future__ import annotations

from collections import Counter
from collections.abc import Set
from typing import Final
from typing import final

from msgspec import Struct
from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._refused_generations import RefusedGenerations
from tanagerscale.generated.messages import RunUse


class RunOrigin(Struct, frozen=True, kw_only=True):
    """Who has sent a generation, and what it may need.

    :param account: Client account of the caller.
    :param priority: Priority of the generation; 0 is the highest.
    :param max_tokens: Maximum length of the answer in tokens; 0 if unknown.
    """

    account: ClientAccountId = ClientAccountId("")
    priority: int = 0
    max_tokens: int = 0


UNKNOWN_ORIGIN: Final = RunOrigin()


class CopyState(Struct, frozen=True, kw_only=True):
    """The copy of a generation's KV cache that deciders know of.

    :param copy_at: Engine that holds it, or ``None``.
    :param copied_at: Time at which it was taken.
    :param is_evictable: Whether it was made ahead of time and is evicted for new work.
    """

    copy_at: UpstreamId | None = None
    copied_at: Millis = Millis(0)
    is_evictable: bool = False


NO_COPY: Final = CopyState()


class LocalRun(Struct, kw_only=True):
    """A generation of this host on one engine.

    :param upstream: The engine.
    :param prompt_tokens: Tokens the engine must process first: the prompt, or 0 if the KV cache was
        copied.
    :param tokens: Tokens in the KV cache, or tokens it will hold once the prompt is processed.
    :param answer_tokens: Tokens of the answer so far.
    :param is_long: Whether the answer may run for seconds.
    :param begun_at: Time at which it was assigned to this engine.
    :param domains: Failure domains in which the generation may run; empty means any.
    :param origin: Who has sent it, and what it may need.
    :param queued_tokens: Prompt tokens that the engine had to process up to the first event; 0 if
        unknown.
    :param first_event_at: Time of the first event on this engine; ``None`` before that.
    :param copy_at: Engine that holds a copy of the KV cache, or ``None``.
    :param copied_at: Time at which that copy was taken.
    :param is_copy_evictable: Whether the copy was made ahead of time and is evicted for new work.
    :param is_moving: Whether the generation is being copied.
    """

    upstream: UpstreamId
    prompt_tokens: int
    tokens: int
    answer_tokens: int
    is_long: bool
    begun_at: Millis
    domains: Set[FailureDomainId] = frozenset()
    origin: RunOrigin = UNKNOWN_ORIGIN
    queued_tokens: int = 0
    first_event_at: Millis | None = None
    copy_at: UpstreamId | None = None
    copied_at: Millis = Millis(0)
    is_copy_evictable: bool = False
    is_moving: bool = False


@final
class LocalWorkload:
    """Tracks this host's generations on each engine.

    :param clock: Source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._runs: dict[RequestId, LocalRun] = {}
        self._changes: Subject[None] = Subject()
        self.plain_counts: Counter[UpstreamId] = Counter()
        """Number of this host's plain (non-streaming) requests in progress at each upstream."""
        self.refused: Final = RefusedGenerations(
            clock=clock, on_change=lambda: self._changes.on_next(None)
        )

    @property
    def changes(self) -> Observable[None]:
        """Emits when the state that deciders receive has changed."""
        return self._changes

    @property
    def running(self) -> int:
        """Number of generations that this host has on engines."""
        return len(self._runs)

    def begin(
        self,
        *,
        request: RequestId,
        upstream: UpstreamId,
        prompt_tokens: int,
        tokens: int,
        answer_tokens: int = 0,
        is_long: bool,
        domains: Set[FailureDomainId] = frozenset(),
        origin: RunOrigin = UNKNOWN_ORIGIN,
        queued_tokens: int = 0,
    ) -> None:
        """Add a generation that is sent to an engine or is about to be.

        :param request: The generation.
        :param upstream: The engine.
        :param prompt_tokens: Tokens the engine must process first.
        :param tokens: Tokens in the KV cache once these are processed.
        :param answer_tokens: Tokens of the answer so far.
        :param is_long: Whether the answer may run for seconds.
        :param domains: Failure domains in which the generation may run; empty means any.
        :param origin: Who has sent it, and what it may need.
        :param queued_tokens: Prompt tokens that the engine has to process up to the first event; 0
            if unknown.
        """
        previous = self._runs.get(request)
        is_counted = previous is not None and previous.upstream == upstream
        if is_counted and previous is not None and previous.first_event_at is None:
            return  # Already reserved when the engine was chosen.
        self._runs[request] = LocalRun(
            upstream=upstream,
            prompt_tokens=prompt_tokens,
            tokens=tokens,
            answer_tokens=answer_tokens,
            is_long=is_long,
            begun_at=self._clock.now(),
            domains=domains,
            origin=origin,
            queued_tokens=queued_tokens,
        )
        self._changes.on_next(None)

    def set_copy(
        self, *, request: RequestId, copy_at: UpstreamId | None, is_evictable: bool = False
    ) -> None:
        """Record which engine holds a copy of a generation's KV cache.

        :param request: The generation.
        :param copy_at: Engine that holds the copy, or ``None``.
        :param is_evictable: Whether the copy was made ahead of time and is evicted for new work.
        """
        run = self._runs.get(request)
        if run is not None:
            run.copy_at = copy_at
            run.is_copy_evictable = is_evictable
            run.copied_at = self._clock.now()
            self._changes.on_next(None)

    def get_copy(self, *, request: RequestId) -> CopyState:
        """Return which copy of a generation's KV cache is recorded."""
        run = self._runs.get(request)
        if run is None:
            return NO_COPY
        return CopyState(
            copy_at=run.copy_at, copied_at=run.copied_at, is_evictable=run.is_copy_evictable
        )

    def restore_copy(self, *, request: RequestId, state: CopyState) -> None:
        """Record an earlier copy again, since a later one was not made."""
        run = self._runs.get(request)
        if run is not None:
            run.copy_at = state.copy_at
            run.copied_at = state.copied_at
            run.is_copy_evictable = state.is_evictable
            self._changes.on_next(None)

    def set_moving(self, *, request: RequestId, is_moving: bool) -> None:
        """Record whether a generation is being copied."""
        run = self._runs.get(request)
        if run is not None and run.is_moving is not is_moving:
            run.is_moving = is_moving
            self._changes.on_next(None)

    def progress(self, *, request: RequestId, tokens: int, answer_tokens: int) -> None:
        """Record the progress of a generation after an event.

        :param request: The generation.
        :param tokens: Tokens in its KV cache.
        :param answer_tokens: Tokens of its answer so far.
        """
        run = self._runs.get(request)
        if run is None:
            return
        run.tokens = tokens
        run.answer_tokens = answer_tokens
        if run.first_event_at is None:
            run.first_event_at = self._clock.now()
            self._changes.on_next(None)

    def end(self, *, request: RequestId) -> None:
        """Remove a generation that left its engine."""
        if self._runs.pop(request, None) is not None:
            self._changes.on_next(None)

    def uses(self) -> list[RunUse]:
        """Return the state of all generations as it is sent to deciders."""
        now = self._clock.now()
        return [_to_run_use(request, run, now) for request, run in self._runs.items()]


def _to_run_use(request: RequestId, run: LocalRun, now: Millis) -> RunUse:
    return RunUse(
        request=request,
        upstream=run.upstream,
        prompt_tokens=run.prompt_tokens,
        tokens=run.tokens,
        made=run.answer_tokens,
        is_long=run.is_long,
        begun_ms=-1 if run.first_event_at is None else now - run.first_event_at,
        copy_at=run.copy_at or "",
        copy_ms=0 if run.copy_at is None else now - run.copied_at,
        copy_yields=run.is_copy_evictable,
        is_moving=run.is_moving,
        domains=sorted(run.domains),
        account=run.origin.account,
        priority=run.origin.priority,
        max_tokens=run.origin.max_tokens,
        queued_tokens=run.queued_tokens,
        first_event_ms=-1 if run.first_event_at is None else run.first_event_at - run.begun_at,
    )
