"""Virtual time: calls in the order in which they are due, and the run that a seed decides."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from loftweir.emulator.replication_plan import Plan


class Schedule:
    """Calls to come, each at a time; of one time, in the order in which they were made."""

    def __init__(self, seed: int, plan: Plan | None) -> None:
        self.seed = seed
        self.plan = plan if plan is not None else Plan.of(seed)
        self.random = Random(seed)
        self.now = 0  # ns of virtual time
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0

    def call_later(self, after: int, call: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heappush(self._queue, (self.now + after, self._order, call, args))

    def run_until(self, until: int, over: Callable[[], bool] = lambda: False) -> bool:
        """Goes on until that time, or until it is `over`: whether it was."""
        while not over():
            if not self._queue or self._queue[0][0] > until:
                self.now = until
                return over()
            self.now, _, call, args = heappop(self._queue)
            call(*args)
        return True
