"""Keys of client accounts: hashes, cached results and cache limits."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest

from tanagerscale.accounts import KeyChecker
from tanagerscale.accounts import _checker as checker_module
from tanagerscale.accounts import check_hash
from tanagerscale.accounts import generate_key
from tanagerscale.accounts._checker import MAX_CONCURRENT_HASHES
from tanagerscale.accounts._hashes import verify_key
from tanagerscale.core import ClientAccountId
from tanagerscale.generated.declarations import ClientAccount

CREWS = ClientAccountId("crews")


def _make_checker(*accounts: tuple[str, str]) -> KeyChecker:
    checker = KeyChecker()
    checker.set_accounts(
        accounts={
            ClientAccountId(name): ClientAccount(name=name, key_hash=key_hash)
            for name, key_hash in accounts
        }
    )
    return checker


@pytest.fixture
def hashed_keys(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Keys whose hashes were computed, in order of computation."""
    computed: list[str] = []

    def counted(*, key: str, key_hash: str) -> bool:
        computed.append(key)
        return verify_key(key=key, key_hash=key_hash)

    monkeypatch.setattr(checker_module, "verify_key", counted)
    return computed


async def test_key_authenticates_only_its_own_account() -> None:
    crews, chiefs = generate_key(account="crews"), generate_key(account="chiefs.east")
    checker = _make_checker(("crews", crews.key_hash), ("chiefs.east", chiefs.key_hash))
    assert await checker.check(bearer=crews.key) == "crews"
    assert await checker.check(bearer=chiefs.key) == "chiefs.east"
    stolen = "crews." + chiefs.key.rpartition(".")[2]
    for wrong in ("", ".", "crews", "crews.", stolen, crews.key + "x", "é\udcff.x", "x" * 9999):
        assert await checker.check(bearer=wrong) is None


async def test_hash_is_computed_once_when_a_key_is_reused(hashed_keys: list[str]) -> None:
    generated = generate_key(account="crews")
    checker = _make_checker(("crews", generated.key_hash))
    results = await asyncio.gather(*(checker.check(bearer=generated.key) for _ in range(5)))
    wrong = [await checker.check(bearer="crews.wrong") for _ in range(3)]
    assert results == ["crews"] * 5
    assert wrong == [None] * 3
    assert hashed_keys == [generated.key, "crews.wrong"]


async def test_old_key_is_refused_immediately_after_its_hash_is_replaced() -> None:
    old, new = generate_key(account="crews"), generate_key(account="crews")
    checker = _make_checker(("crews", old.key_hash))
    assert await checker.check(bearer=old.key) == CREWS
    assert await checker.check(bearer=new.key) is None
    checker.set_accounts(accounts={CREWS: ClientAccount(name="crews", key_hash=new.key_hash)})
    assert await checker.check(bearer=old.key) is None
    assert await checker.check(bearer=new.key) == CREWS
    checker.set_accounts(accounts={})
    assert await checker.check(bearer=new.key) is None


# Guards against checking a key against the hash that was in force before the check had to wait.
@pytest.mark.parametrize("is_removed", [False, True])
async def test_waiting_check_uses_the_accounts_in_force_when_they_change_meanwhile(
    is_removed: bool,
) -> None:
    old, new = generate_key(account="crews"), generate_key(account="crews")
    checker = _make_checker(("crews", old.key_hash))
    async with AsyncExitStack() as stack:
        for _ in range(MAX_CONCURRENT_HASHES):
            await stack.enter_async_context(checker._hash_slots)
        checking = asyncio.create_task(checker.check(bearer=(old if is_removed else new).key))
        await asyncio.sleep(0)
        replaced = {CREWS: ClientAccount(name="crews", key_hash=new.key_hash)}
        checker.set_accounts(accounts={} if is_removed else replaced)
    assert await checking == (None if is_removed else CREWS)


async def test_cache_size_is_bounded_when_many_wrong_keys_are_checked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(checker_module, "MAX_CACHED_REJECTIONS", 3)
    monkeypatch.setattr(checker_module, "verify_key", lambda *, key, key_hash: False)
    checker = _make_checker(("crews", "any"))
    for number in range(10):
        await checker.check(bearer=f"crews.{number}")
    assert len(checker._rejected) == 3
    assert not any(b"crews" in digest for digest in checker._rejected)


def test_hash_is_refused_when_it_is_a_key_or_too_costly() -> None:
    generated = generate_key(account="crews")
    assert check_hash(key_hash=generated.key_hash) == ""
    assert check_hash(key_hash=generated.key)
    assert check_hash(key_hash=generated.key_hash.replace("m=8192", "m=9999999"))
