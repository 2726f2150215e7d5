"""Transport whose reading and closing are decided together with the input before the parser."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from typing import final


@final
class GatedTransport(asyncio.Transport):
    """Passes everything on to a transport, except when HTTP pauses or resumes reading or closes it.

    :param transport: Transport of the connection.
    :param on_change: Called after the parser has paused or resumed reading.
    :param lingers: Called before the connection is closed; returns whether it stays open for its
        client to read what was sent.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        *,
        on_change: Callable[[], None],
        lingers: Callable[[], bool],
    ) -> None:
        super().__init__()
        self._transport = transport
        self._on_change = on_change
        self._lingers = lingers
        self._is_reading = True
        self.is_paused = False
        """Whether the parser takes no input."""

    def is_reading(self) -> bool:
        """Return whether the connection is read."""
        return self._transport.is_reading()

    def pause_reading(self) -> None:
        """Let the parser get no more input."""
        self.is_paused = True
        self._on_change()

    def resume_reading(self) -> None:
        """Let the parser get input again."""
        self.is_paused = False
        self._on_change()

    def set_reading(self, is_reading: bool) -> None:
        """Read the connection, or let its input wait in the kernel."""
        if self._is_reading == is_reading or self._transport.is_closing():
            return
        self._is_reading = is_reading
        if is_reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information on the connection."""
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return self._transport.is_closing()

    def close(self) -> None:
        """Close the connection after what waits has been sent, or read."""
        if not self._lingers():
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol of the connection."""
        self._transport.set_protocol(protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of the connection."""
        return self._transport.get_protocol()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        self._transport.write(data)

    def writelines(self, list_of_data: Any) -> None:
        """Send several buffers."""
        self._transport.writelines(list_of_data)

    def write_eof(self) -> None:
        """End the sending direction after what waits has been sent."""
        self._transport.write_eof()

    def can_write_eof(self) -> bool:
        """Return whether the sending direction can be ended by itself."""
        return self._transport.can_write_eof()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that wait to be sent."""
        return self._transport.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the sizes at which writing resumes and pauses."""
        return self._transport.get_write_buffer_limits()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the sizes at which writing pauses and resumes."""
        self._transport.set_write_buffer_limits(high=high, low=low)
