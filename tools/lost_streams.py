"""Classify every stream in host logs by how it ended, and compute the pace of complete streams.

``python -m tools.lost_streams LOG...`` prints one table for each file. A host that terminates
logs no final line for its streams; such a stream is recognized by a later start of the same host.
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

START_MESSAGES: Final = frozenset({"An engine is chosen.", "An engine begins to answer."})
COMPLETE_MESSAGE: Final = "A stream is whole."
FAILURE_MESSAGE: Final = "A request is answered with a failure."
CALLER_LEFT_MESSAGE: Final = "A caller has left."
HOST_START_MESSAGE: Final = "The host starts."

MIN_PACE_EVENTS: Final = 30
"""Streams with fewer events are left out of the mean pace: most of their time is prefill."""


@unique
class StreamEnd(Enum):
    """How a stream ended."""

    COMPLETE = "whole"
    REFUSED = "refused before it ran"
    INTERRUPTED = "broke off at its engine"
    CALLER_LEFT = "the caller left"
    HOST_TERMINATED = "its host ended"
    ENGINE_FAILED = "its engine answered with a failure"
    UNKNOWN = "no last line"


@dataclass(frozen=True, kw_only=True, slots=True)
class Stream:
    """One stream, reconstructed from log lines.

    :param request: Request id.
    :param started_ms: Time of its first line, in milliseconds after the first line of the log.
    :param end: How it ended.
    :param last_line_ms: Time of its last line, in milliseconds after the first line of the log.
    :param events: Number of events if the stream is complete, otherwise 0.
    :param mean_gap_ms: Mean time between two events if the stream is complete, otherwise 0.
    """

    request: str
    started_ms: int
    end: StreamEnd
    last_line_ms: int
    events: int
    mean_gap_ms: float


def collect_streams(lines: Sequence[LogLine]) -> list[Stream]:
    """Return all streams, ordered by start time."""
    first_ms = min((line.wall_ms for line in lines), default=0)
    host_starts: dict[str, list[int]] = defaultdict(list)
    by_request: dict[str, list[LogLine]] = defaultdict(list)
    for line in sorted(lines, key=lambda entry: entry.wall_ms):
        if line.message == HOST_START_MESSAGE:
            host_starts[line.host].append(line.wall_ms)
        if line.request:
            by_request[line.request].append(line)
    streams = [
        _build_stream(request, request_lines, host_starts, first_ms)
        for request, request_lines in by_request.items()
        if any(line.message in START_MESSAGES for line in request_lines)
    ]
    return sorted(streams, key=lambda stream: stream.started_ms)


def _build_stream(
    request: str, request_lines: Sequence[LogLine], host_starts: dict[str, list[int]], first_ms: int
) -> Stream:
    complete = next((line for line in request_lines if line.message == COMPLETE_MESSAGE), None)
    answer_lines = [line for line in request_lines if line.message == "An engine begins to answer."]
    events = 0 if complete is None else int(complete.fields["events"])
    duration_ms = (
        0 if complete is None or not answer_lines else complete.wall_ms - answer_lines[0].wall_ms
    )
    return Stream(
        request=request,
        started_ms=request_lines[0].wall_ms - first_ms,
        end=_classify_end(request_lines, host_starts),
        last_line_ms=request_lines[-1].wall_ms - first_ms,
        events=events,
        mean_gap_ms=duration_ms / max(events - 1, 1),
    )


def _classify_end(request_lines: Sequence[LogLine], host_starts: dict[str, list[int]]) -> StreamEnd:
    messages = {line.message for line in request_lines}
    if COMPLETE_MESSAGE in messages:
        return StreamEnd.COMPLETE
    if CALLER_LEFT_MESSAGE in messages:
        return StreamEnd.CALLER_LEFT
    if "An engine has answered with a failure." in messages:
        return StreamEnd.ENGINE_FAILED
    failed = next((line for line in request_lines if line.message == FAILURE_MESSAGE), None)
    if failed is not None:
        is_interrupted = failed.fields.get("kind") in ("upstream-failed", "timed-out")
        return StreamEnd.INTERRUPTED if is_interrupted else StreamEnd.REFUSED
    last = request_lines[-1]
    if any(start >= last.wall_ms for start in host_starts[last.host]):
        return StreamEnd.HOST_TERMINATED
    return StreamEnd.UNKNOWN


def format_table(streams: Iterable[Stream]) -> list[str]:
    """Return the lines of the table for one file."""
    all_streams = list(streams)
    counts = Counter(stream.end for stream in all_streams)
    lines = [f"{counts[end]:5}  {end.value}" for end in StreamEnd if counts[end]]
    gaps_ms = [stream.mean_gap_ms for stream in all_streams if stream.events >= MIN_PACE_EVENTS]
    if gaps_ms:
        lines.append(f"{mean(gaps_ms):5.1f}  ms between events of {len(gaps_ms)} long streams")
    lost = [
        stream
        for stream in all_streams
        if stream.end not in (StreamEnd.COMPLETE, StreamEnd.HOST_TERMINATED)
    ]
    for stream in lost:
        start_s = stream.started_ms / MS_PER_SECOND
        duration_s = (stream.last_line_ms - stream.started_ms) / MS_PER_SECOND
        lines.append(
            f"  {stream.request}  at {start_s:.1f} s for {duration_s:.1f} s: {stream.end.value}"
        )
    return lines


def main(files: Sequence[str]) -> None:
    """Print a table for each log file."""
    for file in files:
        text = Path(file).read_text(errors="replace")
        lines = [line for raw in text.splitlines() if (line := parse_line(raw)) is not None]
        print(file)
        print("\n".join(format_table(collect_streams(lines))))


if __name__ == "__main__":
    main(sys.argv[1:])
