"""The current members, and membership changes by one voter at a time (diss. 4)."""

from __future__ import annotations

from loftweir.replication.api import Member, RejectionReason, Role
from loftweir.replication.raft.state import NEVER, Peer
from loftweir.replication.raft.storage import Storage

MAX_VOTERS = 7
MAX_MEMBERS = 16  # voters and learners


class Membership(Storage):
    """The members that the log defines, and this member's place among them."""

    def _membership_changed(self) -> None:
        """The log defines other members now."""
        index, self.members = self._configurations[-1]
        self._ids = frozenset(m.id for m in self.members)
        self.voters = frozenset(m.id for m in self.members if m.votes)
        self._majority = len(self.voters) // 2 + 1
        self._update_membership_role()
        if self.role is Role.LEADER:
            self._update_peers(index)

    def _update_membership_role(self) -> None:
        """Updates whether this member may campaign, and whether it is a member at all. A voter may campaign until its
        removal is known to be committed: it may be the only one with the entry that all others wait for (diss. 4.2.2).
        """
        self._may_campaign = False
        for at, members in reversed(self._configurations):
            if any(m.votes and m.id == self.me for m in members):
                self._may_campaign = True
            if at <= self.commit:
                break
        if self.role is Role.LEADER:
            return
        if not self._may_campaign and self.me not in self._ids:
            self.role = Role.OUT
        elif self.role is Role.OUT:
            self.role = Role.FOLLOWER
            self._reset_election_timer()

    def _update_peers(self, index: int) -> None:
        """Updates a leader's peers to the members that are effective from `index` on, its next entry."""
        for id in sorted(self._ids - {self.me}):
            peer = self._peers.setdefault(id, Peer(id, index))
            peer.votes, peer.removed_at = id in self.voters, 0
        for peer in self._peers.values():
            if peer.id not in self._ids and not peer.removed_at:
                # It is no longer counted, but still gets the entry that removes it and the commit index of that entry,
                # so that it learns of its removal.
                peer.votes, peer.removed_at, peer.removal_round = False, index, 0
                peer.removed_until = self._now + 4 * self.timing.election_timeout
        self._voting_peers = [peer for peer in self._peers.values() if peer.votes]
        self._quorum_since = self._now  # a new voter has not been sent anything yet
        self._quorum_deadline = self._now + self.timing.election_timeout if self._others_needed() else NEVER

    def _others_needed(self) -> int:
        return self._majority - (self.me in self.voters)

    def _members_at(self, index: int) -> tuple[Member, ...]:
        return next(members for at, members in reversed(self._configurations) if at <= index)

    @property
    def can_change_members(self) -> bool:
        """On a leader: whether it may accept a membership change. An entry of its term and the last change are
        committed.
        """
        return self.role is Role.LEADER and self.commit >= max(self._term_start_index, self._configurations[-1][0])

    def _membership_rejection(self, members: tuple[Member, ...]) -> RejectionReason | None:
        """Why a membership change can't be accepted now; None: it can. The voters may change by one at a time, the
        previous change must be committed, and so must an entry of this leader's term: otherwise two leaders could each
        make a different change, with majorities that do not overlap (diss. 4.1, and Ongaro's note of 2015 on it).
        """
        voters = {m.id for m in members if m.votes}
        if len({m.id for m in members}) < len(members) or len({m.name for m in members}) < len(members):
            return RejectionReason.UNFIT
        if not voters or len(voters) > MAX_VOTERS or len(members) > MAX_MEMBERS or len(voters ^ self.voters) > 1:
            return RejectionReason.UNFIT
        if self._transfer_target or not self.can_change_members:
            return RejectionReason.BUSY
        return None
