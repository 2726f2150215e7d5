"""Tests of the booking service, host list, TCP relay and process launcher stand-ins."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import pytest

from standins.host_list import HostListServer
from standins.platform_world import free_port
from standins.processes import Launcher
from standins.processes import StartError
from standins.service import Executions
from standins.service import ServiceFault
from standins.service import ServiceFaultMode
from standins.service import ServiceServer
from standins.tcp_relay import TcpRelay
from tanagerscale.generated.upstream import HostList
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.generated.upstream import ListedKind
from tanagerscale.generated.upstream import ListedState
from testing.conftest import Client
from testing.conftest import ClientOf

READ_TIMEOUT_S = 0.1


async def _book(service: Client) -> int:
    reply = await service.post("/bookings", json={"id": "b-1"}, headers={"Idempotency-Key": "k"})
    return reply.status


async def _executions(service: Client) -> Executions:
    body = await (await service.get("/admin/executions")).read()
    return msgspec.json.decode(body, type=Executions)


async def test_booking_is_executed_again_when_it_is_repeated(client_of: ClientOf) -> None:
    service = await client_of(ServiceServer().app())
    assert [await _book(service), await _book(service)] == [201, 201]
    executions = await _executions(service)
    assert (executions.by_id, executions.by_key) == ({"b-1": 2}, {"k": 2})


@pytest.mark.parametrize(
    ("mode", "executed"),
    [
        (ServiceFaultMode.FAIL_BEFORE, 0),
        (ServiceFaultMode.CUT_BEFORE, 0),
        (ServiceFaultMode.FAIL_AFTER, 1),
        (ServiceFaultMode.CUT_AFTER, 1),
    ],
)
async def test_failed_booking_is_executed_only_with_a_fault_after_execution(
    client_of: ClientOf, mode: ServiceFaultMode, executed: int
) -> None:
    service = await client_of(ServiceServer().app())
    fault = ServiceFault(mode=mode, count=1)
    await service.post("/admin/fault", data=msgspec.json.encode(fault))
    try:
        assert await _book(service) == 500
    except aiohttp.ClientError:
        assert mode in (ServiceFaultMode.CUT_BEFORE, ServiceFaultMode.CUT_AFTER)
    assert (await _executions(service)).total == executed


async def _states(host_list: Client) -> list[ListedState]:
    body = await (await host_list.get("/hosts")).read()
    return [entry.state for entry in msgspec.json.decode(body, type=HostList).entries]


async def test_host_list_shows_a_change_only_after_its_lag(client_of: ClientOf) -> None:
    host_list = await client_of(HostListServer(lag_ms=0).app())
    entry = ListedEntry(
        id="engine-1", kind=ListedKind.UPSTREAM, address="127.0.0.1:1", state=ListedState.LIVE
    )
    entries = msgspec.json.encode(HostList(entries=[entry]))
    await host_list.post("/admin/entries", data=entries)
    await asyncio.sleep(0.01)
    await host_list.post("/admin/options", json={"lag_ms": 3_600_000})
    await host_list.post("/admin/state", json={"id": "engine-1", "state": "leaving"})
    # With a lag of one hour, the list still has its initial state.
    assert await _states(host_list) == []
    await host_list.post("/admin/options", json={"lag_ms": 0})
    assert await _states(host_list) == [ListedState.LEAVING]


async def test_relay_delays_bytes_while_frozen_and_closes_connections_when_cut() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, TcpRelay(target=f"127.0.0.1:{port}") as relay:
        host, _, relay_port = relay.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(relay_port))
        writer.write(b"one\n")
        assert await reader.readline() == b"one\n"
        relay.freeze()
        writer.write(b"two\n")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readline(), READ_TIMEOUT_S)
        relay.resume()
        assert await reader.readline() == b"two\n"
        relay.cut()
        assert await reader.read() == b""
        writer.close()


async def test_launcher_stops_a_frozen_process_and_reports_a_failed_start(
    launcher: Launcher,
) -> None:
    frozen = await launcher.start(name="list", module="standins.host_list", arguments=[])
    with pytest.raises(StartError, match="no_such_option"):
        await launcher.start(
            name="bad", module="standins.host_list", arguments=["--no_such_option=1"]
        )
    frozen.freeze()
    await launcher.__aexit__()
    assert not frozen.running


async def test_standin_exits_cleanly_when_stopped(launcher: Launcher) -> None:
    process = await launcher.start(name="store", module="standins.store", arguments=[])
    assert await process.stop() == 0
    assert process.errors() == ""


def test_free_ports_are_distinct_before_any_is_bound() -> None:
    ports = [free_port() for _ in range(2000)]
    assert len(set(ports)) == len(ports)
