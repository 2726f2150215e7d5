"""Whether this host has a path to the upstreams.

A host may be cut off from all upstreams while its callers, the other hosts and the store still
reach it. One upstream that fails does not show that, but several do that fail one after the other
while none answers, or silence while requests are under way. Then a few upstreams are probed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from itertools import count
from random import Random
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import finish_within
from tanagerscale.core import get_logger
from tanagerscale.core import record_unexpected_error
from tanagerscale.upstreams._entries import UpstreamEntry

MIN_UNREACHED: Final = 2
"""Upstreams that fail one after the other before others are probed."""

SILENCE_MS: Final = 700
"""Time in which no upstream has answered, though requests are under way, before some are probed.
An engine that has to process a long prompt first answers within half a second."""

PROBE_TIMEOUT_MS: Final = 250
"""Time for the answer to a probe, which takes 3 ms between failure domains."""

IN_TRANSIT_MS: Final = 100
"""Answers within this time after probes began may have been sent before the path was lost."""

PROBED_TOGETHER: Final = 2
"""Upstreams that are probed after the first one has not answered."""

RECHECK_INTERVAL_MS: Final = 400
"""Mean interval between two probes of a host that is cut off."""

MIN_CHECK_INTERVAL_MS: Final = 1000
"""Shortest time between two checks of a host that has a path."""

_log = get_logger(part="paths")


@final
class UpstreamPaths:
    """Tracks whether this host reaches any upstream.

    :param probe: Returns whether an upstream answers, on a new connection if that is asked for; it
        may take any time.
    :param known: Returns the upstreams that are expected to answer.
    :param clock: Source of the current time.
    :param rng: Random number generator that selects upstreams and spreads probes.
    """

    def __init__(
        self,
        *,
        probe: Callable[[UpstreamEntry, bool], Awaitable[bool]],
        known: Callable[[], Sequence[UpstreamEntry]],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._probe = probe
        self.known = known
        self._clock = clock
        self._rng = rng
        self._unreached: set[UpstreamId] = set()
        """Upstreams that have failed since one has answered last."""
        self._requests: dict[int, Millis] = {}
        """Start of each request that has no answer yet."""
        self._numbers = count()
        self._heard_at = Millis(0)
        self._checked_at = Millis(-MIN_CHECK_INTERVAL_MS)
        self._cut_since: Millis | None = None
        self._check: asyncio.Task[None] | None = None
        self._silence_timer: asyncio.TimerHandle | None = None
        self._changes: Subject[bool] = Subject()
        self._cut_off: asyncio.Future[None] | None = None

    @property
    def cut_off(self) -> asyncio.Future[None]:
        """Is done once this host is cut off; shared by all requests, and never cancelled."""
        if self._cut_off is None:
            self._cut_off = asyncio.get_running_loop().create_future()
        return self._cut_off

    @property
    def changes(self) -> Observable[bool]:
        """Emits whether this host is cut off, when that changes."""
        return self._changes

    @property
    def is_cut_off(self) -> bool:
        """Whether this host reaches no upstream."""
        return self._cut_since is not None

    @property
    def is_doubtful(self) -> bool:
        """Whether the last requests have failed, so that this host may be cut off."""
        return self.is_cut_off or bool(self._unreached)

    def begin_request(self) -> int:
        """Record that a request is sent to an upstream.

        :returns: A number with which its end is recorded.
        """
        number = next(self._numbers)
        self._requests[number] = self._clock.now()
        self._watch_silence()
        return number

    def end_request(self, number: int) -> None:
        """Record that a request was answered or failed, or waits no longer."""
        self._requests.pop(number, None)

    def record_reached(self) -> None:
        """Record that an upstream has answered."""
        self._heard_at = self._clock.now()
        self._unreached.clear()

    def record_unreached(self, upstream: UpstreamId) -> None:
        """Record that an upstream was not reached, or lost a request without an answer."""
        self._unreached.add(upstream)
        if len(self._unreached) >= min(MIN_UNREACHED, max(len(self.known()), 1)):
            self._begin_check("failures")

    async def answers(self, entries: Sequence[UpstreamEntry], *, force_new: bool = False) -> bool:
        """Return whether one of some upstreams answers in time.

        :param entries: The upstreams.
        :param force_new: Whether to open new connections instead of reusing idle ones.
        """
        tasks = [asyncio.ensure_future(self._is_answered(entry, force_new)) for entry in entries]
        try:
            return await finish_within(_is_any_true(tasks), timeout_ms=PROBE_TIMEOUT_MS)
        except TimeoutError:
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _is_answered(self, entry: UpstreamEntry, force_new: bool) -> bool:
        try:
            return await self._probe(entry, force_new)
        # The other upstreams decide, whatever was wrong with this one.
        except Exception as error:
            record_unexpected_error("paths", error, upstream=entry.upstream)
            return False

    async def stop(self) -> None:
        """Stop all probes."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        if self._check is not None:
            self._check.cancel()
            await asyncio.gather(self._check, return_exceptions=True)

    def _watch_silence(self) -> None:
        if self._silence_timer is None and self._requests:
            loop = asyncio.get_running_loop()
            self._silence_timer = loop.call_later(SILENCE_MS / MS_PER_SECOND, self._on_silence)

    def _on_silence(self) -> None:
        self._silence_timer = None
        now = self._clock.now()
        oldest = min(self._requests.values(), default=now)
        if now - max(oldest, self._heard_at) >= SILENCE_MS:
            self._begin_check("silence")
        self._watch_silence()

    def _begin_check(self, cause: str) -> None:
        is_running = self._check is not None and not self._check.done()
        is_recent = self._clock.now() - self._checked_at < MIN_CHECK_INTERVAL_MS
        if is_running or is_recent or not self.known():
            return
        _log.info(
            "Upstreams are probed.",
            cause=cause,
            unreached=len(self._unreached),
            silent_ms=self._clock.now() - self._heard_at,
            requests=len(self._requests),
        )
        self._check = asyncio.create_task(self._run_check())

    async def _run_check(self) -> None:
        """Find out whether this host is cut off, and wait until it no longer is."""
        while not await self._reaches_any_or_hears_one():
            if not self.is_cut_off:
                self._set_cut(is_cut_off=True)
            interval_ms = RECHECK_INTERVAL_MS * self._rng.uniform(0.5, 1.5)
            await self._clock.sleep(int(interval_ms))
        self.record_reached()
        self._checked_at = self._clock.now()
        if self.is_cut_off:
            self._set_cut(is_cut_off=False)

    async def _reaches_any_or_hears_one(self) -> bool:
        """Return whether an upstream answers a probe, or a request while the probes time out.

        The probes of a host that is overloaded time out although it has a path.
        """
        began = self._clock.now()
        is_reached = await self._reaches_any()
        return is_reached or self._heard_at - began >= IN_TRANSIT_MS

    async def _reaches_any(self) -> bool:
        """Return whether an upstream answers; one is probed first, and some more if it doesn't."""
        known = list(self.known())
        self._rng.shuffle(known)
        known.sort(key=lambda entry: entry.upstream in self._unreached)
        if await self.answers(known[:1]):
            return True
        # The probes of a host that is cut off already cost as little as possible.
        more = [] if self.is_cut_off else known[1 : 1 + PROBED_TOGETHER]
        return await self.answers(more)

    def _set_cut(self, *, is_cut_off: bool) -> None:
        now = self._clock.now()
        cut_ms = 0 if self._cut_since is None else now - self._cut_since
        self._cut_since = now if is_cut_off else None
        if is_cut_off:
            self.cut_off.set_result(None)
        else:
            self._cut_off = None
        _log.warning(
            (
                "This host reaches no upstream."
                if is_cut_off
                else "This host reaches the upstreams again."
            ),
            unreached=sorted(self._unreached),
            silent_ms=now - self._heard_at,
            cut_ms=cut_ms,
        )
        self._changes.on_next(is_cut_off)


async def _is_any_true(tasks: Sequence[asyncio.Future[bool]]) -> bool:
    for finished in asyncio.as_completed(tasks):
        if await finished:
            return True
    return False
