"""Whether an engine that takes long is alive."""

from __future__ import annotations

import asyncio
from typing import Final

from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.forwarding._types import EngineControl
from tanagerscale.upstreams import UpstreamEntry

REPORT_TIMEOUT_MS: Final = 300
"""Timeout for an engine to report. A live engine responds within 20 ms, whatever its load."""


async def answers_report(engines: EngineControl, entry: UpstreamEntry) -> bool:
    """Return whether an engine answers a query for its report.

    :param engines: Queries engines.
    :param entry: The engine.
    """
    try:
        async with asyncio.timeout(REPORT_TIMEOUT_MS / MS_PER_SECOND):
            return isinstance(await engines.report(upstream=entry), Success)
    except TimeoutError:
        return False
