"""``make soak``: injects random failures into real processes and counts the results."""

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
from standins.disturbances import FaultInjector
from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.observers import EngineRestarter
from standins.observers import Operators
from standins.observers import RevisionMonitor
from standins.verdict import Verdict
from standins.verdict import compute_verdict
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
MAX_CRASHES = 2
"""Most engines that one request may crash, whichever hosts it is sent to."""
CRASHING_INTERVAL_MS = 3_000
MAX_EXAMPLES = 10
REPORTS_FILE = "reports.jsonl"
TRACEBACK = "Traceback (most recent call last)"


@final
class Soak:
    """One soak run.

    :param cluster: Processes of the cluster.
    :param session: HTTP session of the callers and monitors.
    :param seed: Seed of the random choices of callers, operators and failures.
    """

    def __init__(self, *, cluster: Cluster, session: aiohttp.ClientSession, seed: int) -> None:
        self._cluster = cluster
        self._clock = Clock()
        self._started_ms = self._clock.now()
        self._balancer = Balancer(cluster=cluster, session=session)
        self._monitor = RevisionMonitor(cluster=cluster, session=session)
        self._restarter = EngineRestarter(cluster=cluster, log=self._log)
        self._operators = Operators(cluster=cluster, rng=Random(seed + 1), log=self._log)
        self._fault_injector = FaultInjector(cluster=cluster, rng=Random(seed), log=self._log)
        self._workload = Workload(
            session=session,
            get_urls=self._balancer.urls,
            model=PLAN.models[0],
            objective=cluster.declarations.objective,
            service=PLAN.service,
            seed=seed,
        )

    async def run(self, *, seconds: float, crashing: bool) -> bool:
        """Run the soak test.

        :param seconds: Time during which failures are injected, in seconds.
        :param crashing: Whether one caller repeatedly sends a request that crashes engines.
        :returns: Whether every guarantee held.
        """
        await self._cluster.start_hosts()
        applied = await self._cluster.apply(author="soak")
        if applied.returncode:
            print(applied.output, applied.errors)
            return False
        async with _background(
            self._balancer.run_forever(),
            self._monitor.run_forever(),
            self._restarter.run_forever(),
        ):
            await self._balancer.wait_until_ready(PLAN.hosts)
            self._start_callers(crashing=crashing)
            async with _background(
                self._fault_injector.run_forever(), self._operators.run_forever()
            ):
                await self._clock.sleep(round(seconds * MS_PER_SECOND))
            self._log("no further failures are injected; waiting for recovery")
            await self._fault_injector.wait_for_recovery()
            await self._workload.finish()
            converged = await self._monitor.wait_for_convergence()
        return self._report(converged=converged)

    def _start_callers(self, *, crashing: bool) -> None:
        keys = [account_key(account) for account in ACCOUNTS]
        plan = CallerKind(name="plan", key=keys[0], tokens=(100, 400), stream=False)
        call_sheet = CallerKind(name="sheet", key=keys[1], tokens=(100, 400))
        check = CallerKind(name="check", key=keys[2], tokens=(5, 30))
        booking = CallerKind(name="booking", key=keys[0], pause_ms=(50, 400))
        self._workload.start_answer_callers(plan, 4)
        self._workload.start_answer_callers(call_sheet, 4)
        self._workload.start_answer_callers(check, 6)
        self._workload.start_booking_callers(booking, 6)
        if crashing:
            kind = CallerKind(name="poison", key=keys[3])
            self._workload.start_crashing_caller(kind, interval_ms=CRASHING_INTERVAL_MS)

    def _report(self, *, converged: bool) -> bool:
        self._workload.write_reports(self._cluster.directory / REPORTS_FILE)
        verdict = compute_verdict(
            answers=self._workload.answers,
            bookings=self._workload.bookings,
            generations=self._cluster.executions(self._cluster.engines),
            booked=self._cluster.executions(self._cluster.services),
        )
        self._print_counts(verdict)
        faults = self._find_other_faults(converged=converged)
        for fault in faults:
            print(f"fault: {fault}")
        for example in verdict.examples[:MAX_EXAMPLES]:
            print(example)
        passed = verdict.passed and verdict.complete > 0 and not faults
        print("every guarantee held" if passed else "a guarantee was BROKEN")
        return passed

    def _print_counts(self, verdict: Verdict) -> None:
        refused = [
            item for item in self._workload.crashing_answers if item.state is AnswerState.REFUSED
        ]
        print(f"failures injected: {len(self._fault_injector.injected)}")
        print(f"answers complete: {verdict.complete}, answers resumed by cursor: {verdict.resumed}")
        print(f"bookings made: {verdict.booked}, unknown: {verdict.unknown}", end=", ")
        print(f"refused: {verdict.not_executed}")
        print(f"exit codes of operators: {sorted(self._operators.exit_codes)}")
        print(f"engines crashed by a request: {self._restarter.crashes}", end=", ")
        print(f"times it was sent: {len(self._workload.crashing_answers)}, refused: {len(refused)}")
        print(f"bookings executed repeatedly: {verdict.duplicated}, wrong answers: {verdict.wrong}")
        print(f"lost: {verdict.lost} answers, {verdict.lost_bookings} bookings", end="; ")
        print(f"of the lost answers finally refused, for example by quarantine: {verdict.refused}")
        print(f"executed although reported as not executed: {verdict.executed_but_denied}")

    def _find_other_faults(self, *, converged: bool) -> list[str]:
        faults = list(self._monitor.violations)
        if not converged:
            faults.append("the hosts did not converge on the newest revision")
        if self._restarter.crashes > MAX_CRASHES:
            faults.append(
                f"one request crashed {self._restarter.crashes} engines, more than allowed"
            )
        faults += [
            f"{name} ended unexpectedly with exit code {host.returncode}"
            for name, host in self._cluster.hosts.items()
            if not host.running
        ]
        # Records that begin in capitals are faults that only the fault injector can detect.
        faults += [text for text in self._fault_injector.injected if text[:3].isupper()]
        faults += [f"the command-line tool failed: {text}" for text in self._operators.tracebacks]
        faults += [
            f"traceback in {process.log}"
            for process in self._cluster.launcher.processes
            if TRACEBACK in process.errors()
        ]
        return faults

    def _log(self, text: str) -> None:
        elapsed = (self._clock.now() - self._started_ms) / MS_PER_SECOND
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


async def _run(*, seconds: float, seed: int, crashing: bool, directory: Path) -> bool:
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        Cluster(plan=PLAN, directory=directory) as cluster,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        soak = Soak(cluster=cluster, session=session, seed=seed)
        return await soak.run(seconds=seconds, crashing=crashing)


def main(seconds: float = 120.0, seed: int = 1, poison: bool = True, keep: str = "") -> None:
    """Run the soak test.

    :param seconds: Time during which failures are injected, in seconds.
    :param seed: Seed of the random choices of callers, operators and failures.
    :param poison: Whether one caller repeatedly sends a request that crashes engines.
    :param keep: Directory for settings and logs; empty creates a temporary directory, which is
        kept.
    """
    directory = Path(keep or mkdtemp(prefix="tanagerscale-soak-"))
    directory.mkdir(parents=True, exist_ok=True)
    print(f"logs and journals: {directory}; seed {seed}")
    passed = asyncio.run(_run(seconds=seconds, seed=seed, crashing=poison, directory=directory))
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    run_main(main)
