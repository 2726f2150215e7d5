"""Speeds that a coordinator learns from reports: lost, duplicate and late ones, restarts, removals.

Load: engines of one service of which some take 2.4 times as long, seen in the reports of all hosts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from tanagerscale.coordination import EngineSpeeds
from tanagerscale.coordination import RunLedger
from tanagerscale.coordination import _engine_speeds as engine_speeds_module
from tanagerscale.coordination._engine_speeds import HOST_TIMEOUT_MS
from tanagerscale.coordination._engine_speeds import MAX_FIRST_EVENT_AGE_MS
from tanagerscale.coordination._engine_speeds import REFRESH_INTERVAL_MS
from tanagerscale.coordination._ledger import TOKEN_INTERVAL_MS
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import RunUse
from testing._gateway_fakes import SERVICE
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._single_host import HOST
from testing._virtual_time import run_virtually

A, B = HostId("a"), HostId("b")
FAST = [UpstreamId(name) for name in "xyz"]
SLOW = UpstreamId("slow")
USUAL_MS, SLOW_MS = 411, 986
"""Time to the first event of 3,000 tokens: 7.3 tokens per ms, and 2.4 times that time."""

DEFAULT_PREFILL = 7.3


def _make_use(name: str, upstream: UpstreamId, ms: int = USUAL_MS, **changes: object) -> RunUse:
    defaults: dict[str, object] = {
        "request": name,
        "upstream": upstream,
        "prompt_tokens": 3000,
        "tokens": 3004,
        "made": 4,
        "is_long": True,
        "begun_ms": 20,
        "queued_tokens": 3000,
        "first_event_ms": ms,
    }
    return RunUse(**{**defaults, **changes})  # type: ignore[arg-type]


class _Reports:
    """A ledger, and hosts that report to it."""

    def __init__(self) -> None:
        self.services: dict[UpstreamId, ServiceId] = dict.fromkeys([*FAST, SLOW], SERVICE)
        self.speeds = EngineSpeeds(service_of=self.services.get, clock=Clock())
        self.ledger = RunLedger(clock=Clock(), speeds=self.speeds)
        self._number = 0

    def report(self, host: HostId, *uses: RunUse) -> HostRuns:
        """Report the runs of a host, and return the message."""
        self._number += 1
        message = HostRuns(number=self._number, decider="a", runs=list(uses))
        self.ledger.report(host=host, runs=message)
        return message

    async def learn(self) -> None:
        """Report two first events of each engine."""
        for turn in range(2):
            uses = [_make_use(f"{one}{turn}", one) for one in FAST]
            self.report(B, *uses, _make_use(f"slow{turn}", SLOW, SLOW_MS))
            await asyncio.sleep((REFRESH_INTERVAL_MS + 5) / 1000)


# Guards against speeds that are not learned, or stay with the ledger only.
def test_slow_engine_is_known_when_hosts_have_reported_two_first_events() -> None:
    async def scenario() -> None:
        reports = _Reports()
        await reports.learn()
        assert reports.speeds.slowness(SLOW) == pytest.approx(2.4, rel=0.05)
        assert [reports.speeds.slowness(one) for one in FAST] == [1, 1, 1]
        assert [reports.speeds.prefill_tokens_per_ms(one) for one in FAST] == [7.3] * 3
        found = reports.speeds.prefill_tokens_per_ms(SLOW)
        assert found == pytest.approx(DEFAULT_PREFILL / 2.4, rel=0.05)

    run_virtually(scenario())


async def _count_again(reports: _Reports, again: Callable[[HostId, RunUse], None]) -> None:
    """Expect that the one accidental sample of an engine is not counted again."""
    await reports.learn()
    accident = _make_use("accident", FAST[0], SLOW_MS)
    reports.report(A, accident)
    before = reports.speeds.slowness(FAST[0])
    assert before > 1
    again(A, accident)
    assert reports.speeds.slowness(FAST[0]) == before


# Guards against a sample that counts with each report of its run, so that one decides alone.
def test_first_event_counts_once_when_its_run_is_reported_again() -> None:
    async def scenario() -> None:
        reports = _Reports()

        def repeat(host: HostId, use: RunUse) -> None:
            for _ in range(3):
                reports.report(host, use)

        await _count_again(reports, repeat)

    run_virtually(scenario())


# Guards against a sample that counts again when its host connects again.
def test_first_event_counts_once_when_its_host_connects_again() -> None:
    async def scenario() -> None:
        reports = _Reports()

        def reconnect(host: HostId, use: RunUse) -> None:
            reports.ledger.forget(host=host)
            reports.report(host, use)

        await _count_again(reports, reconnect)

    run_virtually(scenario())


# Guards against duplicate and late messages that count again after their run has ended.
def test_first_event_counts_once_when_an_old_report_arrives_again() -> None:
    async def scenario() -> None:
        reports = _Reports()
        await reports.learn()
        old = reports.report(A, _make_use("accident", FAST[0], SLOW_MS))
        reports.report(A)
        before = reports.speeds.slowness(FAST[0])
        reports.ledger.report(host=A, runs=old)
        reports.report(A)
        assert reports.speeds.slowness(FAST[0]) == before > 1

    run_virtually(scenario())


# Guards against lost reports that make a run seem slow or fast.
def test_speed_of_decoding_is_right_when_reports_are_lost() -> None:
    async def scenario() -> list[float | None]:
        reports = _Reports()
        found = []
        for ms in (20, 700, 720, 3900, 5200):  # The reports between them are lost.
            reports.report(A, _make_use("long", SLOW, begun_ms=ms, made=ms // 20))
            found.append(reports.speeds.decode_ms_per_token(SLOW))
        return found

    assert run_virtually(scenario()) == [None, *[pytest.approx(20, rel=0.05)] * 4]


# Guards against the pause of a copied run that counts as slow decoding.
def test_progress_is_not_counted_while_a_run_moves() -> None:
    async def scenario() -> float | None:
        reports = _Reports()
        reports.report(A, _make_use("long", SLOW))
        moving = _make_use("long", SLOW, begun_ms=1500, made=20, is_moving=True)
        reports.report(A, moving)
        reports.report(A, _make_use("long", SLOW, begun_ms=2600, made=24))
        return reports.speeds.decode_ms_per_token(SLOW)

    assert run_virtually(scenario()) is None


# Guards against a run that continues elsewhere and takes what it has made before along.
def test_progress_on_another_engine_is_not_counted_when_a_run_has_moved() -> None:
    async def scenario() -> float | None:
        reports = _Reports()
        reports.report(A, _make_use("long", SLOW))
        moved = {"prompt_tokens": 0, "queued_tokens": 0, "first_event_ms": 30}
        reports.report(A, _make_use("long", FAST[0], begun_ms=600, made=900, **moved))
        assert reports.speeds.known == 1
        assert reports.speeds.decode_ms_per_token(SLOW) is None
        return reports.speeds.decode_ms_per_token(FAST[0])

    assert run_virtually(scenario()) is None


# Guards against speeds of a former start, and against state that is kept for ever.
def test_speed_is_unknown_when_an_engine_has_been_restarted() -> None:
    async def scenario() -> None:
        reports = _Reports()
        await reports.learn()
        assert reports.speeds.known == 4
        restarted = UpstreamId("slow@2")
        del reports.services[SLOW]
        reports.services[restarted] = SERVICE
        await asyncio.sleep((REFRESH_INTERVAL_MS + 5) / 1000)
        assert reports.speeds.slowness(restarted) == 1
        assert reports.speeds.prefill_tokens_per_ms(restarted) == DEFAULT_PREFILL
        assert reports.speeds.known == 3
        reports.report(A, _make_use("late", SLOW, SLOW_MS))
        assert reports.speeds.known == 3

    run_virtually(scenario())


# Guards against a new coordinator that places as if all engines were equal, or by old events.
def test_new_coordinator_knows_slow_engines_when_each_host_has_reported_once() -> None:
    async def scenario() -> None:
        reports = _Reports()
        reports.report(A, *[_make_use(f"1{one}", one, begun_ms=9000) for one in FAST])
        old = _make_use("2", SLOW, begun_ms=9000)
        reports.report(B, old, _make_use("3", SLOW, SLOW_MS), _make_use("4", SLOW, SLOW_MS))
        await asyncio.sleep((REFRESH_INTERVAL_MS + 5) / 1000)
        assert reports.speeds.slowness(SLOW) > 1.5
        before = reports.speeds.slowness(SLOW)
        reports.report(A, _make_use("5", SLOW, begun_ms=MAX_FIRST_EVENT_AGE_MS + 1))
        assert reports.speeds.slowness(SLOW) == before

    run_virtually(scenario())


# Guards against state of hosts that are gone.
def test_hosts_are_forgotten_when_they_have_not_reported_for_a_minute() -> None:
    async def scenario() -> None:
        reports = _Reports()
        reports.report(A, _make_use("1", SLOW))
        await asyncio.sleep((HOST_TIMEOUT_MS + 1) / 1000)
        reports.report(B)
        reports.ledger.forget(host=A)
        assert list(reports.speeds._hosts) == [B]

    run_virtually(scenario())


# Guards against reports with values that no host sends, which would end the connection to it.
@pytest.mark.parametrize("value", [-(10**30), -1, 0, 10**30])
def test_report_is_taken_when_its_values_are_implausible(value: int) -> None:
    async def scenario() -> None:
        reports = _Reports()
        names = ("queued_tokens", "prompt_tokens", "first_event_ms", "begun_ms", "made")
        for name in names:
            reports.report(A, _make_use("1", SLOW), _make_use("2", SLOW, **{name: value}))
            reports.report(A, _make_use("2", SLOW, begun_ms=900, made=100))
            assert reports.speeds.slowness(SLOW) == 1

    run_virtually(scenario())


# Guards against planning less memory than the runs of an engine take: those of a fast engine grow
# at its speed, and those of an engine that was slow as usual, since it may be faster again.
def test_tokens_are_extrapolated_with_the_speed_of_a_fast_engine() -> None:
    async def scenario() -> tuple[int, int]:
        reports = _Reports()
        reports.report(A, _make_use("1", SLOW), _make_use("2", FAST[0]))
        reports.report(
            A,
            _make_use("1", SLOW, begun_ms=2020, made=104),
            _make_use("2", FAST[0], begun_ms=1020, made=204),
        )
        await asyncio.sleep(0.9)
        totals = reports.ledger.totals()
        return totals[SLOW].long_tokens - 3004, totals[FAST[0]].long_tokens - 3004

    assert run_virtually(scenario()) == (int(900 / TOKEN_INTERVAL_MS), 900 // 5)


# Guards against a line for each sample of an engine whose speed changes often.
def test_log_has_few_lines_when_the_speed_of_an_engine_changes_often(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[tuple[str, object]] = []

    class Log:
        def info(self, message: str, **inputs: object) -> None:
            lines.append((message, inputs["upstream"]))

    monkeypatch.setattr(engine_speeds_module, "_log", Log())

    async def scenario() -> None:
        reports = _Reports()
        await reports.learn()
        assert lines == [("An engine becomes slow.", SLOW)]
        assert reports.speeds.slow == 1
        await asyncio.sleep(3)
        for turn in range(100):
            ms = SLOW_MS if turn % 10 < 5 else USUAL_MS
            reports.report(A, _make_use(f"t{turn}", SLOW, ms))
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)
        for turn in range(4):
            reports.report(A, _make_use(f"e{turn}", SLOW))
        assert reports.speeds.slow == 0

    run_virtually(scenario())
    assert 2 <= len(lines) <= 8
    assert lines[-1] == ("An engine has its usual speed again.", SLOW)


# Guards against speeds that no decision uses.
def test_coordinator_places_and_moves_long_runs_on_fast_engines() -> None:
    async def scenario() -> tuple[set[str], list[str]]:
        fakes = make_gateway_fakes(*(make_entry(name) for name in ("x", "y", "z", "slow")))
        coordinator = fakes.single_host.coordinator
        for turn in range(2):
            uses = [_make_use(f"{one}{turn}", one) for one in FAST]
            slow = _make_use(f"slow{turn}", SLOW, SLOW_MS)
            report = HostRuns(number=turn + 1, decider=HOST, runs=[*uses, slow])
            coordinator.on_message(HOST, report)
            await asyncio.sleep((REFRESH_INTERVAL_MS + 5) / 1000)
        coordinator.on_message(HOST, HostRuns(number=3, decider=HOST))
        for serial in range(4):
            ask = PlaceAsk(
                serial=serial,
                request=f"ask{serial}",
                service=SERVICE,
                prompt_tokens=3000,
                is_long=True,
                left_ms=4000,
            )
            coordinator.on_message(HOST, ask)
        placed = {total for total, sums in coordinator.ledger.totals().items() if sums.waiting}
        orders: list[MoveOrder] = []

        def send_order(_: HostId, order: MoveOrder) -> bool:
            orders.append(order)
            return True

        coordinator.planner._send_order = send_order
        run = _make_use("run", FAST[0], begun_ms=2000, made=1000)
        coordinator.on_message(HOST, HostRuns(number=4, decider=HOST, runs=[run]))
        fakes.upstreams.leaving.add("x")
        coordinator.on_upstreams(FAST[0])
        await asyncio.sleep(0.05)
        return {str(one) for one in placed}, [order.target for order in orders]

    placed, targets = run_virtually(scenario())
    assert placed == {"x", "y", "z"}
    assert targets
    assert "slow" not in targets
