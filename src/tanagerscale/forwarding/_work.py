"""What all hosts have running on engines."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import HostId
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import EngineUse
from tanagerscale.generated.messages import HostUse
from tanagerscale.policy import MovingRun

RUN_FIELDS: Final = 2


@dataclass(kw_only=True, slots=True)
class OwnRun:
    """A generation of this host on one engine.

    :param upstream: The engine.
    :param prompt_tokens: What it has to read: its prompt, or nothing when its memory was copied.
    :param tokens: Tokens it holds in memory.
    :param made: Tokens of its answer among these.
    :param begun: Whether it has begun to answer there.
    :param copy_at: Engine that holds a copy of its memory, or ``None``.
    """

    upstream: UpstreamId
    prompt_tokens: int
    tokens: int
    made: int = 0
    begun: bool = False
    copy_at: UpstreamId | None = None


@dataclass(kw_only=True, slots=True)
class EngineTotal:
    """What runs on one engine.

    :param running: Generations that have begun to answer.
    :param run_tokens: Memory they hold.
    :param copy_tokens: Memory of copies of what runs elsewhere.
    :param waiting_tokens: Prompt tokens of those that have not begun.
    :param waiting: How many have not begun.
    """

    running: int = 0
    run_tokens: int = 0
    copy_tokens: int = 0
    waiting_tokens: int = 0
    waiting: int = 0


@dataclass(slots=True)
class _Parts:
    """One host's use of one engine while it is added up."""

    alone: list[list[int]] = field(default_factory=list)
    copied: list[int] = field(default_factory=list)
    prompts: list[int] = field(default_factory=list)
    copies: int = 0


@final
class EngineWork:
    """Counts this host's generations on each engine and adds what the peers tell."""

    def __init__(self) -> None:
        self._runs: dict[RequestId, OwnRun] = {}
        self._peers: dict[HostId, HostUse] = {}
        self._changes: Subject[None] = Subject()
        self._news: Subject[None] = Subject()
        self.plain_counts: Counter[UpstreamId] = Counter()
        """This host's requests to each upstream whose answer is passed on whole."""

    @property
    def changes(self) -> Observable[None]:
        """Fires when the peers should be told anew."""
        return self._changes

    @property
    def news(self) -> Observable[None]:
        """Fires when anything has changed here or at a peer."""
        return self._news

    def begin(
        self,
        *,
        request: RequestId,
        upstream: UpstreamId,
        prompt_tokens: int,
        tokens: int,
        made: int = 0,
        copy_at: UpstreamId | None = None,
    ) -> None:
        """Count a generation that is sent to an engine, or is about to be."""
        self._runs[request] = OwnRun(
            upstream=upstream,
            prompt_tokens=prompt_tokens,
            tokens=tokens,
            made=made,
            copy_at=copy_at,
        )
        self._changed()

    def set_copy(self, *, request: RequestId, copy_at: UpstreamId | None) -> None:
        """Record which engine holds a copy of a generation's memory."""
        run = self._runs.get(request)
        if run is not None and run.copy_at != copy_at:
            run.copy_at = copy_at
            self._changed()

    def progress(self, *, request: RequestId, tokens: int, made: int) -> None:
        """Record what a generation holds after an event, and what of it is its answer."""
        run = self._runs.get(request)
        if run is None:
            return
        run.tokens = tokens
        run.made = made
        if not run.begun:
            run.begun = True
            self._changed()

    def end(self, *, request: RequestId) -> None:
        """Forget a generation that left its engine."""
        if self._runs.pop(request, None) is not None:
            self._changed()

    def tell(self) -> None:
        """Have the peers told at once how far each generation is."""
        self._changes.on_next(None)

    def on_peer(self, *, host: HostId, use: HostUse) -> None:
        """Take in what a peer has."""
        self._peers[host] = use
        self._news.on_next(None)

    def forget_peer(self, *, host: HostId) -> None:
        """Drop what a host had that is gone."""
        if self._peers.pop(host, None) is not None:
            self._news.on_next(None)

    def own_use(self) -> HostUse:
        """Return what the peers are told."""
        parts: dict[UpstreamId, _Parts] = defaultdict(_Parts)
        for run in self._runs.values():
            there = parts[run.upstream]
            if not run.begun and run.prompt_tokens:
                there.prompts.append(run.prompt_tokens)
            elif run.copy_at is None:
                there.alone.append([run.tokens, run.made])
            else:
                there.copied.append(run.tokens)
            if run.copy_at is not None:
                parts[run.copy_at].copies += run.tokens
        return HostUse(
            engines={
                str(upstream): EngineUse(r=part.alone, b=part.copied, p=part.prompts, c=part.copies)
                for upstream, part in parts.items()
            }
        )

    def totals(self) -> dict[UpstreamId, EngineTotal]:
        """Return what runs on each engine that has anything."""
        totals: dict[UpstreamId, EngineTotal] = defaultdict(EngineTotal)
        for upstream, part in self._all_parts():
            total = totals[upstream]
            total.running += len(part.r) + len(part.b)
            total.run_tokens += sum(run[0] for run in part.r) + sum(part.b)
            total.copy_tokens += part.c
            total.waiting_tokens += sum(part.p)
            total.waiting += len(part.p)
        return totals

    def without_copy(self, upstream: UpstreamId, *, own_host: HostId) -> list[MovingRun]:
        """Return each generation on an engine that has no copy elsewhere.

        :param upstream: The engine.
        :param own_host: Id of this host.
        """
        uses = {own_host: self.own_use(), **self._peers}
        return [
            MovingRun(host=host, tokens=run[0], made=run[1])
            for host, use in uses.items()
            if upstream in use.engines
            for run in use.engines[upstream].r
            if len(run) == RUN_FIELDS
        ]

    def _all_parts(self) -> Iterator[tuple[UpstreamId, EngineUse]]:
        for use in (self.own_use(), *self._peers.values()):
            for upstream, part in use.engines.items():
                yield UpstreamId(upstream), part

    def _changed(self) -> None:
        self._changes.on_next(None)
        self._news.on_next(None)
