"""Contracts: how often and where a service's requests may be executed, by class, and the strictest of several
contracts.

Pure: no I/O and no clock.

Clauses form a semilattice under `meet`, a product of four chains: once before keyed before repeatable, cell before zone
before all, the shorter window, the earlier deadline. `clause` makes two kinds canonical: scope and window have no
meaning for a repeatable class and take their greatest values, and none for a class that runs once, where they take
their smallest. So neither loosens or tightens another mesh's clause by values without meaning. Contracts meet class by
class. A class that one of them does not have is in no result, since nothing is declared about it there.

Invariant: for every class of a meet, each of the contracts has that class and is no stricter than the meet.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from functools import reduce

import msgspec

from loftweir.interface import Effect, RequestClass, Scope

FOREVER = (1 << 63) - 1
STRICTNESS = {Effect.ONCE: 0, Effect.BY_KEY: 1, Effect.REPEATABLE: 2}
SCOPE_WIDTH = {Scope.CELL: 0, Scope.ZONE: 1, Scope.ALL: 2}


class Clause(msgspec.Struct, frozen=True, gc=False):
    """The contract of one class; made by `clause`."""

    effect: Effect
    scope: Scope
    window: int  # ns
    deadline: int  # ns

    def meet(self, other: Clause) -> Clause:
        """The strictest of both clauses. Commutative, associative, idempotent."""
        return Clause(
            min(self.effect, other.effect, key=STRICTNESS.__getitem__),
            min(self.scope, other.scope, key=SCOPE_WIDTH.__getitem__),
            min(self.window, other.window),
            min(self.deadline, other.deadline),
        )


def clause(effect: Effect, scope: Scope = Scope.ALL, window: int = 0, deadline: int = FOREVER) -> Clause:
    """A clause in canonical form."""
    if effect is Effect.REPEATABLE:
        scope, window = Scope.ALL, FOREVER
    elif effect is Effect.ONCE or window <= 0:
        effect, scope, window = Effect.ONCE, Scope.CELL, 0
    return Clause(effect, scope, window, deadline)


ONCE = clause(Effect.ONCE)
Contract = Mapping[str, Clause]  # by class


def from_classes(classes: Iterable[RequestClass]) -> dict[str, Clause]:
    """The contract that the platform's settings declare."""
    return {cls.name: clause(cls.effect, cls.scope, cls.window, cls.deadline) for cls in classes}


def once_only(classes: Iterable[str]) -> dict[str, Clause]:
    """The contract of a service without a declaration: every class may run at most once."""
    return dict.fromkeys(classes, ONCE)


def _meet(first: Contract, second: Contract) -> Contract:
    return {name: first[name].meet(second[name]) for name in first.keys() & second.keys()}


def strictest(contracts: Iterable[Contract]) -> dict[str, Clause]:
    """The strictest of one or more contracts. The classes are ordered by name, whatever the order of the contracts."""
    return dict(sorted(reduce(_meet, contracts).items()))


def across_meshes(contract: Contract) -> dict[str, Clause]:
    """The contract over several meshes. Servers of one mesh do not know the keys that another mesh has seen, and zones
    of two meshes are never the same; so no scope is wider than a zone."""
    return {
        name: msgspec.structs.replace(declared, scope=Scope.ZONE)
        if declared.effect is Effect.BY_KEY and declared.scope is Scope.ALL
        else declared
        for name, declared in contract.items()
    }


def apply_clause(cls: RequestClass, declared: Clause) -> RequestClass:
    """The class as the service's balancer gets it: with this site's own values, but never less strict than the
    contract."""
    strictest_clause = clause(cls.effect, cls.scope, cls.window, cls.deadline).meet(declared)
    return replace(
        cls,
        effect=strictest_clause.effect,
        scope=strictest_clause.scope,
        window=strictest_clause.window,
        deadline=strictest_clause.deadline,
    )
