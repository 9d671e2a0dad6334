"""When a response is begun towards its client, rather than buffered further. No I/O, no clock.

A response that is begun can't be replaced by an error any more if its provider breaks off. So one that is long, or may
be, is buffered for a while. A long response counts by its first bytes, so it must be begun before its deadline, even if
nothing but its head has arrived. As long as the length of a response is unknown, nothing tells that it is short.
"""

from __future__ import annotations

from loftweir.net.loop import MS, SECOND

# A response of unknown length that continues to arrive is buffered for this time from its first part on.
MAX_BUFFER_TIME = 200 * MS
# One that pauses: its provider may have failed. What has arrived must not be withheld for 2 s.
MAX_PAUSED_BUFFER_TIME = SECOND
MAX_BUFFER_FACTOR = 4  # up to so many times `limits.held` of a response of unknown length are buffered
BEGIN_MARGIN = 200 * MS  # a response is begun at least so long before its deadline: the process may be held up


class PartTimes:
    """When the parts of a response arrived: the last one, and the longest pause between two of them, in ns."""

    __slots__ = ("last_at", "longest_pause")

    def __init__(self) -> None:
        self.last_at: int | None = None
        self.longest_pause = 0

    def add(self, now: int) -> None:
        """Note that a part has arrived."""
        if self.last_at is not None:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now


class ResponseBuffering:
    """Decides when one response is begun. Times are those of the loop, sizes are in bytes."""

    __slots__ = ("length", "held", "latest", "first_part_at", "times")

    def __init__(self, length: int | None, held: int, head_at: int, give_up_at: int) -> None:
        """`length` of the body, None if unknown; `held`: up to this size a response is buffered whole.

        `head_at`: when the head was read; `give_up_at`: when the attempt times out.
        """
        self.length = length
        self.held = held
        self.latest = give_up_at - min(BEGIN_MARGIN, max(0, give_up_at - head_at) // 2)
        self.first_part_at: int | None = None
        self.times = PartTimes()

    def may_be_long(self) -> bool:
        """Whether the response is long, or may be."""
        return self.length is None or self.length > self.held

    def add_part(self, now: int) -> None:
        """Note that a part of the body has arrived."""
        self.times.add(now)
        if self.first_part_at is None:
            self.first_part_at = now

    def begin_by(self, size: int) -> int:
        """Return until when to wait for more of a response that may be long; `size` bytes of its body are there."""
        if self.first_part_at is None:
            return self.latest
        longest = MAX_BUFFER_TIME if size > self.held else MAX_PAUSED_BUFFER_TIME
        return min(self.first_part_at + longest, self.latest)

    def is_begun(self, size: int, now: int) -> bool:
        """Whether to begin the response now that another part has arrived; its body then has `size` bytes."""
        if self.length is not None:
            return self.length > self.held
        assert self.first_part_at is not None
        return now - self.first_part_at > MAX_BUFFER_TIME or size > MAX_BUFFER_FACTOR * self.held
