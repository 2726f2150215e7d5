"""Connections between this host and its peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from random import Random
import ssl
from typing import Any
from typing import final

import msgspec
from reactivex import Observable
from reactivex.subject import BehaviorSubject
from reactivex.subject import Subject

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import Revision
from tanagerscale.core import get_logger
from tanagerscale.core import record_unexpected_error
from tanagerscale.core import run_contained
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import Hello
from tanagerscale.membership._link import CloseReason
from tanagerscale.membership._link import Link
from tanagerscale.membership._link import LinkClosedError
from tanagerscale.membership._link import Transport
from tanagerscale.membership._peers import MeshCounters
from tanagerscale.membership._peers import PeerAddress
from tanagerscale.membership._peers import PeerInfo
from tanagerscale.membership._peers import ReceivedMessage
from tanagerscale.membership._scale import interval_multiplier
from tanagerscale.membership._session import HEARTBEAT_INTERVAL_MS
from tanagerscale.membership._session import MIN_PROTOCOL_VERSION
from tanagerscale.membership._session import PROTOCOL_VERSION
from tanagerscale.membership._session import PeerSession
from tanagerscale.membership._session import exchange_hello
from tanagerscale.membership._websocket import WebSocketTransport
from tanagerscale.membership._wire import Message
from tanagerscale.membership._wire import encode_frame
from tanagerscale.policy import ByteAccount

_MIN_BACKOFF_MS = 200
_MAX_BACKOFF_MS = 3000
_HEARTBEAT_JITTER = (0.8, 1.0)
"""Range of the random factor on the heartbeat interval. Within a few intervals it
desynchronizes hosts that started together and would otherwise all send at the same moment."""
_UNWANTED_GRACE_MS = 5000
"""How long a connection is kept after it is no longer wanted. A host that leaves and soon rejoins
reuses it, and pending requests on it are answered within this time."""
_DIAL_DELAY_MS = 500
"""How long the host with the higher id waits, so that the other one can connect first."""

log = get_logger(part="mesh")


@final
class Mesh:
    """Maintains one connection to each peer and exchanges messages with it.

    :param host: Id of this host.
    :param failure_domain: Failure domain of this host.
    :param incarnation: Wall-clock time when this process started, in milliseconds.
    :param listen: IP address and port to accept peers on; port 0 chooses a free port.
    :param clock: Source of the current time.
    :param rng: Random number generator used to add jitter to heartbeats and reconnections.
    :param heartbeat_source: Builds the content of the next heartbeat.
    :param closes_unwanted: Returns whether to close connections that this host made some time after
        their address was removed from the wanted ones; otherwise they stay until they fail.
    :param heartbeat_interval_ms: Returns the heartbeat interval for a number of peers, in
        milliseconds.
    :param server_ssl: TLS context for accepted connections; ``None`` means no TLS.
    :param client_ssl: TLS context for outgoing connections; ``None`` means no TLS.
    :param transport: Replaces WebSockets in tests.
    :param delegate_address: Address at which this host accepts delegated requests.
    :param account: Account of what the host holds; ``None`` for none.
    """

    def __init__(
        self,
        *,
        host: HostId,
        failure_domain: FailureDomainId,
        incarnation: int,
        listen: str,
        clock: Clock,
        rng: Random,
        heartbeat_source: Callable[[], Heartbeat] = lambda: Heartbeat(revision=0),
        closes_unwanted: Callable[[], bool] = lambda: False,
        heartbeat_interval_ms: Callable[[int], int] = lambda peers: int(
            HEARTBEAT_INTERVAL_MS * interval_multiplier(peers=peers)
        ),
        server_ssl: ssl.SSLContext | None = None,
        client_ssl: ssl.SSLContext | None = None,
        transport: Transport | None = None,
        delegate_address: str = "",
        account: ByteAccount | None = None,
    ) -> None:
        self._delegate_address = delegate_address
        self._host = host
        self._failure_domain = failure_domain
        self._incarnation = incarnation
        self._listen = listen
        self._clock = clock
        self._rng = rng
        self._heartbeat_source = heartbeat_source
        self._closes_unwanted = closes_unwanted
        self._get_heartbeat_interval_ms = heartbeat_interval_ms
        self._transport = transport or WebSocketTransport(
            server_ssl=server_ssl, client_ssl=client_ssl, account=account
        )
        self._address = listen
        self._sessions: dict[HostId, PeerSession] = {}
        self._targets: dict[str, PeerAddress] = {}
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._tried_addresses: set[str] = set()
        self._host_by_address: dict[str, HostId] = {}
        """The host that answered at an address; the lagging host list may name another one."""
        self._unwanted_since: dict[HostId, Millis] = {}
        """Since when the address of a connection that this host made has not been wanted."""
        self._serve_tasks: set[asyncio.Task[Any]] = set()
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._interval_ms = HEARTBEAT_INTERVAL_MS
        self._messages: Subject[ReceivedMessage] = Subject()
        self._joined: Subject[PeerInfo] = Subject()
        self._live: BehaviorSubject[tuple[PeerInfo, ...]] = BehaviorSubject(())
        self.counters = MeshCounters()

    @property
    def host(self) -> HostId:
        """The id of this host."""
        return self._host

    @property
    def failure_domain(self) -> FailureDomainId:
        """The failure domain of this host."""
        return self._failure_domain

    @property
    def messages(self) -> Observable[ReceivedMessage]:
        """Emits every message from a peer, including heartbeats."""
        return self._messages

    @property
    def live(self) -> BehaviorSubject[tuple[PeerInfo, ...]]:
        """The connected peers, sorted by id; excludes this host."""
        return self._live

    @property
    def joined(self) -> Observable[PeerInfo]:
        """Emits each peer when a connection to it is established, including reconnections."""
        return self._joined

    @property
    def has_tried_all(self) -> bool:
        """Whether a connection to each known address has been attempted at least once."""
        return self._tried_addresses >= self._targets.keys()

    async def start(self) -> str:
        """Start to accept connections and to send heartbeats.

        :returns: The bound address.
        """
        self._address = await self._transport.listen(address=self._listen, accept=self._accept)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats_forever())
        return self._address

    async def stop(self) -> None:
        """Close all connections and stop accepting new ones."""
        tasks: list[asyncio.Task[Any]] = [*self._dialers.values(), *self._serve_tasks]
        if self._heartbeat_task is not None:
            tasks.append(self._heartbeat_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._dialers.clear()
        await self._transport.stop()

    def set_peers(self, peers: Sequence[PeerAddress]) -> None:
        """Replace the addresses to connect to.

        :param peers: Hosts of the host list, and seeds. This host's own address is ignored.
        """
        wanted = {
            peer.address: peer
            for peer in peers
            if peer.host != self._host and peer.address != self._address
        }
        for address in self._dialers.keys() - wanted.keys():
            self._dialers.pop(address).cancel()
            self._tried_addresses.discard(address)
            self._host_by_address.pop(address, None)
        for address, peer in wanted.items():
            self._targets[address] = peer
            if address not in self._dialers:
                self._dialers[address] = asyncio.create_task(self._keep_connected(address=address))
        self._targets = wanted

    def send(self, *, host: HostId, message: Message) -> bool:
        """Send a message without waiting.

        :returns: Whether the host is connected and its queue accepted the frame; delivery is not
            guaranteed.
        """
        session = self._sessions.get(host)
        return session is not None and session.send(encode_frame(message))

    def broadcast(self, *, message: Message) -> None:
        """Send a message to all connected hosts."""
        frame = encode_frame(message)
        for session in self._sessions.values():
            session.send(frame)

    def send_heartbeat(self) -> None:
        """Send a heartbeat immediately, for example when a graceful shutdown begins."""
        self.broadcast(message=self._build_heartbeat())

    async def _send_heartbeats_forever(self) -> None:
        while True:
            await self._clock.sleep(int(self._interval_ms * self._rng.uniform(*_HEARTBEAT_JITTER)))
            run_contained("mesh", self._send_due_heartbeat)

    def _send_due_heartbeat(self) -> None:
        self._interval_ms = self._get_heartbeat_interval_ms(len(self._sessions))
        self._close_unwanted()
        self.send_heartbeat()

    def _close_unwanted(self) -> None:
        """Close connections that this host made and has not wanted for the grace period."""
        now = self._clock.now()
        unwanted = {
            host: session
            for host, session in self._sessions.items()
            if session.dialer == self._host and session.peer.address not in self._targets
        }
        if not self._closes_unwanted():
            unwanted.clear()
        self._unwanted_since = {host: self._unwanted_since.get(host, now) for host in unwanted}
        for host, session in unwanted.items():
            if now - self._unwanted_since[host] >= _UNWANTED_GRACE_MS:
                session.end(reason=CloseReason.NORMAL)

    def _build_heartbeat(self) -> Heartbeat:
        return msgspec.structs.replace(self._heartbeat_source(), next_ms=self._interval_ms)

    async def _accept(self, link: Link) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serve_tasks.add(task)
        try:
            await self._serve(link=link, is_dialer=False)
        finally:
            self._serve_tasks.discard(task)

    async def _keep_connected(self, *, address: str) -> None:
        """Keep one connection to an address, made by either of the two hosts."""
        backoff = _MIN_BACKOFF_MS
        host = self._targets[address].host
        if host is not None and self._host > host:
            await self._clock.sleep(_DIAL_DELAY_MS)
        while True:
            session = self._find_session(address=address)
            if session is not None:
                self._tried_addresses.add(address)
                await session.ended.wait()
                backoff = _MIN_BACKOFF_MS
            else:
                started = self._clock.now()
                if await self._try_to_connect(address=address) is CloseReason.SELF:
                    return
                if self._clock.now() - started > _MAX_BACKOFF_MS:
                    backoff = _MIN_BACKOFF_MS
            await self._clock.sleep(int(backoff * self._rng.uniform(0.5, 1.5)))
            backoff = min(2 * backoff, _MAX_BACKOFF_MS)

    async def _try_to_connect(self, *, address: str) -> CloseReason:
        try:
            return await self._connect_once(address=address)
        # The address is dialed again, whatever was wrong this time.
        except Exception as error:
            record_unexpected_error("mesh", error, address=address)
            return CloseReason.BROKEN

    async def _connect_once(self, *, address: str) -> CloseReason:
        try:
            link = await self._transport.connect(address=address)
        except LinkClosedError as error:
            self._tried_addresses.add(address)
            return error.reason
        # The session outlives this task if the address is removed from the host list.
        serve_task = asyncio.create_task(self._serve(link=link, is_dialer=True, address=address))
        self._serve_tasks.add(serve_task)
        serve_task.add_done_callback(self._serve_tasks.discard)
        return await asyncio.shield(serve_task)

    def _find_session(self, *, address: str) -> PeerSession | None:
        expected = self._host_by_address.get(address, self._targets[address].host)
        for host, session in self._sessions.items():
            if host == expected or session.peer.address == address:
                return session
        return None

    async def _serve(self, *, link: Link, is_dialer: bool, address: str = "") -> CloseReason:
        """Serve one connection from the handshake until it closes."""
        try:
            peer_hello = await exchange_hello(
                link=link, hello=self._build_hello(), counters=self.counters
            )
        except LinkClosedError as error:
            return error.reason
        finally:
            self._tried_addresses.add(address)
        host = HostId(peer_hello.host)
        if is_dialer:
            self._host_by_address[address] = host
        session = PeerSession(
            link=link,
            peer=PeerInfo(
                host=host,
                incarnation=peer_hello.incarnation,
                failure_domain=FailureDomainId(peer_hello.failure_domain),
                address=peer_hello.peers_address or address,
                revision=Revision(0),
                leaving=False,
                delegate_address=peer_hello.delegate_address,
            ),
            dialer=self._host if is_dialer else host,
            clock=self._clock,
            counters=self.counters,
            on_message=self._on_message,
            on_change=self._publish_live,
        )
        refusal = self._register(session)
        if refusal is not None:
            await link.close(reason=refusal)
            return refusal
        return await self._run(session)

    async def _run(self, session: PeerSession) -> CloseReason:
        host = session.peer.host
        log.info("Peer connected.", peer=host, incarnation=session.peer.incarnation)
        session.send(encode_frame(self._build_heartbeat()))
        self._publish_live()
        self._joined.on_next(session.peer)
        reason = CloseReason.NORMAL
        try:
            reason = await session.run()
        finally:
            if self._sessions.get(host) is session:
                del self._sessions[host]
                self._publish_live()
            log.info("Peer disconnected.", peer=host, reason=reason.name.lower())
        return reason

    def _register(self, session: PeerSession) -> CloseReason | None:
        """Register a session as the only one to its host, or return the reason to close it.

        If both hosts connect at the same time, both sides keep the same connection: the one that
        the host with the lower id made.
        """
        host = session.peer.host
        if host == self._host:
            return CloseReason.SELF
        old = self._sessions.get(host)
        if old is not None:
            if not old.is_stale:
                if session.peer.incarnation < old.peer.incarnation:
                    return CloseReason.STALE_INCARNATION
                same_process = session.peer.incarnation == old.peer.incarnation
                if same_process and old.dialer < session.dialer:
                    return CloseReason.DUPLICATE
            old.end(reason=CloseReason.DUPLICATE)
        self._sessions[host] = session
        return None

    def _build_hello(self) -> Hello:
        return Hello(
            version=PROTOCOL_VERSION,
            oldest_version=MIN_PROTOCOL_VERSION,
            host=self._host,
            incarnation=self._incarnation,
            failure_domain=self._failure_domain,
            peers_address=self._address,
            delegate_address=self._delegate_address,
        )

    def _on_message(self, host: HostId, message: Message) -> None:
        self._messages.on_next(ReceivedMessage(host=host, message=message))

    def _publish_live(self) -> None:
        peers = sorted(self._sessions.items())
        self._live.on_next(tuple(session.peer for _, session in peers))
