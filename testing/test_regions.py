"""Tests that requests run only in the regions allowed by their route and their account."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from msgspec.structs import replace
import pytest
from returns.result import Failure
from returns.result import Success

from tanagerscale.core import ClientAccountId
from tanagerscale.core import FailureDomainId
from tanagerscale.core import RegionId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import Dispatcher
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import ShutdownSchedule
from tanagerscale.platform._configuration import decode_configuration
from tanagerscale.routes import ANY_FAILURE_DOMAIN
from tanagerscale.routes import AllowedRegions
from tanagerscale.routes import Caller
from tanagerscale.routes import Route
from tanagerscale.routes import RouteKind
from tanagerscale.routes import RouteTable
from tanagerscale.settings import get_regions_by_domain
from tanagerscale.settings import read_gateway_settings
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import NoDelegates
from testing._gateway_fakes import make_delegate_selector
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_stream_mover
from testing._gateway_fakes import make_table
from testing._move_harness import MoveHarness
from testing._virtual_time import run_virtually

EAST, WEST = RegionId("east"), RegionId("west")
REGIONS = {
    FailureDomainId("a"): EAST,
    FailureDomainId("b"): EAST,
    FailureDomainId("c"): WEST,
}
MOVE_TIME_S = 1


def _domains(route: set[str], account: set[str]) -> frozenset[FailureDomainId] | None:
    caller = Caller(
        account=ClientAccountId("one"),
        priority=None,
        regions=frozenset(RegionId(name) for name in account),
    )
    regions = frozenset(RegionId(name) for name in route)
    return AllowedRegions(regions=REGIONS).get_failure_domains(
        route=replace(make_route(), regions=regions), caller=caller
    )


@pytest.mark.parametrize(
    ("route", "account", "domains"),
    [
        (set(), set(), ANY_FAILURE_DOMAIN),
        ({"east"}, set(), {"a", "b"}),
        (set(), {"west"}, {"c"}),
        ({"east", "west"}, {"west"}, {"c"}),
        ({"east"}, {"west"}, None),
        ({"north"}, set(), None),
    ],
)
def test_regions_of_route_and_account_are_intersected(
    route: set[str], account: set[str], domains: set[str] | None
) -> None:
    assert _domains(route, account) == domains


def test_regions_are_read_from_the_configuration() -> None:
    decoded = decode_configuration(
        b'{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"safe",'
        b'"timeoutMs":1000,"service":"s","allowedRegions":["east"]}],'
        b'"tenants":[{"name":"t","apiKeys":["k"],"allowedRegions":["west","east"]}]}'
    )
    assert isinstance(decoded, Success)
    table = RouteTable(configuration=decoded.unwrap())
    route = table.route(host="h", path="/a/x")
    assert route is not None
    assert route.regions == {EAST}
    caller = table.caller(route=route, key="k")
    assert caller is not None
    assert caller.regions == {EAST, WEST}


def _settings(tmp_path: Path, regions: str) -> Path:
    path = tmp_path / "host.ini"
    path.write_text(
        f"[host]\nid = h\nfailure_domain = a\nregions = {regions}\ncallers = 127.0.0.1:0\n"
        "readiness = 127.0.0.1:0\npeers = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n"
    )
    return path


def test_regions_of_failure_domains_are_read_from_the_settings(tmp_path: Path) -> None:
    read = read_gateway_settings(path=_settings(tmp_path, "a:east,b:east, c:west"))
    assert get_regions_by_domain(read.unwrap()) == REGIONS


def test_settings_without_a_region_are_refused(tmp_path: Path) -> None:
    read = read_gateway_settings(path=_settings(tmp_path, "a,b:east"))
    assert isinstance(read, Failure)
    (error,) = read.failure()
    assert "pairs of a failure domain and its region" in str(error)


class _DispatcherHarness:
    """A dispatcher with upstreams in failure domains of at most two regions."""

    def __init__(self, route: Route, *domains: str) -> None:
        entries = [make_entry(f"x{domain}", domain=domain) for domain in domains]
        self.fakes: GatewayFakes = make_gateway_fakes(*entries)
        self.fakes.tables.table = make_table(route)
        context = self.fakes.context
        self.dispatcher = Dispatcher(
            context=context,
            admission=Admission(context=context, placer=self.fakes.single_host.client),
            stream_mover=make_stream_mover(self.fakes),
            allowed_regions=AllowedRegions(regions=REGIONS),
            shutdown=ShutdownSchedule(clock=self.fakes.context.clock),
            delegates=make_delegate_selector(context),
            delegate_client=NoDelegates(),
        )

    async def serve(self, *, prompt: int | None = None) -> FakeResponder:
        """Dispatch a request and return the response that the caller receives."""
        responder = FakeResponder()
        await self.dispatcher.serve(make_request(prompt=prompt), responder)
        return responder


def _plain(*regions: RegionId) -> Route:
    return replace(make_route(), regions=frozenset(regions))


def _stream(*regions: RegionId) -> Route:
    route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000)
    return replace(route, regions=frozenset(regions))


@pytest.mark.parametrize("make", [_plain, _stream])
@pytest.mark.parametrize("region", [EAST, WEST])
def test_request_reaches_only_upstreams_of_its_regions(
    make: Callable[..., Route], region: RegionId
) -> None:
    async def scenario() -> None:
        harness = _DispatcherHarness(make(region), "a", "b", "c")
        prompt = None if make is _plain else 100
        for _ in range(20):
            await harness.serve(prompt=prompt)
        allowed_upstreams = {
            f"x{domain}" for domain, allowed in REGIONS.items() if allowed == region
        }
        assert set(harness.fakes.upstream_client.asked) <= allowed_upstreams
        assert len(harness.fakes.upstream_client.asked) == 20

    run_virtually(scenario())


@pytest.mark.parametrize("make", [_plain, _stream])
def test_request_is_refused_at_once_when_no_upstream_is_in_its_regions(
    make: Callable[..., Route],
) -> None:
    async def scenario() -> None:
        for harness in (
            _DispatcherHarness(make(WEST), "a", "b"),
            _DispatcherHarness(make(RegionId("north")), "a", "c"),
        ):
            began = harness.fakes.context.clock.now()
            responder = await harness.serve(prompt=None if make is _plain else 100)
            assert responder.refusal is not None
            assert responder.refusal.kind is RefusalKind.OVERLOADED
            assert harness.fakes.upstream_client.asked == []
            assert harness.fakes.context.clock.now() == began

    run_virtually(scenario())


def test_run_moves_only_to_an_engine_in_its_regions() -> None:
    async def scenario() -> None:
        harness = MoveHarness("xa", "xb", "xc")
        harness.fakes.upstreams.entries = [
            make_entry(f"x{domain}", domain=domain) for domain in ("a", "c", "b")
        ]
        run = harness.add("1", at="xa")
        harness.fakes.work.end(request=run.request)
        harness.fakes.work.begin(
            request=run.request,
            upstream=UpstreamId("xa"),
            prompt_tokens=run.tokens,
            tokens=run.tokens,
            is_long=True,
            domains={FailureDomainId("a"), FailureDomainId("b")},
        )
        harness.begin(run)
        harness.leave("xa")
        await asyncio.sleep(MOVE_TIME_S)
        assert {target for _, _, target, _ in harness.fakes.engines.copies} == {"xb"}

    run_virtually(scenario())
