"""What hosts know of evacuations through lost, late and repeated news, as a state machine.

The pattern: operators evacuate and take back failure domains in quick succession while some hosts
read the store and the others hear from these, over links that lose, delay and repeat messages.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import cast

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from tanagerscale.coordination import ListFeed
from tanagerscale.coordination._feed import BEHIND_MS
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import ListTopic
from tanagerscale.membership import Evacuations
from tanagerscale.membership import Message
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from testing._random_cases import cases

PREFIX = "evacuate/"
DOMAINS = ("a", "b", "c")
READERS = ("reader-0", "reader-1")
MEMBERS = ("member-0", "member-1")
HOSTS = READERS + MEMBERS


class _StoppedClock:
    """Time that passes when it is told to."""

    def __init__(self) -> None:
        self.at = 1

    def now(self) -> Millis:
        """Return the time."""
        return Millis(self.at)


def _domain_of(key: str) -> FailureDomainId:
    return FailureDomainId(key.removeprefix(PREFIX))


class _Host:
    """A host's feed and what it knows."""

    def __init__(self, name: str, machine: EvacuationMachine) -> None:
        self.name = HostId(name)
        self.evacuations = Evacuations(domain_of=_domain_of, clock=machine.clock)
        self.feed = ListFeed(
            topic=ListTopic.EVACUATIONS,
            listener=self.evacuations,
            tell=lambda other, message: machine.send(self.name, other, message),
            clock=machine.clock,
        )

    def heartbeat(self) -> Heartbeat:
        """Return what it tells of itself."""
        return Heartbeat(revision=0, evacuations=self.feed.reached)


class EvacuationMachine(RuleBasedStateMachine):
    """Hosts, a store and the messages between them."""

    def __init__(self) -> None:
        super().__init__()
        self.time = _StoppedClock()
        self.clock = cast(Clock, self.time)
        self.domains_at: dict[int, frozenset[str]] = {1: frozenset()}
        self.revision = 1
        self.on_way: list[tuple[HostId, HostId, Message]] = []
        self.hosts = {name: _Host(name, self) for name in HOSTS}

    def send(self, sender: HostId, receiver: HostId, message: Message) -> bool:
        """Put a message on its way."""
        self.on_way.append((sender, receiver, message))
        return True

    @initialize()
    def begin(self) -> None:
        """Let members hear from one of the readers."""
        for number, name in enumerate(MEMBERS):
            self.hosts[name].feed.follow(HostId(READERS[number]))

    @rule(domain=st.sampled_from(DOMAINS))
    def toggle(self, domain: str) -> None:
        """Evacuate a failure domain, or take it back."""
        self.revision += 1
        self.domains_at[self.revision] = self.domains_at[self.revision - 1] ^ {domain}

    @rule(name=st.sampled_from(READERS))
    def read_all(self, name: str) -> None:
        """Let a reader read the store after it missed changes."""
        self.hosts[name].feed.on_snapshot(self._snapshot())

    @rule(name=st.sampled_from(READERS))
    def read_changes(self, name: str) -> None:
        """Let a reader's watch bring the changes since it looked last."""
        feed = self.hosts[name].feed
        if feed.reached and feed.reached < self.revision:
            feed.on_changes(self._changes_after(feed.reached))

    @rule(number=st.integers(0, 20), repeats=st.booleans())
    def deliver(self, number: int, repeats: bool) -> None:
        """Deliver any message on its way, and perhaps once more later."""
        if self.on_way:
            message = self.on_way[number % len(self.on_way)]
            if not repeats:
                self.on_way.remove(message)
            self._take(*message)

    @rule(number=st.integers(0, 20))
    def lose(self, number: int) -> None:
        """Lose a message."""
        if self.on_way:
            del self.on_way[number % len(self.on_way)]

    @rule(name=st.sampled_from(MEMBERS), source=st.sampled_from(READERS))
    def hear_from(self, name: str, source: str) -> None:
        """Let a member hear from a reader, which may be another one."""
        self.hosts[name].feed.follow(HostId(source))

    @rule(name=st.sampled_from(HOSTS))
    def restart(self, name: str) -> None:
        """Start a host anew; what was on its way to it is lost."""
        self.on_way = [one for one in self.on_way if name not in one[:2]]
        self.hosts[name] = _Host(name, self)
        for other in self.hosts.values():
            other.feed.on_gone(HostId(name))
            other.feed.on_joined(HostId(name))
        if name in MEMBERS:
            self.hosts[name].feed.follow(HostId(READERS[0]))

    @rule()
    def settle(self) -> None:
        """Let all messages arrive and all hosts tell how far they are: then all know the same."""
        for name in READERS:
            self.read_all(name)
        for _ in range(4):
            self._deliver_all()
            for sender, receiver in self._pairs():
                self._take(sender, receiver, self.hosts[sender].heartbeat())
            self.time.at += BEHIND_MS
        self._deliver_all()
        newest = self.domains_at[self.revision]
        for host in self.hosts.values():
            assert host.evacuations.domains == newest, host.name

    @invariant()
    def knowledge_is_of_one_moment(self) -> None:
        """What a host knows is what the store held at the revision that the host has reached."""
        for host in self.hosts.values():
            if host.feed.reached:
                assert host.evacuations.domains == self.domains_at[host.feed.reached], host.name
            assert host.evacuations.has_read is bool(host.feed.reached)

    def _deliver_all(self) -> None:
        while self.on_way:
            self._take(*self.on_way.pop(0))

    def _take(self, sender: HostId, receiver: HostId, message: Message) -> None:
        before = self.hosts[receiver].feed.reached
        self.hosts[receiver].feed.on_message(sender, message)
        assert self.hosts[receiver].feed.reached >= before

    def _pairs(self) -> Iterator[tuple[HostId, HostId]]:
        for sender in self.hosts.values():
            for receiver in self.hosts.values():
                if sender is not receiver:
                    yield sender.name, receiver.name

    def _snapshot(self) -> StoreRange:
        domains = self.domains_at[self.revision]
        return StoreRange(entries=self._entries(domains), revision=StoreRevision(self.revision))

    def _changes_after(self, revision: int) -> WatchBatch:
        touched: set[str] = set()
        for made in range(revision + 1, self.revision + 1):
            touched |= self.domains_at[made] ^ self.domains_at[made - 1]
        now = self.domains_at[self.revision]
        reached = StoreRevision(self.revision)
        return WatchBatch(
            entries=self._entries(now & touched),
            deleted=tuple(f"{PREFIX}{domain}" for domain in sorted(touched - now)),
            revision=reached,
            newest_revision=reached,
        )

    def _entries(self, domains: frozenset[str]) -> tuple[StoreEntry, ...]:
        at = StoreRevision(self.revision)
        return tuple(
            StoreEntry(key=f"{PREFIX}{domain}", value=b"{}", create_revision=at, mod_revision=at)
            for domain in sorted(domains)
        )


TestEvacuations = EvacuationMachine.TestCase
TestEvacuations.settings = cases(examples=150, steps=40)
