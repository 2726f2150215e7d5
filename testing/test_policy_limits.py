"""Retry budget and limits of accounts over all hosts."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tanagerscale.core import ClientAccountId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.policy import AccountLimits
from tanagerscale.policy import AccountSpec
from tanagerscale.policy import Limit
from tanagerscale.policy import RetryBudget
from testing._random_cases import random_case_settings

ACCOUNT = ClientAccountId("account")
HOSTS = tuple(HostId(f"host-{number}") for number in range(9))
HEARTBEAT_MS = 500
STEP_MS = 10


@random_case_settings(examples=100)
@given(st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_a_tenth_of_requests_when_any_fail(attempts: list[bool]) -> None:
    budget = RetryBudget()
    requests = retries = 0
    for is_retry in attempts:
        if is_retry:
            retries += budget.try_spend()
        else:
            requests += 1
            budget.on_request()
        assert retries <= 10 + requests / 10


def test_retry_budget_grants_a_tenth_of_requests_when_all_fail() -> None:
    budget = RetryBudget()
    granted = 0
    for _ in range(1_000):
        budget.on_request()
        granted += budget.try_spend()
    assert granted == pytest.approx(110, abs=2)


def make_hosts(spec: AccountSpec) -> dict[HostId, AccountLimits]:
    hosts = {host: AccountLimits(accounts={ACCOUNT: spec}) for host in HOSTS}
    for host, limits in hosts.items():
        limits.set_peers(peers=frozenset(HOSTS) - {host})
    return hosts


def exchange_heartbeats(
    hosts: dict[HostId, AccountLimits], now: Millis, is_reachable: Callable[[HostId, HostId], bool]
) -> None:
    announced = {host: limits.usage(now=now) for host, limits in hosts.items()}
    for host, usage in announced.items():
        for peer, limits in hosts.items():
            if peer != host and is_reachable(host, peer):
                limits.on_peer(host=host, usage=usage, now=now)


def offer_load(
    spec: AccountSpec,
    *,
    entries: Sequence[HostId],
    is_reachable: Callable[[HostId, HostId], bool] = lambda _one, _other: True,
    seconds: int = 40,
    per_second: int = 100,
    duration_ms: int = 0,
    tokens: int = 0,
) -> tuple[int, int, int]:
    """Offer load and return the requests started, the maximum concurrency and the tokens."""
    hosts = make_hosts(spec)
    started = max_running = used = next_entry = 0
    ends: list[tuple[int, HostId]] = []
    for time in range(0, seconds * 1_000, STEP_MS):
        now = Millis(time)
        if time % HEARTBEAT_MS == 0:
            exchange_heartbeats(hosts, now, is_reachable)
        for _ in range(per_second * STEP_MS // 1_000):
            host = entries[next_entry % len(entries)]
            next_entry += 1
            if hosts[host].try_start(account=ACCOUNT, tokens=0, now=now) is None:
                started += 1
                ends.append((time + duration_ms, host))
        max_running = max(max_running, len(ends))
        for end, host in [item for item in ends if item[0] <= time]:
            ends.remove((end, host))
            hosts[host].on_finished(account=ACCOUNT, tokens=tokens, now=now)
            used += tokens
    return started, max_running, used


def in_same_half(one: HostId, other: HostId) -> bool:
    return (one in HOSTS[:4]) == (other in HOSTS[:4])


@pytest.mark.parametrize("entries", [HOSTS, HOSTS[:1]], ids=["all", "one"])
def test_rate_is_near_the_limit_when_heartbeats_arrive(entries: Sequence[HostId]) -> None:
    started, _, _ = offer_load(AccountSpec(requests_per_second=20.0), entries=entries)
    assert 0.85 * 800 <= started <= 1.1 * 800


def test_rate_is_under_the_limit_when_hosts_are_partitioned() -> None:
    started, _, _ = offer_load(
        AccountSpec(requests_per_second=20.0), entries=HOSTS, is_reachable=in_same_half
    )
    assert started <= 1.1 * 800
    isolated, _, _ = offer_load(
        AccountSpec(requests_per_second=20.0),
        entries=HOSTS,
        is_reachable=lambda _one, _other: False,
    )
    assert 0 < isolated <= 1.1 * 800


@pytest.mark.parametrize("entries", [HOSTS, HOSTS[:1]], ids=["all", "one"])
def test_tokens_are_near_the_limit_when_heartbeats_arrive(
    entries: Sequence[HostId],
) -> None:
    spec = AccountSpec(tokens_per_minute=60_000)
    _, _, used = offer_load(spec, entries=entries, tokens=50, per_second=100)
    assert 0.7 * 40_000 <= used <= 1.35 * 40_000


def test_concurrency_limit_is_reached_when_one_host_has_all_the_load() -> None:
    spec = AccountSpec(concurrent_requests=18)
    _, max_running, _ = offer_load(spec, entries=HOSTS[:1], duration_ms=2_000, seconds=10)
    assert max_running == 18


def test_concurrency_limit_holds_when_all_hosts_start_requests_at_once() -> None:
    spec = AccountSpec(concurrent_requests=18)
    _, max_running, _ = offer_load(
        spec, entries=HOSTS, duration_ms=2_000, seconds=20, per_second=1_800
    )
    assert 16 <= max_running <= 20


def test_concurrency_limit_holds_when_no_heartbeats_arrive() -> None:
    spec = AccountSpec(concurrent_requests=18)
    _, max_running, _ = offer_load(
        spec,
        entries=HOSTS,
        duration_ms=2_000,
        seconds=10,
        is_reachable=lambda _one, _other: False,
    )
    assert 0 < max_running <= 18


def test_host_with_little_demand_may_start_requests_while_few_slots_are_used() -> None:
    spec = {ACCOUNT: AccountSpec(concurrent_requests=64)}
    first, second = (AccountLimits(accounts=spec) for _ in range(2))
    first.set_peers(peers=frozenset({HostId("second")}))
    second.set_peers(peers=frozenset({HostId("first")}))
    refused = 0
    for now in map(Millis, range(0, 12_000, 100)):
        if now % 1000 == 0:
            second.on_peer(host=HostId("first"), usage=first.usage(now=now), now=now)
        if now % 1000 == 500:
            first.on_peer(host=HostId("second"), usage=second.usage(now=now), now=now)
        active = [first] if now % 3000 else [first, second]
        for limits in active:
            refused += limits.try_start(account=ACCOUNT, tokens=0, now=now) is not None
            limits.on_finished(account=ACCOUNT, tokens=0, now=now)
    assert refused == 0


def test_refusal_names_the_limit_and_a_retry_time_that_succeeds() -> None:
    limits = AccountLimits(accounts={ACCOUNT: AccountSpec(requests_per_second=2.0)})
    now = Millis(0)
    assert limits.try_start(account=ACCOUNT, tokens=0, now=now) is None
    assert limits.try_start(account=ACCOUNT, tokens=0, now=now) is None
    refusal = limits.try_start(account=ACCOUNT, tokens=0, now=now)
    assert refusal is not None
    assert refusal.limit is Limit.RATE
    later = Millis(now + refusal.retry_after_ms)
    assert limits.try_start(account=ACCOUNT, tokens=0, now=later) is None
