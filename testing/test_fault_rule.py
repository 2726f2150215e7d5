"""The rule on processes that end by themselves, exceed their memory or never become ready."""

from __future__ import annotations

import signal

import pytest

from standins.fault_rule import START_LIMIT_MS
from standins.fault_rule import describe_memory
from standins.fault_rule import find_ends
from standins.fault_rule import find_faults
from standins.platform_day_records import HostInstance

STARTED = 1_000.0
READY = STARTED + 500
ENDED = STARTED + 60_000


def _make_instance(host: str = "h1", *, exit_code: int | None = None) -> HostInstance:
    """Return the record of a process that ended with a code, or that still runs."""
    instance = HostInstance(host, 1, STARTED, ready=READY, memory_mb=150.0)
    if exit_code is not None:
        instance.ended, instance.exit_code = ENDED, exit_code
    return instance


def _find(instance: HostInstance) -> list[str]:
    return [end.reason for end in find_ends([instance], until=ENDED)]


# Guards against runs that pass though a host ended without any signal of the run.
@pytest.mark.parametrize("exit_code", [0, 1, 2, -signal.SIGHUP, -signal.SIGKILL])
def test_end_counts_when_the_run_has_not_caused_it(exit_code: int) -> None:
    assert _find(_make_instance(exit_code=exit_code)) == ["ended by itself"]


# Guards against a rule that takes an end by SIGHUP for one that the run wanted.
def test_end_counts_when_a_process_ends_at_a_reload() -> None:
    instance = _make_instance(exit_code=-signal.SIGHUP)
    instance.reloads.append(STARTED + 12)
    instance.freezes.append((STARTED + 5, STARTED + 20))
    (end,) = find_ends([instance], until=ENDED)
    assert "SIGHUP at 12 ms, frozen 5..20 ms" in str(end)
    assert "exit code -1" in str(end)


# Guards against a rule that counts the ends that a run causes itself.
def test_end_is_excused_when_the_run_has_caused_it() -> None:
    killed = _make_instance(exit_code=-signal.SIGKILL)
    killed.killed = True
    stopped = _make_instance(exit_code=0)
    stopped.terminated = ENDED - 7_000
    stopped_at_start = _make_instance(exit_code=-signal.SIGTERM)
    stopped_at_start.ready, stopped_at_start.terminated = None, STARTED + 5
    running = _make_instance()
    for instance in (killed, stopped, stopped_at_start, running):
        assert _find(instance) == []


# Guards against failures of the graceful shutdown that its SIGTERM hides.
@pytest.mark.parametrize("exit_code", [1, -signal.SIGTERM, -signal.SIGSEGV])
def test_end_counts_when_a_ready_process_fails_after_sigterm(exit_code: int) -> None:
    instance = _make_instance(exit_code=exit_code)
    instance.terminated = ENDED - 7_000
    assert _find(instance) == ["failed after SIGTERM"]


# Guards against a rule that counts a process over its limit as one that the run killed.
@pytest.mark.parametrize("is_stopping", [False, True])
def test_end_counts_when_memory_was_over_the_limit(is_stopping: bool) -> None:
    instance = _make_instance(exit_code=-signal.SIGKILL)
    instance.is_over_limit, instance.peak_mb = True, 160.0
    if is_stopping:
        instance.terminated, instance.killed = ENDED - 1_000, True
    assert _find(instance) == ["was killed over its limit of 150 MB"]
    assert describe_memory([instance]) == "peak memory, limit 150 MB: h1 160"


# Guards against hosts that run and are never ready.
def test_start_counts_when_the_process_never_gets_ready() -> None:
    instance = _make_instance()
    instance.ready = None
    assert _find(instance) == ["was not ready after 60000 ms"]


# Guards against freezes that count twice, and so excuse a start that never succeeds.
def test_start_counts_when_overlapping_freezes_leave_it_time() -> None:
    instance = _make_instance(exit_code=0)
    instance.ready, instance.terminated = None, STARTED + START_LIMIT_MS + 2_000
    instance.freezes = [(STARTED + 10, STARTED + 2_010), (STARTED + 500, STARTED + 1_500)]
    assert _find(instance) == ["was not ready after 12000 ms"]


# Guards against a rule that counts starts which were cut short or frozen.
@pytest.mark.parametrize("is_frozen", [False, True])
def test_start_is_excused_when_it_had_no_time(is_frozen: bool) -> None:
    instance = _make_instance(exit_code=0)
    instance.ready, instance.terminated = None, STARTED + START_LIMIT_MS - 1
    if is_frozen:
        instance.terminated += 2_000
        instance.freezes = [(STARTED + 10, STARTED + 2_010)]
    assert _find(instance) == []


# Guards against a rule on many ends that a single host or a few ends break, or that nothing does.
@pytest.mark.parametrize(
    ("hosts", "is_fault"),
    [(["h1", "h1", "h1"], False), (["h1", "h2"], False), (["h1", "h2", "h1"], True)],
)
def test_run_is_a_fault_when_processes_of_two_hosts_end_three_times(
    hosts: list[str], is_fault: bool
) -> None:
    ends = find_ends([_make_instance(host, exit_code=1) for host in hosts], until=ENDED)
    assert bool(find_faults(ends, hosts=6)) == is_fault
    assert not find_faults(ends, hosts=30)
