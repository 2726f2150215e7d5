"""Bodies of the etcd v3 JSON gateway that the client uses.

The gateway writes 64-bit numbers as strings and leaves out fields that hold their default. Keys
and values are base64, which msgspec does for fields of type ``bytes``.
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
    """The gRPC status codes of an error reply that the client tells apart."""

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
    """Reads one key, or all keys from ``key`` to before ``range_end``.

    With ``serializable`` the answer may be stale.
    """

    key: bytes
    range_end: bytes | None = None
    serializable: bool = False


class PutRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Writes one key; lease 0 means none."""

    key: bytes
    value: bytes
    lease: str


class DeleteRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Deletes one key."""

    key: bytes


class Compare(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A condition on one key; the result and the target have no defaults worth omitting."""

    key: bytes
    mod_revision: str
    result: str
    target: str


class RequestOp(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_txn: TxnRequest | None = None


class TxnRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Carries out ``success`` when all comparisons hold, and ``failure`` otherwise."""

    compare: list[Compare] = []
    success: list[RequestOp] = []
    failure: list[RequestOp] = []


class LeaseGrantRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Makes a lease."""

    TTL: str


class LeaseRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Names a lease to renew or to end."""

    ID: str


class WatchCreate(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Starts a watch; revision 0 means from now on."""

    key: bytes
    range_end: bytes
    start_revision: str
    progress_notify: bool


class WatchRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The first and only message that the client sends on a watch."""

    create_request: WatchCreate


class Header(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The store's revision when it answered."""

    revision: int = 0


class KeyValue(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One key as it stands."""

    key: bytes
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""
    lease: int = 0


class RangeResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a range."""

    header: Header = Header()
    kvs: list[KeyValue] = []


class ResponseOp(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to one operation of a transaction."""

    response_range: RangeResponse | None = None
    response_txn: TxnResponse | None = None


class TxnResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a transaction."""

    header: Header = Header()
    succeeded: bool = False
    responses: list[ResponseOp] = []


class LeaseGrantResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a grant."""

    ID: int
    TTL: int


class KeepAlive(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a keep-alive; a lease that has ended has no seconds to live."""

    TTL: int = 0


class KeepAliveMessage(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Envelope of a streamed keep-alive."""

    result: KeepAlive | None = None
    error: ErrorReply | None = None


class LeaseRevokeResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a revocation."""

    header: Header = Header()


class WatchEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One change of one key."""

    kv: KeyValue
    type: str = "PUT"


class WatchResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Several changes, or a notice that the watch has come as far as the header says."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[WatchEvent] = []


class WatchMessage(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Envelope of a streamed watch response."""

    result: WatchResponse | None = None
    error: ErrorReply | None = None


class ErrorReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of an error; older gateways name the code of a streamed one ``grpc_code``."""

    code: int = 0
    grpc_code: int = 0
    message: str = ""
