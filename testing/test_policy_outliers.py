"""Which upstreams rest, for each load the rule answers."""

from __future__ import annotations

import pytest

from tanagerscale.core import UpstreamId
from tanagerscale.policy import Tally
from tanagerscale.policy import is_outlier
from tanagerscale.policy import may_eject


@pytest.mark.parametrize(
    ("own", "others", "rests"),
    [
        (Tally(good=15, bad=10), Tally(good=48, bad=2), True),
        (Tally(good=0, bad=3), Tally(), True),
        (Tally(good=1, bad=3), Tally(good=6), True),
        (Tally(good=0, bad=2), Tally(good=40), False),
        (Tally(good=40, bad=3), Tally(good=80), False),
        (Tally(good=15, bad=4), Tally(good=53, bad=3), False),
        (Tally(good=6, bad=4), Tally(good=30, bad=10), False),
        (Tally(good=0, bad=10), Tally(good=0, bad=50), False),
    ],
    ids=[
        "fails four in ten",
        "fails all it got",
        "fails three of the few an engine gets",
        "too few to tell",
        "fails hardly more than sound ones",
        "fails a little more than sound ones by chance",
        "siblings fail as well",
        "all fail",
    ],
)
def test_upstream_rests_when_it_does_much_worse_than_its_siblings(
    own: Tally, others: Tally, rests: bool
) -> None:
    assert is_outlier(own=own, others=others) is rests


@pytest.mark.parametrize(("siblings", "resting"), [(2, set()), (3, {"b"}), (6, {"a", "b"})])
def test_at_most_a_third_of_a_service_rests_the_worst_first(
    siblings: int, resting: set[str]
) -> None:
    rates = {UpstreamId("a"): 0.5, UpstreamId("b"): 0.9, UpstreamId("c"): 0.4}
    assert may_eject(rates, siblings=siblings) == resting
