"""Compare strategies for choosing peer connections at the target size, on computed graphs.

Nothing here is measured on a running cluster. Degrees, traffic and propagation times are computed
for 390 hosts from the sizes of frames of the real codec and assumed latencies between regions.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import hashlib
import heapq
from random import Random
from statistics import mean
from typing import TypeAlias

from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.generated.messages import HeadRequest
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.membership import encode_frame
from tanagerscale.routing._cells import rendezvous_score

HOST_COUNT = 390
REGION_COUNT = 11
FAILURE_DOMAIN_COUNT = 24
TRIAL_COUNT = 20
INTRA_REGION_LATENCY_MS = 1.5
INTER_REGION_LATENCY_MS = (20.0, 120.0)
"""Range of the one-way latency between two regions; an assumption, as no requirement states one."""
APPLY_CPU_MS = 2.4
"""Processor time to put one change in force, from ``tools/bench_declarations.py``."""
DELTA_BYTES = 1560
"""Size of a head with a delta of one section, from the same run."""
HEADER_BYTES = 60
"""WebSocket, TCP and IP headers of a small frame, without TLS."""
CHANGES_PER_S = 34_000 / 86_400
ID_BITS = 32
LOOKUP_PARALLELISM = 3

Graph: TypeAlias = list[set[int]]
Strategy: TypeAlias = "Callable[[int, Sequence[Node]], Iterable[int]]"


@dataclass(frozen=True, kw_only=True, slots=True)
class Node:
    """A host in the graph."""

    name: str
    region: int
    domain: int
    key: int
    region_key: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StrategyProperties:
    """Properties of one strategy, over all trials.

    :param degree: Mean number of connections per host.
    :param max_degree: Maximum number of connections of a host.
    :param heartbeat_bytes_per_s: Heartbeat traffic sent by a host at one heartbeat per second, with
        headers.
    :param change_bytes_per_s: Traffic per host for changes: announcements, requests and one delta.
    :param spread_ms: Time until the last host has a change, in the worst trial.
    :param lost_domain_ms: Same with one failure domain lost, in the worst trial.
    :param lost_domain_reached: Smallest fraction of the remaining hosts reached in that case.
    :param partition_connected: Smallest fraction of a partitioned region that stays connected.
    :param heal_ms: Time until the region has the change after the partition ends, in the worst
        trial.
    """

    degree: float
    max_degree: int
    heartbeat_bytes_per_s: float
    change_bytes_per_s: float
    spread_ms: float
    lost_domain_ms: float
    lost_domain_reached: float
    partition_connected: float
    heal_ms: float


def make_nodes() -> list[Node]:
    """Return hosts distributed evenly over regions and failure domains."""
    nodes = []
    for index in range(HOST_COUNT):
        domain = index % FAILURE_DOMAIN_COUNT
        region = domain % REGION_COUNT
        key = int.from_bytes(hashlib.blake2b(str(index).encode(), digest_size=4).digest())
        region_key = (region << (ID_BITS - 4)) | (key >> 4)
        nodes.append(
            Node(name=f"h{index}", region=region, domain=domain, key=key, region_key=region_key)
        )
    return nodes


def full_mesh(index: int, nodes: Sequence[Node]) -> Iterable[int]:
    """Select all other hosts."""
    return (other for other in range(len(nodes)) if other != index)


def rendezvous_top(count: int) -> Strategy:
    """Return a strategy that selects the hosts with the highest rendezvous scores."""

    def choose(index: int, nodes: Sequence[Node]) -> Iterable[int]:
        return _select_highest(index, nodes, range(len(nodes)), count)

    return choose


def rendezvous_near_and_far(count: int) -> Strategy:
    """Return a strategy that selects half of the hosts in the same region and half in others."""

    def choose(index: int, nodes: Sequence[Node]) -> Iterable[int]:
        own_region = nodes[index].region
        same_region = [other for other, node in enumerate(nodes) if node.region == own_region]
        other_regions = [other for other, node in enumerate(nodes) if node.region != own_region]
        half = count // 2
        return [
            *_select_highest(index, nodes, same_region, half),
            *_select_highest(index, nodes, other_regions, count - half),
        ]

    return choose


def xor_buckets(contacts: int, *, region_first: bool) -> Strategy:
    """Return a strategy that selects the closest hosts of each XOR-distance bucket (Kademlia)."""

    def choose(index: int, nodes: Sequence[Node]) -> Iterable[int]:
        def key(node: Node) -> int:
            return node.region_key if region_first else node.key

        buckets: dict[int, list[tuple[int, int]]] = {}
        for other, node in enumerate(nodes):
            distance = key(nodes[index]) ^ key(node)
            if distance:
                buckets.setdefault(distance.bit_length(), []).append((distance, other))
        return [other for bucket in buckets.values() for _, other in sorted(bucket)[:contacts]]

    return choose


def _select_highest(
    index: int, nodes: Sequence[Node], others: Iterable[int], count: int
) -> list[int]:
    name = nodes[index].name
    scored = [(rendezvous_score(name, nodes[other].name), other) for other in others]
    return [
        other for _, other in heapq.nlargest(count, [each for each in scored if each[1] != index])
    ]


def evaluate_strategy(strategy: Strategy) -> StrategyProperties:
    """Compute the properties of one strategy."""
    nodes = make_nodes()
    graph: Graph = [set() for _ in nodes]
    for index in range(len(nodes)):
        for other in strategy(index, nodes):
            graph[index].add(other)
            graph[other].add(index)
    degrees = [len(each) for each in graph]
    trials = [_Trial(nodes=nodes, graph=graph, rng=Random(seed)) for seed in range(TRIAL_COUNT)]
    healthy_runs = [trial.spread(lost_hosts=set()) for trial in trials]
    lost_domain_runs = [trial.spread_without_domain() for trial in trials]
    partition_runs = [trial.partition_region() for trial in trials]
    degree = mean(degrees)
    heartbeat_bytes = len(encode_frame(Heartbeat(revision=123_456))) + HEADER_BYTES
    announcement_bytes = len(encode_frame(HeadAnnouncement(revision=123_456, digest="0" * 64)))
    request_bytes = len(encode_frame(HeadRequest(have_revision=123_455)))
    change_bytes = (
        degree * (announcement_bytes + HEADER_BYTES)
        + request_bytes
        + DELTA_BYTES
        + 2 * HEADER_BYTES
    )
    return StrategyProperties(
        degree=degree,
        max_degree=max(degrees),
        heartbeat_bytes_per_s=degree * heartbeat_bytes,
        change_bytes_per_s=change_bytes * CHANGES_PER_S,
        spread_ms=max(each.last_ms for each in healthy_runs),
        lost_domain_ms=max(each.last_ms for each in lost_domain_runs),
        lost_domain_reached=min(each.reached for each in lost_domain_runs),
        partition_connected=min(each.connected for each in partition_runs),
        heal_ms=max(each.heal_ms for each in partition_runs),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Propagation:
    last_ms: float
    reached: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Partition:
    connected: float
    heal_ms: float


class _Trial:
    """One trial with random latencies, origin and fault."""

    def __init__(self, *, nodes: Sequence[Node], graph: Graph, rng: Random) -> None:
        self._nodes = nodes
        self._graph = graph
        self._rng = rng
        self._latency = {
            frozenset((one, other)): rng.uniform(*INTER_REGION_LATENCY_MS)
            for one in range(REGION_COUNT)
            for other in range(one)
        }

    def spread(self, *, lost_hosts: set[int]) -> _Propagation:
        """Simulate one host announcing a change and the others fetching it."""
        live_hosts = [index for index in range(len(self._nodes)) if index not in lost_hosts]
        times = self._compute_times(
            starts=[self._rng.choice(live_hosts)], live_hosts=set(live_hosts)
        )
        return _Propagation(last_ms=max(times.values()), reached=len(times) / len(live_hosts))

    def spread_without_domain(self) -> _Propagation:
        """Simulate the propagation of a change while a failure domain is lost."""
        domain = self._rng.randrange(FAILURE_DOMAIN_COUNT)
        lost_hosts = {index for index, node in enumerate(self._nodes) if node.domain == domain}
        return self.spread(lost_hosts=lost_hosts)

    def partition_region(self) -> _Partition:
        """Simulate a partitioned region that rejoins after all other hosts have a change."""
        region = self._rng.randrange(REGION_COUNT)
        inside = {index for index, node in enumerate(self._nodes) if node.region == region}
        inside_times = self._compute_times(
            starts=[self._rng.choice(sorted(inside))], live_hosts=inside
        )
        outside = [index for index in range(len(self._nodes)) if index not in inside]
        healed_times = self._compute_times(starts=outside, live_hosts=set(range(len(self._nodes))))
        return _Partition(
            connected=len(inside_times) / len(inside), heal_ms=max(healed_times.values())
        )

    def _compute_times(self, *, starts: Sequence[int], live_hosts: set[int]) -> dict[int, float]:
        times: dict[int, float] = {}
        queue = [(0.0, start) for start in starts]
        while queue:
            now, index = heapq.heappop(queue)
            if index in times:
                continue
            times[index] = now
            for other in self._graph[index] & live_hosts:
                if other not in times:
                    hop = 3 * self._latency_ms(index, other) + APPLY_CPU_MS
                    heapq.heappush(queue, (now + hop, other))
        return times

    def _latency_ms(self, one: int, other: int) -> float:
        regions = frozenset((self._nodes[one].region, self._nodes[other].region))
        return INTRA_REGION_LATENCY_MS if len(regions) == 1 else self._latency[regions]


def lookup_rounds(*, contacts: int) -> tuple[float, float]:
    """Return the mean rounds and messages of a parallel lookup over XOR buckets."""
    nodes = make_nodes()
    choose = xor_buckets(contacts, region_first=False)
    tables = [list(choose(index, nodes)) for index in range(len(nodes))]
    rng = Random(1)
    results = [_lookup(nodes, tables, rng) for _ in range(500)]
    return mean(each[0] for each in results), mean(each[1] for each in results)


def _lookup(nodes: Sequence[Node], tables: Sequence[Sequence[int]], rng: Random) -> tuple[int, int]:
    start, target = rng.sample(range(len(nodes)), 2)

    def distance(index: int) -> int:
        return nodes[index].key ^ nodes[target].key

    known_hosts, queried_hosts = set(tables[start]), {start}
    rounds = messages = 0
    while target not in known_hosts:
        queried = sorted(known_hosts - queried_hosts, key=distance)[:LOOKUP_PARALLELISM]
        rounds += 1
        messages += 2 * len(queried)
        queried_hosts.update(queried)
        for index in queried:
            known_hosts.update(tables[index])
    return rounds, messages
