"""The scheduler a host runs for the cells it owns."""

from __future__ import annotations

import random

from tanagerscale.core import ClientAccountId
from tanagerscale.declarations import Declarations
from tanagerscale.policy import AccountSpec
from tanagerscale.policy import make_scheduler
from tanagerscale.routing import PoolScheduler


def make_host_scheduler(*, declarations: Declarations, rng: random.Random) -> PoolScheduler:
    """Return a scheduler for one cell, as the declarations ask.

    :param declarations: What is in force.
    :param rng: Source of randomness.
    """
    accounts = account_specs(declarations=declarations)
    return make_scheduler(objective=declarations.objective, accounts=accounts, rng=rng)


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
