"""The leader's side of leases: whose time is up, by the leader's clock. Pure: times come in, ns, and only go forward.

The machine keeps a lease in force until it is released or an `Expire` is committed for it; only the leader proposes
one, once the whole time to live has passed on its clock since it applied the last grant or renewal that it knows of.

Invariants:

- An `Expire` names the renewal that was counted, and the machine refuses it where it has a later one. So whatever a
  holder was told OK for has been counted in full by the leader that ends it, or ends nothing.
- A new leader counts each lease anew in full from when the first entry of its term is applied. All that was ever
  answered OK is applied then, and was asked for earlier. How long others had counted before does not matter.
- Who is not the leader counts nothing, and proposes nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from loftweir.replication.machine import SECOND, ExpireLease, Lease

REPROPOSE_DELAY = SECOND  # a proposal may be lost: it is made again


class LeaseCountdown(NamedTuple):
    until: int
    token: int
    renewed: int


class LeaseExpirer:
    """One member's. `led` and `lost` follow its leadership; `saw` follows each entry that it applies meanwhile."""

    def __init__(self) -> None:
        self.leads = False
        self.counts: dict[str, LeaseCountdown] = {}  # by duty
        self.next_at: int | None = None  # when `due` is to be asked; it may be early, never late

    def led(self, now: int, leases: Mapping[str, Lease]) -> None:
        """The first entry of its term is applied; `now` is read after that."""
        self.leads, self.counts, self.next_at = True, {}, None
        for duty, lease in leases.items():
            self.saw(now, duty, lease)

    def lost(self) -> None:
        """Another leads, or none."""
        self.leads, self.counts, self.next_at = False, {}, None

    def saw(self, now: int, duty: str, lease: Lease | None) -> None:
        """An entry granted, renewed or ended (None) this lease (`Machine.moved`); `now` is read after applying it."""
        if not self.leads:
            return
        self.counts.pop(duty, None)
        if lease is not None:
            self._count(duty, LeaseCountdown(now + lease.ttl, lease.token, lease.renewed))

    def due(self, now: int) -> list[ExpireLease]:
        """What the leader is to propose now, each as `Order("", 0, act)`."""
        if self.next_at is None or now < self.next_at:
            return []
        over = [(duty, counted) for duty, counted in self.counts.items() if counted.until <= now]
        self.next_at = None
        for duty, counted in self.counts.items():
            again = now + REPROPOSE_DELAY if counted.until <= now else counted.until
            self._count(duty, counted._replace(until=again))
        return [ExpireLease(duty, counted.token, counted.renewed) for duty, counted in over]

    def _count(self, duty: str, counted: LeaseCountdown) -> None:
        self.counts[duty] = counted
        self.next_at = counted.until if self.next_at is None else min(self.next_at, counted.until)
