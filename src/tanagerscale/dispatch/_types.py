"""What dispatch works with and what it asks of its neighbours."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

from msgspec import Struct

from tanagerscale.core import AttemptId
from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import ModelId
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId


class GenerationRequest(Struct, frozen=True, kw_only=True):
    """A checked request for a generation.

    :param generation: Id of the generation, which the caller knows as the request id.
    :param account: Client account that asks.
    :param model: Declared model.
    :param version: Its version, fixed for all attempts.
    :param adapter: Declared adapter, or the empty string.
    :param prompt: Text to continue.
    :param prompt_tokens: Estimated length of the prompt.
    :param max_tokens: Longest answer.
    :param seed: Fixed for all attempts, so that a replay makes the same tokens.
    :param priority: 0 goes first.
    :param request_class: Name for the kind of request, or the empty string.
    :param prefix: Hash of the shared part of the prompt, or the empty string.
    :param prefix_tokens: Estimated length of that part.
    :param whole: Whether nothing reaches the caller before the answer is complete.
    :param fingerprint: Recognises the same request from the same account.
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
    """Where a generation stands that another host has dispatched.

    :param attempt: The attempt that runs.
    :param engine: Where it runs.
    :param offset: Tokens that the caller holds.
    :param checksum: Running CRC-32 of their text.
    """

    attempt: AttemptId
    engine: UpstreamId
    offset: int
    checksum: int


class Sink(Protocol):
    """Takes the accepted tokens of one generation to its caller."""

    @property
    def cancel_after_ms(self) -> int | None:
        """How long an attempt goes on when its caller leaves; ``None`` means to its end."""

    async def begin(self, *, attempt: AttemptId, engine: UpstreamId) -> None:
        """Learn which attempt makes the tokens from now on."""

    def deliver(self, *, texts: Sequence[str], offset: int, checksum: int) -> Awaitable[None]:
        """Hand tokens on.

        :param texts: The tokens, in order.
        :param offset: Tokens of the generation up to and with these.
        :param checksum: Running checksum of their text.
        """

    def discard(self) -> bool:
        """Drop tokens that have not reached the caller.

        :returns: Whether nothing has reached the caller, so that any attempt may start anew.
        """


class UpstreamNotes(Protocol):
    """Is told how upstreams behave."""

    def note_leaving(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream said that it takes no new work."""

    def note_failure(self, *, upstream: UpstreamId) -> None:
        """Record that a call to an upstream failed."""

    def note_success(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream answered."""


class CrashWatch(Protocol):
    """Keeps requests that crash upstreams from the other upstreams."""

    def check(self, *, fingerprint: str) -> Problem | None:
        """Return the final answer for a request that must not run."""

    def excluded_engines(self, *, fingerprint: str, model: ModelId) -> frozenset[UpstreamId]:
        """Return the engines of a model where the request may not run now."""

    async def wait_change(self) -> None:
        """Wait until an excluded engine may have become free, or for a short while."""

    async def admit(
        self,
        *,
        fingerprint: str,
        engine: UpstreamId,
        stop: asyncio.Event,
        progress: Callable[[], int],
    ) -> bool:
        """Ask, immediately before sending, to run a request on an engine.

        :param stop: Set when the run should be cancelled and tried again.
        :param progress: Returns how many tokens the run has made.
        :returns: Whether it may; it then counts as running until ``on_finished``.
        """

    def on_finished(self, *, fingerprint: str, engine: UpstreamId, complete: bool) -> None:
        """Record that a request no longer runs on an engine, for any reason but a crash."""

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Record that an engine died with all that it ran."""


class RetryAllowance(Protocol):
    """Bounds how much of the work may be retries."""

    def on_request(self) -> None:
        """Record a first attempt."""

    def try_spend(self) -> bool:
        """Take one retry if the budget allows it."""
