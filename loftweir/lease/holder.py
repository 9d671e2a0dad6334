"""The holder's side of a lease, as a table of states and steps. Pure: times and a seeded `Random` come in.

    IDLE --want--> FREE --due--> ASKING --granted--> HELD <--renewed / due--> RENEWING
    ASKING --refused, unknown--> FREE            HELD, RENEWING --up--> LAPSED --released--> FREE
    ASKING --mine--> LAPSED                      HELD, RENEWING --lost--> FREE
    each but IDLE --let go--> IDLE, by way of LEAVING where there is a lease to release

The holder may act until `sent + ttl - margin(ttl)` on its own clock, `sent` being read before the last request that was
answered OK left. `valid_token` is asked right before each act: a process that was stopped for long finds out by its clock,
whatever it believed. The clock must go on while the process is stopped and the host sleeps (CLOCK_BOOTTIME).

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
from loftweir.replication.machine import Acquire, AnyResult, Held, Lower, NotHeld, Ok, Release, Renew

DRIFT = 5  # per cent, either way, of a clock against true time
FIXED = 50_000_000  # ns
ASKS = 64  # requests whose answers are still awaited, at most; older ones count as unknown


def margin(ttl: int) -> int:
    return -(-ttl * 2 * DRIFT // (100 + DRIFT)) + FIXED


# ---- events and actions -------------------------------------------------------------------------


class Tick(NamedTuple):
    """The time that `next_at` named has come, or any other."""


class Want(NamedTuple):
    """The duty is wanted from now on."""


class LetGo(NamedTuple):
    """... and from now on no more."""


class Answer(NamedTuple):
    """What came of a `Send`. None: it is not known, and may happen yet."""

    ask: int
    result: AnyResult | None


Event = Tick | Want | LetGo | Answer


class Send(NamedTuple):
    """An order for the copies, sent under one session and number however often it is sent again. One `Answer`."""

    ask: int
    act: Acquire | Renew | Release


class Begin(NamedTuple):
    """From now on acts under this token are allowed, each after `valid_token`."""

    token: int


class Stop(NamedTuple):
    """None more are, under this token. A `Release` comes after it, never before."""

    token: int


Action = Send | Begin | Stop


# ---- the table ----------------------------------------------------------------------------------


class Step(Enum):
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


class Traits(NamedTuple):
    """What holds in a state."""

    acts: bool  # `valid_token` may say yes
    sends: type[Acquire | Renew | Release] | None  # as it is entered
    late: Step | None  # what it means that its time (`_at`) is here
    wait: tuple[int, int]  # that time, from its entry: at least and at most, in 24ths of the time to live


class State(Enum):
    IDLE = "idle"
    FREE = "free"
    ASKING = "asking"
    HELD = "held"
    RENEWING = "renewing"
    LAPSED = "lapsed"
    LEAVING = "leaving"


TRAITS = {
    State.IDLE: Traits(False, None, None, (0, 0)),
    State.FREE: Traits(False, None, Step.DUE, (2, 6)),  # at random: others ask too
    State.ASKING: Traits(False, Acquire, Step.UNKNOWN, (24, 24)),
    State.HELD: Traits(True, None, Step.DUE, (2, 4)),  # after a renewal without an answer; after one with: a third
    State.RENEWING: Traits(True, Renew, Step.UNKNOWN, (4, 4)),
    State.LAPSED: Traits(False, Release, Step.UNKNOWN, (6, 6)),
    State.LEAVING: Traits(False, Release, Step.UNKNOWN, (6, 6)),
}

# What is not named here changes nothing.
TABLE: dict[tuple[State, Step], State] = {
    (State.IDLE, Step.WANT): State.FREE,
    (State.FREE, Step.DUE): State.ASKING,
    (State.FREE, Step.LET_GO): State.IDLE,
    (State.ASKING, Step.GRANTED): State.HELD,
    (State.ASKING, Step.REFUSED): State.FREE,
    (State.ASKING, Step.UNKNOWN): State.FREE,
    (State.ASKING, Step.MINE): State.LAPSED,
    (State.ASKING, Step.LET_GO): State.IDLE,
    (State.HELD, Step.DUE): State.RENEWING,
    (State.HELD, Step.RENEWED): State.HELD,
    (State.HELD, Step.UP): State.LAPSED,
    (State.HELD, Step.LOST): State.FREE,
    (State.HELD, Step.LET_GO): State.LEAVING,
    (State.RENEWING, Step.RENEWED): State.HELD,
    (State.RENEWING, Step.UNKNOWN): State.HELD,
    (State.RENEWING, Step.UP): State.LAPSED,
    (State.RENEWING, Step.LOST): State.FREE,
    (State.RENEWING, Step.LET_GO): State.LEAVING,
    (State.LAPSED, Step.RELEASED): State.FREE,
    (State.LAPSED, Step.UNKNOWN): State.FREE,
    (State.LAPSED, Step.LET_GO): State.LEAVING,
    (State.LEAVING, Step.RELEASED): State.IDLE,
    (State.LEAVING, Step.UNKNOWN): State.IDLE,
    (State.LEAVING, Step.WANT): State.LAPSED,
}


class Asked(NamedTuple):
    act: Acquire | Renew | Release
    sent: int


class Holder:
    """One process's part in one duty. Raises ValueError for a name or a time that the copies would refuse."""

    def __init__(self, duty: str, name: str, ttl: int, random: Random) -> None:
        self.duty, self.ttl = duty, ttl
        self.name = f"{name}~{random.getrandbits(64):016x}"
        if not machine.fit(duty, 128) or not machine.fit(self.name, 128):
            raise ValueError("a duty's name has 1 to 128 printable characters, a holder's 1 to 111")
        if not machine.TTL_LEAST <= ttl <= machine.TTL_MOST:
            raise ValueError(f"a time to live of {ttl} ns; it is 1 s to 1 h")
        self.state = State.IDLE
        self.token: int | None = None  # of the lease held, or to be released
        self.until = 0  # the end of acting under it
        self._random = random
        self._at: int | None = None
        self._asks: dict[int, Asked] = {}  # the newest last
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
            self._take(now, Step.UP)  # first of all: no answer saves what has lapsed
        if isinstance(event, Want):
            self._take(now, Step.WANT)
        elif isinstance(event, LetGo):
            self._take(now, Step.LET_GO)
        elif isinstance(event, Answer):
            self._answered(now, event)
        late = TRAITS[self.state].late
        if late is not None and self._at is not None and now >= self._at:
            self._take(now, late)
        return self._actions

    def _answered(self, now: int, answer: Answer) -> None:
        asked, result = self._asks.pop(answer.ask, None), answer.result
        if asked is None:
            return
        current = answer.ask == self._waits
        until = asked.sent + self.ttl - margin(self.ttl)
        if isinstance(asked.act, Acquire):
            if not current or self.state is not State.ASKING:
                if isinstance(result, Ok):
                    self._send(now, Release(self.duty, self.name, result.value))  # not waited for any more
            elif isinstance(result, Ok):
                self.token, self.until = result.value, until
                self._take(now, Step.GRANTED if now < until else Step.MINE, asked.sent)
            elif isinstance(result, Held) and result.holder == self.name:
                self.token = result.token
                self._take(now, Step.MINE)
            else:
                self._take(now, Step.UNKNOWN if result is None else Step.REFUSED)
        elif isinstance(asked.act, Renew):
            if not TRAITS[self.state].acts or asked.act.token != self.token:
                return
            if isinstance(result, Ok):
                self.until = max(self.until, until)
                self._take(now, Step.RENEWED, asked.sent)
            elif isinstance(result, NotHeld | Lower):
                self._take(now, Step.LOST)
            elif current:
                self._take(now, Step.UNKNOWN)
        elif current:
            self._take(now, Step.RELEASED)

    def _take(self, now: int, step: Step, sent: int | None = None) -> None:
        """A step, with what leaving and entering means. `sent`: of the request that was answered with a lease."""
        before, after = self.state, TABLE.get((self.state, step))
        if after is None:
            return
        was, traits = TRAITS[before], TRAITS[after]
        self.state = after
        if was.acts and not traits.acts and self.token is not None:
            self._actions.append(Stop(self.token))
        if traits.acts and not was.acts and self.token is not None:
            self._actions.append(Begin(self.token))
        least, most = traits.wait
        wait = self.ttl * least // 24 + self._random.randrange(self.ttl * (most - least) // 24 + 1)
        self._at = None if traits.late is None else now + wait
        if step is Step.WANT and after is State.FREE:
            self._at = now
        elif sent is not None and traits.acts:
            self._at = sent + self.ttl // 3
        if traits.sends is Acquire:
            self._waits = self._send(now, Acquire(self.duty, self.name, self.ttl))
        elif traits.sends is not None and self.token is not None:
            self._waits = self._send(now, traits.sends(self.duty, self.name, self.token))
        if not traits.acts and traits.sends is not Release:
            self.token = None

    def _send(self, now: int, act: Acquire | Renew | Release) -> int:
        self._count += 1
        self._asks[self._count] = Asked(act, now)
        while len(self._asks) > ASKS:
            del self._asks[next(iter(self._asks))]
        self._actions.append(Send(self._count, act))
        return self._count
