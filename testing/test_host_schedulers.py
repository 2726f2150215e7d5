"""Schedulers of one host apply changed declarations and share their length estimates."""

from __future__ import annotations

import random

from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import UpstreamId
from tanagerscale.daemon import HostSchedulers
from tanagerscale.generated.declarations import Objective
from tanagerscale.policy import AccountSpec
from tanagerscale.policy import EngineSpec
from tanagerscale.policy import ForecastScheduler
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import make_scheduler

HEAVY = ClientAccountId("heavy")
LIGHT = ClientAccountId("light")
ENGINE = EngineSpec(engine=UpstreamId("e"), memory_tokens=60_000, max_batch=1)


def _request(name: str, account: ClientAccountId = HEAVY) -> PlacementRequest:
    return PlacementRequest(
        generation=GenerationId(name),
        model=ModelId("plan"),
        account=account,
        prompt_tokens=100,
        max_tokens=8000,
        arrived=Millis(0),
    )


def test_new_owner_has_estimates_from_answers_that_other_hosts_placed() -> None:
    schedulers = HostSchedulers(rng=random.Random(1))
    earlier = schedulers.make()
    for number in range(50):
        schedulers.record_answer_length(_request(f"g{number}"), 20)
    owner = schedulers.make()
    assert isinstance(owner, ForecastScheduler)
    assert isinstance(earlier, ForecastScheduler)
    for scheduler in (owner, earlier):
        scheduler.submit(request=_request("next"), now=Millis(0))
        assert scheduler.expected_tokens < 100


def _service_order(scheduler: ForecastScheduler) -> list[ClientAccountId]:
    """Return the order in which two accounts with a constant backlog are served."""
    scheduler.set_engines(engines=[ENGINE], now=Millis(0))
    names = {GenerationId("early"): HEAVY, GenerationId("early-light"): LIGHT}
    for number in range(40):
        for account in (HEAVY, LIGHT):
            request = _request(f"{account}-{number}", account)
            names[request.generation] = account
            scheduler.submit(request=request, now=Millis(0))
    order = []
    for step in range(20):
        now = Millis(step * 1000)
        (decision,) = scheduler.decide(now=now)
        order.append(names[decision.generation])
        scheduler.on_finished(generation=decision.generation, tokens=2000, complete=True, now=now)
    return order


def test_waiting_accounts_are_served_by_new_weights_when_declarations_change() -> None:
    specs = {HEAVY: AccountSpec(weight=1.0), LIGHT: AccountSpec(weight=1.0)}
    scheduler = make_scheduler(objective=Objective(), accounts=specs, rng=random.Random(1))
    scheduler.submit(request=_request("early", HEAVY), now=Millis(0))
    scheduler.submit(request=_request("early-light", LIGHT), now=Millis(0))
    specs = {HEAVY: AccountSpec(weight=4.0), LIGHT: AccountSpec(weight=1.0)}
    scheduler.reconfigure(objective=Objective(), accounts=specs)
    order = _service_order(scheduler)
    assert order.count(HEAVY) >= 2 * order.count(LIGHT)
