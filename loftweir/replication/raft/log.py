"""The log: appending, truncation on a conflict with the leader, and compaction to a snapshot (paper, 5.3 and 7)."""

from __future__ import annotations

from loftweir.replication.api import CompactLog, Entry, EntryKind, Snapshot
from loftweir.replication.raft.membership import Membership
from loftweir.replication.raft.state import decode_members

# While a live member receives a snapshot, the log keeps at most this many times `snapshot_after_entries` entries (and
# `snapshot_after_bytes` bytes).
LEARNER_LOG_FACTOR = 4


class RaftLog(Membership):
    """Changes of the log, and of the members that its entries define."""

    def _append_to_log(self, entry: Entry) -> None:
        self._log.append(entry)
        self._new_entries.append(entry)
        self.last_index = entry.index
        if entry.kind is EntryKind.MEMBERS:
            self._configurations.append((entry.index, decode_members(entry.data)))
            self._membership_changed()

    def _truncate_from(self, index: int) -> None:
        """Removes entries that were never committed, and the memberships that they define."""
        assert index > self.commit, "a committed entry would be cut"
        del self._log[index - self._base - 1 :]
        self.last_index = index - 1
        self._truncated_from = index
        self._lower_stable_index(index)
        if self._configurations[-1][0] >= index:
            while self._configurations[-1][0] >= index:
                self._configurations.pop()
            self._membership_changed()

    def _on_compact_log(self, event: CompactLog) -> None:
        had = self.snapshot.index if self.snapshot else 0
        if not had < event.index <= self.applied:
            return  # older than the current one, which was installed meanwhile
        self._snapshot_requested_index = max(self._snapshot_requested_index, event.index)
        snapshot = Snapshot(event.index, self.term_at(event.index), self._members_at(event.index), event.data)
        self.snapshot = self._new_snapshot = snapshot
        keep_from = self._first_index_to_keep(event.index)
        if keep_from > self._base:
            self._base_term = self.term_at(keep_from)
            del self._log[: keep_from - self._base]
            self._base = keep_from
        while len(self._configurations) > 1 and self._configurations[1][0] <= event.index:
            self._configurations.pop(0)

    def _first_index_to_keep(self, index: int) -> int:
        """The index after which entries are kept once there is a snapshot of `index`."""
        timing = self.timing
        keep_from = self._bounded_first_index(index, timing.trailing_entries, timing.snapshot_after_bytes // 2)
        taking = [peer.snapshot.index for peer in self._peers.values() if peer.snapshot and self._is_alive(peer)]
        # these members continue from their snapshot with the log; without it they would need one snapshot after another
        if taking:
            most = self._bounded_first_index(
                index,
                LEARNER_LOG_FACTOR * timing.snapshot_after_entries,
                LEARNER_LOG_FACTOR * timing.snapshot_after_bytes,
            )
            keep_from = max(min(keep_from, *taking), most)
        return keep_from

    def _bounded_first_index(self, index: int, entries: int, size: int) -> int:
        """The index after which at most `entries` entries and `size` bytes are left up to `index`."""
        least = max(index - entries, self._base)
        while index > least and size >= 0:
            size -= len(self._log[index - self._base - 1].data)
            index -= 1
        return index + (size < 0)
