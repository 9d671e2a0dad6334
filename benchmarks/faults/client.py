"""A caller of the copies for the harness: blocking, on one thread, straight to the voters' own addresses.

It speaks the frames of `loftweir.replication.wire` and nothing else of the program's, so that what the program's own
caller believes is judged by another.
"""

from __future__ import annotations

import secrets
import socket
import time
from collections.abc import Callable, Mapping
from random import Random

from loftweir.replication.machine import AnyResult, Command, Operation, UnknownSession, decode_result
from loftweir.replication.machine import encode as order_written
from loftweir.replication.wire import (
    VERSION,
    CommandOutcome,
    ConnectionKind,
    FollowRequest,
    FollowResponse,
    Frame,
    FrameReader,
    Hello,
    OutcomeCode,
    Query,
    QueryRequest,
    QueryResponse,
    StatusRequest,
    StatusResponse,
    SubmitCommand,
    encode_frame,
)

CLUSTER = "loftweir"
A_TRY = 0.5  # s that one voter may take
MS = 1_000_000


class Nothing(Exception):
    """A call that certainly did nothing."""


class Unknown(Exception):
    """A call that may have been done, or may be yet."""


class Line:
    """One greeted connection. OSError where it fails, `TimeoutError` (one of them) where nothing came in time."""

    def __init__(
        self,
        address: str,
        kind: ConnectionKind = ConnectionKind.CALLER,
        name: str = "harness",
        id: str = "",
        within: float = 1,
    ):
        host, port = address.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=within)
        self.reader = FrameReader()
        try:
            self.say(Hello(VERSION, CLUSTER, id or secrets.token_hex(8), name, kind))
            there = self.next(within)
            if not isinstance(there, Hello):
                raise ConnectionRefusedError(str(there))
            self.there = there
        except BaseException:
            self.sock.close()
            raise

    def say(self, frame: Frame) -> None:
        self.sock.sendall(encode_frame(frame))

    def next(self, within: float) -> Frame:
        until = time.monotonic() + within
        while (frame := self.reader.next()) is None:
            self.sock.settimeout(max(0.001, until - time.monotonic()))
            data = self.sock.recv(65536)
            if not data:
                raise ConnectionError("ended")
            self.reader.feed(data)
        return frame

    def close(self) -> None:
        self.sock.close()


class Caller:
    """Writes under a session of its own, and sure reads, at whoever leads; `at`, where it is set, names the only voter
    that is asked. Not for two threads at a time."""

    def __init__(self, seats: Mapping[str, str], random: Random, at: str = "") -> None:
        self.seats, self.random, self.only = dict(seats), random, at
        self.id = secrets.token_hex(8)
        self.at = at or random.choice(sorted(seats))
        self.line: Line | None = None
        self.session, self.number, self.tokens = "", 0, 0

    def close(self) -> None:
        if self.line is not None:
            self.line.close()
            self.line = None

    def write(self, act: Operation, within: float) -> AnyResult:
        """Raises `Nothing` and `Unknown`."""
        if not self.session:
            self.session, self.number = secrets.token_hex(8), 0
        self.number += 1
        order = order_written(Command(self.session, self.number, act))
        outcome, uncertain = self._ask(lambda token: SubmitCommand(token, order), within)
        result = decode_result(outcome.result)
        if isinstance(result, UnknownSession):
            self.session = ""
            raise Unknown("unknown session") if uncertain else Nothing("unknown session")
        return result

    def read(self, query: Query, within: float) -> object:
        """What holds for sure. Raises `Nothing`."""
        try:
            return self._ask(lambda token: QueryRequest(token, query), within)[0].value
        except Unknown as error:
            raise Nothing(str(error)) from None

    def _ask(self, frame: Callable[[int], Frame], within: float):
        """The final answer, and whether an earlier try may have come true as well."""
        until, uncertain, why = time.monotonic() + within, False, "no time"
        while (left := until - time.monotonic()) > 0:
            sent = False
            try:
                if self.line is None:
                    self.line = Line(self.seats[self.at], id=self.id, within=min(left, 0.5))
                self.tokens += 1
                sent = True
                self.line.say(frame(self.tokens))
                answer = self._answer(min(until - time.monotonic(), A_TRY))
            except OSError as error:
                uncertain, why = uncertain or sent, f"{self.at}: {error!r}"
                self._turn("")
                continue
            if answer.how is OutcomeCode.DONE and (isinstance(answer, CommandOutcome) or answer.sure):
                return answer, uncertain
            uncertain, why = uncertain or answer.how is OutcomeCode.LOST, f"{self.at}: {answer.how.value}"
            if answer.how is not OutcomeCode.BUSY:
                self._turn(answer.leader)
            time.sleep(0.01 + 0.02 * self.random.random())
        raise Unknown(why) if uncertain else Nothing(why)

    def _answer(self, within: float) -> CommandOutcome | QueryResponse:
        assert self.line is not None
        until = time.monotonic() + within
        while True:
            found = self.line.next(until - time.monotonic())
            if isinstance(found, CommandOutcome | QueryResponse) and found.token == self.tokens:
                return found

    def _turn(self, leader: str) -> None:
        self.close()
        if not self.only:
            self.at = leader if leader in self.seats else self.random.choice(sorted(self.seats))


def members(address: str, within: float = 1) -> StatusResponse:
    """How a voter stands. OSError."""
    line = Line(address, within=within)
    try:
        line.say(StatusRequest(()))
        answer = line.next(within)
        if not isinstance(answer, StatusResponse):
            raise ConnectionError(f"not an answer: {answer}")
        return answer
    finally:
        line.close()


def news(line: Line, after: int, wait: int = 0) -> FollowResponse:
    """What a voter tells a follower that has all up to an index. OSError."""
    line.say(FollowRequest(after, wait))
    answer = line.next(wait / 1e9 + 2)
    if not isinstance(answer, FollowResponse):
        raise ConnectionError(f"not news: {answer}")
    return answer
