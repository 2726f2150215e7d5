"""Bodies that are arriving, and which of them are given up when the host is full."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis

STALLED_AFTER_MS: Final = 1000
"""Time without a byte after which a body is given up for another large one."""

CREDIT_BYTES: Final = 64 * 1024
"""Bytes that count as received from the start, so that a body that has just begun isn't the
slowest."""

SMALL_BODY_BYTES: Final = 64 * 1024
"""Size up to which a body may take the space of any slower one."""


class UploadGivenUpError(Exception):
    """Raised where a body is read that was given up for other requests."""


class Upload(Struct, kw_only=True, eq=False):
    """A body that is arriving.

    :param began: When its reading began.
    :param last_received: When a part of it was last received.
    :param give_up: Refuses its request and frees what that holds.
    :param close: Closes its connection at once; returns whether it was open.
    :param received: Bytes that have been received.
    """

    began: Millis
    last_received: Millis
    give_up: Callable[[], None]
    close: Callable[[], bool]
    received: int = 0

    def get_rate(self, now: Millis) -> float:
        """Return the average rate in bytes per second."""
        return (self.received + CREDIT_BYTES) * MS_PER_SECOND / max(now - self.began, 1)


@final
class Uploads:
    """The bodies that are arriving at a host."""

    def __init__(self) -> None:
        self._uploads: set[Upload] = set()

    def add(self, upload: Upload) -> None:
        """Add a body that begins to arrive."""
        self._uploads.add(upload)

    def remove(self, upload: Upload) -> None:
        """Remove a body that is complete or was given up."""
        self._uploads.discard(upload)

    def give_up_one(self, *, now: Millis, is_stalled: bool = False) -> bool:
        """Give up the slowest body; return whether there was one.

        :param now: Current time.
        :param is_stalled: Whether only bodies of which nothing arrives may be given up.
        """
        slowest = self._take_slowest(now, is_stalled=is_stalled)
        if slowest is not None:
            slowest.give_up()
        return slowest is not None

    def close_one(self, *, now: Millis, is_stalled: bool = False) -> bool:
        """Close the connection of the slowest body; return whether there was one.

        :param now: Current time.
        :param is_stalled: Whether only bodies of which nothing arrives may be given up.
        """
        slowest = self._take_slowest(now, is_stalled=is_stalled)
        return slowest is not None and slowest.close()

    def _take_slowest(self, now: Millis, *, is_stalled: bool) -> Upload | None:
        candidates = self._uploads
        if is_stalled:
            due = now - STALLED_AFTER_MS
            candidates = {one for one in self._uploads if one.last_received <= due}
        slowest = min(candidates, key=lambda one: one.get_rate(now), default=None)
        if slowest is not None:
            self._uploads.discard(slowest)
        return slowest
