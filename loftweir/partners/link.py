"""Requests the table of one partner over HTTP/1.1, in the sidecar that has the partner's lease, and stores it.

    GET /routes?site=OURS&to=NONCE[&after=EPOCH.INDEX]&wait_ms=N

The session (`session.py`) decides when to send a request and whether a response is valid. This module has the sockets,
the addresses, which take turns, and the lease. No response is used here directly: this sidecar reads the table from the
replicated state like all others.
"""

from __future__ import annotations

import secrets
import socket
from collections.abc import Sequence
from random import Random
from typing import Any

import h11

from loftweir.config.contradictions import REPLICATION_MARGIN
from loftweir.config.model import Partners as Options
from loftweir.errors import LoftweirError
from loftweir.http1.strict import H11Reader, fixed
from loftweir.lease.duty import LeasedTask
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.stream import ConnectError, TimedOut, connect, send
from loftweir.partners.file import Neighbour
from loftweir.partners.keeping import TableWriter, Target
from loftweir.partners.replicated_table import HEAD, Chunker, Head, TableReader, encode_head
from loftweir.partners.session import (
    Action,
    ResponseRejected,
    SendRequest,
    Session,
    SessionChanged,
    SessionState,
    Timing,
)
from loftweir.partners.table import Limits
from loftweir.replication.machine import FencedValue
from loftweir.replication.part import ReplicationAgent
from loftweir.telemetry.catalogue import (
    PARTNERS_ASKED_HERE,
    PARTNERS_CALL_FAILED,
    PARTNERS_LET_GO,
    PARTNERS_SESSION,
    PARTNERS_TABLE_REFUSED,
)
from loftweir.telemetry.log import emit

PATH = "/routes"
CONNECT_TIMEOUT = SECOND
MAX_ERROR_BYTES = 300  # of a body that is no table, for the log
POLL_INTERVAL = 5 * MS
# Least time between two notes that a partner responded again; a quarter of the hold time if that is less.
NOTE_INTERVAL = 2 * SECOND


class NotAnswered(LoftweirError):
    """A request to a partner brought no table. The last valid one stays until its hold time has expired."""

    remedy = (
        "If this continues, ask the partner's operators whether a sidecar listens at the named address and has this "
        "site as a neighbour."
    )


def timing(options: Options, hold: int) -> Timing:
    """The timing of a session with the given hold time."""
    return Timing(wait=options.wait, silent_after=options.silent_after, hold=hold, gone=options.gone)


def limits(options: Options) -> Limits:
    """The limits of a table that the operator's file sets."""
    return Limits(bytes=options.table_size, routes=options.routes)


def stored_keys(fenced_values: dict[tuple[str, str], FencedValue], lease_name: str) -> list[str]:
    """The keys that exist under a lease."""
    return [key for lease, key in fenced_values if lease == lease_name]


class PartnerClient:
    """Keeps the session with one partner while this sidecar has its lease.

    Invariant: there is a session, with at most one request in flight, from `begin` to `end`.
    """

    def __init__(
        self,
        loop: Loop,
        site: str,
        neighbour: Neighbour,
        options: Options,
        replication: ReplicationAgent,
        reader: TableReader,
    ) -> None:
        self.loop = loop
        self.site = site
        self.neighbour = neighbour  # replaced as a whole by a reload
        self.options = options
        self.replication = replication
        self.reader = reader  # the replicated table, as read here
        # The session's hold time ends a little earlier than for the sidecars that read the replicated state.
        self.timing, self.limits = timing(options, options.hold - REPLICATION_MARGIN), limits(options)
        self.chunker = Chunker()
        self.leased_task: LeasedTask | None = None
        self.writer: TableWriter | None = None
        self.session: Session | None = None
        self.task: Task | None = None
        self.request_task: Task | None = None
        self.sock: socket.socket | None = None  # idle between two requests
        self.address_index = 0  # index of the next address
        self.target_key: tuple[Any, ...] = ()  # of the last target table

    def attach(self, leased_task: LeasedTask) -> None:
        """Sets the lease under which the table is written."""
        self.leased_task = leased_task
        self.writer = TableWriter(self.loop, leased_task, note_interval=min(NOTE_INTERVAL, self.options.hold // 4))

    # ---- lease -----------------------------------------------------------------------------------

    def begin(self, token: int) -> None:
        """Starts the session. `token`: the fencing token of the lease."""
        emit(PARTNERS_ASKED_HERE, partner=self.neighbour.name, token=token)
        self.task = self.loop.spawn(self._run(token), self._crashed)

    def end(self) -> None:
        """Ends the session, as the lease ended."""
        emit(PARTNERS_LET_GO, partner=self.neighbour.name)
        self.close()

    def close(self) -> None:
        """Aborts the session and its request."""
        for task in (self.task, self.request_task):
            if task is not None:
                task.cancel()
        self.task = self.request_task = self.session = None
        if self.writer is not None:
            self.writer.end()
        self._close_socket()

    def _crashed(self, _: Exception) -> None:
        """An internal error: releases the lease for a while, because another sidecar may not be affected."""
        self.loop.after(0, self._release_for_now)

    def _release_for_now(self) -> None:
        if self.leased_task is not None:
            self.leased_task.set_wanted(False)
            self.loop.after(5 * SECOND, self.leased_task.set_wanted, True)

    def _run(self, token: int) -> Coroutine[None]:
        """Runs the session. All writes under earlier tokens are known here once the grant is, and none can follow."""
        while self.replication.machine is None or self.replication.index < token:
            yield Wait(None, 0, self.loop.now() + POLL_INTERVAL)
        writer, reader, now = self.writer, self.reader, self.loop.now()
        assert writer is not None
        fenced_values = self.replication.machine.fenced_values
        stored = fenced_values.get((reader.lease_name, HEAD))
        writer.begin(stored_keys(fenced_values, reader.lease_name), stored.value if stored else None)
        instance = secrets.token_hex(8)
        session = Session(self.neighbour.name, instance, Random(instance).random, self.timing, self.limits)
        self.session, self.target_key = session, ()
        partner_state, head = reader.partner_state(now, self.timing), reader.head or Head()
        self._perform(session.start(now, partner_state, (head.penalty, head.penalty_at), head.damped))
        while True:
            at = session.next_at
            if at is not None and at <= self.loop.now():
                self._perform(session.tick(self.loop.now()))
                at = self.loop.now()
            yield Wait(None, 0, at)

    # ---- session ---------------------------------------------------------------------------------

    def _perform(self, actions: Sequence[Action]) -> None:
        session, name = self.session, self.neighbour.name
        if session is None:
            return
        for action in actions:
            if isinstance(action, SendRequest):
                if self.request_task is not None:
                    self.request_task.cancel()
                self.request_task = self.loop.spawn(self._request(session, action), self._request_crashed)
            elif isinstance(action, SessionChanged):
                if action.before is not session.state:
                    emit(PARTNERS_SESSION, partner=name, state=session.state.value, before=action.before.value)
            elif isinstance(action, ResponseRejected):
                emit(PARTNERS_TABLE_REFUSED, partner=name, address=self._address(), why=action.error)
                self._next_address()
            else:
                emit(PARTNERS_CALL_FAILED, partner=name, address=self._address(), why=action.why)
                self._next_address()
        self._store(session)
        if self.task is not None:
            self.task.wake()

    def _store(self, session: Session) -> None:
        """Sets the table of the session as the one to store. Staleness is not stored: every sidecar derives it from the
        time."""
        writer, table, damped = self.writer, session.table, session.state is SessionState.DAMPED
        if writer is None or (table is None and not damped):
            return
        target_key = (table, session.back_at, damped, session.penalty_at)
        if not self.target_key or self.target_key[0] is not table or self.target_key[1:] != target_key[1:]:
            self.target_key = target_key
            chunks = self.chunker.split(table.routes, table.sums) if table is not None else {}
            head = Head(
                chunks=tuple(chunks),
                routes=len(table.routes) if table is not None else 0,
                table=(table.site, table.epoch, table.index) if table is not None else None,
                confirmed_at=session.confirmed_at,
                back_at=session.back_at,
                damped=damped,
                penalty=session.penalty,
                penalty_at=session.penalty_at,
            )
            writer.set_target(Target(encode_head(head), chunks), session.confirmed_at)
        else:
            writer.confirm(session.confirmed_at)

    # ---- requests --------------------------------------------------------------------------------

    def _address(self) -> str:
        addresses = self.neighbour.addresses
        return addresses[self.address_index % len(addresses)] if addresses else ""

    def _next_address(self) -> None:
        self.address_index += 1
        self._close_socket()

    def _close_socket(self) -> None:
        if self.sock is not None:
            self.loop.close(self.sock)
            self.sock = None

    def _request_crashed(self, error: Exception) -> None:
        self.request_task = None
        if self.session is not None and self.session.pending_request is not None:
            self._perform(self.session.on_failure(self.loop.now(), self.session.pending_request.number, repr(error)))

    def _request(self, session: Session, request: SendRequest) -> Coroutine[None]:
        if self.leased_task is None or self.leased_task.valid_token() is None:
            return  # the lease ended, and `end` follows
        try:
            data = yield from self._fetch(request)
        except NotAnswered as error:
            self.request_task = None
            self._perform(session.on_failure(self.loop.now(), request.number, error.what))
        else:
            self.request_task = None
            self._perform(session.on_response(self.loop.now(), request.number, data))

    def _fetch(self, request: SendRequest) -> Coroutine[bytes]:
        """Returns the body of a response with status 200. The session detects the timeout; this request ends a little
        later."""
        until = self.loop.now() + request.timeout + SECOND
        after = "" if request.after is None else f"&after={request.after[0]}.{request.after[1]}"
        target = f"{PATH}?site={self.site}&to={request.nonce}{after}&wait_ms={request.wait // MS}"
        address = self._address()
        head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        sock, self.sock = self.sock, None
        reusable = False
        try:
            if sock is None:
                sock = yield from connect(self.loop, address, CONNECT_TIMEOUT, until)
            yield from send(self.loop, sock, [head.encode()], until)
            wire = H11Reader(sock, h11.CLIENT)
            response = yield from wire.next_event(fixed(until))
            if not isinstance(response, h11.Response):
                raise NotAnswered("no response", address)
            body = yield from self._body(
                wire, until, self.limits.bytes if response.status_code == 200 else MAX_ERROR_BYTES
            )
            if response.status_code != 200:
                text = body.decode("utf-8", "replace")
                raise NotAnswered(f"answered {response.status_code}: {' '.join(text.split())}", address)
            reusable = wire.whole() and not wire.rest()
            return body
        except ConnectError:
            raise NotAnswered("not up", address) from None
        except TimedOut:
            raise NotAnswered("no response in time", address) from None
        except (OSError, h11.RemoteProtocolError) as error:
            raise NotAnswered(f"broken: {error}", address) from None
        finally:
            if reusable:
                self.sock = sock
            elif sock is not None:
                self.loop.close(sock)

    def _body(self, wire: H11Reader, until: int, max_size: int) -> Coroutine[bytes]:
        """Reads a whole body. One that exceeds `max_size` is read a little further, so that the parser of tables
        reports it."""
        chunks, size = [], 0
        while size <= max_size and (part := (yield from wire.part(fixed(until)))):
            chunks.append(part)
            size += len(part)
        return b"".join(chunks)
