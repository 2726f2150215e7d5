"""Placement of requests by the owners of cells, in virtual time."""

from __future__ import annotations

import asyncio
from random import Random

import logbook
import msgspec
import pytest
from returns.pipeline import is_successful

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ProblemKind
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import Finished
from tanagerscale.generated.messages import Grant
from tanagerscale.generated.messages import GrantKind
from tanagerscale.generated.messages import Running
from tanagerscale.generated.messages import RunningRequest
from tanagerscale.policy import Decision
from tanagerscale.policy import DecisionKind
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing import CellId
from tanagerscale.routing import make_cells
from tanagerscale.routing import select_owner
from tanagerscale.routing._convert import build_ask
from tanagerscale.routing._convert import parse_ask
from tanagerscale.routing._owner import CellOwner
from tanagerscale.routing._ownership import Ownership
from tanagerscale.routing._placement_table import ASK_INTERVAL_MS
from tanagerscale.routing._placement_table import LONG_WAIT_THRESHOLD_MS
from testing._routing_fakes import MODEL
from testing._routing_fakes import PLACE_TIMEOUT_S
from testing._routing_fakes import Cluster
from testing._routing_fakes import SlotScheduler
from testing._routing_fakes import make_engines
from testing._routing_fakes import make_request

pytestmark = pytest.mark.looptime

SETTLE_S = 15
"""Longer than the lease of a reservation."""


async def test_place_waits_when_engines_are_full_and_withdraws_when_cancelled() -> None:
    cluster = Cluster(hosts=["a"], engines=make_engines(number=1, max_batch=1))
    await cluster.place("a", "g1")
    waiting = asyncio.create_task(cluster.place("a", "g2"))
    await asyncio.sleep(3)
    assert not waiting.done()
    waiting.cancel()
    await asyncio.sleep(0)
    cluster.release("a", "g1")
    await asyncio.sleep(1)
    assert cluster.reservations() == 0
    assert cluster.placements() == {}


async def test_request_with_long_wait_is_logged_once() -> None:
    # Guards against logging a waiting request at every tick.
    cluster = Cluster(hosts=["a"], engines=make_engines(number=1, max_batch=1))
    await cluster.place("a", "g1")
    with logbook.TestHandler().applicationbound() as logs:
        waiting = asyncio.create_task(cluster.place("a", "g2"))
        await asyncio.sleep(LONG_WAIT_THRESHOLD_MS / 1000 - 1)
        assert not logs.has_infos
        await asyncio.sleep(5)
    logged = [record.kwargs["generation"] for record in logs.records if record.channel == "routing"]
    assert logged == ["g2"]
    waiting.cancel()


async def test_place_reports_not_executed_when_shed() -> None:
    cluster = Cluster(hosts=["a"], engines=make_engines(number=1, max_batch=1))
    await cluster.place("a", "g1")
    waiting = asyncio.create_task(cluster.host("a").router.place(request=make_request("g2")))
    await asyncio.sleep(1)
    shed = Decision(kind=DecisionKind.SHED, generation=GenerationId("g2"), retry_after_ms=1700)
    cluster.host("a").schedulers[0].forced_decisions.append(shed)
    problem = (await waiting).failure()
    assert problem.kind is ProblemKind.OVERLOADED
    assert problem.execution is Execution.NOT_EXECUTED
    assert problem.retry_after_ms == 1700


async def test_place_reports_no_upstream_when_all_engines_are_closed() -> None:
    cluster = Cluster(hosts=["a"], engines=make_engines(number=1))
    cluster.host("a").gate.record_leaving(upstream=UpstreamId("engine-0"))
    problem = (await cluster.host("a").router.place(request=make_request("g1"))).failure()
    assert problem.kind is ProblemKind.NO_UPSTREAM
    assert problem.execution is Execution.NOT_EXECUTED


async def test_move_is_requested_when_owner_decides_it() -> None:
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=1))
    entry, owner = cluster.entry_and_owner()
    placement = await cluster.place(entry, "g1")
    move = Decision(kind=DecisionKind.MOVE, generation=GenerationId("g1"), engine=placement.engine)
    cluster.scheduler(owner).forced_decisions.append(move)
    await asyncio.sleep(0.3)
    assert placement.move_requested.is_set()
    cluster.release(entry, "g1", complete=False)
    await cluster.place(entry, "g1")
    await asyncio.sleep(1)
    assert cluster.placements() == {"g1": "engine-0"}


async def test_placement_is_kept_when_the_entry_host_ignores_a_move() -> None:
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=1))
    entry, owner = cluster.entry_and_owner()
    placement = await cluster.place(entry, "g1")
    cluster.scheduler(owner).forced_decisions.append(
        Decision(kind=DecisionKind.MOVE, generation=GenerationId("g1"), engine=placement.engine)
    )
    await asyncio.sleep(5)
    assert cluster.placements() == {"g1": "engine-0"}


async def test_engines_are_not_overcommitted_when_all_hosts_place_at_once() -> None:
    cluster = Cluster(hosts=["a", "b", "c"], engines=make_engines(number=2, max_batch=2))
    tasks = [
        asyncio.create_task(cluster.place(host, f"{host}{index}"))
        for host in cluster.names
        for index in range(5)
    ]
    await asyncio.sleep(2)
    loads = list(cluster.placements().values())
    assert sorted(loads) == ["engine-0"] * 2 + ["engine-1"] * 2
    for task in tasks:
        task.cancel()


async def test_host_falls_back_to_its_share_when_owner_is_frozen() -> None:
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=1, max_batch=4))
    entry, owner = cluster.entry_and_owner()
    cluster.switch.frozen.add(HostId(owner))
    tasks = [asyncio.create_task(cluster.place(entry, f"g{index}")) for index in range(4)]
    await asyncio.sleep(0.5)
    # Each of the two hosts has a share of half of the engine's four slots.
    assert sum(task.done() for task in tasks) == 2
    cluster.switch.resume(owner)
    await asyncio.sleep(4)
    assert all(task.done() for task in tasks)
    assert len(cluster.placements()) == 4
    assert set(cluster.scheduler(owner).running) == {f"g{index}" for index in range(4)}
    for index in range(4):
        cluster.release(entry, f"g{index}")
    await asyncio.sleep(SETTLE_S)
    assert cluster.reservations() == 0
    assert cluster.placements() == {}


async def test_host_falls_back_to_its_share_when_owner_has_no_open_engine() -> None:
    # Guards against a request that waits for the owner while its entry host can use the engine.
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=1, max_batch=4))
    entry, owner = cluster.entry_and_owner()
    cluster.host(owner).gate.record_leaving(upstream=UpstreamId("engine-0"))
    tasks = [asyncio.create_task(cluster.place(entry, f"g{index}")) for index in range(4)]
    await asyncio.sleep(0.1)
    # Each of the two hosts has a share of two of the engine's four slots.
    assert len(cluster.placements()) == 2
    for generation in cluster.placements():
        cluster.release(entry, generation)
    await asyncio.sleep(0.1)
    assert all(task.done() for task in tasks)


async def test_waiting_request_is_placed_by_its_host_when_last_engine_closes_at_owner() -> None:
    # Guards against a request that stays queued at an owner that can no longer place it.
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=2, max_batch=1))
    entry, owner = cluster.entry_and_owner()
    first = await cluster.place(entry, "g1")
    second = await cluster.place(owner, "g2")
    request = make_request("g3", excluded=frozenset({first.engine}))
    waiting = asyncio.create_task(cluster.host(entry).router.place(request=request))
    await asyncio.sleep(1)
    assert not waiting.done()
    cluster.host(owner).gate.record_leaving(upstream=second.engine)
    await asyncio.sleep(0.1)
    assert waiting.done()
    assert waiting.result().unwrap().engine == second.engine


async def test_place_reports_no_upstream_when_all_engines_close_at_owner_and_host() -> None:
    # Guards against a request that stays queued although no engine can run it.
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=2, max_batch=1))
    entry, owner = cluster.entry_and_owner()
    await cluster.place(entry, "g1")
    await cluster.place(entry, "g2")
    waiting = asyncio.create_task(cluster.host(entry).router.place(request=make_request("g3")))
    await asyncio.sleep(1)
    for engine in ("engine-0", "engine-1"):
        cluster.host(owner).gate.record_leaving(upstream=UpstreamId(engine))
        cluster.host(entry).gate.record_leaving(upstream=UpstreamId(engine))
    await asyncio.sleep(0.1)
    assert waiting.done()
    assert waiting.result().failure().kind is ProblemKind.NO_UPSTREAM


@pytest.mark.parametrize("sheddable", [False, True])
def test_request_is_preserved_when_it_is_sent_to_the_owner(sheddable: bool) -> None:
    # Guards against a field that is lost in the conversion to or from an Ask message.
    request = PlacementRequest(
        generation=GenerationId("g1"),
        model=MODEL,
        adapter="ladder",
        account=ClientAccountId("crew"),
        request_class="plan",
        priority=2,
        prompt_tokens=100,
        max_tokens=500,
        prefix="shared",
        prefix_tokens=50,
        movable=True,
        arrived=Millis(1_000),
        excluded=frozenset({UpstreamId("engine-0")}),
        sheddable=sheddable,
    )
    ask = build_ask(request=request, cell=CellId("c-0"), serial=1, now=Millis(1_500))
    scheduled = parse_ask(ask=ask, now=Millis(90_500))
    assert scheduled == msgspec.structs.replace(request, arrived=Millis(90_000))


async def test_place_ends_when_the_same_generation_is_placed_again() -> None:
    # Guards against a call that waits forever once a later call has replaced its placement.
    cluster = Cluster(hosts=["a"], engines=make_engines(number=1, max_batch=1))
    await cluster.place("a", "g1")
    router = cluster.host("a").router
    first_call = asyncio.create_task(router.place(request=make_request("g2")))
    await asyncio.sleep(1)
    second_call = asyncio.create_task(router.place(request=make_request("g2")))
    await asyncio.sleep(1)
    assert first_call.done()
    assert first_call.result().failure().kind is ProblemKind.IN_PROGRESS
    cluster.release("a", "g1")
    await asyncio.sleep(1)
    assert second_call.result().unwrap().engine == "engine-0"


async def test_fallback_capacity_is_freed_when_its_placements_are_released() -> None:
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=1, max_batch=2))
    entry, owner = cluster.entry_and_owner()
    cluster.switch.frozen.add(HostId(owner))
    for index in range(5):
        await cluster.place(entry, f"g{index}")
        cluster.release(entry, f"g{index}")
    assert Clock().now() < 5 * ASK_INTERVAL_MS


async def test_owner_requests_unknown_placements_when_a_message_was_lost() -> None:
    cluster = Cluster(hosts=["a", "b", "c"], engines=make_engines(number=1, max_batch=2))
    owner = cluster.owner()
    cell = cluster.host(owner).router.owned[0]
    others = [HostId(name) for name in cluster.names if name != owner]
    entry = next(name for name in others if name != select_owner(cell=cell, hosts=others))
    await cluster.place(entry, "g1")
    cluster.switch.drop_probability = 1.0
    cluster.remove_host(owner)
    await asyncio.sleep(0.1)
    cluster.switch.drop_probability = 0.0
    await asyncio.sleep(5)
    assert cluster.scheduler(cluster.owner()).running == {"g1": "engine-0"}


async def test_new_owner_receives_running_and_waiting_placements_when_owner_is_lost() -> None:
    cluster = Cluster(hosts=["a", "b", "c"], engines=make_engines(number=1, max_batch=2))
    entry, owner = cluster.entry_and_owner()
    await cluster.place(entry, "g1")
    await cluster.place(entry, "g2")
    waiting = asyncio.create_task(cluster.place(entry, "g3"))
    await asyncio.sleep(0.2)
    cluster.remove_host(owner)
    await asyncio.sleep(0.1)
    new_owner = cluster.owner()
    assert new_owner != owner
    assert set(cluster.scheduler(new_owner).running) == {"g1", "g2"}
    assert not waiting.done()
    cluster.release(entry, "g1")
    # Shorter than the interval at which the entry host repeats its Ask.
    await asyncio.sleep(0.1)
    assert waiting.done()
    cluster.release(entry, "g2")
    cluster.release(entry, "g3")
    await asyncio.sleep(SETTLE_S)
    assert cluster.reservations() == 0


async def test_reservations_return_to_zero_when_a_cell_had_two_owners() -> None:
    cluster = Cluster(hosts=["a", "b", "c"], engines=make_engines(number=1, max_batch=3))
    entry, owner = cluster.entry_and_owner()
    other = next(name for name in cluster.names if name not in (entry, owner))
    await cluster.place(entry, "g1")
    cluster.switch.set_live_peers(viewer=other, hosts=[other])
    await cluster.place(other, "g2")
    await cluster.place(entry, "g3")
    assert {cluster.placements()[name] for name in ("g1", "g2", "g3")} == {"engine-0"}
    cluster.switch.connect_all(cluster.names)
    await asyncio.sleep(4)
    assert set(cluster.scheduler(owner).running) == {"g1", "g2", "g3"}
    cluster.release(entry, "g1")
    cluster.release(other, "g2")
    cluster.release(entry, "g3")
    await asyncio.sleep(SETTLE_S)
    assert cluster.reservations() == 0


async def test_reservations_expire_when_their_entry_host_fails() -> None:
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=1, max_batch=1))
    entry, owner = cluster.entry_and_owner()
    await cluster.place(entry, "g1")
    cluster.remove_host(entry)
    await asyncio.sleep(SETTLE_S)
    assert cluster.reservations() == 0
    await cluster.place(owner, "g2")


async def test_grant_for_an_unknown_placement_is_rejected() -> None:
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=1))
    entry, owner = cluster.entry_and_owner()
    cell = cluster.host(owner).router.owned[0]
    grant = Grant(
        cell=cell, serial=99, generation="gone", kind=GrantKind.ADMIT, upstream="engine-0"
    )
    cluster.switch.transmit(source=HostId(owner), target=HostId(entry), message=grant)
    await asyncio.sleep(0.1)
    answers = [each for each in cluster.switch.sent if isinstance(each, Finished)]
    assert [answer.serial for answer in answers] == [99]


async def test_no_request_is_placed_on_an_engine_that_is_leaving_at_the_entry_host() -> None:
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=2))
    entry, _ = cluster.entry_and_owner()
    cluster.host(entry).gate.record_leaving(upstream=UpstreamId("engine-0"))
    for index in range(4):
        placement = await cluster.place(entry, f"g{index}")
        assert placement.engine == "engine-1"
    await asyncio.sleep(1)
    assert set(cluster.placements().values()) == {"engine-1"}


async def test_waiting_request_is_placed_in_another_pool_when_its_pool_closes() -> None:
    engines = make_engines(number=1, max_batch=1)
    others = make_engines(number=1, max_batch=1, name="other", models=["plan", "check"])
    cluster = Cluster(hosts=["a"], engines=engines + others)
    host = cluster.host("a")
    first, second = await cluster.place("a", "g1"), await cluster.place("a", "g2")
    waiting = asyncio.create_task(cluster.place("a", "g3"))
    await asyncio.sleep(1)
    asked = [each for each in host.schedulers if each.queue]
    assert len(asked) == 1
    closed, still_open = (first, second) if first.engine in asked[0].specs else (second, first)
    host.gate.record_leaving(upstream=closed.engine)
    await asyncio.sleep(2)
    cluster.release("a", still_open.generation)
    assert (await waiting).engine == still_open.engine


async def test_waiting_request_is_placed_in_another_cell_that_is_idle() -> None:
    engines = make_engines(number=1, max_batch=3)
    others = make_engines(number=1, max_batch=3, name="other", models=["plan", "check"])
    cluster = Cluster(hosts=["a", "b"], engines=engines + others)
    placements = [await cluster.place("a", f"g{index}") for index in range(6)]
    assert sorted(each.engine for each in placements) == ["engine-0"] * 3 + ["other-0"] * 3


async def test_reservations_follow_an_engine_that_moves_to_another_pool() -> None:
    cluster = Cluster(hosts=["a", "b", "c"], engines=make_engines(number=1, max_batch=2))
    entry, _ = cluster.entry_and_owner()
    await cluster.place(entry, "g1")
    regrouped = make_engines(number=1, max_batch=2, models=["plan", "check"])
    for name in cluster.names:
        cluster.host(name).router.set_engines(regrouped)
    await asyncio.sleep(1)
    assert cluster.scheduler(cluster.owner()).running == {"g1": "engine-0"}
    cluster.release(entry, "g1")
    await asyncio.sleep(1)
    assert cluster.reservations() == 0


async def test_isolated_host_uses_only_its_share_when_it_reaches_less_than_half() -> None:
    cluster = Cluster(hosts=["a", "b", "c", "d"], engines=make_engines(number=1, max_batch=8))
    cluster.switch.set_live_peers(viewer="a", hosts=["a"])
    tasks = [asyncio.create_task(cluster.place("a", f"g{index}")) for index in range(8)]
    await asyncio.sleep(1)
    assert sum(task.done() for task in tasks) == 2
    for task in tasks:
        task.cancel()


async def test_leaving_host_owns_no_cell_while_others_remain() -> None:
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=1))
    _, owner = cluster.entry_and_owner()
    cluster.host(owner).router.set_leaving(leaving=True)
    cluster.switch.connect_all(cluster.names, leaving=[owner])
    assert cluster.host(owner).router.owned == ()
    assert cluster.owner() != owner


async def test_owner_keeps_reservations_when_its_process_was_paused() -> None:
    scheduler = SlotScheduler()
    owner = CellOwner(
        cell=CellId("c-0"), scheduler=scheduler, clock=Clock(), send=lambda _host, _message: None
    )
    request, now = make_request("g1"), Clock().now()
    ask = build_ask(request=request, cell=CellId("c-0"), serial=1, now=now)
    running = Running(ask=ask, upstream="engine-0", tokens=5)
    owner.on_running(host=HostId("b"), running=running)
    await asyncio.sleep(60)
    owner.tick()
    assert owner.running == {"g1": "engine-0"}
    for _ in range(SETTLE_S):
        await asyncio.sleep(1)
        owner.tick()
    assert owner.running == {}


async def test_newer_ask_replaces_older_one_of_a_generation_in_any_order() -> None:
    sent: list[Grant | RunningRequest] = []
    owner = CellOwner(
        cell=CellId("c-0"),
        scheduler=SlotScheduler(),
        clock=Clock(),
        send=lambda _host, message: sent.append(message),
    )
    first, second = (
        build_ask(request=make_request("g1"), cell=CellId("c-0"), serial=serial, now=Clock().now())
        for serial in (1, 2)
    )
    for ask in (second, first):
        owner.on_ask(host=HostId("b"), ask=ask)
        await asyncio.sleep(0.1)
    finished = Finished(cell="c-0", serial=1, generation="g1", tokens=0, complete=False)
    owner.on_finished(host=HostId("b"), finished=finished)
    assert owner.reservations == 1
    assert [each.serial for each in sent if isinstance(each, Grant)] == [2]


def test_cells_keep_their_engines_when_one_is_added() -> None:
    before = _cells_by_engine(number=100)
    after = _cells_by_engine(number=101)
    moved = [engine for engine, cell in before.items() if after[engine] != cell]
    assert len(set(before.values())) == 4
    assert not moved


def test_only_cells_of_the_lost_host_change_owner_when_it_is_lost() -> None:
    cells = make_cells(engines=make_engines(number=640))
    hosts = [HostId(f"h{index}") for index in range(9)]
    before = {cell.cell_id: select_owner(cell=cell.cell_id, hosts=hosts) for cell in cells}
    after = {cell.cell_id: select_owner(cell=cell.cell_id, hosts=hosts[1:]) for cell in cells}
    changed = {cell for cell in before if before[cell] != after[cell]}
    assert changed == {cell for cell in before if before[cell] == hosts[0]}
    assert len(set(before.values())) > 4


def test_owners_do_not_depend_on_the_order_of_host_changes() -> None:
    rng = Random(1)
    cells = make_cells(engines=make_engines(number=640))
    ownership = Ownership(host=HostId("h0"))
    ownership.set_engines(make_engines(number=640))
    for _ in range(30):
        peers = frozenset(HostId(f"h{index}") for index in rng.sample(range(1, 9), 5))
        ownership.set_peers(peers)
        hosts = [*peers, HostId("h0")]
        for cell in cells:
            assert ownership.owner(cell.cell_id) == select_owner(cell=cell.cell_id, hosts=hosts)


async def test_requests_are_placed_when_messages_are_lost_duplicated_and_reordered() -> None:
    cluster = Cluster(hosts=["a", "b", "c"], engines=make_engines(number=2, max_batch=3))
    (
        cluster.switch.drop_probability,
        cluster.switch.duplicate_probability,
        cluster.switch.jitter_ms,
    ) = (0.3, 0.3, 200)
    async with asyncio.timeout(PLACE_TIMEOUT_S):
        done = await asyncio.gather(
            *(
                _run_generation(cluster, host, f"{host}{index}")
                for host in "abc"
                for index in range(12)
            )
        )
    assert all(done)
    cluster.switch.drop_probability = 0.0
    await asyncio.sleep(SETTLE_S)
    assert cluster.reservations() == 0
    assert cluster.placements() == {}


async def _run_generation(cluster: Cluster, host: str, generation: str) -> bool:
    placed = await cluster.host(host).router.place(request=make_request(generation))
    if not is_successful(placed):
        return False
    for tokens in range(0, 50, 10):
        await asyncio.sleep(0.5)
        cluster.host(host).router.report_progress(
            generation=GenerationId(generation), tokens=tokens
        )
    cluster.release(host, generation)
    return True


def _cells_by_engine(*, number: int) -> dict[str, str]:
    cells = make_cells(engines=make_engines(number=number))
    return {spec.engine: cell.cell_id for cell in cells for spec in cell.specs}
