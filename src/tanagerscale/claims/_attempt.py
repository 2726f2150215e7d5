"""One trial to claim a key."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from tanagerscale.claims._recorder import Pending
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
"""How old a claim may be when its call is sent; far below the least time a claim stands."""


class Attempt(Struct, kw_only=True):
    """One trial to claim a key.

    :param key: The key.
    :param store_key: Where its claim is to stand.
    :param record: The claim.
    :param ttl_s: How long it is to stand, in seconds.
    :param started: When the trial began.
    :param last_put: The write that may have taken effect, or may still do so.
    """

    key: ClaimKey
    store_key: str
    record: ClaimRecord
    ttl_s: int
    started: Millis
    last_put: ConditionalPut | None = None

    @property
    def expires(self) -> Millis:
        """Until when the claim is sure to stand."""
        return Millis(self.started + self.ttl_s * MS_PER_SECOND)

    def to_granted(self, *, revision: StoreRevision, lease: LeaseId) -> Granted:
        """Return the permission that a claim which stands gives."""
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

    def to_released(self) -> Pending | None:
        """Return the record that makes the claim free; ``None`` when nothing was written."""
        if self.last_put is None:
            return None
        outcome = ClaimOutcome(state=ClaimState.NOT_EXECUTED)
        return Pending(
            store_key=self.store_key,
            record=to_record(claimed=self.record, outcome=outcome),
            expected=self.last_put.expected_mod_revision,
            lease=self.last_put.lease,
            expires=self.expires,
        )
