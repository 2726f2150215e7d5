"""How a command ends."""

from __future__ import annotations

from enum import IntEnum
from enum import unique
from typing import NoReturn


@unique
class ExitCode(IntEnum):
    """Exit codes of the command line; docs/OPERATIONS.md says what to do on each."""

    OK = 0
    REFUSED = 1
    """Another operator was first, or a host refused the request; nothing was changed."""
    BAD_INPUT = 2
    """The command or a file is wrong; nothing was changed."""
    STORE_UNREACHABLE = 3
    """The store did not answer; nothing was changed."""
    NOT_IN_FORCE = 4
    """It isn't certain that the set was accepted, or that it is in force on all hosts."""
    HOST_UNREACHABLE = 5
    """No host answered, or the answer broke off and could not be resumed."""
    DAMAGED = 6
    """What stands in the store can't be read."""
    INTERRUPTED = 130
    """The operator interrupted the command."""


class CommandError(Exception):
    """Ends a command with a message for the operator.

    :param code: Exit code.
    :param message: One or several sentences that name the remedy.
    :param details: Further lines.
    """

    def __init__(self, *, code: ExitCode, message: str, details: tuple[str, ...] = ()) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.details = details


def fail(*, code: ExitCode, message: str, details: tuple[str, ...] = ()) -> NoReturn:
    """End the command.

    :raises CommandError: Always.
    """
    raise CommandError(code=code, message=message, details=details)
