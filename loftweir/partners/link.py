"""One partner asked over HTTP/1.1 by the sidecar that holds its lease; what it tells goes to the copies.

    GET /routes?site=OURS&to=MARK[&after=EPOCH.INDEX]&wait_ms=N

The session (`session.py`) says when and how to ask, and what an answer is worth; here are sockets, addresses in turn,
and the duty. Nothing of an answer is used here by itself: this sidecar reads it from the copies as all others do.
"""

from __future__ import annotations

import secrets
import socket
from collections.abc import Sequence
from random import Random
from typing import Any

import h11

from loftweir.config.model import THROUGH_COPIES
from loftweir.config.model import Partners as Options
from loftweir.errors import LoftweirError
from loftweir.http1.strict import H11Reader
from loftweir.lease.duty import Duty
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.net.stream import ConnectError, TimedOut, connect, send
from loftweir.partners.file import Neighbour
from loftweir.partners.keeping import Keeping, Target
from loftweir.partners.replicated_table import HEAD, Cutter, Head, Shelf, written
from loftweir.partners.session import Action, Ask, Became, Refused, Session, State, Timing
from loftweir.partners.table import Limits
from loftweir.replication.machine import Fact
from loftweir.replication.part import Part
from loftweir.telemetry.catalogue import (
    PARTNERS_ASKED,
    PARTNERS_FAILED,
    PARTNERS_LET_GO,
    PARTNERS_REFUSED,
    PARTNERS_STATE,
)
from loftweir.telemetry.log import say

PATH = "/routes"
CONNECT_WITHIN = SECOND
WORDS = 300  # bytes of an answer that is no table, for the log
LOOK_EVERY = 5 * MS
NOTES_APART = 2 * SECOND  # from one note that a partner has answered again to the next, or a quarter of the hold time


class NotAnswered(LoftweirError):
    """A call to a partner brought no table. The last good one stays until its hold time is over."""

    remedy = (
        "If it goes on, see with the partner's operators that a sidecar listens at the address that is named and knows "
        "this site as a neighbour."
    )


def timing(options: Options, hold: int) -> Timing:
    return Timing(wait=options.wait, silent_after=options.silent_after, hold=hold, gone=options.gone)


def limits(options: Options) -> Limits:
    return Limits(bytes=options.table_size, routes=options.routes)


def keys_of(facts: dict[tuple[str, str], Fact], duty: str) -> list[str]:
    return [key for of, key in facts if of == duty]


class Link:
    """Invariant: there is a session, and a call of it at most, from `begin` to `end`: while the duty is acted on."""

    def __init__(
        self, loop: Loop, site: str, neighbour: Neighbour, options: Options, fleet: Part, shelf: Shelf
    ) -> None:
        self.loop = loop
        self.site = site
        self.neighbour = neighbour  # replaced whole by a reload
        self.options = options
        self.fleet = fleet
        self.shelf = shelf  # what the copies hold, as it is read here
        # Its hold time ends a little before that of the sidecars which read from the copies.
        self.timing, self.limits = timing(options, options.hold - THROUGH_COPIES), limits(options)
        self.cutter = Cutter()
        self.duty: Duty | None = None
        self.keeping: Keeping | None = None
        self.session: Session | None = None
        self.task: Task | None = None
        self.call: Task | None = None
        self.sock: socket.socket | None = None  # at rest between two calls
        self.turn = 0  # of the addresses
        self.mark: tuple[Any, ...] = ()  # of what was aimed at last

    def serve(self, duty: Duty) -> None:
        self.duty = duty
        self.keeping = Keeping(self.loop, duty, notes_apart=min(NOTES_APART, self.options.hold // 4))

    # ---- the duty -------------------------------------------------------------------------------

    def begin(self, token: int) -> None:
        say(PARTNERS_ASKED, partner=self.neighbour.name, token=token)
        self.task = self.loop.spawn(self._run(token), self._crashed)

    def end(self) -> None:
        say(PARTNERS_LET_GO, partner=self.neighbour.name)
        self.close()

    def close(self) -> None:
        for task in (self.task, self.call):
            if task is not None:
                task.cancel()
        self.task = self.call = self.session = None
        if self.keeping is not None:
            self.keeping.end()
        self._hang_up()

    def _crashed(self, _: Exception) -> None:
        """A fault of the program's own: this sidecar may not be the one that can do it."""
        self.loop.after(0, self._give_up)

    def _give_up(self) -> None:
        if self.duty is not None:
            self.duty.want(False)
            self.loop.after(5 * SECOND, self.duty.want, True)

    def _run(self, token: int) -> Coroutine[None]:
        """What others wrote under earlier tokens is all here once the grant is: it can't be added to any more."""
        while self.fleet.machine is None or self.fleet.index < token:
            yield Wait(None, 0, self.loop.now() + LOOK_EVERY)
        keeping, shelf, now = self.keeping, self.shelf, self.loop.now()
        assert keeping is not None
        facts = self.fleet.machine.facts
        kept = facts.get((shelf.duty, HEAD))
        keeping.begin(keys_of(facts, shelf.duty), kept.value if kept else None)
        life = secrets.token_hex(8)
        session = Session(self.neighbour.name, life, Random(life).random, self.timing, self.limits)
        self.session, self.mark = session, ()
        held, head = shelf.held(now, self.timing), shelf.head or Head()
        self._do(session.start(now, held, (head.penalty, head.penalty_at), head.damped))
        while True:
            at = session.next_at
            if at is not None and at <= self.loop.now():
                self._do(session.tick(self.loop.now()))
                at = self.loop.now()
            yield Wait(None, 0, at)

    # ---- the session ----------------------------------------------------------------------------

    def _do(self, actions: Sequence[Action]) -> None:
        session, name = self.session, self.neighbour.name
        if session is None:
            return
        for action in actions:
            if isinstance(action, Ask):
                if self.call is not None:
                    self.call.cancel()
                self.call = self.loop.spawn(self._ask(session, action), self._call_crashed)
            elif isinstance(action, Became):
                if action.before is not session.state:
                    say(PARTNERS_STATE, partner=name, state=session.state.value, before=action.before.value)
            elif isinstance(action, Refused):
                say(PARTNERS_REFUSED, partner=name, address=self._address(), why=action.error)
                self._next_address()
            else:
                say(PARTNERS_FAILED, partner=name, address=self._address(), why=action.why)
                self._next_address()
        self._keep(session)
        if self.task is not None:
            self.task.wake()

    def _keep(self, session: Session) -> None:
        """Aims the copies at what the session holds. That it is stale or away they need not be told: time tells."""
        keeping, table, damped = self.keeping, session.table, session.state is State.DAMPED
        if keeping is None or (table is None and not damped):
            return
        mark = (table, session.back_at, damped, session.penalty_at)
        if not self.mark or self.mark[0] is not table or self.mark[1:] != mark[1:]:
            self.mark = mark
            chunks = self.cutter.cut(table.routes, table.sums) if table is not None else {}
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
            keeping.aim(Target(written(head), chunks), session.confirmed_at)
        else:
            keeping.confirm(session.confirmed_at)

    # ---- calls ----------------------------------------------------------------------------------

    def _address(self) -> str:
        addresses = self.neighbour.addresses
        return addresses[self.turn % len(addresses)] if addresses else ""

    def _next_address(self) -> None:
        self.turn += 1
        self._hang_up()

    def _hang_up(self) -> None:
        if self.sock is not None:
            self.loop.close(self.sock)
            self.sock = None

    def _call_crashed(self, error: Exception) -> None:
        self.call = None
        if self.session is not None and self.session.asked is not None:
            self._do(self.session.failed(self.loop.now(), self.session.asked.number, repr(error)))

    def _ask(self, session: Session, ask: Ask) -> Coroutine[None]:
        if self.duty is None or self.duty.may_act() is None:
            return  # its end comes
        try:
            data = yield from self._fetch(ask)
        except NotAnswered as error:
            self.call = None
            self._do(session.failed(self.loop.now(), ask.number, error.what))
        else:
            self.call = None
            self._do(session.answer(self.loop.now(), ask.number, data))

    def _fetch(self, ask: Ask) -> Coroutine[bytes]:
        """The body of one answer with status 200. It has to be whole by the session's time, which finds out that it is
        silent; this one waits a little longer."""
        until = self.loop.now() + ask.within + SECOND
        after = "" if ask.after is None else f"&after={ask.after[0]}.{ask.after[1]}"
        target = f"{PATH}?site={self.site}&to={ask.to}{after}&wait_ms={ask.wait // MS}"
        address = self._address()
        head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        sock, self.sock = self.sock, None
        rests = False
        try:
            if sock is None:
                sock = yield from connect(self.loop, address, CONNECT_WITHIN, until)
            yield from send(self.loop, sock, [head.encode()], until)
            wire = H11Reader(sock, h11.CLIENT)
            answer = yield from wire.next_event(until)
            if not isinstance(answer, h11.Response):
                raise NotAnswered("no answer", address)
            body = yield from self._body(wire, until, self.limits.bytes if answer.status_code == 200 else WORDS)
            if answer.status_code != 200:
                words = body.decode("utf-8", "replace")
                raise NotAnswered(f"answered {answer.status_code}: {' '.join(words.split())}", address)
            rests = wire.whole() and not wire.rest()
            return body
        except ConnectError:
            raise NotAnswered("not up", address) from None
        except TimedOut:
            raise NotAnswered("silent", address) from None
        except (OSError, h11.RemoteProtocolError) as error:
            raise NotAnswered(f"broken: {error}", address) from None
        finally:
            if rests:
                self.sock = sock
            elif sock is not None:
                self.loop.close(sock)

    def _body(self, wire: H11Reader, until: int, most: int) -> Coroutine[bytes]:
        """A whole body; one that is longer than it may be is read a little further than that, for the reader of tables
        to say so."""
        parts, size = [], 0
        while size <= most and (part := (yield from wire.part(until))):
            parts.append(part)
            size += len(part)
        return b"".join(parts)
