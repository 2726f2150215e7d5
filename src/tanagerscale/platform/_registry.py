"""Decodes the entries that upstreams write of themselves."""

from __future__ import annotations

from typing import Final

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.platform._wire import WireServer
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamState

REGISTRY_PREFIX: Final = "servers/"

_READY: Final = "ready"
_decoder = msgspec.json.Decoder(WireServer)


def upstream_of(key: str) -> UpstreamId:
    """Return whose entry stands under a key; its id stands nowhere else."""
    return UpstreamId(key.removeprefix(REGISTRY_PREFIX))


def decode_entry(key: str, value: bytes) -> Result[UpstreamEntry, str]:
    """Decode one entry.

    :param key: Its key in the store.
    :param value: JSON text.
    :returns: The entry, or what is wrong with it.
    """
    try:
        wire = _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(f"The entry can't be read ({error}); the upstream is left out.")
    return Success(
        UpstreamEntry(
            upstream=upstream_of(key),
            service=ServiceId(wire.service),
            address=wire.address,
            failure_domain=FailureDomainId(wire.zone),
            places=wire.slots,
            # An unknown state of a later version is no invitation to send work.
            state=UpstreamState.READY if wire.state == _READY else UpstreamState.LEAVING,
            cold_ms=int(wire.cold_remaining_ms),
        )
    )
