"""``make demo``: kills an engine and a host of a loaded cluster and checks every answer."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys
from tempfile import TemporaryDirectory
from typing import final

import aiohttp
from returns.pipeline import is_successful
from rich.console import Console

from standins._common import cancel_task
from standins._common import run_main
from standins._engine_types import ExecutionReports
from standins.balancer import Balancer
from standins.demo_tables import Guarantee
from standins.demo_tables import print_caller_results
from standins.demo_tables import print_guarantees
from standins.demo_tables import print_measures
from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.observers import RevisionMonitor
from standins.processes import ROOT
from standins.verdict import compute_verdict
from standins.workload import CallerKind
from standins.workload import Workload
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.declarations import read_declarations
from tanagerscale.generated.declarations import DeclarationSet

EXAMPLE_DIRECTORY = ROOT / "examples" / "annexe-technique"
KEYS_FILE = EXAMPLE_DIRECTORY / "example-keys.txt"
# Little memory makes long answers compete; slow steps let a kill interrupt answers half way.
ENGINE_OPTIONS = {"memory_tokens": "2400", "max_batch": "32", "step_ms": "20"}
ENGINES = 3
HOSTS = 3
# Fractions of the run after which each process is killed.
KILL_ENGINE_FRACTION = 0.3
KILL_HOST_FRACTION = 0.6
FINAL_REQUEST_TOKENS = 300
REPORTS_FILE = "reports.jsonl"
FINAL_REQUESTS = 3
FINAL_REQUESTS_START_MS = 1_500


@final
class Demo:
    """One run of the demo.

    :param cluster: Processes of the cluster.
    :param workload: Callers of the cluster.
    :param balancer: Load balancer that offers the ready hosts to the callers.
    :param monitor: Reads the status of the hosts.
    :param console: Console for progress and results.
    """

    def __init__(
        self,
        *,
        cluster: Cluster,
        workload: Workload,
        balancer: Balancer,
        monitor: RevisionMonitor,
        console: Console,
    ) -> None:
        self._cluster = cluster
        self._workload = workload
        self._balancer = balancer
        self._monitor = monitor
        self._console = console
        self._clock = Clock()
        self._started_ms = self._clock.now()
        self._preemptions: dict[str, int] = {}

    async def run(self, *, kinds: dict[str, CallerKind], duration_ms: int) -> bool:
        """Run the demo.

        :param kinds: Kinds of callers, by name.
        :param duration_ms: Time during which callers start new requests, in milliseconds.
        :returns: Whether every guarantee held.
        """
        self._log(f"running: {HOSTS} hosts, {ENGINES} engines, a booking service and a store")
        applied = await self._cluster.apply(author="demo", wait=True)
        self._console.print(applied.output + applied.errors, markup=False, highlight=False)
        if applied.returncode:
            return False
        await self._balancer.wait_until_ready(HOSTS)
        self._log("the declarations are in force at all hosts; starting the callers")
        await self._run_with_failures(kinds, duration_ms)
        stopped = await self._stop_gracefully(kinds["call-sheet"])
        return self._report(stopped)

    async def _run_with_failures(self, kinds: dict[str, CallerKind], duration_ms: int) -> None:
        self._workload.start_answer_callers(kinds["plan"], 4)
        self._workload.start_answer_callers(kinds["call-sheet"], 4)
        self._workload.start_answer_callers(kinds["check"], 6)
        self._workload.start_booking_callers(kinds["booking"], 2)
        await self._clock.sleep(round(duration_ms * KILL_ENGINE_FRACTION))
        engine = await self._find_busiest_engine()
        await self._cluster.engines[engine].kill()
        self._log(f"{engine}, the busiest engine, was killed (SIGKILL) while it generated answers")
        await self._clock.sleep(round(duration_ms * (KILL_HOST_FRACTION - KILL_ENGINE_FRACTION)))
        host = await self._find_busiest_host()
        await self._cluster.hosts[host].kill()
        self._log(f"{host}, the busiest host, was killed (SIGKILL) while it served answers")
        await self._clock.sleep(round(duration_ms * (1 - KILL_HOST_FRACTION)))

    async def _stop_gracefully(self, kind: CallerKind) -> bool:
        await self._workload.finish()
        await self._read_engines()
        # Started after all other callers, so that these answers are known to run during the stop.
        for number in range(FINAL_REQUESTS):
            self._workload.start_request(kind, f"last-{number}", FINAL_REQUEST_TOKENS)
        await self._clock.sleep(FINAL_REQUESTS_START_MS)
        hosts = [host for host in self._cluster.hosts.values() if host.running]
        self._log(f"{FINAL_REQUESTS} long answers are running; stopping all {len(hosts)} hosts")
        codes = await asyncio.gather(*(host.stop() for host in hosts))
        await self._workload.finish()
        self._log(f"the hosts stopped with exit codes {codes}")
        return not any(codes)

    def _report(self, stopped: bool) -> bool:
        answers, bookings = self._workload.answers, self._workload.bookings
        self._workload.write_reports(self._cluster.directory / REPORTS_FILE)
        verdict = compute_verdict(
            answers=answers,
            bookings=bookings,
            generations=self._cluster.executions(self._cluster.engines),
            booked=self._cluster.executions(self._cluster.services),
        )
        final_reports = [report for report in answers if report.ask.name.startswith("last-")]
        uninterrupted = not any(report.resumes or report.trials > 1 for report in final_reports)
        guarantees = [
            Guarantee(
                "every answer was complete, without repeated or reordered tokens", not verdict.wrong
            ),
            Guarantee("every request was answered", not verdict.lost),
            Guarantee("no booking was executed twice", not verdict.duplicated),
            Guarantee("every booking reported as made was executed", not verdict.lost_bookings),
            Guarantee(
                'nothing reported as "not executed" was executed', not verdict.executed_but_denied
            ),
            Guarantee("the graceful shutdown interrupted no answer", stopped and uninterrupted),
        ]
        print_caller_results(console=self._console, answers=answers, bookings=bookings)
        print_measures(
            console=self._console, answers=answers, preemptions=sum(self._preemptions.values())
        )
        print_guarantees(console=self._console, guarantees=guarantees, examples=verdict.examples)
        return all(guarantee.held for guarantee in guarantees) and verdict.complete > 0

    async def _find_busiest_engine(self) -> str:
        reports = await self._read_engines()
        return max(reports, key=lambda name: reports[name].followers)

    async def _find_busiest_host(self) -> str:
        statuses = await self._monitor.get_statuses()
        return max(statuses, key=lambda name: statuses[name].running)

    async def _read_engines(self) -> dict[str, ExecutionReports]:
        running = {name: item for name, item in self._cluster.engines.items() if item.running}
        reports = {
            name: await self._cluster.get(engine, "/admin/executions", ExecutionReports)
            for name, engine in running.items()
        }
        # The last count read from a killed engine is kept.
        self._preemptions |= {name: report.preemptions for name, report in reports.items()}
        return reports

    def _log(self, text: str) -> None:
        elapsed = (self._clock.now() - self._started_ms) / MS_PER_SECOND
        self._console.print(f"[bold]{elapsed:5.1f} s[/bold]  {text}", highlight=False)


def read_example_declarations() -> DeclarationSet:
    """Return the example declarations.

    :raises SystemExit: If they are invalid.
    """
    result = read_declarations(paths=[EXAMPLE_DIRECTORY / "declarations"])
    if not is_successful(result):
        sys.exit(f"The example declarations are invalid: {result.failure()}")
    return result.unwrap()


def read_keys() -> dict[str, str]:
    """Return the bearer keys of the example accounts, by account name."""
    lines = KEYS_FILE.read_text().splitlines()
    keys = [line for line in lines if line and not line.startswith("#")]
    return {key.rpartition(".")[0]: key for key in keys}


def caller_kinds(keys: dict[str, str]) -> dict[str, CallerKind]:
    """Return the kinds of callers in the demo, by name.

    :param keys: Bearer keys by account name.
    """
    return {
        "plan": CallerKind(
            name="plan", key=keys["supervisors-centre"], tokens=(150, 500), stream=False
        ),
        "call-sheet": CallerKind(name="call-sheet", key=keys["supervisors-cap"], tokens=(150, 500)),
        "check": CallerKind(name="check", key=keys["chiefs-centre"], tokens=(8, 30)),
        "booking": CallerKind(name="booking", key=keys["supervisors-centre"]),
    }


async def _run(*, seconds: float, seed: int, directory: Path) -> bool:
    declarations = read_example_declarations()
    plan = ClusterPlan(
        hosts=HOSTS,
        engines=ENGINES,
        engine_options=ENGINE_OPTIONS,
        models=tuple(declarations.models),
        base=declarations,
        service=declarations.services[0].name,
        failure_domains=tuple(dict.fromkeys(item.failure_domain for item in declarations.engines)),
        list_lag_ms=1_000,
    )
    console = Console(width=100)
    async with (
        Cluster(plan=plan, directory=directory) as cluster,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        balancer = Balancer(cluster=cluster, session=session)
        balancer_task = asyncio.create_task(balancer.run_forever())
        await cluster.start_hosts()
        workload = Workload(
            session=session,
            get_urls=balancer.urls,
            model=declarations.models[0],
            objective=declarations.objective,
            service=plan.service,
            seed=seed,
        )
        demo = Demo(
            cluster=cluster,
            workload=workload,
            balancer=balancer,
            monitor=RevisionMonitor(cluster=cluster, session=session),
            console=console,
        )
        passed = await demo.run(
            kinds=caller_kinds(read_keys()), duration_ms=round(seconds * MS_PER_SECOND)
        )
        await cancel_task(balancer_task)
        return passed


def main(seconds: float = 35.0, seed: int = 1, keep: str = "") -> None:
    """Run the demo.

    :param seconds: Time during which callers start new requests, in seconds.
    :param seed: Seed of the random choices of the callers.
    :param keep: Directory in which settings and logs are kept; if empty, they are deleted.
    """
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
        passed = asyncio.run(_run(seconds=seconds, seed=seed, directory=Path(keep)))
    else:
        with TemporaryDirectory() as directory:
            passed = asyncio.run(_run(seconds=seconds, seed=seed, directory=Path(directory)))
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    run_main(main)
