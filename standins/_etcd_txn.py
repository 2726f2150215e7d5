"""Operations and transactions of etcd v3: validation, conditions and nested transactions."""

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

HeaderFactory = Callable[[], dict[str, Any]]


class RequestError(Exception):
    """Raised for a request that etcd rejects.

    :param code: gRPC status code.
    :param message: Error message, worded as in etcd.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


@final
class Executor:
    """Executes operations on the key space; the caller commits.

    :param space: Key space to read and write.
    :param leases: Leases to which keys are attached.
    :param max_value_bytes: Maximum size of a value, in bytes.
    """

    def __init__(self, *, space: KeySpace, leases: Leases, max_value_bytes: int) -> None:
        self._space = space
        self._leases = leases
        self._max_value_bytes = max_value_bytes

    def range(self, request: RangeRequest) -> dict[str, Any]:
        """Read the keys of a range.

        :param request: The request.
        :returns: Fields of the response.
        :raises CompactedError: When the requested revision has been compacted.
        :raises FutureRevisionError: When the requested revision does not exist yet.
        """
        records = self._space.range(
            KeyRange(key=request.key, end=request.range_end), revision=request.revision
        )
        if request.sort_order == "DESCEND":
            records.reverse()
        page = records[: request.limit] if request.limit else records
        if request.count_only:
            return {"count": len(records)}
        kvs = [encode_record(record, keys_only=request.keys_only) for record in page]
        return {"kvs": kvs, "count": len(records), "more": len(page) < len(records)}

    def put(self, request: PutRequest) -> dict[str, Any]:
        """Write a key in the open transaction.

        :param request: The request, already validated.
        :returns: Fields of the response.
        """
        previous = self._space.put(key=request.key, value=request.value, lease=request.lease)
        self._leases.attach(key=request.key, lease=request.lease)
        return {"prev_kv": encode_record(previous)} if request.prev_kv and previous else {}

    def delete(self, request: DeleteRangeRequest) -> dict[str, Any]:
        """Delete the keys of a range in the open transaction.

        :param request: The request.
        :returns: Fields of the response.
        """
        previous = self._space.delete(KeyRange(key=request.key, end=request.range_end))
        for record in previous:
            self._leases.attach(key=record.key, lease=0)
        prev_kvs = [encode_record(record) for record in previous] if request.prev_kv else []
        return {"deleted": len(previous), "prev_kvs": prev_kvs}

    def check_put(self, request: PutRequest) -> None:
        """Reject a put that etcd would reject.

        :param request: The request.
        :raises RequestError: When the key is empty, the value is too large or the lease is unknown.
        """
        if not request.key:
            raise RequestError(INVALID_ARGUMENT, "etcdserver: key is not provided")
        if len(request.value) > self._max_value_bytes:
            raise RequestError(INVALID_ARGUMENT, "etcdserver: request is too large")
        if request.lease and not self._leases.exists(request.lease):
            raise RequestError(NOT_FOUND, "etcdserver: requested lease not found")

    def check_txn(self, request: TxnRequest) -> None:
        """Reject a transaction that etcd would reject.

        :param request: The request.
        :raises RequestError: When it has too many operations, an invalid put or writes a key twice.
        """
        self._check_operations(request, MAX_TXN_OPS)
        _check_intervals(request.success)
        _check_intervals(request.failure)

    def txn(self, request: TxnRequest, header: HeaderFactory) -> dict[str, Any]:
        """Execute a validated transaction.

        :param request: The request.
        :param header: Returns the header for each nested response.
        :returns: Fields of the response.
        """
        # Like etcd, evaluate all conditions, including nested ones, before the first write.
        outcomes = iter(self._evaluate_conditions(request))
        return self._apply(request, outcomes, header)

    def _evaluate_conditions(self, request: TxnRequest) -> list[bool]:
        is_met = all(self._is_condition_met(compare) for compare in request.compare)
        outcomes = [is_met]
        for operation in request.success if is_met else request.failure:
            if operation.request_txn is not None:
                outcomes.extend(self._evaluate_conditions(operation.request_txn))
        return outcomes

    def _apply(self, request: TxnRequest, outcomes: Any, header: HeaderFactory) -> dict[str, Any]:
        succeeded: bool = next(outcomes)
        operations = request.success if succeeded else request.failure
        responses = [self._apply_one(operation, outcomes, header) for operation in operations]
        return {"succeeded": succeeded, "responses": responses}

    def _apply_one(
        self, operation: RequestOp, outcomes: Any, header: HeaderFactory
    ) -> dict[str, Any]:
        if operation.request_range is not None:
            return {"response_range": {"header": header(), **self.range(operation.request_range)}}
        if operation.request_put is not None:
            return {"response_put": {"header": header(), **self.put(operation.request_put)}}
        if operation.request_delete_range is not None:
            reply = self.delete(operation.request_delete_range)
            return {"response_delete_range": {"header": header(), **reply}}
        if operation.request_txn is not None:
            reply = self._apply(operation.request_txn, outcomes, header)
            return {"response_txn": {"header": header(), **reply}}
        raise RequestError(INVALID_ARGUMENT, "etcdserver: key not found")

    def _is_condition_met(self, compare: Compare) -> bool:
        key_range = KeyRange(key=compare.key, end=compare.range_end)
        records = self._space.range(key_range)
        if not records:
            # All numbers of an absent key compare as zero; it has no value to compare.
            if compare.target is CompareTarget.VALUE:
                return False
            return _compare_values(compare.result, 0, _expected_value(compare))
        return all(
            _compare_values(
                compare.result, _actual_value(compare, record), _expected_value(compare)
            )
            for record in records
        )

    def _check_operations(self, request: TxnRequest, max_operations: int) -> None:
        operations = max(len(request.compare), len(request.success), len(request.failure))
        if operations > max_operations:
            raise RequestError(INVALID_ARGUMENT, "etcdserver: too many operations in txn request")
        for operation in (*request.success, *request.failure):
            if operation.request_put is not None:
                self.check_put(operation.request_put)
            if operation.request_txn is not None:
                self._check_operations(operation.request_txn, max_operations - operations)


def encode_record(record: Record, *, keys_only: bool = False) -> dict[str, Any]:
    """Return a record in the JSON form of the gateway.

    :param record: Record to encode.
    :param keys_only: Whether to omit the value.
    """
    return {
        "key": record.key,
        "create_revision": record.create_revision,
        "mod_revision": record.mod_revision,
        "version": record.version,
        "value": b"" if keys_only else record.value,
        "lease": record.lease,
    }


def _actual_value(compare: Compare, record: Record) -> Any:
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


def _expected_value(compare: Compare) -> Any:
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


def _compare_values(result: CompareResult, actual: Any, expected: Any) -> bool:
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
        new_puts, new_deletes = _collect_writes(operation)
        duplicates = puts & new_puts
        overlaps = any(key_range.contains(key) for key_range in deletes for key in new_puts) or any(
            key_range.contains(key) for key_range in new_deletes for key in puts
        )
        if duplicates or overlaps:
            raise RequestError(INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request")
        puts |= new_puts
        deletes += new_deletes
    return puts, deletes


def _collect_writes(operation: RequestOp) -> tuple[set[bytes], list[KeyRange]]:
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
