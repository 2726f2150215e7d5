"""Rules that tell from crashes which request causes them; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import hashlib
from itertools import combinations
from typing import Final
from typing import NewType
from typing import final

from msgspec import Struct
from msgspec.structs import replace

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId

Fingerprint = NewType("Fingerprint", str)
"""Names all copies of one request of one client account."""

FINGERPRINT_BYTES: Final = 16
CRASHES_TO_CONVICT: Final = 2
"""Crashes at about the same token that convict a request."""

MOST_CRASHES: Final = 3
"""Crashes that convict a request wherever in its answer they came."""

UNKNOWN_TOKENS: Final = -1

NEAR_TOKENS: Final = 16
NEAR_PART: Final = 0.1
"""Two crashes are alike when the answers' lengths differ by no more than these."""

MERGE_MS: Final = 10_000
"""Hosts see one crash at different times; two of one engine within this time are the same one. A
suspect stays away from the engine for as long, so that its own next crash is told apart."""

SETTLE_MS: Final = 50
"""Delay between announcing and starting a suspect's run; far longer than a message takes."""

MAX_SETTLE_MS: Final = 2 * SETTLE_MS
"""After a longer delay the run is not admitted: the host stalled, so its state is stale."""

SEPARATOR: Final = "@"
MAX_CRASHES: Final = 8
MAX_CRASH_CHARS: Final = 512


def fingerprint_of(*, key: bytes, account: ClientAccountId, body: bytes) -> Fingerprint:
    """Return a request's fingerprint, from which the request can't be guessed.

    :param key: Secret that all hosts share, at most 64 bytes.
    :param account: Client account that sent it.
    :param body: All of the body that decides what the engine runs.
    """
    digest = hashlib.blake2b(key=key, digest_size=FINGERPRINT_BYTES)
    name = account.encode()
    digest.update(len(name).to_bytes(4, "big"))
    digest.update(name)
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class Crash(Struct, frozen=True, kw_only=True):
    """The death of an engine, as one host saw it.

    :param engine: The engine.
    :param wall_ms: When, in milliseconds since 1970.
    :param tokens: How far the suspect's answer was then; ``UNKNOWN_TOKENS`` at hosts that did
        not run it.
    """

    engine: UpstreamId
    wall_ms: int
    tokens: int = UNKNOWN_TOKENS

    @property
    def id(self) -> str:
        """Its form in messages."""
        return SEPARATOR.join((self.engine, str(self.wall_ms), str(self.tokens)))

    def like(self, other: Crash) -> bool:
        """Tell whether a suspect crashed two engines at about the same token.

        The same request makes the same tokens with the same seed, so one that crashes engines
        does so at the same place; one that only was there when engines died does not.
        """
        if UNKNOWN_TOKENS in (self.tokens, other.tokens):
            return False
        near = max(NEAR_TOKENS, NEAR_PART * max(self.tokens, other.tokens))
        return abs(self.tokens - other.tokens) <= near

    def same(self, other: Crash) -> bool:
        """Tell whether two hosts mean the same death."""
        close = abs(self.wall_ms - other.wall_ms) <= MERGE_MS
        return self.engine == other.engine and close


def parse_crash(text: str) -> Crash | None:
    """Read a crash from a message; ``None`` when it is malformed."""
    parts = text.rsplit(SEPARATOR, 2)
    if len(parts) != 3 or not parts[0] or len(text) > MAX_CRASH_CHARS:
        return None
    try:
        wall_ms, tokens = int(parts[1]), int(parts[2])
    except ValueError:
        return None
    if wall_ms < 0 or tokens < UNKNOWN_TOKENS:
        return None
    return Crash(engine=UpstreamId(parts[0]), wall_ms=wall_ms, tokens=tokens)


def merge_crashes(known: Iterable[Crash], new: Iterable[Crash]) -> tuple[Crash, ...]:
    """Return all distinct crashes, the earliest sight of each."""
    merged: list[Crash] = []
    for crash in sorted((*known, *new), key=lambda one: (one.wall_ms, one.engine)):
        place = next((place for place, other in enumerate(merged) if crash.same(other)), None)
        if place is None:
            merged.append(crash)
        else:
            tokens = max(merged[place].tokens, crash.tokens)
            merged[place] = replace(merged[place], tokens=tokens)
    return tuple(merged[:MAX_CRASHES])


def convicts(crashes: Sequence[Crash]) -> bool:
    """Tell whether a request's crashes suffice to refuse it."""
    alike = any(first.like(second) for first, second in combinations(crashes, 2))
    return alike or len(crashes) >= MOST_CRASHES


def share_crash(first: Iterable[Crash], second: Iterable[Crash]) -> bool:
    """Tell whether two suspects may not run together."""
    others = tuple(second)
    return any(crash.same(other) for crash in first for other in others)


class Suspicion(Struct, frozen=True, kw_only=True):
    """What is known of one request.

    :param crashes: Distinct crashes that it ran in.
    :param expires: When it is forgotten, on the monotonic clock.
    :param expires_wall_ms: The same in milliseconds since 1970, for messages.
    :param convicted: Whether it is refused until then.
    """

    crashes: tuple[Crash, ...]
    expires: Millis
    expires_wall_ms: int
    convicted: bool


@final
class Suspicions:
    """All suspects and convicts that a host knows of."""

    def __init__(self) -> None:
        self._known: dict[Fingerprint, Suspicion] = {}
        self._explained: tuple[Crash, ...] = ()

    @property
    def known(self) -> Mapping[Fingerprint, Suspicion]:
        """All of them, by fingerprint."""
        return self._known

    def get(self, *, fingerprint: Fingerprint, now: Millis) -> Suspicion | None:
        """Return what is known of a request, unless its time is over."""
        found = self._known.get(fingerprint)
        if found is not None and found.expires <= now:
            del self._known[fingerprint]
            return None
        return found

    def blame(self, *, fingerprint: Fingerprint, suspicion: Suspicion) -> Suspicion | None:
        """Add crashes to what is known; a second one like the first convicts, and clears others.

        :returns: What is known now; ``None`` when all of it had been explained before.
        """
        known = self._known.get(fingerprint)
        if known is not None and known.convicted:
            self._explain(suspicion.crashes)
            return known
        unexplained = self._unexplained(suspicion.crashes)
        crashes = merge_crashes(known.crashes if known else (), unexplained)
        convicted = suspicion.convicted or convicts(crashes)
        if not crashes and not convicted:
            return known
        merged = Suspicion(
            crashes=crashes,
            expires=suspicion.expires,
            expires_wall_ms=suspicion.expires_wall_ms,
            convicted=convicted,
        )
        self._known[fingerprint] = merged
        if convicted:
            self._explain(merge_crashes(crashes, suspicion.crashes))
        return merged

    def clear(self, *, fingerprint: Fingerprint) -> bool:
        """Forget a suspect that has run to its end; a conviction stands.

        :returns: Whether there was one.
        """
        known = self._known.get(fingerprint)
        if known is None or known.convicted:
            return False
        del self._known[fingerprint]
        return True

    def _unexplained(self, crashes: Iterable[Crash]) -> tuple[Crash, ...]:
        return tuple(crash for crash in crashes if not share_crash([crash], self._explained))

    def _explain(self, crashes: tuple[Crash, ...]) -> None:
        self._explained = (*self._explained, *crashes)[-MAX_CRASHES * MAX_CRASHES :]
        for fingerprint, suspicion in list(self._known.items()):
            if suspicion.convicted:
                continue
            left = self._unexplained(suspicion.crashes)
            if not left:
                del self._known[fingerprint]
            elif len(left) < len(suspicion.crashes):
                self._known[fingerprint] = Suspicion(
                    crashes=left,
                    expires=suspicion.expires,
                    expires_wall_ms=suspicion.expires_wall_ms,
                    convicted=False,
                )


class StopRequest(Struct, frozen=True, kw_only=True):
    """A copy of a suspect that runs elsewhere than its peers' and should be cancelled.

    :param fingerprint: The request.
    :param engine: Where this host runs it.
    """

    fingerprint: Fingerprint
    engine: UpstreamId
