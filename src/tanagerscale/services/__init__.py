"""Dispatch of calls to plain services, at most once for calls that are not idempotent."""

from __future__ import annotations

from tanagerscale.services._dispatch import ServiceContext
from tanagerscale.services._dispatch import ServiceDispatch
from tanagerscale.services._dispatch import get_addresses

__all__ = ["ServiceContext", "ServiceDispatch", "get_addresses"]
