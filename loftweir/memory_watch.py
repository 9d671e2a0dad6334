"""Keeps the process within the platform's memory: fits the budgets to what is left, and warns near the limit."""

from __future__ import annotations

import os
from pathlib import Path

from loftweir.config.spec import KIB
from loftweir.http1.back import Backend
from loftweir.http1.front import Frontend
from loftweir.http1.stage import Stage
from loftweir.net.loop import MS, Coroutine, Loop, Wait
from loftweir.net.memory import BudgetSizes
from loftweir.telemetry.catalogue import MEMORY_HIGH, MEMORY_LIMITS
from loftweir.telemetry.log import emit

CHECK_INTERVAL = 100 * MS
HIGH_SHARE = 0.9  # of the limit
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes
STATM = Path("/proc/self/statm")  # sizes in pages; the second one is the resident size
ASSUMED_RESIDENT = 24 * 1024 * KIB  # bytes: where the kernel does not tell


def resident_bytes() -> int:
    """Return the resident memory of this process, as the kernel counts it, in bytes."""
    try:
        return int(STATM.read_bytes().split()[1]) * PAGE_SIZE
    except (OSError, ValueError, IndexError):
        return ASSUMED_RESIDENT


class MemoryWatch:
    """Fits the budgets to the limit, and watches the resident memory of the process."""

    def __init__(self, loop: Loop, front: Frontend, back: Backend, limit: int) -> None:
        """`limit`: the platform's, in bytes."""
        self.loop = loop
        self.front = front
        self.back = back
        self.limit = limit

    def fit_budgets(self) -> None:
        """Fit the budgets into what the limit leaves now, before any request, and log them."""
        resident = resident_bytes()
        sizes = BudgetSizes(self.front.budget.size, self.back.budget.size)
        fitted = sizes.fitted(self.limit, resident, self.front.max_clients)
        self.front.budget.resize(fitted.requests)
        self.back.budget.resize(fitted.answers)
        emit(
            MEMORY_LIMITS,
            limit_kb=self.limit // KIB,
            resident_kb=resident // KIB,
            requests_kb=self.front.budget.size // KIB,
            answers_kb=self.back.budget.size // KIB,
            connections=self.front.max_clients,
        )

    def run(self) -> Coroutine[None]:
        """Check the resident memory until it is cancelled."""
        while True:
            yield Wait(None, 0, self.loop.now() + CHECK_INTERVAL)
            resident = resident_bytes()
            if resident > HIGH_SHARE * self.limit:
                self._log_high(resident)

    def _log_high(self, resident: int) -> None:
        stages = [client.stage for client in self.front.clients]
        emit(
            MEMORY_HIGH,
            resident_kb=resident // KIB,
            limit_kb=self.limit // KIB,
            connections=len(stages),
            begun=stages.count(Stage.BEGUN),
            busy=stages.count(Stage.BUSY),
            requests_left_kb=self.front.budget.left // KIB,
            answers_left_kb=self.back.budget.left // KIB,
        )
