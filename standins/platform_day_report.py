"""Tables of a day's verdict: near misses first, and the whole trace of each answer cut short."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final

from standins.platform_day_records import Arrival
from standins.platform_day_records import DayCall
from standins.platform_day_records import HostInstance
from standins.platform_day_records import RunEnd
from standins.platform_day_verdict import DayVerdict
from standins.platform_day_verdict import Finding

TOP_ROWS: Final = 12
END_MS: Final = 667.0
"""Time from the beginning of the last sixth of the grace period to the end of a host."""
DEFAULT_FIELDS: Final = frozenset(("t", "wall", "host", "level", "part", "message", "request"))


def format_table(findings: Sequence[Finding], *, rows: int = TOP_ROWS) -> list[str]:
    """Return one line for each of the first findings.

    :param findings: Findings, the worst first.
    :param rows: Greatest number of lines.
    """
    return [_format_row(finding) for finding in findings[:rows]]


def _format_row(finding: Finding) -> str:
    call, instance = finding.call, finding.instance
    zero = call.first_byte if instance is None else instance.terminated or 0.0
    excuses = ", ".join(f"{name} by {margin:.0f} ms" for name, margin in finding.excuses.items())
    misses = ", ".join(f"{name} missed by {-one:.0f} ms" for name, one in finding.misses.items())
    verdict = "LOST" if finding.is_lost else excuses or "away from stops"
    idle = f", idle for {finding.idle_ms:.0f} ms of the last sixth" if finding.idle_ms >= 1 else ""
    killed = ", its process by SIGKILL" if instance is not None and instance.killed else ""
    named = "no line" if not finding.lines else f"{len(finding.lines)} lines"
    sent = "not whole" if call.sent is None else f"{call.sent - zero:+.0f}"
    upstreams = "; ".join(_format_arrival(arrival, zero) for arrival in finding.arrivals)
    ways = "".join(f", {way}" for way in call.details)
    return (
        f"{verdict}{idle}{f' [{misses}]' if misses else ''} | {call.request} {call.kind} at "
        f"{call.host}#{call.incarnation}, {call.nth}. on its connection{ways} | sent {sent}, "
        f"ended {call.ended - zero:+.0f} by {call.close}{killed}, status {call.status}, "
        f"{len(call.received)} bytes | {upstreams}"
        f" | {named}, outcome {finding.outcome or 'NOT NAMED'}"
        f"{f' ({finding.phase})' if finding.phase else ''}"
    )


def _format_arrival(arrival: Arrival, zero: float) -> str:
    def at(moment: float | None) -> str:
        return "-" if moment is None else f"{moment - zero:+.0f}"

    pauses = "".join(f" preempted {at(began)}..{at(ended)}" for began, ended in arrival.pauses)
    copies = "".join(f" [{copy}]" for copy in arrival.copies)
    return (
        f"{arrival.upstream} {'resumed ' if arrival.is_continuation else ''}arrived "
        f"{at(arrival.arrived)} first {at(arrival.first_event)} last {at(arrival.last_event)} "
        f"event {arrival.events}{pauses}{copies} ended {at(arrival.finished)}: "
        f"{'at work' if arrival.end is None else arrival.end.value}"
    )


def format_trace(finding: Finding) -> list[str]:
    """Return all that is known of an answer, with times on the common monotonic clock."""
    rows = [_format_row(finding)]
    call = finding.call
    rows.append(
        f"    caller: first byte {call.first_byte:.0f}, last byte {call.sent or 0:.0f}, last read "
        f"{call.last_read:.0f}, ended {call.ended:.0f} by {call.close}, headers {call.headers}"
    )
    rows += [f"    upstream: {_format_arrival(arrival, 0.0)}" for arrival in finding.arrivals]
    for line in finding.lines:
        values = {key: one for key, one in line.values.items() if key not in DEFAULT_FIELDS}
        rows.append(f"    {line.process} {line.at:.0f} {line.values.get('message')} {values}")
    return rows


def format_arrivals(arrivals: Mapping[str, Sequence[Arrival]]) -> list[str]:
    """Return one line for each request at each upstream."""
    return [
        f"{arrival.request} from {arrival.host} {_format_arrival(arrival, 0.0)}"
        for own in arrivals.values()
        for arrival in own
    ]


def format_instances(instances: Sequence[HostInstance], began: float) -> list[str]:
    """Return one line for each process: its times, its exit code and its last line."""
    rows = []
    for instance in sorted(instances, key=lambda one: one.started):
        stop = ""
        if instance.terminated is not None and instance.ended is not None:
            stop = (
                f", SIGTERM {instance.terminated - began:.0f} (aged "
                f"{instance.terminated - instance.started:.0f}), ended "
                f"{instance.ended - instance.terminated:.0f} later"
            )
        last = instance.lines[-1][:300] if instance.lines else "no line"
        errors = f", stderr: {instance.errors[-500:]}" if instance.errors else ""
        rows.append(
            f"{instance.name}: started {instance.started - began:.0f}{stop}, exit code "
            f"{instance.exit_code}{', SIGKILL' if instance.killed else ''}, "
            f"{len(instance.lines)} lines, the last {last}{errors}"
        )
    return rows


def describe_stops(instances: Sequence[HostInstance]) -> list[str]:
    """Return how late processes noticed SIGTERM, said that they had ended, and were gone."""
    noticed: list[tuple[float, str]] = []
    said: list[tuple[float, str]] = []
    gone: list[tuple[float, str]] = []
    silent: list[str] = []
    unsaid: list[str] = []
    for instance in instances:
        if instance.terminated is None or instance.ended is None:
            continue
        times = {line["message"]: float(line["t"]) for line in instance.parse_lines()}
        for message, delays, missing in (
            ("The host stops.", noticed, silent),
            ("The host has ended.", said, unsaid),
        ):
            if message in times:
                delays.append((times[message] - instance.terminated, instance.name))
            else:
                missing.append(instance.name)
        gone.append((instance.ended - instance.terminated, instance.name))
    names = {"SIGTERM noticed": noticed, "said that it has ended": said, "process gone": gone}
    rows = [
        f"latest, {name}: {max(delays)[0]:.0f} ms after SIGTERM ({max(delays)[1]})"
        for name, delays in names.items()
        if delays
    ]
    return [*rows, f"without a line at SIGTERM: {silent}, without one at the end: {unsaid}"]


def describe_idle_periods(arrivals: Mapping[str, Sequence[Arrival]]) -> list[str]:
    """Return how long streams that had begun were preempted, or between two engines."""
    between = []
    for request, own in arrivals.items():
        ordered = sorted(own, key=lambda arrival: arrival.arrived)
        for position, earlier in enumerate(ordered):
            later = [one for one in ordered[position + 1 :] if one.first_event is not None]
            if earlier.end is RunEnd.STOPPED and earlier.finished is not None:
                resumed = min((one.first_event or 0.0 for one in later), default=None)
                if resumed is not None:
                    between.append((resumed - earlier.finished, request))
    preempted = [
        (ended - began, request)
        for request, own in arrivals.items()
        for arrival in own
        for began, ended in arrival.pauses
        if began is not None and ended is not None and arrival.first_event is not None
    ]
    return [
        _describe_periods("between engines", between),
        _describe_periods("preempted", preempted),
    ]


def _describe_periods(name: str, periods: list[tuple[float, str]]) -> str:
    longest = sorted(periods, reverse=True)[:3]
    number = sum(length >= END_MS for length, _ in periods)
    texts = ", ".join(f"{length:.0f} ms ({request})" for length, request in longest)
    return f"{name}: {len(periods)} times, {number} for {END_MS:.0f} ms or more; longest {texts}"


def summarize(verdict: DayVerdict, calls: Sequence[DayCall]) -> list[str]:
    """Return the figures of a day."""
    rows = []
    for kind in sorted({call.kind for call in calls}):
        own = [call for call in calls if call.kind == kind]
        statuses = Counter(call.status if call.is_complete else call.close for call in own)
        rows.append(f"{kind}: {len(own)} sent, {dict(statuses)}")
    best = Counter(_best_excuse(finding) for finding in verdict.around_stops)
    rows.append(f"not whole around stops: {len(verdict.around_stops)}, {dict(best)}")
    for excuse in sorted(best):
        own_margins = [
            finding.margin for finding in verdict.around_stops if _best_excuse(finding) == excuse
        ]
        rows.append(f"smallest margin, {excuse}: {min(own_margins):.0f} ms")
    idle = sorted((finding.idle_ms for finding in verdict.around_stops), reverse=True)
    rows.append(
        f"idle in the last sixth: {sum(one >= 1 for one in idle)}, the longest "
        f"{', '.join(f'{one:.0f}' for one in idle[:5])} ms"
    )
    silent = [finding for finding in verdict.around_stops if not finding.outcome]
    passed = [finding for finding in silent if finding.arrivals]
    rows.append(
        f"without a line that says how they ended: {len(silent)}, of them passed on {len(passed)}"
    )
    rows.append(f"not whole elsewhere: {len(verdict.elsewhere)}")
    total = sum(verdict.lines_left_out.values())
    rows.append(f"lines left out: {total} {verdict.lines_left_out or ''}")
    return rows


def _best_excuse(finding: Finding) -> str:
    if not finding.excuses:
        return "LOST"
    return max(finding.excuses, key=lambda name: finding.excuses[name])
