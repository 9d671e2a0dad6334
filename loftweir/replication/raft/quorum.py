"""The quorum: which round a majority has answered, and when a leader without one steps down (diss. 6.2)."""

from __future__ import annotations

from loftweir.replication.api import Role
from loftweir.replication.raft.state import NEVER
from loftweir.replication.raft.terms import Terms


class Quorum(Terms):
    """Rounds of messages, and the latest one that a majority has answered."""

    @property
    def quorum_confirmed_at(self) -> int:
        """On a leader: the latest time at which it sent something that a majority has answered since, or at which it
        began to lead or its voters changed. On others: when they last heard from the leader; 0: never. In ns.
        """
        if self.role is not Role.LEADER:
            return self._leader_heard_at
        return max(self._quorum_since, min(self._latest_quorum_round(), self._now))

    def _next_round(self) -> int:
        self._round = max(self._round + 1, self._now)
        return self._round

    def _latest_quorum_round(self) -> int:
        """The latest round that a majority, including this leader, has answered."""
        needed = self._others_needed()
        if needed <= 0:
            return NEVER
        rounds = sorted(peer.round for peer in self._voting_peers)
        return rounds[-needed] if needed <= len(rounds) else 0

    def _check_quorum(self) -> None:
        confirmed_at = self.quorum_confirmed_at
        if self._now - confirmed_at >= self.timing.election_timeout:
            self._step_down()
        else:
            self._quorum_deadline = confirmed_at + self.timing.election_timeout if self._others_needed() else NEVER
