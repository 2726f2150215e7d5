"""Containment of unexpected errors, so that one item does not end a loop that serves all."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
import time
import traceback
from typing import Any
from typing import Final

from tanagerscale.core._log import get_logger

MAX_LOGGED_FRAMES: Final = 8
"""Innermost frames in the log line of an unexpected error."""

MAX_LINES_PER_S: Final = 5
"""Lines for each component. The log does not limit errors, and each message may cause one."""

MAX_DETAIL_CHARS: Final = 300
"""Errors may quote the input that caused them."""

unexpected_errors: Final[Counter[str]] = Counter()
"""Number of unexpected errors in this process, by component."""

_lines_by_second: Final[Counter[tuple[str, int]]] = Counter()

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
    """Count an unexpected error, and log it in one line unless there are many.

    :param component: Name of the component, for the log and the metric.
    :param error: The error.
    :param fields: Further fields of the log line.
    """
    unexpected_errors[component] += 1
    if not _may_log(component):
        return
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


def _may_log(component: str) -> bool:
    second = int(time.monotonic())
    for earlier in [key for key in _lines_by_second if key[1] != second]:
        del _lines_by_second[earlier]
    _lines_by_second[component, second] += 1
    return _lines_by_second[component, second] <= MAX_LINES_PER_S
