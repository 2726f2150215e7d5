"""Calls to the etcd v3 JSON gateway over HTTP, with the truth about whether they were sent."""

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
from tanagerscale.store._protocol import StoreError
from tanagerscale.store._protocol import StoreErrorKind
from tanagerscale.store._wire import ErrorReply
from tanagerscale.store._wire import StatusCode

T = TypeVar("T")

CONNECT_SHARE: Final = 0.5
"""Share of a call's remaining time that connecting may take, so that the phase is known."""

HTTP_OK: Final = 200

NO_EFFECT_CODES: Final = frozenset(StatusCode)
"""Codes with which the store refuses a call before applying it. The others (timeout, leader
changed, unavailable) may follow a write that has been proposed and still takes effect."""

JSON_HEADERS: Final = {"Content-Type": "application/json"}

# A connection that was never made is the only proof that nothing was sent.
NEVER_SENT: Final = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@final
class Gateway:
    """Several equal endpoints of one store.

    :param endpoints: Base URLs.
    :param timeout_ms: Longest time of one call over all endpoints, in milliseconds.
    :param clock: Measures what is left of it.
    """

    def __init__(self, *, endpoints: Sequence[str], timeout_ms: int, clock: Clock) -> None:
        if not endpoints:
            raise ValueError("no store endpoints; name at least one in [store] endpoints")
        self._endpoints = [endpoint.rstrip("/") for endpoint in endpoints]
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._preferred = 0
        self._session: aiohttp.ClientSession | None = None

    @property
    def endpoints(self) -> Sequence[str]:
        """Base URLs, the one that answered last first."""
        return self._endpoints[self._preferred :] + self._endpoints[: self._preferred]

    @property
    def timeout_ms(self) -> int:
        """Longest time of one call, in milliseconds."""
        return self._timeout_ms

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(
        self, *, path: str, body: msgspec.Struct, reply: type[T]
    ) -> Result[T, StoreError]:
        """Make a call without effect; any endpoint may answer it, after any failure."""
        return await self._call(path=path, body=body, reply=reply, repeatable=True)

    async def write(
        self, *, path: str, body: msgspec.Struct, reply: type[T]
    ) -> Result[T, StoreError]:
        """Make a call with an effect; another endpoint is tried only while it was never sent."""
        return await self._call(path=path, body=body, reply=reply, repeatable=False)

    def prefer(self, *, endpoint: str) -> None:
        """Begin later calls at an endpoint."""
        self._preferred = self._endpoints.index(endpoint)

    def avoid(self, *, endpoint: str) -> None:
        """Begin later calls at the next endpoint, unless others have moved on already."""
        if self._endpoints[self._preferred] == endpoint:
            self._preferred = (self._preferred + 1) % len(self._endpoints)

    def session(self) -> aiohttp.ClientSession:
        """Return the session that all calls share."""
        if self._session is None:
            # The compression of replies costs more than it saves between neighbours.
            self._session = aiohttp.ClientSession(
                auto_decompress=False, headers=JSON_HEADERS, skip_auto_headers=("Accept-Encoding",)
            )
        return self._session

    async def _call(
        self, *, path: str, body: msgspec.Struct, reply: type[T], repeatable: bool
    ) -> Result[T, StoreError]:
        content = msgspec.json.encode(body)
        deadline = Millis(self._clock.now() + self._timeout_ms)
        result: Result[T, StoreError] = Failure(_out_of_time())
        uncertain: Result[T, StoreError] | None = None
        endpoints = self.endpoints
        for index, endpoint in enumerate(endpoints):
            left = deadline - self._clock.now()
            if left <= 0:
                break
            # A stalled endpoint must leave time for the ones after it.
            share = left if not repeatable else left // (len(endpoints) - index)
            result = await self._call_one(
                url=endpoint + path, content=content, reply=reply, limit_ms=max(share, 1)
            )
            if isinstance(result, Success):
                self.prefer(endpoint=endpoint)
                return result
            kind = result.failure().kind
            if kind in (StoreErrorKind.UNREACHABLE, StoreErrorKind.UNCERTAIN):
                self.avoid(endpoint=endpoint)
            if kind is StoreErrorKind.UNCERTAIN:
                uncertain = result
            if not (kind is StoreErrorKind.UNREACHABLE or (repeatable and uncertain is result)):
                return result
        return uncertain or result

    async def _call_one(
        self, *, url: str, content: bytes, reply: type[T], limit_ms: int
    ) -> Result[T, StoreError]:
        total = limit_ms / MS_PER_SECOND
        timeout = aiohttp.ClientTimeout(
            total=total, connect=total * CONNECT_SHARE, sock_connect=total * CONNECT_SHARE
        )
        try:
            async with self.session().post(url, data=content, timeout=timeout) as response:
                answer = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(to_store_error(error))
        if status != HTTP_OK:
            return Failure(parse_error(answer))
        return decode(answer, reply)


def decode(answer: bytes, reply: type[T]) -> Result[T, StoreError]:
    """Decode a successful answer; a malformed one leaves the effect uncertain."""
    try:
        return Success(msgspec.json.decode(answer, type=reply, strict=False))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Failure(
            StoreError(
                kind=StoreErrorKind.UNCERTAIN,
                detail="The store's answer breaks its protocol; check that [store] endpoints "
                "name etcd v3 JSON gateways.",
            )
        )


def to_store_error(error: Exception) -> StoreError:
    """Tell whether a failed call can have had an effect.

    :param error: What the HTTP client raised.
    """
    if isinstance(error, NEVER_SENT):
        return StoreError(
            kind=StoreErrorKind.UNREACHABLE,
            detail="No connection to the store; check that it runs and [store] endpoints.",
        )
    return StoreError(
        kind=StoreErrorKind.UNCERTAIN,
        detail="The store's reply was lost; read back before repeating a write.",
    )


def parse_error(answer: bytes) -> StoreError:
    """Turn an error reply into a typed error."""
    decoded = decode(answer, ErrorReply)
    reply = decoded.value_or(ErrorReply())
    return from_error_reply(reply)


def from_error_reply(reply: ErrorReply) -> StoreError:
    """Turn a decoded error reply into a typed error."""
    code = reply.grpc_code or reply.code
    if code == StatusCode.OUT_OF_RANGE and "compacted" in reply.message:
        return compacted()
    if code == StatusCode.RESOURCE_EXHAUSTED:
        return StoreError(
            kind=StoreErrorKind.OVERLOADED,
            detail=f"The store is at its limit ({reply.message!r}); come back later.",
        )
    if code in NO_EFFECT_CODES:
        return StoreError(
            kind=StoreErrorKind.REFUSED,
            detail=f"The store refused the call ({reply.message!r}); mend what it names.",
        )
    return StoreError(
        kind=StoreErrorKind.UNCERTAIN,
        detail=f"The store failed during the call ({reply.message!r}); read back before "
        "repeating a write.",
    )


def compacted() -> StoreError:
    """Return the error for a watch whose start has left the store's history."""
    return StoreError(
        kind=StoreErrorKind.COMPACTED,
        detail="The history asked for is gone; read the present state and watch from there.",
    )


def _out_of_time() -> StoreError:
    return StoreError(
        kind=StoreErrorKind.UNREACHABLE,
        detail="No time was left to call the store; allow more in [store] timeout_ms.",
    )
