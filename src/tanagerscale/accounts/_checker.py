"""Checks of callers' keys that cost microseconds once a key is known."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Mapping
import hashlib
import secrets
from typing import final
from weakref import WeakValueDictionary

from msgspec import Struct

from tanagerscale.accounts._hashes import account_of
from tanagerscale.accounts._hashes import matches
from tanagerscale.core import ClientAccountId
from tanagerscale.generated.declarations import ClientAccount

MAX_KEY_LENGTH = 512
CACHED_KEYS = 20_000
CACHED_REFUSALS = 4_096
CONCURRENT_CHECKS = 2
DIGEST_BYTES = 16


class _Verdict(Struct, frozen=True, kw_only=True):
    account: ClientAccountId
    key_hash: str


@final
class KeyChecker:
    """Finds the account that a bearer token belongs to.

    Results are remembered under a digest keyed with a secret of this process, never under the
    token itself, and hold only as long as the account's hash stays the same.

    :param concurrent_checks: How many hashes may be computed at once.
    """

    def __init__(self, *, concurrent_checks: int = CONCURRENT_CHECKS) -> None:
        self._accounts: Mapping[ClientAccountId, ClientAccount] = {}
        self._digest_key = secrets.token_bytes(DIGEST_BYTES)
        self._accepted: OrderedDict[bytes, _Verdict] = OrderedDict()
        self._refused: OrderedDict[bytes, _Verdict] = OrderedDict()
        self._slots = asyncio.Semaphore(concurrent_checks)
        # One check at a time for each account, so that wrong keys for one hold up no other.
        self._turns: WeakValueDictionary[ClientAccountId, asyncio.Lock] = WeakValueDictionary()

    def set_accounts(self, *, accounts: Mapping[ClientAccountId, ClientAccount]) -> None:
        """Check against these accounts from now on.

        :param accounts: The accounts of the declarations in force, by id.
        """
        self._accounts = accounts

    async def check(self, *, bearer: str) -> ClientAccountId | None:
        """Find the account of a token.

        :param bearer: What stands after ``Bearer`` in the ``Authorization`` header.
        :returns: The account, or ``None`` when the token is nobody's.
        """
        account_id = ClientAccountId(account_of(key=bearer))
        account = self._accounts.get(account_id)
        if account is None or len(bearer) > MAX_KEY_LENGTH:
            return None
        digest = self._digest(bearer)
        known = self._remembered(digest=digest, account=account)
        if known is not None:
            return account_id if known else None
        turn = self._turns.setdefault(account_id, asyncio.Lock())
        async with turn:
            # The same token may have been checked while this one waited for its turn.
            known = self._remembered(digest=digest, account=account)
            if known is None:
                known = await self._verify(bearer=bearer, digest=digest, account=account)
        return account_id if known else None

    async def _verify(self, *, bearer: str, digest: bytes, account: ClientAccount) -> bool:
        async with self._slots:
            accepted = await asyncio.to_thread(matches, key=bearer, key_hash=account.key_hash)
        verdict = _Verdict(account=ClientAccountId(account.name), key_hash=account.key_hash)
        cache, size = (
            (self._accepted, CACHED_KEYS) if accepted else (self._refused, CACHED_REFUSALS)
        )
        cache[digest] = verdict
        if len(cache) > size:
            cache.popitem(last=False)
        return accepted

    def _remembered(self, *, digest: bytes, account: ClientAccount) -> bool | None:
        for cache, accepted in ((self._accepted, True), (self._refused, False)):
            verdict = cache.get(digest)
            if verdict is None:
                continue
            if verdict.key_hash == account.key_hash:
                cache.move_to_end(digest)
                return accepted
            del cache[digest]
        return None

    def _digest(self, bearer: str) -> bytes:
        raw = bearer.encode("utf-8", "surrogatepass")
        return hashlib.blake2b(raw, key=self._digest_key, digest_size=DIGEST_BYTES).digest()
