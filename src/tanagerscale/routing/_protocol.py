"""What dispatch asks of routing."""

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
    """A place for a generation.

    :param generation: The generation.
    :param engine: The engine that is to run it.
    :param move_requested: Set when the generation should be cancelled there and placed again,
        which is asked only of movable generations.
    """

    generation: GenerationId
    engine: UpstreamId
    move_requested: asyncio.Event = field(default_factory=asyncio.Event)


class Router(Protocol):
    """Finds an engine for each generation."""

    async def place(self, *, request: PlacementRequest) -> Result[Placement, Problem]:
        """Wait for a place; cancelling the call withdraws the request.

        Each call that succeeds must be followed by one ``release`` for the generation.
        """

    def adopt(self, *, request: PlacementRequest, engine: UpstreamId, tokens: int) -> Placement:
        """Hold a generation that runs already; it must be followed by one ``release``.

        :param request: What was asked for.
        :param engine: Where it runs.
        :param tokens: Tokens made so far.
        """

    def report_progress(self, *, generation: GenerationId, tokens: int) -> None:
        """Tell how many tokens a placed generation has made so far."""

    def release(
        self, *, generation: GenerationId, tokens: int, complete: bool, engine_lost: bool
    ) -> None:
        """Tell that a generation no longer uses its engine."""


class PoolScheduler(Scheduler, Protocol):
    """A scheduler whose generations other schedulers may have admitted."""

    def reconfigure(
        self, *, objective: Objective, accounts: Mapping[ClientAccountId, AccountSpec]
    ) -> None:
        """Go by other declarations from now on.

        :param objective: What the operators weigh.
        :param accounts: Declared accounts.
        """

    def adopt(
        self, *, request: PlacementRequest, engine: UpstreamId, tokens: int, now: Millis
    ) -> None:
        """Enter a generation that runs already.

        :param request: What was asked for.
        :param engine: Where it runs.
        :param tokens: Tokens made so far.
        """


class PeerNetwork(Protocol):
    """What routing asks of the mesh."""

    @property
    def host(self) -> HostId:
        """The host that this process is."""

    @property
    def messages(self) -> Observable[ReceivedMessage]:
        """Messages from the peers."""

    @property
    def live(self) -> Observable[tuple[PeerInfo, ...]]:
        """The peers connected now, at once and after each change."""

    def send(self, *, host: HostId, message: Message) -> bool:
        """Send a message without waiting."""


class UpstreamOpenness(Protocol):
    """What routing asks of the upstream gate."""

    @property
    def changes(self) -> Observable[UpstreamId]:
        """Each upstream whose openness may have changed."""

    def is_open(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream takes new work."""

    def note_leaving(self, *, upstream: UpstreamId, incarnation: int | None = None) -> None:
        """Close a leaving upstream."""

    def note_down(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream could not be reached."""

    def note_up(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream has answered."""
