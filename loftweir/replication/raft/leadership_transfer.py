"""Leadership transfer: a leader that is about to end lets the nearest voter stand (dissertation, 3.10)."""

from __future__ import annotations

from loftweir.replication.api import TimeoutNow, TransferLeadership
from loftweir.replication.raft.log_replication import LogReplication
from loftweir.replication.raft.state import Peer


class LeadershipTransfer(LogReplication):
    """Handing the leadership over to another member."""

    def _on_transfer_leadership(self, event: TransferLeadership) -> None:
        """Take no more writes until another, which has all, leads; or for `Timing.election_timeout` at most (diss. 3.10)."""
        best = self._best_successor()
        if best is not None and not self._transfer_target:
            self._transfer_target, self._transfer_deadline = best.id, self._now + self.timing.election_timeout
            self._continue_transfer()

    def _best_successor(self) -> Peer | None:
        """The voter that is nearest to having all."""
        return max((p for p in self._voting_peers if self._is_alive(p)), key=lambda p: (p.match, p.id), default=None)

    def _continue_transfer(self) -> None:
        peer = self._peers.get(self._transfer_target)
        if peer is not None and peer.match == self.commit == self.last_index:
            self._send_timeout_now(peer)

    def _send_timeout_now(self, peer: Peer | None) -> None:
        if peer is not None:
            self._send(TimeoutNow(sender=self.me, to=peer.id, term=self.term))
