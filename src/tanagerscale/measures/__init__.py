"""Definitions of the latency and cost measures.

The replay, ``/metrics`` and the ``usage`` command share them.
"""

from __future__ import annotations

from tanagerscale.measures._histogram import DurationHistogram
from tanagerscale.measures._table import MeasureTable
from tanagerscale.measures._table import Summary
from tanagerscale.measures._timeline import MAX_GOOD_STALL_FRACTION
from tanagerscale.measures._timeline import RequestTimeline

__all__ = [
    "MAX_GOOD_STALL_FRACTION",
    "DurationHistogram",
    "MeasureTable",
    "RequestTimeline",
    "Summary",
]
