"""One limit of a sidecar (descriptors, memory, a budget of repeats), shared out among its services. Pure.

Each service may hold a part `alpha` of what is still free (Choudhury and Hahne, "Dynamic Queue Length Thresholds for
Shared-Memory Packet Switches", 1998): no service has to be known beforehand, one that holds nothing costs nothing, and
n services that want all settle at an equal alpha / (1 + n * alpha) of the whole, which leaves 1 / (1 + n * alpha) for
whoever comes next.

Invariants:
 1. What is held is never more than `total`, over all services and balancers together.
 2. `held` has those services only that hold something.
"""

from __future__ import annotations


class Shared:
    """Counts in units of whatever is limited. `alpha` is `over` / `under`."""

    def __init__(self, total: int, over: int = 2, under: int = 1) -> None:
        if total < 1 or over < 1 or under < 1:
            raise ValueError(f"a limit and its ratio are 1 or more, not {total}, {over} / {under}")
        self.total, self.over, self.under = total, over, under
        self.free = total
        self.held: dict[str, int] = {}

    def room(self, service: str) -> int:
        """How many more it may take now. One that holds nothing may take one while any is free."""
        has = self.held.get(service, 0)
        # With x more, has + x <= alpha * (free - x), so that what one takes at once is what it could take by ones.
        most = (self.over * self.free - self.under * has) // (self.over + self.under)
        least = 1 if not has and self.free > 0 else 0
        return max(most, least)

    def take(self, service: str, count: int = 1) -> bool:
        if count < 1 or count > self.room(service):
            return False
        self.free -= count
        self.held[service] = self.held.get(service, 0) + count
        return True

    def give(self, service: str, count: int = 1) -> None:
        """Raises ValueError for more than it holds: whoever counts has lost count."""
        has = self.held.get(service, 0)
        if not 1 <= count <= has:
            raise ValueError(f"{service} holds {has} and gives back {count}")
        self.free += count
        if has > count:
            self.held[service] = has - count
        else:
            del self.held[service]

    def resize(self, total: int) -> None:
        """Another limit; where more is held than that, nothing is taken until enough was given back."""
        if total < 1:
            raise ValueError(f"a limit is 1 or more, not {total}")
        self.free += total - self.total
        self.total = total
