"""The scheduler a host runs for the cells it owns."""

from __future__ import annotations

import random
from typing import final

from tanagerscale.core import ClientAccountId
from tanagerscale.declarations import Declarations
from tanagerscale.generated.declarations import Objective
from tanagerscale.policy import AccountSpec
from tanagerscale.policy import LengthEstimator
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import make_scheduler
from tanagerscale.routing import PoolRouter
from tanagerscale.routing import PoolScheduler


@final
class HostSchedulers:
    """Makes the schedulers of the cells a host owns; all of them share what is known of lengths.

    :param rng: Source of randomness.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._lengths = LengthEstimator()
        self._objective = Objective()
        self._accounts: dict[ClientAccountId, AccountSpec] = {}

    def make(self) -> PoolScheduler:
        """Return a scheduler for one cell, as the declarations ask."""
        return make_scheduler(
            objective=self._objective,
            accounts=self._accounts,
            rng=self._rng,
            lengths=self._lengths,
        )

    def learn(self, request: PlacementRequest, tokens: int) -> None:
        """Learn the length of an answer that another host placed.

        :param request: What was asked for.
        :param tokens: Length of the whole answer.
        """
        self._lengths.observe(request=request, tokens=tokens)

    def set_declarations(self, *, declarations: Declarations, router: PoolRouter) -> None:
        """Go by new declarations, also in the schedulers in use.

        :param declarations: What is in force.
        :param router: Holds the schedulers in use.
        """
        self._objective = declarations.objective
        self._accounts = account_specs(declarations=declarations)
        router.configure(self._reconfigure)

    def _reconfigure(self, scheduler: PoolScheduler) -> None:
        scheduler.reconfigure(objective=self._objective, accounts=self._accounts)


def account_specs(*, declarations: Declarations) -> dict[ClientAccountId, AccountSpec]:
    """Return what the policy needs to know of the declared accounts.

    :param declarations: What is in force.
    """
    return {
        name: AccountSpec(
            weight=account.weight,
            requests_per_second=account.requests_per_second,
            concurrent_requests=account.concurrent_requests,
            tokens_per_minute=account.tokens_per_minute,
        )
        for name, account in declarations.accounts.items()
    }
