"""Claims on calls that are not idempotent, and the recording of their outcomes."""

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
from tanagerscale.claims._attempt import ClaimAttempt
from tanagerscale.claims._batcher import MIN_COMMIT_INTERVAL_MS
from tanagerscale.claims._batcher import CommitBatcher
from tanagerscale.claims._leases import BucketLeases
from tanagerscale.claims._local import EndedCall
from tanagerscale.claims._local import LocalCall
from tanagerscale.claims._local import LocalCalls
from tanagerscale.claims._local import RepeatResult
from tanagerscale.claims._recorder import PendingRecord
from tanagerscale.claims._recorder import Recorder
from tanagerscale.claims._records import decode_record
from tanagerscale.claims._records import to_outcome
from tanagerscale.claims._records import to_record
from tanagerscale.claims._types import ClaimCancelled
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

JOIN_TIMEOUT_MS: Final = 60_000
"""Maximum time that a repeated call waits for the running call on the same host."""

MIN_RETRY_AFTER_MS: Final = 1000
RETRY_AFTER_JITTER_MS: Final = 2000

MAX_CLAIM_ROUNDS: Final = 4
"""Maximum number of writes for a claim whose key is modified concurrently."""

MAX_ABANDONED_NONCES: Final = 10_000

NONCE_BITS: Final = 96

ABSENT_REVISION: Final = StoreRevision(0)

IsLive = Callable[[HostId, int], bool]
Claim = Result[Granted | Recorded | InProgress, Problem]


@final
class Claims:
    """Grants at most one dispatch for each key over all hosts.

    :param store: Store that holds the claims.
    :param prefix: Prefix of all store keys of this installation.
    :param host: Id of this host.
    :param incarnation: Incarnation number of this host; a restarted host has a higher one.
    :param clock: Clock that measures the age of claims.
    :param rng: Random number generator for nonces and for the jitter of retry delays.
    :param is_live: Returns whether a host is live with the given incarnation number.
    :param min_interval_ms: Minimum time between the starts of two commits, in milliseconds.
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
        min_interval_ms: int = MIN_COMMIT_INTERVAL_MS,
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
        # Local nonces that will never be dispatched; a claim with one of them may be replaced.
        self._abandoned: OrderedDict[str, None] = OrderedDict()

    @property
    def pending(self) -> int:
        """Number of outcomes that have not been recorded in the store yet."""
        return self._recorder.pending

    async def claim(self, *, key: ClaimKey, request_digest: str, ttl_s: int) -> Claim:
        """Claim the key of a call.

        A caller that receives a grant must check ``may_dispatch`` immediately before sending and
        call ``settle`` or ``record`` exactly once, even if nothing was sent.

        :param key: Key that identifies the call.
        :param request_digest: Digest of method, path and body.
        :param ttl_s: Time during which a repeated call is recognized, in seconds.
        :returns: The grant, the recorded answer, or that the call is still running.
        """
        ended = self._calls.get_ended(key=key)
        if ended is not None:
            is_same_request = ended.request_digest == request_digest
            return ended.repeat_result if is_same_request else Failure(_problems.key_reused())
        running = self._calls.get_running(key=key)
        if running is not None:
            return await self._join_running_call(running, request_digest=request_digest)
        if not self._batcher.accepts_writes():
            return Failure(self._store_unavailable())
        return await self._claim_in_store(key=key, request_digest=request_digest, ttl_s=ttl_s)

    def settle(
        self, *, claim: Granted, outcome: ClaimOutcome
    ) -> asyncio.Future[Result[None, StoreError]]:
        """Set the outcome of a granted call, without waiting for the store.

        Repeated calls on this host are answered from now on. The outcome is written in the
        background, with retries until it is recorded in the store.

        :param claim: Grant of the call.
        :param outcome: Outcome; ``NOT_EXECUTED`` only if the service has certainly not run it.
        :returns: The result of the first attempt to record it; it need not be awaited.
        """
        running = self._calls.get_running(key=claim.key)
        if running is None or running.nonce != claim.nonce:
            return _build_resolved_future(Success(None))
        if outcome.state is ClaimState.NOT_EXECUTED:
            self._abandon(claim.nonce)
        repeat_result = self._to_repeat_result(outcome)
        self._calls.end(key=claim.key, repeat_result=repeat_result)
        if outcome.state is not ClaimState.NOT_EXECUTED:
            self._add_ended(
                claim.key, request_digest=claim.request_digest, repeat_result=repeat_result
            )
        pending = PendingRecord(
            store_key=self._store_key(claim.key),
            record=to_record(claimed=self._to_record(claim), outcome=outcome),
            expected=claim.mod_revision,
            lease=claim.lease,
            expires=claim.expires,
        )
        return self._recorder.start(pending=pending)

    async def record(self, *, claim: Granted, outcome: ClaimOutcome) -> Result[None, StoreError]:
        """Settle a call and wait for the first attempt to record its outcome.

        :returns: A failure if that attempt failed; further attempts are made in the background.
        """
        return await asyncio.shield(self.settle(claim=claim, outcome=outcome))

    async def drain(self) -> None:
        """Wait until all outcomes are recorded in the store, as for a graceful shutdown.

        During a store outage this lasts until the store recovers, so the caller must set a timeout.
        """
        await self._recorder.drain()

    async def close(self) -> None:
        """Stop immediately; outcomes that are not recorded remain unknown to other hosts."""
        await self._recorder.close()
        await self._batcher.close()
        await self._leases.close()

    async def _join_running_call(self, call: LocalCall, *, request_digest: str) -> Claim:
        if call.request_digest != request_digest:
            return Failure(_problems.key_reused())
        done, _ = await asyncio.wait([call.repeat_result], timeout=JOIN_TIMEOUT_MS / MS_PER_SECOND)
        return call.repeat_result.result() if done else Success(self._in_progress())

    async def _claim_in_store(self, *, key: ClaimKey, request_digest: str, ttl_s: int) -> Claim:
        attempt = self._new_attempt(key=key, request_digest=request_digest, ttl_s=ttl_s)
        nonce = attempt.record.nonce
        self._calls.begin(key=key, request_digest=request_digest, nonce=nonce)
        try:
            result = await self._acquire(attempt)
        except BaseException as error:
            self._release(attempt)
            self._calls.end(key=key, repeat_result=Failure(self._call_not_run()))
            if isinstance(error, asyncio.CancelledError):
                raise ClaimCancelled from error
            raise
        if isinstance(result, Success) and isinstance(granted := result.unwrap(), Granted):
            return self._check_age(granted)
        repeat_result = result.map(_exclude_granted)
        self._calls.end(key=key, repeat_result=repeat_result)
        if isinstance(repeat_result, Success) and isinstance(repeat_result.unwrap(), Recorded):
            self._add_ended(key, request_digest=request_digest, repeat_result=repeat_result)
        return result

    def _check_age(self, granted: Granted) -> Claim:
        """Refuse a claim that was granted too late, after the process was suspended or stalled."""
        if granted.may_dispatch(now=self._clock.now()):
            return Success(granted)
        self.settle(claim=granted, outcome=ClaimOutcome(state=ClaimState.NOT_EXECUTED))
        return Failure(_problems.too_late(retry_after_ms=self._retry_after()))

    async def _acquire(self, attempt: ClaimAttempt) -> Claim:
        """Write the claim if the key has none or one that may be replaced."""
        expected = ABSENT_REVISION
        was_refused = False
        for _ in range(MAX_CLAIM_ROUNDS):
            leased = await self._leases.get_lease(ttl_s=attempt.ttl_s)
            if isinstance(leased, Failure):
                self._batcher.record_failure(error=leased.failure())
                return Failure(self._store_unavailable())
            result = await self._put(attempt, expected=expected, lease=leased.unwrap())
            if isinstance(result, Failure):
                if result.failure().kind is not StoreErrorKind.REFUSED:
                    return Failure(self._store_unavailable())
                # The store may have lost the lease, or another write in the commit was invalid.
                if was_refused:
                    return Failure(self._store_unavailable())
                was_refused = True
                self._leases.discard(lease=leased.unwrap())
                continue
            outcome = result.unwrap()
            if outcome.written:
                lease = leased.unwrap()
                return Success(attempt.to_granted(revision=outcome.revision, lease=lease))
            present = outcome.current_entry
            if present is None:
                expected = ABSENT_REVISION
                continue
            record = decode_record(present.value)
            if record is not None and record.nonce == attempt.record.nonce:
                granted = attempt.to_granted(revision=present.mod_revision, lease=present.lease)
                return Success(granted)
            if record is None or not self._is_replaceable(record):
                return self._answer_for_existing_claim(record, attempt=attempt)
            expected = present.mod_revision
        return Failure(self._store_unavailable())

    async def _put(
        self, attempt: ClaimAttempt, *, expected: StoreRevision, lease: LeaseId
    ) -> Result[PutOutcome, StoreError]:
        """Commit a claim; if the reply is lost, the same write again shows whether it succeeded."""
        value = msgspec.json.encode(attempt.record)
        put = ConditionalPut(
            key=attempt.store_key, value=value, expected_mod_revision=expected, lease=lease
        )
        attempt.last_put = put
        result = await self._batcher.submit(put=put, urgent=True)
        if not _is_uncertain(result):
            return result
        repeated = await self._batcher.submit(put=put, urgent=True)
        if isinstance(repeated, Success):
            return repeated
        # Regardless of why the second write failed, the first may still take effect.
        self._release(attempt)
        return result

    def _is_replaceable(self, record: ClaimRecord) -> bool:
        return record.state is ClaimState.NOT_EXECUTED or record.nonce in self._abandoned

    def _answer_for_existing_claim(
        self, record: ClaimRecord | None, *, attempt: ClaimAttempt
    ) -> Claim:
        """Return the answer for an existing claim that may not be replaced."""
        if record is None:
            return Failure(_problems.outcome_unknown())
        if record.request_digest != attempt.record.request_digest:
            return Failure(_problems.key_reused())
        if record.state is ClaimState.DONE:
            outcome = to_outcome(record)
            if outcome is None:
                return Failure(_problems.answer_not_recorded())
            return Success(Recorded(outcome=outcome))
        is_local = record.host == self._host
        if record.state is ClaimState.UNKNOWN or is_local:
            # Calls of this host that still run are in its local table and never get here.
            return Failure(_problems.outcome_unknown())
        if self._is_live(HostId(record.host), record.incarnation):
            return Success(self._in_progress())
        return Failure(_problems.outcome_unknown())

    def _release(self, attempt: ClaimAttempt) -> None:
        """Release a claim that may have been written or whose write may still take effect."""
        release_record = attempt.to_release_record()
        if release_record is not None:
            self._abandon(attempt.record.nonce)
            self._recorder.start(pending=release_record)

    def _abandon(self, nonce: str) -> None:
        self._abandoned[nonce] = None
        if len(self._abandoned) > MAX_ABANDONED_NONCES:
            self._abandoned.popitem(last=False)

    def _new_attempt(self, *, key: ClaimKey, request_digest: str, ttl_s: int) -> ClaimAttempt:
        record = ClaimRecord(
            nonce=f"{self._rng.getrandbits(NONCE_BITS):024x}",
            host=self._host,
            incarnation=self._incarnation,
            state=ClaimState.CLAIMED,
            claimed_wall_ms=self._clock.wall(),
            request_digest=request_digest,
        )
        return ClaimAttempt(
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

    def _to_repeat_result(self, outcome: ClaimOutcome) -> RepeatResult:
        if outcome.state is ClaimState.DONE:
            return Success(Recorded(outcome=outcome))
        if outcome.state is ClaimState.NOT_EXECUTED:
            return Failure(self._call_not_run())
        return Failure(_problems.outcome_unknown())

    def _add_ended(
        self, key: ClaimKey, *, request_digest: str, repeat_result: RepeatResult
    ) -> None:
        recorded = repeat_result.value_or(None)
        size = len(recorded.outcome.body) if isinstance(recorded, Recorded) else 0
        ended = EndedCall(request_digest=request_digest, repeat_result=repeat_result, size=size)
        self._calls.add_ended(key=key, ended=ended)

    def _store_key(self, key: ClaimKey) -> str:
        return self._prefix + key.digest()

    def _store_unavailable(self) -> Problem:
        return _problems.store_unavailable(retry_after_ms=self._retry_after())

    def _call_not_run(self) -> Problem:
        return _problems.call_not_run(retry_after_ms=self._retry_after())

    def _in_progress(self) -> InProgress:
        return InProgress(retry_after_ms=self._retry_after())

    def _retry_after(self) -> int:
        return MIN_RETRY_AFTER_MS + self._rng.randrange(RETRY_AFTER_JITTER_MS)


def _is_uncertain(result: Result[PutOutcome, StoreError]) -> bool:
    return isinstance(result, Failure) and result.failure().kind is StoreErrorKind.UNCERTAIN


def _exclude_granted(answer: Granted | Recorded | InProgress) -> Recorded | InProgress:
    assert not isinstance(answer, Granted)
    return answer


def _build_resolved_future(
    result: Result[None, StoreError],
) -> asyncio.Future[Result[None, StoreError]]:
    future: asyncio.Future[Result[None, StoreError]] = asyncio.get_running_loop().create_future()
    future.set_result(result)
    return future
