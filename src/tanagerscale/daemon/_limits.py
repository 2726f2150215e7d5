"""Limits of client accounts, shared with the other hosts through heartbeats."""

from __future__ import annotations

from typing import final

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import HostId
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.daemon._scheduling import build_account_specs
from tanagerscale.declarations import Declarations
from tanagerscale.generated.messages import AccountUse
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.policy import AccountLimits
from tanagerscale.policy import AccountUsage


@final
class HostAccountLimits:
    """Enforces this host's share of the limits of each client account.

    :param clock: Clock used to measure rates and the age of peer usage.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._limits = AccountLimits(accounts={})

    def set_declarations(self, *, declarations: Declarations) -> None:
        """Replace the limits.

        :param declarations: Declarations in force, with the limits of each client account.
        """
        self._limits.set_accounts(accounts=build_account_specs(declarations=declarations))

    def set_peers(self, *, peers: frozenset[HostId]) -> None:
        """Replace the set of hosts that share the limits.

        :param peers: Other hosts that are listed as live, whether reachable or not.
        """
        self._limits.set_peers(peers=peers)

    def on_heartbeat(self, *, host: HostId, heartbeat: Heartbeat) -> None:
        """Update the usage reported by a peer.

        :param host: Peer that sent the heartbeat.
        :param heartbeat: Heartbeat with the peer's usage per client account.
        """
        usage = {
            ClientAccountId(account): AccountUsage(demand=use.d, running=use.r)
            for account, use in heartbeat.usage.items()
        }
        self._limits.on_peer(host=host, usage=usage, now=self._clock.now())

    def usage(self) -> dict[str, AccountUse]:
        """Return the local usage per client account, to be sent to the peers."""
        local_usage = self._limits.usage(now=self._clock.now())
        return {
            str(account): AccountUse(d=round(usage.demand, 2), r=usage.running)
            for account, usage in local_usage.items()
        }

    def start(self, *, account: ClientAccountId, tokens: int) -> Problem | None:
        """Start a request if the limits allow it, or return the problem to reject it with.

        :param account: Client account that sent the request.
        :param tokens: Number of prompt tokens; 0 for a call to a plain service.
        :returns: ``None`` if the request was started. The caller must then call ``finish``.
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
        """Record the end of a started request.

        :param account: Client account that sent the request.
        :param tokens: Number of generated tokens; 0 for a call to a plain service.
        """
        self._limits.on_finished(account=account, tokens=tokens, now=self._clock.now())
