"""Virtual time: calls that run in the order in which they are due, and the random numbers of a run."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from loftweir.emulator.replication_plan import Plan


class Schedule:
    """Calls that are due at a time; those of the same time run in the order in which they were scheduled."""

    def __init__(self, seed: int, plan: Plan | None) -> None:
        self.seed = seed
        self.plan = plan if plan is not None else Plan.of(seed)
        self.random = Random(seed)
        self.now = 0  # ns of virtual time
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def call_later(self, delay: int, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call after a delay."""
        self._sequence += 1
        heappush(self._queue, (self.now + delay, self._sequence, call, args))

    def run_until(self, until: int, done: Callable[[], bool] = lambda: False) -> bool:
        """Runs calls up to a time or until `done` returns True; returns whether it did."""
        while not done():
            if not self._queue or self._queue[0][0] > until:
                self.now = until
                return done()
            self.now, _, call, args = heappop(self._queue)
            call(*args)
        return True
