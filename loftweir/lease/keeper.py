"""The leader's side of leases: expiry by the leader's clock. No I/O: times are passed in, in ns, and never decrease.

The state machine keeps a lease valid until it is released or an `ExpireLease` is committed for it. Only the leader
proposes one, once the whole time to live has passed by its clock since it applied the last grant or renewal.

Invariants:

- An `ExpireLease` names the renewal that was timed, and the state machine rejects it if there was a later one. Every
  renewal with an Ok has thus been timed in full by the leader that ends the lease, or it prevents the end.
- A new leader restarts the countdown of each lease in full when the first entry of its term is applied. Everything that
  ever got an Ok is applied by then, and was requested earlier. How much time earlier leaders had counted does not
  matter.
- A member that is not the leader counts nothing and proposes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from loftweir.replication.machine import SECOND, ExpireLease, Lease

REPROPOSE_DELAY = SECOND  # a proposal may be lost, and is repeated after this


class LeaseCountdown(NamedTuple):
    """When a lease ends by this leader's clock, and what that refers to."""

    until: int
    token: int
    renewed: int


class LeaseExpirer:
    """One member's countdowns. `became_leader` and `lost_leadership` follow its role; `lease_changed` follows each
    entry that it applies while it leads.
    """

    def __init__(self) -> None:
        self.is_leader = False
        self.countdowns: dict[str, LeaseCountdown] = {}  # by lease
        self.next_at: int | None = None  # when to call `due_expirations`; may be too early, never too late

    def became_leader(self, now: int, leases: Mapping[str, Lease]) -> None:
        """The first entry of this leader's term is applied; `now` is read after that."""
        self.is_leader, self.countdowns, self.next_at = True, {}, None
        for lease_name, lease in leases.items():
            self.lease_changed(now, lease_name, lease)

    def lost_leadership(self) -> None:
        """Another member leads, or none."""
        self.is_leader, self.countdowns, self.next_at = False, {}, None

    def lease_changed(self, now: int, lease_name: str, lease: Lease | None) -> None:
        """An entry granted, renewed or ended (None) this lease (`Machine.changed_lease`); `now` is read after applying
        it.
        """
        if not self.is_leader:
            return
        self.countdowns.pop(lease_name, None)
        if lease is not None:
            self._start_countdown(lease_name, LeaseCountdown(now + lease.ttl, lease.token, lease.renewed))

    def due_expirations(self, now: int) -> list[ExpireLease]:
        """What the leader has to propose now, each as `Command("", 0, operation)`."""
        if self.next_at is None or now < self.next_at:
            return []
        over = [(lease_name, counted) for lease_name, counted in self.countdowns.items() if counted.until <= now]
        self.next_at = None
        for lease_name, counted in self.countdowns.items():
            again = now + REPROPOSE_DELAY if counted.until <= now else counted.until
            self._start_countdown(lease_name, counted._replace(until=again))
        return [ExpireLease(lease_name, counted.token, counted.renewed) for lease_name, counted in over]

    def _start_countdown(self, lease_name: str, counted: LeaseCountdown) -> None:
        self.countdowns[lease_name] = counted
        self.next_at = counted.until if self.next_at is None else min(self.next_at, counted.until)
