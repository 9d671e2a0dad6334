"""The session with one partner, as tables of states: asking it, holding what it told, letting go. No I/O, no clock.

    DOWN --start--> ASKING --answered--> HOLDING --hold over--> STALE --gone over--> GONE
    STALE and GONE --answered--> HOLDING          ASKING --hold over--> GONE          DOWN --resume--> HOLDING
    each of these --suppress--> DAMPED --reuse--> ASKING             each --stop--> DOWN

A call waits at the partner as a watch of the platform's list does, and its silence is found out by the same clock
(`loftweir/listclock.py`): past its wait and `silent_after` it is given up and asked anew at once without a wait,
`FRESH_CALLS` times, before the calls come apart.

Invariants:
 1. Only a good answer to a call of this life confirms: a fault, a silence or an old table confirms nothing, so that a
    partner whose tables are all bad is stale after `hold` and gone after `gone` more, like a silent one.
 2. `Timing` lets the calls after a silent one end within `hold`: one lost answer makes nothing stale.
 3. What was away (not held, gone, damped) comes back by `ramp`, from `ramp_from` to the whole within `ramp_within`.
 4. Nothing of another partner is read or written here.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import msgspec

from loftweir import listclock
from loftweir.interface import SettingFault, SettingsError
from loftweir.partners.merge import Held, Standing
from loftweir.partners.table import LIMITS, BadTable, Fault, Limits, OldTable, Table, read, taken

MS, SECOND = 1_000_000, 1_000_000_000
FLAP = 1000.0  # the penalty of one (RFC 2439, section 4.2, counts a withdrawal so)


class Traits(NamedTuple):
    """What holds in a state."""

    standing: Standing
    away: bool  # from it, HOLDING is entered by the ramp


class State(Enum):
    DOWN = "down"
    ASKING = "asking"
    HOLDING = "holding"
    STALE = "stale"
    GONE = "gone"
    DAMPED = "damped"


TRAITS = {
    State.DOWN: Traits(Standing.GONE, away=True),
    State.ASKING: Traits(Standing.GONE, away=True),
    State.HOLDING: Traits(Standing.FRESH, away=False),
    State.STALE: Traits(Standing.STALE, away=False),
    State.GONE: Traits(Standing.GONE, away=True),
    State.DAMPED: Traits(Standing.GONE, away=True),
}


class Step(Enum):
    START = "start"
    RESUME = "resume"  # with a table that the copies hold
    ANSWERED = "answered"
    HOLD_OVER = "hold over"
    GONE_OVER = "gone over"
    SUPPRESS = "suppress"
    REUSE = "reuse"
    STOP = "stop"


# What is not named here changes nothing.
TABLE: dict[tuple[State, Step], State] = {
    (State.DOWN, Step.START): State.ASKING,
    (State.DOWN, Step.RESUME): State.HOLDING,
    (State.ASKING, Step.ANSWERED): State.HOLDING,
    (State.STALE, Step.ANSWERED): State.HOLDING,
    (State.GONE, Step.ANSWERED): State.HOLDING,
    (State.HOLDING, Step.HOLD_OVER): State.STALE,
    (State.ASKING, Step.HOLD_OVER): State.GONE,
    (State.STALE, Step.GONE_OVER): State.GONE,
    (State.DAMPED, Step.REUSE): State.ASKING,
    **{(state, Step.SUPPRESS): State.DAMPED for state in (State.ASKING, State.HOLDING, State.STALE, State.GONE)},
    **{(state, Step.STOP): State.DOWN for state in State if state is not State.DOWN},
}


class Timing(msgspec.Struct, frozen=True):
    """Lengths in ns, but for the penalties. `SettingsError` names what does not go together."""

    wait: int = 5 * SECOND  # of a call at the partner, with no news
    silent_after: int = SECOND  # past its wait
    hold: int = 15 * SECOND  # with no good answer, until what is held is stale
    gone: int = 30 * SECOND  # of being stale
    apart: int = 100 * MS  # from an answer to the next call
    again: int = 500 * MS  # after a call that failed; doubles with each, a random part of it left out
    again_most: int = 5 * SECOND
    ramp_from: float = 0.05  # of what may be sent to one that comes back
    ramp_within: int = 30 * SECOND
    half: int = 60 * SECOND  # the penalty is half of it after this time
    suppress: float = 4000.0  # at this penalty a partner is damped (RFC 7196, section 6, asks for no less than 6000 of
    # a route's; here a flap is of all of a partner's routes, and has to last longer than `hold`)
    reuse: float = 1000.0
    damped_most: int = 300 * SECOND  # bounds the penalty (RFC 2439, section 4.2)

    @property
    def anew(self) -> int:
        """For the answer to each fresh call after a silent one."""
        left = self.hold - self.wait - self.silent_after
        return min(listclock.LONGEST_FRESH_TIMEOUT, left // listclock.FRESH_CALLS)

    @property
    def ceiling(self) -> float:
        return float(self.reuse * 2.0 ** (self.damped_most / self.half))

    def __post_init__(self) -> None:
        least = self.wait + self.silent_after + listclock.FRESH_CALLS * listclock.SHORTEST_FRESH_TIMEOUT
        faults = [
            SettingFault(f"partners.{name}", str(getattr(self, name)), "above 0")
            for name in ("wait", "silent_after", "hold", "gone", "apart", "again", "ramp_within", "half", "damped_most")
            if getattr(self, name) <= 0
        ]
        if self.hold < least:
            faults.append(SettingFault("partners.hold", str(self.hold), f"{least} or more: calls after a silent one"))
        if not 0 < self.ramp_from <= 1:
            faults.append(SettingFault("partners.ramp_from", str(self.ramp_from), "above 0 and at most 1"))
        if not 0 < self.reuse < self.suppress <= self.ceiling:
            faults.append(SettingFault("partners.suppress", str(self.suppress), "above reuse, and to be reached"))
        if faults:
            raise SettingsError(faults)


TIMING = Timing()


def ramp(held: Held, now: int, timing: Timing = TIMING) -> float:
    """The part of each of its routes' share or rate that may be sent to a partner now. Grows from when it came back."""
    if now >= held.back_at + timing.ramp_within:
        return 1.0
    return timing.ramp_from + (1 - timing.ramp_from) * max(0, now - held.back_at) / timing.ramp_within


def aged(held: Held, now: int, timing: Timing = TIMING) -> Held:
    """What the copies last said of a partner, as it stands now for one that follows them. It may be cut off from them:
    then what it holds ends by itself, as it would with the one that keeps the session."""
    if held.standing is Standing.FRESH and now >= held.confirmed_at + timing.hold:
        held = msgspec.structs.replace(held, standing=Standing.STALE, since=held.confirmed_at + timing.hold)
    if held.standing is Standing.STALE and now >= held.since + timing.gone:
        held = msgspec.structs.replace(held, standing=Standing.GONE, since=held.since + timing.gone)
    return held


# ---- actions, in order --------------------------------------------------------------------------


class Ask(NamedTuple):
    """Call the partner, giving up whatever call is under way. `answer` or `failed` with its number are to follow."""

    number: int
    to: str  # the mark of this question, which the answer has to bear
    after: tuple[int, int] | None  # epoch and index of what is held; None: the whole table
    wait: int  # ns that the partner may wait for news
    within: int  # ns for the answer


class Became(NamedTuple):
    """The state, the table or the time of the last confirmation is another: `Session.held` is to be merged, and to be
    written to the copies where `table` or `state` says so."""

    before: State
    table: bool


class Refused(NamedTuple):
    """An answer that was not taken; the last good table stays."""

    error: BadTable


class Failed(NamedTuple):
    """A call brought no answer."""

    why: str


Action = Ask | Became | Refused | Failed


class Session:
    """`step` and its like give the actions; `next_at` is when `tick` has something to do. Times are Unix time in ns,
    and given as never going back."""

    def __init__(
        self, partner: str, life: str, jitter: Callable[[], float], timing: Timing = TIMING, limits: Limits = LIMITS
    ) -> None:
        """`life`: made at random by whoever starts this; no other start has it. `jitter`: from 0 up to 1."""
        self.partner, self.life, self.jitter, self.timing, self.limits = partner, life, jitter, timing, limits
        self.state = State.DOWN
        self.since = 0  # of the state
        self.table: Table | None = None
        self.confirmed_at = 0
        self.back_at = 0  # when it last came back from being away
        self.number = 0
        self.asked: Ask | None = None  # under way
        self.until = 0  # of what is under way; else when the next is due
        self.fresh_calls = 0  # left after a silent one
        self.failures = 0  # in a row
        self.whole = False  # is asked for next, whatever is held
        self.penalty, self.penalty_at = 0.0, 0

    # ---- what holds -----------------------------------------------------------------------------

    @property
    def standing(self) -> Standing:
        return TRAITS[self.state].standing

    def held(self) -> Held:
        return Held(self.table, self.standing, self.since, self.confirmed_at, self.back_at)

    def penalty_now(self, now: int) -> float:
        return float(self.penalty * 0.5 ** ((now - self.penalty_at) / self.timing.half))

    @property
    def next_at(self) -> int | None:
        if self.state is State.DOWN:
            return None
        times = [self.until]
        if self.state is State.STALE:
            times.append(self.since + self.timing.gone)
        elif self.state in (State.HOLDING, State.ASKING):
            times.append(self._hold_over())
        return min(times)

    def _hold_over(self) -> int:
        return (self.confirmed_at if self.state is State.HOLDING else self.since) + self.timing.hold

    # ---- what happens ---------------------------------------------------------------------------

    def start(
        self, now: int, held: Held | None = None, penalty: tuple[float, int] = (0.0, 0), damped: bool = False
    ) -> list[Action]:
        """`held`: what the copies hold, where another sidecar had the lease. It is as old as it says: what it last
        confirmed counts on, not from now. `penalty`, with the time that it is of, and whether it damped the partner."""
        actions: list[Action] = []
        if held is not None and held.table is not None and held.standing is not Standing.GONE:
            self.table, self.confirmed_at = held.table, held.confirmed_at
            self._go(Step.RESUME, now, actions)
            self.since, self.back_at = min(now, held.since), held.back_at
        self._go(Step.START, now, actions)
        self.penalty, self.penalty_at = penalty
        if damped and self.penalty_now(now) >= self.timing.reuse:
            self._go(Step.SUPPRESS, now, actions)
        return [*actions, *self._ask(now, 0), *self.tick(now)]

    def stop(self, now: int) -> list[Action]:
        actions: list[Action] = []
        self._go(Step.STOP, now, actions)
        self.asked = None
        return actions

    def tick(self, now: int) -> list[Action]:
        """Time has gone on; harmless at any time."""
        actions: list[Action] = []
        timing = self.timing
        if self.state is State.DOWN:
            return actions
        if self.state in (State.HOLDING, State.ASKING) and now >= self._hold_over():
            held = self.state is State.HOLDING
            self._go(Step.HOLD_OVER, self._hold_over(), actions)
            if held:
                self._flap(now, actions)
        if self.state is State.STALE and now >= self.since + timing.gone:
            self._go(Step.GONE_OVER, self.since + timing.gone, actions)
        if self.state is State.DAMPED and self.penalty_now(now) < timing.reuse:
            self._go(Step.REUSE, now, actions)
            return actions + self._ask(now, 0)
        if now < self.until:
            return actions
        if self.asked is None:
            return actions + self._ask(now, timing.wait if self.failures == 0 else 0)
        silent = self.asked
        actions.append(Failed(f"silent for {(now - self.until + silent.within) // MS} ms"))
        if silent.wait or self.fresh_calls:
            self.fresh_calls = listclock.FRESH_CALLS - 1 if silent.wait else self.fresh_calls - 1
            return actions + self._ask(now, 0)
        self._later(now)
        return actions

    def failed(self, now: int, number: int, why: str) -> list[Action]:
        """The call with this number brought no answer, or none to its end."""
        if self.asked is None or number != self.asked.number:
            return []
        self._later(now)
        return [Failed(why), *self.tick(now)]

    def answer(self, now: int, number: int, data: bytes) -> list[Action]:
        """The whole body of an answer with status 200."""
        if self.asked is None or number != self.asked.number:
            return []
        asked = self.asked
        actions: list[Action] = []
        try:
            table = self._taken(data, asked)
        except BadTable as error:
            # Changes that do not add up follow another table than the one held: the whole one is asked for.
            self.whole = asked.after is not None and error.faults[0].place == "sum"
            self._later(now)
            return [Refused(error), *self.tick(now)]
        before = self.table
        self.table, self.confirmed_at = table, now
        self.asked, self.failures, self.fresh_calls = None, 0, 0
        self.until = now + self.timing.apart
        if not self._go(Step.ANSWERED, now, actions, table is not before):
            actions.append(Became(self.state, table is not before))
        if before is not None and before.epoch != table.epoch:
            self._flap(now, actions)
        return actions + self.tick(now)

    def _taken(self, data: bytes, asked: Ask) -> Table:
        told = read(data, self.partner, self.limits)
        if told.to != asked.to:
            raise OldTable(self.partner, [Fault("to", f"{asked.to}, the question that was asked")])
        return taken(self.table, told, self.limits)

    # ---- by what ---------------------------------------------------------------------------------

    def _ask(self, now: int, wait: int) -> list[Action]:
        self.number += 1
        within = wait + self.timing.silent_after if wait else self.timing.anew
        after = self.table.mark if self.table is not None and not self.whole else None
        self.whole = False
        self.asked = Ask(self.number, f"{self.life}.{self.number}", after, wait, within)
        self.until = now + within
        return [self.asked]

    def _later(self, now: int) -> None:
        """The next call comes after a while, longer with each failure, and not at one time with other sites'."""
        self.asked, self.fresh_calls = None, 0
        delay = min(self.timing.again_most, self.timing.again << min(self.failures, 16))
        self.failures += 1
        self.until = now + delay - int(delay * self.jitter() / 2)

    def _go(self, step: Step, now: int, actions: list[Action], table: bool = False) -> bool:
        before = self.state
        self.state = TABLE.get((before, step), before)
        if self.state is before:
            return False
        self.since = now
        if self.state is State.HOLDING and TRAITS[before].away:
            self.back_at = now
        if self.state is State.GONE:
            self.table = None  # and its mark: an epoch set back by the partner's loss of its disk is taken from here on
        actions.append(Became(before, table))
        return True

    def _flap(self, now: int, actions: list[Action]) -> None:
        """It fell silent for the hold time, or began anew. A bad table is none: the last good one stays its time."""
        self.penalty = min(self.timing.ceiling, self.penalty_now(now) + FLAP)
        self.penalty_at = now
        if self.penalty >= self.timing.suppress:
            self._go(Step.SUPPRESS, now, actions)
