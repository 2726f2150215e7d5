"""The gate before the HTTP parser: what it lets pass, and what it counts."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from itertools import pairwise
from typing import Any
from typing import final

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpRequestParser
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from tanagerscale.gateway._chunk_decoder import ChunkDecoder
from tanagerscale.gateway._chunk_decoder import ChunkError
from tanagerscale.gateway._input_gate import HeadTooLargeError
from tanagerscale.gateway._input_gate import InputGate

LIMIT = 200
LARGE = 1 << 20

Requests = list[tuple[str, bytes]]
"""Target and body of each request."""


@final
class _Parsed:
    """Parses input that passes a gate, or not, and records the requests.

    :param limit: Largest head; ``None`` parses without a gate.
    """

    def __init__(self, *, limit: int | None) -> None:
        loop = asyncio.new_event_loop()
        loop.close()
        self._parser: Any = HttpRequestParser(
            BaseProtocol(loop),
            loop,
            LARGE,
            max_line_size=LARGE,
            max_field_size=LARGE,
            max_headers=LARGE,
        )
        self._gate = None if limit is None else InputGate(head_bytes=lambda: limit)
        self._messages: list[Any] = []

    @property
    def requests(self) -> Requests:
        """Requests whose bodies are complete."""
        return [
            (message.path, b"" if payload.at_eof() else payload.read_nowait())
            for message, payload in self._messages
            if payload.is_eof()
        ]

    def feed(self, data: bytes) -> None:
        """Parse more input."""
        if self._gate is None:
            self._parse(data)
            return
        while data:
            was_at_head = self._gate.is_at_head
            piece, used = self._gate.take(data)
            data = data[used:]
            if piece:
                self._parse(piece)
            if piece and was_at_head:
                message, payload = self._messages[-1]
                size = int(message.headers.get("Content-Length", "0"))
                assert payload.is_eof() == (not message.chunked and not size)
                self._gate.begin_body(size=None if message.chunked else size, is_last=False)

    def feed_all(self, parts: Iterable[bytes]) -> None:
        """Parse several parts."""
        for part in parts:
            self.feed(part)

    def _parse(self, data: bytes) -> None:
        messages, _, _ = self._parser.feed_data(data)
        self._messages += messages


def _encode_chunks(sizes: list[int], *, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    chunks = [b"%X%s\r\n%s\r\n" % (size, extension, b"y" * size) for size in sizes]
    return b"".join(chunks) + b"0" + extension + b"\r\n" + trailer + b"\r\n"


_lengths = st.integers(0, 40).map(lambda size: (b"Content-Length: %d" % size, b"x" * size))
_chunked = st.builds(
    lambda sizes, extension, trailer: (
        b"Transfer-Encoding: chunked",
        _encode_chunks(sizes, extension=extension, trailer=trailer),
    ),
    st.lists(st.integers(1, 30), max_size=5),
    st.sampled_from([b"", b";a", b";a=b"]),
    st.sampled_from([b"", b"T: u\r\n"]),
)
_requests = st.builds(
    lambda empty, target, framed: (
        empty + b"POST /%s HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%s" % (target, *framed)
    ),
    st.sampled_from([b"", b"\r\n", b"\n\r\n"]),
    st.text(alphabet="ab", max_size=5).map(str.encode),
    st.one_of(_lengths, _chunked),
)


@given(st.lists(_requests, min_size=1, max_size=3), st.lists(st.integers(0, 400), max_size=6))
@settings(derandomize=True, deadline=None)
def test_gate_passes_the_requests_that_the_parser_sees_when_input_is_cut_anywhere(
    requests: list[bytes], cuts: list[int]
) -> None:
    data = b"".join(requests)
    plain = _Parsed(limit=None)
    plain.feed(data)
    gated = _Parsed(limit=LIMIT)
    places = [0, *sorted(cut % len(data) for cut in cuts), len(data)]
    for start, end in pairwise(places):
        gated.feed(data[start:end])
    assert gated.requests == plain.requests
    assert len(gated.requests) == len(requests)


def test_gate_passes_the_requests_when_input_is_cut_at_every_byte() -> None:
    data = (
        b"\r\nPOST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        + _encode_chunks([1, 1, 17], extension=b";a=b", trailer=b"T: u\r\n")
        + b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
    )
    for cut in range(len(data) + 1):
        gated = _Parsed(limit=LIMIT)
        gated.feed(data[:cut])
        gated.feed(data[cut:])
        assert gated.requests == [("/a", b"y" * 19), ("/b", b"abc")], cut


@pytest.mark.parametrize("cut", [1, 50, LIMIT - 1, LIMIT])
@pytest.mark.parametrize("empty", [b"", b"\r\n\r\n"])
def test_gate_refuses_a_head_when_it_is_one_byte_over_the_limit(cut: int, empty: bytes) -> None:
    def make(size: int) -> bytes:
        bare = empty + b"GET / HTTP/1.1\r\nHost: x\r\nA: %s\r\n\r\n"
        return bare % (b"x" * (size - len(bare) + 2))

    within = _Parsed(limit=LIMIT)
    within.feed(make(LIMIT)[:cut])
    within.feed(make(LIMIT)[cut:])
    assert len(within.requests) == 1
    over = _Parsed(limit=LIMIT)
    with pytest.raises(HeadTooLargeError):
        over.feed_all([make(LIMIT + 1)[:cut], make(LIMIT + 1)[cut:]])


@pytest.mark.parametrize("piece", [b"x", b"\r\n", b"\n", b"A: b\r\n"])
def test_gate_holds_no_more_than_the_limit_when_a_head_has_no_end(piece: bytes) -> None:
    gate = InputGate(head_bytes=lambda: LIMIT)
    sent = 0
    while sent + len(piece) <= LIMIT:
        _, used = gate.take(piece)
        assert used == len(piece)
        assert gate.held_bytes <= LIMIT
        sent += used
    with pytest.raises(HeadTooLargeError):
        gate.take(piece)


def test_gate_keeps_the_larger_limit_when_it_is_lowered_within_a_head() -> None:
    limit = LIMIT
    gate = InputGate(head_bytes=lambda: limit)
    head = b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"x" * 100 + b"\r\n\r\n"
    gate.take(head[:60])
    limit = 70
    assert gate.take(head[60:]) == (head, len(head) - 60)
    gate.begin_body(size=0, is_last=False)
    with pytest.raises(HeadTooLargeError):
        gate.take(head)


def _decode_all(*parts: bytes) -> bytes:
    """Return the content of a body that arrives in parts."""
    decoder = ChunkDecoder(line_bytes=LIMIT)
    content = b""
    for part in parts:
        position = 0
        while position < len(part) and not decoder.is_complete:
            decoded, used = decoder.decode(part[position:])
            content += decoded
            position += used
    assert decoder.is_complete
    return content


@pytest.mark.parametrize(
    "body",
    [
        b"x\r\n",
        b"-1\r\n",
        b"+1\r\nx\r\n",
        b"0x1\r\nx\r\n",
        b"1_0\r\n",
        b" 1\r\nx\r\n",
        b"\r\n",
        b"1\r\nxy\r\n",
        b"1\r\nx\n",
        b"1\nx\r\n",
        b"1;\x00\r\nx\r\n",
        b"1" * (LIMIT + 3),
        b"11111111111111111\r\n",
        b"0\r\n" + b"a" * LIMIT + b"\r\n\r\n",
    ],
)
def test_decoder_fails_when_a_body_is_not_chunked(body: bytes) -> None:
    for cut in range(len(body)):
        with pytest.raises(ChunkError):
            _decode_all(body[:cut], body[cut:] + b"\r\n" * LIMIT)


@given(st.lists(st.integers(1, 5000), max_size=8), st.lists(st.integers(0, 20_000), max_size=8))
@settings(derandomize=True, deadline=None)
def test_decoder_returns_the_content_when_input_is_cut_anywhere(
    sizes: list[int], cuts: list[int]
) -> None:
    data = _encode_chunks(sizes)
    places = [0, *sorted(cut % len(data) for cut in cuts), len(data)]
    assert _decode_all(*(data[start:end] for start, end in pairwise(places))) == b"y" * sum(sizes)
