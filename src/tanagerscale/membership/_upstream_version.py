"""Order of what is said of one upstream, by whomever and whenever it arrives."""

from __future__ import annotations

from typing import Final

from msgspec import Struct


class UpstreamVersion(Struct, frozen=True, order=True):
    """Position of a statement on an upstream among all statements on it.

    The upstream numbers its own statements, so their order holds whatever order the store applies
    them in. Only statements with the same number, such as the removal of an entry, are ordered by
    the store.

    :param sequence: Number that the upstream gave to its statement; 0 if it numbers none.
    :param revision: Store revision, or the incarnation in the host list.
    """

    sequence: int = 0
    revision: int = 0


UNKNOWN_VERSION: Final = UpstreamVersion()
