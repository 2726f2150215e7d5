"""Lines about the start and the end of a process that the log doesn't write."""

from __future__ import annotations

from enum import IntEnum
import os
import resource
from typing import Final
from typing import final

from tanagerscale.core import get_logger

STANDARD_ERROR: Final = 2
STANDARD_DESCRIPTORS: Final = 3

MIN_DESCRIPTORS: Final = 64
"""Descriptors with which a host gets ready: its servers, the event loop, and connections to the
store, to other hosts and to the load balancer."""

_log = get_logger(part="host")


@final
class ExitCode(IntEnum):
    """Exit codes of a host's process."""

    STOPPED = 0
    """Ended by a signal that requests it, after or before the host has started."""
    ERROR = 1
    """Ended by an error that isn't expected; a new start may succeed."""
    BAD_SETTINGS = 2
    """The settings are invalid, or name an address that can't be opened on this machine."""


def open_standard_descriptors() -> None:
    """Open the standard descriptors that are closed, so that no socket gets their numbers."""
    for descriptor in range(STANDARD_DESCRIPTORS):
        try:
            os.fstat(descriptor)
        except OSError:
            _open_null()


def _open_null() -> None:
    """Open the null device under the lowest number that is free, if the system allows it."""
    try:
        descriptor = os.open(os.devnull, os.O_RDWR)
    except OSError as error:
        write_error_line(f"A standard descriptor is closed and stays so: {error}")
        return
    os.set_inheritable(descriptor, True)


def write_error_line(text: str) -> None:
    """Write a line to standard error, if it is read.

    :param text: The line.
    """
    line = text.replace("\n", " ") + "\n"
    try:
        os.write(STANDARD_ERROR, line.encode(errors="backslashreplace"))
    except OSError:
        # Nobody reads it, and no other place is left.
        return


def check_descriptors() -> None:
    """Log a warning if the process may not open enough files and sockets to get ready."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit != resource.RLIM_INFINITY and limit < MIN_DESCRIPTORS:
        _log.error(
            "The limit of file descriptors is too low for a host to get ready; raise it.",
            limit=limit,
            needed=MIN_DESCRIPTORS,
        )
