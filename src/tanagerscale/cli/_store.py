"""Access of commands to the store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from tanagerscale.cli._exit import CommandError
from tanagerscale.cli._exit import ExitCode
from tanagerscale.core import Clock
from tanagerscale.declarations import ApplyError
from tanagerscale.declarations import ApplyErrorKind
from tanagerscale.store import EtcdStore
from tanagerscale.store import Store

STORE_TIMEOUT_MS = 5000

EXIT_CODES = {
    ApplyErrorKind.CONFLICT: ExitCode.REFUSED,
    ApplyErrorKind.REFUSED: ExitCode.REFUSED,
    ApplyErrorKind.STORE_UNREACHABLE: ExitCode.STORE_UNREACHABLE,
    ApplyErrorKind.UNCERTAIN: ExitCode.NOT_IN_FORCE,
    ApplyErrorKind.TOO_LARGE: ExitCode.BAD_INPUT,
    ApplyErrorKind.DAMAGED: ExitCode.DAMAGED,
}


@asynccontextmanager
async def open_store(*, endpoints: tuple[str, ...], clock: Clock) -> AsyncIterator[Store]:
    """Open the store for the duration of one command.

    :param endpoints: Base URLs of the store's JSON gateway.
    :param clock: Clock for the timeouts of calls.
    """
    store = EtcdStore(endpoints=endpoints, timeout_ms=STORE_TIMEOUT_MS, clock=clock)
    try:
        yield store
    finally:
        await store.close()


def to_command_error(*, error: ApplyError) -> CommandError:
    """Convert an error of reading or publishing declarations into the error that ends a command."""
    return CommandError(code=EXIT_CODES[error.kind], message=error.detail, details=error.changes)
