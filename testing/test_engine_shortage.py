"""Admission when a third of the engines is gone for 8 s, or demand is 2.5 times the usual."""

from __future__ import annotations

import asyncio
from functools import cache
import math

import msgspec
import pytest
from returns.result import Failure
from returns.result import Success

from tanagerscale.coordination import _capacity_admission
from tanagerscale.coordination._capacity_admission import MIN_ENDED_RUNS
from tanagerscale.coordination._client import _PlacementCall
from tanagerscale.coordination._ledger import LedgerRun
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import LocalWorkload
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import RoutedRequest
from tanagerscale.forwarding._refusals import MIN_CAPACITY_RETRY_MS
from tanagerscale.forwarding._refusals import PAUSE_JITTER
from tanagerscale.forwarding._refused_generations import MAX_REPORTED
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.generated.messages import RefusalCause
from tanagerscale.generated.messages import RefusedGeneration
from tanagerscale.policy import MAX_OVERDUE_MS
from tanagerscale.policy import CapacityForecast
from tanagerscale.policy import Claim
from tanagerscale.policy import LengthEstimator
from tanagerscale.policy import Release
from tanagerscale.policy import Reservation
from tanagerscale.policy import RetrySchedule
from tanagerscale.policy import choose_retry_time
from tanagerscale.policy import is_hopeless
from tanagerscale.policy._capacity_forecast import FORECAST_HORIZON_MS
from tanagerscale.policy._placement import GROWTH_RESERVE_TOKENS
from tanagerscale.policy._retry_schedule import MAX_EARLY_MS
from tanagerscale.policy._retry_schedule import MAX_RESERVATIONS
from tanagerscale.routes import RouteKind
from testing._admission_load import AdmissionLoad
from testing._admission_load import Outcome
from testing._gateway_fakes import SERVICE
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._single_host import DOMAIN
from testing._single_host import HOST
from testing._virtual_time import run_virtually

X, Y = UpstreamId("x"), UpstreamId("y")
NEVER = 10**9
NOW = Millis(100_000)
VALUES = {"long": (110.0, 25.0), "short": (55.0, 3.3)}
"""Value of a first event in time and of a late one to customer 1."""


@cache
def _run_load(burst: float, lost: int, is_forecast: bool) -> dict[str, Outcome]:
    return AdmissionLoad(burst=burst, lost=lost, refuse_by_forecast=is_forecast).run()


def _value(outcomes: dict[str, Outcome]) -> float:
    return sum(
        one.in_time * VALUES[name][0] + one.late * VALUES[name][1] for name, one in outcomes.items()
    )


# Guards against callers that wait until their patience is over, to be told a random delay at which
# there is no capacity either.
@pytest.mark.parametrize(("burst", "lost"), [(2.5, 0), (1.0, 2)])
def test_more_callers_are_served_when_engines_lack_memory_for_8_s(burst: float, lost: int) -> None:
    present, forecast = _run_load(burst, lost, False), _run_load(burst, lost, True)
    assert _value(forecast) > _value(present)
    before, after = present["long"], forecast["long"]
    assert after.in_time + after.late > before.in_time + before.late
    assert after.after_return > before.after_return
    assert after.refused_twice < before.refused_twice
    assert after.waited_ms / after.first_refusals < before.waited_ms / before.first_refusals


# Guards against callers that were refused while there is capacity, and against delays of others.
@pytest.mark.parametrize("factor", [0.5, 2.0])
def test_callers_lose_nothing_when_forecasts_are_wrong_by_a_factor_of_2(
    factor: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    measure = _capacity_admission._token_interval_ms

    def measure_wrongly(run: LedgerRun) -> float:
        return measure(run) * factor

    monkeypatch.setattr(_capacity_admission, "_token_interval_ms", measure_wrongly)
    outcomes = AdmissionLoad(burst=2.5).run()
    assert _value(outcomes) >= _value(_run_load(2.5, 0, False))


def _forecast(*, claims: tuple[Claim, ...] = ()) -> CapacityForecast:
    """Return the forecast for an engine without room where two runs of 3,250 tokens end."""
    releases = [Release(upstream=X, after_ms=at, tokens=3250) for at in (1000, 2000, 90_000)]
    return CapacityForecast(free={X: 0}, releases=releases, claims=claims)


def _start_ms(forecast: CapacityForecast) -> float:
    outlook = forecast.forecast(tokens=3000)
    assert outlook is not None
    forecast.take(tokens=3000, hold_ms=FORECAST_HORIZON_MS * 2)
    return outlook.start_ms


# Guards against counting the memory of one run for two generations.
def test_generations_start_one_after_the_other_when_runs_end() -> None:
    forecast = _forecast()
    assert [_start_ms(forecast) for _ in range(3)] == [1000, 2000, math.inf]


# Guards against giving the capacity of a reservation that is due to a new caller.
def test_new_generation_starts_after_the_reservations_that_are_due_before() -> None:
    claim = Claim(after_ms=500, tokens=3000, hold_ms=NEVER)
    assert _start_ms(_forecast(claims=(claim,))) == 2000


def test_new_generation_starts_before_a_reservation_that_is_due_later() -> None:
    claim = Claim(after_ms=1500, tokens=3000, hold_ms=NEVER)
    assert _start_ms(_forecast(claims=(claim,))) == 1000


def _forecast_sizes(sizes: list[int], *, held_first: int, is_claim: bool) -> list[float]:
    """Return the starts of generations, the first ones in the queue or as claims that are due.

    The engine holds 30,000 tokens; 3,000 become free in each of the first 4 s, the rest after 20 s.
    """
    ends = [Release(upstream=X, after_ms=1000 * at, tokens=3000) for at in range(1, 5)]
    rest = Release(upstream=X, after_ms=20_000, tokens=18_000)
    first = tuple(Claim(after_ms=0, tokens=one, hold_ms=5000) for one in sizes[:held_first])
    forecast = CapacityForecast(
        free={X: 0}, releases=[*ends, rest], claims=first if is_claim else ()
    )
    starts = []
    for tokens in sizes[held_first if is_claim else 0 :]:
        outlook = forecast.forecast(tokens=tokens)
        starts.append(-1.0 if outlook is None else outlook.start_ms)
        if outlook is not None:
            forecast.take(tokens=tokens, hold_ms=500)
    return starts


# Guards against one large prompt that makes the forecast refuse all smaller ones behind it, which
# are placed as soon as they fit.
@pytest.mark.parametrize("is_claim", [False, True])
@pytest.mark.parametrize(("large", "large_start_ms"), [(20_000, 20_000), (40_000, -1)])
def test_large_prompt_does_not_delay_smaller_ones_behind_it(
    large: int, large_start_ms: float, is_claim: bool
) -> None:
    alone = _forecast_sizes([2200] * 10, held_first=0, is_claim=False)
    assert alone[0] == 1000
    assert max(alone) < 6000
    behind = _forecast_sizes([large] + [2200] * 10, held_first=1, is_claim=is_claim)
    assert behind == (alone if is_claim else [large_start_ms, *alone])


# Guards against two deciders that both promise the whole capacity, and against prompts that are
# scaled beyond every engine.
@pytest.mark.parametrize(("share", "is_refused"), [(0.1, False), (0.5, False), (0.9, True)])
def test_generation_waits_when_the_decider_decides_for_a_part_of_the_hosts(
    share: float, is_refused: bool
) -> None:
    async def scenario() -> int | None:
        fakes = _make_full_fakes()
        fakes.single_host.coordinator.admission._share = lambda: share
        return await _refusal_delay_ms(fakes, _route("1"))

    assert (run_virtually(scenario()) is not None) is is_refused


# Guards against forecasts from the sum of fragments that no single engine can use.
def test_generation_starts_when_one_engine_has_all_the_memory_it_needs() -> None:
    releases = [Release(upstream=X, after_ms=1000, tokens=2000), *[]]
    releases.append(Release(upstream=Y, after_ms=1500, tokens=2000))
    releases.append(Release(upstream=Y, after_ms=3000, tokens=2000))
    forecast = CapacityForecast(free={X: 0, Y: 0}, releases=releases)
    assert _start_ms(forecast) == 3000


def test_growth_of_running_generations_uses_memory_until_they_end() -> None:
    grows = Release(upstream=X, after_ms=9000, tokens=5000, growth_per_ms=0.1)
    ends = Release(upstream=X, after_ms=1000, tokens=3000 + GROWTH_RESERVE_TOKENS)
    forecast = CapacityForecast(free={X: 0}, releases=[grows, ends])
    assert _start_ms(forecast) == 9000


def test_nothing_is_forecast_when_no_running_generation_is_known() -> None:
    assert CapacityForecast(free={X: 0}, releases=[]).forecast(tokens=3000) is None


@pytest.mark.parametrize(("start_ms", "is_refused"), [(8999, False), (9001, True)])
def test_generation_is_hopeless_when_half_of_its_forecast_exceeds_its_time(
    start_ms: float, is_refused: bool
) -> None:
    assert is_hopeless(start_ms=start_ms, left_ms=4500) is is_refused


# Guards against promising a time at which the caller has gone.
def test_no_capacity_is_reserved_when_the_caller_cannot_use_the_time() -> None:
    usable = choose_retry_time(start_ms=12_999.5, deadline_ms=39_000, spread=0.0)
    assert (usable.retry_ms, usable.is_reserved) == (13_000, True)
    times = [
        choose_retry_time(start_ms=start_ms, deadline_ms=39_000, spread=spread)
        for start_ms in (13_001.0, math.inf)
        for spread in (0.0, 1.0)
    ]
    assert not any(one.is_reserved for one in times)
    assert [one.retry_ms for one in times] == [10_400, 13_000, 10_400, 13_000]


def test_remaining_length_follows_from_ended_answers() -> None:
    lengths = LengthEstimator()
    request = _capacity_admission._length_request(SERVICE, is_long=True, max_tokens=1756)
    for number in range(1000):
        lengths.observe(request=request, tokens=600 if number % 2 else 1200)
    curve = lengths.curve(request=request)
    assert curve.expected_left(0) == pytest.approx(900, rel=0.1)
    assert curve.expected_left(800) == pytest.approx(400, rel=0.2)
    assert curve.expected_left(5000) == 0.0


def _reservation(name: str = "f", *, after_ms: int = 3000) -> Reservation:
    return Reservation(
        fingerprint=name,
        service=SERVICE,
        tokens=3000,
        is_long=True,
        return_at=Millis(NOW + after_ms),
    )


# Guards against callers that gain by returning early, and capacity that is kept for nobody.
@pytest.mark.parametrize(
    ("after_ms", "is_found"),
    [
        (3000 - MAX_EARLY_MS - 1, False),
        (3000 - MAX_EARLY_MS, True),
        (3000 + MAX_OVERDUE_MS - 1, True),
        (3000 + MAX_OVERDUE_MS, False),
    ],
)
def test_reservation_is_found_from_its_time_until_it_expires(after_ms: int, is_found: bool) -> None:
    schedule = RetrySchedule()
    schedule.reserve(_reservation(), now=NOW)
    assert (schedule.find("f", now=Millis(NOW + after_ms)) is not None) is is_found
    assert schedule.expired == (after_ms >= 3000 + MAX_OVERDUE_MS)


# Guards against a second use when a host still reports the refusal.
def test_reservation_is_used_once_when_it_is_reported_again() -> None:
    schedule, other = RetrySchedule(), RetrySchedule()
    schedule.reserve(_reservation(), now=NOW)
    other.restore(_reservation(), now=NOW)
    at = Millis(NOW + 3100)
    assert schedule.find("f", now=at)
    schedule.use("f", now=at)
    other.drop_used("f", now=at)
    for one in (schedule, other):
        one.restore(_reservation(), now=at)
        assert one.find("f", now=at) is None
    assert (schedule.used, other.used) == (1, 0)


def test_reservations_are_bounded_in_number() -> None:
    schedule = RetrySchedule()
    made = [schedule.reserve(_reservation(f"f{one}"), now=NOW) for one in range(MAX_RESERVATIONS)]
    assert all(made)
    assert not schedule.reserve(_reservation("more"), now=NOW)
    later = Millis(NOW + 3000 + MAX_OVERDUE_MS)
    assert schedule.reserve(_reservation("more"), now=later)
    assert len(schedule) == 1


def _make_full_fakes(*, ended: int = MIN_ENDED_RUNS, is_enabled: bool = True) -> GatewayFakes:
    """Return a host with an engine that is full of long runs for about 10 s.

    :param ended: Number of long runs that have ended before.
    :param is_enabled: Whether the host refuses by forecast.
    """
    fakes = make_gateway_fakes(make_entry("x"))
    fakes.single_host.coordinator.admission.is_enabled = is_enabled
    for number in range(ended):
        _run(fakes, f"ended-{number}", made=1300)
        fakes.work.end(request=make_request(name=f"ended-{number}").request)
    for number in range(9):
        _run(fakes, f"running-{number}", made=1)
    return fakes


def _run(fakes: GatewayFakes, name: str, *, made: int) -> None:
    request = make_request(name=name).request
    fakes.work.begin(request=request, upstream=X, prompt_tokens=3300, tokens=3300, is_long=True)
    fakes.work.progress(request=request, tokens=3300 + made, answer_tokens=made)
    fakes.single_host.client.report_now()


def _route(name: str, *, time_left_ms: int | None = None) -> RoutedRequest:
    route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000)
    request = make_request(name=name, prompt=3000, body=name.split("-")[0].encode())
    request = msgspec.structs.replace(request, time_left_ms=time_left_ms)
    return route_request(request, route)


async def _refusal_delay_ms(fakes: GatewayFakes, routed: RoutedRequest) -> int | None:
    """Return the retry delay of a generation that is refused at once; ``None`` if it isn't."""
    admission = Admission(context=fakes.context, placer=fakes.single_host.client)
    found = asyncio.create_task(admission.find_engine(routed=routed, excluded=frozenset()))
    await asyncio.sleep(0.1)
    if not found.done():
        found.cancel()
        return None
    result = found.result()
    assert isinstance(result, Failure)
    refusal: Refusal = result.failure()
    assert refusal.kind is RefusalKind.OVERLOADED
    return refusal.retry_after_ms


# Guards against a refusal that comes when the wait is over, though it was known at the start.
def test_generation_is_refused_at_once_when_its_engine_is_full_for_longer() -> None:
    async def scenario() -> None:
        fakes = _make_full_fakes()
        delays = [await _refusal_delay_ms(fakes, _route(f"{one}")) for one in range(3)]
        assert all(delay is not None and 9000 < delay <= 13_000 for delay in delays)
        assert len(fakes.single_host.coordinator.admission.schedule) == 3
        counter = fakes.context.metrics.capacity_refusals.labels(RefusalCause.FORECAST.value)
        assert counter._value.get() == 3

    run_virtually(scenario())


# Guards against a retry delay that the caller can't use after its wait.
def test_retry_delay_is_from_the_time_that_is_left_after_the_wait() -> None:
    async def scenario() -> int | None:
        fakes = _make_full_fakes()
        admission = Admission(context=fakes.context, placer=fakes.single_host.client)
        deadline = fakes.context.clock.now() + 12_000
        routed = msgspec.structs.replace(_route("1"), deadline=deadline)
        fakes.single_host.coordinator.admission._ended.clear()
        waiting = asyncio.create_task(admission.find_engine(routed=routed, excluded=frozenset()))
        await asyncio.sleep(2.9)  # 0.8 of a third of 12 s is more than a third of what is left.
        assert not waiting.done()
        fakes.single_host.coordinator.admission._ended[SERVICE] = MIN_ENDED_RUNS
        found = await waiting
        assert isinstance(found, Failure)
        refusal: Refusal = found.failure()
        left_ms = deadline - fakes.context.clock.now()
        assert refusal.retry_after_ms is not None
        return left_ms // 3 - refusal.retry_after_ms

    spare_ms = run_virtually(scenario())
    assert spare_ms is not None
    assert spare_ms >= 0


# Guards against repeating the time left of the first ask, and against 0, which means unknown.
@pytest.mark.parametrize(("deadline_ms", "repeated_ms"), [(5000, 4000), (700, 1), (0, 0)])
def test_repeated_ask_has_the_time_that_is_left_until_the_answer_is_due(
    deadline_ms: int, repeated_ms: int
) -> None:
    async def scenario() -> int:
        fakes = make_gateway_fakes(make_entry("x"))
        client = fakes.single_host.client
        ask = PlaceAsk(
            serial=1,
            request="r",
            service=SERVICE,
            prompt_tokens=1,
            is_long=True,
            left_ms=1,
            deadline_ms=deadline_ms,
        )
        started_at = Millis(fakes.context.clock.now() - 1000)
        call = _PlacementCall(ask=ask, started_at=started_at, decider=HOST, replies=asyncio.Queue())
        return client._build_ask(call).deadline_ms

    assert run_virtually(scenario()) == repeated_ms


# Guards against forecasts at installations that have not switched them on.
def test_generation_waits_as_before_when_refusals_by_forecast_are_off() -> None:
    async def scenario() -> None:
        fakes = _make_full_fakes(is_enabled=False)
        admission = fakes.single_host.coordinator.admission
        report = RefusedGeneration(fingerprint="f", service=SERVICE, tokens=1, return_ms=0)
        admission.on_report(HostRuns(number=1, decider="a", refused=[report]))
        assert await _refusal_delay_ms(fakes, _route("1")) is None
        placer = Admission(context=fakes.context, placer=fakes.single_host.client)
        found = await placer.find_engine(routed=_route("2"), excluded=frozenset())
        assert isinstance(found, Failure)
        refusal: Refusal = found.failure()
        assert refusal.retry_after_ms is not None
        assert 1250 <= refusal.retry_after_ms <= 3750
        assert not admission._forecasts
        assert not len(admission.schedule)

    run_virtually(scenario())


# Guards against refusals from a forecast that rests on nothing.
def test_generation_waits_when_too_few_runs_have_ended() -> None:
    async def scenario() -> int | None:
        return await _refusal_delay_ms(_make_full_fakes(ended=MIN_ENDED_RUNS - 1), _route("1"))

    assert run_virtually(scenario()) is None


# Guards against a new decider that takes the runs that it knows so far for all runs.
@pytest.mark.parametrize(("in_office_ms", "is_refused"), [(999, False), (1000, True)])
def test_generation_waits_when_the_decider_is_new(in_office_ms: int, is_refused: bool) -> None:
    async def scenario() -> int | None:
        fakes = _make_full_fakes()
        budgets = fakes.single_host.coordinator._retry_budgets
        budgets._since = lambda: Millis(fakes.context.clock.now() - in_office_ms)
        return await _refusal_delay_ms(fakes, _route("1"))

    # The decider gets older by 0.1 s in the meantime, but the first evaluation is at once.
    found = run_virtually(scenario())
    assert found is not None or not is_refused


def test_generation_in_given_failure_domains_waits_as_before() -> None:
    async def scenario() -> int | None:
        fakes = _make_full_fakes()
        routed = msgspec.structs.replace(_route("1"), domains=frozenset({DOMAIN}))
        return await _refusal_delay_ms(fakes, routed)

    assert run_virtually(scenario()) is None


# Guards against denying a generation that an engine has got.
def test_generation_that_an_engine_has_refused_waits_as_before() -> None:
    async def scenario() -> bool:
        fakes = _make_full_fakes()
        admission = Admission(context=fakes.context, placer=fakes.single_host.client)
        waiting = asyncio.create_task(
            admission.find_engine(routed=_route("1"), excluded=frozenset({Y}))
        )
        await asyncio.sleep(0.1)
        return waiting.done()

    assert not run_virtually(scenario())


# Guards against a caller that returns as told and finds its capacity given to others or is refused
# a second time, also where another decider has made the promise.
@pytest.mark.parametrize("decider_dies", [False, True])
def test_returning_caller_is_served_where_another_late_one_is_not(decider_dies: bool) -> None:
    async def scenario() -> list[str]:
        fakes = _make_full_fakes()
        delay_ms = await _refusal_delay_ms(fakes, _route("told"))
        assert delay_ms is not None
        if decider_dies:
            fakes = _replace_decider(fakes)
        await asyncio.sleep(delay_ms / 1000)
        served: list[str] = []
        admission = Admission(context=fakes.context, placer=fakes.single_host.client)

        async def find(name: str) -> None:
            routed = _route(name, time_left_ms=39_000 - 2500)
            found = await admission.find_engine(routed=routed, excluded=frozenset())
            if isinstance(found, Success):
                served.append(name)

        tasks = [asyncio.create_task(find(name)) for name in ("other-2", "told-2")]
        await asyncio.sleep(0.2)
        fakes.work.end(request=make_request(name="running-0").request)
        fakes.work.end(request=make_request(name="running-1").request)
        await asyncio.gather(*tasks)
        assert fakes.single_host.coordinator.admission.schedule.used == 1
        assert len(fakes.work.refused.returned()) == 1
        assert not fakes.work.refused.refused()
        return served

    assert run_virtually(scenario()) == ["told-2"]


def _replace_decider(fakes: GatewayFakes) -> GatewayFakes:
    """Return a host with a new decider that gets the first report of the old host."""
    successor = _make_full_fakes()
    report = HostRuns(number=1, decider=HOST, refused=fakes.work.refused.refused(), returned=[])
    assert report.refused
    successor.single_host.coordinator.on_message(HostId("refusing"), report)
    return successor


# Guards against a caller that waits behind its own reservation, and gets nothing when it is due.
def test_early_caller_does_not_wait_behind_its_reservation_and_uses_it_when_due() -> None:
    async def scenario() -> None:
        fakes = _make_full_fakes()
        coordinator = fakes.single_host.coordinator
        admission = coordinator.admission
        fingerprint = _route("early").fingerprint
        return_at = fakes.context.clock.now() + 1000
        kept = msgspec.structs.replace(_reservation(fingerprint), return_at=Millis(return_at))
        admission.schedule.reserve(kept, now=fakes.context.clock.now())
        assert len(admission._reservation_claims(SERVICE)) == 1
        admission._ended.clear()  # Nobody is refused by forecast.
        placer = Admission(context=fakes.context, placer=fakes.single_host.client)
        waiting = asyncio.create_task(
            placer.find_engine(routed=_route("early-2"), excluded=frozenset())
        )
        await asyncio.sleep(0.2)
        assert not admission._reservation_claims(SERVICE)
        (queued,) = coordinator.queue._waiting.values()
        has_reservation = [queued.has_reservation]
        await asyncio.sleep(0.9)
        has_reservation.append(queued.has_reservation)
        assert has_reservation == [False, True]
        for number in range(2):
            fakes.work.end(request=make_request(name=f"running-{number}").request)
        assert isinstance(await waiting, Success)
        assert admission.schedule.used == 1

    run_virtually(scenario())


# Guards against a reservation that two deciders grant one after the other.
def test_used_reservation_is_not_granted_by_another_decider() -> None:
    async def scenario() -> bool:
        fakes = make_gateway_fakes(make_entry("x"))
        admission = fakes.single_host.coordinator.admission
        admission.is_enabled = True
        refused = RefusedGeneration(fingerprint="f", service=SERVICE, tokens=1, return_ms=0)
        admission.on_report(HostRuns(number=1, decider="a", refused=[refused]))
        ask = PlaceAsk(
            serial=1,
            request="r",
            service=SERVICE,
            prompt_tokens=1,
            is_long=True,
            left_ms=1,
            fingerprint="f",
        )
        assert admission.has_reservation(ask, present=frozenset())
        assert not admission.has_reservation(ask, present=frozenset({"f"}))
        admission.on_report(HostRuns(number=2, decider="b", returned=["f"]))
        admission.on_report(HostRuns(number=3, decider="a", refused=[refused]))
        return admission.has_reservation(ask, present=frozenset())

    assert not run_virtually(scenario())


class _RefusingPlacer:
    """Decider that refuses everything in one way."""

    def __init__(self, answer: PlaceAnswer) -> None:
        self._answer = answer

    async def place(self, *, ask: PlaceAsk) -> PlaceAnswer:
        """Refuse."""
        return self._answer


# Guards against jitter on a time at which capacity is planned, and against callers of a rate limit
# that return together.
@pytest.mark.parametrize(
    ("cause", "retry_ms", "lowest", "highest"),
    [
        (RefusalCause.FORECAST, 4321, 4321, 4321),
        (RefusalCause.CAPACITY, 4321, 4321, 4321),
        (RefusalCause.CAPACITY, 1, MIN_CAPACITY_RETRY_MS, MIN_CAPACITY_RETRY_MS),
        (RefusalCause.CAPACITY, 0, 1250, 3750),
        (RefusalCause.RATE_LIMIT, 1000, 1001, 1000 * PAUSE_JITTER[1]),
    ],
)
def test_retry_delay_has_jitter_only_where_it_is_not_a_planned_time(
    cause: RefusalCause, retry_ms: int, lowest: int, highest: int
) -> None:
    async def scenario() -> int | None:
        fakes = make_gateway_fakes(make_entry("x"))
        answer = PlaceAnswer(serial=0, kind=PlaceKind.REFUSE, cause=cause, retry_ms=retry_ms)
        admission = Admission(context=fakes.context, placer=_RefusingPlacer(answer))
        found = await admission.find_engine(routed=_route("1"), excluded=frozenset())
        assert isinstance(found, Failure)
        refusal: Refusal = found.failure()
        return refusal.retry_after_ms

    delay_ms = run_virtually(scenario())
    assert delay_ms is not None
    assert lowest <= delay_ms <= highest


# Guards against reports that grow without bound, and refusals that are listed for ever.
def test_refused_generations_are_listed_until_they_expire() -> None:
    async def scenario() -> list[int]:
        work = LocalWorkload(clock=Clock())
        for number in range(100):
            work.refused.record_refused(
                RefusedGeneration(
                    fingerprint=f"f{number}", service=SERVICE, tokens=1, return_ms=1000
                )
            )
        for number in range(100):
            work.refused.record_returned(f"r{number}")
        assert len(work.refused.returned()) == MAX_REPORTED
        counts = [len(work.refused.refused())]
        await asyncio.sleep(1 + MAX_OVERDUE_MS / 1000 - 0.1)
        counts.append(len(work.refused.refused()))
        assert work.refused.refused()[0].return_ms < 0
        await asyncio.sleep(0.1)
        counts.append(len(work.refused.refused()))
        return counts

    assert run_virtually(scenario()) == [MAX_REPORTED, MAX_REPORTED, 0]
