"""Hosts of a day: processes whose logs go through pipes to slow readers, behind one address."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import Process
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import contextlib
import os
from pathlib import Path
import signal
from typing import Final
from typing import final
from zlib import crc32

import aiohttp
import msgspec

from standins.platform_day_ledger import now_ms
from standins.platform_day_records import HostInstance
from standins.platform_hosts import SETTINGS_VARIABLE
from standins.platform_memory import MemoryWatch
from standins.platform_start import MODULE_COMMAND
from standins.platform_start import start_environment
from standins.platform_world import write_settings
from standins.processes import ROOT
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.generated.gateway import GatewaySettings

READ_INTERVAL_S: Final = 1.0
"""How often the reader of a log reads; meanwhile the pipe holds 64 KB."""
PIPE_BYTES: Final = 65_536
POLL_INTERVAL_S: Final = 1.0
POLL_TIMEOUT_S: Final = 0.9
MAX_MISSES: Final = 2
OK: Final = 200
START_TIMEOUT_S: Final = 60.0
RESTART_DELAY_S: Final = 0.5
"""Time after which a process that ended by itself is started again."""


@final
class DayHost:
    """One host that is started, stopped and started again at the same addresses.

    :param settings: Its settings.
    :param directory: Directory for its settings file and logs.
    :param command: Command that starts it.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        directory: Path,
        command: Sequence[str] = MODULE_COMMAND,
    ) -> None:
        self.name = settings.host.id
        self.zone = settings.host.failure_domain
        self.instances: list[HostInstance] = []
        self.misses = MAX_MISSES
        """Readiness checks that have failed in a row."""
        self.on_start: Callable[[DayHost], None] = lambda _host: None
        """Called for each process that is started."""
        self._command = command
        self._is_over = False
        self._settings = settings
        self._directory = directory
        self._process: Process | None = None
        self._readers: list[asyncio.Task[None]] = []
        self._watches: list[asyncio.Task[None]] = []

    @property
    def instance(self) -> HostInstance:
        """The newest process."""
        return self.instances[-1]

    @property
    def callers_address(self) -> tuple[str, int]:
        """IP address and port for callers."""
        ip, _, port = self._settings.host.callers.rpartition(":")
        return ip, int(port)

    @property
    def readiness_url(self) -> str:
        """URL of the readiness check."""
        return f"http://{self._settings.host.readiness}/v1/ready"

    @property
    def is_stopping(self) -> bool:
        """Whether the newest process has got SIGTERM, was killed or has ended."""
        return self.instance.is_going

    async def start(self) -> None:
        """Start a process without waiting until it is ready."""
        path = self._directory / f"{self.name}.ini"
        write_settings(path, self._settings)
        instance = HostInstance(self.name, len(self.instances) + 1, now_ms())
        instance.memory_mb = self._settings.host.memory_mb
        output, pipe = os.pipe()
        errors = self._directory / f"{instance.name}.stderr"
        with errors.open("wb") as error_file:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                stdout=pipe,
                stderr=error_file,
                env={**start_environment(), SETTINGS_VARIABLE: str(path)},
                cwd=ROOT,
            )
        os.close(pipe)
        self.instances.append(instance)
        log = self._directory / f"{instance.name}.log"
        self._readers.append(asyncio.create_task(_read_slowly(output, log)))
        self._watches.append(asyncio.create_task(self._watch(self._process, instance)))
        self.on_start(self)

    async def kill(self) -> None:
        """End the newest process with SIGKILL."""
        process = self._process
        assert process is not None
        self.instance.killed = True
        self._signal(signal.SIGKILL)
        await process.wait()

    async def freeze(self, duration_ms: int) -> None:
        """Suspend the newest process for some time.

        :param duration_ms: Time until it is resumed, in milliseconds.
        """
        process, instance, began = self._process, self.instance, now_ms()
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(duration_ms / MS_PER_SECOND)
        if process is self._process:
            self._signal(signal.SIGCONT)
        instance.freezes.append((began, now_ms()))

    def reload(self, retry_slack: float) -> None:
        """Change the settings file and send SIGHUP to the newest process.

        :param retry_slack: Changed setting: retries allowed in addition to the ratio.
        """
        retries = msgspec.structs.replace(self._settings.retries, slack=retry_slack)
        self._settings = msgspec.structs.replace(self._settings, retries=retries)
        write_settings(self._directory / f"{self.name}.ini", self._settings)
        if self.instance.ended is None:
            self.instance.reloads.append(now_ms())
        self._signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL at the end of the grace period; wait for the end."""
        process, instance = self._process, self.instance
        assert process is not None
        instance.terminated = now_ms()
        self._signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), self._settings.host.stop_grace_s)
        except TimeoutError:
            instance.killed = True
            self._signal(signal.SIGKILL)
            await process.wait()
        instance.ended, instance.exit_code = now_ms(), process.returncode

    async def end(self) -> None:
        """Kill what still runs and read the rest of all logs."""
        self._is_over = True
        while any(not watch.done() for watch in self._watches):
            assert self._process is not None
            if self._process.returncode is None and not self.instance.is_over_limit:
                self.instance.killed = True
                self._signal(signal.SIGKILL)
            await asyncio.wait(self._watches, timeout=READ_INTERVAL_S)
        await asyncio.gather(*self._watches, *self._readers)
        for one in self.instances:
            log = self._directory / f"{one.name}.log"
            one.lines = log.read_text(errors="replace").splitlines()
            one.errors = (self._directory / f"{one.name}.stderr").read_text(errors="replace")

    async def _watch(self, process: Process, instance: HostInstance) -> None:
        """Record the end of a process, and start another one if it ended by itself."""
        memory = MemoryWatch(process=process, instance=instance)
        instance.exit_code = await process.wait()
        instance.ended = instance.ended or now_ms()
        memory.stop()
        if instance.terminated is not None or instance.killed or self._is_over:
            return
        await asyncio.sleep(RESTART_DELAY_S)
        if not self._is_over:
            await self.start()

    def _signal(self, number: signal.Signals) -> None:
        # The child is reaped only when its return code is set, so its id is not yet reused here.
        assert self._process is not None
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)


async def _read_slowly(descriptor: int, log: Path) -> None:
    """Read a pipe to its end at intervals, as much as it holds each time."""
    os.set_blocking(descriptor, False)
    with log.open("wb") as file:
        while True:
            try:
                while data := os.read(descriptor, PIPE_BYTES):
                    file.write(data)
                break
            except BlockingIOError:
                await asyncio.sleep(READ_INTERVAL_S)
    os.close(descriptor)


@final
class VirtualAddress:
    """Address of all hosts, which gives each new connection to a host that is ready.

    :param hosts: Hosts.
    """

    def __init__(self, *, hosts: Sequence[DayHost]) -> None:
        self._hosts = hosts

    async def run_forever(self) -> None:
        """Ask all hosts every second whether they are ready."""
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    asyncio.sleep(POLL_INTERVAL_S),
                    *(self._check(session, host) for host in self._hosts),
                )

    async def wait_until_ready(self) -> None:
        """Wait until all hosts are ready.

        :raises TimeoutError: If they aren't within ``START_TIMEOUT_S``.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while any(host.misses for host in self._hosts):
                await asyncio.sleep(POLL_INTERVAL_S / MS_PER_SECOND)

    def choose(self, client: str, zone: str, *, avoided: Collection[str] = ()) -> DayHost:
        """Return the host for a new connection of a client.

        :param client: Name of the client, whose hash selects the host.
        :param zone: Its failure domain.
        :param avoided: Hosts that an earlier attempt has used.
        """
        own = [host for host in self._hosts if host.zone == zone]
        ready = [host for host in own if host.misses < MAX_MISSES]
        if not ready:
            ready = [host for host in self._hosts if host.misses < MAX_MISSES]
        elif 2 * len(ready) < len(own):
            ready = own
        usable = [host for host in ready if host.name not in avoided] or ready or own
        return usable[crc32(client.encode()) % len(usable)]

    async def _check(self, session: aiohttp.ClientSession, host: DayHost) -> None:
        try:
            async with session.get(host.readiness_url) as response:
                is_ready = response.status == OK
        except (TimeoutError, aiohttp.ClientError):
            is_ready = False
        host.misses = 0 if is_ready else host.misses + 1
        if is_ready and host.instance.ready is None:
            host.instance.ready = now_ms()
