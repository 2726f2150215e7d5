"""Cancellation of attempts whose callers have disconnected."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

from tanagerscale.core import AttemptId
from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.dispatch import Canceller
from tanagerscale.generated.upstream import EngineRequest
from testing._fake_engine import FakeEngine
from testing._virtual_time import run_virtually

ATTEMPT = AttemptId("att-1")
ENGINE = UpstreamId("engine-1")
RECONNECT_MS = 5000


def _is_cancelled_after(steps: Callable[[Canceller], Awaitable[None]]) -> bool:
    async def scenario() -> bool:
        clock = Clock()
        engine = FakeEngine(clock=clock)
        request = EngineRequest(attempt_id=ATTEMPT, model="m", prompt="p", max_tokens=5)
        async for _ in engine.generate(request=request):
            break
        canceller = Canceller(get_client=lambda _engine: engine, clock=clock)
        await steps(canceller)
        await clock.sleep(4 * RECONNECT_MS)
        return engine.runs[ATTEMPT].cancelled

    return run_virtually(scenario())


def test_attempt_is_cancelled_when_its_caller_does_not_reconnect() -> None:
    async def steps(canceller: Canceller) -> None:
        canceller.cancel(attempt=ATTEMPT, engine=ENGINE, after_ms=RECONNECT_MS)

    assert _is_cancelled_after(steps)


def test_attempt_continues_when_its_caller_reconnects_in_time() -> None:
    async def steps(canceller: Canceller) -> None:
        canceller.cancel(attempt=ATTEMPT, engine=ENGINE, after_ms=RECONNECT_MS)
        canceller.on_caller_returned(attempt=ATTEMPT)

    assert not _is_cancelled_after(steps)


def test_attempt_continues_when_its_caller_moved_before_its_disconnection_is_detected() -> None:
    async def steps(canceller: Canceller) -> None:
        canceller.on_caller_moved(attempt=ATTEMPT)
        canceller.cancel(attempt=ATTEMPT, engine=ENGINE, after_ms=RECONNECT_MS)

    assert not _is_cancelled_after(steps)


def test_attempt_is_cancelled_when_its_caller_reconnected_and_disconnected_again() -> None:
    async def steps(canceller: Canceller) -> None:
        canceller.on_caller_moved(attempt=ATTEMPT)
        canceller.on_caller_returned(attempt=ATTEMPT)
        canceller.cancel(attempt=ATTEMPT, engine=ENGINE, after_ms=RECONNECT_MS)

    assert _is_cancelled_after(steps)


def test_attempt_is_cancelled_at_once_when_dispatch_abandons_it() -> None:
    async def steps(canceller: Canceller) -> None:
        canceller.on_caller_moved(attempt=ATTEMPT)
        canceller.cancel(attempt=ATTEMPT, engine=ENGINE)

    assert _is_cancelled_after(steps)
