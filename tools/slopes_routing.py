"""Measure the cost of placements with two routers, the scheduler and frames between them."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
import gc
from random import Random
import time
import tracemalloc

from reactivex.subject import BehaviorSubject
from reactivex.subject import Subject

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import ModelId
from tanagerscale.core import Revision
from tanagerscale.core import UpstreamId
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.messages import Progress
from tanagerscale.membership import Message
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import ReceivedMessage
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import decode_frame
from tanagerscale.membership import encode_frame
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import make_scheduler
from tanagerscale.routing import PoolRouter

ENTRY_HOST = HostId("entry")
OWNER_HOST = HostId("owner")
CELL_SIZES = (4, 8, 16, 32)
RUNNING_SIZES = (50, 100, 200, 400)
LEDGER_SIZES = (500, 1000, 2000, 4000)
PLACEMENT_COUNT = 400
RUN_COUNT = 5
GENERATED_TOKENS = 20
MEMORY_TOKENS = 10_000_000
US_PER_SECOND = 1_000_000
BYTES_PER_KIB = 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementCosts:
    """Cost of one placement, from the ask to the release.

    :param cpu_us: Processor time of the entry host and the owner combined, in microseconds.
    :param frame_bytes: Size of the frames in both directions, in bytes.
    :param messages: Number of messages in both directions.
    """

    cpu_us: float
    frame_bytes: float
    messages: float


class _Link:
    """In-process network link between two routers that encodes and decodes every message."""

    def __init__(self, *, host: HostId, peer: HostId) -> None:
        self.host = host
        self.messages: Subject[ReceivedMessage] = Subject()
        info = PeerInfo(
            host=peer,
            incarnation=1,
            failure_domain=FailureDomainId(""),
            address="",
            revision=Revision(1),
            leaving=False,
        )
        self.live: BehaviorSubject[tuple[PeerInfo, ...]] = BehaviorSubject((info,))
        self.peer_link = self
        self.frames = 0
        self.frame_bytes = 0

    def send(self, *, host: HostId, message: Message) -> bool:
        """Deliver a message in the next iteration of the event loop."""
        frame = encode_frame(message)
        self.frames += 1
        self.frame_bytes += len(frame)
        asyncio.get_running_loop().call_soon(self.peer_link.receive, self.host, frame)
        return True

    def receive(self, sender: HostId, frame: bytes) -> None:
        """Decode a frame and publish its message."""
        message = decode_frame(frame).unwrap()
        self.messages.on_next(ReceivedMessage(host=sender, message=message))


class _RouterPair:
    """An entry host and the owner of the only cell, connected to each other."""

    def __init__(self, *, engines: int) -> None:
        self.links = [
            _Link(host=ENTRY_HOST, peer=OWNER_HOST),
            _Link(host=OWNER_HOST, peer=ENTRY_HOST),
        ]
        self.links[0].peer_link, self.links[1].peer_link = self.links[1], self.links[0]
        self.routers = [self._router(link) for link in self.links]
        self.engines = _engines(engines)
        for router in self.routers:
            router.set_engines(self.engines)
            router.start()
        self.entry = next(router for router in self.routers if not router.owned)

    @staticmethod
    def _router(link: _Link) -> PoolRouter:
        return PoolRouter(
            network=link,
            gate=UpstreamGate(clock=Clock(), rng=Random(1), broadcast=lambda _message: None),
            make_scheduler=lambda: make_scheduler(
                objective=Objective(), accounts={}, rng=Random(2)
            ),
            clock=Clock(),
            rng=Random(3),
        )

    @property
    def frames(self) -> int:
        """Number of messages sent so far."""
        return sum(link.frames for link in self.links)

    @property
    def frame_bytes(self) -> int:
        """Number of bytes sent so far."""
        return sum(link.frame_bytes for link in self.links)

    def add_running(self, number: int, *, name: str = "running") -> None:
        """Add running generations that have finished prefill."""
        for index in range(number):
            engine = UpstreamId(self.engines[index % len(self.engines)].name)
            request = _request(f"{name}-{index:024}")
            self.entry.adopt(request=request, engine=engine, tokens=GENERATED_TOKENS)

    async def stop(self) -> None:
        """Stop both routers."""
        for router in self.routers:
            await router.stop()


def measure_placement(*, engines: int, running: int) -> PlacementCosts:
    """Measure sequential placements while other generations run; return the fastest run."""
    runs = [
        asyncio.run(_measure_placement(engines=engines, running=running)) for _ in range(RUN_COUNT)
    ]
    return min(runs, key=lambda run: run.cpu_us)


async def _measure_placement(*, engines: int, running: int) -> PlacementCosts:
    pair = _RouterPair(engines=engines)
    pair.add_running(running)
    await asyncio.sleep(0.2)
    frames, frame_bytes, cpu_start = pair.frames, pair.frame_bytes, time.process_time()
    for index in range(PLACEMENT_COUNT):
        generation = f"gen-{index:024}"
        await pair.entry.place(request=_request(generation))
        pair.entry.release(
            generation=GenerationId(generation), tokens=200, complete=True, engine_lost=False
        )
    await asyncio.sleep(0)
    costs = PlacementCosts(
        cpu_us=(time.process_time() - cpu_start) * US_PER_SECOND / PLACEMENT_COUNT,
        frame_bytes=(pair.frame_bytes - frame_bytes) / PLACEMENT_COUNT,
        messages=(pair.frames - frames) / PLACEMENT_COUNT,
    )
    await pair.stop()
    return costs


def measure_idle_cpu_ms(*, running: int) -> float:
    """Return processor time per second of both routers while generations run, in milliseconds."""
    return asyncio.run(_measure_idle(running=running))


async def _measure_idle(*, running: int) -> float:
    window_s = 4.0
    pair = _RouterPair(engines=32)
    pair.add_running(running)
    await asyncio.sleep(1)
    cpu_start = time.process_time()
    for step in range(int(window_s * 2)):
        for index in range(running):
            generation = GenerationId(f"running-{index:024}")
            pair.entry.report_progress(
                generation=generation, tokens=GENERATED_TOKENS + 10 * (step + 1)
            )
        await asyncio.sleep(0.5)
    cpu_s = time.process_time() - cpu_start
    await pair.stop()
    return cpu_s * 1000 / window_s


def measure_ledger_kib(reservations: int) -> float:
    """Return the memory used at entry host and owner by a number of placements, in KiB."""
    return asyncio.run(_measure_ledger(reservations))


async def _measure_ledger(reservations: int) -> float:
    pair = _RouterPair(engines=32)
    pair.add_running(10)
    await asyncio.sleep(0.2)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    pair.add_running(reservations, name="more")
    await asyncio.sleep(0.2)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await pair.stop()
    return (after - before) / BYTES_PER_KIB


def progress_bytes(placements: int) -> int:
    """Return the size of a progress message for a number of placements, in bytes."""
    serials = [1_000_000 + 7 * index for index in range(placements)]
    return len(
        encode_frame(Progress(cell="3f9c01ab-17", serials=serials, tokens=[900] * placements))
    )


def _engines(number: int) -> Sequence[Engine]:
    return [
        Engine(
            name=f"engine-{index:05}",
            address=f"10.0.{index // 250}.{index % 250}:8000",
            failure_domain="zone-a",
            models=["round-plan-70b"],
            memory_tokens=MEMORY_TOKENS,
            max_batch=4096,
        )
        for index in range(number)
    ]


def _request(generation: str) -> PlacementRequest:
    return PlacementRequest(
        generation=GenerationId(generation),
        model=ModelId("round-plan-70b"),
        account=ClientAccountId("trois-rivieres-crews"),
        request_class="verdict",
        prompt_tokens=850,
        max_tokens=4096,
        prefix="9f86d081884c7d65",
        prefix_tokens=600,
        movable=True,
        arrived=Clock().now(),
    )
