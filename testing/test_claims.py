"""A call that may not be repeated runs at most once, and its callers are told the truth."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from returns.result import Failure
from returns.result import Success

from tanagerscale.claims import ClaimOutcome
from tanagerscale.claims import Granted
from tanagerscale.claims import InProgress
from tanagerscale.claims import Recorded
from tanagerscale.claims._batcher import CommitBatcher
from tanagerscale.core import Clock
from tanagerscale.core import ProblemKind
from tanagerscale.generated.records import ClaimRecord
from tanagerscale.generated.records import ClaimState
from tanagerscale.store import ConditionalPut
from tanagerscale.store import StoreRevision
from testing._booking_hosts import NOT_EXECUTED
from testing._booking_hosts import TTL_S
from testing._booking_hosts import Platform
from testing._booking_hosts import Point
from testing._booking_hosts import Told
from testing._booking_hosts import key_of
from testing._booking_hosts import settle_tasks
from testing._fake_store import FakeBackend
from testing._faulty_store import FaultyStore
from testing._random_cases import cases
from testing._virtual_time import run_virtually

pytestmark = pytest.mark.looptime

OUTAGE_S = 300
LONGER_THAN_ANY_LEASE_S = 4 * TTL_S
NAME = "library"


@pytest.fixture
async def platform() -> Platform:
    return Platform()


async def test_booking_runs_once_when_sent_to_two_hosts_at_the_same_moment(
    platform: Platform,
) -> None:
    first, second = platform.start("a"), platform.start("b")
    told = await asyncio.gather(first.book(NAME), second.book(NAME))
    assert sorted(told, key=lambda one: one.value) == [Told.ANSWER, Told.UNKNOWN]
    await asyncio.sleep(1)
    assert [await first.book(NAME), await second.book(NAME)] == [Told.ANSWER, Told.ANSWER]
    assert platform.service.executions[NAME] == 1


async def test_repeat_joins_the_running_call_when_sent_to_the_same_host(
    platform: Platform,
) -> None:
    host = platform.start("a")
    platform.service.delay_ms = 20_000
    assert await asyncio.gather(*(host.book(NAME) for _ in range(3))) == [Told.ANSWER] * 3
    assert platform.service.executions[NAME] == 1
    assert host.store.fake.calls.writes == 1


@pytest.mark.parametrize("point", list(Point))
async def test_outcome_is_unknown_and_nothing_runs_again_when_the_claimer_died(
    platform: Platform, point: Point
) -> None:
    first, second = platform.start("a"), platform.start("b")
    first.dies_at = point
    lost = asyncio.create_task(first.book(NAME))
    await asyncio.sleep(1)
    before = platform.service.executions[NAME]
    assert await second.book(NAME) is Told.UNKNOWN
    restarted = platform.start("a", incarnation=2)
    assert await restarted.book(NAME) is Told.UNKNOWN
    await asyncio.sleep(TTL_S / 2)
    assert await second.book(NAME) is Told.UNKNOWN
    assert platform.service.executions[NAME] == before <= 1
    await settle_tasks(lost)


async def test_claim_is_granted_when_only_its_reply_was_lost(platform: Platform) -> None:
    host = platform.start("a")
    await host.book("warm-up")
    host.store.fake.lose_replies = 1
    assert await host.book(NAME) is Told.ANSWER
    assert platform.service.executions[NAME] == 1


@pytest.mark.parametrize("write_arrives", ["at once", "late", "never"])
async def test_claim_is_never_dispatched_when_reading_back_failed_too(
    platform: Platform, write_arrives: str
) -> None:
    first, second = platform.start("a"), platform.start("b")
    await first.book("warm-up")
    first.store.fake.lose_replies = 2 if write_arrives == "at once" else 0
    first.store.fake.lose_requests = 2 if write_arrives == "never" else 0
    first.store.late_writes = 2 if write_arrives == "late" else 0
    refusal = (await first.claim(NAME)).failure()
    assert refusal.kind is ProblemKind.STORE_UNAVAILABLE
    assert refusal.retry_after_ms is not None
    assert platform.service.executions[NAME] == 0
    # The claim becomes free, so that the caller's repeat runs, wherever it goes.
    await asyncio.sleep(5)
    assert await second.book(NAME) is Told.ANSWER
    await asyncio.sleep(40)
    assert await first.book(NAME) is Told.ANSWER
    assert platform.service.executions[NAME] == 1


async def test_repeat_runs_at_the_same_host_when_its_own_lost_claim_stands_there(
    platform: Platform,
) -> None:
    host = platform.start("a")
    await host.book("warm-up")
    host.store.fake.lose_replies = 2
    assert await host.book(NAME) is Told.NOT_EXECUTED
    await asyncio.sleep(1.01)
    told = [await host.book(NAME), await host.book(NAME)]
    assert told == [Told.ANSWER, Told.ANSWER]
    assert platform.service.executions[NAME] == 1


async def test_caller_is_refused_at_once_when_the_store_is_down(platform: Platform) -> None:
    host = platform.start("a")
    await host.book("warm-up")
    host.store.fake.set_down(True)
    loop = asyncio.get_running_loop()
    for _ in range(2):
        began = loop.time()
        refusal = (await host.claim(NAME)).failure()
        assert loop.time() - began < 0.1
        assert refusal.retry_after_ms is not None
    calls = host.store.fake.calls.writes
    assert (await asyncio.gather(*(host.book(f"b{i}") for i in range(50)))) == [
        Told.NOT_EXECUTED
    ] * 50
    assert host.store.fake.calls.writes == calls
    assert sum(platform.service.executions.values()) == 1
    host.store.fake.set_down(False)
    await asyncio.sleep(2)
    assert await host.book(NAME) is Told.ANSWER


async def test_answer_is_recorded_when_the_store_returns_after_a_long_outage(
    platform: Platform,
) -> None:
    first, second = platform.start("a"), platform.start("b")
    granted = (await first.claims.claim(key=key_of(NAME), request_digest="d", ttl_s=3600)).unwrap()
    assert isinstance(granted, Granted)
    for host in (first, second):
        host.store.fake.set_down(True)
    done = ClaimOutcome(state=ClaimState.DONE, status=201, body=NAME.encode())
    await first.claims.record(claim=granted, outcome=done)
    assert await first.book(NAME) is Told.ANSWER
    assert await second.book(NAME) is Told.NOT_EXECUTED
    await asyncio.sleep(OUTAGE_S)
    assert first.claims.pending == 1
    for host in (first, second):
        host.store.fake.set_down(False)
    await first.claims.drain()
    assert await second.book(NAME) is Told.ANSWER


async def test_answer_reaches_a_repeat_elsewhere_when_the_service_answers_late(
    platform: Platform,
) -> None:
    first, second = platform.start("a"), platform.start("b")
    platform.service.delay_ms = 30_000
    running = asyncio.create_task(first.book(NAME))
    await asyncio.sleep(5)
    claimed = (await second.claim(NAME)).unwrap()
    assert isinstance(claimed, InProgress)
    assert claimed.retry_after_ms > 0
    assert await running is Told.ANSWER
    await asyncio.sleep(1)
    assert await second.book(NAME) is Told.ANSWER
    assert platform.service.executions[NAME] == 1


@pytest.mark.parametrize("frozen_while", ["claiming", "claimed"])
async def test_old_claim_is_not_dispatched_when_its_host_thaws_past_every_timeout(
    platform: Platform, frozen_while: str
) -> None:
    first, second = platform.start("a"), platform.start("b")
    await first.book("warm-up")
    lost = asyncio.create_task(first.book(NAME))
    # The commit takes 2 ms, and nothing is awaited between the grant and the gate.
    await asyncio.sleep(0.001 if frozen_while == "claiming" else 0)
    if frozen_while == "claimed":
        first.dies_at = Point.CLAIMED
        await asyncio.sleep(1)
    first.store.freeze()
    await asyncio.sleep(LONGER_THAN_ANY_LEASE_S)
    assert await second.book(NAME) is Told.ANSWER
    first.store.thaw()
    assert await lost is Told.NOT_EXECUTED
    assert platform.service.executions[NAME] == 1


async def test_repeat_runs_elsewhere_when_the_service_executed_nothing(platform: Platform) -> None:
    first, second = platform.start("a"), platform.start("b")
    platform.service.refuses = True
    assert await first.book(NAME) is Told.NOT_EXECUTED
    platform.service.refuses = False
    await asyncio.sleep(1)
    assert await second.book(NAME) is Told.ANSWER
    await asyncio.sleep(1)
    assert await first.book(NAME) is Told.ANSWER
    assert platform.service.executions[NAME] == 1


async def test_repeat_runs_at_once_when_this_host_just_released_the_claim(
    platform: Platform,
) -> None:
    host = platform.start("a")
    platform.service.refuses = True
    assert await host.book(NAME) is Told.NOT_EXECUTED
    platform.service.refuses = False
    assert await host.book(NAME) is Told.ANSWER
    assert platform.service.executions[NAME] == 1


async def test_writes_to_one_key_go_in_separate_commits_when_submitted_together() -> None:
    store = FaultyStore(backend=FakeBackend())
    batcher = CommitBatcher(store=store, clock=Clock())
    put = ConditionalPut(key="k", value=b"", expected_mod_revision=StoreRevision(0))
    first, second = await asyncio.gather(
        batcher.submit(put=put, urgent=True), batcher.submit(put=put, urgent=True)
    )
    assert [first.unwrap().written, second.unwrap().written] == [True, False]


@pytest.mark.parametrize("iterations", range(5))
async def test_batcher_closes_when_a_write_arrives_concurrently(iterations: int) -> None:
    # asyncio.wait_for in Python 3.11 can swallow a cancellation that races with the event.
    batcher = CommitBatcher(store=FaultyStore(backend=FakeBackend()), clock=Clock())
    puts = [
        ConditionalPut(key=key, value=b"", expected_mod_revision=StoreRevision(0))
        for key in ("k", "l")
    ]
    writes = [asyncio.create_task(batcher.submit(put=puts[0], urgent=False))]
    await asyncio.sleep(0.001)
    writes.append(asyncio.create_task(batcher.submit(put=puts[1], urgent=False)))
    for _ in range(iterations):
        await asyncio.sleep(0)
    async with asyncio.timeout(LONGER_THAN_ANY_LEASE_S):
        await batcher.close()
    await asyncio.wait(writes)


@pytest.mark.parametrize("leaves_after_s", [0, 0.001, 0.01])
async def test_repeat_runs_when_the_caller_left_during_its_claim(
    platform: Platform, leaves_after_s: float
) -> None:
    first, second = platform.start("a"), platform.start("b")
    claiming = asyncio.create_task(first.claim(NAME))
    await asyncio.sleep(leaves_after_s)
    left = not claiming.done()
    claiming.cancel()
    await asyncio.wait([claiming])
    if not left:
        granted = claiming.result().unwrap()
        assert isinstance(granted, Granted)
        first.claims.settle(claim=granted, outcome=NOT_EXECUTED)
    await asyncio.sleep(5)
    assert await second.book(NAME) is Told.ANSWER
    assert platform.service.executions[NAME] == 1


async def test_key_is_refused_when_reused_for_another_request(platform: Platform) -> None:
    first, second = platform.start("a"), platform.start("b")
    running = asyncio.create_task(first.book(NAME))
    await asyncio.sleep(0.01)
    kinds = [(await host.claim(NAME, digest="e")).failure().kind for host in (first, second)]
    await running
    kinds.append((await first.claim(NAME, digest="e")).failure().kind)
    assert kinds == [ProblemKind.KEY_REUSED] * 3


async def test_claims_of_one_moment_are_one_store_call(platform: Platform) -> None:
    host = platform.start("a")
    names = [f"b{number}" for number in range(50)]
    assert await asyncio.gather(*(host.book(name) for name in names)) == [Told.ANSWER] * 50
    await host.claims.drain()
    assert host.store.fake.calls.leases == 1
    assert host.store.fake.calls.writes == 2


async def test_claim_stands_for_its_time_to_live_and_is_swept_after_it(
    platform: Platform,
) -> None:
    host = platform.start("a")
    await host.book("first-of-the-bucket")
    await asyncio.sleep(59)
    await host.book(NAME)
    await asyncio.sleep(TTL_S)
    other = platform.start("b")
    assert await other.book(NAME) is Told.ANSWER
    assert platform.service.executions[NAME] == 1
    await asyncio.sleep(LONGER_THAN_ANY_LEASE_S)
    platform.backend.expire_leases()
    assert platform.backend.entries == {}


async def test_claims_go_on_when_the_store_has_lost_their_lease(platform: Platform) -> None:
    host = platform.start("a")
    await host.book("warm-up")
    await host.claims.drain()
    (entry,) = platform.backend.entries.values()
    platform.backend.revoke_lease(lease=entry.lease)
    assert await host.book(NAME) is Told.ANSWER


async def test_repeat_is_told_that_it_ran_when_the_answer_was_too_large(
    platform: Platform,
) -> None:
    first, second = platform.start("a"), platform.start("b")
    granted = (await first.claim(NAME)).unwrap()
    assert isinstance(granted, Granted)
    large = ClaimOutcome(state=ClaimState.DONE, status=200, body=b"x" * 1_000_000)
    assert await first.claims.record(claim=granted, outcome=large) == Success(None)
    told = (await second.claim(NAME)).failure()
    assert told.execution.value == "executed"


def test_claim_fails_with_a_typed_problem_when_the_stored_value_is_garbage() -> None:
    sample = ClaimRecord(
        nonce="n", host="b", incarnation=1, state=ClaimState.DONE, claimed_wall_ms=1,
        request_digest="d", status=200, body="!!",
    )  # fmt: skip
    mangled = st.builds(
        lambda key, value: msgspec.json.encode({**msgspec.to_builtins(sample), key: value}),
        st.sampled_from(["state", "status", "body", "nonce", "host"]),
        st.none() | st.integers() | st.text(max_size=5) | st.just("claimed"),
    )

    async def claim_over(value: bytes) -> None:
        platform = Platform()
        host, other = platform.start("a"), platform.start("b")
        await other.book(NAME)
        await other.claims.drain()
        (key,) = platform.backend.entries
        platform.backend.corrupt(key=key, value=value)
        result = await host.claim(NAME)
        assert isinstance(result, Failure) or isinstance(result.unwrap(), Recorded | InProgress)
        for one in (host, other):
            await one.claims.close()

    @cases(examples=60)
    @given(st.binary(max_size=30) | mangled)
    def run(value: bytes) -> None:
        run_virtually(claim_over(value))

    run()
