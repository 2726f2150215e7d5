"""The rule of the soak on requests that reach upstreams whose leaving was acknowledged."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from standins.drain_rule import CONTACT_MS
from standins.drain_rule import DRAIN_MS
from standins.drain_rule import SentRequest
from standins.drain_rule import find_late_requests

ACKNOWLEDGED = 10_000
LATE = ACKNOWLEDGED + DRAIN_MS + 1


def _find(
    arrived: int, *, store_faults: Sequence[int] = (), host_faults: Sequence[int] = ()
) -> list[SentRequest]:
    def has_fault(faults: Sequence[int], began: int, ended: int) -> bool:
        return any(began <= fault <= ended for fault in faults)

    return find_late_requests(
        acknowledged=ACKNOWLEDGED,
        requests=[SentRequest("r", "h", sent=arrived - 50, arrived=arrived)],
        is_store_disturbed=lambda began, ended: has_fault(store_faults, began, ended),
        is_host_disturbed=lambda _, began, ended: has_fault(host_faults, began, ended),
    )


def test_request_is_late_when_it_arrives_after_the_bound() -> None:
    assert _find(LATE)
    assert not _find(LATE - 1)


@pytest.mark.parametrize("at", [ACKNOWLEDGED - CONTACT_MS, ACKNOWLEDGED])
def test_acknowledgement_does_not_count_when_the_store_was_disturbed_before(at: int) -> None:
    assert not _find(LATE + 5000, store_faults=[at])


def test_acknowledgement_counts_when_the_store_was_disturbed_long_before() -> None:
    assert _find(LATE, store_faults=[ACKNOWLEDGED - CONTACT_MS - 1])


def test_request_is_excused_when_store_or_host_was_disturbed_shortly_before_it() -> None:
    arrived = LATE + 10_000
    assert _find(arrived)
    assert not _find(arrived, store_faults=[arrived - CONTACT_MS])
    assert not _find(arrived, host_faults=[arrived - CONTACT_MS])
