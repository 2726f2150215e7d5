"""One established connection to a peer."""

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
OLDEST_VERSION = 1
HEARTBEAT_INTERVAL_MS = 1000
SILENT_INTERVALS = 3
"""A peer not heard for so many of its intervals is taken as failed, whatever its connection looks
like. Peers whose host is dark are found sooner, by the kernel."""
STALE_INTERVALS = 1.5
"""A connection silent for so many intervals gives way to a new one."""

_HELLO_TIMEOUT_MS = 2000
_QUEUE_FRAMES = 1024

log = get_logger(part="mesh")


@final
class PeerSession:
    """A connection after both hosts have introduced themselves.

    :param link: The connection.
    :param peer: Who is at its other end.
    :param dialer: Which of the two hosts made the connection.
    :param clock: Judges silence.
    :param counters: Counts what passes.
    :param on_message: Called with each message but heartbeats.
    :param on_change: Called when a heartbeat tells something new of the peer.
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
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue(maxsize=_QUEUE_FRAMES)
        self._last_heard = clock.now()
        self._interval_ms = HEARTBEAT_INTERVAL_MS
        self._reader: asyncio.Task[CloseReason] | None = None
        self._end_reason: CloseReason | None = None
        self.ended = asyncio.Event()

    @property
    def peer(self) -> PeerInfo:
        """What the peer last told of itself."""
        return self._peer

    @property
    def dialer(self) -> HostId:
        """Which of the two hosts made the connection."""
        return self._dialer

    @property
    def is_stale(self) -> bool:
        """Whether so little is heard that a new connection takes this one's place."""
        silent_ms = self._clock.now() - self._last_heard
        return silent_ms >= STALE_INTERVALS * self._interval_ms

    def send(self, frame: bytes) -> bool:
        """Queue a frame.

        :returns: Whether there was room; without it the frame is dropped.
        """
        try:
            self._outgoing.put_nowait(frame)
        except asyncio.QueueFull:
            self._counters.dropped_messages += 1
            return False
        return True

    def end(self, *, reason: CloseReason) -> None:
        """Make ``run`` return with a reason."""
        self._end_reason = reason
        if self._reader is not None:
            self._reader.cancel()

    async def run(self) -> CloseReason:
        """Carry messages until the connection ends, and tell the peer why it did."""
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
                return  # The reader finds out too, and ends the session.
            self._counters.sent_messages += 1
            self._counters.sent_bytes += len(frame)

    async def _read(self) -> CloseReason:
        while True:
            try:
                async with asyncio.timeout(SILENT_INTERVALS * self._interval_ms / MS_PER_SECOND):
                    data = await self._link.receive()
            except TimeoutError:
                return CloseReason.SILENT
            except LinkClosedError as error:
                return error.reason
            self._last_heard = self._clock.now()
            if not self._take(data):
                return CloseReason.MALFORMED

    def _take(self, data: bytes) -> bool:
        """Handle one frame; return whether the connection may go on."""
        self._counters.received_messages += 1
        self._counters.received_bytes += len(data)
        decoded = decode_frame(data)
        if isinstance(decoded, Failure):
            error = decoded.failure()
            if error.kind is FrameErrorKind.UNKNOWN_TAG:
                self._counters.unknown_tags += 1
                return True
            self._counters.malformed_frames += 1
            log.warning("Frame refused.", peer=self._peer.host, detail=error.detail)
            return False
        self._deliver(decoded.unwrap())
        return True

    def _deliver(self, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self._note_heartbeat(message)
        try:
            self._on_message(self._peer.host, message)
        # A fault in one subscriber must not cut the host from its peers.
        except Exception:
            log.exception("Message handler failed.", kind=type(message).__name__)

    def _note_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._interval_ms = heartbeat.next_ms
        revision = Revision(heartbeat.revision)
        if revision == self._peer.revision and heartbeat.leaving == self._peer.leaving:
            return
        self._peer = msgspec.structs.replace(
            self._peer, revision=revision, leaving=heartbeat.leaving
        )
        self._on_change()


async def exchange_hello(*, link: Link, hello: Hello, counters: MeshCounters) -> Hello:
    """Introduce this host and read who the other one is.

    :param link: A fresh connection, which is closed with a reason when this fails.
    :param hello: This host's introduction.
    :param counters: Counts refusals.
    :returns: The other host's introduction.
    :raises LinkClosedError: When the hosts can't talk.
    """
    try:
        async with asyncio.timeout(_HELLO_TIMEOUT_MS / MS_PER_SECOND):
            await link.send(encode_frame(hello))
            data = await link.receive()
    except TimeoutError:
        return await _refuse(link=link, reason=CloseReason.HANDSHAKE, counters=counters)
    decoded = decode_frame(data)
    theirs = None if isinstance(decoded, Failure) else decoded.unwrap()
    if not isinstance(theirs, Hello):
        counters.malformed_frames += 1
        return await _refuse(link=link, reason=CloseReason.MALFORMED, counters=counters)
    common = min(hello.version, theirs.version)
    if common < max(hello.oldest_version, theirs.oldest_version):
        counters.refused_versions += 1
        log.warning("Peer of another version refused.", peer=theirs.host, version=theirs.version)
        return await _refuse(link=link, reason=CloseReason.VERSION, counters=counters)
    return theirs


async def _refuse(*, link: Link, reason: CloseReason, counters: MeshCounters) -> Hello:
    counters.refused_hellos += 1
    await link.close(reason=reason)
    raise LinkClosedError(reason)
