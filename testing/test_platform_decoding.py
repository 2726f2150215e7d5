"""Names of the platform are decoded in its folder only, whatever bytes come."""

from __future__ import annotations

from pathlib import Path
import re

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from standins.platform_world import configuration
from tanagerscale.core import ServiceId
from tanagerscale.ini import check_address
from tanagerscale.platform._configuration import decode_configuration
from tanagerscale.platform._engines import _moved
from tanagerscale.platform._headers import passed_on
from tanagerscale.platform._headers import returned
from tanagerscale.platform._registry import decode_entry
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamState
from testing._random_cases import cases

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src" / "tanagerscale"
PLATFORM_NAMES = re.compile(
    r"Tanagerscale-|Kv-(From|Fetch)|kv-(move|txn|watch|range|key|lease|handle|pin|list|events)"
    r"|pathPrefix|apiKeys|trafficSplit|coldRemaining|expectedRevision|createdRev|asOf|waitMs"
    r"|op/config|servers/|bounds\.|listen\.front"
)
MOST_LINES = 1500


def test_only_the_platform_folder_knows_the_platforms_names() -> None:
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts
        for match in [PLATFORM_NAMES.search(path.read_text())]
        if match is not None
    ]
    assert found == []


def test_platform_folder_stays_small() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in (SOURCE / "platform").rglob("*.py"))
    assert lines < MOST_LINES


def test_nothing_of_the_product_imports_the_platform_folder() -> None:
    importing = [
        path.name
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts
        and "tanagerscale.platform" in path.read_text()
    ]
    assert importing == []


def test_configuration_is_decoded_into_routes_services_and_accounts() -> None:
    decoded = decode_configuration(msgspec.json.encode(configuration(version=7))).unwrap()
    assert decoded.version == 7
    kinds = {route.name: route.kind for route in decoded.routes}
    assert kinds == {
        "stream": RouteKind.STREAMING,
        "book": RouteKind.NON_IDEMPOTENT,
        "read": RouteKind.IDEMPOTENT,
    }
    assert decoded.services[0].engine is not None
    assert decoded.services[0].engine.copy_ttl_ms == 5000
    assert decoded.accounts[0].keys == ("key-of-account-one",)
    assert decoded.limits.idle_timeout_ms == 15000


def test_route_that_is_split_has_all_its_targets_with_weight() -> None:
    value = configuration()
    del value["routes"][0]["service"]
    value["routes"][0]["trafficSplit"] = [
        {"service": "x", "weight": 9},
        {"service": "y", "weight": 0},
        {"service": "z", "weight": 1},
    ]
    decoded = decode_configuration(msgspec.json.encode(value)).unwrap()
    targets = [(target.service, target.weight) for target in decoded.routes[0].targets]
    assert targets == [(ServiceId("x"), 9), (ServiceId("z"), 1)]


def test_kind_that_is_not_known_is_never_repeated() -> None:
    value = configuration()
    value["routes"][2]["kind"] = "of-a-later-version"
    decoded = decode_configuration(msgspec.json.encode(value)).unwrap()
    assert decoded.routes[2].kind is RouteKind.NON_IDEMPOTENT


def test_fields_of_a_later_version_are_ignored() -> None:
    value = configuration(newField={"a": 1})
    value["routes"][0]["another"] = [1]
    assert isinstance(decode_configuration(msgspec.json.encode(value)), Success)


def _entry(**changes: object) -> dict[str, object]:
    usual: dict[str, object] = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 24,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    return usual | changes


def _decoded(entry: object, *, key: str = "servers/i-1") -> Result[UpstreamEntry, str]:
    return decode_entry(key, msgspec.json.encode(entry))


def test_entry_is_decoded_into_an_upstream() -> None:
    found = _decoded(_entry(later="field")).unwrap()
    assert (found.upstream, found.name, found.started_ms) == ("i-1", "i-1", 0)
    assert (found.service, found.places, found.state) == ("s", 24, UpstreamState.READY)


def test_each_start_of_an_upstream_has_an_id_of_its_own() -> None:
    first, second = (_decoded(_entry(born=born)).unwrap() for born in (1700, 1800))
    assert first.upstream != second.upstream
    assert first.name == second.name == "i-1"
    assert (first.started_ms, second.started_ms) == (1700, 1800)


def test_entry_of_an_unknown_state_names_no_upstream() -> None:
    assert isinstance(_decoded(_entry(state="of-a-later-version")), Failure)


@pytest.mark.parametrize("field", sorted(_entry()))
def test_entry_without_a_field_names_no_upstream(field: str) -> None:
    entry = _entry()
    del entry[field]
    assert isinstance(_decoded(entry), Failure)


@pytest.mark.parametrize("field", sorted(_entry(born=1)))
@pytest.mark.parametrize("value", [None, True, "7x", [], {}, -1, 1.5])
def test_entry_with_a_field_of_another_type_names_no_upstream(field: str, value: object) -> None:
    if field == "coldRemainingMs" and value == 1.5:
        return  # A time may have a fraction.
    assert isinstance(_decoded(_entry(**{field: value})), Failure) or (
        # Any text is a failure domain, a version or a service; none of that name gets requests.
        isinstance(value, str)
        and field in ("zone", "version", "service")
    )


@pytest.mark.parametrize("start", [0, -5, 1.5, "1700", None, True, 2**70])
def test_entry_whose_start_is_no_whole_number_names_no_upstream(start: object) -> None:
    assert isinstance(_decoded(_entry(born=start)), Failure)


@pytest.mark.parametrize("address", ["", "10.0.0.1", "10.0.0.1:0", "x:80", "10.0.0.1:80:1", "1:2"])
def test_entry_whose_address_cannot_be_reached_names_no_upstream(address: str) -> None:
    assert isinstance(_decoded(_entry(address=address)), Failure)


@pytest.mark.parametrize("name", ["", "a b", "a\r\nTE: x", "\u00e9"])
def test_entry_whose_name_cannot_be_sent_names_no_upstream(name: str) -> None:
    assert isinstance(_decoded(_entry(), key=f"servers/{name}"), Failure)


@cases(examples=300)
@given(
    field=st.sampled_from(sorted(_entry(born=1))),
    value=st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
        lambda inner: st.lists(inner, max_size=2),
        max_leaves=3,
    ),
)
def test_entry_with_any_field_changed_names_an_upstream_that_can_be_used_or_none(
    field: str, value: object
) -> None:
    result = _decoded(_entry(born=5) | {field: value})
    if isinstance(result, Failure):
        return
    found = result.unwrap()
    assert found.places >= 1
    assert found.cold_ms >= 0
    assert found.started_ms >= 1
    assert check_address(address=found.address) == ""


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["version", "routes", "services", "limits", "tenants", "name", "x"]),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


@cases(examples=300)
@given(value=JSON.map(msgspec.json.encode) | st.binary(max_size=60))
def test_any_configuration_gives_a_value_or_an_error_with_a_remedy(value: bytes) -> None:
    result = decode_configuration(value)
    if isinstance(result, Failure):
        assert "older one stays in force" in result.failure()


@cases(examples=300)
@given(value=JSON.map(msgspec.json.encode) | st.binary(max_size=60))
def test_any_entry_gives_a_value_or_an_error_with_a_remedy(value: bytes) -> None:
    result = decode_entry("servers/i-1", value)
    if isinstance(result, Failure):
        assert "left out" in result.failure()


@cases(examples=200)
@given(value=JSON.map(msgspec.json.encode) | st.binary(max_size=60))
def test_any_answer_to_a_copy_is_read_without_an_error(value: bytes) -> None:
    assert isinstance(_moved(value).handle, str)


OURS = [
    "Tanagerscale-Tenant",
    "Tanagerscale-Hold",
    "Tanagerscale-Pin-Duration",
    "Tanagerscale-Kv-Backup",
    "Tanagerscale-Expect-Instance",
    "Tanagerscale-Expect-Version",
    "Tanagerscale-Request-Priority",
    "Kv-From",
    "Kv-Fetch",
    "Authorization",
    "Connection",
    "Keep-Alive",
    "Transfer-Encoding",
    "Upgrade",
    "TE",
]


@pytest.mark.parametrize("name", OURS)
def test_field_that_callers_may_not_set_is_not_passed_on(name: str) -> None:
    for spelling in (name, name.lower(), name.upper()):
        fields = [(spelling, "x"), ("Accept", "y")]
        assert passed_on(dict(fields), fields) == (("Accept", "y"),)


def test_field_named_by_the_connection_is_not_passed_on() -> None:
    fields = [("Connection", "close, X-Mine"), ("x-mine", "1"), ("X-Other", "2")]
    assert passed_on({"Connection": "close, X-Mine"}, fields) == (("X-Other", "2"),)


def test_caller_cannot_have_its_ids_taken_out_by_naming_them_for_the_connection() -> None:
    named = "Tanagerscale-Attempt-Id, Tanagerscale-Token-Usage"
    fields = [("Tanagerscale-Attempt-Id", "1"), ("Tanagerscale-Token-Usage", "2,3")]
    assert passed_on({"Connection": named}, fields) == tuple(fields)


def test_other_fields_are_passed_on_as_often_as_they_come() -> None:
    fields = [("Accept", "a"), ("X", "1"), ("X", "2")]
    assert passed_on(dict(fields), fields) == tuple(fields)
    assert returned(dict(fields), fields) == tuple(fields)
