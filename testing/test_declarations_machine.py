"""Several operators and hosts under random failures, checked against a model.

Revisions only rise on a host; what is in force is always one accepted set as a whole; an accepted
set stays accepted; and when the failures end, the newest is in force everywhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
import itertools
from typing import Any
from typing import TypeVar

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
import looptime
from returns.result import Success

from tanagerscale.audit import audit_key
from tanagerscale.audit import decode_audit
from tanagerscale.core import Revision
from tanagerscale.declarations import ApplyErrorKind
from tanagerscale.declarations import Follower
from tanagerscale.declarations import to_sections
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.messages import HeadContent
from tanagerscale.store import StoreEntry
from testing._declared import PREFIX
from testing._declared import apply
from testing._declared import declare
from testing._declared import follow
from testing._fake_store import FakeBackend
from testing._fake_store import FakeStore
from testing._random_cases import random_case_settings

HOSTS = 3
OPERATORS = 2
QUIET_S = 30
HOST = st.integers(min_value=0, max_value=HOSTS - 1)
OPERATOR = st.integers(min_value=0, max_value=OPERATORS - 1)
CONTENT = st.integers(min_value=1, max_value=4)

_T = TypeVar("_T")


@dataclass(kw_only=True)
class _Host:
    store: FakeStore
    follower: Follower
    task: asyncio.Task[None]
    seen: list[int] = field(default_factory=list)


class DeclarationsMachine(RuleBasedStateMachine):
    """Operators apply, hosts follow, everything fails."""

    def __init__(self) -> None:
        super().__init__()
        self.loop: Any = looptime.new_event_loop()
        self.numbers = itertools.count(1)
        self.backend = self.run(_make_backend())
        self.operators = [FakeStore(backend=self.backend, latency_ms=3) for _ in range(OPERATORS)]
        self.attempts: dict[str, dict[str, bytes]] = {}
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.lost: list[StoreEntry] = []
        self.sent: list[HeadContent] = []
        self.cut: set[frozenset[int]] = set()
        self.hosts = [
            self.run(self._start(FakeStore(backend=self.backend, latency_ms=2), number))
            for number in range(HOSTS)
        ]

    def run(self, work: Coroutine[Any, Any, _T]) -> _T:
        """Run something in virtual time."""
        result: _T = self.loop.run_until_complete(work)
        return result

    @rule(operator=OPERATOR, content=CONTENT, behind=st.integers(min_value=0, max_value=1))
    def one_applies(self, operator: int, content: int, behind: int) -> None:
        """One operator applies, perhaps a file made from the revision before."""
        self.run(self._apply(operator, declare(engines=content), behind))

    @rule(first=CONTENT, second=CONTENT)
    def two_apply_at_once(self, first: int, second: int) -> None:
        """Both operators apply different files at the same moment."""
        self.run(
            _gather(
                self._apply(0, declare(engines=first, max_batch=1), 0),
                self._apply(1, declare(engines=second, max_batch=2), 0),
            )
        )

    @rule(operator=OPERATOR, replies=st.integers(0, 2), requests=st.integers(0, 2))
    def messages_get_lost(self, operator: int, replies: int, requests: int) -> None:
        """The next writes of an operator lose their requests or replies."""
        self.operators[operator].lose_replies = replies
        self.operators[operator].lose_requests = requests

    @rule(host=HOST, down=st.booleans())
    def store_leaves_a_host_or_returns(self, host: int, down: bool) -> None:
        """The store is down for one host, or back."""
        self.run(_set_down(self.hosts[host].store, down))

    @rule(operator=OPERATOR, down=st.booleans())
    def store_leaves_an_operator_or_returns(self, operator: int, down: bool) -> None:
        """The store is down for one operator, or back."""
        self.run(_set_down(self.operators[operator], down))

    @rule(host=HOST, stalled=st.booleans(), delay_ms=st.sampled_from([0, 2500]))
    def watch_stalls_or_is_slow(self, host: int, stalled: bool, delay_ms: int) -> None:
        """A host's watch delivers nothing, late, or well."""
        self.hosts[host].store.watch_stalled = stalled
        self.hosts[host].store.watch_delay_ms = delay_ms

    @rule()
    def history_is_compacted(self) -> None:
        """The store forgets its history."""
        self.run(_compact(self.backend))

    @rule()
    def newest_chunk_is_lost(self) -> None:
        """A chunk vanishes from the store."""
        keys = [key for key in self.backend.entries if "/chunks/" in key]
        if keys:
            self.lost.append(self.backend.entries.pop(keys[-1]))

    @rule()
    def chunks_are_mended(self) -> None:
        """Vanished chunks are back."""
        for entry in self.lost:
            self.backend.entries.setdefault(entry.key, entry)
        self.lost.clear()

    @rule(host=HOST)
    def host_restarts(self, host: int) -> None:
        """A host starts anew with nothing."""
        old = self.hosts[host]
        self.run(_stop(old))
        self.hosts[host] = self.run(self._start(old.store, host + next(self.numbers)))

    @rule(one=HOST, other=HOST, cut=st.booleans())
    def peers_are_cut_off_or_joined(self, one: int, other: int, cut: bool) -> None:
        """Two hosts lose each other, or find each other."""
        pair = frozenset({one, other})
        self.cut = self.cut | {pair} if cut else self.cut - {pair}

    @rule(seconds=st.sampled_from([0.01, 1, 7]))
    def time_passes(self, seconds: float) -> None:
        """Tasks go on."""
        self.run(asyncio.sleep(seconds))

    @rule()
    def peers_talk(self) -> None:
        """Each host hears from all peers that it reaches."""
        self.run(self._talk())

    @rule(host=HOST, pick=st.integers(min_value=0, max_value=20))
    def old_message_arrives(self, host: int, pick: int) -> None:
        """A peer's message of long ago arrives late."""
        if self.sent:
            old = self.sent[pick % len(self.sent)]
            target = self.hosts[host].follower
            self.run(target.offer_from_peer(head=old.head.encode(), chunks=old.chunks))

    @invariant()
    def what_is_in_force_is_one_accepted_set(self) -> None:
        """No host has a mix, a refused set or a lower revision."""
        for host in self.hosts:
            revisions = host.seen
            assert revisions == sorted(set(revisions))
            declarations = host.follower.declarations
            if declarations.revision:
                apply_id = self._audited(declarations.revision)
                assert declarations.chunked.sections() == self.attempts[apply_id]
                assert len(declarations.engines) == sum(
                    title.startswith("engine ") for title in self.attempts[apply_id]
                )
            assert not (host.follower.ready.value and declarations.revision == 0)

    @invariant()
    def accepted_stays_accepted_and_refused_stays_refused(self) -> None:
        """The audit trail agrees with what operators were told."""
        for apply_id, revision in self.accepted.items():
            assert self._audited(revision) == apply_id
        audited = {
            record.apply_id
            for key, entry in self.backend.entries.items()
            if "/audit/" in key and (record := decode_audit(value=entry.value)) is not None
        }
        assert not audited & self.refused

    def teardown(self) -> None:
        """End all failures; then the newest revision is in force everywhere."""
        self.chunks_are_mended()
        for store in (*self.operators, *(host.store for host in self.hosts)):
            store.watch_stalled = False
            store.watch_delay_ms = 0
            self.run(_set_down(store, False))
        self.run(asyncio.sleep(QUIET_S))
        self.what_is_in_force_is_one_accepted_set()
        newest = sum("/audit/" in key for key in self.backend.entries)
        assert [host.follower.head_revision for host in self.hosts] == [newest] * HOSTS
        assert all(host.follower.ready.value == (newest > 0) for host in self.hosts)
        for host in self.hosts:
            self.run(_stop(host))
        self.loop.close()

    def _audited(self, revision: int) -> str:
        entry = self.backend.entries[audit_key(prefix=PREFIX, revision=Revision(revision))]
        record = decode_audit(value=entry.value)
        assert record is not None
        return record.apply_id

    async def _start(self, store: FakeStore, seed: int) -> _Host:
        follower = follow(store=store, seed=seed)
        host = _Host(store=store, follower=follower, task=asyncio.create_task(follower.run()))
        follower.in_force.subscribe(lambda declarations: host.seen.append(declarations.revision))
        return host

    async def _apply(self, operator: int, declarations: DeclarationSet, behind: int) -> None:
        apply_id = f"apply-{next(self.numbers)}"
        self.attempts[apply_id] = to_sections(declarations=declarations)
        newest = sum("/audit/" in key for key in self.backend.entries)
        result = await apply(
            store=self.operators[operator],
            declarations=declarations,
            author=f"operator-{operator}",
            apply_id=apply_id,
            expected=max(newest - behind, 0),
        )
        if isinstance(result, Success):
            if result.unwrap().apply_id == apply_id:
                self.accepted[apply_id] = result.unwrap().revision
        elif result.failure().kind is not ApplyErrorKind.UNCERTAIN:
            self.refused.add(apply_id)

    async def _talk(self) -> None:
        for number, host in enumerate(self.hosts):
            reachable = [
                peer
                for other, peer in enumerate(self.hosts)
                if other != number and frozenset({number, other}) not in self.cut
            ]
            for peer in reachable:
                await self._carry(source=peer.follower, target=host.follower)
            host.follower.peers_agree(revisions=[p.follower.head_revision for p in reachable])

    async def _carry(self, *, source: Follower, target: Follower) -> None:
        content = source.content_for_peer(have=target.head_revision)
        if content is not None:
            self.sent.append(content)
            await target.offer_from_peer(head=content.head.encode(), chunks=content.chunks)


async def _make_backend() -> FakeBackend:
    return FakeBackend()


async def _gather(*work: Coroutine[Any, Any, None]) -> None:
    await asyncio.gather(*work)


async def _set_down(store: FakeStore, down: bool) -> None:
    store.set_down(down)


async def _compact(backend: FakeBackend) -> None:
    backend.compact()


async def _stop(host: _Host) -> None:
    host.task.cancel()
    await asyncio.gather(host.task, return_exceptions=True)


TestDeclarationsMachine = DeclarationsMachine.TestCase
TestDeclarationsMachine.settings = random_case_settings(examples=60, steps=30)
