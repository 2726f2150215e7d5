"""Entries of other writers among those of the upstreams, which no host may stop at."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from returns.result import Failure
from returns.result import Success

from tanagerscale.core import decode_json
from tanagerscale.core._decoding import MAX_DEPTH
from tanagerscale.platform._registry import decode_entry

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
}

NESTED = msgspec.json.encode(ENTRY)[:-1] + b',"x":' + b"[" * 3000 + b"]" * 3000 + b"}"
"""A valid entry, except that a field which nobody uses is nested more deeply than the stack."""


@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        b"[" * 100_000,
        b'{"x":' * 3000 + b"1" + b"}" * 3000,
        # The stack could hold it or not, depending on the caller's depth.
        NESTED.replace(b"[" * 2900, b"").replace(b"]" * 2900, b""),
    ],
    ids=["unused field", "unclosed lists", "objects", "100 levels"],
)
def test_deeply_nested_entry_is_refused(value: bytes) -> None:
    assert isinstance(decode_entry("servers/odd", value), Failure)


def test_entry_with_a_port_of_thousands_of_digits_is_refused() -> None:
    value = msgspec.json.encode(ENTRY | {"address": "10.0.0.1:" + "9" * 5000})
    assert isinstance(decode_entry("servers/odd", value), Failure)


@pytest.mark.parametrize(("levels", "is_decoded"), [(MAX_DEPTH, True), (MAX_DEPTH + 1, False)])
@pytest.mark.parametrize("prefix", ["", '"[[[[", "{\\"[[", '], ids=["plain", "after strings"])
def test_document_is_decoded_up_to_the_limit_of_levels(
    levels: int, is_decoded: bool, prefix: str
) -> None:
    document = "[" + prefix + "[" * (levels - 1) + "]" * levels
    assert isinstance(decode_json(document.encode(), list[Any]), Success) is is_decoded


def test_document_is_rejected_when_it_has_too_many_bytes() -> None:
    assert decode_json(b'"abc"', str, max_bytes=5) == Success("abc")
    assert isinstance(decode_json(b'"abcd"', str, max_bytes=5), Failure)


@pytest.mark.parametrize("scope", ["1\r\nTE: x", "a b", "\u00e9", "\x00"])
def test_entry_with_an_address_unfit_for_a_header_is_refused(scope: str) -> None:
    # Addresses are sent in the Host field of calls to upstreams.
    value = msgspec.json.encode(ENTRY | {"address": f"[fe80::1%{scope}]:80"})
    assert isinstance(decode_entry("servers/odd", value), Failure)
