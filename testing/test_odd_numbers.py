"""Numbers that other processes write are bounded where they are decoded."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from multidict import CIMultiDict
import pytest
from returns.result import Failure

from standins.platform_world import configuration
from tanagerscale.platform._callers import _decode_demand
from tanagerscale.platform._configuration import decode_configuration
from tanagerscale.platform._registry import decode_entry
from tanagerscale.platform._wire import WireChanges
from tanagerscale.platform._wire import WireReport
from testing.test_odd_entries import ENTRY

HUGE = [10**16, 10**19, 2**64, 10**30, 10**400]


@pytest.mark.parametrize("field", ["slots", "sequence", "born", "coldRemainingMs"])
@pytest.mark.parametrize("value", HUGE)
def test_entry_with_a_huge_number_is_refused(field: str, value: int) -> None:
    encoded = _encode(ENTRY | {field: value})
    assert isinstance(decode_entry("servers/odd", encoded), Failure)


def test_entry_with_the_largest_numbers_is_decoded() -> None:
    encoded = _encode(ENTRY | {"slots": 1_000_000, "sequence": 2**53 - 1})
    assert decode_entry("servers/odd", encoded).unwrap().max_concurrency == 1_000_000


def _find_numbers(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value)
    found: list[tuple[Any, ...]] = []
    for key, item in items:
        if isinstance(item, dict | list):
            found += _find_numbers(item, (*path, key))
        elif isinstance(item, int | float) and not isinstance(item, bool):
            found.append((*path, key))
    return found


@pytest.mark.parametrize("path", _find_numbers(configuration()), ids=str)
@pytest.mark.parametrize("value", HUGE)
def test_configuration_with_a_huge_number_is_refused(path: tuple[Any, ...], value: int) -> None:
    changed = configuration()
    parent: Any = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    assert isinstance(decode_configuration(_encode(changed)), Failure)


@pytest.mark.parametrize(
    "report",
    [
        {"waiting": 10**30},
        {"running": 10**30},
        {"kvCacheUsed": 10**300},
        {"kvCacheTotal": 10**300},
        {"leaves_ms": 10**300},
        {"runs": [["a", 10**30, 1, 0]]},
        {"runs": [["a", 1, 10**30, 0]]},
        {"runs": [["a", -1, 1, 0]]},
        {"runs": [["a"]]},
        {"born": 10**30},
    ],
    ids=str,
)
def test_report_of_an_engine_with_a_number_out_of_range_is_refused(report: object) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(_encode(report), type=WireReport)


@pytest.mark.parametrize(
    ("field", "value"),
    [("revision", 2**48), ("createdRev", 2**48), ("asOf", 2**48), ("lease", 2**63)],
)
def test_answer_of_the_store_with_a_number_out_of_range_is_refused(field: str, value: int) -> None:
    answer = {"events": [{"key": "a", "revision": 1} | {field: value}], "asOf": 1}
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(_encode(answer), type=WireChanges)


# Guards against a caller whose numbers the decider can't calculate with.
@pytest.mark.parametrize("text", ["1e300", "1" * 400, "inf", "nan", "-1", "1e10", ""])
def test_demand_with_a_number_out_of_range_is_not_decoded(text: str) -> None:
    for tokens in (f"{text},8", f"8,{text}"):
        assert _decode_demand(CIMultiDict({"Tanagerscale-Token-Usage": tokens})) is None


def test_hints_out_of_range_are_ignored() -> None:
    demand = _decode_demand(
        CIMultiDict(
            {
                "Tanagerscale-Token-Usage": "8,9",
                "Tanagerscale-Length-Hint": "1e300",
                "Tanagerscale-Prompt-Prefix": "a:1e300,b:-1,c:7",
            }
        )
    )
    assert demand is not None
    assert demand.expected_tokens is None
    assert [(part.part, part.tokens) for part in demand.parts] == [("c", 7)]


def _encode(value: object) -> bytes:
    """Encode numbers that ``msgspec`` does not encode, too."""
    return json.dumps(value).encode()
