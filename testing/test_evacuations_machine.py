"""State machine test of how hosts receive evacuations through lost, late and repeated messages.

Operators evacuate and restore failure domains in quick succession. Some hosts read the store, the
others follow these readers over links that drop, delay and repeat messages.
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
from tanagerscale.coordination._feed import MAX_LAG_MS
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
from testing._random_cases import random_case_settings

PREFIX = "evacuate/"
DOMAINS = ("a", "b", "c")
READERS = ("reader-0", "reader-1")
MEMBERS = ("member-0", "member-1")
HOSTS = READERS + MEMBERS


class _ManualClock:
    """Clock that only advances explicitly."""

    def __init__(self) -> None:
        self.at = 1

    def now(self) -> Millis:
        """Return the time."""
        return Millis(self.at)


def _domain_of(key: str) -> FailureDomainId:
    return FailureDomainId(key.removeprefix(PREFIX))


class _Host:
    """A host's feed and the evacuations it has received."""

    def __init__(self, name: str, machine: EvacuationMachine) -> None:
        self.name = HostId(name)
        self.evacuations = Evacuations(parse_evacuated_domain=_domain_of, clock=machine.clock)
        self.feed = ListFeed(
            topic=ListTopic.EVACUATIONS,
            listener=self.evacuations,
            send=lambda other, message: machine.send(self.name, other, message),
            clock=machine.clock,
        )

    def heartbeat(self) -> Heartbeat:
        """Return the host's heartbeat."""
        return Heartbeat(revision=0, evacuations=self.feed.revision)


class EvacuationMachine(RuleBasedStateMachine):
    """Hosts, a store and the messages between them."""

    def __init__(self) -> None:
        super().__init__()
        self.manual_clock = _ManualClock()
        self.clock = cast(Clock, self.manual_clock)
        self.domains_at: dict[int, frozenset[str]] = {1: frozenset()}
        self.revision = 1
        self.in_flight: list[tuple[HostId, HostId, Message]] = []
        self.hosts = {name: _Host(name, self) for name in HOSTS}

    def send(self, sender: HostId, receiver: HostId, message: Message) -> bool:
        """Add a message to those in flight."""
        self.in_flight.append((sender, receiver, message))
        return True

    @initialize()
    def begin(self) -> None:
        """Let each member follow one of the readers."""
        for number, name in enumerate(MEMBERS):
            self.hosts[name].feed.follow(HostId(READERS[number]))

    @rule(domain=st.sampled_from(DOMAINS))
    def toggle(self, domain: str) -> None:
        """Evacuate a failure domain, or end its evacuation."""
        self.revision += 1
        self.domains_at[self.revision] = self.domains_at[self.revision - 1] ^ {domain}

    @rule(name=st.sampled_from(READERS))
    def read_all(self, name: str) -> None:
        """Let a reader read the full state after it missed changes."""
        self.hosts[name].feed.on_snapshot(self._snapshot())

    @rule(name=st.sampled_from(READERS))
    def read_changes(self, name: str) -> None:
        """Deliver the changes since a reader's last revision through its watch."""
        feed = self.hosts[name].feed
        if feed.revision and feed.revision < self.revision:
            feed.on_changes(self._changes_after(feed.revision))

    @rule(number=st.integers(0, 20), repeats=st.booleans())
    def deliver(self, number: int, repeats: bool) -> None:
        """Deliver a message in flight, and keep it for another delivery if it repeats."""
        if self.in_flight:
            message = self.in_flight[number % len(self.in_flight)]
            if not repeats:
                self.in_flight.remove(message)
            self._receive(*message)

    @rule(number=st.integers(0, 20))
    def drop(self, number: int) -> None:
        """Drop a message."""
        if self.in_flight:
            del self.in_flight[number % len(self.in_flight)]

    @rule(name=st.sampled_from(MEMBERS), source=st.sampled_from(READERS))
    def follow_reader(self, name: str, source: str) -> None:
        """Let a member follow a reader, possibly another one."""
        self.hosts[name].feed.follow(HostId(source))

    @rule(name=st.sampled_from(HOSTS))
    def restart(self, name: str) -> None:
        """Restart a host; messages in flight from or to it are lost."""
        self.in_flight = [message for message in self.in_flight if name not in message[:2]]
        self.hosts[name] = _Host(name, self)
        for other in self.hosts.values():
            other.feed.on_gone(HostId(name))
            other.feed.on_joined(HostId(name))
        if name in MEMBERS:
            self.hosts[name].feed.follow(HostId(READERS[0]))

    @rule()
    def settle(self) -> None:
        """Deliver all messages and heartbeats; all hosts must then have the newest state."""
        for name in READERS:
            self.read_all(name)
        for _ in range(4):
            self._deliver_all()
            for sender, receiver in self._pairs():
                self._receive(sender, receiver, self.hosts[sender].heartbeat())
            self.manual_clock.at += MAX_LAG_MS
        self._deliver_all()
        newest = self.domains_at[self.revision]
        for host in self.hosts.values():
            assert host.evacuations.domains == newest, host.name

    @invariant()
    def state_matches_one_revision(self) -> None:
        """Each host's state equals that of the store at the revision the host has reached."""
        for host in self.hosts.values():
            if host.feed.revision:
                assert host.evacuations.domains == self.domains_at[host.feed.revision], host.name
            assert host.evacuations.has_read is bool(host.feed.revision)

    def _deliver_all(self) -> None:
        while self.in_flight:
            self._receive(*self.in_flight.pop(0))

    def _receive(self, sender: HostId, receiver: HostId, message: Message) -> None:
        before = self.hosts[receiver].feed.revision
        self.hosts[receiver].feed.on_message(sender, message)
        assert self.hosts[receiver].feed.revision >= before

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
        for number in range(revision + 1, self.revision + 1):
            touched |= self.domains_at[number] ^ self.domains_at[number - 1]
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


TestEvacuationMachine = EvacuationMachine.TestCase
TestEvacuationMachine.settings = random_case_settings(examples=150, steps=40)
