"""A response of an upstream whose whole body is counted against the limits of the host."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

from tanagerscale.forwarding import Header
from tanagerscale.forwarding import UpstreamResponse
from tanagerscale.gateway._request_lease import RequestLease


@final
class CountedResponse:
    """Passes a response on, and counts a whole body until the request ends.

    The connection counts what has been read of a body that is not complete.

    :param response: The response.
    :param lease: Lease of the request.
    """

    def __init__(self, *, response: UpstreamResponse, lease: RequestLease) -> None:
        self._response = response
        self._lease = lease

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._response.status

    @property
    def reason(self) -> str:
        """HTTP reason phrase."""
        return self._response.reason

    @property
    def headers(self) -> Sequence[Header]:
        """Header fields for the caller."""
        return self._response.headers

    @property
    def not_executed(self) -> bool:
        """Whether the upstream reports that it did not execute the request."""
        return self._response.not_executed

    @property
    def is_address_reassigned(self) -> bool:
        """Whether the address now belongs to another upstream."""
        return self._response.is_address_reassigned

    @property
    def named_rates(self) -> Sequence[float | None]:
        """Rates to which the upstream limits all hosts together, in requests a second."""
        return self._response.named_rates

    @property
    def closes_connection(self) -> bool:
        """Whether the upstream closes the connection after the response."""
        return self._response.closes_connection

    @property
    def is_close_delimited(self) -> bool:
        """Whether only the end of the connection marks the end of the body."""
        return self._response.is_close_delimited

    async def read_some(self) -> bytes:
        """Return the next bytes of a stream, which the buffer of its caller counts."""
        return await self._response.read_some()

    async def read_all(self) -> bytes:
        """Return the complete body.

        A complete body is delivered if it exceeds the budget, as the upstream has done its work.
        """
        body = await self._response.read_all()
        self._lease.add(len(body))
        return body

    async def skip(self) -> None:
        """Read and discard the body."""
        await self._response.skip()

    def close(self) -> None:
        """Discard the response and close its connection, so that the upstream stops."""
        self._response.close()
