"""A duty on the loop: its lease asked for, renewed and released at the copies, and acts under its token.

Nothing is written while another holds the duty: the machine here shows the lease, and only one that it shows as free is
asked for. Times of the lease are of CLOCK_BOOTTIME, which goes on while the process is stopped or the host sleeps.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from contextlib import suppress
from random import Random

from loftweir.errors import LoftweirError
from loftweir.lease.holder import (
    Event,
    HolderState,
    LeaseHolder,
    LeaseUnwanted,
    LeaseWanted,
    ResponseReceived,
    SendOperation,
    TaskStarted,
    Tick,
)
from loftweir.net.loop import MS, Coroutine, Loop, Task, Wait
from loftweir.replication.caller import Proposer
from loftweir.replication.machine import (
    AcquireLease,
    AnyResult,
    ClaimName,
    FencedWrite,
    Lease,
    LeaseNotHeld,
    Machine,
    ReleaseLease,
    RenewLease,
    StaleToken,
)

BUSY_POLL_INTERVAL = 2 * MS  # for the turn of a fenced write behind another one
RESTART_DELAY = 1000 * MS  # after a fault of the program's own


class NotActing(LoftweirError):
    """A write under a duty's token was not made, or was refused: this process does not hold the duty any more."""

    remedy = "Nothing: whoever holds the duty goes on. If it comes again and again, see why this process stalls."


def clock() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class LeasedTask:
    """Invariants: `begin` and `end` are called in turn, `begin` first; acts are made between the two, each right behind
    `valid_token`; an act that is refused for its token is the last under it."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        duty: str,
        ttl: int,
        callers: tuple[Proposer, Proposer],
        begin: Callable[[int], None],
        end: Callable[[], None],
        apart: int = 0,
    ) -> None:
        """`callers`: for the lease, and for what is written under it, so that a renewal never waits behind much of
        that. `apart`: for how long a free lease is left to others who prefer it, ns."""
        self.loop = loop
        self.duty = duty
        self.ttl = ttl
        self.apart = apart
        self.lease_proposer, self.writer = callers
        self.begin, self.end = begin, end
        self.holder = LeaseHolder(duty, name, ttl, Random(secrets.randbits(64)))
        self.wanted = False
        self.known = False  # what the copies hold was seen
        self.lease: Lease | None = None  # as the machine here has it
        self.asks = False  # it is about to ask for what it saw free
        self.over = False
        self.fenced_off: int | None = None  # a token that was refused
        self.ticker: Task = loop.spawn(self._tick(), self._crashed, urgent=True)

    # ---- wanting --------------------------------------------------------------------------------

    def set_wanted(self, on: bool) -> None:
        self.wanted = on
        self._look()

    def machine_changed(self, machine: Machine) -> None:
        """The machine here has changed."""
        lease = machine.leases.get(self.duty)
        if not self.known or lease != self.lease:
            self.known, self.lease = True, lease
            self._look()

    def close(self) -> None:
        """Nothing more is asked or told; what is held runs out, unless it was let go and that was answered."""
        self.over = True
        self.ticker.cancel()

    def _others(self) -> bool:
        return self.lease is not None and self.lease.holder != self.holder.name

    def _look(self) -> None:
        state = self.holder.state
        if state is HolderState.IDLE:
            if self.wanted and self.known and not self._others() and not self.asks and not self.over:
                self.asks = True
                self.loop.after(self.apart, self._ask)
        elif state is not HolderState.LEAVING and (not self.wanted or (state is HolderState.FREE and self._others())):
            self._feed(LeaseUnwanted())

    def _ask(self) -> None:
        self.asks = False
        if self.wanted and not self._others() and not self.over and self.holder.state is HolderState.IDLE:
            self._feed(LeaseWanted())

    # ---- the lease ------------------------------------------------------------------------------

    def _feed(self, event: Event) -> None:
        if self.over:
            return
        for action in self.holder.step(clock(), event):
            if isinstance(action, SendOperation):
                self.loop.spawn(self._send(action.ask, action.act), urgent=True)
            elif isinstance(action, TaskStarted):
                self.begin(action.token)
            else:
                self.end()
        self._look()
        self.ticker.wake()

    def _send(self, ask: int, act: AcquireLease | RenewLease | ReleaseLease) -> Coroutine[None]:
        result: AnyResult | None = None
        with suppress(LoftweirError):  # it may come true yet: the holder asks again, or lets the lease run out
            result = yield from self.lease_proposer.write(act, self.ttl // 2)
        self._feed(ResponseReceived(ask, result))

    def _tick(self) -> Coroutine[None]:
        while True:
            at = self.holder.next_at
            left = None if at is None else at - clock()
            if left is None or left > 0:
                yield Wait(None, 0, None if left is None else self.loop.now() + left)
                continue
            self._feed(Tick())
            yield Wait(None, 0, self.loop.now())  # one turn of the loop for the others

    def _crashed(self, _: Exception) -> None:
        self.loop.after(RESTART_DELAY, self._tick_again)

    def _tick_again(self) -> None:
        if not self.over:
            self.ticker = self.loop.spawn(self._tick(), self._crashed, urgent=True)

    def _end(self, token: int) -> None:
        if self.holder.token == token:
            self._feed(LeaseUnwanted())

    # ---- acts -----------------------------------------------------------------------------------

    def valid_token(self) -> int | None:
        """The token to act under, at this moment only."""
        token = None if self.over else self.holder.valid_token(clock())
        return token if token != self.fenced_off else None

    def put(self, key: str, value: bytes, within: int) -> Coroutine[AnyResult]:
        """Writes under the token; the empty value takes the key away. What the copies made of it. Raises `NotActing`
        where the duty is not held, and what the caller raises where it is not known within that time (ns)."""
        return (yield from self._act(lambda token: FencedWrite(self.duty, token, key, value), within))

    def claim(self, act: bytes, within: int) -> Coroutine[AnyResult]:
        """Says a word on a claim of a name (`catalog.claims.written`) under the token; else as `put`."""
        return (yield from self._act(lambda token: ClaimName(self.duty, token, act), within))

    def _act(self, act: Callable[[int], FencedWrite | ClaimName], within: int) -> Coroutine[AnyResult]:
        until = self.loop.now() + within
        while self.writer.writes.busy and self.loop.now() < until:
            yield Wait(None, 0, self.loop.now() + BUSY_POLL_INTERVAL)
        token = self.valid_token()
        if token is None:
            raise NotActing("its lease is over", self.duty)
        result = yield from self.writer.write(act(token), max(MS, until - self.loop.now()))
        if isinstance(result, StaleToken | LeaseNotHeld):
            self.fenced_off = token
            self.loop.after(0, self._end, token)  # not in the middle of what acts: its end may be to end that
            raise NotActing(result.text, self.duty)
        return result
