"""Arithmetic of requests that reach upstreams after the store has acknowledged that they leave."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

DRAIN_MS = 2_000
"""Time after the acknowledgement in which requests may still reach the upstream."""
CONTACT_MS = 3_000
"""Time without disruption after which hosts and the store are held to the bound."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that reached an upstream and was not refused as meant for another one.

    :param request: Its id.
    :param host: Host that sent it.
    :param sent: When its caller sent it, in milliseconds.
    :param arrived: When it arrived, in milliseconds.
    """

    request: str
    host: str
    sent: int
    arrived: int


def find_late_requests(
    *,
    acknowledged: int,
    requests: Sequence[SentRequest],
    is_store_disturbed: Callable[[int, int], bool],
    is_host_disturbed: Callable[[str, int, int], bool],
) -> list[SentRequest]:
    """Return the requests that reached a leaving upstream too late.

    :param acknowledged: When the store acknowledged that the upstream leaves, in milliseconds.
    :param requests: Requests that reached the upstream.
    :param is_store_disturbed: Returns whether the store was disturbed in a span of time.
    :param is_host_disturbed: Returns whether a host was disturbed in a span of time.
    """
    if is_store_disturbed(acknowledged - CONTACT_MS, acknowledged):
        return []
    return [
        request
        for request in requests
        if request.arrived > acknowledged + DRAIN_MS
        and not is_store_disturbed(request.sent - CONTACT_MS, request.arrived)
        and not is_host_disturbed(request.host, request.sent - CONTACT_MS, request.arrived)
    ]
