"""Decoding of callers' requests from the platform's header fields."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final
from typing import final

from aiohttp import web
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import RequestId
from tanagerscale.core import parse_number
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Demand
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import PromptPart
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.platform._headers import EXPECTED_LENGTH
from tanagerscale.platform._headers import LAST_EVENT
from tanagerscale.platform._headers import MODEL
from tanagerscale.platform._headers import PROMPT_PARTS
from tanagerscale.platform._headers import REQUEST_ID
from tanagerscale.platform._headers import TIME_LEFT
from tanagerscale.platform._headers import TOKENS
from tanagerscale.platform._headers import forwarded_request_headers

BEARER: Final = "bearer "

MAX_TOKENS: Final = 1_000_000_000
"""More than the memory of any engine holds."""
MAX_TIME_LEFT_MS: Final = 86_400_000
"""One day, more than the timeout of any route."""

_NO_ID: Final = Refusal(
    kind=RefusalKind.BAD_REQUEST, detail=f"Send an id of the request in {REQUEST_ID}."
)


@final
class PlatformCallers:
    """Decodes the requests of callers."""

    def decode(
        self, request: web.BaseRequest, body: bytes, arrived: Millis
    ) -> Result[CallerRequest, Refusal]:
        """Return the request, or a refusal that names what is missing.

        :param request: The head of the request.
        :param body: The complete body of the request.
        :param arrived: Monotonic time at which the request arrived.
        """
        if not request.headers.get(REQUEST_ID):
            return Failure(_NO_ID)
        return Success(_decode_request(request, body, arrived))

    def echoed_headers(self, request: web.BaseRequest) -> tuple[Header, ...]:
        """Return the header fields of a request that the gateway's own responses repeat."""
        request_id = request.headers.get(REQUEST_ID)
        return () if request_id is None else ((REQUEST_ID, request_id),)


def _decode_request(request: web.BaseRequest, body: bytes, arrived: Millis) -> CallerRequest:
    headers = request.headers
    target = request.raw_path
    return CallerRequest(
        request=RequestId(headers[REQUEST_ID]),
        method=request.method,
        target=target,
        host=headers.get("Host", ""),
        path=target.partition("?")[0],
        headers=forwarded_request_headers(headers, headers.items()),
        body=body,
        key=_parse_bearer_token(headers.get("Authorization", "")),
        time_left_ms=parse_number(
            headers.get(TIME_LEFT, ""), minimum=-MAX_TIME_LEFT_MS, maximum=MAX_TIME_LEFT_MS
        ),
        arrived=arrived,
        demand=_decode_demand(headers),
        resume_after=headers.get(LAST_EVENT, ""),
    )


def _parse_bearer_token(field: str) -> str | None:
    if field[: len(BEARER)].lower() != BEARER:
        return None
    return field[len(BEARER) :].strip()


def _decode_demand(headers: Mapping[str, str]) -> Demand | None:
    prompt, _, maximum = headers.get(TOKENS, "").partition(",")
    prompt_tokens = parse_number(prompt, maximum=MAX_TOKENS)
    max_tokens = parse_number(maximum, maximum=MAX_TOKENS)
    if prompt_tokens is None or max_tokens is None:
        return None
    return Demand(
        model=ModelId(headers.get(MODEL, "")),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        expected_tokens=parse_number(headers.get(EXPECTED_LENGTH, ""), maximum=MAX_TOKENS),
        parts=_parse_prompt_parts(headers.get(PROMPT_PARTS, "")),
    )


def _parse_prompt_parts(field: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in field.split(","):
        part, _, tokens = entry.strip().partition(":")
        length = parse_number(tokens, maximum=MAX_TOKENS)
        if part and length is not None:
            parts.append(PromptPart(part=part, tokens=length))
    return tuple(parts)
