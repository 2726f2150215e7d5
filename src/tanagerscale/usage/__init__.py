"""Usage accounting of requests and the Prometheus metrics of a host."""

from __future__ import annotations

from tanagerscale.usage._collector import HostCollector
from tanagerscale.usage._collector import HostGauges
from tanagerscale.usage._meter import ABANDONED
from tanagerscale.usage._meter import WHOLE
from tanagerscale.usage._meter import RequestRecord
from tanagerscale.usage._meter import UsageMeter

__all__ = [
    "ABANDONED",
    "WHOLE",
    "HostCollector",
    "HostGauges",
    "RequestRecord",
    "UsageMeter",
]
