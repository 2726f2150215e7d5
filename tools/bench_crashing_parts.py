"""Compares rules that attribute crashes to parts of prompts, in virtual time with nine hosts.

Run as ``python -m tools.bench_crashing_parts``. For each rule and scenario it prints the crashes,
the sound requests that were refused as ones that crash upstreams, and those that began from the
first crashing request on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from functools import partial
from typing import Final
from unittest.mock import patch

from tanagerscale.core import UpstreamId
from tanagerscale.quarantine import Conviction
from tanagerscale.quarantine import SuspectKey
from tanagerscale.quarantine import _suspects
from tanagerscale.quarantine._attribution import MIN_CRASHES
from tanagerscale.quarantine._attribution import Crash
from tanagerscale.quarantine._attribution import attribute
from testing._crashing_parts import BAD_PART
from testing._crashing_parts import RESTART_MS
from testing._crashing_parts import CrashingFleet
from testing._crashing_parts import PartTraffic
from testing._crashing_parts import run_with_crashing_fleet

Attribute = Callable[..., list[Conviction]]


def attribute_requests(
    crashes: Mapping[UpstreamId, Crash], *, was_sound: Callable[[SuspectKey], bool]
) -> list[Conviction]:
    """Convict whole requests only."""
    return [
        one for one in attribute_each(crashes, was_sound=was_sound) if "request:" in str(one.keys)
    ]


def attribute_each(
    crashes: Mapping[UpstreamId, Crash], *, was_sound: Callable[[SuspectKey], bool]
) -> list[Conviction]:
    """Convict each key with enough crashes."""
    crashed: dict[SuspectKey, set[UpstreamId]] = {}
    for upstream, crash in crashes.items():
        for run in crash.runs:
            for key in run:
                crashed.setdefault(key, set()).add(upstream)
    return [
        Conviction(keys=frozenset({key}), crashed=frozenset(upstreams), was_sound=False)
        for key, upstreams in crashed.items()
        if len(upstreams) >= MIN_CRASHES
    ]


def attribute_unknown(
    crashes: Mapping[UpstreamId, Crash], *, was_sound: Callable[[SuspectKey], bool]
) -> list[Conviction]:
    """Convict each key with enough crashes that was not answered before."""
    each = attribute_each(crashes, was_sound=was_sound)
    return [one for one in each if not any(was_sound(key) for key in one.keys)]


RULES: Final[dict[str, Attribute]] = {
    "whole requests": attribute_requests,
    "each key": attribute_each,
    "each key that was not answered": attribute_unknown,
    "what explains the crashes": attribute,
}


async def _run_beside(
    fleet: CrashingFleet, *, send: Callable[[PartTraffic], Awaitable[None]], calm_s: float
) -> PartTraffic:
    traffic = PartTraffic(fleet=fleet)
    await traffic.send_sound(seconds=calm_s)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(traffic.send_sound(seconds=20))
        tasks.create_task(_wait(send(traffic)))
    return traffic


async def _wait(awaitable: Awaitable[None]) -> None:
    await awaitable


async def _in_turn(traffic: PartTraffic) -> None:
    for _ in range(12):
        await traffic.send_bad()
        await asyncio.sleep(1.5)


async def _at_once(traffic: PartTraffic) -> None:
    for _ in range(3):
        async with asyncio.TaskGroup() as calls:
            for _ in range(8):
                calls.create_task(traffic.send_bad())
                await asyncio.sleep(0.02)
        await asyncio.sleep(RESTART_MS / 1000 + 1)


async def _two_in_turn(traffic: PartTraffic) -> None:
    traffic.fleet.upstreams.bad_parts.add("worse")
    for number in range(12):
        await traffic.send_bad(part=(BAD_PART, "worse")[number % 2])
        await asyncio.sleep(1.5)


async def _first_of_route(traffic: PartTraffic) -> None:
    traffic.sound.clear()
    await _in_turn(traffic)


SCENARIOS: Final[dict[str, tuple[Callable[[PartTraffic], Awaitable[None]], float]]] = {
    "one each 1.5 s": (_in_turn, 5),
    "eight within 160 ms, three times": (_at_once, 5),
    "two parts in turn": (_two_in_turn, 5),
    "first requests of a route": (_first_of_route, 0),
}


def main() -> None:
    """Print a table."""
    print("| rule | scenario | crashes | sound refused | sound begun |")
    print("| --- | --- | --- | --- | --- |")
    for rule, function in RULES.items():
        for scenario, (send, calm_s) in SCENARIOS.items():
            with patch.object(_suspects, "attribute", function):
                traffic = run_with_crashing_fleet(partial(_run_beside, send=send, calm_s=calm_s))
            crashes = len(traffic.fleet.upstreams.crashes)
            beside = [one for one in traffic.sound if one.sent_at >= traffic.disturbed_at]
            begun = sum(one.has_events for one in beside)
            print(
                f"| {rule} | {scenario} | {crashes} | {traffic.refused_sound} | "
                f"{begun} of {len(beside)} |"
            )


if __name__ == "__main__":
    main()
