"""Conversion of generation requests into requests to routing and to engines."""

from __future__ import annotations

from tanagerscale.core import AttemptId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.dispatch._types import GenerationRequest
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.policy import PlacementRequest


def placement_request(
    *,
    request: GenerationRequest,
    arrived: Millis,
    excluded: frozenset[UpstreamId],
    sheddable: bool,
) -> PlacementRequest:
    """Return the placement request of a generation.

    :param request: Validated request.
    :param arrived: When the wait began; unchanged on a repeat, to keep the queue position.
    :param excluded: Engines that must not be selected.
    :param sheddable: Whether the request may be refused under overload.
    """
    return PlacementRequest(
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
        movable=request.whole,
        arrived=arrived,
        excluded=excluded,
        sheddable=sheddable,
    )


def engine_request(*, request: GenerationRequest, attempt: AttemptId) -> EngineRequest:
    """Return the request that is sent to an engine.

    :param request: Validated request.
    :param attempt: Id of the attempt.
    """
    return EngineRequest(
        attempt_id=attempt,
        model=request.model,
        version=request.version,
        adapter=request.adapter,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        seed=request.seed,
        priority=request.priority,
    )
