"""Verdict on the answers of a day that ended early around planned stops, with the margin of each.

An answer that ends early around a SIGTERM of its host is lost, unless its upstream broke off, its
deadline or time-out had passed, or the upstream was still at work on it in the last sixth of the
grace period and it had been sent up to three seconds after the SIGTERM.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Final

from standins.order_rule import find_broken_order
from standins.platform_day_connections import BY_CALLER
from standins.platform_day_ledger import event_bytes
from standins.platform_day_ledger import plain_body
from standins.platform_day_records import Arrival
from standins.platform_day_records import DayCall
from standins.platform_day_records import HostInstance
from standins.platform_day_records import RunEnd

GRACE_MS: Final = 8_000.0
LAST_SIXTH_MS: Final = GRACE_MS * 5 / 6
AFTER_GRACE_MS: Final = 1_000.0
EARLY_MS: Final = 3_000.0
"""How long after a SIGTERM a request may be sent that is cut at the end of the grace period."""
CROSSING_MS: Final = 200.0
OK: Final = 200
OUTCOMES: Final = {
    "A response is cut because the host ends.": "cut at the end",
    "A caller has left.": "caller left",
    "A request is answered with a failure.": "failure",
    "A caller has not read its response as the host ends.": "unread",
}
"""Messages of hosts that say how a request has ended."""


@dataclass(frozen=True, slots=True)
class Line:
    """A line of a host's log.

    :param process: Name of the process.
    :param at: Monotonic time in milliseconds.
    :param values: Its fields.
    """

    process: str
    at: float
    values: Mapping[str, Any]

    @property
    def outcome(self) -> str:
        """How the request that it names has ended; empty if it does not say."""
        return OUTCOMES.get(str(self.values.get("message")), "")


@dataclass(slots=True, eq=False)
class Finding:
    """An answer that wasn't whole.

    :param call: The request.
    :param arrivals: What upstreams recorded of it.
    :param instance: Process of its host that got SIGTERM; ``None`` away from planned stops.
    :param excuses: Margin of each excuse that holds, in milliseconds.
    :param misses: By how much each other excuse does not hold, in milliseconds.
    :param lines: Lines of hosts that name it.
    """

    call: DayCall
    arrivals: Sequence[Arrival]
    instance: HostInstance | None
    excuses: dict[str, float] = field(default_factory=dict)
    misses: dict[str, float] = field(default_factory=dict)
    lines: list[Line] = field(default_factory=list)

    @property
    def ended(self) -> float:
        """When its host ended it, at the latest as the process did; a slow caller reads on."""
        times = [line.at for line in self.lines if line.outcome]
        if self.instance is not None and self.instance.ended is not None:
            times.append(self.instance.ended)
        return min([self.call.ended, *times])

    @property
    def idle_ms(self) -> float:
        """Part of the last sixth of the grace period in which no upstream worked on it."""
        if self.instance is None or self.instance.terminated is None:
            return 0.0
        began, ended = self.instance.terminated + LAST_SIXTH_MS, self.ended
        periods = [one for arrival in self.arrivals for one in arrival.active_periods(ended)]
        idle, at = 0.0, began
        for start, end in sorted(periods):
            idle += max(start - at, 0.0)
            at = max(at, end)
        return idle + max(ended - at, 0.0)

    @property
    def is_lost(self) -> bool:
        """Whether nothing excuses it."""
        return self.instance is not None and not self.excuses

    @property
    def margin(self) -> float:
        """Margin of the excuse that holds best; negative if none does."""
        if self.excuses:
            return max(self.excuses.values())
        return max(self.misses.values(), default=-GRACE_MS)

    @property
    def outcome(self) -> str:
        """How it ended by its host's log; empty if no line says."""
        return next((line.outcome for line in reversed(self.lines) if line.outcome), "")

    @property
    def phase(self) -> str:
        """Phase in the line that says how it ended."""
        lines = [str(line.values.get("phase", "")) for line in self.lines if line.outcome]
        return lines[-1] if lines else ""


@dataclass(slots=True)
class DayVerdict:
    """Findings of a day.

    :param around_stops: Answers that ended early around a SIGTERM of their host, worst first.
    :param elsewhere: Other answers that ended early.
    :param wrong: Descriptions of answers with wrong content and of repeated executions.
    :param lines_left_out: Lines that hosts report as dropped, by process.
    """

    around_stops: list[Finding]
    elsewhere: list[Finding]
    wrong: list[str]
    lines_left_out: dict[str, int]

    @property
    def lost(self) -> list[Finding]:
        """Answers that were lost."""
        return [finding for finding in self.around_stops if finding.is_lost]


def judge(
    calls: Sequence[DayCall],
    arrivals: Mapping[str, Sequence[Arrival]],
    instances: Sequence[HostInstance],
    lengths: Mapping[str, int],
) -> DayVerdict:
    """Return the findings of a day.

    :param calls: All requests.
    :param arrivals: What upstreams recorded, by request.
    :param instances: All processes of hosts.
    :param lengths: Number of events of each stream, by request.
    """
    lines = _read_lines(instances)
    by_request: dict[str, list[Line]] = {}
    for line in lines:
        by_request.setdefault(str(line.values.get("request")), []).append(line)
    around: list[Finding] = []
    elsewhere: list[Finding] = []
    for call in calls:
        if call.is_complete or call.close == BY_CALLER:
            continue
        finding = Finding(call, arrivals.get(call.request, ()), _find_stop(call, instances))
        finding.lines = by_request.get(call.request, [])
        if _has_ended_before_stop(finding):
            finding.instance = None
        _examine(finding)
        (elsewhere if finding.instance is None else around).append(finding)
    around.sort(key=_nearness)
    left_out: dict[str, int] = {}
    for line in lines:
        number = int(line.values.get("lines_left_out", 0))
        left_out[line.process] = left_out.get(line.process, 0) + number
    return DayVerdict(
        around_stops=around,
        elsewhere=elsewhere,
        wrong=_find_wrong(calls, arrivals, lengths),
        lines_left_out={name: number for name, number in left_out.items() if number},
    )


def _nearness(finding: Finding) -> tuple[bool, bool, float, float]:
    """Return a key by which losses come first, then what no line explains, then idle streams."""
    is_silent = bool(finding.arrivals) and not finding.outcome
    return not finding.is_lost, not is_silent, -finding.idle_ms, finding.margin


def _examine(finding: Finding) -> None:
    """Find what excuses the end of an answer around a SIGTERM."""
    call, arrivals = finding.call, finding.arrivals
    if finding.instance is None:
        return
    terminated = finding.instance.terminated
    assert terminated is not None
    ended = finding.ended
    margins = {"deadline": ended - call.first_byte - min(call.deadline_ms, call.timeout_ms)}
    if call.sent is None:
        finding.excuses["not sent whole"] = GRACE_MS
    elif not any(arrival.executed for arrival in arrivals):
        margins["crossed the close"] = CROSSING_MS - (ended - call.sent)
    for arrival in arrivals:
        if arrival.end in (RunEnd.BROKE_OFF, RunEnd.DEADLINE, RunEnd.GARBAGE):
            finding.excuses[arrival.end.value] = GRACE_MS
    freezes = finding.instance.freezes
    if any(began <= ended and call.first_byte <= until for began, until in freezes):
        finding.excuses["its host was frozen"] = GRACE_MS
    active = [arrival.last_active(ended) for arrival in arrivals]
    last_active = max((one for one in active if one is not None), default=None)
    if last_active is not None and call.sent is not None:
        early = terminated + EARLY_MS - call.sent
        margins["last sixth"] = min(last_active - terminated - LAST_SIXTH_MS, early)
    for name, margin in margins.items():
        (finding.excuses if margin >= 0 else finding.misses)[name] = margin


def _has_ended_before_stop(finding: Finding) -> bool:
    """Return whether a host had ended an answer before its SIGTERM, and its caller read on."""
    terminated = None if finding.instance is None else finding.instance.terminated
    return terminated is not None and finding.ended < terminated


def _find_stop(call: DayCall, instances: Sequence[HostInstance]) -> HostInstance | None:
    """Return the process that answered a request, if it ended around its SIGTERM."""
    for instance in instances:
        if (instance.host, instance.number) != (call.host, call.incarnation):
            continue
        terminated = instance.terminated
        if terminated is None or call.ended < terminated:
            return None
        is_gone = instance.ended is not None and instance.ended <= call.ended
        return instance if is_gone or call.ended <= _window_end(terminated) else None
    return None


def _window_end(terminated: float) -> float:
    return terminated + GRACE_MS + AFTER_GRACE_MS


def _find_wrong(
    calls: Sequence[DayCall],
    arrivals: Mapping[str, Sequence[Arrival]],
    lengths: Mapping[str, int],
) -> list[str]:
    wrong = []
    for call in calls:
        own = arrivals.get(call.request, ())
        runs = [one for one in own if one.executed and not one.is_continuation]
        if len(runs) > 1 and call.kind != "view":
            wrong.append(f"TWICE: {call.request} was executed {len(runs)} times")
        if call.is_complete and call.status in (429, 503) and runs:
            wrong.append(f"REFUSED: {call.request} was executed and answered with {call.status}")
        if order := _find_broken_order(call, lengths):
            wrong.append(f"ORDER: {call.request}: {order}")
        elif call.is_complete and call.status == OK and not _is_right(call, lengths):
            wrong.append(f"MIXED: {call.request} has a wrong body of {len(call.received)} bytes")
    known = {call.request for call in calls}
    return wrong + [f"UNKNOWN: {request}" for request in arrivals if request not in known]


def _find_broken_order(call: DayCall, lengths: Mapping[str, int]) -> str:
    if call.request not in lengths or call.status != OK:
        return ""
    events = lengths[call.request]
    return find_broken_order(bytes(call.received), events=events, is_complete=call.is_complete)


def _is_right(call: DayCall, lengths: Mapping[str, int]) -> bool:
    if call.request not in lengths:
        return bytes(call.received) == plain_body(call.request)
    events = range(1, lengths[call.request] + 1)
    return bytes(call.received) == b"".join(event_bytes(call.request, one) for one in events)


def _read_lines(instances: Sequence[HostInstance]) -> list[Line]:
    return [
        Line(instance.name, float(values["t"]), values)
        for instance in instances
        for values in instance.parse_lines()
    ]
