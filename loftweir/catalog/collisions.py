"""Who has a short name, where several meshes export one. Pure.

Decided by claims, pins and the own mesh alone, never by which routes are there: so a winner does not change with a link
(KEP-1645's conflicts are decided by age too; there by a wall clock). The rules stand in `RULES`, in their order: the
first that tells two contenders apart decides.

"same service" is asked of each contender that the leader would leave behind, before that: where both declare the other
the same and their contracts are equal, it joins the leader, and the short name is one service of both. A pin names one
service, alone: nothing joins it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from loftweir.catalog.claims import Declaration
from loftweir.catalog.names import parts

NEVER = (1 << 63) - 1


class Contender(NamedTuple):
    name: str  # global
    age: int  # its claim's index; NEVER: none
    declared: Declaration | None  # None: a pin of which nothing is known


class View(NamedTuple):
    mesh: str  # the own one
    pin: str  # global name, empty: none


class Rule(NamedTuple):
    name: str
    key: Callable[[Contender, View], Any]  # the smaller leads
    joins: bool  # whether the same service joins who leads by this rule
    remedy: str  # to a collision that it decided


RULES = (
    Rule("pinned by the operator", lambda c, view: c.name != view.pin, False, "change or take away the pin"),
    Rule("the own mesh", lambda c, view: parts(c.name)[1] != view.mesh, True, "pin the short name to the other"),
    Rule("the older claim", lambda c, view: c.age, True, "pin the short name, or have the older claim let go"),
    Rule("the mesh's name", lambda c, view: parts(c.name)[1], True, "pin the short name, or claim it"),
)
SAME = "the same service"
APART = "declare each the other in `same` with equal contracts where they are one service"


class Collision(NamedTuple):
    """One event: a short name that several meshes export. Equal ones say the same."""

    short: str
    leader: str
    joined: tuple[str, ...]  # by SAME
    lost: tuple[tuple[str, str], ...]  # global name and the rule that decided, in order of names

    @property
    def text(self) -> str:
        """What happened, why, and what an operator can do."""
        said = [f"{self.short} is {self.leader}"]
        if self.joined:
            said.append(f"together with {', '.join(self.joined)} ({SAME} by all their declarations)")
        said += [f"not {name} ({rule}), which stays reachable by that name" for name, rule in self.lost]
        if not self.lost:
            return ", ".join(said) + ": nothing is to be done; pin the name to keep the meshes apart"
        remedies = dict.fromkeys(REMEDIES[rule] for _, rule in self.lost)
        return f"{', '.join(said)}: {'; or '.join(remedies)}; or {APART}"


REMEDIES = {rule.name: rule.remedy for rule in RULES}


def same(one: Contender, other: Contender) -> bool:
    """One service, by both meshes' declaration."""
    if one.declared is None or other.declared is None:
        return False
    both = other.name in one.declared.same and one.name in other.declared.same
    return both and one.declared.contract == other.declared.contract


def resolve(short: str, contenders: Iterable[Contender], view: View, rules: tuple[Rule, ...] = RULES) -> Collision:
    """At least one contender, of different names. The result does not go with their order."""
    keyed = sorted(((tuple(rule.key(c, view) for rule in rules), c) for c in contenders), key=lambda pair: pair[0])
    best, leader = keyed[0]
    joined: list[Contender] = []
    lost: list[tuple[str, str]] = []
    for key, other in keyed[1:]:
        rule = next(rule for rule, a, b in zip(rules, best, key, strict=True) if a != b)
        if rule.joins and all(same(other, one) for one in (leader, *joined)):
            joined.append(other)
        else:
            lost.append((other.name, rule.name))
    return Collision(short, leader.name, tuple(sorted(c.name for c in joined)), tuple(sorted(lost)))
