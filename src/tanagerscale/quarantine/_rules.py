"""Rules that tell from crashes which request causes them; no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import hashlib
from typing import Final
from typing import NewType
from typing import final

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId

Fingerprint = NewType("Fingerprint", str)
"""Names all copies of one request of one client account."""

FINGERPRINT_BYTES: Final = 16
CRASHES_TO_CONVICT: Final = 2

MERGE_MS: Final = 10_000
"""Hosts see one crash at different times; two of one engine within this time are the same one. A
suspect stays away from the engine for as long, so that its own next crash is told apart."""

SEPARATOR: Final = "@"
MAX_CRASHES: Final = 8


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


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """The death of an engine, as one host saw it.

    :param engine: The engine.
    :param wall_ms: When, in milliseconds since 1970.
    """

    engine: UpstreamId
    wall_ms: int

    @property
    def id(self) -> str:
        """Its form in messages."""
        return f"{self.engine}{SEPARATOR}{self.wall_ms}"

    def same(self, other: Crash) -> bool:
        """Tell whether two hosts mean the same death."""
        close = abs(self.wall_ms - other.wall_ms) <= MERGE_MS
        return self.engine == other.engine and close


def parse_crash(text: str) -> Crash | None:
    """Read a crash from a message; ``None`` when it is malformed."""
    engine, separator, wall = text.rpartition(SEPARATOR)
    if not (separator and engine and wall.isascii() and wall.isdigit() and len(wall) < 19):
        return None
    return Crash(engine=UpstreamId(engine), wall_ms=int(wall))


def merge_crashes(known: Iterable[Crash], new: Iterable[Crash]) -> tuple[Crash, ...]:
    """Return all distinct crashes, the earliest sight of each."""
    merged: list[Crash] = []
    for crash in sorted((*known, *new), key=lambda one: (one.wall_ms, one.engine)):
        if not any(crash.same(other) for other in merged):
            merged.append(crash)
    return tuple(merged[:MAX_CRASHES])


def share_crash(first: Iterable[Crash], second: Iterable[Crash]) -> bool:
    """Tell whether two suspects may not run together."""
    others = tuple(second)
    return any(crash.same(other) for crash in first for other in others)


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
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
        """Add crashes to what is known; the second convicts, and clears all that it explains.

        :returns: What is known now; ``None`` when all of it had been explained before.
        """
        known = self._known.get(fingerprint)
        if known is not None and known.convicted:
            self._explain(suspicion.crashes)
            return known
        unexplained = self._unexplained(suspicion.crashes)
        crashes = merge_crashes(known.crashes if known else (), unexplained)
        convicted = suspicion.convicted or len(crashes) >= CRASHES_TO_CONVICT
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
