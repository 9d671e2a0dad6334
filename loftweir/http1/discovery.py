"""Calls to discovery: fetching the whole endpoint list, and the watch that continues from it.

The timeouts and backoffs are those of `loftweir.listclock`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from socket import socket
from typing import NamedTuple

from loftweir import listclock
from loftweir.config.model import Options
from loftweir.http1.list_call import PATH, CallFailed, ListCall, ListResponse, Refused, Silent, request_list
from loftweir.interface import MembershipUpdate, UpdateKind
from loftweir.net.loop import MS, Coroutine, Loop, Task, Wait
from loftweir.net.stream import ConnectError, connect
from loftweir.telemetry.catalogue import (
    DISCOVERY_CALL,
    DISCOVERY_CALL_FAILED,
    DISCOVERY_LIST_FAILED,
    DISCOVERY_NEW_WATCH,
    DISCOVERY_WATCH_ESTABLISHED,
    DISCOVERY_WATCH_FAILED,
)
from loftweir.telemetry.log import emit


@dataclass(slots=True)
class LateCall:
    """A call that was given up, and whose response is still accepted."""

    sock: socket
    source: int  # the current source when the call was given up
    address: str
    call: ListCall
    keep_waiting: Callable[[int], Coroutine[ListResponse]]  # waits for the response until a given time
    task: Task | None = None  # the task that does so


class LateResponse(NamedTuple):
    """The response to a call that was given up: a watch continues from it, over its connection."""

    sock: socket
    call: ListCall
    response: ListResponse


class WatchEnd(NamedTuple):
    """How a watch ended."""

    established: bool  # some call of it was answered
    silent: bool  # its last call was not answered in time
    refused: bool  # its last call was refused


class Discovery:
    """Calls discovery when the balancer asks for it, and passes on the lists that it returns.

    `listclock` has the limits within which a change is read whatever fails; `_apply` decides which of two lists is
    newer. Its coroutines are urgent to the loop: a list is in force from the moment it was written, however many
    requests wait to be decided.

    Invariants: `source` counts the changes of the address, so that an address that is left and used again later counts
    as another one. `list_source` is the source of the current list, and `version` the list's version if `list_source`
    is `source`, else None. Every change that discovery had, and could return, before `current_as_of` has been read.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        options: Options,
        on_update: Callable[[MembershipUpdate, dict[str, str]], None],
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.random = Random(seed)
        self.options = options  # replaced whole by a reload
        self.address = address
        self.on_update = on_update
        self.source = 0
        self.list_source = 0
        self.updates = 0  # lists received that contained something new
        # Of the current list; None: there is no list. 0 is a valid version: when it was taken for none, the whole list
        # was fetched over and over, and every sidecar's calls queued behind these.
        self.version: int | None = None
        self.current_as_of = loop.now()
        self.sidecars = 1  # sidecars that call discovery, this one included
        self.late_calls: list[LateCall] = []  # calls given up whose responses are still accepted
        self.lateness = 0  # how far past their wait responses without a change have arrived recently
        self.established: int | None = None  # the source at which a watch is established: a call of it was answered
        self.watching: Task | None = None
        self.previous: Task | None = None  # the watch at the previous address, until the new one is established
        # With an agent that pushes lists, the sidecar counts as notified of what the agent has, whether it asked or
        # not. So it always watches the agent, whatever the balancer says, and a watch that fails is repeated at once.
        self.pushed = False

    def apply_settings(self, pushed: bool, sidecars: int) -> None:
        """Use new settings: whether an agent pushes lists, and how many sidecars call discovery otherwise."""
        self.pushed, self.sidecars = pushed, sidecars
        if pushed:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Start or stop watching the list for changes."""
        on = on or self.pushed
        if on and self.watching is not None and not self.watching.over:
            return  # a watch is running, or begins at a new address: starting another one would delay a change
        if not on:
            self._drop_previous()
            if self.watching is not None:
                self.watching.cancel()
        self.watching = self._spawn_watch("asked") if on else None

    def _spawn_watch(self, cause: str) -> Task:
        """Begin a watch at the current address."""
        self._log_new_watch(cause)
        # The arguments are those of now: the address may change before the task's first turn.
        return self.loop.spawn(self._run_watch(self.source, self.address, self.version), self._crashed, urgent=True)

    def change_address(self, address: str) -> None:
        """Call discovery at another address from now on.

        It is called at once, since the sidecar soon counts as notified of what it has. The whole list is fetched first,
        as versions may be counted differently there. The sidecar already counts as notified of changes that are on
        their way over the old watch, so that one is read until the new one has been answered.
        """
        if address == self.address:
            return
        self.address = address
        self.source += 1
        self.version = None
        if self.previous is None or self.previous.over:
            self.previous = self.watching
        elif self.watching is not None:
            self.watching.cancel()  # it has returned nothing yet
        self.watching = self._spawn_watch("moved")

    def _drop_previous(self) -> None:
        """Stop the watch at the previous address."""
        if self.previous is not None:
            self.previous.cancel()
            self.previous = None

    def fetch(self) -> None:
        """Fetch the whole list once."""
        self.loop.spawn(self._fetch(), self._crashed, urgent=True)

    def _crashed(self, _: Exception) -> None:
        """Handle an exception of one of the coroutines."""
        self._fail()

    def _fail(self) -> None:
        """Report to the balancer that a call or the watch failed."""
        pending = self._response_pending()
        self.on_update(MembershipUpdate(UpdateKind.FAILED, list_age=self._list_age(), response_pending=pending), {})

    def _response_pending(self) -> bool:
        """Whether a call that was given up may still wait for its turn at discovery.

        A call that discovery was allowed to keep open does not count: discovery had taken it before it fell silent.
        """
        return any(not late.call.wait for late in self.late_calls)

    def _timeouts(self) -> listclock.WatchTimeouts:
        """Return the timeouts for the current options."""
        options = self.options.discovery
        if self.pushed:
            return listclock.watch_timeouts(
                options.agent_wait,
                options.agent_silent_after,
                listclock.LONGEST_FRESH_TIMEOUT,
                options.connect_within,
                options.calls_apart,
                pushed=True,
            )
        return listclock.watch_timeouts(
            options.wait, options.silent_after, options.answer_within, options.connect_within, options.calls_apart
        )

    def _wait(self, timeouts: listclock.WatchTimeouts) -> int:
        """Return how long discovery may keep the next call open. An agent serves only this sidecar: no jitter."""
        if self.pushed:
            return timeouts.wait
        return listclock.watch_wait(timeouts.wait, self.random.random(), self.sidecars)

    # ---- which list is newer --------------------------------------------------------------------

    def _apply(self, call: ListCall, response: ListResponse, report: bool) -> bool:
        """Pass a list on unless it is older than the current one; return whether it is not.

        `report`: also pass it on if it has no change.

        Responses can cross: a fetch and a watch may be in flight at once, or watches at two addresses. Versions are
        counted by each discovery, and from the beginning after it restarted, so they alone don't tell which list is
        newer. What tells is when a call was made. A list whose call was made after the last new list had been read is
        the newer one, whatever its version. If another list was received in the meantime:

        - from the same source, it is newer if its version is higher;
        - the first list of a new source can't be compared: it is requested again, and the old source is dropped.

        Nothing of an old source is used once the new one has returned a list. Changes below the version after which
        they were requested show that versions are counted from the beginning: it is not known what they apply to, so
        the whole list is requested.
        """
        update = response.update
        if call.source == self.source:
            self._drop_previous()
        overtaken = self.updates != call.updates
        if call.source != self.list_source:
            if call.source < self.list_source or (overtaken and call.source == self.source):
                return False
        elif overtaken and self.version is not None and update.version <= self.version:
            return False
        changes = update.kind is UpdateKind.CHANGES
        if changes and call.version is not None and update.version < call.version:
            if call.source == self.source:
                self.version = None
            return False
        self.current_as_of = max(self.current_as_of, response.received_at)
        if call.wait:
            self.lateness = listclock.recent_lateness(self.lateness, response.received_at - call.at - call.wait)
        is_new = bool(update.endpoints) or update.version != call.version
        if call.source == self.source:
            self.list_source, self.version = call.source, update.version
        if is_new or report:
            self.updates += is_new
            self._report(update, response.addresses)
        return True

    def _report(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Pass an update on. If that fails, it may not be in force, so the whole list is requested next."""
        try:
            self.on_update(update, addresses)
        except Exception:
            self.version = None
            raise

    # ---- calls ----------------------------------------------------------------------------------

    def _fetch(self) -> Coroutine[None]:
        """Fetch the whole list; a call that falls silent is repeated at once, `FRESH_CALLS` times."""
        timeouts = self._timeouts()
        for retries_left in range(listclock.FRESH_CALLS, -1, -1):
            call = self._new_call(self.source, None)._replace(version=None)
            address = self.address
            until = self.loop.now() + (timeouts.first if retries_left == listclock.FRESH_CALLS else timeouts.fresh)
            try:
                sock = yield from self._connect(address, until)
                kept = False
                try:
                    response = yield from self._call(sock, PATH, until)
                except Silent as error:
                    kept = self._accept_late(sock, self.source, address, call, error)
                    raise
                finally:
                    if not kept:
                        self.loop.close(sock)
            except CallFailed as error:
                self._log_failed(call, str(error))
                emit(DISCOVERY_LIST_FAILED, why=error, address=address)
                if not retries_left or (retries_left == listclock.FRESH_CALLS and not isinstance(error, Silent)):
                    self._fail()
                    return
                yield Wait(None, 0, until)
            else:
                self._log_answered(call, "answered")
                self._apply(call, response, True)
                return

    def _run_watch(
        self, source: int, address: str, version: int | None, late: LateResponse | None = None
    ) -> Coroutine[None]:
        """Watch until a call fails, and re-establish the watch as far as that is this class's task.

        A watch that fell silent or was refused is re-established as long as the sidecar does not yet count as notified
        of what the watch missed (`listclock.WatchRecovery`). After that the balancer asks for a watch again. In a large
        fleet only an established watch is re-established here. Where lists are pushed, the watch begins again after
        every failure, and a run of failures is logged once.
        """
        quiet = False
        recovery: listclock.WatchRecovery | None = None
        while source == self.source:
            now, timeouts = self.loop.now(), self._timeouts()
            until = now + (timeouts.fresh if self.pushed else timeouts.first)
            if recovery is not None:
                until = recovery.give_up_at(now)
            end = yield from self._watch(source, address, version, quiet, until, late)
            version, late = self.version, None
            if source != self.source:
                return  # the address changed meanwhile, and another watch is running
            if self.pushed:
                quiet = not end.established
                self._fail()
                yield Wait(None, 0, self.loop.now() + self.options.discovery.calls_apart)
                continue
            if recovery is None or end.established:
                recovery = self._recovery(end, timeouts)
            retry_at = (
                None if recovery is None else recovery.next_call(self.loop.now(), end.silent, self._response_pending())
            )
            if retry_at is None:
                self._fail()
                return
            yield Wait(None, 0, retry_at)
            self._log_new_watch("anew")

    def _recovery(self, end: WatchEnd, timeouts: listclock.WatchTimeouts) -> listclock.WatchRecovery | None:
        """Return how a watch that ended in this way is re-established; None: that is left to the balancer."""
        if not end.silent and (end.established or not end.refused):
            return None
        repeats = end.established or self.sidecars <= listclock.SMALL_FLEET
        if end.silent and not repeats:
            return None
        deadline, fresh_calls = self.current_as_of + listclock.READ_WITHIN, listclock.FRESH_CALLS if repeats else 0
        if end.silent:
            deadline = max(deadline, self.loop.now() + fresh_calls * timeouts.fresh)
        return listclock.WatchRecovery(deadline, self.sidecars, fresh_calls, timeouts.first, self.random)

    def _new_call(self, source: int, version: int | None) -> ListCall:
        """Return the data of a call that begins now; `version` is used for a source other than the current one."""
        return ListCall(source, self.updates, self.version if source == self.source else version, self.loop.now())

    def _list_age(self) -> int:
        """Return for how long a change may have gone unnoticed."""
        return self.loop.now() - self.current_as_of

    def _log_answered(self, call: ListCall, ended: str) -> None:
        """Log a call that was answered; `ended` tells whether it was late."""
        after, took = -1 if call.version is None else call.version, self.loop.now() - call.at
        emit(DISCOVERY_CALL, after=after, wait_ms=call.wait // MS, ended=ended, ms=took // MS)

    def _log_failed(self, call: ListCall, ended: str) -> None:
        """Log a call that failed; `ended` tells why."""
        after, took = -1 if call.version is None else call.version, self.loop.now() - call.at
        emit(DISCOVERY_CALL_FAILED, after=after, wait_ms=call.wait // MS, ended=ended, ms=took // MS)

    def _log_new_watch(self, cause: str) -> None:
        """Log the start of a watch."""
        emit(DISCOVERY_NEW_WATCH, cause=cause, age_ms=self._list_age() // MS, late_calls=len(self.late_calls))

    def _watch(
        self, source: int, address: str, version: int | None, quiet: bool, until: int, late: LateResponse | None
    ) -> Coroutine[WatchEnd]:
        """Make one call after another over one connection until a call fails.

        The next call begins as soon as the previous one is answered. The first one does not wait for a change, so that
        it is soon known whether the connection works, and is given up at `until`. If `late` is given, it is the
        response to a first call that was made earlier. `quiet`: don't log a failure.
        """
        established, due, received_at, response = False, until, 0, None
        call = self._new_call(source, version)
        try:
            if late is None:
                sock = yield from self._connect(address, until)
            else:
                sock, call, response = late
            kept = False
            try:
                while True:
                    if response is None:
                        target = PATH
                        if call.version is not None:
                            target += f"?after={call.version}&wait_ms={call.wait // MS}"
                        try:
                            response = yield from self._call(sock, target, until)
                        except Refused as error:
                            # Re-establishing a watch that is lost is expensive, at a moment when discovery is busy.
                            retry_at = self.loop.now() + self.options.discovery.calls_apart
                            if not error.reusable or retry_at > received_at + listclock.NEXT_CALL_WITHIN:
                                raise
                            self._log_failed(call, str(error))
                            yield Wait(None, 0, retry_at)
                            continue
                        self._log_answered(call, "answered")
                    received_at, age = response.received_at, self._list_age()
                    # The first response of a watch is passed on even without a change: the watch is established.
                    applied = self._apply(call, response, not established)
                    if applied and not established:
                        emit(DISCOVERY_WATCH_ESTABLISHED, version=response.update.version, age_ms=age // MS)
                    established = established or applied
                    if established:
                        self.established = source
                    # A discovery that answers at once, without a change, must not be called in a tight loop.
                    yield Wait(None, 0, call.at + self.options.discovery.calls_apart)
                    # Timeouts run from the last response: a change since then is what may be missed.
                    call = self._new_call(source, response.update.version if applied else None)
                    timeouts = self._timeouts()
                    wait, continues = self._wait(timeouts), established and call.version is not None
                    until = response.received_at + (
                        timeouts.silent_for(wait, self.lateness, self.sidecars) if continues else timeouts.first
                    )
                    if not response.reusable:
                        self.loop.close(sock)
                        sock = yield from self._connect(address, until)
                    delay = self.loop.now() - response.received_at - self.options.discovery.calls_apart
                    call = call._replace(wait=max(0, wait - max(0, delay)) if established else 0)
                    due = self.loop.now() + call.wait if call.wait else until
                    response = None
            except Silent as error:
                kept = self._accept_late(sock, source, address, call, error)
                raise
            finally:
                if established and self.established == source:
                    self.established = None
                if not kept:
                    self.loop.close(sock)
        except CallFailed as error:
            if not quiet:
                self._log_failed(call, str(error))
            if source == self.source and not quiet:
                emit(DISCOVERY_WATCH_FAILED, why=error, address=address)
            refused = isinstance(error, Refused)
            # A call that fails after its wait had fallen silent before.
            silent = isinstance(error, Silent) or (self.loop.now() >= due and not refused)
            return WatchEnd(established, silent, refused)

    def _accept_late(self, sock: socket, source: int, address: str, call: ListCall, silent: Silent) -> bool:
        """Keep waiting for the response to a call that is given up, besides the next call.

        Returns whether it does so; if it does, it closes the socket in the end.

        At a busy discovery the call waits for its turn, and the next one is queued behind it. If the call were dropped,
        discovery would handle each one for nothing, and a fleet with more calls than discovery can answer in time would
        learn of no change.
        """
        if silent.keep_waiting is None or len(self.late_calls) >= listclock.MAX_LATE_CALLS:
            return False
        late = LateCall(sock, source, address, call, silent.keep_waiting)
        self.late_calls.append(late)
        late.task = self.loop.spawn(self._await_late(late), self._crashed, urgent=True)
        return True

    def _await_late(self, late: LateCall) -> Coroutine[None]:
        """Wait for the response to a call that was given up. If no watch is established by then, continue from it.

        A new watch costs discovery far more than the next call of an established one. When a late response only passed
        its list on and a new watch followed, a fleet that started together kept discovery busy with first calls, each
        of which was answered late again.
        """
        kept = False
        try:
            try:
                response = yield from late.keep_waiting(self.loop.now() + listclock.LATE_RESPONSE_WITHIN)
            finally:
                self.late_calls.remove(late)
            self._log_answered(late.call, "answered late")
            if self._lacks_watch(late.source):
                self._replace_watch(late.task)
                kept = True  # the watch closes the socket
                watched = LateResponse(late.sock, late.call, response)
                yield from self._run_watch(late.source, late.address, late.call.version, watched)
            else:
                self._apply(late.call, response, False)
        except CallFailed as error:
            self._log_failed(late.call, f"late: {error}")
            self._resume_after_late_failure(late)
        finally:
            if not kept:
                self.loop.close(late.sock)

    def _resume_after_late_failure(self, late: LateCall) -> None:
        """Watch again at once if the balancer delays its next call for late responses, of which none will come."""
        delayed = not late.call.wait and not self._response_pending()
        if delayed and self._lacks_watch(late.source) and self.watching is not None and self.watching.over:
            self.watch(True)

    def _lacks_watch(self, source: int) -> bool:
        """Whether a watch is wanted at this source and none is established."""
        wanted = self.watching is not None and not self.pushed
        return wanted and source == self.source and self.established != source

    def _replace_watch(self, task: Task | None) -> None:
        """Make another task the watch; one that is not yet established is cancelled."""
        if self.watching is not None:
            self.watching.cancel()
        self.watching = task

    def _connect(self, address: str, until: int) -> Coroutine[socket]:
        """Connect to discovery; raise `CallFailed` if that fails."""
        try:
            return (yield from connect(self.loop, address, self._timeouts().connect, until))
        except ConnectError:
            if address == self.address:
                self.current_as_of = self.loop.now()  # until now it could not be reached
            raise CallFailed("not up") from None

    def _call(self, sock: socket, target: str, until: int) -> Coroutine[ListResponse]:
        """Make one call over an open connection."""
        return request_list(self.loop, self.options.discovery, sock, self.address, target, until)
