"""Measure the cost of connections between hosts: one mesh in one process, its peers in another."""

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

CONNECTION_COUNTS = (4, 16, 48, 96, 128)
WINDOW_S = 6.0
BURST_MESSAGES = 20_000
MESSAGES_PER_PAUSE = 200
BYTES_PER_KIB = 1024
MS_PER_SECOND = 1000
LISTEN_ADDRESS = "127.0.0.1:0"


@dataclass(frozen=True, kw_only=True, slots=True)
class MeshCosts:
    """Cost of idle connections at one host.

    :param cpu_ms_per_s: Processor time, in milliseconds per second.
    :param sent_bytes_per_s: Size of the frames sent, without WebSocket, TLS, TCP and IP headers.
    :param messages_per_s: Number of messages sent and received.
    :param memory_kib: Growth of resident memory over a mesh without peers, in KiB.
    """

    cpu_ms_per_s: float
    sent_bytes_per_s: float
    messages_per_s: float
    memory_kib: float


def measure_connections(connections: int) -> MeshCosts:
    """Measure a host whose peers send only heartbeats."""
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    hub = context.Process(target=_run_hub, args=(child_pipe, connections))
    hub.start()
    address = parent_pipe.recv()
    peers = context.Process(target=_run_peers, args=(address, connections))
    peers.start()
    costs = parent_pipe.recv()
    peers.terminate()
    peers.join()
    hub.join()
    assert isinstance(costs, MeshCosts)
    return costs


def measure_receive_us() -> float:
    """Return processor time to receive one ask over a WebSocket and decode it, in microseconds."""
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    hub = context.Process(target=_run_receiver, args=(child_pipe,))
    hub.start()
    address = parent_pipe.recv()
    sender = context.Process(target=_run_sender, args=(address,))
    sender.start()
    microseconds = parent_pipe.recv()
    sender.terminate()
    sender.join()
    hub.join()
    return float(microseconds)


def sample_ask() -> Ask:
    """Return an ask of typical size."""
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


def _make_mesh(name: str) -> Mesh:
    return Mesh(
        host=HostId(name),
        failure_domain=FailureDomainId("zone-a"),
        incarnation=1,
        listen=LISTEN_ADDRESS,
        clock=Clock(),
        rng=Random(name),
        heartbeat_source=lambda: Heartbeat(revision=123_456),
    )


def _run_hub(pipe: Connection, connections: int) -> None:
    asyncio.run(_hub(pipe, connections))


async def _hub(pipe: Connection, connections: int) -> None:
    mesh = _make_mesh("hub")
    pipe.send(await mesh.start())
    process = psutil.Process()
    resident_before = process.memory_info().rss
    while len(mesh.live.value) < connections:
        await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    counters = mesh.counters
    started, cpu_s = time.perf_counter(), time.process_time()
    sent, messages = counters.sent_bytes, counters.sent_messages + counters.received_messages
    await asyncio.sleep(WINDOW_S)
    elapsed_s = time.perf_counter() - started
    all_messages = counters.sent_messages + counters.received_messages
    costs = MeshCosts(
        cpu_ms_per_s=(time.process_time() - cpu_s) * MS_PER_SECOND / elapsed_s,
        sent_bytes_per_s=(counters.sent_bytes - sent) / elapsed_s,
        messages_per_s=(all_messages - messages) / elapsed_s,
        memory_kib=(process.memory_info().rss - resident_before) / BYTES_PER_KIB,
    )
    pipe.send(costs)
    await mesh.stop()


def _run_peers(address: str, connections: int) -> None:
    asyncio.run(_peers(address, connections))


async def _peers(address: str, connections: int) -> None:
    for index in range(connections):
        mesh = _make_mesh(f"peer-{index:04}")
        await mesh.start()
        mesh.set_peers([PeerAddress(address=address, host=HostId("hub"))])
    await asyncio.Event().wait()


def _run_receiver(pipe: Connection) -> None:
    asyncio.run(_receiver(pipe))


async def _receiver(pipe: Connection) -> None:
    mesh = _make_mesh("hub")
    received = 0
    first = cpu_s = 0.0
    done = asyncio.Event()

    def count(message: Message) -> None:
        nonlocal received, cpu_s, first
        if not isinstance(message, Ask):
            return
        received += 1
        if received == 1:
            first = time.process_time()
        if received == BURST_MESSAGES:
            cpu_s = time.process_time() - first
            done.set()

    mesh.messages.subscribe(lambda each: count(each.message))
    pipe.send(await mesh.start())
    await done.wait()
    pipe.send(cpu_s * MS_PER_SECOND * MS_PER_SECOND / (BURST_MESSAGES - 1))
    await mesh.stop()


def _run_sender(address: str) -> None:
    asyncio.run(_sender(address))


async def _sender(address: str) -> None:
    mesh = _make_mesh("sender")
    await mesh.start()
    mesh.set_peers([PeerAddress(address=address, host=HostId("hub"))])
    while not mesh.live.value:
        await asyncio.sleep(0.01)
    ask = sample_ask()
    sent = 0
    while sent < BURST_MESSAGES:
        if mesh.send(host=HostId("hub"), message=ask):
            sent += 1
        if sent % MESSAGES_PER_PAUSE == 0:
            await asyncio.sleep(0.001)
    await asyncio.Event().wait()
