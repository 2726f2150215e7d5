"""Resident memory of host processes, which are killed above their limit as on the platform."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import Process
import contextlib
import os
from pathlib import Path
import signal
from typing import Final

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


async def watch_memory(
    process: Process, instance: HostInstance, *, interval_s: float = POLL_INTERVAL_S
) -> None:
    """Record the peak memory of a process until it ends, and kill it above its limit.

    :param process: The process.
    :param instance: Its record, which has the limit.
    :param interval_s: Time between two readings, in seconds.
    """
    while process.returncode is None:
        memory_mb = read_resident_mb(process.pid)
        instance.peak_mb = max(instance.peak_mb, memory_mb)
        if instance.memory_mb and memory_mb > instance.memory_mb:
            instance.is_over_limit = True
            # The child is reaped only when its return code is set, so its id is not yet reused.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)
            return
        await asyncio.sleep(interval_s)
