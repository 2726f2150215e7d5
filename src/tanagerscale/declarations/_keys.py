"""Keys of the declarations in the store."""

from __future__ import annotations


def head_key(*, prefix: str) -> str:
    """Return the key of the head record."""
    return f"{prefix}/declarations/head"


def chunk_prefix(*, prefix: str) -> str:
    """Return what the keys of all chunks begin with."""
    return f"{prefix}/declarations/chunks/"


def chunk_key(*, prefix: str, digest: str) -> str:
    """Return the key of one chunk."""
    return f"{chunk_prefix(prefix=prefix)}{digest}"
