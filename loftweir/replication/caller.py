"""Sends commands and queries of one sidecar to the cluster. Commands belong to a session, and are retransmitted under
the same number until the outcome is known or the time has passed.

A command is sent to one voter at a time, the leader as far as it is known. The state machine applies it once, however
often it is sent. The commands of one proposer are ordered: the next one waits for the outcome of the previous one, or
until the time for that has passed.
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
from loftweir.net.stream import ConnectError
from loftweir.replication.api import StrictStruct
from loftweir.replication.line import CONNECTION_ERRORS, FrameConnection, dial
from loftweir.replication.machine import (
    AnyResult,
    Command,
    EndSession,
    Operation,
    UnknownSession,
    decode_result,
    encode,
)
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
    no_such_member,
)

BUSY_POLL_INTERVAL = 5 * MS  # while waiting until the previous write has ended
# No attempt is started this shortly before the end: if it were cut off, its outcome would not be known.
FINAL_MARGIN = 100 * MS
RETRY_DELAY = 20 * MS  # after a failed attempt; up to twice as long at random


class NoMajority(LoftweirError):
    """No leader with a majority accepted a write or read in time. The write has no effect, and never will."""

    remedy = (
        "Check which of `replication.members` are running and reach each other (`replication.role` in their logs), "
        "then repeat the command."
    )


class OutcomeUnknown(LoftweirError):
    """A write was sent, and its outcome was not received in time: it may have taken effect, or may still do so."""

    remedy = (
        "Ask `FLEET` at a sidecar that knows a leader for the current state, and repeat the command if it had no "
        "effect."
    )


class NotTaken(LoftweirError):
    """The cluster rejected a write; the text has the reason. Nothing was changed."""

    remedy = "Follow the text."


class ReadResult(StrictStruct, frozen=True):
    """The result of a query. With `sure` it includes everything acknowledged before the query. Otherwise no majority
    could be reached, and it is as old as `age` says (ns; None: not known).
    """

    sure: bool
    index: int
    age: int | None
    value: Any


class Proposer:
    """Commands and queries of one sidecar, each on a connection of its own."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        id: str,
        options: Replication,
        slots: dict[str, str],
        known_index: Callable[[], int],
    ) -> None:
        """`known_index`: returns an index that this sidecar knows of."""
        self.loop = loop
        self.known_index = known_index
        hello = Hello(VERSION, options.cluster, id, name, ConnectionKind.CALLER)
        self.writes, self.reads = (
            LeaderConnection(loop, hello, options, slots, Random(f"{name} {id} {n}")) for n in range(2)
        )
        self.session, self.number, self.since = "", 0, 0
        self.may_apply_late = False  # the outcome of the session's last command is not known

    def close(self) -> None:
        """Closes both connections."""
        self.writes.close()
        self.reads.close()

    def write(self, operation: Operation, within: int) -> Coroutine[AnyResult]:
        """The state machine's result. Raises `NoMajority` and `OutcomeUnknown`, both within the time (ns)."""
        until = self.loop.now() + within
        yield from self.writes.reserve(until)
        try:
            yield from self._settle(until)
            return (yield from self._write(operation, until))
        except NoMajority:
            raise
        except BaseException:  # also if the caller has given it up
            self.may_apply_late = True
            raise
        finally:
            self.writes.busy = False

    def settle(self, within: int) -> Coroutine[None]:
        """Makes sure that no command of this proposer takes effect from now on whose outcome was not known.

        Raises as `write` does.
        """
        until = self.loop.now() + within
        yield from self.writes.reserve(until)
        try:
            yield from self._settle(until)
        finally:
            self.writes.busy = False

    def _settle(self, until: int) -> Coroutine[None]:
        """Submits another command under the last number: the state machine applies only one of the two.

        A later number would not do: if the session's first command has not arrived, the session is not known, and a
        late copy of that command begins it.
        """
        if not self.may_apply_late or not self.session:
            return
        command = encode(Command(self.session, self.number, EndSession(self.session), self.since))
        outcome, _ = yield from self.writes.request(_submit(command), until)
        assert isinstance(outcome, CommandOutcome)
        _result_of(outcome, self.writes.target)
        self.session, self.may_apply_late = "", False

    def _write(self, operation: Operation, until: int) -> Coroutine[AnyResult]:
        for _ in range(2):
            if not self.session:
                self.session, self.number, self.since = secrets.token_hex(8), 0, max(self.since, self.known_index())
            self.number += 1
            command = encode(Command(self.session, self.number, operation, self.since))
            outcome, uncertain = yield from self.writes.request(_submit(command), until)
            assert isinstance(outcome, CommandOutcome)
            result = _result_of(outcome, self.writes.target)
            if not isinstance(result, UnknownSession):
                return result
            # Unused for long, or evicted for lack of space: if it was not sent before, it was not applied either.
            self.session, self.since = "", result.index
            if uncertain:
                break
        raise OutcomeUnknown("the cluster has evicted its session meanwhile")

    def remove(self, name: str, within: int) -> Coroutine[None]:
        """Removes a member. Raises as `write` does, and `NotTaken` if it can't be removed or does not exist.

        After a try without an answer, only a leader's word that there is no member of that name shows that it was
        removed. Any other rejection leaves open whether that try still takes effect.
        """
        until = self.loop.now() + within
        yield from self.writes.reserve(until)
        try:
            outcome, uncertain = yield from self.writes.request(lambda token: RemoveMember(token, name), until)
        finally:
            self.writes.busy = False
        assert isinstance(outcome, CommandOutcome)
        if outcome.how is not OutcomeCode.UNFIT:
            return
        why = outcome.result.decode("utf-8", "replace") or "the membership can't be changed now"
        if not uncertain:
            raise NotTaken(why)
        if outcome.result != no_such_member(name):
            raise OutcomeUnknown(f"a first try had no answer, the next one was rejected: {why}")

    def read(self, query: Query, within: int) -> Coroutine[ReadResult]:
        """The value of a query: linearizable if a leader with a majority is found in time, else the most recent of the
        answers. Raises `NoMajority` if nobody answered.
        """
        until = self.loop.now() + within
        best: list[QueryResponse] = []
        yield from self.reads.reserve(until)
        try:
            answer, _ = yield from self.reads.request(lambda token: QueryRequest(token, query), until, best)
        except (NoMajority, OutcomeUnknown) as error:
            if not best:
                raise NoMajority(error.what) from None
            answer = max(best, key=lambda a: a.index)
        finally:
            self.reads.busy = False
        assert isinstance(answer, QueryResponse)
        return ReadResult(answer.sure, answer.index, answer.age, msgspec.msgpack.decode(answer.value))


def _result_of(outcome: CommandOutcome, target: str) -> AnyResult:
    """The state machine's result. Raises `OutcomeUnknown` if it is malformed."""
    try:
        return decode_result(outcome.result)
    except msgspec.MsgspecError:
        raise OutcomeUnknown("a malformed outcome", target) from None


def _submit(command: bytes) -> Callable[[int], Frame]:
    return lambda token: SubmitCommand(token, command)


class LeaderConnection:
    """A connection to the leader, which is found by way of any voter. It is used for one request at a time.

    Invariant: `connection` is to `target` at `address`, and is only used by the one that reserved it (`busy`).
    """

    def __init__(self, loop: Loop, hello: Hello, options: Replication, slots: dict[str, str], random: Random) -> None:
        self.loop = loop
        self.hello = hello
        self.slots = slots
        self.random = random
        self.attempt_timeout = 2 * options.election + 200 * MS  # a leader that has lost its majority notices it sooner
        self.names = list(slots)
        random.shuffle(self.names)
        self.target = self.names[0]
        self.address = slots[self.target]
        self.connection: FrameConnection | None = None
        self.tokens = 0
        self.busy = False

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def reserve(self, until: int) -> Coroutine[None]:
        """Waits until no other request uses this connection."""
        while self.busy:
            if self.loop.now() >= until:
                raise NoMajority("the previous request took all the time")
            yield Wait(None, 0, min(until, self.loop.now() + BUSY_POLL_INTERVAL))
        self.busy = True

    def request(
        self, frame: Callable[[int], Frame], until: int, unsure: list[QueryResponse] | None = None
    ) -> Coroutine[tuple[CommandOutcome | QueryResponse, bool]]:
        """The final answer, and whether an earlier attempt may have taken effect as well. `unsure` receives the other
        answers.
        """
        uncertain, why = False, "no member could be reached"
        last = max(self.loop.now() + 1, until - FINAL_MARGIN)
        while (now := self.loop.now()) < last:
            try:
                connection = yield from self._connect(min(until, now + SECOND))
                self.tokens += 1
            except (ConnectError, TurnedAway) as error:
                if isinstance(error, TurnedAway):
                    why = f"{self.target}: {error}"
                self._switch()
                yield from self._wait_before_retry(until)
                continue
            try:
                connection.put(frame(self.tokens))
                answer = yield from self._read_response(
                    connection, self.tokens, min(until, self.loop.now() + self.attempt_timeout)
                )
            except CONNECTION_ERRORS as error:
                uncertain, why = True, f"{self.target}: {str(error) or 'no answer'}"
                self._switch()
                yield from self._wait_before_retry(until)
                continue
            if answer.how in (OutcomeCode.DONE, OutcomeCode.UNFIT):
                return answer, uncertain
            if isinstance(answer, QueryResponse) and unsure is not None:
                unsure.append(answer)
            uncertain = uncertain or answer.how is OutcomeCode.LOST
            why = f"{self.target}: {answer.how.value}"
            if answer.how is not OutcomeCode.BUSY:
                self._switch(answer.leader, answer.address)
            if answer.leader == "" or answer.how is OutcomeCode.BUSY:
                yield from self._wait_before_retry(until)
        if uncertain:
            raise OutcomeUnknown(f"no outcome in time, last: {why}")
        raise NoMajority(f"not accepted in time, last: {why}")

    def _read_response(
        self, connection: FrameConnection, token: int, until: int
    ) -> Coroutine[CommandOutcome | QueryResponse]:
        while True:
            found = yield from connection.next(until)
            if isinstance(found, CommandOutcome | QueryResponse) and found.token == token:
                return found

    def _connect(self, until: int) -> Coroutine[FrameConnection]:
        connection = self.connection
        if connection is None or not connection.alive():
            self.close()
            connection, _ = yield from dial(self.loop, self.address, self.hello, until)
            self.connection = connection
        return connection

    def _switch(self, leader: str = "", address: str = "") -> None:
        """Switches to the leader that was named, else to the next voter."""
        self.close()
        if leader and leader != self.target:
            self.target, self.address = leader, self.slots.get(leader, address)
            return
        place = self.names.index(self.target) + 1 if self.target in self.names else 0
        self.target = self.names[place % len(self.names)]
        self.address = self.slots[self.target]

    def _wait_before_retry(self, until: int) -> Coroutine[None]:
        pause = RETRY_DELAY + self.random.randrange(RETRY_DELAY)
        yield Wait(None, 0, min(until, self.loop.now() + pause))
