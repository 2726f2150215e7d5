"""Store keys of the declarations."""

from __future__ import annotations


def head_key(*, prefix: str) -> str:
    """Return the store key of the head record."""
    return f"{prefix}/declarations/head"


def chunk_prefix(*, prefix: str) -> str:
    """Return the prefix of the store keys of all chunks."""
    return f"{prefix}/declarations/chunks/"


def chunk_key(*, prefix: str, digest: str) -> str:
    """Return the store key of a chunk."""
    return f"{chunk_prefix(prefix=prefix)}{digest}"
