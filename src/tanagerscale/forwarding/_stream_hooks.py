"""Callbacks of a stream for the rest of its host."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.upstreams import UpstreamEntry

if TYPE_CHECKING:
    from tanagerscale.forwarding._stream import StreamRun


class StreamHooks(Protocol):
    """Callbacks for state changes of a stream."""

    def on_engine(self, run: StreamRun) -> None:
        """Handle the acceptance of a run by its first engine or by another one."""

    async def recover(
        self, run: StreamRun, source: UpstreamEntry, *, is_stop_requested: bool
    ) -> ResumeTarget | None:
        """Return where to resume a run that broke off, from an earlier copy, or ``None``.

        :param run: The run.
        :param source: Engine that has run it.
        :param is_stop_requested: Whether that engine has been asked to stop it.
        """

    def on_snapshot_unused(self, snapshot: Snapshot) -> None:
        """Handle a copy that is no longer needed."""
