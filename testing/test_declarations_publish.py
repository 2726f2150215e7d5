"""Publishing: concurrent operators, lost messages, garbage collection and audit records."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from tanagerscale.audit import read_audit
from tanagerscale.core import Revision
from tanagerscale.declarations import ApplyErrorKind
from tanagerscale.declarations import encode_sections
from tanagerscale.declarations import read_accepted_revision
from tanagerscale.generated.declarations import DeclarationSet
from testing._declared import PREFIX
from testing._declared import apply
from testing._declared import make_declarations
from testing._fake_store import FakeStore

pytestmark = pytest.mark.looptime

CHUNKS = f"{PREFIX}/declarations/chunks/"


async def _accepted_set(store: FakeStore) -> tuple[int, dict[str, bytes]]:
    accepted = (await read_accepted_revision(store=store, prefix=PREFIX)).unwrap()
    assert accepted.chunked is not None
    return accepted.revision, accepted.chunked.sections()


def _chunk_keys(store: FakeStore) -> list[str]:
    return [key for key in store.backend.entries if key.startswith(CHUNKS)]


async def test_second_of_two_concurrent_applies_is_refused_with_the_diff() -> None:
    first = FakeStore(latency_ms=5)
    second = FakeStore(backend=first.backend, latency_ms=5)
    results = await asyncio.gather(
        apply(
            store=first,
            declarations=make_declarations(accounts=["crews"]),
            author="ana",
            expected_revision=0,
        ),
        apply(
            store=second,
            declarations=make_declarations(accounts=["chiefs"]),
            author="bo",
            expected_revision=0,
        ),
    )
    accepted = [result.unwrap() for result in results if result.value_or(None) is not None]
    assert len(accepted) == 1
    winner = accepted[0].author
    refused = results[1] if winner == "ana" else results[0]
    error = refused.failure()
    assert error.kind is ApplyErrorKind.CONFLICT
    assert (error.author, error.in_force) == (winner, 1)
    won = "crews" if winner == "ana" else "chiefs"
    assert any(f"[account {won}] added" in line for line in error.changes)
    assert await _accepted_set(first) == (
        1,
        encode_sections(declarations=_make_single_account_set(won)),
    )


def _make_single_account_set(account: str) -> DeclarationSet:
    return make_declarations(accounts=[account])


async def test_apply_is_refused_when_the_file_is_based_on_an_older_revision() -> None:
    store = FakeStore()
    await apply(store=store, declarations=make_declarations(), author="ana")
    await apply(
        store=store,
        declarations=make_declarations(memory_tokens=70000),
        author="bo",
        expected_revision=1,
    )
    result = await apply(
        store=store, declarations=make_declarations(engines=2), author="cy", expected_revision=1
    )
    error = result.failure()
    assert error.kind is ApplyErrorKind.CONFLICT
    line = "revision 2 by bo: [engine e1] changed: memory_tokens default -> 70000"
    assert error.changes == (line,)


@pytest.mark.parametrize("lost", ["request", "reply"])
@pytest.mark.parametrize("call", range(1, 3))
async def test_set_is_accepted_once_when_a_message_is_lost(lost: str, call: int) -> None:
    store = FakeStore()
    faulty = _NthWriteFault(store=store, call=call, lost=lost)
    head = (await apply(store=faulty.store, declarations=make_declarations())).unwrap()
    assert head.revision == 1
    assert (await _accepted_set(store))[0] == 1
    audit = await read_audit(store=store, prefix=PREFIX, newest=Revision(1), limit=5)
    assert [record.apply_id for record in audit.unwrap()] == [head.apply_id]


class _NthWriteFault:
    """Wraps a store and loses the request or reply of its nth write, counted from 1."""

    def __init__(self, *, store: FakeStore, call: int, lost: str) -> None:
        self.store = FakeStore(backend=store.backend)
        commit = self.store.commit
        self._left = call

        async def counted(**arguments: object) -> object:
            self._left -= 1
            if self._left == 0:
                self.store.lose_requests = int(lost == "request")
                self.store.lose_replies = int(lost == "reply")
            return await commit(**arguments)  # type: ignore[arg-type]

        self.store.commit = counted  # type: ignore[method-assign,assignment]


@pytest.mark.parametrize("others", [0, 1, 3])
async def test_retried_apply_returns_its_own_revision_when_later_ones_were_accepted(
    others: int,
) -> None:
    store = FakeStore()
    await apply(store=store, declarations=make_declarations(), apply_id="first")
    for number in range(others):
        await apply(store=store, declarations=make_declarations(engines=2 + number))
    again = await apply(
        store=store, declarations=make_declarations(), apply_id="first", is_retry=True
    )
    assert again.unwrap().revision == 1
    assert (await _accepted_set(store))[0] == 1 + others


async def test_retried_apply_is_accepted_when_the_first_attempt_was_not() -> None:
    store = FakeStore()
    await apply(store=store, declarations=make_declarations(engines=2))
    again = await apply(
        store=store, declarations=make_declarations(), apply_id="first", is_retry=True
    )
    assert again.unwrap().revision == 2


async def test_old_audit_records_are_deleted_when_there_are_many(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tanagerscale.declarations._chunk_store.MAX_AUDIT_RECORDS", 2)
    store = FakeStore()
    for engines in (1, 2, 3, 4):
        await apply(store=store, declarations=make_declarations(engines=engines))
    records = await read_audit(store=store, prefix=PREFIX, newest=Revision(4), limit=9)
    assert [record.revision for record in records.unwrap()] == [4, 3]


async def test_outcome_is_uncertain_when_the_store_is_unavailable_after_the_write() -> None:
    store = FakeStore()
    commit = store.commit

    async def once(**arguments: object) -> object:
        result = await commit(**arguments)  # type: ignore[arg-type]
        if any(key.endswith("/head") for key in store.backend.entries):
            store.set_down(True)
            return (await FakeStore(lose_requests=1).commit(puts=[])).alt(lambda error: error)
        return result

    store.commit = once  # type: ignore[method-assign,assignment]
    error = (await apply(store=store, declarations=make_declarations(), apply_id="same")).failure()
    assert error.kind is ApplyErrorKind.UNCERTAIN
    assert "--apply-id same" in error.detail
    healthy = FakeStore(backend=store.backend)
    assert (
        await apply(store=healthy, declarations=make_declarations(), apply_id="same", is_retry=True)
    ).unwrap()
    assert (await _accepted_set(healthy))[0] == 1


async def test_nothing_is_accepted_when_the_store_is_down() -> None:
    store = FakeStore(down=True)
    error = (await apply(store=store, declarations=make_declarations())).failure()
    assert error.kind is ApplyErrorKind.STORE_UNREACHABLE
    assert not store.backend.entries


async def test_chunks_are_deleted_when_no_revision_needs_them() -> None:
    store = FakeStore()
    for engines in (1, 2, 3):
        await apply(store=store, declarations=make_declarations(engines=engines))
    head = (await read_accepted_revision(store=store, prefix=PREFIX)).unwrap().head
    assert head is not None
    assert _chunk_keys(store) == [f"{CHUNKS}{digest}" for digest in head.chunks]


async def test_chunk_survives_when_another_apply_reuses_it_during_garbage_collection() -> None:
    """One operator deletes the chunk of revision 1 while another publishes the same content."""
    first_set, second_set = make_declarations(engines=1), make_declarations(engines=2)
    store = FakeStore()
    await apply(store=store, declarations=first_set, apply_id="1")
    collecting = FakeStore(backend=store.backend)
    commit = collecting.commit

    async def paused(**arguments: object) -> object:
        puts = arguments["puts"]
        if any(put.value is None for put in puts):  # type: ignore[attr-defined]
            back = await apply(store=store, declarations=first_set, author="bo", apply_id="3")
            assert back.unwrap().revision == 3
        return await commit(**arguments)  # type: ignore[arg-type]

    collecting.commit = paused  # type: ignore[method-assign,assignment]
    await apply(store=collecting, declarations=second_set, apply_id="2")
    assert await _accepted_set(store) == (3, encode_sections(declarations=first_set))


async def test_corrupt_chunk_is_rewritten_when_the_set_is_applied_again() -> None:
    store = FakeStore()
    await apply(store=store, declarations=make_declarations())
    store.backend.corrupt(key=_chunk_keys(store)[0], value=b"{}")
    head = (await apply(store=store, declarations=make_declarations())).unwrap()
    assert head.revision == 2
    assert await _accepted_set(store) == (2, encode_sections(declarations=make_declarations()))


async def test_audit_records_author_and_changes_without_secrets() -> None:
    store = FakeStore()
    await apply(store=store, declarations=make_declarations(accounts=["crews"]), author="ana")
    changed = make_declarations(accounts=["crews"])
    account = msgspec.structs.replace(changed.accounts[0], key_hash="$argon2id$other")
    changed = msgspec.structs.replace(changed, accounts=[account])
    await apply(store=store, declarations=changed, author="bo", expected_revision=1)
    records = (await read_audit(store=store, prefix=PREFIX, newest=Revision(2), limit=9)).unwrap()
    assert [(r.revision, r.previous_revision, r.author) for r in records] == [
        (2, 1, "bo"),
        (1, 0, "ana"),
    ]
    assert records[0].changes == ["[account crews] changed: key_hash replaced"]
