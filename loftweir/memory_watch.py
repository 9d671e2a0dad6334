"""Logs how the process's memory is used: the budgets at the start, and a warning near the platform's limit."""

from __future__ import annotations

import os
from pathlib import Path

from loftweir.config.spec import KIB
from loftweir.http1.back import Backend
from loftweir.http1.front import Frontend
from loftweir.http1.stage import Stage
from loftweir.net.loop import MS, Coroutine, Loop, Wait
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
    """Watches the resident memory of the process."""

    def __init__(self, loop: Loop, front: Frontend, back: Backend, limit: int) -> None:
        """`limit`: the platform's, in bytes."""
        self.loop = loop
        self.front = front
        self.back = back
        self.limit = limit

    def log_limits(self) -> None:
        """Log the limit, what is resident now, and the budgets."""
        emit(
            MEMORY_LIMITS,
            limit_kb=self.limit // KIB,
            resident_kb=resident_bytes() // KIB,
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
