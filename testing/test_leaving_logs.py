"""Logs tell when a host learned that an upstream leaves, and what it knew as it sent a request."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from random import Random
from typing import Any

import logbook
import pytest

from tanagerscale.cli._explain import LogLine
from tanagerscale.cli._explain import explain
from tanagerscale.coordination import ListFeed
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.forwarding._sending import SendPath
from tanagerscale.forwarding._sending import send_request
from tanagerscale.generated.messages import ListContent
from tanagerscale.generated.messages import ListTopic
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.membership import Evacuations
from tanagerscale.membership import NoticeSource
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership._upstream_version import UpstreamVersion
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._virtual_time import run_virtually

UPSTREAM = UpstreamId("x")


class Logs:
    """The lines that were logged."""

    def __init__(self, handler: logbook.TestHandler) -> None:
        self._handler = handler

    def find(self, message: str) -> list[dict[str, Any]]:
        """Return the fields of the lines with a message."""
        return [one.kwargs for one in self._handler.records if one.message == message]


@pytest.fixture
def logs() -> Iterator[Logs]:
    """Lines that are logged during the test."""
    with logbook.TestHandler().applicationbound() as handler:
        yield Logs(handler)


def _make_gate(notices: list[UpstreamLeaving]) -> UpstreamGate:
    return UpstreamGate(clock=Clock(), rng=Random(1), broadcast=notices.append)


def _make_feed() -> ListFeed:
    clock = Clock()
    return ListFeed(
        topic=ListTopic.EVACUATIONS,
        listener=Evacuations(parse_evacuated_domain=lambda _: None, clock=clock),
        send=lambda *_: True,
        clock=clock,
    )


def test_notice_of_a_peer_is_logged_with_its_host_and_age(logs: Logs) -> None:
    async def scenario() -> None:
        notices: list[UpstreamLeaving] = []
        first, second = _make_gate(notices), _make_gate([])
        first.record_leaving(upstream=UPSTREAM, incarnation=7, source=NoticeSource.STORE)
        await asyncio.sleep(0.25)
        (message,) = first.leaving_messages()
        second.on_peer(message, host="host-1")
        await asyncio.sleep(0.05)
        assert second.leaving_for_ms(UPSTREAM) == 300

    run_virtually(scenario())
    own, told = logs.find("Upstream is leaving.")
    assert (own["learned_from"], own["peer"], own["age_ms"]) == ("store", "", 0)
    assert (told["learned_from"], told["peer"], told["age_ms"]) == ("peer", "host-1", 250)


def test_notice_that_is_older_than_the_known_one_is_logged(logs: Logs) -> None:
    async def scenario() -> UpstreamGate:
        gate = _make_gate([])
        gate.record_leaving(upstream=UPSTREAM, incarnation=7, source=NoticeSource.STORE)
        gate.on_peer(UpstreamLeaving(upstream=UPSTREAM, incarnation=5), host="host-2")
        gate.on_peer(UpstreamLeaving(upstream=UPSTREAM, incarnation=7), host="host-2")
        return gate

    gate = run_virtually(scenario())
    (ignored,) = logs.find("A notice of an upstream is ignored.")
    assert (ignored["reason"], ignored["version"], ignored["known"]) == (
        "older",
        UpstreamVersion(revision=5),
        UpstreamVersion(revision=7),
    )
    assert dict(gate.ignored_notices) == {"older": 1, "repeated": 1}


def test_upstream_that_accepts_requests_again_is_logged(logs: Logs) -> None:
    async def scenario() -> None:
        gate = _make_gate([])
        gate.record_leaving(upstream=UPSTREAM, incarnation=7, source=NoticeSource.STORE)
        await asyncio.sleep(0.4)
        gate.record_incarnation(upstream=UPSTREAM, incarnation=8)

    run_virtually(scenario())
    (opened,) = logs.find("An upstream accepts requests again.")
    assert (opened["version"].revision, opened["left"].revision) == (8, 7)
    assert opened["was_leaving_ms"] == 400


def test_entries_that_are_ignored_are_logged_with_the_reason_and_the_age_of_the_list(
    logs: Logs,
) -> None:
    async def scenario() -> ListFeed:
        feed = _make_feed()
        feed.on_snapshot(StoreRange(entries=(), revision=StoreRevision(40)))
        await asyncio.sleep(1.5)
        feed.on_snapshot(StoreRange(entries=(), revision=StoreRevision(30)))
        for revision in (35, 40):
            feed.on_changes(
                WatchBatch(entries=(), deleted=("k",), revision=StoreRevision(revision))
            )
        feed.follow(HostId("host-1"))
        stranger = ListContent(
            topic=ListTopic.EVACUATIONS, revision=50, is_watched=True, is_answered=True
        )
        feed.on_message(HostId("host-3"), stranger)
        assert feed.age_ms == 1500
        return feed

    feed = run_virtually(scenario())
    lines = logs.find("Entries are ignored.")
    assert [(one["reason"], one["revision"], one["age_ms"]) for one in lines] == [
        ("older", "0:30", 1500),
        ("older", "0:35", 1500),
        ("other-source", "0:50", 1500),
    ]
    counted = {reason.value: number for reason, number in feed.ignored.items()}
    assert counted == {"older": 2, "known": 1, "other-source": 1}


def test_sending_is_logged_with_the_age_of_the_choice_and_what_was_known(logs: Logs) -> None:
    async def scenario() -> None:
        fakes = make_gateway_fakes(make_entry("x"))
        routed = route_request(make_request(), make_route())
        entry = fakes.upstreams.get(UPSTREAM)
        assert entry is not None
        upstream_request = UpstreamRequest(
            request=routed.request, upstream=entry, account=None, time_left_ms=None
        )
        chosen_at = fakes.context.clock.now()
        await asyncio.sleep(0.7)
        await send_request(
            routed, fakes.context, upstream_request, path=SendPath.FIRST, chosen_at=chosen_at
        )

    run_virtually(scenario())
    (sent,) = logs.find("A request is sent.")
    assert (sent["path"], sent["chosen_ms"], sent["leaving_ms"]) == ("first", 700, None)


def _make_line(at_ms: int, host: str, message: str, **fields: str) -> LogLine:
    request = fields.pop("request", "")
    return LogLine(
        wall_ms=at_ms,
        monotonic_ms=at_ms,
        host=host,
        part="gate" if not request else "forwarding",
        message=message,
        request=request,
        fields=dict(fields),
    )


def test_timeline_has_what_the_host_last_learned_of_the_upstream_however_long_ago() -> None:
    lines = [
        _make_line(0, "h1", "An upstream accepts requests again.", upstream="e1"),
        _make_line(100, "h1", "Upstream is leaving.", upstream="e1"),
        _make_line(200, "h1", "Upstream is leaving.", upstream="e2"),
        _make_line(300, "h2", "Upstream is leaving.", upstream="e1"),
        _make_line(90_000, "h1", "A request is sent.", request="r1", upstream="e1"),
    ]
    timeline = [(line.wall_ms, line.message) for line in explain(request="r1", lines=lines)]
    assert timeline == [(100, "Upstream is leaving."), (90_000, "A request is sent.")]
