"""The overdriven state of a server: held too full for too long, it slows down until it has had a rest.

A server that holds more than `at` requests per core for `over` without a break becomes overdriven: it is `slower` times
slower. It recovers once its cores were used less than `below` over a time of `rest`, or `most` after it became so.

Use is taken from a beginning on. As soon as it has spent what `rest` allows, the rest has failed and a new one begins.
"""

from __future__ import annotations

from loftweir.emulator.scenario import Overdrive


class OverdriveState:
    """The state of one server, told of every change in what it holds. No clock of its own.

    Invariants: `crowded_at` is set only while the server is not overdriven and holds too much; the figures of the rest
    have a meaning only while it is overdriven; time never goes back.
    """

    __slots__ = (
        "rules", "cores", "now", "held", "busy_cores", "crowded_at", "overdriven_at", "rest_began", "core_time_used"
    )  # fmt: skip

    def __init__(self, rules: Overdrive, cores: int, now: int) -> None:
        self.rules = rules
        self.cores = cores
        self.now = now
        self.held = 0
        self.busy_cores = 0
        self.crowded_at: int | None = None  # since when it has held too much without a break
        self.overdriven_at: int | None = None
        self.rest_began = now
        self.core_time_used = 0  # since the rest began

    @property
    def overdriven(self) -> bool:
        return self.overdriven_at is not None

    @property
    def slowdown(self) -> float:
        """How many times longer its work takes now."""
        return self.rules.slower if self.overdriven else 1.0

    def observe(self, now: int, held: int, busy_cores: int) -> None:
        """From `now` on the server holds `held` requests and works on `busy_cores` of its cores."""
        self._advance(now)
        self.held = held
        self.busy_cores = busy_cores
        self._note_crowding()

    def next_change_at(self) -> int | None:
        """When the state may change if nothing else is observed until then."""
        if self.crowded_at is not None:
            return self.crowded_at + self.rules.over
        if self.overdriven_at is not None:
            return min(self.rest_began + self.rules.rest, self.overdriven_at + self.rules.most)
        return None

    def reset(self, now: int) -> None:
        """The process has been replaced by a new one."""
        self.now = now
        self.held = self.busy_cores = 0
        self.crowded_at = self.overdriven_at = None

    def _advance(self, now: int) -> None:
        """Take account of the time since the last observation."""
        assert now >= self.now, "time goes forward"
        if self.crowded_at is not None and now - self.crowded_at >= self.rules.over:
            self._become_overdriven(now)
        elif self.overdriven_at is not None:
            self.core_time_used += self.busy_cores * (now - self.now)
            if self._rested(now) or now - self.overdriven_at >= self.rules.most:
                self._recover()
        self.now = now

    def _become_overdriven(self, now: int) -> None:
        self.crowded_at = None
        self.overdriven_at = now
        self._begin_rest(now)

    def _begin_rest(self, now: int) -> None:
        self.rest_began = now
        self.core_time_used = 0

    def _rested(self, now: int) -> bool:
        allowed = self.rules.below * self.cores * self.rules.rest
        if self.core_time_used >= allowed:
            self._begin_rest(now)
            return False
        return now - self.rest_began >= self.rules.rest

    def _recover(self) -> None:
        self.overdriven_at = None

    def _note_crowding(self) -> None:
        if self.overdriven or self.held <= self.rules.at * self.cores:
            self.crowded_at = None
        elif self.crowded_at is None:
            self.crowded_at = self.now
