"""The order of the events of a stream, and its proper end only after the last one."""

from __future__ import annotations

from itertools import pairwise
import re
from typing import Final

_NUMBER: Final = re.compile(rb"^id: (\d+)\n", re.MULTILINE)


def find_broken_order(body: bytes, *, events: int, is_complete: bool) -> str:
    """Return what is wrong with the order of the events that a caller got; empty if nothing is.

    :param body: What it got.
    :param events: Number of the last event of the stream.
    :param is_complete: Whether the answer came to its proper end.
    """
    numbers = [0, *map(int, _NUMBER.findall(body))]
    for previous, number in pairwise(numbers):
        if number != previous + 1:
            return f"event {number} came after event {previous}"
    if is_complete and numbers[-1] < events:
        return f"the stream ended as complete after event {numbers[-1]} of {events}"
    return ""
