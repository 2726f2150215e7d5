"""Seeded soak of hosts on the platform: processes on loopback under overlapping faults."""

from __future__ import annotations

from pathlib import Path

import pytest

from standins.platform_soak import run_soak

SECONDS = 9.0
HOSTS = 5


# Guards against requests that hosts lose, repeat or refuse falsely while faults overlap.
@pytest.mark.asyncio
@pytest.mark.parametrize("seed", [1, 4, 8])
async def test_guarantees_hold_when_random_faults_overlap(seed: int, tmp_path: Path) -> None:
    assert await run_soak(seed=seed, seconds=SECONDS, hosts=HOSTS, directory=tmp_path) == []
