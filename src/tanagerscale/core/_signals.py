"""Signals by which the platform stops a process and makes it reload its settings."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import signal
from typing import Final
from typing import final

from tanagerscale.core._clock import MS_PER_SECOND
from tanagerscale.core._clock import Millis
from tanagerscale.core._tasks import log_tasks

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
OTHER_SIGNALS: Final = (signal.SIGHUP, signal.SIGUSR1)
"""Signals that must never end a process, as their default actions do."""


@final
class _StopSignal:
    """When the process got its first signal to stop."""

    def __init__(self) -> None:
        self.arrived: Millis | None = None

    def record(self, loop: asyncio.AbstractEventLoop) -> None:
        """Record a signal; those after the first one change nothing."""
        if self.arrived is None:
            self.arrived = Millis(int(loop.time() * MS_PER_SECOND))


_stop_signal = _StopSignal()


def get_stop_signal_time() -> Millis | None:
    """Return when the process got its first signal to stop; ``None`` if it got none.

    That may be earlier than ``stop`` is called by the event loop, which may have been busy.
    """
    return _stop_signal.arrived


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
        # The loop, which is woken by its own descriptor, handles a signal only when it is not busy.
        signal.signal(signal_number, lambda *_: _stop_signal.record(loop))
        signal.siginterrupt(signal_number, False)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, log_tasks)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, OTHER_SIGNALS)


def hold_signals() -> None:
    """Hold back all these signals until the process has ended.

    The event loop restores their default actions as it is closed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, *OTHER_SIGNALS))
