"""HTTP sessions for upstreams whose protocol gives an answer nothing that tells whose it is."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import cast
from typing import final

import aiohttp
from aiohttp import StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from tanagerscale.upstreams._statuses import find_status_fault
from tanagerscale.upstreams._statuses import is_interim


@final
class _CheckedHandler(ResponseHandler):
    """aiohttp's response parser that fails heads that can't be answers, and bodies cut by a reset.

    aiohttp takes any status for an answer that is not between 100 and 199, and a body without a
    length for complete, however its connection ends.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._last_body: StreamReader | None = None
        self._has_failed = False

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Remember the body of the response, or fail its head."""
        if self._has_failed:
            return
        message, self._last_body = data
        fault = "" if is_interim(message) else find_status_fault(message)
        if not fault:
            super().feed_data(data, size)
            return
        self._has_failed = True
        self.set_exception(aiohttp.ClientPayloadError(fault))
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body, unless it has been received completely."""
        if exc is not None and self._last_body is not None and not self._last_body.is_eof():
            detail = f"The connection was lost ({type(exc).__name__})"
            self._last_body.set_exception(aiohttp.ClientPayloadError(detail), exc)
        super().connection_lost(exc)


@final
class _SingleUseConnector(aiohttp.TCPConnector):
    """A connector whose connections carry one call each, and tell a reset from a clean end."""

    def __init__(self) -> None:
        super().__init__(limit=0, force_close=True)
        factory = partial(_CheckedHandler, loop=self._loop)
        self._factory = cast("partial[ResponseHandler]", factory)


def make_single_use_session(*, auto_decompress: bool = True) -> aiohttp.ClientSession:
    """Return a session whose connections carry one call each.

    The first answer on a connection can't be a late one to another call, and a call can't break
    because its connection had ended before. A body is never taken for complete after a reset, and
    no call is sent again.

    :param auto_decompress: Whether bodies are decompressed.
    """
    session = aiohttp.ClientSession(
        connector=_SingleUseConnector(), auto_decompress=auto_decompress
    )
    # aiohttp would send calls again whose method is idempotent by HTTP, whatever the service says.
    session._retry_connection = False
    return session
