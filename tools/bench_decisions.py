"""Measure what a decision costs and how that grows; prints a table."""

from __future__ import annotations

from hashlib import blake2b
from random import Random
from time import perf_counter

from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import UpstreamId
from tanagerscale.policy import EngineLoad
from tanagerscale.policy import EngineSpec
from tanagerscale.policy import ForecastScheduler
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import Tuning
from tanagerscale.routing import CellId
from tanagerscale.routing import select_owner

ENGINE_COUNTS = (5, 32, 50, 500)
HOST_COUNTS = (9, 90, 390)
TARGET_CELL_ENGINES = 32
"""Engines of one cell: larger pools are split, and each cell has its own scheduler."""

ACCOUNTS = 20
RUNNING_PER_ENGINE = 24
REQUESTS = 1_000
LOADS = 2_000
LOOKUPS = 300
MICROSECONDS = 1e6


def _request(number: int, rng: Random) -> PlacementRequest:
    return PlacementRequest(
        generation=GenerationId(f"generation-{number}"),
        model=ModelId("model"),
        account=ClientAccountId(f"account-{rng.randrange(ACCOUNTS)}"),
        request_class="check" if rng.random() < 0.7 else "plan",
        prompt_tokens=800,
        max_tokens=8_000,
        prefix=f"prefix-{rng.randrange(60)}",
        prefix_tokens=600,
        arrived=Millis(number),
    )


def _filled(engines: int, rng: Random) -> ForecastScheduler:
    """Return a scheduler whose engines run what they do at about 0.9 of capacity."""
    scheduler = ForecastScheduler(accounts={}, tuning=Tuning(), rng=rng)
    specs = [
        EngineSpec(engine=UpstreamId(f"engine-{index}"), memory_tokens=60_000, max_batch=64)
        for index in range(engines)
    ]
    scheduler.set_engines(engines=specs, now=Millis(0))
    for number in range(400):
        request = _request(number, rng)
        scheduler.observe(request=request, tokens=30 if request.request_class == "check" else 700)
    for index in range(engines * RUNNING_PER_ENGINE):
        request = _request(-index - 1, rng)
        engine = specs[index % engines].engine
        scheduler.adopt(request=request, engine=engine, tokens=rng.randrange(1, 30), now=Millis(0))
    return scheduler


def _request_cost(engines: int) -> float:
    """Return microseconds for a request: submit, decide, progress, finish."""
    rng = Random(engines)
    scheduler = _filled(engines, rng)
    requests = [_request(number, rng) for number in range(REQUESTS)]
    began = perf_counter()
    for number, request in enumerate(requests):
        now = Millis(number * 60 // engines)
        scheduler.submit(request=request, now=now)
        scheduler.decide(now=now)
        scheduler.on_progress(generation=request.generation, tokens=1, now=now)
        scheduler.on_finished(generation=request.generation, tokens=30, complete=True, now=now)
    return (perf_counter() - began) / REQUESTS * MICROSECONDS


def _load_cost(engines: int) -> float:
    """Return microseconds for a load report."""
    scheduler = _filled(engines, Random(engines))
    loads = [
        EngineLoad(
            engine=UpstreamId(f"engine-{number % engines}"),
            measured=Millis(number),
            running=24,
            waiting=0,
            used_tokens=30_000,
            preemptions=0,
        )
        for number in range(LOADS)
    ]
    began = perf_counter()
    for load in loads:
        scheduler.on_load(load=load, now=Millis(load.measured + 1_000))
    return (perf_counter() - began) / LOADS * MICROSECONDS


def _xor_owner(*, pool: str, hosts: list[HostId]) -> HostId:
    """Return the host whose hashed id is nearest to the pool's by XOR (Kademlia's distance)."""
    wanted = _number(pool)
    return min(hosts, key=lambda host: _number(host) ^ wanted)


def _number(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _owner_costs(hosts: int) -> tuple[float, float, float, float]:
    """Return microseconds and the largest load over the mean, for both ways to choose."""
    names = [HostId(f"host-{index}") for index in range(hosts)]
    hashed = {name: _number(name) for name in names}
    pools = [f"cell-{index}" for index in range(LOOKUPS)]
    began = perf_counter()
    rendezvous = [select_owner(cell=CellId(pool), hosts=names) for pool in pools]
    middle = perf_counter()
    for pool in pools:
        wanted = _number(pool)
        min(names, key=lambda host: hashed[host] ^ wanted)
    ended = perf_counter()
    xor = [_xor_owner(pool=pool, hosts=names) for pool in pools]
    return (
        (middle - began) / LOOKUPS * MICROSECONDS,
        _skew([str(owner) for owner in rendezvous], hosts),
        (ended - middle) / LOOKUPS * MICROSECONDS,
        _skew([str(owner) for owner in xor], hosts),
    )


def _skew(owners: list[str], hosts: int) -> float:
    """Return the largest number of pools of one host over the mean."""
    return max(owners.count(owner) for owner in set(owners)) * hosts / len(owners)


def main() -> None:
    """Print the costs."""
    print("engines  us/request  us/request in cells of 32  us/load report")
    for engines in ENGINE_COUNTS:
        whole = _request_cost(engines)
        cell = _request_cost(min(engines, TARGET_CELL_ENGINES))
        print(f"{engines:7d}  {whole:10.1f}  {cell:25.1f}  {_load_cost(engines):14.2f}")
    print("hosts  rendezvous us  max/mean  XOR us  max/mean  (300 cells)")
    for hosts in HOST_COUNTS:
        one, skew, other, xor_skew = _owner_costs(hosts)
        print(f"{hosts:5d}  {one:13.1f}  {skew:8.2f}  {other:6.1f}  {xor_skew:8.2f}")


if __name__ == "__main__":
    main()
