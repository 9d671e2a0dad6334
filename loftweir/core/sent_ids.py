"""The ids of requests that must run once and may have run. No I/O, no clock.

A client may leave and send its request again, under the same id, once nothing of the first one is in flight. It could
then run twice.
"""

from __future__ import annotations

from typing import Protocol

SECOND = 1_000_000_000  # nanoseconds
KEPT_FOR = 60 * SECOND
MOST_IDS = 4096  # the oldest are dropped: clients choose how many ids there are


class OtherProcesses(Protocol):
    """The ids that other processes of the same sidecar have sent."""

    def claim(self, request_id: str) -> bool:
        """Show an id to the other processes; return whether none of them has shown it."""

    def discard(self, request_id: str) -> None:
        """Withdraw an id that was claimed."""


class SentIds:
    """The ids of requests that were sent to a provider, each for `KEPT_FOR` and the latest `MOST_IDS` only.

    Invariant: the entries are in the order in which they were claimed.
    """

    def __init__(self) -> None:
        self.claimed_at: dict[str, int] = {}
        self.others: OtherProcesses | None = None

    def claim(self, request_id: str, now: int) -> bool:
        """Note that a request is about to be sent for the first time; return False if its id was sent before."""
        self._expire(now)
        if request_id in self.claimed_at:
            return False
        if self.others is not None and not self.others.claim(request_id):
            return False
        self.claimed_at[request_id] = now
        return True

    def discard(self, request_id: str) -> None:
        """Forget an id whose request is known not to have run."""
        if self.claimed_at.pop(request_id, None) is not None and self.others is not None:
            self.others.discard(request_id)

    def _expire(self, now: int) -> None:
        while self.claimed_at:
            oldest = next(iter(self.claimed_at))
            if len(self.claimed_at) < MOST_IDS and self.claimed_at[oldest] > now - KEPT_FOR:
                return
            del self.claimed_at[oldest]
