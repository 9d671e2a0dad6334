"""The overdriven state of a server: one that is overfull for too long slows down until it has recovered.

A server with more than `at` requests in flight per core for `over` without a break becomes overdriven: its work takes
`slower` times as long. It recovers once the use of its cores was less than `below` over a time of `rest`, or `most`
after it became overdriven.

The use is added up from the start of a recovery period. As soon as it reaches what `rest` allows, that period has
failed and a new one starts.
"""

from __future__ import annotations

from loftweir.emulator.scenario import Overdrive


class OverdriveState:
    """The state of one server, which has to be notified of every change of its load. It has no clock of its own.

    Invariants: `overfull_since` is set only while the server is overfull and not overdriven; the values of the
    recovery period are meaningful only while it is overdriven; time never goes back.
    """

    __slots__ = (
        "rules", "cores", "now", "in_flight", "busy_cores", "overfull_since", "overdriven_since",
        "recovery_started_at", "core_time_used",
    )  # fmt: skip

    def __init__(self, rules: Overdrive, cores: int, now: int) -> None:
        self.rules = rules
        self.cores = cores
        self.now = now
        self.in_flight = 0
        self.busy_cores = 0
        self.overfull_since: int | None = None  # since when it has been overfull without a break
        self.overdriven_since: int | None = None
        self.recovery_started_at = now
        self.core_time_used = 0  # ns of all cores since the recovery period started

    @property
    def overdriven(self) -> bool:
        return self.overdriven_since is not None

    @property
    def slowdown(self) -> float:
        """The factor by which its work takes longer now."""
        return self.rules.slower if self.overdriven else 1.0

    def observe(self, now: int, in_flight: int, busy_cores: int) -> None:
        """Records the load from `now` on: requests in flight, and cores in use."""
        self._advance(now)
        self.in_flight = in_flight
        self.busy_cores = busy_cores
        self._update_overfull()

    def next_change_at(self) -> int | None:
        """When the state may change if nothing else is observed until then."""
        if self.overfull_since is not None:
            return self.overfull_since + self.rules.over
        if self.overdriven_since is not None:
            return min(self.recovery_started_at + self.rules.rest, self.overdriven_since + self.rules.most)
        return None

    def reset(self, now: int) -> None:
        """Clears the state, because the server's process has been replaced by a new one."""
        self.now = now
        self.in_flight = self.busy_cores = 0
        self.overfull_since = self.overdriven_since = None

    def _advance(self, now: int) -> None:
        """Applies the time since the last observation."""
        assert now >= self.now, "time goes forward"
        if self.overfull_since is not None and now - self.overfull_since >= self.rules.over:
            self._become_overdriven(now)
        elif self.overdriven_since is not None:
            self.core_time_used += self.busy_cores * (now - self.now)
            if self._recovery_complete(now) or now - self.overdriven_since >= self.rules.most:
                self._recover()
        self.now = now

    def _become_overdriven(self, now: int) -> None:
        self.overfull_since = None
        self.overdriven_since = now
        self._start_recovery(now)

    def _start_recovery(self, now: int) -> None:
        self.recovery_started_at = now
        self.core_time_used = 0

    def _recovery_complete(self, now: int) -> bool:
        allowed = self.rules.below * self.cores * self.rules.rest
        if self.core_time_used >= allowed:
            self._start_recovery(now)
            return False
        return now - self.recovery_started_at >= self.rules.rest

    def _recover(self) -> None:
        self.overdriven_since = None

    def _update_overfull(self) -> None:
        if self.overdriven or self.in_flight <= self.rules.at * self.cores:
            self.overfull_since = None
        elif self.overfull_since is None:
            self.overfull_since = self.now
