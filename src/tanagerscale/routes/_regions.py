"""Restriction of requests to regions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import final

from tanagerscale.core import FailureDomainId
from tanagerscale.core import RegionId
from tanagerscale.routes._table import Caller
from tanagerscale.routes._types import Route

ANY_FAILURE_DOMAIN: frozenset[FailureDomainId] = frozenset()
"""Marks a request that may run in any failure domain."""


@final
class AllowedRegions:
    """Determines the failure domains in which a request may run.

    :param regions: Maps each failure domain to its region.
    """

    def __init__(self, *, regions: Mapping[FailureDomainId, RegionId]) -> None:
        self._regions = dict(regions)

    def get_failure_domains(
        self, *, route: Route, caller: Caller
    ) -> frozenset[FailureDomainId] | None:
        """Return the failure domains in which a request may run.

        If both its route and its account name regions, only the regions named by both are allowed.

        :param route: The route of the request.
        :param caller: The caller of the request.
        :returns: The failure domains; ``ANY_FAILURE_DOMAIN`` if no regions are named, and ``None``
            if no failure domain is allowed.
        """
        if not route.regions and not caller.regions:
            return ANY_FAILURE_DOMAIN
        named = [regions for regions in (route.regions, caller.regions) if regions]
        regions = frozenset.intersection(*named)
        domains = frozenset(domain for domain, region in self._regions.items() if region in regions)
        return domains or None
