"""Reads whole bodies of requests, within the limits of callers and of the host."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final
from typing import final

from aiohttp import web

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.gateway._gated_protocol import GatedProtocol
from tanagerscale.gateway._platform import CallerRules
from tanagerscale.gateway._request_lease import RequestLease
from tanagerscale.gateway._uploads import UploadGivenUpError

BODY_RESERVATION_S: Final = 1.0
"""Time after which space that is reserved for the missing part of a body is given back, so that a
stalled upload holds only what it has sent. What arrives later is reserved as it arrives. At 100
Mbit/s a body of 4 MB takes 0.4 s."""

PART_BYTES: Final = 32 * 1024
"""Size of the parts in which a body is held. A buffer that grows to the size of the body would
leave gaps of all sizes in memory."""

_CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
_TOO_LARGE: Final = Refusal(kind=RefusalKind.TOO_LARGE, detail="Send a smaller body.")
_MALFORMED: Final = Refusal(
    kind=RefusalKind.BAD_REQUEST, detail="Send a body that follows its transfer coding."
)
_STALLED: Final = Refusal(
    kind=RefusalKind.BODY_TIMED_OUT, detail="Send the whole body before the deadline."
)


@final
class BodyReader:
    """Reads the bodies of requests.

    :param rules: Limits that apply to callers.
    :param clock: Source of the current time.
    """

    def __init__(self, *, rules: CallerRules, clock: Clock) -> None:
        self._rules = rules
        self._clock = clock

    async def read(
        self, request: web.BaseRequest, lease: RequestLease | None, *, time_left_ms: int | None
    ) -> bytes | Refusal:
        """Return the whole body, or a refusal, after which the rest of the body is not read.

        :param request: The request.
        :param lease: What it holds of the host's budgets; ``None`` on a host without limits.
        :param time_left_ms: Time until its caller gives up; ``None`` if unknown.
        """
        if not request.can_read_body:
            return b""
        announced = request.content_length or 0
        if announced > self._rules.body_bytes():
            return _TOO_LARGE
        if lease is not None and announced:
            refusal = await lease.reserve_body(announced)
            if refusal is not None:
                return refusal
        if "Expect" in request.headers and request.transport is not None:
            request.transport.write(_CONTINUE)
        reading = _Reading(
            request=request, lease=lease, rules=self._rules, clock=self._clock, reserved=announced
        )
        try:
            return await reading.run(time_left_ms=time_left_ms)
        except UploadGivenUpError:
            assert lease is not None
            return lease.refuse_upload()
        except web.RequestPayloadError:
            return _MALFORMED
        finally:
            reading.clear()


@final
class _Reading:
    """Reads one body.

    :param request: The request.
    :param lease: What it holds of the host's budgets.
    :param rules: Limits that apply to callers.
    :param clock: Source of the current time.
    :param reserved: Bytes that are reserved for the body.
    """

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        lease: RequestLease | None,
        rules: CallerRules,
        clock: Clock,
        reserved: int,
    ) -> None:
        self._request = request
        self._lease = lease
        self._rules = rules
        self._clock = clock
        self._reserved = reserved
        self._size = 0
        self._parts: list[bytes] = []
        self._last_part = bytearray()
        self._is_given_up = False

    async def run(self, *, time_left_ms: int | None) -> bytes | Refusal:
        """Return the body, or a refusal.

        :param time_left_ms: Time until the caller gives up; ``None`` if unknown.
        """
        content = self._request.content
        if content.is_eof() and self._reserved:
            return await content.readany()
        if self._lease is None:
            return await self._read(time_left_ms, lambda _received: None)
        upload = self._lease.begin_upload(
            give_up=self._give_up, close=self._close, now=self._clock.now()
        )

        def record(received: int) -> None:
            upload.received = received
            upload.last_received = self._clock.now()

        try:
            return await self._read(time_left_ms, record)
        finally:
            self._lease.end_upload(upload)

    def clear(self) -> None:
        """Let go of the body, as a reference cycle with an error may be collected much later."""
        self._parts.clear()
        self._last_part = bytearray()

    def _add(self, chunk: bytes) -> None:
        """Add a chunk; small ones are joined, as each object takes memory of its own."""
        self._size += len(chunk)
        self._last_part += chunk
        if len(self._last_part) >= PART_BYTES:
            self._parts.append(bytes(self._last_part))
            self._last_part.clear()

    def _give_up(self) -> None:
        self._is_given_up = True
        self.clear()
        protocol = self._request.protocol
        if isinstance(protocol, GatedProtocol):
            protocol.give_up_body(UploadGivenUpError())

    def _close(self) -> bool:
        protocol = self._request.protocol
        return isinstance(protocol, GatedProtocol) and protocol.end_at_once()

    async def _read(
        self, time_left_ms: int | None, record: Callable[[int], None]
    ) -> bytes | Refusal:
        now = asyncio.get_running_loop().time
        reserved_until = now() + BODY_RESERVATION_S
        ends = None if time_left_ms is None else now() + time_left_ms / MS_PER_SECOND
        while True:
            idle = now() + self._rules.idle_timeout_ms() / MS_PER_SECOND
            due = idle if ends is None else min(idle, ends)
            missing = self._reserved - self._size if self._lease is not None else 0
            try:
                async with asyncio.timeout_at(min(due, reserved_until) if missing > 0 else due):
                    chunk = await self._request.content.readany()
            except TimeoutError:
                if self._lease is None or missing <= 0 or now() >= due:
                    return _STALLED
                self._lease.return_body(missing)
                self._reserved = self._size
                continue
            if self._is_given_up:
                # What was complete by then has lost its first parts.
                raise UploadGivenUpError
            if not chunk:
                return b"".join((*self._parts, self._last_part))
            self._add(chunk)
            record(self._size)
            refusal = await self._reserve()
            if refusal is not None:
                return refusal

    async def _reserve(self) -> Refusal | None:
        """Reserve what has arrived beyond what is reserved; return a refusal if it can't be."""
        size = self._size
        if size > self._rules.body_bytes():
            return _TOO_LARGE
        if self._lease is None or size <= self._reserved:
            return None
        refusal = await self._lease.reserve_body(size - self._reserved, total=size)
        self._reserved = size
        return refusal
