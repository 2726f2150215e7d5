"""The callers' side of a host."""

from __future__ import annotations

from tanagerscale.entry._app import Admission
from tanagerscale.entry._app import Entry
from tanagerscale.entry._app import EntryParts
from tanagerscale.entry._app import KeyCheck
from tanagerscale.entry._completions import CompletionParts
from tanagerscale.entry._completions import Completions
from tanagerscale.entry._requests import RequestChecker

__all__ = [
    "Admission",
    "CompletionParts",
    "Completions",
    "Entry",
    "EntryParts",
    "KeyCheck",
    "RequestChecker",
]
