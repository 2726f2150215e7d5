"""What may be repeated, and what callers are told, for answers passed on whole."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from copy import deepcopy

import pytest

from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding._plain import HEDGE_DELAY_RATIO
from tanagerscale.forwarding._plain import PlainForwarder
from tanagerscale.quarantine import Fingerprint
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from testing._gateway_fakes import Bench
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import make_bench
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._virtual_time import run_virtually

NOT_SENT = ExchangeError(ExchangeFailure.NOT_SENT, "no connection")
LOST = ExchangeError(ExchangeFailure.LOST, "reset")
ONCE = RouteKind.NON_IDEMPOTENT
REPEATABLE = RouteKind.IDEMPOTENT


def _all(bench: Bench, *reactions: FakeResponse | ExchangeError) -> None:
    for entry in bench.upstreams.entries:
        own = (one if isinstance(one, ExchangeError) else deepcopy(one) for one in reactions)
        bench.caller.set(entry.upstream, *own)


async def _serve(
    bench: Bench, *, kind: RouteKind, attempts: int = 1
) -> tuple[FakeResponder, RefusalKind | None]:
    route = make_route(kind=kind, attempts=attempts)
    routed = route_request(make_request(), route)
    responder = FakeResponder()
    refusal = await PlainForwarder(routed=routed, parts=bench.parts).serve(responder)
    return responder, None if refusal is None else refusal.kind


def _three() -> Bench:
    return make_bench(make_entry("x"), make_entry("y"), make_entry("z"))


@pytest.mark.asyncio
async def test_answer_is_passed_on_when_an_upstream_gives_one() -> None:
    responder, refusal = await _serve(_three(), kind=ONCE)
    assert (responder.status, responder.body, responder.ended) == (200, b"answer", True)
    assert refusal is None


@pytest.mark.asyncio
async def test_request_goes_elsewhere_when_it_was_not_sent() -> None:
    bench = _three()
    bench.caller.set("x", NOT_SENT)
    bench.caller.set("y", NOT_SENT)
    responder, _ = await _serve(bench, kind=ONCE)
    assert responder.status == 200


@pytest.mark.asyncio
async def test_request_goes_elsewhere_when_it_was_refused_before_execution() -> None:
    bench = _three()
    for name in ("x", "y"):
        bench.caller.set(name, FakeResponse(status=503, not_executed=True))
    responder, _ = await _serve(bench, kind=ONCE)
    assert responder.status == 200


@pytest.mark.asyncio
async def test_non_idempotent_request_is_not_repeated_when_its_answer_is_lost() -> None:
    bench = _three()
    _all(bench, LOST)
    responder, refusal = await _serve(bench, kind=ONCE)
    assert len(bench.caller.requests) == 1
    assert refusal is RefusalKind.UPSTREAM_FAILED
    assert responder.status is None


@pytest.mark.asyncio
async def test_non_idempotent_request_is_not_repeated_when_its_answer_breaks_off() -> None:
    bench = _three()
    _all(bench, FakeResponse(chunks=[b"ans", None]))
    responder, refusal = await _serve(bench, kind=ONCE)
    assert len(bench.caller.requests) == 1
    assert refusal is RefusalKind.UPSTREAM_FAILED
    assert responder.status is None


@pytest.mark.asyncio
async def test_non_idempotent_request_is_not_repeated_when_the_upstream_fails() -> None:
    bench = _three()
    _all(bench, FakeResponse(status=500, chunks=[b"failed"]))
    responder, _ = await _serve(bench, kind=ONCE)
    assert len(bench.caller.requests) == 1
    assert (responder.status, responder.body) == (500, b"failed")


@pytest.mark.asyncio
async def test_refusal_says_not_run_only_when_no_upstream_may_have_run_it() -> None:
    bench = _three()
    _all(bench, FakeResponse(status=503, not_executed=True))
    _, refusal = await _serve(bench, kind=ONCE)
    assert refusal is RefusalKind.OVERLOADED
    assert len(bench.caller.requests) == 3


@pytest.mark.asyncio
async def test_refusal_says_not_run_when_there_is_no_upstream() -> None:
    _, refusal = await _serve(make_bench(), kind=ONCE)
    assert refusal is RefusalKind.OVERLOADED


@pytest.mark.asyncio
async def test_idempotent_request_is_repeated_when_its_answer_is_lost() -> None:
    bench = make_bench(make_entry("x"), make_entry("y"))
    bench.caller.set("x", LOST)
    bench.caller.set("y", FakeResponse(chunks=[b"late"]))
    bench.parts.work.plain_counts["y"] = 5  # type: ignore[index]
    responder, _ = await _serve(bench, kind=REPEATABLE, attempts=2)
    assert bench.caller.asked == ["x", "y"]
    assert responder.body == b"late"


@pytest.mark.asyncio
async def test_idempotent_request_runs_on_no_more_upstreams_than_its_route_allows() -> None:
    bench = make_bench(*(make_entry(name) for name in "vwxyz"))
    _all(bench, LOST)
    _, refusal = await _serve(bench, kind=REPEATABLE, attempts=2)
    assert len(bench.caller.requests) == 2
    assert refusal is RefusalKind.UPSTREAM_FAILED


@pytest.mark.asyncio
async def test_caller_gets_the_upstreams_own_error_when_no_repeat_does_better() -> None:
    bench = make_bench(make_entry("x"), make_entry("y"))
    bench.caller.set("x", FakeResponse(status=500, chunks=[b"mine"]))
    bench.caller.set("y", LOST)
    bench.parts.work.plain_counts["y"] = 5  # type: ignore[index]
    responder, refusal = await _serve(bench, kind=REPEATABLE, attempts=2)
    assert (responder.status, responder.body) == (500, b"mine")
    assert refusal is None


@pytest.mark.asyncio
async def test_request_is_not_repeated_when_the_budget_is_spent() -> None:
    bench = make_bench(make_entry("x"), make_entry("y"), slack=0.0)
    _all(bench, LOST)
    await _serve(bench, kind=REPEATABLE, attempts=2)
    assert len(bench.caller.requests) == 1


@pytest.mark.asyncio
async def test_attempts_that_reached_nobody_take_no_repeat_from_the_budget() -> None:
    names = ("a", "b", "c", "d", "e", "f")
    bench = make_bench(*(make_entry(name) for name in names), slack=0.0)
    for name in names[:-1]:
        bench.caller.set(name, NOT_SENT)
        bench.parts.work.plain_counts[UpstreamId(name)] = 0
    bench.parts.work.plain_counts[UpstreamId("f")] = 1
    responder, _ = await _serve(bench, kind=ONCE)
    assert responder.status == 200


@pytest.mark.asyncio
@pytest.mark.parametrize("is_address_reassigned", [False, True])
async def test_upstream_that_refuses_has_not_crashed_unless_another_one_answered(
    is_address_reassigned: bool,
) -> None:
    bench = make_bench(make_entry("x"))
    suspects = bench.parts.suspects
    suspects.note_broken(fingerprint=Fingerprint("r"), upstream=UpstreamId("x"))
    refusal = FakeResponse(
        status=503, not_executed=True, is_address_reassigned=is_address_reassigned
    )
    bench.caller.set("x", refusal)
    await _serve(bench, kind=ONCE)
    assert suspects.known == (1 if is_address_reassigned else 0)


@pytest.mark.asyncio
async def test_upstream_is_closed_when_another_one_has_its_address() -> None:
    bench = make_bench(make_entry("x"), make_entry("y"))
    bench.caller.set("x", FakeResponse(status=421, not_executed=True, is_address_reassigned=True))
    bench.parts.work.plain_counts["y"] = 5  # type: ignore[index]
    responder, _ = await _serve(bench, kind=ONCE)
    assert responder.status == 200
    assert bench.upstreams.gone == ["x"]


@pytest.mark.asyncio
async def test_work_goes_where_least_is_under_way() -> None:
    bench = make_bench(make_entry("x"), make_entry("y"))
    bench.parts.work.plain_counts["x"] = 2  # type: ignore[index]
    await _serve(bench, kind=ONCE)
    assert bench.caller.asked == ["y"]


@pytest.mark.asyncio
async def test_time_left_shrinks_with_each_attempt() -> None:
    bench = make_bench(make_entry("x"))
    await _serve(bench, kind=ONCE)
    (order,) = bench.caller.requests
    assert order.time_left_ms is not None
    assert 0 < order.time_left_ms <= 2000


def test_second_upstream_is_asked_beside_the_first_when_that_says_nothing() -> None:
    async def play() -> tuple[list[str], int | None, int]:
        bench = _three()
        bench.caller.hang = {"x", "y"}
        for name in ("x", "y"):
            bench.caller.set(name, FakeResponse(chunks=[b"never"]))
        # Two of three hang; the third gets the request as the first or the second.
        bench.upstreams.entries = [make_entry("x"), make_entry("z")]
        responder, _ = await _serve(bench, kind=REPEATABLE, attempts=2)
        return bench.caller.asked, responder.status, bench.parts.clock.now()

    asked, status, took_ms = run_virtually(play())
    assert status == 200
    assert asked in (["z"], ["x", "z"])
    assert took_ms in (0, int(1500 * HEDGE_DELAY_RATIO))


def test_non_idempotent_request_is_never_asked_of_two_at_once() -> None:
    async def play() -> list[str]:
        bench = _three()
        bench.caller.hang = {"x", "y", "z"}
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(10):
                await _serve(bench, kind=ONCE, attempts=3)
        return bench.caller.asked

    assert len(run_virtually(play())) == 1


def test_no_second_upstream_is_asked_when_the_budget_is_spent() -> None:
    async def play() -> list[str]:
        bench = make_bench(make_entry("x"), make_entry("y"), slack=0.0)
        bench.caller.hang = {"x", "y"}
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(10):
                await _serve(bench, kind=REPEATABLE, attempts=3)
        return bench.caller.asked

    assert len(run_virtually(play())) == 1


def test_upstream_that_never_answers_in_time_gets_no_more_requests() -> None:
    async def play() -> list[str]:
        bench = _three()
        bench.caller.hang = {"x"}
        for _ in range(30):
            with suppress(TimeoutError):
                async with asyncio.timeout(1.6):
                    await _serve(bench, kind=ONCE)
        return bench.caller.asked

    assert 3 <= run_virtually(play()).count("x") <= 6
