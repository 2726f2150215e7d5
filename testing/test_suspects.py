"""Requests that crash upstreams are detected although crashes are not reported."""

from __future__ import annotations

import asyncio

from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import Evidence
from tanagerscale.generated.messages import Suspect
from tanagerscale.quarantine import SuspectTracker
from tanagerscale.quarantine._rules import Fingerprint
from tanagerscale.quarantine._suspects import MAX_SUSPECTS
from tanagerscale.quarantine._suspects import SUSPICION_TTL_MS
from testing._virtual_time import run_virtually

CRASHING = Fingerprint("poison")
HARMLESS = Fingerprint("harmless")
ENGINES = [UpstreamId(name) for name in ("x", "y", "z")]


def _record_crashes(suspects: SuspectTracker, fingerprint: Fingerprint, number: int = 3) -> None:
    for upstream in ENGINES[:number]:
        suspects.record_broken_response(fingerprint=fingerprint, upstream=upstream)


def test_request_is_refused_once_it_has_crashed_three_upstreams() -> None:
    async def scenario() -> list[bool]:
        suspects = SuspectTracker(clock=Clock())
        results = []
        for upstream in ENGINES:
            results.append(suspects.is_refused(CRASHING))
            suspects.record_broken_response(fingerprint=CRASHING, upstream=upstream)
        return [*results, suspects.is_refused(CRASHING)]

    assert run_virtually(scenario()) == [False, False, False, True]


def test_crash_is_withdrawn_when_the_upstream_answers_later() -> None:
    async def scenario() -> bool:
        suspects = SuspectTracker(clock=Clock())
        _record_crashes(suspects, CRASHING)
        suspects.record_alive(upstream=ENGINES[1])
        return suspects.is_refused(CRASHING)

    assert not run_virtually(scenario())


def test_crash_is_withdrawn_on_all_hosts_when_the_upstream_answers_one_of_them() -> None:
    async def scenario() -> list[bool]:
        local, remote = SuspectTracker(clock=Clock()), SuspectTracker(clock=Clock())
        local.suspect_updates.subscribe(remote.on_peer)
        _record_crashes(local, HARMLESS)
        results = [remote.is_refused(HARMLESS)]
        local.record_alive(upstream=ENGINES[0])
        return [*results, remote.is_refused(HARMLESS)]

    assert run_virtually(scenario()) == [True, False]


def test_snapshot_omits_requests_with_a_single_crash() -> None:
    async def scenario() -> set[str]:
        suspects = SuspectTracker(clock=Clock())
        _record_crashes(suspects, CRASHING, 2)
        _record_crashes(suspects, HARMLESS, 1)
        return {suspect.fingerprint for suspect in suspects.snapshot()}

    assert run_virtually(scenario()) == {str(CRASHING)}


def test_upstream_counts_once_when_answers_break_off_repeatedly() -> None:
    async def scenario() -> bool:
        suspects = SuspectTracker(clock=Clock())
        for _ in range(5):
            suspects.record_broken_response(fingerprint=CRASHING, upstream=ENGINES[0])
        return suspects.is_refused(CRASHING)

    assert not run_virtually(scenario())


def test_request_is_cleared_on_all_hosts_by_a_complete_answer() -> None:
    async def scenario() -> tuple[bool, bool, bool]:
        local, remote = SuspectTracker(clock=Clock()), SuspectTracker(clock=Clock())
        local.suspect_updates.subscribe(remote.on_peer)
        _record_crashes(local, CRASHING)
        _record_crashes(local, HARMLESS, 2)
        local.record_complete_response(fingerprint=HARMLESS, upstream=UpstreamId("w"))
        local.record_broken_response(fingerprint=HARMLESS, upstream=ENGINES[2])
        return remote.is_refused(CRASHING), remote.is_refused(HARMLESS), local.is_refused(HARMLESS)

    assert run_virtually(scenario()) == (True, False, False)


def test_crashes_are_counted_over_all_hosts_and_sent_to_hosts_that_connect_later() -> None:
    async def scenario() -> bool:
        first, second, third = (SuspectTracker(clock=Clock()) for _ in range(3))
        first.suspect_updates.subscribe(second.on_peer)
        first.record_broken_response(fingerprint=CRASHING, upstream=ENGINES[0])
        second.record_broken_response(fingerprint=CRASHING, upstream=ENGINES[1])
        for message in second.snapshot():
            third.on_peer(message)
        third.on_peer(Suspect(upstream=ENGINES[2], evidence=Evidence.BROKEN, fingerprint=CRASHING))
        return third.is_refused(CRASHING)

    assert run_virtually(scenario())


def test_suspicion_ends_when_its_ttl_has_elapsed() -> None:
    async def scenario() -> bool:
        suspects = SuspectTracker(clock=Clock())
        _record_crashes(suspects, CRASHING)
        await asyncio.sleep(SUSPICION_TTL_MS / 1000)
        return suspects.is_refused(CRASHING)

    assert not run_virtually(scenario())


def test_suspect_count_does_not_exceed_its_limit() -> None:
    async def scenario() -> int:
        suspects = SuspectTracker(clock=Clock())
        for number in range(MAX_SUSPECTS + 100):
            fingerprint = Fingerprint(str(number))
            suspects.record_broken_response(fingerprint=fingerprint, upstream=ENGINES[0])
        return suspects.suspect_count

    assert run_virtually(scenario()) == MAX_SUSPECTS
