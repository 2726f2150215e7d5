"""Budgets of one host for bytes, descriptors and time on its network link.

Load: 300 callers that read 1 kB/s beside others that read at once, bodies of 4 MB, slow upstreams,
a link of 5 Mbit/s, 1,638 descriptors.
"""

from __future__ import annotations

from typing import Final
from typing import final

from msgspec import Struct

BYTES_PER_MB: Final = 1_000_000
BYTES_PER_MS_PER_MBPS: Final = 125
"""One Mbit/s is 125 bytes in a millisecond."""

PROCESS_BYTES: Final = 40 * BYTES_PER_MB
"""Memory that the process takes without requests: the highest value that was seen."""

MARGIN_BYTES: Final = 18 * BYTES_PER_MB
"""Memory for what is not counted, above all the short-lived copy of a body of 4 MB that is joined
or sent, and free memory that the allocator does not return."""

RESERVED_DESCRIPTORS: Final = 200
"""Descriptors for the listening sockets, the store, log files, and connections that are accepted or
opened before their number is checked."""

NOT_READY_RATIO: Final = 0.85
"""Fraction of a budget above which the host is not ready. The rest serves the requests that callers
send on existing connections until the load balancer has noticed."""

READY_RATIO: Final = 0.70
"""Fraction of every budget below which the host is ready again."""

MAX_LINK_WAIT_MS: Final = 500
"""Time that new bytes may wait for the link before the host is not ready. A third of the time in
which the first event of a short generation is due."""

BUSY_LINK_RATIO: Final = 0.5
"""Fraction of the link's speed above which the link may be what delays bytes. At less, they wait
for callers that read slowly, and a caller that reads at once does not wait."""

USUAL_ANSWER_BYTES: Final = 144 * 1024
"""Size of a long answer: 1,756 tokens in 439 events, at most 300 bytes each, with the framing of
HTTP chunks."""

MIN_STREAM_BUFFER_BYTES: Final = 16 * 1024
"""Buffer that a stream has even if the budget is used: about 50 events."""


READ_BUFFER_BYTES: Final = 16 * 1024
"""Unread bytes of a response above which a host of limited memory pauses reading it. The parser
pauses at twice this size, after data that may be as much again."""

UNREAD_STREAM_BYTES: Final = 4 * READ_BUFFER_BYTES
"""Most bytes of a stream that have arrived and are not read while the buffer of its caller is
full."""


class HostUse(Struct, frozen=True, kw_only=True):
    """What a host uses of its budgets.

    :param held_bytes: Bytes of bodies, whole responses, connections and streams.
    :param outgoing_bytes: Bytes that wait to be sent to callers.
    :param descriptors: Open connections of callers, to upstreams and to peers.
    :param sent_per_ms: Bytes that were recently sent to callers per millisecond.
    """

    held_bytes: int = 0
    outgoing_bytes: int = 0
    descriptors: int = 0
    sent_per_ms: float = 0.0


@final
class HostBudget:
    """Decides whether a host takes more requests; a limit of ``None`` is unknown and never reached.

    :param byte_limit: Bytes for requests.
    :param descriptor_limit: Connections.
    :param link_mbps: Speed of the network link in Mbit/s.
    """

    def __init__(
        self,
        *,
        byte_limit: int | None = None,
        descriptor_limit: int | None = None,
        link_mbps: float | None = None,
    ) -> None:
        self.byte_limit: Final = byte_limit
        self.descriptor_limit: Final = descriptor_limit
        self.link_mbps: Final = link_mbps
        self._is_ready = True

    @property
    def is_limited(self) -> bool:
        """Whether any limit is known."""
        limits = (self.byte_limit, self.descriptor_limit, self.link_mbps)
        return any(limit is not None for limit in limits)

    def has_bytes(self, use: HostUse, size: int) -> bool:
        """Return whether there is space for more bytes.

        :param use: What the host uses now.
        :param size: Additional bytes.
        """
        used = use.held_bytes + use.outgoing_bytes
        return self.byte_limit is None or used + size <= self.byte_limit

    def has_descriptors(self, use: HostUse) -> bool:
        """Return whether the open connections are within their limit."""
        return self.descriptor_limit is None or use.descriptors <= self.descriptor_limit

    def update_readiness(self, use: HostUse) -> bool:
        """Return whether the host is ready, considering whether it was at the last call."""
        highest = max(self.get_ratios(use).values(), default=0.0)
        if highest > NOT_READY_RATIO:
            self._is_ready = False
        elif highest < READY_RATIO:
            self._is_ready = True
        return self._is_ready

    def get_ratios(self, use: HostUse) -> dict[str, float]:
        """Return the used fraction of each known budget, by its name."""
        ratios = {}
        if self.byte_limit is not None:
            ratios["bytes"] = (use.held_bytes + use.outgoing_bytes) / self.byte_limit
        if self.descriptor_limit is not None:
            ratios["descriptors"] = use.descriptors / self.descriptor_limit
        if self.link_mbps is not None:
            # The host is not ready above the longest wait, which is the same fraction as elsewhere.
            wait = self.get_link_wait_ms(use) / MAX_LINK_WAIT_MS
            ratios["link"] = wait * NOT_READY_RATIO
        return ratios

    def get_link_wait_ms(self, use: HostUse) -> float:
        """Return how long new bytes wait for the link, in milliseconds; 0 if it is not busy."""
        if self.link_mbps is None:
            return 0.0
        bytes_per_ms = self.link_mbps * BYTES_PER_MS_PER_MBPS
        if use.sent_per_ms < bytes_per_ms * BUSY_LINK_RATIO:
            return 0.0
        return use.outgoing_bytes / bytes_per_ms

    def get_stream_buffer(self, use: HostUse, *, streams: int, sent_bytes: int) -> int | None:
        """Return how many bytes of a stream may wait for its caller; ``None`` for no limit.

        Streams share equally what is left below the threshold of readiness, so that slow callers
        alone neither withdraw readiness nor take the space of new requests. No stream gets more
        than the rest of a usual answer. If the rest does not fit, the share also covers what has
        arrived and is not read while the buffer is full.

        :param use: What the host uses now, without the unread events of streams.
        :param streams: Number of streams to callers.
        :param sent_bytes: Bytes of this stream that have been sent to its caller.
        """
        if self.byte_limit is None:
            return None
        space = int(self.byte_limit * NOT_READY_RATIO) - use.held_bytes
        share = space // max(streams, 1)
        rest = USUAL_ANSWER_BYTES - sent_bytes
        if share < rest:
            share -= UNREAD_STREAM_BYTES
        return max(MIN_STREAM_BUFFER_BYTES, min(share, rest))


def make_host_budget(
    *, memory_mb: float, file_descriptors: float, link_mbps: float
) -> tuple[HostBudget, list[str]]:
    """Return the budget of a host, and the names of settings that are too small to be true.

    :param memory_mb: Memory of the host in units of 1,000,000 bytes; 0 if unknown.
    :param file_descriptors: Descriptors of the host; 0 if unknown.
    :param link_mbps: Speed of its link in Mbit/s; 0 if unknown.
    """
    byte_limit = int(memory_mb * BYTES_PER_MB) - PROCESS_BYTES - MARGIN_BYTES
    descriptor_limit = int(file_descriptors) - RESERVED_DESCRIPTORS
    invalid = []
    if memory_mb and byte_limit <= 0:
        invalid.append("memory_mb")
    if file_descriptors and descriptor_limit <= 0:
        invalid.append("file_descriptors")
    budget = HostBudget(
        byte_limit=byte_limit if byte_limit > 0 else None,
        descriptor_limit=descriptor_limit if descriptor_limit > 0 else None,
        link_mbps=link_mbps if link_mbps > 0 else None,
    )
    return budget, invalid
