"""A response whose connection returns to its pool at the end of the body."""

from __future__ import annotations

import asyncio
from typing import Final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.upstreams._connection import ExchangeError
from tanagerscale.upstreams._connection import ExchangeFailure
from tanagerscale.upstreams._connection import HttpConnection
from tanagerscale.upstreams._connection import ResponseHead
from tanagerscale.upstreams._pool import ConnectionPool

SKIP_TIMEOUT_MS: Final = 2000
"""Longest wait for the end of a body that is discarded. One that breaks off takes the bytes of the
next answer for its own."""


class PooledResponse:
    """A response that is read from a connection of a pool.

    :param reply: Head of the response.
    :param connection: Connection from which the body is read.
    :param pool: Pool to which the connection is returned.
    :param address: Address of the upstream.
    """

    def __init__(
        self, *, reply: ResponseHead, connection: HttpConnection, pool: ConnectionPool, address: str
    ) -> None:
        self.reply = reply
        self._connection = connection
        self._pool = pool
        self._address = address
        self._done = False

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self.reply.status

    @property
    def reason(self) -> str:
        """Reason phrase of the status."""
        return self.reply.reason

    @property
    def closes_connection(self) -> bool:
        """Whether the upstream closes the connection after the response."""
        return not self.reply.keep_alive

    @property
    def is_close_delimited(self) -> bool:
        """Whether only the end of the connection marks the end of the body."""
        return self.reply.is_close_delimited

    async def read_some(self) -> bytes:
        """Return the next bytes of the body, or empty bytes after its regular end."""
        chunk = await self._connection.read_some()
        if not chunk:
            self._release()
        return chunk

    async def read_all(self) -> bytes:
        """Return the complete body."""
        body = await self._connection.read_all()
        self._release()
        return body

    async def skip(self) -> None:
        """Read and discard the body, so that the connection can be used again."""
        await skip_body(self._connection)
        self._release()

    def close(self) -> None:
        """Abandon the response and close its connection, so that the upstream stops."""
        if not self._done:
            self._done = True
            self._connection.close()

    def _release(self) -> None:
        if not self._done:
            self._done = True
            self._pool.release(
                address=self._address, connection=self._connection, response=self.reply
            )


async def skip_body(connection: HttpConnection) -> None:
    """Read and discard the rest of a response.

    :param connection: Connection on which the response comes.
    :raises ExchangeError: If the body does not end in time, or is longer than allowed.
    """
    try:
        async with asyncio.timeout(SKIP_TIMEOUT_MS / MS_PER_SECOND):
            await connection.skip_body()
    except TimeoutError as error:
        detail = "The answer to another exchange broke off"
        raise ExchangeError(ExchangeFailure.LOST, detail) from error
