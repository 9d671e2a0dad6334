"""The log: it grows, is cut where a leader has other entries, and is compacted behind a snapshot (paper, 5.3 and 7)."""

from __future__ import annotations

from loftweir.replication.api import CompactLog, Entry, EntryKind, Snapshot
from loftweir.replication.raft.membership import Membership
from loftweir.replication.raft.state import decode_members

LEARNER_LOG_FACTOR = 4  # times `log_entries` that are held at most for members that take a snapshot now


class RaftLog(Membership):
    """Changes of the log, and of the members that its entries name."""

    def _grow(self, entry: Entry) -> None:
        self._log.append(entry)
        self._new.append(entry)
        self.last_index = entry.index
        if entry.kind is EntryKind.MEMBERS:
            self._configs.append((entry.index, decode_members(entry.data)))
            self._configured()

    def _cut_from(self, index: int) -> None:
        """Drop entries that were never committed; the members that they named go with them."""
        assert index > self.commit, "a committed entry would be cut"
        del self._log[index - self._base - 1 :]
        self.last_index = index - 1
        self._cut = index
        self._gone_from(index)
        if self._configs[-1][0] >= index:
            while self._configs[-1][0] >= index:
                self._configs.pop()
            self._configured()

    def _compact(self, event: CompactLog) -> None:
        had = self.snapshot.index if self.snapshot else 0
        if not had < event.index <= self.applied:
            return  # an older one, made while a newer one was taken in
        self._wanted = max(self._wanted, event.index)
        snapshot = Snapshot(event.index, self.term_at(event.index), self._members_at(event.index), event.data)
        self.snapshot = self._taken_in = snapshot
        keep_from = self._first_kept(event.index)
        if keep_from > self._base:
            self._base_term = self.term_at(keep_from)
            del self._log[: keep_from - self._base]
            self._base = keep_from
        while len(self._configs) > 1 and self._configs[1][0] <= event.index:
            self._configs.pop(0)

    def _first_kept(self, index: int) -> int:
        """Behind which entry the log is kept, once there is a snapshot of `index`."""
        timing = self.timing
        keep_from = self._kept_from(index, timing.keep_behind, timing.log_bytes // 2)
        taking = [peer.sending.index for peer in self._peers.values() if peer.sending and self._alive(peer)]
        if taking:  # they go on from their snapshot by the log, or they would need one snapshot after the other
            most = self._kept_from(
                index, LEARNER_LOG_FACTOR * timing.log_entries, LEARNER_LOG_FACTOR * timing.log_bytes
            )
            keep_from = max(min(keep_from, *taking), most)
        return keep_from

    def _kept_from(self, index: int, entries: int, size: int) -> int:
        """Where to begin, so that so many entries and so many bytes of them at most are left up to `index`."""
        least = max(index - entries, self._base)
        while index > least and size >= 0:
            size -= len(self._log[index - self._base - 1].data)
            index -= 1
        return index + (size < 0)
