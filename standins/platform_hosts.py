"""Hosts that run as processes on loopback, as the platform starts, signals and ends them."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import Process
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import os
from pathlib import Path
import signal
from typing import Final
from typing import final

import aiohttp
import msgspec

from standins._common import cancel_task
from standins.platform_day_records import HostInstance
from standins.platform_fault_log import Fault
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_memory import MemoryWatch
from standins.platform_start import MODULE_COMMAND
from standins.platform_start import start_environment
from standins.platform_world import write_settings
from standins.processes import ROOT
from tanagerscale.core import Clock
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.generated.gateway import RetrySection

SETTINGS_VARIABLE = "TANAGERSCALE_CONFIG"
READY_TIMEOUT_S = 60.0
READY_POLL_INTERVAL_MS = 100
RESTART_DELAY_MS: Final = 500
"""Time after which a process that ended by itself is started again."""


@final
class PlatformHostProcess:
    """One host that can be started, signalled and restarted at the same addresses.

    :param name: Id of the host.
    :param settings: Settings of the host.
    :param directory: Directory for its settings file and logs.
    :param fault_log: Record of what happens to the host.
    :param command: Command that starts it.
    """

    def __init__(
        self,
        *,
        name: str,
        settings: GatewaySettings,
        directory: Path,
        fault_log: FaultLog,
        command: Sequence[str] = MODULE_COMMAND,
    ) -> None:
        self.name = name
        self.instances: list[HostInstance] = []
        """Records of its processes, with times of the clock in milliseconds."""
        self.on_start: Callable[[PlatformHostProcess], None] = lambda _host: None
        """Called for each process that is started."""
        self._command = command
        self._settings = settings
        self._directory = directory
        self._fault_log = fault_log
        self._clock = Clock()
        self._process: Process | None = None
        self._starts = 0
        self._is_ending = False
        self._starting = asyncio.Lock()
        self._watch: asyncio.Task[None] | None = None
        self._ready_again: asyncio.Task[None] | None = None

    @property
    def callers_address(self) -> tuple[str, int]:
        """IP address and port for callers."""
        ip, _, port = self._settings.host.callers.rpartition(":")
        return ip, int(port)

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._running_process().pid

    async def start(self) -> None:
        """Start the process without waiting until it is ready."""
        self._is_ending = False
        async with self._starting:
            await self._spawn()

    async def _spawn(self) -> None:
        path = self._directory / f"{self.name}.ini"
        write_settings(path, self._settings)
        self._starts += 1
        log = self._directory / f"{self.name}-{self._starts:02}.log"
        instance = HostInstance(self.name, self._starts, self._clock.now())
        instance.memory_mb = self._settings.host.memory_mb
        with log.open("wb") as output:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                stdout=output,
                stderr=output,
                env={**start_environment(), SETTINGS_VARIABLE: str(path)},
                cwd=ROOT,
            )
        self.instances.append(instance)
        self._fault_log.note(FaultKind.HOST_START, self.name)
        self._watch = asyncio.create_task(self._supervise(self._process, instance, log))
        self.on_start(self)

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check passes, at most for ``READY_TIMEOUT_S``.

        The record of a process that doesn't become ready says so.
        """
        url = f"http://{self._settings.host.readiness}/v1/ready"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_S), aiohttp.ClientSession() as session:
                while (newest := self.instances[-1]).ready is None:
                    if await _is_ready(session, url) and newest.ended is None:
                        newest.ready = self._clock.now()
                    else:
                        await self._clock.sleep(READY_POLL_INTERVAL_MS)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL at the end of the grace period."""
        process = await self._take()
        with self._fault_log.lasting(FaultKind.HOST_STOP, self.name) as fault:
            for instance in self._living:
                instance.terminated = self._clock.now()
            self._signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), self._settings.host.stop_grace_s)
            except TimeoutError:
                fault.detail = "killed at the end of the grace period"
                self._kill()
            await self._wait_for_watch()

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        await self._take()
        with self._fault_log.lasting(FaultKind.HOST_KILL, self.name):
            self._kill()
            await self._wait_for_watch()

    async def _take(self) -> Process:
        """Return the process, which is not started again when it ends."""
        self._is_ending = True
        async with self._starting:
            return self._running_process()

    def _kill(self) -> None:
        for instance in self._living:
            instance.killed = not instance.is_over_limit
        self._signal(signal.SIGKILL)

    @property
    def _living(self) -> list[HostInstance]:
        """Record of the newest process, unless that has ended."""
        return [instance for instance in self.instances[-1:] if instance.ended is None]

    async def freeze(self, duration_ms: int) -> None:
        """Suspend the process for some time, also while it stops.

        :param duration_ms: Time until it is resumed, in milliseconds.
        """
        instance = self.instances[-1]
        with self._fault_log.lasting(FaultKind.HOST_FREEZE, self.name) as fault:
            self._signal(signal.SIGSTOP)
            await self._clock.sleep(duration_ms)
            self._signal(signal.SIGCONT)
        instance.freezes.append((fault.began, fault.began + duration_ms))

    def reload(self, retry_slack: float) -> None:
        """Change the settings file and send SIGHUP.

        :param retry_slack: Changed setting: retries allowed in addition to the ratio.
        """
        retries = RetrySection(slack=retry_slack)
        self._settings = msgspec.structs.replace(self._settings, retries=retries)
        write_settings(self._directory / f"{self.name}.ini", self._settings)
        self._fault_log.note(FaultKind.HOST_RELOAD, self.name)
        for instance in self._living:
            instance.reloads.append(self._clock.now())
        self._signal(signal.SIGHUP)

    def terminate_again(self) -> None:
        """Send another SIGTERM to a host that stops, unless it has ended."""
        self._signal(signal.SIGTERM)

    async def end(self) -> None:
        """End the process at the end of a run, in whichever state it is."""
        self._is_ending = True
        async with self._starting:
            if self._process is not None:
                self._kill()
        await self._wait_for_watch()
        if self._ready_again is not None:
            await cancel_task(self._ready_again)

    async def _wait_for_watch(self) -> None:
        if self._watch is not None:
            await self._watch

    async def _supervise(self, process: Process, instance: HostInstance, log: Path) -> None:
        """Record the end of a process, and start another one if it ended by itself."""
        memory = MemoryWatch(process=process, instance=instance)
        instance.exit_code = await process.wait()
        instance.ended = self._clock.now()
        memory.stop()
        if self._is_ending:
            return
        instance.errors = await asyncio.to_thread(log.read_text, errors="replace")
        fault = Fault(FaultKind.HOST_EXIT, self.name, "", round(instance.ended))
        self._fault_log.faults.append(fault)
        await self._clock.sleep(RESTART_DELAY_MS)
        async with self._starting:
            fault.ended = self._clock.now()
            if not self._is_ending:
                await self._spawn()
                self._ready_again = asyncio.create_task(self.wait_until_ready())

    def _running_process(self) -> Process:
        assert self._process is not None
        return self._process

    def _signal(self, number: signal.Signals) -> None:
        # The child is reaped only when its return code is set, so its id is not yet reused here.
        process = self._running_process()
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, number)


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
