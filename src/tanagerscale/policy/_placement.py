"""Which engine takes a generation, and whether it may begin now, by what all hosts have there.

The load it answers: long generations and many short ones arrive at several hosts while engines are
taken away every few seconds. An engine reads prompts in pieces between the tokens of what runs, so
a prompt waits for those before it, at half speed where anything runs. Memory is what runs out
first: each generation holds its prompt and its answer.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from enum import unique
from random import Random
from typing import Final

from msgspec import Struct

from tanagerscale.core import FailureDomainId
from tanagerscale.core import UpstreamId

PREFILL_TOKENS_PER_MS: Final = 7.3
"""Prompt tokens that an engine reads in a millisecond, in steps of 112 that take 15 ms, whatever
else it runs."""

COLD_COST: Final = 0.1
"""What each millisecond of an engine's warm-up counts as waiting time. Engines that have just
started answer about as soon as others, so it only breaks ties."""

NEIGHBOUR_MS: Final = 6.0
"""What each generation already running on an engine counts as waiting time: it slows every later
token a little and is itself held up by the new prompt."""

AWAY_MS: Final = 8.0
"""What another failure domain counts as waiting time; bytes between them are paid for."""

UNCOPIED_MS: Final = 0.02
"""What each token without a copy elsewhere counts as waiting time for a long generation. Ten
thousand are as many as can be copied within the notice of a leaving engine."""

MEMORY_MARGIN: Final = 0.95
"""Part of an engine's memory that may be planned for; what runs there grows into the rest."""

COPY_MARGIN: Final = 0.9
"""Part of an engine's memory up to which it takes copies that a notice would be too short for; a
prompt still finds room."""

SPARE_MARGIN: Final = 0.6
"""Part of an engine's memory up to which it takes copies of any long generation, in case the engine
that runs it fails without notice. Copying is cheap and room is not, so only memory that nothing
else needs is used."""

UNEVEN_FACTOR: Final = 2.5
"""A run moves to an emptier engine when the difference is so many times its size: after the move it
is still the emptier one, so that no run goes back and forth."""

LATE_ROOM: Final = 2
"""Rooms of its size that a late long generation must find. It holds its memory for as long as one
that is still in time, and is worth less to its caller, so it leaves room for one of these."""

GROWTH_TOKENS: Final = 250
"""Room kept for the growth of each generation. Two seconds at 8 ms a token, after which what is
known of the engine has been renewed."""


class EngineView(Struct, frozen=True, kw_only=True):
    """What is known of an engine when a generation looks for one.

    :param upstream: The engine.
    :param failure_domain: Where it stands.
    :param memory_tokens: All its memory.
    :param held_tokens: Memory that generations hold, or will when their prompts are read.
    :param copy_tokens: Memory of copies of what leaves another engine.
    :param yielding_tokens: Memory of copies taken ahead, which yield to new work.
    :param uncopied_tokens: Memory of long generations there that have no copy elsewhere.
    :param running: Generations that have begun to answer.
    :param waiting_tokens: Prompt tokens sent there that it has not finished reading.
    :param waiting: Generations these belong to.
    :param batch: Most generations decoded together.
    :param cold_ms: How much longer it is slow after its start.
    """

    upstream: UpstreamId
    failure_domain: FailureDomainId
    memory_tokens: int
    held_tokens: int
    copy_tokens: int
    yielding_tokens: int
    uncopied_tokens: int
    running: int
    waiting_tokens: int
    waiting: int
    batch: int
    cold_ms: int

    def __str__(self) -> str:
        """Return what a line of log says of it."""
        return (
            f"{self.upstream} runs {self.running} waits {self.waiting} held {self.held_tokens} "
            f"copies {self.copy_tokens}+{self.yielding_tokens} reads {self.waiting_tokens}"
        )

    @property
    def planned_tokens(self) -> int:
        """Memory that is taken or will be within seconds, but for what yields."""
        growth = (self.running + self.waiting) * GROWTH_TOKENS
        return self.held_tokens + self.copy_tokens + growth


@unique
class Verdict(Enum):
    """What is to become of a generation that looks for an engine."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class PlacementQuery(Struct, frozen=True, kw_only=True):
    """A generation that looks for an engine.

    :param prompt_tokens: Length of its prompt.
    :param is_long: Whether its answer may run on for seconds.
    :param left_ms: Time left until its first event is late; negative when it is.
    :param patience_ms: How long it may wait on once it is late.
    """

    prompt_tokens: int
    is_long: bool
    left_ms: int
    patience_ms: int = 0

    @property
    def needed_tokens(self) -> int:
        """Memory that an engine must have left for it."""
        is_late = self.left_ms <= 0
        return self.prompt_tokens * LATE_ROOM if is_late and self.is_long else self.prompt_tokens


class Placement(Struct, frozen=True, kw_only=True):
    """A verdict with its grounds.

    :param verdict: What to do.
    :param engine: Where to send it.
    :param wait_ms: Forecast time to its first event there.
    :param reason: What decided, in a few words.
    :param views: What was known of the engines.
    """

    verdict: Verdict
    engine: EngineView | None = None
    wait_ms: float = 0.0
    reason: str = ""
    views: Sequence[EngineView] = ()


def first_event_ms(*, view: EngineView, prompt_tokens: int) -> float:
    """Return how long a prompt would wait for its first event on an engine."""
    return (view.waiting_tokens + prompt_tokens) / PREFILL_TOKENS_PER_MS


def has_room(*, view: EngineView, tokens: int) -> bool:
    """Return whether an engine can run a generation with so many tokens.

    :param view: The engine.
    :param tokens: Its prompt, or the memory it brings along.
    """
    planned = view.planned_tokens + tokens + GROWTH_TOKENS
    places = view.running + view.waiting < view.batch
    return places and planned <= view.memory_tokens * MEMORY_MARGIN


def has_room_at_once(*, view: EngineView, tokens: int) -> bool:
    """Return whether an engine has room for a run before copies taken ahead have yielded.

    :param view: The engine.
    :param tokens: Memory that the run brings along.
    """
    return has_room(view=view, tokens=tokens + view.yielding_tokens)


def free_tokens(views: Sequence[EngineView]) -> int:
    """Return how much memory engines have left for new generations."""
    return sum(
        max(int(view.memory_tokens * MEMORY_MARGIN) - view.planned_tokens, 0) for view in views
    )


def has_room_for_copy(*, view: EngineView, tokens: int, margin: float) -> bool:
    """Return whether an engine can hold a copy of what runs elsewhere.

    :param view: The engine.
    :param tokens: Size of the copy.
    :param margin: Part of its memory that may be taken.
    """
    taken = view.held_tokens + view.copy_tokens + view.yielding_tokens
    return taken + tokens <= view.memory_tokens * margin


def tokens_to_yield(view: EngineView) -> int:
    """Return how much memory of copies taken ahead an engine needs for its work."""
    over = view.planned_tokens + view.yielding_tokens - int(view.memory_tokens * MEMORY_MARGIN)
    return min(max(over, 0), view.yielding_tokens)


def is_uneven(*, full: EngineView, empty: EngineView, tokens: int) -> bool:
    """Return whether moving a run brings two engines much closer to each other.

    :param full: The engine it runs on.
    :param empty: The engine it would go to.
    :param tokens: Memory it holds.
    """
    return full.planned_tokens - empty.planned_tokens > UNEVEN_FACTOR * tokens


def cheapest(
    *,
    views: Sequence[EngineView],
    prompt_tokens: int,
    is_long: bool,
    failure_domain: FailureDomainId,
    rng: Random,
) -> EngineView | None:
    """Return the engine where a generation waits least and holds up others least.

    :param views: Engines to choose from.
    :param prompt_tokens: Length of its prompt; 0 for one that brings its memory along.
    :param is_long: Whether its answer may run on for seconds.
    :param failure_domain: Where its bytes come from.
    :param rng: Breaks ties.
    """

    def cost(view: EngineView) -> tuple[float, float]:
        total = first_event_ms(view=view, prompt_tokens=prompt_tokens)
        total += view.running * NEIGHBOUR_MS + view.cold_ms * COLD_COST
        total += view.uncopied_tokens * UNCOPIED_MS if is_long else 0.0
        total += AWAY_MS if view.failure_domain != failure_domain else 0.0
        return total, rng.random()

    return min(views, key=cost, default=None)


def place(
    *,
    query: PlacementQuery,
    views: Sequence[EngineView],
    arriving_tokens: int = 0,
    failure_domain: FailureDomainId,
    rng: Random,
) -> Placement:
    """Decide what becomes of a generation.

    :param query: What it needs.
    :param views: Engines that take work.
    :param arriving_tokens: Memory of long generations that have to leave another engine.
    :param failure_domain: Where this host stands.
    :param rng: Breaks ties.
    """
    if not views:
        return _later(query, views, "no engine takes work")
    roomy = [view for view in views if has_room(view=view, tokens=query.needed_tokens)]
    if not roomy:
        return _later(query, views, "no engine has room")
    if query.is_long and free_tokens(views) < query.prompt_tokens + arriving_tokens:
        return _later(query, views, "what leaves an engine goes first")
    chosen = cheapest(
        views=roomy,
        prompt_tokens=query.prompt_tokens,
        is_long=query.is_long,
        failure_domain=failure_domain,
        rng=rng,
    )
    assert chosen is not None
    wait_ms = first_event_ms(view=chosen, prompt_tokens=query.prompt_tokens)
    alone_ms = query.prompt_tokens / PREFILL_TOKENS_PER_MS
    if wait_ms > query.left_ms > alone_ms:
        return _later(query, views, "prompts that wait would make it late")
    return Placement(verdict=Verdict.SEND, engine=chosen, wait_ms=wait_ms, reason="room")


def _later(query: PlacementQuery, views: Sequence[EngineView], reason: str) -> Placement:
    verdict = Verdict.WAIT if query.left_ms + query.patience_ms > 0 else Verdict.REFUSE
    return Placement(verdict=verdict, reason=reason, views=views)
