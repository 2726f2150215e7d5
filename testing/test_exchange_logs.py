"""Logs and metrics tell which exchange took which answer, and what became of its connection."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence

import logbook
from prometheus_client import CollectorRegistry
import pytest

from tanagerscale.cli._explain import LogLine
from tanagerscale.cli._explain import explain
from tanagerscale.gateway._exchange_metrics import ExchangeCollector
from tanagerscale.platform._engines import PlatformUpstreams
from testing._engine_exchanges import answer_properly
from testing._engine_exchanges import make_engine_entry
from testing._engine_exchanges import make_pool
from testing._engine_exchanges import send
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import encode_answer
from testing._scripted_peer import run_scripted_peer

OTHER = "An answer bears the id of another exchange."
CLOSED = "A connection with an answer of another exchange is closed."
KEPT = "A connection with an answer of another exchange is kept."


@pytest.fixture
def records() -> Iterator[list[logbook.LogRecord]]:
    """Lines that are logged during the test."""
    with logbook.TestHandler().applicationbound() as handler:
        yield handler.records


def _answer_first_twice(request: PeerRequest) -> Sequence[bytes]:
    """Send the answer to the first request again before that to the second."""
    extra = [encode_answer(id="first", body=b"late")] if request.number == 1 else []
    return [*extra, answer_properly(request)]


async def _send_two() -> PlatformUpstreams:
    pool = make_pool()
    client = PlatformUpstreams(pool=pool)
    async with run_scripted_peer(_answer_first_twice) as peer:
        for id in ("first", "second"):
            await send(client, make_engine_entry(peer.address), id=id)
    pool.close()
    return client


@pytest.mark.asyncio
async def test_skipped_answer_is_logged_with_both_ids_and_the_connection(
    records: list[logbook.LogRecord],
) -> None:
    await _send_two()
    skipped, returned = (one for one in records if one.message in (OTHER, CLOSED, KEPT))
    assert skipped.kwargs["request"] == "second"
    assert skipped.kwargs["answer_request"] == "first"
    assert skipped.kwargs["previous_request"] == "first"
    assert not skipped.kwargs["taken"]
    assert returned.kwargs["connection"] == skipped.kwargs["connection"]


@pytest.mark.asyncio
async def test_metrics_count_answers_by_the_id_that_they_bear() -> None:
    client = await _send_two()
    registry = CollectorRegistry()
    registry.register(ExchangeCollector(log=client._pool.log))

    def count(id: str, outcome: str) -> float | None:
        labels = {"kind": "request", "id": id, "outcome": outcome}
        return registry.get_sample_value("tanagerscale_exchange_answers_total", labels)

    assert (count("own", "taken"), count("other", "skipped")) == (2, 1)
    labels = {"kind": "request", "connection": "kept"}
    assert registry.get_sample_value("tanagerscale_exchanges_total", labels) == 1


def test_timeline_has_the_lines_of_another_request_about_the_same_connection() -> None:
    def line(at_ms: int, request: str, host: str = "h1", **fields: int) -> LogLine:
        return LogLine(
            wall_ms=at_ms,
            monotonic_ms=at_ms,
            host=host,
            part="exchanges",
            message=f"{request} {at_ms}",
            request=request,
            fields=fields,
        )

    lines = [
        line(1, "first", connection=7),
        line(2, "first", connection=8),
        line(3, "first", "h2", connection=7),
        line(4, "second", connection=7),
    ]
    timeline = explain(request="second", lines=lines)
    assert [one.message for one in timeline] == ["first 1", "second 4"]
