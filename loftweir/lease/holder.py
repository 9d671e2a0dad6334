"""The holder's side of a lease, as a table of states and steps. Pure: times and a seeded `Random` come in.

    IDLE --want--> FREE --due--> ASKING --granted--> HELD <--renewed / due--> RENEWING
    ASKING --refused, unknown--> FREE            HELD, RENEWING --up--> LAPSED --released--> FREE
    ASKING --mine--> LAPSED                      HELD, RENEWING --lost--> FREE
    each but IDLE --let go--> IDLE, by way of LEAVING where there is a lease to release

The holder may act until `sent + ttl - margin(ttl)` on its own clock, `sent` being read before the last request that was
answered OK left. `valid_token` is asked right before each act: a process that was stopped for long finds out by its
clock, whatever it believed. The clock must go on while the process is stopped and the host sleeps (CLOCK_BOOTTIME).

The margin. Let clocks go at 1 - d to 1 + d of true time, d = 5 %. A request leaves at true time s, so the leader that
applies it, or a later leader, begins to count at s or later, and ends the lease no earlier than s + ttl / (1 + d). The
holder stops by its clock at the latest at true time s + (ttl - m) / (1 - d). It stops first if

    m >= ttl * (1 - (1 - d) / (1 + d)) = ttl * 2 d / (1 + d)

and to this 50 ms are added, for the way from `valid_token` to the act itself. What is later still (a process stopped
between the two, a packet under way) is what the fencing token is for: the act is refused where it arrives.

Invariants:

- It acts in HELD and RENEWING only, under `token`, and before `until`.
- A lapse ends a token for good: it is released and never taken up again, whatever late answers say. Nor is a lease
  taken up that was granted by an answer that came too late or never: it is released, and the duty asked for anew.
- Its name at the copies holds 64 random bits: it is of this life of this process. Another process can't be taken for
  it, nor it for one before.
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

MAX_DRIFT_PERCENT = 5  # per cent, either way, of a clock against true time
FIXED_MARGIN = 50_000_000  # ns
MAX_PENDING_REQUESTS = 64  # requests whose answers are still awaited, at most; older ones count as unknown


def margin(ttl: int) -> int:
    return -(-ttl * 2 * MAX_DRIFT_PERCENT // (100 + MAX_DRIFT_PERCENT)) + FIXED_MARGIN


# ---- events and actions -------------------------------------------------------------------------


class Tick(NamedTuple):
    """The time that `next_at` named has come, or any other."""


class LeaseWanted(NamedTuple):
    """The duty is wanted from now on."""


class LeaseUnwanted(NamedTuple):
    """... and from now on no more."""


class ResponseReceived(NamedTuple):
    """What came of a `Send`. None: it is not known, and may happen yet."""

    request_id: int
    result: AnyResult | None


Event = Tick | LeaseWanted | LeaseUnwanted | ResponseReceived


class SendOperation(NamedTuple):
    """An order for the copies, sent under one session and number however often it is sent again. One `Answer`."""

    request_id: int
    operation: AcquireLease | RenewLease | ReleaseLease


class TaskStarted(NamedTuple):
    """From now on acts under this token are allowed, each after `valid_token`."""

    token: int


class TaskStopped(NamedTuple):
    """None more are, under this token. A `Release` comes after it, never before."""

    token: int


Action = SendOperation | TaskStarted | TaskStopped


# ---- the table ----------------------------------------------------------------------------------


class Transition(Enum):
    WANTED = "want"
    UNWANTED = "let_go"
    DUE = "due"  # time to ask, or to renew
    GRANTED = "granted"
    REJECTED = "refused"
    STALE_GRANT = (
        "mine"  # a lease under this holder's name that it may not act on: it came too late, or its answer was lost
    )
    RENEWED = "renewed"
    LOST = "lost"  # another token is in force, or none
    RELEASED = "released"
    UNKNOWN = "unknown"  # no answer, or none that says what holds
    EXPIRED = "up"  # `until` is here


class StateTraits(NamedTuple):
    """What holds in a state."""

    may_act: bool  # `valid_token` may say yes
    operation: type[AcquireLease | RenewLease | ReleaseLease] | None  # as it is entered
    on_timeout: Transition | None  # what it means that its time (`_at`) is here
    timeout_range: tuple[int, int]  # that time, from its entry: at least and at most, in 24ths of the time to live


class HolderState(Enum):
    IDLE = "idle"
    FREE = "free"
    ACQUIRING = "asking"
    HELD = "held"
    RENEWING = "renewing"
    LAPSED = "lapsed"
    RELEASING = "leaving"


TRAITS = {
    HolderState.IDLE: StateTraits(False, None, None, (0, 0)),
    HolderState.FREE: StateTraits(False, None, Transition.DUE, (2, 6)),  # at random: others ask too
    HolderState.ACQUIRING: StateTraits(False, AcquireLease, Transition.UNKNOWN, (24, 24)),
    HolderState.HELD: StateTraits(
        True, None, Transition.DUE, (2, 4)
    ),  # after a renewal without an answer; after one with: a third
    HolderState.RENEWING: StateTraits(True, RenewLease, Transition.UNKNOWN, (4, 4)),
    HolderState.LAPSED: StateTraits(False, ReleaseLease, Transition.UNKNOWN, (6, 6)),
    HolderState.RELEASING: StateTraits(False, ReleaseLease, Transition.UNKNOWN, (6, 6)),
}

# What is not named here changes nothing.
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
    operation: AcquireLease | RenewLease | ReleaseLease
    sent: int


class LeaseHolder:
    """One process's part in one duty. Raises ValueError for a name or a time that the copies would refuse."""

    def __init__(self, duty: str, name: str, ttl: int, random: Random) -> None:
        self.duty, self.ttl = duty, ttl
        self.name = f"{name}~{random.getrandbits(64):016x}"
        if not machine.valid_name(duty, 128) or not machine.valid_name(self.name, 128):
            raise ValueError("a duty's name has 1 to 128 printable characters, a holder's 1 to 111")
        if not machine.MIN_TTL <= ttl <= machine.MAX_TTL:
            raise ValueError(f"a time to live of {ttl} ns; it is 1 s to 1 h")
        self.state = HolderState.IDLE
        self.token: int | None = None  # of the lease held, or to be released
        self.until = 0  # the end of acting under it
        self._random = random
        self._next_transition_at: int | None = None
        self._pending_requests: dict[int, PendingRequest] = {}  # the newest last
        self._request_count = 0
        self._awaited_request = 0  # the request that this state was entered with
        self._actions: list[Action] = []

    def valid_token(self, now: int) -> int | None:
        """The token to act under, at this moment only."""
        return self.token if TRAITS[self.state].may_act and now < self.until else None

    @property
    def next_at(self) -> int | None:
        """When a `Tick` is wanted."""
        return (
            self._next_transition_at
            if self._next_transition_at is None or not TRAITS[self.state].may_act
            else min(self._next_transition_at, self.until)
        )

    def step(self, now: int, event: Event) -> list[Action]:
        """What is to be done now, in order."""
        self._actions = []
        if TRAITS[self.state].may_act and now >= self.until:
            self._transition(now, Transition.EXPIRED)  # first of all: no answer saves what has lapsed
        if isinstance(event, LeaseWanted):
            self._transition(now, Transition.WANTED)
        elif isinstance(event, LeaseUnwanted):
            self._transition(now, Transition.UNWANTED)
        elif isinstance(event, ResponseReceived):
            self._on_response(now, event)
        late = TRAITS[self.state].on_timeout
        if late is not None and self._next_transition_at is not None and now >= self._next_transition_at:
            self._transition(now, late)
        return self._actions

    def _on_response(self, now: int, answer: ResponseReceived) -> None:
        asked, result = self._pending_requests.pop(answer.request_id, None), answer.result
        if asked is None:
            return
        current = answer.request_id == self._awaited_request
        until = asked.sent + self.ttl - margin(self.ttl)
        if isinstance(asked.operation, AcquireLease):
            if not current or self.state is not HolderState.ACQUIRING:
                if isinstance(result, Ok):
                    self._send(now, ReleaseLease(self.duty, self.name, result.value))  # not waited for any more
            elif isinstance(result, Ok):
                self.token, self.until = result.value, until
                self._transition(now, Transition.GRANTED if now < until else Transition.STALE_GRANT, asked.sent)
            elif isinstance(result, LeaseHeld) and result.holder == self.name:
                self.token = result.token
                self._transition(now, Transition.STALE_GRANT)
            else:
                self._transition(now, Transition.UNKNOWN if result is None else Transition.REJECTED)
        elif isinstance(asked.operation, RenewLease):
            if not TRAITS[self.state].may_act or asked.operation.token != self.token:
                return
            if isinstance(result, Ok):
                self.until = max(self.until, until)
                self._transition(now, Transition.RENEWED, asked.sent)
            elif isinstance(result, LeaseNotHeld | StaleToken):
                self._transition(now, Transition.LOST)
            elif current:
                self._transition(now, Transition.UNKNOWN)
        elif current:
            self._transition(now, Transition.RELEASED)

    def _transition(self, now: int, step: Transition, sent: int | None = None) -> None:
        """A step, with what leaving and entering means. `sent`: of the request that was answered with a lease."""
        before, after = self.state, TRANSITIONS.get((self.state, step))
        if after is None:
            return
        was, traits = TRAITS[before], TRAITS[after]
        self.state = after
        if was.may_act and not traits.may_act and self.token is not None:
            self._actions.append(TaskStopped(self.token))
        if traits.may_act and not was.may_act and self.token is not None:
            self._actions.append(TaskStarted(self.token))
        least, most = traits.timeout_range
        wait = self.ttl * least // 24 + self._random.randrange(self.ttl * (most - least) // 24 + 1)
        self._next_transition_at = None if traits.on_timeout is None else now + wait
        if step is Transition.WANTED and after is HolderState.FREE:
            self._next_transition_at = now
        elif sent is not None and traits.may_act:
            self._next_transition_at = sent + self.ttl // 3
        if traits.operation is AcquireLease:
            self._awaited_request = self._send(now, AcquireLease(self.duty, self.name, self.ttl))
        elif traits.operation is not None and self.token is not None:
            self._awaited_request = self._send(now, traits.operation(self.duty, self.name, self.token))
        if not traits.may_act and traits.operation is not ReleaseLease:
            self.token = None

    def _send(self, now: int, act: AcquireLease | RenewLease | ReleaseLease) -> int:
        self._request_count += 1
        self._pending_requests[self._request_count] = PendingRequest(act, now)
        while len(self._pending_requests) > MAX_PENDING_REQUESTS:
            del self._pending_requests[next(iter(self._pending_requests))]
        self._actions.append(SendOperation(self._request_count, act))
        return self._request_count
