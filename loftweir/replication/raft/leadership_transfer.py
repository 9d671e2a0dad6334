"""Leadership transfer: a leader that is about to end lets the nearest voter stand (dissertation, 3.10)."""

from __future__ import annotations

from loftweir.replication.api import TimeoutNow, TransferLeadership
from loftweir.replication.raft.log_replication import LogReplication
from loftweir.replication.raft.state import Peer


class LeadershipTransfer(LogReplication):
    """Handing the leadership over to another member."""

    def _hand_over(self, event: TransferLeadership) -> None:
        """Take no more writes until another, which has all, leads; or for `Timing.election` at most (diss. 3.10)."""
        best = self._best()
        if best is not None and not self._hand_to:
            self._hand_to, self._hand_until = best.id, self._now + self.timing.election
            self._hand()

    def _best(self) -> Peer | None:
        """The voter that is nearest to having all."""
        return max((p for p in self._voting if self._alive(p)), key=lambda p: (p.match, p.id), default=None)

    def _hand(self) -> None:
        peer = self._peers.get(self._hand_to)
        if peer is not None and peer.match == self.commit == self.last_index:
            self._to_another(peer)

    def _to_another(self, peer: Peer | None) -> None:
        if peer is not None:
            self._say(TimeoutNow(sender=self.me, to=peer.id, term=self.term))
