"""Attempts are cancelled when their callers have left, and only then."""

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
COMEBACK_MS = 5000


def _cancelled_after(steps: Callable[[Canceller], Awaitable[None]]) -> bool:
    async def run() -> bool:
        clock = Clock()
        engine = FakeEngine(clock=clock)
        request = EngineRequest(attempt_id=ATTEMPT, model="m", prompt="p", max_tokens=5)
        async for _ in engine.generate(request=request):
            break
        canceller = Canceller(client_of=lambda _engine: engine, clock=clock)
        await steps(canceller)
        await clock.sleep(4 * COMEBACK_MS)
        return engine.runs[ATTEMPT].cancelled

    return run_virtually(run())


def test_attempt_is_cancelled_when_its_caller_stays_away() -> None:
    async def steps(canceller: Canceller) -> None:
        canceller.cancel(attempt=ATTEMPT, engine=ENGINE, after_ms=COMEBACK_MS)

    assert _cancelled_after(steps)


def test_attempt_goes_on_when_its_caller_comes_back_in_time() -> None:
    async def steps(canceller: Canceller) -> None:
        canceller.cancel(attempt=ATTEMPT, engine=ENGINE, after_ms=COMEBACK_MS)
        canceller.keep(attempt=ATTEMPT)

    assert not _cancelled_after(steps)


def test_attempt_goes_on_when_word_of_another_host_comes_before_the_leaving_is_seen() -> None:
    async def steps(canceller: Canceller) -> None:
        canceller.leave_to_peer(attempt=ATTEMPT)
        canceller.cancel(attempt=ATTEMPT, engine=ENGINE, after_ms=COMEBACK_MS)

    assert not _cancelled_after(steps)


def test_attempt_is_cancelled_when_its_caller_came_back_here_and_left_again() -> None:
    async def steps(canceller: Canceller) -> None:
        canceller.leave_to_peer(attempt=ATTEMPT)
        canceller.keep(attempt=ATTEMPT)
        canceller.cancel(attempt=ATTEMPT, engine=ENGINE, after_ms=COMEBACK_MS)

    assert _cancelled_after(steps)


def test_attempt_is_cancelled_at_once_when_dispatch_gives_it_up() -> None:
    async def steps(canceller: Canceller) -> None:
        canceller.leave_to_peer(attempt=ATTEMPT)
        canceller.cancel(attempt=ATTEMPT, engine=ENGINE)

    assert _cancelled_after(steps)
