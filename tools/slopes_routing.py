"""What placements cost: two real routers with the real scheduler and real frames between them."""

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

ENTRY = HostId("entry")
OWNER = HostId("owner")
CELL_SIZES = (4, 8, 16, 32)
RUNNING_SIZES = (50, 100, 200, 400)
LEDGER_SIZES = (500, 1000, 2000, 4000)
PLACEMENTS = 400
RUNS = 5
PAST_PROMPT = 20
MEMORY_TOKENS = 10_000_000
MICROSECONDS = 1_000_000
BYTES_PER_KIB = 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementFigures:
    """What one placement costs, from the ask to the end.

    :param cpu_us: Processor time of the entry host and the owner together, in microseconds.
    :param frame_bytes: Bytes of frames in both directions.
    :param messages: Messages in both directions.
    """

    cpu_us: float
    frame_bytes: float
    messages: float


class _Wire:
    """Carries frames between two routers, encoded and decoded as on the network."""

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
        self.other = self
        self.frames = 0
        self.frame_bytes = 0

    def send(self, *, host: HostId, message: Message) -> bool:
        """Deliver a message in the loop's next round."""
        frame = encode_frame(message)
        self.frames += 1
        self.frame_bytes += len(frame)
        asyncio.get_running_loop().call_soon(self.other.take, self.host, frame)
        return True

    def take(self, sender: HostId, frame: bytes) -> None:
        """Take in a frame."""
        message = decode_frame(frame).unwrap()
        self.messages.on_next(ReceivedMessage(host=sender, message=message))


class _Pair:
    """An entry host and the owner of the only cell."""

    def __init__(self, *, engines: int) -> None:
        self.wires = [_Wire(host=ENTRY, peer=OWNER), _Wire(host=OWNER, peer=ENTRY)]
        self.wires[0].other, self.wires[1].other = self.wires[1], self.wires[0]
        self.routers = [self._router(wire) for wire in self.wires]
        self.engines = _engines(engines)
        for router in self.routers:
            router.set_engines(self.engines)
            router.start()
        self.entry = next(router for router in self.routers if not router.owned)

    @staticmethod
    def _router(wire: _Wire) -> PoolRouter:
        return PoolRouter(
            network=wire,
            gate=UpstreamGate(clock=Clock(), rng=Random(1), broadcast=lambda _message: None),
            make_scheduler=lambda: make_scheduler(
                objective=Objective(), accounts={}, rng=Random(2)
            ),
            clock=Clock(),
            rng=Random(3),
        )

    @property
    def frames(self) -> int:
        """Messages so far."""
        return sum(wire.frames for wire in self.wires)

    @property
    def frame_bytes(self) -> int:
        """Bytes so far."""
        return sum(wire.frame_bytes for wire in self.wires)

    def fill(self, number: int, *, name: str = "running") -> None:
        """Hold generations that are past their prompts and go on running."""
        for index in range(number):
            engine = UpstreamId(self.engines[index % len(self.engines)].name)
            request = _request(f"{name}-{index:024}")
            self.entry.adopt(request=request, engine=engine, tokens=PAST_PROMPT)

    async def stop(self) -> None:
        """End both routers."""
        for router in self.routers:
            await router.stop()


def measure_placement(*, engines: int, running: int) -> PlacementFigures:
    """Measure placements one after the other while others run; the fastest of some runs."""
    runs = [asyncio.run(_measure_placement(engines=engines, running=running)) for _ in range(RUNS)]
    return min(runs, key=lambda run: run.cpu_us)


async def _measure_placement(*, engines: int, running: int) -> PlacementFigures:
    pair = _Pair(engines=engines)
    pair.fill(running)
    await asyncio.sleep(0.2)
    frames, frame_bytes, cpu = pair.frames, pair.frame_bytes, time.process_time()
    for index in range(PLACEMENTS):
        generation = f"gen-{index:024}"
        await pair.entry.place(request=_request(generation))
        pair.entry.release(
            generation=GenerationId(generation), tokens=200, complete=True, engine_lost=False
        )
    await asyncio.sleep(0)
    figures = PlacementFigures(
        cpu_us=(time.process_time() - cpu) * MICROSECONDS / PLACEMENTS,
        frame_bytes=(pair.frame_bytes - frame_bytes) / PLACEMENTS,
        messages=(pair.frames - frames) / PLACEMENTS,
    )
    await pair.stop()
    return figures


def measure_idle_cpu_ms(*, running: int) -> float:
    """Return processor time a second of both routers while generations run, in milliseconds."""
    return asyncio.run(_measure_idle(running=running))


async def _measure_idle(*, running: int) -> float:
    window_s = 4.0
    pair = _Pair(engines=32)
    pair.fill(running)
    await asyncio.sleep(1)
    cpu = time.process_time()
    for step in range(int(window_s * 2)):
        for index in range(running):
            generation = GenerationId(f"running-{index:024}")
            pair.entry.report_progress(generation=generation, tokens=PAST_PROMPT + 10 * (step + 1))
        await asyncio.sleep(0.5)
    spent = time.process_time() - cpu
    await pair.stop()
    return spent * 1000 / window_s


def measure_ledger_kib(reservations: int) -> float:
    """Return the memory of an entry host and an owner for a number of placements, in KiB."""
    return asyncio.run(_measure_ledger(reservations))


async def _measure_ledger(reservations: int) -> float:
    pair = _Pair(engines=32)
    pair.fill(10)
    await asyncio.sleep(0.2)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    pair.fill(reservations, name="more")
    await asyncio.sleep(0.2)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await pair.stop()
    return (after - before) / BYTES_PER_KIB


def progress_bytes(placements: int) -> int:
    """Return the bytes of a progress message that names a number of placements."""
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
