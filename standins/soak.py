"""``make soak``: a bounded mix of all failures over real processes, and counts of the outcome."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
import sys
from tempfile import mkdtemp

import aiohttp

from standins._common import end_task
from standins._common import run_main
from standins.balancer import Balancer
from standins.cluster_files import account_key
from standins.disturbances import Disturbances
from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.verdict import Verdict
from standins.verdict import judge
from standins.workload import CallerKind
from standins.workload import Workload
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock

ACCOUNTS = ("crew-north", "crew-south", "chiefs")
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
SHOWN_EXAMPLES = 10
TRACEBACK = "Traceback (most recent call last)"


async def _run(*, seconds: float, seed: int, directory: Path) -> bool:
    clock = Clock()
    async with (
        Cluster(plan=PLAN, directory=directory) as cluster,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        balancer = Balancer(cluster=cluster, session=session)
        watching = asyncio.create_task(balancer.run_forever())
        await cluster.start_hosts()
        applied = await cluster.apply(author="soak")
        print(applied.output, applied.errors)
        if applied.returncode:
            return False
        await balancer.wait_for(PLAN.hosts)
        workload = _start_callers(cluster, session, balancer, seed)
        began = clock.now()

        def say(text: str) -> None:
            print(f"{(clock.now() - began) / MS_PER_SECOND:6.1f} s  {text}", flush=True)

        disturbances = Disturbances(cluster=cluster, rng=Random(seed), say=say)
        disturbing = asyncio.create_task(disturbances.run_forever())
        await clock.sleep(round(seconds * MS_PER_SECOND))
        await end_task(disturbing)
        say("no further failures; mending")
        await disturbances.mend()
        await workload.finish()
        verdict = judge(
            answers=workload.answers,
            bookings=workload.bookings,
            generations=cluster.executions(cluster.engines),
            booked=cluster.executions(cluster.services),
        )
        await end_task(watching)
        return _report(verdict, disturbances, cluster)


def _start_callers(
    cluster: Cluster, session: aiohttp.ClientSession, balancer: Balancer, seed: int
) -> Workload:
    workload = Workload(
        session=session,
        hosts=balancer.urls,
        model=PLAN.models[0],
        objective=cluster.declarations.objective,
        service=PLAN.service,
        seed=seed,
    )
    keys = [account_key(account) for account in ACCOUNTS]
    plan = CallerKind(name="plan", key=keys[0], tokens=(100, 400), stream=False)
    sheet = CallerKind(name="sheet", key=keys[1], tokens=(100, 400))
    check = CallerKind(name="check", key=keys[2], tokens=(5, 30))
    workload.start_askers(plan, 4)
    workload.start_askers(sheet, 4)
    workload.start_askers(check, 6)
    workload.start_bookers(CallerKind(name="booking", key=keys[0], pause_ms=(50, 400)), 6)
    return workload


def _report(verdict: Verdict, disturbances: Disturbances, cluster: Cluster) -> bool:
    tracebacks = [
        process.name for process in cluster.launcher.processes if TRACEBACK in process.errors()
    ]
    crashed = [
        f"{name} ended by itself with {host.returncode}"
        for name, host in cluster.hosts.items()
        if not host.running
    ]
    bad_exits = [text for text in disturbances.done if text.startswith("BAD EXIT")]
    print(f"{len(disturbances.done)} failures inflicted")
    print(f"answers whole: {verdict.whole}, of these by cursor at another host: {verdict.resumed}")
    print(f"bookings made: {verdict.booked}, unknown: {verdict.unknown}", end=", ")
    print(f"refused: {verdict.not_executed}")
    print(f"doubled: {verdict.doubled} bookings, {verdict.wrong} answers that differ")
    print(f"lost: {verdict.lost} answers, {verdict.lost_bookings} bookings")
    print(f"wrongly called not executed: {verdict.wrongly_not_executed}")
    print(f"hosts that ended badly: {crashed + bad_exits}")
    print(f"processes with a traceback in their log: {sorted(set(tracebacks))}")
    for example in verdict.examples[:SHOWN_EXAMPLES]:
        print(example)
    return verdict.held and verdict.whole > 0 and not (tracebacks or crashed or bad_exits)


def main(seconds: float = 120.0, seed: int = 1, keep: str = "") -> None:
    """Run the soak test.

    :param seconds: How long failures are inflicted.
    :param seed: Seed of callers and failures.
    :param keep: Directory for settings and logs; empty makes one under the temporary directory.
    """
    directory = Path(keep or mkdtemp(prefix="tanagerscale-soak-"))
    directory.mkdir(parents=True, exist_ok=True)
    print(f"logs and journals: {directory}; seed {seed}")
    held = asyncio.run(_run(seconds=seconds, seed=seed, directory=directory))
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    run_main(main)
