"""Signals that reach the process of a host in any of its states."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import PIPE
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
import contextlib
from dataclasses import dataclass
from dataclasses import field
import os
from pathlib import Path
import shutil
import signal
import subprocess
import sys
from typing import Any

import msgspec
import pytest
import pytest_asyncio

from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from standins.platform_world import write_settings
from standins.processes import ROOT
from standins.processes import environment

START_FILES = ("start.py", "start_image.py")
EVENT_MS = 20.0
STREAM_EVENTS = 150
"""A stream lasts 3 s, which is longer than a stopping host accepts connections."""
GRACE_S = 8
LONG_STREAM_EVENTS = 1000
SHORT_GRACE_S = 4
CUT_STREAMS = 20
OTHER_CALLS = 400
TIMEOUT_S = 60.0
SIGNAL_INTERVAL_S = 0.001
TOKENS = (100, 600)


@dataclass(kw_only=True)
class _Host:
    """The process of one host.

    :param process: The process.
    :param settings: Path of its settings file.
    :param lines: Lines of its log so far.
    """

    process: Process
    settings: Path
    lines: list[dict[str, Any]] = field(default_factory=list)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def read_until(self, message: str) -> None:
        """Read the log up to a message, or to its end."""
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            self.lines.append(msgspec.json.decode(line))
            if self.lines[-1]["message"] == message:
                return

    async def end(self) -> int:
        """Return the exit status, after the rest of the log has been read."""
        await self.read_until("")
        return await self.process.wait()

    @property
    def messages(self) -> list[str]:
        """Messages of the log."""
        return [line["message"] for line in self.lines]


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformCluster]:
    """Start a platform without hosts."""
    created = PlatformCluster()
    await created.start()
    await created.add_upstream("e1", MODEL_SERVICE, event_ms=EVENT_MS, events=STREAM_EVENTS)
    await created.add_upstream("p1", PLAIN_SERVICE)
    yield created
    await created.stop()


@contextlib.asynccontextmanager
async def _run_host(
    platform: PlatformCluster, directory: Path, *, grace_s: int = GRACE_S, stdout: int = PIPE
) -> AsyncIterator[_Host]:
    """Run a host's process, which imports its modules from their files."""
    copy = directory / "deploy"
    copy.mkdir()
    for name in START_FILES:
        shutil.copy(ROOT / "deploy" / name, copy / name)
    path = directory / "host.ini"
    settings = await platform.make_settings("h1", seeds=(), stop_grace_s=grace_s)
    write_settings(path, settings)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(copy / "start.py"),
        stdout=stdout,
        stderr=PIPE,
        env={**environment(), "TANAGERSCALE_CONFIG": str(path)},
        cwd=ROOT,
    )
    host = _Host(process=process, settings=path)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield host
    finally:
        host.send(signal.SIGKILL)
        await process.wait()


def _read_log(descriptor: int) -> list[dict[str, Any]]:
    with os.fdopen(descriptor, "rb") as log:
        return [msgspec.json.decode(line) for line in log]


async def _wait_until_importing(host: _Host) -> None:
    """Wait until the process is about to import its modules."""
    assert host.process.stderr is not None
    assert b"Modules are imported" in await host.process.stderr.readline()


async def _serve_one(platform: PlatformCluster) -> None:
    """Make calls until one is served."""
    while True:
        answer = await platform.call("h1", "/read/x")
        if answer.status == 200:
            return
        await asyncio.sleep(0.01)


# Guards against a process that is ended by a signal to reload its settings, since it has not yet
# set its handlers.
@pytest.mark.asyncio
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
async def test_host_starts_when_a_signal_arrives_while_it_imports(
    platform: PlatformCluster, tmp_path: Path, number: signal.Signals
) -> None:
    async with _run_host(platform, tmp_path) as host:
        await _wait_until_importing(host)
        host.send(number)
        await host.read_until("The host starts.")
        host.send(signal.SIGTERM)
        assert await host.end() == 0


# Guards against imports before the signals are blocked, which made most of the time in which they
# end a process that starts.
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
def test_process_goes_on_when_a_signal_arrives_before_its_first_module_from_a_file(
    tmp_path: Path, number: signal.Signals
) -> None:
    shutil.copy(ROOT / "deploy" / "start.py", tmp_path)
    for name in ("os", "start_image"):
        send = f"import posix\nposix.kill(posix.getpid(), {number.value})\nprint('sent')\n"
        (tmp_path / f"{name}.py").write_text(f"{send}raise SystemExit(0)\n")
    completed = subprocess.run(
        [sys.executable, "-S", "-X", "frozen_modules=off", str(tmp_path / "start.py")],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.stdout == "sent\n"
    assert completed.returncode == 0


# Guards against changed settings that a process has read too early and is never told of.
@pytest.mark.asyncio
async def test_settings_are_reloaded_when_the_signal_arrives_while_the_host_imports(
    platform: PlatformCluster, tmp_path: Path
) -> None:
    async with _run_host(platform, tmp_path) as host:
        await _wait_until_importing(host)
        host.send(signal.SIGHUP)
        await host.read_until("Settings were reloaded.")
        host.send(signal.SIGTERM)
        assert await host.end() == 0
    assert "Settings were reloaded." in host.messages


@pytest.mark.asyncio
async def test_host_ends_at_once_when_it_is_stopped_while_it_imports(
    platform: PlatformCluster, tmp_path: Path
) -> None:
    async with _run_host(platform, tmp_path) as host:
        await _wait_until_importing(host)
        host.send(signal.SIGTERM)
        assert await host.end() == -signal.SIGTERM
    assert not host.lines


# Guards against an exit status that tells of a crash: the event loop restores the default actions
# of signals before the process has ended.
@pytest.mark.asyncio
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1])
async def test_exit_status_is_zero_when_signals_arrive_as_the_process_ends(
    platform: PlatformCluster, tmp_path: Path, number: signal.Signals
) -> None:
    async with _run_host(platform, tmp_path) as host:
        await host.read_until("The host starts.")
        host.send(signal.SIGTERM)
        await host.read_until("The host has ended.")
        while host.process.returncode is None:
            host.send(number)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        assert host.process.returncode == 0


@pytest.mark.asyncio
@pytest.mark.parametrize("numbers", [(), (signal.SIGTERM,), (signal.SIGINT, signal.SIGHUP)])
@pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
async def test_running_stream_is_whole_when_signals_repeat_during_a_stop(
    platform: PlatformCluster,
    tmp_path: Path,
    first: signal.Signals,
    numbers: tuple[signal.Signals, ...],
) -> None:
    async with _run_host(platform, tmp_path) as host:
        await host.read_until("The host starts.")
        await _serve_one(platform)
        call = asyncio.create_task(platform.call("h1", "/draft/x", tokens=TOKENS))
        await host.read_until("An engine begins to answer.")
        host.send(first)
        await host.read_until("The host stops.")
        for number in numbers:
            host.send(number)
        answer = await call
        assert await host.end() == 0
    assert (answer.status, answer.is_complete) == (200, True)
    assert host.messages[-1] == "The host has ended."


@pytest.mark.asyncio
@pytest.mark.parametrize("content", [None, b"", b"[host\n==", b"\xff\xfe[host]"])
async def test_running_stream_is_whole_when_changed_settings_are_invalid_during_a_stop(
    platform: PlatformCluster, tmp_path: Path, content: bytes | None
) -> None:
    async with _run_host(platform, tmp_path) as host:
        await host.read_until("The host starts.")
        await _serve_one(platform)
        call = asyncio.create_task(platform.call("h1", "/draft/x", tokens=TOKENS))
        await host.read_until("An engine begins to answer.")
        host.settings.unlink()
        if content is not None:
            host.settings.write_bytes(content)
        host.send(signal.SIGTERM)
        await host.read_until("The host stops.")
        host.send(signal.SIGHUP)
        answer = await call
        assert await host.end() == 0
    assert (answer.status, answer.is_complete) == (200, True)
    message = "The changed settings are invalid; the previous ones stay in force."
    assert message in host.messages


# Guards against answers that are lost without a line: the pipe of the log is full of other lines as
# the process ends, since its reader is slow.
@pytest.mark.asyncio
async def test_each_cut_answer_is_named_when_the_log_is_read_after_the_end(
    platform: PlatformCluster, tmp_path: Path
) -> None:
    await platform.add_upstream("e2", MODEL_SERVICE, event_ms=EVENT_MS, events=LONG_STREAM_EVENTS)
    await platform.upstreams["e1"].stop()
    reader, writer = os.pipe()
    async with _run_host(platform, tmp_path, grace_s=SHORT_GRACE_S, stdout=writer) as host:
        os.close(writer)
        await _serve_one(platform)
        calls = [
            asyncio.create_task(platform.call("h1", "/draft/x", tokens=TOKENS))
            for _ in range(CUT_STREAMS)
        ]
        await platform.wait_until(lambda: len(platform.upstreams["e2"].running) == CUT_STREAMS)
        for _ in range(OTHER_CALLS):
            await platform.call("h1", "/read/x")
        host.send(signal.SIGTERM)
        answers = await asyncio.gather(*calls)
        assert await host.process.wait() == 0
    lines = _read_log(reader)
    cut = [line for line in lines if line["message"] == "A response is cut because the host ends."]
    assert not any(answer.is_complete for answer in answers)
    assert len({line["request"] for line in cut}) == CUT_STREAMS
    assert lines[-1]["message"] == "The host has ended."
    assert lines[-1]["dropped_lines"] > 0
