"""Input and output types of schedulers, without I/O.

A scheduler holds the queue and the ledgers of one pool of engines. The daemon and the replay use it
in the same way: they report events, then call ``decide`` and execute the decisions it returns.
All times are milliseconds of one monotonic clock, passed in with each call.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from enum import unique
from typing import Protocol

from msgspec import Struct

from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import UpstreamId


class EngineSpec(Struct, frozen=True, kw_only=True):
    """Declared properties of an engine.

    :param engine: Id of the engine.
    :param memory_tokens: Capacity of its KV cache, in tokens.
    :param max_batch: Maximum number of generations decoded together.
    """

    engine: UpstreamId
    memory_tokens: int
    max_batch: int


class PlacementRequest(Struct, frozen=True, kw_only=True):
    """A generation that needs an engine; its answer length is unknown.

    :param generation: Id of the generation.
    :param model: Requested model.
    :param adapter: Requested adapter, or the empty string.
    :param account: Client account of the caller.
    :param request_class: Name that the caller gives to this kind of request, or the empty string.
    :param priority: Priority; 0 is served first.
    :param prompt_tokens: Length of the prompt.
    :param max_tokens: Maximum length of the answer, set by the caller.
    :param prefix: Hash of the shared part of the prompt, or the empty string.
    :param prefix_tokens: Length of that part.
    :param movable: Whether it may be restarted on another engine, as nothing has been delivered
        yet.
    :param arrived: When it arrived at its entry host.
    :param excluded: Engines that must not be selected.
    :param sheddable: Whether it may be refused under overload; false once it has waited or run.
    """

    generation: GenerationId
    model: ModelId
    adapter: str = ""
    account: ClientAccountId
    request_class: str = ""
    priority: int = 1
    prompt_tokens: int
    max_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    movable: bool = False
    arrived: Millis
    excluded: frozenset[UpstreamId] = frozenset()
    sheddable: bool = True


class EngineLoad(Struct, frozen=True, kw_only=True):
    """Load report of an engine, which may be out of date.

    :param engine: Id of the engine.
    :param measured: When the load was measured.
    :param running: Number of generations in its batch.
    :param waiting: Number of generations in its own queue.
    :param used_tokens: Memory in use, in tokens.
    :param preemptions: Number of preemptions since it started.
    """

    engine: UpstreamId
    measured: Millis
    running: int
    waiting: int
    used_tokens: int
    preemptions: int


class AccountSpec(Struct, frozen=True, kw_only=True):
    """Properties of a client account that schedulers and limits use.

    :param weight: Share of the engines under contention, relative to other accounts.
    :param requests_per_second: Limit over all hosts together; 0 means none.
    :param concurrent_requests: Limit over all hosts together; 0 means none.
    :param tokens_per_minute: Limit over all hosts together; 0 means none.
    """

    weight: float = 1.0
    requests_per_second: float = 0.0
    concurrent_requests: int = 0
    tokens_per_minute: int = 0


@unique
class DecisionKind(Enum):
    """Action to take on a generation."""

    ADMIT = "admit"
    SHED = "shed"
    MOVE = "move"
    """Cancel it on its engine; it is queued again."""


class Decision(Struct, frozen=True, kw_only=True):
    """Decision of a scheduler about a generation.

    :param kind: Action to take.
    :param generation: Id of the generation.
    :param engine: Engine to send it to, or to cancel it on; ``None`` when it is shed.
    :param retry_after_ms: When it is shed, how long the caller should wait before it retries.
    """

    kind: DecisionKind
    generation: GenerationId
    engine: UpstreamId | None = None
    retry_after_ms: int = 0


class Scheduler(Protocol):
    """Decides when each generation of one pool runs and on which engine."""

    def set_engines(self, *, engines: Sequence[EngineSpec], now: Millis) -> None:
        """Replace the engines that accept new work; others only finish what they run."""

    def submit(self, *, request: PlacementRequest, now: Millis) -> None:
        """Queue a generation."""

    def withdraw(self, *, generation: GenerationId, now: Millis) -> None:
        """Remove a queued generation whose caller has disconnected."""

    def on_progress(self, *, generation: GenerationId, tokens: int, now: Millis) -> None:
        """Record that a running generation has generated ``tokens`` tokens so far."""

    def on_finished(
        self, *, generation: GenerationId, tokens: int, complete: bool, now: Millis
    ) -> None:
        """Record that a generation left its engine; only complete answers count as lengths."""

    def on_load(self, *, load: EngineLoad, now: Millis) -> None:
        """Apply a load report, which may be delayed."""

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool, now: Millis) -> None:
        """Apply a cache event; events may be delayed or lost."""

    def on_engine_lost(self, *, engine: UpstreamId, now: Millis) -> None:
        """Remove an engine and all generations on it."""

    def decide(self, *, now: Millis) -> Sequence[Decision]:
        """Return the current decisions; called after events and at least every 100 ms."""
