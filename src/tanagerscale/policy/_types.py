"""What a scheduler is told and what it decides; no I/O.

A scheduler holds the queue and the ledger of one pool of engines. The daemon and the replay
drive it in the same way: they report events, then call ``decide`` and carry out what it returns.
All times are milliseconds of one monotonic clock, handed in with each call.
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
    """What is declared of an engine.

    :param engine: Its id.
    :param memory_tokens: Tokens of key-value memory.
    :param max_batch: Most generations decoded together.
    """

    engine: UpstreamId
    memory_tokens: int
    max_batch: int


class PlacementRequest(Struct, frozen=True, kw_only=True):
    """A generation that needs an engine. Its length is unknown.

    :param generation: Its id.
    :param model: Model asked for.
    :param adapter: Adapter asked for, or the empty string.
    :param account: Client account that asks.
    :param request_class: Name the caller gives to its kind of request, or the empty string.
    :param priority: 0 goes first.
    :param prompt_tokens: Length of the prompt.
    :param max_tokens: Longest answer the caller accepts.
    :param prefix: Hash of the shared part of the prompt, or the empty string.
    :param prefix_tokens: Length of that part.
    :param movable: Whether nothing has been delivered, so that it may be started again elsewhere.
    :param arrived: When it arrived at its entry host.
    :param excluded: Engines not to choose.
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
    """What an engine said of itself, some time ago.

    :param engine: Its id.
    :param measured: When it was true.
    :param running: Generations in its batch.
    :param waiting: Generations in its own queue.
    :param used_tokens: Tokens of memory in use.
    :param preemptions: Preemptions since it started.
    """

    engine: UpstreamId
    measured: Millis
    running: int
    waiting: int
    used_tokens: int
    preemptions: int


class AccountSpec(Struct, frozen=True, kw_only=True):
    """What a scheduler and the limits need to know of a client account.

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
    """What is to become of a generation."""

    ADMIT = "admit"
    SHED = "shed"
    MOVE = "move"
    """Cancel it where it runs; it stands in the queue again."""


class Decision(Struct, frozen=True, kw_only=True):
    """What a scheduler decided.

    :param kind: What to do.
    :param generation: For which generation.
    :param engine: Engine to send it to, or to cancel it on; ``None`` when it is shed.
    :param retry_after_ms: When shed, how long the caller should stay away.
    """

    kind: DecisionKind
    generation: GenerationId
    engine: UpstreamId | None = None
    retry_after_ms: int = 0


class Scheduler(Protocol):
    """Decides for one pool which generation runs where and when."""

    def set_engines(self, *, engines: Sequence[EngineSpec], now: Millis) -> None:
        """Replace the engines that take new work; others only finish what they run."""

    def submit(self, *, request: PlacementRequest, now: Millis) -> None:
        """Queue a generation."""

    def withdraw(self, *, generation: GenerationId, now: Millis) -> None:
        """Forget a queued generation whose caller has left."""

    def on_progress(self, *, generation: GenerationId, tokens: int, now: Millis) -> None:
        """Record that a running generation has made ``tokens`` tokens so far."""

    def on_finished(
        self, *, generation: GenerationId, tokens: int, complete: bool, now: Millis
    ) -> None:
        """Record that a generation left its engine; lengths are learnt from complete ones only."""

    def on_load(self, *, load: EngineLoad, now: Millis) -> None:
        """Take in a late report."""

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool, now: Millis) -> None:
        """Take in a cache event, which may be late or one of several that went missing."""

    def on_engine_lost(self, *, engine: UpstreamId, now: Millis) -> None:
        """Forget an engine and all it ran."""

    def decide(self, *, now: Millis) -> Sequence[Decision]:
        """Return what to do now; called after events and at least every 100 ms."""
