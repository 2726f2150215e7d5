"""Request state, scheduler instances and the interface of scheduler topologies."""

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
from tanagerscale.replay._engine import SimulatedEngine
from tanagerscale.replay._sequence import Sequence
from tanagerscale.replay._settings import FaultCase
from tanagerscale.replay._trace import TraceRequest

if TYPE_CHECKING:
    from tanagerscale.replay._world import Simulation


class Job:
    """State of one trace request during a replay.

    :param request: Request of the trace.
    :param host: Index of the host that receives the request.
    :param timeline: Records the times of the request's tokens.
    """

    __slots__ = (
        "attempts",
        "complete",
        "done",
        "ended_at",
        "engine",
        "generation",
        "host",
        "instance",
        "placement_request",
        "refusals",
        "request",
        "sequence",
        "submissions",
        "submitted_at",
        "timeline",
    )

    def __init__(self, *, request: TraceRequest, host: int, timeline: RequestTimeline) -> None:
        self.request = request
        self.host = host
        self.timeline = timeline
        self.generation = GenerationId("")
        self.submissions = 0
        self.attempts = 0
        self.sequence: Sequence | None = None
        self.engine: SimulatedEngine | None = None
        self.instance: SchedulerInstance | None = None
        self.done = False
        self.complete = False
        self.ended_at = 0.0
        self.refusals = 0
        self.submitted_at = 0.0
        self.placement_request: PlacementRequest | None = None


class SchedulerInstance:
    """A scheduler and the host that runs it.

    :param scheduler: Makes the placement decisions.
    :param host: Index of the host that runs it; ``None`` if messages to it have no delay.
    """

    def __init__(self, *, scheduler: Scheduler, host: int | None) -> None:
        self.scheduler = scheduler
        self.host = host
        self.frozen_until = 0.0
        self.decision_pending = False


class SchedulerTopology(Protocol):
    """Scheduler instances of a policy and the assignment of hosts to them."""

    @property
    def instances(self) -> Items[SchedulerInstance]:
        """All scheduler instances."""

    def instance_for(self, *, host: int, now: float) -> SchedulerInstance:
        """Return the scheduler instance that receives the requests of a host."""

    def on_answer_length(self, *, host: int, request: PlacementRequest, tokens: int) -> None:
        """Handle the length of an answer that a host has delivered."""

    def on_fault(self, simulation: Simulation, *, case: FaultCase, began: bool) -> None:
        """Handle the start or the end of a failure of the owner or of the links between hosts."""


class ServedTokens(Struct, frozen=True, kw_only=True):
    """Requested and served tokens of one client account.

    :param offered: Prompt and output tokens of the account's requests.
    :param served: Number of these tokens that were served before the end of the trace.
    """

    offered: int
    served: int


def compute_service_by_account(
    jobs: Iterable[Job], *, generated_tokens: Callable[[GenerationId], int]
) -> dict[str, ServedTokens]:
    """Return the tokens requested by and served to each client account so far.

    :param jobs: All requests received so far.
    :param generated_tokens: Returns the number of tokens a running generation has produced.
    """
    service: dict[str, ServedTokens] = {}
    for job in jobs:
        trace_request = job.request
        previous = service.get(trace_request.account, ServedTokens(offered=0, served=0))
        tokens = job.timeline.tokens if job.done else generated_tokens(job.generation)
        has_started = job.done or tokens > 0
        service[trace_request.account] = ServedTokens(
            offered=previous.offered + trace_request.prompt_tokens + trace_request.output_tokens,
            served=previous.served + (trace_request.prompt_tokens if has_started else 0) + tokens,
        )
    return service
