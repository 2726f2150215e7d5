"""Limits of one host: what its requests hold, and whether it takes one more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from random import Random
from typing import Final
from typing import final

from msgspec import Struct
from prometheus_client import CollectorRegistry

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import ResidentMemory
from tanagerscale.core import get_logger
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import host_full
from tanagerscale.gateway._host_limit_metrics import HostLimitMetrics
from tanagerscale.gateway._request_lease import BODY_COPIES
from tanagerscale.gateway._request_lease import OutgoingTransport
from tanagerscale.gateway._request_lease import RequestLease
from tanagerscale.gateway._uploads import Uploads
from tanagerscale.generated.gateway import GatewayHost as HostSection
from tanagerscale.policy import UNREAD_STREAM_BYTES
from tanagerscale.policy import ByteAccount
from tanagerscale.policy import HostBudget
from tanagerscale.policy import HostUse
from tanagerscale.policy import make_host_budget
from tanagerscale.upstreams import count_open_connections

CONNECTION_BYTES: Final = 8 * 1024
"""Memory of a connection; 6 KB were measured for an idle one of a caller."""

REQUEST_BYTES: Final = 24 * 1024
"""Memory of a request apart from its bodies; 8 KB were measured for its parsed head alone."""

USUAL_FIELDS: Final = 32
"""Number of header fields that ``REQUEST_BYTES`` covers."""

FIELD_BYTES: Final = 512
"""Memory of one more header field, as the parser and the forwarded request hold it."""

MEASURE_INTERVAL_MS: Final = 100
"""Interval at which outgoing bytes are summed, readiness is updated and waiting bodies are given
the space that callers have freed by reading."""

_log = get_logger(part="host_limits")


class _SpaceWait(Struct, kw_only=True, eq=False):
    """A body that waits for space.

    :param lease: Lease of its request.
    :param size: Bytes that it needs.
    :param granted: Set once the bytes are reserved.
    """

    lease: RequestLease
    size: int
    granted: asyncio.Event


@final
class HostLimits:
    """Counts what requests hold, and decides whether the host takes one more.

    :param budget: The budgets.
    :param clock: Source of the current time.
    :param rng: Random number generator for the jitter of retry delays.
    :param registry: Registry that exports the metrics.
    :param count_other_connections: Returns the number of connections to upstreams and peers.
    :param account: Account of incomplete answers; ``None`` for none.
    :param read_resident_bytes: Returns the resident memory of the process; ``None`` if unknown.
    """

    def __init__(
        self,
        *,
        budget: HostBudget,
        clock: Clock,
        rng: Random,
        registry: CollectorRegistry,
        count_other_connections: Callable[[], int] = lambda: 0,
        account: ByteAccount | None = None,
        read_resident_bytes: Callable[[], int | None] = lambda: None,
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._rng = rng
        self._count_other_connections = count_other_connections
        self._account = account or ByteAccount()
        self._read_resident_bytes = read_resident_bytes
        self._is_memory_low = False
        self._get_transports: Callable[[], Iterable[OutgoingTransport]] = tuple
        self._get_input_bytes: Callable[[], int] = int
        self._input_bytes = 0
        self._waits: list[_SpaceWait] = []
        self.uploads: Final = Uploads()
        """Bodies that are arriving."""
        self._was_ready = True
        self._count_callers: Callable[[], int] = int
        self._connection_bytes = 0
        self._outgoing_bytes = 0
        self._written_at_measure = 0
        self.held_bytes = 0
        """Bytes that leases hold."""
        self.streams = 0
        """Number of streams to callers."""
        self.paused_streams = 0
        """Number of streams whose callers' buffers are full."""
        self.written_bytes = 0
        """Bytes that have been written to callers since the start."""
        self.metrics: Final = HostLimitMetrics(
            registry=registry,
            budget=budget,
            get_use=self.measure,
            account=self._account,
            read_resident_bytes=read_resident_bytes,
        )

    @property
    def has_byte_limit(self) -> bool:
        """Whether the buffers of streams are bounded."""
        return self._budget.byte_limit is not None

    @property
    def is_limited(self) -> bool:
        """Whether any limit is known."""
        return self._budget.is_limited

    def observe_callers(
        self,
        *,
        get_transports: Callable[[], Iterable[OutgoingTransport]],
        count: Callable[[], int],
        get_input_bytes: Callable[[], int] = int,
    ) -> None:
        """Set how to measure the connections of callers.

        :param get_transports: Returns their transports.
        :param count: Returns their number.
        :param get_input_bytes: Returns the bytes of their input that wait to be parsed.
        """
        self._get_transports = get_transports
        self._count_callers = count
        self._get_input_bytes = get_input_bytes

    def measure(self) -> HostUse:
        """Return what the host uses now; takes 0.1 ms for 300 connections."""
        transports = self._get_transports()
        self._outgoing_bytes = sum(one.get_write_buffer_size() for one in transports)
        self._written_at_measure = self.written_bytes
        self._input_bytes = self._get_input_bytes()
        return self._estimate()

    def _estimate(self) -> HostUse:
        """Return what the host uses at most, as if nothing was sent since the last measurement."""
        connections = self._count_callers() + self._count_other_connections()
        self._connection_bytes = connections * CONNECTION_BYTES
        unread = self.paused_streams * UNREAD_STREAM_BYTES
        use = HostUse(
            held_bytes=self.held_bytes + self._connection_bytes + self._input_bytes + unread,
            outgoing_bytes=self._outgoing_bytes + self.written_bytes - self._written_at_measure,
            descriptors=connections,
        )
        self._account.count_other(use.held_bytes + use.outgoing_bytes)
        return use

    def _has_bytes(self, size: int) -> bool:
        """Return whether there is space for more bytes, measuring only if it seems not so."""
        return any(
            self._budget.has_bytes(get_use(), size) for get_use in (self._estimate, self.measure)
        )

    def _make_space(self, size: int, *, is_small: bool = True) -> bool:
        """Give up slow uploads until there is space for more bytes; return whether there is.

        :param size: Number of bytes.
        :param is_small: Whether any upload may be given up for them, or only a stalled one.
        """
        while not self._has_bytes(size):
            if not self.uploads.give_up_one(now=self._clock.now(), is_stalled=not is_small):
                return False
        return True

    @property
    def has_descriptors(self) -> bool:
        """Whether the open connections are within their limit."""
        return not self.is_limited or self._budget.has_descriptors(self._estimate())

    @property
    def is_ready(self) -> bool:
        """Whether the budgets allow the host to accept new connections."""
        if not self.is_limited:
            return True
        use = self.measure()
        is_ready = self._budget.update_readiness(use)
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self._log_readiness(use, is_ready)
        return is_ready

    @property
    def must_close_connections(self) -> bool:
        """Whether connections are closed after their responses, as there are too many."""
        return self.is_limited and self._budget.must_close_connections(self._estimate())

    def get_stream_buffer(self, *, sent_bytes: int, waiting_bytes: int = 0) -> int | None:
        """Return how many bytes of a stream may wait for its caller; ``None`` for no limit."""
        # Summing the outgoing bytes for each event would cost too much.
        use = HostUse(
            held_bytes=self.held_bytes + self._connection_bytes,
            outgoing_bytes=self._outgoing_bytes + self.written_bytes - self._written_at_measure,
        )
        return self._budget.get_stream_buffer(
            use, streams=self.streams, sent_bytes=sent_bytes, waiting_bytes=waiting_bytes
        )

    def open_request(
        self, lease: RequestLease, *, fields: int = 0, is_small: bool = True
    ) -> Refusal | None:
        """Count a new request, or return its refusal if a budget is used up.

        :param lease: Lease of the request.
        :param fields: Number of its header fields.
        :param is_small: Whether any upload may be given up for it, or only a stalled one.
        """
        size = REQUEST_BYTES + max(0, fields - USUAL_FIELDS) * FIELD_BYTES
        if self.is_limited:
            if not self._budget.has_descriptors(self._estimate()):
                return self._refuse("descriptors", self.measure(), size=1)
            if not self._make_space(size, is_small=is_small):
                return self._refuse("bytes", self.measure(), size=size)
        lease.add(size)
        return None

    def refuse_upload(self) -> Refusal:
        """Return the refusal of a request whose body was given up for other requests."""
        return self._refuse("bytes", self.measure(), size=0)

    async def reserve_body(
        self, lease: RequestLease, size: int, *, wait_ms: int, is_small: bool = False
    ) -> Refusal | None:
        """Reserve space for a body or a part of it, waiting for it if there is none.

        :param lease: Lease of the request.
        :param size: Size of the body or part in bytes.
        :param wait_ms: Longest wait in milliseconds.
        :param is_small: Whether any upload may be given up for it, or only a stalled one.
        :returns: The refusal if there is no space in time.
        """
        needed = size * BODY_COPIES
        if not self.is_limited or self._make_space(needed, is_small=is_small):
            lease.add(needed)
            return None
        self.metrics.pauses.labels("body").inc()
        wait = _SpaceWait(lease=lease, size=needed, granted=asyncio.Event())
        self._waits.append(wait)
        try:
            async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                await wait.granted.wait()
        except TimeoutError:
            if not wait.granted.is_set():
                return self._refuse("bytes", self.measure(), size=needed)
        finally:
            if not wait.granted.is_set():
                self._waits.remove(wait)
        return None

    def grant_space(self) -> None:
        """Reserve space for waiting bodies, in order of arrival, as far as they fit."""
        if not self._waits:
            return
        use = self.measure()
        for wait in list(self._waits):
            if self._budget.has_bytes(use, wait.size):
                self._waits.remove(wait)
                wait.lease.add(wait.size)
                wait.granted.set()
                use = self.measure()

    async def run(self) -> None:
        """Update readiness and waiting bodies until cancelled."""
        while self.is_limited:
            await self._clock.sleep(MEASURE_INTERVAL_MS)
            self.update()

    def update(self) -> None:
        """Update readiness and waiting bodies after an interval, and check the memory."""
        _ = self.is_ready
        self.grant_space()
        self._check_memory()

    def _check_memory(self) -> None:
        """Let the largest incomplete answers fail if the process is about to exceed its limit."""
        resident_bytes = self._read_resident_bytes()
        if resident_bytes is None:
            return
        excess = self._budget.get_memory_excess(resident_bytes)
        if excess and not self._is_memory_low:
            _log.warning(
                "The memory is almost used up.",
                resident_bytes=resident_bytes,
                memory_limit=self._budget.memory_bytes,
                exchange_bytes=self._account.held,
                **self._describe(self.measure()),
            )
        self._is_memory_low = excess > 0
        self._account.free(excess)

    def _refuse(self, budget: str, use: HostUse, *, size: int) -> Refusal:
        self.metrics.refusals.labels(budget).inc()
        _log.info(
            "A request is refused since the host is full.",
            budget=budget,
            needed=size,
            **self._describe(use),
        )
        return host_full(budget=budget, rng=self._rng)

    def _log_readiness(self, use: HostUse, is_ready: bool) -> None:
        _log.info(
            "The host has space again." if is_ready else "The host is almost full.",
            **self._describe(use),
        )

    def _describe(self, use: HostUse) -> dict[str, object]:
        return {
            "held_bytes": use.held_bytes,
            "outgoing_bytes": use.outgoing_bytes,
            "byte_limit": self._budget.byte_limit,
            "descriptors": use.descriptors,
            "descriptor_limit": self._budget.descriptor_limit,
        }


def make_host_limits(
    *,
    settings: HostSection,
    clock: Clock,
    rng: Random,
    registry: CollectorRegistry,
    count_peers: Callable[[], int],
    account: ByteAccount | None = None,
) -> HostLimits:
    """Return the limits of a host, logging the settings that are too small to be true.

    :param settings: Settings of the host.
    :param clock: Source of the current time.
    :param rng: Random number generator for the jitter of retry delays.
    :param registry: Registry that exports the metrics.
    :param count_peers: Returns the number of connections of other hosts.
    :param account: Account of incomplete answers; ``None`` for none.
    """
    budget, invalid = make_host_budget(
        memory_mb=settings.memory_mb,
        file_descriptors=settings.file_descriptors,
        link_mbps=settings.link_mbps,
    )
    if invalid:
        _log.warning(
            "Settings are too small for the process itself; they set no limit.",
            settings={name: getattr(settings, name) for name in invalid},
        )
    return HostLimits(
        budget=budget,
        clock=clock,
        rng=rng,
        registry=registry,
        count_other_connections=lambda: count_open_connections() + count_peers(),
        account=account,
        read_resident_bytes=ResidentMemory().read,
    )
