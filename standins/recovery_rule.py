"""The users' rule on callers of hosts that reach no upstream, computed from what callers saw."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MIN_RATIO = 2 / 3
"""Part of the success of the other hosts that hosts which are cut off must have."""
FREE_FAILURES = 10
REQUESTS_PER_FAILURE = 50


@dataclass(frozen=True, slots=True)
class FirstTry:
    """A request that a caller sent for the first time.

    :param is_cut_off: Whether its host was cut off, and had been so for the time allowed.
    :param is_served: Whether it was answered with success.
    """

    is_cut_off: bool
    is_served: bool


def find_neglect(tries: Sequence[FirstTry]) -> str:
    """Return a description of how much worse callers of hosts were served that were cut off.

    :param tries: Requests sent while some hosts were cut off, to hosts that were in touch.
    """
    cut = [one.is_served for one in tries if one.is_cut_off]
    others = [one.is_served for one in tries if not one.is_cut_off]
    if not cut or not others:
        return ""
    failed = len(cut) - sum(cut)
    is_worse = sum(cut) / len(cut) < MIN_RATIO * sum(others) / len(others)
    if is_worse and failed > FREE_FAILURES + len(cut) / REQUESTS_PER_FAILURE:
        return (
            f"hosts that reached no upstream served {sum(cut)} of {len(cut)} requests, the others "
            f"{sum(others)} of {len(others)}"
        )
    return ""
