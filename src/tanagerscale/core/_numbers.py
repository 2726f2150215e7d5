"""Types of numbers that other processes write; a number out of range is invalid."""

from __future__ import annotations

from typing import Annotated
from typing import Final

import msgspec

MAX_NUMBER: Final = 2**53 - 1
"""JSON writers may not represent larger integers exactly. Sums of a few of those within the limit
fit into 64 bits, as messages to other hosts require."""

BoundedInt = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
BoundedFloat = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
UnixMillis = Annotated[int, msgspec.Meta(gt=0, le=MAX_NUMBER)]


def parse_number(text: str, *, minimum: int = 0, maximum: int) -> int | None:
    """Parse a decimal number.

    :param text: The number; it is untrusted.
    :param minimum: Smallest valid number.
    :param maximum: Largest valid number.
    :returns: The number without its fraction; ``None`` if it is malformed or out of range.
    """
    try:
        number = float(text)
    except ValueError:
        return None
    return int(number) if minimum <= number <= maximum else None
