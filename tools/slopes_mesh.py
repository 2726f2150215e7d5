"""What connections between hosts cost: one real mesh in a process of its own, peers in another."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import multiprocessing
from multiprocessing.connection import Connection
from random import Random
import time

import psutil

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.generated.messages import Ask
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.membership import Mesh
from tanagerscale.membership import Message
from tanagerscale.membership import PeerAddress

CONNECTIONS = (4, 16, 48, 96, 128)
WINDOW_S = 6.0
BURST = 20_000
BURST_PAUSE_EVERY = 200
KIB = 1024
MS_PER_SECOND = 1000
HOST = "127.0.0.1:0"


@dataclass(frozen=True, kw_only=True, slots=True)
class MeshFigures:
    """What one host spends on idle connections.

    :param cpu_ms_per_s: Processor time, in milliseconds a second.
    :param sent_bytes_per_s: Bytes of frames sent, without WebSocket, TLS, TCP and IP headers.
    :param messages_per_s: Messages sent and received.
    :param memory_kib: Growth of resident memory over a mesh without peers, in KiB.
    """

    cpu_ms_per_s: float
    sent_bytes_per_s: float
    messages_per_s: float
    memory_kib: float


def measure_connections(connections: int) -> MeshFigures:
    """Measure a host with a number of peers that only beat."""
    context = multiprocessing.get_context("spawn")
    mine, its = context.Pipe()
    hub = context.Process(target=_run_hub, args=(its, connections))
    hub.start()
    address = mine.recv()
    peers = context.Process(target=_run_peers, args=(address, connections))
    peers.start()
    figures = mine.recv()
    peers.terminate()
    peers.join()
    hub.join()
    assert isinstance(figures, MeshFigures)
    return figures


def measure_message_us() -> float:
    """Return processor time to receive one ask over a WebSocket and decode it, in microseconds."""
    context = multiprocessing.get_context("spawn")
    mine, its = context.Pipe()
    hub = context.Process(target=_run_receiver, args=(its,))
    hub.start()
    address = mine.recv()
    sender = context.Process(target=_run_sender, args=(address,))
    sender.start()
    microseconds = mine.recv()
    sender.terminate()
    sender.join()
    hub.join()
    return float(microseconds)


def sample_ask() -> Ask:
    """Return an ask of usual size."""
    return Ask(
        cell="3f9c01ab-17",
        serial=1_234_567,
        generation="gen-0123456789abcdef01234567",
        model="round-plan-70b",
        account="trois-rivieres-crews",
        request_class="verdict",
        priority=1,
        prompt_tokens=850,
        max_tokens=4096,
        prefix="9f86d081884c7d65",
        prefix_tokens=600,
        movable=True,
    )


def _make(name: str) -> Mesh:
    return Mesh(
        host=HostId(name),
        failure_domain=FailureDomainId("zone-a"),
        incarnation=1,
        listen=HOST,
        clock=Clock(),
        rng=Random(name),
        heartbeat_source=lambda: Heartbeat(revision=123_456),
    )


def _run_hub(pipe: Connection, connections: int) -> None:
    asyncio.run(_hub(pipe, connections))


async def _hub(pipe: Connection, connections: int) -> None:
    mesh = _make("hub")
    pipe.send(await mesh.start())
    process = psutil.Process()
    resident = process.memory_info().rss
    while len(mesh.live.value) < connections:
        await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    counters = mesh.counters
    started, cpu = time.perf_counter(), time.process_time()
    sent, messages = counters.sent_bytes, counters.sent_messages + counters.received_messages
    await asyncio.sleep(WINDOW_S)
    elapsed = time.perf_counter() - started
    all_messages = counters.sent_messages + counters.received_messages
    figures = MeshFigures(
        cpu_ms_per_s=(time.process_time() - cpu) * MS_PER_SECOND / elapsed,
        sent_bytes_per_s=(counters.sent_bytes - sent) / elapsed,
        messages_per_s=(all_messages - messages) / elapsed,
        memory_kib=(process.memory_info().rss - resident) / KIB,
    )
    pipe.send(figures)
    await mesh.stop()


def _run_peers(address: str, connections: int) -> None:
    asyncio.run(_peers(address, connections))


async def _peers(address: str, connections: int) -> None:
    for index in range(connections):
        mesh = _make(f"peer-{index:04}")
        await mesh.start()
        mesh.set_peers([PeerAddress(address=address, host=HostId("hub"))])
    await asyncio.Event().wait()


def _run_receiver(pipe: Connection) -> None:
    asyncio.run(_receiver(pipe))


async def _receiver(pipe: Connection) -> None:
    mesh = _make("hub")
    received = 0
    first = cpu = 0.0
    done = asyncio.Event()

    def count(message: Message) -> None:
        nonlocal received, cpu, first
        if not isinstance(message, Ask):
            return
        received += 1
        if received == 1:
            first = time.process_time()
        if received == BURST:
            cpu = time.process_time() - first
            done.set()

    mesh.messages.subscribe(lambda each: count(each.message))
    pipe.send(await mesh.start())
    await done.wait()
    pipe.send(cpu * MS_PER_SECOND * MS_PER_SECOND / (BURST - 1))
    await mesh.stop()


def _run_sender(address: str) -> None:
    asyncio.run(_sender(address))


async def _sender(address: str) -> None:
    mesh = _make("sender")
    await mesh.start()
    mesh.set_peers([PeerAddress(address=address, host=HostId("hub"))])
    while not mesh.live.value:
        await asyncio.sleep(0.01)
    ask = sample_ask()
    sent = 0
    while sent < BURST:
        if mesh.send(host=HostId("hub"), message=ask):
            sent += 1
        if sent % BURST_PAUSE_EVERY == 0:
            await asyncio.sleep(0.001)
    await asyncio.Event().wait()
