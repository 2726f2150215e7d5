"""Identifiers and the clock."""

from __future__ import annotations

from tanagerscale.core import Clock
from tanagerscale.core import new_id


async def test_clock_advances_when_sleeping() -> None:
    clock = Clock()
    before = clock.now()
    await clock.sleep(5)
    assert clock.now() >= before + 4


def test_new_id_differs_when_called_twice() -> None:
    assert new_id(prefix="req") != new_id(prefix="req")
