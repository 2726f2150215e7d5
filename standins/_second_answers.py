"""Answers that an upstream sends a second time, late, on the connection of the first one."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final
from typing import final

from aiohttp import web

DELAYS_S: Final = (0.001, 0.1, 6.0)
"""Delays after which a second answer is sent if its connection is idle by then."""

IDLE_SHARE: Final = 0.4
"""Part of the second answers that are sent while the connection is idle. The others are sent where
the next answer is expected."""


@final
class SecondAnswers:
    """Sends some answers again.

    :param seed: Seed of the choices.
    """

    def __init__(self, *, seed: str) -> None:
        self.share = 0.0
        """Part of the complete answers that are sent again."""
        self.sent = 0
        self._rng = Random(seed)
        self._due: dict[asyncio.Transport, bytes] = {}
        self._busy: set[asyncio.Transport] = set()

    def begin(self, request: web.BaseRequest) -> None:
        """Send the second answer that is due on a connection before the answer to a request."""
        transport = request.transport
        if isinstance(transport, asyncio.Transport):
            self._busy.add(transport)
            self._send(transport)

    def end(
        self, request: web.BaseRequest, response: web.StreamResponse | None, streamed: bytes
    ) -> None:
        """Choose whether an answer is sent again.

        :param request: The request.
        :param response: The answer; ``None`` if there is none.
        :param streamed: What was sent of a body that was sent in parts.
        """
        transport = request.transport
        if not isinstance(transport, asyncio.Transport):
            return
        self._busy.discard(transport)
        self._forget_closed()
        if response is None or not request.keep_alive or self._rng.random() >= self.share:
            return
        self._due[transport] = _encode(response, streamed)
        if self._rng.random() < IDLE_SHARE:
            delay_s = self._rng.choice(DELAYS_S)
            asyncio.get_running_loop().call_later(delay_s, self._send_if_idle, transport)

    def _send_if_idle(self, transport: asyncio.Transport) -> None:
        if transport not in self._busy:
            self._send(transport)

    def _send(self, transport: asyncio.Transport) -> None:
        data = self._due.pop(transport, b"")
        if data and not transport.is_closing():
            self.sent += 1
            transport.write(data)

    def _forget_closed(self) -> None:
        self._due = {one: data for one, data in self._due.items() if not one.is_closing()}
        self._busy = {one for one in self._busy if not one.is_closing()}


def _encode(response: web.StreamResponse, streamed: bytes) -> bytes:
    """Return an answer as it stands on the wire, with a length."""
    body = streamed
    if isinstance(response, web.Response) and isinstance(response.body, bytes):
        body = response.body
    left_out = ("content-length", "transfer-encoding")
    fields = [
        f"{name}: {value}"
        for name, value in response.headers.items()
        if name.lower() not in left_out
    ]
    head = [f"HTTP/1.1 {response.status} {response.reason}", *fields]
    return "\r\n".join([*head, f"Content-Length: {len(body)}", "", ""]).encode() + body
