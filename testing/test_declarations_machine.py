"""Model-based test of several operators and hosts under random failures.

The revision of a host never decreases, the declarations in force are always exactly one accepted
set, an accepted set stays accepted, and once the failures end, the newest revision is in force on
all hosts.
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
from tanagerscale.declarations import encode_sections
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.messages import HeadContent
from tanagerscale.store import StoreEntry
from testing._declared import PREFIX
from testing._declared import apply
from testing._declared import make_declarations
from testing._declared import make_follower
from testing._fake_store import FakeBackend
from testing._fake_store import FakeStore
from testing._random_cases import random_case_settings

HOSTS = 3
OPERATORS = 2
CONVERGENCE_S = 30
HOST = st.integers(min_value=0, max_value=HOSTS - 1)
OPERATOR = st.integers(min_value=0, max_value=OPERATORS - 1)
CONTENT = st.integers(min_value=1, max_value=4)

_T = TypeVar("_T")


@dataclass(kw_only=True)
class _Host:
    store: FakeStore
    follower: Follower
    task: asyncio.Task[None]
    seen_revisions: list[int] = field(default_factory=list)


class DeclarationsMachine(RuleBasedStateMachine):
    """Operators apply sets and hosts follow them while the store and the network fail."""

    def __init__(self) -> None:
        super().__init__()
        self.loop: Any = looptime.new_event_loop()
        self.numbers = itertools.count(1)
        self.backend = self.run(_make_backend())
        self.operators = [FakeStore(backend=self.backend, latency_ms=3) for _ in range(OPERATORS)]
        self.attempts: dict[str, dict[str, bytes]] = {}
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.lost_chunks: list[StoreEntry] = []
        self.sent_messages: list[HeadContent] = []
        self.partitioned: set[frozenset[int]] = set()
        self.hosts = [
            self.run(self._start(FakeStore(backend=self.backend, latency_ms=2), number))
            for number in range(HOSTS)
        ]

    def run(self, work: Coroutine[Any, Any, _T]) -> _T:
        """Run a coroutine in virtual time."""
        result: _T = self.loop.run_until_complete(work)
        return result

    @rule(operator=OPERATOR, content=CONTENT, behind=st.integers(min_value=0, max_value=1))
    def operator_applies(self, operator: int, content: int, behind: int) -> None:
        """One operator applies a set based on the newest or on the previous revision."""
        self.run(self._apply(operator, make_declarations(engines=content), behind))

    @rule(first=CONTENT, second=CONTENT)
    def operators_apply_concurrently(self, first: int, second: int) -> None:
        """Both operators apply different sets concurrently."""
        self.run(
            _gather(
                self._apply(0, make_declarations(engines=first, max_batch=1), 0),
                self._apply(1, make_declarations(engines=second, max_batch=2), 0),
            )
        )

    @rule(operator=OPERATOR, replies=st.integers(0, 2), requests=st.integers(0, 2))
    def operator_messages_are_lost(self, operator: int, replies: int, requests: int) -> None:
        """The requests or replies of an operator's next writes are lost."""
        self.operators[operator].lose_replies = replies
        self.operators[operator].lose_requests = requests

    @rule(host=HOST, down=st.booleans())
    def host_loses_or_regains_the_store(self, host: int, down: bool) -> None:
        """The store becomes unavailable or available for one host."""
        self.run(_set_down(self.hosts[host].store, down))

    @rule(operator=OPERATOR, down=st.booleans())
    def operator_loses_or_regains_the_store(self, operator: int, down: bool) -> None:
        """The store becomes unavailable or available for one operator."""
        self.run(_set_down(self.operators[operator], down))

    @rule(host=HOST, stalled=st.booleans(), delay_ms=st.sampled_from([0, 2500]))
    def watch_stalls_or_is_delayed(self, host: int, stalled: bool, delay_ms: int) -> None:
        """The watch of a host stalls, is delayed, or recovers."""
        self.hosts[host].store.watch_stalled = stalled
        self.hosts[host].store.watch_delay_ms = delay_ms

    @rule()
    def history_is_compacted(self) -> None:
        """The store compacts its history."""
        self.run(_compact(self.backend))

    @rule()
    def newest_chunk_is_lost(self) -> None:
        """The newest chunk is lost from the store."""
        keys = [key for key in self.backend.entries if "/chunks/" in key]
        if keys:
            self.lost_chunks.append(self.backend.entries.pop(keys[-1]))

    @rule()
    def lost_chunks_are_restored(self) -> None:
        """All lost chunks are restored."""
        for entry in self.lost_chunks:
            self.backend.entries.setdefault(entry.key, entry)
        self.lost_chunks.clear()

    @rule(host=HOST)
    def host_restarts(self, host: int) -> None:
        """A host restarts without any state."""
        old = self.hosts[host]
        self.run(_stop(old))
        self.hosts[host] = self.run(self._start(old.store, host + next(self.numbers)))

    @rule(one=HOST, other=HOST, partitioned=st.booleans())
    def peers_are_partitioned_or_reconnected(self, one: int, other: int, partitioned: bool) -> None:
        """The connection between two hosts is cut or restored."""
        pair = frozenset({one, other})
        self.partitioned = self.partitioned | {pair} if partitioned else self.partitioned - {pair}

    @rule(seconds=st.sampled_from([0.01, 1, 7]))
    def time_passes(self, seconds: float) -> None:
        """Virtual time advances while tasks run."""
        self.run(asyncio.sleep(seconds))

    @rule()
    def peers_exchange_heads(self) -> None:
        """Each host receives the content and revisions of all reachable peers."""
        self.run(self._exchange_heads())

    @rule(host=HOST, pick=st.integers(min_value=0, max_value=20))
    def old_message_is_delivered(self, host: int, pick: int) -> None:
        """An old message of a peer is delivered late."""
        if self.sent_messages:
            old = self.sent_messages[pick % len(self.sent_messages)]
            target = self.hosts[host].follower
            self.run(target.offer_from_peer(head=old.head.encode(), chunks=old.chunks))

    @invariant()
    def declarations_in_force_are_one_accepted_set(self) -> None:
        """No host has a mixed set, a refused set or a decreasing revision."""
        for host in self.hosts:
            revisions = host.seen_revisions
            assert revisions == sorted(set(revisions))
            declarations = host.follower.declarations
            if declarations.revision:
                apply_id = self._get_audited_apply_id(declarations.revision)
                assert declarations.chunked.sections() == self.attempts[apply_id]
                assert len(declarations.engines) == sum(
                    title.startswith("engine ") for title in self.attempts[apply_id]
                )
            assert not (host.follower.ready.value and declarations.revision == 0)

    @invariant()
    def audit_trail_matches_apply_results(self) -> None:
        """Accepted sets are in the audit trail and refused sets are not."""
        for apply_id, revision in self.accepted.items():
            assert self._get_audited_apply_id(revision) == apply_id
        audited = {
            record.apply_id
            for key, entry in self.backend.entries.items()
            if "/audit/" in key and (record := decode_audit(value=entry.value)) is not None
        }
        assert not audited & self.refused

    def teardown(self) -> None:
        """End all failures and check that the newest revision is in force on all hosts."""
        self.lost_chunks_are_restored()
        for store in (*self.operators, *(host.store for host in self.hosts)):
            store.watch_stalled = False
            store.watch_delay_ms = 0
            self.run(_set_down(store, False))
        self.run(asyncio.sleep(CONVERGENCE_S))
        self.declarations_in_force_are_one_accepted_set()
        newest = sum("/audit/" in key for key in self.backend.entries)
        assert [host.follower.head_revision for host in self.hosts] == [newest] * HOSTS
        assert all(host.follower.ready.value == (newest > 0) for host in self.hosts)
        for host in self.hosts:
            self.run(_stop(host))
        self.loop.close()

    def _get_audited_apply_id(self, revision: int) -> str:
        entry = self.backend.entries[audit_key(prefix=PREFIX, revision=Revision(revision))]
        record = decode_audit(value=entry.value)
        assert record is not None
        return record.apply_id

    async def _start(self, store: FakeStore, seed: int) -> _Host:
        follower = make_follower(store=store, seed=seed)
        host = _Host(store=store, follower=follower, task=asyncio.create_task(follower.run()))
        follower.in_force.subscribe(
            lambda declarations: host.seen_revisions.append(declarations.revision)
        )
        return host

    async def _apply(self, operator: int, declarations: DeclarationSet, behind: int) -> None:
        apply_id = f"apply-{next(self.numbers)}"
        self.attempts[apply_id] = encode_sections(declarations=declarations)
        newest = sum("/audit/" in key for key in self.backend.entries)
        result = await apply(
            store=self.operators[operator],
            declarations=declarations,
            author=f"operator-{operator}",
            apply_id=apply_id,
            expected_revision=max(newest - behind, 0),
        )
        if isinstance(result, Success):
            if result.unwrap().apply_id == apply_id:
                self.accepted[apply_id] = result.unwrap().revision
        elif result.failure().kind is not ApplyErrorKind.UNCERTAIN:
            self.refused.add(apply_id)

    async def _exchange_heads(self) -> None:
        for number, host in enumerate(self.hosts):
            reachable = [
                peer
                for other, peer in enumerate(self.hosts)
                if other != number and frozenset({number, other}) not in self.partitioned
            ]
            for peer in reachable:
                await self._send_content(source=peer.follower, target=host.follower)
            host.follower.peers_agree(revisions=[p.follower.head_revision for p in reachable])

    async def _send_content(self, *, source: Follower, target: Follower) -> None:
        content = source.content_for_peer(have=target.head_revision)
        if content is not None:
            self.sent_messages.append(content)
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
