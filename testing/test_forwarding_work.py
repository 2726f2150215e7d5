"""What a host reports about its generations, and when."""

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


def test_change_is_published_once_when_it_is_recorded_twice() -> None:
    async def scenario() -> list[str]:
        work = LocalWorkload(clock=Clock())
        published: list[str] = []
        step = "begin"
        work.changes.subscribe(lambda _: published.append(step))
        _begin(work)
        _begin(work)
        step = "first event"
        work.progress(request=REQUEST, tokens=1004, answer_tokens=4)
        step = "later events"
        work.progress(request=REQUEST, tokens=1008, answer_tokens=8)
        step = "copy"
        work.set_copy(request=REQUEST, copy_at=Y)
        step = "moving"
        work.set_moving(request=REQUEST, is_moving=True)
        work.set_moving(request=REQUEST, is_moving=True)
        step = "end"
        work.end(request=REQUEST)
        work.end(request=REQUEST)
        return published

    assert run_virtually(scenario()) == ["begin", "first event", "copy", "moving", "end"]


def test_ages_are_computed_when_they_are_read() -> None:
    async def scenario() -> tuple[int, int, int]:
        work = LocalWorkload(clock=Clock())
        _begin(work)
        before = work.uses()[0].begun_ms
        work.progress(request=REQUEST, tokens=1004, answer_tokens=4)
        await asyncio.sleep(0.3)
        work.set_copy(request=REQUEST, copy_at=Y, is_evictable=True)
        await asyncio.sleep(0.2)
        use = work.uses()[0]
        return before, use.begun_ms, use.copy_ms

    assert run_virtually(scenario()) == (-1, 500, 200)


def test_generation_has_no_first_event_when_it_is_resumed_on_another_engine() -> None:
    async def scenario() -> None:
        work = LocalWorkload(clock=Clock())
        _begin(work)
        work.progress(request=REQUEST, tokens=1400, answer_tokens=400)
        work.begin(
            request=REQUEST,
            upstream=Y,
            prompt_tokens=0,
            tokens=1400,
            answer_tokens=400,
            is_long=True,
        )
        (use,) = work.uses()
        assert (use.upstream, use.begun_ms, use.tokens, use.made) == (Y, -1, 1400, 400)

    run_virtually(scenario())


def test_generation_is_not_reported_when_it_has_ended() -> None:
    async def scenario() -> None:
        work = LocalWorkload(clock=Clock())
        _begin(work)
        work.end(request=REQUEST)
        work.progress(request=REQUEST, tokens=1004, answer_tokens=4)
        work.set_copy(request=REQUEST, copy_at=Y)
        assert work.uses() == []

    run_virtually(scenario())
