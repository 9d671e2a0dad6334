"""Commitment: what a majority has stable is committed, applied and answered for (paper, 5.4.2)."""

from __future__ import annotations

from loftweir.replication.api import ApplyEntries, RequestCompleted, Role, TakeSnapshot
from loftweir.replication.raft.leadership_transfer import LeadershipTransfer
from loftweir.replication.raft.reads import Reads


class Commit(Reads, LeadershipTransfer):
    """The commit index, and all that follows when it rises."""

    def _count(self) -> None:
        """Commit what a majority has stable, by way of an entry of this term only (paper, 5.4.2)."""
        matches = [peer.match for peer in self._voting]
        if self.me in self.voters:
            matches.append(self._own_match())
        matches.sort()
        index = matches[-self._majority] if len(matches) >= self._majority else 0
        if index > self.commit and self._own_term(index):
            self._commit_to(index)

    def _own_match(self) -> int:
        return self.stable_index

    def _own_term(self, index: int) -> bool:
        return self.term_at(index) == self.term

    def _commit_to(self, index: int) -> None:
        """Committed up to there: applied, and answered for. Who leads and is removed by it leads no more."""
        changing = self.commit < self._configs[-1][0]
        self.commit = index
        entries = tuple(self._log[self.applied - self._base : index - self._base])
        self._out.append(ApplyEntries(entries))
        self._since += sum(len(entry.data) for entry in entries)
        self.applied = index
        if changing:
            self._placed()
        while self._owed and self._owed[0][0] <= index:
            at, token = self._owed.popleft()
            self._out.append(RequestCompleted(token, at))
        if self.applied - self._wanted >= self.timing.log_entries or self._since >= self.timing.log_bytes:
            self._wanted, self._since = self.applied, 0
            self._out.append(TakeSnapshot())
        if self.role is Role.LEADER:
            self._leader_committed(index)

    def _leader_committed(self, index: int) -> None:
        if self._reads:
            self._confirm()
        if self.me not in self.voters and self._configs[-1][0] <= index:
            self._to_another(self._best())
            self._down()
