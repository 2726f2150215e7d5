"""HTTP calls to the etcd v3 JSON gateway, with errors that show whether a call was sent."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from typing import TypeVar
from typing import final

import aiohttp
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import decode_json
from tanagerscale.store._protocol import StoreError
from tanagerscale.store._protocol import StoreErrorKind
from tanagerscale.store._wire import ErrorResponse
from tanagerscale.store._wire import StatusCode

T = TypeVar("T")

CONNECT_TIMEOUT_SHARE: Final = 0.5
"""Fraction of a call's remaining time that connecting may take, so that a connect timeout can be
distinguished from a lost response."""

HTTP_OK: Final = 200

MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024
"""A read or a batch of changes may contain all keys under a prefix."""

NO_EFFECT_CODES: Final = frozenset(StatusCode)
"""Status codes with which the store rejects a call before applying it. Other codes (timeout, leader
changed, unavailable) may be returned for a proposed write that still takes effect."""

JSON_HEADERS: Final = {"Content-Type": "application/json"}

# Only a failure to connect proves that nothing was sent.
CONNECT_ERRORS: Final = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@final
class GatewayClient:
    """HTTP client for the equivalent endpoints of one store.

    :param endpoints: Base URLs of the endpoints.
    :param timeout_ms: Timeout of one call over all endpoints, in milliseconds.
    :param clock: Clock used to compute the remaining time of a call.
    :raises ValueError: If there are no endpoints.
    """

    def __init__(self, *, endpoints: Sequence[str], timeout_ms: int, clock: Clock) -> None:
        if not endpoints:
            raise ValueError("no store endpoints configured; set at least one in [store] endpoints")
        self._endpoints = [endpoint.rstrip("/") for endpoint in endpoints]
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._preferred = 0
        self._session: aiohttp.ClientSession | None = None

    @property
    def endpoints(self) -> Sequence[str]:
        """Base URLs in the order in which calls try them, starting with the preferred endpoint."""
        return self._endpoints[self._preferred :] + self._endpoints[: self._preferred]

    @property
    def timeout_ms(self) -> int:
        """Timeout of one call, in milliseconds."""
        return self._timeout_ms

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(
        self, *, path: str, body: msgspec.Struct, response_type: type[T]
    ) -> Result[T, StoreError]:
        """Make a read-only call; if it is unsent or its response is lost, try the next endpoint."""
        return await self._call(path=path, body=body, response_type=response_type, idempotent=True)

    async def write(
        self, *, path: str, body: msgspec.Struct, response_type: type[T]
    ) -> Result[T, StoreError]:
        """Make a call with side effects; try the next endpoint only if the call was never sent."""
        return await self._call(path=path, body=body, response_type=response_type, idempotent=False)

    def prefer(self, *, endpoint: str) -> None:
        """Make an endpoint the first one tried by later calls."""
        self._preferred = self._endpoints.index(endpoint)

    def avoid(self, *, endpoint: str) -> None:
        """Prefer the next endpoint, unless a concurrent call has already changed the preference."""
        if self._endpoints[self._preferred] == endpoint:
            self._preferred = (self._preferred + 1) % len(self._endpoints)

    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session shared by all calls; it is created on first use."""
        if self._session is None:
            # Compression of responses costs more than it saves on a local network.
            self._session = aiohttp.ClientSession(
                auto_decompress=False, headers=JSON_HEADERS, skip_auto_headers=("Accept-Encoding",)
            )
        return self._session

    async def _call(
        self, *, path: str, body: msgspec.Struct, response_type: type[T], idempotent: bool
    ) -> Result[T, StoreError]:
        request_body = msgspec.json.encode(body)
        deadline = Millis(self._clock.now() + self._timeout_ms)
        result: Result[T, StoreError] = Failure(_deadline_exceeded_error())
        uncertain: Result[T, StoreError] | None = None
        endpoints = self.endpoints
        for index, endpoint in enumerate(endpoints):
            remaining_ms = deadline - self._clock.now()
            if remaining_ms <= 0:
                break
            # Reserve time for the remaining endpoints in case this one stalls.
            limit_ms = remaining_ms if not idempotent else remaining_ms // (len(endpoints) - index)
            result = await self._call_one(
                url=endpoint + path,
                request_body=request_body,
                response_type=response_type,
                limit_ms=max(limit_ms, 1),
            )
            if isinstance(result, Success):
                self.prefer(endpoint=endpoint)
                return result
            kind = result.failure().kind
            if kind in (StoreErrorKind.UNREACHABLE, StoreErrorKind.UNCERTAIN):
                self.avoid(endpoint=endpoint)
            if kind is StoreErrorKind.UNCERTAIN:
                uncertain = result
            if not (kind is StoreErrorKind.UNREACHABLE or (idempotent and uncertain is result)):
                return result
        return uncertain or result

    async def _call_one(
        self, *, url: str, request_body: bytes, response_type: type[T], limit_ms: int
    ) -> Result[T, StoreError]:
        total = limit_ms / MS_PER_SECOND
        timeout = aiohttp.ClientTimeout(
            total=total,
            connect=total * CONNECT_TIMEOUT_SHARE,
            sock_connect=total * CONNECT_TIMEOUT_SHARE,
        )
        try:
            async with self.session().post(url, data=request_body, timeout=timeout) as response:
                response_body = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(classify_client_error(error))
        if status != HTTP_OK:
            return Failure(parse_error_response(response_body))
        return decode(response_body, response_type)


def decode(response_body: bytes, response_type: type[T]) -> Result[T, StoreError]:
    """Decode a successful response; a malformed one leaves the effect of the call uncertain."""
    decoded = decode_json(response_body, response_type, strict=False, max_bytes=MAX_RESPONSE_BYTES)
    return decoded.alt(
        lambda cause: StoreError(
            kind=StoreErrorKind.UNCERTAIN,
            detail=f"The store's answer breaks its protocol ({cause}); check that [store] "
            "endpoints name etcd v3 JSON gateways.",
        )
    )


def classify_client_error(error: Exception) -> StoreError:
    """Return the store error for an HTTP client error, by whether the call may have been sent.

    :param error: Exception raised by the HTTP client.
    """
    if isinstance(error, CONNECT_ERRORS):
        return StoreError(
            kind=StoreErrorKind.UNREACHABLE,
            detail="No connection to the store; check that it runs and [store] endpoints.",
        )
    return StoreError(
        kind=StoreErrorKind.UNCERTAIN,
        detail="The store's reply was lost; read back before repeating a write.",
    )


def parse_error_response(response_body: bytes) -> StoreError:
    """Decode an error response and return the matching store error."""
    decoded = decode(response_body, ErrorResponse)
    response = decoded.value_or(ErrorResponse())
    return classify_error_response(response)


def classify_error_response(response: ErrorResponse) -> StoreError:
    """Return the store error that matches a decoded error response."""
    code = response.grpc_code or response.code
    if code == StatusCode.OUT_OF_RANGE and "compacted" in response.message:
        return compacted_error()
    if code == StatusCode.RESOURCE_EXHAUSTED:
        return StoreError(
            kind=StoreErrorKind.OVERLOADED,
            detail=f"The store is at its limit ({response.message!r}); come back later.",
        )
    if code in NO_EFFECT_CODES:
        return StoreError(
            kind=StoreErrorKind.REFUSED,
            detail=f"The store rejected the call ({response.message!r}); fix the named fault.",
        )
    return StoreError(
        kind=StoreErrorKind.UNCERTAIN,
        detail=f"The store failed during the call ({response.message!r}); read back before "
        "repeating a write.",
    )


def compacted_error() -> StoreError:
    """Return the error for a watch whose start revision was compacted."""
    return StoreError(
        kind=StoreErrorKind.COMPACTED,
        detail="The start revision was compacted; read the current state and watch from there.",
    )


def _deadline_exceeded_error() -> StoreError:
    return StoreError(
        kind=StoreErrorKind.UNREACHABLE,
        detail="No time was left to call the store; allow more in [store] timeout_ms.",
    )
