"""Bodies of the JSON gateway of etcd v3, for the calls that the stand-in supports.

Requests may use snake case or camel case names; 64-bit numbers are encoded as strings; fields
with the default value of the protocol are omitted.
"""

from __future__ import annotations

from enum import StrEnum
from enum import unique
import re
from typing import Any
from typing import TypeVar

import msgspec
from msgspec import Struct
from msgspec import field

CAMEL_CASE_BOUNDARY = re.compile(r"(?<=[a-z])([A-Z])")
UPPER_CASE_NAMES = frozenset({"ID", "TTL", "grantedTTL"})

_Body = TypeVar("_Body")


@unique
class CompareResult(StrEnum):
    """Relation that a condition requires between the actual and the given value."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


@unique
class CompareTarget(StrEnum):
    """Property of the key that a condition compares."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class RangeRequest(Struct, frozen=True, kw_only=True):
    """Body of ``/v3/kv/range``."""

    key: bytes = b""
    range_end: bytes = b""
    limit: int = 0
    revision: int = 0
    sort_order: str = "NONE"
    sort_target: str = "KEY"
    serializable: bool = False
    keys_only: bool = False
    count_only: bool = False


class PutRequest(Struct, frozen=True, kw_only=True):
    """Body of ``/v3/kv/put``."""

    key: bytes = b""
    value: bytes = b""
    lease: int = 0
    prev_kv: bool = False


class DeleteRangeRequest(Struct, frozen=True, kw_only=True):
    """Body of ``/v3/kv/deleterange``."""

    key: bytes = b""
    range_end: bytes = b""
    prev_kv: bool = False


class Compare(Struct, frozen=True, kw_only=True):
    """One condition of a transaction."""

    result: CompareResult = CompareResult.EQUAL
    target: CompareTarget = CompareTarget.VERSION
    key: bytes = b""
    range_end: bytes = b""
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    lease: int = 0
    value: bytes = b""


class RequestOp(Struct, frozen=True, kw_only=True):
    """One operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None
    request_txn: TxnRequest | None = None


class TxnRequest(Struct, frozen=True, kw_only=True):
    """Body of ``/v3/kv/txn``."""

    compare: list[Compare] = field(default_factory=list)
    success: list[RequestOp] = field(default_factory=list)
    failure: list[RequestOp] = field(default_factory=list)


class CompactionRequest(Struct, frozen=True, kw_only=True):
    """Body of ``/v3/kv/compaction``."""

    revision: int = 0
    physical: bool = False


class LeaseRequest(Struct, frozen=True, kw_only=True):
    """Body of all ``/v3/lease`` calls."""

    ID: int = 0
    TTL: int = 0
    keys: bool = False


class WatchCreateRequest(Struct, frozen=True, kw_only=True):
    """Key range and first revision of a watch."""

    key: bytes = b""
    range_end: bytes = b""
    start_revision: int = 0
    progress_notify: bool = False
    prev_kv: bool = False


class WatchRequest(Struct, frozen=True, kw_only=True):
    """Body of ``/v3/watch``."""

    create_request: WatchCreateRequest


def decode_request(body: bytes, kind: type[_Body]) -> _Body:
    """Return a request body, decoded to a struct.

    :param body: JSON text; empty is decoded as ``{}``.
    :param kind: Type of the request.
    :raises msgspec.DecodeError: When the body does not match the type.
    """
    return msgspec.convert(_snake_case(msgspec.json.decode(body or b"{}")), kind, strict=False)


def encode_reply(body: dict[str, Any]) -> bytes:
    """Return a response body in the JSON form of the gateway.

    :param body: Plain data: numbers, bytes, strings, lists and dictionaries.
    """
    return msgspec.json.encode(_without_defaults(body))


def _snake_case(data: Any) -> Any:
    if isinstance(data, list):
        return [_snake_case(item) for item in data]
    if isinstance(data, dict):
        return {_snake_name(name): _snake_case(value) for name, value in data.items()}
    return data


def _snake_name(name: str) -> str:
    return name if name in UPPER_CASE_NAMES else CAMEL_CASE_BOUNDARY.sub(r"_\1", name).lower()


def _without_defaults(data: Any) -> Any:
    if isinstance(data, list):
        return [_without_defaults(item) for item in data]
    if isinstance(data, dict):
        return {
            name: _without_defaults(value)
            for name, value in data.items()
            if value is not None and value is not False and value not in (0, b"", "", [])
        }
    if isinstance(data, int) and not isinstance(data, bool):
        return str(data)
    return data
