"""Exchanges of requests and answers on kept connections.

Everything that is sent on a connection of a ``ConnectionPool`` goes through ``ExchangeClient``. It
decides on which connections an exchange may go out and which answer belongs to it.
"""

from __future__ import annotations

from collections.abc import Callable
import re
from typing import Final
from typing import Generic
from typing import TypeVar
from typing import final

from msgspec import Struct

from tanagerscale.upstreams._connection import ExchangeError
from tanagerscale.upstreams._connection import ExchangeFailure
from tanagerscale.upstreams._connection import HttpConnection
from tanagerscale.upstreams._connection import ResponseHead
from tanagerscale.upstreams._exchange_log import AnswerId
from tanagerscale.upstreams._exchange_log import ConnectionHistory
from tanagerscale.upstreams._exchange_log import ExchangeLabel
from tanagerscale.upstreams._pool import ConnectionPool
from tanagerscale.upstreams._pooled_response import PooledResponse
from tanagerscale.upstreams._pooled_response import skip_body

MAX_SKIPPED_ANSWERS: Final = 4
"""Answers of other exchanges that are skipped before a connection is abandoned."""

HEAD_METHOD: Final = "HEAD"

_STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}")

_Response = TypeVar("_Response", bound=PooledResponse)


class AnswerRule(Struct, frozen=True, kw_only=True):
    """What a protocol says of the answers of a peer.

    :param id_field: Header field in which an answer repeats the id of its exchange; empty if there
        is none.
    :param may_answer_twice: Whether a peer may send an answer again later, where the next one is
        expected.
    """

    id_field: str = ""
    may_answer_twice: bool = False


class Exchange(Struct, frozen=True, kw_only=True):
    """What is sent to a peer, and what its answer must show.

    :param label: Names the exchange in logs.
    :param method: HTTP method.
    :param head: Complete head, including the empty line at the end.
    :param body: Body; may be empty.
    :param id: Id that its answer repeats; empty if its answer bears none.
    """

    label: ExchangeLabel
    method: str
    head: bytes
    body: bytes = b""
    id: str = ""


def make_json_call(
    *, label: ExchangeLabel, method: str, address: str, target: str, body: bytes = b""
) -> Exchange:
    """Return an exchange without an id whose body, if its method has one, is JSON.

    :param label: Names it in logs.
    :param method: HTTP method.
    :param address: IP address and port of the peer.
    :param target: Path and query.
    :param body: The body.
    """
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    if method == "POST":
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    return Exchange(label=label, method=method, head=head, body=body)


def _accept() -> None:
    """Let anything be sent."""


@final
class ExchangeClient(Generic[_Response]):
    """Makes exchanges with peers that speak one protocol.

    :param pool: Pool of connections to the peers.
    :param rule: What the protocol says of their answers.
    :param response_type: Type of the responses.
    """

    def __init__(
        self, *, pool: ConnectionPool, rule: AnswerRule, response_type: type[_Response]
    ) -> None:
        self._pool = pool
        self._rule = rule
        self._response_type = response_type

    async def run(
        self,
        *,
        address: str,
        exchange: Exchange,
        check: Callable[[], None] = _accept,
        force_new: bool = False,
    ) -> _Response:
        """Send a request and wait for the head of its own answer.

        :param address: IP address and port of the peer.
        :param exchange: The exchange.
        :param check: Called immediately before the first byte is sent; raises an error if the
            request must not be sent any more.
        :param force_new: Whether to open a new connection instead of reusing an idle one.
        :raises ExchangeError: No answer came that belongs to the exchange.
        """

        def can_carry(connection: HttpConnection) -> bool:
            return not force_new and self._can_carry(exchange, connection.history)

        connection = await self._pool.acquire(address=address, can_carry=can_carry)
        try:
            check()
            self._pool.log.record_begin(connection.history, exchange.label)
            self._record_sent(exchange, connection.history)
            connection.send(method=exchange.method, head=exchange.head, body=exchange.body)
            reply = await self._receive_own(exchange, connection)
        except BaseException:
            connection.close()
            raise
        return self._response_type(
            reply=reply, connection=connection, pool=self._pool, address=address
        )

    async def call(
        self, *, address: str, exchange: Exchange, force_new: bool = False
    ) -> tuple[ResponseHead, bytes]:
        """Make an exchange and return the head and the body of its answer.

        :param address: IP address and port of the peer.
        :param exchange: The exchange.
        :param force_new: Whether to open a new connection instead of reusing an idle one.
        :raises ExchangeError: No complete answer came that belongs to the exchange.
        """
        response = await self.run(address=address, exchange=exchange, force_new=force_new)
        try:
            return response.reply, await response.read_all()
        finally:
            response.close()

    def _can_carry(self, exchange: Exchange, history: ConnectionHistory) -> bool:
        """Return whether an exchange can tell its answer from all others on a connection.

        An answer without an id can only be told by being the first one on its connection, and one
        to a HEAD request has no body, whatever its length says.
        """
        if not self._rule.may_answer_twice or not history.exchanges:
            return True
        return exchange.method != HEAD_METHOD and exchange.id not in ("", *history.ids)

    def _record_sent(self, exchange: Exchange, history: ConnectionHistory) -> None:
        if not self._rule.may_answer_twice:
            return
        history.ids.add(exchange.id)
        if exchange.method == HEAD_METHOD:
            history.is_last = True

    async def _receive_own(self, exchange: Exchange, connection: HttpConnection) -> ResponseHead:
        """Receive the answer to an exchange, and skip those of other exchanges."""
        for _ in range(MAX_SKIPPED_ANSWERS):
            reply = await connection.receive()
            if connection.history.exchanges > 1 and _is_joined(reply):
                raise ExchangeError(ExchangeFailure.LOST, "The answer is joined to another one")
            if self._belongs(exchange, reply, connection.history):
                return reply
            connection.history.is_last = True
            if exchange.method == HEAD_METHOD or reply.is_close_delimited:
                break
            connection.expect_another_head()
            # A peer has made a late answer before it sends it.
            await skip_body(connection)
        raise ExchangeError(ExchangeFailure.LOST, "Only answers to other exchanges came")

    def _belongs(self, exchange: Exchange, reply: ResponseHead, history: ConnectionHistory) -> bool:
        """Return whether an answer belongs to an exchange."""
        if not self._rule.id_field:
            return True
        ids = reply.headers.getall(self._rule.id_field, ())
        if list(ids) == ([exchange.id] if exchange.id else []):
            answer_id, is_own = AnswerId.OWN, True
        elif ids:
            answer_id, is_own = AnswerId.OTHER, False
        else:
            # On its first exchange a connection has no other answer to give.
            answer_id = AnswerId.MISSING
            is_own = history.exchanges == 1 or not self._rule.may_answer_twice
        self._pool.log.record_answer(
            history, answer_id=answer_id, bears=", ".join(ids), is_taken=is_own
        )
        return is_own


def _is_joined(reply: ResponseHead) -> bool:
    """Return whether a head contains the status line of another one.

    The head of a late answer that breaks off is continued by the next bytes on its connection.
    """
    return any(_STATUS_LINE.search(text) for text in (reply.reason, *reply.headers.values()))
