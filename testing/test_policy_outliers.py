"""Detection and ejection of outlier upstreams."""

from __future__ import annotations

import pytest

from tanagerscale.core import UpstreamId
from tanagerscale.policy import Tally
from tanagerscale.policy import is_outlier
from tanagerscale.policy import select_ejections


@pytest.mark.parametrize(
    ("own", "others", "is_ejected"),
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
        "fails every request",
        "fails three of four requests",
        "too few answers",
        "fails slightly more than healthy ones",
        "fails more than healthy ones by chance",
        "siblings fail as well",
        "all fail",
    ],
)
def test_upstream_is_ejected_when_it_fails_much_more_than_its_siblings(
    own: Tally, others: Tally, is_ejected: bool
) -> None:
    assert is_outlier(own=own, others=others) is is_ejected


@pytest.mark.parametrize(("siblings", "ejected"), [(2, set()), (3, {"b"}), (6, {"a", "b"})])
def test_at_most_a_third_of_a_service_is_ejected_worst_first(
    siblings: int, ejected: set[str]
) -> None:
    rates = {UpstreamId("a"): 0.5, UpstreamId("b"): 0.9, UpstreamId("c"): 0.4}
    assert select_ejections(rates, siblings=siblings) == ejected
