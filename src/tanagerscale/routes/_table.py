"""Looking up routes and accounts of one version."""

from __future__ import annotations

from random import Random
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
from tanagerscale.routes._types import Service


@final
class Caller(Struct, frozen=True, kw_only=True):
    """Whose request it is.

    :param account: The account of its key; ``None`` on public routes and where no accounts are
        declared.
    :param priority: The account's priority, when it has one.
    :param regions: Regions that its requests may run in; none means any.
    """

    account: ClientAccountId | None
    priority: int | None
    regions: frozenset[RegionId] = frozenset()


ANYBODY = Caller(account=None, priority=None)


@final
class RouteTable:
    """The declarations of one version, compiled for lookup.

    A route is found by one dictionary lookup for each slash of the path, so that hundreds of
    routes cost no more than one.

    :param configuration: What was declared.
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

    @property
    def version(self) -> Revision:
        """Version of the declarations."""
        return self._configuration.version

    @property
    def limits(self) -> CallerLimits:
        """What callers may send."""
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
        """Return the route with the longest prefix of a path, or ``None``.

        :param host: Host name of the request, with or without a port.
        :param path: Its path without the query.
        """
        name = host.partition(":")[0].lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def caller(self, *, route: Route, key: str | None) -> Caller | None:
        """Return whose request it is, or ``None`` when its key is missing or unknown.

        :param route: The route asked for; public ones need no key.
        :param key: Key that the request carries, if any.
        """
        known = None if key is None else self._callers.get(key)
        if known is not None:
            return known
        return ANYBODY if route.public or not self._configuration.accounts else None

    def service(self, name: ServiceId) -> Service | None:
        """Return a declared service."""
        return self._services.get(name)


def choose_target(*, route: Route, rng: Random) -> ServiceId:
    """Draw one of a route's services by weight.

    :param route: The route.
    :param rng: Source of chance.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights=weights)[0].service
