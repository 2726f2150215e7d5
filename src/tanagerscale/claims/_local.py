"""Calls that this host has claimed: those that run and the last that ended."""

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

Ending = Result[Recorded | InProgress, Problem]
"""What a repeat of a call is told."""


class LocalCall(Struct, kw_only=True):
    """A call that this host is claiming or running.

    :param request_digest: Digest of its request.
    :param nonce: Nonce of its claim.
    :param ending: Resolved when it has ended.
    """

    request_digest: str
    nonce: str
    ending: asyncio.Future[Ending] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class EndedCall(Struct, frozen=True, kw_only=True):
    """A call that has ended, with what a repeat is told."""

    request_digest: str
    ending: Ending
    size: int


@final
class LocalCalls:
    """The table of a host's own calls."""

    def __init__(self) -> None:
        self._running: dict[ClaimKey, LocalCall] = {}
        self._ended: OrderedDict[ClaimKey, EndedCall] = OrderedDict()
        self._ended_bytes = 0

    def running(self, *, key: ClaimKey) -> LocalCall | None:
        """Return a call that is being claimed or run."""
        return self._running.get(key)

    def ended(self, *, key: ClaimKey) -> EndedCall | None:
        """Return a call that has ended."""
        return self._ended.get(key)

    def begin(self, *, key: ClaimKey, request_digest: str, nonce: str) -> LocalCall:
        """Add a call."""
        call = LocalCall(request_digest=request_digest, nonce=nonce)
        self._running[key] = call
        return call

    def end(self, *, key: ClaimKey, ending: Ending) -> None:
        """Remove a call and tell those who joined it."""
        call = self._running.pop(key)
        if not call.ending.done():
            call.ending.set_result(ending)

    def keep(self, *, key: ClaimKey, ended: EndedCall) -> None:
        """Remember how a call ended, as long as there is room."""
        self._ended[key] = ended
        self._ended_bytes += ended.size
        while len(self._ended) > MAX_ENDED or self._ended_bytes > MAX_ENDED_BYTES:
            _, oldest = self._ended.popitem(last=False)
            self._ended_bytes -= oldest.size
