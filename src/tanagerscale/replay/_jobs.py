"""Requests on their way, the schedulers they ask, and how policies lay those out."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence as Items
from typing import TYPE_CHECKING
from typing import Protocol

from msgspec import Struct

from tanagerscale.core import GenerationId
from tanagerscale.measures import RequestTimeline
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import Scheduler
from tanagerscale.replay._engine import EngineFake
from tanagerscale.replay._sequence import Sequence
from tanagerscale.replay._settings import Case
from tanagerscale.replay._trace import TraceRequest

if TYPE_CHECKING:
    from tanagerscale.replay._world import World


class Job:
    """One request of the trace and what became of it."""

    __slots__ = (
        "asked_at",
        "asked_for",
        "complete",
        "done",
        "ended_at",
        "engine",
        "generation",
        "host",
        "refusals",
        "request",
        "sequence",
        "site",
        "starts",
        "timeline",
        "tries",
    )

    def __init__(self, *, request: TraceRequest, host: int, timeline: RequestTimeline) -> None:
        self.request = request
        self.host = host
        self.timeline = timeline
        self.generation = GenerationId("")
        self.starts = 0
        self.tries = 0
        self.sequence: Sequence | None = None
        self.engine: EngineFake | None = None
        self.site: Site | None = None
        self.done = False
        self.complete = False
        self.ended_at = 0.0
        self.refusals = 0
        self.asked_at = 0.0
        self.asked_for: PlacementRequest | None = None


class Site:
    """A scheduler and the host it runs on.

    :param scheduler: The scheduler.
    :param host: Its host; ``None`` when messages to it take no time.
    """

    def __init__(self, *, scheduler: Scheduler, host: int | None) -> None:
        self.scheduler = scheduler
        self.host = host
        self.frozen_until = 0.0
        self.pending = False


class Layout(Protocol):
    """Which schedulers a policy has, and which of them a host asks."""

    @property
    def sites(self) -> Items[Site]:
        """Return all sites."""

    def site_for(self, *, host: int, now: float) -> Site:
        """Return the site a host's request goes to."""

    def on_length(self, *, host: int, request: PlacementRequest, tokens: int) -> None:
        """Take in the length of an answer that ended at a host."""

    def on_fault(self, world: World, *, case: Case, began: bool) -> None:
        """Take in that an owner or the links between hosts failed or came back."""


class ServedTokens(Struct, frozen=True, kw_only=True):
    """Service to one account.

    :param offered: Tokens of prompts and answers it asked for.
    :param served: Tokens of those that were served within the trace's time.
    """

    offered: int
    served: int


def service_of_accounts(
    jobs: Iterable[Job], *, made: Callable[[GenerationId], int]
) -> dict[str, ServedTokens]:
    """Return the tokens that each account asked for and got so far.

    :param jobs: All that callers asked.
    :param made: Returns how many tokens a generation has that still runs.
    """
    service: dict[str, ServedTokens] = {}
    for job in jobs:
        wanted = job.request
        before = service.get(wanted.account, ServedTokens(offered=0, served=0))
        tokens = job.timeline.tokens if job.done else made(job.generation)
        started = job.done or tokens > 0
        service[wanted.account] = ServedTokens(
            offered=before.offered + wanted.prompt_tokens + wanted.output_tokens,
            served=before.served + (wanted.prompt_tokens if started else 0) + tokens,
        )
    return service
