"""Client of the platform's key-value store."""

from __future__ import annotations

from tanagerscale.store._eras import EraTracker
from tanagerscale.store._etcd import MAX_PUTS
from tanagerscale.store._etcd import EtcdStore
from tanagerscale.store._follow import PrefixFollower
from tanagerscale.store._follow import PrefixListener
from tanagerscale.store._protocol import WATCH_MARGIN_MS
from tanagerscale.store._protocol import ConditionalPut
from tanagerscale.store._protocol import KeyValueStore
from tanagerscale.store._protocol import LeaseId
from tanagerscale.store._protocol import PolledStore
from tanagerscale.store._protocol import PutOutcome
from tanagerscale.store._protocol import Store
from tanagerscale.store._protocol import StoreEntry
from tanagerscale.store._protocol import StoreError
from tanagerscale.store._protocol import StoreErrorKind
from tanagerscale.store._protocol import StoreRange
from tanagerscale.store._protocol import WatchBatch
from tanagerscale.store._protocol import uncertain_error
from tanagerscale.store._protocol import unreachable_error
from tanagerscale.store._revision import LeaseNumber
from tanagerscale.store._revision import RevisionNumber
from tanagerscale.store._revision import StoreRevision
from tanagerscale.store._revision import era_of
from tanagerscale.store._revision import format_revision
from tanagerscale.store._revision import make_revision
from tanagerscale.store._revision import number_of
from tanagerscale.store._state import StoreState

__all__ = [
    "MAX_PUTS",
    "WATCH_MARGIN_MS",
    "ConditionalPut",
    "EraTracker",
    "EtcdStore",
    "KeyValueStore",
    "LeaseId",
    "LeaseNumber",
    "PolledStore",
    "PrefixFollower",
    "PrefixListener",
    "PutOutcome",
    "RevisionNumber",
    "Store",
    "StoreEntry",
    "StoreError",
    "StoreErrorKind",
    "StoreRange",
    "StoreRevision",
    "StoreState",
    "WatchBatch",
    "era_of",
    "format_revision",
    "make_revision",
    "number_of",
    "uncertain_error",
    "unreachable_error",
]
