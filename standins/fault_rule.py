"""The rule that host processes start, stay within their memory and don't end by themselves."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil
import signal
from typing import Final

from standins.platform_day_records import HostInstance

START_LIMIT_MS: Final = 12_000.0
"""Time from the start of a process in which it must become ready."""
MIN_ENDS: Final = 3
"""Ends by themselves in one run that are too many."""
HOST_SHARE: Final = 0.1
"""Part of the hosts on which they occur."""
MIN_HOSTS: Final = 2
ERROR_CHARACTERS: Final = 300


@dataclass(frozen=True, slots=True)
class OwnEnd:
    """A process that ended by itself, or that never started.

    :param instance: The process.
    :param reason: What happened to it.
    """

    instance: HostInstance
    reason: str

    def __str__(self) -> str:
        one = self.instance
        age = "" if one.ended is None else f" {one.ended - one.started:.0f} ms after its start"
        signals = "".join(f", SIGHUP at {at - one.started:.0f} ms" for at in one.reloads)
        signals += "".join(
            f", frozen {began - one.started:.0f}..{ended - one.started:.0f} ms"
            for began, ended in one.freezes
        )
        errors = f": {one.errors[-ERROR_CHARACTERS:]}" if one.errors else ""
        return (
            f"END: {one.name} {self.reason}{age}, exit code {one.exit_code}, "
            f"peak {one.peak_mb:.0f} MB{signals}{errors}"
        )


def find_ends(instances: Sequence[HostInstance], *, until: float) -> list[OwnEnd]:
    """Return the processes that ended by themselves or never became ready.

    :param instances: All processes of a run.
    :param until: End of the run on the clock of their records, in milliseconds.
    """
    ends = []
    for instance in instances:
        if reason := _find_end(instance) or _find_failed_start(instance, until):
            ends.append(OwnEnd(instance, reason))
    return ends


def find_faults(ends: Sequence[OwnEnd], *, hosts: int) -> list[str]:
    """Return the fault of a run whose processes ended by themselves too often; empty if none.

    :param ends: All such ends.
    :param hosts: Number of hosts in use.
    """
    by_host = Counter(end.instance.host for end in ends)
    most = max(MIN_HOSTS, ceil(hosts * HOST_SHARE))
    if len(ends) < MIN_ENDS or len(by_host) < most:
        return []
    return [f"FAULT: processes of {len(by_host)} of {hosts} hosts ended by themselves: {by_host}"]


def describe_memory(instances: Sequence[HostInstance]) -> str:
    """Return the peak memory of each host, the largest first."""
    peaks: dict[str, float] = {}
    for instance in instances:
        peaks[instance.host] = max(peaks.get(instance.host, 0.0), instance.peak_mb)
    limit_mb = max((instance.memory_mb for instance in instances), default=0.0)
    ordered = sorted(peaks.items(), key=lambda peak: -peak[1])
    return f"peak memory, limit {limit_mb:.0f} MB: " + ", ".join(
        f"{name} {peak:.0f}" for name, peak in ordered
    )


def _find_end(instance: HostInstance) -> str:
    if instance.is_over_limit:
        return f"was killed over its limit of {instance.memory_mb:.0f} MB"
    code = instance.exit_code
    if code is None or (instance.killed and code == -signal.SIGKILL):
        return ""
    if instance.terminated is None:
        return "ended by itself"
    # Until a process handles SIGTERM, its default action ends it as wanted.
    is_starting = instance.ready is None and code == -signal.SIGTERM
    return "" if code == 0 or is_starting else "failed after SIGTERM"


def _find_failed_start(instance: HostInstance, until: float) -> str:
    if instance.ready is not None:
        return ""
    moments = [until, instance.terminated, instance.ended]
    lived_ms = min(moment for moment in moments if moment is not None) - instance.started
    waited_ms = lived_ms - instance.frozen_ms
    return f"was not ready after {waited_ms:.0f} ms" if waited_ms >= START_LIMIT_MS else ""
