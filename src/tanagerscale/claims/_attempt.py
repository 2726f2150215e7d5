"""An attempt to claim a key."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from tanagerscale.claims._recorder import PendingRecord
from tanagerscale.claims._records import to_record
from tanagerscale.claims._types import ClaimKey
from tanagerscale.claims._types import ClaimOutcome
from tanagerscale.claims._types import Granted
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.generated.records import ClaimRecord
from tanagerscale.generated.records import ClaimState
from tanagerscale.store import ConditionalPut
from tanagerscale.store import LeaseId
from tanagerscale.store import StoreRevision

DISPATCH_WINDOW_MS: Final = 10_000
"""Maximum age of a claim when its call is sent; well below the minimum lifetime of a claim."""


class ClaimAttempt(Struct, kw_only=True):
    """An attempt to claim a key.

    :param key: Key to claim.
    :param store_key: Store key of the claim.
    :param record: Record to write.
    :param ttl_s: Lifetime of the claim, in seconds.
    :param started: When the attempt began, on the monotonic clock.
    :param last_put: Last submitted write, which may have taken effect or may still do so; ``None``
        if nothing was submitted.
    """

    key: ClaimKey
    store_key: str
    record: ClaimRecord
    ttl_s: int
    started: Millis
    last_put: ConditionalPut | None = None

    @property
    def expires(self) -> Millis:
        """Time until which the claim is guaranteed to exist, on the monotonic clock."""
        return Millis(self.started + self.ttl_s * MS_PER_SECOND)

    def to_granted(self, *, revision: StoreRevision, lease: LeaseId) -> Granted:
        """Return the grant for a claim that has been written.

        :param revision: Revision of the claim in the store.
        :param lease: Lease that the claim was written under.
        """
        window = min(DISPATCH_WINDOW_MS, self.ttl_s * MS_PER_SECOND // 2)
        return Granted(
            key=self.key,
            request_digest=self.record.request_digest,
            nonce=self.record.nonce,
            mod_revision=revision,
            lease=lease,
            claimed_wall_ms=self.record.claimed_wall_ms,
            deadline=Millis(self.started + window),
            expires=self.expires,
        )

    def to_release_record(self) -> PendingRecord | None:
        """Return the record that releases the claim; ``None`` if nothing was submitted."""
        if self.last_put is None:
            return None
        outcome = ClaimOutcome(state=ClaimState.NOT_EXECUTED)
        return PendingRecord(
            store_key=self.store_key,
            record=to_record(claimed=self.record, outcome=outcome),
            expected=self.last_put.expected_mod_revision,
            lease=self.last_put.lease,
            expires=self.expires,
        )
