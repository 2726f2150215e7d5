"""Errors of applying a set and of putting a revision in force."""

from __future__ import annotations

from enum import Enum
from enum import unique
from typing import final

from msgspec import Struct

from tanagerscale.core import Revision

NO_REVISION = Revision(0)


@unique
class ApplyErrorKind(Enum):
    """Reason why a set was not accepted, or may not have been accepted."""

    CONFLICT = "conflict"
    """Another revision was accepted first; this set was not accepted."""
    STORE_UNREACHABLE = "store-unreachable"
    """The store is unreachable; nothing was accepted."""
    REFUSED = "refused"
    """The store rejected a call; nothing was accepted."""
    UNCERTAIN = "uncertain"
    """The reply was lost and all retries failed; the same apply id gets the outcome later."""
    TOO_LARGE = "too-large"
    """A section is too large for the store; nothing was accepted."""
    DAMAGED = "damaged"
    """The head record in the store can't be decoded."""


@final
class ApplyError(Struct, frozen=True, kw_only=True):
    """Error returned when a set was not accepted or its outcome is unknown.

    :param kind: Reason of the error.
    :param detail: Sentence that describes the error and what the operator can do.
    :param in_force: The accepted revision; 0 if it is unknown.
    :param author: On a conflict, author of the accepted revision; empty if unknown.
    :param changes: On a conflict, the changes made by other revisions, one line each.
    """

    kind: ApplyErrorKind
    detail: str
    in_force: Revision = NO_REVISION
    author: str = ""
    changes: tuple[str, ...] = ()


@unique
class FollowErrorKind(Enum):
    """Reason why a host could not put a newer revision in force."""

    STORE_FAILED = "store-failed"
    BAD_HEAD = "bad-head"
    CHUNK_MISSING = "chunk-missing"
    CHUNK_CORRUPT = "chunk-corrupt"
    BAD_SECTION = "bad-section"
    CONFLICTING_HEAD = "conflicting-head"
    """The revision in force was received with other content, as after a restored backup."""


@final
class FollowError(Struct, frozen=True, kw_only=True):
    """Error returned when a revision can't be put in force; the host keeps its own and retries.

    :param kind: Reason of the error.
    :param detail: Sentence that describes the error and what the operator can do.
    :param revision: The revision that failed; 0 if it is unknown.
    """

    kind: FollowErrorKind
    detail: str
    revision: Revision = NO_REVISION
