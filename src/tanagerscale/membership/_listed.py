"""Entries of upstreams as hosts tell them to each other."""

from __future__ import annotations

from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.generated.messages import ListedUpstream
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamState


def to_listed(entry: UpstreamEntry, *, revision: int) -> ListedUpstream:
    """Return the message for an entry.

    :param entry: The entry.
    :param revision: Revision of the store at which it was written.
    """
    return ListedUpstream(
        upstream=entry.upstream,
        name=entry.name,
        started_ms=entry.started_ms,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.failure_domain,
        places=entry.places,
        leaving=entry.state is UpstreamState.LEAVING,
        cold_ms=entry.cold_ms,
        revision=revision,
    )


def from_listed(listed: ListedUpstream) -> UpstreamEntry:
    """Return the entry that a message tells of."""
    return UpstreamEntry(
        upstream=UpstreamId(listed.upstream),
        name=UpstreamName(listed.name),
        started_ms=listed.started_ms,
        service=ServiceId(listed.service),
        address=listed.address,
        failure_domain=FailureDomainId(listed.failure_domain),
        places=listed.places,
        state=UpstreamState.LEAVING if listed.leaving else UpstreamState.READY,
        cold_ms=listed.cold_ms,
    )
