"""Count the calls to the store of all hosts around its return from an older copy, in virtual time.

``python -m tools.bench_store_return HOSTS...`` prints one line for each number of hosts: the calls
of each kind in the five seconds before the store goes away, and in the five after it is back.
"""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from dataclasses import fields
import sys
from typing import Final

from testing._fake_store import StoreCalls
from testing._heartbeating_engines import Engines
from testing._heartbeating_engines import return_from_copy
from testing._many_hosts import Fleet
from testing._virtual_time import run_virtually

DOMAINS: Final = 3
ENGINES: Final = 22
SPAN_S: Final = 5.0
COPY_AGE_S: Final = 8.0


def _count_calls(fleet: Fleet) -> dict[str, int]:
    names = [one.name for one in fields(StoreCalls)]
    calls = [asdict(host.store.calls) for host in fleet.hosts]
    return {name: sum(one[name] for one in calls) for name in names}


async def _measure(hosts: int) -> tuple[dict[str, int], dict[str, int]]:
    fleet = Fleet()
    engines = Engines(fleet=fleet)
    for number in range(ENGINES):
        engines.beat(f"e{number}", "ready")
    beats = asyncio.create_task(engines.run())
    await fleet.start(count=hosts, domains=DOMAINS, engines=0)
    counts = [_count_calls(fleet)]
    await asyncio.sleep(SPAN_S)
    counts.append(_count_calls(fleet))
    await return_from_copy(fleet, engines, copy_age_s=COPY_AGE_S)
    counts.append(_count_calls(fleet))
    await asyncio.sleep(SPAN_S)
    counts.append(_count_calls(fleet))
    beats.cancel()
    calm = {name: counts[1][name] - counts[0][name] for name in counts[0]}
    back = {name: counts[3][name] - counts[2][name] for name in counts[0]}
    return calm, back


def main() -> None:
    """Measure each number of hosts that is given."""
    for text in sys.argv[1:]:
        calm, back = run_virtually(_measure(int(text)))
        print(f"{text} hosts: before {calm}, after {back}", flush=True)


if __name__ == "__main__":
    main()
