"""Regions that requests must not leave."""

from __future__ import annotations

from collections.abc import Mapping
from typing import final

from tanagerscale.core import FailureDomainId
from tanagerscale.core import RegionId
from tanagerscale.routes._table import Caller
from tanagerscale.routes._types import Route

ANYWHERE: frozenset[FailureDomainId] = frozenset()
"""Stands for a request that may run in any failure domain."""


@final
class Homes:
    """Tells in which failure domains a request may run.

    :param regions: The region of each failure domain.
    """

    def __init__(self, *, regions: Mapping[FailureDomainId, RegionId]) -> None:
        self._regions = dict(regions)

    def domains(self, *, route: Route, caller: Caller) -> frozenset[FailureDomainId] | None:
        """Return the failure domains a request may run in.

        Where both its route and its account name regions, both bind.

        :param route: Its route.
        :param caller: Whose it is.
        :returns: The failure domains; ``ANYWHERE`` when no regions are named, and ``None`` when
            nothing is left.
        """
        if not route.regions and not caller.regions:
            return ANYWHERE
        named = [regions for regions in (route.regions, caller.regions) if regions]
        regions = frozenset.intersection(*named)
        domains = frozenset(domain for domain, region in self._regions.items() if region in regions)
        return domains or None
