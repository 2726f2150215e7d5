"""The grace period of a host counts from the signal, however late the event loop handles it."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import PIPE
from collections.abc import AsyncIterator
import os
from pathlib import Path
import shutil
import signal
import sys
from typing import Any

import msgspec
import pytest
import pytest_asyncio

from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from standins.platform_world import write_settings
from standins.processes import ROOT
from standins.processes import environment
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.forwarding import ShutdownSchedule
from testing._virtual_time import run_virtually

GRACE_S = 8
DUE_MS = 7100
LISTENING_MS = 2500
STALL_S = 1.5
TIMEOUT_S = 60.0


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformCluster]:
    """Start a platform without hosts."""
    created = PlatformCluster()
    await created.start()
    await created.add_upstream("p1", PLAIN_SERVICE)
    yield created
    await created.stop()


async def _read_until(process: asyncio.subprocess.Process, message: str) -> dict[str, Any]:
    """Return the first line of a host's log with a message."""
    assert process.stdout is not None
    while True:
        line: dict[str, Any] = msgspec.json.decode(await process.stdout.readline())
        if line["message"] == message:
            return line


async def _write_often(path: Path, text: str, is_over: asyncio.Event) -> None:
    """Write a text for each reader, as a host also reads its settings when they have changed."""
    while not is_over.is_set():
        await asyncio.to_thread(path.write_text, text)


# Guards against a grace period that begins when a busy event loop handles the signal, so that the
# process is killed before its callers have their final responses.
@pytest.mark.asyncio
async def test_grace_period_counts_from_the_signal_when_the_event_loop_is_busy(
    platform: PlatformCluster, tmp_path: Path
) -> None:
    path = tmp_path / "host.ini"
    write_settings(path, await platform.make_settings("h1", seeds=(), stop_grace_s=GRACE_S))
    # There is no start image beside the copy, so that the modules are imported from their files.
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(tmp_path / "deploy" / "start.py"),
        stdout=PIPE,
        env={**environment(), "TANAGERSCALE_CONFIG": str(path)},
        cwd=ROOT,
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await _read_until(process, "The host starts.")
            settings = path.read_text()
            path.unlink()
            # Reading it blocks the event loop of the host until something is written.
            os.mkfifo(path)
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(STALL_S)
            is_over = asyncio.Event()
            writing = asyncio.create_task(_write_often(path, settings, is_over))
            try:
                line = await _read_until(process, "The host stops.")
            finally:
                is_over.set()
                # A write waits for a reader, also one that has not begun yet.
                reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
                await writing
                os.close(reader)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
    # The signal reaches the process within the rest of the stall.
    assert line.get("after_ms", 0) >= STALL_S * MS_PER_SECOND / 2


@pytest.mark.parametrize("late_ms", [0, 700, 2600, DUE_MS, 20_000])
def test_schedule_counts_from_the_signal_when_the_shutdown_begins_later(late_ms: int) -> None:
    async def scenario() -> None:
        clock = Clock()
        signalled = clock.now()
        await clock.sleep(late_ms)
        schedule = ShutdownSchedule(clock=clock)
        schedule.begin(grace_s=GRACE_S, signalled=Millis(signalled))
        assert schedule.elapsed_ms == late_ms
        assert schedule.accepts_connections == (late_ms < LISTENING_MS)
        assert schedule.are_responses_due == (late_ms >= DUE_MS)

    run_virtually(scenario())
