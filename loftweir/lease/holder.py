"""The holder's side of a lease, as a table of states and transitions. No I/O: times and a seeded `Random` are passed
in.

    IDLE --wanted--> FREE --due--> ACQUIRING --granted--> HELD <--renewed / due--> RENEWING
    ACQUIRING --rejected, unknown--> FREE        HELD, RENEWING --expired--> LAPSED --released--> FREE
    ACQUIRING --stale grant--> LAPSED            HELD, RENEWING --lost--> FREE
    any but IDLE --unwanted--> IDLE, by way of RELEASING if there is a lease to release

The holder may write under its token until `sent + ttl - margin(ttl)` by its own clock, where `sent` is the time before
the last request with an Ok was sent. `valid_token` is called right before each write: a process that was stopped for
long notices it by the clock. The clock must therefore continue while the process is stopped and the host is suspended
(CLOCK_BOOTTIME).

The margin. Let all clocks run at 1 - d to 1 + d of true time, with d = 5 %. A request is sent at true time s. The
leader that applies it, or a later one, starts its countdown at s or later, and ends the lease no earlier than at s +
ttl / (1 + d). The holder stops by its clock at true time s + (ttl - m) / (1 - d) at the latest. It stops first if

    m >= ttl * (1 - (1 - d) / (1 + d)) = ttl * 2 d / (1 + d)

A fixed 50 ms are added for the time from `valid_token` to the write. What is even later (a process stopped between the
two, a packet in flight) is handled by the fencing token: the write is rejected where it arrives.

Invariants:

- It writes in HELD and RENEWING only, under `token` and before `until`.
- An expired token is never used again: it is released, whatever late responses say. A lease whose grant arrived too
  late, or not at all, is not used either: it is released and acquired again.
- The holder's name includes 64 random bits and identifies one run of one process. No other process can be taken for
  it, nor it for an earlier one.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import NamedTuple

from loftweir.replication import machine
from loftweir.replication.machine import (
    AcquireLease,
    AnyResult,
    LeaseHeld,
    LeaseNotHeld,
    Ok,
    ReleaseLease,
    RenewLease,
    StaleToken,
)

MAX_DRIFT_PERCENT = 5  # largest deviation of a clock's rate from true time, either way
FIXED_MARGIN = 50_000_000  # ns; for the time from `valid_token` to the write
# requests without a response that are remembered; the outcome of older ones counts as unknown
MAX_PENDING_REQUESTS = 64


def margin(ttl: int) -> int:
    """How long before the end of the time to live the holder stops, ns."""
    return -(-ttl * 2 * MAX_DRIFT_PERCENT // (100 + MAX_DRIFT_PERCENT)) + FIXED_MARGIN


# ---- events and actions -------------------------------------------------------------------------


class Tick(NamedTuple):
    """The time given by `next_at` has come; another time does no harm."""


class LeaseWanted(NamedTuple):
    """The lease is wanted from now on."""


class LeaseUnwanted(NamedTuple):
    """The lease is not wanted any more."""


class ResponseReceived(NamedTuple):
    """The response to a `SendOperation`. None: the outcome is not known, and the operation may still take effect."""

    request_id: int
    result: AnyResult | None


Event = Tick | LeaseWanted | LeaseUnwanted | ResponseReceived


class SendOperation(NamedTuple):
    """A command for the cluster, which keeps its session and number when it is retransmitted. Answered by one
    `ResponseReceived`.
    """

    request_id: int
    operation: AcquireLease | RenewLease | ReleaseLease


class TaskStarted(NamedTuple):
    """Writes under this token are allowed from now on, each right after `valid_token`."""

    token: int


class TaskStopped(NamedTuple):
    """Writes under this token are not allowed any more. A `ReleaseLease` of it only comes after this."""

    token: int


Action = SendOperation | TaskStarted | TaskStopped


# ---- the table ----------------------------------------------------------------------------------


class Transition(Enum):
    """The transitions of the table."""

    WANTED = "want"
    UNWANTED = "let_go"
    DUE = "due"  # time to acquire or to renew the lease
    GRANTED = "granted"
    REJECTED = "refused"
    # A lease under this holder's name that must not be used: its grant came too late, or was lost.
    STALE_GRANT = "mine"
    RENEWED = "renewed"
    LOST = "lost"  # another token is valid, or none
    RELEASED = "released"
    UNKNOWN = "unknown"  # no response, or one that does not show the state of the lease
    EXPIRED = "up"  # `until` has passed


class StateTraits(NamedTuple):
    """The properties of a state."""

    may_act: bool  # `valid_token` may return the token
    operation: type[AcquireLease | RenewLease | ReleaseLease] | None  # sent when the state is entered
    on_timeout: Transition | None  # the transition at `_next_transition_at`
    # How long after its entry the state times out, at least and at most, in 24ths of the time to live.
    timeout_range: tuple[int, int]


class HolderState(Enum):
    """The states of the table."""

    IDLE = "idle"
    FREE = "free"
    ACQUIRING = "asking"
    HELD = "held"
    RENEWING = "renewing"
    LAPSED = "lapsed"
    RELEASING = "leaving"


TRAITS = {
    HolderState.IDLE: StateTraits(False, None, None, (0, 0)),
    HolderState.FREE: StateTraits(False, None, Transition.DUE, (2, 6)),  # random, as other processes try as well
    HolderState.ACQUIRING: StateTraits(False, AcquireLease, Transition.UNKNOWN, (24, 24)),
    # The timeout after a renewal without a response; after one with a response it is a third of the time to live.
    HolderState.HELD: StateTraits(True, None, Transition.DUE, (2, 4)),
    HolderState.RENEWING: StateTraits(True, RenewLease, Transition.UNKNOWN, (4, 4)),
    HolderState.LAPSED: StateTraits(False, ReleaseLease, Transition.UNKNOWN, (6, 6)),
    HolderState.RELEASING: StateTraits(False, ReleaseLease, Transition.UNKNOWN, (6, 6)),
}

# A transition that is not listed has no effect.
TRANSITIONS: dict[tuple[HolderState, Transition], HolderState] = {
    (HolderState.IDLE, Transition.WANTED): HolderState.FREE,
    (HolderState.FREE, Transition.DUE): HolderState.ACQUIRING,
    (HolderState.FREE, Transition.UNWANTED): HolderState.IDLE,
    (HolderState.ACQUIRING, Transition.GRANTED): HolderState.HELD,
    (HolderState.ACQUIRING, Transition.REJECTED): HolderState.FREE,
    (HolderState.ACQUIRING, Transition.UNKNOWN): HolderState.FREE,
    (HolderState.ACQUIRING, Transition.STALE_GRANT): HolderState.LAPSED,
    (HolderState.ACQUIRING, Transition.UNWANTED): HolderState.IDLE,
    (HolderState.HELD, Transition.DUE): HolderState.RENEWING,
    (HolderState.HELD, Transition.RENEWED): HolderState.HELD,
    (HolderState.HELD, Transition.EXPIRED): HolderState.LAPSED,
    (HolderState.HELD, Transition.LOST): HolderState.FREE,
    (HolderState.HELD, Transition.UNWANTED): HolderState.RELEASING,
    (HolderState.RENEWING, Transition.RENEWED): HolderState.HELD,
    (HolderState.RENEWING, Transition.UNKNOWN): HolderState.HELD,
    (HolderState.RENEWING, Transition.EXPIRED): HolderState.LAPSED,
    (HolderState.RENEWING, Transition.LOST): HolderState.FREE,
    (HolderState.RENEWING, Transition.UNWANTED): HolderState.RELEASING,
    (HolderState.LAPSED, Transition.RELEASED): HolderState.FREE,
    (HolderState.LAPSED, Transition.UNKNOWN): HolderState.FREE,
    (HolderState.LAPSED, Transition.UNWANTED): HolderState.RELEASING,
    (HolderState.RELEASING, Transition.RELEASED): HolderState.IDLE,
    (HolderState.RELEASING, Transition.UNKNOWN): HolderState.IDLE,
    (HolderState.RELEASING, Transition.WANTED): HolderState.LAPSED,
}


class PendingRequest(NamedTuple):
    """A request without a response yet."""

    operation: AcquireLease | RenewLease | ReleaseLease
    sent: int


class LeaseHolder:
    """One process's view of one lease. Raises ValueError for a name or time to live that the state machine would
    reject.
    """

    def __init__(self, lease_name: str, name: str, ttl: int, random: Random) -> None:
        self.lease_name, self.ttl = lease_name, ttl
        self.name = f"{name}~{random.getrandbits(64):016x}"
        if not machine.valid_name(lease_name, 128) or not machine.valid_name(self.name, 128):
            raise ValueError("a lease's name has 1 to 128 printable characters, a holder's 1 to 111")
        if not machine.MIN_TTL <= ttl <= machine.MAX_TTL:
            raise ValueError(f"a time to live of {ttl} ns; it is 1 s to 1 h")
        self.state = HolderState.IDLE
        self.token: int | None = None  # of the lease that is held or to be released
        self.until = 0  # end of the time for writes under it
        self._random = random
        self._next_transition_at: int | None = None
        self._pending_requests: dict[int, PendingRequest] = {}  # newest last
        self._request_count = 0
        self._awaited_request = 0  # the request that was sent when this state was entered
        self._actions: list[Action] = []

    def valid_token(self, now: int) -> int | None:
        """The token to write under, valid at this moment only."""
        return self.token if TRAITS[self.state].may_act and now < self.until else None

    @property
    def next_at(self) -> int | None:
        """When a `Tick` is due; None: no time."""
        at = self._next_transition_at
        return at if at is None or not TRAITS[self.state].may_act else min(at, self.until)

    def step(self, now: int, event: Event) -> list[Action]:
        """Handles one event; returns the resulting actions in order."""
        self._actions = []
        if TRAITS[self.state].may_act and now >= self.until:
            # before anything else, as no response can extend an expired lease
            self._transition(now, Transition.EXPIRED)
        if isinstance(event, LeaseWanted):
            self._transition(now, Transition.WANTED)
        elif isinstance(event, LeaseUnwanted):
            self._transition(now, Transition.UNWANTED)
        elif isinstance(event, ResponseReceived):
            self._on_response(now, event)
        on_timeout = TRAITS[self.state].on_timeout
        if on_timeout is not None and self._next_transition_at is not None and now >= self._next_transition_at:
            self._transition(now, on_timeout)
        return self._actions

    def _on_response(self, now: int, answer: ResponseReceived) -> None:
        request, result = self._pending_requests.pop(answer.request_id, None), answer.result
        if request is None:
            return
        current = answer.request_id == self._awaited_request
        until = request.sent + self.ttl - margin(self.ttl)
        if isinstance(request.operation, AcquireLease):
            if not current or self.state is not HolderState.ACQUIRING:
                if isinstance(result, Ok):
                    # the request was given up meanwhile
                    self._send(now, ReleaseLease(self.lease_name, self.name, result.value))
            elif isinstance(result, Ok):
                self.token, self.until = result.value, until
                self._transition(now, Transition.GRANTED if now < until else Transition.STALE_GRANT, request.sent)
            elif isinstance(result, LeaseHeld) and result.holder == self.name:
                self.token = result.token
                self._transition(now, Transition.STALE_GRANT)
            else:
                self._transition(now, Transition.UNKNOWN if result is None else Transition.REJECTED)
        elif isinstance(request.operation, RenewLease):
            if not TRAITS[self.state].may_act or request.operation.token != self.token:
                return
            if isinstance(result, Ok):
                self.until = max(self.until, until)
                self._transition(now, Transition.RENEWED, request.sent)
            elif isinstance(result, LeaseNotHeld | StaleToken):
                self._transition(now, Transition.LOST)
            elif current:
                self._transition(now, Transition.UNKNOWN)
        elif current:
            self._transition(now, Transition.RELEASED)

    def _transition(self, now: int, transition: Transition, sent: int | None = None) -> None:
        """Makes a transition, with the actions for leaving and entering a state. `sent`: when the request was sent that
        got a lease.
        """
        old_state, new_state = self.state, TRANSITIONS.get((self.state, transition))
        if new_state is None:
            return
        old_traits, traits = TRAITS[old_state], TRAITS[new_state]
        self.state = new_state
        if old_traits.may_act and not traits.may_act and self.token is not None:
            self._actions.append(TaskStopped(self.token))
        if traits.may_act and not old_traits.may_act and self.token is not None:
            self._actions.append(TaskStarted(self.token))
        shortest, longest = traits.timeout_range
        timeout = self.ttl * shortest // 24 + self._random.randrange(self.ttl * (longest - shortest) // 24 + 1)
        self._next_transition_at = None if traits.on_timeout is None else now + timeout
        if transition is Transition.WANTED and new_state is HolderState.FREE:
            self._next_transition_at = now
        elif sent is not None and traits.may_act:
            self._next_transition_at = sent + self.ttl // 3
        if traits.operation is AcquireLease:
            self._awaited_request = self._send(now, AcquireLease(self.lease_name, self.name, self.ttl))
        elif traits.operation is not None and self.token is not None:
            self._awaited_request = self._send(now, traits.operation(self.lease_name, self.name, self.token))
        if not traits.may_act and traits.operation is not ReleaseLease:
            self.token = None

    def _send(self, now: int, operation: AcquireLease | RenewLease | ReleaseLease) -> int:
        self._request_count += 1
        self._pending_requests[self._request_count] = PendingRequest(operation, now)
        while len(self._pending_requests) > MAX_PENDING_REQUESTS:
            del self._pending_requests[next(iter(self._pending_requests))]
        self._actions.append(SendOperation(self._request_count, operation))
        return self._request_count
