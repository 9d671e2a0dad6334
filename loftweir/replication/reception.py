"""A voter's listener: other members, and the sidecars that ask, write and follow.

Members' messages go before all else on the loop. All others together are bounded; of too many, the one that comes is
turned away to the other voters. Who is listed as a member is never among them: the oldest of its own lines goes. Who
asks is answered one question after another, the next one once the answer has gone out: what is held for it is one
answer, and one turn of the loop does one.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from loftweir.config.units import host_and_port
from loftweir.net.loop import HUNG_UP, MS, READABLE, SECOND, WOKEN, Coroutine, Loop, Task, Wait
from loftweir.net.stream import TimedOut, prepare
from loftweir.replication.api import Heard, Message
from loftweir.replication.line import GREETED_WITHIN, Broken, Line
from loftweir.replication.machine import AnyResult, checked
from loftweir.replication.machine import written as result_written
from loftweir.replication.member import Voter
from loftweir.replication.seats import step_in
from loftweir.replication.wire import (
    VERSION,
    Answer,
    Ask,
    BadFrame,
    FactOf,
    Fetch,
    Follow,
    Frame,
    Hello,
    How,
    Join,
    Joined,
    Kind,
    LeaseOf,
    Outcome,
    Query,
    Remove,
    Submit,
    Turned,
    TurnedAway,
    Who,
    Whole,
    Why,
    WordOf,
    turned,
    written,
)
from loftweir.telemetry.catalogue import REPLICATION_TURNED
from loftweir.telemetry.log import say

BACKLOG = 512  # a voter that comes back is called by many at once
UNGREETED = 64  # connections that have not said who they are; more wait to be accepted
SLOW_AFTER = 250 * MS  # of too many, the oldest goes after this
BESIDE = 8  # lines of each listed member that asks or joins, beside those for others; two processes may be under way
OF_A_SEAT = 2  # lines of members of one name: an old id, and the one that takes its place
OF_STRANGERS = 8  # ... and of all whose names are neither listed nor members'
UNUSED_FOR = 30 * SECOND  # of a line that asks nothing
LONGEST_WAIT = 60 * SECOND
NEWS_APART = 20 * MS  # from one round of news to the next: what is applied meanwhile goes together
RETRY_ACCEPT = 20 * MS
PIECE = 256 * 1024  # of the machine as a whole, to a follower
DESCRIPTORS = 48  # beside those of others: listener, links both ways, UNGREETED in part, disk, epoll's wakes


def bound(address: str) -> socket.socket:
    """OSError where it can't be had."""
    host, port = host_and_port(address)
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


class Reception:
    """Invariant: every line that is open has its one coroutine, and is in `ungreeted`, `members` or `others`."""

    def __init__(self, loop: Loop, voter: Voter, most: int) -> None:
        self.loop = loop
        self.voter = voter
        self.most = most
        self.hello = Hello(VERSION, voter.options.cluster, voter.me, voter.name, Kind.MEMBER)
        self.ungreeted: dict[Line, int] = {}  # the oldest first, with when it came
        self.members: dict[str, Line] = {}  # by id, the newest of each
        self.others: dict[Line, Hello] = {}
        self.parked: dict[Line, tuple[int, int]] = {}  # who waits for news: behind which index, and until when
        self.asked_from: dict[str, str] = {}  # by name, the id that asked last how this one stands while it was empty
        self.asked: set[Line] = set()  # whose question the voter has: it gets no other one meanwhile
        self.news_due = False
        self.news_at = 0
        self.listener: socket.socket | None = None
        self.accepting: Task | None = None
        self.over = False

    def listen(self, sock: socket.socket) -> None:
        """On what is `bound`, and closed with this."""
        self.listener = sock
        self.accepting = self.loop.spawn(self._accept(sock), urgent=True)

    def close(self) -> None:
        """Not to be called by what this listener itself runs."""
        self.over = True
        if self.accepting is not None:
            self.accepting.cancel()
        if self.listener is not None:
            self.loop.close(self.listener)
        for line in [*self.ungreeted, *self.members.values(), *self.others]:
            assert line.task is not None
            line.task.cancel()

    # ---- lines ----------------------------------------------------------------------------------

    def _accept(self, listener: socket.socket) -> Coroutine[None]:
        while True:
            yield Wait(listener, READABLE, None)
            while True:
                while len(self.ungreeted) >= UNGREETED:
                    line, came_at = next(iter(self.ungreeted.items()))
                    if self.loop.now() > came_at + SLOW_AFTER and line.task is not None:
                        line.task.cancel()
                    else:
                        yield Wait(None, 0, self.loop.now() + RETRY_ACCEPT // 4)
                try:
                    sock, _ = listener.accept()
                except BlockingIOError:
                    break
                except OSError:  # most often no descriptor is free
                    yield Wait(None, 0, self.loop.now() + RETRY_ACCEPT)
                    break
                prepare(sock)
                line = Line(self.loop, sock)
                self.ungreeted[line] = self.loop.now()
                self._run(line, self._greet(line), self.loop.runnable)

    def _run(self, line: Line, coroutine: Coroutine[None], lane: deque[Callable[[], None]]) -> None:
        """Runs a line's coroutine, at once to its first wait: from then on, what ends it closes the line."""
        line.task = Task(self.loop, coroutine, None, lane)
        line.task.step()

    def _greet(self, line: Line) -> Coroutine[None]:
        """Finds out who it is, and goes over to the coroutine that serves such a one."""
        kept = False
        try:
            hello = yield from line.greeting(self.loop.now() + GREETED_WITHIN)
            refused = self._refused(hello)
            if refused is None:
                line.put(self.hello)
                kept = True
                self._serve(line, hello)
            else:
                say(REPLICATION_TURNED, name=hello.name, why=f"{refused.why.value} here: {refused.about}")
                yield from self._send_away(line, refused)
        except (BadFrame, TurnedAway) as error:
            say(REPLICATION_TURNED, name="", why=error)
            yield from self._send_away(line, Turned(Why.FORM, f"version {VERSION}"))
        except Broken:
            pass
        finally:
            self.ungreeted.pop(line, None)
            if not kept:
                line.close()

    def _send_away(self, line: Line, word: Turned) -> Coroutine[None]:
        """The last word, and a moment to read it: closing with something unread would reset the connection."""
        line.put(word)
        yield Wait(None, 0, self.loop.now() + 100 * MS)

    def _refused(self, hello: Hello) -> Turned | None:
        foreign = turned(hello, self.voter.options.cluster)
        if foreign is not None or hello.kind is Kind.MEMBER:
            return foreign
        if hello.name in self.voter.seats:
            return None
        others = sum(other.name not in self.voter.seats for other in self.others.values())
        return Turned(Why.FULL, str(self.most)) if others >= self.most else None

    def _serve(self, line: Line, hello: Hello) -> None:
        if hello.kind is Kind.MEMBER:
            before = self.members.get(hello.id)
            if before is not None and before.task is not None:
                before.task.cancel()  # its other side may be gone without a word
            seat = self._seat(hello.name)
            beside = [line for id, line in self.members.items() if self._seat(self.voter.names[id]) == seat]
            self._make_room(beside, OF_A_SEAT if seat else OF_STRANGERS)
            self.members[hello.id] = line
            self.voter.names[hello.id] = hello.name
            self._run(line, self._hear(line, hello), self.loop.urgent)
        else:
            if hello.name in self.voter.seats:
                self._make_room([line for line, other in self.others.items() if other.name == hello.name], BESIDE)
            self.others[line] = hello
            self._run(line, self._answer(line), self.loop.runnable)

    def _seat(self, name: str) -> str:
        """One of those that there are; empty for all others."""
        known = name in self.voter.seats or any(member.name == name for member in self.voter.core.members)
        return name if known else ""

    def _make_room(self, lines: list[Line], most: int) -> None:
        """For one more; the oldest come first."""
        for line in lines[: max(0, len(lines) + 1 - most)]:
            assert line.task is not None
            line.task.cancel()

    # ---- members --------------------------------------------------------------------------------

    def _hear(self, line: Line, hello: Hello) -> Coroutine[None]:
        voter = self.voter
        try:
            while not self.over:
                frame = yield from line.next(None)
                if not isinstance(frame, Message) or frame.sender != hello.id:
                    raise BadFrame("not a member's message, or in another's name", hello.name)
                if frame.to != voter.me:
                    line.put(Turned(Why.ANOTHER_ID, voter.me))
                    continue
                # Whoever asked last of a seat, before anything was kept here, is the one that may be begun with.
                if voter.begun or self.asked_from.get(hello.name, hello.id) == hello.id:
                    voter.feed(Heard(frame))
        except Broken as error:
            if isinstance(error, BadFrame):
                say(REPLICATION_TURNED, name=hello.name, why=error)
        finally:
            if self.members.get(hello.id) is line:
                del self.members[hello.id]
                voter.names.pop(hello.id, None)
            line.close()

    # ---- all others -----------------------------------------------------------------------------

    def _answer(self, line: Line) -> Coroutine[None]:
        try:
            unused_at = self.loop.now() + UNUSED_FOR
            while not self.over:
                parked = self.parked.get(line)
                try:
                    frame = yield from line.next(parked[1] if parked else unused_at)
                except TimedOut:
                    if line in self.parked:
                        self._news(line, self.parked[line][0])
                        unused_at = self.loop.now() + UNUSED_FOR
                    elif self.loop.now() >= unused_at:
                        return
                    continue
                unused_at = self.loop.now() + UNUSED_FOR
                answer = ANSWERS.get(type(frame))
                if answer is None:
                    yield from self._send_away(line, Turned(Why.FORM, type(frame).__name__))
                    return
                answer(self, line, frame)
                while line in self.asked:  # a voter's answer may not come for long
                    if (yield Wait(line.sock, HUNG_UP, None)) != WOKEN:
                        return
                if line.out:
                    yield from line.taken(unused_at)
                elif line.reader.more:
                    yield Wait(None, 0, self.loop.now())  # the others' turn
        except Broken as error:
            if isinstance(error, BadFrame):
                say(REPLICATION_TURNED, name=self.others[line].name, why=error)
        finally:
            self.others.pop(line, None)
            self.parked.pop(line, None)
            self.asked.discard(line)
            line.close()

    def _who(self, line: Line, frame: Who) -> None:
        hello, am = self.others[line], self.voter.am(frame.names)
        if am.empty:
            self.asked_from[hello.name] = hello.id
        line.put(am)

    def _join(self, line: Line, frame: Join) -> None:
        voter = self.voter
        if not voter.leads():
            line.put(Joined(False, False, "not the leader", *voter.leader()))
            return
        step = step_in(frame, voter.core.members, voter.seats, voter.lately, voter.behind)
        if isinstance(step, Joined):
            line.put(step)
            return

        def answered(how: How, index: int, _: AnyResult | None) -> None:
            on = how in (How.DONE, How.BUSY)
            self._answered(line, Joined(False, on, "" if on else how.value, *voter.leader()))

        self.asked.add(line)
        voter.change(step, answered)

    def _remove(self, line: Line, frame: Remove) -> None:
        members = self.voter.core.members
        left = tuple(m for m in members if m.name != frame.name)
        if left == members and self.voter.leads():
            line.put(Outcome(frame.token, How.UNFIT, 0, f"no member has the name {frame.name}".encode()))
            return
        voting = [m for m in left if m.votes]
        up = [m.name for m in voting if self.voter.near(m.id)]
        if self.voter.leads() and len(up) <= len(voting) // 2:  # it would not even come to hold
            why = f"without {frame.name} there is no majority: of {len(voting)} voters only {', '.join(up)} would be up"
            line.put(Outcome(frame.token, How.UNFIT, 0, why.encode()))
            return
        self.voter.change(left, self._outcome(line, frame.token))

    def _submit(self, line: Line, frame: Submit) -> None:
        refused = checked(frame.order)
        if refused is not None:
            line.put(Outcome(frame.token, How.DONE, 0, result_written(refused)))
        else:
            self.voter.write(frame.order, self._outcome(line, frame.token))

    def _answered(self, line: Line, frame: Frame) -> None:
        if line in self.asked and line.task is not None:
            self.asked.discard(line)
            line.put(frame)
            line.task.wake()

    def _outcome(self, line: Line, token: int) -> Callable[[How, int, AnyResult | None], None]:
        self.asked.add(line)

        def answered(how: How, index: int, result: AnyResult | None) -> None:
            data = b"" if result is None else result_written(result)
            self._answered(line, Outcome(token, how, index, data, *self.voter.leader()))

        return answered

    def _ask(self, line: Line, frame: Ask) -> None:
        def answered(how: How, index: int, _: AnyResult | None) -> None:
            voter = self.voter
            value = msgspec.msgpack.encode(looked_up(voter, frame.query))
            sure = how is How.DONE
            age, index = 0 if sure else voter.age(), voter.machine.index
            self._answered(line, Answer(frame.token, how, sure, index, age, value, *voter.leader()))

        self.asked.add(line)
        self.voter.read(answered)

    # ---- news -----------------------------------------------------------------------------------

    def _follow(self, line: Line, frame: Follow) -> None:
        voter = self.voter
        if frame.after > voter.machine.index and voter.leads():
            # The follower would let go of what it was told. One that was stopped, or hands over, may only believe that
            # it leads.
            def answered(how: How, *_: Any) -> None:
                self._answered(line, voter.news(frame.after, how is How.DONE))

            self.asked.add(line)
            voter.read(answered)
        elif frame.after < voter.machine.index or frame.wait <= 0:
            self._news(line, frame.after)
        else:
            self.parked[line] = frame.after, self.loop.now() + min(frame.wait, LONGEST_WAIT)

    def _news(self, line: Line, after: int) -> None:
        self.parked.pop(line, None)
        line.put(self.voter.news(after))

    def applied(self) -> None:
        """Something was applied: all who wait are told at once, but no more often than they need it."""
        if not self.news_due and self.parked:
            self.news_due = True
            self.loop.after(max(0, self.news_at + NEWS_APART - self.loop.now()), self._tell)

    def _tell(self) -> None:
        self.news_due, self.news_at = False, self.loop.now()
        if self.over:
            return
        news: dict[int, bytes] = {}
        for line, (after, _) in list(self.parked.items()):
            if after < self.voter.machine.index:
                del self.parked[line]
                if after not in news:
                    news[after] = written(self.voter.news(after))
                line.write(news[after])

    def _fetch(self, line: Line, frame: Fetch) -> None:
        voter, snapshot = self.voter, self.voter.core.snapshot
        index, data = (snapshot.index, snapshot.data) if snapshot else (0, b"")
        at = frame.at if frame.index == index and frame.at < len(data) else 0
        piece, members = data[at : at + PIECE], tuple(m.id for m in voter.core.members)
        line.put(Whole(index, at, piece, len(data), voter.age(), voter.leader()[0], members))


def looked_up(voter: Voter, query: Query) -> Any:
    machine = voter.machine
    match query:
        case WordOf(name):
            return machine.words.get(name)
        case LeaseOf(duty):
            return machine.leases.get(duty)
        case FactOf(duty, key):
            return machine.facts.get((duty, key))


ANSWERS: dict[type[Frame], Callable[[Reception, Line, Any], None]] = {
    Who: Reception._who,
    Join: Reception._join,
    Remove: Reception._remove,
    Submit: Reception._submit,
    Ask: Reception._ask,
    Follow: Reception._follow,
    Fetch: Reception._fetch,
}
