"""Identifier types; each is a plain string or integer at run time."""

from __future__ import annotations

import secrets
from typing import NewType

HostId = NewType("HostId", str)
FailureDomainId = NewType("FailureDomainId", str)
RegionId = NewType("RegionId", str)
ClientAccountId = NewType("ClientAccountId", str)
UpstreamId = NewType("UpstreamId", str)
UpstreamName = NewType("UpstreamName", str)
ModelId = NewType("ModelId", str)
ServiceId = NewType("ServiceId", str)
RequestId = NewType("RequestId", str)
GenerationId = NewType("GenerationId", str)
AttemptId = NewType("AttemptId", str)
Revision = NewType("Revision", int)

ID_BYTES = 12


def new_id(*, prefix: str) -> str:
    """Return a random identifier that is unique across hosts.

    :param prefix: Short name of the kind of object, such as ``"req"``.
    :returns: The prefix, a hyphen and 96 random bits as hexadecimal digits.
    """
    return f"{prefix}-{secrets.token_hex(ID_BYTES)}"
