"""Delivery of tokens to callers: once, in order, from one generation."""

from __future__ import annotations

from tanagerscale.delivery._cursor import Cursor
from tanagerscale.delivery._cursor import CursorBinding
from tanagerscale.delivery._cursor import CursorSigner
from tanagerscale.delivery._cursor import verify_cursor
from tanagerscale.delivery._sinks import EventFormat
from tanagerscale.delivery._sinks import EventWriter
from tanagerscale.delivery._sinks import StreamSink
from tanagerscale.delivery._sinks import WholeSink

__all__ = [
    "Cursor",
    "CursorBinding",
    "CursorSigner",
    "EventFormat",
    "EventWriter",
    "StreamSink",
    "WholeSink",
    "verify_cursor",
]
