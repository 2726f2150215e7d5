"""The default scheduler: admission by forecast memory use, with one ledger for each engine."""

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
from tanagerscale.policy._ledger import RunningGeneration
from tanagerscale.policy._lengths import LengthCurve
from tanagerscale.policy._lengths import LengthEstimator
from tanagerscale.policy._queue import FairQueue
from tanagerscale.policy._queue import QueuedRequest
from tanagerscale.policy._shedding import RetryReservations
from tanagerscale.policy._shedding import ServiceRate
from tanagerscale.policy._tuning import Tuning
from tanagerscale.policy._tuning import tuning_for
from tanagerscale.policy._types import AccountSpec
from tanagerscale.policy._types import Decision
from tanagerscale.policy._types import DecisionKind
from tanagerscale.policy._types import EngineLoad
from tanagerscale.policy._types import EngineSpec
from tanagerscale.policy._types import PlacementRequest

MAX_SHED_AGE_MS = 800
"""Maximum time after its submission at which a generation may still be shed."""

FILL_EXPONENT = 2
"""Exponent of the cost of a fuller engine."""

MAX_CANDIDATES = 64
"""Maximum number of queued generations that one decision considers, which bounds its cost."""


@final
class ForecastScheduler:
    """Holds generations back until the forecast shows an engine that can run them to completion.

    :param accounts: Declared accounts.
    :param tuning: Scheduler settings.
    :param rng: Random number generator used to spread the retries of shed callers.
    :param share: Fraction of each engine that this scheduler may fill. Hosts that can't reach the
        pool's owner use 1/N each and ignore the work of other schedulers.
    :param lengths: Estimator of answer lengths; the schedulers of one host may share it, so that a
        new owner starts with existing estimates.
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
        self._ledger_by_generation: dict[GenerationId, EngineLedger] = {}
        self._rate = ServiceRate()
        self._reservations = RetryReservations(rng=rng)
        self._shed_candidates: deque[QueuedRequest] = deque()

    @property
    def queued(self) -> int:
        """Return the number of queued generations."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return the number of generations known to be on engines."""
        return len(self._ledger_by_generation)

    @property
    def expected_tokens(self) -> float:
        """Return the expected number of tokens of the queued answers."""
        return self._queue.expected_tokens

    def running_generations(self) -> list[GenerationId]:
        """Return the generations known to be on engines, the longest running first."""
        return list(self._ledger_by_generation)

    def held_tokens(self, *, engine: UpstreamId) -> int:
        """Return how much of an engine's memory this scheduler's generations hold, in tokens."""
        ledger = self._ledgers.get(engine)
        return ledger.own_tokens if ledger is not None else 0

    def reconfigure(
        self, *, objective: Objective, accounts: Mapping[ClientAccountId, AccountSpec]
    ) -> None:
        """Apply changed declarations.

        :param objective: Declared weights of the scheduling objective.
        :param accounts: Declared accounts.
        """
        self._tuning = tuning_for(objective=objective)
        self._queue.reconfigure(accounts=accounts, tuning=self._tuning)
        for ledger in self._ledgers.values():
            ledger.refused_tokens.clear()

    def set_share(self, *, share: float) -> None:
        """Set the fraction of every engine this scheduler may fill, as a new owner must."""
        self._share = share
        for ledger in self._ledgers.values():
            ledger.ignores_foreign_work = share < 1.0
            ledger.refused_tokens.clear()

    def set_shares(self, *, shares: Mapping[UpstreamId, float]) -> None:
        """Set the fraction of each engine this scheduler may fill; others keep ``share``."""
        self._shares = shares
        for ledger in self._ledgers.values():
            ledger.refused_tokens.clear()

    def set_engines(self, *, engines: Sequence[EngineSpec], now: Millis) -> None:
        """Replace the engines that accept new work; others only finish what they run."""
        named = {spec.engine: spec for spec in engines}
        for engine, ledger in list(self._ledgers.items()):
            ledger.is_open = engine in named
            if not ledger.is_open and not ledger.running:
                del self._ledgers[engine]
        for engine, spec in named.items():
            ledger = self._ledgers.setdefault(
                engine, EngineLedger(spec=spec, ignores_foreign_work=self._share < 1.0)
            )
            ledger.spec = spec

    def submit(self, *, request: PlacementRequest, now: Millis) -> None:
        """Queue a generation; one that is already queued or running is left unchanged."""
        if request.generation in self._queue or request.generation in self._ledger_by_generation:
            return
        curve = self._lengths.curve(request=request)
        has_reservation = self._reservations.redeem(request=request, now=now)
        waiting = self._queue.push(
            request=request, curve=curve, has_reservation=has_reservation, now=now
        )
        if request.sheddable:
            self._shed_candidates.append(waiting)

    def withdraw(self, *, generation: GenerationId, now: Millis) -> None:
        """Remove a queued generation whose caller has disconnected."""
        self._queue.remove(generation)

    def adopt(
        self, *, request: PlacementRequest, engine: UpstreamId, tokens: int, now: Millis
    ) -> None:
        """Add a generation that another scheduler admitted, as a new owner does.

        :param request: The request.
        :param engine: Engine that it runs on.
        :param tokens: Tokens generated so far.
        """
        ledger = self._ledgers.get(engine)
        if ledger is None or request.generation in self._ledger_by_generation:
            return
        self._queue.remove(request.generation)
        self._add_running(ledger, request, self._lengths.curve(request=request), now=now)
        ledger.progress(request.generation, tokens=tokens)

    def observe(self, *, request: PlacementRequest, tokens: int) -> None:
        """Record an answer length of another scheduler, as a basis for estimates at takeover."""
        self._lengths.observe(request=request, tokens=tokens)

    def on_progress(self, *, generation: GenerationId, tokens: int, now: Millis) -> None:
        """Record that a running generation has generated ``tokens`` tokens so far."""
        ledger = self._ledger_by_generation.get(generation)
        if ledger is None:
            return
        account = ledger.running[generation].request.account
        new = ledger.progress(generation, tokens=tokens)
        self._count_output(account, new, now=now)

    def on_finished(
        self, *, generation: GenerationId, tokens: int, complete: bool, now: Millis
    ) -> None:
        """Record that a generation left its engine; only complete answers count as lengths."""
        ledger = self._ledger_by_generation.pop(generation, None)
        if ledger is None:
            # It may have ended before the decision to move it was executed.
            self._queue.remove(generation)
            return
        running = ledger.remove(generation)
        assert running is not None
        self._count_output(running.request.account, max(tokens - running.tokens, 0), now=now)
        if complete:
            self._lengths.observe(request=running.request, tokens=tokens)
        if not ledger.is_open and not ledger.running:
            self._ledgers.pop(ledger.spec.engine, None)

    def on_load(self, *, load: EngineLoad, now: Millis) -> None:
        """Apply a load report, which may be delayed."""
        ledger = self._ledgers.get(load.engine)
        if ledger is not None:
            ledger.apply_load(load)

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool, now: Millis) -> None:
        """Apply a cache event; events may be delayed or lost."""
        ledger = self._ledgers.get(engine)
        if ledger is not None:
            ledger.record_prefix_hint(prefix, stored=stored)

    def on_engine_lost(self, *, engine: UpstreamId, now: Millis) -> None:
        """Remove an engine and all generations on it."""
        ledger = self._ledgers.pop(engine, None)
        if ledger is None:
            return
        for generation in ledger.running:
            del self._ledger_by_generation[generation]

    def decide(self, *, now: Millis) -> Sequence[Decision]:
        """Return the current decisions; called after events and at least every 100 ms."""
        decisions: list[Decision] = []
        if len(self._queue) == 0:
            self._rate.set_queued(queued=False, now=now)
            return decisions
        for ledger in self._ledgers.values():
            ledger.refresh(now=now)
        self._admit(decisions, now=now)
        self._rate.set_queued(queued=len(self._queue) > 0, now=now)
        self._shed(decisions, now=now)
        return decisions

    def _count_output(self, account: ClientAccountId, tokens: int, *, now: Millis) -> None:
        self._queue.charge(account, output=tokens)
        self._rate.add(tokens, now=now)

    def _shed(self, decisions: list[Decision], *, now: Millis) -> None:
        """Shed recent submissions whose forecast wait is too long, the lowest priority first."""
        shed_candidates = self._shed_candidates
        while shed_candidates and (
            shed_candidates[0].withdrawn or shed_candidates[0].submitted + MAX_SHED_AGE_MS < now
        ):
            shed_candidates.popleft()
        rate = self._rate.per_ms(now=now)
        if rate is None or not shed_candidates:
            return
        worst_first = sorted(shed_candidates, key=self._shed_sort_key, reverse=True)
        for waiting in worst_first:
            wait_ms = self._queue.expected_tokens_before(waiting.curve) / rate
            if (
                waiting.withdrawn
                or waiting.has_reservation
                or wait_ms <= self._tuning.shed_after_ms
            ):
                continue
            request = waiting.request
            self._queue.remove(request.generation)
            retry_after_ms = self._reservations.reserve(
                request=request, tokens=waiting.curve.mean, wait_ms=wait_ms, rate=rate, now=now
            )
            decisions.append(
                Decision(
                    kind=DecisionKind.SHED,
                    generation=request.generation,
                    retry_after_ms=retry_after_ms,
                )
            )

    def _shed_sort_key(self, waiting: QueuedRequest) -> tuple[int, float]:
        """Return the sort key for shedding: priority, then position in the queue."""
        return waiting.request.priority, waiting.key + self._queue.fairness_delay_ms(
            waiting.request.account
        )

    def _admit(self, decisions: list[Decision], *, now: Millis) -> None:
        """Admit generations from the front of the queue until a full pass admits none."""
        admitted = True
        while admitted:
            admitted = False
            for waiting in self._queue.candidates(limit=MAX_CANDIDATES):
                ledger = self._select_ledger(waiting)
                if ledger is None:
                    continue
                self._queue.remove(waiting.request.generation)
                self._add_running(ledger, waiting.request, waiting.curve, now=now)
                decisions.append(
                    Decision(
                        kind=DecisionKind.ADMIT,
                        generation=waiting.request.generation,
                        engine=ledger.spec.engine,
                    )
                )
                admitted = True

    def _select_ledger(self, waiting: QueuedRequest) -> EngineLedger | None:
        """Return the cheapest engine that can run a generation, or ``None``."""
        best: EngineLedger | None = None
        best_cost = 0.0
        for ledger in self._ledgers.values():
            if not self._can_admit(ledger, waiting):
                continue
            cost = self._cost(ledger, waiting)
            if best is None or cost < best_cost:
                best, best_cost = ledger, cost
        return best

    def _can_admit(self, ledger: EngineLedger, waiting: QueuedRequest) -> bool:
        request = waiting.request
        tuning = self._tuning
        if not ledger.is_open or ledger.spec.engine in request.excluded:
            return False
        share = self._shares.get(ledger.spec.engine, self._share)
        if len(ledger.running) >= max(share * ledger.spec.max_batch, 1.0):
            return False
        if not ledger.running:
            return True
        return ledger.can_fit(
            request,
            waiting.curve,
            # The schedulers that share an engine add up in variance, not in deviation.
            deviations=tuning.deviations * math.sqrt(share),
            limit_tokens=share * tuning.memory_part * ledger.spec.memory_tokens,
        )

    def _cost(self, ledger: EngineLedger, waiting: QueuedRequest) -> float:
        """Return the cost of placing a generation on an engine, in prompt tokens to compute."""
        prompt = ledger.prompt_cost(waiting.request, use_prefixes=self._tuning.use_prefixes)
        tuning = self._tuning
        return (
            ledger.prefill_tokens
            + tuning.prompt_gain * prompt
            + tuning.neighbour_tokens * ledger.batch_size
            + tuning.fill_tokens * ledger.expected_fill() ** FILL_EXPONENT
        )

    def _add_running(
        self, ledger: EngineLedger, request: PlacementRequest, curve: LengthCurve, *, now: Millis
    ) -> None:
        uncached_tokens = ledger.prompt_cost(request, use_prefixes=True)
        running = RunningGeneration(
            request=request,
            curve=curve,
            private_tokens=request.prompt_tokens - (request.prefix_tokens if request.prefix else 0),
            uncached_tokens=uncached_tokens,
        )
        ledger.add(running, now=now)
        self._ledger_by_generation[request.generation] = ledger
        self._queue.charge(request.account, prompt=uncached_tokens)


def make_scheduler(
    *,
    objective: Objective,
    accounts: Mapping[ClientAccountId, AccountSpec],
    rng: Random,
    share: float = 1.0,
    lengths: LengthEstimator | None = None,
) -> ForecastScheduler:
    """Return the scheduler that the daemon runs.

    :param objective: Declared weights of the scheduling objective.
    :param accounts: Declared accounts.
    :param rng: Random number generator used to spread the retries of shed callers.
    :param share: Fraction of each engine that it may fill.
    :param lengths: Estimator of answer lengths, which the schedulers of one host may share.
    """
    return ForecastScheduler(
        accounts=accounts,
        tuning=tuning_for(objective=objective),
        rng=rng,
        share=share,
        lengths=lengths,
    )
