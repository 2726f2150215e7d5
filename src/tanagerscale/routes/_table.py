"""Lookup of routes and client accounts in one version of the configuration."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Mapping
from random import Random
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.core import ClientAccountId
from tanagerscale.core import RegionId
from tanagerscale.core import Revision
from tanagerscale.core import ServiceId
from tanagerscale.routes._types import Account
from tanagerscale.routes._types import CallerLimits
from tanagerscale.routes._types import Configuration
from tanagerscale.routes._types import Route
from tanagerscale.routes._types import RouteKind
from tanagerscale.routes._types import Service


@final
class Caller(Struct, frozen=True, kw_only=True):
    """The sender of a request.

    :param account: The client account that owns the request's key; ``None`` on public routes and if
        no accounts are configured.
    :param priority: The account's priority; ``None`` if the route's priority applies.
    :param regions: Regions in which the requests may run; empty means any.
    """

    account: ClientAccountId | None
    priority: int | None
    regions: frozenset[RegionId] = frozenset()


MAX_ENGINE_PRIORITY: Final = 9
"""Last priority at an engine; the first is 0."""

ANONYMOUS_CALLER = Caller(account=None, priority=None)


@final
class RouteTable:
    """One version of the configuration, indexed for lookup.

    A route is found by one dictionary lookup for each slash of the path, so that hundreds of
    routes cost no more than one.

    :param configuration: The configuration to index.
    """

    def __init__(self, *, configuration: Configuration) -> None:
        self._configuration = configuration
        self._by_prefix: dict[tuple[str, str], Route] = {}
        for route in configuration.routes:
            self._by_prefix[(route.host, route.path_prefix)] = route
        self._services = {service.name: service for service in configuration.services}
        self._callers = {
            key: Caller(account=account.name, priority=account.priority, regions=account.regions)
            for account in configuration.accounts
            for key in account.keys
        }
        self._generation_priorities = _find_generation_priorities(configuration)

    @property
    def version(self) -> Revision:
        """Version of the configuration."""
        return self._configuration.version

    @property
    def limits(self) -> CallerLimits:
        """Limits that apply to callers."""
        return self._configuration.limits

    @property
    def accounts(self) -> tuple[Account, ...]:
        """All client accounts."""
        return self._configuration.accounts

    @property
    def services(self) -> tuple[Service, ...]:
        """All services."""
        return self._configuration.services

    def route(self, *, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or ``None``.

        :param host: Host name of the request, with or without a port.
        :param path: Path of the request without the query.
        """
        name = host.partition(":")[0].lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def caller(self, *, route: Route, key: str | None) -> Caller | None:
        """Return the caller of a request, or ``None`` if its key is missing or unknown.

        :param route: The route of the request; public routes need no key.
        :param key: Key that the request carries, or ``None``.
        """
        known = None if key is None else self._callers.get(key)
        if known is not None:
            return known
        return ANONYMOUS_CALLER if route.public or not self._configuration.accounts else None

    def service(self, name: ServiceId) -> Service | None:
        """Return a configured service, or ``None`` if there is none of that name."""
        return self._services.get(name)

    def engine_priority(self, *, service: ServiceId, priority: int) -> int | None:
        """Return the priority of a generation at its engine, 0 first.

        :param service: The service that runs it.
        :param priority: Its priority in the configuration.
        :returns: The rank of the priority among those of the service's generations; ``None`` if
            they do not differ, so that engines apply their default to all.
        """
        priorities = self._generation_priorities.get(service, ())
        if len(priorities) < 2:
            return None
        return min(bisect_left(priorities, priority), MAX_ENGINE_PRIORITY)


def _find_generation_priorities(
    configuration: Configuration,
) -> Mapping[ServiceId, tuple[int, ...]]:
    """Return the priorities that generations of each engine service can have, in order."""
    engines = {service.name for service in configuration.services if service.engine is not None}
    of_accounts = {account.priority for account in configuration.accounts}
    found: dict[ServiceId, set[int]] = defaultdict(set)
    for route in configuration.routes:
        if route.kind is not RouteKind.STREAMING:
            continue
        priorities = {route.priority if one is None else one for one in of_accounts}
        if route.public or not configuration.accounts:
            priorities.add(route.priority)
        for target in route.targets:
            if target.weight > 0 and target.service in engines:
                found[target.service] |= priorities
    return {service: tuple(sorted(priorities)) for service, priorities in found.items()}


def effective_priority(*, route: Route, caller: Caller) -> int:
    """Return the priority of a caller's requests; 0 is the highest.

    :param route: The route of the request.
    :param caller: The caller; the priority of its account overrides that of the route.
    """
    return route.priority if caller.priority is None else caller.priority


def choose_target(*, route: Route, rng: Random) -> ServiceId:
    """Return one of a route's services, chosen randomly by weight.

    :param route: The route.
    :param rng: Random number generator used for the choice.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights=weights)[0].service
