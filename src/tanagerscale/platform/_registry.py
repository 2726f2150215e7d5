"""Decoding of the entries under which upstreams register.

Other writers may use the same prefix. A value that is not a valid entry registers no upstream.
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
from tanagerscale.core import decode_json
from tanagerscale.ini import check_address
from tanagerscale.platform._wire import WireServer
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamState

REGISTRY_PREFIX: Final = "servers/"

_STATES: Final = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}

_NAME: Final = re.compile(r"[!-~]+")
"""Names are sent in header fields, where control characters would start another field."""

MAX_ENTRY_BYTES: Final = 64 * 1024
"""Entries have some 250 bytes; later versions may add fields."""


def parse_upstream_name(key: str) -> UpstreamName:
    """Return the name of the upstream that registers under a key; the entry does not contain it."""
    return UpstreamName(key.removeprefix(REGISTRY_PREFIX))


def build_upstream_id(name: UpstreamName, started_ms: int) -> UpstreamId:
    """Return the id of one incarnation of an upstream."""
    return UpstreamId(f"{name}@{started_ms}" if started_ms else name)


def decode_entry(key: str, value: bytes) -> Result[UpstreamEntry, str]:
    """Decode one entry.

    :param key: Store key of the entry.
    :param value: JSON text if written by an upstream; other writers may store any bytes.
    :returns: The entry, or the reason why it is invalid.
    """
    decoded = decode_json(value, WireServer, max_bytes=MAX_ENTRY_BYTES)
    if isinstance(decoded, Failure):
        return _reject(decoded.failure())
    wire = decoded.unwrap()
    name = parse_upstream_name(key)
    if not _NAME.fullmatch(name):
        return _reject("its name contains characters that are not allowed in a header field")
    if wire.state not in _STATES:
        return _reject(f"state {wire.state[:20]!r} is unknown")
    if problem := check_address(address=wire.address):
        return _reject(f"the address is not {problem}")
    started_ms = 0 if wire.born is msgspec.UNSET else wire.born
    return Success(
        UpstreamEntry(
            upstream=build_upstream_id(name, started_ms),
            name=name,
            started_ms=started_ms,
            service=ServiceId(wire.service),
            address=wire.address,
            failure_domain=FailureDomainId(wire.zone),
            max_concurrency=wire.slots,
            state=_STATES[wire.state],
            warmup_ms=int(wire.cold_remaining_ms),
            # 0 stands for an entry without a number.
            sequence=wire.sequence + 1,
        )
    )


def _reject(cause: str) -> Result[UpstreamEntry, str]:
    return Failure(f"The entry can't be decoded ({cause}); the upstream is left out.")
