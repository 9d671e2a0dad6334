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

    ask: int
    result: AnyResult | None


Event = Tick | LeaseWanted | LeaseUnwanted | ResponseReceived


class SendOperation(NamedTuple):
    """An order for the copies, sent under one session and number however often it is sent again. One `Answer`."""

    ask: int
    act: AcquireLease | RenewLease | ReleaseLease


class TaskStarted(NamedTuple):
    """From now on acts under this token are allowed, each after `valid_token`."""

    token: int


class TaskStopped(NamedTuple):
    """None more are, under this token. A `Release` comes after it, never before."""

    token: int


Action = SendOperation | TaskStarted | TaskStopped


# ---- the table ----------------------------------------------------------------------------------


class Transition(Enum):
    WANT = "want"
    LET_GO = "let_go"
    DUE = "due"  # time to ask, or to renew
    GRANTED = "granted"
    REFUSED = "refused"
    MINE = "mine"  # a lease under this holder's name that it may not act on: it came too late, or its answer was lost
    RENEWED = "renewed"
    LOST = "lost"  # another token is in force, or none
    RELEASED = "released"
    UNKNOWN = "unknown"  # no answer, or none that says what holds
    UP = "up"  # `until` is here


class StateTraits(NamedTuple):
    """What holds in a state."""

    acts: bool  # `valid_token` may say yes
    sends: type[AcquireLease | RenewLease | ReleaseLease] | None  # as it is entered
    late: Transition | None  # what it means that its time (`_at`) is here
    wait: tuple[int, int]  # that time, from its entry: at least and at most, in 24ths of the time to live


class HolderState(Enum):
    IDLE = "idle"
    FREE = "free"
    ASKING = "asking"
    HELD = "held"
    RENEWING = "renewing"
    LAPSED = "lapsed"
    LEAVING = "leaving"


TRAITS = {
    HolderState.IDLE: StateTraits(False, None, None, (0, 0)),
    HolderState.FREE: StateTraits(False, None, Transition.DUE, (2, 6)),  # at random: others ask too
    HolderState.ASKING: StateTraits(False, AcquireLease, Transition.UNKNOWN, (24, 24)),
    HolderState.HELD: StateTraits(
        True, None, Transition.DUE, (2, 4)
    ),  # after a renewal without an answer; after one with: a third
    HolderState.RENEWING: StateTraits(True, RenewLease, Transition.UNKNOWN, (4, 4)),
    HolderState.LAPSED: StateTraits(False, ReleaseLease, Transition.UNKNOWN, (6, 6)),
    HolderState.LEAVING: StateTraits(False, ReleaseLease, Transition.UNKNOWN, (6, 6)),
}

# What is not named here changes nothing.
TRANSITIONS: dict[tuple[HolderState, Transition], HolderState] = {
    (HolderState.IDLE, Transition.WANT): HolderState.FREE,
    (HolderState.FREE, Transition.DUE): HolderState.ASKING,
    (HolderState.FREE, Transition.LET_GO): HolderState.IDLE,
    (HolderState.ASKING, Transition.GRANTED): HolderState.HELD,
    (HolderState.ASKING, Transition.REFUSED): HolderState.FREE,
    (HolderState.ASKING, Transition.UNKNOWN): HolderState.FREE,
    (HolderState.ASKING, Transition.MINE): HolderState.LAPSED,
    (HolderState.ASKING, Transition.LET_GO): HolderState.IDLE,
    (HolderState.HELD, Transition.DUE): HolderState.RENEWING,
    (HolderState.HELD, Transition.RENEWED): HolderState.HELD,
    (HolderState.HELD, Transition.UP): HolderState.LAPSED,
    (HolderState.HELD, Transition.LOST): HolderState.FREE,
    (HolderState.HELD, Transition.LET_GO): HolderState.LEAVING,
    (HolderState.RENEWING, Transition.RENEWED): HolderState.HELD,
    (HolderState.RENEWING, Transition.UNKNOWN): HolderState.HELD,
    (HolderState.RENEWING, Transition.UP): HolderState.LAPSED,
    (HolderState.RENEWING, Transition.LOST): HolderState.FREE,
    (HolderState.RENEWING, Transition.LET_GO): HolderState.LEAVING,
    (HolderState.LAPSED, Transition.RELEASED): HolderState.FREE,
    (HolderState.LAPSED, Transition.UNKNOWN): HolderState.FREE,
    (HolderState.LAPSED, Transition.LET_GO): HolderState.LEAVING,
    (HolderState.LEAVING, Transition.RELEASED): HolderState.IDLE,
    (HolderState.LEAVING, Transition.UNKNOWN): HolderState.IDLE,
    (HolderState.LEAVING, Transition.WANT): HolderState.LAPSED,
}


class PendingRequest(NamedTuple):
    act: AcquireLease | RenewLease | ReleaseLease
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
        self._at: int | None = None
        self._asks: dict[int, PendingRequest] = {}  # the newest last
        self._count = 0
        self._waits = 0  # the request that this state was entered with
        self._actions: list[Action] = []

    def valid_token(self, now: int) -> int | None:
        """The token to act under, at this moment only."""
        return self.token if TRAITS[self.state].acts and now < self.until else None

    @property
    def next_at(self) -> int | None:
        """When a `Tick` is wanted."""
        return self._at if self._at is None or not TRAITS[self.state].acts else min(self._at, self.until)

    def step(self, now: int, event: Event) -> list[Action]:
        """What is to be done now, in order."""
        self._actions = []
        if TRAITS[self.state].acts and now >= self.until:
            self._take(now, Transition.UP)  # first of all: no answer saves what has lapsed
        if isinstance(event, LeaseWanted):
            self._take(now, Transition.WANT)
        elif isinstance(event, LeaseUnwanted):
            self._take(now, Transition.LET_GO)
        elif isinstance(event, ResponseReceived):
            self._answered(now, event)
        late = TRAITS[self.state].late
        if late is not None and self._at is not None and now >= self._at:
            self._take(now, late)
        return self._actions

    def _answered(self, now: int, answer: ResponseReceived) -> None:
        asked, result = self._asks.pop(answer.ask, None), answer.result
        if asked is None:
            return
        current = answer.ask == self._waits
        until = asked.sent + self.ttl - margin(self.ttl)
        if isinstance(asked.act, AcquireLease):
            if not current or self.state is not HolderState.ASKING:
                if isinstance(result, Ok):
                    self._send(now, ReleaseLease(self.duty, self.name, result.value))  # not waited for any more
            elif isinstance(result, Ok):
                self.token, self.until = result.value, until
                self._take(now, Transition.GRANTED if now < until else Transition.MINE, asked.sent)
            elif isinstance(result, LeaseHeld) and result.holder == self.name:
                self.token = result.token
                self._take(now, Transition.MINE)
            else:
                self._take(now, Transition.UNKNOWN if result is None else Transition.REFUSED)
        elif isinstance(asked.act, RenewLease):
            if not TRAITS[self.state].acts or asked.act.token != self.token:
                return
            if isinstance(result, Ok):
                self.until = max(self.until, until)
                self._take(now, Transition.RENEWED, asked.sent)
            elif isinstance(result, LeaseNotHeld | StaleToken):
                self._take(now, Transition.LOST)
            elif current:
                self._take(now, Transition.UNKNOWN)
        elif current:
            self._take(now, Transition.RELEASED)

    def _take(self, now: int, step: Transition, sent: int | None = None) -> None:
        """A step, with what leaving and entering means. `sent`: of the request that was answered with a lease."""
        before, after = self.state, TRANSITIONS.get((self.state, step))
        if after is None:
            return
        was, traits = TRAITS[before], TRAITS[after]
        self.state = after
        if was.acts and not traits.acts and self.token is not None:
            self._actions.append(TaskStopped(self.token))
        if traits.acts and not was.acts and self.token is not None:
            self._actions.append(TaskStarted(self.token))
        least, most = traits.wait
        wait = self.ttl * least // 24 + self._random.randrange(self.ttl * (most - least) // 24 + 1)
        self._at = None if traits.late is None else now + wait
        if step is Transition.WANT and after is HolderState.FREE:
            self._at = now
        elif sent is not None and traits.acts:
            self._at = sent + self.ttl // 3
        if traits.sends is AcquireLease:
            self._waits = self._send(now, AcquireLease(self.duty, self.name, self.ttl))
        elif traits.sends is not None and self.token is not None:
            self._waits = self._send(now, traits.sends(self.duty, self.name, self.token))
        if not traits.acts and traits.sends is not ReleaseLease:
            self.token = None

    def _send(self, now: int, act: AcquireLease | RenewLease | ReleaseLease) -> int:
        self._count += 1
        self._asks[self._count] = PendingRequest(act, now)
        while len(self._asks) > MAX_PENDING_REQUESTS:
            del self._asks[next(iter(self._asks))]
        self._actions.append(SendOperation(self._count, act))
        return self._count
