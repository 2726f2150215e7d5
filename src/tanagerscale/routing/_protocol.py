"""Interfaces of routing: those it provides to dispatch and those it requires."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from msgspec import Struct
from msgspec import field
from reactivex import Observable
from returns.result import Result

from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.generated.declarations import Objective
from tanagerscale.membership import Message
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import ReceivedMessage
from tanagerscale.policy import AccountSpec
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import Scheduler


class Placement(Struct, frozen=True, kw_only=True):
    """The assignment of a generation to an engine.

    :param generation: Id of the generation.
    :param engine: Engine that is to run it.
    :param move_requested: Set when the generation should be cancelled on the engine and placed
        again; only set for movable generations.
    """

    generation: GenerationId
    engine: UpstreamId
    move_requested: asyncio.Event = field(default_factory=asyncio.Event)


class Router(Protocol):
    """Finds an engine for each generation."""

    async def place(self, *, request: PlacementRequest) -> Result[Placement, Problem]:
        """Wait until the request is placed; cancelling the call withdraws the request.

        Each successful call must be followed by exactly one ``release`` of the generation.
        """

    def open_engines(self, *, request: PlacementRequest) -> frozenset[UpstreamId]:
        """Return the engines that can serve a request and accept new work, even if excluded."""

    def adopt(self, *, request: PlacementRequest, engine: UpstreamId, tokens: int) -> Placement:
        """Register a generation that already runs; must be followed by exactly one ``release``.

        :param request: Request that the engine runs.
        :param engine: Engine that runs it.
        :param tokens: Number of tokens generated so far.
        """

    def report_progress(self, *, generation: GenerationId, tokens: int) -> None:
        """Report the number of tokens that a placed generation has generated so far."""

    def release(
        self, *, generation: GenerationId, tokens: int, complete: bool, engine_lost: bool
    ) -> None:
        """Report that a generation no longer uses its engine.

        :param generation: Id of the generation.
        :param tokens: Number of tokens generated.
        :param complete: Whether the answer is complete.
        :param engine_lost: Whether the engine crashed.
        """


class PoolScheduler(Scheduler, Protocol):
    """A scheduler that also accounts for generations admitted by other schedulers."""

    def reconfigure(
        self, *, objective: Objective, accounts: Mapping[ClientAccountId, AccountSpec]
    ) -> None:
        """Replace the declarations that decisions are based on.

        :param objective: Weights of the scheduling objective.
        :param accounts: Declared client accounts.
        """

    def adopt(
        self, *, request: PlacementRequest, engine: UpstreamId, tokens: int, now: Millis
    ) -> None:
        """Add a generation that already runs.

        :param request: Request that the engine runs.
        :param engine: Engine that runs it.
        :param tokens: Number of tokens generated so far.
        :param now: Current time.
        """


class PeerNetwork(Protocol):
    """The part of the mesh that routing uses."""

    @property
    def host(self) -> HostId:
        """Id of this host."""

    @property
    def messages(self) -> Observable[ReceivedMessage]:
        """Messages received from peers."""

    @property
    def live(self) -> Observable[tuple[PeerInfo, ...]]:
        """The connected peers, emitted on subscription and after each change."""

    def send(self, *, host: HostId, message: Message) -> bool:
        """Send a message without blocking."""


class UpstreamAvailability(Protocol):
    """The part of the upstream gate that routing uses."""

    @property
    def changes(self) -> Observable[UpstreamId]:
        """Each upstream that may have started or stopped accepting new work."""

    def is_open(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream accepts new work."""

    def record_leaving(self, *, upstream: UpstreamId, incarnation: int | None = None) -> None:
        """Record that an upstream is leaving and accepts no new work."""

    def record_failure(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream is unreachable."""

    def record_success(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream has answered."""
