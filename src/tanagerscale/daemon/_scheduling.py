"""Schedulers for the cells that a host owns."""

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
    """Creates the schedulers of the cells that a host owns; they share one length estimator.

    :param rng: Random number generator passed to the schedulers.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._lengths = LengthEstimator()
        self._objective = Objective()
        self._accounts: dict[ClientAccountId, AccountSpec] = {}

    def make(self) -> PoolScheduler:
        """Return a new scheduler for one cell, configured by the declarations in force."""
        return make_scheduler(
            objective=self._objective,
            accounts=self._accounts,
            rng=self._rng,
            lengths=self._lengths,
        )

    def record_answer_length(self, request: PlacementRequest, tokens: int) -> None:
        """Record the length of an answer whose run was placed by another host.

        :param request: Request that was placed.
        :param tokens: Length of the complete answer in tokens.
        """
        self._lengths.observe(request=request, tokens=tokens)

    def set_declarations(self, *, declarations: Declarations, router: PoolRouter) -> None:
        """Apply new declarations to existing and future schedulers.

        :param declarations: Declarations in force.
        :param router: Router that holds the existing schedulers.
        """
        self._objective = declarations.objective
        self._accounts = build_account_specs(declarations=declarations)
        router.configure(self._reconfigure)

    def _reconfigure(self, scheduler: PoolScheduler) -> None:
        scheduler.reconfigure(objective=self._objective, accounts=self._accounts)


def build_account_specs(*, declarations: Declarations) -> dict[ClientAccountId, AccountSpec]:
    """Return the weights and limits of all declared client accounts.

    :param declarations: Declarations in force.
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
