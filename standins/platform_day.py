"""Plays a day of rolling stops on real processes and judges each answer that ended early."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
import logging
import os
from pathlib import Path
from random import Random
import sys
from tempfile import mkdtemp
from typing import Any
from typing import Final

import msgspec

from standins._common import cancel_task
from standins._common import run_main
from standins.platform_day_batch import EVENT_TOKENS
from standins.platform_day_batch import MEMORY_TOKENS
from standins.platform_day_batch import SLOTS
from standins.platform_day_callers import DayCallers
from standins.platform_day_callers import day_configuration
from standins.platform_day_engine import PLAIN_SLOTS
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
from standins.platform_day_stops import RollingStops
from standins.platform_day_verdict import DayVerdict
from standins.platform_day_verdict import judge
from standins.platform_soak import LoopLag
from standins.platform_world import PlatformCluster
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.generated.gateway import RetrySection

MODEL_SERVICE: Final = "dispo-llm"
PLAIN_SERVICE: Final = "crew-portal"
MODEL_ZONES: Final = ("wankdorf", "wankdorf", "bumpliz", "bumpliz", "ostermundigen")
HOST_ZONES: Final = (
    "wankdorf", "bumpliz", "ostermundigen", "wankdorf", "bumpliz", "ostermundigen",
    "wankdorf", "bumpliz", "wankdorf",
)  # fmt: skip
"""Failure domains of the hosts; a smaller installation has the first ones."""
CONNECTIONS: Final = {MODEL_SERVICE: 282, PLAIN_SERVICE: 110}
HEARTBEAT_S: Final = 1.2
STOP_GRACE_S: Final = 8
SEEDS: Final = 3
SETTLING_S: Final = 1.0
LEAVING_INTERVAL_S: Final = 8.0
LEAVING_NOTICE_S: Final = 2.0
RECORD_FILE: Final = "record.txt"
ARRIVALS_FILE: Final = "arrivals.txt"
ENGINE: Final = {
    "slots": SLOTS,
    "kvCacheTokens": MEMORY_TOKENS,
    "kvTokenBytes": 163840,
    "linkMbps": 24000.0,
    "moves": True,
    "backups": True,
    "stride": EVENT_TOKENS,
    "pinMs": 4000.0,
    "holdMs": 2000.0,
    "handleS": 5.0,
    "models": [{"name": "m"}],
}


@dataclass(slots=True)
class DayResult:
    """Outcome of a day.

    :param verdict: Its findings.
    :param report: Lines to print.
    """

    verdict: DayVerdict
    report: list[str]


class Day:
    """Store, upstreams, hosts and callers of one day.

    :param seed: Seed of all random choices.
    :param hosts: Number of host processes.
    :param directory: Directory for settings, logs and the record.
    :param load: Factor of the rates of requests.
    :param slowness: Factor of the duration of the engines' steps.
    """

    def __init__(
        self, *, seed: int, hosts: int, directory: Path, load: float, slowness: float
    ) -> None:
        self.ledger = DayLedger()
        self.hosts: list[DayHost] = []
        self.upstreams: list[DayUpstream] = []
        self._engines: dict[str, DayUpstream] = {}
        self._seed = seed
        self._size = hosts
        self.directory = directory
        self._slowness = slowness
        self._rng = Random(seed)
        self._cluster = PlatformCluster()
        self._address = VirtualAddress(hosts=self.hosts)
        self._tasks: list[asyncio.Task[None]] = []
        self.callers = DayCallers(
            address=self._address, ledger=self.ledger, rng=Random(seed + 1), load=load
        )

    async def start(self) -> None:
        """Start everything and wait until all hosts are ready."""
        await self._cluster.start()
        self._cluster.configure(
            day_configuration(
                model_service=MODEL_SERVICE, plain_service=PLAIN_SERVICE, engine=ENGINE
            )
        )
        for zone in MODEL_ZONES:
            await self._add_upstream(MODEL_SERVICE, zone)
        for zone in dict.fromkeys(MODEL_ZONES):
            await self._add_upstream(PLAIN_SERVICE, zone)
        await self._start_hosts()
        self._tasks.append(asyncio.create_task(self._address.run_forever()))
        await self._address.wait_until_ready()

    async def play(self, *, seconds: float, leaving: bool) -> None:
        """Let callers send requests while hosts are stopped."""
        duration_ms = seconds * MS_PER_SECOND
        stops = RollingStops(hosts=self.hosts, is_busy=self.callers.is_busy)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.callers.run(duration_ms=duration_ms))
            tasks.create_task(stops.run(rng=Random(self._seed + 2), duration_ms=duration_ms))
            if leaving:
                tasks.create_task(self._replace_engines(now_ms() + duration_ms))
        await asyncio.sleep(SETTLING_S)

    async def stop(self) -> None:
        """End all processes and servers."""
        await asyncio.gather(*(host.end() for host in self.hosts))
        for task in self._tasks:
            await cancel_task(task)
        for upstream in self.upstreams:
            await upstream.stop()
        for link in self._cluster.store_links.values():
            await link.__aexit__()
        await self._cluster.stop()

    async def _start_hosts(self) -> None:
        # Another run on this computer could take the port of a host that is down.
        process = os.getpid()
        ip = f"127.{process >> 14 & 0xFF | 1}.{process >> 7 & 0x7F}.{process & 0x7F | 0x80}"
        seeds: tuple[str, ...] = ()
        for number, zone in enumerate(HOST_ZONES[: self._size]):
            name = f"{zone}-{HOST_ZONES[: number + 1].count(zone)}"
            settings = await self._cluster.make_settings(
                name, seeds=seeds, stop_grace_s=STOP_GRACE_S, ip=ip
            )
            seeds = (*seeds, settings.host.peers)[:SEEDS]
            section = msgspec.structs.replace(
                settings.host,
                failure_domain=zone,
                processor_share=0.537,
                processor_speed=2.0,
                memory_mb=300.0,
                file_descriptors=4100,
                link_mbps=1000.0,
            )
            settings = msgspec.structs.replace(
                settings, host=section, retries=RetrySection(ratio=0.2, window_s=10, slack=58)
            )
            host = DayHost(settings=settings, directory=self.directory)
            self.hosts.append(host)
            await host.start()
        self.ledger.hosts = self._cluster.ledger.hosts

    async def _add_upstream(self, service: str, zone: str) -> None:
        upstream = DayUpstream(
            name=f"i-{self._rng.getrandbits(32):08x}",
            zone=zone,
            ledger=self.ledger,
            engines=self._engines,
            max_connections=CONNECTIONS[service],
            is_model=service == MODEL_SERVICE,
            rng=Random(self._rng.random()),
            slowness=self._slowness,
        )
        await upstream.start()
        self.upstreams.append(upstream)
        self._tasks.append(asyncio.create_task(self._beat(upstream, service)))

    async def _beat(self, upstream: DayUpstream, service: str) -> None:
        """Write the entry of an upstream at intervals until it has ended."""
        sequence, born = 0, Clock().wall()
        while not upstream.has_ended:
            sequence += 1
            entry: dict[str, Any] = {
                "service": service,
                "address": upstream.address,
                "zone": upstream.zone,
                "version": "v1",
                "slots": SLOTS if upstream.is_model else PLAIN_SLOTS,
                "state": "ready" if upstream.leaves_at is None else "draining",
                "coldRemainingMs": 0,
                "sequence": sequence,
                "born": born,
            }
            self._cluster.put_entry(upstream.name, entry)
            await upstream.wait_for_change(HEARTBEAT_S)
        self._cluster.store.delete(f"servers/{upstream.name}")

    async def _replace_engines(self, ends_at: float) -> None:
        """Let engines leave one after the other, each after another one has been added."""
        while now_ms() + LEAVING_INTERVAL_S * MS_PER_SECOND < ends_at:
            await asyncio.sleep(LEAVING_INTERVAL_S)
            engines = [one for one in self.upstreams if one.is_model and not one.has_ended]
            engine = self._rng.choice(engines)
            await self._add_upstream(MODEL_SERVICE, engine.zone)
            engine.leave(at=now_ms() + LEAVING_NOTICE_S * MS_PER_SECOND)
            await asyncio.sleep(LEAVING_NOTICE_S)
            await engine.stop()


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
    """
    day = Day(seed=seed, hosts=hosts, directory=directory, load=load, slowness=slowness)
    day.ledger.keeps_handles, day.ledger.link_slowness = keeps_handles, link_slowness
    lag = LoopLag()
    try:
        await day.start()
        lag_task = asyncio.create_task(lag.run_forever())
        began = now_ms()
        await day.play(seconds=seconds, leaving=leaving)
        await cancel_task(lag_task)
    finally:
        await day.stop()
    return _report(day, seed, began, lag)


def _report(day: Day, seed: int, began: float, lag: LoopLag) -> DayResult:
    instances = [instance for host in day.hosts for instance in host.instances]
    calls = day.callers.calls
    verdict = judge(calls, day.ledger.arrivals, instances, day.ledger.lengths)
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
    return DayResult(verdict, report)


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
    hosts: int = 9,
    keep: str = "",
    load: float = 1.0,
    slowness: float = 1.0,
    leaving: bool = False,
    keeps_handles: bool = False,
    link_slowness: float = 1.0,
) -> None:
    """Play a day.

    :param seed: Seed of all random choices.
    :param seconds: Time during which requests are sent and hosts are stopped.
    :param hosts: Number of host processes.
    :param keep: Directory for settings and logs; empty creates a temporary one, which is kept.
    :param load: Factor of the rates of requests.
    :param slowness: Factor of the duration of the engines' steps.
    :param leaving: Whether engines leave meanwhile.
    :param keeps_handles: Whether a handle stays valid when the same run is copied again.
    :param link_slowness: Factor of the time that a copy of a run takes.
    """
    directory = Path(keep or mkdtemp(prefix="tanagerscale-day-"))
    directory.mkdir(parents=True, exist_ok=True)
    logging.basicConfig(filename=directory / "upstreams.log")
    print(f"settings and logs: {directory}; seed {seed}", flush=True)
    result = asyncio.run(
        run_day(
            seed=seed,
            seconds=seconds,
            hosts=hosts,
            directory=directory,
            load=load,
            slowness=slowness,
            leaving=leaving,
            keeps_handles=keeps_handles,
            link_slowness=link_slowness,
        )
    )
    print(*result.report, sep="\n")
    lost = result.verdict.lost
    print("no answer was LOST" if not lost else f"{len(lost)} answers were LOST")
    sys.exit(1 if lost or result.verdict.wrong else 0)


if __name__ == "__main__":
    run_main(main)
