"""Generations that wait at their host for room on an engine."""

from __future__ import annotations

import asyncio
from collections.abc import Set
from typing import Final
from typing import final

from msgspec import Struct
from msgspec import field
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._engine_views import is_long
from tanagerscale.forwarding._engine_views import place_prompt
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._refusals import no_room
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.policy import Placement
from tanagerscale.policy import Verdict
from tanagerscale.upstreams import UpstreamEntry

LOOK_AGAIN_MS: Final = 50
"""How often what waits is looked at although nothing was heard: time alone makes it late."""

_log = get_logger(part="admission")

Answer = Result[UpstreamEntry, Refusal]


class _Waiting(Struct, kw_only=True, eq=False):
    routed: RoutedRequest
    excluded: Set[UpstreamId]
    answer: asyncio.Future[Answer]
    reason: str = field(default="")


@final
class Admission:
    """Gives each generation an engine, at once or when there is room, or refuses it.

    Short answers go first: they hold their memory for half a second, where a long one holds it for
    ten, and someone stands waiting for them. Within a kind the first to come is the first to go.

    :param parts: What every request uses.
    """

    def __init__(self, *, parts: ForwardingParts) -> None:
        self._parts = parts
        self._waiting: list[_Waiting] = []
        self._timer: asyncio.TimerHandle | None = None
        self._looking = False

    @property
    def waiting(self) -> int:
        """How many wait."""
        return len(self._waiting)

    async def find_engine(self, *, routed: RoutedRequest, excluded: Set[UpstreamId]) -> Answer:
        """Return the engine that a generation is to be sent to.

        Its memory there is counted from now on; the caller ends that count.

        :param routed: The request.
        :param excluded: Engines that did not take it.
        """
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        waiting = _Waiting(routed=routed, excluded=excluded, answer=future)
        self._waiting.append(waiting)
        self._waiting.sort(key=lambda one: (is_long(one.routed), one.routed.request.arrived))
        self.look()
        try:
            return await future
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def look(self) -> None:
        """Decide anew about everything that waits."""
        self._parts.meters.waiting.set(len(self._waiting))
        if self._looking or not self._waiting:
            return  # A decision is itself news that leads here again.
        self._looking = True
        try:
            self._look_at_all()
        finally:
            self._looking = False
        self._look_again_later()

    def _look_at_all(self) -> None:
        for waiting in list(self._waiting):
            placement = place_prompt(
                routed=waiting.routed, parts=self._parts, excluded=waiting.excluded
            )
            if placement.verdict is not Verdict.WAIT:
                self._waiting.remove(waiting)
                self._decide(waiting, placement)
            elif waiting.reason != placement.reason:
                waiting.reason = placement.reason
                self._log("A generation waits.", waiting, **_grounds(placement))

    def _decide(self, waiting: _Waiting, placement: Placement) -> None:
        if waiting.answer.done():
            return
        routed = waiting.routed
        view = placement.engine
        entry = None if view is None else self._parts.upstreams.get(view.upstream)
        if entry is None or view is None:
            self._log("A generation is refused.", waiting, **_grounds(placement))
            refusal = no_room(service=routed.service, rng=self._parts.rng)
            waiting.answer.set_result(Failure(refusal))
            return
        prompt = 0 if routed.request.demand is None else routed.request.demand.prompt_tokens
        self._parts.work.begin(
            request=routed.request.request,
            upstream=entry.upstream,
            prompt_tokens=prompt,
            tokens=prompt,
            is_long=is_long(routed),
        )
        self._log(
            "An engine is chosen.",
            waiting,
            upstream=entry.upstream,
            prompt_tokens=prompt,
            forecast_ms=int(placement.wait_ms),
            engine_running=view.running,
            engine_planned=view.planned_tokens,
            engine_waiting=view.waiting_tokens,
            engine_copies=view.copy_tokens,
        )
        waiting.answer.set_result(Success(entry))

    def _look_again_later(self) -> None:
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(LOOK_AGAIN_MS / MS_PER_SECOND, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.look()

    def _log(self, message: str, waiting: _Waiting, **inputs: object) -> None:
        request = waiting.routed.request
        _log.info(
            message,
            request=request.request,
            after_ms=self._parts.clock.now() - request.arrived,
            queued=len(self._waiting),
            **inputs,
        )


def _grounds(placement: Placement) -> dict[str, object]:
    return {"reason": placement.reason, "engines": [str(view) for view in placement.views]}
