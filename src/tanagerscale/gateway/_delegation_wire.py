"""Encoding of delegated requests and of the heads of their responses."""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
from collections.abc import Sequence

import msgspec
from msgspec import Struct
from returns.result import Result

from tanagerscale.core import Millis
from tanagerscale.core import attempt_decoding
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import DelegatedHead
from tanagerscale.forwarding import Header

PATH = "/delegated"
EXCHANGE_FIELD = "Delegated-Exchange"
"""Header field of the request with the number of the exchange, which the response repeats."""

HEAD_FIELD = "Delegated-Head"
"""Header field of the response that contains its ``DelegatedHead``."""


class _WireRequest(Struct, frozen=True, kw_only=True):
    """A delegated request.

    :param request: The request, with the bytes of its header fields as Latin-1.
    :param time_left_ms: Time until its deadline.
    """

    request: CallerRequest
    time_left_ms: int


def encode_request(request: CallerRequest, *, time_left_ms: int) -> bytes:
    """Encode a request.

    :raises UnicodeEncodeError: Its target or host contains bytes that are no text.
    """
    encoded = msgspec.structs.replace(request, headers=tuple(_to_latin1(request.headers)))
    return msgspec.msgpack.encode(_WireRequest(request=encoded, time_left_ms=time_left_ms))


def decode_request(data: bytes, *, arrived: Millis) -> Result[CallerRequest, str]:
    """Decode a request.

    :param data: The encoded request; it is untrusted.
    :param arrived: When it arrived.
    """
    decoded = attempt_decoding(lambda: _decode_request(data, arrived))
    return decoded.alt(
        lambda cause: f"The request can't be decoded ({cause}); use hosts of one version."
    )


def _decode_request(data: bytes, arrived: Millis) -> CallerRequest:
    wire = msgspec.msgpack.decode(data, type=_WireRequest)
    return msgspec.structs.replace(
        wire.request,
        headers=tuple(_from_latin1(wire.request.headers)),
        arrived=arrived,
        # Times of other hosts mean nothing here.
        received=None,
        time_left_ms=wire.time_left_ms,
    )


def encode_head(head: DelegatedHead) -> str:
    """Encode the head of a response as the value of a header field."""
    encoded = msgspec.structs.replace(head, headers=_to_latin1(head.headers))
    return b64encode(msgspec.msgpack.encode(encoded)).decode()


def decode_head(value: str) -> Result[DelegatedHead, str]:
    """Decode the head of a response."""
    return attempt_decoding(lambda: _decode_head(value)).alt(
        lambda cause: f"The response can't be decoded ({cause}); use hosts of one version."
    )


def _decode_head(value: str) -> DelegatedHead:
    head = msgspec.msgpack.decode(b64decode(value), type=DelegatedHead)
    return msgspec.structs.replace(head, headers=_from_latin1(head.headers))


def _to_latin1(headers: Sequence[Header]) -> list[Header]:
    """Return header fields whose bytes are Latin-1, as any byte is in it."""
    return [
        (_recode(name, "utf-8", "latin-1"), _recode(value, "utf-8", "latin-1"))
        for name, value in headers
    ]


def _from_latin1(headers: Sequence[Header]) -> list[Header]:
    """Return header fields as the HTTP parser gives them."""
    return [
        (_recode(name, "latin-1", "utf-8"), _recode(value, "latin-1", "utf-8"))
        for name, value in headers
    ]


def _recode(text: str, encoding: str, other: str) -> str:
    return text.encode(encoding, "surrogateescape").decode(other, "surrogateescape")
