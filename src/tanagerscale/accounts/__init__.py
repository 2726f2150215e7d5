"""Keys of client accounts: making, hashing and checking them."""

from __future__ import annotations

from tanagerscale.accounts._checker import KeyChecker
from tanagerscale.accounts._hashes import NewKey
from tanagerscale.accounts._hashes import hash_problem
from tanagerscale.accounts._hashes import make_key

__all__ = ["KeyChecker", "NewKey", "hash_problem", "make_key"]
