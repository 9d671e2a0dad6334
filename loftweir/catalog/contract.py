"""What may be done with a service's requests, by class, and the strictest of several such words. Pure.

Clauses form a semilattice under `meet`, a product of four chains: once before keyed before repeatable, cell before zone
before all, the shorter window, the earlier deadline. Two forms are made one (`clause`): of what is repeated freely
scope and window say nothing and are at their top, of what is called once they are at their bottom; so that neither
loosens nor tightens another mesh's words by what it does not mean. Contracts meet class by class, and a class that one
of them does not have is in none: nobody said what it does there.

Invariant: for every class that a meet has, each of its contracts has it, and no softer.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from functools import reduce

import msgspec

from loftweir.interface import Effect, RequestClass, Scope

FOREVER = (1 << 63) - 1
STRICTNESS = {Effect.ONCE: 0, Effect.BY_KEY: 1, Effect.REPEATABLE: 2}
WIDTH = {Scope.CELL: 0, Scope.ZONE: 1, Scope.ALL: 2}


class Clause(msgspec.Struct, frozen=True, gc=False):
    """Of one class; made by `clause`."""

    effect: Effect
    scope: Scope
    window: int  # ns
    deadline: int  # ns

    def meet(self, other: Clause) -> Clause:
        """Commutative, associative, idempotent."""
        return Clause(
            min(self.effect, other.effect, key=STRICTNESS.__getitem__),
            min(self.scope, other.scope, key=WIDTH.__getitem__),
            min(self.window, other.window),
            min(self.deadline, other.deadline),
        )


def clause(effect: Effect, scope: Scope = Scope.ALL, window: int = 0, deadline: int = FOREVER) -> Clause:
    """In the one form."""
    if effect is Effect.REPEATABLE:
        scope, window = Scope.ALL, FOREVER
    elif effect is Effect.ONCE or window <= 0:
        effect, scope, window = Effect.ONCE, Scope.CELL, 0
    return Clause(effect, scope, window, deadline)


ONCE = clause(Effect.ONCE)
Contract = Mapping[str, Clause]  # by class


def of(classes: Iterable[RequestClass]) -> dict[str, Clause]:
    """The contract that the platform's settings declare."""
    return {cls.name: clause(cls.effect, cls.scope, cls.window, cls.deadline) for cls in classes}


def once(classes: Iterable[str]) -> dict[str, Clause]:
    """Of whom nothing is declared: every class may run once at the most."""
    return dict.fromkeys(classes, ONCE)


def _both(one: Contract, other: Contract) -> Contract:
    return {name: one[name].meet(other[name]) for name in one.keys() & other.keys()}


def strictest(contracts: Iterable[Contract]) -> dict[str, Clause]:
    """Of at least one. The classes are in order of their names, whatever the order of the contracts."""
    return dict(sorted(reduce(_both, contracts).items()))


def apart(contract: Contract) -> dict[str, Clause]:
    """As it holds over several meshes: one mesh's memory of keys does not reach into another, so that no scope is wider
    than a zone, and zones of two meshes are never one."""
    return {
        name: msgspec.structs.replace(one, scope=Scope.ZONE)
        if one.effect is Effect.BY_KEY and one.scope is Scope.ALL
        else one
        for name, one in contract.items()
    }


def applied(cls: RequestClass, one: Clause) -> RequestClass:
    """A class as the service's balancer gets it: this site's own figures, never softer than the contract."""
    met = clause(cls.effect, cls.scope, cls.window, cls.deadline).meet(one)
    return replace(cls, effect=met.effect, scope=met.scope, window=met.window, deadline=met.deadline)
