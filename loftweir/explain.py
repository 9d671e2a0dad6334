"""Where a balancer would send a run of requests, and why it would not use the others. No I/O, no wall clock.

It hosts the real `Balancer` in virtual time: requests come at a steady rate, providers answer as they are said to,
and what the balancer itself says of each provider (`why_not`) is kept beside every decision.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Mapping
from itertools import count
from typing import Any, NamedTuple

from loftweir import interface as api
from loftweir.balance import AILING, Balancer, ProviderState

MS, SECOND = 1_000_000, 1_000_000_000
CALM = 10 * SECOND  # from the list to the first request

# How a provider that does not simply answer ends an attempt: the outcome, and whether it comes at once.
BEHAVIOURS = {
    "resets": (api.Outcome.RESET, True),
    "errs": (api.Outcome.ERROR, True),
    "refuses": (api.Outcome.CONNECT_FAILED, True),
    "full": (api.Outcome.FULL, True),
    "silent": (api.Outcome.TIMED_OUT, False),
}


class Traffic(NamedTuple):
    """What comes: `requests` of one class, `gap` ns apart, each answered after `answer` ns."""

    class_name: str
    requests: int
    gap: int = 100 * MS
    answer: int = 50 * MS


class Decision(NamedTuple):
    """One attempt or final answer, and why each provider not chosen was not usable then."""

    request: int
    at_ms: float
    what: str  # attempt, rejected, failed, held
    provider: str
    others: dict[str, list[str]]


class Explanation(NamedTuple):
    decisions: list[Decision]
    attempts: dict[str, int]  # by provider, those never chosen included
    outcomes: dict[str, int]  # of requests: served, rejected, failed, and none where it is still held

    def as_dict(self) -> dict[str, Any]:
        return {
            "attempts": self.attempts,
            "outcomes": self.outcomes,
            "decisions": [d._asdict() for d in self.decisions],
        }


def why_not(balancer: Balancer, server: ProviderState, cls: api.RequestClass) -> list[str]:
    """Why a first attempt of this class would not go there now; empty: it may. What the decisions are made of, asked
    of the balancer's own parts; it decides nothing."""
    now, near = balancer.now, balancer.near.providers
    far = server.zone != balancer.settings.zone
    reasons = {
        "drains": not server.ready,
        "set aside": server.out_until > now,
        "turned a call away": server.full_until > now,
        "no room": server.full_until <= now and not balancer._has_room(server, cls),
        "fails the class": balancer._fails(server, cls.name) >= AILING,
        "cold": far and bool(near) and balancer._frail(server),
        "other zone": far and any(not why_not(balancer, s, cls) for s in near),
    }
    return [reason for reason, holds in reasons.items() if holds]


class Run:
    """One balancer in virtual time."""

    def __init__(
        self, settings: api.Settings, known: api.MembershipUpdate, seed: int, behaves: Mapping[str, str], began: int
    ) -> None:
        self.balancer = Balancer(settings, seed)
        self.behaves = behaves
        self.began = began  # the list's own clock, ns: servers of the list are as old as it says
        self.order = count()  # of events at one moment
        self.queue: list[tuple[int, int, api.Event]] = []
        self.decisions: list[Decision] = []
        self.over: dict[str, str] = {}
        self.tries: Counter[str] = Counter()
        self.put(began, known)

    def put(self, at: int, event: api.Event) -> None:
        heapq.heappush(self.queue, (at, next(self.order), event))

    def play(self, traffic: Traffic) -> None:
        cls = self.balancer.settings.classes[traffic.class_name]
        first = self.began + CALM
        for number in range(traffic.requests):
            request = api.Request(str(number), cls.name, cls.deadline, key=f"key-{number}")
            self.put(first + number * traffic.gap, request)
        while self.queue and len(self.over) < traffic.requests:
            now, _, event = heapq.heappop(self.queue)
            for action in self.balancer.handle(now, [event]):
                self.carry_out(now, action, cls, traffic)

    def carry_out(self, now: int, action: api.Action, cls: api.RequestClass, traffic: Traffic) -> None:
        if isinstance(action, api.Timer):
            self.put(now + action.delay, api.TimerFired(action.tag))
        elif isinstance(action, api.Attempt):
            self.decide(now, action.request_id, "attempt", action.provider, cls)
            outcome, at_once = BEHAVIOURS.get(self.behaves.get(action.provider, ""), (api.Outcome.OK, False))
            silent = outcome is api.Outcome.TIMED_OUT
            ends = action.give_up_at if silent else now + (MS if at_once else traffic.answer)
            late = ends >= action.give_up_at
            number = self.tries[action.request_id]
            self.tries[action.request_id] += 1
            if late:
                ends, outcome = action.give_up_at, api.Outcome.TIMED_OUT
            served = outcome is api.Outcome.OK
            self.put(ends, api.AttemptEnded(action.request_id, number, action.provider, outcome, ends - now, served))
            if served:
                self.over[action.request_id] = "served"
        elif isinstance(action, api.Reject | api.Fail):
            what = "rejected" if isinstance(action, api.Reject) else "failed"
            self.over[action.request_id] = what
            self.decide(now, action.request_id, what, "", cls)

    def decide(self, now: int, request_id: str, what: str, provider: str, cls: api.RequestClass) -> None:
        others = {
            name: why_not(self.balancer, server, cls)
            for name, server in self.balancer.providers.items()
            if name != provider
        }
        at_ms = (now - self.began - CALM) / MS
        self.decisions.append(Decision(int(request_id), at_ms, what, provider, others))


def explain(
    settings: api.Settings,
    known: api.MembershipUpdate,
    traffic: Traffic,
    seed: int = 1,
    behaves: Mapping[str, str] | None = None,
    began: int = CALM,
) -> Explanation:
    """Plays the traffic against a fresh balancer that holds `known`; equal seeds give equal explanations.

    `behaves` names, for a provider, one of BEHAVIOURS; `began` is the list's clock in ns. A KeyError where the
    class is not one of the settings'.
    """
    run = Run(settings, known, seed, behaves or {}, began)
    run.play(traffic)
    attempts = dict.fromkeys((e.address for e in known.endpoints if e.lifecycle is not api.Lifecycle.GONE), 0)
    for decision in run.decisions:
        if decision.what == "attempt":
            attempts[decision.provider] += 1
    outcomes = Counter(run.over.values())
    outcomes["none"] = traffic.requests - len(run.over)
    return Explanation(run.decisions, attempts, {k: v for k, v in outcomes.items() if v})
