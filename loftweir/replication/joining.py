"""A listed member that is not in the cluster: founds or joins it step by step, and notices its own removal."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.stream import ConnectError
from loftweir.replication.api import Member
from loftweir.replication.line import CONNECTION_ERRORS, dial
from loftweir.replication.member import Removed, Voter
from loftweir.replication.seats import founding_members, waiting_reason
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
        # As observed during the life of this process; the disk alone does not prove it.
        self.is_confirmed_voter = False
        self.collecting = False  # waits for responses; in any other wait, a wake-up would be taken for its end
        self.task: Task = loop.spawn(self._run(), self._crashed)

    def _crashed(self, _: Exception) -> None:
        self.loop.after(MEMBER_CHECK_INTERVAL, self._restart)

    def _restart(self) -> None:
        if self.is_active():
            self.task = self.loop.spawn(self._run(), self._crashed)

    def _run(self) -> Coroutine[None]:
        while self.is_active():
            if self._is_in_place():
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
        self.is_confirmed_voter = self.is_confirmed_voter or age is not None
        leaderless_time = age if age is not None else self.loop.now() - self.begun_at
        return leaderless_time < LEADERLESS_ELECTIONS * voter.options.election

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
        lacking_this = [
            n for n, (_, status) in answers.items() if status.sure and all(m.id != voter.me for m in status.members)
        ]
        if lacking_this and self.is_confirmed_voter:
            voter.end(Removed(f"{lacking_this[0]} leads, and {voter.me} is not among its members", voter.name))
            return False
        own = voter.member(voter.me)
        if not lacking_this and own is not None and own.votes and own.address == self.own.address:
            return False
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

    def _collect_status(self) -> Coroutine[dict[str, tuple[str, StatusResponse]]]:
        """The status of the other listed members, requested from all at once."""
        answers: dict[str, tuple[str, StatusResponse]] = {}
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
        self, address: str, name: str, frame: Frame, answers: dict[str, tuple[str, StatusResponse]] | None = None
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
