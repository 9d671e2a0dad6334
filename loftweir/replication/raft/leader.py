"""The leader: it begins its term with an entry of its own, beats, and takes the answers of the others."""

from __future__ import annotations

from loftweir.replication.api import AppendEntriesResponse, EntryKind, InstallSnapshotResponse, Role, Snapshot
from loftweir.replication.raft.commit import Commit
from loftweir.replication.raft.state import Peer


class Leader(Commit):
    """What a leader does in its term."""

    def _lead(self) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self._peers = {}
        self._round = max(self._round, self._now)
        self._own_from = self.last_index + 1
        self._meet(self._own_from)
        self._propose(EntryKind.NOOP, b"")
        self._beat_at = self._now + self.timing.beat
        self._count()

    def _beat(self) -> None:
        self._beat_at = self._now + self.timing.beat
        for peer in list(self._peers.values()):
            if peer.leaving and (0 < peer.leaving_told <= peer.round or self._now >= peer.leaving_until):
                del self._peers[peer.id]
            elif peer.sending is not None:
                self._send_again(peer, peer.sending)
            elif peer.next <= self._base:
                self._send_snapshot(peer)  # what it lacks was let go, whether all that was sent got there or not
        self._to_all()
        if self._hand_to:
            self._hand()

    def _send_again(self, peer: Peer, snapshot: Snapshot) -> None:
        """Sends a piece of the snapshot again, where none was taken since the last beat."""
        if not peer.moved and snapshot.index < self._base:
            self._send_snapshot(peer)  # a newer one: behind the old one there would be a gap
        elif not peer.moved:
            peer.sent, peer.probing = peer.taken, True
            self._piece(peer, snapshot)
        peer.moved = False

    def _answered(self, m: AppendEntriesResponse | InstallSnapshotResponse) -> Peer | None:
        """Whose answer it is to this leader of this term. A later term ends this one, if a member says so."""
        if m.term > self.term:
            if m.sender in self._ids:
                self._follow(m.term, "")
            return None
        peer = self._peers.get(m.sender)
        if peer is None or m.term != self.term or m.round > self._round:
            return None
        peer.heard_at = self._now
        if m.round > peer.round:
            peer.round = m.round
            if self._reads:
                self._confirm()
        return peer

    def _appended(self, m: AppendEntriesResponse) -> None:
        peer = self._answered(m)
        if peer is None:
            return
        if not m.ok:
            if peer.sending is None and m.round > peer.reset:
                peer.started_anew(max(peer.match, min(m.match, peer.next - 1)) + 1, self._round)
                self._feed(peer)
            return
        if m.round > peer.reset:
            peer.probing = peer.sending is not None and peer.probing
        if m.match > peer.match:
            self._has(peer, m.match)
        elif peer.next <= self.last_index:
            self._feed(peer)

    def _has(self, peer: Peer, index: int) -> None:
        """It has the log stable up to there."""
        peer.match = index
        peer.next = max(peer.next, index + 1)
        while peer.flight and peer.flight[0][0] <= index:
            peer.bytes -= peer.flight.popleft()[1]
        if peer.votes and index > self.commit:
            self._count()
        if self.role is Role.LEADER:  # it may have been removed by what this committed
            self._feed(peer)
            if self._hand_to:
                self._hand()

    def _taken(self, m: InstallSnapshotResponse) -> None:
        peer = self._answered(m)
        if peer is None or peer.sending is None or m.index != peer.sending.index:
            return
        snapshot = peer.sending
        if m.upto >= len(snapshot.data):
            peer.sending = None
            peer.started_anew(max(peer.match, snapshot.index) + 1, self._round)
            peer.probing = False
            self._has(peer, peer.next - 1)
        elif m.upto > peer.taken:
            peer.taken, peer.sent, peer.moved, peer.probing = m.upto, max(peer.sent, m.upto), True, False
            self._pieces(peer, snapshot)
        elif m.upto < peer.taken and m.round > peer.reset:  # it lost what it held
            peer.started_anew(peer.next, self._round)
            peer.taken = peer.sent = m.upto
            self._piece(peer, snapshot)
