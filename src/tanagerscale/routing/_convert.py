"""Conversion between placement requests and ``Ask`` messages."""

from __future__ import annotations

from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import Ask
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing._cells import CellId


def build_ask(*, request: PlacementRequest, cell: CellId, serial: int, now: Millis) -> Ask:
    """Return the message that asks the owner of a cell to place a request.

    The message carries the time waited instead of the arrival time, because the clocks of hosts
    are not synchronized.

    :param request: Request to place.
    :param cell: Cell whose owner is asked.
    :param serial: Serial number of the placement at this host.
    :param now: Current time on this host's clock.
    """
    return Ask(
        cell=cell,
        serial=serial,
        generation=request.generation,
        model=request.model,
        adapter=request.adapter,
        account=request.account,
        request_class=request.request_class,
        priority=request.priority,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        prefix=request.prefix,
        prefix_tokens=request.prefix_tokens,
        movable=request.movable,
        waited_ms=max(now - request.arrived, 0),
        excluded=sorted(request.excluded),
        sheddable=request.sheddable,
    )


def parse_ask(*, ask: Ask, now: Millis) -> PlacementRequest:
    """Return the placement request that an ``Ask`` message describes.

    :param ask: Message from the entry host.
    :param now: Current time on the owner's clock.
    """
    return PlacementRequest(
        generation=GenerationId(ask.generation),
        model=ModelId(ask.model),
        adapter=ask.adapter,
        account=ClientAccountId(ask.account),
        request_class=ask.request_class,
        priority=ask.priority,
        prompt_tokens=ask.prompt_tokens,
        max_tokens=ask.max_tokens,
        prefix=ask.prefix,
        prefix_tokens=ask.prefix_tokens,
        movable=ask.movable,
        arrived=Millis(now - ask.waited_ms),
        excluded=frozenset(UpstreamId(name) for name in ask.excluded),
        sheddable=ask.sheddable,
    )
