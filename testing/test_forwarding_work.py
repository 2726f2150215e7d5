"""What a host tells of its generations, and when."""

from __future__ import annotations

import asyncio

from tanagerscale.core import Clock
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import LocalWorkload
from testing._virtual_time import run_virtually

X, Y = UpstreamId("x"), UpstreamId("y")
REQUEST = RequestId("1")


def _begin(work: LocalWorkload, *, at: UpstreamId = X) -> None:
    work.begin(request=REQUEST, upstream=at, prompt_tokens=1000, tokens=1000, is_long=True)


def test_change_is_told_once_however_often_it_is_recorded() -> None:
    async def play() -> list[str]:
        work = LocalWorkload(clock=Clock())
        told: list[str] = []
        step = "begin"
        work.changes.subscribe(lambda _: told.append(step))
        _begin(work)
        _begin(work)
        step = "first event"
        work.progress(request=REQUEST, tokens=1004, made=4)
        step = "later events"
        work.progress(request=REQUEST, tokens=1008, made=8)
        step = "copy"
        work.set_copy(request=REQUEST, copy_at=Y)
        step = "moving"
        work.set_moving(request=REQUEST, is_moving=True)
        work.set_moving(request=REQUEST, is_moving=True)
        step = "end"
        work.end(request=REQUEST)
        work.end(request=REQUEST)
        return told

    assert run_virtually(play()) == ["begin", "first event", "copy", "moving", "end"]


def test_ages_are_told_as_they_are_when_they_are_asked_for() -> None:
    async def play() -> tuple[int, int, int]:
        work = LocalWorkload(clock=Clock())
        _begin(work)
        before = work.uses()[0].begun_ms
        work.progress(request=REQUEST, tokens=1004, made=4)
        await asyncio.sleep(0.3)
        work.set_copy(request=REQUEST, copy_at=Y, yields=True)
        await asyncio.sleep(0.2)
        use = work.uses()[0]
        return before, use.begun_ms, use.copy_ms

    assert run_virtually(play()) == (-1, 500, 200)


def test_generation_that_goes_on_at_another_engine_has_not_begun_there() -> None:
    async def play() -> None:
        work = LocalWorkload(clock=Clock())
        _begin(work)
        work.progress(request=REQUEST, tokens=1400, made=400)
        work.begin(
            request=REQUEST, upstream=Y, prompt_tokens=0, tokens=1400, made=400, is_long=True
        )
        (use,) = work.uses()
        assert (use.upstream, use.begun_ms, use.tokens, use.made) == (Y, -1, 1400, 400)

    run_virtually(play())


def test_nothing_is_told_of_a_generation_that_is_over() -> None:
    async def play() -> None:
        work = LocalWorkload(clock=Clock())
        _begin(work)
        work.end(request=REQUEST)
        work.progress(request=REQUEST, tokens=1004, made=4)
        work.set_copy(request=REQUEST, copy_at=Y)
        assert work.uses() == []

    run_virtually(play())
