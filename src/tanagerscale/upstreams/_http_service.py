"""HTTP client for plain services."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import aiohttp
from msgspec import Struct
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import decode_json
from tanagerscale.generated.upstream import Refusal
from tanagerscale.upstreams._http_engine import CONNECT_TIMEOUT_S
from tanagerscale.upstreams._protocol import UpstreamError
from tanagerscale.upstreams._protocol import UpstreamErrorKind

REFUSED_STATUS = 503
MAX_REPLY_BYTES = 8 << 20
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "content-encoding",
        "accept-encoding",
        "authorization",
        "expect",
    }
)
"""Header fields that apply to one connection (RFC 9110, 7.6.1) or are set by the client library."""


class ServiceCall(Struct, frozen=True, kw_only=True):
    """A call to a plain service.

    :param method: HTTP method.
    :param path: Path and query, including the leading slash.
    :param headers: Header fields to forward.
    :param body: Request body.
    """

    method: str
    path: str
    headers: Sequence[tuple[str, str]]
    body: bytes


class ServiceResponse(Struct, frozen=True, kw_only=True):
    """Response of a plain service.

    :param status: HTTP status.
    :param content_type: Media type of the body.
    :param headers: Header fields to forward.
    :param body: Response body.
    """

    status: int
    content_type: str
    headers: Sequence[tuple[str, str]]
    body: bytes


@final
class HttpServiceClient:
    """Calls plain services; never retries, not even on a reused connection.

    :param session: HTTP session that must not keep connections open: if a reused connection breaks,
        it is unknown whether the call ran.
    """

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def call(
        self, *, address: str, call: ServiceCall, timeout_ms: int
    ) -> Result[ServiceResponse, UpstreamError]:
        """Send a call once.

        :param address: IP address and port.
        :param call: The call.
        :param timeout_ms: Maximum time to wait for the complete response, in milliseconds.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000, sock_connect=CONNECT_TIMEOUT_S)
        headers = [item for item in call.headers if item[0].lower() not in HOP_BY_HOP]
        try:
            async with self._session.request(
                call.method,
                f"http://{address}{call.path}",
                headers=headers,
                data=call.body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await response.content.read(MAX_REPLY_BYTES + 1)
                while not response.content.at_eof() and len(body) <= MAX_REPLY_BYTES:
                    body += await response.content.read(MAX_REPLY_BYTES + 1 - len(body))
                return _build_result(response, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return _build_failure(UpstreamErrorKind.NOT_SENT, "No connection could be made.")
        except TimeoutError:
            return _build_failure(UpstreamErrorKind.STALLED, "No answer came in the time allowed.")
        except (aiohttp.ClientError, OSError) as error:
            return _build_failure(UpstreamErrorKind.BROKEN, f"It broke: {type(error).__name__}.")


def _build_result(
    response: aiohttp.ClientResponse, body: bytes
) -> Result[ServiceResponse, UpstreamError]:
    if len(body) > MAX_REPLY_BYTES:
        return _build_failure(
            UpstreamErrorKind.MALFORMED, "The answer is larger than is passed on."
        )
    if response.status == REFUSED_STATUS:
        refusal = _parse_refusal(body)
        if refusal is not None:
            return Failure(
                UpstreamError(
                    kind=UpstreamErrorKind.REFUSED,
                    detail=f"The service refused: {refusal.kind.value}.",
                    refusal=refusal,
                )
            )
    headers = [item for item in response.headers.items() if item[0].lower() not in HOP_BY_HOP]
    return Success(
        ServiceResponse(
            status=response.status,
            content_type=response.headers.get("Content-Type", ""),
            headers=headers,
            body=body,
        )
    )


def _parse_refusal(body: bytes) -> Refusal | None:
    return decode_json(body, Refusal).value_or(None)


def _build_failure(kind: UpstreamErrorKind, detail: str) -> Result[ServiceResponse, UpstreamError]:
    return Failure(UpstreamError(kind=kind, detail=detail))
