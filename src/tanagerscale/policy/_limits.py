"""Limits of client accounts, enforced over all hosts together."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from enum import unique
from typing import final

from msgspec import Struct

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import ClientAccountId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.policy._types import AccountSpec

MS_PER_MINUTE = 60 * MS_PER_SECOND
MAX_USAGE_AGE_MS = 3_000
"""Age above which the usage reported by a peer is ignored."""

RATE_BURST_MS = 1_000
"""Capacity of the token bucket for requests, as the time that fills it."""

TOKEN_BURST_MS = 10_000
"""Capacity of the token bucket for tokens, as the time that fills it."""

USAGE_HALF_LIFE_MS = 2_000.0
MIN_DEMAND_PER_S = 0.01
"""Requests per second below which an account is idle at a host."""

MIN_SLOTS_DIVISOR = 8
"""Each host keeps an eighth of an equal share of the slots, however low its demand is."""

MIN_SHARE_FACTOR = 0.5
"""Fraction of an equal share of the rates that a host may always use, whatever its peers report."""


@unique
class Limit(Enum):
    """The limit that refused a request."""

    RATE = "requests_per_second"
    CONCURRENCY = "concurrent_requests"
    TOKENS = "tokens_per_minute"


class AccountUsage(Struct, frozen=True, kw_only=True):
    """Usage of an account that a host reports to its peers with each heartbeat.

    :param demand: Recent requests per second, including refused ones.
    :param running: Requests that run or may be started before the next heartbeat.
    """

    demand: float
    running: int


class LimitRefusal(Struct, frozen=True, kw_only=True):
    """Reason why a request may not run now.

    :param limit: The limit that is reached.
    :param retry_after_ms: Time after which a retry may succeed.
    """

    limit: Limit
    retry_after_ms: int


class _PeerUsage(Struct):
    usage: AccountUsage
    received: Millis


class _AccountState(Struct):
    spec: AccountSpec
    updated: Millis
    requests: float
    tokens: float
    running: int = 0
    demand: float = 0.0
    slots: int = 0
    announced: bool = False


@final
class AccountLimits:
    """One host's share of the limits of each account.

    A host's share of each limit equals its share of the demand of all hosts, as reported by
    heartbeats. A peer without recent heartbeats counts as using an equal share, so partitioned
    hosts can't exceed the limit together, however long the partition lasts.

    :param accounts: Declared accounts; others have no limits.
    """

    def __init__(self, *, accounts: Mapping[ClientAccountId, AccountSpec]) -> None:
        self._specs = accounts
        self._accounts: dict[ClientAccountId, _AccountState] = {}
        self._peers: frozenset[HostId] = frozenset()
        self._peer_usage: dict[ClientAccountId, dict[HostId, _PeerUsage]] = {}
        self._last_heartbeat: dict[HostId, Millis] = {}

    def set_accounts(self, *, accounts: Mapping[ClientAccountId, AccountSpec]) -> None:
        """Replace the declared accounts; running requests stay counted.

        :param accounts: Declared accounts.
        """
        self._specs = accounts
        for name, state in self._accounts.items():
            state.spec = accounts.get(name, AccountSpec())

    def set_peers(self, *, peers: frozenset[HostId]) -> None:
        """Replace the other live hosts; they include those that are only partitioned."""
        self._peers = peers
        for peer_usage in self._peer_usage.values():
            for host in peer_usage.keys() - peers:
                del peer_usage[host]

    def on_peer(
        self, *, host: HostId, usage: Mapping[ClientAccountId, AccountUsage], now: Millis
    ) -> None:
        """Apply a peer's heartbeat; accounts that it does not name are idle there."""
        self._last_heartbeat[host] = now
        for account, peer_usage in self._peer_usage.items():
            if account not in usage:
                peer_usage.pop(host, None)
        for account, item in usage.items():
            self._peer_usage.setdefault(account, {})[host] = _PeerUsage(item, now)

    def usage(self, *, now: Millis) -> dict[ClientAccountId, AccountUsage]:
        """Return the usage to send with each heartbeat: all accounts that are not idle here."""
        announced = {}
        for name, account in self._accounts.items():
            self._refill(name, account, now=now)
            if not account.running and account.demand < MIN_DEMAND_PER_S:
                account.announced = False
                account.slots = self._equal_slots(account.spec)
                continue
            # This host keeps to an equal share until it has exchanged a heartbeat with its
            # peers.
            if account.announced:
                self._update_slots(name, account, now=now)
            account.announced = True
            announced[name] = AccountUsage(
                demand=account.demand, running=max(account.running, account.slots)
            )
        return announced

    def try_start(
        self, *, account: ClientAccountId, tokens: int, now: Millis
    ) -> LimitRefusal | None:
        """Start a request if the limits of its account allow it.

        :param account: Account of the caller.
        :param tokens: Prompt tokens; the answer's tokens are charged when the request ends.
        :returns: ``None`` if the request may run, and is then counted as running; else the refusal.
        """
        spec = self._specs.get(account)
        if spec is None or not _is_limited(spec):
            return None
        state = self._account(account, spec, now=now)
        state.demand += MS_PER_SECOND / USAGE_HALF_LIFE_MS
        share = self._share(account, now=now)
        refusal = self._check(account, state, share, now=now)
        if refusal is None:
            state.running += 1
            state.requests -= 1.0
            state.tokens -= tokens
        return refusal

    def on_finished(self, *, account: ClientAccountId, tokens: int, now: Millis) -> None:
        """Record the end of a request that was started.

        :param tokens: Tokens of its answer.
        """
        state = self._accounts.get(account)
        if state is not None:
            self._refill(account, state, now=now)
            state.running = max(state.running - 1, 0)
            state.tokens -= tokens

    def _check(
        self, name: ClientAccountId, state: _AccountState, share: float, *, now: Millis
    ) -> LimitRefusal | None:
        spec = state.spec
        if spec.requests_per_second > 0.0 and state.requests < 1.0:
            wait = (1.0 - state.requests) / (spec.requests_per_second * share)
            return LimitRefusal(limit=Limit.RATE, retry_after_ms=int(wait * MS_PER_SECOND) + 1)
        if spec.tokens_per_minute > 0 and state.tokens <= 0.0:
            wait = (1.0 - state.tokens) / (spec.tokens_per_minute * share)
            return LimitRefusal(limit=Limit.TOKENS, retry_after_ms=int(wait * MS_PER_MINUTE) + 1)
        if spec.concurrent_requests > 0 and state.running >= state.slots:
            return LimitRefusal(limit=Limit.CONCURRENCY, retry_after_ms=MS_PER_SECOND)
        return None

    def _equal_slots(self, spec: AccountSpec) -> int:
        return max(spec.concurrent_requests // (len(self._peers) + 1), 1)

    def _update_slots(self, name: ClientAccountId, state: _AccountState, *, now: Millis) -> None:
        """Set how many requests may run here until the next heartbeat.

        Free slots are divided by demand, so that hosts that start requests at the same time don't
        exceed the limit together.
        """
        limit = state.spec.concurrent_requests
        hosts = len(self._peers) + 1
        # Each host leaves the others a few slots, so that one with little demand can start
        # requests between two heartbeats even if all other slots are assigned.
        min_slots = limit // hosts // MIN_SLOTS_DIVISOR
        peer_usage = self._peer_usage.get(name, {})
        used_elsewhere = 0
        for host in self._peers:
            if not self._is_fresh(host, now=now):
                used_elsewhere += -(-limit // hosts)
            else:
                claimed = peer_usage[host].usage.running if host in peer_usage else 0
                used_elsewhere += max(claimed, min_slots)
        free = max(limit - state.running - used_elsewhere, 0)
        granted = state.running + int(free * self._demand_share(name, now=now))
        state.slots = max(granted, min_slots)

    def _share(self, name: ClientAccountId, *, now: Millis) -> float:
        """Return this host's share of an account's rates; silent hosts keep equal shares."""
        hosts = len(self._peers) + 1
        silent = sum(not self._is_fresh(host, now=now) for host in self._peers)
        share = max(self._demand_share(name, now=now), MIN_SHARE_FACTOR / hosts)
        return share * (hosts - silent) / hosts

    def _demand_share(self, name: ClientAccountId, *, now: Millis) -> float:
        """Return this host's share of the demand of all hosts with recent heartbeats."""
        own = self._accounts[name].demand
        others = sum(
            item.usage.demand
            for host, item in self._peer_usage.get(name, {}).items()
            if self._is_fresh(host, now=now)
        )
        return own / (own + others) if own > 0.0 else 0.0

    def _is_fresh(self, host: HostId, *, now: Millis) -> bool:
        return now - self._last_heartbeat.get(host, -MAX_USAGE_AGE_MS - 1) <= MAX_USAGE_AGE_MS

    def _account(self, name: ClientAccountId, spec: AccountSpec, *, now: Millis) -> _AccountState:
        state = self._accounts.get(name)
        if state is None:
            share = 1.0 / (len(self._peers) + 1)
            state = self._accounts[name] = _AccountState(
                spec=spec,
                updated=now,
                requests=max(spec.requests_per_second * share * RATE_BURST_MS / MS_PER_SECOND, 1.0),
                tokens=spec.tokens_per_minute * share * TOKEN_BURST_MS / MS_PER_MINUTE,
                slots=self._equal_slots(spec),
            )
        self._refill(name, state, now=now)
        return state

    def _refill(self, name: ClientAccountId, state: _AccountState, *, now: Millis) -> None:
        elapsed = now - state.updated
        if elapsed <= 0:
            return
        share = self._share(name, now=now)
        spec = state.spec
        request_rate = spec.requests_per_second * share / MS_PER_SECOND
        state.requests = min(
            state.requests + request_rate * elapsed, max(request_rate * RATE_BURST_MS, 1.0)
        )
        token_rate = spec.tokens_per_minute * share / MS_PER_MINUTE
        state.tokens = min(state.tokens + token_rate * elapsed, token_rate * TOKEN_BURST_MS)
        state.demand *= 0.5 ** (elapsed / USAGE_HALF_LIFE_MS)
        state.updated = now


def _is_limited(spec: AccountSpec) -> bool:
    return (
        spec.requests_per_second > 0.0 or spec.concurrent_requests > 0 or spec.tokens_per_minute > 0
    )
