"""Accounts for every stream in hosts' logs: which came whole, how fast, and what ended the others.

``python -m tools.lost_streams LOG...`` prints one table for each file. A stream whose host ended
has no last line of its own, so it is told from a later start of the same host.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from enum import unique
from pathlib import Path
from statistics import mean
import sys
from typing import Final

from tanagerscale.cli._explain import LogLine
from tanagerscale.cli._explain import parse_line
from tanagerscale.core import MS_PER_SECOND

BEGUN: Final = frozenset({"An engine is chosen.", "An engine begins to answer."})
WHOLE: Final = "A stream is whole."
FAILED: Final = "A request is answered with a failure."
LEFT: Final = "A caller has left."
STARTED: Final = "The host starts."

LONG_EVENTS: Final = 30
"""Events from which on a stream's pace is counted; shorter ones are mostly prompt."""


@unique
class End(Enum):
    """What ended a stream."""

    WHOLE = "whole"
    REFUSED = "refused before it ran"
    CUT = "broke off at its engine"
    CALLER_LEFT = "the caller left"
    HOST_ENDED = "its host ended"
    ENGINE_FAILED = "its engine answered with a failure"
    UNKNOWN = "no last line"


@dataclass(frozen=True, kw_only=True, slots=True)
class Stream:
    """One stream as the logs tell of it.

    :param request: Its id.
    :param begun_ms: When its engine was chosen, from the first line of all.
    :param end: What ended it.
    :param last_ms: When its last line was written.
    :param events: Events of a whole one.
    :param event_ms: Time between two events of a whole one, on average.
    """

    request: str
    begun_ms: int
    end: End
    last_ms: int
    events: int
    event_ms: float


def streams_of(lines: Sequence[LogLine]) -> list[Stream]:
    """Return all streams in the order of their begin."""
    first_ms = min((line.wall_ms for line in lines), default=0)
    starts: dict[str, list[int]] = defaultdict(list)
    by_request: dict[str, list[LogLine]] = defaultdict(list)
    for line in sorted(lines, key=lambda one: one.wall_ms):
        if line.message == STARTED:
            starts[line.host].append(line.wall_ms)
        if line.request:
            by_request[line.request].append(line)
    streams = [
        _stream(request, own, starts, first_ms)
        for request, own in by_request.items()
        if any(line.message in BEGUN for line in own)
    ]
    return sorted(streams, key=lambda stream: stream.begun_ms)


def _stream(
    request: str, own: Sequence[LogLine], starts: dict[str, list[int]], first_ms: int
) -> Stream:
    whole = next((line for line in own if line.message == WHOLE), None)
    answering = [line for line in own if line.message == "An engine begins to answer."]
    events = 0 if whole is None else int(whole.fields["events"])
    took_ms = 0 if whole is None or not answering else whole.wall_ms - answering[0].wall_ms
    return Stream(
        request=request,
        begun_ms=own[0].wall_ms - first_ms,
        end=_end_of(own, starts),
        last_ms=own[-1].wall_ms - first_ms,
        events=events,
        event_ms=took_ms / max(events - 1, 1),
    )


def _end_of(own: Sequence[LogLine], starts: dict[str, list[int]]) -> End:
    messages = {line.message for line in own}
    if WHOLE in messages:
        return End.WHOLE
    if LEFT in messages:
        return End.CALLER_LEFT
    if "An engine has answered with a failure." in messages:
        return End.ENGINE_FAILED
    failed = next((line for line in own if line.message == FAILED), None)
    if failed is not None:
        is_cut = failed.fields.get("kind") in ("upstream-failed", "timed-out")
        return End.CUT if is_cut else End.REFUSED
    last = own[-1]
    if any(start >= last.wall_ms for start in starts[last.host]):
        return End.HOST_ENDED
    return End.UNKNOWN


def table_of(streams: Iterable[Stream]) -> list[str]:
    """Return the lines that are printed of one file."""
    known = list(streams)
    counts = Counter(stream.end for stream in known)
    lines = [f"{counts[end]:5}  {end.value}" for end in End if counts[end]]
    pace = [stream.event_ms for stream in known if stream.events >= LONG_EVENTS]
    if pace:
        lines.append(f"{mean(pace):5.1f}  ms between events of {len(pace)} long streams")
    lost = [one for one in known if one.end not in (End.WHOLE, End.HOST_ENDED)]
    for one in lost:
        at_s = one.begun_ms / MS_PER_SECOND
        lasted_s = (one.last_ms - one.begun_ms) / MS_PER_SECOND
        lines.append(f"  {one.request}  at {at_s:.1f} s for {lasted_s:.1f} s: {one.end.value}")
    return lines


def main(files: Sequence[str]) -> None:
    """Print a table for each log."""
    for file in files:
        text = Path(file).read_text(errors="replace")
        lines = [line for raw in text.splitlines() if (line := parse_line(raw)) is not None]
        print(file)
        print("\n".join(table_of(streams_of(lines))))


if __name__ == "__main__":
    main(sys.argv[1:])
