"""Access to upstreams: model engines and plain services."""

from __future__ import annotations

from tanagerscale.upstreams._protocol import EngineClient
from tanagerscale.upstreams._protocol import UpstreamError
from tanagerscale.upstreams._protocol import UpstreamErrorKind

__all__ = ["EngineClient", "UpstreamError", "UpstreamErrorKind"]
