"""Scaling of the message rate with the number of hosts.

In a full mesh every host sends its updates to every other host, so the total number of messages
grows with the square of the number of hosts.
"""

from __future__ import annotations

from typing import Final

MAX_PEERS_AT_BASE_INTERVAL: Final = 16
"""Largest number of peers to which a host sends each update directly at the base interval. With
more peers, updates are sent less often or through other hosts. Current installations have at most
nine hosts."""


def interval_multiplier(*, peers: int) -> float:
    """Return the factor by which to lengthen the interval of periodic messages to all peers.

    :param peers: Number of peers.
    """
    return max(peers / MAX_PEERS_AT_BASE_INTERVAL, 1.0)
