"""Tests that only the platform package decodes platform names, and that it accepts any bytes."""

from __future__ import annotations

from pathlib import Path
import re

from hypothesis import given
from hypothesis import strategies as st
import msgspec
from multidict import CIMultiDict
from multidict import CIMultiDictProxy
import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from standins.platform_world import configuration
from tanagerscale.core import Clock
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.ini import check_address
from tanagerscale.platform._configuration import decode_configuration
from tanagerscale.platform._engines import PlatformResponse
from tanagerscale.platform._engines import _decode_copy_answer
from tanagerscale.platform._headers import forwarded_request_headers
from tanagerscale.platform._headers import forwarded_response_headers
from tanagerscale.platform._notices import MAX_PAUSE_MS
from tanagerscale.platform._notices import decode_notice
from tanagerscale.platform._registry import decode_entry
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import ResponseHead
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamNotice
from tanagerscale.upstreams import UpstreamState
from testing._random_cases import random_case_settings

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src" / "tanagerscale"
PLATFORM_NAMES = re.compile(
    r"Tanagerscale-|Server-Leaving|Server-Limit|Kv-(From|Fetch)"
    r"|kv-(move|txn|watch|range|key|lease|handle|pin|list|events)"
    r"|pathPrefix|apiKeys|trafficSplit|coldRemaining|expectedRevision|createdRev|asOf|waitMs"
    r"|op/config|servers/|bounds\.|listen\.front"
)
MAX_LINES = 1500
UPSTREAM = UpstreamId("upstream@1")


def test_only_the_platform_package_contains_platform_names() -> None:
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts
        for match in [PLATFORM_NAMES.search(path.read_text())]
        if match is not None
    ]
    assert found == []


def test_platform_package_stays_small() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in (SOURCE / "platform").rglob("*.py"))
    assert lines < MAX_LINES


def test_no_other_package_imports_the_platform_package() -> None:
    importing = [
        path.name
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts
        and "tanagerscale.platform" in path.read_text()
    ]
    assert importing == []


def _make_reply(*fields: tuple[str, str], status: int = 200) -> ResponseHead:
    headers = CIMultiDictProxy(CIMultiDict(fields))
    return ResponseHead(
        status=status, reason="", headers=headers, is_close_delimited=False, keep_alive=True
    )


@pytest.mark.parametrize("value", ["1", " 1 "])
def test_upstream_leaves_when_its_response_says_so(value: str) -> None:
    reply = _make_reply(("server-leaving", value))
    assert decode_notice(upstream=UPSTREAM, reply=reply) == UpstreamNotice(
        upstream=UPSTREAM, is_leaving=True
    )


def test_longest_pause_and_any_notice_count_when_a_response_repeats_them() -> None:
    fields = (("Retry-After", "3"), ("Retry-After", "5"), ("Retry-After", "soon"))
    reply = _make_reply(*fields, ("Server-Leaving", "0"), ("Server-Leaving", "1"), status=503)
    assert decode_notice(upstream=UPSTREAM, reply=reply) == UpstreamNotice(
        upstream=UPSTREAM, is_leaving=True, pause_ms=5000
    )


@given(st.text().filter(lambda value: value.strip() != "1"))
def test_upstream_does_not_leave_when_its_response_says_anything_else(value: str) -> None:
    assert decode_notice(upstream=UPSTREAM, reply=_make_reply(("Server-Leaving", value))) is None


@pytest.mark.parametrize(
    ("value", "pause_ms"),
    [("3", 3000), ("0.25", 250), (" 1.0004 ", 1001), (".5", 500), ("0", 0)],
)
def test_upstream_asks_for_a_pause_when_it_refuses_with_a_number_of_seconds(
    value: str, pause_ms: int
) -> None:
    notice = decode_notice(upstream=UPSTREAM, reply=_make_reply(("retry-after", value), status=503))
    assert notice == UpstreamNotice(upstream=UPSTREAM, pause_ms=pause_ms)


@pytest.mark.parametrize(
    "value",
    [
        "",
        "-1",
        "+1",
        "1e3",
        "nan",
        "inf",
        "1_0",
        "1,5",
        "3 s",
        "٣",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ],
)
def test_upstream_asks_for_no_pause_when_it_gives_no_number_of_seconds(value: str) -> None:
    reply = _make_reply(("Retry-After", value), status=503)
    assert decode_notice(upstream=UPSTREAM, reply=reply) is None


@pytest.mark.parametrize("status", [200, 429, 500, 502, 504])
def test_upstream_asks_for_no_pause_when_it_does_not_refuse_with_503(status: int) -> None:
    reply = _make_reply(("Retry-After", "3"), status=status)
    assert decode_notice(upstream=UPSTREAM, reply=reply) is None


@pytest.mark.parametrize(
    ("values", "named_rates"),
    [
        ((), []),
        (("2.7",), [2.7]),
        ((" 50 ",), [50.0]),
        (("3", "2"), [3.0, 2.0]),
        (("0",), [0.0]),
        (("-1",), [None]),
        (("inf", "1e3"), [None, None]),
        (("2, 3",), [None]),
        (("",), [None]),
    ],
)
def test_rates_are_decoded_when_a_response_names_them(
    values: tuple[str, ...], named_rates: list[float | None]
) -> None:
    reply = _make_reply(*(("server-limit", value) for value in values))
    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=1, idle_ms=1)
    response = PlatformResponse(
        reply=reply,
        connection=None,  # type: ignore[arg-type]
        pool=pool,
        address="",
    )
    assert response.named_rates == named_rates


@random_case_settings(examples=300)
@given(st.one_of(st.text(), st.from_regex(r"[0-9]{0,400}\.?[0-9]{0,9}", fullmatch=True)))
def test_pause_is_bounded_whatever_an_upstream_sends(value: str) -> None:
    reply = _make_reply(("Server-Leaving", "1"), ("Retry-After", value), status=503)
    notice = decode_notice(upstream=UPSTREAM, reply=reply)
    assert notice is not None
    assert notice.is_leaving
    assert notice.pause_ms is None or 0 <= notice.pause_ms <= MAX_PAUSE_MS


@random_case_settings(examples=300)
@given(st.integers(0, MAX_PAUSE_MS))
def test_pause_does_not_end_before_the_time_that_an_upstream_asked_for(pause_ms: int) -> None:
    reply = _make_reply(("Retry-After", f"{pause_ms / 1000}"), status=503)
    notice = decode_notice(upstream=UPSTREAM, reply=reply)
    assert notice is not None
    assert notice.pause_ms is not None
    assert pause_ms <= notice.pause_ms <= pause_ms + 1


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


def test_split_route_has_all_targets_with_a_positive_weight() -> None:
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


def test_unknown_route_kind_is_decoded_as_non_idempotent() -> None:
    value = configuration()
    value["routes"][2]["kind"] = "of-a-later-version"
    decoded = decode_configuration(msgspec.json.encode(value)).unwrap()
    assert decoded.routes[2].kind is RouteKind.NON_IDEMPOTENT


def test_unknown_fields_are_ignored() -> None:
    value = configuration(newField={"a": 1})
    value["routes"][0]["another"] = [1]
    assert isinstance(decode_configuration(msgspec.json.encode(value)), Success)


def _entry(**changes: object) -> dict[str, object]:
    entry: dict[str, object] = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 24,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    return entry | changes


def _decode(entry: object, *, key: str = "servers/i-1") -> Result[UpstreamEntry, str]:
    return decode_entry(key, msgspec.json.encode(entry))


def test_entry_is_decoded_into_an_upstream() -> None:
    found = _decode(_entry(later="field")).unwrap()
    assert (found.upstream, found.name, found.started_ms) == ("i-1", "i-1", 0)
    assert (found.service, found.max_concurrency, found.state) == ("s", 24, UpstreamState.READY)


def test_each_incarnation_of_an_upstream_has_its_own_id() -> None:
    first, second = (_decode(_entry(born=born)).unwrap() for born in (1700, 1800))
    assert first.upstream != second.upstream
    assert first.name == second.name == "i-1"
    assert (first.started_ms, second.started_ms) == (1700, 1800)


def test_entry_with_an_unknown_state_is_refused() -> None:
    assert isinstance(_decode(_entry(state="of-a-later-version")), Failure)


@pytest.mark.parametrize("field", sorted(_entry()))
def test_entry_with_a_missing_field_is_refused(field: str) -> None:
    entry = _entry()
    del entry[field]
    assert isinstance(_decode(entry), Failure)


@pytest.mark.parametrize("field", sorted(_entry(born=1)))
@pytest.mark.parametrize("value", [None, True, "7x", [], {}, -1, 1.5])
def test_entry_with_a_field_of_the_wrong_type_is_refused(field: str, value: object) -> None:
    if field == "coldRemainingMs" and value == 1.5:
        return  # A duration may have a fraction.
    assert isinstance(_decode(_entry(**{field: value})), Failure) or (
        # Any text is a valid failure domain, version or service; unknown ones get no requests.
        isinstance(value, str)
        and field in ("zone", "version", "service")
    )


@pytest.mark.parametrize("start", [0, -5, 1.5, "1700", None, True, 2**70])
def test_entry_with_an_invalid_start_time_is_refused(start: object) -> None:
    assert isinstance(_decode(_entry(born=start)), Failure)


@pytest.mark.parametrize("address", ["", "10.0.0.1", "10.0.0.1:0", "x:80", "10.0.0.1:80:1", "1:2"])
def test_entry_with_an_invalid_address_is_refused(address: str) -> None:
    assert isinstance(_decode(_entry(address=address)), Failure)


@pytest.mark.parametrize("name", ["", "a b", "a\r\nTE: x", "\u00e9"])
def test_entry_with_a_name_unfit_for_a_header_is_refused(name: str) -> None:
    assert isinstance(_decode(_entry(), key=f"servers/{name}"), Failure)


@random_case_settings(examples=300)
@given(
    field=st.sampled_from(sorted(_entry(born=1))),
    value=st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
        lambda inner: st.lists(inner, max_size=2),
        max_leaves=3,
    ),
)
def test_entry_with_any_field_changed_is_refused_or_gives_a_usable_upstream(
    field: str, value: object
) -> None:
    result = _decode(_entry(born=5) | {field: value})
    if isinstance(result, Failure):
        return
    found = result.unwrap()
    assert found.max_concurrency >= 1
    assert found.warmup_ms >= 0
    assert found.started_ms >= 1
    assert check_address(address=found.address) == ""


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["version", "routes", "services", "limits", "tenants", "name", "x"]),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


@random_case_settings(examples=300)
@given(value=JSON_VALUES.map(msgspec.json.encode) | st.binary(max_size=60))
def test_any_bytes_decode_to_a_configuration_or_an_error_with_a_remedy(value: bytes) -> None:
    result = decode_configuration(value)
    if isinstance(result, Failure):
        assert "older one stays in force" in result.failure()


@random_case_settings(examples=300)
@given(value=JSON_VALUES.map(msgspec.json.encode) | st.binary(max_size=60))
def test_any_bytes_decode_to_an_entry_or_an_error_with_a_remedy(value: bytes) -> None:
    result = decode_entry("servers/i-1", value)
    if isinstance(result, Failure):
        assert "left out" in result.failure()


@random_case_settings(examples=200)
@given(value=JSON_VALUES.map(msgspec.json.encode) | st.binary(max_size=60))
def test_any_bytes_are_accepted_as_the_response_to_a_copy(value: bytes) -> None:
    assert isinstance(_decode_copy_answer(value).handle, str)


RESERVED_FIELDS = [
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


@pytest.mark.parametrize("name", RESERVED_FIELDS)
def test_reserved_field_is_not_forwarded(name: str) -> None:
    for spelling in (name, name.lower(), name.upper()):
        fields = [(spelling, "x"), ("Accept", "y")]
        assert forwarded_request_headers(dict(fields), fields) == (("Accept", "y"),)


def test_field_listed_in_connection_is_not_forwarded() -> None:
    fields = [("Connection", "close, X-Mine"), ("x-mine", "1"), ("X-Other", "2")]
    assert forwarded_request_headers({"Connection": "close, X-Mine"}, fields) == (("X-Other", "2"),)


def test_id_fields_listed_in_connection_are_still_forwarded() -> None:
    named = "Tanagerscale-Attempt-Id, Tanagerscale-Token-Usage"
    fields = [("Tanagerscale-Attempt-Id", "1"), ("Tanagerscale-Token-Usage", "2,3")]
    assert forwarded_request_headers({"Connection": named}, fields) == tuple(fields)


def test_repeated_fields_are_all_forwarded() -> None:
    fields = [("Accept", "a"), ("X", "1"), ("X", "2")]
    assert forwarded_request_headers(dict(fields), fields) == tuple(fields)
    assert forwarded_response_headers(dict(fields), fields) == tuple(fields)
