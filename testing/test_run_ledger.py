"""Sums of the generations of all hosts in the ledger of a coordinator."""

from __future__ import annotations

import asyncio

from tanagerscale.coordination import RunLedger
from tanagerscale.coordination._ledger import DROP_TIMEOUT_MS
from tanagerscale.coordination._ledger import GRANT_TTL_MS
from tanagerscale.coordination._ledger import TOKEN_INTERVAL_MS
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import RunUse
from testing._virtual_time import run_virtually

A, B = HostId("a"), HostId("b")
X, Y = UpstreamId("x"), UpstreamId("y")


def _make_use(name: str, **changes: object) -> RunUse:
    defaults: dict[str, object] = {
        "request": name,
        "upstream": X,
        "prompt_tokens": 1000,
        "tokens": 1000,
        "is_long": True,
    }
    return RunUse(**{**defaults, **changes})  # type: ignore[arg-type]


def _report(ledger: RunLedger, host: HostId, *uses: RunUse, number: int = 1) -> None:
    ledger.report(host=host, runs=HostRuns(number=number, decider="a", runs=list(uses)))


def test_totals_sum_the_runs_of_all_hosts() -> None:
    async def scenario() -> None:
        ledger = RunLedger(clock=Clock())
        begun = _make_use("1", begun_ms=0, tokens=1040, made=40, copy_at=Y)
        _report(ledger, A, begun, _make_use("2", is_long=False))
        _report(ledger, B, _make_use("3"))
        total = ledger.totals()[X]
        assert (total.running, total.waiting, total.waiting_tokens) == (1, 2, 2000)
        assert (total.long_tokens, total.short_tokens) == (2040, 1000)
        assert total.uncopied_tokens == 0
        assert ledger.totals()[Y].copy_tokens == 1040

    run_virtually(scenario())


def test_run_without_a_copy_counts_as_uncopied_once_it_has_begun() -> None:
    async def scenario() -> None:
        ledger = RunLedger(clock=Clock())
        _report(ledger, A, _make_use("1"))
        assert ledger.totals()[X].uncopied_tokens == 0
        _report(ledger, A, _make_use("1", begun_ms=0, tokens=1040), number=2)
        assert ledger.totals()[X].uncopied_tokens == 1040

    run_virtually(scenario())


def test_totals_are_empty_when_runs_end_and_hosts_are_forgotten() -> None:
    async def scenario() -> None:
        ledger = RunLedger(clock=Clock())
        _report(ledger, A, _make_use("1"))
        _report(ledger, B, _make_use("2"))
        _report(ledger, A, number=2)
        ledger.forget(host=B)
        assert ledger.totals() == {}

    run_virtually(scenario())


def test_report_with_a_lower_number_is_ignored() -> None:
    async def scenario() -> None:
        ledger = RunLedger(clock=Clock())
        _report(ledger, A, number=2)
        _report(ledger, A, _make_use("1"), number=1)
        assert ledger.totals() == {}

    run_virtually(scenario())


def test_tokens_of_a_long_run_are_extrapolated_between_reports() -> None:
    async def scenario() -> tuple[int, int]:
        ledger = RunLedger(clock=Clock())
        _report(
            ledger,
            A,
            _make_use("long", begun_ms=0),
            _make_use("waiting"),
            _make_use("2", is_long=False),
        )
        await asyncio.sleep(0.9)
        total = ledger.totals()[X]
        return total.long_tokens, total.short_tokens

    assert run_virtually(scenario()) == (2000 + int(900 / TOKEN_INTERVAL_MS), 1000)


def test_grant_counts_until_its_host_reports_the_run() -> None:
    async def scenario() -> None:
        ledger = RunLedger(clock=Clock())
        ledger.grant(host=A, use=_make_use("1"))
        assert ledger.totals()[X].waiting == 1
        _report(ledger, A, _make_use("1"))
        assert ledger.totals()[X].waiting == 1
        _report(ledger, A, number=2)
        assert ledger.totals() == {}

    run_virtually(scenario())


def test_unused_grant_expires() -> None:
    async def scenario() -> None:
        ledger = RunLedger(clock=Clock())
        ledger.grant(host=A, use=_make_use("1"))
        await asyncio.sleep((GRANT_TTL_MS - 10) / 1000)
        assert ledger.totals()[X].waiting == 1
        await asyncio.sleep(0.02)
        assert ledger.totals() == {}

    run_virtually(scenario())


def test_released_grant_is_removed_immediately() -> None:
    async def scenario() -> None:
        ledger = RunLedger(clock=Clock())
        ledger.grant(host=A, use=_make_use("1"))
        ledger.release_grant(request=RequestId("1"))
        assert ledger.totals() == {}

    run_virtually(scenario())


def test_planned_copy_counts_when_a_report_does_not_include_it() -> None:
    async def scenario() -> None:
        ledger = RunLedger(clock=Clock())
        _report(ledger, A, _make_use("1", begun_ms=0))
        (run,) = ledger.runs_of(decider=A)
        ledger.plan_copy(run=run, target=Y, is_evictable=True, for_ms=500)
        _report(ledger, A, _make_use("1", begun_ms=5), number=2)
        assert ledger.totals()[Y].evictable_tokens == 1000
        assert ledger.runs_of(decider=A)[0].use.is_moving
        ledger.end_plan(request=RequestId("1"))
        assert Y not in ledger.totals()

    run_virtually(scenario())


def test_copy_being_dropped_is_not_counted_until_the_drop_times_out() -> None:
    async def scenario() -> None:
        ledger = RunLedger(clock=Clock())
        _report(ledger, A, _make_use("1", begun_ms=0, copy_at=Y, copy_yields=True))
        (run,) = ledger.runs_of(decider=A)
        ledger.plan_drop(run=run)
        assert Y not in ledger.totals()
        # The host has not confirmed the drop; it may not have received the order.
        await asyncio.sleep((DROP_TIMEOUT_MS + 10) / 1000)
        assert ledger.totals()[Y].evictable_tokens >= 1000

    run_virtually(scenario())


def test_runs_of_returns_only_runs_of_hosts_with_this_decider() -> None:
    async def scenario() -> list[str]:
        ledger = RunLedger(clock=Clock())
        _report(ledger, A, _make_use("1", begun_ms=0))
        other = HostRuns(number=1, decider="b", runs=[_make_use("2", begun_ms=0)])
        ledger.report(host=B, runs=other)
        return [run.use.request for run in ledger.runs_of(decider=A)]

    assert run_virtually(scenario()) == ["1"]
