"""Break down the latency of every stream in host logs, and count late and refused streams by cause.

``python -m tools.late_streams FIRST_MS GAP_MS LOG...`` counts a stream as late if its first event
comes more than FIRST_MS after its request, or if the gap between two events exceeds GAP_MS. The
time to the first event is split into the wait for an engine and the prefill at the engine.
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

ASSIGNED_MESSAGE: Final = "An engine is given."
COMPLETE_MESSAGE: Final = "A stream is whole."
WAITING_MESSAGE: Final = "A generation waits."
REFUSED_MESSAGE: Final = "A generation is refused."


@unique
class LateCause(Enum):
    """Why a stream is late."""

    WAITED_FOR_ENGINE = "waited for an engine"
    PREFILL = "waited at its engine"
    GAP_WITH_MOVE = "a pause, and it changed engines"
    GAP_WITHOUT_MOVE = "a pause at one engine"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamLatency:
    """Latency of one complete stream.

    :param request: Request id.
    :param waited_ms: Time from the request until an engine was assigned.
    :param first_ms: Time from the request to the first event.
    :param gap_ms: Longest time between two events.
    :param engines: Number of engines that ran it.
    :param reasons: Logged reasons for waiting, sorted, each of them once.
    """

    request: str
    waited_ms: int
    first_ms: int
    gap_ms: int
    engines: int
    reasons: tuple[str, ...]

    def cause(self, *, first_ms: int, gap_ms: int) -> LateCause | None:
        """Return why the stream is late, or ``None`` if it is in time.

        :param first_ms: Maximum time to the first event.
        :param gap_ms: Maximum time between two events.
        """
        if self.first_ms > first_ms:
            is_waiting = self.waited_ms > self.first_ms - self.waited_ms
            return LateCause.WAITED_FOR_ENGINE if is_waiting else LateCause.PREFILL
        if self.gap_ms > gap_ms:
            return LateCause.GAP_WITH_MOVE if self.engines > 1 else LateCause.GAP_WITHOUT_MOVE
        return None


def collect_latencies(lines: Iterable[LogLine]) -> list[StreamLatency]:
    """Return the latency of each complete stream."""
    by_request: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if line.request:
            by_request[line.request].append(line)
    latencies = (
        _build_latency(request, request_lines) for request, request_lines in by_request.items()
    )
    return [latency for latency in latencies if latency is not None]


def count_refusals(lines: Iterable[LogLine]) -> Counter[str]:
    """Return the number of refused generations by reason."""
    return Counter(
        str(line.fields["reason"])
        for line in lines
        if line.message == REFUSED_MESSAGE and "engines" in line.fields
    )


def _build_latency(request: str, request_lines: Sequence[LogLine]) -> StreamLatency | None:
    assigned = next((line for line in request_lines if line.message == ASSIGNED_MESSAGE), None)
    complete = next((line for line in request_lines if line.message == COMPLETE_MESSAGE), None)
    if assigned is None or complete is None:
        return None
    reasons = {
        str(line.fields["reason"]) for line in request_lines if line.message == WAITING_MESSAGE
    }
    return StreamLatency(
        request=request,
        waited_ms=int(assigned.fields["after_ms"]),
        first_ms=int(complete.fields["first_event_ms"]),
        gap_ms=int(complete.fields["longest_gap_ms"]),
        engines=int(complete.fields["engines"]),
        reasons=tuple(sorted(reasons)),
    )


def format_table(lines: Sequence[LogLine], *, first_ms: int, gap_ms: int) -> list[str]:
    """Return the lines of the table for one log.

    :param lines: Parsed lines of the log.
    :param first_ms: Maximum time to the first event.
    :param gap_ms: Maximum time between two events.
    """
    streams = collect_latencies(lines)
    causes = Counter(stream.cause(first_ms=first_ms, gap_ms=gap_ms) for stream in streams)
    table = [f"{len(streams):5}  whole streams, {causes[None]} of them in time"]
    table += [f"{causes[cause]:5}  late: {cause.value}" for cause in LateCause if causes[cause]]
    table += [
        f"{number:5}  refused: {reason}" for reason, number in count_refusals(lines).most_common()
    ]
    waits = Counter(reason for stream in streams for reason in stream.reasons)
    table += [f"{number:5}  waited: {reason}" for reason, number in waits.most_common()]
    if streams:
        waited = mean(stream.waited_ms for stream in streams)
        prefill = mean(stream.first_ms - stream.waited_ms for stream in streams)
        table.append(f"{waited:5.0f}  ms until an engine on average, {prefill:.0f} ms at it")
    return table


def main(arguments: Sequence[str]) -> None:
    """Print a table for each log file.

    :param arguments: Maximum time to the first event and between two events, both in
        milliseconds, then the log files.
    """
    first_ms, gap_ms, *files = arguments
    for file in files:
        text = Path(file).read_text(errors="replace")
        lines = [line for raw in text.splitlines() if (line := parse_line(raw)) is not None]
        print(file)
        print("\n".join(format_table(lines, first_ms=int(first_ms), gap_ms=int(gap_ms))))


if __name__ == "__main__":
    main(sys.argv[1:])
