"""Permits of the decider for requests to upstreams with rate limits."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.coordination._rate_limits import Permit
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import RateAnswer
from tanagerscale.generated.messages import RateAsk
from tanagerscale.generated.messages import RequestClass
from tanagerscale.membership import Message

ASK_INTERVAL_MS_PER_HOST: Final = 5
"""Time for each host after which it asks again for a permit that was refused. It bounds the asks
about one upstream to 200 a second."""


@final
class RatePermits:
    """Asks the decider for permits, and remembers refusals.

    :param query: Sends the decider a query, built from a serial number, and returns its answer.
    :param hosts: Returns the number of hosts.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        query: Callable[[Callable[[int], Message]], Awaitable[Message]],
        hosts: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._query = query
        self._hosts = hosts
        self._clock = clock
        self._refused_until: dict[tuple[UpstreamId, RequestClass], Millis] = {}

    async def acquire(
        self, *, upstream: UpstreamId, kind: RequestClass, wait_ms: int = 0, prompt_ms: int = 0
    ) -> Permit:
        """Return whether and when a request may be sent to an upstream.

        :param upstream: The upstream.
        :param kind: Class of the request.
        :param wait_ms: How long the request may wait.
        :param prompt_ms: How long it may wait to be answered in time.
        """
        key = upstream, kind
        refused_ms = self._refused_until.get(key, Millis(0)) - self._clock.now()
        if refused_ms > wait_ms:
            return Permit(may_send=False, delay_ms=refused_ms)
        answer = await self._query(
            lambda serial: RateAsk(
                serial=serial, upstream=upstream, kind=kind, wait_ms=wait_ms, prompt_ms=prompt_ms
            )
        )
        if not isinstance(answer, RateAnswer):
            return Permit(may_send=False)
        if answer.may_send:
            self._refused_until.pop(key, None)
        else:
            pause_ms = max(answer.delay_ms, self._hosts() * ASK_INTERVAL_MS_PER_HOST)
            self._refused_until[key] = Millis(self._clock.now() + pause_ms)
        return Permit(may_send=answer.may_send, delay_ms=answer.delay_ms)
