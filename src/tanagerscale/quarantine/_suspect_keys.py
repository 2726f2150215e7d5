"""Keys of what may crash upstreams: whole requests, and parts of prompts that requests share."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import NewType

from tanagerscale.quarantine._rules import Fingerprint

SuspectKey = NewType("SuspectKey", str)
"""Identifies all copies of one request, or all requests with one part in their prompts."""

_REQUEST_PREFIX: Final = "request:"
_PART_PREFIX: Final = "part:"


def request_key(fingerprint: Fingerprint) -> SuspectKey:
    """Return the key of a whole request."""
    return SuspectKey(f"{_REQUEST_PREFIX}{fingerprint}")


def part_keys(parts: Iterable[str]) -> frozenset[SuspectKey]:
    """Return the keys of parts of a prompt, given by their ids."""
    return frozenset(SuspectKey(f"{_PART_PREFIX}{part}") for part in parts)
