"""Budgets of one host for bytes and descriptors.

Load: 300 callers that read 1 kB/s beside others that read at once, bodies of 4 MB, slow upstreams,
a link of 5 Mbit/s, 1,638 descriptors.
"""

from __future__ import annotations

from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.policy._byte_account import ByteAccount

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

STREAM_RATIO: Final = 0.65
"""Fraction of the byte budget that streams share with everything else that is held. It is below
``READY_RATIO``, so that streams alone do not keep the host from becoming ready again; the rest
covers the event by which each stream exceeds its buffer, and other requests."""

EXCHANGE_RATIO: Final = 0.5
"""Fraction of the byte budget that incomplete answers of upstreams, of the store and of other hosts
may take together. An upstream that sends without end takes all of it."""

MIN_EXCHANGE_BYTES: Final = 6 * BYTES_PER_MB
"""What these may take on a host without space: one answer of 4 MB beside small ones, which is part
of ``MARGIN_BYTES``."""

MEMORY_WARNING_RATIO: Final = 0.9
"""Fraction of the memory limit above which the largest incomplete answers fail, whatever is
counted, and a warning is logged."""

USUAL_ANSWER_BYTES: Final = 176 * 1024
"""Size of a long answer: 1,756 tokens in 439 events of 380 bytes, with the framing of HTTP
chunks."""

FAST_STREAM_BUFFER_BYTES: Final = 64 * 1024
"""Buffer of a stream whatever it has sent, if its share allows it: the default of asyncio. With
less, long streams to fast callers wait more often than without limits."""

MIN_STREAM_BUFFER_BYTES: Final = 16 * 1024
"""Buffer that a stream has even if the budget is used: about 40 events."""


LIMITED_READ_BUFFER_BYTES: Final = 16 * 1024
"""Unread bytes of a response above which a host of limited memory pauses reading it. The parser
pauses at twice this size, after data that may be as much again."""

UNREAD_STREAM_BYTES: Final = 4 * LIMITED_READ_BUFFER_BYTES
"""Most bytes of a stream that have arrived and are not read while the buffer of its caller is
full."""


class HostUse(Struct, frozen=True, kw_only=True):
    """What a host uses of its budgets.

    :param held_bytes: Bytes of bodies, whole responses, connections and streams.
    :param outgoing_bytes: Bytes that wait to be sent to callers.
    :param descriptors: Open connections of callers, to upstreams and to peers.
    """

    held_bytes: int = 0
    outgoing_bytes: int = 0
    descriptors: int = 0


@final
class HostBudget:
    """Decides whether a host takes more requests; a limit of ``None`` is unknown and never reached.

    :param byte_limit: Bytes for requests.
    :param descriptor_limit: Connections.
    :param link_mbps: Speed of the network link in Mbit/s, for the metrics only.
    :param memory_bytes: Memory that the process may use.
    """

    def __init__(
        self,
        *,
        byte_limit: int | None = None,
        descriptor_limit: int | None = None,
        link_mbps: float | None = None,
        memory_bytes: int | None = None,
    ) -> None:
        self.byte_limit: Final = byte_limit
        self.descriptor_limit: Final = descriptor_limit
        self.link_mbps: Final = link_mbps
        self.memory_bytes: Final = memory_bytes
        self._is_ready = True
        self._has_few_descriptors = True

    @property
    def is_limited(self) -> bool:
        """Whether any limit is known."""
        return self.byte_limit is not None or self.descriptor_limit is not None

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

    def get_memory_excess(self, resident_bytes: int) -> int:
        """Return how many bytes must be freed for the process to stay below its limit.

        :param resident_bytes: Resident memory of the process.
        """
        if self.memory_bytes is None:
            return 0
        return max(0, resident_bytes - int(self.memory_bytes * MEMORY_WARNING_RATIO))

    def update_readiness(self, use: HostUse) -> bool:
        """Return whether the host is ready, considering whether it was at the last call."""
        ratios = self.get_ratios(use)
        self._is_ready = _is_below(max(ratios.values(), default=0.0), self._is_ready)
        self._has_few_descriptors = _is_below(
            ratios.get("descriptors", 0.0), self._has_few_descriptors
        )
        return self._is_ready

    def must_close_connections(self, use: HostUse) -> bool:
        """Return whether connections are closed after their responses.

        They are from the withdrawal of readiness by their number until that number allows it again,
        as kept connections would never become fewer.
        """
        return not self._has_few_descriptors or not self.has_descriptors(use)

    def get_ratios(self, use: HostUse) -> dict[str, float]:
        """Return the used fraction of each known budget, by its name."""
        ratios = {}
        if self.byte_limit is not None:
            ratios["bytes"] = (use.held_bytes + use.outgoing_bytes) / self.byte_limit
        if self.descriptor_limit is not None:
            ratios["descriptors"] = use.descriptors / self.descriptor_limit
        return ratios

    def get_link_wait_ms(self, use: HostUse) -> float:
        """Return how long the link needs for what waits for callers, in milliseconds."""
        if self.link_mbps is None:
            return 0.0
        return use.outgoing_bytes / (self.link_mbps * BYTES_PER_MS_PER_MBPS)

    def get_stream_buffer(
        self, use: HostUse, *, streams: int, sent_bytes: int, waiting_bytes: int = 0
    ) -> int | None:
        """Return how many bytes of a stream may wait for its caller; ``None`` for no limit.

        Streams share equally what is left below ``STREAM_RATIO``, so that slow callers alone
        neither withdraw readiness nor take the space of new requests. The share also covers what
        has arrived and is not read while the buffer is full, as any stream may be longer than a
        usual answer. No stream gets more than the larger one of ``FAST_STREAM_BUFFER_BYTES`` and
        the rest of a usual answer. A stream that begins while others hold more than their share
        gets what is free. A stream that holds more than its share keeps it until its caller has
        read it, so that its upstream is read meanwhile.

        :param use: What the host uses now, without the unread events of streams.
        :param streams: Number of streams to callers.
        :param sent_bytes: Bytes of this stream that have been sent to its caller.
        :param waiting_bytes: Bytes of this stream that wait for its caller.
        """
        if self.byte_limit is None:
            return None
        space = int(self.byte_limit * STREAM_RATIO) - use.held_bytes
        share = space // max(streams, 1) - UNREAD_STREAM_BYTES
        free = space - use.outgoing_bytes - streams * UNREAD_STREAM_BYTES
        wanted = max(FAST_STREAM_BUFFER_BYTES, USUAL_ANSWER_BYTES - sent_bytes)
        buffer = min(share, wanted, waiting_bytes + max(0, free))
        return max(MIN_STREAM_BUFFER_BYTES, waiting_bytes, buffer)


def _is_below(ratio: float, was_below: bool) -> bool:
    """Return whether a used fraction is low, or was and has not exceeded the upper threshold."""
    return ratio < READY_RATIO or (was_below and ratio <= NOT_READY_RATIO)


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
        memory_bytes=int(memory_mb * BYTES_PER_MB) if byte_limit > 0 else None,
    )
    return budget, invalid


def make_byte_account(memory_mb: float) -> ByteAccount:
    """Return the account of what a host holds for others.

    :param memory_mb: Memory of the host in units of 1,000,000 bytes; 0 if unknown.
    """
    budget, _ = make_host_budget(memory_mb=memory_mb, file_descriptors=0, link_mbps=0)
    if budget.byte_limit is None:
        return ByteAccount()
    return ByteAccount(
        exchange_limit=max(int(budget.byte_limit * EXCHANGE_RATIO), MIN_EXCHANGE_BYTES),
        total_limit=budget.byte_limit,
        min_limit=MIN_EXCHANGE_BYTES,
    )


def get_read_buffer_bytes(memory_mb: float, *, usual_bytes: int) -> int:
    """Return how much unread data of an upstream a host holds for each connection.

    :param memory_mb: Memory of the host in units of 1,000,000 bytes; 0 if unknown.
    :param usual_bytes: The amount without a known limit.
    """
    budget, _ = make_host_budget(memory_mb=memory_mb, file_descriptors=0, link_mbps=0)
    return usual_bytes if budget.byte_limit is None else LIMITED_READ_BUFFER_BYTES
