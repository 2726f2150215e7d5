"""Reports of engines that may have ended."""

from __future__ import annotations

from typing import Final

from returns.result import Success

from tanagerscale.core import finish_within
from tanagerscale.forwarding._types import EngineControl
from tanagerscale.upstreams import EngineReport
from tanagerscale.upstreams import UpstreamEntry

REPORT_TIMEOUT_MS: Final = 300
"""Timeout for an engine to report. A live engine responds within 20 ms, whatever its load."""


async def answers_report(engines: EngineControl, entry: UpstreamEntry) -> bool:
    """Return whether an engine answers a query for its report.

    :param engines: Queries engines.
    :param entry: The engine.
    """
    return await find_report(engines, entry) is not None


async def find_report(engines: EngineControl, entry: UpstreamEntry) -> EngineReport | None:
    """Return the report of an engine; ``None`` if it doesn't answer.

    :param engines: Queries engines.
    :param entry: The engine.
    """
    try:
        report = await finish_within(engines.report(upstream=entry), timeout_ms=REPORT_TIMEOUT_MS)
    except TimeoutError:
        return None
    return report.unwrap() if isinstance(report, Success) else None
