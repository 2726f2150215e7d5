"""Runs the command-line tool of the operators as a process."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import sys

from standins.processes import ROOT
from standins.processes import environment

COMMAND_TIMEOUT_S = 120.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CommandResult:
    """Exit code and output of one run of the command-line tool."""

    returncode: int
    output: str
    errors: str


async def run_command(*arguments: str) -> CommandResult:
    """Run the command-line tool.

    :param arguments: Arguments of the tool.
    :returns: Exit code, standard output and standard error.
    :raises TimeoutError: If the tool runs for longer than ``COMMAND_TIMEOUT_S``.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tanagerscale.cli",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=environment(),
        cwd=ROOT,
    )
    try:
        output, errors = await asyncio.wait_for(process.communicate(), COMMAND_TIMEOUT_S)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return CommandResult(
        returncode=process.returncode or 0,
        output=output.decode(errors="replace"),
        errors=errors.decode(errors="replace"),
    )
