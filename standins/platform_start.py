"""The command with which the platform starts a host, on the code of this tree."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import shutil
import sys
import sysconfig
from typing import Final

from standins.processes import ROOT
from standins.processes import environment

SOURCES: Final = ROOT / "deploy"
MODULE_COMMAND: Final = (sys.executable, "-m", "tanagerscale.platform")
"""Command that starts a host without the start program, whose signals it doesn't hold back."""


def start_environment() -> dict[str, str]:
    """Return environment variables with which hosts find modules without site packages."""
    values = environment()
    paths = [values["PYTHONPATH"], sysconfig.get_paths()["purelib"]]
    return {**values, "PYTHONPATH": os.pathsep.join(paths)}


async def build_start_command(directory: Path) -> tuple[str, ...]:
    """Build a start image of this tree and return the command that starts a host from it.

    :param directory: Directory in which the start program and the image are written.
    """
    programs, target = directory / "deploy", directory / "target"
    programs.mkdir(parents=True, exist_ok=True)
    target.mkdir(exist_ok=True)
    for source in SOURCES.glob("*.py"):
        shutil.copy(source, programs)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-S",
        str(programs / "build_image.py"),
        str(target / "host.image"),
        env=start_environment(),
        cwd=ROOT,
    )
    if code := await process.wait():
        raise RuntimeError(f"the start image was not built: exit code {code}")
    return sys.executable, "-S", str(programs / "start.py")
