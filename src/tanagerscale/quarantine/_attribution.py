"""Rules that attribute crashes, of which only the runs that broke off are known; no I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from itertools import pairwise
from typing import Final

from msgspec import Struct

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.quarantine._suspect_keys import SuspectKey

MIN_CRASHES: Final = 3
"""Crashed upstreams for which a request or part is refused that has never been answered. One or two
can be coincidence when upstreams crash for other reasons every few seconds."""

MIN_CRASHES_WHEN_SOUND: Final = 5
MIN_MOMENTS_WHEN_SOUND: Final = 3
"""Crashed upstreams, and moments of their crashes, for which something is refused that was answered
before. What nearly all requests share runs on each upstream of a failure domain that is lost."""

MOMENT_MS: Final = 1000
"""Crashes with less time between them are one moment."""

Run = frozenset[SuspectKey]


class Crash(Struct, frozen=True, kw_only=True):
    """The crash of one upstream.

    :param at: When this host learned of it.
    :param runs: Keys of each run that it broke off, without those that are cleared.
    """

    at: Millis
    runs: Collection[Run]


class Conviction(Struct, frozen=True, kw_only=True):
    """What requests must have in common to be refused.

    :param keys: Keys that a request must have all of.
    :param crashed: Upstreams that crashed under requests that did.
    :param was_sound: Whether each key was part of an answered request before.
    """

    keys: frozenset[SuspectKey]
    crashed: frozenset[UpstreamId]
    was_sound: bool


def attribute(
    crashes: Mapping[UpstreamId, Crash], *, was_sound: Callable[[SuspectKey], bool]
) -> list[Conviction]:
    """Return the smallest sets of keys that explain crashes which can't be coincidence.

    A request that crashes upstreams shares parts with sound ones. The parts that accompany each
    other in all of their crashes are told apart by whether they were answered before; those of
    which this is not known are convicted together, which refuses only requests that have all of
    them. What one conviction explains is no evidence for another one.

    :param crashes: The crashes.
    :param was_sound: Returns whether a request with a key was answered before the crashes.
    """
    unexplained = dict(crashes)
    convictions: list[Conviction] = []
    while (conviction := _find_strongest(unexplained, was_sound)) is not None:
        convictions.append(conviction)
        unexplained = {
            upstream: crash
            for upstream, crash in unexplained.items()
            if not any(conviction.keys <= run for run in crash.runs)
        }
    return convictions


def _find_strongest(
    crashes: Mapping[UpstreamId, Crash], was_sound: Callable[[SuspectKey], bool]
) -> Conviction | None:
    crashed: defaultdict[SuspectKey, set[UpstreamId]] = defaultdict(set)
    for upstream, crash in crashes.items():
        for run in crash.runs:
            for key in run:
                crashed[key].add(upstream)
    found: list[tuple[tuple[bool, int, int, list[SuspectKey]], Conviction]] = []
    for key, upstreams in crashed.items():
        if len(upstreams) < MIN_CRASHES:
            continue
        companions = _find_companions(key, [crashes[upstream] for upstream in upstreams])
        unproven = frozenset(one for one in companions if not was_sound(one))
        if not unproven and not _is_enough_when_sound([crashes[one].at for one in upstreams]):
            continue
        conviction = Conviction(
            keys=unproven or companions, crashed=frozenset(upstreams), was_sound=not unproven
        )
        rank = (bool(unproven), len(companions), len(upstreams), sorted(companions))
        found.append((rank, conviction))
    return max(found, key=lambda one: one[0])[1] if found else None


def _find_companions(key: SuspectKey, crashes: Collection[Crash]) -> Run:
    """Return a key with those that stand beside it in one run of each of its crashes."""
    beside = sorted(([run for run in crash.runs if key in run] for crash in crashes), key=len)
    found: list[Run] = []
    for shared in beside[0]:
        for runs in beside[1:]:
            shared = max((shared & run for run in runs), key=_rank)
        found.append(shared)
    return max(found, key=_rank)


def _rank(run: Run) -> tuple[int, list[SuspectKey]]:
    return len(run), sorted(run)


def _is_enough_when_sound(times: Collection[Millis]) -> bool:
    if len(times) < MIN_CRASHES_WHEN_SOUND:
        return False
    ordered = sorted(times)
    moments = 1 + sum(later - earlier >= MOMENT_MS for earlier, later in pairwise(ordered))
    return moments >= MIN_MOMENTS_WHEN_SOUND
