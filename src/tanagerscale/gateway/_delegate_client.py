"""Client that delegates requests to other hosts over HTTP."""

from __future__ import annotations

from itertools import count
from typing import Final
from typing import final

from returns.result import Failure

from tanagerscale.core import Clock
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import DelegatedHead
from tanagerscale.gateway._delegation_wire import EXCHANGE_FIELD
from tanagerscale.gateway._delegation_wire import HEAD_FIELD
from tanagerscale.gateway._delegation_wire import PATH
from tanagerscale.gateway._delegation_wire import decode_head
from tanagerscale.gateway._delegation_wire import encode_request
from tanagerscale.policy import ByteAccount
from tanagerscale.upstreams import AnswerRule
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import Exchange
from tanagerscale.upstreams import ExchangeClient
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import ExchangeKind
from tanagerscale.upstreams import ExchangeLabel
from tanagerscale.upstreams import ExchangeLog
from tanagerscale.upstreams import PooledResponse

CONNECT_TIMEOUT_MS: Final = 250
"""Longest wait for a connection to another host, which takes 3 ms."""

DEAD_HOST_TIMEOUT_S: Final = 3
"""Time without an acknowledgement after which a host counts as dead."""


HOST_ANSWERS: Final = AnswerRule(id_field=EXCHANGE_FIELD)
"""Hosts repeat the number of an exchange in its answer, and answer once."""


@final
class HttpDelegatedResponse:
    """A response of a delegate.

    :param head: Its decoded head.
    :param response: The HTTP response.
    """

    def __init__(self, *, head: DelegatedHead, response: PooledResponse) -> None:
        self.head = head
        self._response = response

    async def read_some(self) -> bytes:
        """Return the next bytes of the body, or empty bytes after its proper end."""
        return await self._response.read_some()

    async def read_all(self) -> bytes:
        """Return the complete body."""
        return await self._response.read_all()

    def close(self) -> None:
        """Close the connection, unless the response was read completely."""
        self._response.close()


@final
class HttpDelegateClient:
    """Sends requests to other hosts.

    :param clock: Source of the current time.
    :param log: Counts and logs the exchanges.
    :param account: Account of the bytes that the host holds; ``None`` for none.
    """

    def __init__(
        self, *, clock: Clock, log: ExchangeLog | None = None, account: ByteAccount | None = None
    ) -> None:
        self._pool = ConnectionPool(
            clock=clock,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            dead_peer_timeout_s=DEAD_HOST_TIMEOUT_S,
            log=log,
            account=account,
        )
        self._client = ExchangeClient(
            pool=self._pool, rule=HOST_ANSWERS, response_type=PooledResponse
        )
        self._numbers = count(1)

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
        number = str(next(self._numbers))
        head = (
            f"POST {PATH} HTTP/1.1\r\nHost: {address}\r\n{EXCHANGE_FIELD}: {number}\r\n"
            f"Content-Type: application/msgpack\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        exchange = Exchange(
            label=ExchangeLabel(kind=ExchangeKind.DELEGATED, peer=address, request=request.request),
            method="POST",
            head=head.encode(),
            body=body,
            id=number,
        )
        response = await self._client.run(address=address, exchange=exchange)
        decoded = decode_head(response.reply.headers.get(HEAD_FIELD, ""))
        if isinstance(decoded, Failure):
            response.close()
            raise ExchangeError(ExchangeFailure.LOST, decoded.failure())
        return HttpDelegatedResponse(head=decoded.unwrap(), response=response)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
