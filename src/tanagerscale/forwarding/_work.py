"""What all hosts have running on engines."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Iterator
from enum import Enum
from enum import IntEnum
from enum import unique
from typing import NamedTuple
from typing import final

from msgspec import Struct
from msgspec import field
from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import HostId
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import EngineUse
from tanagerscale.generated.messages import HostUse


@unique
class Urgency(Enum):
    """Who has to hear of a change, and how soon."""

    BEGUN = "begun"
    """All peers at once, since others look for room on the same engines. Of 910 generations at 78
    hosts that heard it up to 0.1 s later, 119 began late; of 401 where it was told at once, 19."""
    LINKS = "links"
    """Those at once who wait for the links of the same engines."""
    LATER = "later"
    """All peers, with what else changes within some milliseconds."""


@unique
class LinkRank(IntEnum):
    """In which order copies use an engine's link."""

    UNDER_WAY = 0
    REST = 1
    """The short rest of a run that has a copy; it stands still meanwhile."""
    WHOLE = 2
    """The whole memory of a run whose engine leaves."""
    AHEAD = 3
    """A copy taken in case the engine leaves."""


class OwnRun(Struct, kw_only=True):
    """A generation of this host on one engine.

    :param upstream: The engine.
    :param prompt_tokens: What it has to read: its prompt, or nothing when its memory was copied.
    :param tokens: Tokens it holds in memory, or will when its prompt is read.
    :param is_long: Whether its answer may run on for seconds.
    :param begun: Whether it has begun to answer there.
    :param copy_at: Engine that holds a copy of its memory, or ``None``.
    :param copy_yields: Whether the copy was taken ahead and yields to new work.
    """

    upstream: UpstreamId
    prompt_tokens: int
    tokens: int
    is_long: bool
    begun: bool = False
    copy_at: UpstreamId | None = None
    copy_yields: bool = False


class EngineTotal(Struct, kw_only=True):
    """What runs on one engine.

    :param running: Generations that have begun to answer.
    :param waiting: Generations that have not.
    :param waiting_tokens: Their prompt tokens.
    :param long_tokens: Tokens that long generations hold or will hold.
    :param short_tokens: The same for short ones.
    :param copy_tokens: Memory of copies of what leaves another engine.
    :param yielding_tokens: Memory of copies taken ahead, which yield to new work.
    :param uncopied_tokens: Memory of long generations that have no copy elsewhere.
    """

    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    long_tokens: int = 0
    short_tokens: int = 0
    copy_tokens: int = 0
    yielding_tokens: int = 0
    uncopied_tokens: int = 0


class _Sum(Struct):
    """One host's use of one engine while it is added up; the fields are those of ``EngineUse``."""

    n: int = 0
    k: int = 0
    w: int = 0
    m: int = 0
    s: int = 0
    u: int = 0
    c: int = 0
    y: int = 0
    links: list[list[int]] = field(default_factory=list)

    def add(self, run: OwnRun) -> None:
        """Count a generation on this engine."""
        if run.begun or not run.prompt_tokens:
            self.n += 1
        else:
            self.k += 1
            self.w += run.prompt_tokens
        if not run.is_long:
            self.s += run.tokens
            return
        self.m += run.tokens
        if run.copy_at is None and run.begun:
            self.u += run.tokens

    def to_use(self) -> EngineUse:
        """Return the message that the peers get."""
        return EngineUse(
            n=self.n,
            k=self.k,
            w=self.w,
            m=self.m,
            s=self.s,
            u=self.u,
            c=self.c,
            y=self.y,
            l=self.links,
        )


class CopyTicket(Struct, frozen=True, kw_only=True):
    """A copy that uses the links of two engines or waits for them.

    :param number: Tells this host's copies apart.
    :param engines: The engine it comes from and the one it goes to.
    :param rank: In which order copies go.
    :param order: The order within the rank, the smallest first.
    """

    number: int
    engines: tuple[UpstreamId, UpstreamId]
    rank: LinkRank
    order: int


class TurnKey(NamedTuple):
    """The place of a copy in the queue for a link; the smallest goes first.

    :param rank: In which order copies go.
    :param order: The order within the rank.
    :param host: Who copies.
    :param number: Tells this host's copies apart; 0 for those of peers.
    """

    rank: int
    order: int
    host: HostId
    number: int


@final
class EngineWork:
    """Counts this host's generations on each engine and adds what the peers tell.

    :param host: This host.
    """

    def __init__(self, *, host: HostId) -> None:
        self._host = host
        self._runs: dict[RequestId, OwnRun] = {}
        self._tickets: dict[int, CopyTicket] = {}
        self._peers: dict[HostId, HostUse] = {}
        self._links_changed: tuple[UpstreamId, ...] = ()
        self._changes: Subject[Urgency] = Subject()
        self._news: Subject[None] = Subject()
        self.plain_counts: Counter[UpstreamId] = Counter()
        """This host's requests to each upstream whose answer is passed on whole."""

    @property
    def changes(self) -> Observable[Urgency]:
        """Fires when the peers should be told anew, and how soon."""
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
        is_long: bool,
    ) -> None:
        """Count a generation that is sent to an engine, or is about to be."""
        before = self._runs.get(request)
        run = OwnRun(upstream=upstream, prompt_tokens=prompt_tokens, tokens=tokens, is_long=is_long)
        if run == before:
            return  # It was counted when its engine was chosen, and is sent there now.
        self._runs[request] = run
        is_new = before is None or before.upstream != upstream
        self._changed(Urgency.BEGUN if is_new else Urgency.LATER)

    def set_copy(
        self, *, request: RequestId, copy_at: UpstreamId | None, yields: bool = False
    ) -> None:
        """Record which engine holds a copy of a generation's memory.

        :param request: The generation.
        :param copy_at: The engine that holds its copy, or ``None``.
        :param yields: Whether the copy was taken ahead and yields to new work.
        """
        run = self._runs.get(request)
        if run is not None and (run.copy_at, run.copy_yields) != (copy_at, yields):
            run.copy_at = copy_at
            run.copy_yields = yields
            self._changed()

    def progress(self, *, request: RequestId, tokens: int) -> None:
        """Record how many tokens a generation holds after an event."""
        run = self._runs.get(request)
        if run is None:
            return
        run.tokens = tokens
        if not run.begun:
            run.begun = True
            self._changed()

    def end(self, *, request: RequestId) -> None:
        """Forget a generation that left its engine."""
        if self._runs.pop(request, None) is not None:
            self._changed()

    def queue_copy(self, ticket: CopyTicket) -> None:
        """Tell that a copy waits for the links of its engines, or uses them."""
        self._tickets[ticket.number] = ticket
        self._links_changed = ticket.engines
        self._changed(Urgency.LINKS)

    def leave_queue(self, ticket: CopyTicket) -> None:
        """Tell that a copy no longer needs the links."""
        if self._tickets.pop(ticket.number, None) is not None:
            self._links_changed = ticket.engines
            self._changed(Urgency.LINKS)

    def ahead_of(self, ticket: CopyTicket) -> list[TurnKey]:
        """Return the copies that share an engine's link with one and go before it, in order."""
        own = TurnKey(ticket.rank, ticket.order, self._host, ticket.number)
        ahead = []
        for engine in ticket.engines:
            for other in self._tickets.values():
                if engine in other.engines:
                    ahead.append(TurnKey(other.rank, other.order, self._host, other.number))
            for host, use in self._peers.items():
                there = use.engines.get(engine)
                links = () if there is None else there.l
                ahead.extend(TurnKey(rank, order, host, 0) for rank, order in links)
        return sorted(key for key in ahead if key < own)

    def is_next(self, ticket: CopyTicket) -> bool:
        """Return whether no copy that shares an engine's link goes before this one."""
        return not self.ahead_of(ticket)

    @property
    def concerned(self) -> list[HostId]:
        """Peers that have anything on the engines whose links this host used or left last."""
        return [
            host
            for host, use in self._peers.items()
            if any(str(engine) in use.engines for engine in self._links_changed)
        ]

    def hosts_at(self, upstream: UpstreamId) -> int:
        """Return how many hosts have anything on an engine, this one included."""
        return 1 + sum(str(upstream) in use.engines for use in self._peers.values())

    def on_peer(self, *, host: HostId, use: HostUse) -> None:
        """Take in what a peer has, unless something newer was heard of it."""
        before = self._peers.get(host)
        if before is not None and 0 < use.number <= before.number:
            return
        self._peers[host] = use
        self._news.on_next(None)

    def forget_peer(self, *, host: HostId) -> None:
        """Drop what a host had that is gone."""
        if self._peers.pop(host, None) is not None:
            self._news.on_next(None)

    def own_use(self) -> HostUse:
        """Return what the peers are told."""
        sums: dict[UpstreamId, _Sum] = defaultdict(_Sum)
        for run in self._runs.values():
            sums[run.upstream].add(run)
            if run.copy_at is not None and run.copy_yields:
                sums[run.copy_at].y += run.tokens
            elif run.copy_at is not None:
                sums[run.copy_at].c += run.tokens
        for ticket in self._tickets.values():
            for engine in ticket.engines:
                sums[engine].links.append([ticket.rank, ticket.order])
        return HostUse(engines={str(upstream): total.to_use() for upstream, total in sums.items()})

    def totals(self) -> dict[UpstreamId, EngineTotal]:
        """Return what runs on each engine that has anything."""
        totals: dict[UpstreamId, EngineTotal] = defaultdict(EngineTotal)
        for upstream, part in self._all_parts():
            total = totals[upstream]
            total.running += part.n
            total.waiting += part.k
            total.waiting_tokens += part.w
            total.long_tokens += part.m
            total.short_tokens += part.s
            total.copy_tokens += part.c
            total.yielding_tokens += part.y
            total.uncopied_tokens += part.u
        return totals

    def _all_parts(self) -> Iterator[tuple[UpstreamId, EngineUse]]:
        for use in (self.own_use(), *self._peers.values()):
            for upstream, part in use.engines.items():
                yield UpstreamId(upstream), part

    def _changed(self, urgency: Urgency = Urgency.LATER) -> None:
        self._changes.on_next(urgency)
        self._news.on_next(None)
