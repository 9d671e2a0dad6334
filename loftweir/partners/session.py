"""The session with one partner as a state machine: when to send requests, and how long its last table stays valid.

No I/O and no clock.

    DOWN --start--> ASKING --answered--> HOLDING --hold over--> STALE --gone over--> GONE
    STALE and GONE --answered--> HOLDING          ASKING --hold over--> GONE          DOWN --resume--> HOLDING
    each of these --suppress--> DAMPED --reuse--> ASKING             each --stop--> DOWN

A request waits at the partner for changes (a long poll), like a watch of discovery's list, and its timeout follows the
same rules (`loftweir/listclock.py`). Once its wait and `silent_after` have passed it is given up and `FRESH_CALLS`
requests without a wait follow at once, before the usual backoff begins.

Invariants:
 1. Only a valid response to a request of this session instance confirms the table. A fault, a timeout or an old table
    confirms nothing, so that a partner that sends only invalid tables is stale after `hold` and gone after `gone` more,
    like one that does not respond.
 2. `Timing` lets the requests that follow a timeout end within `hold`, so that one lost response makes nothing stale.
 3. The traffic to a partner that returns from ASKING, GONE or DAMPED grows from `ramp_from` to all of it within
    `ramp_within` (`ramp_factor`).
 4. No data of another partner is read or written here.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import msgspec

from loftweir import listclock
from loftweir.interface import SettingFault, SettingsError
from loftweir.partners.merge import Freshness, PartnerState
from loftweir.partners.table import (
    DEFAULT_LIMITS,
    BadTable,
    Fault,
    Limits,
    OldTable,
    Table,
    apply_response,
    parse_response,
)

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
FLAP_PENALTY = 1000.0  # penalty of one flap (RFC 2439, section 4.2, adds as much for a withdrawal)


class StateTraits(NamedTuple):
    """Properties of a session state."""

    freshness: Freshness
    away: bool  # a change from this state to HOLDING restarts the ramp


class SessionState(Enum):
    """The state of a session."""

    DOWN = "down"
    ASKING = "asking"
    HOLDING = "holding"
    STALE = "stale"
    GONE = "gone"
    DAMPED = "damped"


STATE_TRAITS = {
    SessionState.DOWN: StateTraits(Freshness.GONE, away=True),
    SessionState.ASKING: StateTraits(Freshness.GONE, away=True),
    SessionState.HOLDING: StateTraits(Freshness.FRESH, away=False),
    SessionState.STALE: StateTraits(Freshness.STALE, away=False),
    SessionState.GONE: StateTraits(Freshness.GONE, away=True),
    SessionState.DAMPED: StateTraits(Freshness.GONE, away=True),
}


class SessionEvent(Enum):
    """An event that can change the state of a session."""

    START = "start"
    RESUME = "resume"  # start with a table from the replicated state
    ANSWERED = "answered"
    HOLD_OVER = "hold over"
    GONE_OVER = "gone over"
    SUPPRESS = "suppress"
    REUSE = "reuse"
    STOP = "stop"


# An event that is not listed for a state does not change it.
TRANSITIONS: dict[tuple[SessionState, SessionEvent], SessionState] = {
    (SessionState.DOWN, SessionEvent.START): SessionState.ASKING,
    (SessionState.DOWN, SessionEvent.RESUME): SessionState.HOLDING,
    (SessionState.ASKING, SessionEvent.ANSWERED): SessionState.HOLDING,
    (SessionState.STALE, SessionEvent.ANSWERED): SessionState.HOLDING,
    (SessionState.GONE, SessionEvent.ANSWERED): SessionState.HOLDING,
    (SessionState.HOLDING, SessionEvent.HOLD_OVER): SessionState.STALE,
    (SessionState.ASKING, SessionEvent.HOLD_OVER): SessionState.GONE,
    (SessionState.STALE, SessionEvent.GONE_OVER): SessionState.GONE,
    (SessionState.DAMPED, SessionEvent.REUSE): SessionState.ASKING,
    **{
        (state, SessionEvent.SUPPRESS): SessionState.DAMPED
        for state in (SessionState.ASKING, SessionState.HOLDING, SessionState.STALE, SessionState.GONE)
    },
    **{(state, SessionEvent.STOP): SessionState.DOWN for state in SessionState if state is not SessionState.DOWN},
}


class Timing(msgspec.Struct, frozen=True):
    """Times (in ns) and penalties of a session. Raises `SettingsError` for values that contradict each other."""

    wait: int = 5 * SECOND  # how long a request waits at the partner for changes
    silent_after: int = SECOND  # beyond the wait, until a request times out
    hold: int = 15 * SECOND  # without a valid response, until the table is stale
    gone: int = 30 * SECOND  # in the stale state, until no route is used
    apart: int = 100 * MS  # from a response to the next request
    again: int = 500 * MS  # backoff after a failed request: doubles with each failure, with a random part left out
    again_most: int = 5 * SECOND  # the longest backoff
    ramp_from: float = 0.05  # fraction of the allowed traffic that a partner gets when it returns
    ramp_within: int = 30 * SECOND  # until a partner that returns gets all of it
    half: int = 60 * SECOND  # half-life of the penalty
    # A partner is damped at this penalty. RFC 7196, section 6, asks for at least 6000 for one route; here a flap
    # concerns all routes of a partner and has to last longer than `hold`.
    suppress: float = 4000.0
    reuse: float = 1000.0  # below this penalty a damped partner is used again
    damped_most: int = 300 * SECOND  # bounds the penalty (RFC 2439, section 4.2)

    @property
    def quick_retry_timeout(self) -> int:
        """Timeout in ns of each of the requests without a wait that follow a request that timed out."""
        return min(
            listclock.LONGEST_FRESH_TIMEOUT, (self.hold - self.wait - self.silent_after) // listclock.FRESH_CALLS
        )

    @property
    def max_penalty(self) -> float:
        """The greatest penalty that can accumulate."""
        return float(self.reuse * 2.0 ** (self.damped_most / self.half))

    def __post_init__(self) -> None:
        least = self.wait + self.silent_after + listclock.FRESH_CALLS * listclock.SHORTEST_FRESH_TIMEOUT
        faults = [
            SettingFault(f"partners.{name}", str(getattr(self, name)), "above 0")
            for name in ("wait", "silent_after", "hold", "gone", "apart", "again", "ramp_within", "half", "damped_most")
            if getattr(self, name) <= 0
        ]
        if self.hold < least:
            faults.append(
                SettingFault("partners.hold", str(self.hold), f"{least} or more, for the requests after a timeout")
            )
        if not 0 < self.ramp_from <= 1:
            faults.append(SettingFault("partners.ramp_from", str(self.ramp_from), "above 0 and at most 1"))
        if not 0 < self.reuse < self.suppress <= self.max_penalty:
            faults.append(
                SettingFault("partners.suppress", str(self.suppress), "above reuse and at most the greatest penalty")
            )
        if faults:
            raise SettingsError(faults)


TIMING = Timing()


def ramp_factor(partner_state: PartnerState, now: int, timing: Timing = TIMING) -> float:
    """The fraction of each route's share or rate that may be sent to a partner now. It grows from the partner's return
    on."""
    if now >= partner_state.back_at + timing.ramp_within:
        return 1.0
    return timing.ramp_from + (1 - timing.ramp_from) * max(0, now - partner_state.back_at) / timing.ramp_within


def aged_state(partner_state: PartnerState, now: int, timing: Timing = TIMING) -> PartnerState:
    """The state of a partner at `now`, derived from the last one in the replicated state. An observer that is cut off
    from the cluster lets the state expire in the same way as the sidecar that has the session."""
    if partner_state.freshness is Freshness.FRESH and now >= partner_state.confirmed_at + timing.hold:
        partner_state = msgspec.structs.replace(
            partner_state, freshness=Freshness.STALE, since=partner_state.confirmed_at + timing.hold
        )
    if partner_state.freshness is Freshness.STALE and now >= partner_state.since + timing.gone:
        partner_state = msgspec.structs.replace(
            partner_state, freshness=Freshness.GONE, since=partner_state.since + timing.gone
        )
    return partner_state


# ---- actions, to be performed in order -----------------------------------------------------------


class SendRequest(NamedTuple):
    """Send a request to the partner and abort the one in flight. `on_response` or `on_failure` with its number has to
    follow."""

    number: int
    nonce: str  # nonce that the response has to repeat
    after: tuple[int, int] | None  # epoch and index of the stored table; None: request the whole table
    wait: int  # ns that the partner may wait for changes
    timeout: int  # ns until the request times out


class SessionChanged(NamedTuple):
    """The state, the table or the time of the last confirmation changed. `Session.partner_state` has to be merged, and
    stored in the replicated state where `table` or `state` changed."""

    before: SessionState
    table: bool  # whether the table is another one


class ResponseRejected(NamedTuple):
    """A response was rejected; the last valid table stays."""

    error: BadTable


class RequestFailed(NamedTuple):
    """A request got no response."""

    why: str


Action = SendRequest | SessionChanged | ResponseRejected | RequestFailed


class Session:
    """The session with one partner. Its methods return the actions to perform; `next_at` is the time at which `tick`
    has something to do. Times are Unix time in ns and must not decrease."""

    def __init__(
        self,
        partner: str,
        instance: str,
        jitter: Callable[[], float],
        timing: Timing = TIMING,
        limits: Limits = DEFAULT_LIMITS,
    ) -> None:
        """`instance`: random, and unique to each start of a session. `jitter`: returns a number from 0 up to 1."""
        self.partner, self.instance, self.jitter, self.timing, self.limits = partner, instance, jitter, timing, limits
        self.state = SessionState.DOWN
        self.since = 0  # of the last state change
        self.table: Table | None = None
        self.confirmed_at = 0
        self.back_at = 0  # of the last return from ASKING, GONE or DAMPED
        self.number = 0
        self.pending_request: SendRequest | None = None  # in flight
        self.due_at = 0  # timeout of the request in flight, else time of the next request
        self.quick_retries = 0  # requests without a wait that are left after a timeout
        self.failures = 0  # consecutive
        self.needs_full_table = False  # the next request asks for the whole table
        self.penalty, self.penalty_at = 0.0, 0

    # ---- state -----------------------------------------------------------------------------------

    @property
    def freshness(self) -> Freshness:
        """How fresh the table is in the current state."""
        return STATE_TRAITS[self.state].freshness

    def partner_state(self) -> PartnerState:
        """What the merge and the replicated state need to know of this partner."""
        return PartnerState(self.table, self.freshness, self.since, self.confirmed_at, self.back_at)

    def penalty_now(self, now: int) -> float:
        """The penalty at `now`: it decays exponentially."""
        return float(self.penalty * 0.5 ** ((now - self.penalty_at) / self.timing.half))

    @property
    def next_at(self) -> int | None:
        """When `tick` has something to do; None while the session is down."""
        if self.state is SessionState.DOWN:
            return None
        times = [self.due_at]
        if self.state is SessionState.STALE:
            times.append(self.since + self.timing.gone)
        elif self.state in (SessionState.HOLDING, SessionState.ASKING):
            times.append(self._hold_expiry())
        return min(times)

    def _hold_expiry(self) -> int:
        return (self.confirmed_at if self.state is SessionState.HOLDING else self.since) + self.timing.hold

    # ---- events ----------------------------------------------------------------------------------

    def start(
        self,
        now: int,
        partner_state: PartnerState | None = None,
        penalty: tuple[float, int] = (0.0, 0),
        damped: bool = False,
    ) -> list[Action]:
        """Starts the session. `partner_state`: from the replicated state, if another sidecar had the lease before; the
        hold time counts from its last confirmation, not from now. `penalty`: the penalty and the time that it refers
        to. `damped`: whether the partner was damped."""
        actions: list[Action] = []
        if (
            partner_state is not None
            and partner_state.table is not None
            and partner_state.freshness is not Freshness.GONE
        ):
            self.table, self.confirmed_at = partner_state.table, partner_state.confirmed_at
            self._transition(SessionEvent.RESUME, now, actions)
            self.since, self.back_at = min(now, partner_state.since), partner_state.back_at
        self._transition(SessionEvent.START, now, actions)
        self.penalty, self.penalty_at = penalty
        if damped and self.penalty_now(now) >= self.timing.reuse:
            self._transition(SessionEvent.SUPPRESS, now, actions)
        return [*actions, *self._send(now, 0), *self.tick(now)]

    def stop(self, now: int) -> list[Action]:
        """Ends the session; a request in flight is ignored from now on."""
        actions: list[Action] = []
        self._transition(SessionEvent.STOP, now, actions)
        self.pending_request = None
        return actions

    def tick(self, now: int) -> list[Action]:
        """Processes the passage of time. Can be called at any time."""
        actions: list[Action] = []
        timing = self.timing
        if self.state is SessionState.DOWN:
            return actions
        if self.state in (SessionState.HOLDING, SessionState.ASKING) and now >= self._hold_expiry():
            was_holding = self.state is SessionState.HOLDING
            self._transition(SessionEvent.HOLD_OVER, self._hold_expiry(), actions)
            if was_holding:
                self._record_flap(now, actions)
        if self.state is SessionState.STALE and now >= self.since + timing.gone:
            self._transition(SessionEvent.GONE_OVER, self.since + timing.gone, actions)
        if self.state is SessionState.DAMPED and self.penalty_now(now) < timing.reuse:
            self._transition(SessionEvent.REUSE, now, actions)
            return actions + self._send(now, 0)
        if now < self.due_at:
            return actions
        if self.pending_request is None:
            return actions + self._send(now, timing.wait if self.failures == 0 else 0)
        timed_out = self.pending_request
        actions.append(RequestFailed(f"no response within {(now - self.due_at + timed_out.timeout) // MS} ms"))
        if timed_out.wait or self.quick_retries:
            self.quick_retries = listclock.FRESH_CALLS - 1 if timed_out.wait else self.quick_retries - 1
            return actions + self._send(now, 0)
        self._schedule_retry(now)
        return actions

    def on_failure(self, now: int, number: int, why: str) -> list[Action]:
        """The request with this number got no complete response."""
        if self.pending_request is None or number != self.pending_request.number:
            return []
        self._schedule_retry(now)
        return [RequestFailed(why), *self.tick(now)]

    def on_response(self, now: int, number: int, data: bytes) -> list[Action]:
        """Processes the body of a response with status 200."""
        if self.pending_request is None or number != self.pending_request.number:
            return []
        request = self.pending_request
        actions: list[Action] = []
        try:
            table = self._accept(data, request)
        except BadTable as error:
            # Changes whose checksum is wrong follow another table than the stored one: the next request asks for the
            # whole table.
            self.needs_full_table = request.after is not None and error.faults[0].place == "sum"
            self._schedule_retry(now)
            return [ResponseRejected(error), *self.tick(now)]
        before = self.table
        self.table, self.confirmed_at = table, now
        self.pending_request, self.failures, self.quick_retries = None, 0, 0
        self.due_at = now + self.timing.apart
        if not self._transition(SessionEvent.ANSWERED, now, actions, table is not before):
            actions.append(SessionChanged(self.state, table is not before))
        if before is not None and before.epoch != table.epoch:
            self._record_flap(now, actions)
        return actions + self.tick(now)

    def _accept(self, data: bytes, request: SendRequest) -> Table:
        response = parse_response(data, self.partner, self.limits)
        if response.to != request.nonce:
            raise OldTable(self.partner, [Fault("to", f"{request.nonce}, the nonce of the request")])
        return apply_response(self.table, response, self.limits)

    # ---- steps -----------------------------------------------------------------------------------

    def _send(self, now: int, wait: int) -> list[Action]:
        self.number += 1
        timeout = wait + self.timing.silent_after if wait else self.timing.quick_retry_timeout
        after = self.table.position if self.table is not None and not self.needs_full_table else None
        self.needs_full_table = False
        self.pending_request = SendRequest(self.number, f"{self.instance}.{self.number}", after, wait, timeout)
        self.due_at = now + timeout
        return [self.pending_request]

    def _schedule_retry(self, now: int) -> None:
        """Schedules the next request after a backoff that doubles with each failure, with jitter so that sites do not
        retry at the same time."""
        self.pending_request, self.quick_retries = None, 0
        delay = min(self.timing.again_most, self.timing.again << min(self.failures, 16))
        self.failures += 1
        self.due_at = now + delay - int(delay * self.jitter() / 2)

    def _transition(self, event: SessionEvent, now: int, actions: list[Action], table: bool = False) -> bool:
        before = self.state
        self.state = TRANSITIONS.get((before, event), before)
        if self.state is before:
            return False
        self.since = now
        if self.state is SessionState.HOLDING and STATE_TRAITS[before].away:
            self.back_at = now
        if self.state is SessionState.GONE:
            # The position goes with it: from now on a lower epoch is accepted, which a partner has after it lost its
            # disk.
            self.table = None
        actions.append(SessionChanged(before, table))
        return True

    def _record_flap(self, now: int, actions: list[Action]) -> None:
        """Counts a flap: the partner did not respond for the hold time, or restarted with a new epoch. An invalid table
        is no flap, since the last valid one stays in use for its time."""
        self.penalty = min(self.timing.max_penalty, self.penalty_now(now) + FLAP_PENALTY)
        self.penalty_at = now
        if self.penalty >= self.timing.suppress:
            self._transition(SessionEvent.SUPPRESS, now, actions)
