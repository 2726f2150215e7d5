"""Why a set could not be applied, or a revision not be put in force."""

from __future__ import annotations

from enum import Enum
from enum import unique
from typing import final

from msgspec import Struct

from tanagerscale.core import Revision

NO_REVISION = Revision(0)


@unique
class ApplyErrorKind(Enum):
    """Why a set was not accepted, or may not have been."""

    CONFLICT = "conflict"
    """Another revision was accepted first; nothing of this one was."""
    STORE_UNREACHABLE = "store-unreachable"
    """The store could not be reached; nothing was accepted."""
    REFUSED = "refused"
    """The store refused a call; nothing was accepted."""
    UNCERTAIN = "uncertain"
    """The reply was lost and reading back failed too; the same apply id settles it."""
    TOO_LARGE = "too-large"
    """A section or the whole is too large for the store; nothing was accepted."""
    DAMAGED = "damaged"
    """What stands in the store can't be read."""


@final
class ApplyError(Struct, frozen=True, kw_only=True):
    """A set that was not accepted, or perhaps not.

    :param kind: Why.
    :param detail: One sentence that names the remedy.
    :param in_force: The revision that is accepted now, 0 when it isn't known.
    :param author: On a conflict, who had the other revision accepted.
    :param changes: On a conflict, what the other revisions changed, one line each.
    """

    kind: ApplyErrorKind
    detail: str
    in_force: Revision = NO_REVISION
    author: str = ""
    changes: tuple[str, ...] = ()


@unique
class FollowErrorKind(Enum):
    """Why a host keeps the revision that it has."""

    STORE_FAILED = "store-failed"
    BAD_HEAD = "bad-head"
    CHUNK_MISSING = "chunk-missing"
    CHUNK_CORRUPT = "chunk-corrupt"
    BAD_SECTION = "bad-section"
    CONFLICTING_HEAD = "conflicting-head"
    """The same or a lower revision with other content, as after a restored backup."""


@final
class FollowError(Struct, frozen=True, kw_only=True):
    """A revision that a host could not put in force; it keeps the one it has and tries again.

    :param kind: Why.
    :param detail: One sentence that names the remedy.
    :param revision: The revision concerned, 0 when it isn't known.
    """

    kind: FollowErrorKind
    detail: str
    revision: Revision = NO_REVISION
