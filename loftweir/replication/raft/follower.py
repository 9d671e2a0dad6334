"""The follower: it takes the entries and the snapshots of its leader (paper, 5.3 and 7)."""

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
    """What a member does with what its leader sends."""

    def _from_leader(self, m: AppendEntries | InstallSnapshot) -> bool:
        """Whether it is of the term's leader, who is followed then."""
        if m.term < self.term or self.role is Role.LEADER and m.term == self.term:
            return False
        if m.term > self.term or self.leader != m.sender:
            self._follow(m.term, m.sender)
        self._leader_heard = self._now
        self._deadline = self._now + self._wait
        return True

    def _append_heard(self, m: AppendEntries) -> None:
        if not self._from_leader(m):
            if m.term < self.term:  # so that it learns of the later term
                self._appended_say(m, False, self.last_index)
            return
        if m.prev_index > self.last_index:
            self._appended_say(m, False, self.last_index)
            return
        if m.prev_index > self.commit and self.term_at(m.prev_index) != m.prev_term:
            self._appended_say(m, False, self._before_conflict(m.prev_index))
            return
        matched = m.prev_index + len(m.entries)
        self._take_entries(m.entries)
        if self.commit < m.commit and self.commit < matched:
            self._commit_to(min(m.commit, matched))
        if not m.entries:  # a sign of life is answered at once: only what is stable already
            self._appended_say(m, True, min(matched, self.stable_index))
        else:
            self._appended_say(m, True, matched, self._covers(matched))

    def _before_conflict(self, index: int) -> int:
        """The last entry before the term that conflicts at `index`: no entry of that term can be the leader's behind
        where it began (paper, 5.3)."""
        conflicting, index = self.term_at(index), index - 1
        while index > self.commit and self.term_at(index) == conflicting:
            index -= 1
        return index

    def _take_entries(self, entries: tuple[Entry, ...]) -> None:
        """Appends what is not in the log yet, in place of what conflicts with it."""
        for entry in entries:
            if entry.index <= self.commit:
                continue
            if entry.index <= self.last_index:
                if self.term_at(entry.index) == entry.term:
                    continue
                self._cut_from(entry.index)
            self._grow(entry)

    def _appended_say(self, m: AppendEntries, ok: bool, match: int, after: int = 0) -> None:
        self._say(
            AppendEntriesResponse(sender=self.me, to=m.sender, term=self.term, ok=ok, match=match, round=m.round), after
        )

    def _piece_heard(self, m: InstallSnapshot) -> None:
        if not self._from_leader(m):
            if m.term < self.term:
                self._taken_say(m, 0)
            return
        if m.index <= self.commit:  # all that it holds is here
            self._incoming = None
            self._taken_say(m, m.size, self._covers(m.index))
            return
        held = self._collect(m)
        if len(held) < m.size:
            self._taken_say(m, len(held))
            return
        self._incoming = None
        self._install(Snapshot(m.index, m.index_term, m.members, bytes(held)))
        self._taken_say(m, m.size, self._batch + 1)

    def _collect(self, m: InstallSnapshot) -> bytearray:
        """What is held of a snapshot, this piece with it where it comes next."""
        key = (m.sender, m.term, m.index, m.size)
        if self._incoming is None or self._incoming.key != key:
            self._incoming = IncomingSnapshot(key)
        held = self._incoming.data
        if m.at == len(held) and m.at + len(m.data) <= m.size:
            held += m.data
        return held

    def _taken_say(self, m: InstallSnapshot, upto: int, after: int = 0) -> None:
        self._say(
            InstallSnapshotResponse(
                sender=self.me, to=m.sender, term=self.term, index=m.index, upto=upto, round=m.round
            ),
            after,
        )

    def _install(self, snapshot: Snapshot) -> None:
        """In place of the log up to it; what is behind it stays only if the log agrees with it there (paper, 7)."""
        index = snapshot.index
        if index <= self.last_index and self.term_at(index) == snapshot.term:
            del self._log[: index - self._base]
            self._configs = [(index, snapshot.members), *(c for c in self._configs if c[0] > index)]
        else:
            self._gone_from(self.commit + 1)
            self._all_gone = True
            self._log = []
            self.last_index = index
            self._configs = [(index, snapshot.members)]
        self._base, self._base_term = index, snapshot.term
        self.commit = self.applied = self._wanted = index
        self.snapshot = self._taken_in = snapshot
        self._out.append(RestoreSnapshot(snapshot))
        self._configured()
