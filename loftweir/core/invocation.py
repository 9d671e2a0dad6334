"""An invocation, which is a request that the sidecar has taken, and its attempts at providers. No I/O, no clock.

Both are independent of the protocol over which requests arrive and leave.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple, Protocol

from loftweir.interface import Effect, Outcome, Request, RequestClass

MS = 1_000_000  # nanoseconds


class AnswerKind(Enum):
    """How an invocation ends. Each frontend maps it to its own protocol."""

    SERVED = "served"
    REJECTED = "rejected"  # a retry is harmless
    FAILED = "failed"  # without a promise about the effect
    LATE = "late"  # failed, and its deadline has passed
    BROKEN = "broken"  # failed because of a fault of this program


class FinalAnswer(NamedTuple):
    """The one final answer to an invocation."""

    kind: AnswerKind
    payload: Any = None  # SERVED: the response as the backend returns it
    after: int = 0  # REJECTED: how long the client should wait before a retry, ns; 0: no advice


BROKEN = FinalAnswer(AnswerKind.BROKEN)
FAILED = FinalAnswer(AnswerKind.FAILED)
LATE = FinalAnswer(AnswerKind.LATE)


class InvalidRequest(Exception):
    """A request that can't be taken as it is; the message tells why."""


def check(cls: RequestClass | None, name: str, has_key: bool) -> RequestClass:
    """Return the class of a request; raise `InvalidRequest` if the request can't be taken in that class."""
    if cls is None:
        raise InvalidRequest(f"{name!r} is not a class of this service")
    if cls.effect is Effect.BY_KEY and not has_key:
        raise InvalidRequest(f"{name} needs a key")
    return cls


class Invocation:
    """A request that owes exactly one final answer while it is open.

    Invariants: `final` is set once, by `close`, and `open` is false from then on. `attempts` has every attempt in the
    order of their beginning, until the last one has ended and the client's side is done with the invocation. No
    attempt, first or further, begins unless `is_wanted` has just returned true.
    """

    __slots__ = (
        "id",
        "cls",
        "time_left",
        "deadline",
        "time_after_body",
        "receive_time",
        "payload",
        "write",
        "client_retry",
        "key",
        "open",
        "final",
        "attempts",
        "on_closed",
        "client_left",
        "client_hidden",
        "repeated",
        "traced",
        "attempt_records",
    )

    def __init__(
        self,
        request_id: str,
        cls: RequestClass,
        time_left: int,
        payload: Any,
        write: bool = False,
        client_retry: bool = False,
        traced: bool = False,
        key: str | None = None,
    ) -> None:
        self.id = request_id
        self.cls = cls  # as of the arrival of the head, whatever the settings are later
        self.time_left = time_left  # how long the client still waits, ns, from when the invocation is taken
        self.deadline = 0  # `time_left` after it was taken
        self.time_after_body = (
            0  # a body that is forwarded as it arrives: how long the client waits after its last byte
        )
        self.receive_time = 0  # ns from its first byte to its last one
        self.payload = payload  # for the frontend and the backend only
        self.write = write
        self.client_retry = client_retry
        self.key = key  # what the request concerns, if the client says so
        self.open = True
        self.final: FinalAnswer | None = None
        self.attempts: list[ProviderAttempt] = []
        self.on_closed: Callable[[], None] | None = None  # set by the frontend: called with the final answer in place
        self.client_left: Callable[[], bool] = lambda: False  # set by the frontend: whether the client has gone by now
        self.repeated = False  # its id is that of an earlier request, which may have run
        # Set by the frontend: whether the client may have gone unseen.
        self.client_hidden: Callable[[], bool] = lambda: False
        self.traced = traced  # whether an access line may be logged
        self.attempt_records: list[dict[str, Any]] = []  # the attempts as the access line has them, once it is closed

    def event(self, reject_share: float) -> Request:
        """Return the balancer's event for this request."""
        return Request(
            self.id,
            self.cls.name,
            self.time_left,
            request_class=self.cls,
            key=self.key,
            client_retry=self.client_retry,
            write=self.write,
            reject_share=reject_share,
        )

    def is_wanted(self) -> bool:
        """Whether the invocation is open and its client still there; closes it if the client has gone.

        The client's disconnect may be in the kernel while the loop is behind, or be queued behind another event of the
        same turn. So it is checked here rather than waited for.
        """
        if self.open and self.client_left():
            self.close(None)
        return self.open

    def may_have_run(self) -> bool:
        """Whether a provider may have run it, or an earlier request of its id; attempts in flight may have run."""
        return self.repeated or any(
            attempt.sent_at and not (attempt.outcome is not None and attempt.outcome.never_ran)
            for attempt in self.attempts
        )

    def close(self, final: FinalAnswer | None) -> None:
        """Set the final answer; None if the client has gone."""
        self.open = False
        self.final = final
        if self.traced:
            self.attempt_records = [attempt.access_record() for attempt in self.attempts]
        if self.on_closed is not None:
            self.on_closed()


class Running(Protocol):
    """The task that carries out an attempt."""

    def cancel(self) -> None:
        """Stop it; it then reports no outcome."""


class ProviderAttempt:
    """One attempt, from the balancer's decision to its one outcome.

    Invariant: `running` is the task that carries it out. It is None before the attempt begins and once its outcome has
    been reported, so the outcome is reported exactly once.
    """

    __slots__ = (
        "invocation",
        "number",
        "provider",
        "give_up_at",
        "send_by",
        "started_at",
        "connected_at",
        "sent_at",
        "ended_at",
        "outcome",
        "running",
    )

    def __init__(
        self, invocation: Invocation, provider: str, give_up_at: int, started_at: int, send_by: int = 0
    ) -> None:
        self.invocation = invocation
        self.number = len(invocation.attempts)
        self.provider = provider
        self.give_up_at = min(give_up_at or invocation.deadline, invocation.deadline)
        # Providers drop duplicates of a key only for a limited time. What counts is when a retry is written, not when
        # it is decided: opening a connection may take long.
        self.send_by = min(send_by or self.give_up_at, self.give_up_at)
        self.started_at = started_at
        # For the access line; 0: not yet.
        self.connected_at = 0
        self.sent_at = 0  # when its last byte was written
        self.ended_at = 0  # when its outcome was known
        self.outcome: Outcome | None = None
        self.running: Running | None = None

    def access_record(self) -> dict[str, Any]:
        """Return the attempt as the access line has it: `at` in ns, each phase in ms from the end of the previous."""
        record: dict[str, Any] = {
            "at": self.started_at,
            "provider": self.provider,
            "outcome": None if self.outcome is None else self.outcome.label,
        }
        before = self.started_at
        phases = (("connect_ms", self.connected_at), ("send_ms", self.sent_at), ("answer_ms", self.ended_at))
        for phase, at in phases:
            if at:
                record[phase] = round((at - before) / MS, 3)
                before = at
        return record
