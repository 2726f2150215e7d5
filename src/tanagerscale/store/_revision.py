"""Order of the store's revisions, also after it has come back from an older copy.

A store that comes back from a copy continues with the revisions of that copy, so that it gives out
numbers again. Each return starts a new era. A :data:`StoreRevision` holds the era and the number in
one integer, the era first, so that every comparison, also on other hosts, orders revisions by era
and then by number.
"""

from __future__ import annotations

from typing import Annotated
from typing import Final
from typing import NewType

import msgspec

StoreRevision = NewType("StoreRevision", int)
"""Era and revision number of a store. In a store without eras it equals the revision number."""

NUMBER_BITS: Final = 48
"""Bits of the number. Eras up to 32,767 keep the whole within the 63 bits of an integer in
messages."""

RevisionNumber = Annotated[int, msgspec.Meta(ge=0, lt=2**NUMBER_BITS)]
"""Revision number as the store writes it."""

LeaseNumber = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Number of a lease as the store writes it; it may be random."""


def make_revision(*, era: int, number: int) -> StoreRevision:
    """Return the revision with a number in an era.

    :param era: Number of times that the store has come back from a copy; 0 without eras.
    :param number: Revision number of the store.
    """
    return StoreRevision((era << NUMBER_BITS) + number)


def era_of(revision: int) -> int:
    """Return the era of a revision; 0 in a store without eras."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the revision number that the store itself uses."""
    return revision & ((1 << NUMBER_BITS) - 1)


def format_revision(revision: int) -> str:
    """Return a revision for logs: the era and the number, as in ``2:35``."""
    return f"{era_of(revision)}:{number_of(revision)}"
