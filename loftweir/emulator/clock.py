"""The event queue of virtual time. Events that are due at the same moment run in the order in which they were added."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

Callback = Callable[..., None]


class Clock:
    """Virtual time and its event queue. `now` is in ns and advances from event to event."""

    __slots__ = ("now", "queue", "sequence", "events")

    def __init__(self, now: int) -> None:
        self.now = now
        self.queue: list[tuple[int, int, Callback, tuple[Any, ...]]] = []
        self.sequence = count()
        self.events = 0  # events run so far

    def call_at(self, when: int, callback: Callback, *arguments: Any) -> None:
        """Schedules a call for a time; a time in the past means now."""
        heapq.heappush(self.queue, (max(when, self.now), next(self.sequence), callback, arguments))

    def call_later(self, delay: int, callback: Callback, *arguments: Any) -> None:
        """Schedules a call after a delay; a negative delay means now."""
        heapq.heappush(self.queue, (self.now + max(0, delay), next(self.sequence), callback, arguments))

    def run(self, until: int) -> None:
        """Runs all events that are due up to and including `until`, then sets the time to it."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(queue)
            self.events += 1
            callback(*arguments)
        self.now = max(self.now, until)
