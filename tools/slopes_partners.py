"""Which hosts to connect at the target size: computed on graphs, with measured frame sizes.

Nothing here is a measurement of a running cluster. Degrees, bytes and spread times are computed
for 390 hosts from frames of the real codec and from assumed latencies between regions.
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

HOSTS = 390
REGIONS = 11
FAILURE_DOMAINS = 24
TRIALS = 20
NEAR_LATENCY_MS = 1.5
FAR_LATENCY_MS = (20.0, 120.0)
"""One way between two regions; an assumption, as the pages name none."""
HOST_WORK_MS = 2.4
"""Processor time to put one change in force, from ``tools/bench_declarations.py``."""
DELTA_BYTES = 1560
"""A head with the difference of one section, from the same run."""
HEADER_BYTES = 60
"""WebSocket, TCP and IP headers of a small frame, without TLS; computed."""
CHANGES_PER_S = 34_000 / 86_400
ID_BITS = 32
LOOKUP_PARALLEL = 3

Graph: TypeAlias = list[set[int]]
Choose: TypeAlias = "Callable[[int, Sequence[Node]], Iterable[int]]"


@dataclass(frozen=True, kw_only=True, slots=True)
class Node:
    """A host of the computation."""

    name: str
    region: int
    domain: int
    key: int
    region_key: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PartnerFigures:
    """What one way of choosing partners gives, over all trials.

    :param degree: Connections of a host, mean.
    :param most: Connections of the busiest host.
    :param beat_bytes_per_s: Heartbeats a host sends at one a second, with headers.
    :param change_bytes_per_s: What changes cost a host: announcements, requests and one delta.
    :param spread_ms: Time until the last host has a change, worst trial.
    :param lost_domain_ms: The same with one failure domain lost, worst trial.
    :param lost_domain_reached: Smallest part of the other hosts reached then.
    :param region_together: Smallest part of a cut-off region that still hears from one another.
    :param heal_ms: Time until the region has the change after it is joined again, worst trial.
    """

    degree: float
    most: int
    beat_bytes_per_s: float
    change_bytes_per_s: float
    spread_ms: float
    lost_domain_ms: float
    lost_domain_reached: float
    region_together: float
    heal_ms: float


def make_nodes() -> list[Node]:
    """Return hosts spread evenly over regions and failure domains."""
    nodes = []
    for index in range(HOSTS):
        domain = index % FAILURE_DOMAINS
        region = domain % REGIONS
        key = int.from_bytes(hashlib.blake2b(str(index).encode(), digest_size=4).digest())
        region_key = (region << (ID_BITS - 4)) | (key >> 4)
        nodes.append(
            Node(name=f"h{index}", region=region, domain=domain, key=key, region_key=region_key)
        )
    return nodes


def everyone(index: int, nodes: Sequence[Node]) -> Iterable[int]:
    """Choose all hosts."""
    return (other for other in range(len(nodes)) if other != index)


def rendezvous(count: int) -> Choose:
    """Choose the hosts that score highest for this one."""

    def choose(index: int, nodes: Sequence[Node]) -> Iterable[int]:
        return _highest(index, nodes, range(len(nodes)), count)

    return choose


def rendezvous_near_and_far(count: int) -> Choose:
    """Choose half of the partners in the own region and half in others."""

    def choose(index: int, nodes: Sequence[Node]) -> Iterable[int]:
        mine = nodes[index].region
        near = [other for other, node in enumerate(nodes) if node.region == mine]
        far = [other for other, node in enumerate(nodes) if node.region != mine]
        half = count // 2
        return [*_highest(index, nodes, near, half), *_highest(index, nodes, far, count - half)]

    return choose


def xor_buckets(contacts: int, *, region_first: bool) -> Choose:
    """Choose the closest hosts of each bucket of the XOR distance, as Kademlia does."""

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


def _highest(index: int, nodes: Sequence[Node], others: Iterable[int], count: int) -> list[int]:
    name = nodes[index].name
    scored = [(rendezvous_score(name, nodes[other].name), other) for other in others]
    return [
        other for _, other in heapq.nlargest(count, [each for each in scored if each[1] != index])
    ]


def measure(choose: Choose) -> PartnerFigures:
    """Compute the figures of one way of choosing partners."""
    nodes = make_nodes()
    graph: Graph = [set() for _ in nodes]
    for index in range(len(nodes)):
        for other in choose(index, nodes):
            graph[index].add(other)
            graph[other].add(index)
    degrees = [len(each) for each in graph]
    trials = [_Trial(nodes=nodes, graph=graph, rng=Random(seed)) for seed in range(TRIALS)]
    whole = [trial.spread(lost=set()) for trial in trials]
    lost = [trial.lose_domain() for trial in trials]
    cut = [trial.cut_region() for trial in trials]
    degree = mean(degrees)
    beat = len(encode_frame(Heartbeat(revision=123_456))) + HEADER_BYTES
    announce = len(encode_frame(HeadAnnouncement(revision=123_456, digest="0" * 64)))
    request = len(encode_frame(HeadRequest(have_revision=123_455)))
    change = degree * (announce + HEADER_BYTES) + request + DELTA_BYTES + 2 * HEADER_BYTES
    return PartnerFigures(
        degree=degree,
        most=max(degrees),
        beat_bytes_per_s=degree * beat,
        change_bytes_per_s=change * CHANGES_PER_S,
        spread_ms=max(each.last_ms for each in whole),
        lost_domain_ms=max(each.last_ms for each in lost),
        lost_domain_reached=min(each.reached for each in lost),
        region_together=min(each.together for each in cut),
        heal_ms=max(each.heal_ms for each in cut),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Spread:
    last_ms: float
    reached: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Cut:
    together: float
    heal_ms: float


class _Trial:
    """One draw of latencies, origin and fault."""

    def __init__(self, *, nodes: Sequence[Node], graph: Graph, rng: Random) -> None:
        self._nodes = nodes
        self._graph = graph
        self._rng = rng
        self._latency = {
            frozenset((one, other)): rng.uniform(*FAR_LATENCY_MS)
            for one in range(REGIONS)
            for other in range(one)
        }

    def spread(self, *, lost: set[int]) -> _Spread:
        """Let one host announce a change and the others fetch it."""
        alive = [index for index in range(len(self._nodes)) if index not in lost]
        times = self._times(starts=[self._rng.choice(alive)], alive=set(alive))
        return _Spread(last_ms=max(times.values()), reached=len(times) / len(alive))

    def lose_domain(self) -> _Spread:
        """Spread a change while a failure domain is lost."""
        domain = self._rng.randrange(FAILURE_DOMAINS)
        lost = {index for index, node in enumerate(self._nodes) if node.domain == domain}
        return self.spread(lost=lost)

    def cut_region(self) -> _Cut:
        """Cut a region off, then join it again with all others ahead of it."""
        region = self._rng.randrange(REGIONS)
        inside = {index for index, node in enumerate(self._nodes) if node.region == region}
        heard = self._times(starts=[self._rng.choice(sorted(inside))], alive=inside)
        outside = [index for index in range(len(self._nodes)) if index not in inside]
        healed = self._times(starts=outside, alive=set(range(len(self._nodes))))
        return _Cut(together=len(heard) / len(inside), heal_ms=max(healed.values()))

    def _times(self, *, starts: Sequence[int], alive: set[int]) -> dict[int, float]:
        times: dict[int, float] = {}
        queue = [(0.0, start) for start in starts]
        while queue:
            now, index = heapq.heappop(queue)
            if index in times:
                continue
            times[index] = now
            for other in self._graph[index] & alive:
                if other not in times:
                    hop = 3 * self._one_way(index, other) + HOST_WORK_MS
                    heapq.heappush(queue, (now + hop, other))
        return times

    def _one_way(self, one: int, other: int) -> float:
        regions = frozenset((self._nodes[one].region, self._nodes[other].region))
        return NEAR_LATENCY_MS if len(regions) == 1 else self._latency[regions]


def lookup_rounds(*, contacts: int) -> tuple[float, float]:
    """Return rounds and messages of a parallel lookup over XOR buckets, on average."""
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

    known, asked = set(tables[start]), {start}
    rounds = messages = 0
    while target not in known:
        asking = sorted(known - asked, key=distance)[:LOOKUP_PARALLEL]
        rounds += 1
        messages += 2 * len(asking)
        asked.update(asking)
        for index in asking:
            known.update(tables[index])
    return rounds, messages
