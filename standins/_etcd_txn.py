"""Transactions of etcd v3: checks, conditions, nested operations."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import final

from standins._etcd_types import Compare
from standins._etcd_types import CompareResult
from standins._etcd_types import CompareTarget
from standins._etcd_types import DeleteRangeRequest
from standins._etcd_types import PutRequest
from standins._etcd_types import RangeRequest
from standins._etcd_types import RequestOp
from standins._etcd_types import TxnRequest
from standins._leases import Leases
from standins._mvcc import KeyRange
from standins._mvcc import KeySpace
from standins._mvcc import Record

MAX_TXN_OPS = 128
INVALID_ARGUMENT = 3
NOT_FOUND = 5

Header = Callable[[], dict[str, Any]]


class RequestError(Exception):
    """A request that etcd refuses.

    :param code: The gRPC status code.
    :param message: Its text.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


@final
class Executor:
    """Carries out operations on the key space; the caller commits.

    :param space: The keys.
    :param leases: The leases that keys live under.
    :param max_value_bytes: Largest value taken.
    """

    def __init__(self, *, space: KeySpace, leases: Leases, max_value_bytes: int) -> None:
        self._space = space
        self._leases = leases
        self._max_value_bytes = max_value_bytes

    def range(self, request: RangeRequest) -> dict[str, Any]:
        """Read a range."""
        records = self._space.range(
            KeyRange(key=request.key, end=request.range_end), revision=request.revision
        )
        if request.sort_order == "DESCEND":
            records.reverse()
        shown = records[: request.limit] if request.limit else records
        if request.count_only:
            return {"count": len(records)}
        kvs = [encode_record(record, keys_only=request.keys_only) for record in shown]
        return {"kvs": kvs, "count": len(records), "more": len(shown) < len(records)}

    def put(self, request: PutRequest) -> dict[str, Any]:
        """Write a key."""
        before = self._space.put(key=request.key, value=request.value, lease=request.lease)
        self._leases.attach(key=request.key, lease=request.lease)
        return {"prev_kv": encode_record(before)} if request.prev_kv and before else {}

    def delete(self, request: DeleteRangeRequest) -> dict[str, Any]:
        """Delete a range."""
        before = self._space.delete(KeyRange(key=request.key, end=request.range_end))
        for record in before:
            self._leases.attach(key=record.key, lease=0)
        shown = [encode_record(record) for record in before] if request.prev_kv else []
        return {"deleted": len(before), "prev_kvs": shown}

    def check_put(self, request: PutRequest) -> None:
        """Refuse a write that etcd would refuse.

        :raises RequestError: When it does.
        """
        if not request.key:
            raise RequestError(INVALID_ARGUMENT, "etcdserver: key is not provided")
        if len(request.value) > self._max_value_bytes:
            raise RequestError(INVALID_ARGUMENT, "etcdserver: request is too large")
        if request.lease and not self._leases.exists(request.lease):
            raise RequestError(NOT_FOUND, "etcdserver: requested lease not found")

    def check_txn(self, request: TxnRequest) -> None:
        """Refuse a transaction that etcd would refuse.

        :raises RequestError: When it does.
        """
        self._check_size(request, MAX_TXN_OPS)
        _check_intervals(request.success)
        _check_intervals(request.failure)

    def txn(self, request: TxnRequest, header: Header) -> dict[str, Any]:
        """Carry out a checked transaction.

        :param request: The transaction.
        :param header: Makes the header of each inner answer.
        """
        # All conditions, nested ones too, are judged before the first write, as etcd does it.
        verdicts = iter(self._judge(request))
        return self._apply(request, verdicts, header)

    def _judge(self, request: TxnRequest) -> list[bool]:
        verdict = all(self._holds(compare) for compare in request.compare)
        verdicts = [verdict]
        for operation in request.success if verdict else request.failure:
            if operation.request_txn is not None:
                verdicts.extend(self._judge(operation.request_txn))
        return verdicts

    def _apply(self, request: TxnRequest, verdicts: Any, header: Header) -> dict[str, Any]:
        succeeded: bool = next(verdicts)
        operations = request.success if succeeded else request.failure
        responses = [self._apply_one(operation, verdicts, header) for operation in operations]
        return {"succeeded": succeeded, "responses": responses}

    def _apply_one(self, operation: RequestOp, verdicts: Any, header: Header) -> dict[str, Any]:
        if operation.request_range is not None:
            return {"response_range": {"header": header(), **self.range(operation.request_range)}}
        if operation.request_put is not None:
            return {"response_put": {"header": header(), **self.put(operation.request_put)}}
        if operation.request_delete_range is not None:
            reply = self.delete(operation.request_delete_range)
            return {"response_delete_range": {"header": header(), **reply}}
        if operation.request_txn is not None:
            reply = self._apply(operation.request_txn, verdicts, header)
            return {"response_txn": {"header": header(), **reply}}
        raise RequestError(INVALID_ARGUMENT, "etcdserver: key not found")

    def _holds(self, compare: Compare) -> bool:
        span = KeyRange(key=compare.key, end=compare.range_end)
        records = self._space.range(span)
        if not records:
            # Of an absent key all numbers count as zero, and it has no value to compare.
            if compare.target is CompareTarget.VALUE:
                return False
            return _relates(compare.result, 0, _expected(compare))
        return all(
            _relates(compare.result, _actual(compare, record), _expected(compare))
            for record in records
        )

    def _check_size(self, request: TxnRequest, allowed: int) -> None:
        operations = max(len(request.compare), len(request.success), len(request.failure))
        if operations > allowed:
            raise RequestError(INVALID_ARGUMENT, "etcdserver: too many operations in txn request")
        for operation in (*request.success, *request.failure):
            if operation.request_put is not None:
                self.check_put(operation.request_put)
            if operation.request_txn is not None:
                self._check_size(operation.request_txn, allowed - operations)


def encode_record(record: Record, *, keys_only: bool = False) -> dict[str, Any]:
    """Return a record as the gateway shows it.

    :param record: The record.
    :param keys_only: Whether to leave its value out.
    """
    return {
        "key": record.key,
        "create_revision": record.create_revision,
        "mod_revision": record.mod_revision,
        "version": record.version,
        "value": b"" if keys_only else record.value,
        "lease": record.lease,
    }


def _actual(compare: Compare, record: Record) -> Any:
    match compare.target:
        case CompareTarget.VERSION:
            return record.version
        case CompareTarget.CREATE:
            return record.create_revision
        case CompareTarget.MOD:
            return record.mod_revision
        case CompareTarget.LEASE:
            return record.lease
        case CompareTarget.VALUE:
            return record.value


def _expected(compare: Compare) -> Any:
    match compare.target:
        case CompareTarget.VERSION:
            return compare.version
        case CompareTarget.CREATE:
            return compare.create_revision
        case CompareTarget.MOD:
            return compare.mod_revision
        case CompareTarget.LEASE:
            return compare.lease
        case CompareTarget.VALUE:
            return compare.value


def _relates(result: CompareResult, actual: Any, expected: Any) -> bool:
    match result:
        case CompareResult.EQUAL:
            return bool(actual == expected)
        case CompareResult.NOT_EQUAL:
            return bool(actual != expected)
        case CompareResult.GREATER:
            return bool(actual > expected)
        case CompareResult.LESS:
            return bool(actual < expected)


def _check_intervals(operations: Sequence[RequestOp]) -> tuple[set[bytes], list[KeyRange]]:
    puts: set[bytes] = set()
    deletes: list[KeyRange] = []
    for operation in operations:
        new_puts, new_deletes = _written(operation)
        doubled = puts & new_puts
        crossed = any(span.covers(key) for span in deletes for key in new_puts) or any(
            span.covers(key) for span in new_deletes for key in puts
        )
        if doubled or crossed:
            raise RequestError(INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request")
        puts |= new_puts
        deletes += new_deletes
    return puts, deletes


def _written(operation: RequestOp) -> tuple[set[bytes], list[KeyRange]]:
    if operation.request_put is not None:
        return {operation.request_put.key}, []
    if operation.request_delete_range is not None:
        request = operation.request_delete_range
        return set(), [KeyRange(key=request.key, end=request.range_end)]
    if operation.request_txn is not None:
        then_puts, then_deletes = _check_intervals(operation.request_txn.success)
        else_puts, else_deletes = _check_intervals(operation.request_txn.failure)
        return then_puts | else_puts, then_deletes + else_deletes
    return set(), []
