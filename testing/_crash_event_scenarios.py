"""Orders of the events around the crash of the only engine that may run a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from enum import unique
from random import Random


@unique
class Event(Enum):
    """What happens around the crash of the only engine that may run a request."""

    CRASH_SEEN_BY_RUNNER = "crash seen by the host whose request caused it"
    CONVICTION_SEEN = "conviction seen by the waiting host"
    LOSS_SEEN_BY_OWNER = "loss of the engine seen by the owner"
    LOSS_SEEN_BY_HOST = "loss of the engine seen by the waiting host"
    OWNER_CHANGED = "change of the owner"
    FROZEN = "a host is frozen"
    RESUMED = "it is resumed"


@unique
class OwnerChange(Enum):
    """How the owner of the cell changes."""

    LEAVES = "leaves"
    DIES = "dies"
    RETURNS = "returns"


@unique
class Role(Enum):
    """Part of a host in a scenario."""

    OWNER = "owner"
    RUNNER = "runner"
    """Sends the copy that crashes the engines."""
    WAITING = "waiting"


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """Order of the events and the other parameters of one case.

    :param order: Events, in groups that happen in the same iteration of the event loop.
    :param owner_change: How the owner of the cell changes.
    :param waiting_at_owner: Whether the waiting host is the owner; otherwise it is another host.
    :param runner_at_owner: Whether the owner sends the crashing copy.
    :param others_waiting: Whether requests that crash no engine wait as well.
    :param frozen: Host that is frozen.
    :param start_ms: Time from the crash to the first event.
    :param gap_ms: Time between two groups.
    :param restarted: Which engine is restarted, 0 for the one that crashed first, and before which
        group; ``None`` if no engine is restarted.
    """

    order: tuple[tuple[Event, ...], ...]
    owner_change: OwnerChange
    waiting_at_owner: bool
    runner_at_owner: bool
    others_waiting: bool
    frozen: Role
    start_ms: int
    gap_ms: int
    restarted: tuple[int, int] | None


def _random_order(rng: Random) -> tuple[tuple[Event, ...], ...]:
    """Return the events in any order, with any of them simultaneous."""
    while True:
        ranks = {event: rng.randrange(len(Event)) for event in Event}
        if ranks[Event.FROZEN] < ranks[Event.RESUMED]:
            break
    return tuple(
        tuple(event for event in rng.sample(list(Event), len(Event)) if ranks[event] == rank)
        for rank in sorted(set(ranks.values()))
    )


def random_scenario(rng: Random, *, waiting_at_owner: bool) -> Scenario:
    """Return a scenario with random parameters.

    :param rng: Random number generator.
    :param waiting_at_owner: Whether the waiting host is the owner.
    """
    order = _random_order(rng)
    restarted = (rng.randrange(2), rng.randrange(len(order)))
    return Scenario(
        order=order,
        owner_change=rng.choice(list(OwnerChange)),
        waiting_at_owner=waiting_at_owner,
        runner_at_owner=not waiting_at_owner and rng.random() < 0.4,
        others_waiting=rng.random() < 0.6,
        frozen=rng.choice(list(Role)),
        start_ms=rng.choice([0, 50, 150, 400]),
        gap_ms=rng.choice([0, 1, 5, 30, 110, 300, 1200]),
        restarted=rng.choice([None, restarted]),
    )
