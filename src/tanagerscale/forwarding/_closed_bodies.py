"""Bodies that only the end of their connection delimits."""

from __future__ import annotations

import asyncio
from typing import Final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._types import UpstreamResponse
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry

PROBES: Final = 3
PROBE_RETRY_MS: Final = 100
"""Probes of an upstream that has closed a connection, and the pause between two of them. An
upstream at its limit of connections resets new ones, though it is alive."""


async def check_close(
    context: ForwardingContext, entry: UpstreamEntry, response: UpstreamResponse
) -> None:
    """Check that an upstream has ended a body by its close, and not by its crash.

    A refusal counts as it is, since its body is not needed.

    :param context: Dependencies shared by all requests.
    :param entry: The upstream.
    :param response: Its response, whose body has been read.
    :raises ExchangeError: The upstream is gone, so that the body may be incomplete.
    """
    if not response.is_close_delimited or response.not_executed:
        return
    for probe in range(PROBES):
        if probe:
            await asyncio.sleep(PROBE_RETRY_MS / MS_PER_SECOND)
        if await context.paths.answers([entry], force_new=True):
            return
    raise ExchangeError(ExchangeFailure.LOST, "The upstream ended before its answer was complete")
