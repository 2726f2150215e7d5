"""A request that crashes engines at one token costs two of them, and no other one is refused."""

from __future__ import annotations

import asyncio

import pytest

from tanagerscale.core import ClientAccountId
from tanagerscale.core import HostId
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import Verdict
from tanagerscale.quarantine import Crash
from tanagerscale.quarantine import Fingerprint
from tanagerscale.quarantine import Quarantine
from tanagerscale.quarantine import RunEnd
from tanagerscale.quarantine import fingerprint_of
from testing._crashing_engines import VERDICT_TTL_MS
from testing._crashing_engines import QuarantineCluster
from testing._crashing_engines import RequestingHost

pytestmark = pytest.mark.looptime

CRASHING = Fingerprint("poison")
HOSTS = 6
ENGINES = 5
HARMLESS_REQUESTS = 40


async def send_repeatedly(
    cluster: QuarantineCluster, name: str, *, times: int
) -> list[Problem | None]:
    """Send one request repeatedly, each time to a random host."""
    problems = []
    for _ in range(times):
        problems.append(await cluster.rng.choice(cluster.hosts).call(name))
        await asyncio.sleep(0.05)
    return problems


async def send_harmless_requests(cluster: QuarantineCluster) -> list[Problem | None]:
    async def send(number: int) -> Problem | None:
        await asyncio.sleep(cluster.rng.random() * 3)
        host = cluster.rng.choice(cluster.hosts)
        return await host.call(f"plan-{number}", duration_s=0.1 + cluster.rng.random())

    return await asyncio.gather(*(send(number) for number in range(HARMLESS_REQUESTS)))


@pytest.mark.parametrize("store_down", [False, True])
@pytest.mark.parametrize("seed", range(5))
async def test_two_engines_are_lost_when_a_crashing_request_is_repeated_among_harmless_requests(
    store_down: bool, seed: int
) -> None:
    cluster = QuarantineCluster(hosts=HOSTS, engines=ENGINES, seed=seed)
    cluster.crashing_requests.add(CRASHING)
    for host in cluster.hosts:
        host.store.set_down(store_down)
    problems, harmless = await asyncio.gather(
        send_repeatedly(cluster, CRASHING, times=20), send_harmless_requests(cluster)
    )
    assert cluster.lost_engines[CRASHING] == 2
    assert harmless == [None] * HARMLESS_REQUESTS
    assert {problem.kind for problem in problems if problem} == {ProblemKind.QUARANTINED}
    assert all(problem and problem.retry_after_ms for problem in problems)


@pytest.mark.parametrize("seed", range(5))
async def test_two_engines_are_lost_when_copies_run_on_several_engines_before_the_first_crash(
    seed: int,
) -> None:
    cluster = QuarantineCluster(hosts=HOSTS, engines=ENGINES, seed=seed)
    cluster.crashing_requests.add(CRASHING)

    async def send(number: int) -> Problem | None:
        await asyncio.sleep(number * 0.02)
        return await cluster.hosts[number].call(CRASHING, preferred_engine=f"e{number % ENGINES}")

    problems = await asyncio.gather(*(send(number) for number in range(HOSTS)))
    assert all(problem and problem.kind is ProblemKind.QUARANTINED for problem in problems)
    assert cluster.lost_engines[CRASHING] == 2


async def test_harmless_requests_finish_when_they_ran_in_two_unrelated_crashes() -> None:
    cluster = QuarantineCluster(hosts=HOSTS, engines=ENGINES)
    cluster.crashing_requests.update({CRASHING, Fingerprint("poison-2")})
    _, _, harmless = await asyncio.gather(
        send_repeatedly(cluster, CRASHING, times=5),
        send_repeatedly(cluster, "poison-2", times=5),
        send_harmless_requests(cluster),
    )
    refused = [problem for problem in harmless if problem is not None]
    assert cluster.lost_engines[CRASHING] <= 2
    assert cluster.lost_engines[Fingerprint("poison-2")] <= 2
    assert refused == []


async def test_verdict_ends_when_its_ttl_has_elapsed() -> None:
    cluster = QuarantineCluster(hosts=2, engines=3)
    cluster.crashing_requests.add(CRASHING)
    problem = await cluster.hosts[0].call(CRASHING)
    assert problem is not None
    assert problem.retry_after_ms is not None
    await asyncio.sleep(0.1)
    await asyncio.sleep((problem.retry_after_ms - 1000) / 1000)
    assert all(host.quarantine.check(fingerprint=CRASHING) for host in cluster.hosts)
    await asyncio.sleep(2)
    assert not any(host.quarantine.check(fingerprint=CRASHING) for host in cluster.hosts)
    cluster.crashing_requests.clear()
    assert await cluster.hosts[1].call(CRASHING) is None


async def test_verdict_is_known_to_a_host_that_starts_later_when_the_store_was_down() -> None:
    cluster = QuarantineCluster(hosts=1, engines=3)
    cluster.crashing_requests.add(CRASHING)
    cluster.hosts[0].store.set_down(True)
    await cluster.hosts[0].call(CRASHING)
    await asyncio.sleep(300)
    cluster.hosts[0].store.set_down(False)
    await asyncio.sleep(10)
    later = RequestingHost(name="later", cluster=cluster, wall_offset_ms=0)
    await later.quarantine.load()
    problem = later.quarantine.check(fingerprint=CRASHING)
    assert problem is not None
    assert problem.retry_after_ms is not None
    assert problem.retry_after_ms <= VERDICT_TTL_MS - 300_000
    await asyncio.sleep(VERDICT_TTL_MS / 1000)
    cluster.backend.expire_leases()
    assert cluster.backend.entries == {}


async def test_suspect_is_cleared_when_its_second_run_completes() -> None:
    cluster = QuarantineCluster(hosts=2, engines=3)
    first, second = cluster.hosts
    plan = Fingerprint("plan")
    assert await first.quarantine.admit(fingerprint=plan, engine=UpstreamId("e0"))
    first.quarantine.on_engine_crash(engine=UpstreamId("e0"))
    await asyncio.sleep(0.01)
    assert second.quarantine.is_suspect(fingerprint=plan)
    assert await second.call("plan") is None
    await asyncio.sleep(0.01)
    assert not any(host.quarantine.is_suspect(fingerprint=plan) for host in cluster.hosts)


async def test_copies_of_a_request_share_one_engine_when_they_run_at_the_same_time() -> None:
    cluster = QuarantineCluster(hosts=1, engines=3)
    quarantine = cluster.hosts[0].quarantine
    plan, engines = Fingerprint("plan"), list(cluster.engines)
    assert quarantine.excluded_engines(fingerprint=plan, engines=engines) == frozenset()
    assert await quarantine.admit(fingerprint=plan, engine=engines[1])
    assert quarantine.excluded_engines(fingerprint=plan, engines=engines) == {
        engines[0],
        engines[2],
    }
    assert await quarantine.admit(fingerprint=plan, engine=engines[1])
    assert not await quarantine.admit(fingerprint=plan, engine=engines[2])


async def test_copies_of_a_suspect_share_one_engine_when_hosts_ran_them_on_different_engines() -> (
    None
):
    cluster = QuarantineCluster(hosts=2, engines=3)
    first, second = (host.quarantine for host in cluster.hosts)
    plan, engines = Fingerprint("plan"), list(cluster.engines)
    assert await first.admit(fingerprint=plan, engine=engines[1])
    # The other host started its copy on another engine before the crash was detected.
    assert await second.admit(fingerprint=plan, engine=engines[2])
    first.on_engine_crash(engine=engines[1])
    await asyncio.sleep(0.01)
    assert first.excluded_engines(fingerprint=plan, engines=engines) == {engines[0], engines[1]}


def test_crashes_are_not_similar_when_the_token_position_of_one_is_unknown() -> None:
    at_token_5 = Crash(engine=UpstreamId("e0"), wall_ms=1, tokens=5)
    at_unknown_token = Crash(engine=UpstreamId("e1"), wall_ms=99_999)
    assert at_token_5.is_similar_to(Crash(engine=UpstreamId("e1"), wall_ms=99_999, tokens=7))
    assert not at_token_5.is_similar_to(at_unknown_token)
    assert not at_unknown_token.is_similar_to(Crash(engine=UpstreamId("e2"), wall_ms=199_999))


async def test_suspect_is_excluded_from_the_crashed_engine_for_the_merge_window() -> None:
    cluster = QuarantineCluster(hosts=1, engines=2)
    quarantine = cluster.hosts[0].quarantine
    plan, engine = Fingerprint("plan"), UpstreamId("e0")
    assert await quarantine.admit(fingerprint=plan, engine=engine)
    quarantine.on_engine_crash(engine=engine)
    assert quarantine.excluded_engines(fingerprint=plan, engines=cluster.engines) == {engine}
    await asyncio.sleep(30)
    assert quarantine.excluded_engines(fingerprint=plan, engines=cluster.engines) == frozenset()


async def test_other_suspects_are_cleared_when_a_second_crash_convicts_one() -> None:
    cluster = QuarantineCluster(hosts=2, engines=3)
    first, second = (host.quarantine for host in cluster.hosts)
    plan = Fingerprint("plan")
    for quarantine, name in ((first, CRASHING), (second, plan)):
        assert await quarantine.admit(fingerprint=name, engine=UpstreamId("e0"))
        quarantine.on_engine_crash(engine=UpstreamId("e0"))
    await asyncio.sleep(0.01)
    assert first.is_suspect(fingerprint=plan)
    assert await first.admit(fingerprint=CRASHING, engine=UpstreamId("e1"))
    first.on_engine_crash(engine=UpstreamId("e1"))
    await asyncio.sleep(0.01)
    for quarantine in (first, second):
        assert quarantine.check(fingerprint=CRASHING)
        assert not quarantine.is_suspect(fingerprint=plan)


async def test_engine_is_free_for_suspects_when_a_convicted_request_was_cancelled_on_it() -> None:
    # Guards against a missing announcement to the peers when the run of a convicted request ends.
    cluster = QuarantineCluster(hosts=3, engines=4)
    first, second, third = (host.quarantine for host in cluster.hosts)
    suspect = Fingerprint("plan")
    await first.admit(fingerprint=CRASHING, engine=UpstreamId("e0"))
    await second.admit(fingerprint=CRASHING, engine=UpstreamId("e1"))
    await third.admit(fingerprint=CRASHING, engine=UpstreamId("e2"))
    first.on_engine_crash(engine=UpstreamId("e0"))
    second.on_engine_crash(engine=UpstreamId("e1"))
    await asyncio.sleep(0.1)
    third.on_finished(fingerprint=CRASHING, engine=UpstreamId("e2"), end=RunEnd.CANCELLED)
    await first.admit(fingerprint=suspect, engine=UpstreamId("e3"))
    first.on_engine_crash(engine=UpstreamId("e3"))
    await asyncio.sleep(0.1)
    for host in (first, second):
        assert host.check(fingerprint=CRASHING) is not None
        assert host.excluded_engines(fingerprint=suspect, engines=cluster.engines) == {"e3"}


async def test_engines_are_free_for_a_suspect_when_its_run_ended_after_it_was_cleared() -> None:
    # Guards against a missing announcement to the peers when a run ends after its request was
    # cleared.
    cluster = QuarantineCluster(hosts=2, engines=4)
    first, second = (host.quarantine for host in cluster.hosts)
    harmless = Fingerprint("plan")
    await first.admit(fingerprint=CRASHING, engine=UpstreamId("e0"))
    await first.admit(fingerprint=harmless, engine=UpstreamId("e0"))
    first.on_engine_crash(engine=UpstreamId("e0"))
    await asyncio.sleep(0.1)
    assert await second.admit(fingerprint=harmless, engine=UpstreamId("e2"))
    await first.admit(fingerprint=CRASHING, engine=UpstreamId("e1"))
    first.on_engine_crash(engine=UpstreamId("e1"))
    await asyncio.sleep(0.1)
    second.on_finished(fingerprint=harmless, engine=UpstreamId("e2"), end=RunEnd.COMPLETE)
    await asyncio.sleep(0.1)
    await first.admit(fingerprint=harmless, engine=UpstreamId("e3"))
    first.on_engine_crash(engine=UpstreamId("e3"))
    assert first.excluded_engines(fingerprint=harmless, engines=cluster.engines) == {"e3"}


async def test_verdict_lasts_no_longer_than_the_local_ttl_when_the_clock_of_a_peer_is_wrong() -> (
    None
):
    quarantine = QuarantineCluster(hosts=1, engines=2).hosts[0].quarantine
    verdict = Verdict(fingerprint=CRASHING, crashes=[], expires_wall_ms=1 << 62, convicted=True)
    quarantine.on_peer_verdict(verdict=verdict, peer=HostId("h9"))
    problem = quarantine.check(fingerprint=CRASHING)
    assert problem is not None
    assert problem.retry_after_ms == VERDICT_TTL_MS


async def test_run_is_a_suspect_when_it_broke_off_just_before_the_crash_was_detected() -> None:
    cluster = QuarantineCluster(hosts=1, engines=3)
    quarantine = cluster.hosts[0].quarantine
    engine = UpstreamId("e0")
    for name, end in (("broken", RunEnd.BROKEN), ("ended", RunEnd.COMPLETE)):
        assert await quarantine.admit(fingerprint=Fingerprint(name), engine=engine)
        quarantine.on_finished(fingerprint=Fingerprint(name), engine=engine, end=end)
    quarantine.on_engine_crash(engine=engine)
    assert quarantine.is_suspect(fingerprint=Fingerprint("broken"))
    assert not quarantine.is_suspect(fingerprint=Fingerprint("ended"))


async def test_suspects_of_one_crash_get_different_engines_when_two_hosts_choose_concurrently() -> (
    None
):
    cluster = QuarantineCluster(hosts=2, engines=3)
    names = [Fingerprint("plan-a"), Fingerprint("plan-b")]
    for host, name in zip(cluster.hosts, names, strict=True):
        assert await host.quarantine.admit(fingerprint=name, engine=UpstreamId("e0"))
        host.quarantine.on_engine_crash(engine=UpstreamId("e0"))
    await asyncio.sleep(0.01)
    admitted = await asyncio.gather(
        *(
            host.quarantine.admit(fingerprint=name, engine=UpstreamId("e1"))
            for host, name in zip(cluster.hosts, names, strict=True)
        )
    )
    assert sorted(admitted) == [False, True]


async def test_peer_message_is_ignored_when_it_is_malformed() -> None:
    cluster = QuarantineCluster(hosts=1, engines=2)
    quarantine = cluster.hosts[0].quarantine
    for crashes in (["", "@", "e0@", "@5", "e0@x", "e0@" + "9" * 40], ["e0@1"] * 1000):
        quarantine.on_peer_verdict(
            verdict=Verdict(
                fingerprint="plan", crashes=crashes, expires_wall_ms=1 << 62, engine="no-such"
            ),
            peer=HostId("h9"),
        )
    quarantine.on_peer_gone(peer=HostId("h9"))
    assert quarantine.check(fingerprint=Fingerprint("plan")) is None
    assert await quarantine.admit(fingerprint=Fingerprint("plan"), engine=UpstreamId("e1"))


def test_fingerprint_differs_when_account_body_or_secret_differs() -> None:
    def make(key: bytes, account: str, body: bytes) -> str:
        return fingerprint_of(key=key, account=ClientAccountId(account), body=body)

    fingerprints = {
        make(b"k", "a", b"bc"), make(b"k", "ab", b"c"), make(b"l", "a", b"bc"), make(b"k", "a", b"")
    }  # fmt: skip
    assert len(fingerprints) == 4


async def _crash_engine_at_token(quarantine: Quarantine, engine: str, tokens: int) -> None:
    """Run a request on an engine until the engine crashes at the given token."""
    upstream = UpstreamId(engine)
    assert await quarantine.admit(fingerprint=CRASHING, engine=upstream, progress=lambda: tokens)
    quarantine.on_engine_crash(engine=upstream)


async def test_request_is_convicted_by_two_crashes_when_they_are_at_about_the_same_token() -> None:
    cluster = QuarantineCluster(hosts=2, engines=4)
    first, second = (host.quarantine for host in cluster.hosts)
    await _crash_engine_at_token(first, "e0", 400)
    await _crash_engine_at_token(first, "e1", 405)
    await asyncio.sleep(0.01)
    assert second.check(fingerprint=CRASHING) is not None


async def test_request_is_convicted_by_three_crashes_when_they_are_at_different_tokens() -> None:
    cluster = QuarantineCluster(hosts=2, engines=4)
    first, second = (host.quarantine for host in cluster.hosts)
    await _crash_engine_at_token(first, "e0", 400)
    await _crash_engine_at_token(first, "e1", 20)
    await asyncio.sleep(0.01)
    assert second.check(fingerprint=CRASHING) is None
    assert second.is_suspect(fingerprint=CRASHING)
    await _crash_engine_at_token(second, "e2", 1000)
    assert second.check(fingerprint=CRASHING) is not None
