"""Command line of the daemon."""

from __future__ import annotations

import asyncio
from pathlib import Path
import subprocess
import sys

import pytest

from standins.processes import environment
from tanagerscale.daemon._host import HostProcess
from tanagerscale.declarations import Follower
from tanagerscale.settings import read_settings

SETTINGS = """
[host]
id = host-1
failure_domain = a
callers = 127.0.0.1:0
peers = 127.0.0.1:0

[store]
endpoints = http://127.0.0.1:1

[secrets]
cursor_key = 0123456789012345678901234567890123456789
"""


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "tanagerscale.daemon", *arguments],
        capture_output=True,
        text=True,
        env=environment(),
        timeout=60,
        check=False,
    )


def test_daemon_reports_file_section_and_key_when_its_settings_are_invalid(tmp_path: Path) -> None:
    path = tmp_path / "host.ini"
    path.write_text(SETTINGS.replace("peers =", "pears ="))
    completed = _run("--settings", str(path))
    assert completed.returncode == 2
    assert str(path) in completed.stderr
    assert "[host]" in completed.stderr
    assert "pears" in completed.stderr
    assert "peers" in completed.stderr


@pytest.mark.parametrize("option", ["--setings=x.ini", "--verbose"])
def test_daemon_does_not_start_when_an_option_is_unknown(tmp_path: Path, option: str) -> None:
    path = tmp_path / "1_host.ini"
    path.write_text(SETTINGS)
    completed = _run("--settings", str(path), option)
    assert completed.returncode == 2
    assert "listening" not in completed.stdout
    assert "SyntaxWarning" not in completed.stderr


# Guards against a host that follows no declarations any more after one unexpected error.
@pytest.mark.asyncio
async def test_host_follows_declarations_again_when_its_follower_ended_with_an_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "host.ini"
    path.write_text(SETTINGS)
    calls = 0

    async def fail(_follower: Follower) -> object:
        nonlocal calls
        calls += 1
        raise ArithmeticError("This was not expected.")

    monkeypatch.setattr(Follower, "_read_head", fail)
    host = HostProcess(settings=read_settings(path=path).unwrap())
    await host.start()
    try:
        async with asyncio.timeout(30):
            while calls < 2:
                await asyncio.sleep(0.05)
        assert not host._build_status().ready
    finally:
        await host.stop()
