"""A host's process while crowds of clients stay outside the limits or stop short of an end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
from pathlib import Path

import msgspec
import psutil
import pytest
import pytest_asyncio

from standins.platform_fault_log import FaultLog
from standins.platform_hosts import PlatformHostProcess
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from standins.platform_world import configuration
from standins.platform_world import free_port
from tanagerscale.generated.gateway import GatewaySettings
from testing._client_crowd import BODY_BYTES
from testing._client_crowd import BODY_FORMS
from testing._client_crowd import CHUNKED
from testing._client_crowd import HEAD_BYTES
from testing._client_crowd import HEAD_FORMS
from testing._client_crowd import SLOW_FORMS
from testing._client_crowd import WITH_LENGTH
from testing._client_crowd import ClientCrowd
from testing._client_crowd import Script
from testing._client_crowd import make_chunks
from testing._client_crowd import make_head

pytestmark = pytest.mark.crowd

MEMORY_MB = 110
"""Memory of the host; the resident memory of its process must stay below."""
FILE_DESCRIPTORS = 4100
"""Descriptors of the host; its process must not have more open."""
FEW_DESCRIPTORS = 260
"""Descriptors of a host with fewer than a crowd has connections."""
HEADER_TIMEOUT_MS = 500
CROWD = 60
SLOW_CROWD = 300
PLAY_S = 6.0
ATTEMPTS = 5
ANSWER_S = 4.0
"""Longest wait of an ordinary client for one answer; its route's timeout is 2 s."""
RETRY_S = 0.2
HANG_S = 30.0
MEASURE_INTERVAL_S = 0.02
OTHER_FORMS = {
    "line": HEAD_FORMS["line"],
    "fields": HEAD_FORMS["fields"],
    "blank_lf": HEAD_FORMS["blank_lf"],
    "chunks_1": BODY_FORMS["chunks_1"],
}
LISTENERS = ("readiness", "peers", "delegates", "metrics")


class _Host:
    """A host's process, and what it used at most.

    :param process: The process.
    :param settings: Its settings.
    """

    def __init__(self, process: PlatformHostProcess, settings: GatewaySettings) -> None:
        self.process = process
        self.settings = settings
        self.peak_bytes = 0
        self.peak_descriptors = 0

    @property
    def callers(self) -> str:
        """IP address and port for callers."""
        return self.settings.host.callers

    async def measure(self) -> None:
        """Record what the process uses until it ends."""
        process = psutil.Process(self.process.pid)
        with contextlib.suppress(psutil.NoSuchProcess):
            while True:
                self.peak_bytes = max(self.peak_bytes, process.memory_info().rss)
                self.peak_descriptors = max(self.peak_descriptors, process.num_fds())
                await asyncio.sleep(MEASURE_INTERVAL_S)

    def check(self) -> None:
        """Check that the process has not ended and has stayed within its machine."""
        assert self.process.instances[-1].ended is None
        assert len(self.process.instances) == 1
        assert self.peak_bytes < MEMORY_MB * 1_000_000
        assert self.peak_descriptors <= self.settings.host.file_descriptors


@contextlib.asynccontextmanager
async def _start_host(directory: Path, *, file_descriptors: int) -> AsyncIterator[_Host]:
    """Start a host with one upstream for bookings."""
    platform = PlatformCluster()
    await platform.start()
    limits = {
        "maxHeaderBytes": HEAD_BYTES,
        "maxBodyBytes": BODY_BYTES,
        "headerTimeoutMs": HEADER_TIMEOUT_MS,
        "idleTimeoutMs": 15_000,
    }
    platform.configure(configuration(version=2, limits=limits))
    await platform.add_upstream("u1", PLAIN_SERVICE)
    settings = await platform.make_settings(
        "h1",
        seeds=(),
        stop_grace_s=4,
        memory_mb=float(MEMORY_MB),
        file_descriptors=file_descriptors,
    )
    section = msgspec.structs.replace(settings.host, metrics=f"127.0.0.1:{free_port()}")
    settings = msgspec.structs.replace(settings, host=section)
    process = PlatformHostProcess(
        name="h1", settings=settings, directory=directory, fault_log=FaultLog()
    )
    await process.start()
    await process.wait_until_ready()
    yield _Host(process, settings)
    await process.end()
    await platform.stop()


@pytest_asyncio.fixture
async def host(tmp_path: Path) -> AsyncIterator[_Host]:
    """Start a host of little memory."""
    async with _start_host(tmp_path, file_descriptors=FILE_DESCRIPTORS) as started:
        yield started


@pytest_asyncio.fixture
async def narrow_host(tmp_path: Path) -> AsyncIterator[_Host]:
    """Start a host of little memory and few descriptors."""
    async with _start_host(tmp_path, file_descriptors=FEW_DESCRIPTORS) as started:
        yield started


async def _exchange(address: str, *parts: bytes, wait_s: float = ANSWER_S) -> int:
    """Send a request on a connection of its own and return the status; 0 for no answer."""
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                for part in parts:
                    writer.write(part)
                line = await reader.readline()
            finally:
                writer.transport.abort()
    except OSError:
        return 0
    return int(line.split()[1]) if line.startswith(b"HTTP/1.1 ") else 0


async def _ask(address: str, request: bytes | None = None) -> list[int]:
    """Send an ordinary request until it is answered, as clients do; return the statuses."""
    seen: list[int] = []
    while len(seen) < ATTEMPTS and 200 not in seen:
        if seen:
            await asyncio.sleep(RETRY_S)
        seen.append(await _exchange(address, request or make_head()))
    return seen


async def _play(host: _Host, script: Script, *, address: str, size: int = CROWD) -> None:
    """Let a crowd send, and an ordinary client ask before the crowd's end and after it."""
    measuring = asyncio.create_task(host.measure())
    try:
        assert 200 in await _ask(host.callers)
        async with ClientCrowd(script, address=address, size=size):
            await asyncio.sleep(PLAY_S)
            during = await asyncio.wait_for(_ask(host.callers), HANG_S)
        after = await asyncio.wait_for(_ask(host.callers), HANG_S)
    finally:
        measuring.cancel()
    host.check()
    assert 200 in during
    assert 200 in after


# Guards against heads that grow without a bound, and against what refused ones leave behind.
@pytest.mark.asyncio
@pytest.mark.parametrize("form", HEAD_FORMS)
async def test_host_stays_within_its_machine_when_heads_have_no_end(host: _Host, form: str) -> None:
    await _play(host, HEAD_FORMS[form], address=host.callers)


# Guards against connections that stay open for nothing until the host has no descriptor left.
@pytest.mark.asyncio
@pytest.mark.parametrize("form", SLOW_FORMS)
async def test_host_keeps_descriptors_when_many_connections_send_little(
    narrow_host: _Host, form: str
) -> None:
    address = narrow_host.callers
    await _play(narrow_host, SLOW_FORMS[form], address=address, size=SLOW_CROWD)


# Guards against bodies whose senders never complete them.
@pytest.mark.asyncio
@pytest.mark.parametrize("form", BODY_FORMS)
async def test_host_stays_within_its_machine_when_bodies_stop_short_of_their_end(
    host: _Host, form: str
) -> None:
    await _play(host, BODY_FORMS[form], address=host.callers)


# Guards against a listener without the bounds of the others.
@pytest.mark.asyncio
@pytest.mark.parametrize("form", OTHER_FORMS)
@pytest.mark.parametrize("listener", LISTENERS)
async def test_host_stays_within_its_machine_when_a_crowd_is_at_another_listener(
    host: _Host, listener: str, form: str
) -> None:
    address = getattr(host.settings.host, listener)
    await _play(host, OTHER_FORMS[form], address=address)
    if listener in ("readiness", "metrics"):
        assert 200 in await _ask(address, b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")


def _fields(number: int) -> str:
    return "".join(f"A{index}: b\r\n" for index in range(number))


def _padded_head(size: int) -> bytes:
    """Return a head of exactly this size."""
    bare = len(make_head(extra="A: \r\n"))
    head = make_head(extra="A: " + "x" * (size - bare) + "\r\n")
    assert len(head) == size
    return head


CALM: dict[str, tuple[tuple[bytes, ...], int]] = {
    "body_with_a_length": ((make_head(WITH_LENGTH), b"x" * BODY_BYTES), 200),
    "body_in_one_chunk": ((make_head(CHUNKED), *make_chunks(BODY_BYTES)), 200),
    "body_in_chunks_of_64_kb": ((make_head(CHUNKED), *make_chunks(65_536)), 200),
    "body_in_chunks_of_16": ((make_head(CHUNKED), *make_chunks(16)), 200),
    "body_in_chunks_of_1": ((make_head(CHUNKED), *make_chunks(1)), 200),
    "body_over_the_limit": (
        (make_head(f"Content-Length: {BODY_BYTES + 1}"), b"x" * (BODY_BYTES + 1)),
        413,
    ),
    "100_fields": ((make_head(extra=_fields(100)),), 200),
    "200_fields": ((make_head(extra=_fields(200)),), 200),
    "1500_fields": ((make_head(extra=_fields(1500)),), 200),
    "field_of_15_kb": ((make_head(extra="A: " + "x" * 15_000 + "\r\n"),), 200),
    "target_of_8_kb": ((make_head(target="/book/x?" + "x" * 8_000),), 200),
    "target_of_15_kb": ((make_head(target="/book/x?" + "x" * 15_000),), 200),
    "head_of_17_kb": ((make_head(extra="A: " + "x" * 17_000 + "\r\n"),), 431),
    "head_of_60_kb": ((make_head(extra="A: " + "x" * 60_000 + "\r\n"),), 431),
    "head_of_the_limit": ((_padded_head(HEAD_BYTES),), 200),
    "head_of_one_byte_more": ((_padded_head(HEAD_BYTES + 1),), 431),
    "head_without_its_end": ((make_head()[:-2],), 408),
    "missing_key_before_the_body": ((make_head(WITH_LENGTH, key=None),), 401),
    "unknown_key_before_the_body": ((make_head(WITH_LENGTH, key="none"),), 401),
    "unknown_route_before_the_body": ((make_head(WITH_LENGTH, target="/nothing/"),), 404),
}


@pytest.mark.asyncio
@pytest.mark.parametrize("case", CALM)
async def test_single_request_has_the_status_that_the_limits_allow(host: _Host, case: str) -> None:
    parts, status = CALM[case]
    assert await _exchange(host.callers, *parts, wait_s=HANG_S) == status
