"""Accounts for the time of every stream in hosts' logs: who is late, who is refused, and why.

``python -m tools.late_streams FIRST_MS GAP_MS LOG...`` takes a stream as late whose first event
comes later than FIRST_MS after its request, or that has a pause of more than GAP_MS between two
events. The time before the first event is told as waiting for an engine and reading at the engine.
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

GIVEN: Final = "An engine is given."
WHOLE: Final = "A stream is whole."
WAITS: Final = "A generation waits."
REFUSED: Final = "A generation is refused."


@unique
class Cause(Enum):
    """What made a stream late."""

    WAITING = "waited for an engine"
    READING = "waited at its engine"
    PAUSE_OF_MOVE = "a pause, and it changed engines"
    PAUSE = "a pause at one engine"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamTime:
    """Where the time of one whole stream went.

    :param request: Its id.
    :param waited_ms: Time until it had an engine.
    :param first_ms: Time until its first event.
    :param gap_ms: Longest pause between two events.
    :param engines: How many engines ran it.
    :param reasons: Why it waited, in a few words each.
    """

    request: str
    waited_ms: int
    first_ms: int
    gap_ms: int
    engines: int
    reasons: tuple[str, ...]

    def cause(self, *, first_ms: int, gap_ms: int) -> Cause | None:
        """Return what made it late; ``None`` when it was in time.

        :param first_ms: When a first event is late.
        :param gap_ms: Longest pause that is in time.
        """
        if self.first_ms > first_ms:
            is_waiting = self.waited_ms > self.first_ms - self.waited_ms
            return Cause.WAITING if is_waiting else Cause.READING
        if self.gap_ms > gap_ms:
            return Cause.PAUSE_OF_MOVE if self.engines > 1 else Cause.PAUSE
        return None


def times_of(lines: Iterable[LogLine]) -> list[StreamTime]:
    """Return where the time of each whole stream went."""
    by_request: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if line.request:
            by_request[line.request].append(line)
    found = (_time_of(request, own) for request, own in by_request.items())
    return [one for one in found if one is not None]


def refusals_of(lines: Iterable[LogLine]) -> Counter[str]:
    """Return why generations were refused, and how many for each reason."""
    return Counter(
        str(line.fields["reason"])
        for line in lines
        if line.message == REFUSED and "engines" in line.fields
    )


def _time_of(request: str, own: Sequence[LogLine]) -> StreamTime | None:
    given = next((line for line in own if line.message == GIVEN), None)
    whole = next((line for line in own if line.message == WHOLE), None)
    if given is None or whole is None:
        return None
    reasons = {str(line.fields["reason"]) for line in own if line.message == WAITS}
    return StreamTime(
        request=request,
        waited_ms=int(given.fields["after_ms"]),
        first_ms=int(whole.fields["first_event_ms"]),
        gap_ms=int(whole.fields["longest_gap_ms"]),
        engines=int(whole.fields["engines"]),
        reasons=tuple(sorted(reasons)),
    )


def table_of(lines: Sequence[LogLine], *, first_ms: int, gap_ms: int) -> list[str]:
    """Return the lines that are printed of one log.

    :param lines: The log.
    :param first_ms: When a first event is late.
    :param gap_ms: Longest pause that is in time.
    """
    times = times_of(lines)
    causes = Counter(one.cause(first_ms=first_ms, gap_ms=gap_ms) for one in times)
    printed = [f"{len(times):5}  whole streams, {causes[None]} of them in time"]
    printed += [f"{causes[cause]:5}  late: {cause.value}" for cause in Cause if causes[cause]]
    printed += [f"{number:5}  refused: {why}" for why, number in refusals_of(lines).most_common()]
    waits = Counter(reason for one in times for reason in one.reasons)
    printed += [f"{number:5}  waited: {reason}" for reason, number in waits.most_common()]
    if times:
        waited = mean(one.waited_ms for one in times)
        read = mean(one.first_ms - one.waited_ms for one in times)
        printed.append(f"{waited:5.0f}  ms until an engine on average, {read:.0f} ms at it")
    return printed


def main(arguments: Sequence[str]) -> None:
    """Print a table for each log.

    :param arguments: When a first event and a pause are late, and the files.
    """
    first_ms, gap_ms, *files = arguments
    for file in files:
        text = Path(file).read_text(errors="replace")
        lines = [line for raw in text.splitlines() if (line := parse_line(raw)) is not None]
        print(file)
        print("\n".join(table_of(lines, first_ms=int(first_ms), gap_ms=int(gap_ms))))


if __name__ == "__main__":
    main(sys.argv[1:])
