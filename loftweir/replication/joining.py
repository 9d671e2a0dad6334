"""A listed member that is not one yet, or no more: founding, joining step by step, and finding out that it is out."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.stream import NotUp
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

STATUS_INTERVAL = 200 * MS  # while it is no member; half as long again at random
STEP_INTERVAL = 30 * MS  # from one step of joining to the next
MEMBER_CHECK_INTERVAL = SECOND  # once it is a member
RESPONSE_TIMEOUT = SECOND
LEADERLESS_ELECTIONS = 4  # election timeouts without a leader, after which a member asks whether it still is one
WAIT_LOG_DELAY = 3 * SECOND  # from the start, before waiting is worth a line

SET_ASIDE_WAIT = (
    "files were set aside here, and no leader is known: it begins nothing, as more may have been promised; look at the "
    "other members, and only where the copies are gone empty all folders, this one too"
)


class JoinProcess:
    def __init__(self, loop: Loop, voter: Voter, still: Callable[[], bool]) -> None:
        """`still`: whether the voter takes part."""
        self.loop = loop
        self.voter = voter
        self.still = still
        self.own = Member(voter.me, voter.name, voter.seats[voter.name])
        self.hello = Hello(VERSION, voter.options.cluster, voter.me, voter.name, ConnectionKind.CALLER)
        self.random = Random(f"{voter.me} joining")
        self.begun_at = loop.now()
        self.joins = False
        self.voted = False  # it was found in its place, in the life of this process: the disk alone does not tell
        self.gathers = False  # it waits for answers; woken in any other wait, it would take that for its end
        self.task: Task = loop.spawn(self._run(), self._crashed)

    def _crashed(self, _: Exception) -> None:
        self.loop.after(MEMBER_CHECK_INTERVAL, self._again)

    def _again(self) -> None:
        if self.still():
            self.task = self.loop.spawn(self._run(), self._crashed)

    def _run(self) -> Coroutine[None]:
        while self.still():
            if self._settled():
                pause = MEMBER_CHECK_INTERVAL
            elif (yield from self._step()):
                pause = STEP_INTERVAL
            else:
                pause = STATUS_INTERVAL + self.random.randrange(STATUS_INTERVAL // 2)
            yield Wait(None, 0, self.loop.now() + pause)

    def _settled(self) -> bool:
        """A member that votes, at the address that it has, with a leader or without one for a short time."""
        voter = self.voter
        own, age = voter.member(voter.me), voter.age()
        if own is None or not own.votes or own.address != self.own.address or (self.joins and not voter.voted):
            return False
        if self.joins:
            self.joins = False
            emit(REPLICATION_JOINED, id=voter.me, leader=voter.leader()[0])
        self.voted = self.voted or age is not None
        away = age if age is not None else self.loop.now() - self.begun_at
        return away < LEADERLESS_ELECTIONS * voter.options.election

    def _step(self) -> Coroutine[bool]:
        """Whether something moved, so that the next step is worth a try at once."""
        voter = self.voter
        answers = yield from self._ask_all()
        if not self.still():
            return False
        if not voter.begun and not voter.lost:
            members = tuple(founding_members(self.own, min(voter.seats), voter.seats, answers))
            if members:
                emit(REPLICATION_BEGUN, id=voter.me, members=[m.name for m in members])
                voter.found(members)
                return True
        without = [n for n, (_, am) in answers.items() if am.sure and all(m.id != voter.me for m in am.members)]
        if without and self.voted:
            voter.end(Removed(f"{without[0]} leads, and its members are without {voter.me}", voter.name))
            return False
        own = voter.member(voter.me)
        if not without and own is not None and own.votes and own.address == self.own.address:
            return False
        leaders = {am.leader: am.address for _, am in answers.values() if am.leader not in ("", voter.name)}
        for name, address in leaders.items():
            joined = yield from self._call(voter.seats.get(name, address), name, self._join())
            if isinstance(joined, JoinResponse):
                if joined.on:
                    self.joins = True
                    return True
                emit(REPLICATION_WAITS, why=f"{name}: {joined.why}")
        if not leaders and self.loop.now() > self.begun_at + WAIT_LOG_DELAY:
            why = waiting_reason(voter.name, min(voter.seats), voter.seats, answers)
            emit(REPLICATION_WAITS, why=SET_ASIDE_WAIT if voter.lost else why)
        return False

    def _join(self) -> JoinRequest:
        return JoinRequest(self.own.id, self.own.name, self.own.address)

    def _ask_all(self) -> Coroutine[dict[str, tuple[str, StatusResponse]]]:
        """How the other listed members stand, all asked at once."""
        answers: dict[str, tuple[str, StatusResponse]] = {}
        others = {name: address for name, address in self.voter.seats.items() if name != self.voter.name}
        left = len(others)

        def one(name: str, address: str) -> Coroutine[None]:
            nonlocal left
            try:
                frame = yield from self._call(address, name, StatusRequest(tuple(self.voter.seats)), answers)
                if not isinstance(frame, StatusResponse):
                    answers.pop(name, None)
            finally:
                left -= 1
                if self.gathers:
                    self.task.wake()

        for name, address in others.items():
            self.loop.spawn(one(name, address))
        until = self.loop.now() + 2 * RESPONSE_TIMEOUT
        self.gathers = True
        while left and self.loop.now() < until:
            yield Wait(None, 0, until)
        self.gathers = False
        return dict(answers)

    def _call(
        self, address: str, name: str, frame: Frame, answers: dict[str, tuple[str, StatusResponse]] | None = None
    ) -> Coroutine[Frame | None]:
        """One question to a member, and its answer; None where none came."""
        until = self.loop.now() + RESPONSE_TIMEOUT
        try:
            line, there = yield from dial(self.loop, address, self.hello, until)
        except TurnedAway as error:
            emit(REPLICATION_TURNED_AWAY, name=name, why=error)
            return None
        except NotUp:
            return None
        try:
            if there.name != name:
                emit(REPLICATION_TURNED_AWAY, name=name, why=f"{there.name} is at {address}")
                return None
            line.put(frame)
            answer = yield from line.next(until)
            if answers is not None and isinstance(answer, StatusResponse):
                answers[name] = there.id, answer
            return answer
        except CONNECTION_ERRORS:
            return None
        finally:
            line.close()
