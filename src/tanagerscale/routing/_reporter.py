"""Reports to owners how many tokens the generations of this host have generated."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from tanagerscale.core import HostId
from tanagerscale.generated.messages import Progress
from tanagerscale.membership import Message
from tanagerscale.routing._cell_owners import CellOwners
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._placement_table import PlacementRecord
from tanagerscale.routing._placement_table import PlacementTable


@final
class ProgressReporter:
    """Sends the progress of all placements of a cell to its owner in one message.

    :param host: Id of this host.
    :param records: Placements of this host.
    :param fallbacks: Fallback owners on this host, which get the progress of their placements.
    :param send: Sends a message to a host.
    """

    def __init__(
        self,
        *,
        host: HostId,
        records: PlacementTable,
        fallbacks: CellOwners,
        send: Callable[[HostId, Message], None],
    ) -> None:
        self._host = host
        self._records = records
        self._fallbacks = fallbacks
        self._send = send
        self._changed: set[int] = set()

    def mark_changed(self, record: PlacementRecord) -> None:
        """Include a placement, which has new tokens, in the next report."""
        self._changed.add(record.serial)

    def report(self, *, include_unchanged: bool) -> None:
        """Send progress messages to the owners.

        :param include_unchanged: Whether to include placements without new tokens, which renews
            their reservations.
        """
        records_by_owner: dict[tuple[HostId, CellId], list[PlacementRecord]] = {}
        for record in self._records:
            if record.placement is not None and (
                include_unchanged or record.serial in self._changed
            ):
                records_by_owner.setdefault((record.owner, record.cell), []).append(record)
        self._changed.clear()
        for (owner, cell), records in records_by_owner.items():
            self._send(owner, _build_progress(cell, records))
            fallback_records = [record for record in records if record.in_fallback]
            fallback = self._fallbacks.find(cell)
            if fallback_records and fallback is not None:
                fallback.on_progress(
                    host=self._host, progress=_build_progress(cell, fallback_records)
                )


def _build_progress(cell: CellId, records: Sequence[PlacementRecord]) -> Progress:
    return Progress(
        cell=cell,
        serials=[record.serial for record in records],
        tokens=[record.tokens for record in records],
    )
