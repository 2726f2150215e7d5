"""Random keys and their salted hashes."""

from __future__ import annotations

import secrets
from typing import final

from argon2 import PasswordHasher
from argon2 import extract_parameters
from argon2.exceptions import InvalidHashError
from argon2.exceptions import VerificationError
from msgspec import Struct

KEY_SEPARATOR = "."
SECRET_BYTES = 32
# A key has 256 random bits, so the hash needs no more work than keeps a first check short.
HASHER = PasswordHasher(time_cost=2, memory_cost=8 * 1024, parallelism=1)
# A hash in a declarations file must not be able to use up a host.
MAX_MEMORY_KIB = 64 * 1024
MAX_TIME_COST = 10


@final
class NewKey(Struct, frozen=True, kw_only=True):
    """A key made for an account.

    :param key: What the caller sends as bearer token; it is kept nowhere else.
    :param key_hash: What stands in the declarations.
    """

    key: str
    key_hash: str


def make_key(*, account: str) -> NewKey:
    """Make a random key for an account.

    :param account: The account's name, which becomes the first part of the key.
    """
    key = f"{account}{KEY_SEPARATOR}{secrets.token_urlsafe(SECRET_BYTES)}"
    return NewKey(key=key, key_hash=HASHER.hash(key))


def account_of(*, key: str) -> str:
    """Return the account's name that a key begins with; empty when it has none."""
    return key.rpartition(KEY_SEPARATOR)[0]


def matches(*, key: str, key_hash: str) -> bool:
    """Tell whether a key belongs to a hash; this takes milliseconds on purpose."""
    try:
        return HASHER.verify(key_hash, key)
    except (VerificationError, InvalidHashError):
        return False


def hash_problem(*, key_hash: str) -> str:
    """Say what is wrong with a hash in the declarations.

    :returns: What is allowed, or the empty string when nothing is wrong.
    """
    allowed = "a hash made by 'tanagerscale key ACCOUNT'"
    try:
        parameters = extract_parameters(key_hash)
    except (InvalidHashError, ValueError):
        return allowed
    if parameters.memory_cost > MAX_MEMORY_KIB or parameters.time_cost > MAX_TIME_COST:
        return f"{allowed}; this one costs more than {MAX_MEMORY_KIB} KiB or {MAX_TIME_COST} passes"
    return ""
