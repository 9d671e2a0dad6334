"""Decides which service a short name refers to if several meshes export one.

Pure: no I/O and no clock.

Only claims, pins and the own mesh decide, never the routes that exist at the moment, so that the winner does not change
when a link fails (KEP-1645 also decides conflicts by age, but by a wall clock). `RULES` has the rules in their order:
the first one that distinguishes two contenders decides.

A contender that would lose is first checked for being the same service: if both declare each other to be the same and
their contracts are equal, it joins the leader, and the short name refers to one service of both. A pin names a single
service: nothing joins it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from loftweir.catalog.claims import Declaration
from loftweir.catalog.names import split_name

NO_CLAIM = (1 << 63) - 1


class Contender(NamedTuple):
    """A service that could have the short name."""

    name: str  # global name
    age: int  # index of its claim; NO_CLAIM: none
    declared: Declaration | None  # None: a pinned name of which nothing is known


class SiteView(NamedTuple):
    """What this site prefers."""

    mesh: str  # the own mesh
    pin: str  # global name; empty: none


class Rule(NamedTuple):
    """One rule of the decision."""

    name: str
    key: Callable[[Contender, SiteView], Any]  # the contender with the smaller key leads
    joins: bool  # whether the same service joins a leader that this rule decided on
    remedy: str  # what an operator can do about a collision that the rule decided


RULES = (
    Rule("pinned by the operator", lambda c, view: c.name != view.pin, False, "change or remove the pin"),
    Rule(
        "the own mesh",
        lambda c, view: split_name(c.name)[1] != view.mesh,
        True,
        "pin the short name to the other service",
    ),
    Rule("the older claim", lambda c, view: c.age, True, "pin the short name, or have the older claim released"),
    Rule("the mesh's name", lambda c, view: split_name(c.name)[1], True, "pin the short name, or claim it"),
)
SAME_SERVICE = "the same service"  # the reason for joining, as texts name it
KEEP_TOGETHER = "if they are one service, declare each in the other's `same`, with equal contracts"


class Collision(NamedTuple):
    """The decision about a short name that several meshes export. Collisions with equal fields are the same event."""

    short: str
    leader: str
    joined: tuple[str, ...]  # by SAME_SERVICE
    lost: tuple[tuple[str, str], ...]  # global names and the rule that decided, ordered by name

    @property
    def text(self) -> str:
        """What happened, why, and what an operator can do."""
        sentence_parts = [f"{self.short} is {self.leader}"]
        if self.joined:
            sentence_parts.append(f"together with {', '.join(self.joined)} ({SAME_SERVICE} by all their declarations)")
        sentence_parts += [f"not {name} ({rule}), which stays reachable by that name" for name, rule in self.lost]
        if not self.lost:
            return ", ".join(sentence_parts) + ": nothing has to be done; pin the name to keep the meshes apart"
        remedies = dict.fromkeys(REMEDIES[rule] for _, rule in self.lost)
        return f"{', '.join(sentence_parts)}: {'; or '.join(remedies)}; or {KEEP_TOGETHER}"


REMEDIES = {rule.name: rule.remedy for rule in RULES}


def is_same_service(one: Contender, other: Contender) -> bool:
    """Whether both meshes declare the two to be one service."""
    if one.declared is None or other.declared is None:
        return False
    both = other.name in one.declared.same and one.name in other.declared.same
    return both and one.declared.contract == other.declared.contract


def resolve(short: str, contenders: Iterable[Contender], view: SiteView, rules: tuple[Rule, ...] = RULES) -> Collision:
    """Decides between contenders of different names, of which there has to be at least one. Their order does not
    matter."""
    keyed = sorted(((tuple(rule.key(c, view) for rule in rules), c) for c in contenders), key=lambda pair: pair[0])
    best, leader = keyed[0]
    joined: list[Contender] = []
    lost: list[tuple[str, str]] = []
    for key, other in keyed[1:]:
        rule = next(rule for rule, a, b in zip(rules, best, key, strict=True) if a != b)
        if rule.joins and all(is_same_service(other, one) for one in (leader, *joined)):
            joined.append(other)
        else:
            lost.append((other.name, rule.name))
    return Collision(short, leader.name, tuple(sorted(c.name for c in joined)), tuple(sorted(lost)))
