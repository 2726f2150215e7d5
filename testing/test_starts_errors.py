"""Errors that reach the process of a host: exit code and last line, or that it goes on."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import PIPE
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
import contextlib
import os
from pathlib import Path
import signal
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

TIMEOUT_S: Final = 60.0
POLL_INTERVAL_S: Final = 0.02
SIGNALS: Final = 50

PROGRAM: Final = """
import sys
import tanagerscale.platform.__main__ as program
from importlib import import_module

module, *owner, name = sys.argv[1].split(":")
target = import_module(module)
for part in owner:
    target = getattr(target, part)
error = eval(sys.argv[2])

def fail(*args, **fields):
    raise error

async def fail_later(*args, **fields):
    raise error

setattr(target, name, fail_later if sys.argv[3] == "async" else fail)
program.main()
"""
"""Runs a host in which one function raises an error."""

START_STEPS: Final = [
    ("tanagerscale.platform.__main__:make_platform", "sync"),
    ("tanagerscale.gateway._process:GatewayHost", "sync"),
    ("tanagerscale.gateway._process:handle_signals", "sync"),
    ("tanagerscale.gateway._host:serve_readiness", "async"),
    ("tanagerscale.gateway._caller_server:CallerServer:start", "async"),
    ("tanagerscale.gateway._delegate_server:DelegateServer:start", "async"),
    ("tanagerscale.gateway._control:HostControl:start", "async"),
    ("tanagerscale.membership._mesh:Mesh:start", "async"),
]
ERRORS: Final = ["RuntimeError('odd')", "MemoryError()", "ValueError('odd')"]


@pytest_asyncio.fixture
async def platform(tmp_path: Path) -> AsyncIterator[PlatformCluster]:
    """Start a platform, and write the settings of a host."""
    created = PlatformCluster()
    await created.start()
    settings = await created.make_settings("h1", seeds=(), stop_grace_s=2)
    host = msgspec.structs.replace(settings.host, metrics=f"127.0.0.1:{free_port()}")
    write_settings(tmp_path / "host.ini", msgspec.structs.replace(settings, host=host))
    (tmp_path / "readiness").write_text(host.readiness)
    yield created
    await created.stop()


@contextlib.asynccontextmanager
async def _run(directory: Path, *arguments: str, output: int = PIPE) -> AsyncIterator[Process]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        stdout=output,
        stderr=asyncio.subprocess.STDOUT,
        env={**environment(), "TANAGERSCALE_CONFIG": str(directory / "host.ini")},
        cwd=ROOT,
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield process
    finally:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)
        await process.wait()


async def _read_lines(process: Process) -> list[str]:
    assert process.stdout is not None
    return (await process.stdout.read()).decode().splitlines()


async def _read_until(process: Process, text: str) -> None:
    assert process.stdout is not None
    read = ""
    while text not in read:
        line = (await process.stdout.readline()).decode()
        assert line, f"the process ended without a line {text!r}: {read}"
        read += line


async def _wait_ready(directory: Path, process: Process) -> None:
    url = f"http://{(directory / 'readiness').read_text()}/"
    async with aiohttp.ClientSession() as session:
        while True:
            assert process.returncode is None
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(POLL_INTERVAL_S)


def _last_message(lines: list[str]) -> dict[str, Any]:
    decoded: dict[str, Any] = msgspec.json.decode(lines[-1])
    return decoded


# Guards against an end whose cause and exit code no line tells.
@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("step", "kind", "error"),
    [
        *[(step, kind, ERRORS[0]) for step, kind in START_STEPS],
        *[(*START_STEPS[-1], error) for error in ERRORS[1:]],
    ],
)
async def test_host_ends_with_a_line_when_a_step_of_its_start_fails(
    platform: PlatformCluster, tmp_path: Path, step: str, kind: str, error: str
) -> None:
    async with _run(tmp_path, "-c", PROGRAM, step, error, kind) as process:
        lines = await _read_lines(process)
        assert await process.wait() == 1
    last = _last_message(lines)
    assert last["message"] == "The process ends by an error."
    assert last["exit_code"] == 1
    assert error.split("(")[0] in last["reason"]


@pytest.mark.asyncio
@pytest.mark.parametrize("step", ["tanagerscale.gateway._host:GatewayHost:start"])
async def test_host_ends_with_a_line_when_its_start_exits(
    platform: PlatformCluster, tmp_path: Path, step: str
) -> None:
    async with _run(tmp_path, "-c", PROGRAM, step, "SystemExit(7)", "async") as process:
        lines = await _read_lines(process)
        assert await process.wait() == 7
    assert any("SystemExit(7)" in line and "Exit code 7." in line for line in lines)


# Guards against an optional part that keeps the host from getting ready.
@pytest.mark.asyncio
@pytest.mark.parametrize("error", [*ERRORS, "PermissionError(13, 'odd')"])
async def test_host_gets_ready_when_its_metrics_cannot_be_served(
    platform: PlatformCluster, tmp_path: Path, error: str
) -> None:
    step = "tanagerscale.gateway._host:serve_metrics"
    async with _run(tmp_path, "-c", PROGRAM, step, error, "async") as process:
        await _read_until(process, "The host runs without metrics.")
        await _wait_ready(tmp_path, process)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


# Guards against a signal that ends the process, or stops its settings from being followed.
@pytest.mark.asyncio
async def test_host_goes_on_when_reloading_its_settings_fails(
    platform: PlatformCluster, tmp_path: Path
) -> None:
    step = "tanagerscale.gateway._host:GatewayHost:reload"
    async with _run(tmp_path, "-c", PROGRAM, step, ERRORS[0], "sync") as process:
        await _read_until(process, "The host starts.")
        process.send_signal(signal.SIGHUP)
        await _read_until(process, '"Unexpected error."')
        await _wait_ready(tmp_path, process)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


# Guards against a process that ends, or ends with another code, because nobody reads its log.
@pytest.mark.asyncio
async def test_host_goes_on_and_ends_with_zero_when_nobody_reads_its_log(
    platform: PlatformCluster, tmp_path: Path
) -> None:
    reader, writer = os.pipe()
    async with _run(tmp_path, "-m", "tanagerscale.platform", output=writer) as process:
        os.close(writer)
        os.close(reader)
        await _wait_ready(tmp_path, process)
        for _ in range(SIGNALS):
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGUSR1)
            await asyncio.sleep(0)
        await _wait_ready(tmp_path, process)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


# Guards against log lines that are written into a connection which got a closed descriptor.
@pytest.mark.asyncio
async def test_host_gets_ready_when_its_standard_descriptors_are_closed(
    platform: PlatformCluster, tmp_path: Path
) -> None:
    program = (
        "import os, sys; os.closerange(0, 3); "
        "os.execv(sys.executable, [sys.executable, '-m', 'tanagerscale.platform'])"
    )
    async with _run(tmp_path, "-c", program) as process:
        await _wait_ready(tmp_path, process)
        targets = {number: os.readlink(f"/proc/{process.pid}/fd/{number}") for number in range(3)}
        assert set(targets.values()) == {"/dev/null"}
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
