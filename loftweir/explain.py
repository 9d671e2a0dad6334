"""Where a balancer would send a series of requests, and why it would not use the other providers.

It hosts the real `Balancer` in virtual time: requests arrive at a steady rate, and providers answer as configured. For
each decision it records why the balancer excluded each of the other providers (`exclusion_reasons`). There is no I/O
and no wall clock.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Mapping
from itertools import count
from typing import Any, NamedTuple

from loftweir import interface as api
from loftweir.balance import MAX_FAILURE_RATE, Balancer, ProviderState

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
# From the list to the first request.
FIRST_REQUEST_AFTER = 10 * SECOND

# How a provider that does not simply answer ends an attempt: the outcome, and whether it comes at once.
BEHAVIOURS = {
    "resets": (api.Outcome.RESET, True),
    "errs": (api.Outcome.ERROR, True),
    "refuses": (api.Outcome.CONNECT_FAILED, True),
    "full": (api.Outcome.FULL, True),
    "silent": (api.Outcome.TIMED_OUT, False),
}


class Traffic(NamedTuple):
    """The requests to simulate, all of one class."""

    class_name: str
    requests: int
    gap: int = 100 * MS  # ns from one request to the next
    answer: int = 50 * MS  # ns from an attempt to its answer


class Decision(NamedTuple):
    """One attempt or final answer, and why each provider not chosen was not usable then."""

    request: int
    at_ms: float
    what: str  # the kind of decision: attempt, rejected or failed
    provider: str
    others: dict[str, list[str]]  # by provider not chosen: the reasons against it, none if it was usable


class Explanation(NamedTuple):
    """All decisions for the simulated requests, with totals."""

    decisions: list[Decision]
    attempts: dict[str, int]  # by provider, those never chosen included
    outcomes: dict[str, int]  # of requests: served, rejected, failed, and none for those without a final answer

    def as_dict(self) -> dict[str, Any]:
        """Return it as it is printed in JSON."""
        return {
            "attempts": self.attempts,
            "outcomes": self.outcomes,
            "decisions": [d._asdict() for d in self.decisions],
        }


def exclusion_reasons(balancer: Balancer, provider: ProviderState, cls: api.RequestClass) -> list[str]:
    """Return why a first attempt of this class would not go to the provider now; empty if it may.

    It calls the balancer's own checks and decides nothing itself.
    """
    now, local = balancer.now, balancer.local.providers
    remote = provider.zone != balancer.settings.zone
    reasons = {
        "drains": not provider.ready,
        "set aside": provider.ejected_until > now,
        "turned a call away": provider.skipped_until > now,
        "no room": provider.skipped_until <= now and not balancer._has_room(provider, cls),
        "fails the class": balancer._failure_rate(provider, cls.name) >= MAX_FAILURE_RATE,
        "cold": remote and bool(local) and balancer._is_cold(provider),
        "other zone": remote and any(not exclusion_reasons(balancer, p, cls) for p in local),
    }
    return [reason for reason, applies in reasons.items() if applies]


class Simulation:
    """One balancer and its providers in virtual time."""

    def __init__(
        self, settings: api.Settings, known: api.MembershipUpdate, seed: int, behaves: Mapping[str, str], began: int
    ) -> None:
        self.balancer = Balancer(settings, seed)
        self.behaves = behaves
        self.began = began  # ns on the list's own clock, so that providers have the age that the list says
        self.order = count()  # of events at one moment
        self.queue: list[tuple[int, int, api.Event]] = []
        self.decisions: list[Decision] = []
        self.final_answers: dict[str, str] = {}  # by request
        self.attempts: Counter[str] = Counter()  # by request
        self.schedule(began, known)

    def schedule(self, at: int, event: api.Event) -> None:
        """Add an event at a time in ns."""
        heapq.heappush(self.queue, (at, next(self.order), event))

    def run(self, traffic: Traffic) -> None:
        """Simulate the traffic until every request has its final answer or no event is left."""
        cls = self.balancer.settings.classes[traffic.class_name]
        first = self.began + FIRST_REQUEST_AFTER
        for number in range(traffic.requests):
            request = api.Request(str(number), cls.name, cls.deadline, key=f"key-{number}")
            self.schedule(first + number * traffic.gap, request)
        while self.queue and len(self.final_answers) < traffic.requests:
            now, _, event = heapq.heappop(self.queue)
            for action in self.balancer.handle(now, [event]):
                self.carry_out(now, action, cls, traffic)

    def carry_out(self, now: int, action: api.Action, cls: api.RequestClass, traffic: Traffic) -> None:
        """Carry out one action of the balancer and record attempts and final answers."""
        if isinstance(action, api.Timer):
            self.schedule(now + action.delay, api.TimerFired(action.tag))
        elif isinstance(action, api.Attempt):
            self.record(now, action.request_id, "attempt", action.provider, cls)
            outcome, at_once = BEHAVIOURS.get(self.behaves.get(action.provider, ""), (api.Outcome.OK, False))
            silent = outcome is api.Outcome.TIMED_OUT
            ends_at = action.give_up_at if silent else now + (MS if at_once else traffic.answer)
            late = ends_at >= action.give_up_at
            number = self.attempts[action.request_id]
            self.attempts[action.request_id] += 1
            if late:
                ends_at, outcome = action.give_up_at, api.Outcome.TIMED_OUT
            served = outcome is api.Outcome.OK
            ended = api.AttemptEnded(action.request_id, number, action.provider, outcome, ends_at - now, served)
            self.schedule(ends_at, ended)
            if served:
                self.final_answers[action.request_id] = "served"
        elif isinstance(action, api.Reject | api.Fail):
            what = "rejected" if isinstance(action, api.Reject) else "failed"
            self.final_answers[action.request_id] = what
            self.record(now, action.request_id, what, "", cls)

    def record(self, now: int, request_id: str, what: str, provider: str, cls: api.RequestClass) -> None:
        """Record a decision with the reasons against all other providers."""
        others = {
            name: exclusion_reasons(self.balancer, state, cls)
            for name, state in self.balancer.providers.items()
            if name != provider
        }
        at_ms = (now - self.began - FIRST_REQUEST_AFTER) / MS
        self.decisions.append(Decision(int(request_id), at_ms, what, provider, others))


def explain(
    settings: api.Settings,
    known: api.MembershipUpdate,
    traffic: Traffic,
    seed: int = 1,
    behaves: Mapping[str, str] | None = None,
    began: int = FIRST_REQUEST_AFTER,
) -> Explanation:
    """Simulate the traffic with a new balancer that knows the list `known`; equal seeds give equal explanations.

    `behaves` gives one of BEHAVIOURS for some providers, by name; `began` is the time in ns on the list's clock. Raises
    KeyError if the class is not one of the settings'.
    """
    simulation = Simulation(settings, known, seed, behaves or {}, began)
    simulation.run(traffic)
    attempts = dict.fromkeys((e.address for e in known.endpoints if e.lifecycle is not api.Lifecycle.GONE), 0)
    for decision in simulation.decisions:
        if decision.what == "attempt":
            attempts[decision.provider] += 1
    outcomes = Counter(simulation.final_answers.values())
    outcomes["none"] = traffic.requests - len(simulation.final_answers)
    return Explanation(simulation.decisions, attempts, {k: v for k, v in outcomes.items() if v})
