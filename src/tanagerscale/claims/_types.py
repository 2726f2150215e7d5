"""What claims are asked and what they answer."""

from __future__ import annotations

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

LENGTH_BYTES = 4


class ClaimKey(Struct, frozen=True, kw_only=True):
    """What names one call that may not be repeated.

    :param account: The client account that makes it.
    :param service: The service that runs it.
    :param idempotency_key: The caller's own key.
    """

    account: ClientAccountId
    service: ServiceId
    idempotency_key: str

    def digest(self) -> str:
        """Return a name of bounded length that no other key has."""
        digest = hashlib.sha256()
        for part in (self.account, self.service, self.idempotency_key):
            content = part.encode("utf-8", "surrogatepass")
            digest.update(len(content).to_bytes(LENGTH_BYTES, "big"))
            digest.update(content)
        return digest.hexdigest()


class ClaimOutcome(Struct, frozen=True, kw_only=True):
    """How a claimed call ended.

    :param state: ``DONE``, ``NOT_EXECUTED`` or ``UNKNOWN``.
    :param status: HTTP status of the answer when done.
    :param content_type: Its content type.
    :param body: Its body.
    """

    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class Granted(Struct, frozen=True, kw_only=True):
    """The one permission to dispatch a call; settle it whatever happens.

    :param key: The claimed key.
    :param request_digest: Digest of the request that claimed it.
    :param nonce: Tells this attempt from all others.
    :param mod_revision: Revision of the claim in the store.
    :param lease: Lease that the claim lives under.
    :param claimed_wall_ms: When it was claimed, milliseconds since 1970.
    :param deadline: From when on the call must not be dispatched, on the monotonic clock.
    :param expires: Until when the claim is sure to stand in the store, on the monotonic clock.
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
        """Tell whether the call may still be sent; ask immediately before sending it.

        :param now: The monotonic clock's present time.
        """
        return now < self.deadline


class Recorded(Struct, frozen=True, kw_only=True):
    """The call has run before, and this is its answer.

    :param outcome: A ``DONE`` outcome.
    """

    outcome: ClaimOutcome


class InProgress(Struct, frozen=True, kw_only=True):
    """The call is running, so it must not be sent again.

    :param retry_after_ms: When to ask again, in milliseconds.
    """

    retry_after_ms: int

    @property
    def problem(self) -> Problem:
        """The answer to the caller."""
        return Problem(
            kind=ProblemKind.IN_PROGRESS,
            detail="A call with this Idempotency-Key is still running; repeat it later to get "
            "its answer.",
            execution=Execution.UNKNOWN,
            retry_after_ms=self.retry_after_ms,
        )
