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

from loftweir.config.units import split_host_port
from loftweir.net.loop import HUNG_UP, MS, READABLE, SECOND, WOKEN, Coroutine, Loop, Task, Wait
from loftweir.net.stream import TookTooLong, prepare
from loftweir.replication.api import Message, MessageReceived
from loftweir.replication.line import CONNECTION_ERRORS, GREETING_TIMEOUT, FrameConnection
from loftweir.replication.machine import AnyResult, validate
from loftweir.replication.machine import encode as result_written
from loftweir.replication.member import Voter
from loftweir.replication.seats import next_join_step
from loftweir.replication.wire import (
    VERSION,
    BadFrame,
    CommandOutcome,
    ConnectionKind,
    ConnectionRejected,
    FencedValueQuery,
    FetchSnapshot,
    FollowRequest,
    Frame,
    Hello,
    JoinRequest,
    JoinResponse,
    LeaseQuery,
    OutcomeCode,
    OverrideQuery,
    Query,
    QueryRequest,
    QueryResponse,
    RejectReason,
    RemoveMember,
    SnapshotChunk,
    StatusRequest,
    SubmitCommand,
    TurnedAway,
    encode_frame,
    hello_rejection,
)
from loftweir.telemetry.catalogue import REPLICATION_TURNED_AWAY
from loftweir.telemetry.log import emit

BACKLOG = 512  # a voter that comes back is called by many at once
MAX_UNGREETED = 64  # connections that have not said who they are; more wait to be accepted
UNGREETED_EVICTION_AGE = 250 * MS  # of too many, the oldest goes after this
MAX_CONNECTIONS_PER_LISTED_NAME = (
    8  # lines of each listed member that asks or joins, beside those for others; two processes may be under way
)
MAX_MEMBER_CONNECTIONS_PER_SLOT = 2  # lines of members of one name: an old id, and the one that takes its place
MAX_MEMBER_CONNECTIONS_UNKNOWN = 8  # ... and of all whose names are neither listed nor members'
IDLE_TIMEOUT = 30 * SECOND  # of a line that asks nothing
MAX_FOLLOW_WAIT = 60 * SECOND
FOLLOW_BATCH_INTERVAL = 20 * MS  # from one round of news to the next: what is applied meanwhile goes together
ACCEPT_RETRY_DELAY = 20 * MS
SNAPSHOT_CHUNK_SIZE = 256 * 1024  # of the machine as a whole, to a follower
BASE_DESCRIPTORS = 48  # beside those of others: listener, links both ways, UNGREETED in part, disk, epoll's wakes


def bind_listener(address: str) -> socket.socket:
    """OSError where it can't be had."""
    host, port = split_host_port(address)
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


class ReplicationListener:
    """Invariant: every line that is open has its one coroutine, and is in `ungreeted`, `members` or `others`."""

    def __init__(self, loop: Loop, voter: Voter, most: int) -> None:
        self.loop = loop
        self.voter = voter
        self.most = most
        self.hello = Hello(VERSION, voter.options.cluster, voter.me, voter.name, ConnectionKind.MEMBER)
        self.ungreeted: dict[FrameConnection, int] = {}  # the oldest first, with when it came
        self.members: dict[str, FrameConnection] = {}  # by id, the newest of each
        self.others: dict[FrameConnection, Hello] = {}
        self.parked: dict[
            FrameConnection, tuple[int, int]
        ] = {}  # who waits for news: behind which index, and until when
        self.asked_from: dict[str, str] = {}  # by name, the id that asked last how this one stands while it was empty
        self.asked: set[FrameConnection] = set()  # whose question the voter has: it gets no other one meanwhile
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
                while len(self.ungreeted) >= MAX_UNGREETED:
                    line, came_at = next(iter(self.ungreeted.items()))
                    if self.loop.now() > came_at + UNGREETED_EVICTION_AGE and line.task is not None:
                        line.task.cancel()
                    else:
                        yield Wait(None, 0, self.loop.now() + ACCEPT_RETRY_DELAY // 4)
                try:
                    sock, _ = listener.accept()
                except BlockingIOError:
                    break
                except OSError:  # most often no descriptor is free
                    yield Wait(None, 0, self.loop.now() + ACCEPT_RETRY_DELAY)
                    break
                prepare(sock)
                line = FrameConnection(self.loop, sock)
                self.ungreeted[line] = self.loop.now()
                self._run(line, self._greet(line), self.loop.due)

    def _run(self, line: FrameConnection, coroutine: Coroutine[None], lane: deque[Callable[[], None]]) -> None:
        """Runs a line's coroutine, at once to its first wait: from then on, what ends it closes the line."""
        line.task = Task(self.loop, coroutine, None, lane)
        line.task.step()

    def _greet(self, line: FrameConnection) -> Coroutine[None]:
        """Finds out who it is, and goes over to the coroutine that serves such a one."""
        kept = False
        try:
            hello = yield from line.greeting(self.loop.now() + GREETING_TIMEOUT)
            refused = self._refused(hello)
            if refused is None:
                line.put(self.hello)
                kept = True
                self._serve(line, hello)
            else:
                emit(REPLICATION_TURNED_AWAY, name=hello.name, why=f"{refused.why.value} here: {refused.about}")
                yield from self._send_away(line, refused)
        except (BadFrame, TurnedAway) as error:
            emit(REPLICATION_TURNED_AWAY, name="", why=error)
            yield from self._send_away(line, ConnectionRejected(RejectReason.FORM, f"version {VERSION}"))
        except CONNECTION_ERRORS:
            pass
        finally:
            self.ungreeted.pop(line, None)
            if not kept:
                line.close()

    def _send_away(self, line: FrameConnection, word: ConnectionRejected) -> Coroutine[None]:
        """The last word, and a moment to read it: closing with something unread would reset the connection."""
        line.put(word)
        yield Wait(None, 0, self.loop.now() + 100 * MS)

    def _refused(self, hello: Hello) -> ConnectionRejected | None:
        foreign = hello_rejection(hello, self.voter.options.cluster)
        if foreign is not None or hello.kind is ConnectionKind.MEMBER:
            return foreign
        if hello.name in self.voter.seats:
            return None
        others = sum(other.name not in self.voter.seats for other in self.others.values())
        return ConnectionRejected(RejectReason.FULL, str(self.most)) if others >= self.most else None

    def _serve(self, line: FrameConnection, hello: Hello) -> None:
        if hello.kind is ConnectionKind.MEMBER:
            before = self.members.get(hello.id)
            if before is not None and before.task is not None:
                before.task.cancel()  # its other side may be gone without a word
            seat = self._seat(hello.name)
            beside = [line for id, line in self.members.items() if self._seat(self.voter.names[id]) == seat]
            self._make_room(beside, MAX_MEMBER_CONNECTIONS_PER_SLOT if seat else MAX_MEMBER_CONNECTIONS_UNKNOWN)
            self.members[hello.id] = line
            self.voter.names[hello.id] = hello.name
            self._run(line, self._hear(line, hello), self.loop.urgent)
        else:
            if hello.name in self.voter.seats:
                self._make_room(
                    [line for line, other in self.others.items() if other.name == hello.name],
                    MAX_CONNECTIONS_PER_LISTED_NAME,
                )
            self.others[line] = hello
            self._run(line, self._answer(line), self.loop.due)

    def _seat(self, name: str) -> str:
        """One of those that there are; empty for all others."""
        known = name in self.voter.seats or any(member.name == name for member in self.voter.core.members)
        return name if known else ""

    def _make_room(self, lines: list[FrameConnection], most: int) -> None:
        """For one more; the oldest come first."""
        for line in lines[: max(0, len(lines) + 1 - most)]:
            assert line.task is not None
            line.task.cancel()

    # ---- members --------------------------------------------------------------------------------

    def _hear(self, line: FrameConnection, hello: Hello) -> Coroutine[None]:
        voter = self.voter
        try:
            while not self.over:
                frame = yield from line.next(None)
                if not isinstance(frame, Message) or frame.sender != hello.id:
                    raise BadFrame("not a member's message, or in another's name", hello.name)
                if frame.to != voter.me:
                    line.put(ConnectionRejected(RejectReason.ANOTHER_ID, voter.me))
                    continue
                # Whoever asked last of a seat, before anything was kept here, is the one that may be begun with.
                if voter.begun or self.asked_from.get(hello.name, hello.id) == hello.id:
                    voter.feed(MessageReceived(frame))
        except CONNECTION_ERRORS as error:
            if isinstance(error, BadFrame):
                emit(REPLICATION_TURNED_AWAY, name=hello.name, why=error)
        finally:
            if self.members.get(hello.id) is line:
                del self.members[hello.id]
                voter.names.pop(hello.id, None)
            line.close()

    # ---- all others -----------------------------------------------------------------------------

    def _answer(self, line: FrameConnection) -> Coroutine[None]:
        try:
            unused_at = self.loop.now() + IDLE_TIMEOUT
            while not self.over:
                parked = self.parked.get(line)
                try:
                    frame = yield from line.next(parked[1] if parked else unused_at)
                except TookTooLong:
                    if line in self.parked:
                        self._news(line, self.parked[line][0])
                        unused_at = self.loop.now() + IDLE_TIMEOUT
                    elif self.loop.now() >= unused_at:
                        return
                    continue
                unused_at = self.loop.now() + IDLE_TIMEOUT
                answer = REQUEST_HANDLERS.get(type(frame))
                if answer is None:
                    yield from self._send_away(line, ConnectionRejected(RejectReason.FORM, type(frame).__name__))
                    return
                answer(self, line, frame)
                while line in self.asked:  # a voter's answer may not come for long
                    if (yield Wait(line.sock, HUNG_UP, None)) != WOKEN:
                        return
                if line.out:
                    yield from line.taken(unused_at)
                elif line.reader.more:
                    yield Wait(None, 0, self.loop.now())  # the others' turn
        except CONNECTION_ERRORS as error:
            if isinstance(error, BadFrame):
                emit(REPLICATION_TURNED_AWAY, name=self.others[line].name, why=error)
        finally:
            self.others.pop(line, None)
            self.parked.pop(line, None)
            self.asked.discard(line)
            line.close()

    def _who(self, line: FrameConnection, frame: StatusRequest) -> None:
        hello, am = self.others[line], self.voter.am(frame.names)
        if am.empty:
            self.asked_from[hello.name] = hello.id
        line.put(am)

    def _join(self, line: FrameConnection, frame: JoinRequest) -> None:
        voter = self.voter
        if not voter.leads():
            line.put(JoinResponse(False, False, "not the leader", *voter.leader()))
            return
        step = next_join_step(frame, voter.core.members, voter.seats, voter.lately, voter.behind)
        if isinstance(step, JoinResponse):
            line.put(step)
            return

        def answered(how: OutcomeCode, index: int, _: AnyResult | None) -> None:
            on = how in (OutcomeCode.DONE, OutcomeCode.BUSY)
            self._answered(line, JoinResponse(False, on, "" if on else how.value, *voter.leader()))

        self.asked.add(line)
        voter.change(step, answered)

    def _remove(self, line: FrameConnection, frame: RemoveMember) -> None:
        members = self.voter.core.members
        left = tuple(m for m in members if m.name != frame.name)
        if left == members and self.voter.leads():
            line.put(CommandOutcome(frame.token, OutcomeCode.UNFIT, 0, f"no member has the name {frame.name}".encode()))
            return
        voting = [m for m in left if m.votes]
        up = [m.name for m in voting if self.voter.near(m.id)]
        if self.voter.leads() and len(up) <= len(voting) // 2:  # it would not even come to hold
            why = f"without {frame.name} there is no majority: of {len(voting)} voters only {', '.join(up)} would be up"
            line.put(CommandOutcome(frame.token, OutcomeCode.UNFIT, 0, why.encode()))
            return
        self.voter.change(left, self._outcome(line, frame.token))

    def _submit(self, line: FrameConnection, frame: SubmitCommand) -> None:
        refused = validate(frame.order)
        if refused is not None:
            line.put(CommandOutcome(frame.token, OutcomeCode.DONE, 0, result_written(refused)))
        else:
            self.voter.write(frame.order, self._outcome(line, frame.token))

    def _answered(self, line: FrameConnection, frame: Frame) -> None:
        if line in self.asked and line.task is not None:
            self.asked.discard(line)
            line.put(frame)
            line.task.wake()

    def _outcome(self, line: FrameConnection, token: int) -> Callable[[OutcomeCode, int, AnyResult | None], None]:
        self.asked.add(line)

        def answered(how: OutcomeCode, index: int, result: AnyResult | None) -> None:
            data = b"" if result is None else result_written(result)
            self._answered(line, CommandOutcome(token, how, index, data, *self.voter.leader()))

        return answered

    def _ask(self, line: FrameConnection, frame: QueryRequest) -> None:
        def answered(how: OutcomeCode, index: int, _: AnyResult | None) -> None:
            voter = self.voter
            value = msgspec.msgpack.encode(look_up(voter, frame.query))
            sure = how is OutcomeCode.DONE
            age, index = 0 if sure else voter.age(), voter.machine.index
            self._answered(line, QueryResponse(frame.token, how, sure, index, age, value, *voter.leader()))

        self.asked.add(line)
        self.voter.read(answered)

    # ---- news -----------------------------------------------------------------------------------

    def _follow(self, line: FrameConnection, frame: FollowRequest) -> None:
        voter = self.voter
        if frame.after > voter.machine.index and voter.leads():
            # The follower would let go of what it was told. One that was stopped, or hands over, may only believe that
            # it leads.
            def answered(how: OutcomeCode, *_: Any) -> None:
                self._answered(line, voter.news(frame.after, how is OutcomeCode.DONE))

            self.asked.add(line)
            voter.read(answered)
        elif frame.after < voter.machine.index or frame.wait <= 0:
            self._news(line, frame.after)
        else:
            self.parked[line] = frame.after, self.loop.now() + min(frame.wait, MAX_FOLLOW_WAIT)

    def _news(self, line: FrameConnection, after: int) -> None:
        self.parked.pop(line, None)
        line.put(self.voter.news(after))

    def applied(self) -> None:
        """Something was applied: all who wait are told at once, but no more often than they need it."""
        if not self.news_due and self.parked:
            self.news_due = True
            self.loop.after(max(0, self.news_at + FOLLOW_BATCH_INTERVAL - self.loop.now()), self._tell)

    def _tell(self) -> None:
        self.news_due, self.news_at = False, self.loop.now()
        if self.over:
            return
        news: dict[int, bytes] = {}
        for line, (after, _) in list(self.parked.items()):
            if after < self.voter.machine.index:
                del self.parked[line]
                if after not in news:
                    news[after] = encode_frame(self.voter.news(after))
                line.write(news[after])

    def _fetch(self, line: FrameConnection, frame: FetchSnapshot) -> None:
        voter, snapshot = self.voter, self.voter.core.snapshot
        index, data = (snapshot.index, snapshot.data) if snapshot else (0, b"")
        at = frame.at if frame.index == index and frame.at < len(data) else 0
        piece, members = data[at : at + SNAPSHOT_CHUNK_SIZE], tuple(m.id for m in voter.core.members)
        line.put(SnapshotChunk(index, at, piece, len(data), voter.age(), voter.leader()[0], members))


def look_up(voter: Voter, query: Query) -> Any:
    machine = voter.machine
    match query:
        case OverrideQuery(name):
            return machine.words.get(name)
        case LeaseQuery(duty):
            return machine.leases.get(duty)
        case FencedValueQuery(duty, key):
            return machine.fenced_values.get((duty, key))


REQUEST_HANDLERS: dict[type[Frame], Callable[[ReplicationListener, FrameConnection, Any], None]] = {
    StatusRequest: ReplicationListener._who,
    JoinRequest: ReplicationListener._join,
    RemoveMember: ReplicationListener._remove,
    SubmitCommand: ReplicationListener._submit,
    QueryRequest: ReplicationListener._ask,
    FollowRequest: ReplicationListener._follow,
    FetchSnapshot: ReplicationListener._fetch,
}
