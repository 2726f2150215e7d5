"""The rule on repeats counts what arrived beyond the first of each request, in sliding windows."""

from __future__ import annotations

from standins.retry_budget_rule import RetryBudgetRule
from standins.retry_budget_rule import find_repeats

RULE = RetryBudgetRule(ratio=0.5, slack=2, window_s=10.0)


def _arrivals(*times: int) -> list[tuple[int, str]]:
    """Return arrivals of one request."""
    return [(at, "a") for at in times]


def test_first_arrival_of_each_request_is_no_repeat() -> None:
    assert find_repeats([(0, "a"), (1, "b"), (2, "a"), (3, "c"), (4, "a")]) == [2, 4]


def test_repeats_are_allowed_up_to_the_slack_and_the_ratio() -> None:
    arrivals = _arrivals(0, 1, 2, 3)
    assert RULE.find_excess(requests=[0, 0], arrivals=arrivals) == ""
    assert RULE.find_excess(requests=[0], arrivals=arrivals)


def test_repeats_are_counted_in_any_window() -> None:
    arrivals = _arrivals(0, 9_000, 18_000, 18_500)
    assert RULE.find_excess(requests=[], arrivals=arrivals)
    assert RULE.find_excess(requests=[], arrivals=_arrivals(0, 9_000, 18_000, 19_500)) == ""


def test_requests_of_the_window_before_count_if_it_has_more() -> None:
    arrivals = _arrivals(0, 20_000, 20_001, 20_002)
    assert RULE.find_excess(requests=[12_000, 12_000], arrivals=arrivals) == ""
    assert RULE.find_excess(requests=[0, 0], arrivals=arrivals)
