"""Exit codes and the error that ends a command."""

from __future__ import annotations

from enum import IntEnum
from enum import unique
from typing import NoReturn


@unique
class ExitCode(IntEnum):
    """Exit codes of the command line; docs/OPERATIONS.md describes the remedy for each."""

    OK = 0
    REFUSED = 1
    """A concurrent change conflicted, or a host refused the request; nothing was changed."""
    BAD_INPUT = 2
    """The command line or a file is invalid; nothing was changed."""
    STORE_UNREACHABLE = 3
    """The store did not respond; nothing was changed."""
    NOT_IN_FORCE = 4
    """It is unknown whether the set was accepted, or whether it is in force on all hosts."""
    HOST_UNREACHABLE = 5
    """No host responded, or the answer was interrupted and could not be resumed."""
    DAMAGED = 6
    """The data in the store is corrupt."""
    INTERRUPTED = 130
    """The operator interrupted the command."""


class CommandError(Exception):
    """Error that ends a command with a message for the operator.

    :param code: Exit code of the process.
    :param message: One or more sentences that name the remedy.
    :param details: Lines that are printed before the message.
    """

    def __init__(self, *, code: ExitCode, message: str, details: tuple[str, ...] = ()) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.details = details


def fail(*, code: ExitCode, message: str, details: tuple[str, ...] = ()) -> NoReturn:
    """End the command with an error.

    :param code: Exit code of the process.
    :param message: One or more sentences that name the remedy.
    :param details: Lines that are printed before the message.

    :raises CommandError: Always.
    """
    raise CommandError(code=code, message=message, details=details)
