"""Balancers for comparison behind the same interface, and balancers with deliberate defects to check the oracle."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from loftweir import interface as api
from loftweir.balance import Balancer

DISCOVERY = "discovery"  # tag of the timer that restarts the watch
DEFECT_ATTEMPT_TIME = 10**9  # ns for an attempt that a defect adds


class Baseline:
    """Keeps the rules in the simplest way: one attempt to any ready provider, and a final answer when it ends or at the
    deadline. Subclasses choose the provider."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.providers: dict[str, api.Endpoint] = {}
        self.open: dict[str, api.Request] = {}
        self.in_flight: dict[str, int] = {}  # attempts by provider

    def choose(self, ready: list[str]) -> str:
        """Returns one of the ready providers."""
        raise NotImplementedError

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.Request):
                self._request(now, event, actions)
            elif isinstance(event, api.AttemptEnded):
                self.in_flight[event.provider] = self.in_flight.get(event.provider, 0) - 1
                if self.open.pop(event.request_id, None) is not None and not event.request_ended:
                    harmless = event.outcome.never_ran
                    actions.append(api.Reject(event.request_id) if harmless else api.Fail(event.request_id))
            elif isinstance(event, api.MembershipUpdate):
                self._membership_update(event, actions)
            elif isinstance(event, api.RequestCancelled):
                self.open.pop(event.request_id, None)
            elif isinstance(event, api.TimerFired) and event.tag == DISCOVERY:
                actions.append(api.Watch())
        return actions

    def _request(self, now: int, request: api.Request, actions: list[api.Action]) -> None:
        ready = [name for name, e in self.providers.items() if e.lifecycle is api.Lifecycle.READY]
        if not ready or request.time_left <= 0:
            actions.append(api.Reject(request.id))
            return
        provider = self.choose(ready)
        self.open[request.id] = request
        self.in_flight[provider] = self.in_flight.get(provider, 0) + 1
        actions.append(api.Attempt(request.id, provider, now + request.time_left))

    def _membership_update(self, update: api.MembershipUpdate, actions: list[api.Action]) -> None:
        if update.kind in (api.UpdateKind.FAILED, api.UpdateKind.REMEMBERED):
            delay = self.random.randrange(self.settings.safety.ask_within // 2 + 1)
            actions.append(api.Timer(delay, DISCOVERY))
        if update.kind in (api.UpdateKind.FULL, api.UpdateKind.REMEMBERED):
            self.providers = {}
        for endpoint in update.endpoints:
            self.providers[endpoint.address] = endpoint


class RandomChoice(Baseline):
    """Chooses a ready provider at random."""

    def choose(self, ready: list[str]) -> str:
        return self.random.choice(ready)


class RoundRobin(Baseline):
    """Chooses the ready providers in turn."""

    turn = 0

    def choose(self, ready: list[str]) -> str:
        self.turn += 1
        return ready[self.turn % len(ready)]


class LeastOutstanding(Baseline):
    """Chooses the ready provider with the fewest attempts of this balancer in flight; at random among equals."""

    def choose(self, ready: list[str]) -> str:
        least = min(self.in_flight.get(name, 0) for name in ready)
        return self.random.choice([name for name in ready if self.in_flight.get(name, 0) == least])


BALANCERS: dict[str, Callable[[api.Settings, int], Balancer | Baseline]] = {
    "loftweir": Balancer,
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
}


# ---- deliberate defects -----------------------------------------------------------------------------


class RetriesOnceClass(Balancer):
    """Retries a request of class `once` after a reset, when it may have run already."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        actions = super().handle(now, events)
        for event in events:
            if isinstance(event, api.AttemptEnded) and event.outcome is api.Outcome.RESET and self.providers:
                fails = [a for a in actions if isinstance(a, api.Fail) and a.request_id == event.request_id]
                for fail in fails:
                    actions.remove(fail)
                    ready = [s.address for s in self.providers.values() if s.ready and s.address != event.provider]
                    if ready:
                        provider = self.random.choice(ready)
                        actions.append(api.Attempt(event.request_id, provider, now + DEFECT_ATTEMPT_TIME))
        return actions


class AnswersTwice(Balancer):
    """Sends each rejection and failure twice."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        actions = super().handle(now, events)
        return actions + [a for a in actions if isinstance(a, api.Reject | api.Fail)]


class NeverAnswers(Balancer):
    """Drops its rejections and failures."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        return [a for a in super().handle(now, events) if not isinstance(a, api.Reject | api.Fail)]


class IgnoresDrains(Balancer):
    """Treats a draining provider as ready."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        for event in events:
            if isinstance(event, api.MembershipUpdate):
                event.endpoints = tuple(
                    api.Endpoint(e.address, e.zone, e.kind, e.cell, api.Lifecycle.READY, e.weight, e.started_at)
                    if e.lifecycle is api.Lifecycle.DRAINING
                    else e
                    for e in event.endpoints
                )
        return super().handle(now, events)


class FloodsCold(Balancer):
    """Sends all attempts to the provider that started last."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        actions = super().handle(now, events)
        ready = [s for s in self.providers.values() if s.ready]
        newest = max(ready, key=lambda s: s.started_at, default=None)
        for action in actions:
            if isinstance(action, api.Attempt) and newest is not None:
                action.provider = newest.address
        return actions


class SendsTwice(Balancer):
    """Sends each attempt twice at the same time, and hides the outcome of the second copy from the real balancer."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        visible = []
        for event in events:
            if isinstance(event, api.AttemptEnded):
                if event.attempt % 2:
                    continue
                event.attempt //= 2
            visible.append(event)
        actions = super().handle(now, visible)
        return actions + [
            api.Attempt(a.request_id, a.provider, a.give_up_at) for a in actions if isinstance(a, api.Attempt)
        ]


DEFECTIVE: dict[str, Callable[[api.Settings, int], Balancer]] = {
    "effects: retries class once": RetriesOnceClass,
    "effects: sends twice": SendsTwice,
    "answers: twice": AnswersTwice,
    "answers: never": NeverAnswers,
    "drains: ignored": IgnoresDrains,
    "cold: flooded": FloodsCold,
}
