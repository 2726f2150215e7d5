"""Entries of upstreams in a store, in a few letters: state, start and how long it is cold."""

from __future__ import annotations

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRevision
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamState

SERVICE = ServiceId("s")


def listed(name: str, value: str, *, revision: int) -> StoreEntry:
    """Return an entry of the store.

    :param name: The upstream's name, which is also its key.
    :param value: Its state, its start if it tells one, and how long it is cold, as in
        ``ready@1000 800``.
    :param revision: When it was written.
    """
    at = StoreRevision(revision)
    return StoreEntry(key=name, value=value.encode(), create_revision=at, mod_revision=at)


def decode_listed(key: str, value: bytes) -> Result[UpstreamEntry, str]:
    """Read an entry; the value ``bad`` can't be read."""
    if value == b"bad":
        return Failure("It can't be read; it is left out.")
    told, _, cold_ms = value.decode().partition(" ")
    state, _, started = told.partition("@")
    return Success(
        UpstreamEntry(
            upstream=UpstreamId(f"{key}{started}"),
            name=UpstreamName(key),
            started_ms=int(started or 0),
            service=SERVICE,
            address=f"{key}:1",
            failure_domain=FailureDomainId("x"),
            places=1,
            state=UpstreamState(state),
            cold_ms=int(cold_ms or 0),
        )
    )
