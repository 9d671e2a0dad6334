"""The balancer's host: owns the `Balancer`, passes events to it, and carries out the actions that it returns.

Events go in through `handle`, in order. Actions are carried out at once and in order, directly on the frontend and the
backend: there is no queue of work between them, and no second model of what happened.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from loftweir import interface as api
from loftweir.balance import Balancer
from loftweir.core.invocation import BROKEN, FAILED, LATE, AnswerKind, FinalAnswer, Invocation, ProviderAttempt
from loftweir.core.overload import Overload
from loftweir.core.sent_ids import SentIds
from loftweir.net.loop import Loop
from loftweir.telemetry.catalogue import DECISION_BROKEN, DECISION_NOTE, INVOCATION_REPEATED
from loftweir.telemetry.log import emit, traceback_location


class Backend(Protocol):
    """The providers' side, for one protocol."""

    def begin(self, attempt: ProviderAttempt) -> None:
        """Carry out an attempt.

        Sets `attempt.running` while it is in flight, and calls `Host.attempt_ended` exactly once unless it is
        cancelled. Once that has been called, no copy of the request is in flight.
        """

    def update_list(self, update: api.MembershipUpdate, addresses: dict[str, str]) -> None:
        """Apply a list update: nothing more is sent to a provider that is gone or drains."""

    def close_idle(self, provider: str) -> None:
        """Close the idle connections to a provider."""


class ListSource(Protocol):
    """Discovery's side."""

    def watch(self, on: bool) -> None:
        """Start or stop watching the list for changes."""

    def fetch(self) -> None:
        """Fetch the whole list once."""


class Host:
    """One balancer and the invocations that still owe a final answer.

    Invariant: an id is in `invocations` from `accept` until its final answer is out and none of its attempts is in
    flight. The same id within that time would be a duplicate, and could run twice.
    """

    def __init__(self, loop: Loop, settings: api.Settings, seed: int, back: Backend, lists: ListSource) -> None:
        self.loop = loop
        self.balancer = Balancer(settings, seed)
        self.overload = Overload()
        self.back = back
        self.invocations: dict[str, Invocation] = {}
        self.sent_ids = SentIds()  # of requests that must run once
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Attempt: self._attempt,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Timer: self._timer,
            api.Watch: lambda action: lists.watch(action.on),
            api.FetchList: lambda action: lists.fetch(),
            api.CloseIdle: lambda action: back.close_idle(action.provider),
            api.Log: lambda action: emit(DECISION_NOTE, text=action.text),
        }

    @property
    def settings(self) -> api.Settings:
        """The settings in force, which are the balancer's."""
        return self.balancer.settings

    def apply_settings(self, settings: api.Settings) -> None:
        """Use new settings from now on."""
        self.handle(api.SettingsChanged(settings))

    # ---- events ---------------------------------------------------------------------------------

    def handle(self, event: api.Event) -> None:
        """Pass one event to the balancer and carry out its actions; events that these cause are handled afterwards."""
        events = self.events
        events.append(event)
        if self.handling:
            return
        self.handling = True
        handlers = self.handlers
        while events:
            event = events.popleft()
            try:
                actions = self.balancer.handle(self.loop.time, [event])
            except Exception as error:
                self._broken(event, error)
                continue
            for action in actions:
                try:
                    handlers[type(action)](action)
                except Exception as error:
                    self._broken(action, error)
        self.handling = False

    def _broken(self, thing: api.Event | api.Action, error: Exception) -> None:
        """Handle an exception from a decision or an action: the request concerned is answered, all others continue."""
        emit(DECISION_BROKEN, about=type(thing).__name__, error=repr(error), at=traceback_location(error))
        invocation = self.invocations.get(getattr(thing, "request_id", getattr(thing, "id", "")))
        if invocation is not None and invocation.open:
            invocation.close(BROKEN)
            self.events.append(api.RequestCancelled(invocation.id))

    def accept(self, invocation: Invocation, age: int = 0, unread: int = 0) -> None:
        """Take an invocation, which owes a final answer from now on.

        Its last byte arrived `age` ns ago, which is deducted from its time left. For `unread` ns of these this process
        could have read it and did not. The rest of the time it waited for an earlier request of its own client, which
        is no sign that this process is overloaded.
        """
        now = self.loop.time
        invocation.time_left -= age
        invocation.deadline = now + invocation.time_left
        self.invocations[invocation.id] = invocation
        reject_share = self.overload.read(now, unread)
        if invocation.is_wanted():  # the balancer measures its traffic by its requests: one without a client is none
            self.handle(invocation.event(reject_share))

    def release(self, invocation: Invocation) -> None:
        """End the client's side of an invocation, whether it is answered or not.

        An attempt in flight runs on: giving it up would stop no work at the provider, and once its response is read to
        the end its connection can be used again.
        """
        if invocation.open:
            invocation.close(None)
            self.handle(api.RequestCancelled(invocation.id))
        self._forget(invocation)

    def _forget(self, invocation: Invocation) -> None:
        """Drop an invocation that is closed and has no attempt in flight."""
        if invocation.open:
            return
        for attempt in invocation.attempts:
            if attempt.running is not None:
                return
        if self.invocations.pop(invocation.id, None) is not None and not invocation.may_have_run():
            self.sent_ids.discard(invocation.id)
        invocation.attempts.clear()  # breaks the reference cycle, which would keep the response's memory in use

    def update_list(self, update: api.MembershipUpdate, addresses: dict[str, str]) -> None:
        """Apply an update of the list of providers."""
        self.back.update_list(update, addresses)
        self.handle(update)

    def attempt_ended(self, attempt: ProviderAttempt, outcome: api.Outcome, payload: Any = None) -> None:
        """Record an attempt's one outcome; with OK, `payload` is the response for a frontend of the same protocol."""
        now = self.loop.time
        attempt.running = None
        attempt.outcome, attempt.ended_at = outcome, now
        invocation = attempt.invocation
        if outcome is api.Outcome.OK and invocation.open:
            invocation.close(FinalAnswer(AnswerKind.SERVED, payload))
        self.handle(
            api.AttemptEnded(
                invocation.id, attempt.number, attempt.provider, outcome, now - attempt.started_at, not invocation.open
            )
        )
        self._forget(invocation)

    # ---- actions --------------------------------------------------------------------------------

    def _attempt(self, action: api.Attempt) -> None:
        """Begin an attempt, unless the client has gone: then report that nothing was sent and the request is over.

        Attempts begin only here, whether a request, the end of another attempt, a timer or a list caused the decision.
        """
        invocation = self.invocations[action.request_id]
        if not invocation.is_wanted() or not self._may_begin(invocation):
            number, none = len(invocation.attempts), api.Outcome.NOT_SENT
            self.handle(api.AttemptEnded(invocation.id, number, action.provider, none, 0, True))
            return
        attempt = ProviderAttempt(invocation, action.provider, action.give_up_at, self.loop.time, action.send_by)
        invocation.attempts.append(attempt)
        self.back.begin(attempt)

    def _may_begin(self, invocation: Invocation) -> bool:
        """Whether an attempt may begin; otherwise the invocation is closed.

        No further attempt begins for a client that may have gone unseen, and no first one for a request that must run
        once and whose id was sent before.
        """
        if invocation.attempts:
            if invocation.client_hidden():
                invocation.close(FAILED if invocation.may_have_run() else FinalAnswer(AnswerKind.REJECTED))
            return invocation.open
        if invocation.cls.effect is api.Effect.REPEATABLE:
            return True
        if self.sent_ids.claim(invocation.id, self.loop.time):
            return True
        emit(INVOCATION_REPEATED, id=invocation.id, **{"class": invocation.cls.name})
        invocation.repeated = True
        invocation.close(FAILED)
        return False

    def _timer(self, action: api.Timer) -> None:
        """Start a timer."""
        if action.request_id:
            self.loop.after(action.delay, self._request_timer_fired, action.request_id, action.tag)
        else:
            self.loop.after(action.delay, self.handle, api.TimerFired(action.tag))

    def _request_timer_fired(self, request_id: str, tag: str) -> None:
        """Report a request's timer to the balancer, unless the request has its final answer."""
        invocation = self.invocations.get(request_id)
        if invocation is not None and invocation.open:
            self.handle(api.TimerFired(tag))

    def _reject(self, action: api.Reject) -> None:
        """Close with a rejection, which tells that a retry is harmless and after what time it may help."""
        after = min(action.retry_after, self.settings.max_retry_after)
        self._close(action.request_id, FinalAnswer(AnswerKind.REJECTED, after=after))

    def _fail(self, action: api.Fail) -> None:
        """Close with a failure; after the deadline it counts as late."""
        invocation = self.invocations.get(action.request_id)
        late = invocation is not None and self.loop.time >= invocation.deadline
        self._close(action.request_id, LATE if late else FAILED)

    def _close(self, request_id: str, final: FinalAnswer) -> None:
        """Give an invocation its final answer, unless it has one."""
        invocation = self.invocations.get(request_id)
        if invocation is not None and invocation.open:
            invocation.close(final)

    def _cancel(self, action: api.Cancel) -> None:
        """Cancel an attempt, unless it has ended."""
        invocation = self.invocations.get(action.request_id)
        if invocation is None:
            return  # all its attempts have ended
        attempt = invocation.attempts[action.attempt]
        if attempt.running is not None:
            attempt.running.cancel()
            self.attempt_ended(attempt, api.Outcome.CANCELLED)
