"""Seeded soak of hosts on the platform: processes on loopback under overlapping faults."""

from __future__ import annotations

from pathlib import Path

import pytest

from standins.platform_soak import run_soak


# Guards against requests that hosts lose, repeat or refuse falsely while faults overlap.
@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("seed", "seconds", "hosts"), [(1, 9, 5), (4, 9, 5), (8, 9, 5), (205, 12, 6)]
)
async def test_guarantees_hold_when_random_faults_overlap(
    seed: int, seconds: int, hosts: int, tmp_path: Path
) -> None:
    assert await run_soak(seed=seed, seconds=seconds, hosts=hosts, directory=tmp_path) == []


# Guards against hosts that together send an upstream more than the rate limit that it names.
@pytest.mark.asyncio
@pytest.mark.parametrize(("seed", "seconds", "hosts"), [(301, 12, 5), (302, 12, 5)])
async def test_guarantees_hold_when_upstreams_name_rate_limits_among_faults(
    seed: int, seconds: int, hosts: int, tmp_path: Path
) -> None:
    violations = await run_soak(
        seed=seed, seconds=seconds, hosts=hosts, directory=tmp_path, limits=True
    )
    assert violations == []
