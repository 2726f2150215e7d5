"""The default scheduler: admission by forecast memory, one ledger for each pool."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from collections.abc import Sequence
import math
from random import Random
from typing import final

from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.generated.declarations import Objective
from tanagerscale.policy._ledger import EngineLedger
from tanagerscale.policy._ledger import Running
from tanagerscale.policy._lengths import LengthCurve
from tanagerscale.policy._lengths import LengthEstimator
from tanagerscale.policy._queue import FairQueue
from tanagerscale.policy._queue import Waiting
from tanagerscale.policy._shedding import ReturnBook
from tanagerscale.policy._shedding import ServiceRate
from tanagerscale.policy._tuning import Tuning
from tanagerscale.policy._tuning import tuning_for
from tanagerscale.policy._types import AccountSpec
from tanagerscale.policy._types import Decision
from tanagerscale.policy._types import DecisionKind
from tanagerscale.policy._types import EngineLoad
from tanagerscale.policy._types import EngineSpec
from tanagerscale.policy._types import PlacementRequest

NEWCOMER_MS = 800
"""How long after its arrival here a generation may still be refused."""

FILL_POWER = 2
"""How steeply a fuller engine gets dearer."""

CANDIDATES = 64
"""How many waiting generations one decision looks at, so that its cost stays flat."""


@final
class ForecastScheduler:
    """Holds work back until forecasts say that an engine can carry it to its end.

    :param accounts: Declared accounts.
    :param tuning: The numbers to work with.
    :param rng: Spreads ties and the return of shed callers.
    :param share: Part of each engine this scheduler may fill; hosts that can't reach the
        pool's owner use one N-th, and then leave foreign work to the others' shares.
    :param lengths: What is known of lengths; schedulers of one host may have it in common, so
        that a new owner does not start without knowledge.
    """

    def __init__(
        self,
        *,
        accounts: Mapping[ClientAccountId, AccountSpec],
        tuning: Tuning,
        rng: Random,
        share: float = 1.0,
        lengths: LengthEstimator | None = None,
    ) -> None:
        self._tuning = tuning
        self._share = share
        self._shares: Mapping[UpstreamId, float] = {}
        self._lengths = lengths or LengthEstimator()
        self._queue = FairQueue(accounts=accounts, tuning=tuning)
        self._ledgers: dict[UpstreamId, EngineLedger] = {}
        self._where: dict[GenerationId, EngineLedger] = {}
        self._rate = ServiceRate()
        self._returns = ReturnBook(rng=rng)
        self._newcomers: deque[Waiting] = deque()

    @property
    def queued(self) -> int:
        """Return how many generations wait."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return how many generations are believed to run."""
        return len(self._where)

    @property
    def expected_tokens(self) -> float:
        """Return the expected tokens of the answers that wait."""
        return self._queue.expected_tokens

    def running_generations(self) -> list[GenerationId]:
        """Return what is believed to run, the longest running first."""
        return list(self._where)

    def held(self, *, engine: UpstreamId) -> int:
        """Return how many tokens of an engine's memory this scheduler's work holds."""
        ledger = self._ledgers.get(engine)
        return ledger.own_tokens if ledger is not None else 0

    def reconfigure(
        self, *, objective: Objective, accounts: Mapping[ClientAccountId, AccountSpec]
    ) -> None:
        """Go by other declarations from now on.

        :param objective: What the operators weigh.
        :param accounts: Declared accounts.
        """
        self._tuning = tuning_for(objective=objective)
        self._queue.reconfigure(accounts=accounts, tuning=self._tuning)
        for ledger in self._ledgers.values():
            ledger.refused.clear()

    def set_share(self, *, share: float) -> None:
        """Replace the part of every engine this scheduler may fill, as a new owner must."""
        self._share = share
        for ledger in self._ledgers.values():
            ledger.alone = share < 1.0
            ledger.refused.clear()

    def set_shares(self, *, shares: Mapping[UpstreamId, float]) -> None:
        """Replace the part of each engine this scheduler may fill; others keep ``share``."""
        self._shares = shares
        for ledger in self._ledgers.values():
            ledger.refused.clear()

    def set_engines(self, *, engines: Sequence[EngineSpec], now: Millis) -> None:
        """Replace the engines that take new work; others only finish what they run."""
        named = {spec.engine: spec for spec in engines}
        for engine, ledger in list(self._ledgers.items()):
            ledger.open = engine in named
            if not ledger.open and not ledger.running:
                del self._ledgers[engine]
        for engine, spec in named.items():
            ledger = self._ledgers.setdefault(
                engine, EngineLedger(spec=spec, alone=self._share < 1.0)
            )
            ledger.spec = spec

    def submit(self, *, request: PlacementRequest, now: Millis) -> None:
        """Queue a generation; one that is known already is left as it is."""
        if request.generation in self._queue or request.generation in self._where:
            return
        curve = self._lengths.curve(request=request)
        promised = self._returns.redeem(request=request, now=now)
        waiting = self._queue.push(request=request, curve=curve, promised=promised, now=now)
        if request.sheddable:
            self._newcomers.append(waiting)

    def withdraw(self, *, generation: GenerationId, now: Millis) -> None:
        """Forget a queued generation whose caller has left."""
        self._queue.remove(generation)

    def adopt(
        self, *, request: PlacementRequest, engine: UpstreamId, tokens: int, now: Millis
    ) -> None:
        """Enter a generation that another scheduler admitted, as a new owner must.

        :param request: What was asked for.
        :param engine: Where it runs.
        :param tokens: Tokens made so far.
        """
        ledger = self._ledgers.get(engine)
        if ledger is None or request.generation in self._where:
            return
        self._queue.remove(request.generation)
        self._enter(ledger, request, self._lengths.curve(request=request), now=now)
        ledger.progress(request.generation, tokens=tokens)

    def learn(self, *, request: PlacementRequest, tokens: int) -> None:
        """Learn a length of an answer that another scheduler placed, to be ready to take over."""
        self._lengths.observe(request=request, tokens=tokens)

    def on_progress(self, *, generation: GenerationId, tokens: int, now: Millis) -> None:
        """Record that a running generation has made ``tokens`` tokens so far."""
        ledger = self._where.get(generation)
        if ledger is None:
            return
        account = ledger.running[generation].request.account
        new = ledger.progress(generation, tokens=tokens)
        self._serve(account, new, now=now)

    def on_finished(
        self, *, generation: GenerationId, tokens: int, complete: bool, now: Millis
    ) -> None:
        """Record that a generation left its engine; lengths are learnt from complete ones only."""
        ledger = self._where.pop(generation, None)
        if ledger is None:
            # It may have ended while the word to move it was under way.
            self._queue.remove(generation)
            return
        running = ledger.remove(generation)
        assert running is not None
        self._serve(running.request.account, max(tokens - running.tokens, 0), now=now)
        if complete:
            self._lengths.observe(request=running.request, tokens=tokens)
        if not ledger.open and not ledger.running:
            self._ledgers.pop(ledger.spec.engine, None)

    def on_load(self, *, load: EngineLoad, now: Millis) -> None:
        """Take in a late report."""
        ledger = self._ledgers.get(load.engine)
        if ledger is not None:
            ledger.report(load)

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool, now: Millis) -> None:
        """Take in a cache event, which may be late or one of several that went missing."""
        ledger = self._ledgers.get(engine)
        if ledger is not None:
            ledger.hint(prefix, stored=stored)

    def on_engine_lost(self, *, engine: UpstreamId, now: Millis) -> None:
        """Forget an engine and all it ran."""
        ledger = self._ledgers.pop(engine, None)
        if ledger is None:
            return
        for generation in ledger.running:
            del self._where[generation]

    def decide(self, *, now: Millis) -> Sequence[Decision]:
        """Return what to do now; called after events and at least every 100 ms."""
        decisions: list[Decision] = []
        if len(self._queue) == 0:
            self._rate.watch(queued=False, now=now)
            return decisions
        for ledger in self._ledgers.values():
            ledger.refresh(now=now)
        self._admit(decisions, now=now)
        self._rate.watch(queued=len(self._queue) > 0, now=now)
        self._shed(decisions, now=now)
        return decisions

    def _serve(self, account: ClientAccountId, tokens: int, *, now: Millis) -> None:
        self._queue.charge(account, output=tokens)
        self._rate.add(tokens, now=now)

    def _shed(self, decisions: list[Decision], *, now: Millis) -> None:
        """Refuse newcomers whose forecast wait is too long, the lowest class first."""
        newcomers = self._newcomers
        while newcomers and (newcomers[0].withdrawn or newcomers[0].submitted + NEWCOMER_MS < now):
            newcomers.popleft()
        rate = self._rate.per_ms(now=now)
        if rate is None or not newcomers:
            return
        worst_first = sorted(newcomers, key=self._standing, reverse=True)
        for waiting in worst_first:
            wait_ms = self._queue.expected_tokens_before(waiting.curve) / rate
            if waiting.withdrawn or waiting.promised or wait_ms <= self._tuning.shed_after_ms:
                continue
            request = waiting.request
            self._queue.remove(request.generation)
            after = self._returns.book(
                request=request, tokens=waiting.curve.mean, wait_ms=wait_ms, rate=rate, now=now
            )
            decisions.append(
                Decision(
                    kind=DecisionKind.SHED, generation=request.generation, retry_after_ms=after
                )
            )

    def _standing(self, waiting: Waiting) -> tuple[int, float]:
        """Return what newcomers are refused by: priority, then place in the queue."""
        return waiting.request.priority, waiting.key + self._queue.delay(waiting.request.account)

    def _admit(self, decisions: list[Decision], *, now: Millis) -> None:
        """Admit from the front of the queue until a whole look at it admits nothing."""
        admitted = True
        while admitted:
            admitted = False
            for waiting in self._queue.candidates(most=CANDIDATES):
                ledger = self._place(waiting)
                if ledger is None:
                    continue
                self._queue.remove(waiting.request.generation)
                self._enter(ledger, waiting.request, waiting.curve, now=now)
                decisions.append(
                    Decision(
                        kind=DecisionKind.ADMIT,
                        generation=waiting.request.generation,
                        engine=ledger.spec.engine,
                    )
                )
                admitted = True

    def _place(self, waiting: Waiting) -> EngineLedger | None:
        """Return the cheapest engine that can carry a generation, if there is one."""
        best: EngineLedger | None = None
        best_cost = 0.0
        for ledger in self._ledgers.values():
            if not self._may_take(ledger, waiting):
                continue
            cost = self._cost(ledger, waiting)
            if best is None or cost < best_cost:
                best, best_cost = ledger, cost
        return best

    def _may_take(self, ledger: EngineLedger, waiting: Waiting) -> bool:
        request = waiting.request
        tuning = self._tuning
        if not ledger.open or ledger.spec.engine in request.excluded:
            return False
        share = self._shares.get(ledger.spec.engine, self._share)
        if len(ledger.running) >= max(share * ledger.spec.max_batch, 1.0):
            return False
        if not ledger.running:
            return True
        return ledger.fits(
            request,
            waiting.curve,
            # Variances add up over the schedulers that share an engine, deviations do not.
            deviations=tuning.deviations * math.sqrt(share),
            memory=share * tuning.memory_part * ledger.spec.memory_tokens,
        )

    def _cost(self, ledger: EngineLedger, waiting: Waiting) -> float:
        """Return what placing a generation on an engine costs, in prompt tokens to compute."""
        prompt = ledger.prompt_cost(waiting.request, use_prefixes=self._tuning.use_prefixes)
        tuning = self._tuning
        return (
            ledger.prefill_tokens
            + tuning.prompt_gain * prompt
            + tuning.neighbour_tokens * ledger.batch
            + tuning.fill_tokens * ledger.fill() ** FILL_POWER
        )

    def _enter(
        self, ledger: EngineLedger, request: PlacementRequest, curve: LengthCurve, *, now: Millis
    ) -> None:
        uncached = ledger.prompt_cost(request, use_prefixes=True)
        running = Running(
            request=request,
            curve=curve,
            private=request.prompt_tokens - (request.prefix_tokens if request.prefix else 0),
            uncached=uncached,
        )
        ledger.add(running, now=now)
        self._where[request.generation] = ledger
        self._queue.charge(request.account, prompt=uncached)


def make_scheduler(
    *,
    objective: Objective,
    accounts: Mapping[ClientAccountId, AccountSpec],
    rng: Random,
    share: float = 1.0,
    lengths: LengthEstimator | None = None,
) -> ForecastScheduler:
    """Return the scheduler that the daemon runs.

    :param objective: What the operators weigh.
    :param accounts: Declared accounts.
    :param rng: Source of randomness.
    :param share: Part of each engine it may fill.
    :param lengths: What is known of lengths; schedulers of one host may have it in common.
    """
    return ForecastScheduler(
        accounts=accounts,
        tuning=tuning_for(objective=objective),
        rng=rng,
        share=share,
        lengths=lengths,
    )
