"""Settings of the limits of a host, and the readiness that follows them."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import cast

import logbook
from prometheus_client import CollectorRegistry
import pytest
from returns.result import Failure

from standins.platform_world import free_port
from tanagerscale.core import Clock
from tanagerscale.gateway import GatewayHost
from tanagerscale.gateway._control import HostControl
from tanagerscale.gateway._host_limits import HostLimits
from tanagerscale.gateway._host_limits import make_host_limits
from tanagerscale.generated.gateway import GatewayHost as HostSection
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.generated.gateway import GatewayStore
from tanagerscale.platform._factory import make_platform
from tanagerscale.settings import read_gateway_settings
from testing._virtual_time import run_virtually

MB = 1_000_000


def _read_settings(tmp_path: Path, lines: str) -> HostSection | str:
    path = tmp_path / "host.ini"
    path.write_text(
        f"[host]\nid = h\nfailure_domain = a\ncallers = 127.0.0.1:0\n{lines}\n"
        "readiness = 127.0.0.1:0\npeers = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n"
    )
    read = read_gateway_settings(path=path)
    return str(read.failure()[0]) if isinstance(read, Failure) else read.unwrap().host


# Guards against a host that is limited, or does not start, on a platform that names no limits.
@pytest.mark.parametrize("lines", ["", "memory_mb = 0\nfile_descriptors = 0\nlink_mbps = 0"])
def test_missing_settings_set_no_limit(tmp_path: Path, lines: str) -> None:
    settings = _read_settings(tmp_path, lines)
    assert isinstance(settings, HostSection)
    with logbook.TestHandler().applicationbound() as logs:
        limits = _make_limits(settings)
    assert not limits.is_limited
    assert limits.is_ready
    assert not limits.must_close_connections
    assert limits.get_stream_buffer(sent_bytes=0) is None
    assert logs.records == []


# Guards against errors that do not tell the operator which setting is wrong.
@pytest.mark.parametrize("key", ["memory_mb", "file_descriptors", "link_mbps"])
@pytest.mark.parametrize("value", ["-1", "many", "1e300", "nan", "inf", "1,5"])
def test_invalid_limits_are_named_in_errors(tmp_path: Path, key: str, value: str) -> None:
    error = _read_settings(tmp_path, f"{key} = {value}")
    assert isinstance(error, str)
    assert key in error
    assert value in error
    kind = "a whole number" if key == "file_descriptors" else "a number"
    assert f"{kind}, at least 0" in error


# Guards against a host that refuses everything as its settings leave nothing for requests.
def test_limits_below_the_needs_of_the_process_are_logged_and_ignored(tmp_path: Path) -> None:
    settings = _read_settings(tmp_path, "memory_mb = 40\nfile_descriptors = 200\nlink_mbps = 5")
    assert isinstance(settings, HostSection)
    with logbook.TestHandler().applicationbound() as logs:
        limits = _make_limits(settings)
    assert limits.measure().held_bytes >= 0
    assert limits._budget.byte_limit is None
    assert limits._budget.descriptor_limit is None
    assert limits._budget.link_mbps == 5
    (record,) = logs.records
    assert record.kwargs["settings"] == {"memory_mb": 40, "file_descriptors": 200}


def _make_limits(settings: HostSection) -> HostLimits:
    return make_host_limits(
        settings=settings,
        clock=Clock(),
        rng=Random(1),
        registry=CollectorRegistry(),
        count_peers=lambda: 0,
    )


# Guards against a template that leaves out a limit of the platform.
def test_limits_of_the_platform_are_in_the_settings_template() -> None:
    template = (Path(__file__).parent.parent / "deploy" / "host.ini").read_text()
    for key, name in (
        ("memory_mb", "memoryMb"),
        ("file_descriptors", "fileDescriptors"),
        ("link_mbps", "linkMbps"),
    ):
        assert f"{{{{#limits.{name}}}}}{key} = {{{{.}}}}{{{{/limits.{name}}}}}\n" in template


def _accepts(host: GatewayHost) -> bool:
    return host.ready


def _make_host(*, memory_mb: float = 128) -> GatewayHost:
    settings = GatewaySettings(
        host=HostSection(
            id="h",
            failure_domain="a",
            callers="127.0.0.1:0",
            readiness="127.0.0.1:0",
            peers="127.0.0.1:0",
            memory_mb=memory_mb,
        ),
        store=GatewayStore(address="127.0.0.1:1"),
    )
    clock = Clock()
    return GatewayHost(
        settings=settings, platform=make_platform(settings=settings, clock=clock), clock=clock
    )


# Guards against descriptors that run out as connections of delegating hosts are not counted.
@pytest.mark.asyncio
async def test_connections_that_hosts_open_to_delegate_requests_count_as_descriptors() -> None:
    host = _make_host()
    descriptors = host._host_limits.measure().descriptors
    port = free_port()
    await host._delegate_server.start(address=f"127.0.0.1:{port}")
    connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
    async with asyncio.timeout(20):
        while host._host_limits.measure().descriptors < descriptors + 3:
            await asyncio.sleep(0.001)
    assert host._host_limits.measure().descriptors == descriptors + 3
    for _, writer in connections:
        writer.close()
    await host._delegate_server.close()


# Guards against deployments without limits in which engines are judged by another gap than before.
def test_caller_time_is_excluded_from_gaps_only_on_a_host_with_a_byte_limit() -> None:
    assert _make_host()._dispatcher._context.has_bounded_buffers
    assert not _make_host(memory_mb=0)._dispatcher._context.has_bounded_buffers


# Guards against a load balancer that sends connections to a full host.
def test_readiness_of_the_host_follows_its_limits() -> None:
    async def scenario() -> None:
        host = _make_host()
        host._control = cast(
            HostControl,
            SimpleNamespace(
                configuration=SimpleNamespace(table=object()),
                roster=SimpleNamespace(has_read=True),
                evacuations=SimpleNamespace(has_read=True),
                mesh=SimpleNamespace(live=SimpleNamespace(value=())),
                monitor=SimpleNamespace(ended=frozenset()),
            ),
        )
        assert _accepts(host)
        host._host_limits.held_bytes = 60 * MB
        assert not _accepts(host)
        host._host_limits.held_bytes = 40 * MB
        assert _accepts(host)

    run_virtually(scenario())
