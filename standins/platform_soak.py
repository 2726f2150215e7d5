"""Injects random faults into host processes on the platform and checks what callers see."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import logging
import os
from pathlib import Path
from random import Random
import sys
from tempfile import mkdtemp

from standins._common import cancel_task
from standins._common import run_main
from standins.fault_rule import describe_memory
from standins.fault_rule import find_ends
from standins.fault_rule import find_faults
from standins.platform_callers import CallKind
from standins.platform_callers import PlatformCallers
from standins.platform_crowds import CrowdMaker
from standins.platform_cuts import HostCutter
from standins.platform_drains import DrainProvoker
from standins.platform_fault_log import FaultLog
from standins.platform_faults import RETRY_SLACKS
from standins.platform_faults import PlatformFaultInjector
from standins.platform_garbage import GarbageProvoker
from standins.platform_hosts import PlatformHostProcess
from standins.platform_hups import HupSeries
from standins.platform_limits import LimitNamer
from standins.platform_load import ACCOUNTS
from standins.platform_load import AFTER_FAULTS_MS
from standins.platform_load import PADDINGS
from standins.platform_load import SLOW_READER_CALLS
from standins.platform_load import judge_load
from standins.platform_load import load_configuration
from standins.platform_load import shape_upstream
from standins.platform_parts import PartCrasher
from standins.platform_planned import MORE_ENGINES
from standins.platform_planned import PlannedStops
from standins.platform_planned import limit_upstream
from standins.platform_planned import planned_configuration
from standins.platform_planned import report_moves
from standins.platform_repeats import RepeatProvoker
from standins.platform_second_answers import SecondAnswerProvoker
from standins.platform_start import MODULE_COMMAND
from standins.platform_start import build_start_command
from standins.platform_verdict import STREAM_EVENTS
from standins.platform_verdict import PlatformVerdict
from standins.platform_watches import WatchLossProvoker
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import NOTES_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from standins.retry_budget_rule import RetryBudgetRule
from standins.stream_framing import StreamFramings
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.generated.gateway import RetrySection

STOP_GRACE_S = 5
MEMORY_MB = 150.0
"""Memory above which a host is killed, in units of 1,000,000 bytes."""
FILE_DESCRIPTORS = 4_100
SEEDS = 3
SETTLING_MS = 1_000
"""Time after the last answer in which a refused request could still be executed."""
LAG_INTERVAL_MS = 10
OK = 200
SMALL_RETRY_SLACKS = (5, 15)
"""Range of the retries in addition to the ratio while upstreams refuse, so that they run out."""
RECORD_FILE = "record.txt"
SHORT_EVENT_MS = 7.0
LONG_EVENT_MS = (28.0, 40.0, 52.0)
MIXED_CALLS = {CallKind.UNSAFE: 4, CallKind.SAFE: 4, CallKind.SHORT: 1}
LONG_CALLS = {CallKind.LONG: 5, CallKind.UNSAFE: 1, CallKind.SAFE: 1, CallKind.SHORT: 4}


class LoopLag:
    """Longest delay of the event loop of the soak itself, which delays callers and upstreams."""

    def __init__(self) -> None:
        self.max_ms = 0
        self._clock = Clock()

    async def run_forever(self) -> None:
        """Measure until cancelled."""
        while True:
            started = self._clock.now()
            await self._clock.sleep(LAG_INTERVAL_MS)
            self.max_ms = max(self.max_ms, self._clock.now() - started - LAG_INTERVAL_MS)


async def run_soak(
    *,
    seed: int,
    seconds: float,
    hosts: int,
    directory: Path,
    limits: bool = False,
    refusals: bool = False,
    cuts: bool = False,
    parts: bool = False,
    crowds: bool = False,
    load: bool = False,
    connections: bool = False,
    drains: bool = False,
    second_answers: bool = False,
    planned: bool = False,
    garbage: bool = False,
    watches: bool = False,
) -> list[str]:
    """Run the soak and return the broken guarantees.

    :param seed: Seed of all random choices.
    :param seconds: Time during which faults are injected, in seconds.
    :param hosts: Number of host processes.
    :param directory: Directory for settings, logs and the record of faults.
    :param limits: Whether upstreams name rate limits meanwhile.
    :param refusals: Whether most upstreams of a service refuse everything at times.
    :param cuts: Whether hosts are cut off from all upstreams at times.
    :param parts: Whether requests with one part in their prompts crash upstreams.
    :param crowds: Whether most new connections go to one host at times.
    :param load: Whether accounts, callers, plain upstreams and engines are uneven.
    :param connections: Whether it is a violation that a plain upstream resets connections.
    :param drains: Whether the store comes back from older copies and upstreams leave after that,
        with few other faults.
    :param second_answers: Whether upstreams send answers a second time, late.
    :param planned: Whether only planned work is done: hosts stop in turn, again and again, while
        engines with little room leave and are replaced.
    :param garbage: Whether upstreams send answers without end and other wrong bytes, and hosts get
        series of SIGHUP, also within the first second of their start.
    :param watches: Whether watches of the store are lost around changes of keys and upstreams that
        leave, with few other faults.
    """
    cluster = PlatformCluster(has_links=cuts, framings=StreamFramings(seed=str(seed)))
    fault_log = FaultLog()
    processes: list[PlatformHostProcess] = []
    retry_slacks = SMALL_RETRY_SLACKS if refusals else RETRY_SLACKS
    injector = PlatformFaultInjector(
        cluster=cluster, hosts=processes, fault_log=fault_log, retry_slacks=retry_slacks
    )
    callers = PlatformCallers(hosts=processes, rng=Random(seed + 1), has_parts=parts)
    crasher = PartCrasher(injector=injector, callers=callers, fault_log=fault_log)
    if load:
        cluster.on_upstream = shape_upstream
        injector.make_configuration = load_configuration
        callers.accounts = ACCOUNTS
    if planned:
        cluster.on_upstream = limit_upstream
        injector.make_configuration = planned_configuration
        injector.disturb_as_planned()
    if drains or watches:
        injector.disturb_few()
        injector.tells_start = seed % 2 == 0
    hups = HupSeries(seed=seed + 10, slacks=retry_slacks)
    command = await build_start_command(directory) if garbage else MODULE_COMMAND
    drainer = DrainProvoker(cluster=cluster, injector=injector, fault_log=fault_log)
    loser = WatchLossProvoker(
        cluster=cluster,
        injector=injector,
        drainer=drainer,
        callers=callers,
        hosts=processes,
        fault_log=fault_log,
    )
    if watches:
        injector.make_configuration = loser.make_configuration
    lag = LoopLag()
    lag_task = asyncio.create_task(lag.run_forever())
    await cluster.start()
    try:
        cluster.configure(injector.make_configuration(1))
        await _add_upstreams(injector, size=max(3, hosts // 3), engines=MORE_ENGINES * planned)
        await _start_hosts(
            cluster,
            processes,
            fault_log,
            hosts=hosts,
            directory=directory,
            retry_slack=retry_slacks[1] if refusals else None,
            command=command,
        )
        callers.start(MIXED_CALLS, (10 if load else 2) * hosts)
        callers.start(LONG_CALLS, 3 * hosts)
        if planned:
            callers.start(LONG_CALLS, 3 * hosts)
        if load:
            callers.start(SLOW_READER_CALLS, hosts, are_slow=True)
        duration_ms = round(seconds * MS_PER_SECOND)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(injector.run(rng=Random(seed), duration_ms=duration_ms))
            if limits:
                namer = LimitNamer(cluster=cluster, fault_log=fault_log)
                tasks.create_task(namer.run(rng=Random(seed + 2), duration_ms=duration_ms))
            if refusals:
                provoker = RepeatProvoker(cluster=cluster, fault_log=fault_log)
                tasks.create_task(provoker.run(rng=Random(seed + 3), duration_ms=duration_ms))
            if cuts:
                names = [process.name for process in processes]
                cutter = HostCutter(cluster=cluster, hosts=names, fault_log=fault_log)
                tasks.create_task(cutter.run(rng=Random(seed + 4), duration_ms=duration_ms))
            if parts:
                tasks.create_task(crasher.run(rng=Random(seed + 5), duration_ms=duration_ms))
            if drains:
                tasks.create_task(drainer.run(rng=Random(seed + 7), duration_ms=duration_ms))
            if watches:
                tasks.create_task(loser.run(rng=Random(seed + 13), duration_ms=duration_ms))
            if planned:
                stops = PlannedStops(hosts=processes)
                tasks.create_task(stops.run(rng=Random(seed + 9), duration_ms=duration_ms))
            if second_answers:
                answers = SecondAnswerProvoker(cluster=cluster, fault_log=fault_log)
                tasks.create_task(answers.run(rng=Random(seed + 8), duration_ms=duration_ms))
            if garbage:
                for process in processes:
                    process.on_start = hups.on_start
                tasks.create_task(
                    hups.run(processes, rng=Random(seed + 11), duration_ms=duration_ms)
                )
                wrong = GarbageProvoker(cluster=cluster, fault_log=fault_log)
                tasks.create_task(wrong.run(rng=Random(seed + 12), duration_ms=duration_ms))
            if crowds:
                crowd = CrowdMaker(callers=callers, hosts=processes, fault_log=fault_log)
                tasks.create_task(crowd.run(rng=Random(seed + 6), duration_ms=duration_ms))
        await hups.stop()
        recovered = Clock().now()
        await Clock().sleep(AFTER_FAULTS_MS if load else 0)
        await callers.finish()
        await Clock().sleep(SETTLING_MS)
    finally:
        await asyncio.gather(*(process.end() for process in processes))
        await cancel_task(lag_task)
        for link in cluster.store_links.values():
            await link.__aexit__()
        await cluster.stop()
    verdict = PlatformVerdict(
        calls=callers.calls,
        ledger=cluster.ledger,
        fault_log=fault_log,
        grace_ms=STOP_GRACE_S * MS_PER_SECOND,
        retry_rule=RetryBudgetRule(ratio=RetrySection().ratio, slack=retry_slacks[1]),
    )
    verdict.paddings = PADDINGS if load else {}
    verdict.is_planned = planned
    violations = verdict.find_violations()
    instances = [instance for process in processes for instance in process.instances]
    ends = find_ends(instances, until=Clock().now())
    violations += [str(end) for end in ends] + find_faults(ends, hosts=hosts)
    if planned:
        report_moves(callers.calls, cluster.ledger, verdict, fault_log, directory)
    if load:
        violations += judge_load(
            callers.calls, cluster.ledger, since=recovered, connections=connections
        )
    complete = sum(call.is_complete and call.status == OK for call in callers.calls)
    if not complete:
        violations.append("NONE: no request was answered")
    print(
        f"seed {seed}: {len(callers.calls)} calls, {complete} answered with {OK}, "
        f"{len(fault_log.faults)} faults, longest delay of the event loop {lag.max_ms} ms"
    )
    print(describe_memory(instances))
    lines = [f"{fault.began} {fault}" for fault in fault_log.faults]
    lines += [f"{call.sent} {verdict.describe(call)}" for call in callers.calls]
    (directory / RECORD_FILE).write_text(
        "\n".join([*sorted(lines), describe_memory(instances), *violations]) + "\n"
    )
    return violations


async def _add_upstreams(injector: PlatformFaultInjector, *, size: int, engines: int = 0) -> None:
    for number in range(size + engines):
        slow = {"event_ms": LONG_EVENT_MS[number % len(LONG_EVENT_MS)], "events": STREAM_EVENTS}
        await injector.add_upstream(MODEL_SERVICE, slow)
    for _ in range(size):
        await injector.add_upstream(
            NOTES_SERVICE, {"event_ms": SHORT_EVENT_MS, "events": STREAM_EVENTS}
        )
        await injector.add_upstream(PLAIN_SERVICE, {})


async def _start_hosts(
    cluster: PlatformCluster,
    processes: list[PlatformHostProcess],
    fault_log: FaultLog,
    *,
    hosts: int,
    directory: Path,
    retry_slack: float | None,
    command: Sequence[str],
) -> None:
    # Another soak on this computer could take the port of a host that is down.
    ip = f"127.{os.getpid() >> 14 & 0xFF | 1}.{os.getpid() >> 7 & 0x7F}.{os.getpid() & 0x7F | 0x80}"
    seeds: tuple[str, ...] = ()
    for number in range(hosts):
        name = f"h{number}"
        settings = await cluster.make_settings(
            name,
            seeds=seeds,
            stop_grace_s=STOP_GRACE_S,
            ip=ip,
            retry_slack=retry_slack,
            memory_mb=MEMORY_MB,
            file_descriptors=FILE_DESCRIPTORS,
        )
        seeds = (*seeds, settings.host.peers)[:SEEDS]
        process = PlatformHostProcess(
            name=name,
            settings=settings,
            directory=directory,
            fault_log=fault_log,
            command=command,
        )
        processes.append(process)
        await process.start()
    await asyncio.gather(*(process.wait_until_ready() for process in processes))


def main(
    seed: int = 1,
    seconds: float = 30.0,
    hosts: int = 6,
    keep: str = "",
    limits: bool = False,
    refusals: bool = False,
    cuts: bool = False,
    parts: bool = False,
    crowds: bool = False,
    load: bool = False,
    connections: bool = False,
    drains: bool = False,
    second_answers: bool = False,
    planned: bool = False,
    garbage: bool = False,
    watches: bool = False,
) -> None:
    """Run the soak.

    :param seed: Seed of all random choices.
    :param seconds: Time during which faults are injected, in seconds.
    :param hosts: Number of host processes.
    :param keep: Directory for settings and logs; empty creates a temporary one, which is kept.
    :param limits: Whether upstreams name rate limits meanwhile.
    :param refusals: Whether most upstreams of a service refuse everything at times.
    :param cuts: Whether hosts are cut off from all upstreams at times.
    :param parts: Whether requests with one part in their prompts crash upstreams.
    :param crowds: Whether most new connections go to one host at times.
    :param load: Whether accounts, callers, plain upstreams and engines are uneven.
    :param connections: Whether it is a violation that a plain upstream resets connections.
    :param drains: Whether the store comes back from older copies and upstreams leave after that.
    :param second_answers: Whether upstreams send answers a second time, late.
    :param planned: Whether only planned work is done.
    :param garbage: Whether upstreams send answers without end, and hosts get series of SIGHUP.
    :param watches: Whether watches of the store are lost.
    """
    directory = Path(keep or mkdtemp(prefix="tanagerscale-platform-soak-"))
    directory.mkdir(parents=True, exist_ok=True)
    logging.basicConfig(filename=directory / "upstreams.log")
    print(f"settings and logs: {directory}; seed {seed}", flush=True)
    violations = asyncio.run(
        run_soak(
            seed=seed,
            seconds=seconds,
            hosts=hosts,
            directory=directory,
            limits=limits,
            refusals=refusals,
            cuts=cuts,
            parts=parts,
            crowds=crowds,
            load=load,
            connections=connections,
            drains=drains,
            second_answers=second_answers,
            planned=planned,
            garbage=garbage,
            watches=watches,
        )
    )
    for violation in violations:
        print(violation)
    print("every guarantee held" if not violations else "a guarantee was BROKEN")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    run_main(main)
