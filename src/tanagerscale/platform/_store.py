"""Client of the platform's store that implements ``PolledStore``."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import TypeVar
from typing import final
from urllib.parse import urlencode

import msgspec
from msgspec import structs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import decode_json
from tanagerscale.platform._wire import WireChanges
from tanagerscale.platform._wire import WireCommitted
from tanagerscale.platform._wire import WireItem
from tanagerscale.platform._wire import WireLease
from tanagerscale.platform._wire import WireRange
from tanagerscale.store import WATCH_MARGIN_MS
from tanagerscale.store import ConditionalPut
from tanagerscale.store import EraTracker
from tanagerscale.store import LeaseId
from tanagerscale.store import PutOutcome
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from tanagerscale.store import era_of
from tanagerscale.store import make_revision
from tanagerscale.store import number_of
from tanagerscale.store import uncertain_error
from tanagerscale.store import unreachable_error
from tanagerscale.upstreams import AnswerRule
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import ExchangeClient
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import ExchangeKind
from tanagerscale.upstreams import ExchangeLabel
from tanagerscale.upstreams import PooledResponse
from tanagerscale.upstreams import ResponseHead
from tanagerscale.upstreams import make_json_call

HTTP_OK: Final = 200
HTTP_NOT_FOUND: Final = 404
HTTP_PRECONDITION_FAILED: Final = 412
HTTP_GONE: Final = 410
HTTP_TOO_MANY_REQUESTS: Final = 429

CALL_TIMEOUT_MS: Final = 1000
"""Longest wait for one call. The store answers in 4 ms, or in 240 ms if sixty times slower."""

_Body = TypeVar("_Body", bound=msgspec.Struct)


STORE_ERA: Final = "Store-Era"
MAX_ERA_DIGITS: Final = 4
"""Longer eras don't fit into a revision."""

_ERA_ENDED: Final = StoreError(
    kind=StoreErrorKind.COMPACTED, detail="The store came back from a copy; read its state again."
)


class _Reply(msgspec.Struct, frozen=True, kw_only=True):
    status: int
    body: bytes
    era: int


@final
class PlatformStore:
    """Client of the platform's store.

    :param address: IP address and port of the store.
    :param pool: Pool of connections to the store.
    """

    def __init__(self, *, address: str, pool: ConnectionPool) -> None:
        self._address = address
        self._pool = pool
        self._client = ExchangeClient(pool=pool, rule=AnswerRule(), response_type=PooledResponse)
        self._eras = EraTracker()
        self._leases: dict[LeaseId, int] = {}  # The era of each lease of this host.
        self.calls = 0

    async def get(
        self, *, key: str, allow_stale: bool = False
    ) -> Result[StoreEntry | None, StoreError]:
        """Read one key; a possibly stale read costs a tenth of a call."""
        query = {"key": key, **({"serializable": "1"} if allow_stale else {})}
        answer = await self._call("GET", "/v1/kv-key", query=query)
        if isinstance(answer, Failure):
            return answer
        reply = answer.unwrap()
        if reply.status == HTTP_NOT_FOUND:
            return Success(None)
        return _decode_body(reply, WireItem).map(lambda item: _to_entry(item, reply.era))

    async def list(self, *, prefix: str) -> Result[StoreRange, StoreError]:
        """Read all keys under a prefix, page by page."""
        entries: list[StoreEntry] = []
        after = ""
        first_revision: StoreRevision | None = None
        while True:
            query = {"pathPrefix": prefix, **({"after": after} if after else {})}
            answer = await self._call("GET", "/v1/kv-range", query=query)
            if isinstance(answer, Failure):
                return answer
            reply = answer.unwrap()
            decoded = _decode_body(reply, WireRange)
            if isinstance(decoded, Failure):
                return decoded
            page = decoded.unwrap()
            entries.extend(_to_entry(item, reply.era) for item in page.items)
            # Pages are read at different revisions; a watch must start at that of the first page.
            first_revision = first_revision or make_revision(era=reply.era, number=page.as_of)
            if era_of(first_revision) != reply.era:
                return Failure(_ERA_ENDED)
            if not page.more_pages or not page.items:
                return Success(StoreRange(entries=tuple(entries), revision=first_revision))
            after = page.items[-1].key

    async def commit(
        self, *, puts: Sequence[ConditionalPut]
    ) -> Result[Sequence[PutOutcome], StoreError]:
        """Execute conditional writes, each in a transaction of its own."""
        outcomes = []
        for put in puts:
            outcome = await self._commit_one(put)
            if isinstance(outcome, Failure):
                return outcome
            outcomes.append(outcome.unwrap())
        return Success(outcomes)

    async def grant_lease(self, *, ttl_s: int) -> Result[LeaseId, StoreError]:
        """Create a lease that expires after ``ttl_s`` seconds without a keep-alive."""
        body = {"ttlMs": ttl_s * MS_PER_SECOND}
        answer = await self._call("POST", "/v1/kv-lease", body=body)
        if isinstance(answer, Failure):
            return answer
        reply = answer.unwrap()
        granted = _decode_body(reply, WireLease).map(lambda wire: LeaseId(wire.lease))
        # Leases of an earlier era are gone, and their numbers may be given out again.
        self._leases = {one: era for one, era in self._leases.items() if era == reply.era}
        if isinstance(granted, Success):
            self._leases[granted.unwrap()] = reply.era
        return granted

    async def keep_alive(self, *, lease: LeaseId) -> Result[int, StoreError]:
        """Renew a lease and return its time to live in seconds; 0 means that it has expired."""
        answer = await self._call("POST", f"/v1/kv-keep/{lease}", body={})
        if isinstance(answer, Failure):
            return answer
        reply = answer.unwrap()
        is_lost = reply.era != self._leases.get(lease, reply.era)
        if reply.status == HTTP_NOT_FOUND or is_lost:
            return Success(0)
        decoded = _decode_body(reply, WireLease)
        return decoded.map(lambda renewed: max(renewed.ttl_ms // MS_PER_SECOND, 1))

    async def revoke(self, *, lease: LeaseId) -> Result[None, StoreError]:
        """Revoke a lease and delete its keys."""
        if self._leases.get(lease, self._eras.era) != self._eras.era:
            return Success(None)
        answer = await self._call("DELETE", f"/v1/kv-lease-end/{lease}")
        return answer.map(lambda _: None)

    async def changes(
        self, *, prefix: str, after: StoreRevision, wait_ms: int
    ) -> Result[WatchBatch, StoreError]:
        """Return the changes under a prefix as soon as there are any; it costs one call."""
        era, number = era_of(after), number_of(after)
        query = {"pathPrefix": prefix, "after": str(number), "waitMs": str(wait_ms)}
        timeout_ms = max(wait_ms + WATCH_MARGIN_MS, CALL_TIMEOUT_MS)
        call = self._call("GET", "/v1/kv-watch", query=query, timeout_ms=timeout_ms)
        answer = await self._eras.run_in(era, call) or Failure(_ERA_ENDED)
        if isinstance(answer, Failure):
            return answer
        decoded = _decode_body(answer.unwrap(), WireChanges)
        if isinstance(decoded, Failure):
            return decoded
        changes = decoded.unwrap()
        reached = make_revision(era=era, number=max(number, changes.as_of))
        return Success(_to_batch(changes, reached))

    async def close(self) -> None:
        """Close idle connections."""
        self._pool.drop(address=self._address)

    async def _commit_one(self, put: ConditionalPut) -> Result[PutOutcome, StoreError]:
        expected = put.expected_mod_revision
        if expected and era_of(expected) != self._eras.era:
            # The number may stand for another change by now.
            present = await self.get(key=put.key)
            return present.map(
                lambda entry: PutOutcome(
                    written=False,
                    revision=make_revision(era=self._eras.era, number=0),
                    current_entry=entry,
                )
            )
        condition = [{"key": put.key, "revision": number_of(expected)}]
        body: dict[str, Any] = {"expectedRevision": condition, "puts": [], "remove": []}
        if put.value is None:
            body["remove"] = [put.key]
        else:
            value = base64.b64encode(put.value).decode()
            body["puts"] = [{"key": put.key, "value": value, "lease": put.lease}]
        answer = await self._call("POST", "/v1/kv-txn", body=body)
        if isinstance(answer, Failure):
            return answer
        reply = answer.unwrap()
        if reply.status != HTTP_PRECONDITION_FAILED:
            return _decode_body(reply, WireCommitted).map(
                lambda wire: PutOutcome(
                    written=True, revision=make_revision(era=reply.era, number=wire.revision)
                )
            )
        conflict = structs.replace(reply, status=HTTP_OK)
        return _decode_body(conflict, WireRange).map(lambda wire: _to_conflict(wire, reply.era))

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: Mapping[str, Any] | None = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[_Reply, StoreError]:
        """Make one call and return the response."""
        self.calls += 1
        target = f"{path}?{urlencode(query)}" if query else path
        content = b"" if body is None else msgspec.json.encode(body)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                return await self._exchange(method, target, content)
        except TimeoutError:
            return Failure(uncertain_error("The store did not answer in time"))
        except ExchangeError as error:
            if error.failure is ExchangeFailure.NOT_SENT:
                return Failure(unreachable_error(error.detail))
            return Failure(uncertain_error(error.detail))

    async def _exchange(
        self, method: str, target: str, content: bytes
    ) -> Result[_Reply, StoreError]:
        exchange = make_json_call(
            label=ExchangeLabel(kind=ExchangeKind.STORE_CALL, peer=self._address),
            method=method,
            address=self._address,
            target=target,
            body=content,
        )
        reply, answer = await self._client.call(address=self._address, exchange=exchange)
        era = self._eras.record(_decode_era(reply))
        if era < self._eras.era:
            return Failure(uncertain_error("The store answered from before it came back"))
        return _check_status(_Reply(status=reply.status, body=answer, era=era))


def _decode_era(reply: ResponseHead) -> int | None:
    era = reply.headers.get(STORE_ERA, "").strip()
    return int(era) if era.isdecimal() and len(era) <= MAX_ERA_DIGITS else None


def _check_status(reply: _Reply) -> Result[_Reply, StoreError]:
    status = reply.status
    if status in (HTTP_OK, HTTP_NOT_FOUND, HTTP_PRECONDITION_FAILED):
        return Success(reply)
    if status == HTTP_GONE:
        detail = "The start revision was compacted; read the current state and watch from there."
        return Failure(StoreError(kind=StoreErrorKind.COMPACTED, detail=detail))
    if status == HTTP_TOO_MANY_REQUESTS:
        detail = "The store refuses calls for now; call it less often."
        return Failure(StoreError(kind=StoreErrorKind.OVERLOADED, detail=detail))
    detail = f"The store answered {status}; try again after a pause."
    return Failure(StoreError(kind=StoreErrorKind.REFUSED, detail=detail))


def _decode_body(reply: _Reply, kind: type[_Body]) -> Result[_Body, StoreError]:
    if reply.status != HTTP_OK:
        detail = f"The store answered {reply.status}; read the present state and try again."
        return Failure(StoreError(kind=StoreErrorKind.REFUSED, detail=detail))
    return decode_json(reply.body, kind).alt(
        lambda cause: StoreError(
            kind=StoreErrorKind.UNCERTAIN,
            detail=f"The store's answer can't be read ({cause}); try again after a pause.",
        )
    )


def _to_entry(item: WireItem, era: int) -> StoreEntry:
    return StoreEntry(
        key=item.key,
        value=item.value,
        create_revision=make_revision(era=era, number=item.created_rev),
        mod_revision=make_revision(era=era, number=item.revision),
        lease=LeaseId(item.lease),
    )


def _to_batch(changes: WireChanges, reached: StoreRevision) -> WatchBatch:
    last = {item.key: item for item in changes.events}
    era = era_of(reached)
    newest = max((item.revision for item in changes.events), default=0)
    return WatchBatch(
        entries=tuple(_to_entry(item, era) for item in last.values() if not item.deleted),
        deleted=tuple(item.key for item in last.values() if item.deleted),
        revision=reached,
        newest_revision=make_revision(era=era, number=newest) if newest else StoreRevision(0),
    )


def _to_conflict(present: WireRange, era: int) -> PutOutcome:
    found = next((_to_entry(item, era) for item in present.items if item.revision), None)
    revision = make_revision(era=era, number=present.as_of)
    return PutOutcome(written=False, revision=revision, current_entry=found)
