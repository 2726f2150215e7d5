"""Answers without end, and other wrong bytes, that upstreams send to a share of their requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from enum import Enum
from enum import unique
from random import Random
from typing import Final
from typing import final

from aiohttp import web

from standins.stream_framing import reset

JUNK: Final = b"x" * 16_384
HUGE_LENGTH: Final = 99_999_999_999
EVENTS_AT_ONCE: Final = 50
SHORT_LENGTH: Final = 2_000


@unique
class WrongAnswer(Enum):
    """What an upstream sends in place of an answer."""

    ENDLESS_LENGTH = "a body of a huge length"
    ENDLESS_CHUNKS = "chunks without end"
    ENDLESS_CLOSE = "a body without length and end"
    ENDLESS_EVENTS = "events without end"
    ENDLESS_FAILURE = "a failure without end"
    NO_HTTP = "bytes that are no answer"
    OTHER_REQUEST = "the id of another request"
    TORN = "a body that breaks off"


ENDLESS: Final = (
    WrongAnswer.ENDLESS_LENGTH,
    WrongAnswer.ENDLESS_CHUNKS,
    WrongAnswer.ENDLESS_CLOSE,
    WrongAnswer.ENDLESS_EVENTS,
    WrongAnswer.ENDLESS_FAILURE,
)
GARBAGE: Final = (WrongAnswer.NO_HTTP, WrongAnswer.OTHER_REQUEST, WrongAnswer.TORN)


@final
class WrongAnswers:
    """Sends wrong answers to a share of an upstream's requests for some time.

    :param seed: Seed of the random choices.
    """

    def __init__(self, *, seed: str) -> None:
        self.sent = 0
        """Number of wrong answers so far."""
        self._rng = Random(seed)
        self._share = 0.0
        self._kinds: Sequence[WrongAnswer] = ()

    async def strike(self, *, share: float, kinds: Sequence[WrongAnswer], seconds: float) -> None:
        """Send wrong answers for some time, and then break off those that go on.

        :param share: Part of the requests that get one.
        :param kinds: What is sent.
        :param seconds: How long, in seconds.
        """
        self._share, self._kinds = share, kinds
        try:
            await asyncio.sleep(seconds)
        finally:
            self._share = 0.0

    def choose(self, *, has_events: bool) -> WrongAnswer | None:
        """Return what to send to a request; ``None`` for its proper answer.

        :param has_events: Whether the proper answer is a stream of events.
        """
        if not self._share or self._rng.random() >= self._share:
            return None
        kind = self._rng.choice(self._kinds)
        is_plain = kind is WrongAnswer.ENDLESS_EVENTS and not has_events
        return WrongAnswer.ENDLESS_CHUNKS if is_plain else kind

    async def send(
        self,
        request: web.BaseRequest,
        kind: WrongAnswer,
        headers: Mapping[str, str],
        make_event: Callable[[int], bytes],
    ) -> web.StreamResponse:
        """Send a wrong answer until the strike ends or the host closes the connection.

        :param request: The request.
        :param kind: What is sent.
        :param headers: Header fields of a proper answer.
        :param make_event: Returns an event by its number.
        :raises ConnectionResetError: Always, as the connection is closed.
        """
        self.sent += 1
        try:
            await request.writer.write(_begin(kind, headers))
            number = 1
            while kind in ENDLESS and self._share:
                await request.writer.write(_continue(kind, number, make_event))
                number += EVENTS_AT_ONCE
                await asyncio.sleep(0)
        finally:
            _end(request.transport, is_reset=kind in ENDLESS)
        raise ConnectionResetError


def _end(transport: asyncio.Transport | None, *, is_reset: bool) -> None:
    """Close a connection, after what was written or with a reset."""
    if transport is None:
        return
    if not is_reset:
        transport.close()
        return
    # A body without length would be whole if the connection were closed.
    reset(transport)


def _begin(kind: WrongAnswer, headers: Mapping[str, str]) -> bytes:
    if kind is WrongAnswer.NO_HTTP:
        return JUNK
    status = "500 Failed" if kind is WrongAnswer.ENDLESS_FAILURE else "200 OK"
    fields = dict(headers)
    if kind is WrongAnswer.OTHER_REQUEST:
        fields |= {"Tanagerscale-Attempt-Id": "of-another-request", "Content-Length": "0"}
    if kind is WrongAnswer.TORN:
        fields["Content-Length"] = str(SHORT_LENGTH)
    if kind is WrongAnswer.ENDLESS_LENGTH:
        fields["Content-Length"] = str(HUGE_LENGTH)
    if kind is WrongAnswer.ENDLESS_EVENTS:
        fields["Content-Type"] = "text/event-stream"
    if kind in _IN_CHUNKS:
        fields["Transfer-Encoding"] = "chunked"
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in fields.items())]
    head = "\r\n".join([*lines, "", ""]).encode()
    return head + JUNK[: SHORT_LENGTH // 2] if kind is WrongAnswer.TORN else head


_IN_CHUNKS: Final = (
    WrongAnswer.ENDLESS_CHUNKS,
    WrongAnswer.ENDLESS_EVENTS,
    WrongAnswer.ENDLESS_FAILURE,
)


def _continue(kind: WrongAnswer, number: int, make_event: Callable[[int], bytes]) -> bytes:
    if kind is WrongAnswer.ENDLESS_EVENTS:
        events = range(number, number + EVENTS_AT_ONCE)
        data = b"".join(make_event(one) for one in events)
    else:
        data = JUNK
    return b"%x\r\n%b\r\n" % (len(data), data) if kind in _IN_CHUNKS else data
