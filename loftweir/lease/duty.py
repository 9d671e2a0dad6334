"""A task that only one process may perform, on the event loop: acquires, renews and releases its lease, and makes the
writes under its token.

No command is sent while another process holds the lease: this sidecar's state machine shows it, and the lease is only
acquired if it is free there. Times of the lease are by CLOCK_BOOTTIME, which continues while the process is stopped or
the host is suspended.
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

BUSY_POLL_INTERVAL = 2 * MS  # while a fenced write waits for the previous one
RESTART_DELAY = 1000 * MS  # after an internal error


class NotActing(LoftweirError):
    """A write under a lease's token was not made or was rejected: this process does not hold the lease any more."""

    remedy = "Nothing: the holder of the lease continues the task. If this repeats, find out why this process stalls."


def clock() -> int:
    """The time for leases, ns: it continues while the process is stopped or the host is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class LeasedTask:
    """A task that is performed while its lease is held.

    Invariants: `begin` and `end` are called alternately, `begin` first. Writes are made between the two, each right
    after `valid_token`. A write that is rejected for its token is the last one under it.
    """

    def __init__(
        self,
        loop: Loop,
        name: str,
        lease_name: str,
        ttl: int,
        proposers: tuple[Proposer, Proposer],
        begin: Callable[[int], None],
        end: Callable[[], None],
        bid_delay: int = 0,
    ) -> None:
        """`proposers`: one for the lease and one for the writes under it, so that a renewal never waits behind
        many writes. `bid_delay`: how long a free lease is left to the processes with a shorter delay, ns.
        """
        self.loop = loop
        self.lease_name = lease_name
        self.ttl = ttl
        self.bid_delay = bid_delay
        self.lease_proposer, self.writer = proposers
        self.begin, self.end = begin, end
        self.holder = LeaseHolder(lease_name, name, ttl, Random(secrets.randbits(64)))
        self.wanted = False
        self.lease_known = False  # the replicated state was received
        self.lease: Lease | None = None  # as in this sidecar's state machine
        self.acquire_scheduled = False  # the lease was free, and `_acquire` is about to run
        self.closed = False
        self.rejected_token: int | None = None  # rejected as stale by the state machine
        self.ticker: Task = loop.spawn(self._tick(), self._crashed, urgent=True)

    # ---- the state --------------------------------------------------------------------------------

    def set_wanted(self, on: bool) -> None:
        """Whether this process should hold the lease."""
        self.wanted = on
        self._update()

    def machine_changed(self, machine: Machine) -> None:
        """This sidecar's state machine has changed."""
        lease = machine.leases.get(self.lease_name)
        if not self.lease_known or lease != self.lease:
            self.lease_known, self.lease = True, lease
            self._update()

    def close(self) -> None:
        """Sends and handles nothing more. The lease expires, unless it was released and the response was received."""
        self.closed = True
        self.ticker.cancel()

    def _held_by_other(self) -> bool:
        return self.lease is not None and self.lease.holder != self.holder.name

    def _update(self) -> None:
        state = self.holder.state
        if state is HolderState.IDLE:
            if (
                self.wanted
                and self.lease_known
                and not self._held_by_other()
                and not self.acquire_scheduled
                and not self.closed
            ):
                self.acquire_scheduled = True
                self.loop.after(self.bid_delay, self._acquire)
        elif state is not HolderState.RELEASING and (
            not self.wanted or (state is HolderState.FREE and self._held_by_other())
        ):
            self._step(LeaseUnwanted())

    def _acquire(self) -> None:
        self.acquire_scheduled = False
        if self.wanted and not self._held_by_other() and not self.closed and self.holder.state is HolderState.IDLE:
            self._step(LeaseWanted())

    # ---- the lease ------------------------------------------------------------------------------

    def _step(self, event: Event) -> None:
        if self.closed:
            return
        for action in self.holder.step(clock(), event):
            if isinstance(action, SendOperation):
                self.loop.spawn(self._send(action.request_id, action.operation), urgent=True)
            elif isinstance(action, TaskStarted):
                self.begin(action.token)
            else:
                self.end()
        self._update()
        self.ticker.wake()

    def _send(self, request_id: int, operation: AcquireLease | RenewLease | ReleaseLease) -> Coroutine[None]:
        result: AnyResult | None = None
        # the operation may still take effect: the holder tries again, or lets the lease expire
        with suppress(LoftweirError):
            result = yield from self.lease_proposer.write(operation, self.ttl // 2)
        self._step(ResponseReceived(request_id, result))

    def _tick(self) -> Coroutine[None]:
        while True:
            at = self.holder.next_at
            left = None if at is None else at - clock()
            if left is None or left > 0:
                yield Wait(None, 0, None if left is None else self.loop.now() + left)
                continue
            self._step(Tick())
            yield Wait(None, 0, self.loop.now())  # lets other tasks run

    def _crashed(self, _: Exception) -> None:
        self.loop.after(RESTART_DELAY, self._restart_ticker)

    def _restart_ticker(self) -> None:
        if not self.closed:
            self.ticker = self.loop.spawn(self._tick(), self._crashed, urgent=True)

    def _release(self, token: int) -> None:
        if self.holder.token == token:
            self._step(LeaseUnwanted())

    # ---- writes -----------------------------------------------------------------------------------

    def valid_token(self) -> int | None:
        """The token to write under, valid at this moment only."""
        token = None if self.closed else self.holder.valid_token(clock())
        return token if token != self.rejected_token else None

    def put(self, key: str, value: bytes, within: int) -> Coroutine[AnyResult]:
        """Writes a value under the token; an empty value deletes the key. Returns the state machine's result. Raises
        `NotActing` if the lease is not held, and the proposer's errors if the outcome is not known within that time
        (ns).
        """
        return (yield from self._write_fenced(lambda token: FencedWrite(self.lease_name, token, key, value), within))

    def claim(self, operation: bytes, within: int) -> Coroutine[AnyResult]:
        """Submits a command on a claim of a name (`catalog.claims.encode`) under the token; otherwise like `put`."""
        return (yield from self._write_fenced(lambda token: ClaimName(self.lease_name, token, operation), within))

    def _write_fenced(self, operation: Callable[[int], FencedWrite | ClaimName], within: int) -> Coroutine[AnyResult]:
        until = self.loop.now() + within
        while self.writer.writes.busy and self.loop.now() < until:
            yield Wait(None, 0, self.loop.now() + BUSY_POLL_INTERVAL)
        token = self.valid_token()
        if token is None:
            raise NotActing("its lease is over", self.lease_name)
        result = yield from self.writer.write(operation(token), max(MS, until - self.loop.now()))
        if isinstance(result, StaleToken | LeaseNotHeld):
            self.rejected_token = token
            # in a separate loop turn, as `end` may cancel the task that makes this write
            self.loop.after(0, self._release, token)
            raise NotActing(result.text, self.lease_name)
        return result
