"""Upstreams of a failure domain that the operators have evacuated get no requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest
from returns.result import Failure

from tanagerscale.coordination import eligible_upstreams
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding._plain import PlainForwarder
from tanagerscale.forwarding._resuming import RunResumer
from tanagerscale.forwarding._segments import RunProgress
from tanagerscale.forwarding._segments import SegmentSender
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.gateway._operator_keys import OperatorKeyListener
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.membership import Evacuations
from tanagerscale.platform._configuration import parse_evacuated_domain
from tanagerscale.routes import RouteKind
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import StoreState
from tanagerscale.store import WatchBatch
from testing._gateway_fakes import SERVICE
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._many_hosts import Fleet
from testing._many_hosts import Host
from testing._many_hosts import make_host
from testing._virtual_time import run_virtually

MAX_PROPAGATION_S = 5.0
"""Time within which an evacuation must be in force."""

PROPAGATION_S = 0.1


def _entry(key: str, value: bytes = b"{}", *, revision: int = 1) -> StoreEntry:
    at = StoreRevision(revision)
    return StoreEntry(key=key, value=value, create_revision=at, mod_revision=at)


def _snapshot(*keys: str) -> StoreRange:
    return StoreRange(entries=tuple(_entry(key) for key in keys), revision=StoreRevision(9))


def _batch(*keys: str, deleted: tuple[str, ...] = ()) -> WatchBatch:
    entries = tuple(_entry(key) for key in keys)
    return WatchBatch(entries=entries, deleted=deleted, revision=StoreRevision(10))


def _make_evacuations() -> Evacuations:
    return Evacuations(parse_evacuated_domain=parse_evacuated_domain, clock=Clock())


def test_domain_is_evacuated_while_its_key_exists() -> None:
    async def scenario() -> None:
        evacuations = _make_evacuations()
        known = [evacuations.has_read]
        evacuations.on_snapshot(_snapshot())
        known.append(evacuations.has_read)
        assert known == [False, True]
        evacuations.on_changes(_batch("op/evacuate/a"))
        assert evacuations.domains == {"a"}
        evacuations.on_store_state(StoreState.LOST)
        assert evacuations.is_evacuated(FailureDomainId("a"))
        evacuations.on_changes(_batch(deleted=("op/evacuate/a",)))
        assert not evacuations.domains

    run_virtually(scenario())


def test_evacuation_ends_when_its_key_was_removed_while_changes_were_missed() -> None:
    async def scenario() -> None:
        evacuations = _make_evacuations()
        evacuations.on_snapshot(_snapshot("op/evacuate/a", "op/evacuate/b"))
        evacuations.on_snapshot(_snapshot("op/evacuate/b"))
        assert evacuations.domains == {"b"}
        assert evacuations.ms_since_end(FailureDomainId("a")) is not None
        assert evacuations.ms_since_end(FailureDomainId("b")) is None

    run_virtually(scenario())


@pytest.mark.parametrize(
    "key", ["op/evacuate/", "op/evacuate", "op/config", "servers/a", "evacuate/a", ""]
)
def test_other_keys_evacuate_nothing(key: str) -> None:
    evacuations = _make_evacuations()
    evacuations.on_changes(_batch(key))
    assert not evacuations.domains


def test_known_domains_are_unaffected_by_hundreds_of_keys_for_unknown_domains() -> None:
    async def scenario() -> None:
        evacuations = _make_evacuations()
        keys = [f"op/evacuate/place {number}/é%2F" for number in range(500)]
        evacuations.on_changes(_batch(*keys, "op/evacuate/a"))
        evacuations.on_changes(_batch(deleted=tuple(keys)))
        assert evacuations.domains == {"a"}

    run_virtually(scenario())


class _RecordingListener:
    """Records the entries and deletions it receives."""

    def __init__(self) -> None:
        self.keys: list[str] = []
        self.deleted: list[str] = []

    def on_snapshot(self, snapshot: StoreRange) -> None:
        """Record the keys."""
        self.keys += [entry.key for entry in snapshot.entries]

    def on_changes(self, batch: WatchBatch) -> None:
        """Record the keys."""
        self.keys += [entry.key for entry in batch.entries]
        self.deleted += batch.deleted

    def on_store_state(self, state: StoreState) -> None:
        """Do nothing."""


def test_one_watch_delivers_configuration_and_evacuations() -> None:
    configuration, evacuations = _RecordingListener(), _RecordingListener()
    keys = OperatorKeyListener(
        configuration_key="op/config",
        configuration=configuration,
        parse_evacuated_domain=parse_evacuated_domain,
        evacuations=evacuations,
    )
    keys.on_snapshot(_snapshot("op/config", "op/evacuate/a", "op/other"))
    keys.on_changes(_batch("op/config", deleted=("op/evacuate/a", "op/config")))
    assert configuration.keys == ["op/config", "op/config"]
    assert (evacuations.keys, evacuations.deleted) == (["op/evacuate/a"], ["op/evacuate/a"])


def _run_with_fleet(
    scenario: Callable[[Fleet], Coroutine[Any, Any, Any]], *, hosts: int = 12
) -> Any:
    async def run() -> Any:
        fleet = Fleet()
        await fleet.start(count=hosts, domains=3, engines=0)
        for domain in range(3):
            fleet.set_engine(f"e{domain}", domain=f"domain-{domain}")
        await asyncio.sleep(1)
        return await scenario(fleet)

    return run_virtually(run())


def _get_open_engines(host: Host) -> set[str]:
    """Return the engines that a host considers open."""
    return {entry.upstream for entry in host.control.roster.open_for(SERVICE)}


def _get_all_open_engines(fleet: Fleet) -> set[str]:
    return set().union(*(_get_open_engines(host) for host in fleet.hosts))


def test_all_hosts_apply_an_evacuation_at_once() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.evacuate("domain-1")
        await asyncio.sleep(PROPAGATION_S)
        assert [_get_open_engines(host) for host in fleet.hosts] == [{"e0", "e2"}] * len(
            fleet.hosts
        )
        answers = [await host.ask(f"r{number}") for number, host in enumerate(fleet.hosts)]
        assert {answer.upstream for answer in answers} == {"e0", "e2"}
        fleet.end_evacuation("domain-1")
        await asyncio.sleep(PROPAGATION_S)
        assert [_get_open_engines(host) for host in fleet.hosts] == [{"e0", "e1", "e2"}] * len(
            fleet.hosts
        )

    _run_with_fleet(scenario)


def test_short_evacuations_leave_no_state_behind() -> None:
    async def scenario(fleet: Fleet) -> None:
        for _ in range(20):
            fleet.evacuate("domain-1")
            await asyncio.sleep(0.01)
            fleet.end_evacuation("domain-1")
        await asyncio.sleep(PROPAGATION_S)
        assert _get_all_open_engines(fleet) == {"e0", "e1", "e2"}
        for _ in range(20):
            (
                fleet.end_evacuation("domain-1")
                if "op/evacuate/domain-1" in fleet.backend.entries
                else None
            )
            fleet.evacuate("domain-1")
        await asyncio.sleep(PROPAGATION_S)
        assert _get_all_open_engines(fleet) == {"e0", "e2"}

    _run_with_fleet(scenario)


def test_third_domain_stays_open_when_two_are_evacuated() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.evacuate("domain-0")
        fleet.evacuate("domain-1")
        await asyncio.sleep(PROPAGATION_S)
        assert _get_all_open_engines(fleet) == {"e2"}

    _run_with_fleet(scenario)


def test_generation_is_refused_at_once_when_all_domains_are_evacuated() -> None:
    async def scenario(fleet: Fleet) -> None:
        for domain in range(3):
            fleet.evacuate(f"domain-{domain}")
        await asyncio.sleep(PROPAGATION_S)
        host = fleet.members[0]
        began = host.clock.now()
        answer = await host.ask("r", left_ms=1500)
        assert answer.kind is PlaceKind.REFUSE
        assert host.clock.now() - began < PROPAGATION_S * 1000

    _run_with_fleet(scenario)


def test_evacuation_stays_in_force_while_the_store_is_unavailable() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.evacuate("domain-1")
        await asyncio.sleep(PROPAGATION_S)
        for host in fleet.hosts:
            host.store.set_down(True)
        await asyncio.sleep(10)
        assert _get_all_open_engines(fleet) == {"e0", "e2"}
        for host in fleet.coordinators:
            await fleet.kill(host)
        await asyncio.sleep(MAX_PROPAGATION_S)
        assert _get_all_open_engines(fleet) == {"e0", "e2"}

    _run_with_fleet(scenario)


def test_starting_host_applies_an_evacuation_before_it_uses_an_upstream() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.evacuate("domain-1")
        await asyncio.sleep(PROPAGATION_S)
        for is_store_down in (False, True):
            host = make_host(
                fleet.network,
                fleet.backend,
                f"late-{is_store_down}",
                seeds=(fleet.members[0].name,),
            )
            host.store.set_down(is_store_down)
            await host.control.start()
            for _ in range(400):
                await asyncio.sleep(0.01)
                assert "e1" not in _get_open_engines(host)
            assert _get_open_engines(host) == {"e0", "e2"}
            assert host.control.evacuations.has_read

    _run_with_fleet(scenario)


def test_hosts_that_start_together_apply_an_evacuation() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        for domain in range(3):
            fleet.set_engine(f"e{domain}", domain=f"domain-{domain}")
        fleet.evacuate("domain-2")
        await fleet.start(count=9, domains=3, engines=0)
        assert [_get_open_engines(host) for host in fleet.hosts] == [{"e0", "e1"}] * 9

    run_virtually(scenario())


@pytest.mark.parametrize("frozen", [1, 3, 4])
def test_evacuation_is_in_force_in_time_when_coordinators_are_frozen(frozen: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        frozen_hosts = fleet.coordinators[:frozen]
        for host in frozen_hosts:
            fleet.freeze(host)
        fleet.evacuate("domain-1")
        await asyncio.sleep(MAX_PROPAGATION_S)
        remaining = [host for host in fleet.hosts if host not in frozen_hosts]
        assert [_get_open_engines(host) for host in remaining] == [{"e0", "e2"}] * len(remaining)

    _run_with_fleet(scenario)


def test_evacuation_reaches_a_host_when_its_source_is_frozen() -> None:
    async def scenario(fleet: Fleet) -> None:
        member = fleet.members[0]
        source = member.control.evacuations_feed.source
        fleet.freeze(next(host for host in fleet.hosts if host.name == source))
        fleet.evacuate("domain-1")
        await asyncio.sleep(MAX_PROPAGATION_S / 2)
        assert _get_open_engines(member) == {"e0", "e2"}

    _run_with_fleet(scenario)


def test_isolated_host_catches_up_when_it_is_reconnected() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.evacuate("domain-1")
        await asyncio.sleep(PROPAGATION_S)
        isolated = fleet.members[0]
        fleet.freeze(isolated)
        fleet.end_evacuation("domain-1")
        fleet.evacuate("domain-0")
        await asyncio.sleep(3)
        assert _get_open_engines(isolated) == {"e0", "e2"}
        fleet.network.resume()
        isolated.store.set_down(False)
        await asyncio.sleep(MAX_PROPAGATION_S)
        assert _get_open_engines(isolated) == {"e1", "e2"}

    _run_with_fleet(scenario)


def test_waiting_generation_gets_another_engine_when_a_domain_is_evacuated() -> None:
    async def scenario(fleet: Fleet) -> None:
        filler = fleet.members[1]
        for engine in ("e0", "e1", "e2"):
            filler.begin(f"filler of {engine}", at=engine, tokens=31_000)
        await asyncio.sleep(PROPAGATION_S)
        waiting = asyncio.create_task(fleet.members[0].ask("r", left_ms=8000))
        await asyncio.sleep(PROPAGATION_S)
        fleet.evacuate("domain-1")
        filler.end("filler of e1")
        await asyncio.sleep(PROPAGATION_S)
        assert not waiting.done()
        filler.end("filler of e2")
        assert (await waiting).upstream == "e2"

    _run_with_fleet(scenario)


class _OutdatedPlacer:
    """Places generations like a decider that has not received an evacuation."""

    def __init__(self, *engines: str) -> None:
        self._engines = list(engines)

    async def place(self, *, ask: Any) -> PlaceAnswer:
        """Return the next engine that is not excluded, or a refusal."""
        remaining = [engine for engine in self._engines if engine not in ask.excluded]
        if not remaining:
            return PlaceAnswer(serial=ask.serial, kind=PlaceKind.REFUSE)
        return PlaceAnswer(serial=ask.serial, kind=PlaceKind.SEND, upstream=remaining[0])


def test_host_skips_an_evacuated_engine_when_an_outdated_decider_chooses_it() -> None:
    async def scenario() -> None:
        fakes = make_gateway_fakes(make_entry("x", domain="a"), make_entry("y", domain="b"))
        fakes.upstreams.evacuated.add("a")
        admission = Admission(context=fakes.context, placer=_OutdatedPlacer("x", "y"))
        routed = route_request(
            make_request(prompt=1000), make_route(kind=RouteKind.STREAMING, timeout_ms=39_000)
        )
        found = await admission.find_engine(routed=routed, excluded=frozenset())
        assert found.unwrap().upstream == "y"
        fakes.upstreams.evacuated.add("b")
        found = await admission.find_engine(routed=routed, excluded=frozenset())
        assert isinstance(found, Failure)

    run_virtually(scenario())


def test_plain_request_avoids_evacuated_upstreams_and_is_refused_when_none_is_left() -> None:
    async def scenario() -> None:
        fakes = make_gateway_fakes(make_entry("x", domain="a"), make_entry("y", domain="b"))
        fakes.upstreams.evacuated.add("a")
        fakes.upstream_client.hanging.add("y")
        request = route_request(make_request(), make_route())
        task = asyncio.create_task(
            PlainForwarder(routed=request, context=fakes.context).serve(_make_responder())
        )
        await asyncio.sleep(1.9)
        assert fakes.upstream_client.asked == ["y"]
        task.cancel()
        fakes.upstreams.evacuated.add("b")
        refusal = await PlainForwarder(routed=request, context=fakes.context).serve(
            _make_responder()
        )
        assert refusal is not None
        assert refusal.kind is RefusalKind.OVERLOADED
        assert refusal.retry_after_ms is not None
        assert fakes.upstream_client.asked == ["y"]

    run_virtually(scenario())


def _make_responder() -> FakeResponder:
    return FakeResponder()


def test_run_resumes_only_on_engines_that_are_not_evacuated() -> None:
    async def scenario() -> None:
        x, y = make_entry("x", domain="a"), make_entry("y", domain="b")
        fakes = make_gateway_fakes(x, y)
        routed = route_request(make_request(prompt=1000), make_route(kind=RouteKind.STREAMING))
        sender = SegmentSender(routed=routed, context=fakes.context)
        resumer = RunResumer(routed=routed, context=fakes.context, sender=sender)
        progress = RunProgress(tokens=1000, answer_tokens=100, event=25)
        fakes.upstreams.evacuated.add("b")
        await resumer.resume(
            resume_target=ResumeTarget(entry=y, holder=x, copy="1"), progress=progress
        )
        assert fakes.upstream_client.asked == ["x"]
        fakes.upstreams.evacuated.add("a")
        assert (
            await resumer.resume(
                resume_target=ResumeTarget(entry=y, holder=x, copy="1"), progress=progress
            )
            is None
        )
        assert fakes.upstream_client.asked == ["x"]

    run_virtually(scenario())


def test_evacuated_engine_gets_no_work_when_all_others_leave() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.evacuate("domain-1")
        fleet.set_engine("e0", state="leaving")
        fleet.set_engine("e2", state="leaving", domain="domain-2")
        await asyncio.sleep(PROPAGATION_S)
        for host in fleet.hosts:
            context = host.control.coordinator._context
            assert UpstreamId("e1") not in {
                entry.upstream for entry in eligible_upstreams(context, SERVICE)
            }

    _run_with_fleet(scenario)
