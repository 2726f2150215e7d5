"""Authentication of callers by key; checking a cached key takes microseconds."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Mapping
import hashlib
import secrets
from typing import final
from weakref import WeakValueDictionary

from msgspec import Struct

from tanagerscale.accounts._hashes import parse_account_name
from tanagerscale.accounts._hashes import verify_key
from tanagerscale.core import ClientAccountId
from tanagerscale.generated.declarations import ClientAccount

MAX_KEY_CHARS = 512
MAX_CACHED_KEYS = 20_000
MAX_CACHED_REJECTIONS = 4_096
MAX_CONCURRENT_HASHES = 2
DIGEST_BYTES = 16


class _CachedResult(Struct, frozen=True, kw_only=True):
    account: ClientAccountId
    key_hash: str


@final
class KeyChecker:
    """Authenticates client accounts by bearer token and caches the results.

    Results are cached under a digest keyed with a secret of this process, never under the token
    itself, and are valid only while the account's hash is unchanged.

    :param max_concurrent_hashes: Maximum number of hashes computed concurrently.
    """

    def __init__(self, *, max_concurrent_hashes: int = MAX_CONCURRENT_HASHES) -> None:
        self._accounts: Mapping[ClientAccountId, ClientAccount] = {}
        self._digest_key = secrets.token_bytes(DIGEST_BYTES)
        self._accepted: OrderedDict[bytes, _CachedResult] = OrderedDict()
        self._rejected: OrderedDict[bytes, _CachedResult] = OrderedDict()
        self._hash_slots = asyncio.Semaphore(max_concurrent_hashes)
        # One hash at a time per account, so that wrong keys for one account do not delay others.
        self._account_locks: WeakValueDictionary[ClientAccountId, asyncio.Lock] = (
            WeakValueDictionary()
        )

    def set_accounts(self, *, accounts: Mapping[ClientAccountId, ClientAccount]) -> None:
        """Replace the accounts that tokens are checked against.

        :param accounts: Accounts of the declarations in force, by id.
        """
        self._accounts = accounts

    async def check(self, *, bearer: str) -> ClientAccountId | None:
        """Return the account that a token authenticates.

        :param bearer: Token that follows ``Bearer`` in the ``Authorization`` header.
        :returns: Id of the account, or ``None`` if the token is invalid.
        """
        account_id = ClientAccountId(parse_account_name(key=bearer))
        account = self._accounts.get(account_id)
        if account is None or len(bearer) > MAX_KEY_CHARS:
            return None
        digest = self._digest(bearer)
        cached = self._get_cached(digest=digest, account=account)
        if cached is not None:
            return account_id if cached else None
        lock = self._account_locks.setdefault(account_id, asyncio.Lock())
        async with lock:
            # Another request may have checked the same token while this one waited for the lock.
            cached = self._get_cached(digest=digest, account=account)
            if cached is None:
                cached = await self._verify(bearer=bearer, digest=digest, account=account)
        return account_id if cached else None

    async def _verify(self, *, bearer: str, digest: bytes, account: ClientAccount) -> bool:
        async with self._hash_slots:
            accepted = await asyncio.to_thread(verify_key, key=bearer, key_hash=account.key_hash)
        cached_result = _CachedResult(
            account=ClientAccountId(account.name), key_hash=account.key_hash
        )
        cache, size = (
            (self._accepted, MAX_CACHED_KEYS)
            if accepted
            else (self._rejected, MAX_CACHED_REJECTIONS)
        )
        cache[digest] = cached_result
        if len(cache) > size:
            cache.popitem(last=False)
        return accepted

    def _get_cached(self, *, digest: bytes, account: ClientAccount) -> bool | None:
        for cache, accepted in ((self._accepted, True), (self._rejected, False)):
            cached_result = cache.get(digest)
            if cached_result is None:
                continue
            if cached_result.key_hash == account.key_hash:
                cache.move_to_end(digest)
                return accepted
            del cache[digest]
        return None

    def _digest(self, bearer: str) -> bytes:
        raw = bearer.encode("utf-8", "surrogatepass")
        return hashlib.blake2b(raw, key=self._digest_key, digest_size=DIGEST_BYTES).digest()
