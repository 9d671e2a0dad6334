"""An invocation, a request that the sidecar has taken, and its invoker calls, each one attempt of the balancer at one
provider. No I/O, no clock; whatever protocol they come and go over."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple, Protocol

from loftweir.interface import Effect, Outcome, Request, RequestClass

MS = 1_000_000


class Kind(Enum):
    """How an invocation ends. Each front has its own words for them."""

    SERVED = "served"
    REJECTED = "rejected"  # trying again is harmless
    FAILED = "failed"  # no promise about the effect
    LATE = "late"  # failed, and its deadline has passed
    BROKEN = "broken"  # failed by a fault of the program


class Final(NamedTuple):
    """The one final answer."""

    kind: Kind
    payload: Any = None  # of SERVED: what the back made of the provider's answer
    after: int = 0  # of REJECTED: ns after which trying again may help; 0: nothing is said


BROKEN = Final(Kind.BROKEN)
FAILED, LATE = Final(Kind.FAILED), Final(Kind.LATE)


class Unfit(Exception):
    """A request that can't be taken as it stands: says why."""


def check(cls: RequestClass | None, name: str, has_key: bool) -> RequestClass:
    """A request's class, where it may come as one of it; else an `Unfit`."""
    if cls is None:
        raise Unfit(f"{name!r} is not a class of this service")
    if cls.effect is Effect.BY_KEY and not has_key:
        raise Unfit(f"{name} needs a key")
    return cls


class Invocation:
    """Owes exactly one final answer while it is open.

    Invariants: `final` is set once, by `close`, and `open` is false from then on. `calls` holds every invoker call of
    it, in their order, until the last has ended and the client's side is done with it. No attempt of it begins, first
    or further, unless `wanted` has just said so.
    """

    __slots__ = (
        "id",
        "cls",
        "patience",
        "deadline",
        "after_body",
        "sending",
        "payload",
        "write",
        "client_retry",
        "key",
        "open",
        "final",
        "calls",
        "closed",
        "left",
        "traced",
        "told",
    )

    def __init__(
        self,
        request_id: str,
        cls: RequestClass,
        patience: int,
        payload: Any,
        write: bool = False,
        client_retry: bool = False,
        traced: bool = False,
        key: str | None = None,
    ) -> None:
        self.id = request_id
        self.cls = cls  # as it was when the head came, whatever the settings say later
        self.patience = patience  # ns that the client still waits, from when it is taken
        self.deadline = 0  # patience from the moment it was taken
        self.after_body = 0  # patience from its last byte on, where that is sent on while it comes
        self.sending = 0  # ns from its first byte to its last one
        self.payload = payload  # the front's and the back's; nobody between looks into it
        self.write = write
        self.client_retry = client_retry
        self.key = key  # what the request concerns, where the application says so
        self.open = True
        self.final: Final | None = None
        self.calls: list[Call] = []
        self.closed: Callable[[], None] | None = None  # the front's: the final answer is there
        self.left: Callable[[], bool] = lambda: False  # the front's: whether the client has gone, as of now
        self.traced = traced  # whether an access line may be due
        self.told: list[dict[str, Any]] = []  # its calls as that line has them, once it is decided

    def event(self, shed: float) -> Request:
        return Request(
            self.id,
            self.cls.name,
            self.patience,
            request_class=self.cls,
            key=self.key,
            client_retry=self.client_retry,
            write=self.write,
            reject_share=shed,
        )

    def wanted(self) -> bool:
        """Whether an answer is owed to someone who is still there. The client's end may lie in the kernel while the
        loop is behind, or behind an event of the same turn: it is looked at here, and not waited for."""
        if self.open and self.left():
            self.close(None)
        return self.open

    def close(self, final: Final | None) -> None:
        """The final answer, or none where the client has gone."""
        self.open = False
        self.final = final
        if self.traced:
            self.told = [call.told() for call in self.calls]
        if self.closed is not None:
            self.closed()


class Running(Protocol):
    """What carries a call out, and can be stopped."""

    def cancel(self) -> None: ...


class Call:
    """One attempt, from its decision to its one outcome. Invariant: `running` is what carries it out, and None once its
    outcome has been told or before it began; so the outcome is told exactly once."""

    __slots__ = (
        "invocation",
        "number",
        "provider",
        "give_up_at",
        "send_by",
        "started_at",
        "up_at",
        "sent_at",
        "ended_at",
        "outcome",
        "running",
    )

    def __init__(
        self, invocation: Invocation, provider: str, give_up_at: int, started_at: int, send_by: int = 0
    ) -> None:
        self.invocation = invocation
        self.number = len(invocation.calls)
        self.provider = provider
        self.give_up_at = min(give_up_at or invocation.deadline, invocation.deadline)
        # A repeat is dropped by its servers for a while only: what counts is when it is written, not when it is
        # decided, and a connection may take long to come up.
        self.send_by = min(send_by or self.give_up_at, self.give_up_at)
        self.started_at = started_at
        # For the access line: when its connection was there, its last byte out, its outcome known; 0: not yet.
        self.up_at = self.sent_at = self.ended_at = 0
        self.outcome: Outcome | None = None
        self.running: Running | None = None

    def told(self) -> dict[str, Any]:
        """The call as the access line has it: `at` in ns, and each phase in ms from the end of the one before."""
        told: dict[str, Any] = {
            "at": self.started_at,
            "provider": self.provider,
            "outcome": None if self.outcome is None else self.outcome.label,
        }
        before = self.started_at
        for phase, at in (("connect_ms", self.up_at), ("send_ms", self.sent_at), ("answer_ms", self.ended_at)):
            if at:
                told[phase] = round((at - before) / MS, 3)
                before = at
        return told
