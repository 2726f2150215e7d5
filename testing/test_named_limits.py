"""What a host knows of the rate limits that upstreams name in their responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.upstreams import NamedLimits
from testing._virtual_time import run_virtually

UPSTREAM = UpstreamId("x")


def _respond(
    limits: NamedLimits, *named: float | None, is_success: bool = True, sent_ms_ago: int = 0
) -> None:
    sent_at = Millis(Clock().now() - sent_ms_ago)
    limits.on_response(upstream=UPSTREAM, named=named, is_success=is_success, sent_at=sent_at)


def _run(scenario: Callable[[NamedLimits], Coroutine[Any, Any, Any]]) -> Any:
    async def run() -> Any:
        await asyncio.sleep(100)
        return await scenario(NamedLimits(clock=Clock()))

    return run_virtually(run())


@pytest.mark.parametrize(
    ("named", "rate_per_s"),
    [
        ([2.7], 2.7),
        ([3.0, 2.0], 2.0),
        ([None, 2.0], 2.0),
        ([0.0], None),
        ([None], None),
        ([1e300], None),
        ([], None),
    ],
)
def test_lowest_positive_rate_counts(named: list[float | None], rate_per_s: float | None) -> None:
    async def scenario(limits: NamedLimits) -> float | None:
        _respond(limits, *named)
        return limits.rate_per_s(UPSTREAM)

    assert _run(scenario) == rate_per_s


def test_limit_ends_when_a_response_names_none() -> None:
    async def scenario(limits: NamedLimits) -> list[float | None]:
        _respond(limits, 2.0)
        await asyncio.sleep(1)
        _respond(limits)
        return [limits.rate_per_s(UPSTREAM), len(limits.limited), limits.known_ms(UPSTREAM)]

    assert _run(scenario) == [None, 0, 0]


@pytest.mark.parametrize("named", [[], [None], [0.0]])
def test_limit_stays_when_a_failed_or_unreadable_response_follows(
    named: list[float | None],
) -> None:
    async def scenario(limits: NamedLimits) -> float | None:
        _respond(limits, 2.0)
        await asyncio.sleep(1)
        _respond(limits, *named, is_success=bool(named))
        return limits.rate_per_s(UPSTREAM)

    assert _run(scenario) == 2.0
