"""Event queue of the simulation."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from typing import final


@final
class EventQueue:
    """Runs events in time order; events with the same time run in the order they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._last_number = 0
        self.now = 0.0
        """Time of the current event, in milliseconds."""

    def add(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an event.

        :param when: Simulated time of the event, in milliseconds.
        :param action: Callback to run at that time.
        """
        self._last_number += 1
        heapq.heappush(self._heap, (when, self._last_number, action))

    def clear(self) -> None:
        """Discard all pending events."""
        self._heap.clear()

    def run(self, *, until: float, should_continue: Callable[[], bool]) -> None:
        """Run events until the queue is empty, the end time is passed or the condition fails.

        :param until: End time, in milliseconds; the run stops at the first later event.
        :param should_continue: Returns whether to run the next event.
        """
        while self._heap and should_continue():
            when, _, action = heapq.heappop(self._heap)
            if when > until:
                return
            self.now = when
            action()
