"""The faults of a run: crashes, power failures, cuts, stalls, wrong clocks, lost disks, changes of members."""

from __future__ import annotations

from loftweir.emulator.replication_breach import Breach
from loftweir.emulator.replication_clients import Clients
from loftweir.emulator.replication_plan import MS
from loftweir.emulator.replication_seat import Seat
from loftweir.replication.api import (
    ApplyEntries,
    MembershipChange,
    MessageReceived,
    PersistBatch,
    PersistentState,
    RequestCompleted,
    RequestRejected,
    Role,
    SendMessage,
    StatusChanged,
    StorageBroken,
    Tick,
    TransferLeadership,
)
from loftweir.replication.core import Core


class Faults(Clients):
    """Faults from the plan, one after the other; each method `_KIND_trouble` causes one at a seat."""

    def _trouble(self) -> None:
        if not self.troubled:
            return
        self.later(self.random.randrange(2 * self.plan.each), self._trouble)
        kind = self.random.choice(self.plan.troubles)
        seats = list(self.seats.values())
        if self.plan.quiet:  # one follower has them all, once a leader is well
            leader = self.leader()
            if leader is None or not self.quiet_term or leader.me == seats[-1].id:
                return
            seats = seats[-1:]
        seat = self.random.choice(seats)
        lasts = self.random.randrange(3 * self.plan.timing.election_timeout)
        if getattr(self, f"_{kind}_trouble")(seat, lasts) is not False:
            self.faults[kind] += 1

    # ---- processes and clocks -------------------------------------------------------------------

    def _stands(self, seat: Seat, core: Core, action: StatusChanged) -> None:
        super()._stands(seat, core, action)
        if action.role is Role.LEADER and self.troubled and self.random.random() < self.plan.doomed:
            self.faults["doomed"] += 1
            self.later(self.random.randrange(4 * MS), self._doom, seat, core)

    def crash(self, seat: Seat) -> None:
        seat.disk.cut_off(self.random)
        seat.stop()

    def _doom(self, seat: Seat, core: Core) -> None:
        if seat.core is core:
            self._crash_trouble(seat, self.random.randrange(3 * self.plan.timing.election_timeout))

    def _crash_trouble(self, seat: Seat, lasts: int) -> None:
        self.crash(seat)
        self.later(lasts, self.start, seat)

    def _power_trouble(self, seat: Seat, lasts: int) -> None:
        for each in self.seats.values():
            self.crash(each)
            self.later(self.random.randrange(lasts // 3 + 1), self.start, each)

    def _stall_trouble(self, seat: Seat, lasts: int) -> None:
        """No step for a while; what comes waits."""
        seat.stalled_until = max(seat.stalled_until, self.at + lasts)

    def _clock_trouble(self, seat: Seat, lasts: int) -> None:
        """Its clock goes far too slow or too fast."""
        self.clock(seat, self.random.choice((250, 3000)))
        self.later(lasts, self.clock, seat)

    def clock(self, seat: Seat, part: int = 1000) -> None:
        seat.goes(self.at, part)
        self.event(seat, seat.core, Tick())

    def _hand_trouble(self, seat: Seat, lasts: int) -> None:
        for each in self.seats.values():
            if each.core is not None and each.core.role is Role.LEADER:
                self.event(each, each.core, TransferLeadership())

    def _compact_trouble(self, seat: Seat, lasts: int) -> None:
        if seat.core is not None:
            self._snapshot(seat, seat.core)

    # ---- network --------------------------------------------------------------------------------

    def cut(self, pairs: list[tuple[str, str]], by: int) -> None:
        for pair in pairs:
            self.cuts[pair] = max(0, self.cuts[pair] + by)

    def _cut(self, pairs: list[tuple[str, str]], lasts: int) -> None:
        self.cut(pairs, 1)
        self.later(lasts, self.cut, pairs, -1)

    def _cut_trouble(self, seat: Seat, lasts: int) -> None:
        """One way, between two."""
        pair = [seat.name, self.random.choice(list(self.seats))]
        self.random.shuffle(pair)
        self._cut([(pair[0], pair[1])], lasts)

    def _deaf_trouble(self, seat: Seat, lasts: int) -> None:
        self._cut([(other, seat.name) for other in self.seats], lasts)

    def _partition_trouble(self, seat: Seat, lasts: int) -> None:
        side = {seat.name}
        if not self.plan.quiet:
            side |= set(self.random.sample(list(self.seats), len(self.seats) // 2))
        pairs = [(a, b) for a in self.seats for b in self.seats if (a in side) != (b in side)]
        self._cut(pairs, lasts)

    def _old_trouble(self, seat: Seat, lasts: int) -> None:
        """What was said long ago is heard again."""
        for m in self.random.sample(self.old, min(8, len(self.old))):
            self._arrive(m.sender.split(".")[0], m.to.split(".")[0], m)
        self.old.clear()

    # ---- disks ----------------------------------------------------------------------------------

    def may_lose(self, seat: Seat) -> bool:
        """Whether the copies are made to outlive the loss of this disk: a majority of those in force is left."""
        leader = self.leader()
        if leader is None or not leader.can_change_members:
            return False
        lost = {m.id for m in leader.members if m.votes and self.seats[m.name].id != m.id} | {seat.id}
        return len(lost) <= (len(leader.voters) - 1) // 2 and not (self.same_id and seat.disks > 1)

    def _wipe_trouble(self, seat: Seat, lasts: int) -> bool:
        """Its disk is lost: it comes back with an empty one, and another id."""
        if not self.may_lose(seat):
            return False
        self.lost[seat.id] = seat.disk
        seat.renew(PersistentState(), self.same_id)
        self.later(lasts, self.start, seat)
        return True

    def _broken_trouble(self, seat: Seat, lasts: int) -> bool:
        """Its storage fails: nothing more is said, until it has another disk, and another id."""
        if seat.core is None or not self.may_lose(seat):
            return False
        core = seat.core
        seat.held.clear()
        said = core.step(seat.clock(self.at), StorageBroken("no space"))
        said += core.step(seat.clock(self.at), MessageReceived(self.old[0])) if self.old else []
        if (
            any(isinstance(action, (SendMessage, PersistBatch, ApplyEntries, RequestCompleted)) for action in said)
            or core.role is not Role.OUT
        ):
            raise Breach("something was said or promised by a broken disk")
        for action in said:
            if isinstance(action, RequestRejected):
                self._act(seat, core, action)
        self.lost[seat.id] = seat.disk
        seat.renew(PersistentState(), self.same_id)
        self.later(lasts, self.start, seat)
        return True

    # ---- changes of members ---------------------------------------------------------------------

    def _retire_trouble(self, seat: Seat, lasts: int) -> bool:
        """It is no member for a while."""
        if len(self.wanted) < 2 or seat.name not in self.wanted or not self.may_lose(seat):
            return False
        self.wanted.discard(seat.name)
        self.later(2 * lasts, self.wanted.add, seat.name)
        return True

    def _demote_trouble(self, seat: Seat, lasts: int) -> bool:
        """It votes no more, until the next step of the administration."""
        leader = self.leader()
        if leader is None or seat.id not in leader.voters or not self.may_lose(seat):
            return False
        members = tuple(seat.member(votes=False) if m.id == seat.id else m for m in leader.members)
        self.ask(self.seats[leader.me.split(".")[0]], lambda token: MembershipChange(token, members))
        return True

    def _two_trouble(self, seat: Seat, lasts: int) -> bool:
        """Two voters less at once, or two changes in one moment: the first is refused, and the second of the others."""
        leader = self.leader()
        if leader is None or len(leader.voters) < 4:
            return False
        at = self.seats[leader.me.split(".")[0]]
        self.ask(at, lambda token: MembershipChange(token, leader.members[2:]))
        if self.may_lose(seat):
            for members in (leader.members[1:], leader.members[2:]):
                self.ask(at, lambda token, members=members: MembershipChange(token, members))  # type: ignore[misc]
        return True
