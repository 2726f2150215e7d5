"""Processes that a test, the demo or the soak run starts, freezes and ends.

Only processes started by the launcher itself are signalled.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
from pathlib import Path
import signal
import sys
from typing import Self
from typing import final

from standins._common import cancel_task

ROOT = Path(__file__).resolve().parent.parent
READY_PREFIX = "listening"
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
DEFAULT_ADDRESS = ""


class StartError(Exception):
    """A process ended or timed out before it reported that it listens."""


@final
class ManagedProcess:
    """A process started by the launcher.

    :param name: Short name used in messages.
    :param process: Handle of the process.
    :param addresses: Listening addresses by the names that the process printed; a single address
        has an empty name.
    :param log: File to which the standard error is written.
    :param reader: Task that reads the remaining standard output.
    """

    def __init__(
        self,
        *,
        name: str,
        process: asyncio.subprocess.Process,
        addresses: dict[str, str],
        log: Path,
        reader: asyncio.Task[None],
    ) -> None:
        self.name = name
        self.log = log
        self._process = process
        self._addresses = addresses
        self._reader = reader

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Exit code; ``None`` while the process runs, negative if a signal ended it."""
        return self._process.returncode

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.returncode is None

    @property
    def address(self) -> str:
        """Listening address of a process that has only one."""
        return self._addresses[DEFAULT_ADDRESS]

    @property
    def url(self) -> str:
        """Base URL of a process that has only one address."""
        return f"http://{self.address}"

    def address_of(self, name: str) -> str:
        """Return one of several listening addresses.

        :param name: Name that the process printed for the address.
        """
        return self._addresses[name]

    def errors(self) -> str:
        """Return the standard error written so far."""
        return self.log.read_text(errors="replace")

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP, as if it were starved of CPU time."""
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self._send_signal(signal.SIGCONT)

    def dump_tasks(self) -> None:
        """Send SIGUSR1, which makes a host log the call stacks of its tasks."""
        self._send_signal(signal.SIGUSR1)

    async def kill(self) -> None:
        """End the process with SIGKILL and wait for its end."""
        self._send_signal(signal.SIGKILL)
        await self.wait()

    async def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM to the process and wait for its end.

        :param timeout_s: Time after which the process is killed, in seconds.
        :returns: Exit code; negative if a signal ended the process.
        """
        self._send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.wait(), timeout_s)
        except TimeoutError:
            await self.kill()
            return -signal.SIGKILL

    async def wait(self) -> int:
        """Wait until the process ends and return its exit code."""
        returncode = await self._process.wait()
        with contextlib.suppress(asyncio.CancelledError):
            await cancel_task(self._reader)
        return returncode

    def _send_signal(self, number: signal.Signals) -> None:
        # The child is reaped only when its return code is set, so its id is not yet reused here.
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)


@final
class Launcher:
    """Starts Python modules as processes, and ends them all when the context exits.

    :param directory: Directory for the logs of the processes.
    """

    def __init__(self, *, directory: Path) -> None:
        self._directory = directory
        self._processes: list[ManagedProcess] = []
        self._log_numbers = itertools.count()

    @property
    def processes(self) -> tuple[ManagedProcess, ...]:
        """All processes started so far, including those that have ended."""
        return tuple(self._processes)

    async def __aenter__(self) -> Self:
        """Return the launcher."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Kill all processes that still run."""
        for process in self._processes:
            if process.running:
                process.resume()
                await process.kill()

    async def start(self, *, name: str, module: str, arguments: list[str]) -> ManagedProcess:
        """Start a module and wait until it prints its listening addresses.

        :param name: Short name, from which the name of the log file is formed.
        :param module: Module to run, as for ``python -m``.
        :param arguments: Command-line arguments of the module.
        :raises StartError: If the process ends, or prints no address within ``READY_TIMEOUT_S``.
        """
        log = self._directory / f"{name}-{next(self._log_numbers)}.log"
        with log.open("wb") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                env=environment(),
                cwd=ROOT,
            )
        try:
            addresses = await asyncio.wait_for(_read_ready(process), READY_TIMEOUT_S)
        except BaseException as error:
            if process.returncode is None:
                process.kill()
            await process.wait()
            if not isinstance(error, TimeoutError | StartError):
                raise
            text = log.read_text(errors="replace")
            raise StartError(f"{name} did not become ready: {error!r}\n{text}") from error
        started = ManagedProcess(
            name=name,
            process=process,
            addresses=addresses,
            log=log,
            reader=asyncio.create_task(_drain(process)),
        )
        self._processes.append(started)
        return started


def environment() -> dict[str, str]:
    """Return the environment variables with which Python finds the modules of this tree."""
    paths = [str(ROOT / "src"), str(ROOT), os.environ.get("PYTHONPATH", "")]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in paths if path)}


async def _read_ready(process: asyncio.subprocess.Process) -> dict[str, str]:
    assert process.stdout is not None
    while line := await process.stdout.readline():
        prefix, *addresses = line.decode(errors="replace").split()
        if prefix == READY_PREFIX:
            return dict(_parse_address(address) for address in addresses)
    raise StartError("the process ended before it printed its addresses")


def _parse_address(address: str) -> tuple[str, str]:
    name, separator, rest = address.partition("=")
    return (name, rest) if separator else (DEFAULT_ADDRESS, address)


async def _drain(process: asyncio.subprocess.Process) -> None:
    # A full pipe would block the process.
    assert process.stdout is not None
    while await process.stdout.readline():
        pass
