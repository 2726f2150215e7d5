"""Storage of convictions for hosts that start later."""

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
from tanagerscale.core import decode_json
from tanagerscale.generated.messages import Verdict
from tanagerscale.store import ConditionalPut
from tanagerscale.store import Store
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision

RETRY_DELAY_MS: Final = 2000
MAX_PENDING_WRITES: Final = 1000


@final
class ConvictionStore:
    """Writes convictions under leases with the same expiry, and retries during store outages.

    :param store: Store that holds the convictions.
    :param prefix: Prefix of their keys.
    :param clock: Clock that times the expiry and the retry delays.
    :param rng: Random number generator for the jitter of the retry delays.
    """

    def __init__(self, *, store: Store, prefix: str, clock: Clock, rng: random.Random) -> None:
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    def save(self, *, verdict: Verdict, expires: Millis) -> None:
        """Write a conviction in the background.

        It is dropped when ``MAX_PENDING_WRITES`` writes are pending.

        :param verdict: Conviction to write.
        :param expires: When it expires, on the monotonic clock.
        """
        if len(self._tasks) >= MAX_PENDING_WRITES:
            return
        task = asyncio.get_running_loop().create_task(self._write(verdict, expires))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def load(self) -> Result[list[Verdict], StoreError]:
        """Read the stored convictions, without malformed ones."""
        listed = await self._store.list(prefix=self._prefix)
        return listed.map(
            lambda found: [
                verdict
                for entry in found.entries
                if (verdict := decode_verdict(entry.value)) is not None
            ]
        )

    async def close(self) -> None:
        """Cancel the pending writes."""
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
            await self._clock.sleep(RETRY_DELAY_MS + self._rng.randrange(RETRY_DELAY_MS))

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
        # The key may exist already: another host wrote the same conviction.
        committed = await self._store.commit(puts=[put])
        return committed.map(lambda _: None)


def decode_verdict(value: bytes) -> Verdict | None:
    """Decode a stored verdict.

    :returns: The verdict; ``None`` if it is malformed.
    """
    return decode_json(value, Verdict).value_or(None)
