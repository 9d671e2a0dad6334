"""A listed member that is not in the cluster: founds or joins it step by step, and notices its own removal."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.stream import ConnectError
from loftweir.replication.api import Member
from loftweir.replication.line import CONNECTION_ERRORS, dial
from loftweir.replication.member import Removed, Voter
from loftweir.replication.seats import (
    MembershipStep,
    OwnMembership,
    founding_members,
    next_own_step,
    waiting_reason,
)
from loftweir.replication.wire import (
    VERSION,
    ConnectionKind,
    Frame,
    Hello,
    JoinRequest,
    JoinResponse,
    StatusRequest,
    StatusResponse,
    TurnedAway,
)
from loftweir.telemetry.catalogue import (
    REPLICATION_BEGUN,
    REPLICATION_JOINED,
    REPLICATION_TURNED_AWAY,
    REPLICATION_WAITS,
)
from loftweir.telemetry.log import emit

STATUS_INTERVAL = 200 * MS  # while it is not a member; up to 1.5 times as long at random
STEP_INTERVAL = 30 * MS  # between two steps of joining
MEMBER_CHECK_INTERVAL = SECOND  # while it is a member
RESPONSE_TIMEOUT = SECOND
# Election timeouts without a leader after which a member asks whether it still is one.
LEADERLESS_ELECTIONS = 4
WAIT_LOG_DELAY = 3 * SECOND  # after the start, before the reason for waiting is logged

# By name: the id that answered and its status.
StatusAnswers = dict[str, tuple[str, StatusResponse]]

SET_ASIDE_WAIT = (
    "files were set aside here, and no leader is known: it founds no cluster, as writes may have been acknowledged; "
    "check the other members, and empty all folders, this one too, only if the replicated data is lost"
)


class JoinProcess:
    """Keeps a voter in the cluster: founds or joins it, and stops the voter if it was removed."""

    def __init__(self, loop: Loop, voter: Voter, is_active: Callable[[], bool]) -> None:
        """`is_active`: whether the voter is still in use."""
        self.loop = loop
        self.voter = voter
        self.is_active = is_active
        self.own = Member(voter.me, voter.name, voter.slots[voter.name])
        self.hello = Hello(VERSION, voter.options.cluster, voter.me, voter.name, ConnectionKind.CALLER)
        self.random = Random(f"{voter.me} joining")
        self.begun_at = loop.now()
        self.joining = False
        # During the life of this process a leader sure of its members had it among them. Neither the disk nor a message
        # of a leader proves that: both may be from a time before it was removed.
        self.was_member = False
        self.collecting = False  # waits for responses; in any other wait, a wake-up would be taken for its end
        self.task: Task = loop.spawn(self._run(), self._crashed)

    def _crashed(self, _: Exception) -> None:
        self.loop.after(MEMBER_CHECK_INTERVAL, self._restart)

    def _restart(self) -> None:
        if self.is_active():
            self.task = self.loop.spawn(self._run(), self._crashed)

    def _run(self) -> Coroutine[None]:
        while self.is_active():
            if self._is_in_place() and self._is_known_member():
                delay = MEMBER_CHECK_INTERVAL
            elif (yield from self._step()):
                delay = STEP_INTERVAL
            else:
                delay = STATUS_INTERVAL + self.random.randrange(STATUS_INTERVAL // 2)
            yield Wait(None, 0, self.loop.now() + delay)

    def _is_in_place(self) -> bool:
        """Whether it is a voter at its configured address, with a leader or without one for a short time only."""
        voter = self.voter
        own, age = voter.member(voter.me), voter.age()
        if (
            own is None
            or not own.votes
            or own.address != self.own.address
            or (self.joining and not voter.is_confirmed_voter)
        ):
            return False
        if self.joining:
            self.joining = False
            emit(REPLICATION_JOINED, id=voter.me, leader=voter.leader()[0])
        leaderless_time = age if age is not None else self.loop.now() - self.begun_at
        return leaderless_time < LEADERLESS_ELECTIONS * voter.options.election

    def _is_known_member(self) -> bool:
        """Whether a leader sure of its members, itself included, had it among them during the life of this process."""
        self.was_member = self.was_member or self._lists_this(self.voter.status(()))
        return self.was_member

    def _step(self) -> Coroutine[bool]:
        """Makes one step. Returns whether there was progress, so that the next step should follow at once."""
        voter = self.voter
        answers = yield from self._collect_status()
        if not self.is_active():
            return False
        if not voter.has_state and not voter.state_may_be_lost:
            members = tuple(founding_members(self.own, min(voter.slots), voter.slots, answers))
            if members:
                emit(REPLICATION_BEGUN, id=voter.me, members=[m.name for m in members])
                voter.found(members)
                return True
        match next_own_step(self._own_membership(), [status for _, status in answers.values()]):
            case MembershipStep.END:
                voter.end(Removed(self._removal_reason(answers), voter.name))
                return False
            case MembershipStep.JOIN:
                self._note_listing(answers)
                return (yield from self._ask_leaders(answers))
            case MembershipStep.WAIT:
                self._note_listing(answers)
                return False

    def _own_membership(self) -> OwnMembership:
        voter = self.voter
        return OwnMembership(voter.me, self.own.address, voter.member(voter.me), self.was_member)

    def _lists_this(self, status: StatusResponse) -> bool:
        return status.sure and any(member.id == self.voter.me for member in status.members)

    def _note_listing(self, answers: StatusAnswers) -> None:
        self.was_member = self.was_member or any(self._lists_this(status) for _, status in answers.values())

    def _removal_reason(self, answers: StatusAnswers) -> str:
        leader = next(name for name, (_, status) in answers.items() if status.sure and not self._lists_this(status))
        return f"{leader} leads, and {self.voter.me} is not among its members"

    def _ask_leaders(self, answers: StatusAnswers) -> Coroutine[bool]:
        """Asks the leaders that the answers name for the next step of joining. Returns whether one was made."""
        voter = self.voter
        leaders = {
            status.leader: status.address for _, status in answers.values() if status.leader not in ("", voter.name)
        }
        for name, address in leaders.items():
            joined = yield from self._request(voter.slots.get(name, address), name, self._join())
            if isinstance(joined, JoinResponse):
                if joined.on:
                    self.joining = True
                    return True
                emit(REPLICATION_WAITS, why=f"{name}: {joined.why}")
        if not leaders and self.loop.now() > self.begun_at + WAIT_LOG_DELAY:
            why = waiting_reason(voter.name, min(voter.slots), voter.slots, answers)
            emit(REPLICATION_WAITS, why=SET_ASIDE_WAIT if voter.state_may_be_lost else why)
        return False

    def _join(self) -> JoinRequest:
        return JoinRequest(self.own.id, self.own.name, self.own.address)

    def _collect_status(self) -> Coroutine[StatusAnswers]:
        """The status of the other listed members, requested from all at once."""
        answers: StatusAnswers = {}
        others = {name: address for name, address in self.voter.slots.items() if name != self.voter.name}
        left = len(others)

        def one(name: str, address: str) -> Coroutine[None]:
            nonlocal left
            try:
                frame = yield from self._request(address, name, StatusRequest(tuple(self.voter.slots)), answers)
                if not isinstance(frame, StatusResponse):
                    answers.pop(name, None)
            finally:
                left -= 1
                if self.collecting:
                    self.task.wake()

        for name, address in others.items():
            self.loop.spawn(one(name, address))
        until = self.loop.now() + 2 * RESPONSE_TIMEOUT
        self.collecting = True
        while left and self.loop.now() < until:
            yield Wait(None, 0, until)
        self.collecting = False
        return dict(answers)

    def _request(
        self, address: str, name: str, frame: Frame, answers: StatusAnswers | None = None
    ) -> Coroutine[Frame | None]:
        """Sends one request to a member and returns the response; None: there was none."""
        until = self.loop.now() + RESPONSE_TIMEOUT
        try:
            connection, peer = yield from dial(self.loop, address, self.hello, until)
        except TurnedAway as error:
            emit(REPLICATION_TURNED_AWAY, name=name, why=error)
            return None
        except ConnectError:
            return None
        try:
            if peer.name != name:
                emit(REPLICATION_TURNED_AWAY, name=name, why=f"{peer.name} is at {address}")
                return None
            connection.put(frame)
            answer = yield from connection.next(until)
            if answers is not None and isinstance(answer, StatusResponse):
                answers[name] = peer.id, answer
            return answer
        except CONNECTION_ERRORS:
            return None
        finally:
            connection.close()
