"""A call that is not idempotent runs at most once, and its callers get correct results."""

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
from testing._booking_hosts import BookingCluster
from testing._booking_hosts import CallResult
from testing._booking_hosts import CrashPoint
from testing._booking_hosts import build_claim_key
from testing._booking_hosts import cancel_tasks
from testing._fake_store import FakeBackend
from testing._faulty_store import FaultyStore
from testing._random_cases import random_case_settings
from testing._virtual_time import run_virtually

pytestmark = pytest.mark.looptime

STORE_OUTAGE_S = 300
LONGER_THAN_ANY_LEASE_S = 4 * TTL_S
BOOKING = "library"


@pytest.fixture
async def cluster() -> BookingCluster:
    return BookingCluster()


async def test_booking_runs_once_when_sent_to_two_hosts_at_the_same_moment(
    cluster: BookingCluster,
) -> None:
    first, second = cluster.start("a"), cluster.start("b")
    results = await asyncio.gather(first.book(BOOKING), second.book(BOOKING))
    assert sorted(results, key=lambda result: result.value) == [
        CallResult.ANSWER,
        CallResult.UNKNOWN,
    ]
    await asyncio.sleep(1)
    assert [await first.book(BOOKING), await second.book(BOOKING)] == [
        CallResult.ANSWER,
        CallResult.ANSWER,
    ]
    assert cluster.service.executions[BOOKING] == 1


async def test_repeat_joins_the_running_call_when_sent_to_the_same_host(
    cluster: BookingCluster,
) -> None:
    host = cluster.start("a")
    cluster.service.delay_ms = 20_000
    assert await asyncio.gather(*(host.book(BOOKING) for _ in range(3))) == [CallResult.ANSWER] * 3
    assert cluster.service.executions[BOOKING] == 1
    assert host.store.fake.calls.writes == 1


@pytest.mark.parametrize("point", list(CrashPoint))
async def test_outcome_is_unknown_and_nothing_runs_again_when_the_claiming_host_crashed(
    cluster: BookingCluster, point: CrashPoint
) -> None:
    first, second = cluster.start("a"), cluster.start("b")
    first.crash_point = point
    abandoned = asyncio.create_task(first.book(BOOKING))
    await asyncio.sleep(1)
    before = cluster.service.executions[BOOKING]
    assert await second.book(BOOKING) is CallResult.UNKNOWN
    restarted = cluster.start("a", incarnation=2)
    assert await restarted.book(BOOKING) is CallResult.UNKNOWN
    await asyncio.sleep(TTL_S / 2)
    assert await second.book(BOOKING) is CallResult.UNKNOWN
    assert cluster.service.executions[BOOKING] == before <= 1
    await cancel_tasks(abandoned)


async def test_claim_is_granted_when_only_its_reply_was_lost(cluster: BookingCluster) -> None:
    host = cluster.start("a")
    await host.book("warm-up")
    host.store.fake.lose_replies = 1
    assert await host.book(BOOKING) is CallResult.ANSWER
    assert cluster.service.executions[BOOKING] == 1


@pytest.mark.parametrize("write_arrives", ["at once", "late", "never"])
async def test_claim_is_never_dispatched_when_its_repeated_write_fails_too(
    cluster: BookingCluster, write_arrives: str
) -> None:
    first, second = cluster.start("a"), cluster.start("b")
    await first.book("warm-up")
    first.store.fake.lose_replies = 2 if write_arrives == "at once" else 0
    first.store.fake.lose_requests = 2 if write_arrives == "never" else 0
    first.store.late_writes = 2 if write_arrives == "late" else 0
    refusal = (await first.claim(BOOKING)).failure()
    assert refusal.kind is ProblemKind.STORE_UNAVAILABLE
    assert refusal.retry_after_ms is not None
    assert cluster.service.executions[BOOKING] == 0
    # The claim is released, so that a repeated call runs on any host.
    await asyncio.sleep(5)
    assert await second.book(BOOKING) is CallResult.ANSWER
    await asyncio.sleep(40)
    assert await first.book(BOOKING) is CallResult.ANSWER
    assert cluster.service.executions[BOOKING] == 1


async def test_repeat_runs_at_the_same_host_when_its_own_abandoned_claim_exists(
    cluster: BookingCluster,
) -> None:
    host = cluster.start("a")
    await host.book("warm-up")
    host.store.fake.lose_replies = 2
    assert await host.book(BOOKING) is CallResult.NOT_EXECUTED
    await asyncio.sleep(1.01)
    results = [await host.book(BOOKING), await host.book(BOOKING)]
    assert results == [CallResult.ANSWER, CallResult.ANSWER]
    assert cluster.service.executions[BOOKING] == 1


async def test_caller_is_refused_at_once_when_the_store_is_down(cluster: BookingCluster) -> None:
    host = cluster.start("a")
    await host.book("warm-up")
    host.store.fake.set_down(True)
    loop = asyncio.get_running_loop()
    for _ in range(2):
        started = loop.time()
        refusal = (await host.claim(BOOKING)).failure()
        assert loop.time() - started < 0.1
        assert refusal.retry_after_ms is not None
    calls = host.store.fake.calls.writes
    assert (await asyncio.gather(*(host.book(f"b{i}") for i in range(50)))) == [
        CallResult.NOT_EXECUTED
    ] * 50
    assert host.store.fake.calls.writes == calls
    assert sum(cluster.service.executions.values()) == 1
    host.store.fake.set_down(False)
    await asyncio.sleep(2)
    assert await host.book(BOOKING) is CallResult.ANSWER


async def test_answer_is_recorded_when_the_store_returns_after_a_long_outage(
    cluster: BookingCluster,
) -> None:
    first, second = cluster.start("a"), cluster.start("b")
    granted = (
        await first.claims.claim(key=build_claim_key(BOOKING), request_digest="d", ttl_s=3600)
    ).unwrap()
    assert isinstance(granted, Granted)
    for host in (first, second):
        host.store.fake.set_down(True)
    done = ClaimOutcome(state=ClaimState.DONE, status=201, body=BOOKING.encode())
    await first.claims.record(claim=granted, outcome=done)
    assert await first.book(BOOKING) is CallResult.ANSWER
    assert await second.book(BOOKING) is CallResult.NOT_EXECUTED
    await asyncio.sleep(STORE_OUTAGE_S)
    assert first.claims.pending == 1
    for host in (first, second):
        host.store.fake.set_down(False)
    await first.claims.drain()
    assert await second.book(BOOKING) is CallResult.ANSWER


async def test_answer_reaches_a_repeat_elsewhere_when_the_service_answers_late(
    cluster: BookingCluster,
) -> None:
    first, second = cluster.start("a"), cluster.start("b")
    cluster.service.delay_ms = 30_000
    running = asyncio.create_task(first.book(BOOKING))
    await asyncio.sleep(5)
    claimed = (await second.claim(BOOKING)).unwrap()
    assert isinstance(claimed, InProgress)
    assert claimed.retry_after_ms > 0
    assert await running is CallResult.ANSWER
    await asyncio.sleep(1)
    assert await second.book(BOOKING) is CallResult.ANSWER
    assert cluster.service.executions[BOOKING] == 1


@pytest.mark.parametrize("frozen_while", ["claiming", "claimed"])
async def test_expired_claim_is_not_dispatched_when_its_host_resumes_after_every_timeout(
    cluster: BookingCluster, frozen_while: str
) -> None:
    first, second = cluster.start("a"), cluster.start("b")
    await first.book("warm-up")
    abandoned = asyncio.create_task(first.book(BOOKING))
    # The commit takes 2 ms, so a wait of 1 ms freezes the host during it. Nothing is awaited
    # between the grant and the crash point, so the crash point freezes the host after the grant.
    await asyncio.sleep(0.001 if frozen_while == "claiming" else 0)
    if frozen_while == "claimed":
        first.crash_point = CrashPoint.CLAIMED
        await asyncio.sleep(1)
    first.store.freeze()
    await asyncio.sleep(LONGER_THAN_ANY_LEASE_S)
    assert await second.book(BOOKING) is CallResult.ANSWER
    first.store.resume()
    assert await abandoned is CallResult.NOT_EXECUTED
    assert cluster.service.executions[BOOKING] == 1


async def test_repeat_runs_elsewhere_when_the_service_executed_nothing(
    cluster: BookingCluster,
) -> None:
    first, second = cluster.start("a"), cluster.start("b")
    cluster.service.refuses_calls = True
    assert await first.book(BOOKING) is CallResult.NOT_EXECUTED
    cluster.service.refuses_calls = False
    await asyncio.sleep(1)
    assert await second.book(BOOKING) is CallResult.ANSWER
    await asyncio.sleep(1)
    assert await first.book(BOOKING) is CallResult.ANSWER
    assert cluster.service.executions[BOOKING] == 1


async def test_repeat_runs_at_once_when_this_host_just_released_the_claim(
    cluster: BookingCluster,
) -> None:
    host = cluster.start("a")
    cluster.service.refuses_calls = True
    assert await host.book(BOOKING) is CallResult.NOT_EXECUTED
    cluster.service.refuses_calls = False
    assert await host.book(BOOKING) is CallResult.ANSWER
    assert cluster.service.executions[BOOKING] == 1


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


@pytest.mark.parametrize("disconnects_after_s", [0, 0.001, 0.01])
async def test_repeat_runs_when_the_caller_disconnected_during_its_claim(
    cluster: BookingCluster, disconnects_after_s: float
) -> None:
    first, second = cluster.start("a"), cluster.start("b")
    claiming = asyncio.create_task(first.claim(BOOKING))
    await asyncio.sleep(disconnects_after_s)
    disconnected = not claiming.done()
    claiming.cancel()
    await asyncio.wait([claiming])
    if not disconnected:
        granted = claiming.result().unwrap()
        assert isinstance(granted, Granted)
        first.claims.settle(claim=granted, outcome=NOT_EXECUTED)
    await asyncio.sleep(5)
    assert await second.book(BOOKING) is CallResult.ANSWER
    assert cluster.service.executions[BOOKING] == 1


async def test_key_is_refused_when_reused_for_another_request(cluster: BookingCluster) -> None:
    first, second = cluster.start("a"), cluster.start("b")
    running = asyncio.create_task(first.book(BOOKING))
    await asyncio.sleep(0.01)
    kinds = [(await host.claim(BOOKING, digest="e")).failure().kind for host in (first, second)]
    await running
    kinds.append((await first.claim(BOOKING, digest="e")).failure().kind)
    assert kinds == [ProblemKind.KEY_REUSED] * 3


async def test_concurrent_claims_share_one_store_call(cluster: BookingCluster) -> None:
    host = cluster.start("a")
    names = [f"b{number}" for number in range(50)]
    assert await asyncio.gather(*(host.book(name) for name in names)) == [CallResult.ANSWER] * 50
    await host.claims.drain()
    assert host.store.fake.calls.leases == 1
    assert host.store.fake.calls.writes == 2


async def test_claim_exists_for_its_ttl_and_is_deleted_afterwards(
    cluster: BookingCluster,
) -> None:
    host = cluster.start("a")
    await host.book("first-of-the-bucket")
    await asyncio.sleep(59)
    await host.book(BOOKING)
    await asyncio.sleep(TTL_S)
    other = cluster.start("b")
    assert await other.book(BOOKING) is CallResult.ANSWER
    assert cluster.service.executions[BOOKING] == 1
    await asyncio.sleep(LONGER_THAN_ANY_LEASE_S)
    cluster.backend.expire_leases()
    assert cluster.backend.entries == {}


async def test_claims_are_granted_when_the_store_has_lost_their_lease(
    cluster: BookingCluster,
) -> None:
    host = cluster.start("a")
    await host.book("warm-up")
    await host.claims.drain()
    (entry,) = cluster.backend.entries.values()
    cluster.backend.revoke_lease(lease=entry.lease)
    assert await host.book(BOOKING) is CallResult.ANSWER


async def test_repeat_reports_execution_when_the_answer_was_too_large(
    cluster: BookingCluster,
) -> None:
    first, second = cluster.start("a"), cluster.start("b")
    granted = (await first.claim(BOOKING)).unwrap()
    assert isinstance(granted, Granted)
    large = ClaimOutcome(state=ClaimState.DONE, status=200, body=b"x" * 1_000_000)
    assert await first.claims.record(claim=granted, outcome=large) == Success(None)
    problem = (await second.claim(BOOKING)).failure()
    assert problem.execution.value == "executed"


def test_claim_fails_with_a_typed_problem_when_the_stored_value_is_malformed() -> None:
    sample = ClaimRecord(
        nonce="n", host="b", incarnation=1, state=ClaimState.DONE, claimed_wall_ms=1,
        request_digest="d", status=200, body="!!",
    )  # fmt: skip
    malformed = st.builds(
        lambda key, value: msgspec.json.encode({**msgspec.to_builtins(sample), key: value}),
        st.sampled_from(["state", "status", "body", "nonce", "host"]),
        st.none() | st.integers() | st.text(max_size=5) | st.just("claimed"),
    )

    async def claim_over(value: bytes) -> None:
        cluster = BookingCluster()
        host, other = cluster.start("a"), cluster.start("b")
        await other.book(BOOKING)
        await other.claims.drain()
        (key,) = cluster.backend.entries
        cluster.backend.corrupt(key=key, value=value)
        result = await host.claim(BOOKING)
        assert isinstance(result, Failure) or isinstance(result.unwrap(), Recorded | InProgress)
        for host_to_close in (host, other):
            await host_to_close.claims.close()

    @random_case_settings(examples=60)
    @given(st.binary(max_size=30) | malformed)
    def run(value: bytes) -> None:
        run_virtually(claim_over(value))

    run()
