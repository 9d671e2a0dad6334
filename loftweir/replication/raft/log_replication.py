"""Log replication on the leader's side: entries, heartbeats and snapshot chunks (paper, 5.3 and 7)."""

from __future__ import annotations

from loftweir.replication.api import AppendEntries, Entry, EntryKind, InstallSnapshot, Snapshot
from loftweir.replication.raft.log import RaftLog
from loftweir.replication.raft.quorum import Quorum
from loftweir.replication.raft.state import Peer

# AppendEntries in flight to one member; entries that arrive meanwhile go together into the next one.
MAX_APPENDS_IN_FLIGHT = 32
# Bytes in flight to one member, in multiples of a full AppendEntries or snapshot chunk.
WINDOW_MESSAGES = 4
ENTRY_OVERHEAD = 32  # approximate bytes of an encoded entry besides its data


class LogReplication(RaftLog, Quorum):
    """What a leader sends to the other members."""

    def _propose(self, kind: EntryKind, data: bytes) -> int:
        entry = Entry(self.last_index + 1, self.term, kind, data)
        self._append_to_log(entry)
        for peer in self._peers.values():
            self._replicate_to(peer)
        return entry.index

    def _send_append(self, peer: Peer, prev: int, entries: tuple[Entry, ...]) -> None:
        if peer.removed_at and not peer.removal_round and prev >= peer.removed_at and self.commit >= peer.removed_at:
            peer.removal_round = self._round + 1
        self._send(
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

    def _replicate_to(self, peer: Peer) -> None:
        """Sends a peer the entries that it lacks, as far as the window allows."""
        if peer.snapshot is not None:
            return
        window = WINDOW_MESSAGES * self.timing.max_append_bytes
        while peer.next <= self.last_index:
            if len(peer.in_flight) >= (1 if peer.probing else MAX_APPENDS_IN_FLIGHT) or peer.bytes_in_flight >= window:
                return
            if peer.next <= self._base:
                self._send_snapshot(peer)
                return
            self._send_entries(peer)

    def _send_entries(self, peer: Peer) -> None:
        """Sends the next entries: at least one, and as many as fit into one message."""
        full = self.timing.max_append_bytes
        first = last = peer.next - self._base - 1
        size = 0
        while last < len(self._log) and (size == 0 or size + len(self._log[last].data) < full):
            size += len(self._log[last].data) + ENTRY_OVERHEAD
            last += 1
        prev, peer.next = peer.next - 1, self._base + last + 1
        peer.in_flight.append((peer.next - 1, size))
        peer.bytes_in_flight += size
        self._send_append(peer, prev, tuple(self._log[first:last]))

    def _heartbeat_all(self) -> None:
        """Sends a heartbeat to all. It names the last entry sent, so that a member notices a lost message."""
        self._heartbeat_round = self._round + 1
        for peer in self._peers.values():
            prev = peer.next - 1 if peer.snapshot is None and peer.next > self._base else 0
            self._send_append(peer, prev, ())

    def _send_snapshot(self, peer: Peer) -> None:
        assert self.snapshot is not None, "entries are compacted only behind a snapshot"
        peer.restart(peer.next, self._round)
        peer.snapshot, peer.snapshot_sent, peer.snapshot_acknowledged, peer.snapshot_progressed = (
            self.snapshot,
            0,
            0,
            True,
        )
        self._send_chunk(peer, self.snapshot)

    def _send_chunks(self, peer: Peer, snapshot: Snapshot) -> None:
        while (
            peer.snapshot_sent < len(snapshot.data)
            and peer.snapshot_sent - peer.snapshot_acknowledged < WINDOW_MESSAGES * self.timing.snapshot_chunk_bytes
        ):
            self._send_chunk(peer, snapshot)

    def _send_chunk(self, peer: Peer, snapshot: Snapshot) -> None:
        data = snapshot.data[peer.snapshot_sent : peer.snapshot_sent + self.timing.snapshot_chunk_bytes]
        self._send(
            InstallSnapshot(
                sender=self.me,
                to=peer.id,
                term=self.term,
                index=snapshot.index,
                index_term=snapshot.term,
                members=snapshot.members,
                at=peer.snapshot_sent,
                data=data,
                size=len(snapshot.data),
                round=self._next_round(),
            )
        )
        peer.snapshot_sent += len(data)
