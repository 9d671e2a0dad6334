"""Terms: a later one is followed, and who leads an older one steps down (paper, 5.1)."""

from __future__ import annotations

from loftweir.replication.api import RejectionReason, RequestRejected, Role
from loftweir.replication.raft.membership import Membership
from loftweir.replication.raft.state import NEVER


class Terms(Membership):
    """Under whose leadership this member is, and what it owes where that ends."""

    def _follow(self, term: int, leader: str) -> None:
        """Under this term, which is not below the member's own; the leader may not be known."""
        if term > self.term:
            self._hard(term, "")
        if self.role is Role.LEADER:
            self._down()
        elif self.role is not Role.OUT:
            self.role = Role.FOLLOWER
        self.leader = leader
        self._incoming = None

    def _down(self) -> None:
        """Lead no more: what was not answered is not known to come true here."""
        self._give_back(RejectionReason.NOT_LEADER)
        self._peers, self._voting = {}, []
        self._hand_to, self._hand_until = "", NEVER
        self.role = Role.FOLLOWER
        self._placed()
        self.leader = ""
        self._restart_wait()

    def _sticky(self) -> bool:
        """A leader is well: nobody may stand against it (diss. 4.2.3)."""
        if self.role is Role.LEADER:
            return True
        return self.leader != "" and self._now - self._leader_heard < self.timing.election

    def _may_take(self, token: int) -> bool:
        if self.role is not Role.LEADER:
            self._out.append(RequestRejected(token, RejectionReason.NOT_LEADER))
            return False
        if len(self._owed) + len(self._reads) >= self.timing.under_way:
            self._out.append(RequestRejected(token, RejectionReason.BUSY))
            return False
        return True

    def _give_back(self, reads: RejectionReason) -> None:
        self._out += [RequestRejected(token, RejectionReason.LOST) for _, token in self._owed]
        self._out += [RequestRejected(token, reads) for *_, token in self._reads]
        self._owed.clear()
        self._reads.clear()
