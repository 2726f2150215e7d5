"""Every request gets one answer in time, whatever its route and its host's state."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace
import pytest

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Dispatcher
from tanagerscale.forwarding import RefusalKind
from tanagerscale.routes import AllowedRegions
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from testing._gateway_fakes import Bench
from testing._gateway_fakes import FakeAnswer
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import make_bench
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_movers
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_table
from testing._gateway_fakes import route_request
from testing._virtual_time import run_virtually

PLAIN = make_route(kind=RouteKind.NON_IDEMPOTENT, prefix="/a/", name="plain")
STREAM = make_route(kind=RouteKind.STREAMING, prefix="/s/", timeout_ms=39_000, name="stream")


class Scene:
    """A dispatcher over fakes."""

    def __init__(self) -> None:
        self.bench: Bench = make_bench(make_entry("x"))
        self.bench.tables.table = make_table(PLAIN, STREAM)
        self.is_stopping = False
        parts = self.bench.parts
        self.dispatcher = Dispatcher(
            parts=parts,
            admission=Admission(parts=parts, placer=self.bench.alone.client),
            movers=make_movers(self.bench),
            homes=AllowedRegions(regions={}),
            is_stopping=lambda: self.is_stopping,
        )

    async def ask(self, request: CallerRequest) -> FakeResponder:
        """Return what the caller gets."""
        responder = FakeResponder()
        await self.dispatcher.serve(request, responder)
        return responder


def _kind(responder: FakeResponder) -> RefusalKind | None:
    return None if responder.refusal is None else responder.refusal.kind


def _generation(longest: int = 2000) -> CallerRequest:
    return make_request(path="/s/x", prompt=100, longest=longest)


def test_request_is_answered_by_its_route() -> None:
    async def play() -> None:
        responder = await Scene().ask(make_request())
        assert (responder.status, responder.body) == (200, b"answer")

    run_virtually(play())


def test_host_that_knows_no_declarations_refuses_so_that_callers_come_back() -> None:
    async def play() -> None:
        scene = Scene()
        scene.bench.tables.table = None
        responder = await scene.ask(make_request())
        assert responder.refusal is not None
        assert responder.refusal.kind is RefusalKind.NOT_READY
        assert responder.refusal.retry_after_ms is not None

    run_virtually(play())


@pytest.mark.parametrize("path", ["/b/x", "/a", "/ab/x", "/"])
def test_request_without_a_route_is_told_so(path: str) -> None:
    async def play() -> None:
        scene = Scene()
        responder = await scene.ask(make_request(path=path))
        assert _kind(responder) is RefusalKind.UNKNOWN_ROUTE
        assert scene.bench.caller.orders == []

    run_virtually(play())


def test_caller_gets_an_answer_at_the_time_of_its_route() -> None:
    async def play() -> tuple[RefusalKind | None, int]:
        scene = Scene()
        scene.bench.caller.hang = {"x"}
        responder = await scene.ask(make_request())
        return _kind(responder), scene.bench.parts.clock.now()

    assert run_virtually(play()) == (RefusalKind.TIMED_OUT, PLAIN.timeout_ms)


def test_caller_that_waits_less_than_its_route_allows_gets_its_answer_sooner() -> None:
    async def play() -> tuple[RefusalKind | None, int]:
        scene = Scene()
        scene.bench.caller.hang = {"x"}
        responder = await scene.ask(replace(make_request(), time_left_ms=700))
        return _kind(responder), scene.bench.parts.clock.now()

    assert run_virtually(play()) == (RefusalKind.TIMED_OUT, 700)


def test_request_whose_time_is_over_when_it_comes_is_answered_at_once() -> None:
    async def play() -> int:
        scene = Scene()
        scene.bench.caller.hang = {"x"}
        request = replace(make_request(), arrived=Millis(0), time_left_ms=0)
        assert _kind(await scene.ask(request)) is RefusalKind.TIMED_OUT
        return scene.bench.parts.clock.now()

    assert run_virtually(play()) <= 1


def test_stream_that_has_begun_is_broken_off_and_never_answered_twice() -> None:
    async def play() -> None:
        scene = Scene()
        scene.bench.caller.set("x", FakeAnswer(chunks=[b"id: 1\ndata: 1\n\n", None]))
        responder = await scene.ask(_generation())
        assert (responder.status, responder.refusal) == (200, None)
        assert responder.aborted
        assert not responder.ended

    run_virtually(play())


def test_stopping_host_sends_long_generations_elsewhere_and_serves_the_rest() -> None:
    async def play() -> None:
        scene = Scene()
        scene.is_stopping = True
        scene.bench.caller.set("x", FakeAnswer(chunks=[b"id: 1\ndata: 1\n\n"]))
        refused = await scene.ask(_generation())
        assert refused.refusal is not None
        assert refused.refusal.kind is RefusalKind.OVERLOADED
        assert refused.refusal.retry_after_ms is not None
        assert refused.refusal.retry_after_ms < 100
        assert scene.bench.caller.orders == []
        assert (await scene.ask(_generation(longest=40))).ended
        assert (await scene.ask(make_request())).ended

    run_virtually(play())


def test_host_counts_what_it_answers() -> None:
    async def play() -> None:
        scene = Scene()
        scene.bench.caller.hang = {"x"}
        asking = asyncio.create_task(scene.ask(make_request()))
        await asyncio.sleep(0.1)
        assert scene.dispatcher.running == 1
        await asking
        assert scene.dispatcher.running == 0

    run_virtually(play())


def test_request_that_crashes_what_runs_it_reaches_few_upstreams() -> None:
    async def play() -> tuple[int, RefusalKind | None]:
        scene = Scene()
        names = [f"e{number}" for number in range(12)]
        scene.bench.upstreams.entries = [make_entry(name) for name in names]
        lost = ExchangeError(ExchangeFailure.LOST, "crashed")
        for name in names:
            scene.bench.caller.set(name, lost)
        for _ in range(10):
            responder = await scene.ask(_generation())
        return len(scene.bench.caller.orders), _kind(responder)

    assert run_virtually(play()) == (3, RefusalKind.QUARANTINED)


def test_request_beside_one_that_crashes_upstreams_is_served() -> None:
    async def play() -> FakeResponder:
        scene = Scene()
        for name in ("a", "b", "c"):
            other = make_request(name="other", path="/s/other", prompt=100)
            fingerprint = route_request(other, STREAM).fingerprint
            scene.bench.parts.suspects.note_broken(
                fingerprint=fingerprint, upstream=UpstreamId(name)
            )
        return await scene.ask(make_request())

    assert run_virtually(play()).ended
