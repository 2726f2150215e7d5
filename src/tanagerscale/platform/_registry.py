"""Decodes the entries that upstreams write of themselves.

Others may write under the same prefix. What is not an entry as an upstream writes it names none.
"""

from __future__ import annotations

import re
from typing import Final

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.ini import check_address
from tanagerscale.platform._wire import WireServer
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamState

REGISTRY_PREFIX: Final = "servers/"

_STATES: Final = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}

_NAME: Final = re.compile(r"[!-~]+")
"""Names are sent in header fields, where control characters would begin another field."""

_decoder = msgspec.json.Decoder(WireServer)


def name_of(key: str) -> UpstreamName:
    """Return whose entry stands under a key; the name stands nowhere else."""
    return UpstreamName(key.removeprefix(REGISTRY_PREFIX))


def start_of(name: UpstreamName, started_ms: int) -> UpstreamId:
    """Return the id of one start of an upstream."""
    return UpstreamId(f"{name}@{started_ms}" if started_ms else name)


def decode_entry(key: str, value: bytes) -> Result[UpstreamEntry, str]:
    """Decode one entry.

    :param key: Its key in the store.
    :param value: JSON text, if its upstream wrote it.
    :returns: The entry, or what is wrong with it.
    """
    try:
        wire = _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _left_out(str(error))
    name = name_of(key)
    if not _NAME.fullmatch(name):
        return _left_out("its name can't be sent")
    if wire.state not in _STATES:
        return _left_out(f"state {wire.state[:20]!r} is unknown")
    if problem := check_address(address=wire.address):
        return _left_out(f"the address is not {problem}")
    started_ms = 0 if wire.born is msgspec.UNSET else wire.born
    return Success(
        UpstreamEntry(
            upstream=start_of(name, started_ms),
            name=name,
            started_ms=started_ms,
            service=ServiceId(wire.service),
            address=wire.address,
            failure_domain=FailureDomainId(wire.zone),
            places=wire.slots,
            state=_STATES[wire.state],
            cold_ms=int(wire.cold_remaining_ms),
        )
    )


def _left_out(cause: str) -> Result[UpstreamEntry, str]:
    return Failure(f"The entry can't be read ({cause}); the upstream is left out.")
