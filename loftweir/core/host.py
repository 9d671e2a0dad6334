"""The balancer's host: owns the `Balancer`, tells it what happens, and carries out what it decides.

Events go in by `tell`, in order; actions are carried out at once and in order, directly on the front and the back.
There is no queue of work between, and no other model of what happened.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from loftweir import interface as api
from loftweir.balance import Balancer
from loftweir.core.invocation import BROKEN, FAILED, LATE, Call, Final, Invocation, Kind
from loftweir.core.overload import Overload
from loftweir.net.loop import Loop
from loftweir.telemetry.catalogue import DECISION_BROKEN, DECISION_NOTE
from loftweir.telemetry.log import emit, traceback_location


class Back(Protocol):
    """The providers' side, of one protocol."""

    def begin(self, call: Call) -> None:
        """Carries a call out. Sets `call.running` while it goes on; tells `Host.ended` exactly once, unless
        cancelled. Once that is told, no copy of it is out."""

    def listed(self, update: api.MembershipUpdate, addresses: dict[str, str]) -> None:
        """The list has changed: nothing more goes to one that is gone or drains."""

    def close_idle(self, provider: str) -> None: ...


class Lists(Protocol):
    """Discovery's side."""

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class Host:
    """One balancer and the invocations that it owes answers for.

    Invariant: an id is in `invocations` from `take` until its answer is out and none of its calls is: the same id in
    that time would be a second copy, and could run twice.
    """

    def __init__(self, loop: Loop, settings: api.Settings, seed: int, back: Back, lists: Lists) -> None:
        self.loop = loop
        self.balancer = Balancer(settings, seed)
        self.overload = Overload()
        self.back = back
        self.invocations: dict[str, Invocation] = {}
        self.events: deque[api.Event] = deque()
        self.telling = False
        self.carry_out: dict[type, Callable[[Any], None]] = {
            api.Attempt: self._attempt,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Timer: self._timer,
            api.Watch: lambda a: lists.watch(a.on),
            api.FetchList: lambda a: lists.fetch(),
            api.CloseIdle: lambda a: back.close_idle(a.provider),
            api.Log: lambda a: emit(DECISION_NOTE, text=a.text),
        }

    @property
    def settings(self) -> api.Settings:
        """Those that hold now: the balancer's."""
        return self.balancer.settings

    def use(self, settings: api.Settings) -> None:
        self.tell(api.SettingsChanged(settings))

    # ---- events ---------------------------------------------------------------------------------

    def tell(self, event: api.Event) -> None:
        """Hands one event to the balancer and carries out its actions; what these raise waits its turn."""
        events = self.events
        events.append(event)
        if self.telling:
            return
        self.telling = True
        carry_out = self.carry_out
        while events:
            event = events.popleft()
            try:
                actions = self.balancer.handle(self.loop.time, [event])
            except Exception as error:
                self._broken(event, error)
                continue
            for action in actions:
                try:
                    carry_out[type(action)](action)
                except Exception as error:
                    self._broken(action, error)
        self.telling = False

    def _broken(self, thing: api.Event | api.Action, error: Exception) -> None:
        """A decision that broke, or can't be carried out: what it was about is answered, the rest goes on."""
        emit(DECISION_BROKEN, about=type(thing).__name__, error=repr(error), at=traceback_location(error))
        invocation = self.invocations.get(getattr(thing, "request_id", getattr(thing, "id", "")))
        if invocation is not None and invocation.open:
            invocation.close(BROKEN)
            self.events.append(api.RequestCancelled(invocation.id))

    def take(self, invocation: Invocation, age: int = 0, unread: int = 0) -> None:
        """An invocation whose last byte came `age` ns ago: from now on it is owed its answer, by what is left of its
        patience. For `unread` of these this process could have read it and did not; the rest of the time it waited
        for its own client's request before it, which is no sign that the process is behind."""
        now = self.loop.time
        invocation.patience -= age
        invocation.deadline = now + invocation.patience
        self.invocations[invocation.id] = invocation
        shed = self.overload.read(now, unread)
        if invocation.wanted():  # one whose client has left is no request: the balancer measures its traffic by them
            self.tell(invocation.event(shed))

    def leave(self, invocation: Invocation) -> None:
        """The client's side is done with it, answered or not. An invoker call still out runs on: giving it up
        would stop no work, and read to its end its connection can be used again."""
        if invocation.open:
            invocation.close(None)
            self.tell(api.RequestCancelled(invocation.id))
        self._forget(invocation)

    def _forget(self, invocation: Invocation) -> None:
        if invocation.open:
            return
        for call in invocation.calls:
            if call.running is not None:
                return
        self.invocations.pop(invocation.id, None)
        invocation.calls.clear()  # each names its invocation: in a ring, its answer would keep its room

    def listed(self, update: api.MembershipUpdate, addresses: dict[str, str]) -> None:
        self.back.listed(update, addresses)
        self.tell(update)

    def ended(self, call: Call, outcome: api.Outcome, payload: Any = None) -> None:
        """A call's one outcome; `payload` with OK: the answer, for a front of the same protocol."""
        now = self.loop.time
        call.running = None
        call.outcome, call.ended_at = outcome, now
        invocation = call.invocation
        if outcome is api.Outcome.OK and invocation.open:
            invocation.close(Final(Kind.SERVED, payload))
        self.tell(
            api.AttemptEnded(
                invocation.id, call.number, call.provider, outcome, now - call.started_at, not invocation.open
            )
        )
        self._forget(invocation)

    # ---- actions --------------------------------------------------------------------------------

    def _attempt(self, action: api.Attempt) -> None:
        """Begins an attempt, unless the client has gone: then the balancer is told that there was none, and that the
        request is over. Whatever decides on one, at a request, an end, a timer or a list, it begins only here."""
        invocation = self.invocations[action.request_id]
        if not invocation.wanted():
            number, none = len(invocation.calls), api.Outcome.NOT_SENT
            self.tell(api.AttemptEnded(invocation.id, number, action.provider, none, 0, True))
            return
        call = Call(invocation, action.provider, action.give_up_at, self.loop.time, action.send_by)
        invocation.calls.append(call)
        self.back.begin(call)

    def _timer(self, action: api.Timer) -> None:
        if action.request_id:
            self.loop.after(action.delay, self._due, action.request_id, action.tag)
        else:
            self.loop.after(action.delay, self.tell, api.TimerFired(action.tag))

    def _due(self, request_id: str, tag: str) -> None:
        """A timer that is about one request: of no interest once that has its answer."""
        invocation = self.invocations.get(request_id)
        if invocation is not None and invocation.open:
            self.tell(api.TimerFired(tag))

    def _reject(self, action: api.Reject) -> None:
        """A rejection says that trying again is harmless, and after how long it may help."""
        after = min(action.retry_after, self.settings.max_retry_after)
        self._close(action.request_id, Final(Kind.REJECTED, after=after))

    def _fail(self, action: api.Fail) -> None:
        invocation = self.invocations.get(action.request_id)
        late = invocation is not None and self.loop.time >= invocation.deadline
        self._close(action.request_id, LATE if late else FAILED)

    def _close(self, request_id: str, final: Final) -> None:
        invocation = self.invocations.get(request_id)
        if invocation is not None and invocation.open:
            invocation.close(final)

    def _cancel(self, action: api.Cancel) -> None:
        invocation = self.invocations.get(action.request_id)
        if invocation is None:
            return  # all its calls have ended
        call = invocation.calls[action.attempt]
        if call.running is not None:
            call.running.cancel()
            self.ended(call, api.Outcome.CANCELLED)
