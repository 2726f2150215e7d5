"""Plays a day of rolling stops on real processes and judges each answer that ended early."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
import logging
import os
from pathlib import Path
from random import Random
import sys
from tempfile import mkdtemp
from typing import Final

import msgspec

from standins._common import cancel_task
from standins._common import run_main
from standins.fault_rule import describe_memory
from standins.fault_rule import find_ends
from standins.fault_rule import find_faults
from standins.platform_day_callers import DayCallers
from standins.platform_day_disruptions import DayDisruptions
from standins.platform_day_engine import DayUpstream
from standins.platform_day_hosts import DayHost
from standins.platform_day_hosts import VirtualAddress
from standins.platform_day_ledger import DayLedger
from standins.platform_day_ledger import now_ms
from standins.platform_day_records import HostInstance
from standins.platform_day_report import describe_idle_periods
from standins.platform_day_report import describe_stops
from standins.platform_day_report import format_arrivals
from standins.platform_day_report import format_instances
from standins.platform_day_report import format_table
from standins.platform_day_report import format_trace
from standins.platform_day_report import summarize
from standins.platform_day_sites import DREHPLAN
from standins.platform_day_sites import SITES
from standins.platform_day_sites import DaySite
from standins.platform_day_sites import day_configuration
from standins.platform_day_stops import RollingStops
from standins.platform_day_upstreams import DayUpstreams
from standins.platform_day_verdict import DayVerdict
from standins.platform_day_verdict import judge
from standins.platform_hups import HupSeries
from standins.platform_soak import LoopLag
from standins.platform_start import MODULE_COMMAND
from standins.platform_start import build_start_command
from standins.platform_world import PlatformCluster
from standins.watch_losses import WatchLosses
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.generated.gateway import RetrySection

STOP_GRACE_S: Final = 8
SEEDS: Final = 3
RETRY_SLACKS: Final = (40, 60)
"""Range of a setting that is changed before each SIGHUP."""
SETTLING_S: Final = 1.0
OK: Final = 200
RECORD_FILE: Final = "record.txt"
ARRIVALS_FILE: Final = "arrivals.txt"


@dataclass(slots=True)
class DayResult:
    """Outcome of a day.

    :param verdict: Its findings.
    :param report: Lines to print.
    :param faults: Processes that ended by themselves or didn't start, and an unserved day.
    """

    verdict: DayVerdict
    report: list[str]
    faults: list[str]


class Day:
    """Store, upstreams, hosts and callers of one day.

    :param seed: Seed of all random choices.
    :param hosts: Number of host processes.
    :param directory: Directory for settings, logs and the record.
    :param load: Factor of the rates of requests.
    :param slowness: Factor of the duration of the engines' steps.
    :param site: The deployment.
    """

    def __init__(
        self,
        *,
        seed: int,
        hosts: int,
        directory: Path,
        load: float,
        slowness: float,
        site: DaySite = DREHPLAN,
    ) -> None:
        self.site = site
        self.disruptions: list[str] = []
        self._command: Sequence[str] = MODULE_COMMAND
        self._hups = HupSeries(seed=seed + 4, slacks=RETRY_SLACKS)
        self.ledger = DayLedger()
        self.hosts: list[DayHost] = []
        self._seed = seed
        self._size = hosts
        self.directory = directory
        self._cluster = PlatformCluster()
        self._upstreams = DayUpstreams(
            cluster=self._cluster,
            ledger=self.ledger,
            rng=Random(seed),
            slowness=slowness,
            site=site,
        )
        self._address = VirtualAddress(hosts=self.hosts)
        self._tasks: list[asyncio.Task[None]] = []
        self._seeds: list[str] = []
        self.callers = DayCallers(
            address=self._address, ledger=self.ledger, rng=Random(seed + 1), load=load, site=site
        )

    @property
    def upstreams(self) -> list[DayUpstream]:
        """All upstreams so far."""
        return self._upstreams.all

    async def start(self) -> None:
        """Start everything and wait until all hosts are ready."""
        await self._cluster.start()
        if self.site.is_disturbed:
            self._command = await build_start_command(self.directory)
        self._cluster.configure(day_configuration(self.site))
        for zone in self.site.model_zones:
            await self._upstreams.add(self.site.model_service, zone)
        for zone in dict.fromkeys(self.site.model_zones):
            await self._upstreams.add(self.site.plain_service, zone)
        await self._start_hosts()
        self._tasks.append(asyncio.create_task(self._address.run_forever()))
        await self._address.wait_until_ready()

    async def play(self, *, seconds: float, leaving: bool, endless: bool = False) -> None:
        """Let callers send requests while hosts are stopped, and disturbed if the site is."""
        duration_ms = seconds * MS_PER_SECOND
        stops = RollingStops(hosts=self.hosts, is_busy=self.callers.is_busy)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.callers.run(duration_ms=duration_ms))
            tasks.create_task(stops.run(rng=Random(self._seed + 2), duration_ms=duration_ms))
            if leaving:
                tasks.create_task(self._upstreams.replace_engines(now_ms() + duration_ms))
            if self.site.is_disturbed:
                tasks.create_task(self._disturb(duration_ms, has_endless=endless))
        await self._hups.stop()
        await asyncio.sleep(SETTLING_S)

    async def stop(self) -> None:
        """End all processes and servers."""
        await asyncio.gather(*(host.end() for host in self.hosts))
        for task in self._tasks:
            await cancel_task(task)
        await self._upstreams.stop()
        for link in self._cluster.store_links.values():
            await link.__aexit__()
        await self._cluster.stop()

    async def _disturb(self, duration_ms: float, *, has_endless: bool) -> None:
        for host in self.hosts:
            host.on_start = self._hups.on_start
        disruptions = DayDisruptions(
            hosts=self.hosts,
            upstreams=self.upstreams,
            configure=self._configure,
            add_host=self._add_host,
            hups=self._hups,
            has_endless=has_endless,
        )
        self.disruptions = disruptions.done
        losses = WatchLosses(store=self._cluster.store)
        await asyncio.gather(
            disruptions.run(rng=Random(self._seed + 3), duration_ms=duration_ms),
            losses.run(rng=Random(self._seed + 5), duration_ms=duration_ms),
        )

    def _configure(self, version: int, spare_routes: int, account: str) -> None:
        self._cluster.configure(
            day_configuration(
                self.site, version=version, spare_routes=spare_routes, account=account
            )
        )

    async def _start_hosts(self) -> None:
        for _ in range(self._size):
            await self._add_host()
        self.ledger.hosts = self._cluster.ledger.hosts

    async def _add_host(self) -> None:
        # Another run on this computer could take the port of a host that is down.
        process = os.getpid()
        ip = f"127.{process >> 14 & 0xFF | 1}.{process >> 7 & 0x7F}.{process & 0x7F | 0x80}"
        zones = self.site.host_zones
        zone = zones[len(self.hosts) % len(zones)]
        name = f"{zone}-{sum(host.zone == zone for host in self.hosts) + 1}"
        settings = await self._cluster.make_settings(
            name, seeds=tuple(self._seeds), stop_grace_s=STOP_GRACE_S, ip=ip
        )
        self._seeds = [*self._seeds, settings.host.peers][:SEEDS]
        section = msgspec.structs.replace(
            settings.host,
            failure_domain=zone,
            processor_share=0.537,
            processor_speed=2.0,
            memory_mb=self.site.memory_mb,
            file_descriptors=4100,
            link_mbps=1000.0,
        )
        retries = RetrySection(ratio=0.2, window_s=10, slack=self.site.retry_slack)
        settings = msgspec.structs.replace(settings, host=section, retries=retries)
        host = DayHost(settings=settings, directory=self.directory, command=self._command)
        await host.start()
        self.hosts.append(host)


async def run_day(
    *,
    seed: int,
    seconds: float,
    hosts: int,
    directory: Path,
    load: float = 1.0,
    slowness: float = 1.0,
    leaving: bool = False,
    keeps_handles: bool = False,
    link_slowness: float = 1.0,
    site: DaySite = DREHPLAN,
    endless: bool = False,
) -> DayResult:
    """Play a day and judge it.

    :param seed: Seed of all random choices.
    :param seconds: Time during which requests are sent and hosts are stopped.
    :param hosts: Number of host processes.
    :param directory: Directory for settings, logs and the record.
    :param load: Factor of the rates of requests.
    :param slowness: Factor of the duration of the engines' steps.
    :param leaving: Whether engines leave meanwhile.
    :param keeps_handles: Whether a handle stays valid when the same run is copied again.
    :param link_slowness: Factor of the time that a copy of a run takes.
    :param site: The deployment.
    :param endless: Whether upstreams of a disturbed site send answers without end.
    """
    day = Day(seed=seed, hosts=hosts, directory=directory, load=load, slowness=slowness, site=site)
    day.ledger.keeps_handles, day.ledger.link_slowness = keeps_handles, link_slowness
    lag = LoopLag()
    try:
        await day.start()
        lag_task = asyncio.create_task(lag.run_forever())
        began = now_ms()
        await day.play(seconds=seconds, leaving=leaving, endless=endless)
        await cancel_task(lag_task)
    finally:
        await day.stop()
        ended = now_ms()
    return _report(day, seed, began, ended, lag)


def _report(day: Day, seed: int, began: float, ended: float, lag: LoopLag) -> DayResult:
    instances = [instance for host in day.hosts for instance in host.instances]
    calls = day.callers.calls
    verdict = judge(calls, day.ledger.arrivals, instances, day.ledger.lengths)
    ends = find_ends(instances, until=ended)
    faults = [str(end) for end in ends] + find_faults(ends, hosts=len(day.hosts))
    if not any(call.is_complete and call.status == OK for call in calls):
        faults.append("NONE: no request was served")
    preemptions = sum(one.batch.preemptions for one in day.upstreams)
    report = [
        f"seed {seed}: {len(calls)} requests, {len(instances)} processes, "
        f"{sum(one.terminated is not None for one in instances)} got SIGTERM, "
        f"{preemptions} preemptions, copies {dict(day.ledger.orders)}, "
        f"longest delay of the event loop {lag.max_ms} ms",
        *summarize(verdict, calls),
        *describe_idle_periods(day.ledger.arrivals),
        *describe_stops(instances),
        *_find_odd_ends(instances),
        describe_memory(instances),
        f"disruptions: {dict(Counter(day.disruptions))}, wrong answers "
        f"{sum(one.wrong.sent for one in day.upstreams)}",
        *faults,
        *(f"MEMORY: {text}" for text in day.ledger.foreign),
        *verdict.wrong,
        "around stops, the nearest to a loss first:",
        *format_table(verdict.around_stops),
        "elsewhere:",
        *format_table(verdict.elsewhere),
    ]
    traces = [format_trace(one) for one in (*verdict.around_stops, *verdict.elsewhere)]
    record = [*report, "", *(row for trace in traces for row in trace), ""]
    record += format_instances(instances, began)
    (day.directory / RECORD_FILE).write_text("\n".join(record) + "\n")
    rows = format_arrivals(day.ledger.arrivals)
    (day.directory / ARRIVALS_FILE).write_text("\n".join(rows) + "\n")
    return DayResult(verdict, report, faults)


def _find_odd_ends(instances: Sequence[HostInstance]) -> list[str]:
    """Return the processes that were killed or failed after SIGTERM."""
    return [
        f"PROCESS: {one.name} ended with {one.exit_code}{', SIGKILL' if one.killed else ''}: "
        f"{one.errors[-300:]}"
        for one in instances
        if one.terminated is not None and (one.killed or one.exit_code)
    ]


def main(
    seed: int = 1,
    seconds: float = 90.0,
    hosts: int = 0,
    keep: str = "",
    load: float = 1.0,
    slowness: float = 1.0,
    leaving: bool = False,
    keeps_handles: bool = False,
    link_slowness: float = 1.0,
    site: str = DREHPLAN.name,
    endless: bool = False,
) -> None:
    """Play a day.

    :param seed: Seed of all random choices.
    :param seconds: Time during which requests are sent and hosts are stopped.
    :param hosts: Number of host processes; 0 for those of the deployment.
    :param keep: Directory for settings and logs; empty creates a temporary one, which is kept.
    :param load: Factor of the rates of requests.
    :param slowness: Factor of the duration of the engines' steps.
    :param leaving: Whether engines leave meanwhile.
    :param keeps_handles: Whether a handle stays valid when the same run is copied again.
    :param link_slowness: Factor of the time that a copy of a run takes.
    :param site: Name of the deployment: drehplan-ch or rondes-tr.
    :param endless: Whether upstreams of rondes-tr send answers without end.
    """
    deployment = SITES[site]
    directory = Path(keep or mkdtemp(prefix="tanagerscale-day-"))
    directory.mkdir(parents=True, exist_ok=True)
    logging.basicConfig(filename=directory / "upstreams.log")
    print(f"settings and logs: {directory}; seed {seed}", flush=True)
    result = asyncio.run(
        run_day(
            seed=seed,
            seconds=seconds,
            hosts=hosts or len(deployment.host_zones),
            directory=directory,
            load=load,
            slowness=slowness,
            leaving=leaving,
            keeps_handles=keeps_handles,
            link_slowness=link_slowness,
            site=deployment,
            endless=endless,
        )
    )
    print(*result.report, sep="\n")
    lost = result.verdict.lost
    print("no answer was LOST" if not lost else f"{len(lost)} answers were LOST")
    print(f"{len(result.faults)} faults of processes" if result.faults else "no process FAULT")
    sys.exit(1 if lost or result.verdict.wrong or result.faults else 0)


if __name__ == "__main__":
    run_main(main)
