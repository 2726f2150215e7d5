"""Selects an engine for a generation and decides whether it starts now, from the load of all hosts.

Workload: long generations and many short ones arrive at several hosts while engines are removed
every few seconds. An engine prefills prompts in chunks between the decoding steps of its running
generations, so a prompt waits for the prompts before it, and prefill runs at half speed while
anything is decoded. Memory is the first resource to run out: each generation holds its prompt and
its answer.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from enum import unique
from math import inf
from random import Random
from typing import Final

from msgspec import Struct

from tanagerscale.core import FailureDomainId
from tanagerscale.core import UpstreamId
from tanagerscale.policy._speeds import DEFAULT_PREFILL_TOKENS_PER_MS

PREFILL_TOKENS_PER_MS: Final = DEFAULT_PREFILL_TOKENS_PER_MS
"""Prompt tokens that an engine prefills in a millisecond, until its service has shown its speed."""

WARMUP_COST_FACTOR: Final = 0.1
"""Cost of each remaining millisecond of an engine's warm-up, in milliseconds of waiting time.
Engines that have just started answer about as soon as others, so it only breaks ties."""

RUNNING_GENERATION_COST_MS: Final = 6.0
"""Cost of each generation already running on an engine, as waiting time: it slows every later token
slightly and is itself delayed by the new prompt."""

CROSS_DOMAIN_COST_MS: Final = 8.0
"""Cost of sending a generation to another failure domain, as waiting time; traffic between failure
domains is billed."""

UNCOPIED_TOKEN_COST_MS: Final = 0.02
"""Cost of each token on an engine that has no copy elsewhere, as waiting time, for a long
generation. About ten thousand tokens can be copied within the notice of a leaving engine."""

SLOWNESS_COST_MS: Final = 2000.0
"""Cost of each unit of an engine's slowness above 1, as waiting time, for a long generation. On
engines that took 2.4 times as long as the others 29% of the streams had a gap over the limit, for
which the caller gets 15% of the value, while a first event in time costs nothing: such an engine
costs more than any wait of an engine that is in time for a target of 1.8 s."""

MAX_FORECAST_RATIO: Final = 0.9
"""Forecast time to the first event, as a fraction of the time left, up to which an engine that is
preferred for its speed counts as in time. First events come within 0.96 to 1.08 of the forecast."""

MAX_PLANNED_MEMORY_RATIO: Final = 0.95
"""Fraction of an engine's memory that may be planned for; the rest absorbs the growth of running
generations."""

MAX_COPY_MEMORY_RATIO: Final = 0.9
"""Fraction of an engine's memory up to which it accepts copies of runs that could not all be
evacuated within the notice of their engine; a prompt still fits."""

MAX_SPARE_COPY_MEMORY_RATIO: Final = 0.6
"""Fraction of an engine's memory up to which it accepts copies of any long generation, in case the
engine that runs it fails without notice. Copying is cheap but memory is not, so these copies use
only memory that nothing else needs."""

MIN_IMBALANCE_FACTOR: Final = 2.5
"""Minimum difference in planned memory between two engines, as a multiple of a run's memory, for
the run to move to the emptier one. After the move that engine is still the emptier one, so runs do
not oscillate between the two."""

LATE_RESERVATION_FACTOR: Final = 2
"""Free memory that a long generation past its deadline needs, as a multiple of its prompt. It holds
its memory for as long as one that can still meet its deadline, but is worth less to its caller, so
it must leave room for one of those."""

MAX_LATE_QUEUE_TOKENS: Final = 4000
"""Prompt tokens that wait at an engine up to which it gets a generation that is late, or certainly
will be, while others that can be in time wait for an engine with a shorter queue."""

GROWTH_RESERVE_TOKENS: Final = 250
"""Memory reserved for the growth of each generation: two seconds at 8 ms a token, after which the
state of the engine has been refreshed."""


NO_CAPACITY: Final = "no engine has room"
"""Reason of a decision on a generation that no engine has a batch slot and memory for."""

QUEUES_TOO_LONG: Final = "prompts that wait would make it late"
"""Reason of a decision on a generation that can be in time on an engine with a shorter queue."""


class EngineView(Struct, frozen=True, kw_only=True):
    """State of an engine as seen by a placement decision.

    :param upstream: Id of the engine.
    :param failure_domain: Failure domain of the engine.
    :param memory_tokens: Capacity of its KV cache, in tokens.
    :param held_tokens: Memory that generations hold, or will hold once their prompts are prefilled.
    :param copy_tokens: Memory of copies of runs that leave another engine.
    :param evictable_tokens: Memory of copies made ahead, which are evicted when new work needs it.
    :param uncopied_tokens: Memory of long generations on the engine that have no copy elsewhere.
    :param running: Number of generations that have begun to answer.
    :param waiting_tokens: Prompt tokens sent to the engine that it has not prefilled yet.
    :param waiting: Number of generations that these tokens belong to.
    :param max_batch: Maximum number of generations decoded together.
    :param warmup_ms: Remaining time until the engine runs at full speed after its start.
    :param prefill_tokens_per_ms: Prompt tokens that the engine prefills in a millisecond.
    :param slowness: Time that the engine takes over that of the fastest third of its service, at
        least 1.
    """

    upstream: UpstreamId
    failure_domain: FailureDomainId
    memory_tokens: int
    held_tokens: int
    copy_tokens: int
    evictable_tokens: int
    uncopied_tokens: int
    running: int
    waiting_tokens: int
    waiting: int
    max_batch: int
    warmup_ms: int
    prefill_tokens_per_ms: float = PREFILL_TOKENS_PER_MS
    slowness: float = 1.0

    def __str__(self) -> str:
        """Return a one-line summary for the log."""
        return (
            f"{self.upstream} runs {self.running} waits {self.waiting} held {self.held_tokens} "
            f"copies {self.copy_tokens}+{self.evictable_tokens} reads {self.waiting_tokens}"
        )

    @property
    def planned_tokens(self) -> int:
        """Memory in use now or within seconds, without the copies that can be evicted."""
        growth = (self.running + self.waiting) * GROWTH_RESERVE_TOKENS
        return self.held_tokens + self.copy_tokens + growth


@unique
class PlacementVerdict(Enum):
    """Outcome of a placement decision."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class PlacementQuery(Struct, frozen=True, kw_only=True):
    """Requirements of a generation that needs an engine.

    :param prompt_tokens: Length of its prompt.
    :param is_long: Whether its answer may take seconds.
    :param left_ms: Time left until its first event is late; negative once it is.
    :param patience_ms: How much longer it may wait once it is late.
    :param yields: Whether others that can be in time wait for engines with shorter queues, so that
        it leaves them these engines once it is late.
    """

    prompt_tokens: int
    is_long: bool
    left_ms: int
    patience_ms: int = 0
    yields: bool = False

    @property
    def needed_tokens(self) -> int:
        """Free memory that an engine must have for it."""
        is_late = self.left_ms <= 0
        return (
            self.prompt_tokens * LATE_RESERVATION_FACTOR
            if is_late and self.is_long
            else self.prompt_tokens
        )


class PlacementDecision(Struct, frozen=True, kw_only=True):
    """Placement decision and the state it is based on.

    :param verdict: What to do with the generation.
    :param engine: Engine to send it to; ``None`` unless the verdict is to send it.
    :param wait_ms: Forecast time to its first event on that engine; for a refusal, time until an
        engine can take it, or 0 if that is unknown.
    :param reason: Deciding condition, for the log.
    :param views: Engines that were considered; empty when the generation is sent.
    """

    verdict: PlacementVerdict
    engine: EngineView | None = None
    wait_ms: float = 0.0
    reason: str = ""
    views: Sequence[EngineView] = ()


def is_lack_of_capacity(decision: PlacementDecision) -> bool:
    """Return whether no engine has capacity for a generation, nor for any larger one."""
    return decision.reason == NO_CAPACITY


def first_event_ms(*, view: EngineView, prompt_tokens: int) -> float:
    """Return the forecast time to the first event of a prompt on an engine, in milliseconds."""
    return (view.waiting_tokens + prompt_tokens) / view.prefill_tokens_per_ms


def has_capacity(*, view: EngineView, tokens: int) -> bool:
    """Return whether an engine has a batch slot and memory for one more generation.

    :param view: The engine.
    :param tokens: Length of its prompt, or the memory that is copied with it.
    """
    planned_tokens_after = view.planned_tokens + tokens + GROWTH_RESERVE_TOKENS
    has_batch_slot = view.running + view.waiting < view.max_batch
    return has_batch_slot and planned_tokens_after <= view.memory_tokens * MAX_PLANNED_MEMORY_RATIO


def has_capacity_without_eviction(*, view: EngineView, tokens: int) -> bool:
    """Return whether an engine has capacity for a run without evicting copies made ahead.

    :param view: The engine.
    :param tokens: Memory of the run.
    """
    return has_capacity(view=view, tokens=tokens + view.evictable_tokens)


def free_tokens(views: Sequence[EngineView]) -> int:
    """Return how much memory engines have left for new generations, in tokens."""
    return sum(
        max(int(view.memory_tokens * MAX_PLANNED_MEMORY_RATIO) - view.planned_tokens, 0)
        for view in views
    )


def has_capacity_for_copy(*, view: EngineView, tokens: int, max_ratio: float) -> bool:
    """Return whether an engine has memory for a copy of a run on another engine.

    :param view: The engine.
    :param tokens: Size of the copy.
    :param max_ratio: Maximum fraction of the engine's memory in use, including the copy.
    """
    used_tokens = view.held_tokens + view.copy_tokens + view.evictable_tokens
    return used_tokens + tokens <= view.memory_tokens * max_ratio


def tokens_to_evict(view: EngineView) -> int:
    """Return how much memory of copies made ahead an engine needs for its own work, in tokens."""
    excess = (
        view.planned_tokens
        + view.evictable_tokens
        - int(view.memory_tokens * MAX_PLANNED_MEMORY_RATIO)
    )
    return min(max(excess, 0), view.evictable_tokens)


def is_imbalanced(*, full: EngineView, empty: EngineView, tokens: int) -> bool:
    """Return whether two engines differ enough in planned memory that moving a run balances them.

    :param full: The engine that the run is on.
    :param empty: The engine that the run would move to.
    :param tokens: Memory of the run.
    """
    return full.planned_tokens - empty.planned_tokens > MIN_IMBALANCE_FACTOR * tokens


def select_engine(
    *,
    views: Sequence[EngineView],
    prompt_tokens: int,
    is_long: bool,
    failure_domain: FailureDomainId,
    rng: Random,
    left_ms: float = inf,
) -> EngineView | None:
    """Return the engine with the lowest waiting time for a generation and delay to others.

    Where engines differ in speed, those that are in time go first, and a long generation avoids
    slow ones among them.

    :param views: Engines to choose from.
    :param prompt_tokens: Length of its prompt; 0 if its memory is copied to the engine.
    :param is_long: Whether its answer may take seconds.
    :param failure_domain: Failure domain that its traffic comes from.
    :param rng: Random number generator used to break ties.
    :param left_ms: Time left until its first event is late.
    :returns: The engine, or ``None`` if there are none to choose from.
    """
    is_uneven = any(view.slowness > 1 for view in views)
    in_time_ms = left_ms * MAX_FORECAST_RATIO
    avoids_slow = is_long and any(
        first_event_ms(view=view, prompt_tokens=prompt_tokens) <= in_time_ms for view in views
    )

    def cost(view: EngineView) -> tuple[bool, float, float]:
        forecast_ms = first_event_ms(view=view, prompt_tokens=prompt_tokens)
        is_late = is_uneven and forecast_ms > in_time_ms
        cost_ms = forecast_ms + (view.slowness - 1) * SLOWNESS_COST_MS * avoids_slow
        cost_ms += view.running * RUNNING_GENERATION_COST_MS + view.warmup_ms * WARMUP_COST_FACTOR
        cost_ms += view.uncopied_tokens * UNCOPIED_TOKEN_COST_MS if is_long else 0.0
        cost_ms += CROSS_DOMAIN_COST_MS if view.failure_domain != failure_domain else 0.0
        return is_late, cost_ms, rng.random()

    return min(views, key=cost, default=None)


def place(
    *,
    query: PlacementQuery,
    views: Sequence[EngineView],
    reserved_tokens: int = 0,
    failure_domain: FailureDomainId,
    rng: Random,
) -> PlacementDecision:
    """Decide whether a generation is sent to an engine, waits or is refused.

    :param query: Requirements of the generation.
    :param views: Engines that accept work.
    :param reserved_tokens: Memory reserved for long generations that must leave another engine.
    :param failure_domain: Failure domain of this host.
    :param rng: Random number generator used to break ties.
    """
    if not views:
        return _wait_or_refuse(query, views, "no engine takes work")
    with_capacity = [view for view in views if has_capacity(view=view, tokens=query.needed_tokens)]
    if not with_capacity:
        return _wait_or_refuse(query, views, NO_CAPACITY)
    if query.is_long and free_tokens(views) < query.prompt_tokens + reserved_tokens:
        return _wait_or_refuse(query, views, "what leaves an engine goes first")
    selected = select_engine(
        views=with_capacity,
        prompt_tokens=query.prompt_tokens,
        is_long=query.is_long,
        failure_domain=failure_domain,
        rng=rng,
        left_ms=query.left_ms,
    )
    assert selected is not None
    wait_ms = first_event_ms(view=selected, prompt_tokens=query.prompt_tokens)
    # Forecasts count the prompt that an engine processes in full, so a shorter window would let
    # generations wait until none of them can be in time.
    fastest = max(view.prefill_tokens_per_ms for view in with_capacity)
    unqueued_ms = query.prompt_tokens / min(fastest, PREFILL_TOKENS_PER_MS)
    if wait_ms > query.left_ms > unqueued_ms:
        return _wait_or_refuse(query, views, QUEUES_TOO_LONG)
    is_late = query.left_ms <= unqueued_ms
    if is_late and query.yields and selected.waiting_tokens > MAX_LATE_QUEUE_TOKENS:
        return _wait_or_refuse(query, views, "generations in time go first")
    return PlacementDecision(
        verdict=PlacementVerdict.SEND, engine=selected, wait_ms=wait_ms, reason="room"
    )


def _wait_or_refuse(
    query: PlacementQuery, views: Sequence[EngineView], reason: str
) -> PlacementDecision:
    verdict = (
        PlacementVerdict.WAIT if query.left_ms + query.patience_ms > 0 else PlacementVerdict.REFUSE
    )
    return PlacementDecision(verdict=verdict, reason=reason, views=views)
