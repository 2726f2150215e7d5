"""Tests of the classification of streams from host logs."""

from __future__ import annotations

from tanagerscale.cli._explain import LogLine
from tools.lost_streams import StreamEnd
from tools.lost_streams import collect_streams
from tools.lost_streams import format_table

CHOSEN_MESSAGE = "An engine is chosen."
ANSWER_MESSAGE = "An engine begins to answer."


def _line(
    at_ms: int, message: str, request: str = "", host: str = "h", **inputs: object
) -> LogLine:
    return LogLine(
        wall_ms=at_ms,
        monotonic_ms=at_ms,
        host=host,
        part="p",
        message=message,
        request=request,
        fields=inputs,
    )


LINES = [
    _line(0, "The host starts."),
    _line(100, CHOSEN_MESSAGE, "whole"),
    _line(500, ANSWER_MESSAGE, "whole"),
    _line(900, "A stream is whole.", "whole", events=41),
    _line(200, CHOSEN_MESSAGE, "cut"),
    _line(700, "A request is answered with a failure.", "cut", kind="upstream-failed"),
    _line(300, CHOSEN_MESSAGE, "full"),
    _line(310, "A request is answered with a failure.", "full", kind="overloaded"),
    _line(400, CHOSEN_MESSAGE, "left"),
    _line(800, "A caller has left.", "left"),
    _line(450, CHOSEN_MESSAGE, "bad"),
    _line(460, "An engine has answered with a failure.", "bad", status=500),
    _line(1000, CHOSEN_MESSAGE, "killed"),
    _line(2000, "The host starts."),
    _line(2500, CHOSEN_MESSAGE, "runs"),
    _line(2500, "An upstream has answered.", "plain"),
]


def test_streams_are_classified_by_how_they_ended() -> None:
    ends = {stream.request: stream.end for stream in collect_streams(LINES)}
    assert ends == {
        "whole": StreamEnd.COMPLETE,
        "cut": StreamEnd.INTERRUPTED,
        "full": StreamEnd.REFUSED,
        "left": StreamEnd.CALLER_LEFT,
        "bad": StreamEnd.ENGINE_FAILED,
        "killed": StreamEnd.HOST_TERMINATED,
        "runs": StreamEnd.UNKNOWN,
    }


def test_table_lists_mean_gap_and_preventable_losses() -> None:
    lines = format_table(collect_streams(LINES))
    assert " 10.0  ms between events of 1 long streams" in lines
    assert "  cut  at 0.2 s for 0.5 s: broke off at its engine" in lines
    assert not any("killed" in line for line in lines)


def test_table_of_a_log_without_streams_is_empty() -> None:
    assert format_table(collect_streams([])) == []
