"""Store client for the etcd v3 JSON gateway."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import Final
from typing import TypeVar
from typing import final

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.store._gateway import GatewayClient
from tanagerscale.store._protocol import ConditionalPut
from tanagerscale.store._protocol import LeaseId
from tanagerscale.store._protocol import PutOutcome
from tanagerscale.store._protocol import StoreEntry
from tanagerscale.store._protocol import StoreError
from tanagerscale.store._protocol import StoreErrorKind
from tanagerscale.store._protocol import StoreRange
from tanagerscale.store._protocol import WatchBatch
from tanagerscale.store._revision import StoreRevision
from tanagerscale.store._watch import WatchStream
from tanagerscale.store._watch import to_entry
from tanagerscale.store._wire import EQUAL
from tanagerscale.store._wire import MOD_REVISION
from tanagerscale.store._wire import Compare
from tanagerscale.store._wire import DeleteRequest
from tanagerscale.store._wire import KeepAliveMessage
from tanagerscale.store._wire import KeyValue
from tanagerscale.store._wire import LeaseGrantRequest
from tanagerscale.store._wire import LeaseGrantResponse
from tanagerscale.store._wire import LeaseRequest
from tanagerscale.store._wire import LeaseRevokeResponse
from tanagerscale.store._wire import PutRequest
from tanagerscale.store._wire import RangeRequest
from tanagerscale.store._wire import RangeResponse
from tanagerscale.store._wire import RequestOp
from tanagerscale.store._wire import ResponseOp
from tanagerscale.store._wire import StatusCode
from tanagerscale.store._wire import TxnRequest
from tanagerscale.store._wire import TxnResponse

T = TypeVar("T")

RANGE_PATH: Final = "/v3/kv/range"
TXN_PATH: Final = "/v3/kv/txn"
GRANT_PATH: Final = "/v3/lease/grant"
KEEP_ALIVE_PATH: Final = "/v3/lease/keepalive"
REVOKE_PATH: Final = "/v3/lease/revoke"

MAX_PUTS: Final = 127
"""Maximum conditional writes per call. etcd allows 128 operations per transaction, including the
enclosing one."""

WATCH_IDLE_TIMEOUT_MS: Final = 15_000
"""Time without messages after which a watch fails, in case its connection has stalled."""

MAX_BYTE: Final = 0xFF


@final
class EtcdStore:
    """``Store`` that uses one or more endpoints of the etcd v3 JSON gateway.

    :param endpoints: Base URLs of the endpoints.
    :param timeout_ms: Timeout of one call, in milliseconds.
    :param clock: Clock used to measure the timeout.
    :param watch_idle_timeout_ms: Time without messages after which a watch fails, in milliseconds.
    """

    def __init__(
        self,
        *,
        endpoints: Sequence[str],
        timeout_ms: int,
        clock: Clock,
        watch_idle_timeout_ms: int = WATCH_IDLE_TIMEOUT_MS,
    ) -> None:
        self._gateway = GatewayClient(endpoints=endpoints, timeout_ms=timeout_ms, clock=clock)
        self._watch_idle_timeout_ms = watch_idle_timeout_ms

    async def close(self) -> None:
        """Close all connections."""
        await self._gateway.close()

    async def get(
        self, *, key: str, allow_stale: bool = False
    ) -> Result[StoreEntry | None, StoreError]:
        """Read one key; a stale read needs no communication between the store's members."""
        found = await self._range(RangeRequest(key=key.encode(), serializable=allow_stale))
        return found.map(lambda listed: listed.entries[0] if listed.entries else None)

    async def list(self, *, prefix: str) -> Result[StoreRange, StoreError]:
        """Read all keys under a prefix."""
        key, range_end = _prefix_bounds(prefix)
        return await self._range(RangeRequest(key=key, range_end=range_end))

    async def commit(
        self, *, puts: Sequence[ConditionalPut]
    ) -> Result[Sequence[PutOutcome], StoreError]:
        """Apply conditional writes in one call; each depends only on its own condition.

        More than ``MAX_PUTS`` writes, or several writes to one key, are rejected without a call.
        """
        if not puts:
            return Success(())
        if len(puts) > MAX_PUTS or len({put.key for put in puts}) < len(puts):
            return Failure(_invalid_puts_error())
        request = TxnRequest(success=[_to_operation(put) for put in puts])
        result = await self._gateway.write(path=TXN_PATH, body=request, response_type=TxnResponse)
        return result.bind(lambda response: _to_outcomes(response, count=len(puts)))

    async def grant_lease(self, *, ttl_s: int) -> Result[LeaseId, StoreError]:
        """Grant a lease that expires after ``ttl_s`` seconds without a keep-alive."""
        request = LeaseGrantRequest(TTL=str(ttl_s))
        result = await self._gateway.write(
            path=GRANT_PATH, body=request, response_type=LeaseGrantResponse
        )
        return result.map(lambda granted: LeaseId(granted.ID))

    async def keep_alive(self, *, lease: LeaseId) -> Result[int, StoreError]:
        """Renew a lease and return its remaining TTL in seconds; 0 if it has expired."""
        request = LeaseRequest(ID=str(lease))
        result = await self._gateway.write(
            path=KEEP_ALIVE_PATH, body=request, response_type=KeepAliveMessage
        )
        return result.bind(_to_ttl_s)

    async def revoke(self, *, lease: LeaseId) -> Result[None, StoreError]:
        """Revoke a lease and delete its keys."""
        request = LeaseRequest(ID=str(lease))
        result = await self._gateway.write(
            path=REVOKE_PATH, body=request, response_type=LeaseRevokeResponse
        )
        return result.map(lambda _: None)

    def watch(
        self, *, prefix: str, from_revision: StoreRevision
    ) -> AsyncIterator[Result[WatchBatch, StoreError]]:
        """Watch the changes under a prefix; the iterator ends after the first failure."""
        key, range_end = _prefix_bounds(prefix)
        stream = WatchStream(gateway=self._gateway, idle_timeout_ms=self._watch_idle_timeout_ms)
        return stream.follow(key=key, range_end=range_end, from_revision=from_revision)

    async def _range(self, request: RangeRequest) -> Result[StoreRange, StoreError]:
        result = await self._gateway.read(
            path=RANGE_PATH, body=request, response_type=RangeResponse
        )
        return result.bind(_to_range)


def _prefix_bounds(prefix: str) -> tuple[bytes, bytes]:
    """Return the range of a prefix: its first key and the first key after it."""
    start = prefix.encode()
    trimmed = start.rstrip(bytes([MAX_BYTE]))
    if not trimmed:
        return b"\0", b"\0"
    return start, trimmed[:-1] + bytes([trimmed[-1] + 1])


def _to_operation(put: ConditionalPut) -> RequestOp:
    key = put.key.encode()
    compare = Compare(
        key=key, mod_revision=str(put.expected_mod_revision), result=EQUAL, target=MOD_REVISION
    )
    if put.value is None:
        change = RequestOp(request_delete_range=DeleteRequest(key=key))
    else:
        write = PutRequest(key=key, value=put.value, lease=str(put.lease))
        change = RequestOp(request_put=write)
    read_current = RequestOp(request_range=RangeRequest(key=key))
    return RequestOp(
        request_txn=TxnRequest(compare=[compare], success=[change], failure=[read_current])
    )


def _to_outcomes(response: TxnResponse, *, count: int) -> Result[Sequence[PutOutcome], StoreError]:
    revision = StoreRevision(response.header.revision)
    nested_responses = [operation.response_txn for operation in response.responses]
    if not response.succeeded or len(nested_responses) != count:
        return Failure(_malformed_response_error())
    try:
        return Success(tuple(_to_outcome(nested, revision=revision) for nested in nested_responses))
    except ValueError:
        return Failure(_malformed_response_error())


def _to_outcome(response: TxnResponse | None, *, revision: StoreRevision) -> PutOutcome:
    """Convert the response to one conditional write.

    :raises ValueError: If the response is missing or incomplete.
    """
    if response is None:
        raise ValueError("transaction response has no nested response")
    if response.succeeded:
        return PutOutcome(written=True, revision=revision)
    return PutOutcome(
        written=False, revision=revision, current_entry=_to_current_entry(response.responses)
    )


def _to_current_entry(responses: Sequence[ResponseOp]) -> StoreEntry | None:
    if len(responses) != 1 or responses[0].response_range is None:
        raise ValueError("nested transaction response has no range")
    found: Sequence[KeyValue] = responses[0].response_range.kvs
    return to_entry(found[0]) if found else None


def _to_range(response: RangeResponse) -> Result[StoreRange, StoreError]:
    try:
        entries = tuple(to_entry(kv) for kv in response.kvs)
    except UnicodeDecodeError:
        return Failure(_malformed_response_error())
    return Success(StoreRange(entries=entries, revision=StoreRevision(response.header.revision)))


def _to_ttl_s(message: KeepAliveMessage) -> Result[int, StoreError]:
    if message.result is not None:
        return Success(max(message.result.TTL, 0))
    if message.error is not None and StatusCode.NOT_FOUND in (
        message.error.code,
        message.error.grpc_code,
    ):
        return Success(0)
    return Failure(_malformed_response_error())


def _malformed_response_error() -> StoreError:
    return StoreError(
        kind=StoreErrorKind.UNCERTAIN,
        detail="The store's answer breaks its protocol; read back before repeating a write.",
    )


def _invalid_puts_error() -> StoreError:
    return StoreError(
        kind=StoreErrorKind.REFUSED,
        detail=f"A commit takes at most {MAX_PUTS} writes to distinct keys; split it.",
    )
