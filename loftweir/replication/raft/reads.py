"""Reads that see all that was promised before them, without an entry in the log (dissertation, 6.4)."""

from __future__ import annotations

from loftweir.replication.api import ReadRequest, RequestCompleted
from loftweir.replication.raft.log_replication import LogReplication


class Reads(LogReplication):
    """Reads that wait for a majority to confirm this leader."""

    def _read(self, event: ReadRequest) -> None:
        """Answered once a majority has answered something sent after this, and the log is committed up to where it was
        then, an entry of this term with it (diss. 6.4)."""
        if not self._may_take(event.token):
            return
        self._reads.append((self._round + 1, max(self.commit, self._own_from), event.token))
        self._confirm()

    def _confirm(self) -> None:
        reads, answered = self._reads, self._quorum_round()
        while reads and reads[0][0] <= answered and reads[0][1] <= self.commit:
            _, index, token = reads.popleft()
            self._out.append(RequestCompleted(token, index))
        # One round to all at a time: those that come meanwhile wait for the next.
        if reads and self._all_round < reads[0][0]:
            self._to_all()
