"""What the connections of all listeners of a host share."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.gateway._input_refusals import InputRefusals


class InputContext(Struct, frozen=True, kw_only=True):
    """What the connections of all listeners of a host share.

    :param refusals: Counts refused input.
    """

    refusals: InputRefusals
