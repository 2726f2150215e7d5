"""Records of a day under rolling stops: what engines, callers and host processes saw."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
import json
from typing import Any


@unique
class RunEnd(Enum):
    """How an upstream ended its work on a request."""

    NOT_EXECUTED = "not executed"
    WHOLE = "whole"
    LEFT = "its connection was closed"
    STOPPED = "stopped for a move"
    DEADLINE = "deadline at the engine"
    BROKE_OFF = "the engine ended"
    GARBAGE = "the engine sent wrong bytes"


@dataclass(slots=True, eq=False)
class Arrival:
    """A request at an upstream; all times are monotonic milliseconds.

    :param request: Id of the caller's request.
    :param upstream: Id of the upstream.
    :param host: Host that sent it.
    :param arrived: When it was read.
    :param is_continuation: Whether it goes on from the copy of a run.
    :param admitted: When the engine began to read its prompt or to process it.
    :param first_event: When its first event was generated here.
    :param last_event: When its last event was generated here.
    :param events: Number of the last event generated.
    :param pauses: Periods in which it was preempted; the end is ``None`` while one lasts.
    :param copies: When its memory was copied, to which engine, and with which status.
    :param finished: When the engine ended its work on it; ``None`` while it works.
    :param answered: When the whole answer had been handed to the socket.
    :param end: How it ended.
    """

    request: str
    upstream: str
    host: str
    arrived: float
    is_continuation: bool = False
    admitted: float | None = None
    first_event: float | None = None
    last_event: float | None = None
    events: int = 0
    pauses: list[list[float | None]] = field(default_factory=list)
    copies: list[str] = field(default_factory=list)
    finished: float | None = None
    answered: float | None = None
    end: RunEnd | None = None

    def begin_garbage(self, at: float) -> None:
        """Record that it was executed, and that wrong bytes are sent for its answer."""
        self.admitted = self.finished = at
        self.end = RunEnd.GARBAGE

    @property
    def executed(self) -> bool:
        """Whether the upstream began to work on it."""
        return self.admitted is not None

    def last_active(self, until: float) -> float | None:
        """Return the last moment up to a time at which it was being worked on.

        A request that waits or is preempted is not being worked on.
        """
        if self.admitted is None or self.admitted > until:
            return None
        ends = until if self.finished is None else min(until, self.finished)
        for began, ended in reversed(self.pauses):
            assert began is not None
            if began < ends and (ended is None or ended >= ends):
                ends = began
        return ends

    def active_periods(self, until: float) -> list[tuple[float, float]]:
        """Return the periods up to a time in which it was being worked on."""
        if self.admitted is None:
            return []
        ends = until if self.finished is None else min(until, self.finished)
        edges = [self.admitted]
        for began, ended in self.pauses:
            edges += [began or ends, ends if ended is None else ended]
        edges.append(ends)
        return [
            (began, min(ended, ends))
            for began, ended in zip(edges[::2], edges[1::2], strict=True)
            if began < min(ended, ends)
        ]


@dataclass(slots=True, eq=False)
class DayCall:
    """One request and what its caller saw; all times are monotonic milliseconds.

    :param request: Id of the request.
    :param kind: Name of its kind.
    :param client: Name of the client.
    :param host: Host to which it was sent.
    :param incarnation: Number of the host's process at that time.
    :param deadline_ms: How long the caller waits.
    :param timeout_ms: Time-out of the route.
    :param first_byte: When its first byte was sent.
    :param sent: When its last byte was sent; ``None`` if it wasn't sent whole.
    :param nth: Number of the request on its connection.
    :param details: How it was sent, such as in chunks.
    :param status: Status of the answer; 0 when there is none.
    :param headers: Header fields of the answer in lower case.
    :param received: Bytes of the body.
    :param last_read: When the last byte was read.
    :param ended: When the answer or the connection ended.
    :param is_complete: Whether the answer came to its proper end.
    :param close: How the connection ended, if it did: FIN, RST or by the caller.
    :param retries: Number of earlier attempts.
    :param is_slow: Whether its caller reads slowly.
    """

    request: str
    kind: str
    client: str
    host: str
    incarnation: int
    deadline_ms: int
    timeout_ms: int
    first_byte: float
    nth: int
    sent: float | None = None
    details: tuple[str, ...] = ()
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    received: bytearray = field(default_factory=bytearray)
    last_read: float = 0.0
    ended: float = 0.0
    is_complete: bool = False
    close: str = ""
    retries: int = 0
    is_slow: bool = False

    @property
    def is_open(self) -> bool:
        """Whether it has neither been answered nor ended."""
        return not self.ended


@dataclass(slots=True, eq=False)
class HostInstance:
    """One process of a host; all times are monotonic milliseconds.

    :param host: Name of the host.
    :param number: Number of the process, counted from 1.
    :param started: When it was started.
    :param ready: When it was first seen to be ready; ``None`` if it wasn't.
    :param terminated: When SIGTERM was sent; ``None`` if it wasn't.
    :param killed: Whether SIGKILL was sent, at the end of the grace period or without SIGTERM.
    :param ended: When it had ended.
    :param exit_code: Its exit code.
    :param lines: Lines of its log that were read.
    :param errors: Its standard error output.
    :param memory_mb: Memory above which it is killed, in units of 1,000,000 bytes; 0 for no limit.
    :param peak_mb: Its largest resident memory, in the same unit.
    :param is_over_limit: Whether it was killed as it exceeded that limit.
    :param reloads: When SIGHUP was sent.
    :param freezes: Periods in which it was frozen.
    """

    host: str
    number: int
    started: float
    ready: float | None = None
    terminated: float | None = None
    killed: bool = False
    ended: float | None = None
    exit_code: int | None = None
    lines: list[str] = field(default_factory=list)
    errors: str = ""
    memory_mb: float = 0.0
    peak_mb: float = 0.0
    is_over_limit: bool = False
    reloads: list[float] = field(default_factory=list)
    freezes: list[tuple[float, float]] = field(default_factory=list)

    @property
    def frozen_ms(self) -> float:
        """How long it was frozen; freezes may overlap."""
        frozen, at = 0.0, 0.0
        for began, ended in sorted(self.freezes):
            frozen += max(ended - max(began, at), 0.0)
            at = max(at, ended)
        return frozen

    @property
    def is_going(self) -> bool:
        """Whether it stops, was killed or has ended."""
        return self.terminated is not None or self.killed or self.ended is not None

    @property
    def name(self) -> str:
        """Name of the process."""
        return f"{self.host}#{self.number}"

    def parse_lines(self) -> list[dict[str, Any]]:
        """Return the lines of its log; one that can't be parsed is its own message."""
        parsed = []
        for text in self.lines:
            try:
                parsed.append({"t": 0, "message": "", **json.loads(text)})
            except ValueError:
                parsed.append({"t": 0, "message": f"not a line: {text}"})
        return parsed
