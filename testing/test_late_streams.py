"""Where the time of streams went, by hosts' logs."""

from __future__ import annotations

from tanagerscale.cli._explain import LogLine
from tools.late_streams import Cause
from tools.late_streams import table_of
from tools.late_streams import times_of

FIRST_MS, GAP_MS = 1800, 180


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


def test_each_late_stream_has_its_cause() -> None:
    causes = {one.request: one.cause(first_ms=FIRST_MS, gap_ms=GAP_MS) for one in times_of(LINES)}
    assert causes == {
        "fine": None,
        "waited": Cause.WAITING,
        "read": Cause.READING,
        "moved": Cause.PAUSE_OF_MOVE,
        "preempted": Cause.PAUSE,
    }


def test_table_counts_lateness_refusals_and_waits() -> None:
    printed = "\n".join(table_of(LINES, first_ms=FIRST_MS, gap_ms=GAP_MS))
    assert "5  whole streams, 1 of them in time" in printed
    assert "1  refused: no engine has room" in printed
    assert "1  waited: no engine has room" in printed


def test_log_without_streams_is_told_so() -> None:
    assert table_of([], first_ms=FIRST_MS, gap_ms=GAP_MS) == [
        "    0  whole streams, 0 of them in time"
    ]
