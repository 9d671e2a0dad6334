"""The harness's own client of the cluster: blocking, for one thread, and connected straight to the voters' addresses.

It uses the frames of `loftweir.replication.wire` and nothing else of the program's client side, so that a fault in the
program's own client does not hide itself from the oracle.
"""

from __future__ import annotations

import secrets
import socket
import time
from collections.abc import Callable, Mapping
from random import Random

from loftweir.replication.machine import AnyResult, Command, Operation, UnknownSession, decode_result
from loftweir.replication.machine import encode as encode_command
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
CONNECT_TIMEOUT = 0.5  # s
ATTEMPT_TIMEOUT = 0.5  # s, for the response of one voter


class NotApplied(Exception):
    """A call that failed and certainly had no effect."""


class OutcomeUnknown(Exception):
    """A call that may have taken effect already, or may do so later."""


class VoterConnection:
    """A connection to a voter after the exchange of `Hello`.

    Its methods raise OSError when the connection fails, and `TimeoutError` (a subclass) when nothing arrives in time.
    """

    def __init__(
        self,
        address: str,
        kind: ConnectionKind = ConnectionKind.CALLER,
        name: str = "harness",
        id: str = "",
        timeout: float = 1,
    ):
        host, port = address.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=timeout)
        self.reader = FrameReader()
        try:
            self.send(Hello(VERSION, CLUSTER, id or secrets.token_hex(8), name, kind))
            peer = self.receive(timeout)
            if not isinstance(peer, Hello):
                raise ConnectionRefusedError(str(peer))
            self.peer = peer
        except BaseException:
            self.sock.close()
            raise

    def send(self, frame: Frame) -> None:
        """Sends one frame."""
        self.sock.sendall(encode_frame(frame))

    def receive(self, timeout: float) -> Frame:
        """Waits for the next frame."""
        until = time.monotonic() + timeout
        while (frame := self.reader.next()) is None:
            self.sock.settimeout(max(0.001, until - time.monotonic()))
            data = self.sock.recv(65536)
            if not data:
                raise ConnectionError("the voter closed the connection")
            self.reader.feed(data)
        return frame

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()


class ClusterClient:
    """Sends writes under a client session of its own, and linearizable reads, to the leader.

    With `only` it uses that voter alone, whether it leads or not. Not safe for concurrent use.
    """

    def __init__(self, addresses: Mapping[str, str], random: Random, only: str = "") -> None:
        self.addresses, self.random, self.only = dict(addresses), random, only
        self.id = secrets.token_hex(8)
        self.voter = only or random.choice(sorted(addresses))
        self.connection: VoterConnection | None = None
        self.session, self.number, self.tokens = "", 0, 0

    def close(self) -> None:
        """Closes the connection; the next call opens another."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def write(self, operation: Operation, timeout: float) -> AnyResult:
        """Submits one command and returns its result. Raises `NotApplied` or `OutcomeUnknown`."""
        if not self.session:
            self.session, self.number = secrets.token_hex(8), 0
        self.number += 1
        command = encode_command(Command(self.session, self.number, operation))
        outcome, uncertain = self._call(lambda token: SubmitCommand(token, command), timeout)
        result = decode_result(outcome.result)
        if isinstance(result, UnknownSession):
            self.session = ""
            raise OutcomeUnknown("unknown session") if uncertain else NotApplied("unknown session")
        return result

    def read(self, query: Query, timeout: float) -> object:
        """The value of a linearizable read. Raises `NotApplied`."""
        try:
            return self._call(lambda token: QueryRequest(token, query), timeout)[0].value
        except OutcomeUnknown as error:
            raise NotApplied(str(error)) from None

    def _call(self, make_frame: Callable[[int], Frame], timeout: float):
        """The final response, and whether an earlier attempt may have taken effect as well."""
        until, uncertain, reason = time.monotonic() + timeout, False, "no time"
        while (left := until - time.monotonic()) > 0:
            sent = False
            try:
                if self.connection is None:
                    self.connection = VoterConnection(
                        self.addresses[self.voter], id=self.id, timeout=min(left, CONNECT_TIMEOUT)
                    )
                self.tokens += 1
                sent = True
                self.connection.send(make_frame(self.tokens))
                response = self._receive_response(min(until - time.monotonic(), ATTEMPT_TIMEOUT))
            except OSError as error:
                uncertain, reason = uncertain or sent, f"{self.voter}: {error!r}"
                self._switch_voter("")
                continue
            if response.how is OutcomeCode.DONE and (isinstance(response, CommandOutcome) or response.sure):
                return response, uncertain
            uncertain, reason = uncertain or response.how is OutcomeCode.LOST, f"{self.voter}: {response.how.value}"
            if response.how is not OutcomeCode.BUSY:
                self._switch_voter(response.leader)
            time.sleep(0.01 + 0.02 * self.random.random())
        raise OutcomeUnknown(reason) if uncertain else NotApplied(reason)

    def _receive_response(self, timeout: float) -> CommandOutcome | QueryResponse:
        """The response with the latest token; responses to earlier attempts are dropped."""
        assert self.connection is not None
        until = time.monotonic() + timeout
        while True:
            frame = self.connection.receive(until - time.monotonic())
            if isinstance(frame, CommandOutcome | QueryResponse) and frame.token == self.tokens:
                return frame

    def _switch_voter(self, leader: str) -> None:
        """Uses the named leader from now on, or a random voter if it is not a known one."""
        self.close()
        if not self.only:
            self.voter = leader if leader in self.addresses else self.random.choice(sorted(self.addresses))


def voter_status(address: str, timeout: float = 1) -> StatusResponse:
    """A voter's status. Raises OSError."""
    connection = VoterConnection(address, timeout=timeout)
    try:
        connection.send(StatusRequest(()))
        response = connection.receive(timeout)
        if not isinstance(response, StatusResponse):
            raise ConnectionError(f"not a status response: {response}")
        return response
    finally:
        connection.close()


def follow(connection: VoterConnection, after: int, wait: int = 0) -> FollowResponse:
    """What a voter sends to an observer that has every entry up to the index `after`; `wait` in ns. Raises OSError."""
    connection.send(FollowRequest(after, wait))
    response = connection.receive(wait / 1e9 + 2)
    if not isinstance(response, FollowResponse):
        raise ConnectionError(f"not a follow response: {response}")
    return response
