"""Leader election: pre-vote (dissertation, 9.6), votes (paper, 5.2), and standing at once after a transfer."""

from __future__ import annotations

from loftweir.replication.api import RequestVote, RequestVoteResponse, Role, TimeoutNow
from loftweir.replication.raft.leader import Leader


class Election(Leader):
    """Who stands, who is voted for, and who wins."""

    def _ask(self) -> None:
        """Nothing was heard from a leader: ask whether one could be elected, without a new term (diss. 9.6)."""
        self.role, self.leader, self._handed = Role.ASKING, "", False
        self._restart_wait()
        self._votes = {self.me}
        if len(self._votes & self.voters) >= self._majority:
            self._stand(False)
        else:
            self._ask_votes()

    def _stand(self, handed: bool) -> None:
        self.role, self.leader, self._handed = Role.CANDIDATE, "", handed
        self._hard(self.term + 1, self.me)
        self._restart_wait()
        self._votes = set()
        self._ask_votes()

    def _ask_votes(self) -> None:
        self._again_at = self._now + self.timing.beat
        pre = self.role is Role.ASKING
        for id in sorted(self.voters - self._votes - {self.me}):
            last, term = self.last_index, self.term_at(self.last_index)
            self._say(
                RequestVote(
                    sender=self.me,
                    to=id,
                    term=self.term + pre,
                    last_index=last,
                    last_term=term,
                    pre=pre,
                    handed=self._handed,
                )
            )

    def _ask_vote(self, m: RequestVote) -> None:
        if m.pre:
            granted = m.term > self.term and not self._sticky() and self._up_to_date(m)
            term = m.term if granted else self.term
            self._say(RequestVoteResponse(sender=self.me, to=m.sender, term=term, granted=granted, pre=True))
            return
        if m.term > self.term:
            if self._sticky() and not m.handed:
                return
            self._follow(m.term, "")
        granted = m.term == self.term and self.vote in ("", m.sender) and self._up_to_date(m)
        if granted:
            if not self.vote:
                self._hard(self.term, m.sender)
            self._deadline = self._now + self._wait
        self._say(RequestVoteResponse(sender=self.me, to=m.sender, term=self.term, granted=granted, pre=False))

    def _up_to_date(self, m: RequestVote) -> bool:
        """The asker's log holds all that may be committed as far as this one knows (paper, 5.4.1)."""
        return (m.last_term, m.last_index) >= (self.term_at(self.last_index), self.last_index)

    def _vote(self, m: RequestVoteResponse) -> None:
        if m.pre and m.granted:
            if self.role is Role.ASKING and m.term == self.term + 1:
                self._votes.add(m.sender)
                if len(self._votes & self.voters) >= self._majority:
                    self._stand(False)
        elif m.term > self.term:
            if m.sender in self._ids:
                self._follow(m.term, "")
        elif self.role is Role.CANDIDATE and m.term == self.term and m.granted and not m.pre:
            self._votes.add(m.sender)
            self._count_votes()

    def _count_votes(self) -> None:
        own = self.me in self.voters and self._own_vote_stable()
        if len(self._votes & self.voters) + own >= self._majority:
            self._lead()

    def _lead_now(self, m: TimeoutNow) -> None:
        following = self.role is Role.FOLLOWER and self.me in self.voters
        if following and m.term == self.term and m.sender == self.leader:
            self._stand(True)
