"""Terms: a later term is entered, and a leader of an older one steps down (paper, 5.1)."""

from __future__ import annotations

from loftweir.replication.api import RejectionReason, RequestRejected, Role
from loftweir.replication.raft.membership import Membership
from loftweir.replication.raft.state import NEVER


class Terms(Membership):
    """The term and leader that this member follows, and the end of its own leadership."""

    def _become_follower(self, term: int, leader: str) -> None:
        """Enters a term that is not below the member's own. The leader may be unknown (empty)."""
        if term > self.term:
            self._set_hard_state(term, "")
        if self.role is Role.LEADER:
            self._step_down()
        elif self.role is not Role.OUT:
            self.role = Role.FOLLOWER
        self.leader = leader
        self._incoming = None

    def _step_down(self) -> None:
        """Stops leading. The outcome of the pending proposals is not known."""
        self._reject_pending(RejectionReason.NOT_LEADER)
        self._peers, self._voting_peers = {}, []
        self._transfer_target, self._transfer_deadline = "", NEVER
        self.role = Role.FOLLOWER
        self._update_membership_role()
        self.leader = ""
        self._reset_election_timer()

    def _leader_is_alive(self) -> bool:
        """Whether a leader is alive, in which case no election is supported (diss. 4.2.3)."""
        if self.role is Role.LEADER:
            return True
        return self.leader != "" and self._now - self._leader_heard_at < self.timing.election_timeout

    def _can_accept(self, token: int) -> bool:
        """Whether a request can be accepted; rejects it otherwise."""
        if self.role is not Role.LEADER:
            self._actions.append(RequestRejected(token, RejectionReason.NOT_LEADER))
            return False
        if len(self._pending_proposals) + len(self._pending_reads) >= self.timing.max_pending_requests:
            self._actions.append(RequestRejected(token, RejectionReason.BUSY))
            return False
        return True

    def _reject_pending(self, reads: RejectionReason) -> None:
        """Rejects all pending requests: proposals as LOST, and reads with the given reason."""
        self._actions += [RequestRejected(token, RejectionReason.LOST) for _, token in self._pending_proposals]
        self._actions += [RequestRejected(token, reads) for *_, token in self._pending_reads]
        self._pending_proposals.clear()
        self._pending_reads.clear()
