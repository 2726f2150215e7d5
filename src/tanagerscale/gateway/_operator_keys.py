"""What the operators write to the store, followed as one prefix."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from msgspec.structs import replace

from tanagerscale.core import FailureDomainId
from tanagerscale.store import PrefixListener
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import WatchBatch


@final
class OperatorKeys:
    """Gives each listener the keys that concern it, so that one watch serves both.

    :param configuration_key: Key of the configuration.
    :param configuration: Takes the configuration.
    :param evacuated_domain: Returns which failure domain a key evacuates, or ``None``.
    :param evacuations: Takes the keys that evacuate failure domains.
    """

    def __init__(
        self,
        *,
        configuration_key: str,
        configuration: PrefixListener,
        evacuated_domain: Callable[[str], FailureDomainId | None],
        evacuations: PrefixListener,
    ) -> None:
        self._configuration_key = configuration_key
        self._configuration = configuration
        self._evacuated_domain = evacuated_domain
        self._evacuations = evacuations

    def on_snapshot(self, found: StoreRange) -> None:
        """Take in all keys at once."""
        self._configuration.on_snapshot(
            replace(found, entries=self._configuration_entries(found.entries))
        )
        self._evacuations.on_snapshot(
            replace(found, entries=self._evacuation_entries(found.entries))
        )

    def on_changes(self, batch: WatchBatch) -> None:
        """Take in changes."""
        configured = self._configuration_entries(batch.entries)
        if configured:
            self._configuration.on_changes(replace(batch, entries=configured, deleted=()))
        evacuated = self._evacuation_entries(batch.entries)
        ended = tuple(key for key in batch.deleted if self._evacuated_domain(key) is not None)
        if evacuated or ended:
            self._evacuations.on_changes(replace(batch, entries=evacuated, deleted=ended))

    def on_reachability_changed(self, *, reachable: bool) -> None:
        """Note that the store was lost or answers again."""
        self._configuration.on_reachability_changed(reachable=reachable)
        self._evacuations.on_reachability_changed(reachable=reachable)

    def _configuration_entries(self, entries: Sequence[StoreEntry]) -> tuple[StoreEntry, ...]:
        return tuple(entry for entry in entries if entry.key == self._configuration_key)

    def _evacuation_entries(self, entries: Sequence[StoreEntry]) -> tuple[StoreEntry, ...]:
        return tuple(entry for entry in entries if self._evacuated_domain(entry.key) is not None)
