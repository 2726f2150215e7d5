"""Generates, hashes and verifies the keys of client accounts."""

from __future__ import annotations

from tanagerscale.accounts._checker import KeyChecker
from tanagerscale.accounts._hashes import GeneratedKey
from tanagerscale.accounts._hashes import check_hash
from tanagerscale.accounts._hashes import generate_key

__all__ = ["GeneratedKey", "KeyChecker", "check_hash", "generate_key"]
