"""Which upstreams take work, through outages of the store that lists them."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.membership import Evacuations
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import UpstreamRoster
from tanagerscale.membership._roster import LAPSE_GRACE_MS
from tanagerscale.membership._roster import OLDER_START_MS
from tanagerscale.membership._roster import TOGETHER_GRACE_MS
from tanagerscale.membership._roster import UNREADABLE_GRACE_MS
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from tanagerscale.upstreams import UpstreamEntry
from testing._listed_upstreams import SERVICE
from testing._listed_upstreams import decode_listed
from testing._listed_upstreams import listed
from testing._virtual_time import run_virtually

NAMES = ("a", "b", "c", "d", "e")
SPACE_MS = 10
LONG_AFTER_S = 30


class World:
    """A roster and the revisions of its store."""

    def __init__(self) -> None:
        self.told: list[UpstreamLeaving] = []
        clock = Clock()
        self.gate = UpstreamGate(clock=clock, rng=Random(1), spread=self.told.append)
        self.roster = UpstreamRoster(
            gate=self.gate,
            evacuations=Evacuations(domain_of=lambda _: None, clock=clock),
            decode=decode_listed,
            name_of=UpstreamName,
            clock=clock,
        )
        self.revision = 10
        self.replaced: list[UpstreamEntry] = []
        self.roster.replaced.subscribe(self.replaced.append)

    def open(self) -> str:
        """Return the names of the upstreams that take work."""
        return "".join(sorted(entry.upstream for entry in self.roster.open_for(SERVICE)))

    def write(self, *names: str, state: str = "ready") -> None:
        """Write entries."""
        self.revision += 1
        self.roster.on_changes(self._batch(self._entries(names, state), ()))

    def delete(self, *names: str) -> None:
        """Delete entries."""
        self.revision += 1
        self.roster.on_changes(self._batch((), names))

    def snapshot(self, *names: str) -> None:
        """Read everything."""
        revision = StoreRevision(self.revision)
        found = StoreRange(entries=self._entries(names, "ready"), revision=revision)
        self.roster.on_snapshot(found)

    def _entries(self, names: tuple[str, ...], state: str) -> tuple[StoreEntry, ...]:
        return tuple(listed(name, state, revision=self.revision) for name in names)

    def _batch(self, entries: tuple[StoreEntry, ...], deleted: tuple[str, ...]) -> WatchBatch:
        return WatchBatch(entries=entries, deleted=deleted, revision=StoreRevision(self.revision))


async def _settled(*, away: bool = False) -> World:
    """Return a world whose store has been there for long."""
    world = World()
    world.roster.on_reachability_changed(reachable=True)
    world.snapshot(*NAMES)
    await asyncio.sleep(LONG_AFTER_S)
    if away:
        world.roster.on_reachability_changed(reachable=False)
        await asyncio.sleep(LONG_AFTER_S)
        world.roster.on_reachability_changed(reachable=True)
    return world


def test_upstream_takes_no_work_when_it_leaves() -> None:
    async def play() -> None:
        world = await _settled()
        world.write("b", state="leaving")
        assert world.open() == "acde"
        assert [message.upstream for message in world.told] == ["b"]

    run_virtually(play())


def test_upstream_takes_no_work_when_its_entry_alone_is_gone() -> None:
    async def play() -> None:
        world = await _settled()
        world.delete("b")
        assert world.open() == "acde"
        assert world.roster.get(UpstreamId("b")) is not None

    run_virtually(play())


def test_upstream_takes_work_again_when_its_entry_is_written_anew() -> None:
    async def play() -> None:
        world = await _settled()
        world.delete("b")
        world.write("b")
        assert world.open() == "abcde"

    run_virtually(play())


def test_upstreams_are_kept_when_their_entries_lapse_while_the_store_is_away() -> None:
    async def play() -> None:
        world = await _settled(away=True)
        world.delete(*NAMES)
        assert world.open() == "abcde"
        world.write("a", "b", "c")
        await asyncio.sleep((LAPSE_GRACE_MS + SPACE_MS) / 1000)
        assert world.open() == "abc"

    run_virtually(play())


def test_upstreams_are_kept_when_their_entries_lapse_together_and_no_outage_was_seen() -> None:
    async def play() -> None:
        world = await _settled()
        world.delete(*NAMES)
        assert world.open() == "abcde"
        await asyncio.sleep((TOGETHER_GRACE_MS + SPACE_MS) / 1000)
        assert world.open() == ""
        world.write(*NAMES)
        assert world.open() == "abcde"

    run_virtually(play())


def test_word_of_a_peer_closes_an_upstream_and_a_later_entry_opens_it() -> None:
    async def play() -> None:
        world = await _settled()
        world.gate.on_peer(UpstreamLeaving(upstream="c", incarnation=world.revision + 5))
        assert world.open() == "abde"
        world.revision += 10
        world.write("c")
        assert world.open() == "abcde"

    run_virtually(play())


def test_old_word_of_a_peer_does_not_close_an_upstream() -> None:
    async def play() -> None:
        world = await _settled()
        world.gate.on_peer(UpstreamLeaving(upstream="c", incarnation=world.revision - 5))
        assert world.open() == "abcde"

    run_virtually(play())


def test_upstream_missing_in_a_new_reading_takes_no_work() -> None:
    async def play() -> None:
        world = await _settled()
        world.revision += 1
        world.snapshot("a", "b", "c", "d")
        assert world.open() == "abcd"

    run_virtually(play())


def test_entry_that_cannot_be_read_is_left_out() -> None:
    async def play() -> None:
        world = await _settled()
        world.write("z", state="bad")
        assert world.open() == "abcde"

    run_virtually(play())


def test_upstream_that_is_gone_for_long_is_forgotten() -> None:
    async def play() -> None:
        world = await _settled()
        world.delete("b")
        await asyncio.sleep(120)
        assert world.roster.get(UpstreamId("b")) is None

    run_virtually(play())


@pytest.mark.parametrize("many", [1, 2])
def test_few_entries_that_go_are_taken_as_gone_at_once(many: int) -> None:
    async def play() -> None:
        world = World()
        world.roster.on_reachability_changed(reachable=True)
        names = [f"n{number}" for number in range(20)]
        world.snapshot(*names)
        await asyncio.sleep(LONG_AFTER_S)
        world.delete(*names[:many])
        assert len(world.roster.open_for(SERVICE)) == len(names) - many

    run_virtually(play())


async def _with_starts() -> World:
    """Return a world whose upstreams tell their starts, the one named "b" in its first."""
    world = World()
    world.roster.on_reachability_changed(reachable=True)
    for name in NAMES:
        world.write(name, state="ready@1000")
    await asyncio.sleep(LONG_AFTER_S)
    return world


def test_later_start_takes_work_though_the_earlier_one_was_leaving() -> None:
    async def play() -> None:
        world = await _with_starts()
        world.write("b", state="leaving@1000")
        assert world.open() == "a1000c1000d1000e1000"
        world.write("b", state="ready@2000")
        assert world.open() == "a1000b2000c1000d1000e1000"

    run_virtually(play())


def test_earlier_start_is_gone_when_the_upstream_has_started_again() -> None:
    async def play() -> None:
        world = await _with_starts()
        world.write("b", state="ready@2000")
        assert world.open() == "a1000b2000c1000d1000e1000"
        assert world.gate.is_leaving(UpstreamId("b1000"))
        assert [message.upstream for message in world.told] == ["b1000"]
        assert [entry.upstream for entry in world.replaced] == ["b1000"]
        earlier = world.roster.get(UpstreamId("b1000"))
        assert earlier is not None

    run_virtually(play())


@pytest.mark.parametrize("late", ["leaving@1000", "ready@1000"])
def test_late_write_of_an_earlier_start_changes_nothing(late: str) -> None:
    async def play() -> None:
        world = await _with_starts()
        world.write("b", state="ready@2000")
        world.write("b", state=late)
        assert world.open() == "a1000b2000c1000d1000e1000"
        await asyncio.sleep(1.2)
        world.write("b", state="ready@2000")
        await asyncio.sleep(LONG_AFTER_S)
        assert world.open() == "a1000b2000c1000d1000e1000"

    run_virtually(play())


def test_later_start_that_another_writer_made_up_gives_way_to_the_true_one() -> None:
    async def play() -> None:
        world = await _with_starts()
        world.write("b", state="ready@9000")
        world.write("b", state="ready@1000")
        await asyncio.sleep((OLDER_START_MS + SPACE_MS) / 1000)
        assert world.open() == "a1000b1000c1000d1000e1000"

    run_virtually(play())


def test_late_write_of_an_earlier_start_is_not_believed_when_the_entry_goes() -> None:
    async def play() -> None:
        world = await _with_starts()
        world.write("b", state="ready@2000")
        world.write("b", state="ready@1000")
        world.delete("b")
        await asyncio.sleep(LONG_AFTER_S)
        assert world.open() == "a1000c1000d1000e1000"

    run_virtually(play())


def test_entry_that_goes_closes_the_newest_start() -> None:
    async def play() -> None:
        world = await _with_starts()
        world.write("b", state="ready@2000")
        await asyncio.sleep(LONG_AFTER_S)
        world.delete("b")
        assert world.open() == "a1000c1000d1000e1000"

    run_virtually(play())


def test_start_that_follows_a_forgotten_one_takes_work() -> None:
    async def play() -> None:
        world = await _with_starts()
        world.write("b", state="ready@2000")
        await asyncio.sleep(120)
        assert world.roster.get(UpstreamId("b1000")) is None
        world.write("b", state="ready@3000")
        assert world.open() == "a1000b3000c1000d1000e1000"

    run_virtually(play())


def test_upstream_gets_no_work_at_once_when_others_write_over_its_entry() -> None:
    async def play() -> None:
        world = await _settled()
        world.write("b", state="bad")
        assert world.open() == "acde"
        assert "b" not in {entry.upstream for entry in world.roster.staying(SERVICE)}
        assert not world.gate.is_leaving(UpstreamId("b"))

    run_virtually(play())


def test_upstream_is_left_when_its_entry_stays_unreadable() -> None:
    async def play() -> None:
        world = await _settled()
        world.write("b", state="bad")
        await asyncio.sleep((UNREADABLE_GRACE_MS + SPACE_MS) / 1000)
        assert world.gate.is_leaving(UpstreamId("b"))

    run_virtually(play())


def test_upstream_takes_work_again_when_it_writes_its_own_entry() -> None:
    async def play() -> None:
        world = await _settled()
        world.write("b", state="bad")
        await asyncio.sleep(UNREADABLE_GRACE_MS / 2000)
        world.write("b")
        assert world.open() == "abcde"
        await asyncio.sleep(LONG_AFTER_S)
        assert world.open() == "abcde"
        assert world.told == []

    run_virtually(play())


def test_entry_that_leaves_out_a_start_told_before_is_from_another_writer() -> None:
    async def play() -> None:
        world = await _with_starts()
        world.write("b", state="ready")
        assert world.open() == "a1000c1000d1000e1000"

    run_virtually(play())


def test_unreadable_entries_in_a_reading_leave_the_others_in_place() -> None:
    async def play() -> None:
        world = await _settled()
        world.write("b", "d", state="bad")
        world.snapshot("a", "c", "e")
        await asyncio.sleep(LONG_AFTER_S)
        assert world.open() == "ace"

    run_virtually(play())


def test_upstream_is_left_at_once_when_the_own_watch_tells_though_other_calls_fail() -> None:
    async def play() -> None:
        world = await _settled()
        world.roster.on_calls(answered=False)
        world.delete("b")
        assert world.open() == "acde"

    run_virtually(play())


def test_entries_that_name_no_upstream_leave_nothing_behind() -> None:
    async def play() -> int:
        world = await _settled()
        known = len(world.roster._written)
        for number in range(50):
            world.write(f"made-up-{number}", state="bad")
            world.delete(f"made-up-{number}")
        return len(world.roster._written) - known

    assert run_virtually(play()) == 0
