"""The account of streams that hosts' logs give."""

from __future__ import annotations

from tanagerscale.cli._explain import LogLine
from tools.lost_streams import End
from tools.lost_streams import streams_of
from tools.lost_streams import table_of

CHOSEN = "An engine is chosen."
ANSWERS = "An engine begins to answer."


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
    _line(100, CHOSEN, "whole"),
    _line(500, ANSWERS, "whole"),
    _line(900, "A stream is whole.", "whole", events=41),
    _line(200, CHOSEN, "cut"),
    _line(700, "A request is answered with a failure.", "cut", kind="upstream-failed"),
    _line(300, CHOSEN, "full"),
    _line(310, "A request is answered with a failure.", "full", kind="overloaded"),
    _line(400, CHOSEN, "left"),
    _line(800, "A caller has left.", "left"),
    _line(450, CHOSEN, "bad"),
    _line(460, "An engine has answered with a failure.", "bad", status=500),
    _line(1000, CHOSEN, "killed"),
    _line(2000, "The host starts."),
    _line(2500, CHOSEN, "runs"),
    _line(2500, "An upstream has answered.", "plain"),
]


def test_each_stream_has_what_ended_it() -> None:
    ends = {stream.request: stream.end for stream in streams_of(LINES)}
    assert ends == {
        "whole": End.WHOLE,
        "cut": End.CUT,
        "full": End.REFUSED,
        "left": End.CALLER_LEFT,
        "bad": End.ENGINE_FAILED,
        "killed": End.HOST_ENDED,
        "runs": End.UNKNOWN,
    }


def test_pace_of_whole_streams_is_told_and_each_that_a_policy_could_have_saved() -> None:
    lines = table_of(streams_of(LINES))
    assert " 10.0  ms between events of 1 long streams" in lines
    assert "  cut  at 0.2 s for 0.5 s: broke off at its engine" in lines
    assert not any("killed" in line for line in lines)


def test_log_without_streams_gives_an_empty_table() -> None:
    assert table_of(streams_of([])) == []
