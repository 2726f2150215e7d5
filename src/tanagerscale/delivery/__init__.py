"""Delivery of a generation's tokens to callers, each exactly once and in order."""

from __future__ import annotations

from tanagerscale.delivery._cursor import Cursor
from tanagerscale.delivery._cursor import CursorBinding
from tanagerscale.delivery._cursor import CursorSigner
from tanagerscale.delivery._cursor import verify_cursor
from tanagerscale.delivery._sinks import BufferedSink
from tanagerscale.delivery._sinks import EventFormat
from tanagerscale.delivery._sinks import EventWriter
from tanagerscale.delivery._sinks import StreamSink

__all__ = [
    "BufferedSink",
    "Cursor",
    "CursorBinding",
    "CursorSigner",
    "EventFormat",
    "EventWriter",
    "StreamSink",
    "verify_cursor",
]
