"""Calls that this host has claimed: the running ones and the most recently ended ones."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Final
from typing import final

from msgspec import Struct
from msgspec import field
from returns.result import Result

from tanagerscale.claims._types import ClaimKey
from tanagerscale.claims._types import InProgress
from tanagerscale.claims._types import Recorded
from tanagerscale.core import Problem

MAX_ENDED: Final = 10_000
MAX_ENDED_BYTES: Final = 32 * 1024 * 1024

RepeatResult = Result[Recorded | InProgress, Problem]
"""Result that a repeated call receives."""


class LocalCall(Struct, kw_only=True):
    """A call that this host is claiming or running.

    :param request_digest: Digest of the request.
    :param nonce: Nonce of the claim.
    :param repeat_result: Resolved when the call has ended.
    """

    request_digest: str
    nonce: str
    repeat_result: asyncio.Future[RepeatResult] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class EndedCall(Struct, frozen=True, kw_only=True):
    """A call that has ended.

    :param request_digest: Digest of the request.
    :param repeat_result: Result that a repeated call receives.
    :param size: Size of the body of the answer, in bytes.
    """

    request_digest: str
    repeat_result: RepeatResult
    size: int


@final
class LocalCalls:
    """Table of the calls of this host."""

    def __init__(self) -> None:
        self._running: dict[ClaimKey, LocalCall] = {}
        self._ended: OrderedDict[ClaimKey, EndedCall] = OrderedDict()
        self._ended_bytes = 0

    def get_running(self, *, key: ClaimKey) -> LocalCall | None:
        """Return a call that is being claimed or run; ``None`` if there is none."""
        return self._running.get(key)

    def get_ended(self, *, key: ClaimKey) -> EndedCall | None:
        """Return a call that has ended; ``None`` if there is none."""
        return self._ended.get(key)

    def begin(self, *, key: ClaimKey, request_digest: str, nonce: str) -> LocalCall:
        """Add a call to the running ones."""
        call = LocalCall(request_digest=request_digest, nonce=nonce)
        self._running[key] = call
        return call

    def end(self, *, key: ClaimKey, repeat_result: RepeatResult) -> None:
        """Remove a running call and resolve the repeated calls that wait for it."""
        call = self._running.pop(key)
        if not call.repeat_result.done():
            call.repeat_result.set_result(repeat_result)

    def add_ended(self, *, key: ClaimKey, ended: EndedCall) -> None:
        """Add an ended call; the oldest ones are evicted at the limits of count and size."""
        self._ended[key] = ended
        self._ended_bytes += ended.size
        while len(self._ended) > MAX_ENDED or self._ended_bytes > MAX_ENDED_BYTES:
            _, oldest = self._ended.popitem(last=False)
            self._ended_bytes -= oldest.size
