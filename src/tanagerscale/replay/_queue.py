"""What is going to happen in virtual time."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from typing import final


@final
class EventQueue:
    """Carries out events in the order of their times, those of one time as they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self.now = 0.0
        """Time of the event that is carried out, in milliseconds."""

    def add(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a time.

        :param when: In milliseconds.
        :param action: What to do.
        """
        self._number += 1
        heapq.heappush(self._heap, (when, self._number, action))

    def clear(self) -> None:
        """Drop all that has not happened."""
        self._heap.clear()

    def run(self, *, until: float, goes_on: Callable[[], bool]) -> None:
        """Carry out events.

        :param until: Later ones are left.
        :param goes_on: Returns whether anything is still to be done.
        """
        while self._heap and goes_on():
            when, _, action = heapq.heappop(self._heap)
            if when > until:
                return
            self.now = when
            action()
