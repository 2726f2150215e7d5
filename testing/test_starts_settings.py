"""Starts of a host's process whose settings file is written while it is read."""

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
from typing import Final

import pytest
import pytest_asyncio

from standins.platform_world import PlatformCluster
from standins.platform_world import write_settings
from standins.processes import ROOT
from standins.processes import environment
from tanagerscale.gateway._settings_file import SettingsFile

TIMEOUT_S: Final = 60.0
INVALID: Final = [None, b"", b"[host\n==", b"\xff\xfe[host]", b"[host]\nid = h1\n"]
BAD_SETTINGS: Final = 2


@pytest_asyncio.fixture
async def path(tmp_path: Path) -> AsyncIterator[Path]:
    """Write the settings of a host of a platform."""
    platform = PlatformCluster()
    await platform.start()
    path = tmp_path / "host.ini"
    write_settings(path, await platform.make_settings("h1", seeds=(), stop_grace_s=2))
    yield path
    await platform.stop()


@contextlib.asynccontextmanager
async def _run_host(path: Path) -> AsyncIterator[Process]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tanagerscale.platform",
        stdout=PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={**environment(), "TANAGERSCALE_CONFIG": str(path)},
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


async def _read_until(process: Process, text: str) -> str:
    """Return the log up to a line with a text; fail if the process ends without one."""
    assert process.stdout is not None
    read = ""
    while text not in read:
        line = await process.stdout.readline()
        assert line, f"the process ended without a line {text!r}: {read}"
        read += line.decode(errors="replace")
    return read


def _read(path: Path) -> bytes:
    return path.read_bytes()


def _write(path: Path, content: bytes | None) -> None:
    if content is None:
        path.unlink(missing_ok=True)
    else:
        path.write_bytes(content)


# Guards against an end of the process whose settings file is read while it is being written.
@pytest.mark.asyncio
@pytest.mark.parametrize("content", INVALID)
async def test_host_starts_when_its_settings_file_is_repaired(
    path: Path, content: bytes | None
) -> None:
    valid = _read(path)
    _write(path, content)
    async with _run_host(path) as process:
        read = await _read_until(process, "are read again")
        assert str(path) in read
        _write(path, valid)
        await _read_until(process, "The host starts.")
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


# Guards against a process that waits without an end for settings that nobody repairs.
@pytest.mark.asyncio
async def test_host_ends_with_two_and_a_line_when_its_settings_file_stays_invalid(
    path: Path,
) -> None:
    _write(path, b"[host]\nid = h1\n")
    async with _run_host(path) as process:
        await _read_until(process, "stay invalid. Exit code 2.")
        assert await process.wait() == BAD_SETTINGS


@pytest.mark.asyncio
async def test_host_ends_at_once_when_it_is_stopped_while_its_settings_are_invalid(
    path: Path,
) -> None:
    _write(path, None)
    async with _run_host(path) as process:
        await _read_until(process, "are read again")
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == -signal.SIGTERM


# Guards against settings that were read without their last sections and stay in force.
@pytest.mark.asyncio
async def test_host_applies_the_rest_of_its_settings_when_they_were_written_as_it_started(
    path: Path,
) -> None:
    valid = _read(path)
    head = valid[: valid.index(b"[retries]")]
    _write(path, head)
    async with _run_host(path) as process:
        await _read_until(process, "The host starts.")
        _write(path, valid.replace(b"[retries]\nratio = ", b"[retries]\nratio = 0.0"))
        await _read_until(process, "Settings were reloaded.")
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


@pytest.mark.parametrize("content", INVALID)
def test_each_error_of_an_invalid_file_is_reported_once_when_it_is_read_again(
    tmp_path: Path, content: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "host.ini"
    _write(path, content)
    monkeypatch.setattr("time.sleep", lambda _: None)
    monkeypatch.setattr("tanagerscale.gateway._settings_file.UNCHANGED_LIMIT_S", 0.2)
    lines: list[str] = []
    SettingsFile(path=path).read_at_start(report=lines.append)
    assert lines
    assert len(lines) == len(set(lines))
    assert all(str(path) in line for line in lines)


# Guards against addresses that are cut within their port and are valid nevertheless.
def test_settings_are_read_whole_when_the_file_ends_within_a_number(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    valid = path.read_bytes()
    cut = valid[: valid.index(b"\n", valid.index(b"[store]\naddress = ") + len("[store]\n")) - 1]
    path.write_bytes(cut)
    monkeypatch.setattr("time.sleep", lambda _: path.write_bytes(valid))
    lines: list[str] = []
    settings = SettingsFile(path=path).read_at_start(report=lines.append).unwrap()
    path.write_bytes(valid)
    assert settings == SettingsFile(path=path).read().unwrap()


def test_settings_are_read_when_a_file_without_a_last_line_feed_stays_unchanged(path: Path) -> None:
    path.write_bytes(path.read_bytes().rstrip(b"\n"))
    SettingsFile(path=path).read_at_start(report=lambda _: None).unwrap()
