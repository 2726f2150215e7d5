"""Tests of the days generated for the users' bench."""

from __future__ import annotations

import tomllib

import pytest

from testing.days.draw import DAY_LENGTH_S
from testing.days.draw import MAX_DISTURBANCES
from testing.days.draw import MIN_DISTURBANCES
from testing.days.draw import SITES
from testing.days.draw import generate_day

SEEDS = range(200)


@pytest.mark.parametrize("name", sorted(SITES))
def test_generated_day_is_valid_toml_with_disturbances_within_bounds(name: str) -> None:
    for seed in SEEDS:
        day = tomllib.loads(generate_day(site=SITES[name], seed=seed))
        assert day["seed"] == seed
        reclaims = [entry for entry in day["plan"] if entry.get("share") == 0.17]
        disturbances = len(day["plan"]) + len(day["faults"]) - len(reclaims)
        assert MIN_DISTURBANCES <= disturbances <= MAX_DISTURBANCES
        assert all(0 < entry["at"] < DAY_LENGTH_S for entry in day["plan"] + day["faults"])


def test_generated_day_depends_only_on_the_seed() -> None:
    site = SITES["rondes-tr"]
    assert generate_day(site=site, seed=7) == generate_day(site=site, seed=7)
    assert generate_day(site=site, seed=7) != generate_day(site=site, seed=8)
