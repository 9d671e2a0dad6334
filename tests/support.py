"""Small makers of settings, servers and requests for the tests."""

from loftweir.balance import Balancer
from loftweir.interface import (
    Attempt,
    AttemptEnded,
    Effect,
    Endpoint,
    Lifecycle,
    MembershipUpdate,
    Outcome,
    Request,
    RequestClass,
    Safety,
    Scope,
    Settings,
    UpdateKind,
)

MS = 1_000_000
SECOND = 1000 * MS

CLASSES = (
    RequestClass("read", Effect.REPEATABLE, aim=200 * MS, deadline=1000 * MS),
    RequestClass("push", Effect.ONCE, aim=200 * MS, deadline=1000 * MS),
    RequestClass("log-all", Effect.BY_KEY, 200 * MS, 1000 * MS, Scope.ALL, window=500 * MS),
    RequestClass("log-zone", Effect.BY_KEY, 200 * MS, 1000 * MS, Scope.ZONE, window=500 * MS),
    RequestClass("log-cell", Effect.BY_KEY, 200 * MS, 1000 * MS, Scope.CELL, window=500 * MS),
)


def settings(**changes):
    values = {
        "zone": "a",
        "zones": ("a", "b", "c"),
        "classes": {c.name: c for c in CLASSES},
        "safety": Safety(
            answer_grace=20 * MS,
            drain_grace=500 * MS,
            cold_from=0.2,
            warm_within=20 * SECOND,
            fall_multiple=3.0,
            fall_after=3 * SECOND,
            ask_within=10 * SECOND,
        ),
        "max_attempts": 3,
        "second_copies": True,
    }
    return Settings(**(values | changes))


def make_balancer(seed=1, **changes):
    return Balancer(settings(**changes), seed)


def endpoint(address, zone="a", cell=0, lifecycle=Lifecycle.READY, weight=1.0, started_at=0):
    return Endpoint(address, zone, "std", cell, lifecycle, weight, started_at)


def full_list(*endpoints):
    return MembershipUpdate(UpdateKind.FULL, endpoints, 1)


def list_changes(*endpoints):
    return MembershipUpdate(UpdateKind.CHANGES, endpoints, 2)


def request(request_id, class_name="read", time_left=1000 * MS, **more):
    return Request(request_id, class_name, time_left, **more)


def attempt_ended(attempt, outcome, number=0, over=False, elapsed=10 * MS):
    """The outcome of an Attempt action."""
    over = over or outcome is Outcome.OK
    return AttemptEnded(attempt.request_id, number, attempt.provider, outcome, elapsed, over)


def of_type(kind, actions):
    return [a for a in actions if isinstance(a, kind)]


def attempts(actions):
    return of_type(Attempt, actions)
