"""Resident memory of host processes, which are killed above their limit as on the platform."""

from __future__ import annotations

from asyncio.subprocess import Process
import contextlib
import os
from pathlib import Path
import signal
import threading
from typing import Final
from typing import final

from standins.platform_day_records import HostInstance

POLL_INTERVAL_S: Final = 0.05
BYTES_PER_KIB: Final = 1024
BYTES_PER_MB: Final = 1_000_000
RESIDENT_FIELD: Final = "VmRSS:"


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in units of 1,000,000 bytes; 0 once it has ended.

    :param pid: Id of the process.
    """
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith(RESIDENT_FIELD):
            return int(line.split()[1]) * BYTES_PER_KIB / BYTES_PER_MB
    return 0.0


@final
class MemoryWatch:
    """Records the peak memory of a process until it is stopped, and kills it above its limit.

    It has a thread of its own, as the event loop may be delayed by callers and upstreams.

    :param process: The process.
    :param instance: Its record, which has the limit.
    """

    def __init__(self, *, process: Process, instance: HostInstance) -> None:
        self._pid = process.pid
        self._instance = instance
        self._has_ended = threading.Event()
        self._descriptor: int | None = None
        # A process that has ended already is not watched.
        with contextlib.suppress(ProcessLookupError):
            self._descriptor = os.pidfd_open(process.pid)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the watch once the process has ended."""
        self._has_ended.set()
        self._thread.join()
        if self._descriptor is not None:
            os.close(self._descriptor)

    def _run(self) -> None:
        instance, descriptor = self._instance, self._descriptor
        while descriptor is not None and not self._has_ended.wait(POLL_INTERVAL_S):
            memory_mb = read_resident_mb(self._pid)
            instance.peak_mb = max(instance.peak_mb, memory_mb)
            if instance.memory_mb and memory_mb > instance.memory_mb:
                instance.is_over_limit = True
                # The descriptor refers to this process even if its id is used again.
                with contextlib.suppress(ProcessLookupError):
                    signal.pidfd_send_signal(descriptor, signal.SIGKILL)
                return
