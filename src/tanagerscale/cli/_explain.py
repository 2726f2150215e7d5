"""The ``explain`` command: the timeline of one request from the logs of all hosts."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from collections.abc import Set
from pathlib import Path
import sys
from typing import Any
from typing import Final

import msgspec
from msgspec import Struct

from tanagerscale.cli._exit import CommandError
from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._output import Output

STANDARD_INPUT: Final = "-"

CONTEXT_BEFORE_MS: Final = 3000
"""How long before a request's first line the host's other lines are included. An engine that leaves
announces it two seconds before it is gone."""

CONTEXT_AFTER_MS: Final = 1000
"""How long after a request's last line the host's other lines are included, for late notices."""

STATE_PARTS: Final = frozenset({"gate", "roster"})
"""Components that log what a host knows of the state of an upstream."""

UPSTREAM_FIELDS: Final = ("upstream", "source", "target", "holder", "peer")
STANDARD_FIELDS: Final = frozenset({"t", "wall", "host", "level", "part", "message", "request"})


class LogLine(Struct, frozen=True, kw_only=True):
    """One line of a host's log.

    :param wall_ms: Wall-clock time of the host, in milliseconds since 1970.
    :param monotonic_ms: Monotonic time of the host in milliseconds, which orders the lines of one
        process.
    :param host: Id of the host.
    :param part: Component that wrote the line.
    :param message: Description of the event.
    :param request: Id of the request that the line is about, or the empty string.
    :param fields: Other fields: the inputs of a decision and its outcome.
    """

    wall_ms: int
    monotonic_ms: int
    host: str
    part: str
    message: str
    request: str
    fields: dict[str, Any]

    @property
    def upstreams(self) -> set[str]:
        """Upstreams that the line names."""
        return {str(self.fields[name]) for name in UPSTREAM_FIELDS if self.fields.get(name)}

    @property
    def connection(self) -> tuple[str, int] | None:
        """The host and the number of the connection that the line names, if there is one."""
        number = self.fields.get("connection")
        return (self.host, number) if isinstance(number, int) else None


def run_explain(*, request: str, files: Sequence[str], output: Output) -> None:
    """Print what happened to a request and why.

    :param request: Id of the request.
    :param files: Log files of the hosts; a hyphen reads standard input.
    :param output: Output to print to.
    :raises CommandError: A file can't be read, or no line is about the request.
    """
    lines = [line for file in files for line in _read_lines(file)]
    timeline = explain(request=request, lines=lines)
    if not timeline:
        raise CommandError(
            code=ExitCode.REFUSED,
            message=f"No log line mentions {request}; pass the logs of all hosts for its time.",
        )
    begin = next(line.wall_ms for line in timeline if line.request == request)
    output.document([_to_document(line, begin, request) for line in timeline])
    rows = [
        (
            f"{line.wall_ms - begin:+d} ms",
            line.host,
            "request" if line.request == request else "host",
            f"{line.part}: {line.message}",
            _format_fields(line.fields),
        )
        for line in timeline
    ]
    output.table(columns=("time", "host", "about", "what", "inputs"), rows=rows)


def explain(*, request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the log lines that explain a request, in order of time.

    These are the request's own lines and the lines that its hosts logged from shortly before to
    shortly after it: about the configuration, the store and the upstreams it was sent to. What each
    host had last learned of those upstreams before is included however long ago that was, and so
    are the lines of other requests about a connection that the request's own lines name.

    :param request: Id of the request.
    :param lines: Log lines of all hosts.
    """
    all_lines = list(lines)
    own = [line for line in all_lines if line.request == request]
    if not own:
        return []
    hosts = {line.host for line in own}
    connections = {line.connection for line in own} - {None}
    upstreams = {upstream for line in own for upstream in line.upstreams}
    begin = min(line.wall_ms for line in own) - CONTEXT_BEFORE_MS
    end = max(line.wall_ms for line in own) + CONTEXT_AFTER_MS
    context = [
        line
        for line in all_lines
        if not line.request
        and line.host in hosts
        and begin <= line.wall_ms <= end
        and (not line.upstreams or line.upstreams & upstreams)
    ]
    shared = [
        line
        for line in all_lines
        if line.connection in connections and line.request not in ("", request)
    ]
    states = _find_earlier_states(all_lines, hosts, upstreams, before_ms=begin)
    return sorted(
        [*own, *context, *shared, *states],
        key=lambda line: (line.wall_ms, line.host, line.monotonic_ms),
    )


def _find_earlier_states(
    lines: Iterable[LogLine], hosts: Set[str], upstreams: Set[str], *, before_ms: int
) -> list[LogLine]:
    """Return the last line of each host about the state of each upstream before some time."""
    newest: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        is_state = line.part in STATE_PARTS and line.host in hosts and line.wall_ms < before_ms
        if not is_state or line.request:
            continue
        for upstream in line.upstreams & upstreams:
            known = newest.get((line.host, upstream))
            if known is None or known.monotonic_ms <= line.monotonic_ms:
                newest[line.host, upstream] = line
    return list(newest.values())


def parse_line(text: str) -> LogLine | None:
    """Parse a line of a log, or return ``None`` if it is not a JSON log line of a host.

    :param text: The line; any prefix that a log collector adds before the JSON is skipped.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:].strip())
    except msgspec.DecodeError:
        return None
    if not isinstance(fields, dict) or "message" not in fields or "wall" not in fields:
        return None
    return LogLine(
        wall_ms=int(fields["wall"]),
        monotonic_ms=int(fields.get("t", 0)),
        host=str(fields.get("host", "")),
        part=str(fields.get("part", "")),
        message=str(fields["message"]),
        request=str(fields.get("request", "")),
        fields={name: value for name, value in fields.items() if name not in STANDARD_FIELDS},
    )


def _read_lines(file: str) -> list[LogLine]:
    try:
        text = sys.stdin.read() if file == STANDARD_INPUT else Path(file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(
            code=ExitCode.BAD_INPUT,
            message=f"{file} can't be read ({error}); pass text files of log lines.",
        ) from error
    parsed = (parse_line(line) for line in text.splitlines())
    return [line for line in parsed if line is not None]


def _to_document(line: LogLine, begin: int, request: str) -> dict[str, Any]:
    return {
        "after_ms": line.wall_ms - begin,
        "host": line.host,
        "own": line.request == request,
        "part": line.part,
        "message": line.message,
        **line.fields,
    }


def _format_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={value}" for name, value in fields.items() if value is not None)
