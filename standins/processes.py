"""Processes that a test or the demo starts, freezes and ends; it ends no others."""

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
READY_WORD = "listening"
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
DEFAULT_ADDRESS = ""


class StartError(Exception):
    """A process that ended or said nothing in place of getting ready."""


@final
class ManagedProcess:
    """One running process.

    :param name: Short name for messages.
    :param process: The process.
    :param addresses: Where it listens, by the name it gave; the only one has the empty name.
    :param log: File with its standard error.
    :param reader: Task that reads the rest of its output.
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
        """Its process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """How it ended; ``None`` while it runs, negative for a signal."""
        return self._process.returncode

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process.returncode is None

    @property
    def address(self) -> str:
        """Where it listens, for a process with one address."""
        return self._addresses[DEFAULT_ADDRESS]

    @property
    def url(self) -> str:
        """Base URL of its one address."""
        return f"http://{self.address}"

    def address_of(self, name: str) -> str:
        """Return one of several addresses.

        :param name: Name that the process gave it.
        """
        return self._addresses[name]

    def errors(self) -> str:
        """Return its standard error so far."""
        return self.log.read_text(errors="replace")

    def freeze(self) -> None:
        """Pause it, as a host that is starved."""
        self._send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it run on."""
        self._send(signal.SIGCONT)

    def dump_tasks(self) -> None:
        """Send SIGUSR1, which makes a host log the call stacks of its tasks."""
        self._send(signal.SIGUSR1)

    async def kill(self) -> None:
        """End it without warning."""
        self._send(signal.SIGKILL)
        await self.wait()

    async def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask it to end, and wait for that.

        :param timeout_s: Longest wait; after it the process is killed.
        :returns: How it ended.
        """
        self._send(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.wait(), timeout_s)
        except TimeoutError:
            await self.kill()
            return -signal.SIGKILL

    async def wait(self) -> int:
        """Wait for its end and return how it ended."""
        returncode = await self._process.wait()
        with contextlib.suppress(asyncio.CancelledError):
            await cancel_task(self._reader)
        return returncode

    def _send(self, number: signal.Signals) -> None:
        # The child is not reaped before its end is noted, so the id can't be another's.
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)


@final
class Launcher:
    """Starts Python modules as processes, and ends them all at its own end.

    :param directory: Where their logs go.
    """

    def __init__(self, *, directory: Path) -> None:
        self._directory = directory
        self._processes: list[ManagedProcess] = []
        self._numbers = itertools.count()

    @property
    def processes(self) -> tuple[ManagedProcess, ...]:
        """All processes it has started."""
        return tuple(self._processes)

    async def __aenter__(self) -> Self:
        """Return itself."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """End what still runs."""
        for process in self._processes:
            if process.running:
                process.thaw()
                await process.kill()

    async def start(self, *, name: str, module: str, arguments: list[str]) -> ManagedProcess:
        """Start a module and wait until it says where it listens.

        :param name: Short name; its log is named after it.
        :param module: The module, as for ``python -m``.
        :param arguments: Its command line.
        :raises StartError: When it does not get ready.
        """
        log = self._directory / f"{name}-{next(self._numbers)}.log"
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
            raise StartError(f"{name} did not get ready: {error!r}\n{text}") from error
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
    """Return the environment in which the modules of this tree are found."""
    paths = [str(ROOT / "src"), str(ROOT), os.environ.get("PYTHONPATH", "")]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in paths if path)}


async def _read_ready(process: asyncio.subprocess.Process) -> dict[str, str]:
    assert process.stdout is not None
    while line := await process.stdout.readline():
        word, *addresses = line.decode(errors="replace").split()
        if word == READY_WORD:
            return dict(_split(address) for address in addresses)
    raise StartError("it ended")


def _split(address: str) -> tuple[str, str]:
    name, separator, rest = address.partition("=")
    return (name, rest) if separator else (DEFAULT_ADDRESS, address)


async def _drain(process: asyncio.subprocess.Process) -> None:
    # An unread pipe would fill up and stop the process.
    assert process.stdout is not None
    while await process.stdout.readline():
        pass
