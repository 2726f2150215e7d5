"""Who waits for room, who goes first, and who is refused at once."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import RequestId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding._demand import MAX_LATE_WAIT_MS
from tanagerscale.forwarding._demand import RESPONSE_RESERVE_MS
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import Bench
from testing._gateway_fakes import make_bench
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._virtual_time import run_virtually

FULL = 31_000
TARGET_MS = 1500
Found = Result[UpstreamEntry, Refusal]


def _fill(bench: Bench, name: str = "filler", tokens: int = FULL) -> RequestId:
    """Take most of an engine's memory."""
    request = RequestId(name)
    upstream = bench.upstreams.entries[0].upstream
    bench.work.begin(
        request=request, upstream=upstream, prompt_tokens=0, tokens=tokens, is_long=True
    )
    return request


def _ask(
    bench: Bench,
    admission: Admission,
    name: str,
    *,
    prompt: int = 3000,
    longest: int = 2000,
    left_of_ms: int | None = None,
    target_ms: int = TARGET_MS,
) -> asyncio.Task[Found]:
    """Ask for an engine.

    :param left_of_ms: What the caller has left of its route's 39 s, when it came back.
    """
    route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000, target_ms=target_ms)
    request = make_request(name=name, prompt=prompt, longest=longest)
    if left_of_ms is not None:
        fields = {field: getattr(request, field) for field in request.__struct_fields__}
        request = type(request)(**{**fields, "time_left_ms": left_of_ms})
    routed = route_request(request, route)
    return asyncio.create_task(admission.find_engine(routed=routed, excluded=frozenset()))


def _made() -> tuple[Bench, Admission]:
    bench = make_bench(make_entry("x"))
    return bench, Admission(parts=bench.parts, placer=bench.alone.client)


def test_generation_gets_an_engine_at_once_when_there_is_room() -> None:
    async def play() -> bool:
        bench, admission = _made()
        return isinstance(await _ask(bench, admission, "1"), Success)

    assert run_virtually(play())


def test_generation_gets_its_engine_when_another_one_ends() -> None:
    async def play() -> tuple[bool, bool]:
        bench, admission = _made()
        filler = _fill(bench)
        waiting = _ask(bench, admission, "1")
        await asyncio.sleep(0.5)
        before = waiting.done()
        bench.work.end(request=filler)
        return before, isinstance(await waiting, Success)

    assert run_virtually(play()) == (False, True)


def test_generation_is_refused_as_not_run_when_there_is_no_room_for_long() -> None:
    async def play() -> tuple[int, Found]:
        bench, admission = _made()
        _fill(bench)
        found = await _ask(bench, admission, "1")
        return bench.parts.clock.now(), found

    waited, found = run_virtually(play())
    assert isinstance(found, Failure)
    refusal = found.failure()
    assert refusal.kind is RefusalKind.OVERLOADED
    assert refusal.retry_after_ms is not None
    assert TARGET_MS + MAX_LATE_WAIT_MS - 50 <= waited <= TARGET_MS + MAX_LATE_WAIT_MS + 100


def test_caller_that_comes_back_late_is_refused_at_once_when_there_is_no_room() -> None:
    async def play() -> tuple[int, Found]:
        bench, admission = _made()
        _fill(bench)
        found = await _ask(bench, admission, "1", left_of_ms=30_000)
        return bench.parts.clock.now(), found

    waited, found = run_virtually(play())
    assert isinstance(found, Failure)
    assert waited < 100


def test_caller_that_comes_back_late_is_served_when_there_is_room() -> None:
    async def play() -> bool:
        bench, admission = _made()
        return isinstance(await _ask(bench, admission, "1", left_of_ms=30_000), Success)

    assert run_virtually(play())


def test_caller_that_came_back_gets_the_room_that_is_left_a_moment_later() -> None:
    async def play() -> tuple[bool, bool]:
        bench, admission = _made()
        filler = _fill(bench)
        # It was refused once, and its first event is a second late.
        came_back = _ask(bench, admission, "1", left_of_ms=39_000 - TARGET_MS - 1000)
        await asyncio.sleep(1)
        before = came_back.done()
        bench.work.end(request=filler)
        return before, isinstance(await came_back, Success)

    assert run_virtually(play()) == (False, True)


def test_what_can_be_in_time_goes_before_what_is_late() -> None:
    async def play() -> list[str]:
        bench, admission = _made()
        filler = _fill(bench)
        late = _ask(bench, admission, "late", prompt=15_000, left_of_ms=39_000 - TARGET_MS - 1000)
        await asyncio.sleep(0.1)
        fresh = _ask(bench, admission, "fresh", prompt=15_000)
        await asyncio.sleep(0.1)
        bench.work.end(request=filler)
        await fresh
        order = ["fresh", *(["late"] if late.done() else [])]
        late.cancel()
        return order

    assert run_virtually(play()) == ["fresh"]


@pytest.mark.parametrize(("longest", "left_ms"), [(2000, 30_000), (2000, 3000), (100, 6000)])
def test_nothing_waits_so_long_that_its_answer_can_not_end_in_time(
    longest: int, left_ms: int
) -> None:
    async def play() -> int:
        bench, admission = _made()
        _fill(bench)
        await _ask(bench, admission, "1", longest=longest, left_of_ms=left_ms)
        return bench.parts.clock.now()

    assert run_virtually(play()) <= max(left_ms - RESPONSE_RESERVE_MS, 0) + 100


def test_short_answers_go_first_and_then_the_first_to_come() -> None:
    async def play() -> list[str]:
        bench, admission = _made()
        filler = _fill(bench)
        order: list[str] = []

        async def keep(name: str, longest: int) -> None:
            await _ask(bench, admission, name, prompt=20_000, longest=longest, target_ms=4000)
            order.append(name)
            bench.work.end(request=RequestId(name))

        tasks = []
        for name, longest in (("long-1", 2000), ("long-2", 2000), ("short", 40)):
            tasks.append(asyncio.create_task(keep(name, longest)))
            await asyncio.sleep(0.05)
        bench.work.end(request=filler)
        await asyncio.gather(*tasks)
        return order

    assert run_virtually(play()) == ["short", "long-1", "long-2"]


def test_memory_is_promised_only_once_when_several_wait() -> None:
    async def play() -> int:
        bench, admission = _made()
        filler = _fill(bench)
        tasks = [
            _ask(bench, admission, str(number), prompt=14_000, target_ms=30_000)
            for number in range(4)
        ]
        await asyncio.sleep(0.1)
        bench.work.end(request=filler)
        await asyncio.sleep(0.1)
        return sum(task.done() for task in tasks)

    assert run_virtually(play()) == 2


def test_generation_that_is_given_up_leaves_the_queue() -> None:
    async def play() -> int:
        bench, admission = _made()
        _fill(bench)
        waiting = _ask(bench, admission, "1")
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.sleep(0.1)
        return bench.alone.coordinator.queue.waiting

    assert run_virtually(play()) == 0


@pytest.mark.parametrize("excluded", [True, False])
def test_engine_that_refused_is_not_chosen_again(excluded: bool) -> None:
    async def play() -> str:
        bench = make_bench(make_entry("x"), make_entry("y"))
        admission = Admission(parts=bench.parts, placer=bench.alone.client)
        _fill(bench, tokens=10_000)
        route = make_route(kind=RouteKind.STREAMING)
        routed = route_request(make_request(prompt=100), route)
        without = frozenset({bench.upstreams.entries[1].upstream}) if excluded else frozenset()
        found = await admission.find_engine(routed=routed, excluded=without)
        entry: UpstreamEntry = found.unwrap()
        return entry.upstream

    assert run_virtually(play()) == ("x" if excluded else "y")
