"""One definition of each measure, used by the replay, ``/metrics`` and ``usage``."""

from __future__ import annotations

from tanagerscale.measures._histogram import GapHistogram
from tanagerscale.measures._table import MeasureTable
from tanagerscale.measures._table import Summary
from tanagerscale.measures._timeline import GOOD_STALL_PART
from tanagerscale.measures._timeline import RequestTimeline

__all__ = [
    "GOOD_STALL_PART",
    "GapHistogram",
    "MeasureTable",
    "RequestTimeline",
    "Summary",
]
