"""The story of one request, put together from the logs of all hosts."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
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

BEFORE_MS: Final = 3000
"""How long before a request what a host came to believe is told with it; a notice of an engine's
leaving is two seconds old when the engine is gone."""

AFTER_MS: Final = 1000
"""How long after the last line of a request news that came too late are told with it."""

ENGINE_FIELDS: Final = ("upstream", "source", "target", "holder")
OWN_FIELDS: Final = frozenset({"t", "wall", "host", "level", "part", "message", "request"})


class LogLine(Struct, frozen=True, kw_only=True):
    """One line of a host's log.

    :param wall_ms: The host's wall clock.
    :param order_ms: The host's monotonic clock, which puts lines of one process in order.
    :param host: The host.
    :param part: The part that wrote it.
    :param message: What happened.
    :param request: The request it is about, or the empty string.
    :param inputs: What decided, and the outcome.
    """

    wall_ms: int
    order_ms: int
    host: str
    part: str
    message: str
    request: str
    inputs: dict[str, Any]

    @property
    def engines(self) -> set[str]:
        """Upstreams the line names."""
        return {str(self.inputs[name]) for name in ENGINE_FIELDS if self.inputs.get(name)}


def run_explain(*, request: str, files: Sequence[str], output: Output) -> None:
    """Print what became of a request and why.

    :param request: Its id.
    :param files: Log files of the hosts; a hyphen reads standard input.
    :param output: Where to.
    :raises CommandError: A file can't be read, or no line is about the request.
    """
    lines = [line for file in files for line in _read(file)]
    story = explain(request=request, lines=lines)
    if not story:
        raise CommandError(
            code=ExitCode.REFUSED,
            message=f"No line is about {request}; give the logs of all hosts of that time.",
        )
    begin = next(line.wall_ms for line in story if line.request == request)
    output.document([_to_document(line, begin, request) for line in story])
    rows = [
        (
            f"{line.wall_ms - begin:+d} ms",
            line.host,
            "request" if line.request == request else "host",
            f"{line.part}: {line.message}",
            _describe(line.inputs),
        )
        for line in story
    ]
    output.table(columns=("time", "host", "about", "what", "inputs"), rows=rows)


def explain(*, request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines that tell a request's story, in order.

    Besides the request's own lines these are what its host came to believe shortly before and
    during it: of the configuration, of the store, and of the upstreams it was sent to.

    :param request: Its id.
    :param lines: Lines of all hosts.
    """
    known = list(lines)
    own = [line for line in known if line.request == request]
    if not own:
        return []
    hosts = {line.host for line in own}
    engines = {engine for line in own for engine in line.engines}
    begin = min(line.wall_ms for line in own) - BEFORE_MS
    end = max(line.wall_ms for line in own) + AFTER_MS
    around = [
        line
        for line in known
        if not line.request
        and line.host in hosts
        and begin <= line.wall_ms <= end
        and (not line.engines or line.engines & engines)
    ]
    return sorted([*own, *around], key=lambda line: (line.wall_ms, line.host, line.order_ms))


def parse_line(text: str) -> LogLine | None:
    """Return a line of a log, or ``None`` for one that is no JSON of a host.

    :param text: The line; what a collector puts before the JSON is skipped.
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
        order_ms=int(fields.get("t", 0)),
        host=str(fields.get("host", "")),
        part=str(fields.get("part", "")),
        message=str(fields["message"]),
        request=str(fields.get("request", "")),
        inputs={name: value for name, value in fields.items() if name not in OWN_FIELDS},
    )


def _read(file: str) -> list[LogLine]:
    try:
        text = sys.stdin.read() if file == STANDARD_INPUT else Path(file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(
            code=ExitCode.BAD_INPUT,
            message=f"{file} can't be read ({error}); give files of log lines.",
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
        **line.inputs,
    }


def _describe(inputs: dict[str, Any]) -> str:
    return " ".join(f"{name}={value}" for name, value in inputs.items() if value is not None)
