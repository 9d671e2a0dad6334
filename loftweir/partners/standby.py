"""A partner's providers in the place of this site's own, while none of these is ready. Pure.

The balancer is told of them as of any other, as providers of a zone that is the partner's alone. What terms allow in
part can't be held here: the balancer knows classes and shares of a zone in no form. So they are told only where the
terms allow all that this sidecar may send (`unfit`).

The rule on repeats holds across sites by names: a keyed request whose repeats are dropped within a zone or a cell
stays in it, and no zone or cell of a partner has the name of one here. One whose repeats all servers drop might run
here and, sent again, there; so the partner's are told only where no class is of that kind, or the operators say that
both sites drop each other's (`shares_keys`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import NamedTuple

from loftweir.interface import Effect, Endpoint, Lifecycle, MembershipUpdate, Scope, Settings, UpdateKind
from loftweir.partners.merge import Used

MS = 1_000_000
Told = tuple[MembershipUpdate, dict[str, str]]


class Gate(NamedTuple):
    """A border provider of a partner, as the balancer is told of it."""

    endpoint: Endpoint
    address: str


def unfit(used: Used, settings: Settings, shares_keys: bool) -> str:
    """Why a route can't be used by this sidecar though its terms name its site; empty: it can."""
    route = used.route
    left_out = sorted(name for name in settings.classes if name.lower() not in route.classes)
    if left_out:
        return f"it is not for {', '.join(left_out)}"
    if route.share is not None and route.share < 1:
        return f"its share is {route.share:g}, and a part can't be held to"
    if route.rate is not None:
        return f"its rate is {route.rate:g} a second, and a rate can't be held to"
    keyed = sorted(c.name for c in settings.classes.values() if c.effect is Effect.BY_KEY and c.scope is Scope.ALL)
    if keyed and not shares_keys:
        return f"repeats of {', '.join(keyed)} are dropped by this site's servers, and it is not said that theirs do"
    return ""


def gates(used: Used, back_at: int) -> dict[str, Gate]:
    """Its providers, each under a name, zone and cell that nothing of this site has. One is no warmer than the way to
    its site: what was away comes back as a server does that has just started."""
    zone, place = f"partner:{used.partner}", int.from_bytes(used.partner.encode(), "big") << 64
    found = {}
    for one in used.route.providers:
        name = f"{one.name}@{used.partner}"
        ready = Lifecycle.READY if one.status == "active" else Lifecycle.DRAINING
        started_at = max(one.since_ms * MS, back_at)
        found[name] = Gate(
            Endpoint(name, zone, one.kind, -1 - place - one.cell, ready, one.weight, started_at), one.address
        )
    return found


class Standby:
    """Between discovery's list, as the operators' words have left it, and the balancer.

    Invariants: the balancer has been told `laid` beside this site's own, and nothing of a partner while one of its own
    is ready, but for those that drain. What is not wanted any more drains first, and goes by `over`."""

    def __init__(self) -> None:
        self.known = False  # a list of this site's was told
        self.own: dict[str, bool] = {}  # its providers, and whether each is ready
        self.offered: dict[str, Gate] = {}  # of the route that is used
        self.laid: dict[str, Gate] = {}

    @property
    def needed(self) -> bool:
        return self.known and not any(self.own.values())

    def update(self, update: MembershipUpdate, addresses: Mapping[str, str]) -> Told:
        """What is told of this site's own, with what follows from it for the partner's."""
        if update.kind is UpdateKind.FAILED:
            return update, dict(addresses)
        whole = update.kind is not UpdateKind.CHANGES
        if whole:
            self.own = {}
        # A start with no list remembered knows nothing yet: what its site has it is soon told.
        self.known = self.known or update.kind is not UpdateKind.REMEMBERED or bool(update.endpoints)
        for endpoint in update.endpoints:
            self.laid.pop(endpoint.address, None)  # the name is the own one's now, or free again: told anew
            if endpoint.lifecycle is Lifecycle.GONE:
                self.own.pop(endpoint.address, None)
            else:
                self.own[endpoint.address] = endpoint.lifecycle is Lifecycle.READY
        changed = self._lay()
        told = self.laid if whole else changed
        return self._with(update, addresses, told)

    def use(self, offered: Mapping[str, Gate]) -> Told | None:
        """The providers of the route that is used from now on; empty: there is none."""
        self.offered = dict(offered)
        return self._only(self._lay())

    def over(self) -> Told | None:
        """Those that drain have had their time."""
        gone = {
            name: Gate(replace(gate.endpoint, lifecycle=Lifecycle.GONE), gate.address)
            for name, gate in self.laid.items()
            if name not in self._wanted()
        }
        for name in gone:
            del self.laid[name]
        return self._only(gone)

    def _wanted(self) -> dict[str, Gate]:
        return {name: gate for name, gate in self.offered.items() if name not in self.own} if self.needed else {}

    def _lay(self) -> dict[str, Gate]:
        """What is another from now on."""
        wanted = self._wanted()
        after = dict(wanted)
        for name, gate in self.laid.items():
            if name not in wanted and name not in self.own:
                after[name] = Gate(replace(gate.endpoint, lifecycle=Lifecycle.DRAINING), gate.address)
        changed = {name: gate for name, gate in after.items() if self.laid.get(name) != gate}
        self.laid = after
        return changed

    @property
    def drains(self) -> bool:
        return len(self.laid) > len(self._wanted())

    @staticmethod
    def _with(update: MembershipUpdate, addresses: Mapping[str, str], told: Mapping[str, Gate]) -> Told:
        endpoints = (*update.endpoints, *(gate.endpoint for gate in told.values()))
        return replace(update, endpoints=endpoints), {**addresses, **{n: gate.address for n, gate in told.items()}}

    def _only(self, told: Mapping[str, Gate]) -> Told | None:
        return self._with(MembershipUpdate(UpdateKind.CHANGES), {}, told) if told else None


def counted(names: Iterable[str]) -> str:
    """`a:2,b:1`, for a line."""
    found: dict[str, int] = {}
    for name in names:
        found[name] = found.get(name, 0) + 1
    return ",".join(f"{name}:{found[name]}" for name in sorted(found)) or "-"
