"""What this host has running on engines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Set
from typing import final

from msgspec import Struct
from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import RunUse


class OwnRun(Struct, kw_only=True):
    """A generation of this host on one engine.

    :param upstream: The engine.
    :param prompt_tokens: What it has to read: its prompt, or nothing when its memory was copied.
    :param tokens: Tokens it holds in memory, or will when its prompt is read.
    :param made: Tokens of its answer so far.
    :param is_long: Whether its answer may run on for seconds.
    :param domains: Failure domains that it may run in; none means any.
    :param begun_at: When it began to answer there; ``None`` before that.
    :param copy_at: Engine that holds a copy of its memory, or ``None``.
    :param copied_at: When that copy was taken.
    :param copy_yields: Whether the copy was taken ahead and yields to new work.
    :param is_moving: Whether it is being copied now.
    """

    upstream: UpstreamId
    prompt_tokens: int
    tokens: int
    made: int
    is_long: bool
    domains: Set[FailureDomainId] = frozenset()
    begun_at: Millis | None = None
    copy_at: UpstreamId | None = None
    copied_at: Millis = Millis(0)
    copy_yields: bool = False
    is_moving: bool = False


@final
class OwnWork:
    """Counts this host's generations on each engine.

    :param clock: Time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._runs: dict[RequestId, OwnRun] = {}
        self._changes: Subject[None] = Subject()
        self.plain_counts: Counter[UpstreamId] = Counter()
        """This host's requests to each upstream whose answer is passed on whole."""

    @property
    def changes(self) -> Observable[None]:
        """Fires when those that decide should be told anew."""
        return self._changes

    @property
    def running(self) -> int:
        """How many generations this host has on engines."""
        return len(self._runs)

    def begin(
        self,
        *,
        request: RequestId,
        upstream: UpstreamId,
        prompt_tokens: int,
        tokens: int,
        made: int = 0,
        is_long: bool,
        domains: Set[FailureDomainId] = frozenset(),
    ) -> None:
        """Count a generation that is sent to an engine, or is about to be.

        :param request: The generation.
        :param upstream: The engine.
        :param prompt_tokens: What the engine has to read.
        :param tokens: Tokens it will hold when that is read.
        :param made: Tokens of its answer so far.
        :param is_long: Whether its answer may run on for seconds.
        :param domains: Failure domains that it may run in; none means any.
        """
        before = self._runs.get(request)
        is_counted = before is not None and before.upstream == upstream
        if is_counted and before is not None and before.begun_at is None:
            return  # It was counted when its engine was chosen, and is sent there now.
        self._runs[request] = OwnRun(
            upstream=upstream,
            prompt_tokens=prompt_tokens,
            tokens=tokens,
            made=made,
            is_long=is_long,
            domains=domains,
        )
        self._changes.on_next(None)

    def set_copy(
        self, *, request: RequestId, copy_at: UpstreamId | None, yields: bool = False
    ) -> None:
        """Record which engine holds a copy of a generation's memory.

        :param request: The generation.
        :param copy_at: The engine that holds its copy, or ``None``.
        :param yields: Whether the copy was taken ahead and yields to new work.
        """
        run = self._runs.get(request)
        if run is not None:
            run.copy_at = copy_at
            run.copy_yields = yields
            run.copied_at = self._clock.now()
            self._changes.on_next(None)

    def set_moving(self, *, request: RequestId, is_moving: bool) -> None:
        """Record whether a generation is being copied."""
        run = self._runs.get(request)
        if run is not None and run.is_moving is not is_moving:
            run.is_moving = is_moving
            self._changes.on_next(None)

    def progress(self, *, request: RequestId, tokens: int, made: int) -> None:
        """Record how far a generation is after an event.

        :param request: The generation.
        :param tokens: Tokens it holds in memory.
        :param made: Tokens of its answer.
        """
        run = self._runs.get(request)
        if run is None:
            return
        run.tokens = tokens
        run.made = made
        if run.begun_at is None:
            run.begun_at = self._clock.now()
            self._changes.on_next(None)

    def end(self, *, request: RequestId) -> None:
        """Forget a generation that left its engine."""
        if self._runs.pop(request, None) is not None:
            self._changes.on_next(None)

    def uses(self) -> list[RunUse]:
        """Return what those that decide are told."""
        now = self._clock.now()
        return [_to_use(request, run, now) for request, run in self._runs.items()]


def _to_use(request: RequestId, run: OwnRun, now: Millis) -> RunUse:
    return RunUse(
        request=request,
        upstream=run.upstream,
        prompt_tokens=run.prompt_tokens,
        tokens=run.tokens,
        made=run.made,
        is_long=run.is_long,
        begun_ms=-1 if run.begun_at is None else now - run.begun_at,
        copy_at=run.copy_at or "",
        copy_ms=0 if run.copy_at is None else now - run.copied_at,
        copy_yields=run.copy_yields,
        is_moving=run.is_moving,
        domains=sorted(run.domains),
    )
