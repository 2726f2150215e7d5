"""Declarations: read from files, published to the store as one set and followed by each host."""

from __future__ import annotations

from tanagerscale.declarations._checks import check_name
from tanagerscale.declarations._declarations import Declarations
from tanagerscale.declarations._diff import Change
from tanagerscale.declarations._diff import ChangeKind
from tanagerscale.declarations._diff import diff_sections
from tanagerscale.declarations._errors import ApplyError
from tanagerscale.declarations._errors import ApplyErrorKind
from tanagerscale.declarations._errors import FollowError
from tanagerscale.declarations._errors import FollowErrorKind
from tanagerscale.declarations._fetch import AcceptedRevision
from tanagerscale.declarations._fetch import read_accepted_revision
from tanagerscale.declarations._follower import Follower
from tanagerscale.declarations._publish import publish
from tanagerscale.declarations._reader import read_declarations
from tanagerscale.declarations._sections import encode_sections

__all__ = [
    "AcceptedRevision",
    "ApplyError",
    "ApplyErrorKind",
    "Change",
    "ChangeKind",
    "Declarations",
    "FollowError",
    "FollowErrorKind",
    "Follower",
    "check_name",
    "diff_sections",
    "encode_sections",
    "publish",
    "read_accepted_revision",
    "read_declarations",
]
