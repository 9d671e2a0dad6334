"""The leader: starts its term with an entry of its own, sends heartbeats, and handles the members' responses."""

from __future__ import annotations

from loftweir.replication.api import AppendEntriesResponse, EntryKind, InstallSnapshotResponse, Role, Snapshot
from loftweir.replication.raft.commit import Commit
from loftweir.replication.raft.state import Peer


class Leader(Commit):
    """What a leader does during its term."""

    def _become_leader(self) -> None:
        """Wins the election: a no-op entry of the new term goes to all members."""
        self.role, self.leader = Role.LEADER, self.me
        self._peers = {}
        self._round = max(self._round, self._now)
        self._term_start_index = self.last_index + 1
        self._update_peers(self._term_start_index)
        self._propose(EntryKind.NOOP, b"")
        self._heartbeat_at = self._now + self.timing.heartbeat_interval
        self._advance_commit()

    def _send_heartbeats(self) -> None:
        """Sends heartbeats, and resumes what was lost on the way to a peer."""
        self._heartbeat_at = self._now + self.timing.heartbeat_interval
        for peer in list(self._peers.values()):
            if peer.removed_at and (0 < peer.removal_round <= peer.round or self._now >= peer.removed_until):
                del self._peers[peer.id]
            elif peer.snapshot is not None:
                self._resend_snapshot(peer, peer.snapshot)
            elif peer.next <= self._base:
                self._send_snapshot(peer)  # it needs compacted entries, whether the earlier messages arrived or not
        self._heartbeat_all()
        if self._transfer_target:
            self._continue_transfer()

    def _resend_snapshot(self, peer: Peer, snapshot: Snapshot) -> None:
        """Retransmits the current chunk if none was acknowledged since the last heartbeat."""
        if not peer.snapshot_progressed and snapshot.index < self._base:
            self._send_snapshot(peer)  # a newer one: the log has a gap after the old one
        elif not peer.snapshot_progressed:
            peer.snapshot_sent, peer.probing = peer.snapshot_acknowledged, True
            self._send_chunk(peer, snapshot)
        peer.snapshot_progressed = False

    def _responding_peer(self, m: AppendEntriesResponse | InstallSnapshotResponse) -> Peer | None:
        """The peer that answers this leader in this term; None: the response is ignored. A response of a member with a
        later term ends the leadership.
        """
        if m.term > self.term:
            if m.sender in self._ids:
                self._become_follower(m.term, "")
            return None
        peer = self._peers.get(m.sender)
        if peer is None or m.term != self.term or m.round > self._round:
            return None
        peer.last_response_at = self._now
        if m.round > peer.round:
            peer.round = m.round
            if self._pending_reads:
                self._complete_reads()
        return peer

    def _on_append_response(self, m: AppendEntriesResponse) -> None:
        peer = self._responding_peer(m)
        if peer is None:
            return
        if not m.ok:
            if peer.snapshot is None and m.round > peer.restart_round:
                peer.restart(max(peer.match, min(m.match, peer.next - 1)) + 1, self._round)
                self._replicate_to(peer)
            return
        if m.round > peer.restart_round:
            peer.probing = peer.snapshot is not None and peer.probing
        if m.match > peer.match:
            self._advance_match(peer, m.match)
        elif peer.next <= self.last_index:
            self._replicate_to(peer)

    def _advance_match(self, peer: Peer, index: int) -> None:
        """The peer's log is stable up to `index`."""
        peer.match = index
        peer.next = max(peer.next, index + 1)
        while peer.in_flight and peer.in_flight[0][0] <= index:
            peer.bytes_in_flight -= peer.in_flight.popleft()[1]
        if peer.votes and index > self.commit:
            self._advance_commit()
        if self.role is Role.LEADER:  # the commit may have removed this member from the cluster
            self._replicate_to(peer)
            if self._transfer_target:
                self._continue_transfer()

    def _on_snapshot_response(self, m: InstallSnapshotResponse) -> None:
        peer = self._responding_peer(m)
        if peer is None or peer.snapshot is None or m.index != peer.snapshot.index:
            return
        snapshot = peer.snapshot
        if m.upto >= len(snapshot.data):
            peer.snapshot = None
            peer.restart(max(peer.match, snapshot.index) + 1, self._round)
            peer.probing = False
            self._advance_match(peer, peer.next - 1)
        elif m.upto > peer.snapshot_acknowledged:
            peer.snapshot_acknowledged, peer.snapshot_sent, peer.snapshot_progressed, peer.probing = (
                m.upto,
                max(peer.snapshot_sent, m.upto),
                True,
                False,
            )
            self._send_chunks(peer, snapshot)
        elif m.upto < peer.snapshot_acknowledged and m.round > peer.restart_round:  # it has lost the received chunks
            peer.restart(peer.next, self._round)
            peer.snapshot_acknowledged = peer.snapshot_sent = m.upto
            self._send_chunk(peer, snapshot)
