"""Declarations: read from files, accepted as one set, followed by every host."""

from __future__ import annotations

from tanagerscale.declarations._checks import name_problem
from tanagerscale.declarations._declarations import Declarations
from tanagerscale.declarations._diff import Change
from tanagerscale.declarations._diff import ChangeKind
from tanagerscale.declarations._diff import diff_sections
from tanagerscale.declarations._errors import ApplyError
from tanagerscale.declarations._errors import ApplyErrorKind
from tanagerscale.declarations._errors import FollowError
from tanagerscale.declarations._errors import FollowErrorKind
from tanagerscale.declarations._fetch import Accepted
from tanagerscale.declarations._fetch import read_accepted
from tanagerscale.declarations._follower import Follower
from tanagerscale.declarations._publish import publish
from tanagerscale.declarations._reader import read_declarations
from tanagerscale.declarations._sections import to_sections

__all__ = [
    "Accepted",
    "ApplyError",
    "ApplyErrorKind",
    "Change",
    "ChangeKind",
    "Declarations",
    "FollowError",
    "FollowErrorKind",
    "Follower",
    "diff_sections",
    "name_problem",
    "publish",
    "read_accepted",
    "read_declarations",
    "to_sections",
]
