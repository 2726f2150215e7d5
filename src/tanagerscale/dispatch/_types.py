"""Data types of dispatch and the interfaces that it requires."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from contextlib import AbstractContextManager
from typing import Protocol

from msgspec import Struct

from tanagerscale.core import AttemptId
from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import ModelId
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId


class GenerationRequest(Struct, frozen=True, kw_only=True):
    """A validated request for a generation.

    :param generation: Id of the generation, returned to the caller as the request id.
    :param account: Client account that sent the request.
    :param model: Declared model.
    :param version: Version of the model, fixed for all attempts.
    :param adapter: Declared adapter, or the empty string.
    :param prompt: Text to continue.
    :param prompt_tokens: Estimated number of tokens in the prompt.
    :param max_tokens: Maximum number of tokens in the answer.
    :param seed: Sampling seed, fixed for all attempts so that a replay generates the same tokens.
    :param priority: Scheduling priority; 0 is the highest.
    :param request_class: Name of the kind of request, or the empty string.
    :param prefix: Hash of the shared part of the prompt, or the empty string.
    :param prefix_tokens: Estimated number of tokens in that part.
    :param whole: Whether the answer is sent to the caller only once it is complete.
    :param fingerprint: Identifies repeats of the same request by the same account.
    """

    generation: GenerationId
    account: ClientAccountId
    model: ModelId
    version: str
    adapter: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    seed: int
    priority: int
    request_class: str
    prefix: str
    prefix_tokens: int
    whole: bool
    fingerprint: str


class ResumePoint(Struct, frozen=True, kw_only=True):
    """Position at which to resume a generation that another host has dispatched.

    :param attempt: Id of the running attempt.
    :param engine: Engine that runs it.
    :param offset: Number of tokens that the caller has received.
    :param checksum: Running CRC-32 of the text of these tokens.
    """

    attempt: AttemptId
    engine: UpstreamId
    offset: int
    checksum: int


class Sink(Protocol):
    """Delivers the accepted tokens of one generation to its caller."""

    @property
    def cancel_after_ms(self) -> int | None:
        """Time in ms until an attempt is cancelled after its caller leaves; ``None`` for never."""

    async def begin(self, *, attempt: AttemptId, engine: UpstreamId) -> None:
        """Set the attempt that generates the following tokens."""

    def deliver(self, *, texts: Sequence[str], offset: int, checksum: int) -> Awaitable[None]:
        """Deliver tokens.

        :param texts: Texts of the tokens, in order.
        :param offset: Number of tokens of the generation up to and including these.
        :param checksum: Running CRC-32 of the text of all these tokens.
        """

    def discard(self) -> bool:
        """Discard tokens that have not been sent to the caller.

        :returns: Whether nothing has been sent to the caller, so that another attempt may
            generate a different answer.
        """


class UpstreamObserver(Protocol):
    """Records successes and failures of upstreams."""

    def record_leaving(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream refused a request because it accepts no new work."""

    def record_failure(self, *, upstream: UpstreamId) -> None:
        """Record that a call to an upstream failed."""

    def record_success(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream answered."""


class CrashWatch(Protocol):
    """Keeps requests that crash upstreams from the other upstreams."""

    def check(self, *, fingerprint: str) -> Problem | None:
        """Return the problem for a request that must not run; ``None`` when it may run."""

    def excluded_engines(self, *, fingerprint: str, model: ModelId) -> frozenset[UpstreamId]:
        """Return the engines of a model on which the request must not run at present."""

    def engines_of_copies(self, *, fingerprint: str) -> frozenset[UpstreamId]:
        """Return the engines that run copies of a request, for any host."""

    def watch(
        self, *, fingerprint: str, on_change: Callable[[], None]
    ) -> AbstractContextManager[None]:
        """Call a function when a request may be refused or its excluded engines may have changed.

        :param on_change: Called while the context is open; must not wait.
        """

    async def wait_change(self) -> None:
        """Wait until the excluded engines may have changed, or until a short timeout."""

    async def admit(
        self,
        *,
        fingerprint: str,
        engine: UpstreamId,
        stop: asyncio.Event,
        progress: Callable[[], int],
    ) -> bool:
        """Request admission of a run on an engine; called immediately before it is sent.

        :param stop: Set when the run should be cancelled and retried.
        :param progress: Returns the number of tokens that the run has generated.
        :returns: Whether the run is admitted; it then counts as running until ``on_finished``.
        """

    def on_finished(
        self, *, fingerprint: str, engine: UpstreamId, stop: asyncio.Event, complete: bool
    ) -> None:
        """Record that a request no longer runs on an engine, for any reason except a crash.

        :param stop: The event that ``admit`` was given for the run.
        """

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Record that an engine crashed and lost all its runs."""


class RetryLimiter(Protocol):
    """Limits the ratio of retries to requests."""

    def on_request(self) -> None:
        """Record a first attempt."""

    def try_spend(self) -> bool:
        """Consume one retry from the budget; return whether one was available."""
