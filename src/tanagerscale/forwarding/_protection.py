"""Copies of runs taken in quiet times, for engines that leave or fail.

The load it answers: an engine with more than its notice is long enough to copy, and engines that
fail without any notice. Copies of the first kind take nearly all the memory there is; those of the
second only what nothing else needs.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from typing import final

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._engine_views import choose_holder
from tanagerscale.forwarding._engine_views import easy_tokens_of
from tanagerscale.forwarding._engine_views import is_long
from tanagerscale.forwarding._engine_views import views_of
from tanagerscale.forwarding._hops import Snapshot
from tanagerscale.forwarding._moving import MovingParts
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._work import LinkRank
from tanagerscale.policy import COPY_MARGIN
from tanagerscale.policy import SPARE_MARGIN
from tanagerscale.policy import tokens_to_yield
from tanagerscale.upstreams import UpstreamEntry

LOOK_MS: Final = 200
"""How often this host's runs are looked through."""

YIELD_MS: Final = 60
"""How often it is looked whether copies have to give up memory. What leaves an engine can't be
copied to one that is full until they have."""

RENEW_MS: Final = 2500
"""Age at which a copy is brought up to date. An engine drops one that nobody asked about for the
time it declares (five seconds); in 2.5 s a run grows by some 300 tokens, which take 30 ms."""

LONGEST_WAIT_MS: Final = 1000
"""Longest wait for the link of an engine, by which the copies of two others have gone."""

SETTLED_MS: Final = 300
"""A run that began to answer so lately may be over before it is copied."""

_log = get_logger(part="copies")


@final
class Protection:
    """Keeps what an engine's notice would be too short for at other engines as well.

    :param moving: What moves runs.
    """

    def __init__(self, *, moving: MovingParts) -> None:
        self._parts = moving.parts
        self._departures = moving.departures
        self._copier = moving.copier
        self._turns = moving.turns
        self._runs = moving.runs
        self._put_back: set[StreamRun] = set()
        """Runs whose last copy failed; the others go first, or one engine that takes no copy would
        keep all others of this host from having theirs."""

    async def run(self) -> None:
        """Protect runs until cancelled, one copy at a time."""
        while True:
            await self._parts.clock.sleep(int(LOOK_MS * self._parts.rng.uniform(0.5, 1.5)))
            while not self._departures.links_busy and await self._protect_one():
                pass

    async def run_yielding(self) -> None:
        """Give memory of copies back where engines need it, until cancelled."""
        while True:
            await self._parts.clock.sleep(YIELD_MS)
            self._yield_room()

    async def _protect_one(self) -> bool:
        """Copy the run that needs it most; return whether there was one."""
        due = [run for run in self._runs if self._needs_copy(run)]
        self._put_back.intersection_update(due)
        due.sort(key=lambda one: (one in self._put_back, one.snapshot is None, -one.made))
        for run in due:
            target = self._target_of(run)
            if target is not None:
                return await self._copy_in_turn(run, target)
        return False

    async def _copy_in_turn(self, run: StreamRun, target: UpstreamEntry) -> bool:
        is_copied = await self._copy(run, target)
        if is_copied:
            self._put_back.discard(run)
        elif run in self._put_back:
            self._put_back = {run}
        else:
            self._put_back.add(run)
        return is_copied

    async def _copy(self, run: StreamRun, target: UpstreamEntry) -> bool:
        source = run.entry
        assert source is not None
        until = Millis(self._parts.clock.now() + LONGEST_WAIT_MS)
        async with self._turns.turn(
            source=source,
            target=target,
            rank=LinkRank.AHEAD,
            order=-run.made,
            until=lambda: until,
        ) as is_granted:
            if not is_granted or self._departures.links_busy or run.entry is not source:
                return False
            return await self._copier.snapshot(run, source, target, ahead=True) is not None

    def _yield_room(self) -> None:
        """Drop this host's part of the copies whose memory engines need for their work."""
        copied = [run for run in self._runs if self._may_yield(run)]
        copied.sort(key=lambda run: run.made)
        to_yield: dict[UpstreamId, float] = {}
        for run in copied:
            assert run.snapshot is not None
            holder = run.snapshot.entry
            if holder.upstream not in to_yield:
                to_yield[holder.upstream] = self._share_to_yield(holder, run, copied)
            if to_yield[holder.upstream] > 0:
                to_yield[holder.upstream] -= run.tokens
                self._log_yield(run, holder)
                self._copier.drop_of(run)

    def _may_yield(self, run: StreamRun) -> bool:
        entry = run.entry
        if run.snapshot is None or entry is None or run.copying.locked():
            return False
        return not self._parts.notes.is_leaving(entry.upstream)

    def _share_to_yield(
        self, holder: UpstreamEntry, run: StreamRun, copied: Sequence[StreamRun]
    ) -> float:
        """Return how many tokens this host's copies on an engine have to give up."""
        view = views_of([holder], run.routed, self._parts)[0]
        own = sum(
            other.tokens
            for other in copied
            if other.snapshot is not None and other.snapshot.entry.upstream == holder.upstream
        )
        return tokens_to_yield(view) * min(own / max(view.yielding_tokens, 1), 1.0)

    def _log_yield(self, run: StreamRun, holder: UpstreamEntry) -> None:
        _log.info(
            "A copy yields to new work.",
            request=run.request,
            holder=holder.upstream,
            tokens=run.tokens,
        )

    def _target_of(self, run: StreamRun) -> UpstreamEntry | None:
        held = run.snapshot
        if held is not None and self._is_held_safely(held):
            return held.entry
        assert run.entry is not None
        return choose_holder(
            routed=run.routed,
            parts=self._parts,
            tokens=run.tokens,
            source=run.entry,
            margin=COPY_MARGIN if self._is_exposed(run) else SPARE_MARGIN,
        )

    def _needs_copy(self, run: StreamRun) -> bool:
        engine = run.routed.engine
        if engine is None or not engine.can_move or not is_long(run.routed):
            return False
        if run.entry is None or run.ended or run.running_ms < SETTLED_MS:
            return False
        return not self._has_live_copy(run)

    def _is_held_safely(self, held: Snapshot) -> bool:
        notes = self._parts.notes
        upstream = held.entry.upstream
        return not notes.is_leaving(upstream) and not notes.is_broken(upstream)

    def _is_exposed(self, run: StreamRun) -> bool:
        """Return whether more is on the run's engine than its notice would be long enough for.

        While the store does not tell of engines that leave there is no notice at all.
        """
        if not self._parts.upstreams.is_current:
            return True
        engine = run.routed.engine
        assert engine is not None
        assert run.entry is not None
        total = self._parts.work.totals().get(run.entry.upstream)
        return total is not None and total.uncopied_tokens > easy_tokens_of(engine)

    def _has_live_copy(self, run: StreamRun) -> bool:
        held = run.snapshot
        if held is None or not self._is_held_safely(held):
            return False
        return self._parts.clock.now() - held.taken < RENEW_MS
