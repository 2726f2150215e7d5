"""The relay: accepts only the next tokens of the one current attempt."""

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
    """Why a batch was not taken to its end."""

    FOREIGN = "foreign"
    """An event names another attempt."""
    GAP = "gap"
    """Tokens are missing."""
    ENDED_BADLY = "ended-badly"
    """The engine says that the generation ended without being whole."""
    DIFFERS = "differs"
    """A replay differs from what was delivered."""


@final
class Relay:
    """Position in one generation, through all the attempts that make it.

    A second attempt after delivery began is a replay: its tokens are held against the delivered
    ones by a checksum and suppressed up to the delivered offset.
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
        """Tokens handed on so far."""
        return self._delivered

    @property
    def checksum(self) -> int:
        """Running checksum of the tokens handed on."""
        return self._checksum

    @property
    def next_offset(self) -> int:
        """Offset of the token that the current attempt is to send next."""
        return self._next

    @property
    def finish(self) -> FinishReason | None:
        """Why the generation ended, once it is whole."""
        return self._finish

    def begin(self, *, attempt: AttemptId) -> None:
        """Make an attempt the only one whose tokens count, from its first token on.

        :param attempt: The new attempt.
        """
        self._attempt = attempt
        self._next = 0
        self._replay_checksum = 0

    def follow(self, *, attempt: AttemptId) -> None:
        """Make an attempt the only one whose tokens count, from the delivered offset on.

        :param attempt: The attempt that made the delivered tokens.
        """
        self._attempt = attempt
        self._next = self._delivered
        self._replay_checksum = self._checksum

    def restart(self) -> None:
        """Forget undelivered tokens, so that another attempt may make them anew.

        Only the caller knows that nothing has reached its reader; it then calls this.
        """
        self._delivered = 0
        self._checksum = 0

    def accept(self, *, events: Sequence[TokenEvent]) -> tuple[list[str], RelayFault | None]:
        """Return the texts to hand on, and what was wrong with the rest.

        :param events: Events in the order of their arrival.
        :returns: New tokens in order; a fault means that the events from it on were dropped.
        """
        texts: list[str] = []
        for event in events:
            if event.attempt_id != self._attempt:
                return texts, RelayFault.FOREIGN
            # Nearly every event is the next token; this branch takes it without a call.
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
            if not self._suppress(event.text):
                return texts, RelayFault.DIFFERS
        return texts, None

    def _end(self, event: TokenEvent) -> RelayFault | None:
        if event.finish_reason not in WHOLE_REASONS or event.offset < self._next:
            return RelayFault.ENDED_BADLY
        if self._next < self._delivered:
            return RelayFault.DIFFERS
        self._finish = event.finish_reason
        return None

    def _suppress(self, text: str) -> bool:
        """Pass over a delivered token that a replay makes again; false when it differs."""
        self._next += 1
        self._replay_checksum = crc32(text.encode(), self._replay_checksum)
        return self._next < self._delivered or self._replay_checksum == self._checksum
