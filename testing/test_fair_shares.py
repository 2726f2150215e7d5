"""Order of waiting generations when accounts compete for too little capacity.

Load: three accounts send 70, 20 and 10 of 100 generations at 1.5 and 3 times the capacity; capacity
for one long run with 50 waiting and a burst of short urgent ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from msgspec.structs import replace
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
import pytest

from tanagerscale.coordination._account_usage import COUNTED_TTL_MS
from tanagerscale.coordination._account_usage import AccountUsage
from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.gateway._share_metrics import ShareCollector
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import RunUse
from tanagerscale.policy import RecentUsage
from tanagerscale.policy import WaitingGeneration
from tanagerscale.policy import lift_returning_accounts
from tanagerscale.policy import order_fairly
from tanagerscale.policy._recent_usage import MAX_CHARGE_TOKENS
from tanagerscale.policy._recent_usage import USAGE_HALF_LIFE_MS
from testing._gateway_fakes import SERVICE
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._virtual_time import run_virtually
from testing._waiting_accounts import CAPACITY_PER_S
from testing._waiting_accounts import TARGET_MS
from testing._waiting_accounts import Load

MIX = {"a": 0.7, "b": 0.2, "c": 0.1}
SECONDS = 9
A, B, C = ClientAccountId("a"), ClientAccountId("b"), ClientAccountId("c")


def _rates(factor: float) -> dict[str, float]:
    return {name: CAPACITY_PER_S * factor * part for name, part in MIX.items()}


def _run_load(rates: Mapping[str, float], **priorities: int) -> Load:
    async def scenario() -> Load:
        load = Load()
        await load.send(rates, seconds=SECONDS, priorities=priorities)
        return load

    return run_virtually(scenario())


def _fair_share(rates: Mapping[str, float], account: str) -> float:
    """Return the equal share of an account in generations a second, or what it asks for."""
    left, shares = float(CAPACITY_PER_S), {}
    by_rate = sorted(rates, key=lambda name: rates[name])
    for number, name in enumerate(by_rate):
        shares[name] = min(rates[name], left / (len(by_rate) - number))
        left -= shares[name]
    return shares[account]


def _windows(load: Load, account: str) -> list[float]:
    """Return the grants a second of an account over all windows of 5 s after the first second."""
    windows = load.count_windows(start_ms=1000, end_ms=SECONDS * 1000)
    return [window[account] / 5 for window in windows]


# Fails if a large account displaces small ones, as the order of arrival lets it.
@pytest.mark.parametrize("factor", [1.5, 3.0])
def test_accounts_get_equal_shares_when_their_priorities_are_equal(factor: float) -> None:
    rates = _rates(factor)
    load = _run_load(rates)
    for account in MIX:
        share = _fair_share(rates, account)
        assert all(abs(got - share) <= 0.1 * share for got in _windows(load, account))


# Fails if the larger of two accounts of one priority gets more because its generations wait longer.
@pytest.mark.parametrize("other", [0, 2])
def test_accounts_of_one_priority_get_equal_shares_when_another_priority_waits(other: int) -> None:
    load = _run_load(_rates(3.0), a=1, b=1, c=other)
    for got_a, got_b in zip(_windows(load, "a"), _windows(load, "b"), strict=True):
        assert abs(got_a - got_b) <= 0.1 * (got_a + got_b) / 2


# Fails if lower priorities delay the highest one while it asks for less than the capacity.
@pytest.mark.parametrize(("highest", "next_one"), [("c", "b"), ("b", "c")])
def test_highest_priority_is_served_as_if_alone_when_it_asks_for_little(
    highest: str, next_one: str
) -> None:
    load = _run_load(_rates(3.0), **{highest: 0, next_one: 1, "a": 2})
    assert not load.refused[highest]
    waits = sorted(one.after_ms for one in load.grants if one.account == highest)
    assert waits[len(waits) // 2] < 100
    assert waits[-1] < TARGET_MS / 2


# Fails if accounts of low priority starve while one of high priority asks for all capacity, or if
# they get more than 30% of it together.
@pytest.mark.parametrize("factor", [1.5, 3.0])
def test_low_priorities_get_their_minimum_when_the_highest_asks_for_everything(
    factor: float,
) -> None:
    load = _run_load(_rates(factor), a=0, b=1, c=2)
    mean = CAPACITY_PER_S / len(MIX)
    for account in ("b", "c"):
        assert all(mean / 4 <= got for got in _windows(load, account))
    assert all(got >= CAPACITY_PER_S * 0.7 for got in _windows(load, "a"))


def _fill_and_burst(*, long_priority: int, short_priority: int) -> Load:
    """Let 50 long generations wait for capacity for one, and send a burst of short ones.

    Accounts below their minimum go first in any case.
    """

    async def scenario() -> Load:
        load = Load(run_ms=50)
        load.ask("first", is_long=True, prompt_tokens=20_000)
        for number in range(50):
            account = f"long{number % 5}"
            load.ask(account, is_long=True, prompt_tokens=20_000, priority=long_priority)
        for number in range(20):
            account = f"short{number % 5}"
            load.ask(account, prompt_tokens=20_000, priority=short_priority)
        await asyncio.sleep(4)
        return load

    return run_virtually(scenario())


# Fails if a burst of urgent generations waits for long ones of low priority.
def test_urgent_short_ones_go_first_when_50_long_ones_wait_for_one_place() -> None:
    load = _fill_and_burst(long_priority=2, short_priority=0)
    order = [one.is_long for one in load.grants[1:21]]
    assert sum(order) <= 5  # A quarter of the mean for each account is a quarter of 20 at most.


# Fails if short generations go first although long ones are more urgent.
def test_urgent_long_ones_go_first_when_short_ones_have_low_priority() -> None:
    load = _fill_and_burst(long_priority=0, short_priority=2)
    order = [one.is_long for one in load.grants[1:21]]
    assert len(order) - sum(order) <= 5


# Fails if the order within one evaluation ignores what has just been granted.
def test_accounts_take_turns_when_one_evaluation_grants_several() -> None:
    async def scenario() -> Load:
        load = Load(run_ms=60_000)
        load.ask("filler", prompt_tokens=29_000)
        for account in "aaaaaaaaabbbbb":
            load.ask(account, prompt_tokens=5000)
        await asyncio.sleep(0.01)
        load.end_run("h0", "filler-1")
        return load

    granted = [one.account for one in run_virtually(scenario()).grants[1:]]
    assert granted == list("ababab")


# Fails if long generations delay interactive ones when no account needs protection from a higher
# priority: with many accounts, one has often used nothing.
def test_short_ones_go_first_when_priorities_are_equal_and_an_account_has_used_nothing() -> None:
    usage = RecentUsage()
    waiting = [_waiting(account=C, is_long=True)]
    for number in range(23):
        account = ClientAccountId(f"account{number}")
        usage.charge(account, prompt=50_000 + number)
        waiting.append(_waiting(account=account, arrived_at=Millis(number)))
    ordered = list(order_fairly([(one, one) for one in waiting], usage))
    assert [one.is_long for one in ordered] == [False] * 23 + [True]


# Fails if the order changes in deployments that have no accounts or priorities.
def test_order_is_by_lateness_length_and_arrival_when_one_account_waits() -> None:
    waiting = [
        _waiting(is_late=number % 3 == 0, is_long=number % 2 == 0, arrived_at=-7 * number % 11)
        for number in range(40)
    ]
    usage = RecentUsage()
    usage.charge(A, prompt=5000)
    usage.charge(B, prompt=9000)
    ordered = list(order_fairly([(one, one) for one in waiting], usage))
    assert ordered == sorted(waiting, key=lambda one: (one.is_late, one.is_long, one.arrived_at))


# Fails if a generation of low priority waits behind all later ones of high priority.
@pytest.mark.parametrize("key", ["priority", "route_priority"])
def test_generation_is_raised_when_it_has_waited_for_half_its_target(key: str) -> None:
    for waited_ms, is_first in ((749, False), (750, True)):
        old = _waiting(waited_ms=waited_ms, **{key: 1})
        new = _waiting(arrived_at=waited_ms, **{key: 0})
        ordered = list(order_fairly([(old, old), (new, new)], RecentUsage()))
        assert (ordered[0] is old) is is_first


# Fails if ageing prefers the account with the longer queue to one of the same priority that has
# used less, as soon as any other priority waits.
@pytest.mark.parametrize("key", ["priority", "route_priority"])
@pytest.mark.parametrize("other", [0, 2])
def test_account_with_lower_usage_goes_first_when_one_of_its_priority_has_aged(
    key: str, other: int
) -> None:
    usage = RecentUsage()
    for account, used in ((A, 6000), (B, 5000), (C, 5500)):
        usage.charge(account, prompt=used)
    old = _waiting(account=A, waited_ms=1400, **{key: 1})
    new = _waiting(account=B, arrived_at=1400, **{key: 1})
    third = _waiting(account=C, **{key: other})
    ordered = list(order_fairly([(one, one) for one in (old, new, third)], usage))
    assert ordered.index(new) < ordered.index(old)


# Fails if late generations raise those in time of the same priority above higher priorities.
def test_late_generation_does_not_raise_others_of_its_priority() -> None:
    late = _waiting(waited_ms=6000, is_late=True, priority=1)
    low, high = _waiting(priority=1), _waiting(priority=0)
    ordered = list(order_fairly([(one, one) for one in (late, low, high)], RecentUsage()))
    assert ordered == [high, low, late]


# Fails if an account saves up capacity while it asks for nothing.
def test_idle_account_has_no_credit_when_it_begins_to_wait() -> None:
    usage = RecentUsage()
    usage.charge(A, prompt=50_000)
    usage.charge(B, prompt=60_000)
    waiting = [
        _waiting(account=A, has_waited=True),
        _waiting(account=B, has_waited=True),
        _waiting(account=C),
    ]
    lift_returning_accounts(waiting, usage)
    assert usage.get(C) == 49_000
    assert usage.get(A) == 50_000


# Fails if a prompt length that is no valid one raises an error or the usage of its account.
@pytest.mark.parametrize(("prompt_tokens", "expected"), [(-(10**400), 50_000), (10**400, 0)])
def test_returning_account_is_lifted_within_bounds_when_its_prompt_length_is_invalid(
    prompt_tokens: int, expected: int
) -> None:
    usage = RecentUsage()
    usage.charge(A, prompt=50_000)
    waiting = [_waiting(account=A, has_waited=True)]
    waiting.append(_waiting(account=C, prompt_tokens=prompt_tokens))
    lift_returning_accounts(waiting, usage)
    assert usage.get(C) == expected


# Fails if invalid values of one caller affect the order of others.
def test_order_holds_when_values_are_invalid() -> None:
    usage = RecentUsage()
    usage.charge(A, prompt=10**400, output=-5)
    usage.charge(B, prompt=-(10**400))
    assert usage.get(A) == MAX_CHARGE_TOKENS
    assert usage.get(B) == 0
    waiting = [
        _waiting(account=B, priority=10**400),
        _waiting(account=C, priority=-5, target_ms=-1, waited_ms=-9),
        _waiting(account=C, priority=3),
    ]
    ordered = list(order_fairly([(one, one.priority) for one in waiting], usage))
    assert ordered == [-5, 3, 10**400]


def _waiting(**changes: object) -> WaitingGeneration:
    fields: dict[str, object] = {
        "account": A,
        "service": ServiceId("engines"),
        "priority": 0,
        "route_priority": 0,
        "prompt_tokens": 1000,
        "is_late": False,
        "is_long": False,
        "arrived_at": Millis(0),
        "waited_ms": 0,
        "target_ms": TARGET_MS,
        "has_waited": False,
    }
    return WaitingGeneration(**{**fields, **changes})  # type: ignore[arg-type]


def _use(request: str, account: str = "a", *, prompt: int = 1000, made: int = 0) -> RunUse:
    return RunUse(request=request, upstream="e", account=account, prompt_tokens=prompt, made=made)


# Fails if tokens are counted again with each report, or after a grant, a move or a reconnection.
def test_each_token_is_counted_once_when_a_run_is_reported_often() -> None:
    async def scenario() -> None:
        usage = AccountUsage(clock=Clock())
        first, second = HostId("h0"), HostId("h1")
        usage.grant(_use("1"))
        assert usage.get(A) == 1000
        usage.report(host=first, runs=[_use("1")])
        usage.report(host=first, runs=[_use("1", made=40)])
        usage.report(host=first, runs=[_use("1", made=20)])
        assert usage.get(A) == 1080
        usage.report(host=first, runs=[])
        usage.report(host=first, runs=[_use("1", prompt=0, made=50)])
        usage.forget(host=first)
        usage.report(host=second, runs=[_use("1", made=50), _use("2", "b", made=10)])
        usage.grant(_use("1"))
        assert usage.get(A) == 1100
        assert usage.get(B) == 1020

    run_virtually(scenario())


# Fails if a coordinator that starts charges the whole history of runs at once.
def test_only_growth_is_charged_when_runs_are_first_seen_after_they_began() -> None:
    async def scenario() -> None:
        usage = AccountUsage(clock=Clock())
        old = replace(_use("1", prompt=3000, made=1700), begun_ms=20_000)
        recent = replace(_use("2", "b", made=100), begun_ms=1499)
        border = replace(_use("3", "c", made=100), begun_ms=1500)
        usage.report(host=HostId("h0"), runs=[old, recent, border])
        assert [usage.get(account) for account in (A, B, C)] == [0, 1000, 0]
        grown = [replace(old, made=1710), replace(recent, made=105), border]
        usage.report(host=HostId("h0"), runs=grown)
        assert [usage.get(account) for account in (A, B, C)] == [20, 1010, 0]

    run_virtually(scenario())


# Fails if log lines change the usage, and with it the order, during an evaluation.
def test_usage_is_constant_between_reports_when_it_is_read() -> None:
    async def scenario() -> None:
        usage = AccountUsage(clock=Clock())
        usage.report(host=HostId("h0"), runs=[_use("1")])
        await asyncio.sleep(USAGE_HALF_LIFE_MS / 1000)
        assert usage.largest() == [(A, 500)]
        assert usage.get(A) == 1000
        usage.report(host=HostId("h0"), runs=[_use("1")])
        assert usage.get(A) == 500

    run_virtually(scenario())


# Fails if accounts or runs are remembered forever.
def test_idle_accounts_and_ended_runs_are_forgotten() -> None:
    async def scenario() -> None:
        usage = AccountUsage(clock=Clock())
        for number in range(100):
            usage.grant(_use(f"{number}", f"account{number}"))
        usage.report(host=HostId("h0"), runs=[_use("x")])
        assert len(usage.largest()) == 10
        await asyncio.sleep(COUNTED_TTL_MS / 1000 + 60)
        usage.report(host=HostId("h0"), runs=[])
        assert usage.largest() == []
        assert len(usage._absent) == 1

    run_virtually(scenario())


# Fails if the usage of a host that has crashed counts forever, or its generations get capacity.
def test_waiting_generations_are_dropped_and_usage_decays_when_a_host_dies() -> None:
    async def scenario() -> None:
        coordinator = make_gateway_fakes(make_entry("engine")).single_host.coordinator
        dies, lives = HostId("dies"), HostId("h0")
        for serial, host, account in ((1, dies, "a"), (2, dies, "a"), (3, lives, "b")):
            ask = PlaceAsk(
                serial=serial,
                request=f"{serial}",
                service=SERVICE,
                prompt_tokens=20_000,
                is_long=False,
                left_ms=TARGET_MS,
                patience_ms=0,
                account=account,
            )
            coordinator.on_message(host, ask)
        run = RunUse(
            request="1", upstream="engine", prompt_tokens=20_000, tokens=20_000, account="a"
        )
        coordinator.on_message(dies, HostRuns(number=1, decider="test", runs=[run]))
        used = coordinator.usage.get(A)
        assert (used, coordinator.usage.get(B), coordinator.queue.waiting) == (20_000, 0, 2)
        coordinator.on_gone(dies)
        assert (coordinator.usage.get(B), coordinator.queue.waiting) == (20_000, 0)
        assert coordinator.usage.granted_tokens == {0: 40_000}
        assert dies not in coordinator.usage._reported
        await asyncio.sleep(USAGE_HALF_LIFE_MS / 1000)
        coordinator.on_message(lives, HostRuns(number=1, decider="test", runs=[]))
        assert coordinator.usage.get(A) == pytest.approx(used / 2, rel=0.01)

    run_virtually(scenario())


# Fails if a new decider grants in another order than the one before it, or without fairness.
def test_new_decider_has_the_order_within_a_second_when_hosts_ask_it_again() -> None:
    async def scenario() -> Load:
        load = Load()
        await load.send(_rates(1.5), seconds=3)
        load.add_decider()
        old = load.deciders[0]
        load.decider_of[HostId("h0")] = 1
        old.queue.forget(host=HostId("h0"))
        load.ask_again()
        await load.send(_rates(1.5), seconds=6)
        return load

    load = run_virtually(scenario())
    rates = _rates(1.5)
    for window in load.count_windows(start_ms=3000, end_ms=9000):
        for account in MIX:
            share = _fair_share(rates, account)
            assert abs(window[account] / 5 - share) <= 0.1 * share


# Fails if accounts get other shares when two hosts decide, each for its own part of the hosts.
def test_shares_are_equal_when_two_deciders_order_the_asks_of_their_hosts() -> None:
    async def scenario() -> Load:
        load = Load(decider_of={HostId("h1"): 1})
        load.add_decider()
        await load.send(_rates(1.5), seconds=SECONDS, hosts=("h0", "h1"))
        return load

    load = run_virtually(scenario())
    for account in MIX:
        share = _fair_share(_rates(1.5), account)
        assert all(abs(got - share) <= 0.1 * share for got in _windows(load, account))


# Fails if the metrics of priorities have a series for each invalid value.
def test_waiting_and_granted_tokens_are_counted_by_priority() -> None:
    async def scenario() -> None:
        load = Load(run_ms=60_000)
        for priority in (-4, 3, 10**6, 10**7):
            load.ask("a", prompt_tokens=20_000, priority=priority)
        decider = load.deciders[0]
        assert decider.usage.granted_tokens == {0: 20_000}
        assert decider.queue.waiting_by_priority() == {3: 1, 9: 2}

    run_virtually(scenario())


# Fails if fetching the metrics of a host fails, or accounts are exported without a bound.
def test_shares_are_exported_when_metrics_are_fetched() -> None:
    async def scenario() -> None:
        coordinator = make_gateway_fakes(make_entry("engine")).single_host.coordinator
        registry = CollectorRegistry()
        registry.register(ShareCollector(coordinator=coordinator))
        for number in range(12):
            coordinator.usage.grant(_use(f"{number}", f"account{number}", prompt=1000 + number))
        text = generate_latest(registry).decode()
        assert 'tanagerscale_granted_tokens_total{priority="0"} 12066.0' in text
        assert 'tanagerscale_account_usage_tokens{account="account11"} 1011.0' in text
        assert text.count("tanagerscale_account_usage_tokens{") == 10

    run_virtually(scenario())
