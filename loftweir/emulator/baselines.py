"""Balancers to compare with, behind the same interface, and others that are broken on purpose for the oracle."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from loftweir import interface as api
from loftweir.balance import Balancer

DISCOVERY = "discovery"


class Baseline:
    """Keeps the rules in the plainest way: one attempt, the fleet's ready servers, a final answer at its end or at the
    deadline. How a server is picked is the subclass's."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.servers: dict[str, api.Endpoint] = {}
        self.open: dict[str, api.Request] = {}
        self.out: dict[str, int] = {}

    def pick(self, ready: list[str]) -> str:
        raise NotImplementedError

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.Request):
                self._request(now, event, actions)
            elif isinstance(event, api.AttemptEnded):
                self.out[event.provider] = self.out.get(event.provider, 0) - 1
                if self.open.pop(event.request_id, None) is not None and not event.request_ended:
                    harmless = event.outcome.never_ran
                    end = api.Reject(event.request_id) if harmless else api.Fail(event.request_id)
                    actions.append(end)
            elif isinstance(event, api.MembershipUpdate):
                self._membership(event, actions)
            elif isinstance(event, api.RequestCancelled):
                self.open.pop(event.request_id, None)
            elif isinstance(event, api.TimerFired) and event.tag == DISCOVERY:
                actions.append(api.Watch())
        return actions

    def _request(self, now: int, request: api.Request, actions: list[api.Action]) -> None:
        ready = [name for name, e in self.servers.items() if e.lifecycle is api.Lifecycle.READY]
        if not ready or request.time_left <= 0:
            actions.append(api.Reject(request.id))
            return
        server = self.pick(ready)
        self.open[request.id] = request
        self.out[server] = self.out.get(server, 0) + 1
        actions.append(api.Attempt(request.id, server, now + request.time_left))

    def _membership(self, update: api.MembershipUpdate, actions: list[api.Action]) -> None:
        if update.kind in (api.UpdateKind.FAILED, api.UpdateKind.REMEMBERED):
            wait = self.random.randrange(self.settings.safety.ask_within // 2 + 1)
            actions.append(api.Timer(wait, DISCOVERY))
        if update.kind in (api.UpdateKind.FULL, api.UpdateKind.REMEMBERED):
            self.servers = {}
        for endpoint in update.endpoints:
            self.servers[endpoint.address] = endpoint


class RandomChoice(Baseline):
    """Any ready server of the fleet."""

    def pick(self, ready: list[str]) -> str:
        return self.random.choice(ready)


class RoundRobin(Baseline):
    """The fleet's ready servers in turn."""

    turn = 0

    def pick(self, ready: list[str]) -> str:
        self.turn += 1
        return ready[self.turn % len(ready)]


class LeastOutstanding(Baseline):
    """The ready server that holds fewest of this balancer's calls; at random among equals."""

    def pick(self, ready: list[str]) -> str:
        least = min(self.out.get(name, 0) for name in ready)
        return self.random.choice([name for name in ready if self.out.get(name, 0) == least])


BALANCERS: dict[str, Callable[[api.Settings, int], Balancer | Baseline]] = {
    "loftweir": Balancer,
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
}


# ---- broken on purpose ------------------------------------------------------------------------------


class RepeatsOnce(Balancer):
    """Sends a request of class `once` again after a reset."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        actions = super().handle(now, events)
        for event in events:
            if isinstance(event, api.AttemptEnded) and event.outcome is api.Outcome.RESET and self.providers:
                fails = [a for a in actions if isinstance(a, api.Fail) and a.request_id == event.request_id]
                for fail in fails:
                    actions.remove(fail)
                    ready = [s.address for s in self.providers.values() if s.ready and s.address != event.provider]
                    if ready:
                        actions.append(api.Attempt(event.request_id, self.random.choice(ready), now + 10**9))
        return actions


class AnswersTwice(Balancer):
    """Says a rejection again."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        actions = super().handle(now, events)
        return actions + [a for a in actions if isinstance(a, api.Reject | api.Fail)]


class NeverAnswers(Balancer):
    """Drops its final answers."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        return [a for a in super().handle(now, events) if not isinstance(a, api.Reject | api.Fail)]


class IgnoresDrains(Balancer):
    """Takes one that drains for ready."""

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
    """Sends all to the server that started last."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        actions = super().handle(now, events)
        ready = [s for s in self.providers.values() if s.ready]
        newest = max(ready, key=lambda s: s.started_at, default=None)
        for action in actions:
            if isinstance(action, api.Attempt) and newest is not None:
                action.provider = newest.address
        return actions


class SendsTwice(Balancer):
    """Sends a second copy while the first is out; of what comes of the copies it hears nothing."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        heard = []
        for event in events:
            if isinstance(event, api.AttemptEnded):
                if event.attempt % 2:
                    continue
                event.attempt //= 2
            heard.append(event)
        actions = super().handle(now, heard)
        return actions + [
            api.Attempt(a.request_id, a.provider, a.give_up_at) for a in actions if isinstance(a, api.Attempt)
        ]


BROKEN: dict[str, Callable[[api.Settings, int], Balancer]] = {
    "effects: repeats once": RepeatsOnce,
    "effects: sends twice": SendsTwice,
    "answers: twice": AnswersTwice,
    "answers: never": NeverAnswers,
    "drains: ignored": IgnoresDrains,
    "cold: flooded": FloodsCold,
}
