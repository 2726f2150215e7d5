"""Relay that accepts only the next tokens of the current attempt of a generation."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from enum import unique
from typing import final
from zlib import crc32

from tanagerscale.core import AttemptId
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import TokenEvent

WHOLE_REASONS = frozenset({FinishReason.STOP, FinishReason.LENGTH})


@unique
class RelayFault(Enum):
    """Why a batch of events was not accepted completely."""

    FOREIGN = "foreign"
    """An event names another attempt."""
    GAP = "gap"
    """Tokens are missing."""
    ENDED_BADLY = "ended-badly"
    """The engine reports that the generation ended before it was complete."""
    DIFFERS = "differs"
    """A replay differs from the delivered tokens."""


@final
class Relay:
    """Tracks the position in one generation across all its attempts.

    An attempt that starts after tokens were delivered is a replay: its tokens are compared with the
    delivered ones by a checksum and suppressed up to the delivered offset.

    :param offset: Number of tokens already delivered.
    :param checksum: Running CRC-32 of the text of these tokens.
    """

    def __init__(self, *, offset: int = 0, checksum: int = 0) -> None:
        self._attempt = AttemptId("")
        self._delivered = offset
        self._checksum = checksum
        self._next = offset
        self._replay_checksum = checksum
        self._finish: FinishReason | None = None

    @property
    def delivered(self) -> int:
        """Number of tokens delivered so far."""
        return self._delivered

    @property
    def checksum(self) -> int:
        """Running CRC-32 of the text of the delivered tokens."""
        return self._checksum

    @property
    def next_offset(self) -> int:
        """Offset of the next token expected from the current attempt."""
        return self._next

    @property
    def finish(self) -> FinishReason | None:
        """Why the generation ended; ``None`` until it is complete."""
        return self._finish

    def begin(self, *, attempt: AttemptId) -> None:
        """Accept only the tokens of an attempt, starting at its first token.

        :param attempt: Id of the new attempt.
        """
        self._attempt = attempt
        self._next = 0
        self._replay_checksum = 0

    def follow(self, *, attempt: AttemptId) -> None:
        """Accept only the tokens of an attempt, starting at the delivered offset.

        :param attempt: Id of the attempt that generated the delivered tokens.
        """
        self._attempt = attempt
        self._next = self._delivered
        self._replay_checksum = self._checksum

    def restart(self) -> None:
        """Reset the delivered position, so that another attempt may generate a different answer.

        Must be called only if no token has reached the client, which only the caller knows.
        """
        self._delivered = 0
        self._checksum = 0

    def accept(self, *, events: Sequence[TokenEvent]) -> tuple[list[str], RelayFault | None]:
        """Return the texts to deliver, and the fault of the first rejected event, if any.

        :param events: Events in the order of their arrival.
        :returns: Texts of new tokens in order, and the fault; on a fault the event that caused it
            and all later events are dropped.
        """
        texts: list[str] = []
        for event in events:
            if event.attempt_id != self._attempt:
                return texts, RelayFault.FOREIGN
            # Nearly every event is the next token; this branch handles it without a function call.
            if (
                event.offset == self._delivered
                and event.offset == self._next
                and event.finish_reason is None
            ):
                self._next = self._delivered = event.offset + 1
                self._checksum = self._replay_checksum = crc32(event.text.encode(), self._checksum)
                texts.append(event.text)
                continue
            if event.offset > self._next:
                return texts, RelayFault.GAP
            if event.finish_reason is not None:
                return texts, self._end(event)
            if event.offset < self._next:
                continue
            if not self._check_replayed(event.text):
                return texts, RelayFault.DIFFERS
        return texts, None

    def _end(self, event: TokenEvent) -> RelayFault | None:
        if event.finish_reason not in WHOLE_REASONS or event.offset < self._next:
            return RelayFault.ENDED_BADLY
        if self._next < self._delivered:
            return RelayFault.DIFFERS
        self._finish = event.finish_reason
        return None

    def _check_replayed(self, text: str) -> bool:
        """Skip a replayed token; return false if the replay differs from the delivered tokens."""
        self._next += 1
        self._replay_checksum = crc32(text.encode(), self._replay_checksum)
        return self._next < self._delivered or self._replay_checksum == self._checksum
