"""Commitment: what is stable on a majority is committed, applied and answered (paper, 5.4.2)."""

from __future__ import annotations

from loftweir.replication.api import ApplyEntries, RequestCompleted, Role, TakeSnapshot
from loftweir.replication.raft.leadership_transfer import LeadershipTransfer
from loftweir.replication.raft.reads import Reads


class Commit(Reads, LeadershipTransfer):
    """The commit index and everything that follows when it rises."""

    def _advance_commit(self) -> None:
        """Commits what is stable on a majority, only by way of an entry of the current term (paper, 5.4.2)."""
        matches = [peer.match for peer in self._voting_peers]
        if self.me in self.voters:
            matches.append(self._leader_match())
        matches.sort()
        index = matches[-self._majority] if len(matches) >= self._majority else 0
        if index > self.commit and self._is_of_current_term(index):
            self._commit_to(index)

    def _leader_match(self) -> int:
        return self.stable_index

    def _is_of_current_term(self, index: int) -> bool:
        return self.term_at(index) == self.term

    def _commit_to(self, index: int) -> None:
        """Raises the commit index: applies the entries and completes the requests up to it. A leader that a committed
        membership change has removed steps down.
        """
        changing = self.commit < self._configurations[-1][0]
        self.commit = index
        entries = tuple(self._log[self.applied - self._base : index - self._base])
        self._actions.append(ApplyEntries(entries))
        self._bytes_since_snapshot += sum(len(entry.data) for entry in entries)
        self.applied = index
        if changing:
            self._update_membership_role()
        while self._pending_proposals and self._pending_proposals[0][0] <= index:
            at, token = self._pending_proposals.popleft()
            self._actions.append(RequestCompleted(token, at))
        if (
            self.applied - self._snapshot_requested_index >= self.timing.snapshot_after_entries
            or self._bytes_since_snapshot >= self.timing.snapshot_after_bytes
        ):
            self._snapshot_requested_index, self._bytes_since_snapshot = self.applied, 0
            self._actions.append(TakeSnapshot())
        if self.role is Role.LEADER:
            self._after_leader_commit(index)

    def _after_leader_commit(self, index: int) -> None:
        if self._pending_reads:
            self._complete_reads()
        if self.me not in self.voters and self._configurations[-1][0] <= index:
            self._send_timeout_now(self._best_successor())
            self._step_down()
