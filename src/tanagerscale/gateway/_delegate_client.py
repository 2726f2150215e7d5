"""Client that delegates requests to other hosts over HTTP."""

from __future__ import annotations

from typing import Final
from typing import final

from returns.result import Failure

from tanagerscale.core import Clock
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import DelegatedHead
from tanagerscale.gateway._delegation_wire import HEAD_FIELD
from tanagerscale.gateway._delegation_wire import PATH
from tanagerscale.gateway._delegation_wire import decode_head
from tanagerscale.gateway._delegation_wire import encode_request
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import HttpConnection
from tanagerscale.upstreams import ResponseHead

CONNECT_TIMEOUT_MS: Final = 250
"""Longest wait for a connection to another host, which takes 3 ms."""

DEAD_HOST_TIMEOUT_S: Final = 3
"""Time without an acknowledgement after which a host counts as dead."""


@final
class HttpDelegatedResponse:
    """A response of a delegate.

    :param head: Its decoded head.
    :param reply: Its HTTP head.
    :param connection: Connection from which the body is read.
    :param pool: Pool to which the connection is returned.
    :param address: Address of the delegate.
    """

    def __init__(
        self,
        *,
        head: DelegatedHead,
        reply: ResponseHead,
        connection: HttpConnection,
        pool: ConnectionPool,
        address: str,
    ) -> None:
        self.head = head
        self._reply = reply
        self._connection = connection
        self._pool = pool
        self._address = address
        self._is_done = False

    async def read_some(self) -> bytes:
        """Return the next bytes of the body, or empty bytes after its proper end."""
        chunk = await self._connection.read_some()
        if not chunk and not self._is_done:
            self._is_done = True
            self._pool.release(
                address=self._address, connection=self._connection, response=self._reply
            )
        return chunk

    def close(self) -> None:
        """Close the connection, unless the response was read completely."""
        if not self._is_done:
            self._is_done = True
            self._connection.close()


@final
class HttpDelegateClient:
    """Sends requests to other hosts.

    :param clock: Source of the current time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._pool = ConnectionPool(
            clock=clock,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            dead_peer_timeout_s=DEAD_HOST_TIMEOUT_S,
        )

    async def send(
        self, *, address: str, request: CallerRequest, time_left_ms: int
    ) -> HttpDelegatedResponse:
        """Send a request to a host and wait for the head of the response.

        :raises ExchangeError: The host did not respond, or the request can't be encoded.
        """
        try:
            body = encode_request(request, time_left_ms=time_left_ms)
        except UnicodeEncodeError as error:
            raise ExchangeError(ExchangeFailure.NOT_SENT, "The request is no text") from error
        connection = await self._pool.acquire(address=address)
        head = (
            f"POST {PATH} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/msgpack\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            connection.send(method="POST", head=head.encode(), body=body)
            reply = await connection.receive()
            decoded = decode_head(reply.headers.get(HEAD_FIELD, ""))
            if isinstance(decoded, Failure):
                raise ExchangeError(ExchangeFailure.LOST, decoded.failure())
        except BaseException:
            connection.close()
            raise
        return HttpDelegatedResponse(
            head=decoded.unwrap(),
            reply=reply,
            connection=connection,
            pool=self._pool,
            address=address,
        )

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
