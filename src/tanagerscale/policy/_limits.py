"""Limits of client accounts that hold over all hosts together."""

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
STALE_MS = 3_000
"""Age after which a peer's usage is no longer believed."""

RATE_BURST_MS = 1_000
"""A bucket of requests holds what this time grants."""

TOKEN_BURST_MS = 10_000
"""A bucket of tokens holds what this time grants."""

USAGE_HALF_LIFE_MS = 2_000.0
LEAST_DEMAND = 0.01
"""Requests a second below which an account is idle at a host."""

FLOOR_DIVISOR = 8
"""An eighth of an equal share of places stays with each host, however little it asks for."""

LEAST_PART = 0.5
"""Part of an equal share that a host always may use, whatever peers say."""


@unique
class Limit(Enum):
    """Which limit refused a request."""

    RATE = "requests_per_second"
    CONCURRENCY = "concurrent_requests"
    TOKENS = "tokens_per_minute"


class AccountUsage(Struct, frozen=True, kw_only=True):
    """What one host tells its peers of an account with each heartbeat.

    :param demand: Requests a second that came lately, refused ones included.
    :param running: Requests that run or may be started until the next heartbeat.
    """

    demand: float
    running: int


class LimitRefusal(Struct, frozen=True, kw_only=True):
    """Why a request may not run now.

    :param limit: The limit that is reached.
    :param retry_after_ms: When coming back helps.
    """

    limit: Limit
    retry_after_ms: int


class _Heard(Struct):
    usage: AccountUsage
    when: Millis


class _Account(Struct):
    spec: AccountSpec
    updated: Millis
    requests: float
    tokens: float
    running: int = 0
    demand: float = 0.0
    places: int = 0
    told: bool = False


@final
class AccountLimits:
    """One host's part of each account's limits.

    A host may use the part of a limit that its own demand has in the demand of all hosts, as
    far as heartbeats tell. A peer that was not heard of counts as one with an equal share, so
    hosts that are cut off from one another can't pass the limit together, however long it lasts.

    :param accounts: Declared accounts; others have no limits.
    """

    def __init__(self, *, accounts: Mapping[ClientAccountId, AccountSpec]) -> None:
        self._specs = accounts
        self._accounts: dict[ClientAccountId, _Account] = {}
        self._peers: frozenset[HostId] = frozenset()
        self._heard: dict[ClientAccountId, dict[HostId, _Heard]] = {}
        self._last_word: dict[HostId, Millis] = {}

    def set_accounts(self, *, accounts: Mapping[ClientAccountId, AccountSpec]) -> None:
        """Replace the declared accounts; what runs stays counted.

        :param accounts: Declared accounts.
        """
        self._specs = accounts
        for name, held in self._accounts.items():
            held.spec = accounts.get(name, AccountSpec())

    def set_peers(self, *, peers: frozenset[HostId]) -> None:
        """Replace the other live hosts; hosts that are only cut off stay among them."""
        self._peers = peers
        for heard in self._heard.values():
            for host in heard.keys() - peers:
                del heard[host]

    def on_peer(
        self, *, host: HostId, usage: Mapping[ClientAccountId, AccountUsage], now: Millis
    ) -> None:
        """Take in a peer's heartbeat; accounts it does not name are idle there."""
        self._last_word[host] = now
        for account, heard in self._heard.items():
            if account not in usage:
                heard.pop(host, None)
        for account, item in usage.items():
            self._heard.setdefault(account, {})[host] = _Heard(item, now)

    def usage(self, *, now: Millis) -> dict[ClientAccountId, AccountUsage]:
        """Return what to tell peers with each heartbeat: accounts that are not idle here."""
        told = {}
        for name, account in self._accounts.items():
            self._refill(name, account, now=now)
            if not account.running and account.demand < LEAST_DEMAND:
                account.told = False
                account.places = self._equal_places(account.spec)
                continue
            # Until peers had a chance to hear of this host and it of them, it keeps to an
            # equal share.
            if account.told:
                self._grant(name, account, now=now)
            account.told = True
            told[name] = AccountUsage(
                demand=account.demand, running=max(account.running, account.places)
            )
        return told

    def try_start(
        self, *, account: ClientAccountId, tokens: int, now: Millis
    ) -> LimitRefusal | None:
        """Ask for a request to run.

        :param account: Who asks.
        :param tokens: Prompt tokens, known at the start; the answer's are charged as it ends.
        :returns: ``None`` when it may run, which counts it as running.
        """
        spec = self._specs.get(account)
        if spec is None or not _is_limited(spec):
            return None
        held = self._account(account, spec, now=now)
        held.demand += MS_PER_SECOND / USAGE_HALF_LIFE_MS
        part = self._part(account, now=now)
        refusal = self._check(account, held, part, now=now)
        if refusal is None:
            held.running += 1
            held.requests -= 1.0
            held.tokens -= tokens
        return refusal

    def on_finished(self, *, account: ClientAccountId, tokens: int, now: Millis) -> None:
        """Record that a request that was started ended.

        :param tokens: Tokens of its answer.
        """
        held = self._accounts.get(account)
        if held is not None:
            self._refill(account, held, now=now)
            held.running = max(held.running - 1, 0)
            held.tokens -= tokens

    def _check(
        self, name: ClientAccountId, held: _Account, part: float, *, now: Millis
    ) -> LimitRefusal | None:
        spec = held.spec
        if spec.requests_per_second > 0.0 and held.requests < 1.0:
            wait = (1.0 - held.requests) / (spec.requests_per_second * part)
            return LimitRefusal(limit=Limit.RATE, retry_after_ms=int(wait * MS_PER_SECOND) + 1)
        if spec.tokens_per_minute > 0 and held.tokens <= 0.0:
            wait = (1.0 - held.tokens) / (spec.tokens_per_minute * part)
            return LimitRefusal(limit=Limit.TOKENS, retry_after_ms=int(wait * MS_PER_MINUTE) + 1)
        if spec.concurrent_requests > 0 and held.running >= held.places:
            return LimitRefusal(limit=Limit.CONCURRENCY, retry_after_ms=MS_PER_SECOND)
        return None

    def _equal_places(self, spec: AccountSpec) -> int:
        return max(spec.concurrent_requests // (len(self._peers) + 1), 1)

    def _grant(self, name: ClientAccountId, held: _Account, *, now: Millis) -> None:
        """Set how many requests may run here until the next heartbeat.

        What is free is divided by demand, so that hosts which start work at the same moment
        don't pass the limit together.
        """
        limit = held.spec.concurrent_requests
        hosts = len(self._peers) + 1
        # Each host leaves the others a few places, so that one with little demand can start
        # work between two heartbeats although the rest is dealt out.
        floor = limit // hosts // FLOOR_DIVISOR
        heard = self._heard.get(name, {})
        elsewhere = 0
        for host in self._peers:
            if not self._is_fresh(host, now=now):
                elsewhere += -(-limit // hosts)
            else:
                claimed = heard[host].usage.running if host in heard else 0
                elsewhere += max(claimed, floor)
        free = max(limit - held.running - elsewhere, 0)
        granted = held.running + int(free * self._demand_part(name, now=now))
        held.places = max(granted, floor)

    def _part(self, name: ClientAccountId, *, now: Millis) -> float:
        """Return this host's part of an account's rates; silent hosts keep equal shares."""
        hosts = len(self._peers) + 1
        silent = sum(not self._is_fresh(host, now=now) for host in self._peers)
        part = max(self._demand_part(name, now=now), LEAST_PART / hosts)
        return part * (hosts - silent) / hosts

    def _demand_part(self, name: ClientAccountId, *, now: Millis) -> float:
        """Return this host's part of the demand of all hosts that are heard of."""
        own = self._accounts[name].demand
        others = sum(
            item.usage.demand
            for host, item in self._heard.get(name, {}).items()
            if self._is_fresh(host, now=now)
        )
        return own / (own + others) if own > 0.0 else 0.0

    def _is_fresh(self, host: HostId, *, now: Millis) -> bool:
        return now - self._last_word.get(host, -STALE_MS - 1) <= STALE_MS

    def _account(self, name: ClientAccountId, spec: AccountSpec, *, now: Millis) -> _Account:
        held = self._accounts.get(name)
        if held is None:
            part = 1.0 / (len(self._peers) + 1)
            held = self._accounts[name] = _Account(
                spec=spec,
                updated=now,
                requests=max(spec.requests_per_second * part * RATE_BURST_MS / MS_PER_SECOND, 1.0),
                tokens=spec.tokens_per_minute * part * TOKEN_BURST_MS / MS_PER_MINUTE,
                places=self._equal_places(spec),
            )
        self._refill(name, held, now=now)
        return held

    def _refill(self, name: ClientAccountId, held: _Account, *, now: Millis) -> None:
        passed = now - held.updated
        if passed <= 0:
            return
        part = self._part(name, now=now)
        spec = held.spec
        rate = spec.requests_per_second * part / MS_PER_SECOND
        held.requests = min(held.requests + rate * passed, max(rate * RATE_BURST_MS, 1.0))
        pace = spec.tokens_per_minute * part / MS_PER_MINUTE
        held.tokens = min(held.tokens + pace * passed, pace * TOKEN_BURST_MS)
        held.demand *= 0.5 ** (passed / USAGE_HALF_LIFE_MS)
        held.updated = now


def _is_limited(spec: AccountSpec) -> bool:
    return (
        spec.requests_per_second > 0.0 or spec.concurrent_requests > 0 or spec.tokens_per_minute > 0
    )
