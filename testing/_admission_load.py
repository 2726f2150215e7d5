"""Callers of long and short generations at one host whose engines lack memory for a time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Final

from msgspec import structs
from returns.result import Success

from tanagerscale.core import RequestId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import Refusal
from tanagerscale.routes import RouteKind
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._virtual_time import run_virtually

ENGINES: Final = 6
FAULT_AT_S: Final = 12.0
FAULT_S: Final = 8.0
END_S: Final = 27.0
LONG_PER_S: Final = 5.5
SHORT_PER_S: Final = 5.0
TOKEN_MS: Final = 9.0
PREFILL_TOKENS_PER_MS: Final = 7.3
MAX_USED_LEFT_RATIO: Final = 1 / 3
AT_ONCE_MS: Final = 100


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of generation, with times in milliseconds."""

    prompt: int
    max_tokens: int
    target_ms: int
    timeout_ms: int


LONG: Final = Kind(prompt=3000, max_tokens=1756, target_ms=1813, timeout_ms=39_000)
SHORT: Final = Kind(prompt=2200, max_tokens=16, target_ms=1509, timeout_ms=6000)


@dataclass(slots=True)
class Outcome:
    """Number of callers by what became of them; ``in_time`` counts first events."""

    callers: int = 0
    in_time: int = 0
    late: int = 0
    after_return: int = 0
    refused_at_once: int = 0
    refused_twice: int = 0
    waited_ms: int = 0
    """Time until the first answer or refusal of callers that were refused, summed up."""
    first_refusals: int = 0


@dataclass(slots=True)
class AdmissionLoad:
    """Runs callers against a host in virtual time.

    :param burst: Factor on the demand during the fault.
    :param lost: Number of engines that are gone during the fault.
    :param token_ms: Time per token of the engines.
    :param refuse_by_forecast: Whether the decider refuses by forecast.
    """

    burst: float = 1.0
    lost: int = 0
    token_ms: float = TOKEN_MS
    refuse_by_forecast: bool = True
    seed: int = 1
    fakes: GatewayFakes = field(init=False)
    outcomes: dict[str, Outcome] = field(default_factory=dict)

    def run(self) -> dict[str, Outcome]:
        """Return the outcomes of the callers that arrive from the fault on, by kind."""
        self.outcomes = {"long": Outcome(), "short": Outcome()}
        run_virtually(self._run())
        return self.outcomes

    async def _run(self) -> None:
        self.fakes = make_gateway_fakes(*(make_entry(f"e{one}") for one in range(ENGINES)))
        # Moves of runs are not under test, and planning them takes most of the time.
        self.fakes.single_host.coordinator.admission.is_enabled = self.refuse_by_forecast
        planner = self.fakes.single_host.coordinator.planner
        planner.reevaluate = lambda: None  # type: ignore[method-assign]
        loop = asyncio.get_running_loop()
        loop.call_later(FAULT_AT_S, self._lose_engines)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._arrive("long", LONG, LONG_PER_S, tasks))
            tasks.create_task(self._arrive("short", SHORT, SHORT_PER_S, tasks))

    async def _arrive(self, name: str, kind: Kind, per_s: float, tasks: asyncio.TaskGroup) -> None:
        loop, rng = asyncio.get_running_loop(), Random(f"{name}{self.seed}")
        number = 0
        while loop.time() < END_S:
            is_fault = FAULT_AT_S <= loop.time() < FAULT_AT_S + FAULT_S
            await asyncio.sleep(rng.expovariate(per_s * (self.burst if is_fault else 1.0)))
            number += 1
            answer = 12 if kind is SHORT else round(rng.triangular(100, 1756, 376))
            outcome = self.outcomes[name] if loop.time() >= FAULT_AT_S else Outcome()
            tasks.create_task(self._call(f"{name}{number}", kind, answer, outcome))

    async def _call(self, name: str, kind: Kind, answer: int, outcome: Outcome) -> None:
        """Send a generation, and once more after a refusal whose delay can be used."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        outcome.callers += 1
        refusal = await self._attempt(name, kind, answer, outcome, waited_ms=None)
        if refusal is None:
            return
        passed_ms = int((loop.time() - began_at) * 1000)
        outcome.first_refusals += 1
        outcome.waited_ms += passed_ms
        outcome.refused_at_once += passed_ms <= AT_ONCE_MS
        assert refusal.retry_after_ms is not None
        usable_ms = (kind.timeout_ms - passed_ms) * MAX_USED_LEFT_RATIO
        await asyncio.sleep(min(refusal.retry_after_ms, usable_ms) / 1000)
        passed_ms = int((loop.time() - began_at) * 1000)
        again = await self._attempt(f"{name}-2", kind, answer, outcome, waited_ms=passed_ms)
        outcome.after_return += again is None
        outcome.refused_twice += again is not None

    async def _attempt(
        self, name: str, kind: Kind, answer: int, outcome: Outcome, *, waited_ms: int | None
    ) -> Refusal | None:
        fakes, loop = self.fakes, asyncio.get_running_loop()
        arrived_at = loop.time()
        route = make_route(
            kind=RouteKind.STREAMING, timeout_ms=kind.timeout_ms, target_ms=kind.target_ms
        )
        body = name.removesuffix("-2").encode()
        request = make_request(name=name, prompt=kind.prompt, max_tokens=kind.max_tokens, body=body)
        left_ms = None if waited_ms is None else kind.timeout_ms - waited_ms
        routed = route_request(structs.replace(request, time_left_ms=left_ms), route)
        if left_ms is not None:
            routed = structs.replace(routed, deadline=request.arrived + left_ms)
        admission = Admission(context=fakes.context, placer=fakes.single_host.client)
        found = await admission.find_engine(routed=routed, excluded=frozenset())
        if not isinstance(found, Success):
            return found.failure()
        engine = found.unwrap().upstream
        queued_tokens = fakes.totals()[engine].waiting_tokens
        await asyncio.sleep(queued_tokens / PREFILL_TOKENS_PER_MS / 1000)
        event_ms = (loop.time() - arrived_at) * 1000 + (waited_ms or 0)
        outcome.in_time += event_ms <= kind.target_ms
        outcome.late += event_ms > kind.target_ms
        await self._decode(RequestId(name), kind, answer)
        return None

    async def _decode(self, request: RequestId, kind: Kind, answer: int) -> None:
        work, made = self.fakes.work, 4
        while made < answer:
            work.progress(request=request, tokens=kind.prompt + made, answer_tokens=made)
            await asyncio.sleep(min(100, answer - made) * self.token_ms / 1000)
            made += 100
        work.end(request=request)

    def _lose_engines(self) -> None:
        """Remove some engines for the time of the fault; their callers are not affected."""
        upstreams = self.fakes.upstreams
        gone = upstreams.entries[: self.lost]
        upstreams.entries = upstreams.entries[self.lost :]
        asyncio.get_running_loop().call_later(FAULT_S, lambda: upstreams.entries.extend(gone))


def describe(outcomes: dict[str, Outcome]) -> str:
    """Return one line per kind, for reports."""
    return "\n".join(f"{name}: {outcome}" for name, outcome in outcomes.items())
