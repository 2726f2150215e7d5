"""Hosts that run as processes on loopback, as the platform starts, signals and ends them."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import Process
import contextlib
import os
from pathlib import Path
import signal
import sys
from typing import final

import aiohttp
import msgspec

from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_world import write_settings
from standins.processes import ROOT
from standins.processes import environment
from tanagerscale.core import Clock
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.generated.gateway import RetrySection

SETTINGS_VARIABLE = "TANAGERSCALE_CONFIG"
READY_TIMEOUT_S = 60.0
READY_POLL_INTERVAL_MS = 100


@final
class PlatformHostProcess:
    """One host that can be started, signalled and restarted at the same addresses.

    :param name: Id of the host.
    :param settings: Settings of the host.
    :param directory: Directory for its settings file and logs.
    :param fault_log: Record of what happens to the host.
    """

    def __init__(
        self, *, name: str, settings: GatewaySettings, directory: Path, fault_log: FaultLog
    ) -> None:
        self.name = name
        self.unexpected_exits: list[str] = []
        self._settings = settings
        self._directory = directory
        self._fault_log = fault_log
        self._clock = Clock()
        self._process: Process | None = None
        self._starts = 0
        self._is_ending = False
        self._watch: asyncio.Task[None] | None = None

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
        path = self._directory / f"{self.name}.ini"
        write_settings(path, self._settings)
        self._starts += 1
        log = self._directory / f"{self.name}-{self._starts:02}.log"
        with log.open("wb") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tanagerscale.platform",
                stdout=output,
                stderr=output,
                env={**environment(), SETTINGS_VARIABLE: str(path)},
                cwd=ROOT,
            )
        self._is_ending = False
        self._fault_log.note(FaultKind.HOST_START, self.name)
        self._watch = asyncio.create_task(self._record_unexpected_exit(self._process, log))

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check passes.

        :raises TimeoutError: If it fails for ``READY_TIMEOUT_S``.
        """
        async with asyncio.timeout(READY_TIMEOUT_S), aiohttp.ClientSession() as session:
            while not await _is_ready(session, f"http://{self._settings.host.readiness}/v1/ready"):
                await self._clock.sleep(READY_POLL_INTERVAL_MS)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL at the end of the grace period."""
        process = self._running_process()
        self._is_ending = True
        with self._fault_log.lasting(FaultKind.HOST_STOP, self.name) as fault:
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), self._settings.host.stop_grace_s)
            except TimeoutError:
                fault.detail = "killed at the end of the grace period"
                self._signal(signal.SIGKILL)
            await self._wait_for_watch()

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        self._is_ending = True
        with self._fault_log.lasting(FaultKind.HOST_KILL, self.name):
            self._signal(signal.SIGKILL)
            await self._wait_for_watch()

    async def freeze(self, duration_ms: int) -> None:
        """Suspend the process for some time, also while it stops.

        :param duration_ms: Time until it is resumed, in milliseconds.
        """
        with self._fault_log.lasting(FaultKind.HOST_FREEZE, self.name):
            self._signal(signal.SIGSTOP)
            await self._clock.sleep(duration_ms)
            self._signal(signal.SIGCONT)

    def reload(self, retry_slack: float) -> None:
        """Change the settings file and send SIGHUP.

        :param retry_slack: Changed setting: retries allowed in addition to the ratio.
        """
        retries = RetrySection(slack=retry_slack)
        self._settings = msgspec.structs.replace(self._settings, retries=retries)
        write_settings(self._directory / f"{self.name}.ini", self._settings)
        self._fault_log.note(FaultKind.HOST_RELOAD, self.name)
        self._signal(signal.SIGHUP)

    def terminate_again(self) -> None:
        """Send another SIGTERM to a host that stops, unless it has ended."""
        self._signal(signal.SIGTERM)

    async def end(self) -> None:
        """End the process at the end of a run, in whichever state it is."""
        self._is_ending = True
        if self._process is not None:
            self._signal(signal.SIGKILL)
        await self._wait_for_watch()

    async def _wait_for_watch(self) -> None:
        if self._watch is not None:
            await self._watch

    async def _record_unexpected_exit(self, process: Process, log: Path) -> None:
        returncode = await process.wait()
        if not self._is_ending:
            self._fault_log.note(FaultKind.HOST_EXIT, self.name)
            self.unexpected_exits.append(f"{self.name} ended with exit code {returncode}: {log}")

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
