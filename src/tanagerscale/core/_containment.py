"""Containment of unexpected errors, so that one item does not end a loop that serves all."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
import traceback
from typing import Any
from typing import Final

from tanagerscale.core._log import get_logger

MAX_LOGGED_FRAMES: Final = 8
"""Innermost frames in the log line of an unexpected error."""

MAX_DETAIL_CHARS: Final = 300
"""Errors may quote the input that caused them."""

unexpected_errors: Final[Counter[str]] = Counter()
"""Number of unexpected errors in this process, by component."""

_log = get_logger(part="errors")


def run_contained(component: str, action: Callable[[], object], **fields: Any) -> bool:
    """Run the handling of one item of a loop, and record any error that it raises.

    :param component: Name of the component, for the log and the metric.
    :param action: Handles the item.
    :param fields: Fields of the log line that identify the item.
    :returns: Whether the item was handled without an error.
    """
    try:
        action()
    # The loop goes on with the next item, whatever is wrong with this one.
    except Exception as error:
        record_unexpected_error(component, error, **fields)
        return False
    return True


def record_unexpected_error(component: str, error: BaseException, **fields: Any) -> None:
    """Log an unexpected error in one line, and count it.

    :param component: Name of the component, for the log and the metric.
    :param error: The error.
    :param fields: Further fields of the log line.
    """
    unexpected_errors[component] += 1
    frames = [
        f"{frame.f_code.co_qualname}:{line}"
        for frame, line in traceback.walk_tb(error.__traceback__)
    ]
    _log.error(
        "Unexpected error.",
        component=component,
        detail=repr(error)[:MAX_DETAIL_CHARS],
        stack=" > ".join(frames[-MAX_LOGGED_FRAMES:]),
        **fields,
    )
