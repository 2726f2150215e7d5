"""``make demo``: a small cluster under load loses an engine and a host, and nobody an answer."""

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
from standins.demo_tables import Promise
from standins.demo_tables import print_measures
from standins.demo_tables import print_promises
from standins.demo_tables import print_seen
from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.observers import RevisionWatch
from standins.processes import ROOT
from standins.verdict import judge
from standins.workload import CallerKind
from standins.workload import Workload
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.declarations import read_declarations
from tanagerscale.generated.declarations import DeclarationSet

EXAMPLE = ROOT / "examples" / "annexe-technique"
KEYS_FILE = EXAMPLE / "example-keys.txt"
# Small enough for long plans to crowd, slow enough for a kill to hit answers half way.
ENGINE_OPTIONS = {"memory_tokens": "2400", "max_batch": "32", "step_ms": "20"}
ENGINES = 3
HOSTS = 3
# Parts of the run after which things happen.
KILL_ENGINE_AT = 0.3
KILL_HOST_AT = 0.6
LAST_PLAN_TOKENS = 300
REPORTS_FILE = "reports.jsonl"
LAST_PLANS = 3
START_OF_LAST_PLANS_MS = 1_500


@final
class Demo:
    """One run.

    :param cluster: The processes.
    :param workload: The callers.
    :param balancer: Offers the hosts.
    :param watch: Reads what the hosts say of themselves.
    :param console: Where it prints.
    """

    def __init__(
        self,
        *,
        cluster: Cluster,
        workload: Workload,
        balancer: Balancer,
        watch: RevisionWatch,
        console: Console,
    ) -> None:
        self._cluster = cluster
        self._workload = workload
        self._balancer = balancer
        self._watch = watch
        self._console = console
        self._clock = Clock()
        self._began = self._clock.now()
        self._preemptions: dict[str, int] = {}

    async def run(self, *, kinds: dict[str, CallerKind], duration_ms: int) -> bool:
        """Run it, and return whether every promise it shows held.

        :param kinds: The kinds of callers, by name.
        :param duration_ms: How long callers begin new requests, in milliseconds.
        """
        self._say(f"{HOSTS} hosts, {ENGINES} engines, a booking service and a store run")
        applied = await self._cluster.apply(author="demo", wait=True)
        self._console.print(applied.output + applied.errors, markup=False, highlight=False)
        if applied.returncode:
            return False
        await self._balancer.wait_for(HOSTS)
        self._say("the declarations are in force at all hosts; callers begin")
        await self._disturb(kinds, duration_ms)
        stopped = await self._stop_gracefully(kinds["call-sheet"])
        return self._report(stopped)

    async def _disturb(self, kinds: dict[str, CallerKind], duration_ms: int) -> None:
        self._workload.start_askers(kinds["plan"], 4)
        self._workload.start_askers(kinds["call-sheet"], 4)
        self._workload.start_askers(kinds["check"], 6)
        self._workload.start_bookers(kinds["booking"], 2)
        await self._clock.sleep(round(duration_ms * KILL_ENGINE_AT))
        engine = await self._busiest_engine()
        await self._cluster.engines[engine].kill()
        self._say(f"{engine}, the busiest, was killed (SIGKILL) in the middle of its answers")
        await self._clock.sleep(round(duration_ms * (KILL_HOST_AT - KILL_ENGINE_AT)))
        host = await self._busiest_host()
        await self._cluster.hosts[host].kill()
        self._say(f"{host}, the busiest, was killed (SIGKILL) in the middle of its answers")
        await self._clock.sleep(round(duration_ms * (1 - KILL_HOST_AT)))

    async def _stop_gracefully(self, kind: CallerKind) -> bool:
        await self._workload.finish()
        await self._read_engines()
        # Only now, so that the answers that a planned stop meets are known to be running.
        for number in range(LAST_PLANS):
            self._workload.start_one(kind, f"last-{number}", LAST_PLAN_TOKENS)
        await self._clock.sleep(START_OF_LAST_PLANS_MS)
        hosts = [host for host in self._cluster.hosts.values() if host.running]
        self._say(f"{LAST_PLANS} long answers run; all {len(hosts)} hosts are told to stop")
        codes = await asyncio.gather(*(host.stop() for host in hosts))
        await self._workload.finish()
        self._say(f"the hosts have stopped with exit codes {codes}")
        return not any(codes)

    def _report(self, stopped: bool) -> bool:
        answers, bookings = self._workload.answers, self._workload.bookings
        self._workload.write_reports(self._cluster.directory / REPORTS_FILE)
        verdict = judge(
            answers=answers,
            bookings=bookings,
            generations=self._cluster.executions(self._cluster.engines),
            booked=self._cluster.executions(self._cluster.services),
        )
        last = [report for report in answers if report.ask.name.startswith("last-")]
        uninterrupted = not any(report.resumes or report.trials > 1 for report in last)
        promises = [
            Promise("every answer came whole, once and in order", not verdict.wrong),
            Promise("every request got its answer", not verdict.lost),
            Promise("no booking was executed twice", not verdict.doubled),
            Promise("every booking told as made was made", not verdict.lost_bookings),
            Promise('nothing called "not executed" ran', not verdict.wrongly_not_executed),
            Promise("the planned stop interrupted nothing", stopped and uninterrupted),
        ]
        print_seen(console=self._console, answers=answers, bookings=bookings)
        print_measures(
            console=self._console, answers=answers, preemptions=sum(self._preemptions.values())
        )
        print_promises(console=self._console, promises=promises, examples=verdict.examples)
        return all(promise.held for promise in promises) and verdict.whole > 0

    async def _busiest_engine(self) -> str:
        reports = await self._read_engines()
        return max(reports, key=lambda name: reports[name].followers)

    async def _busiest_host(self) -> str:
        statuses = await self._watch.statuses()
        return max(statuses, key=lambda name: statuses[name].running)

    async def _read_engines(self) -> dict[str, ExecutionReports]:
        running = {name: item for name, item in self._cluster.engines.items() if item.running}
        reports = {
            name: await self._cluster.get(engine, "/admin/executions", ExecutionReports)
            for name, engine in running.items()
        }
        # A killed engine's count is kept as it was last read.
        self._preemptions |= {name: report.preemptions for name, report in reports.items()}
        return reports

    def _say(self, text: str) -> None:
        elapsed = (self._clock.now() - self._began) / MS_PER_SECOND
        self._console.print(f"[bold]{elapsed:5.1f} s[/bold]  {text}", highlight=False)


def read_example() -> DeclarationSet:
    """Return the example declarations.

    :raises SystemExit: When they are wrong.
    """
    result = read_declarations(paths=[EXAMPLE / "declarations"])
    if not is_successful(result):
        sys.exit(f"The example declarations are wrong: {result.failure()}")
    return result.unwrap()


def read_keys() -> dict[str, str]:
    """Return the example accounts' keys by account."""
    lines = KEYS_FILE.read_text().splitlines()
    keys = [line for line in lines if line and not line.startswith("#")]
    return {key.rpartition(".")[0]: key for key in keys}


def caller_kinds(keys: dict[str, str]) -> dict[str, CallerKind]:
    """Return the demo's kinds of callers by name.

    :param keys: Keys by account.
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
    declarations = read_example()
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
        watching = asyncio.create_task(balancer.run_forever())
        await cluster.start_hosts()
        workload = Workload(
            session=session,
            hosts=balancer.urls,
            model=declarations.models[0],
            objective=declarations.objective,
            service=plan.service,
            seed=seed,
        )
        demo = Demo(
            cluster=cluster,
            workload=workload,
            balancer=balancer,
            watch=RevisionWatch(cluster=cluster, session=session),
            console=console,
        )
        held = await demo.run(
            kinds=caller_kinds(read_keys()), duration_ms=round(seconds * MS_PER_SECOND)
        )
        await cancel_task(watching)
        return held


def main(seconds: float = 35.0, seed: int = 1, keep: str = "") -> None:
    """Run the demo.

    :param seconds: How long callers begin new requests.
    :param seed: Seed of the callers.
    :param keep: Directory that keeps settings and logs; empty for none.
    """
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
        held = asyncio.run(_run(seconds=seconds, seed=seed, directory=Path(keep)))
    else:
        with TemporaryDirectory() as directory:
            held = asyncio.run(_run(seconds=seconds, seed=seed, directory=Path(directory)))
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    run_main(main)
