"""Access to upstreams: model engines and plain services."""

from __future__ import annotations

from tanagerscale.upstreams._http_engine import HttpEngineClient
from tanagerscale.upstreams._http_service import HttpServiceClient
from tanagerscale.upstreams._http_service import ServiceCall
from tanagerscale.upstreams._http_service import ServiceReply
from tanagerscale.upstreams._protocol import EngineClient
from tanagerscale.upstreams._protocol import TokenBatches
from tanagerscale.upstreams._protocol import UpstreamError
from tanagerscale.upstreams._protocol import UpstreamErrorKind

__all__ = [
    "EngineClient",
    "HttpEngineClient",
    "HttpServiceClient",
    "ServiceCall",
    "ServiceReply",
    "TokenBatches",
    "UpstreamError",
    "UpstreamErrorKind",
]
