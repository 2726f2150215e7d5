"""Permits of the decider for requests to upstreams with rate limits."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
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
about one upstream to 200 a second, without those of requests that may wait."""


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
        self,
        *,
        upstreams: Sequence[UpstreamId],
        kind: RequestClass,
        wait_ms: int = 0,
        prompt_ms: int = 0,
    ) -> Permit:
        """Return whether and when a request may be sent to one of some upstreams.

        :param upstreams: The upstreams in order of preference; at least one.
        :param kind: Class of the request.
        :param wait_ms: How long the request may wait.
        :param prompt_ms: How long it may wait to be answered in time.
        """
        now = self._clock.now()
        refused_ms = {
            upstream: max(self._refused_until.get((upstream, kind), now) - now, 0)
            for upstream in upstreams
        }
        asked: list[str] = [one for one in upstreams if refused_ms[one] <= wait_ms]
        if not asked:
            return Permit(may_send=False, delay_ms=min(refused_ms.values()))
        answer = await self._query(
            lambda serial: RateAsk(
                serial=serial, upstreams=asked, kind=kind, wait_ms=wait_ms, prompt_ms=prompt_ms
            )
        )
        if not isinstance(answer, RateAnswer):
            return Permit(may_send=False)
        if not answer.may_send:
            self._remember_refusal(upstreams, kind, answer.delay_ms)
        return Permit(
            may_send=answer.may_send,
            upstream=UpstreamId(answer.upstream),
            delay_ms=answer.delay_ms,
        )

    def _remember_refusal(
        self, upstreams: Sequence[UpstreamId], kind: RequestClass, delay_ms: int
    ) -> None:
        now = self._clock.now()
        pause_ms = max(delay_ms, self._hosts() * ASK_INTERVAL_MS_PER_HOST)
        self._refused_until = {
            key: until for key, until in self._refused_until.items() if until > now
        }
        for upstream in upstreams:
            self._refused_until[upstream, kind] = Millis(now + pause_ms)
