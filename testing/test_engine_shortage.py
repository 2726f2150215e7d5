"""Admission when a third of the engines is gone for 8 s, or demand is 2.5 times the usual."""

from __future__ import annotations

from functools import cache
import math

import pytest

from tanagerscale.coordination import _capacity_admission
from tanagerscale.coordination._ledger import LedgerRun
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
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
from testing._admission_load import AdmissionLoad
from testing._admission_load import Outcome
from testing._gateway_fakes import SERVICE

X, Y = UpstreamId("x"), UpstreamId("y")
NEVER = 10**9
LONG_MS = 8000
NOW = Millis(100_000)
VALUES = {"long": (110.0, 25.0), "short": (55.0, 3.3)}
"""Value of a first event in time and of a late one to customer 1."""


@cache
def _run_load(burst: float, lost: int, is_forecast: bool) -> dict[str, Outcome]:
    with pytest.MonkeyPatch.context() as patch:
        if not is_forecast:
            patch.setattr(_capacity_admission, "MIN_ENDED_RUNS", NEVER)
        return AdmissionLoad(burst=burst, lost=lost).run()


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


def _forecast(*, claims: tuple[Claim, ...] = (), share: float = 1.0) -> CapacityForecast:
    """Return the forecast for an engine without room where two runs of 3,250 tokens end."""
    releases = [Release(upstream=X, after_ms=at, tokens=3250) for at in (1000, 2000, 90_000)]
    return CapacityForecast(free={X: 0}, releases=releases, claims=claims, share=share)


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


# Guards against two deciders that both promise the whole capacity.
def test_generation_starts_later_when_another_decider_has_half_of_the_capacity() -> None:
    assert _start_ms(_forecast(share=0.5)) == 2000


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
