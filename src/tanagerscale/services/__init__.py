"""Calls to plain services, some of which may not be repeated."""

from __future__ import annotations

from tanagerscale.services._dispatch import ServiceDispatch
from tanagerscale.services._dispatch import ServiceParts
from tanagerscale.services._dispatch import addresses_of

__all__ = ["ServiceDispatch", "ServiceParts", "addresses_of"]
