"""Invariants that hold when real processes are killed, frozen or isolated."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import aiohttp
import msgspec
import pytest

from standins._engine_types import ExecutionReports
from standins._engine_types import LeaveRequest
from standins._engine_types import OutOfMemoryRequest
from standins._engine_types import StreamFault
from standins._engine_types import StreamFaultMode
from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.service import Executions
from standins.service import ServiceFault
from standins.service import ServiceFaultMode
from standins.store import Fault
from standins.store import FaultMode
from tanagerscale.core import HostId
from tanagerscale.generated.callers import ProblemDetails
from tanagerscale.generated.declarations import Adapter
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import ListedState
from tanagerscale.routing import make_cells
from tanagerscale.routing import select_owner
from testing._callers import MODEL
from testing._callers import Answer
from testing._callers import ask
from testing._callers import book
from testing._callers import book_with_retries
from testing._callers import expected_text
from testing._callers import resume
from testing._callers import wait_until
from testing.conftest import StartReadyCluster

LONG_PROMPT = "plan [[tokens=150]]"


async def _start_requests(
    cluster: Cluster,
    session: aiohttp.ClientSession,
    hosts: Sequence[str],
    *,
    each: int = 3,
    prompt: str = LONG_PROMPT,
) -> list[tuple[Answer, asyncio.Task[Answer]]]:
    """Send streaming requests to hosts and wait until each has received its first text."""
    started = []
    for host in hosts:
        for _ in range(each):
            answer = Answer()
            url = cluster.caller_url(host)
            work = ask(session=session, url=url, prompt=prompt, answer=answer)
            started.append((answer, asyncio.create_task(work)))
    await wait_until(lambda: all(answer.texts for answer, _ in started))
    return started


async def _check_answers(started: list[tuple[Answer, asyncio.Task[Answer]]]) -> None:
    for answer, task in started:
        await task
        assert answer.done, answer.error
        assert answer.text == expected_text(prompt=LONG_PROMPT)


@pytest.mark.parametrize("failure", ["kill", "freeze", "out of memory", "gap", "crossed", "no end"])
async def test_answers_are_complete_when_an_engine_fails_during_generation(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession, failure: str
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=2, services=0))
    engine = cluster.engines["engine-1"]
    modes = {
        "gap": StreamFaultMode.GAP,
        "crossed": StreamFaultMode.CROSS,
        "no end": StreamFaultMode.DROP_END_MARKER,
    }
    if failure in modes:
        fault = StreamFault(mode=modes[failure], count=2, at=20)
        await cluster.post(engine, "/admin/fault", fault)
    started = await _start_requests(cluster, session, ["host-1", "host-2"])
    if failure == "kill":
        await engine.kill()
    elif failure == "freeze":
        engine.freeze()
    elif failure == "out of memory":
        await cluster.post(engine, "/admin/oom", OutOfMemoryRequest(fail=True))
    await _check_answers(started)
    if failure == "freeze":
        engine.resume()


async def test_caller_resumes_when_its_host_and_its_engine_are_killed_together(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=2, services=0))
    prompt = "plan [[tokens=400]]"
    started = await _start_requests(cluster, session, ["host-1"], each=4, prompt=prompt)
    await asyncio.gather(cluster.hosts["host-1"].kill(), cluster.engines["engine-1"].kill())
    url = cluster.caller_url("host-2")
    assert not any(answer.done for answer, _ in started)
    answers = await asyncio.gather(*(task for _, task in started))
    continued = await asyncio.gather(
        *(resume(session=session, url=url, answer=each, prompt=prompt) for each in answers)
    )
    for again in continued:
        assert again.done, again.error
        assert again.text == expected_text(prompt=prompt)


async def test_cursor_is_rejected_when_it_is_forged_or_of_another_account_or_request(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(
        ClusterPlan(hosts=1, services=0, accounts=("crew-north", "b"))
    )
    url = cluster.caller_url("host-1")
    answer = await ask(session=session, url=url, prompt="check [[tokens=5]]")
    assert answer.done
    offset = answer.cursor.split(".")[1]
    forged = Answer(
        request_id=answer.request_id, cursor=answer.cursor.replace(f".{offset}.", ".2.")
    )
    other = Answer(request_id="cmpl-other", cursor=answer.cursor)
    mine = Answer(request_id=answer.request_id, cursor=answer.cursor)
    for attempt, account in ((forged, "crew-north"), (other, "crew-north"), (mine, "b")):
        refused = await resume(session=session, url=url, answer=attempt, account=account)
        assert refused.status == 403, refused
        assert not refused.texts


async def test_leaving_engine_gets_no_new_work_when_the_host_list_lags(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=3, services=0, list_lag_ms=60_000))
    engine = cluster.engines["engine-1"]
    await cluster.post(engine, "/admin/leave", LeaveRequest())
    for number in range(12):
        url = cluster.caller_url(f"host-{1 + number % 3}")
        answer = await ask(session=session, url=url, prompt=f"check {number} [[tokens=3]]")
        assert answer.done, answer.error
    reports = await cluster.get(engine, "/admin/executions", ExecutionReports)
    assert not any(report.executed for report in reports.executions)


async def test_streams_are_not_interrupted_when_two_hosts_stop_during_a_store_outage(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=3, services=0))
    started = await _start_requests(cluster, session, list(cluster.hosts))
    await cluster.post(cluster.store, "/admin/fault", Fault(mode=FaultMode.DOWN))
    stops = [asyncio.create_task(cluster.hosts[name].stop()) for name in ("host-1", "host-2")]
    await _check_answers(started)
    assert await asyncio.gather(*stops) == [0, 0]
    late = await ask(session=session, url=cluster.caller_url("host-3"), prompt="x [[tokens=3]]")
    assert late.done, late.error


async def test_booking_is_rejected_immediately_when_the_store_is_down(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=1))
    await cluster.post(cluster.store, "/admin/fault", Fault(mode=FaultMode.DOWN))
    refused = await book(session=session, url=cluster.caller_url("host-1"), key="round-1")
    assert isinstance(refused, ProblemDetails)
    assert (refused.execution, refused.retry_after_ms is not None) == ("not-executed", True)
    ran = await cluster.get(cluster.services["booking-1"], "/admin/executions", Executions)
    assert ran.total == 0
    await cluster.post(cluster.store, "/admin/fault", Fault())
    served = await book_with_retries(
        session=session, url=cluster.caller_url("host-1"), key="round-1"
    )
    assert isinstance(served, bytes)
    ran = await cluster.get(cluster.services["booking-1"], "/admin/executions", Executions)
    assert ran.by_key == {"round-1": 1}


async def test_booking_runs_once_when_hosts_get_it_concurrently_and_the_response_is_cut(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=3))
    service = cluster.services["booking-1"]
    fault = ServiceFault(mode=ServiceFaultMode.CUT_AFTER, count=1, delay_ms=200)
    await cluster.post(service, "/admin/fault", fault)
    urls = [cluster.caller_url(host) for host in cluster.hosts]
    replies = await asyncio.gather(
        *(book(session=session, url=url, key="round-2") for url in urls * 2)
    )
    await cluster.post(service, "/admin/fault", ServiceFault())
    later = [await book(session=session, url=url, key="round-2") for url in urls]
    ran = await cluster.get(service, "/admin/executions", Executions)
    assert ran.by_key == {"round-2": 1}
    for reply in [*replies, *later]:
        assert isinstance(reply, ProblemDetails)
        assert reply.execution == "unknown"


async def test_booking_runs_once_when_its_host_is_killed_before_the_response(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=2))
    service = cluster.services["booking-1"]
    await cluster.post(service, "/admin/fault", ServiceFault(answer_delay_ms=1500))
    url = cluster.caller_url("host-1")
    first = asyncio.create_task(book(session=session, url=url, key="round-3"))

    async def executed() -> bool:
        return (await cluster.get(service, "/admin/executions", Executions)).total == 1

    while not await executed():
        await asyncio.sleep(0.02)
    await cluster.hosts["host-1"].kill()
    with pytest.raises(aiohttp.ClientError):
        await first
    for _ in range(3):
        reply = await book(session=session, url=cluster.caller_url("host-2"), key="round-3")
        assert isinstance(reply, ProblemDetails)
        assert reply.execution == "unknown"
    ran = await cluster.get(service, "/admin/executions", Executions)
    assert ran.by_key == {"round-3": 1}


async def test_declarations_reach_all_hosts_when_the_store_fails_after_acceptance(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=3, services=0))
    await cluster.set_listed_state("engine-2", ListedState.LEAVING)
    applied = await cluster.apply(author="second")
    assert applied.returncode == 0, applied.output + applied.errors
    await cluster.post(cluster.store, "/admin/fault", Fault(mode=FaultMode.DOWN))
    fresh = await cluster.start_host("host-4")
    async with session.get(f"http://{fresh.address_of('callers')}/v1/status") as response:
        assert response.status == 200
    url = cluster.caller_url("host-4")

    async def ready() -> bool:
        async with session.get(f"{url}/readyz") as response:
            return response.status == 200

    while not await ready():
        await asyncio.sleep(0.05)
    answer = await ask(session=session, url=url, prompt="check [[tokens=4]]")
    assert answer.done, answer.error


async def test_identical_harmless_requests_run_concurrently_when_engines_are_free(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=1, engines=3, services=0))
    started = await _start_requests(cluster, session, ["host-1"], each=6)
    # All requests have started, so none waits for another one to end.
    assert not any(answer.done for answer, _ in started)
    await _check_answers(started)


async def test_two_engines_at_most_are_lost_when_a_request_crashes_each_and_is_sent_everywhere(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=3, engines=4, services=0))
    started = await _start_requests(cluster, session, list(cluster.hosts), each=4)
    crashing_prompt = "plan [[crash_at=4]] [[tokens=50]]"
    statuses = set()
    for number in range(9):
        url = cluster.caller_url(f"host-{1 + number % 3}")
        answer = await ask(session=session, url=url, prompt=crashing_prompt)
        assert not answer.done
        statuses.add(answer.status)
    await _check_answers(started)
    lost = [name for name, engine in cluster.engines.items() if not engine.running]
    assert 1 <= len(lost) <= 2, lost
    assert 422 in statuses
    await cluster.post(cluster.store, "/admin/fault", Fault(mode=FaultMode.DOWN))
    refused = await ask(session=session, url=cluster.caller_url("host-1"), prompt=crashing_prompt)
    assert refused.status == 422
    assert msgspec.json.decode(refused.error, type=ProblemDetails).retry_after_ms


async def test_waiting_requests_are_rejected_when_an_identical_one_crashes_the_last_allowed_engine(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    options = {"max_batch": "1", "step_ms": "50"}
    plan = ClusterPlan(hosts=3, engines=2, services=0, engine_options=options)
    cluster = await start_ready_cluster(plan)
    (cell,) = make_cells(engines=cluster.declarations.engines)
    owner = select_owner(cell=cell.cell_id, hosts=[HostId(name) for name in cluster.hosts])
    first_host, second_host = (name for name in cluster.hosts if name != owner)
    crashing_prompt = "plan [[crash_at=12]] [[tokens=50]]"

    def ask_at(host: str) -> asyncio.Task[Answer]:
        call = ask(session=session, url=cluster.caller_url(host), prompt=crashing_prompt)
        return asyncio.create_task(call)

    calls = [ask_at(first_host)]
    await wait_until(lambda: not all(engine.running for engine in cluster.engines.values()))
    (last_engine,) = (name for name, engine in cluster.engines.items() if engine.running)
    await wait_until(lambda: len(cluster.executions([last_engine])) == 1)
    # The last engine is full, so these requests wait. The first host, whose request crashes that
    # engine, is frozen so that the owner of the cell detects the crash first.
    calls += [ask_at(owner), ask_at(second_host)]
    cluster.hosts[first_host].freeze()
    await wait_until(lambda: f"Engine lost. engine={last_engine}" in cluster.hosts[owner].errors())
    cluster.hosts[first_host].resume()
    for answer in await asyncio.gather(*calls):
        problem = msgspec.json.decode(answer.error, type=ProblemDetails)
        assert problem.type.endswith("quarantined")
        assert problem.retry_after_ms


async def test_request_is_rejected_by_each_host_when_all_engines_are_down(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    # Guards against requests that never complete on hosts that do not own the cell.
    cluster = await start_ready_cluster(ClusterPlan(hosts=3, engines=2, services=0))
    for engine in cluster.engines.values():
        await engine.kill()
    engine_names = list(cluster.engines)

    def all_losses_are_logged() -> bool:
        logs = [host.errors() for host in cluster.hosts.values()]
        return all(
            any(f"Engine lost. engine={name}" in log for log in logs) for name in engine_names
        )

    await wait_until(all_losses_are_logged)
    for host in cluster.hosts:
        url = cluster.caller_url(host)
        answer = await ask(session=session, url=url, prompt="check [[tokens=4]]")
        assert answer.status == 503
        problem = msgspec.json.decode(answer.error, type=ProblemDetails)
        assert problem.type.endswith("no-upstream")
        assert problem.execution == "not-executed"
        assert problem.retry_after_ms


async def test_declared_adapter_is_loaded_on_all_engines_when_the_controller_is_killed(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=2, engines=2, services=0))
    await cluster.hosts["host-1"].kill()
    await cluster.remove_from_host_list("host-1")
    engines = [
        msgspec.structs.replace(engine, adapters=["ladder"])
        for engine in cluster.declarations.engines
    ]
    declared = msgspec.structs.replace(
        cluster.declarations,
        adapters=[Adapter(name="ladder", model=MODEL, version="3")],
        engines=engines,
    )
    applied = await cluster.apply(declarations=declared, author="second")
    assert applied.returncode == 0, applied.output + applied.errors

    async def loaded(name: str) -> bool:
        state = await cluster.get(cluster.engines[name], "/state", EngineState)
        return state.adapters == {"ladder": "3"}

    for name in cluster.engines:
        while not await loaded(name):
            await asyncio.sleep(0.1)


async def test_host_logs_task_stacks_on_signal(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    plan = ClusterPlan(hosts=1, engines=1, services=0, engine_options={"max_batch": "1"})
    cluster = await start_ready_cluster(plan)
    started = await _start_requests(cluster, session, ["host-1"], each=1)
    host = cluster.hosts["host-1"]
    prompt = "check [[tokens=4]]"
    waiting = asyncio.create_task(
        ask(session=session, url=cluster.caller_url("host-1"), prompt=prompt)
    )

    def is_logged() -> bool:
        # SIGUSR1 terminates a process that has no handler for it.
        assert host.running
        host.dump_tasks()
        return "PoolRouter.place:" in host.errors()

    await wait_until(is_logged)
    answer = await waiting
    assert answer.text == expected_text(prompt=prompt)
    await _check_answers(started)
