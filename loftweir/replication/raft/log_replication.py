"""Log replication, as the leader sends it: entries, signs of life, snapshots in pieces (paper, 5.3 and 7)."""

from __future__ import annotations

from loftweir.replication.api import AppendEntries, Entry, EntryKind, InstallSnapshot, Snapshot
from loftweir.replication.raft.log import RaftLog
from loftweir.replication.raft.quorum import Quorum
from loftweir.replication.raft.state import Peer

MAX_APPENDS_IN_FLIGHT = 32  # appends under way to a member at most; what comes meanwhile goes together in the next
WINDOW_MESSAGES = 4  # bytes under way to a member at most, in times of a full append or piece
ENTRY_OVERHEAD = 32  # bytes of an entry beside its data, about


class LogReplication(RaftLog, Quorum):
    """What a leader sends to the other members."""

    def _propose(self, kind: EntryKind, data: bytes) -> int:
        entry = Entry(self.last_index + 1, self.term, kind, data)
        self._grow(entry)
        for peer in self._peers.values():
            self._feed(peer)
        return entry.index

    def _append(self, peer: Peer, prev: int, entries: tuple[Entry, ...]) -> None:
        if peer.leaving and not peer.leaving_told and prev >= peer.leaving and self.commit >= peer.leaving:
            peer.leaving_told = self._round + 1
        self._say(
            AppendEntries(
                sender=self.me,
                to=peer.id,
                term=self.term,
                prev_index=prev,
                prev_term=self.term_at(prev) if prev else 0,
                entries=entries,
                commit=self.commit,
                round=self._next_round(),
            )
        )

    def _feed(self, peer: Peer) -> None:
        """What it lacks, as far as there is room under way."""
        if peer.sending is not None:
            return
        window = WINDOW_MESSAGES * self.timing.append_bytes
        while peer.next <= self.last_index:
            if len(peer.flight) >= (1 if peer.probing else MAX_APPENDS_IN_FLIGHT) or peer.bytes >= window:
                return
            if peer.next <= self._base:
                self._send_snapshot(peer)
                return
            self._send_entries(peer)

    def _send_entries(self, peer: Peer) -> None:
        """Sends the next entries, as many as one append may hold and one at least."""
        full = self.timing.append_bytes
        first = last = peer.next - self._base - 1
        size = 0
        while last < len(self._log) and (size == 0 or size + len(self._log[last].data) < full):
            size += len(self._log[last].data) + ENTRY_OVERHEAD
            last += 1
        prev, peer.next = peer.next - 1, self._base + last + 1
        peer.flight.append((peer.next - 1, size))
        peer.bytes += size
        self._append(peer, prev, tuple(self._log[first:last]))

    def _to_all(self) -> None:
        """A sign of life to all. It names the last entry sent, so that one that was lost on the way is found out."""
        self._all_round = self._round + 1
        for peer in self._peers.values():
            prev = peer.next - 1 if peer.sending is None and peer.next > self._base else 0
            self._append(peer, prev, ())

    def _send_snapshot(self, peer: Peer) -> None:
        assert self.snapshot is not None, "entries are let go only behind a snapshot"
        peer.started_anew(peer.next, self._round)
        peer.sending, peer.sent, peer.taken, peer.moved = self.snapshot, 0, 0, True
        self._piece(peer, self.snapshot)

    def _pieces(self, peer: Peer, snapshot: Snapshot) -> None:
        while peer.sent < len(snapshot.data) and peer.sent - peer.taken < WINDOW_MESSAGES * self.timing.piece_bytes:
            self._piece(peer, snapshot)

    def _piece(self, peer: Peer, snapshot: Snapshot) -> None:
        data = snapshot.data[peer.sent : peer.sent + self.timing.piece_bytes]
        self._say(
            InstallSnapshot(
                sender=self.me,
                to=peer.id,
                term=self.term,
                index=snapshot.index,
                index_term=snapshot.term,
                members=snapshot.members,
                at=peer.sent,
                data=data,
                size=len(snapshot.data),
                round=self._next_round(),
            )
        )
        peer.sent += len(data)
