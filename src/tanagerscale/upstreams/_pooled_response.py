"""A response whose connection returns to its pool at the end of the body."""

from __future__ import annotations

from tanagerscale.upstreams._connection import HttpConnection
from tanagerscale.upstreams._connection import ResponseHead
from tanagerscale.upstreams._pool import ConnectionPool


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
