"""The follower: accepts log entries and snapshots of its leader (paper, 5.3 and 7)."""

from __future__ import annotations

from loftweir.replication.api import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    InstallSnapshot,
    InstallSnapshotResponse,
    RestoreSnapshot,
    Role,
    Snapshot,
)
from loftweir.replication.raft.commit import Commit
from loftweir.replication.raft.state import IncomingSnapshot


class Follower(Commit):
    """How a member handles the messages of its leader."""

    def _accept_leader(self, m: AppendEntries | InstallSnapshot) -> bool:
        """Whether the sender is the leader of the current term or of a later one, which is then entered."""
        if m.term < self.term or self.role is Role.LEADER and m.term == self.term:
            return False
        if m.term > self.term or self.leader != m.sender:
            self._become_follower(m.term, m.sender)
        self._leader_heard_at = self._now
        self._deadline = self._now + self._election_wait
        return True

    def _on_append_entries(self, m: AppendEntries) -> None:
        if not self._accept_leader(m):
            if m.term < self.term:  # the sender learns of the later term
                self._respond_to_append(m, False, self.last_index)
            return
        if m.prev_index > self.last_index:
            self._respond_to_append(m, False, self.last_index)
            return
        if m.prev_index > self.commit and self.term_at(m.prev_index) != m.prev_term:
            self._respond_to_append(m, False, self._before_conflicting_term(m.prev_index))
            return
        matched = m.prev_index + len(m.entries)
        self._store_entries(m.entries)
        if self.commit < m.commit and self.commit < matched:
            self._commit_to(min(m.commit, matched))
        if not m.entries:  # a heartbeat is answered at once, with what is already stable
            self._respond_to_append(m, True, min(matched, self.stable_index))
        else:
            self._respond_to_append(m, True, matched, self._batch_covering(matched))

    def _before_conflicting_term(self, index: int) -> int:
        """The last index before the term that conflicts at `index`. The leader can have no entry of that term after the
        index at which it began (paper, 5.3).
        """
        conflicting, index = self.term_at(index), index - 1
        while index > self.commit and self.term_at(index) == conflicting:
            index -= 1
        return index

    def _store_entries(self, entries: tuple[Entry, ...]) -> None:
        """Appends the entries that are not in the log yet and removes those that conflict with them."""
        for entry in entries:
            if entry.index <= self.commit:
                continue
            if entry.index <= self.last_index:
                if self.term_at(entry.index) == entry.term:
                    continue
                self._truncate_from(entry.index)
            self._append_to_log(entry)

    def _respond_to_append(self, m: AppendEntries, ok: bool, match: int, after: int = 0) -> None:
        self._send(
            AppendEntriesResponse(sender=self.me, to=m.sender, term=self.term, ok=ok, match=match, round=m.round), after
        )

    def _on_install_snapshot(self, m: InstallSnapshot) -> None:
        if not self._accept_leader(m):
            if m.term < self.term:
                self._respond_to_snapshot(m, 0)
            return
        if m.index <= self.commit:  # everything in the snapshot is already committed here
            self._incoming = None
            self._respond_to_snapshot(m, m.size, self._batch_covering(m.index))
            return
        data = self._collect_chunk(m)
        if len(data) < m.size:
            self._respond_to_snapshot(m, len(data))
            return
        self._incoming = None
        self._install_snapshot(Snapshot(m.index, m.index_term, m.members, bytes(data)))
        self._respond_to_snapshot(m, m.size, self._batch + 1)

    def _collect_chunk(self, m: InstallSnapshot) -> bytearray:
        """The data of the incoming snapshot so far, with this chunk if it is the next one."""
        key = (m.sender, m.term, m.index, m.size)
        if self._incoming is None or self._incoming.key != key:
            self._incoming = IncomingSnapshot(key)
        data = self._incoming.data
        if m.at == len(data) and m.at + len(m.data) <= m.size:
            data += m.data
        return data

    def _respond_to_snapshot(self, m: InstallSnapshot, upto: int, after: int = 0) -> None:
        self._send(
            InstallSnapshotResponse(
                sender=self.me, to=m.sender, term=self.term, index=m.index, upto=upto, round=m.round
            ),
            after,
        )

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the log up to the snapshot; later entries stay only if the log agrees with the snapshot there
        (paper, 7).
        """
        index = snapshot.index
        if index <= self.last_index and self.term_at(index) == snapshot.term:
            del self._log[: index - self._base]
            self._configurations = [(index, snapshot.members), *(c for c in self._configurations if c[0] > index)]
        else:
            self._lower_stable_index(self.commit + 1)
            self._log_discarded = True
            self._log = []
            self.last_index = index
            self._configurations = [(index, snapshot.members)]
        self._base, self._base_term = index, snapshot.term
        self.commit = self.applied = self._snapshot_requested_index = index
        self.snapshot = self._new_snapshot = snapshot
        self._actions.append(RestoreSnapshot(snapshot))
        self._membership_changed()
