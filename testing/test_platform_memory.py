"""Processes of the rigs: memory over the limit, ends by themselves, and wrong answers."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import PIPE
from asyncio.subprocess import Process
from pathlib import Path
from random import Random
import signal
import sys

import pytest

from standins.fault_rule import find_ends
from standins.platform_day_hosts import DayHost
from standins.platform_day_records import HostInstance
from standins.platform_endless import ENDLESS
from standins.platform_endless import GARBAGE
from standins.platform_endless import WrongAnswer
from standins.platform_endless import WrongAnswers
from standins.platform_fault_log import FaultLog
from standins.platform_hosts import PlatformHostProcess
from standins.platform_hups import HupSeries
from standins.platform_memory import MemoryWatch
from standins.platform_memory import read_resident_mb
from standins.platform_world import PlatformCluster

HELD_MB = 60
HOLD = f"held = bytearray({HELD_MB}_000_000); print(flush=True); input()"
FAIL = (sys.executable, "-c", "raise SystemExit(3)")
POLL_S = 0.01
HANG_S = 60


async def _start_holder() -> Process:
    """Start a process and wait until it holds memory."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", HOLD, stdin=PIPE, stdout=PIPE
    )
    assert process.stdout is not None
    await process.stdout.readline()
    return process


# Guards against a limit of memory that nothing enforces.
@pytest.mark.asyncio
async def test_process_is_killed_when_it_exceeds_its_memory() -> None:
    process = await _start_holder()
    instance = HostInstance("h1", 1, 0.0, ready=1.0, memory_mb=HELD_MB - 20)
    watch = MemoryWatch(process=process, instance=instance)
    instance.exit_code = await asyncio.wait_for(process.wait(), HANG_S)
    watch.stop()
    assert instance.exit_code == -signal.SIGKILL
    assert instance.is_over_limit
    assert instance.peak_mb > HELD_MB
    assert len(find_ends([instance], until=2.0)) == 1


# Guards against a watch that kills processes below their limit, or reports no peak.
@pytest.mark.asyncio
@pytest.mark.parametrize("memory_mb", [0.0, HELD_MB * 10.0])
async def test_process_is_left_alone_when_it_stays_within_its_memory(memory_mb: float) -> None:
    process = await _start_holder()
    instance = HostInstance("h1", 1, 0.0, memory_mb=memory_mb)
    watch = MemoryWatch(process=process, instance=instance)
    async with asyncio.timeout(HANG_S):
        while instance.peak_mb < HELD_MB:
            await asyncio.sleep(POLL_S)
    assert process.returncode is None
    process.kill()
    await process.wait()
    watch.stop()
    assert not instance.is_over_limit
    assert read_resident_mb(process.pid) == 0.0


# Guards against rigs in which a host that ended by itself is not seen, or stays away for good.
@pytest.mark.asyncio
@pytest.mark.parametrize("is_day", [False, True])
async def test_process_is_started_again_when_it_ends_by_itself(
    is_day: bool, tmp_path: Path
) -> None:
    cluster = PlatformCluster()
    await cluster.start()
    settings = await cluster.make_settings("h0", seeds=(), stop_grace_s=1)
    host: DayHost | PlatformHostProcess = (
        DayHost(settings=settings, directory=tmp_path, command=FAIL)
        if is_day
        else PlatformHostProcess(
            name="h0",
            settings=settings,
            directory=tmp_path,
            fault_log=FaultLog(),
            command=FAIL,
        )
    )
    await host.start()
    async with asyncio.timeout(HANG_S):
        while len(host.instances) < 2:
            await asyncio.sleep(POLL_S)
    await host.end()
    first = host.instances[0]
    end, *_ = find_ends(host.instances, until=first.started)
    assert (end.instance, end.reason, first.exit_code) == (first, "ended by itself", 3)
    await cluster.store_links["h0"].__aexit__()
    await cluster.stop()


class _Host:
    """A host that counts its reloads."""

    def __init__(self) -> None:
        self.name = "h1"
        self.reloads = 0

    def reload(self, retry_slack: float) -> None:
        self.reloads += 1


# Guards against series of signals that never reach a host which has just been started.
@pytest.mark.asyncio
async def test_some_hosts_get_signals_when_they_have_just_been_started() -> None:
    hups, hosts = HupSeries(seed=1, slacks=(1, 2)), [_Host() for _ in range(8)]
    for host in hosts:
        hups.on_start(host)
    async with asyncio.timeout(HANG_S):
        while not any(host.reloads > 1 for host in hosts):
            await asyncio.sleep(POLL_S)
    await hups.stop()
    reloads = [host.reloads for host in hosts]
    hups.on_start(hosts[0])
    assert reloads == [host.reloads for host in hosts]
    assert 0 in reloads


# Guards against upstreams whose answers without end are never sent, or go on after their time.
@pytest.mark.asyncio
async def test_answers_are_wrong_only_while_it_is_wanted() -> None:
    wrong = WrongAnswers(seed="u1")
    assert wrong.choose(has_events=True) is None
    strike = asyncio.create_task(wrong.strike(share=1.0, kinds=ENDLESS + GARBAGE, seconds=0.05))
    await asyncio.sleep(0)
    chosen = {wrong.choose(has_events=Random(n).random() < 0.5) for n in range(200)}
    plain = {wrong.choose(has_events=False) for _ in range(200)}
    await strike
    assert chosen == set(WrongAnswer)
    assert WrongAnswer.ENDLESS_EVENTS not in plain
    assert wrong.choose(has_events=True) is None
