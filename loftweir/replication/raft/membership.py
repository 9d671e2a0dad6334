"""The members in force, and changes of them by one voter at a time (dissertation, 4)."""

from __future__ import annotations

from loftweir.replication.api import Member, RejectionReason, Role
from loftweir.replication.raft.state import NEVER, Peer
from loftweir.replication.raft.storage import Storage

MAX_VOTERS = 7
MAX_MEMBERS = 16  # learners with them


class Membership(Storage):
    """Who the members are, as the log says, and what follows from it for this one."""

    def _configured(self) -> None:
        """Other members are in force."""
        index, self.members = self._configs[-1]
        self._ids = frozenset(m.id for m in self.members)
        self.voters = frozenset(m.id for m in self.members if m.votes)
        self._majority = len(self.voters) // 2 + 1
        self._placed()
        if self.role is Role.LEADER:
            self._meet(index)

    def _placed(self) -> None:
        """Whether it may stand, and whether it is out. A voter may stand until its removal is known to be committed:
        it may be the only one with the entry that all others wait for (diss. 4.2.2)."""
        self._standing = False
        for at, members in reversed(self._configs):
            if any(m.votes and m.id == self.me for m in members):
                self._standing = True
            if at <= self.commit:
                break
        if self.role is Role.LEADER:
            return
        if not self._standing and self.me not in self._ids:
            self.role = Role.OUT
        elif self.role is Role.OUT:
            self.role = Role.FOLLOWER
            self._restart_wait()

    def _meet(self, index: int) -> None:
        """A leader's view of the members that are in force from `index` on, its next entry."""
        for id in sorted(self._ids - {self.me}):
            peer = self._peers.setdefault(id, Peer(id, index))
            peer.votes, peer.leaving = id in self.voters, 0
        for peer in self._peers.values():
            if peer.id not in self._ids and not peer.leaving:
                # It still gets the entry that removes it, and that this is committed, so as to know; it counts no more.
                peer.votes, peer.leaving, peer.leaving_told = False, index, 0
                peer.leaving_until = self._now + 4 * self.timing.election
        self._voting = [peer for peer in self._peers.values() if peer.votes]
        self._quorum_from = self._now  # a new voter has not been asked anything yet
        self._quorum_until = self._now + self.timing.election if self._others_needed() else NEVER

    def _others_needed(self) -> int:
        return self._majority - (self.me in self.voters)

    def _members_at(self, index: int) -> tuple[Member, ...]:
        return next(members for at, members in reversed(self._configs) if at <= index)

    @property
    def settled(self) -> bool:
        """Of a leader: it may take a change of members. An entry of its term and the last change are committed."""
        return self.role is Role.LEADER and self.commit >= max(self._own_from, self._configs[-1][0])

    def _unfit(self, members: tuple[Member, ...]) -> RejectionReason | None:
        """One voter more or less at a time. None is under way, and an entry of this leader's term is committed: else
        two leaders could each have made another change, with majorities that don't meet (diss. 4.1, and Ongaro's note
        of 2015 on it)."""
        voters = {m.id for m in members if m.votes}
        if len({m.id for m in members}) < len(members) or len({m.name for m in members}) < len(members):
            return RejectionReason.UNFIT
        if not voters or len(voters) > MAX_VOTERS or len(members) > MAX_MEMBERS or len(voters ^ self.voters) > 1:
            return RejectionReason.UNFIT
        if self._hand_to or not self.settled:
            return RejectionReason.BUSY
        return None
