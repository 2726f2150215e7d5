"""Keys, outcomes and results of claims."""

from __future__ import annotations

import asyncio
import hashlib

from msgspec import Struct

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Execution
from tanagerscale.core import Millis
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import ServiceId
from tanagerscale.generated.records import ClaimState
from tanagerscale.store import LeaseId
from tanagerscale.store import StoreRevision

LENGTH_PREFIX_BYTES = 4


class ClaimCancelled(asyncio.CancelledError):
    """A claim was cancelled and released before its call could be sent."""


class ClaimKey(Struct, frozen=True, kw_only=True):
    """Identifies one call that is not idempotent.

    :param account: Client account of the caller.
    :param service: Service that runs the call.
    :param idempotency_key: Idempotency key that the caller sent.
    """

    account: ClientAccountId
    service: ServiceId
    idempotency_key: str

    def digest(self) -> str:
        """Return a digest of fixed length; each part is length-prefixed to avoid ambiguity."""
        digest = hashlib.sha256()
        for part in (self.account, self.service, self.idempotency_key):
            content = part.encode("utf-8", "surrogatepass")
            digest.update(len(content).to_bytes(LENGTH_PREFIX_BYTES, "big"))
            digest.update(content)
        return digest.hexdigest()


class ClaimOutcome(Struct, frozen=True, kw_only=True):
    """Outcome of a claimed call.

    :param state: ``DONE``, ``NOT_EXECUTED`` or ``UNKNOWN``.
    :param status: HTTP status of the answer if ``DONE``.
    :param content_type: Content type of the answer.
    :param body: Body of the answer.
    """

    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class Granted(Struct, frozen=True, kw_only=True):
    """The only permission to dispatch a call; it must be settled in every case.

    :param key: Claimed key.
    :param request_digest: Digest of the request that claimed it.
    :param nonce: Unique id of the attempt to claim it.
    :param mod_revision: Revision of the claim in the store.
    :param lease: Lease that the claim was written under.
    :param claimed_wall_ms: When it was claimed, in milliseconds since 1970.
    :param deadline: Time from which the call must not be dispatched, on the monotonic clock.
    :param expires: Time until which the claim is guaranteed to exist in the store, on the
        monotonic clock.
    """

    key: ClaimKey
    request_digest: str
    nonce: str
    mod_revision: StoreRevision
    lease: LeaseId
    claimed_wall_ms: int
    deadline: Millis
    expires: Millis

    def may_dispatch(self, *, now: Millis) -> bool:
        """Return whether the call may still be sent; to be checked immediately before sending.

        :param now: Current time on the monotonic clock.
        """
        return now < self.deadline


class Recorded(Struct, frozen=True, kw_only=True):
    """Recorded answer of a call that has already run.

    :param outcome: Outcome with the state ``DONE``.
    """

    outcome: ClaimOutcome


class InProgress(Struct, frozen=True, kw_only=True):
    """The call is still running and must not be sent again.

    :param retry_after_ms: Delay before the caller should retry, in milliseconds.
    """

    retry_after_ms: int

    @property
    def problem(self) -> Problem:
        """Problem to return to the caller."""
        return Problem(
            kind=ProblemKind.IN_PROGRESS,
            detail="A call with this Idempotency-Key is still running; repeat it later to get "
            "its answer.",
            execution=Execution.UNKNOWN,
            retry_after_ms=self.retry_after_ms,
        )
