"""What one request holds of the budgets of its host."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from contextvars import ContextVar
from typing import TYPE_CHECKING
from typing import Final
from typing import Protocol
from typing import final

from tanagerscale.core import Millis
from tanagerscale.forwarding import Refusal
from tanagerscale.gateway._uploads import SMALL_BODY_BYTES
from tanagerscale.gateway._uploads import Upload

if TYPE_CHECKING:
    from tanagerscale.gateway._host_limits import HostLimits

BODY_COPIES: Final = 2
"""A body is held until its request ends, and a copy of it waits to be sent to a slow upstream."""

SPACE_WAIT_MS: Final = 100
"""Longest wait of a body for space. A plain request must be answered in 130 ms, and its caller can
go to another host."""

RESUME_GAP_BYTES: Final = 1024
"""Space in a full buffer at which the upstream is read on: one second of a caller that reads 1
kB/s. Upstreams cut off responses that remain unread for some seconds."""


class OutgoingTransport(Protocol):
    """A transport whose unsent bytes are limited."""

    def get_write_buffer_size(self) -> int:
        """Return the number of unsent bytes."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the sizes at which writing pauses and resumes."""


@final
class RequestLease:
    """What one request holds of its host's budgets; released when the request ends.

    :param limits: Limits of the host.
    """

    def __init__(self, *, limits: HostLimits) -> None:
        self._limits = limits
        self._held = 0
        self._written = 0
        self._is_stream = False
        self._is_released = False

    def add(self, size: int) -> None:
        """Count bytes that are held, whether there is space for them or not.

        Does nothing after the release, as tasks that outlive the request still have the lease.
        """
        if self._is_released:
            return
        self._held += size
        self._limits.held_bytes += size

    def open_request(self, *, fields: int = 0, body_bytes: int | None = 0) -> Refusal | None:
        """Count the request, or return its refusal if a budget of the host is used up.

        :param fields: Number of its header fields.
        :param body_bytes: Size of its body in bytes; ``None`` if unknown.
        """
        is_small = body_bytes is not None and body_bytes <= SMALL_BODY_BYTES
        return self._limits.open_request(self, fields=fields, is_small=is_small)

    async def reserve_body(self, size: int, *, total: int | None = None) -> Refusal | None:
        """Reserve space for a body or a part of it, or return a refusal if there is none in time.

        :param size: Size of the body or part in bytes.
        :param total: Size of the body with the parts before; ``None`` for ``size``.
        """
        is_small = (size if total is None else total) <= SMALL_BODY_BYTES
        return await self._limits.reserve_body(self, size, wait_ms=SPACE_WAIT_MS, is_small=is_small)

    def begin_upload(
        self, *, give_up: Callable[[], None], close: Callable[[], bool], now: Millis
    ) -> Upload:
        """Record that a body arrives, which may be given up for other requests.

        :param give_up: Refuses the request.
        :param close: Closes its connection at once; returns whether it was open.
        :param now: Current time.
        """

        def end() -> None:
            give_up()
            self.release()

        upload = Upload(began=now, last_received=now, give_up=end, close=close)
        self._limits.uploads.add(upload)
        return upload

    def end_upload(self, upload: Upload) -> None:
        """Record that a body is complete, or its request has ended."""
        self._limits.uploads.remove(upload)

    def refuse_upload(self) -> Refusal:
        """Return the refusal of a request whose body was given up."""
        return self._limits.refuse_upload()

    def return_body(self, size: int) -> None:
        """Give back space that is reserved for a part of a body that has not arrived.

        :param size: Size of the part in bytes.
        """
        self.add(-size * BODY_COPIES)
        self._limits.grant_space()

    def begin_stream(self) -> None:
        """Record that the response is a stream."""
        if self._is_released or self._is_stream:
            return
        self._is_stream = True
        self._limits.streams += 1

    def record_write(self, transport: OutgoingTransport, size: int) -> None:
        """Record that bytes are written to the caller, and limit how many may wait to be sent."""
        self._limits.written_bytes += size
        self._written += size
        if not self._is_stream:
            return
        waiting = transport.get_write_buffer_size()
        sent = max(0, self._written - waiting)
        high = self._limits.get_stream_buffer(sent_bytes=sent, waiting_bytes=waiting)
        if high is not None:
            # A buffer shrinks only if more is sent between two events than one event adds.
            low = max(0, high - max(RESUME_GAP_BYTES, 2 * size))
            transport.set_write_buffer_limits(high=high, low=low)

    async def wait_for_caller(self, wait: Awaitable[None]) -> None:
        """Wait while the buffer of the caller is full, counting what is unread meanwhile.

        :param wait: Ends when the buffer has space.
        """
        self._limits.metrics.pauses.labels("stream").inc()
        self._limits.paused_streams += 1
        try:
            await wait
        finally:
            self._limits.paused_streams -= 1

    def release(self) -> None:
        """Give back everything that the request holds."""
        self.add(-self._held)
        self._is_released = True
        if self._is_stream:
            self._is_stream = False
            self._limits.streams -= 1
        self._limits.grant_space()


current_lease: ContextVar[RequestLease | None] = ContextVar("current_lease", default=None)
"""The lease of the request that is being handled, which tasks that serve the request inherit."""
