"""Detects that this process itself is overloaded, and computes the share of new requests to reject. No I/O, no clock.

The signal is the age of a request when it is read: how long its bytes were in the kernel, unread, before its turn
came. It works for any share of a core, whatever else runs on the machine, and needs no figure for the core's speed. As
in CoDel (RFC 8289), what counts is the minimum age within an interval: a single burst that is worked off makes some
requests old, a standing queue makes all of them old.

    share  +=  GAIN * clamp((minimum age - TARGET) / TARGET, -1, 1)        once in an INTERVAL

So the share rises by at most GAIN in an interval while the queue stands, and falls at the same rate once it does not.
The balancer weighs it by the requests' worth (`Request.reject_share`); only the balancer rejects requests.
"""

from __future__ import annotations

MS = 1_000_000  # nanoseconds
# The accepted age of a standing queue: well below every class's aim (latency target), well above a turn of the loop.
TARGET = 20 * MS
INTERVAL = 100 * MS  # between two changes of the share
GAIN = 0.1  # the largest change in an interval: the share rises from nothing to nearly all within a second
MOST = 0.95  # the largest share: some requests must get in to show when the overload is over


class Overload:
    """The share of new requests to reject, computed from the age of every request that is read."""

    __slots__ = ("reject_share", "min_age", "ends_at")

    def __init__(self) -> None:
        self.reject_share = 0.0
        self.min_age = -1  # in the current interval, ns; -1: no request was read
        self.ends_at = 0  # when the current interval ends; 0: there was none yet

    def read(self, now: int, age: int) -> float:
        """Record a request that is read `age` ns after its bytes arrived; return the share to reject now."""
        if now >= self.ends_at:
            self._end_interval(now)
        if age < self.min_age or self.min_age < 0:
            self.min_age = age
        return self.reject_share

    def _end_interval(self, now: int) -> None:
        """Adjust the share by the interval that ended, and begin the next one."""
        if self.min_age >= 0:
            self.reject_share += GAIN * max(-1.0, min(1.0, (self.min_age - TARGET) / TARGET))
        # In whole intervals without any request there was no queue.
        idle = (now - self.ends_at) // INTERVAL if self.ends_at else 0
        self.reject_share = min(MOST, max(0.0, self.reject_share - GAIN * idle))
        self.min_age = -1
        self.ends_at = now + INTERVAL
