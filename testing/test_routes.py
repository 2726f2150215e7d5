"""Tests of the lookup of routes by host and longest prefix, and of callers by key."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Revision
from tanagerscale.core import ServiceId
from tanagerscale.routes import Account
from tanagerscale.routes import Configuration
from tanagerscale.routes import Route
from tanagerscale.routes import RouteTable
from tanagerscale.routes import Target
from tanagerscale.routes import choose_target
from testing._gateway_fakes import LIMITS
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_table
from testing._random_cases import random_case_settings


def test_route_with_the_longest_prefix_is_found() -> None:
    table = make_table(
        make_route(prefix="/", name="all"),
        make_route(prefix="/a/", name="short"),
        make_route(prefix="/a/b/", name="long"),
    )

    def found(path: str) -> str | None:
        route = table.route(host="api.example", path=path)
        return None if route is None else route.name

    assert found("/a/b/c") == "long"
    assert found("/a/bc") == "short"
    assert found("/a/") == "short"
    assert found("/a") == "all"
    assert found("/") == "all"


def test_route_is_none_when_host_or_path_is_unknown() -> None:
    table = make_table(make_route(prefix="/a/"))
    assert table.route(host="other.example", path="/a/x") is None
    assert table.route(host="api.example", path="/b/x") is None
    assert table.route(host="api.example", path="/ab/x") is None


def test_route_is_found_when_the_host_has_a_port_or_capitals() -> None:
    table = make_table(make_route(prefix="/a/"))
    assert table.route(host="API.example:8080", path="/a/x") is not None


@random_case_settings(examples=200)
@given(
    prefixes=st.sets(
        st.lists(st.sampled_from("ab"), max_size=3).map(
            lambda parts: "/" + "".join(f"{part}/" for part in parts)
        )
    ),
    path=st.lists(st.sampled_from(["a", "b", ""]), max_size=5).map(
        lambda parts: "/" + "/".join(parts)
    ),
)
def test_route_agrees_with_a_linear_search(prefixes: set[str], path: str) -> None:
    table = make_table(*(make_route(prefix=prefix, name=prefix) for prefix in prefixes))
    expected = max(
        (prefix for prefix in prefixes if path.startswith(prefix)), key=len, default=None
    )
    found = table.route(host="api.example", path=path)
    assert (None if found is None else found.name) == expected


def _with_account(*routes: Route) -> RouteTable:
    account = Account(name=ClientAccountId("one"), keys=("key-1", "key-2"), priority=3)
    return RouteTable(
        configuration=Configuration(
            version=Revision(1), routes=routes, services=(), accounts=(account,), limits=LIMITS
        )
    )


def test_caller_is_found_by_any_of_its_keys() -> None:
    route = make_route()
    table = _with_account(route)
    caller = table.caller(route=route, key="key-2")
    assert caller is not None
    assert (caller.account, caller.priority) == ("one", 3)


def test_caller_is_unknown_when_its_key_is_missing_or_wrong() -> None:
    route = make_route()
    table = _with_account(route)
    assert table.caller(route=route, key=None) is None
    assert table.caller(route=route, key="other") is None


def test_caller_needs_no_key_when_the_route_is_public() -> None:
    route = make_route(public=True)
    caller = _with_account(route).caller(route=route, key=None)
    assert caller is not None
    assert caller.account is None


def test_caller_needs_no_key_when_no_accounts_are_declared() -> None:
    route = make_route()
    assert make_table(route).caller(route=route, key=None) is not None


def test_targets_are_chosen_by_weight() -> None:
    split = (Target(service=ServiceId("x"), weight=9), Target(service=ServiceId("y"), weight=1))
    route = make_route()
    split_route = Route(
        **{name: getattr(route, name) for name in Route.__struct_fields__} | {"targets": split}
    )
    rng = Random(5)
    chosen = [choose_target(route=split_route, rng=rng) for _ in range(1000)]
    assert 850 < chosen.count(ServiceId("x")) < 950
