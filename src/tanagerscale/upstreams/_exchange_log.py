"""Counts and logs which answers exchanges on kept connections took, and what they skipped."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from enum import unique
from itertools import count
from typing import final

from msgspec import Struct

from tanagerscale.core import get_logger

_log = get_logger(part="exchanges")

_numbers = count(1)


@unique
class ExchangeKind(Enum):
    """What a host asks of another process."""

    REQUEST = "request"
    """A caller's request, plain or a generation."""
    COPY = "copy"
    """An order to copy a run to another engine."""
    FREED_COPY = "freed-copy"
    REPORT = "report"
    PROBE = "probe"
    STORE_CALL = "store-call"
    DELEGATED = "delegated"
    """A caller's request that another host serves."""


@unique
class AnswerId(Enum):
    """Whose id an answer bears."""

    OWN = "own"
    """The id of its exchange, or none if the exchange has none."""
    MISSING = "missing"
    """None, though the exchange has one."""
    OTHER = "other"
    """The id of another exchange."""


class ExchangeLabel(Struct, frozen=True, kw_only=True):
    """Names an exchange in logs.

    :param kind: What is asked.
    :param peer: Name of the upstream, or address of the host or the store.
    :param request: The request that it is about; empty if there is none.
    """

    kind: ExchangeKind
    peer: str
    request: str = ""


@final
class ConnectionHistory:
    """What a connection has carried."""

    def __init__(self) -> None:
        self.number = next(_numbers)
        """Number of the connection in this process, for logs."""
        self.exchanges = 0
        self.current: ExchangeLabel | None = None
        self.previous: ExchangeLabel | None = None
        self.has_foreign_answers = False
        """Whether a foreign answer has come."""
        self.ids: set[str] = set()
        """Ids of the exchanges, which may be answered again later."""
        self.is_last = False
        """Whether the connection must carry no further exchange."""

    def begin(self, label: ExchangeLabel) -> None:
        """Record that an exchange begins on the connection."""
        self.exchanges += 1
        self.previous, self.current = self.current, label


@final
class ExchangeLog:
    """Counts the exchanges of a host with other processes, and logs foreign answers.

    A foreign answer is one of another exchange, or one that may be of another.
    """

    def __init__(self) -> None:
        self.begun: Counter[tuple[ExchangeKind, bool]] = Counter()
        """Exchanges by kind and whether their connection had carried another one before."""
        self.answers: Counter[tuple[ExchangeKind, AnswerId, bool]] = Counter()
        """Answers by the kind of exchange, whose id they bear, and whether they were taken."""
        self.returned: Counter[bool] = Counter()
        """Connections on which a foreign answer came, by whether they were kept."""

    def record_begin(self, history: ConnectionHistory, label: ExchangeLabel) -> None:
        """Record that an exchange begins on a connection."""
        self.begun[label.kind, history.exchanges > 0] += 1
        history.begin(label)

    def record_answer(
        self, history: ConnectionHistory, *, answer_id: AnswerId, bears: str, is_taken: bool
    ) -> None:
        """Record an answer that came on a connection.

        :param history: What the connection has carried.
        :param answer_id: Whose id the answer bears.
        :param bears: The id that it bears; empty if there is none.
        :param is_taken: Whether the exchange takes it for its own.
        """
        current = history.current
        assert current is not None
        self.answers[current.kind, answer_id, is_taken] += 1
        is_first = history.exchanges == 1
        if answer_id is AnswerId.OWN or (answer_id is AnswerId.MISSING and is_first):
            return
        history.has_foreign_answers = True
        previous = history.previous
        _log.info(
            (
                "An answer bears no id."
                if answer_id is AnswerId.MISSING
                else "An answer bears the id of another exchange."
            ),
            request=current.request,
            peer=current.peer,
            kind=current.kind.value,
            answer_request=bears,
            taken=is_taken,
            connection=history.number,
            exchange=history.exchanges,
            previous_kind=None if previous is None else previous.kind.value,
            previous_request=None if previous is None else previous.request,
        )

    def record_end(self, history: ConnectionHistory, *, is_kept: bool) -> None:
        """Record whether a connection is kept after an exchange."""
        current = history.current
        if not history.has_foreign_answers or current is None:
            return
        self.returned[is_kept] += 1
        _log.info(
            (
                "A connection with an answer of another exchange is kept."
                if is_kept
                else "A connection with an answer of another exchange is closed."
            ),
            request=current.request,
            peer=current.peer,
            kind=current.kind.value,
            connection=history.number,
        )
