"""Checks the four rules against what happened in the simulation: what was sent, executed, answered and notified.

The oracle never asks a balancer anything. Each breach names the rule, the time and what happened.
"""

from __future__ import annotations

from typing import NamedTuple

from loftweir.interface import Effect, RequestClass, Safety, Scope

MAX_SHOWN = 20  # breaches of one rule that are stored; all are counted


class Breach(NamedTuple):
    """One breach of a rule."""

    rule: str  # answers, effects, drains or cold
    at: int  # ns
    what: str


class OpenRequest(NamedTuple):
    """A request that an instance has taken and has to answer."""

    cls: RequestClass
    accepted_at: int
    until: int  # the latest time for its answer
    instance: int


class Execution(NamedTuple):
    """One execution of a request at a node."""

    node: str
    group: object  # the cell or zone within which repeated keys are dropped; None: everywhere
    at: int


class Oracle:
    """Receives every event as it happens. After `finish`, `breaches` and `counts` contain the result."""

    def __init__(self, safety: Safety) -> None:
        self.safety = safety
        self.breaches: list[Breach] = []
        self.counts: dict[str, int] = {"answers": 0, "effects": 0, "drains": 0, "cold": 0}
        self.open: dict[str, OpenRequest] = {}
        self.answers: dict[str, str] = {}
        self.executions: dict[str, list[Execution]] = {}
        self.classes: dict[str, RequestClass] = {}
        self.attempts_in_flight: dict[str, int] = {}
        self.drain_notified_at: dict[tuple[int, str], int] = {}  # by instance and node

    def record(self, rule: str, at: int, what: str) -> None:
        """Records a breach."""
        self.counts[rule] += 1
        if self.counts[rule] <= MAX_SHOWN:
            self.breaches.append(Breach(rule, at, what))

    # ---- answers --------------------------------------------------------------------------------

    def request_accepted(self, request: str, cls: RequestClass, now: int, time_left: int, instance: int) -> None:
        """An instance has taken a request."""
        self.open[request] = OpenRequest(cls, now, now + time_left + self.safety.answer_grace, instance)
        self.classes[request] = cls

    def request_answered(self, request: str, how: str, now: int) -> None:
        """An instance has given a final answer."""
        open_request = self.open.pop(request, None)
        if request in self.answers:
            self.record("answers", now, f"{request} was answered {how} after it was answered {self.answers[request]}")
        elif open_request is None:
            self.record("answers", now, f"{request} was answered {how}, but no client had sent it")
        elif now > open_request.until:
            late = (now - open_request.until) / 1e6
            self.record("answers", now, f"{request} was answered {how} {late:.1f} ms too late")
        if how == "refused" and self.retry_is_harmful(request):
            self.record("answers", now, f"{request} was rejected, which promises that it didn't run, but it has run")
        self.answers[request] = how

    def retry_is_harmful(self, request: str) -> bool:
        """Whether a retry could take effect twice: the request has run, and its class does not drop repetitions."""
        cls = self.classes.get(request)
        if cls is None or cls.effect is Effect.REPEATABLE:
            return False
        if cls.effect is Effect.BY_KEY and cls.scope is Scope.ALL:
            return False
        return bool(self.executions.get(request))

    def request_abandoned(self, request: str) -> None:
        """The instance has crashed and no longer owes an answer."""
        self.open.pop(request, None)
        self.answers.setdefault(request, "gone")

    # ---- effects --------------------------------------------------------------------------------

    def attempt_sent(self, request: str, instance: int, node: str, now: int) -> None:
        """An instance has sent an attempt to a node."""
        if self.attempts_in_flight.get(request, 0) > 0:
            self.record("effects", now, f"{request} was sent to {node} while another attempt was in flight")
        self.attempts_in_flight[request] = self.attempts_in_flight.get(request, 0) + 1
        notified_at = self.drain_notified_at.get((instance, node))
        if notified_at is not None and now > notified_at + self.safety.drain_grace:
            late = (now - notified_at) / 1e6
            self.record("drains", now, f"{request} was sent to {node} {late:.0f} ms after the notice that it drains")

    def attempt_ended(self, request: str) -> None:
        """An instance has the outcome of an attempt."""
        self.attempts_in_flight[request] = self.attempts_in_flight.get(request, 0) - 1

    def execution_started(self, request: str, node: str, zone: str, cell: int, now: int) -> None:
        """A node has started to execute a request."""
        cls = self.classes[request]
        group: object = cell if cls.scope is Scope.CELL else zone if cls.scope is Scope.ZONE else None
        before = self.executions.setdefault(request, [])
        if before and cls.effect is Effect.ONCE:
            self.record("effects", now, f"{request} ran at {node} after it ran at {before[0].node}")
        if before and cls.effect is Effect.BY_KEY:
            first = before[0]
            if first.group != group:
                self.record("effects", now, f"{request} ran in {group} after it ran in {first.group}")
            elif now > first.at + cls.window:
                self.record("effects", now, f"{request} ran again after its deduplication window")
        before.append(Execution(node, group, now))

    # ---- drains and cold nodes ------------------------------------------------------------------

    def drain_notified(self, instance: int, node: str, now: int) -> None:
        """An instance has been told to send nothing more to a node."""
        self.drain_notified_at.setdefault((instance, node), now)

    def ready_notified(self, instance: int, node: str) -> None:
        """An instance has been told that a node is ready."""
        self.drain_notified_at.pop((instance, node), None)

    def cold_node_failed(self, node: str, now: int) -> None:
        """A node has failed under overload while it was cold."""
        self.record("cold", now, f"{node} failed under overload while it was cold")

    def finish(self, now: int) -> None:
        """Records the requests that were never answered."""
        for request, open_request in self.open.items():
            if now > open_request.until:
                self.record("answers", open_request.until, f"{request} was never answered")
