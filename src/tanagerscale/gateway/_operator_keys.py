"""Listener for the store keys that operators write, followed as one prefix."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from msgspec.structs import replace

from tanagerscale.core import FailureDomainId
from tanagerscale.store import PrefixListener
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreState
from tanagerscale.store import WatchBatch


@final
class OperatorKeyListener:
    """Passes each key to the listener that handles it, so that one watch serves two listeners.

    :param configuration_key: Store key of the configuration.
    :param configuration: Listener for the configuration.
    :param parse_evacuated_domain: Returns the failure domain that a key evacuates, or ``None``.
    :param evacuations: Listener for the keys that evacuate failure domains.
    """

    def __init__(
        self,
        *,
        configuration_key: str,
        configuration: PrefixListener,
        parse_evacuated_domain: Callable[[str], FailureDomainId | None],
        evacuations: PrefixListener,
    ) -> None:
        self._configuration_key = configuration_key
        self._configuration = configuration
        self._evacuated_domain = parse_evacuated_domain
        self._evacuations = evacuations

    def on_snapshot(self, snapshot: StoreRange) -> None:
        """Replace all known keys by a snapshot."""
        # Evacuations come first: they are decoded from keys alone, and the configuration may fail.
        self._evacuations.on_snapshot(
            replace(snapshot, entries=self._evacuation_entries(snapshot.entries))
        )
        self._configuration.on_snapshot(
            replace(snapshot, entries=self._configuration_entries(snapshot.entries))
        )

    def on_changes(self, batch: WatchBatch) -> None:
        """Apply changes."""
        evacuated = self._evacuation_entries(batch.entries)
        ended = tuple(key for key in batch.deleted if self._evacuated_domain(key) is not None)
        if evacuated or ended:
            self._evacuations.on_changes(replace(batch, entries=evacuated, deleted=ended))
        configured = self._configuration_entries(batch.entries)
        if configured:
            self._configuration.on_changes(replace(batch, entries=configured, deleted=()))

    def on_store_state(self, state: StoreState) -> None:
        """Pass on the state of the store."""
        self._configuration.on_store_state(state)
        self._evacuations.on_store_state(state)

    def _configuration_entries(self, entries: Sequence[StoreEntry]) -> tuple[StoreEntry, ...]:
        return tuple(entry for entry in entries if entry.key == self._configuration_key)

    def _evacuation_entries(self, entries: Sequence[StoreEntry]) -> tuple[StoreEntry, ...]:
        return tuple(entry for entry in entries if self._evacuated_domain(entry.key) is not None)
