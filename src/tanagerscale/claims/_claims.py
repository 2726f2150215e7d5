"""Claiming calls that may not be repeated, and recording how they ended."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
import random
from typing import Final
from typing import final

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.claims import _problems
from tanagerscale.claims._attempt import Attempt
from tanagerscale.claims._batcher import MIN_INTERVAL_MS
from tanagerscale.claims._batcher import CommitBatcher
from tanagerscale.claims._leases import BucketLeases
from tanagerscale.claims._local import EndedCall
from tanagerscale.claims._local import Ending
from tanagerscale.claims._local import LocalCall
from tanagerscale.claims._local import LocalCalls
from tanagerscale.claims._recorder import Pending
from tanagerscale.claims._recorder import Recorder
from tanagerscale.claims._records import decode_record
from tanagerscale.claims._records import to_outcome
from tanagerscale.claims._records import to_record
from tanagerscale.claims._types import ClaimKey
from tanagerscale.claims._types import ClaimOutcome
from tanagerscale.claims._types import Granted
from tanagerscale.claims._types import InProgress
from tanagerscale.claims._types import Recorded
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Problem
from tanagerscale.generated.records import ClaimRecord
from tanagerscale.generated.records import ClaimState
from tanagerscale.store import ConditionalPut
from tanagerscale.store import LeaseId
from tanagerscale.store import PutOutcome
from tanagerscale.store import Store
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision

JOIN_LIMIT_MS: Final = 60_000
"""How long a repeat waits for the call it joined on the same host."""

RETRY_AFTER_MS: Final = 1000
RETRY_SPREAD_MS: Final = 2000

MAX_ROUNDS: Final = 4
"""How often a claim is tried when others change the key at the same moment."""

MAX_ABANDONED: Final = 10_000

NONCE_BITS: Final = 96

ABSENT: Final = StoreRevision(0)

IsLive = Callable[[HostId, int], bool]
Claim = Result[Granted | Recorded | InProgress, Problem]


@final
class Claims:
    """Grants at most one dispatch for each key, whatever host it is asked at.

    :param store: Where claims stand.
    :param prefix: First part of all keys of this installation.
    :param host: This host.
    :param incarnation: Which life of the host this is.
    :param clock: Measures how old a claim is.
    :param rng: Makes nonces and spreads retries.
    :param is_live: Tells whether a host is still in the same life.
    :param min_interval_ms: Least time between two commits, in milliseconds.
    """

    def __init__(
        self,
        *,
        store: Store,
        prefix: str,
        host: HostId,
        incarnation: int,
        clock: Clock,
        rng: random.Random,
        is_live: IsLive,
        min_interval_ms: int = MIN_INTERVAL_MS,
    ) -> None:
        self._prefix = f"{prefix}/claims/"
        self._host = host
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._is_live = is_live
        self._leases = BucketLeases(store=store, clock=clock)
        self._batcher = CommitBatcher(store=store, clock=clock, min_interval_ms=min_interval_ms)
        self._recorder = Recorder(store=store, batcher=self._batcher, clock=clock, rng=rng)
        self._calls = LocalCalls()
        # Nonces of ours that will never be dispatched; a claim with one of them is free.
        self._abandoned: OrderedDict[str, None] = OrderedDict()

    @property
    def pending(self) -> int:
        """Number of outcomes that do not yet stand in the store."""
        return self._recorder.pending

    async def claim(self, *, key: ClaimKey, request_digest: str, ttl_s: int) -> Claim:
        """Ask for the permission to dispatch a call.

        Whoever is granted it asks ``may_dispatch`` immediately before sending and calls
        ``settle`` or ``record`` exactly once, also when nothing was sent.

        :param key: What names the call.
        :param request_digest: Digest of method, path and body.
        :param ttl_s: How long a repeat is to be recognised, in seconds.
        :returns: The permission, the recorded answer, or that the call still runs.
        """
        ended = self._calls.ended(key=key)
        if ended is not None:
            same = ended.request_digest == request_digest
            return ended.ending if same else Failure(_problems.key_reused())
        running = self._calls.running(key=key)
        if running is not None:
            return await self._join(running, request_digest=request_digest)
        if not self._batcher.admits():
            return Failure(self._store_unavailable())
        return await self._claim_here(key=key, request_digest=request_digest, ttl_s=ttl_s)

    def settle(
        self, *, claim: Granted, outcome: ClaimOutcome
    ) -> asyncio.Future[Result[None, StoreError]]:
        """Say how a granted call ended, without waiting for the store.

        Repeats at this host are answered from now on, and the record is written in the
        background until it stands in the store.

        :param claim: The permission.
        :param outcome: ``NOT_EXECUTED`` only if the service certainly ran nothing.
        :returns: The result of the first trial to record it; it need not be awaited.
        """
        running = self._calls.running(key=claim.key)
        if running is None or running.nonce != claim.nonce:
            return _resolved(Success(None))
        if outcome.state is ClaimState.NOT_EXECUTED:
            self._abandon(claim.nonce)
        ending = self._to_ending(outcome)
        self._calls.end(key=claim.key, ending=ending)
        if outcome.state is not ClaimState.NOT_EXECUTED:
            self._keep(claim.key, request_digest=claim.request_digest, ending=ending)
        pending = Pending(
            store_key=self._store_key(claim.key),
            record=to_record(claimed=self._to_record(claim), outcome=outcome),
            expected=claim.mod_revision,
            lease=claim.lease,
            expires=claim.expires,
        )
        return self._recorder.start(pending=pending)

    async def record(self, *, claim: Granted, outcome: ClaimOutcome) -> Result[None, StoreError]:
        """Settle a call and wait for the first trial to record its outcome.

        :returns: A failure when that trial failed; others go on in the background.
        """
        return await asyncio.shield(self.settle(claim=claim, outcome=outcome))

    async def drain(self) -> None:
        """Wait until all outcomes stand in the store, as a planned stop does.

        During an outage that takes until the store returns, so a stop sets a limit of its own.
        """
        await self._recorder.drain()

    async def close(self) -> None:
        """Stop at once; outcomes not yet recorded stay unknown to other hosts."""
        await self._recorder.close()
        await self._batcher.close()
        await self._leases.close()

    async def _join(self, call: LocalCall, *, request_digest: str) -> Claim:
        if call.request_digest != request_digest:
            return Failure(_problems.key_reused())
        done, _ = await asyncio.wait([call.ending], timeout=JOIN_LIMIT_MS / MS_PER_SECOND)
        return call.ending.result() if done else Success(self._in_progress())

    async def _claim_here(self, *, key: ClaimKey, request_digest: str, ttl_s: int) -> Claim:
        attempt = self._new_attempt(key=key, request_digest=request_digest, ttl_s=ttl_s)
        nonce = attempt.record.nonce
        self._calls.begin(key=key, request_digest=request_digest, nonce=nonce)
        try:
            result = await self._acquire(attempt)
        except BaseException:
            self._give_up(attempt)
            self._calls.end(key=key, ending=Failure(self._withdrawn()))
            raise
        if isinstance(result, Success) and isinstance(granted := result.unwrap(), Granted):
            return self._check_age(granted)
        ending = result.map(_without_permission)
        self._calls.end(key=key, ending=ending)
        if isinstance(ending, Success) and isinstance(ending.unwrap(), Recorded):
            self._keep(key, request_digest=request_digest, ending=ending)
        return result

    def _check_age(self, granted: Granted) -> Claim:
        """Refuse a claim that came through only after a freeze or a stall."""
        if granted.may_dispatch(now=self._clock.now()):
            return Success(granted)
        self.settle(claim=granted, outcome=ClaimOutcome(state=ClaimState.NOT_EXECUTED))
        return Failure(_problems.too_late(retry_after_ms=self._retry_after()))

    async def _acquire(self, attempt: Attempt) -> Claim:
        """Put the claim where none stands, or over one that is free."""
        expected = ABSENT
        refused_before = False
        for _ in range(MAX_ROUNDS):
            leased = await self._leases.lease_for(ttl_s=attempt.ttl_s)
            if isinstance(leased, Failure):
                self._batcher.note_failure(error=leased.failure())
                return Failure(self._store_unavailable())
            result = await self._put(attempt, expected=expected, lease=leased.unwrap())
            if isinstance(result, Failure):
                if result.failure().kind is not StoreErrorKind.REFUSED:
                    return Failure(self._store_unavailable())
                # The store may have lost the lease, or another write of the commit is at fault.
                if refused_before:
                    return Failure(self._store_unavailable())
                refused_before = True
                self._leases.forget(lease=leased.unwrap())
                continue
            outcome = result.unwrap()
            if outcome.written:
                lease = leased.unwrap()
                return Success(attempt.to_granted(revision=outcome.revision, lease=lease))
            present = outcome.current_entry
            if present is None:
                expected = ABSENT
                continue
            record = decode_record(present.value)
            if record is not None and record.nonce == attempt.record.nonce:
                granted = attempt.to_granted(revision=present.mod_revision, lease=present.lease)
                return Success(granted)
            if record is None or not self._is_free(record):
                return self._judge(record, attempt=attempt)
            expected = present.mod_revision
        return Failure(self._store_unavailable())

    async def _put(
        self, attempt: Attempt, *, expected: StoreRevision, lease: LeaseId
    ) -> Result[PutOutcome, StoreError]:
        """Commit a claim; when the reply is lost, the same claim settles what became of it."""
        value = msgspec.json.encode(attempt.record)
        put = ConditionalPut(
            key=attempt.store_key, value=value, expected_mod_revision=expected, lease=lease
        )
        attempt.last_put = put
        result = await self._batcher.submit(put=put, urgent=True)
        if not _is_uncertain(result):
            return result
        second = await self._batcher.submit(put=put, urgent=True)
        if isinstance(second, Success):
            return second
        # Whatever stopped the second trial, the first may still take effect.
        self._give_up(attempt)
        return result

    def _is_free(self, record: ClaimRecord) -> bool:
        return record.state is ClaimState.NOT_EXECUTED or record.nonce in self._abandoned

    def _judge(self, record: ClaimRecord | None, *, attempt: Attempt) -> Claim:
        """Answer for a claim that stands in the store and is not free."""
        if record is None:
            return Failure(_problems.outcome_unknown())
        if record.request_digest != attempt.record.request_digest:
            return Failure(_problems.key_reused())
        if record.state is ClaimState.DONE:
            outcome = to_outcome(record)
            if outcome is None:
                return Failure(_problems.answer_not_kept())
            return Success(Recorded(outcome=outcome))
        here = record.host == self._host
        if record.state is ClaimState.UNKNOWN or here:
            # Of this host's own calls only those in its table still run.
            return Failure(_problems.outcome_unknown())
        if self._is_live(HostId(record.host), record.incarnation):
            return Success(self._in_progress())
        return Failure(_problems.outcome_unknown())

    def _give_up(self, attempt: Attempt) -> None:
        """Make sure that a claim which may stand, or still arrive, becomes free."""
        released = attempt.to_released()
        if released is not None:
            self._abandon(attempt.record.nonce)
            self._recorder.start(pending=released)

    def _abandon(self, nonce: str) -> None:
        self._abandoned[nonce] = None
        if len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    def _new_attempt(self, *, key: ClaimKey, request_digest: str, ttl_s: int) -> Attempt:
        record = ClaimRecord(
            nonce=f"{self._rng.getrandbits(NONCE_BITS):024x}",
            host=self._host,
            incarnation=self._incarnation,
            state=ClaimState.CLAIMED,
            claimed_wall_ms=self._clock.wall(),
            request_digest=request_digest,
        )
        return Attempt(
            key=key,
            store_key=self._store_key(key),
            record=record,
            ttl_s=ttl_s,
            started=self._clock.now(),
        )

    def _to_record(self, claim: Granted) -> ClaimRecord:
        return ClaimRecord(
            nonce=claim.nonce,
            host=self._host,
            incarnation=self._incarnation,
            state=ClaimState.CLAIMED,
            claimed_wall_ms=claim.claimed_wall_ms,
            request_digest=claim.request_digest,
        )

    def _to_ending(self, outcome: ClaimOutcome) -> Ending:
        if outcome.state is ClaimState.DONE:
            return Success(Recorded(outcome=outcome))
        if outcome.state is ClaimState.NOT_EXECUTED:
            return Failure(self._withdrawn())
        return Failure(_problems.outcome_unknown())

    def _keep(self, key: ClaimKey, *, request_digest: str, ending: Ending) -> None:
        recorded = ending.value_or(None)
        size = len(recorded.outcome.body) if isinstance(recorded, Recorded) else 0
        ended = EndedCall(request_digest=request_digest, ending=ending, size=size)
        self._calls.keep(key=key, ended=ended)

    def _store_key(self, key: ClaimKey) -> str:
        return self._prefix + key.digest()

    def _store_unavailable(self) -> Problem:
        return _problems.store_unavailable(retry_after_ms=self._retry_after())

    def _withdrawn(self) -> Problem:
        return _problems.withdrawn(retry_after_ms=self._retry_after())

    def _in_progress(self) -> InProgress:
        return InProgress(retry_after_ms=self._retry_after())

    def _retry_after(self) -> int:
        return RETRY_AFTER_MS + self._rng.randrange(RETRY_SPREAD_MS)


def _is_uncertain(result: Result[PutOutcome, StoreError]) -> bool:
    return isinstance(result, Failure) and result.failure().kind is StoreErrorKind.UNCERTAIN


def _without_permission(answer: Granted | Recorded | InProgress) -> Recorded | InProgress:
    assert not isinstance(answer, Granted)
    return answer


def _resolved(result: Result[None, StoreError]) -> asyncio.Future[Result[None, StoreError]]:
    future: asyncio.Future[Result[None, StoreError]] = asyncio.get_running_loop().create_future()
    future.set_result(result)
    return future
