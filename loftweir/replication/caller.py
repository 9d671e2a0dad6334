"""Writes and reads of one sidecar: under a session of its own, sent again under the same number until the outcome is
known or the time is up.

A write is sent to one voter at a time, the leader as far as it is known. The copies apply it once, however often it is
sent. Writes of one caller are in order: the next one waits for the outcome of the one before, or for its time's end.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from loftweir.config.model import Replication
from loftweir.errors import LoftweirError
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Wait
from loftweir.net.stream import NotUp
from loftweir.replication.api import StrictStruct
from loftweir.replication.line import CONNECTION_ERRORS, FrameConnection, dial
from loftweir.replication.machine import AnyResult, Command, Operation, UnknownSession, decode_result, encode
from loftweir.replication.wire import (
    VERSION,
    CommandOutcome,
    ConnectionKind,
    Frame,
    Hello,
    OutcomeCode,
    Query,
    QueryRequest,
    QueryResponse,
    RemoveMember,
    SubmitCommand,
    TurnedAway,
)

BUSY_POLL_INTERVAL = 5 * MS  # for the turn of a write behind another one
FINAL_MARGIN = 100 * MS  # before the end, after which none is begun: one that is cut short would leave its outcome open
RETRY_DELAY = 20 * MS  # after a try that brought nothing; up to as long again at random


class NoMajority(LoftweirError):
    """No leader with a majority took a write or a read in time. A write does not hold, and never will."""

    remedy = (
        "See which of `replication.members` are up and reach each other (`replication.role` in their logs), then say "
        "it again."
    )


class OutcomeUnknown(LoftweirError):
    """A write went out, and what became of it was not told in time: it may hold, or come to hold yet."""

    remedy = "Ask `FLEET` at a sidecar that knows a leader what holds, and say it again if that does not."


class NotTaken(LoftweirError):
    """The copies turned a write down; its text says why. Nothing has changed."""

    remedy = "As the text says."


class ReadResult(StrictStruct, frozen=True):
    """`sure`: all that was promised before it was asked is in it. Else it is as old as `age` says (ns, None: unknown),
    since nobody with a majority could be asked."""

    sure: bool
    index: int
    age: int | None
    value: Any


class Proposer:
    def __init__(
        self, loop: Loop, name: str, id: str, options: Replication, seats: dict[str, str], known: Callable[[], int]
    ) -> None:
        """`known`: an index that this sidecar has heard of."""
        self.loop = loop
        self.known = known
        hello = Hello(VERSION, options.cluster, id, name, ConnectionKind.CALLER)
        self.writes, self.reads = (
            LeaderConnection(loop, hello, options, seats, Random(f"{name} {id} {n}")) for n in range(2)
        )
        self.session, self.number, self.since = "", 0, 0

    def close(self) -> None:
        self.writes.close()
        self.reads.close()

    def write(self, act: Operation, within: int) -> Coroutine[AnyResult]:
        """What the copies made of it. Raises `NoMajority` and `OutcomeUnknown`, both within the time (ns)."""
        until = self.loop.now() + within
        yield from self.writes.take(until)
        try:
            for _ in range(2):
                if not self.session:
                    self.session, self.number, self.since = secrets.token_hex(8), 0, max(self.since, self.known())
                self.number += 1
                order = encode(Command(self.session, self.number, act, self.since))
                outcome, uncertain = yield from self.writes.ask(_submit(order), until)
                assert isinstance(outcome, CommandOutcome)
                try:
                    result = decode_result(outcome.result)
                except msgspec.MsgspecError:
                    raise OutcomeUnknown("an outcome that can't be read", self.writes.at) from None
                if not isinstance(result, UnknownSession):
                    return result
                # Unused for long, or let go for want of room: what was not sent before was not applied either.
                self.session, self.since = "", result.index
                if uncertain:
                    break
            raise OutcomeUnknown("its session was let go by the copies meanwhile")
        finally:
            self.writes.busy = False

    def remove(self, name: str, within: int) -> Coroutine[None]:
        """Takes a member out. Raises as `write` does, and `NotTaken` where there is none of that name."""
        until = self.loop.now() + within
        yield from self.writes.take(until)
        try:
            outcome, uncertain = yield from self.writes.ask(lambda token: RemoveMember(token, name), until)
        finally:
            self.writes.busy = False
        assert isinstance(outcome, CommandOutcome)
        if outcome.how is OutcomeCode.UNFIT and not uncertain:
            raise NotTaken(outcome.result.decode("utf-8", "replace") or "not a change that can be made now")

    def read(self, query: Query, within: int) -> Coroutine[ReadResult]:
        """What holds, for sure where a leader with a majority is found in time; else the best of what was answered.
        Raises `NoMajority` where nobody answered at all."""
        until = self.loop.now() + within
        best: list[QueryResponse] = []
        yield from self.reads.take(until)
        try:
            answer, _ = yield from self.reads.ask(lambda token: QueryRequest(token, query), until, best)
        except (NoMajority, OutcomeUnknown) as error:
            if not best:
                raise NoMajority(error.what) from None
            answer = max(best, key=lambda a: a.index)
        finally:
            self.reads.busy = False
        assert isinstance(answer, QueryResponse)
        return ReadResult(answer.sure, answer.index, answer.age, msgspec.msgpack.decode(answer.value))


def _submit(order: bytes) -> Callable[[int], Frame]:
    return lambda token: SubmitCommand(token, order)


class LeaderConnection:
    """To whoever leads, by way of any voter; one at a time goes it.

    Invariant: `line` is to `at`, by `address`, and only who took the way (`busy`) speaks on it."""

    def __init__(self, loop: Loop, hello: Hello, options: Replication, seats: dict[str, str], random: Random) -> None:
        self.loop = loop
        self.hello = hello
        self.seats = seats
        self.random = random
        self.a_try = 2 * options.election + 200 * MS  # a leader that is none finds out in less
        self.order = list(seats)
        random.shuffle(self.order)
        self.at = self.order[0]
        self.address = seats[self.at]
        self.line: FrameConnection | None = None
        self.tokens = 0
        self.busy = False

    def close(self) -> None:
        if self.line is not None:
            self.line.close()
            self.line = None

    def take(self, until: int) -> Coroutine[None]:
        while self.busy:
            if self.loop.now() >= until:
                raise NoMajority("what came before it took all the time")
            yield Wait(None, 0, min(until, self.loop.now() + BUSY_POLL_INTERVAL))
        self.busy = True

    def ask(
        self, frame: Callable[[int], Frame], until: int, unsure: list[QueryResponse] | None = None
    ) -> Coroutine[tuple[CommandOutcome | QueryResponse, bool]]:
        """The final answer, and whether an earlier try may have come true as well. `unsure` gets the others."""
        uncertain, why = False, "none of the members could be reached"
        last = max(self.loop.now() + 1, until - FINAL_MARGIN)
        while (now := self.loop.now()) < last:
            try:
                line = yield from self._connected(min(until, now + SECOND))
                self.tokens += 1
            except (NotUp, TurnedAway) as error:
                if isinstance(error, TurnedAway):
                    why = f"{self.at}: {error}"
                self._turn()
                yield from self._pause(until)
                continue
            try:
                line.put(frame(self.tokens))
                answer = yield from self._answer(line, self.tokens, min(until, self.loop.now() + self.a_try))
            except CONNECTION_ERRORS as error:
                uncertain, why = True, f"{self.at}: {str(error) or 'no answer'}"
                self._turn()
                yield from self._pause(until)
                continue
            if answer.how in (OutcomeCode.DONE, OutcomeCode.UNFIT):
                return answer, uncertain
            if isinstance(answer, QueryResponse) and unsure is not None:
                unsure.append(answer)
            uncertain = uncertain or answer.how is OutcomeCode.LOST
            why = f"{self.at}: {answer.how.value}"
            if answer.how is not OutcomeCode.BUSY:
                self._turn(answer.leader, answer.address)
            if answer.leader == "" or answer.how is OutcomeCode.BUSY:
                yield from self._pause(until)
        if uncertain:
            raise OutcomeUnknown(f"no outcome in time, last: {why}")
        raise NoMajority(f"not taken in time, last: {why}")

    def _answer(self, line: FrameConnection, token: int, until: int) -> Coroutine[CommandOutcome | QueryResponse]:
        while True:
            found = yield from line.next(until)
            if isinstance(found, CommandOutcome | QueryResponse) and found.token == token:
                return found

    def _connected(self, until: int) -> Coroutine[FrameConnection]:
        line = self.line
        if line is None or not line.alive():
            self.close()
            line, _ = yield from dial(self.loop, self.address, self.hello, until)
            self.line = line
        return line

    def _turn(self, leader: str = "", address: str = "") -> None:
        """On to the leader that was named, else to the next."""
        self.close()
        if leader and leader != self.at:
            self.at, self.address = leader, self.seats.get(leader, address)
            return
        place = self.order.index(self.at) + 1 if self.at in self.order else 0
        self.at = self.order[place % len(self.order)]
        self.address = self.seats[self.at]

    def _pause(self, until: int) -> Coroutine[None]:
        pause = RETRY_DELAY + self.random.randrange(RETRY_DELAY)
        yield Wait(None, 0, min(until, self.loop.now() + pause))
