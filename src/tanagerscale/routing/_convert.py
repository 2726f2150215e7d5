"""Between a placement request and its form on the wire."""

from __future__ import annotations

from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import Ask
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing._cells import CellId


def ask_of(*, request: PlacementRequest, cell: CellId, serial: int, now: Millis) -> Ask:
    """Return a request's form on the wire.

    :param request: What is asked for.
    :param cell: The cell that is asked.
    :param serial: Number of the placement at this host.
    :param now: Present time of this host, whose clock the owner does not share.
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


def request_of(*, ask: Ask, now: Millis) -> PlacementRequest:
    """Return the request that an owner schedules.

    :param ask: What came over the wire.
    :param now: Present time of the owner.
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
