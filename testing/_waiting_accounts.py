"""Accounts whose generations compete for one engine, in virtual time and without a network."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from random import Random
from types import MappingProxyType

from msgspec.structs import replace

from tanagerscale.coordination import DecisionContext
from tanagerscale.coordination import RunLedger
from tanagerscale.coordination._account_usage import AccountUsage
from tanagerscale.coordination._capacity_admission import CapacityAdmission
from tanagerscale.coordination._placement_queue import PlacementQueue
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.generated.messages import RunUse
from testing._gateway_fakes import SERVICE
from testing._gateway_fakes import FakeTables
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_table

DOMAIN = FailureDomainId("a")
RUN_MS = 800
"""Mean time for which a generation occupies the engine, which runs 24 of them."""
CAPACITY_PER_S = 30
TARGET_MS = 1500
PATIENCE_MS = 0
NO_PRIORITIES: Mapping[str, int] = MappingProxyType({})


class Decider:
    """The queue and the usage of one decider.

    :param send_answer: Receives its decisions.
    """

    def __init__(self, send_answer: Callable[[HostId, PlaceAnswer], None]) -> None:
        fakes = make_gateway_fakes(make_entry("engine"))
        context = DecisionContext(
            tables=FakeTables(table=make_table()),
            upstreams=fakes.upstreams,
            gate=fakes.upstreams,
            health=fakes.context.health,
            rate_limits=fakes.context.rate_limits,
            clock=fakes.context.clock,
            rng=Random(1),
        )
        self.clock = context.clock
        self.usage = AccountUsage(clock=context.clock)
        self.ledger = RunLedger(clock=context.clock)
        self.queue = PlacementQueue(
            admission=CapacityAdmission(
                context=context, ledger=self.ledger, share=lambda: 1.0, in_office_ms=lambda: 0
            ),
            context=context,
            ledger=self.ledger,
            usage=self.usage,
            send_answer=send_answer,
        )
        self.ledger.changes.subscribe(lambda _: self.queue.reevaluate())

    def report(self, host: HostId, runs: HostRuns) -> None:
        """Receive the runs of a host."""
        self.usage.report(host=host, runs=runs.runs)
        self.ledger.report(host=host, runs=runs)


@dataclass(slots=True)
class Grant:
    """An engine that a generation got."""

    at: int
    account: str
    after_ms: int
    is_long: bool


@dataclass(slots=True)
class Load:
    """Hosts that ask deciders for engines, run what is granted, and report their runs.

    A host asks again until it gets a decision.
    """

    deciders: list[Decider] = field(default_factory=list)
    decider_of: dict[HostId, int] = field(default_factory=dict)
    grants: list[Grant] = field(default_factory=list)
    asked: list[tuple[int, str]] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)
    run_ms: int = RUN_MS
    _pending: dict[tuple[HostId, int], tuple[PlaceAsk, int]] = field(default_factory=dict)
    _runs: dict[HostId, dict[str, RunUse]] = field(default_factory=dict)
    _rng: Random = field(default_factory=lambda: Random(7))
    _numbers: count[int] = field(default_factory=lambda: count(1))

    def __post_init__(self) -> None:
        self.deciders.append(Decider(self._on_answer))

    def add_decider(self) -> None:
        """Add a decider, which gets the reports from now on."""
        self.deciders.append(Decider(self._on_answer))
        for host in self._runs:
            self._report(host)

    def ask(self, account: str, *, host: str = "h0", **changes: object) -> None:
        """Ask for an engine for a new generation."""
        serial, now = next(self._numbers), self._now()
        fields: dict[str, object] = {
            "serial": serial,
            "request": f"{account}-{serial}",
            "service": SERVICE,
            "prompt_tokens": 1000,
            "is_long": False,
            "left_ms": TARGET_MS,
            "patience_ms": PATIENCE_MS,
            "account": account,
        }
        ask = PlaceAsk(**{**fields, **changes})  # type: ignore[arg-type]
        self.asked.append((now, account))
        self._pending[(HostId(host), serial)] = (ask, now)
        self._submit(HostId(host), serial)

    def ask_again(self) -> None:
        """Repeat all asks that have no decision, as hosts do at the latest after 250 ms."""
        for host, serial in list(self._pending):
            self._submit(host, serial)

    def end_run(self, host: str, request: str) -> None:
        """End a run."""
        if self._runs[HostId(host)].pop(request, None) is not None:
            self._report(HostId(host))

    async def send(
        self,
        rates: Mapping[str, float],
        *,
        seconds: int,
        hosts: Sequence[str] = ("h0",),
        priorities: Mapping[str, int] = NO_PRIORITIES,
    ) -> None:
        """Send generations of each account at a steady rate, and repeat asks."""
        rng = self._rng
        times = sorted(
            ((number + rng.random()) / rate, account)
            for account, rate in rates.items()
            for number in range(int(seconds * rate))
        )
        started = asyncio.get_running_loop().time()
        for at, account in times:
            await asyncio.sleep(max(started + at - asyncio.get_running_loop().time(), 0))
            self.ask(account, host=rng.choice(hosts), priority=priorities.get(account, 0))

    def count_windows(
        self, *, start_ms: int, end_ms: int, window_ms: int = 5000
    ) -> list[Counter[str]]:
        """Return the number of grants of each account in all windows, half a second apart."""
        return [
            Counter(one.account for one in self.grants if at <= one.at < at + window_ms)
            for at in range(start_ms, end_ms - window_ms + 1, 500)
        ]

    def _now(self) -> int:
        return int(asyncio.get_running_loop().time() * MS_PER_SECOND)

    def _submit(self, host: HostId, serial: int) -> None:
        ask, asked_at = self._pending[(host, serial)]
        passed_ms = self._now() - asked_at
        current = replace(ask, left_ms=ask.left_ms - passed_ms, waited_ms=ask.waited_ms + passed_ms)
        decider = self.deciders[self.decider_of.get(host, 0)]
        decider.queue.submit(host=host, domain=DOMAIN, ask=current)

    def _on_answer(self, host: HostId, answer: PlaceAnswer) -> None:
        if answer.kind is PlaceKind.WAIT:
            return
        ask, asked_at = self._pending.pop((host, answer.serial))
        if answer.kind is PlaceKind.REFUSE:
            self.refused[ask.account] += 1
            return
        now = self._now()
        self.grants.append(Grant(now, ask.account, now - asked_at, ask.is_long))
        use = RunUse(
            request=ask.request,
            upstream="engine",
            prompt_tokens=ask.prompt_tokens,
            tokens=ask.prompt_tokens,
            begun_ms=0,
            is_long=ask.is_long,
            account=ask.account,
        )
        self._runs.setdefault(host, {})[ask.request] = use
        loop = asyncio.get_running_loop()
        loop.call_soon(self._report, host)
        # Equal times would make places free in bursts.
        run_ms = self.run_ms * self._rng.uniform(0.5, 1.5)
        loop.call_later(run_ms / MS_PER_SECOND, self.end_run, host, ask.request)

    def _report(self, host: HostId) -> None:
        runs = list(self._runs.get(host, {}).values())
        decider = f"d{self.decider_of.get(host, 0)}"
        message = HostRuns(number=next(self._numbers), decider=decider, runs=runs)
        for one in self.deciders:
            one.report(host, message)
