"""Verifies the invariants of the consensus core, which `replication.core` lists."""

from __future__ import annotations

from loftweir.replication.api import EntryKind, Role
from loftweir.replication.raft.state import RaftState, decode_members


class Invariants(RaftState):
    """Checks whose cost is proportional to the length of the log, for tests and simulations."""

    def check(self) -> None:
        """Raises AssertionError if an invariant does not hold."""
        self._check_log()
        self._check_members()
        assert not any(
            (self._hard_state_changed, self._truncated_from, self._new_entries, self._new_snapshot, self._actions)
        ), "a step left something"
        if self.role is Role.LEADER:
            self._check_leader()
        else:
            assert not self._pending_proposals and not self._pending_reads and not self._peers
            assert (self.role is Role.OUT) == (not (self.me in self._ids or self._may_campaign) or bool(self.broken))

    def _check_log(self) -> None:
        assert self._base <= self.applied == self.commit <= self.last_index == self._base + len(self._log)
        assert self._base <= self._snapshot_index() <= self.applied
        assert 0 <= self.stable_index <= self.last_index and self._stable_batch <= self._batch
        assert [e.index for e in self._log] == list(range(self._base + 1, self.last_index + 1))
        terms = [self._base_term, *(e.term for e in self._log), self.term]
        assert terms == sorted(terms), "terms fall"

    def _check_members(self) -> None:
        since = self._snapshot_index()
        expected = [
            (e.index, decode_members(e.data)) for e in self._log if e.kind is EntryKind.MEMBERS and e.index > since
        ]
        assert [c for c in self._configurations if c[0] > since] == expected and self._configurations[0][0] <= since
        assert self.members == self._configurations[-1][1]
        assert [i for i, _ in self._configurations] == sorted({i for i, _ in self._configurations})

    def _check_leader(self) -> None:
        assert self.leader == self.me and self.term_at(self.last_index) == self.term
        # entries before it may be committed without this leader's knowledge
        own = max(self.commit, self._term_start_index)
        assert sum(i > own for i, _ in self._configurations) <= 1, "two changes of members under way"
        assert self._now < self._quorum_deadline
        assert self.me in self.voters or self._configurations[-1][0] > self.commit, "a leader that was removed"
        assert self._configurations[-1][0] <= own or self.commit >= self._term_start_index, "a change came too early"
        assert all(self.commit < i <= self.last_index for i, _ in self._pending_proposals)
        assert {p.id for p in self._peers.values() if not p.removed_at} == self._ids - {self.me}
        for peer in self._peers.values():
            assert peer.match < peer.next <= self.last_index + 1 and peer.round <= self._round
            assert peer.bytes_in_flight == sum(size for _, size in peer.in_flight)

    def _snapshot_index(self) -> int:
        return self.snapshot.index if self.snapshot else 0
