"""What remains in the store of a host that withdraws while the store fails."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure
from returns.result import Result

from tanagerscale.store import LeaseId
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from testing._virtual_time import run_virtually
from testing.test_gateway_presence import GRACE_MS
from testing.test_gateway_presence import SETTLE_S
from testing.test_gateway_presence import PresenceHarness


# Guards against an entry that stays for 30 s since one call failed while its host still had most of
# its grace period: the lease was forgotten before the store had confirmed that it is revoked.
def test_entry_is_removed_when_the_first_revocation_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> list[str]:
        harness = PresenceHarness()
        await asyncio.sleep(SETTLE_S)
        revoke = harness.store.revoke
        failures = [StoreError(kind=StoreErrorKind.REFUSED, detail="The store is not available.")]

        async def revoke_later(*, lease: LeaseId) -> Result[None, StoreError]:
            return Failure(failures.pop()) if failures else await revoke(lease=lease)

        monkeypatch.setattr(harness.store, "revoke", revoke_later)
        await harness.presence.withdraw()
        await asyncio.sleep(GRACE_MS / 1000)
        return list(harness.store.backend.entries)

    assert run_virtually(scenario()) == []
