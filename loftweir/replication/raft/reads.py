"""Linearizable reads without an entry in the log (diss. 6.4)."""

from __future__ import annotations

from loftweir.replication.api import ReadRequest, RequestCompleted
from loftweir.replication.raft.log_replication import LogReplication


class Reads(LogReplication):
    """Reads that wait until a majority confirms this leader."""

    def _on_read(self, event: ReadRequest) -> None:
        """Completed once a majority has answered a message sent after the request, and the log is committed up to the
        commit index at that time and includes an entry of this term (diss. 6.4).
        """
        if not self._can_accept(event.token):
            return
        self._pending_reads.append((self._round + 1, max(self.commit, self._term_start_index), event.token))
        self._complete_reads()

    def _complete_reads(self) -> None:
        reads, answered = self._pending_reads, self._latest_quorum_round()
        while reads and reads[0][0] <= answered and reads[0][1] <= self.commit:
            _, index, token = reads.popleft()
            self._actions.append(RequestCompleted(token, index))
        # One round to all at a time: reads that arrive meanwhile wait for the next one.
        if reads and self._heartbeat_round < reads[0][0]:
            self._heartbeat_all()
