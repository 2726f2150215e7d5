"""HTTP sessions for upstreams whose protocol gives an answer nothing that tells whose it is."""

from __future__ import annotations

import aiohttp


def make_single_use_session(*, auto_decompress: bool = True) -> aiohttp.ClientSession:
    """Return a session whose connections carry one call each.

    The first answer on a connection can't be a late one to another call, and a call can't break
    because its connection had ended before.

    :param auto_decompress: Whether bodies are decompressed.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(connector=connector, auto_decompress=auto_decompress)
