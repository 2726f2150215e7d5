"""``make soak``: a bounded mix of all failures over real processes, and counts of the outcome."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
import sys
from tempfile import mkdtemp
from typing import Any
from typing import final

import aiohttp

from standins._common import cancel_task
from standins._common import run_main
from standins.balancer import Balancer
from standins.caller_reports import AnswerState
from standins.cluster_files import account_key
from standins.disturbances import Disturbances
from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.observers import Operators
from standins.observers import Restarter
from standins.observers import RevisionWatch
from standins.verdict import Verdict
from standins.verdict import judge
from standins.workload import CallerKind
from standins.workload import Workload
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock

ACCOUNTS = ("crew-north", "crew-south", "chiefs", "tester")
PLAN = ClusterPlan(
    hosts=6,
    engines=5,
    services=3,
    accounts=ACCOUNTS,
    engine_options={"memory_tokens": "8000", "max_batch": "16", "step_ms": "20"},
    service_timeout_ms=3_000,
    list_lag_ms=500,
    stop_grace_ms=20_000,
)
MOST_CRASHES = 2
"""Engines that one request may cost, whichever hosts it is sent to."""
POISON_EVERY_MS = 3_000
SHOWN_EXAMPLES = 10
REPORTS_FILE = "reports.jsonl"
TRACEBACK = "Traceback (most recent call last)"


@final
class Soak:
    """One run.

    :param cluster: The processes.
    :param session: The callers' connections.
    :param seed: Seed of callers and failures.
    """

    def __init__(self, *, cluster: Cluster, session: aiohttp.ClientSession, seed: int) -> None:
        self._cluster = cluster
        self._clock = Clock()
        self._began = self._clock.now()
        self._balancer = Balancer(cluster=cluster, session=session)
        self._watch = RevisionWatch(cluster=cluster, session=session)
        self._restarter = Restarter(cluster=cluster, say=self._say)
        self._operators = Operators(cluster=cluster, rng=Random(seed + 1), say=self._say)
        self._disturbances = Disturbances(cluster=cluster, rng=Random(seed), say=self._say)
        self._workload = Workload(
            session=session,
            hosts=self._balancer.urls,
            model=PLAN.models[0],
            objective=cluster.declarations.objective,
            service=PLAN.service,
            seed=seed,
        )

    async def run(self, *, seconds: float, poison: bool) -> bool:
        """Run it, and return whether every promise held.

        :param seconds: How long failures are inflicted.
        :param poison: Whether one caller sends a request that crashes engines.
        """
        await self._cluster.start_hosts()
        applied = await self._cluster.apply(author="soak")
        if applied.returncode:
            print(applied.output, applied.errors)
            return False
        async with _background(
            self._balancer.run_forever(),
            self._watch.run_forever(),
            self._restarter.run_forever(),
        ):
            await self._balancer.wait_for(PLAN.hosts)
            self._start_callers(poison=poison)
            async with _background(self._disturbances.run_forever(), self._operators.run_forever()):
                await self._clock.sleep(round(seconds * MS_PER_SECOND))
            self._say("no further failures; mending")
            await self._disturbances.mend()
            await self._workload.finish()
            settled = await self._watch.settle()
        return self._report(settled=settled)

    def _start_callers(self, *, poison: bool) -> None:
        keys = [account_key(account) for account in ACCOUNTS]
        plan = CallerKind(name="plan", key=keys[0], tokens=(100, 400), stream=False)
        sheet = CallerKind(name="sheet", key=keys[1], tokens=(100, 400))
        check = CallerKind(name="check", key=keys[2], tokens=(5, 30))
        booking = CallerKind(name="booking", key=keys[0], pause_ms=(50, 400))
        self._workload.start_askers(plan, 4)
        self._workload.start_askers(sheet, 4)
        self._workload.start_askers(check, 6)
        self._workload.start_bookers(booking, 6)
        if poison:
            kind = CallerKind(name="poison", key=keys[3])
            self._workload.start_poison(kind, every_ms=POISON_EVERY_MS)

    def _report(self, *, settled: bool) -> bool:
        self._workload.write_reports(self._cluster.directory / REPORTS_FILE)
        verdict = judge(
            answers=self._workload.answers,
            bookings=self._workload.bookings,
            generations=self._cluster.executions(self._cluster.engines),
            booked=self._cluster.executions(self._cluster.services),
        )
        self._print_counts(verdict)
        faults = self._other_faults(settled=settled)
        for fault in faults:
            print(f"fault: {fault}")
        for example in verdict.examples[:SHOWN_EXAMPLES]:
            print(example)
        held = verdict.held and verdict.whole > 0 and not faults
        print("every promise held" if held else "a promise was BROKEN")
        return held

    def _print_counts(self, verdict: Verdict) -> None:
        refused = [item for item in self._workload.poisoned if item.state is AnswerState.REFUSED]
        print(f"failures inflicted: {len(self._disturbances.done)}")
        print(f"answers whole: {verdict.whole}, of these by cursor: {verdict.resumed}")
        print(f"bookings made: {verdict.booked}, unknown: {verdict.unknown}", end=", ")
        print(f"refused: {verdict.not_executed}")
        print(f"exit codes of operators: {sorted(self._operators.codes)}")
        print(f"engines crashed by a request: {self._restarter.crashes}", end=", ")
        print(f"sendings of it: {len(self._workload.poisoned)}, refused: {len(refused)}")
        print(f"doubled: {verdict.doubled} bookings, {verdict.wrong} answers that differ")
        print(f"lost: {verdict.lost} answers, {verdict.lost_bookings} bookings", end="; ")
        print(f"of the answers finally refused, as by quarantine: {verdict.refused}")
        print(f"wrongly called not executed: {verdict.wrongly_not_executed}")

    def _other_faults(self, *, settled: bool) -> list[str]:
        faults = list(self._watch.broken)
        if not settled:
            faults.append("the hosts never agreed on the newest revision")
        if self._restarter.crashes > MOST_CRASHES:
            faults.append(f"one request crashed {self._restarter.crashes} engines")
        faults += [
            f"{name} ended by itself with {host.returncode}"
            for name, host in self._cluster.hosts.items()
            if not host.running
        ]
        # Notes in capitals are faults that only the one who inflicts failures can see.
        faults += [text for text in self._disturbances.done if text[:3].isupper()]
        faults += [f"the command line failed: {text}" for text in self._operators.tracebacks]
        faults += [
            f"a traceback in {process.log}"
            for process in self._cluster.launcher.processes
            if TRACEBACK in process.errors()
        ]
        return faults

    def _say(self, text: str) -> None:
        elapsed = (self._clock.now() - self._began) / MS_PER_SECOND
        print(f"{elapsed:6.1f} s  {text}", flush=True)


@asynccontextmanager
async def _background(*loops: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    tasks = [asyncio.create_task(loop) for loop in loops]
    try:
        yield
    finally:
        failed = [task.exception() for task in tasks if task.done() and not task.cancelled()]
        for task in tasks:
            if not task.done():
                await cancel_task(task)
    for error in failed:
        if error is not None:
            raise error


async def _run(*, seconds: float, seed: int, poison: bool, directory: Path) -> bool:
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        Cluster(plan=PLAN, directory=directory) as cluster,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        soak = Soak(cluster=cluster, session=session, seed=seed)
        return await soak.run(seconds=seconds, poison=poison)


def main(seconds: float = 120.0, seed: int = 1, poison: bool = True, keep: str = "") -> None:
    """Run the soak test.

    :param seconds: How long failures are inflicted.
    :param seed: Seed of callers and failures.
    :param poison: Whether one caller sends a request that crashes engines.
    :param keep: Directory for settings and logs; empty makes one under the temporary directory.
    """
    directory = Path(keep or mkdtemp(prefix="tanagerscale-soak-"))
    directory.mkdir(parents=True, exist_ok=True)
    print(f"logs and journals: {directory}; seed {seed}")
    held = asyncio.run(_run(seconds=seconds, seed=seed, poison=poison, directory=directory))
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    run_main(main)
