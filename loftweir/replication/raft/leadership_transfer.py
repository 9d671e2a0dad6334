"""Leadership transfer: a leader that is about to stop lets the most up-to-date voter start an election (diss. 3.10)."""

from __future__ import annotations

from loftweir.replication.api import TimeoutNow, TransferLeadership
from loftweir.replication.raft.log_replication import LogReplication
from loftweir.replication.raft.state import Peer


class LeadershipTransfer(LogReplication):
    """Transfer of the leadership to another member."""

    def _on_transfer_leadership(self, event: TransferLeadership) -> None:
        """Accepts no more writes until another member, which has the whole log, leads, or for `Timing.election_timeout`
        (diss. 3.10).
        """
        best = self._best_successor()
        if best is not None and not self._transfer_target:
            self._transfer_target, self._transfer_deadline = best.id, self._now + self.timing.election_timeout
            self._continue_transfer()

    def _best_successor(self) -> Peer | None:
        """The reachable voter with the most up-to-date log."""
        return max((p for p in self._voting_peers if self._is_alive(p)), key=lambda p: (p.match, p.id), default=None)

    def _continue_transfer(self) -> None:
        peer = self._peers.get(self._transfer_target)
        if peer is not None and peer.match == self.commit == self.last_index:
            self._send_timeout_now(peer)

    def _send_timeout_now(self, peer: Peer | None) -> None:
        if peer is not None:
            self._send(TimeoutNow(sender=self.me, to=peer.id, term=self.term))
