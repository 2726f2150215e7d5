"""What hosts tell each other of their work, and whose copy is next."""

from __future__ import annotations

import asyncio

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import EngineWork
from tanagerscale.forwarding._links import AGREE_MS
from tanagerscale.forwarding._links import LONGEST_COPY_MS
from tanagerscale.forwarding._links import UNUSED_TURN_MS
from tanagerscale.forwarding._links import LinkTurns
from tanagerscale.forwarding._work import CopyTicket
from tanagerscale.forwarding._work import LinkRank
from tanagerscale.forwarding._work import Urgency
from testing._gateway_fakes import make_entry
from testing._virtual_time import run_virtually

X, Y, Z = UpstreamId("x"), UpstreamId("y"), UpstreamId("z")
FAR = Millis(1_000_000)


def _begin(work: EngineWork, name: str, *, at: UpstreamId = X, is_long: bool = True) -> RequestId:
    request = RequestId(name)
    work.begin(request=request, upstream=at, prompt_tokens=1000, tokens=1000, is_long=is_long)
    return request


def test_totals_add_up_what_all_hosts_have() -> None:
    mine, theirs = EngineWork(host=HostId("a")), EngineWork(host=HostId("b"))
    begun = _begin(mine, "1")
    mine.progress(request=begun, tokens=1040)
    mine.set_copy(request=begun, copy_at=Y)
    _begin(mine, "2", is_long=False)
    _begin(theirs, "3")
    mine.on_peer(host=HostId("b"), use=theirs.own_use())
    total = mine.totals()[X]
    assert (total.running, total.waiting, total.waiting_tokens) == (1, 2, 2000)
    assert (total.long_tokens, total.short_tokens) == (2040, 1000)
    assert total.uncopied_tokens == 0
    assert mine.totals()[Y].copy_tokens == 1040


def test_run_without_a_copy_counts_as_such_once_it_has_begun() -> None:
    work = EngineWork(host=HostId("a"))
    request = _begin(work, "1")
    assert work.totals()[X].uncopied_tokens == 0
    work.progress(request=request, tokens=1040)
    assert work.totals()[X].uncopied_tokens == 1040


def test_nothing_is_left_when_runs_end_and_peers_go() -> None:
    work = EngineWork(host=HostId("a"))
    request = _begin(work, "1")
    other = EngineWork(host=HostId("b"))
    _begin(other, "2")
    work.on_peer(host=HostId("b"), use=other.own_use())
    work.end(request=request)
    work.forget_peer(host=HostId("b"))
    assert work.totals() == {}


def test_peers_are_told_at_once_of_begins_and_copies_and_later_of_the_rest() -> None:
    work = EngineWork(host=HostId("a"))
    told: list[Urgency] = []
    work.changes.subscribe(told.append)
    request = _begin(work, "1")
    ticket = CopyTicket(number=1, engines=(X, Y), rank=LinkRank.WHOLE, order=0)
    work.queue_copy(ticket)
    work.leave_queue(ticket)
    work.progress(request=request, tokens=1004)
    work.progress(request=request, tokens=1008)
    _begin(work, "1")
    work.end(request=request)
    assert told == [
        Urgency.BEGUN,
        Urgency.LINKS,
        Urgency.LINKS,
        Urgency.LATER,
        Urgency.LATER,
        Urgency.LATER,
    ]


def _tickets(rank: LinkRank, order: int, number: int = 1) -> CopyTicket:
    return CopyTicket(number=number, engines=(X, Y), rank=rank, order=order)


def test_rest_of_a_run_goes_before_whole_copies_and_these_before_copies_ahead() -> None:
    mine, theirs = EngineWork(host=HostId("a")), EngineWork(host=HostId("b"))
    ahead, whole = _tickets(LinkRank.AHEAD, -9), _tickets(LinkRank.WHOLE, -5)
    mine.queue_copy(ahead)
    theirs.queue_copy(whole)
    mine.on_peer(host=HostId("b"), use=theirs.own_use())
    theirs.on_peer(host=HostId("a"), use=mine.own_use())
    assert not mine.is_next(ahead)
    assert theirs.is_next(whole)
    rest = _tickets(LinkRank.REST, 0, number=2)
    mine.queue_copy(rest)
    theirs.on_peer(host=HostId("a"), use=mine.own_use())
    assert mine.is_next(rest)
    assert not theirs.is_next(whole)


def test_hosts_agree_who_is_next_when_all_else_is_equal() -> None:
    works = [EngineWork(host=HostId(name)) for name in "cab"]
    ticket = _tickets(LinkRank.WHOLE, 0)
    for work in works:
        work.queue_copy(ticket)
    for work in works:
        for other in works:
            if other is not work:
                work.on_peer(host=other._host, use=other.own_use())
    assert [work.is_next(ticket) for work in works] == [False, True, False]


def test_copies_that_share_no_engine_do_not_wait_for_each_other() -> None:
    work = EngineWork(host=HostId("a"))
    first = CopyTicket(number=1, engines=(X, Y), rank=LinkRank.WHOLE, order=0)
    other = CopyTicket(number=2, engines=(Z, UpstreamId("w")), rank=LinkRank.WHOLE, order=0)
    into_same = CopyTicket(number=3, engines=(Z, Y), rank=LinkRank.WHOLE, order=0)
    for ticket in (first, other, into_same):
        work.queue_copy(ticket)
    assert work.is_next(first)
    assert work.is_next(other)
    assert not work.is_next(into_same)


def test_turns_never_overlap_when_many_wait() -> None:
    async def play() -> tuple[list[str], int]:
        work = EngineWork(host=HostId("a"))
        turns = LinkTurns(work=work, clock=Clock())
        order: list[str] = []
        inside = most = 0

        async def copy(name: str, rank: LinkRank) -> None:
            nonlocal inside, most
            async with turns.turn(
                source=make_entry("x"),
                target=make_entry("y"),
                rank=rank,
                order=0,
                until=lambda: FAR,
            ):
                inside += 1
                most = max(most, inside)
                order.append(name)
                await asyncio.sleep(0.1)
                inside -= 1

        await asyncio.gather(
            copy("ahead", LinkRank.AHEAD),
            copy("whole", LinkRank.WHOLE),
            copy("rest", LinkRank.REST),
        )
        return order, most

    assert run_virtually(play()) == (["rest", "whole", "ahead"], 1)


def _behind_a_dead_peer(rank: LinkRank, until: Millis) -> tuple[bool, int]:
    """Return whether and when a turn comes that a peer was to have first, which says no more."""

    async def play() -> tuple[bool, int]:
        work, dead = EngineWork(host=HostId("a")), EngineWork(host=HostId("0"))
        dead.queue_copy(_tickets(rank, 0))
        work.on_peer(host=HostId("0"), use=dead.own_use())
        clock = Clock()
        async with LinkTurns(work=work, clock=clock).turn(
            source=make_entry("x"),
            target=make_entry("y"),
            rank=LinkRank.WHOLE,
            order=0,
            until=lambda: until,
        ) as is_granted:
            return is_granted, clock.now()

    return run_virtually(play())


def test_turn_comes_in_spite_of_a_peer_that_died_while_it_copied() -> None:
    granted, after_ms = _behind_a_dead_peer(LinkRank.UNDER_WAY, FAR)
    assert granted
    assert LONGEST_COPY_MS <= after_ms <= LONGEST_COPY_MS + 2 * AGREE_MS


def test_turn_comes_in_spite_of_a_peer_that_died_while_it_waited() -> None:
    granted, after_ms = _behind_a_dead_peer(LinkRank.REST, FAR)
    assert granted
    assert UNUSED_TURN_MS <= after_ms <= UNUSED_TURN_MS + 2 * AGREE_MS


def test_no_turn_is_given_when_it_would_come_too_late() -> None:
    assert _behind_a_dead_peer(LinkRank.UNDER_WAY, Millis(500)) == (False, 500)


def test_copies_at_the_end_of_a_notice_do_not_all_go_at_once() -> None:
    async def play() -> tuple[int, int]:
        work = EngineWork(host=HostId("a"))
        turns = LinkTurns(work=work, clock=Clock())
        inside = most = copied = 0

        async def copy() -> None:
            nonlocal inside, most, copied
            async with turns.turn(
                source=make_entry("x"),
                target=make_entry("y"),
                rank=LinkRank.WHOLE,
                order=0,
                until=lambda: Millis(1000),
            ) as is_granted:
                if not is_granted:
                    return
                inside += 1
                most = max(most, inside)
                await asyncio.sleep(0.3)
                copied += 1
                inside -= 1

        await asyncio.gather(*(copy() for _ in range(8)))
        return copied, most

    assert run_virtually(play()) == (4, 1)
