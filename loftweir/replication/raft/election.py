"""Leader election: pre-votes (diss. 9.6), votes (paper, 5.2), and the immediate election of a leadership transfer."""

from __future__ import annotations

from loftweir.replication.api import RequestVote, RequestVoteResponse, Role, TimeoutNow
from loftweir.replication.raft.leader import Leader


class Election(Leader):
    """Who becomes a candidate, who gets this member's vote, and who wins."""

    def _start_pre_vote(self) -> None:
        """No leader sent a message in time: asks the voters for pre-votes, without entering a term (diss. 9.6)."""
        self.role, self.leader, self._transfer_election = Role.PRE_CANDIDATE, "", False
        self._reset_election_timer()
        self._votes = {self.me}
        if len(self._votes & self.voters) >= self._majority:
            self._start_election(False)
        else:
            self._request_votes()

    def _start_election(self, handed: bool) -> None:
        """Enters the next term as a candidate, with a vote for itself. `handed`: a leader sent `TimeoutNow`."""
        self.role, self.leader, self._transfer_election = Role.CANDIDATE, "", handed
        self._set_hard_state(self.term + 1, self.me)
        self._reset_election_timer()
        self._votes = set()
        self._request_votes()

    def _request_votes(self) -> None:
        """Asks the voters that have not granted a vote yet, again after each heartbeat interval."""
        self._vote_retry_at = self._now + self.timing.heartbeat_interval
        pre = self.role is Role.PRE_CANDIDATE
        for id in sorted(self.voters - self._votes - {self.me}):
            last, term = self.last_index, self.term_at(self.last_index)
            self._send(
                RequestVote(
                    sender=self.me,
                    to=id,
                    term=self.term + pre,
                    last_index=last,
                    last_term=term,
                    pre=pre,
                    handed=self._transfer_election,
                )
            )

    def _on_request_vote(self, m: RequestVote) -> None:
        if m.pre:
            granted = m.term > self.term and not self._leader_is_alive() and self._up_to_date(m)
            term = m.term if granted else self.term
            self._send(RequestVoteResponse(sender=self.me, to=m.sender, term=term, granted=granted, pre=True))
            return
        if m.term > self.term:
            if self._leader_is_alive() and not m.handed:
                return
            self._become_follower(m.term, "")
        granted = m.term == self.term and self.vote in ("", m.sender) and self._up_to_date(m)
        if granted:
            if not self.vote:
                self._set_hard_state(self.term, m.sender)
            self._deadline = self._now + self._election_wait
        self._send(RequestVoteResponse(sender=self.me, to=m.sender, term=self.term, granted=granted, pre=False))

    def _up_to_date(self, m: RequestVote) -> bool:
        """Whether the sender's log has everything that may be committed as far as this member knows (paper, 5.4.1)."""
        return (m.last_term, m.last_index) >= (self.term_at(self.last_index), self.last_index)

    def _on_vote_response(self, m: RequestVoteResponse) -> None:
        if m.pre and m.granted:
            if self.role is Role.PRE_CANDIDATE and m.term == self.term + 1:
                self._votes.add(m.sender)
                if len(self._votes & self.voters) >= self._majority:
                    self._start_election(False)
        elif m.term > self.term:
            if m.sender in self._ids:
                self._become_follower(m.term, "")
        elif self.role is Role.CANDIDATE and m.term == self.term and m.granted and not m.pre:
            self._votes.add(m.sender)
            self._count_votes()

    def _count_votes(self) -> None:
        """Becomes the leader with the votes of a majority; the own vote counts once it is stable."""
        own = self.me in self.voters and self._own_vote_synced()
        if len(self._votes & self.voters) + own >= self._majority:
            self._become_leader()

    def _on_timeout_now(self, m: TimeoutNow) -> None:
        following = self.role is Role.FOLLOWER and self.me in self.voters
        if following and m.term == self.term and m.sender == self.leader:
            self._start_election(True)
