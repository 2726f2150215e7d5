"""Messages of the etcd v3 JSON gateway that are used by the client.

The gateway encodes 64-bit numbers as strings and omits fields with default values. Keys and values
are base64; msgspec encodes and decodes fields of type ``bytes`` accordingly.
"""

from __future__ import annotations

from enum import IntEnum
from enum import unique
from typing import Final

import msgspec

MOD_REVISION: Final = "MOD"
EQUAL: Final = "EQUAL"
DELETED: Final = "DELETE"


@unique
class StatusCode(IntEnum):
    """gRPC status codes of error responses that the client distinguishes."""

    INVALID_ARGUMENT = 3
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    UNAUTHENTICATED = 16


class RangeRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Read of one key, or of all keys from ``key`` up to but excluding ``range_end``.

    With ``serializable``, the result may be stale.
    """

    key: bytes
    range_end: bytes | None = None
    serializable: bool = False


class PutRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Write of one key; lease 0 means none."""

    key: bytes
    value: bytes
    lease: str


class DeleteRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Deletion of one key."""

    key: bytes


class Compare(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Condition on one key; the result and the target are always sent."""

    key: bytes
    mod_revision: str
    result: str
    target: str


class RequestOp(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_txn: TxnRequest | None = None


class TxnRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Transaction that runs ``success`` if all comparisons hold, and ``failure`` otherwise."""

    compare: list[Compare] = []
    success: list[RequestOp] = []
    failure: list[RequestOp] = []


class LeaseGrantRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Request to grant a lease."""

    TTL: str


class LeaseRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Request to renew or revoke a lease."""

    ID: str


class WatchCreate(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Parameters of a new watch; start revision 0 means the current revision."""

    key: bytes
    range_end: bytes
    start_revision: str
    progress_notify: bool


class WatchRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Only message that the client sends on a watch stream."""

    create_request: WatchCreate


class Header(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response header with the store revision at the time of the response."""

    revision: int = 0


class KeyValue(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Key with its current value and revisions."""

    key: bytes
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""
    lease: int = 0


class RangeResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response to a range request."""

    header: Header = Header()
    kvs: list[KeyValue] = []


class ResponseOp(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response to one operation of a transaction."""

    response_range: RangeResponse | None = None
    response_txn: TxnResponse | None = None


class TxnResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response to a transaction."""

    header: Header = Header()
    succeeded: bool = False
    responses: list[ResponseOp] = []


class LeaseGrantResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response to a lease grant."""

    ID: int
    TTL: int


class KeepAlive(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response to a keep-alive; the TTL of an expired lease is 0."""

    TTL: int = 0


class KeepAliveMessage(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Envelope of a streamed keep-alive response."""

    result: KeepAlive | None = None
    error: ErrorResponse | None = None


class LeaseRevokeResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response to a lease revocation."""

    header: Header = Header()


class WatchEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Change of one key."""

    kv: KeyValue
    type: str = "PUT"


class WatchResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Changes, or a progress notification that the watch has reached the header's revision."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[WatchEvent] = []


class WatchMessage(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Envelope of a streamed watch response."""

    result: WatchResponse | None = None
    error: ErrorResponse | None = None


class ErrorResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Error response; older gateways use ``grpc_code`` for the code of a streamed error."""

    code: int = 0
    grpc_code: int = 0
    message: str = ""
