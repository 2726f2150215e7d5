"""Planned work alone, while a soak runs: hosts stop in turn as engines with little room leave."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
import json
from pathlib import Path
from random import Random
from typing import Any
from typing import Final
from typing import final

from standins.platform_callers import Call
from standins.platform_engine import Ledger
from standins.platform_engine import UpstreamEmulator
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_faults import soak_configuration
from standins.platform_hosts import PlatformHostProcess
from standins.platform_verdict import LAST_SIXTH
from standins.platform_verdict import PlatformVerdict
from standins.platform_world import MODEL_SERVICE
from tanagerscale.core import Clock

MORE_ENGINES: Final = 3
"""Engines for long streams in addition, as engines of the same service leave at the same time."""
SLOTS: Final = 10
MEMORY_TOKENS: Final = 18_000
"""Room for seven runs at their ends, or all slots while runs are short of 65 events."""
EVENT_TOKENS: Final = 20
"""The tokens of a long stream by its number of events."""
COPY_MS: Final = 100.0
"""Time to copy 1,800 tokens of 160 KiB over 24 Gbit/s."""
EVENT_FACTOR: Final = 1.3
"""How much longer events take, so that most runs last longer than a leaving engine stays."""
STOP_GAP_MS: Final = 1_000
MIN_SERVING: Final = 2
"""Hosts that are left to serve while others stop and start."""
MIN_ROUNDS: Final = 2
POLL_MS: Final = 20
ROUND_PAUSE_RANGE_MS: Final = (0, 1_000)
SECOND_SIGNAL_RANGE_MS: Final = (0, 3_000)
SECOND_SIGNAL_SHARE: Final = 0.3
RETRY_SLACKS: Final = (10, 100)
EXCUSED_BY_CALLER: Final = "deadline"
LOG_LINES: Final = 4
"""Last lines of hosts that are printed for a stream without its answer."""
LOG_FIELDS: Final = ("t", "host", "message", "target", "failure", "reason", "phase", "is_retained")


@final
class PlannedStops:
    """Stops all hosts in turn, again and again, and starts each one as soon as it has ended.

    :param hosts: Host processes.
    """

    def __init__(self, *, hosts: list[PlatformHostProcess]) -> None:
        self._hosts = hosts
        self._clock = Clock()
        self._away: set[str] = set()

    @property
    def _serving(self) -> int:
        return len(self._hosts) - len(self._away)

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Stop hosts in rounds for some time.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds in which rounds begin.
        """
        ends_at = self._clock.now() + duration_ms
        rounds = 0
        async with asyncio.TaskGroup() as tasks:
            while rounds < MIN_ROUNDS or self._clock.now() < ends_at:
                rounds += 1
                for host in rng.sample(self._hosts, len(self._hosts)):
                    while host.name in self._away or self._serving <= MIN_SERVING:
                        await self._clock.sleep(POLL_MS)
                    self._away.add(host.name)
                    tasks.create_task(self._restart(host, Random(rng.random())))
                    await self._clock.sleep(STOP_GAP_MS)
                await self._clock.sleep(rng.randint(*ROUND_PAUSE_RANGE_MS))

    async def _restart(self, host: PlatformHostProcess, rng: Random) -> None:
        async with asyncio.TaskGroup() as tasks:
            stop = tasks.create_task(host.stop())
            for is_reload in (False, True):
                if rng.random() < SECOND_SIGNAL_SHARE:
                    delay_ms = rng.randint(*SECOND_SIGNAL_RANGE_MS)
                    tasks.create_task(self._signal_again(host, stop, delay_ms, rng, is_reload))
        await host.start()
        await host.wait_until_ready()
        self._away.discard(host.name)

    async def _signal_again(
        self,
        host: PlatformHostProcess,
        stop: asyncio.Task[None],
        delay_ms: int,
        rng: Random,
        is_reload: bool,
    ) -> None:
        await self._clock.sleep(delay_ms)
        if stop.done():
            return
        if is_reload:
            host.reload(retry_slack=rng.randint(*RETRY_SLACKS))
        else:
            host.terminate_again()


def planned_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with the room that engines for long streams have."""
    value = soak_configuration(version)
    for service in value["services"]:
        if service["name"] == MODEL_SERVICE:
            room = {"slots": SLOTS, "kvCacheTokens": MEMORY_TOKENS}
            service["engine"] = {**service["engine"], **room}
    return value


def limit_upstream(upstream: UpstreamEmulator) -> None:
    """Limit the room of an engine for long streams, and let its events take longer."""
    if upstream.upstream.startswith(MODEL_SERVICE):
        upstream.slots, upstream.memory_tokens = SLOTS, MEMORY_TOKENS
        upstream.event_tokens, upstream.copy_ms = EVENT_TOKENS, COPY_MS
        upstream.event_ms *= EVENT_FACTOR


def report_moves(
    calls: Sequence[Call],
    ledger: Ledger,
    verdict: PlatformVerdict,
    fault_log: FaultLog,
    directory: Path,
) -> None:
    """Print what became of the streams on engines that left.

    :param calls: All requests of callers.
    :param ledger: Record of the upstreams.
    :param verdict: Tells what excuses the end of a stream.
    :param fault_log: Record of the planned work.
    :param directory: Directory with the logs of hosts.
    """
    left = [fault for fault in fault_log.faults if fault.kind is FaultKind.LEAVING]
    streams = [call for call in calls if call.kind.is_stream]
    affected = {
        call.request
        for call in streams
        for item in verdict.received(call)
        for leaving in left
        if item.executed
        and item.upstream == leaving.target
        and item.arrived <= (leaving.ended or item.arrived)
        and (item.ended is None or item.ended >= leaving.began)
    }
    cut = [call for call in streams if not call.is_complete]
    reasons = {
        call.request: (EXCUSED_BY_CALLER if call.gave_up else verdict.find_excuse(call) or "LOST")
        for call in cut
        if call.gave_up or verdict.received(call)
    }
    of_affected = Counter(reason for request, reason in reasons.items() if request in affected)
    others = Counter(reason for request, reason in reasons.items() if request not in affected)
    orders = ledger.copy_orders
    copies = {
        f"{'with stop' if stop else 'copy'} {status}": number
        for (stop, status), number in sorted(orders.items())
    }
    longest = max(streams, key=lambda call: call.pause_ms, default=None)
    print(f"{len(affected)} streams on {len(left)} engines that left: cut {dict(of_affected)}")
    print(f"{len(streams) - len(affected)} other streams: cut {dict(others)}")
    print(f"orders to copy: {copies}")
    if longest is not None:
        print(f"longest pause within a stream: {longest.pause_ms} ms ({longest.request})")
    for request, reason in reasons.items():
        if reason == LAST_SIXTH:
            continue
        print(f"{request} ({reason}):", *_last_lines(directory, request), sep="\n    ")


def _last_lines(directory: Path, request: str) -> list[str]:
    """Return the last lines in which hosts name a request."""
    found = []
    for path in directory.glob("*.log"):
        for line in path.read_text(errors="replace").splitlines():
            if line.startswith("{") and f'"{request}"' in line:
                found.append(json.loads(line))
    found.sort(key=lambda line: float(line["t"]))
    return [
        ", ".join(f"{name} {line[name]}" for name in LOG_FIELDS if name in line)
        for line in found[-LOG_LINES:]
    ]
