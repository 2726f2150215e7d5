"""Placement by owners of cells, in virtual time."""

from __future__ import annotations

import pytest
from returns.pipeline import is_successful

from tanagerscale.core import GenerationId
from testing.routing_fakes import Switch
from testing.routing_fakes import make_engines
from testing.routing_fakes import make_host
from testing.routing_fakes import make_request

pytestmark = pytest.mark.looptime


async def test_place_succeeds_when_host_is_alone() -> None:
    switch = Switch()
    host = make_host("a", switch=switch, engines=make_engines(number=2))
    placed = await host.router.place(request=make_request("g1"))
    assert is_successful(placed)
    host.router.release(generation=GenerationId("g1"), tokens=5, complete=True, engine_lost=False)
    assert host.router.reservations == 0
