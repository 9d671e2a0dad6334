"""A voter's listener for the other members, and for proposers and observers.

Messages of members are handled before anything else on the event loop. The number of other connections is bounded; if
there are too many, a new one is rejected and goes to another voter. A sidecar that is listed as a member is not part of
this bound: its own oldest connection is closed instead. Requests on one connection are handled one after another, each
after the previous response has been sent. A connection thus buffers one response, and a loop turn handles one request.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from loftweir.config.units import split_host_port
from loftweir.net.loop import HUNG_UP, MS, READABLE, SECOND, WOKEN, Coroutine, Loop, Task, Wait
from loftweir.net.standing import StandingTask
from loftweir.net.stream import TimedOut, prepare
from loftweir.replication.api import Message, MessageReceived
from loftweir.replication.line import CONNECTION_ERRORS, GREETING_TIMEOUT, FrameConnection
from loftweir.replication.machine import AnyResult, validate
from loftweir.replication.machine import encode as encode_result
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
    no_such_member,
)
from loftweir.telemetry.catalogue import REPLICATION_TURNED_AWAY
from loftweir.telemetry.log import emit

BACKLOG = 512  # connections in the kernel's queue: after a restart of a voter many sidecars connect at once
MAX_UNGREETED = 64  # connections without a `Hello` yet; further ones stay in the kernel's queue
UNGREETED_EVICTION_AGE = 250 * MS  # age at which the oldest of too many is closed
# Other connections (queries, joining) of a listed member, outside the bound; two processes may run at once.
MAX_CONNECTIONS_PER_LISTED_NAME = 8
MAX_MEMBER_CONNECTIONS_PER_SLOT = 2  # of one slot: the old id and the one that replaces it
MAX_MEMBER_CONNECTIONS_UNKNOWN = 8  # of all ids whose names are neither listed nor members'
IDLE_TIMEOUT = 30 * SECOND  # of a connection without requests
MAX_FOLLOW_WAIT = 60 * SECOND
FOLLOW_BATCH_INTERVAL = 20 * MS  # between two notifications of observers: entries applied meanwhile go together
ACCEPT_RETRY_DELAY = 20 * MS
SNAPSHOT_CHUNK_SIZE = 256 * 1024  # bytes in one `SnapshotChunk`
BASE_DESCRIPTORS = 48  # besides the clients': listener, links both ways, some without a `Hello`, disk, epoll wake-ups


def bind_listener(address: str) -> socket.socket:
    """A listening socket. Raises OSError if the address is not available."""
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
    """Accepts connections and handles their frames.

    Invariant: every open connection has one coroutine, and is in `ungreeted`, `member_connections` or `clients`.
    """

    def __init__(self, loop: Loop, voter: Voter, most: int) -> None:
        self.loop = loop
        self.voter = voter
        self.max_clients = most
        self.hello = Hello(VERSION, voter.options.cluster, voter.me, voter.name, ConnectionKind.MEMBER)
        self.ungreeted: dict[FrameConnection, int] = {}  # oldest first, with the time of its arrival
        self.member_connections: dict[str, FrameConnection] = {}  # by id, the newest connection of each
        self.clients: dict[FrameConnection, Hello] = {}
        # Observers that wait for entries: the index after which, and until when.
        self.waiting_observers: dict[FrameConnection, tuple[int, int]] = {}
        # By name: the id that last sent a `StatusRequest` while this member's storage was empty.
        self.founding_ids: dict[str, str] = {}
        # Connections whose request is pending in the voter; they get no other one meanwhile.
        self.awaiting_result: set[FrameConnection] = set()
        self.notify_scheduled = False
        self.notified_at = 0
        self.listener: socket.socket | None = None
        self.accepting: StandingTask | None = None
        self.closed = False

    def listen(self, sock: socket.socket) -> None:
        """Accepts connections on a socket of `bind_listener`, which `close` closes."""
        self.listener = sock
        self.accepting = StandingTask(self.loop, lambda: self._accept(sock), urgent=True)

    def close(self) -> None:
        """Must not be called from a task of this listener."""
        self.closed = True
        if self.accepting is not None:
            self.accepting.cancel()
        if self.listener is not None:
            self.loop.close(self.listener)
        for connection in [*self.ungreeted, *self.member_connections.values(), *self.clients]:
            assert connection.task is not None
            connection.task.cancel()

    # ---- connections ----------------------------------------------------------------------------

    def _accept(self, listener: socket.socket) -> Coroutine[None]:
        while True:
            yield Wait(listener, READABLE, None)
            while True:
                while len(self.ungreeted) >= MAX_UNGREETED:
                    connection, came_at = next(iter(self.ungreeted.items()))
                    if self.loop.now() > came_at + UNGREETED_EVICTION_AGE and connection.task is not None:
                        connection.task.cancel()
                    else:
                        yield Wait(None, 0, self.loop.now() + ACCEPT_RETRY_DELAY // 4)
                try:
                    sock, _ = listener.accept()
                except BlockingIOError:
                    break
                except OSError:  # usually no descriptor is free
                    yield Wait(None, 0, self.loop.now() + ACCEPT_RETRY_DELAY)
                    break
                prepare(sock)
                connection = FrameConnection(self.loop, sock)
                self.ungreeted[connection] = self.loop.now()
                self._start(connection, self._greet(connection), self.loop.runnable)

    def _start(self, connection: FrameConnection, coroutine: Coroutine[None], queue: deque[Callable[[], None]]) -> None:
        """Runs a connection's coroutine at once up to its first wait; after that, whatever ends it also closes the
        connection.
        """
        connection.task = Task(self.loop, coroutine, None, queue)
        connection.task.step()

    def _greet(self, connection: FrameConnection) -> Coroutine[None]:
        """Reads the `Hello`, and starts the coroutine for this kind of connection."""
        served = False
        try:
            hello = yield from connection.read_hello(self.loop.now() + GREETING_TIMEOUT)
            rejection = self._hello_rejection(hello)
            if rejection is None:
                connection.put(self.hello)
                served = True
                self._serve(connection, hello)
            else:
                emit(REPLICATION_TURNED_AWAY, name=hello.name, why=f"{rejection.why.value} here: {rejection.about}")
                yield from self._reject(connection, rejection)
        except (BadFrame, TurnedAway) as error:
            emit(REPLICATION_TURNED_AWAY, name="", why=error)
            yield from self._reject(connection, ConnectionRejected(RejectReason.FORM, f"version {VERSION}"))
        except CONNECTION_ERRORS:
            pass
        finally:
            self.ungreeted.pop(connection, None)
            if not served:
                connection.close()

    def _reject(self, connection: FrameConnection, rejection: ConnectionRejected) -> Coroutine[None]:
        """Sends the last frame and waits briefly: closing a socket with unread data would reset the connection."""
        connection.put(rejection)
        yield Wait(None, 0, self.loop.now() + 100 * MS)

    def _hello_rejection(self, hello: Hello) -> ConnectionRejected | None:
        rejection = hello_rejection(hello, self.voter.options.cluster)
        if rejection is not None or hello.kind is ConnectionKind.MEMBER:
            return rejection
        if hello.name in self.voter.slots:
            return None
        others = sum(other.name not in self.voter.slots for other in self.clients.values())
        return ConnectionRejected(RejectReason.FULL, str(self.max_clients)) if others >= self.max_clients else None

    def _serve(self, connection: FrameConnection, hello: Hello) -> None:
        if hello.kind is ConnectionKind.MEMBER:
            before = self.member_connections.get(hello.id)
            if before is not None and before.task is not None:
                before.task.cancel()  # its other side may have failed without closing it
            slot = self._slot_of(hello.name)
            same_slot = [
                connection
                for id, connection in self.member_connections.items()
                if self._slot_of(self.voter.connected_names[id]) == slot
            ]
            self._evict_oldest(same_slot, MAX_MEMBER_CONNECTIONS_PER_SLOT if slot else MAX_MEMBER_CONNECTIONS_UNKNOWN)
            self.member_connections[hello.id] = connection
            self.voter.connected_names[hello.id] = hello.name
            self._start(connection, self._read_messages(connection, hello), self.loop.urgent)
        else:
            if hello.name in self.voter.slots:
                self._evict_oldest(
                    [connection for connection, other in self.clients.items() if other.name == hello.name],
                    MAX_CONNECTIONS_PER_LISTED_NAME,
                )
            self.clients[connection] = hello
            self._start(connection, self._serve_client(connection), self.loop.runnable)

    def _slot_of(self, name: str) -> str:
        """The slot of a name, if it is listed or a member's; else empty."""
        known = name in self.voter.slots or any(member.name == name for member in self.voter.core.members)
        return name if known else ""

    def _evict_oldest(self, connections: list[FrameConnection], most: int) -> None:
        """Closes the oldest connections, so that one more is within the limit; the oldest come first in `lines`."""
        for connection in connections[: max(0, len(connections) + 1 - most)]:
            assert connection.task is not None
            connection.task.cancel()

    # ---- members --------------------------------------------------------------------------------

    def _read_messages(self, connection: FrameConnection, hello: Hello) -> Coroutine[None]:
        voter = self.voter
        try:
            while not self.closed:
                frame = yield from connection.next(None)
                if not isinstance(frame, Message) or frame.sender != hello.id:
                    raise BadFrame("not a message of a member, or sent under another id", hello.name)
                if frame.to != voter.me:
                    connection.put(ConnectionRejected(RejectReason.ANOTHER_ID, voter.me))
                    continue
                # The last id that sent a `StatusRequest` for a slot, while the storage was empty, is the one to found
                # the cluster with.
                if voter.has_state or self.founding_ids.get(hello.name, hello.id) == hello.id:
                    voter.process(MessageReceived(frame))
        except CONNECTION_ERRORS as error:
            if isinstance(error, BadFrame):
                emit(REPLICATION_TURNED_AWAY, name=hello.name, why=error)
        finally:
            if self.member_connections.get(hello.id) is connection:
                del self.member_connections[hello.id]
                voter.connected_names.pop(hello.id, None)
            connection.close()

    # ---- proposers and observers ----------------------------------------------------------------

    def _serve_client(self, connection: FrameConnection) -> Coroutine[None]:
        try:
            unused_at = self.loop.now() + IDLE_TIMEOUT
            while not self.closed:
                waiting = self.waiting_observers.get(connection)
                try:
                    frame = yield from connection.next(waiting[1] if waiting else unused_at)
                except TimedOut:
                    if connection in self.waiting_observers:
                        self._send_follow_response(connection, self.waiting_observers[connection][0])
                        unused_at = self.loop.now() + IDLE_TIMEOUT
                    elif self.loop.now() >= unused_at:
                        return
                    continue
                unused_at = self.loop.now() + IDLE_TIMEOUT
                handler = REQUEST_HANDLERS.get(type(frame))
                if handler is None:
                    yield from self._reject(connection, ConnectionRejected(RejectReason.FORM, type(frame).__name__))
                    return
                handler(self, connection, frame)
                while connection in self.awaiting_result:  # the voter's response may take long
                    if (yield Wait(connection.sock, HUNG_UP, None)) != WOKEN:
                        return
                if connection.unsent:
                    yield from connection.flushed(unused_at)
                elif connection.reader.more:
                    yield Wait(None, 0, self.loop.now())  # lets other tasks run
        except CONNECTION_ERRORS as error:
            if isinstance(error, BadFrame):
                emit(REPLICATION_TURNED_AWAY, name=self.clients[connection].name, why=error)
        finally:
            self.clients.pop(connection, None)
            self.waiting_observers.pop(connection, None)
            self.awaiting_result.discard(connection)
            connection.close()

    def _on_status_request(self, connection: FrameConnection, frame: StatusRequest) -> None:
        hello, status = self.clients[connection], self.voter.status(frame.names)
        if status.empty:
            self.founding_ids[hello.name] = hello.id
        connection.put(status)

    def _on_join(self, connection: FrameConnection, frame: JoinRequest) -> None:
        voter = self.voter
        if not voter.leads():
            connection.put(JoinResponse(False, False, "not the leader", *voter.leader()))
            return
        step = next_join_step(
            frame,
            voter.core.members,
            voter.slots,
            voter.recently_heard,
            voter.recently_removed,
            voter.replication_lag,
        )
        if isinstance(step, JoinResponse):
            connection.put(step)
            return

        def on_result(how: OutcomeCode, index: int, _: AnyResult | None) -> None:
            progress = how in (OutcomeCode.DONE, OutcomeCode.BUSY)
            self._respond(connection, JoinResponse(False, progress, "" if progress else how.value, *voter.leader()))

        self.awaiting_result.add(connection)
        voter.change(step, on_result)

    def _on_remove_member(self, connection: FrameConnection, frame: RemoveMember) -> None:
        members = self.voter.core.members
        remaining = tuple(m for m in members if m.name != frame.name)
        if remaining == members and self.voter.leads():
            # As long as the last change is not committed, the member may come back with another leader.
            committed = self.voter.core.can_change_members
            how, result = (OutcomeCode.UNFIT, no_such_member(frame.name)) if committed else (OutcomeCode.BUSY, b"")
            connection.put(CommandOutcome(frame.token, how, 0, result))
            return
        voting = [m for m in remaining if m.votes]
        reachable = [m.name for m in voting if self.voter.is_reachable(m.id)]
        if self.voter.leads() and len(reachable) <= len(voting) // 2:  # the removal could not even be committed
            why = (
                f"without {frame.name} there is no majority: of {len(voting)} voters only {', '.join(reachable)} would "
                "be reachable"
            )
            connection.put(CommandOutcome(frame.token, OutcomeCode.UNFIT, 0, why.encode()))
            return
        self.voter.change(remaining, self._outcome_callback(connection, frame.token))

    def _on_submit(self, connection: FrameConnection, frame: SubmitCommand) -> None:
        rejection = validate(frame.order)
        if rejection is not None:
            connection.put(CommandOutcome(frame.token, OutcomeCode.DONE, 0, encode_result(rejection)))
        else:
            self.voter.write(frame.order, self._outcome_callback(connection, frame.token))

    def _respond(self, connection: FrameConnection, frame: Frame) -> None:
        if connection in self.awaiting_result and connection.task is not None:
            self.awaiting_result.discard(connection)
            connection.put(frame)
            connection.task.wake()

    def _outcome_callback(
        self, connection: FrameConnection, token: int
    ) -> Callable[[OutcomeCode, int, AnyResult | None], None]:
        self.awaiting_result.add(connection)

        def on_result(how: OutcomeCode, index: int, result: AnyResult | None) -> None:
            data = b"" if result is None else encode_result(result)
            self._respond(connection, CommandOutcome(token, how, index, data, *self.voter.leader()))

        return on_result

    def _on_query(self, connection: FrameConnection, frame: QueryRequest) -> None:
        def on_result(how: OutcomeCode, index: int, _: AnyResult | None) -> None:
            voter = self.voter
            value = msgspec.msgpack.encode(look_up(voter, frame.query))
            sure = how is OutcomeCode.DONE
            age, index = 0 if sure else voter.age(), voter.machine.index
            self._respond(connection, QueryResponse(frame.token, how, sure, index, age, value, *voter.leader()))

        self.awaiting_result.add(connection)
        self.voter.read(on_result)

    # ---- observers ------------------------------------------------------------------------------

    def _on_follow(self, connection: FrameConnection, frame: FollowRequest) -> None:
        voter = self.voter
        if frame.after > voter.machine.index and voter.leads():
            # The observer would discard the state it has. A leader that was stopped, or that transfers the leadership,
            # may wrongly believe that it leads.
            def on_result(how: OutcomeCode, *_: Any) -> None:
                self._respond(connection, voter.follow_response(frame.after, how is OutcomeCode.DONE))

            self.awaiting_result.add(connection)
            voter.read(on_result)
        elif frame.after < voter.machine.index or frame.wait <= 0:
            self._send_follow_response(connection, frame.after)
        else:
            self.waiting_observers[connection] = frame.after, self.loop.now() + min(frame.wait, MAX_FOLLOW_WAIT)

    def _send_follow_response(self, connection: FrameConnection, after: int) -> None:
        self.waiting_observers.pop(connection, None)
        connection.put(self.voter.follow_response(after))

    def applied(self) -> None:
        """Notifies the waiting observers that entries were applied, at most once per `FOLLOW_BATCH_INTERVAL`."""
        if not self.notify_scheduled and self.waiting_observers:
            self.notify_scheduled = True
            self.loop.after(max(0, self.notified_at + FOLLOW_BATCH_INTERVAL - self.loop.now()), self._notify_observers)

    def _notify_observers(self) -> None:
        self.notify_scheduled, self.notified_at = False, self.loop.now()
        if self.closed:
            return
        responses: dict[int, bytes] = {}
        for connection, (after, _) in list(self.waiting_observers.items()):
            if after < self.voter.machine.index:
                del self.waiting_observers[connection]
                if after not in responses:
                    responses[after] = encode_frame(self.voter.follow_response(after))
                connection.write(responses[after])

    def _on_fetch_snapshot(self, connection: FrameConnection, frame: FetchSnapshot) -> None:
        voter, snapshot = self.voter, self.voter.core.snapshot
        index, data = (snapshot.index, snapshot.data) if snapshot else (0, b"")
        at = frame.at if frame.index == index and frame.at < len(data) else 0
        chunk, members = data[at : at + SNAPSHOT_CHUNK_SIZE], tuple(m.id for m in voter.core.members)
        connection.put(SnapshotChunk(index, at, chunk, len(data), voter.age(), voter.leader()[0], members))


def look_up(voter: Voter, query: Query) -> Any:
    """The value of a query in the voter's state machine; None: there is none."""
    machine = voter.machine
    match query:
        case OverrideQuery(name):
            return machine.overrides.get(name)
        case LeaseQuery(lease_name):
            return machine.leases.get(lease_name)
        case FencedValueQuery(lease_name, key):
            return machine.fenced_values.get((lease_name, key))


REQUEST_HANDLERS: dict[type[Frame], Callable[[ReplicationListener, FrameConnection, Any], None]] = {
    StatusRequest: ReplicationListener._on_status_request,
    JoinRequest: ReplicationListener._on_join,
    RemoveMember: ReplicationListener._on_remove_member,
    SubmitCommand: ReplicationListener._on_submit,
    QueryRequest: ReplicationListener._on_query,
    FollowRequest: ReplicationListener._on_follow,
    FetchSnapshot: ReplicationListener._on_fetch_snapshot,
}
