"""Signals by which the platform stops a process and makes it reload its settings."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import signal
from typing import Final

from tanagerscale.core._tasks import log_tasks

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
OTHER_SIGNALS: Final = (signal.SIGHUP, signal.SIGUSR1)
"""Signals that must never end a process, as their default actions do."""


def defer_signals() -> None:
    """Hold back the signals that must not end a process that starts, until it handles them."""
    signal.pthread_sigmask(signal.SIG_BLOCK, OTHER_SIGNALS)


def handle_signals(*, stop: Callable[[], None], reload: Callable[[], object]) -> None:
    """Handle signals in the running event loop, beginning with those that were held back.

    :param stop: Requests a graceful shutdown.
    :param reload: Applies changed settings.
    """
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, log_tasks)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, OTHER_SIGNALS)


def hold_signals() -> None:
    """Hold back all these signals until the process has ended.

    The event loop restores their default actions as it is closed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, *OTHER_SIGNALS))
