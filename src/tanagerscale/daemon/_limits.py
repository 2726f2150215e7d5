"""The accounts' limits, shared with the other hosts by heartbeats."""

from __future__ import annotations

from typing import final

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import HostId
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.daemon._scheduling import account_specs
from tanagerscale.declarations import Declarations
from tanagerscale.generated.messages import AccountUse
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.policy import AccountLimits
from tanagerscale.policy import AccountUsage


@final
class HostLimits:
    """The host's part of each account's limits.

    :param clock: Time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._limits = AccountLimits(accounts={})

    def set_declarations(self, *, declarations: Declarations) -> None:
        """Replace the limits.

        :param declarations: What is in force.
        """
        self._limits.set_accounts(accounts=account_specs(declarations=declarations))

    def set_peers(self, *, peers: frozenset[HostId]) -> None:
        """Replace the hosts that share the limits.

        :param peers: The other hosts that are listed as live, reachable or not.
        """
        self._limits.set_peers(peers=peers)

    def on_heartbeat(self, *, host: HostId, heartbeat: Heartbeat) -> None:
        """Take in what a peer tells.

        :param host: The peer.
        :param heartbeat: Its heartbeat.
        """
        usage = {
            ClientAccountId(account): AccountUsage(demand=use.d, running=use.r)
            for account, use in heartbeat.usage.items()
        }
        self._limits.on_peer(host=host, usage=usage, now=self._clock.now())

    def usage(self) -> dict[str, AccountUse]:
        """Return what to tell the peers."""
        told = self._limits.usage(now=self._clock.now())
        return {
            str(account): AccountUse(d=round(usage.demand, 2), r=usage.running)
            for account, usage in told.items()
        }

    def start(self, *, account: ClientAccountId, tokens: int) -> Problem | None:
        """Count a request as running, or return the final answer that refuses it.

        :param account: Who asks.
        :param tokens: Tokens of the prompt.
        """
        refusal = self._limits.try_start(account=account, tokens=tokens, now=self._clock.now())
        if refusal is None:
            return None
        return Problem(
            kind=ProblemKind.LIMITED,
            detail=f"The account has reached its {refusal.limit.value}; come back after the pause.",
            execution=Execution.NOT_EXECUTED,
            retry_after_ms=refusal.retry_after_ms,
        )

    def finish(self, *, account: ClientAccountId, tokens: int) -> None:
        """Count a request that was started as ended.

        :param account: Who asked.
        :param tokens: Tokens of its answer.
        """
        self._limits.on_finished(account=account, tokens=tokens, now=self._clock.now())
