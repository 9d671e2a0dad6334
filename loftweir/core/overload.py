"""When this process itself is behind: the part of new work that it can't carry. No I/O, no clock.

The sign is the age of what is read: how long a request's bytes had been there, unread, when its turn came. It holds
for any share of a core, whatever else runs there, and needs no figure of what the core can do. As in CoDel (RFC 8289)
it is the least age within an interval that counts: one burst that is worked off makes some requests old, a queue that
stands makes all of them old.

    part  +=  GAIN * clamp((least age - TARGET) / TARGET, -1, 1)        once in an INTERVAL

So it rises by at most GAIN in an interval while the queue stands, and falls alike once it doesn't. The decision module
weighs it by worth (`Request.reject_share`): it alone turns anything away.
"""

from __future__ import annotations

MS = 1_000_000
TARGET = 20 * MS  # a queue of this age is kept; well under every aim, well over a turn of the loop
INTERVAL = 100 * MS
GAIN = 0.1  # from nothing to nearly all within a second
MOST = 0.95  # someone must be let in to tell when it is over


class Overload:
    """Fed with the age of every request read; `part` is what is to be turned away."""

    __slots__ = ("part", "least", "ends_at")

    def __init__(self) -> None:
        self.part = 0.0
        self.least = -1  # of this interval, ns; -1: nothing was read
        self.ends_at = 0

    def read(self, now: int, age: int) -> float:
        """A request was read `age` ns after its bytes came; the part to turn away now."""
        if now >= self.ends_at:
            self._interval(now)
        if age < self.least or self.least < 0:
            self.least = age
        return self.part

    def _interval(self, now: int) -> None:
        if self.least >= 0:
            self.part += GAIN * max(-1.0, min(1.0, (self.least - TARGET) / TARGET))
        # Intervals in which nothing came at all: there is no queue.
        idle = (now - self.ends_at) // INTERVAL if self.ends_at else 0
        self.part = min(MOST, max(0.0, self.part - GAIN * idle))
        self.least = -1
        self.ends_at = now + INTERVAL
