"""The users' rules on parts of prompts that crash upstreams, computed from what was seen."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

ALLOWED_CRASHES = 5
ALLOWED_REQUESTS = 3
"""Requests with the part that may reach upstreams once the time after the last allowed crash is
over."""
MIN_RATIO = 0.5
"""Part of the usual success that requests must have which share something with crashing ones."""
MIN_COMPARED = 20


@dataclass(frozen=True, slots=True)
class CrashingArrival:
    """A request with a part that crashes upstreams, which has reached one.

    :param at: When it did, in milliseconds.
    :param host: The host that sent it.
    """

    at: int
    host: str


@dataclass(frozen=True, slots=True)
class SoundTry:
    """First attempt of a request that shares its first part or its key with crashing requests.

    :param at: When it was sent, in milliseconds.
    :param has_begun: Whether its answer has begun.
    :param is_usual: Whether it was sent while nothing unplanned disturbed the upstreams.
    """

    at: int
    has_begun: bool
    is_usual: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashingPartRule:
    """What may happen under one part that crashes upstreams.

    :param contact_ms: Time in which hosts have to learn of a crash.
    """

    contact_ms: int = 3000

    def find_excess(
        self,
        *,
        crashes: Sequence[int],
        arrivals: Sequence[CrashingArrival],
        is_in_touch: Callable[[str, int], bool] = lambda _host, _at: True,
    ) -> str:
        """Return a description of the requests that were sent in spite of the crashes.

        :param crashes: Times of the crashes under the part, in order.
        :param arrivals: Requests with the part that have reached upstreams.
        :param is_in_touch: Returns whether a host was in touch at a time.
        """
        if len(crashes) < ALLOWED_CRASHES:
            return ""
        since = crashes[ALLOWED_CRASHES - 1] + self.contact_ms
        late = [one for one in arrivals if one.at > since and is_in_touch(one.host, one.at)]
        if len(late) <= ALLOWED_REQUESTS:
            return ""
        return (
            f"{len(late)} requests with a part under which {ALLOWED_CRASHES} upstreams had crashed "
            f"reached upstreams later than {since}; {len(crashes)} crashed in all"
        )

    def find_neglect(
        self, *, crashes: Sequence[int], last_sent: int, tries: Sequence[SoundTry]
    ) -> str:
        """Return a description of how much worse sound requests were served than usual.

        :param crashes: Times of the crashes under the part, in order.
        :param last_sent: When the last request with the part was sent to a host.
        :param tries: Sound requests that share something with those that have the part.
        """
        if not crashes:
            return ""
        since = crashes[:ALLOWED_CRASHES][-1] + 2 * self.contact_ms
        beside = [one.has_begun for one in tries if since <= one.at <= last_sent]
        usual = [one.has_begun for one in tries if one.is_usual]
        if len(beside) < MIN_COMPARED or len(usual) < MIN_COMPARED:
            return ""
        if sum(beside) / len(beside) >= MIN_RATIO * sum(usual) / len(usual):
            return ""
        return (
            f"{sum(beside)} of {len(beside)} sound requests began beside a part that crashes "
            f"upstreams, and {sum(usual)} of {len(usual)} otherwise"
        )
