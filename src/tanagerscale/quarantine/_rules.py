"""Rules that attribute engine crashes to requests; no I/O."""

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
"""Identifies all copies of one request of one client account."""

FINGERPRINT_BYTES: Final = 16
MIN_SIMILAR_CRASHES_TO_CONVICT: Final = 2
"""Number of crashes at about the same token that convict a request."""

MIN_CRASHES_TO_CONVICT: Final = 3
"""Number of crashes at any tokens that convict a request."""

UNKNOWN_TOKENS: Final = -1
"""Token count of a crash that was reported by a host that did not run the request."""

MAX_TOKEN_DISTANCE: Final = 16
MAX_RELATIVE_TOKEN_DISTANCE: Final = 0.1
"""Crashes are similar if the token counts differ by no more than the larger of these limits. The
relative limit is a fraction of the larger token count."""

CRASH_MERGE_WINDOW_MS: Final = 10_000
"""Hosts detect one crash at different times, so two reports for one engine within this time are
the same crash. For twice this time a suspect is excluded from the engine, so that a second crash
that it causes there is not merged with the first."""

ANNOUNCEMENT_DELAY_MS: Final = 50
"""Delay between announcing and starting the run of a suspect; much longer than a message takes."""

MAX_ANNOUNCEMENT_DELAY_MS: Final = 2 * ANNOUNCEMENT_DELAY_MS
"""After a longer delay the run is not admitted: the host stalled, so its state is outdated."""

CRASH_ID_SEPARATOR: Final = "@"
MAX_CRASHES: Final = 8
MAX_CRASH_CHARS: Final = 512


def fingerprint_of(*, key: bytes, account: ClientAccountId, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request, a keyed hash that does not disclose the request.

    :param key: Secret shared by all hosts, at most 64 bytes.
    :param account: Client account that sent the request.
    :param body: All parts of the body that affect what the engine runs.
    """
    digest = hashlib.blake2b(key=key, digest_size=FINGERPRINT_BYTES)
    name = account.encode()
    digest.update(len(name).to_bytes(4, "big"))
    digest.update(name)
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class Crash(Struct, frozen=True, kw_only=True):
    """A crash of an engine, as detected by one host.

    :param engine: Engine that crashed.
    :param wall_ms: Time of detection, in milliseconds since 1970.
    :param tokens: Number of tokens that the suspect had generated; ``UNKNOWN_TOKENS`` on hosts
        that did not run it.
    """

    engine: UpstreamId
    wall_ms: int
    tokens: int = UNKNOWN_TOKENS

    @property
    def id(self) -> str:
        """Text form of the crash in messages."""
        return CRASH_ID_SEPARATOR.join((self.engine, str(self.wall_ms), str(self.tokens)))

    def is_similar_to(self, other: Crash) -> bool:
        """Return whether a suspect was at about the same token in both crashes.

        The same request generates the same tokens with the same seed, so a request that causes
        crashes does so at the same token. A request that only happened to run on the crashed
        engines does not.
        """
        if UNKNOWN_TOKENS in (self.tokens, other.tokens):
            return False
        max_distance = max(
            MAX_TOKEN_DISTANCE, MAX_RELATIVE_TOKEN_DISTANCE * max(self.tokens, other.tokens)
        )
        return abs(self.tokens - other.tokens) <= max_distance

    def is_same_event(self, other: Crash) -> bool:
        """Return whether two reports describe the same crash."""
        close = abs(self.wall_ms - other.wall_ms) <= CRASH_MERGE_WINDOW_MS
        return self.engine == other.engine and close


def parse_crash(text: str) -> Crash | None:
    """Parse the text form of a crash.

    :returns: The crash; ``None`` if the text is malformed.
    """
    parts = text.rsplit(CRASH_ID_SEPARATOR, 2)
    if len(parts) != 3 or not parts[0] or len(text) > MAX_CRASH_CHARS:
        return None
    try:
        wall_ms, tokens = int(parts[1]), int(parts[2])
    except ValueError:
        return None
    if wall_ms < 0 or tokens < UNKNOWN_TOKENS:
        return None
    return Crash(engine=UpstreamId(parts[0]), wall_ms=wall_ms, tokens=tokens)


def merge_crashes(existing: Iterable[Crash], new: Iterable[Crash]) -> tuple[Crash, ...]:
    """Return all distinct crashes, the earliest ``MAX_CRASHES``.

    Reports of the same crash are merged: the earliest time and the largest token count are kept.
    """
    merged: list[Crash] = []
    for crash in sorted(
        (*existing, *new), key=lambda crash_report: (crash_report.wall_ms, crash_report.engine)
    ):
        index = next(
            (index for index, other in enumerate(merged) if crash.is_same_event(other)), None
        )
        if index is None:
            merged.append(crash)
        else:
            tokens = max(merged[index].tokens, crash.tokens)
            merged[index] = replace(merged[index], tokens=tokens)
    return tuple(merged[:MAX_CRASHES])


def justifies_conviction(crashes: Sequence[Crash]) -> bool:
    """Return whether the crashes of a request are sufficient to convict it."""
    similar = any(first.is_similar_to(second) for first, second in combinations(crashes, 2))
    return similar or len(crashes) >= MIN_CRASHES_TO_CONVICT


def have_common_crash(first: Iterable[Crash], second: Iterable[Crash]) -> bool:
    """Return whether two sets of crashes have a crash in common."""
    others = tuple(second)
    return any(crash.is_same_event(other) for crash in first for other in others)


class Suspicion(Struct, frozen=True, kw_only=True):
    """Evidence against one request.

    :param crashes: Distinct crashes of engines that were running the request.
    :param expires: When the entry expires, on the monotonic clock.
    :param expires_wall_ms: The same time in milliseconds since 1970, for messages.
    :param convicted: Whether the request is refused until then.
    """

    crashes: tuple[Crash, ...]
    expires: Millis
    expires_wall_ms: int
    convicted: bool


@final
class SuspicionTable:
    """Table of all suspected and convicted requests that a host knows of."""

    def __init__(self) -> None:
        self._entries: dict[Fingerprint, Suspicion] = {}
        self._explained: tuple[Crash, ...] = ()

    @property
    def entries(self) -> Mapping[Fingerprint, Suspicion]:
        """All entries by fingerprint; expired ones may be included."""
        return self._entries

    def get(self, *, fingerprint: Fingerprint, now: Millis) -> Suspicion | None:
        """Return the entry of a request; ``None`` if there is none or it has expired."""
        found = self._entries.get(fingerprint)
        if found is not None and found.expires <= now:
            del self._entries[fingerprint]
            return None
        return found

    def add_crashes(self, *, fingerprint: Fingerprint, suspicion: Suspicion) -> Suspicion | None:
        """Add crashes to the entry of a request and convict it if they are sufficient.

        A conviction explains the crashes, which clears other suspects of them.

        :returns: The resulting entry; ``None`` if there was none and earlier convictions explain
            all of the added crashes.
        """
        existing = self._entries.get(fingerprint)
        if existing is not None and existing.convicted:
            self._mark_explained(suspicion.crashes)
            return existing
        unexplained = self._unexplained(suspicion.crashes)
        crashes = merge_crashes(existing.crashes if existing else (), unexplained)
        convicted = suspicion.convicted or justifies_conviction(crashes)
        if not crashes and not convicted:
            return existing
        merged = Suspicion(
            crashes=crashes,
            expires=suspicion.expires,
            expires_wall_ms=suspicion.expires_wall_ms,
            convicted=convicted,
        )
        self._entries[fingerprint] = merged
        if convicted:
            self._mark_explained(merge_crashes(crashes, suspicion.crashes))
        return merged

    def clear(self, *, fingerprint: Fingerprint) -> bool:
        """Remove a suspect that has run to completion; a convicted request is not removed.

        :returns: Whether a suspect was removed.
        """
        existing = self._entries.get(fingerprint)
        if existing is None or existing.convicted:
            return False
        del self._entries[fingerprint]
        return True

    def _unexplained(self, crashes: Iterable[Crash]) -> tuple[Crash, ...]:
        return tuple(crash for crash in crashes if not have_common_crash([crash], self._explained))

    def _mark_explained(self, crashes: tuple[Crash, ...]) -> None:
        self._explained = (*self._explained, *crashes)[-MAX_CRASHES * MAX_CRASHES :]
        for fingerprint, suspicion in list(self._entries.items()):
            if suspicion.convicted:
                continue
            remaining = self._unexplained(suspicion.crashes)
            if not remaining:
                del self._entries[fingerprint]
            elif len(remaining) < len(suspicion.crashes):
                self._entries[fingerprint] = Suspicion(
                    crashes=remaining,
                    expires=suspicion.expires,
                    expires_wall_ms=suspicion.expires_wall_ms,
                    convicted=False,
                )


class StopRequest(Struct, frozen=True, kw_only=True):
    """Request to cancel a local run that is convicted or conflicts with another run.

    :param fingerprint: Fingerprint of the request.
    :param engine: Engine that runs it for this host.
    """

    fingerprint: Fingerprint
    engine: UpstreamId
