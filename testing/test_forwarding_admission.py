"""Admission of generations: waiting for capacity, order of placement and immediate refusals."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding._demand import MAX_LATE_WAIT_MS
from tanagerscale.forwarding._demand import RESPONSE_RESERVE_MS
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._single_host import DOMAIN
from testing._single_host import HOST
from testing._virtual_time import run_virtually

FULL_TOKENS = 31_000
TARGET_MS = 1500
Found = Result[UpstreamEntry, Refusal]


def _fill(fakes: GatewayFakes, name: str = "filler", tokens: int = FULL_TOKENS) -> RequestId:
    """Use most of an engine's memory."""
    request = RequestId(name)
    upstream = fakes.upstreams.entries[0].upstream
    fakes.work.begin(
        request=request, upstream=upstream, prompt_tokens=0, tokens=tokens, is_long=True
    )
    return request


def _find_engine(
    fakes: GatewayFakes,
    admission: Admission,
    name: str,
    *,
    prompt: int = 3000,
    max_tokens: int = 2000,
    left_of_ms: int | None = None,
    target_ms: int = TARGET_MS,
) -> asyncio.Task[Found]:
    """Request an engine.

    :param left_of_ms: Time that a retrying caller has left of its route's 39 s; ``None`` for a
        first attempt.
    """
    route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000, target_ms=target_ms)
    request = make_request(name=name, prompt=prompt, max_tokens=max_tokens)
    if left_of_ms is not None:
        fields = {field: getattr(request, field) for field in request.__struct_fields__}
        request = type(request)(**{**fields, "time_left_ms": left_of_ms})
    routed = route_request(request, route)
    return asyncio.create_task(admission.find_engine(routed=routed, excluded=frozenset()))


class FakePlacer:
    """Decider that chooses the given engines one after another.

    :param upstreams: The engines.
    """

    def __init__(self, *upstreams: str) -> None:
        self.asks: list[PlaceAsk] = []
        self._upstreams = list(upstreams)

    async def place(self, *, ask: PlaceAsk) -> PlaceAnswer:
        """Choose the next engine, whatever the ask excludes."""
        self.asks.append(ask)
        return PlaceAnswer(serial=0, kind=PlaceKind.SEND, upstream=self._upstreams.pop(0))


def _make_admission() -> tuple[GatewayFakes, Admission]:
    fakes = make_gateway_fakes(make_entry("x"))
    return fakes, Admission(context=fakes.context, placer=fakes.single_host.client)


def test_generation_gets_an_engine_at_once_when_there_is_capacity() -> None:
    async def scenario() -> bool:
        fakes, admission = _make_admission()
        return isinstance(await _find_engine(fakes, admission, "1"), Success)

    assert run_virtually(scenario())


# A decider that did not know yet that an engine leaves had requests sent to it.
def test_generation_is_placed_again_when_this_host_knows_that_the_placed_engine_leaves() -> None:
    async def scenario() -> None:
        fakes = make_gateway_fakes(make_entry("x"), make_entry("y"))
        placer = FakePlacer("x", "y")
        fakes.upstreams.leaving.add("x")
        found = await _find_engine(fakes, Admission(context=fakes.context, placer=placer), "1")
        assert found.unwrap().upstream == "y"
        assert [ask.excluded for ask in placer.asks] == [[], ["x"]]

    run_virtually(scenario())


# Guards against a refusal at once of a generation that was sent to no engine.
@pytest.mark.parametrize("has_refused", [False, True])
def test_generation_is_refused_at_once_only_when_its_engines_have_refused_it(
    has_refused: bool,
) -> None:
    async def scenario() -> bool:
        fakes, _ = _make_admission()
        queue = fakes.single_host.coordinator.queue
        ask = PlaceAsk(
            serial=1,
            request="1",
            service=fakes.upstreams.entries[0].service,
            prompt_tokens=1000,
            is_long=True,
            left_ms=1500,
            patience_ms=3000,
            excluded=["x"],
            refused_by=["x"] if has_refused else [],
        )
        queue.submit(host=HOST, domain=DOMAIN, ask=ask)
        return queue.waiting == 0

    assert run_virtually(scenario()) is has_refused


# Guards against an ask that reports an engine as refusing because this host found it leaving.
def test_ask_names_only_engines_that_have_refused_the_generation() -> None:
    async def scenario() -> list[list[str]]:
        fakes = make_gateway_fakes(make_entry("x"), make_entry("y"), make_entry("z"))
        placer = FakePlacer("x", "y")
        fakes.upstreams.leaving.add("x")
        admission = Admission(context=fakes.context, placer=placer)
        routed = route_request(make_request(), make_route(kind=RouteKind.STREAMING))
        await admission.find_engine(routed=routed, excluded=frozenset({UpstreamId("z")}))
        assert placer.asks[-1].excluded == ["x", "z"]
        return [ask.refused_by for ask in placer.asks]

    assert run_virtually(scenario()) == [["z"], ["z"]]


def test_generation_gets_an_engine_when_another_generation_ends() -> None:
    async def scenario() -> tuple[bool, bool]:
        fakes, admission = _make_admission()
        filler = _fill(fakes)
        waiting = _find_engine(fakes, admission, "1")
        await asyncio.sleep(0.5)
        before = waiting.done()
        fakes.work.end(request=filler)
        return before, isinstance(await waiting, Success)

    assert run_virtually(scenario()) == (False, True)


def test_generation_is_refused_as_not_executed_when_capacity_stays_exhausted() -> None:
    async def scenario() -> tuple[int, Found]:
        fakes, admission = _make_admission()
        _fill(fakes)
        found = await _find_engine(fakes, admission, "1")
        return fakes.context.clock.now(), found

    waited, found = run_virtually(scenario())
    assert isinstance(found, Failure)
    refusal = found.failure()
    assert refusal.kind is RefusalKind.OVERLOADED
    assert refusal.retry_after_ms is not None
    assert TARGET_MS + MAX_LATE_WAIT_MS - 50 <= waited <= TARGET_MS + MAX_LATE_WAIT_MS + 100


def test_late_retry_is_refused_at_once_when_there_is_no_capacity() -> None:
    async def scenario() -> tuple[int, Found]:
        fakes, admission = _make_admission()
        _fill(fakes)
        found = await _find_engine(fakes, admission, "1", left_of_ms=30_000)
        return fakes.context.clock.now(), found

    waited, found = run_virtually(scenario())
    assert isinstance(found, Failure)
    assert waited < 100


def test_late_retry_is_served_when_there_is_capacity() -> None:
    async def scenario() -> bool:
        fakes, admission = _make_admission()
        return isinstance(await _find_engine(fakes, admission, "1", left_of_ms=30_000), Success)

    assert run_virtually(scenario())


def test_late_retry_gets_an_engine_when_capacity_is_freed_within_its_wait() -> None:
    async def scenario() -> tuple[bool, bool]:
        fakes, admission = _make_admission()
        filler = _fill(fakes)
        # The caller was refused once, and its first event is a second late.
        retry = _find_engine(fakes, admission, "1", left_of_ms=39_000 - TARGET_MS - 1000)
        await asyncio.sleep(1)
        before = retry.done()
        fakes.work.end(request=filler)
        return before, isinstance(await retry, Success)

    assert run_virtually(scenario()) == (False, True)


def test_generation_on_time_is_placed_before_a_late_one() -> None:
    async def scenario() -> list[str]:
        fakes, admission = _make_admission()
        filler = _fill(fakes)
        late = _find_engine(
            fakes, admission, "late", prompt=15_000, left_of_ms=39_000 - TARGET_MS - 1000
        )
        await asyncio.sleep(0.1)
        fresh = _find_engine(fakes, admission, "fresh", prompt=15_000)
        await asyncio.sleep(0.1)
        fakes.work.end(request=filler)
        await fresh
        order = ["fresh", *(["late"] if late.done() else [])]
        late.cancel()
        return order

    assert run_virtually(scenario()) == ["fresh"]


@pytest.mark.parametrize(("max_tokens", "left_ms"), [(2000, 30_000), (2000, 3000), (100, 6000)])
def test_wait_leaves_time_for_the_answer_before_the_deadline(max_tokens: int, left_ms: int) -> None:
    async def scenario() -> int:
        fakes, admission = _make_admission()
        _fill(fakes)
        await _find_engine(fakes, admission, "1", max_tokens=max_tokens, left_of_ms=left_ms)
        return fakes.context.clock.now()

    assert run_virtually(scenario()) <= max(left_ms - RESPONSE_RESERVE_MS, 0) + 100


def test_short_generations_are_placed_first_then_in_arrival_order() -> None:
    async def scenario() -> list[str]:
        fakes, admission = _make_admission()
        filler = _fill(fakes)
        order: list[str] = []

        async def keep(name: str, max_tokens: int) -> None:
            await _find_engine(
                fakes, admission, name, prompt=20_000, max_tokens=max_tokens, target_ms=4000
            )
            order.append(name)
            fakes.work.end(request=RequestId(name))

        tasks = []
        for name, max_tokens in (("long-1", 2000), ("long-2", 2000), ("short", 40)):
            tasks.append(asyncio.create_task(keep(name, max_tokens)))
            await asyncio.sleep(0.05)
        fakes.work.end(request=filler)
        await asyncio.gather(*tasks)
        return order

    assert run_virtually(scenario()) == ["short", "long-1", "long-2"]


def test_memory_is_reserved_only_once_when_several_generations_wait() -> None:
    async def scenario() -> int:
        fakes, admission = _make_admission()
        filler = _fill(fakes)
        tasks = [
            _find_engine(fakes, admission, str(number), prompt=14_000, target_ms=30_000)
            for number in range(4)
        ]
        await asyncio.sleep(0.1)
        fakes.work.end(request=filler)
        await asyncio.sleep(0.1)
        return sum(task.done() for task in tasks)

    assert run_virtually(scenario()) == 2


def test_generation_leaves_the_queue_when_it_is_cancelled() -> None:
    async def scenario() -> int:
        fakes, admission = _make_admission()
        _fill(fakes)
        waiting = _find_engine(fakes, admission, "1")
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.sleep(0.1)
        return fakes.single_host.coordinator.queue.waiting

    assert run_virtually(scenario()) == 0


@pytest.mark.parametrize("excluded", [True, False])
def test_engine_is_not_chosen_when_it_is_excluded(excluded: bool) -> None:
    async def scenario() -> str:
        fakes = make_gateway_fakes(make_entry("x"), make_entry("y"))
        admission = Admission(context=fakes.context, placer=fakes.single_host.client)
        _fill(fakes, tokens=10_000)
        route = make_route(kind=RouteKind.STREAMING)
        routed = route_request(make_request(prompt=100), route)
        without = frozenset({fakes.upstreams.entries[1].upstream}) if excluded else frozenset()
        found = await admission.find_engine(routed=routed, excluded=without)
        entry: UpstreamEntry = found.unwrap()
        return entry.upstream

    assert run_virtually(scenario()) == ("x" if excluded else "y")
