"""Connections between hosts over WebSockets."""

from __future__ import annotations

import ssl
from typing import final

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server
from websockets.asyncio.server import ServerConnection
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed
from websockets.exceptions import WebSocketException

from tanagerscale.core import enable_tcp_keepalive
from tanagerscale.generated.settings import TlsSection
from tanagerscale.ini import check_address
from tanagerscale.membership._counted_connection import CountedConnection
from tanagerscale.membership._counted_connection import make_connection_types
from tanagerscale.membership._link import CLOSE_REASON_TEXTS
from tanagerscale.membership._link import CloseReason
from tanagerscale.membership._link import Link
from tanagerscale.membership._link import LinkClosedError
from tanagerscale.membership._link import LinkHandler
from tanagerscale.membership._wire import MAX_FRAME_BYTES
from tanagerscale.policy import ByteAccount

DEAD_PEER_TIMEOUT_S = 4
"""Seconds after which the kernel closes a connection to an unreachable host. Heartbeats detect it
after three of their intervals, which grow with the number of hosts; only heartbeats detect a frozen
host."""
_OPEN_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 0.5
_MAX_QUEUED_FRAMES = 16
_WRITE_LIMIT_BYTES = 256 * 1024


@final
class WebSocketLink:
    """A link over one WebSocket."""

    def __init__(self, *, connection: Connection) -> None:
        self._connection = connection
        enable_tcp_keepalive(
            connection.transport, timeout_s=DEAD_PEER_TIMEOUT_S, set_user_timeout=True
        )

    async def send(self, frame: bytes) -> None:
        """Send a frame, waiting while the send buffer is full."""
        try:
            await self._connection.send(frame)
        except ConnectionClosed as error:
            raise LinkClosedError(_get_close_reason(error)) from error

    async def receive(self) -> bytes:
        """Wait for the next frame; the caller rejects text frames as malformed."""
        try:
            frame = await self._connection.recv()
        except ConnectionClosed as error:
            raise LinkClosedError(_get_close_reason(error)) from error
        if isinstance(self._connection, CountedConnection):
            self._connection.record_read()
        return frame if isinstance(frame, bytes) else frame.encode()

    async def close(self, *, reason: CloseReason) -> None:
        """Close the connection and send the other side the reason."""
        if isinstance(self._connection, CountedConnection):
            self._connection.discard()
        await self._connection.close(code=reason.value, reason=CLOSE_REASON_TEXTS[reason])


@final
class WebSocketTransport:
    """Opens and accepts WebSocket connections.

    :param server_ssl: TLS context for accepted connections; ``None`` means no TLS.
    :param client_ssl: TLS context for outgoing connections; ``None`` means no TLS.
    :param account: Account of what the host holds; ``None`` for none.
    """

    def __init__(
        self,
        *,
        server_ssl: ssl.SSLContext | None = None,
        client_ssl: ssl.SSLContext | None = None,
        account: ByteAccount | None = None,
    ) -> None:
        self._server_ssl = server_ssl
        self._client_ssl = client_ssl
        self._server: Server | None = None
        self._server_type, self._client_type = make_connection_types(account or ByteAccount())

    async def listen(self, *, address: str, accept: LinkHandler) -> str:
        """Accept connections and return the bound address."""

        async def handle(connection: ServerConnection) -> None:
            await accept(WebSocketLink(connection=connection))

        host, _, port = address.rpartition(":")
        self._server = await serve(
            handle,
            host.strip("[]"),
            int(port),
            ssl=self._server_ssl,
            create_connection=self._server_type,
            max_size=MAX_FRAME_BYTES,
            max_queue=_MAX_QUEUED_FRAMES,
            write_limit=_WRITE_LIMIT_BYTES,
            open_timeout=_OPEN_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
            ping_interval=None,
            compression=None,
        )
        bound_port = next(iter(self._server.sockets)).getsockname()[1]
        return f"{host}:{bound_port}"

    async def connect(self, *, address: str) -> Link:
        """Open a connection."""
        # Addresses come from entries of hosts, which other writers may write, too.
        if check_address(address=address):
            raise LinkClosedError(CloseReason.BROKEN)
        scheme = "ws" if self._client_ssl is None else "wss"
        try:
            connection = await connect(
                f"{scheme}://{address}",
                ssl=self._client_ssl,
                create_connection=self._client_type,
                max_size=MAX_FRAME_BYTES,
                max_queue=_MAX_QUEUED_FRAMES,
                write_limit=_WRITE_LIMIT_BYTES,
                open_timeout=_OPEN_TIMEOUT_S,
                close_timeout=_CLOSE_TIMEOUT_S,
                ping_interval=None,
                compression=None,
                proxy=None,
            )
        except (OSError, TimeoutError, EOFError, WebSocketException) as error:
            raise LinkClosedError(CloseReason.BROKEN) from error
        return WebSocketLink(connection=connection)

    async def stop(self) -> None:
        """Stop accepting connections and close the accepted ones."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
            self._server = None


def peer_ssl_contexts(*, tls: TlsSection) -> tuple[ssl.SSLContext, ssl.SSLContext] | None:
    """Return the TLS contexts for accepted and for outgoing connections.

    Each side presents a certificate of the installation's authority and verifies the other one.
    Peers connect by IP address, so the host name in the certificate is not checked.

    :param tls: The ``[tls]`` section.
    :returns: The server and the client context; ``None`` if no certificate is configured.
    :raises OSError: If a file cannot be read.
    """
    if not tls.peers_certificate:
        return None
    contexts = []
    for protocol in (ssl.PROTOCOL_TLS_SERVER, ssl.PROTOCOL_TLS_CLIENT):
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(tls.peers_ca)
        context.load_cert_chain(tls.peers_certificate, tls.peers_key)
        contexts.append(context)
    return contexts[0], contexts[1]


def _get_close_reason(error: ConnectionClosed) -> CloseReason:
    frame = error.rcvd or error.sent
    try:
        return CloseReason.BROKEN if frame is None else CloseReason(frame.code)
    except ValueError:
        return CloseReason.BROKEN
