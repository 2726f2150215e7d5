"""Composition and lifecycle of a host that forwards requests by route."""

from __future__ import annotations

from tanagerscale.gateway._host import GatewayHost
from tanagerscale.gateway._listener import ListenError
from tanagerscale.gateway._platform import Platform

__all__ = ["GatewayHost", "ListenError", "Platform"]
