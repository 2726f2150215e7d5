"""Starts of a host's process that something hinders for a while, or for good."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import PIPE
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
import contextlib
import os
from pathlib import Path
import resource
import signal
import socket
import sys
from typing import Any
from typing import Final

import aiohttp
import msgspec
import pytest
import pytest_asyncio

from standins.platform_world import PlatformCluster
from standins.platform_world import free_port
from standins.platform_world import write_settings
from standins.processes import ROOT
from standins.processes import environment
from tanagerscale.generated.gateway import GatewaySettings

TIMEOUT_S: Final = 60.0
POLL_INTERVAL_S: Final = 0.02
STEADY_TRIES: Final = 3
"""Failed tries after which a process is taken to go on trying."""
FEW_DESCRIPTORS: Final = 16
PORT_NAMES: Final = ("callers", "readiness", "peers", "delegates", "metrics")


class _Host:
    """The process of one host.

    :param process: The process, whose standard output and error are one pipe.
    :param settings: Its settings.
    """

    def __init__(self, *, process: Process, settings: GatewaySettings) -> None:
        self._settings = settings
        self.process = process
        self.lines: list[str] = []

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def read_until(self, text: str, *, times: int = 1) -> str:
        """Read the log up to a line with a text, or to its end.

        :param text: Text to look for.
        :param times: Number of lines with the text to read.
        :returns: The last line that was read.
        """
        assert self.process.stdout is not None
        while line := (await self.process.stdout.readline()).decode():
            self.lines.append(line)
            times -= text in line
            if not times:
                return line
        raise AssertionError(f"the process ended without a line {text!r}: {self.lines}")

    async def read_to_end(self) -> int:
        """Read the rest of the log and return the exit code."""
        assert self.process.stdout is not None
        self.lines += (await self.process.stdout.read()).decode().splitlines()
        return await self.process.wait()

    async def wait_ready(self) -> None:
        """Wait until the readiness check succeeds."""
        url = f"http://{self._settings.host.readiness}/"
        async with aiohttp.ClientSession() as session:
            while True:
                assert self.process.returncode is None
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(POLL_INTERVAL_S)


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformCluster]:
    """Start a platform without hosts."""
    created = PlatformCluster()
    await created.start()
    yield created
    await created.stop()


@pytest_asyncio.fixture
async def settings(platform: PlatformCluster) -> GatewaySettings:
    """Return the settings of a host with a port for each of its servers."""
    made = await platform.make_settings("h1", seeds=(), stop_grace_s=2)
    return _replace(made, metrics=f"127.0.0.1:{free_port()}")


def _replace(settings: GatewaySettings, **fields: str) -> GatewaySettings:
    """Return settings with other fields of the host."""
    return msgspec.structs.replace(settings, host=msgspec.structs.replace(settings.host, **fields))


@contextlib.asynccontextmanager
async def _run_host(
    settings: GatewaySettings, path: Path, *, descriptors: int | None = None
) -> AsyncIterator[_Host]:
    def limit() -> None:
        if descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tanagerscale.platform",
        stdout=PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={**environment(), "TANAGERSCALE_CONFIG": str(path)},
        cwd=ROOT,
        preexec_fn=limit,
    )
    host = _Host(process=process, settings=settings)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield host
    finally:
        host.send(signal.SIGKILL)
        await process.wait()


@contextlib.contextmanager
def _taken(address: str) -> Any:
    """Listen on an address, as a process does that ends only later."""
    ip, _, port = address.rpartition(":")
    with socket.socket() as taken:
        taken.bind((ip, int(port)))
        taken.listen()
        yield


# Guards against an end of the process when a port is free only later.
@pytest.mark.asyncio
@pytest.mark.parametrize("name", [name for name in PORT_NAMES if name != "metrics"])
async def test_host_gets_ready_when_a_port_is_free_later(
    settings: GatewaySettings, tmp_path: Path, name: str
) -> None:
    path = tmp_path / "host.ini"
    write_settings(path, settings)
    address = getattr(settings.host, name)
    async with _run_host(settings, path) as host:
        with _taken(address):
            line = await host.read_until("A port can't be opened", times=STEADY_TRIES)
        await host.wait_ready()
        host.send(signal.SIGTERM)
        assert await host.read_to_end() == 0
    fields = msgspec.json.decode(line)
    assert fields["address"] == address
    assert fields["tries"] == STEADY_TRIES
    assert "in use" in fields["reason"]


# Guards against a host that isn't started because its metrics can't be served.
@pytest.mark.asyncio
async def test_host_gets_ready_and_serves_metrics_later_when_their_port_is_taken(
    settings: GatewaySettings, tmp_path: Path
) -> None:
    path = tmp_path / "host.ini"
    write_settings(path, settings)
    async with _run_host(settings, path) as host:
        with _taken(settings.host.metrics):
            await host.wait_ready()
            await host.read_until("A port can't be opened", times=STEADY_TRIES)
        async with aiohttp.ClientSession() as session:
            body = ""
            while not body:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(f"http://{settings.host.metrics}/metrics") as answer:
                        body = await answer.text()
                await asyncio.sleep(POLL_INTERVAL_S)
        host.send(signal.SIGTERM)
        assert await host.read_to_end() == 0
    counts = [
        float(line.split()[-1])
        for line in body.splitlines()
        if line.startswith("tanagerscale_failed_starts_total") and 'part="metrics"' in line
    ]
    assert len(counts) == 1
    assert counts[0] >= STEADY_TRIES


# Guards against a process that can be ended only by force while it waits for a port.
@pytest.mark.asyncio
@pytest.mark.parametrize("name", [name for name in PORT_NAMES if name != "metrics"])
async def test_host_ends_with_zero_and_a_line_when_it_is_stopped_while_it_waits_for_a_port(
    settings: GatewaySettings, tmp_path: Path, name: str
) -> None:
    path = tmp_path / "host.ini"
    write_settings(path, settings)
    async with _run_host(settings, path) as host:
        with _taken(getattr(settings.host, name)):
            await host.read_until("A port can't be opened")
            host.send(signal.SIGTERM)
            assert await host.read_to_end() == 0
    assert msgspec.json.decode(host.lines[-1])["message"] == "The host is stopped as it starts."


# Guards against an endless wait for an address that the machine doesn't have.
@pytest.mark.asyncio
async def test_host_ends_with_a_clear_error_when_an_address_is_not_of_its_machine(
    settings: GatewaySettings, tmp_path: Path
) -> None:
    path = tmp_path / "host.ini"
    settings = _replace(settings, callers="192.0.2.1:8740")
    write_settings(path, settings)
    async with _run_host(settings, path) as host:
        assert await host.read_to_end() == 2
    last = msgspec.json.decode(host.lines[-1])
    assert last["message"] == "The process ends by an error."
    assert last["exit_code"] == 2
    assert "192.0.2.1:8740" in last["reason"]


# Guards against a host that neither gets ready nor says why.
@pytest.mark.asyncio
async def test_host_says_so_when_its_limit_of_descriptors_is_too_low(
    settings: GatewaySettings, tmp_path: Path
) -> None:
    path = tmp_path / "host.ini"
    write_settings(path, settings)
    async with _run_host(settings, path, descriptors=FEW_DESCRIPTORS) as host:
        line = await host.read_until("The limit of file descriptors is too low")
    fields = msgspec.json.decode(line)
    assert fields["limit"] == FEW_DESCRIPTORS
