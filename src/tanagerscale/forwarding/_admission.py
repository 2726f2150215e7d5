"""Asking for an engine for a generation."""

from __future__ import annotations

from collections.abc import Set
from typing import Final
from typing import Protocol
from typing import final

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._demand import is_long
from tanagerscale.forwarding._demand import late_patience_ms
from tanagerscale.forwarding._demand import left_until_late_ms
from tanagerscale.forwarding._demand import waited_ms
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._refusals import no_room
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.upstreams import UpstreamEntry

UNKNOWN_PAUSE_MS: Final = 10
MOST_PAUSES: Final = 10
"""How often, and how many times, a host looks for the entry of an engine that was chosen for it and
that it does not know yet. The decider may hear of a new engine some milliseconds sooner."""

EVACUATED_ENGINE: Final = "its failure domain is evacuated"

_log = get_logger(part="admission")

Answer = Result[UpstreamEntry, Refusal]


class Placer(Protocol):
    """Finds engines for generations."""

    async def place(self, *, ask: PlaceAsk) -> PlaceAnswer:
        """Return what becomes of a generation; cancelling the call withdraws it."""


@final
class Admission:
    """Gives each generation an engine, at once or when there is room, or refuses it.

    :param parts: What every request uses.
    :param placer: Finds engines.
    """

    def __init__(self, *, parts: ForwardingParts, placer: Placer) -> None:
        self._parts = parts
        self._placer = placer

    async def find_engine(self, *, routed: RoutedRequest, excluded: Set[UpstreamId]) -> Answer:
        """Return the engine that a generation is to be sent to.

        Its memory there is counted from now on; the caller ends that count.

        :param routed: The request.
        :param excluded: Engines that did not take it.
        """
        tried = set(excluded)
        while True:
            answer = await self._placer.place(ask=self._ask(routed, tried))
            if answer.kind is not PlaceKind.SEND:
                self._log("A generation is refused.", routed, reason=answer.reason)
                return Failure(no_room(service=routed.service, rng=self._parts.rng))
            upstream = UpstreamId(answer.upstream)
            entry = await self._entry_of(upstream)
            if entry is not None and not self._parts.upstreams.is_evacuated(upstream):
                self._begin(routed, entry)
                self._log(
                    "An engine is given.",
                    routed,
                    upstream=upstream,
                    forecast_ms=answer.forecast_ms,
                )
                return Success(entry)
            self._log(
                "An engine is given that may not be used.",
                routed,
                upstream=upstream,
                reason="it is not known here" if entry is None else EVACUATED_ENGINE,
            )
            tried.add(upstream)

    def _ask(self, routed: RoutedRequest, excluded: Set[UpstreamId]) -> PlaceAsk:
        demand = routed.request.demand
        return PlaceAsk(
            serial=0,
            request=routed.request.request,
            service=routed.service,
            prompt_tokens=0 if demand is None else demand.prompt_tokens,
            is_long=is_long(routed),
            left_ms=left_until_late_ms(routed, self._parts),
            patience_ms=late_patience_ms(routed, self._parts),
            waited_ms=waited_ms(routed, self._parts),
            excluded=sorted(excluded),
            domains=sorted(routed.domains),
        )

    async def _entry_of(self, upstream: UpstreamId) -> UpstreamEntry | None:
        """Return the entry of an engine, also when it comes within a moment."""
        for _ in range(MOST_PAUSES):
            entry = self._parts.upstreams.get(upstream)
            if entry is not None:
                return entry
            await self._parts.clock.sleep(UNKNOWN_PAUSE_MS)
        return None

    def _begin(self, routed: RoutedRequest, entry: UpstreamEntry) -> None:
        demand = routed.request.demand
        prompt = 0 if demand is None else demand.prompt_tokens
        self._parts.work.begin(
            request=routed.request.request,
            upstream=entry.upstream,
            prompt_tokens=prompt,
            tokens=prompt,
            is_long=is_long(routed),
            domains=routed.domains,
        )

    def _log(self, message: str, routed: RoutedRequest, **inputs: object) -> None:
        request = routed.request
        _log.info(
            message,
            request=request.request,
            after_ms=self._parts.clock.now() - request.arrived,
            **inputs,
        )
