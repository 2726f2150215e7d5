"""Keeping convictions in the store for hosts that start later."""

from __future__ import annotations

import asyncio
import random
from typing import Final
from typing import final

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.generated.messages import Verdict
from tanagerscale.store import ConditionalPut
from tanagerscale.store import Store
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision

RETRY_MS: Final = 2000
MAX_PENDING: Final = 1000


@final
class VerdictKeeper:
    """Writes convictions under leases that end with them, through outages of the store.

    :param store: Where they stand.
    :param prefix: First part of their keys.
    :param clock: Paces the retries.
    :param rng: Spreads them.
    """

    def __init__(self, *, store: Store, prefix: str, clock: Clock, rng: random.Random) -> None:
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    def keep(self, *, verdict: Verdict, expires: Millis) -> None:
        """Write a conviction in the background."""
        if len(self._tasks) >= MAX_PENDING:
            return
        task = asyncio.get_running_loop().create_task(self._write(verdict, expires))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def load(self) -> Result[list[Verdict], StoreError]:
        """Read the convictions that stand; malformed ones are left out."""
        listed = await self._store.list(prefix=self._prefix)
        return listed.map(
            lambda found: [
                verdict
                for entry in found.entries
                if (verdict := decode_verdict(entry.value)) is not None
            ]
        )

    async def close(self) -> None:
        """Give up what is not yet written."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _write(self, verdict: Verdict, expires: Millis) -> None:
        while (left_ms := expires - self._clock.now()) > 0:
            result = await self._write_once(verdict, ttl_s=left_ms // MS_PER_SECOND + 1)
            if isinstance(result, Success):
                return
            if result.failure().kind is StoreErrorKind.REFUSED:
                return
            await self._clock.sleep(RETRY_MS + self._rng.randrange(RETRY_MS))

    async def _write_once(self, verdict: Verdict, *, ttl_s: int) -> Result[None, StoreError]:
        granted = await self._store.grant_lease(ttl_s=ttl_s)
        if isinstance(granted, Failure):
            return Failure(granted.failure())
        put = ConditionalPut(
            key=self._prefix + verdict.fingerprint,
            value=msgspec.json.encode(verdict),
            expected_mod_revision=StoreRevision(0),
            lease=granted.unwrap(),
        )
        # Another host may have written it before; all hosts mean the same.
        committed = await self._store.commit(puts=[put])
        return committed.map(lambda _: None)


def decode_verdict(value: bytes) -> Verdict | None:
    """Decode a stored verdict; ``None`` when it is malformed."""
    try:
        return msgspec.json.decode(value, type=Verdict)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
