"""Days drawn from seeds for the users' bench."""

from __future__ import annotations

import tomllib

import pytest

from testing.days.draw import FEWEST_TROUBLES
from testing.days.draw import LENGTH_S
from testing.days.draw import MOST_TROUBLES
from testing.days.draw import SITES
from testing.days.draw import draw_day

SEEDS = range(200)


@pytest.mark.parametrize("name", sorted(SITES))
def test_drawn_day_can_be_read_and_has_its_troubles_within_its_length(name: str) -> None:
    for seed in SEEDS:
        day = tomllib.loads(draw_day(site=SITES[name], seed=seed))
        assert day["seed"] == seed
        notices = [entry for entry in day["plan"] if entry.get("share") == 0.17]
        troubles = len(day["plan"]) + len(day["faults"]) - len(notices)
        assert FEWEST_TROUBLES <= troubles <= MOST_TROUBLES
        assert all(0 < entry["at"] < LENGTH_S for entry in day["plan"] + day["faults"])


def test_same_seed_draws_the_same_day_and_another_one_another() -> None:
    site = SITES["rondes-tr"]
    assert draw_day(site=site, seed=7) == draw_day(site=site, seed=7)
    assert draw_day(site=site, seed=7) != draw_day(site=site, seed=8)
