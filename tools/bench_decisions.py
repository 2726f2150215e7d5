"""Measure the processor time of scheduling decisions by number of engines and hosts."""

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
"""Target engines per cell: larger pools are split into cells with a scheduler each."""

ACCOUNT_COUNT = 20
RUNNING_PER_ENGINE = 24
REQUEST_COUNT = 1_000
LOAD_REPORT_COUNT = 2_000
LOOKUP_COUNT = 300
US_PER_SECOND = 1e6


def _build_request(number: int, rng: Random) -> PlacementRequest:
    return PlacementRequest(
        generation=GenerationId(f"generation-{number}"),
        model=ModelId("model"),
        account=ClientAccountId(f"account-{rng.randrange(ACCOUNT_COUNT)}"),
        request_class="check" if rng.random() < 0.7 else "plan",
        prompt_tokens=800,
        max_tokens=8_000,
        prefix=f"prefix-{rng.randrange(60)}",
        prefix_tokens=600,
        arrived=Millis(number),
    )


def _build_loaded_scheduler(engines: int, rng: Random) -> ForecastScheduler:
    """Return a scheduler whose engines run at about 0.9 of capacity."""
    scheduler = ForecastScheduler(accounts={}, tuning=Tuning(), rng=rng)
    specs = [
        EngineSpec(engine=UpstreamId(f"engine-{index}"), memory_tokens=60_000, max_batch=64)
        for index in range(engines)
    ]
    scheduler.set_engines(engines=specs, now=Millis(0))
    for number in range(400):
        request = _build_request(number, rng)
        scheduler.observe(request=request, tokens=30 if request.request_class == "check" else 700)
    for index in range(engines * RUNNING_PER_ENGINE):
        request = _build_request(-index - 1, rng)
        engine = specs[index % engines].engine
        scheduler.adopt(request=request, engine=engine, tokens=rng.randrange(1, 30), now=Millis(0))
    return scheduler


def _measure_request_us(engines: int) -> float:
    """Return processor time per request (submit, decide, progress, finish), in microseconds."""
    rng = Random(engines)
    scheduler = _build_loaded_scheduler(engines, rng)
    requests = [_build_request(number, rng) for number in range(REQUEST_COUNT)]
    start = perf_counter()
    for number, request in enumerate(requests):
        now = Millis(number * 60 // engines)
        scheduler.submit(request=request, now=now)
        scheduler.decide(now=now)
        scheduler.on_progress(generation=request.generation, tokens=1, now=now)
        scheduler.on_finished(generation=request.generation, tokens=30, complete=True, now=now)
    return (perf_counter() - start) / REQUEST_COUNT * US_PER_SECOND


def _measure_report_us(engines: int) -> float:
    """Return processor time per load report, in microseconds."""
    scheduler = _build_loaded_scheduler(engines, Random(engines))
    loads = [
        EngineLoad(
            engine=UpstreamId(f"engine-{number % engines}"),
            measured=Millis(number),
            running=24,
            waiting=0,
            used_tokens=30_000,
            preemptions=0,
        )
        for number in range(LOAD_REPORT_COUNT)
    ]
    start = perf_counter()
    for load in loads:
        scheduler.on_load(load=load, now=Millis(load.measured + 1_000))
    return (perf_counter() - start) / LOAD_REPORT_COUNT * US_PER_SECOND


def _select_xor_owner(*, pool: str, hosts: list[HostId]) -> HostId:
    """Return the host whose hashed id has the smallest XOR (Kademlia) distance to the pool's."""
    pool_hash = _hash(pool)
    return min(hosts, key=lambda host: _hash(host) ^ pool_hash)


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _measure_owner_selection(hosts: int) -> tuple[float, float, float, float]:
    """Return microseconds per lookup and skew, for rendezvous hashing and for XOR distance."""
    names = [HostId(f"host-{index}") for index in range(hosts)]
    hashed = {name: _hash(name) for name in names}
    pools = [f"cell-{index}" for index in range(LOOKUP_COUNT)]
    start = perf_counter()
    rendezvous = [select_owner(cell=CellId(pool), hosts=names) for pool in pools]
    middle = perf_counter()
    for pool in pools:
        pool_hash = _hash(pool)
        min(names, key=lambda host: hashed[host] ^ pool_hash)
    end = perf_counter()
    xor = [_select_xor_owner(pool=pool, hosts=names) for pool in pools]
    return (
        (middle - start) / LOOKUP_COUNT * US_PER_SECOND,
        _compute_skew([str(owner) for owner in rendezvous], hosts),
        (end - middle) / LOOKUP_COUNT * US_PER_SECOND,
        _compute_skew([str(owner) for owner in xor], hosts),
    )


def _compute_skew(owners: list[str], hosts: int) -> float:
    """Return the largest number of pools of one host, divided by the mean."""
    return max(owners.count(owner) for owner in set(owners)) * hosts / len(owners)


def main() -> None:
    """Print the tables of costs."""
    print("engines  us/request  us/request in cells of 32  us/load report")
    for engines in ENGINE_COUNTS:
        pool_us = _measure_request_us(engines)
        cell_us = _measure_request_us(min(engines, TARGET_CELL_ENGINES))
        print(
            f"{engines:7d}  {pool_us:10.1f}  {cell_us:25.1f}  {_measure_report_us(engines):14.2f}"
        )
    print("hosts  rendezvous us  max/mean  XOR us  max/mean  (300 cells)")
    for hosts in HOST_COUNTS:
        hrw_us, hrw_skew, xor_us, xor_skew = _measure_owner_selection(hosts)
        print(f"{hosts:5d}  {hrw_us:13.1f}  {hrw_skew:8.2f}  {xor_us:6.1f}  {xor_skew:8.2f}")


if __name__ == "__main__":
    main()
