"""This sidecar's part among the partners: it knows what the copies hold of them, uses and shows by that, asks some.

The one module that `sidecar` imports of the partners, and only where the operator's file names a site. Everything
decided here follows from the copies, the file and the time: `Merger` decides, on every sidecar alike.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, Protocol

from loftweir.config.model import Options
from loftweir.config.model import Partners as PartnersOptions
from loftweir.config.units import parse_members
from loftweir.interface import MembershipUpdate, Settings
from loftweir.lease.duty import Duty
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.operations.calls import No, OperatorCommand
from loftweir.partners.file import Sites
from loftweir.partners.link import Link, keys_of, limits, timing
from loftweir.partners.merge import Changed, Merged, Merger, Policy, Reason, Standing
from loftweir.partners.offer import Listener
from loftweir.partners.replicated_table import HEAD, NotReadable, Shelf
from loftweir.partners.shown import DUTY as OFFERS
from loftweir.partners.shown import Shown
from loftweir.partners.standby import Standby, counted, gates, unfit
from loftweir.partners.terms import FOREVER
from loftweir.replication.caller import Caller
from loftweir.replication.machine import Machine
from loftweir.replication.part import Part
from loftweir.telemetry.catalogue import (
    PARTNERS_LEAKED,
    PARTNERS_NOT_READABLE,
    PARTNERS_STANDBY,
    PARTNERS_TABLE,
)
from loftweir.telemetry.log import emit

APART = 150 * MS  # from the first voter that asks for a free lease to the next: each partner has its own order of them
DRAINS_FOR = SECOND  # past the longest deadline, that a partner's providers drain
CLEARED_WITHIN = SECOND
OWN = 8  # descriptors: two callers, and what is between one and the next
SPARE = 16  # ... for neighbours that a reload adds

Told = Callable[[MembershipUpdate, dict[str, str]], None]


def descriptors(options: PartnersOptions, sites: Sites) -> int:
    """How many of the sidecar's descriptors the partners may take."""
    listens = options.callers + 2 if options.listen else 0
    return OWN + 2 * (len(sites.neighbours) + SPARE) + listens


class Catalog(Protocol):
    """The services at work, where the operator's file names some: by their routes, in place of `standby`."""

    def routed(self, merged: Merged) -> None: ...

    def claimed(self, claims: Any) -> None: ...


class Partners:
    """Invariants: `merger` has been told what each shelf has at this moment; the balancer has been told what follows
    from it (`standby`), and the neighbours are shown what does (`shown`)."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        options: Options,
        sites: Sites,
        fleet: Part,
        told: Told,
        settings: Callable[[], Settings],
    ) -> None:
        self.loop = loop
        self.name = name
        self.options = options.partners
        self.site = options.partners.site.lower()
        self.service = "" if options.catalog.file else options.partners.service.lower()
        self.catalog: Catalog | None = None
        self.timing = timing(self.options, self.options.hold)
        self.sites = sites
        self.fleet = fleet
        self.told = told
        self.settings = settings
        self.seats = parse_members(options.replication.members)
        id = secrets.token_hex(8)
        self.callers = tuple(
            Caller(loop, name, id, options.replication, self.seats, lambda: fleet.index) for _ in range(2)
        )
        self.shelves: dict[str, Shelf] = {}
        self.links: dict[str, Link] = {}
        self.duties: dict[str, Duty] = {}
        self.merger = Merger(self._policy())
        self.standby = Standby()
        self.why_not = "no route"  # why a route that is used is not good enough for this sidecar
        self.listener: Listener | None = None
        self.shown = Shown(loop, options, fleet, lambda: self.merger, self._changed)
        self.task: Task | None = None  # which follows the time
        self.wakes_at = 0
        self.leaves = False
        if options.partners.listen:
            self.listener = Listener(loop, self.shown, options.partners.callers)
        fleet.heard.append(self._heard)

    def _policy(self) -> Policy:
        neighbours = self.sites.neighbours.values()
        return Policy(
            self.site,
            roles={one.name: one.role for one in neighbours},
            preference={one.name: one.preference for one in neighbours},
            offers=self.sites.routes,
            gone_after=self.options.gone,
            limits=limits(self.options),
        )

    # ---- begin and end --------------------------------------------------------------------------

    def start(self) -> None:
        if self.listener is not None:
            self.listener.listen(self.options.listen)
            if self.name in self.seats:
                self.shown.duty = self._duty(OFFERS, self.shown.begin, self.shown.end)
        self.use(self.sites)
        self.task = self.loop.spawn(self._run(), self._crashed)

    def _crashed(self, _: Exception) -> None:
        self.loop.after(SECOND, self._again)

    def _again(self) -> None:
        if not self.leaves:
            self.task = self.loop.spawn(self._run(), self._crashed)

    def use(self, sites: Sites) -> None:
        """These are the neighbours and own routes from now on."""
        self.sites = sites
        for name in self.shelves.keys() - sites.neighbours.keys():
            self._forget(name)
        for name, neighbour in sites.neighbours.items():
            shelf = self.shelves.setdefault(name, Shelf(f"partner:{name}"))
            link = self.links.get(name)
            if link is not None:
                link.neighbour = neighbour
            elif self.name in self.seats:
                link = self.links[name] = Link(self.loop, self.site, neighbour, self.options, self.fleet, shelf)
                duty = self.duties[name] = self._duty(shelf.duty, link.begin, link.end)
                link.serve(duty)
            if name in self.duties:
                self.duties[name].want(bool(neighbour.addresses) and not self.leaves)
        self.merger = Merger(self._policy(), self.loop.now(), self.merger.helds)
        if self.listener is not None:
            self.listener.know(sites.neighbours)
        self.shown.neighbours(sites.neighbours)
        self.shown.again(sites.neighbours)
        self._lay()
        if self.catalog is not None:
            self.catalog.routed(self.merger.merged)
        if self.fleet.machine is not None:
            self._heard(self.fleet.machine)

    def _forget(self, name: str) -> None:
        del self.shelves[name]
        self.merger.drop(name, self.loop.now())
        if name in self.duties:
            duty = self.duties.pop(name)
            del self.links[name]
            self.loop.spawn(self._clear(duty))

    def _clear(self, duty: Duty) -> Coroutine[None]:
        """What the copies have of one that is no neighbour any more goes, if this sidecar held its lease."""
        until = self.loop.now() + CLEARED_WITHIN
        machine = self.fleet.machine
        try:
            if machine is not None and duty.may_act() is not None:
                for key in sorted(keys_of(machine.facts, duty.duty), key=lambda key: key != HEAD):
                    yield from duty.put(key, b"", max(MS, until - self.loop.now()))
        except Exception:  # whatever is left there is of nobody's, and bounded
            pass
        duty.want(False)
        yield Wait(None, 0, self.loop.now() + CLEARED_WITHIN)
        duty.close()

    def _duty(self, name: str, begin: Callable[[int], None], end: Callable[[], None]) -> Duty:
        orders, facts = self.callers
        order = sorted(self.seats, key=lambda seat: blake2b(f"{seat} {name}".encode()).digest())
        apart = APART * order.index(self.name)
        duty = Duty(self.loop, self.name, name, self.options.lease, (orders, facts), begin, end, apart)
        duty.want(True)
        return duty

    def _all_duties(self) -> list[Duty]:
        return [*self.duties.values(), *([self.shown.duty] if self.shown.duty is not None else [])]

    def leave(self) -> None:
        """The process is about to end: leases are released, so that others go on at once, and the address is free for
        the next process. What is known here holds on."""
        self.leaves = True
        for duty in self._all_duties():
            duty.want(False)
        if self.listener is not None:
            self.listener.close()

    def close(self) -> None:
        self.leaves = True
        for duty in self._all_duties():
            duty.close()
        for link in self.links.values():
            link.close()
        self.shown.end()
        if self.task is not None:
            self.task.cancel()
        for caller in self.callers:
            caller.close()

    # ---- what holds -----------------------------------------------------------------------------

    def _heard(self, machine: Machine) -> None:
        """The copies have something else than before."""
        now = self.loop.now()
        for name, shelf in self.shelves.items():
            try:
                if not shelf.read(machine.facts, now):
                    continue
            except NotReadable as error:
                emit(PARTNERS_NOT_READABLE, partner=name, why=error)
            self._hold(name, now)
        if self.catalog is not None:
            self.catalog.claimed(machine.claims)
        if self.listener is not None:
            self.shown.heard(machine, self.shelves)
        for duty in self._all_duties():
            duty.saw(machine)

    def _hold(self, name: str, now: int) -> None:
        before, shelf = self.merger.helds.get(name), self.shelves[name]
        held = shelf.held(now, self.timing)
        changed = self.merger.hold(name, held, now)
        # A confirmation alone puts off what is due: the task finds out when that was to be.
        if self.task is not None and min(shelf.changes_at(now, self.timing), self.merger.next_at) < self.wakes_at:
            self.task.wake()
        if before is None or before.standing is not held.standing or before.table is not held.table:
            table, left = held.table, self.merger.merged.left
            used = sum(one.partner == name for one in self.merger.merged.used.values())
            epoch, index = table.mark if table is not None else (0, 0)
            standing, routes = held.standing.value, len(table.routes) if table is not None else 0
            emit(PARTNERS_TABLE, partner=name, standing=standing, epoch=epoch, index=index, routes=routes, used=used)
            for service in table.routes if table is not None else ():
                why = left.get(service, {}).get(name)
                if why is not None and why.reason is Reason.LEAKED:
                    emit(PARTNERS_LEAKED, partner=name, service=service, by=why.who)
        self._after(changed)

    def _after(self, changed: Changed) -> None:
        if self.service in changed.used:
            self._lay()
        if changed.shown:
            self.shown.again(changed.shown)
        if self.catalog is not None:  # why a route is left may be another though none is used
            self.catalog.routed(self.merger.merged)

    def _run(self) -> Coroutine[None]:
        """Time runs on without news: what was not confirmed goes stale, then away; terms come to their end."""
        while True:
            now = self.loop.now()
            for name, shelf in self.shelves.items():
                held = self.merger.helds.get(name)
                standing = shelf.held(now, self.timing).standing
                if standing is not (held.standing if held is not None else Standing.GONE):
                    self._hold(name, now)
            self._after(self.merger.advance(now))
            changes = (shelf.changes_at(now, self.timing) for shelf in self.shelves.values())
            at = min([self.merger.next_at, *changes])
            self.wakes_at = at
            yield Wait(None, 0, None if at >= FOREVER else max(at, now + MS))

    def _changed(self, to: str) -> None:
        if self.listener is not None:
            self.listener.changed(to)

    # ---- use ------------------------------------------------------------------------------------

    def through(self, update: MembershipUpdate, addresses: dict[str, str]) -> tuple[MembershipUpdate, dict[str, str]]:
        """What the balancer is told in place of a word on this site's own providers."""
        needed = self.standby.needed
        told = self.standby.update(update, addresses)
        if needed is not self.standby.needed:
            self._say_standby()
        self._let_drain()
        return told

    def _lay(self) -> None:
        used = self.merger.merged.used.get(self.service)
        before, self.why_not = (self.why_not, self.standby.offered.keys()), "no route"
        offered = {}
        if used is not None:
            neighbour = self.sites.neighbours.get(used.partner)
            self.why_not = unfit(used, self.settings(), neighbour is not None and neighbour.shares_keys)
            if not self.why_not:
                offered = gates(used, self.merger.helds[used.partner].back_at)
        told = self.standby.use(offered)
        if before != (self.why_not, offered.keys()):
            self._say_standby()
        if told is not None:
            self.told(*told)
        self._let_drain()

    def _say_standby(self) -> None:
        if self.service:
            emit(PARTNERS_STANDBY, service=self.service, state=self._state(), providers=sorted(self.standby.offered))

    def _state(self) -> str:
        if not self.service:
            return "off"
        if self.why_not:
            return f"no: {self.why_not}"
        return "used" if self.standby.needed else "ready"

    def _let_drain(self) -> None:
        if self.standby.drains:
            longest = max(c.deadline for c in self.settings().classes.values())
            self.loop.after(longest + DRAINS_FOR, self._drained)

    def _drained(self) -> None:
        told = self.standby.over()
        if told is not None:
            self.told(*told)

    # ---- operators' calls -----------------------------------------------------------------------

    def execute(self, command: OperatorCommand) -> str:
        return self._one(command.id.lower()) if command.id else self._all()

    def _all(self) -> str:
        merged, helds = self.merger.merged, self.merger.helds
        left = counted(why.reason.name.lower() for whys in merged.left.values() for why in whys.values())
        shown = ",".join(f"{to}:{len(routes)}" for to, routes in sorted(merged.shown.items())) or "-"
        gone = Standing.GONE
        partners = ",".join(
            f"{name}:{helds[name].standing.value if name in helds else gone.value}" for name in sorted(self.shelves)
        )
        asks = ",".join(sorted(name for name, duty in self.duties.items() if duty.may_act() is not None)) or "-"
        return (
            f"used={len(merged.used)} own={len(self.sites.routes)} left={left} shown={shown} "
            f"partners={partners or '-'} asks={asks} standby={self._state()}"
        )

    def _one(self, service: str) -> str:
        merged = self.merger.merged
        used, left = merged.used.get(service), merged.left.get(service, {})
        if used is None and not left and service not in self.sites.routes:
            raise No("no such service in a partner's table, nor of this site's own")
        shown = ",".join(sorted(to for to, routes in merged.shown.items() if service in routes)) or "-"
        by, path, providers = ("-", "-", 0)
        if used is not None:
            by, path, providers = used.partner, ",".join(used.route.path), len(used.route.providers)
        whys = "; ".join(f"{name}: {why}" for name, why in sorted(left.items())) or "-"
        standby = f" standby={self._state()}" if service == self.service else ""
        return f"used={by} path={path} providers={providers} shown={shown}{standby} left={whys}"
