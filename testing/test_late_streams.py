"""Tests of the latency breakdown of streams from host logs."""

from __future__ import annotations

from tanagerscale.cli._explain import LogLine
from tools.late_streams import LateCause
from tools.late_streams import collect_latencies
from tools.late_streams import format_table

MAX_FIRST_MS, MAX_GAP_MS = 1800, 180


def _line(message: str, request: str, **inputs: object) -> LogLine:
    return LogLine(
        wall_ms=0,
        monotonic_ms=0,
        host="h",
        part="p",
        message=message,
        request=request,
        fields=inputs,
    )


def _stream(
    request: str, *, given: int, first: int, gap: int = 20, engines: int = 1
) -> list[LogLine]:
    return [
        _line("An engine is given.", request, after_ms=given),
        _line(
            "A stream is whole.",
            request,
            first_event_ms=first,
            longest_gap_ms=gap,
            engines=engines,
        ),
    ]


LINES = [
    *_stream("fine", given=5, first=500),
    *_stream("waited", given=1500, first=1900),
    _line("A generation waits.", "waited", reason="no engine has room"),
    *_stream("read", given=100, first=1900),
    *_stream("moved", given=5, first=500, gap=400, engines=2),
    *_stream("preempted", given=5, first=500, gap=400),
    _line("A generation is refused.", "refused", reason="no engine has room", engines=[]),
    _line("A generation is refused.", "refused", reason="no engine has room"),
    _line("An engine is given.", "cut", after_ms=5),
]


def test_late_streams_are_classified_by_cause() -> None:
    causes = {
        stream.request: stream.cause(first_ms=MAX_FIRST_MS, gap_ms=MAX_GAP_MS)
        for stream in collect_latencies(LINES)
    }
    assert causes == {
        "fine": None,
        "waited": LateCause.WAITED_FOR_ENGINE,
        "read": LateCause.PREFILL,
        "moved": LateCause.GAP_WITH_MOVE,
        "preempted": LateCause.GAP_WITHOUT_MOVE,
    }


def test_table_counts_lateness_refusals_and_waits() -> None:
    printed = "\n".join(format_table(LINES, first_ms=MAX_FIRST_MS, gap_ms=MAX_GAP_MS))
    assert "5  whole streams, 1 of them in time" in printed
    assert "1  refused: no engine has room" in printed
    assert "1  waited: no engine has room" in printed


def test_table_of_a_log_without_streams_has_zero_counts() -> None:
    assert format_table([], first_ms=MAX_FIRST_MS, gap_ms=MAX_GAP_MS) == [
        "    0  whole streams, 0 of them in time"
    ]
