"""One established connection to a peer, and the handshake that precedes it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

import msgspec
from returns.result import Failure

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Revision
from tanagerscale.core import get_logger
from tanagerscale.core import read_within
from tanagerscale.core import run_contained
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import Hello
from tanagerscale.membership._link import CloseReason
from tanagerscale.membership._link import Link
from tanagerscale.membership._link import LinkClosedError
from tanagerscale.membership._peers import MeshCounters
from tanagerscale.membership._peers import PeerInfo
from tanagerscale.membership._wire import FrameErrorKind
from tanagerscale.membership._wire import Message
from tanagerscale.membership._wire import decode_frame
from tanagerscale.membership._wire import encode_frame

PROTOCOL_VERSION = 1
MIN_PROTOCOL_VERSION = 1
HEARTBEAT_INTERVAL_MS = 1000
MAX_SILENT_INTERVALS = 3
"""A peer that is silent for this many of its heartbeat intervals counts as failed, whatever the
state of its connection. The kernel detects unreachable hosts sooner."""
STALE_AFTER_INTERVALS = 1.5
"""A connection silent for this many heartbeat intervals is replaced by a new one."""

_HANDSHAKE_TIMEOUT_MS = 2000
_MAX_QUEUED_FRAMES = 1024

log = get_logger(part="mesh")


@final
class PeerSession:
    """A connection to a peer after a successful handshake.

    :param link: The connection.
    :param peer: The peer, as it introduced itself.
    :param dialer: The host that made the connection.
    :param clock: Source of the current time, used to measure silence.
    :param counters: Counters of messages and bytes.
    :param on_message: Called with each message.
    :param on_change: Called when a heartbeat changes the state of the peer.
    """

    def __init__(
        self,
        *,
        link: Link,
        peer: PeerInfo,
        dialer: HostId,
        clock: Clock,
        counters: MeshCounters,
        on_message: Callable[[HostId, Message], None],
        on_change: Callable[[], None],
    ) -> None:
        self._link = link
        self._peer = peer
        self._dialer = dialer
        self._clock = clock
        self._counters = counters
        self._on_message = on_message
        self._on_change = on_change
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue(maxsize=_MAX_QUEUED_FRAMES)
        self._last_received_at = clock.now()
        self._interval_ms = HEARTBEAT_INTERVAL_MS
        self._reader: asyncio.Task[CloseReason] | None = None
        self._end_reason: CloseReason | None = None
        self.ended = asyncio.Event()

    @property
    def peer(self) -> PeerInfo:
        """The peer with its latest reported state."""
        return self._peer

    @property
    def dialer(self) -> HostId:
        """The host that made the connection."""
        return self._dialer

    @property
    def is_stale(self) -> bool:
        """Whether the peer has been silent so long that a new connection may replace this one."""
        silent_ms = self._clock.now() - self._last_received_at
        return silent_ms >= STALE_AFTER_INTERVALS * self._interval_ms

    def send(self, frame: bytes) -> bool:
        """Queue a frame.

        :returns: Whether the queue had room; otherwise the frame is dropped.
        """
        try:
            self._outgoing.put_nowait(frame)
        except asyncio.QueueFull:
            self._counters.dropped_messages += 1
            return False
        return True

    def end(self, *, reason: CloseReason) -> None:
        """Make ``run`` return ``reason``."""
        self._end_reason = reason
        if self._reader is not None:
            self._reader.cancel()

    async def run(self) -> CloseReason:
        """Exchange messages until the connection closes, and send the peer the reason.

        :returns: Why the connection closed.
        """
        self._reader = asyncio.create_task(self._read())
        writer = asyncio.create_task(self._write())
        reason = CloseReason.NORMAL
        try:
            reason = await self._reader
        except asyncio.CancelledError:
            if self._end_reason is None:
                raise
            reason = self._end_reason
        finally:
            writer.cancel()
            self.ended.set()
        await self._link.close(reason=reason)
        return reason

    async def _write(self) -> None:
        while True:
            frame = await self._outgoing.get()
            try:
                await self._link.send(frame)
            except LinkClosedError:
                return  # The reader gets the same error and ends the session.
            self._counters.sent_messages += 1
            self._counters.sent_bytes += len(frame)

    async def _read(self) -> CloseReason:
        while True:
            try:
                silent_ms = MAX_SILENT_INTERVALS * self._interval_ms
                data = await read_within(self._link.receive, timeout_ms=silent_ms)
            except TimeoutError:
                return CloseReason.SILENT
            except LinkClosedError as error:
                return error.reason
            self._last_received_at = self._clock.now()
            if not self._handle_frame(data):
                return CloseReason.MALFORMED

    def _handle_frame(self, data: bytes) -> bool:
        """Handle one frame; return whether the connection can stay open."""
        self._counters.received_messages += 1
        self._counters.received_bytes += len(data)
        decoded = decode_frame(data)
        if isinstance(decoded, Failure):
            error = decoded.failure()
            if error.kind is FrameErrorKind.UNKNOWN_TAG:
                self._counters.unknown_tags += 1
                return True
            self._counters.malformed_frames += 1
            log.warning("Rejected a malformed frame.", peer=self._peer.host, detail=error.detail)
            return False
        self._deliver(decoded.unwrap())
        return True

    def _deliver(self, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self._handle_heartbeat(message)
        # A failing subscriber must not disconnect the host from its peers.
        run_contained(
            "peer-messages",
            lambda: self._on_message(self._peer.host, message),
            kind=type(message).__name__,
        )

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._interval_ms = heartbeat.next_ms
        revision = Revision(heartbeat.revision)
        peer = msgspec.structs.replace(
            self._peer, revision=revision, leaving=heartbeat.leaving, cut_off=heartbeat.cut_off
        )
        if peer != self._peer:
            self._peer = peer
            self._on_change()


async def exchange_hello(*, link: Link, hello: Hello, counters: MeshCounters) -> Hello:
    """Perform the handshake: send this host's hello and receive the peer's.

    :param link: A new connection; it is closed with a reason if the handshake fails.
    :param hello: This host's hello.
    :param counters: Counters of rejected handshakes.
    :returns: The peer's hello.
    :raises LinkClosedError: If the handshake times out, the peer sends anything but a hello, or the
        hosts share no protocol version.
    """
    try:
        async with asyncio.timeout(_HANDSHAKE_TIMEOUT_MS / MS_PER_SECOND):
            await link.send(encode_frame(hello))
            data = await link.receive()
    except TimeoutError:
        return await _reject(link=link, reason=CloseReason.HANDSHAKE, counters=counters)
    decoded = decode_frame(data)
    peer_hello = None if isinstance(decoded, Failure) else decoded.unwrap()
    if not isinstance(peer_hello, Hello):
        counters.malformed_frames += 1
        return await _reject(link=link, reason=CloseReason.MALFORMED, counters=counters)
    common = min(hello.version, peer_hello.version)
    if common < max(hello.oldest_version, peer_hello.oldest_version):
        counters.refused_versions += 1
        log.warning(
            "Rejected a peer that shares no protocol version with this host.",
            peer=peer_hello.host,
            version=peer_hello.version,
        )
        return await _reject(link=link, reason=CloseReason.VERSION, counters=counters)
    return peer_hello


async def _reject(*, link: Link, reason: CloseReason, counters: MeshCounters) -> Hello:
    counters.refused_hellos += 1
    await link.close(reason=reason)
    raise LinkClosedError(reason)
