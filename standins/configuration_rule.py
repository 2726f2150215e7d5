"""Arithmetic of requests that are handled as only an older configuration allows."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass

CONFIGURATION_MS = 2_000
"""Time after its acknowledgement in which a configuration must be in force."""
CONTACT_MS = 3_000
"""Time without disruption after which hosts and the store are held to the bound."""
UNKNOWN_KEY = 401


@dataclass(frozen=True, slots=True)
class KeyPeriod:
    """When a key was part of the configuration, by the acknowledgements of the store.

    :param granted: When it became part of it, in milliseconds.
    :param revoked: When it was removed; ``None`` if it was not.
    """

    granted: int
    revoked: int | None


@dataclass(frozen=True, slots=True)
class KeyUse:
    """A request with a key.

    :param request: Its id.
    :param host: Host that received it.
    :param key: The key.
    :param sent: When its caller sent it, in milliseconds.
    :param ended: When its caller had the answer, in milliseconds.
    :param status: Status of the answer; 0 if there is none.
    :param was_executed: Whether an upstream executed it.
    """

    request: str
    host: str
    key: str
    sent: int
    ended: int
    status: int
    was_executed: bool


def find_stale_uses(
    *,
    periods: dict[str, KeyPeriod],
    uses: Sequence[KeyUse],
    is_disturbed: Callable[[str, int, int], bool],
) -> list[str]:
    """Return a description of each request that was handled as an older configuration allows.

    :param periods: When each key was valid.
    :param uses: All requests with these keys.
    :param is_disturbed: Returns whether a host or the store was disturbed in a span of time.
    """
    violations = []
    for use in uses:
        period = periods[use.key]
        if is_disturbed(use.host, use.sent - CONTACT_MS, use.ended):
            continue
        revoked = period.revoked
        if revoked is not None and use.was_executed and use.sent > revoked + CONFIGURATION_MS:
            violations.append(
                f"CONFIG: {use.host} let {use.request} run {use.sent - revoked} ms after its key "
                "was revoked"
            )
        is_valid = revoked is None or use.ended < revoked
        if is_valid and use.status == UNKNOWN_KEY and use.sent > period.granted + CONFIGURATION_MS:
            violations.append(
                f"CONFIG: {use.host} refused {use.request} {use.sent - period.granted} ms after "
                "its key was granted"
            )
    return violations
