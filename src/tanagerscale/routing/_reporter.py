"""Tells owners how far the generations of this host are."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from tanagerscale.core import HostId
from tanagerscale.generated.messages import Progress
from tanagerscale.membership import Message
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._deciders import Deciders
from tanagerscale.routing._entry import Entry
from tanagerscale.routing._entry import EntryTable


@final
class ProgressReporter:
    """Sends one message to each owner for all of this host's placements there.

    :param host: The host that this process is.
    :param entries: Its placements.
    :param fallbacks: Its own deciders, which are told too where they decided.
    :param tell: Sends a message to a host.
    """

    def __init__(
        self,
        *,
        host: HostId,
        entries: EntryTable,
        fallbacks: Deciders,
        tell: Callable[[HostId, Message], None],
    ) -> None:
        self._host = host
        self._entries = entries
        self._fallbacks = fallbacks
        self._tell = tell
        self._changed: set[int] = set()

    def note(self, entry: Entry) -> None:
        """Record that a placement has made tokens."""
        self._changed.add(entry.serial)

    def report(self, *, everything: bool) -> None:
        """Tell the owners.

        :param everything: Whether to name placements without news too, which keeps them reserved.
        """
        groups: dict[tuple[HostId, CellId], list[Entry]] = {}
        for entry in self._entries:
            if entry.placement is not None and (everything or entry.serial in self._changed):
                groups.setdefault((entry.owner, entry.cell), []).append(entry)
        self._changed.clear()
        for (owner, cell), entries in groups.items():
            self._tell(owner, _progress(cell, entries))
            mine = [entry for entry in entries if entry.in_fallback]
            fallback = self._fallbacks.find(cell)
            if mine and fallback is not None:
                fallback.on_progress(host=self._host, progress=_progress(cell, mine))


def _progress(cell: CellId, entries: Sequence[Entry]) -> Progress:
    return Progress(
        cell=cell,
        serials=[entry.serial for entry in entries],
        tokens=[entry.tokens for entry in entries],
    )
