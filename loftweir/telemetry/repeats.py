"""Limits repeating events: one per interval is logged, and the rest are counted. No clock, no I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

MAX_KEYS = 256  # clients can choose what is in a key, and must not choose how much memory the keys take


class Repeats:
    """Stores, for each key, when it was last logged and how many events came since.

    Invariant: every event is either logged, or counted in exactly one number returned by `admit`, `due` or `last`.
    """

    def __init__(self, interval: int) -> None:
        self.interval = interval  # ns
        # For each key: when it was logged, and the number skipped since; the oldest first.
        self.keys: OrderedDict[Hashable, tuple[int, int]] = OrderedDict()

    def admit(self, key: Hashable, now: int) -> int | None:
        """Returns None if this event is to be skipped, else the number skipped before it."""
        logged_at, left_out = self.keys.get(key, (now - self.interval, 0))
        if now - logged_at < self.interval:
            self.keys[key] = logged_at, left_out + 1
            return None
        if key not in self.keys and len(self.keys) >= MAX_KEYS and not self._make_room(now):
            return 0  # too many different keys: this one is logged each time rather than lost
        self.keys[key] = now, 0
        self.keys.move_to_end(key)
        return left_out

    def _make_room(self, now: int) -> bool:
        """Deletes the oldest key whose interval is over and that has no number to report."""
        for key, (logged_at, left_out) in self.keys.items():
            if now - logged_at < self.interval:
                return False  # the rest are newer still
            if not left_out:
                del self.keys[key]
                return True
        return False

    def due(self, now: int) -> list[tuple[Hashable, int]]:
        """The numbers of events skipped whose interval is over and that did not repeat; each is returned once."""
        ended = [(key, left_out) for key, (at, left_out) in self.keys.items() if now - at >= self.interval]
        for key, _ in ended:
            del self.keys[key]
        return [(key, left_out) for key, left_out in ended if left_out]

    def last(self) -> list[tuple[Hashable, int]]:
        """The numbers still to be reported at the end of the program."""
        skipped = [(key, left_out) for key, (_, left_out) in self.keys.items() if left_out]
        self.keys.clear()
        return skipped
