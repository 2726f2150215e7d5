"""What the connections of all listeners of a host share."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.gateway._input_refusals import InputRefusals
from tanagerscale.gateway._input_turns import InputTurns


class InputContext(Struct, frozen=True, kw_only=True):
    """What the connections of all listeners of a host share.

    :param refusals: Counts refused input.
    :param turns: Turns of connections whose input takes long to decode.
    """

    refusals: InputRefusals
    turns: InputTurns
