"""Shares one limit of a sidecar (descriptors, memory, a retry budget) among its services.

Pure: no I/O and no clock.

Each service may have a fraction `alpha` of what is still free (Choudhury and Hahne, "Dynamic Queue Length Thresholds
for Shared-Memory Packet Switches", 1998). So no service has to be known in advance, one that uses nothing costs
nothing, and n services that all want more converge to an equal alpha / (1 + n * alpha) of the whole, which leaves 1 /
(1 + n * alpha) for the next one.

Invariants:
 1. The units in use, over all services and balancers, never exceed `total`.
 2. `in_use` has only services that use something.
"""

from __future__ import annotations


class SharedLimit:
    """A limit in any unit. `alpha` is `numerator` / `denominator`."""

    def __init__(self, total: int, numerator: int = 2, denominator: int = 1) -> None:
        if total < 1 or numerator < 1 or denominator < 1:
            raise ValueError(f"a limit and its ratio have to be 1 or more, not {total}, {numerator} / {denominator}")
        self.total, self.numerator, self.denominator = total, numerator, denominator
        self.free = total
        self.in_use: dict[str, int] = {}

    def available(self, service: str) -> int:
        """How many more units the service may acquire now. A service without any may acquire one while one is free."""
        used = self.in_use.get(service, 0)
        # With x more, used + x <= alpha * (free - x), so that a service can acquire at once what it could acquire one
        # by one.
        by_alpha = (self.numerator * self.free - self.denominator * used) // (self.numerator + self.denominator)
        minimum = 1 if not used and self.free > 0 else 0
        return max(by_alpha, minimum)

    def acquire(self, service: str, count: int = 1) -> bool:
        """Acquires the units and returns True, or returns False if they are not available."""
        if count < 1 or count > self.available(service):
            return False
        self.free -= count
        self.in_use[service] = self.in_use.get(service, 0) + count
        return True

    def release(self, service: str, count: int = 1) -> None:
        """Releases units. Raises ValueError for more than the service has acquired, which is an error of the caller."""
        used = self.in_use.get(service, 0)
        if not 1 <= count <= used:
            raise ValueError(f"{service} has {used} units and releases {count}")
        self.free += count
        if used > count:
            self.in_use[service] = used - count
        else:
            del self.in_use[service]

    def resize(self, total: int) -> None:
        """Changes the limit. If more is in use, nothing can be acquired until enough was released."""
        if total < 1:
            raise ValueError(f"a limit has to be 1 or more, not {total}")
        self.free += total - self.total
        self.total = total
