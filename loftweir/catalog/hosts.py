"""The services of one sidecar at work: by a request's Host the catalog's service, by that a balancer of its own.

The one module of the catalog that `sidecar` imports, and only where the operator's file names one. The site's own
list, the partners' routes and the file come in; what follows from them is the catalog's to say.
"""

from __future__ import annotations

import copy
from collections.abc import Collection, Mapping
from dataclasses import replace
from typing import Any
from zlib import crc32

from loftweir.catalog.build import Catalog, Changed, Service, Site, State, Unknown, Why
from loftweir.catalog.claims import Claims, Damping, Declared, Put, Seen, orders, written
from loftweir.catalog.contract import applied, once
from loftweir.catalog.file import Mine, Services
from loftweir.catalog.names import parts
from loftweir.catalog.providers import EMPTY, Follower, ProviderSet
from loftweir.catalog.shares import Shared
from loftweir.core.host import Host
from loftweir.core.invocation import Invocation
from loftweir.errors import LoftweirError
from loftweir.http1.back import Backend, Pool, ProviderConnection
from loftweir.http1.request import BadRequest
from loftweir.http1.response import BODY_RETRY_AFTER
from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, Outcome, Settings, UpdateKind
from loftweir.lease.duty import Duty
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Wait
from loftweir.net.stream import ConnectError
from loftweir.partners.merge import Merged
from loftweir.replication.machine import Ok
from loftweir.telemetry.catalogue import CATALOG_CLAIMED, CATALOG_COLLISION, CATALOG_MOVED
from loftweir.telemetry.log import say

STATUS = {Why.NAME: 404, Why.UNHELD: 404, Why.EXCLUDED: 403, Why.STALE: 503, Why.UNFIT: 503}
SWEEP_EVERY = 60 * SECOND
IDLE_FOR = 600 * SECOND  # a balancer that nobody asked is let go; above the longest body and deadline together
PAST = SECOND  # beyond the longest deadline, that a provider drains
LOOK_EVERY = SECOND  # for what is to be claimed
CLAIM_WITHIN = 3 * SECOND
REFUSED_FOR = 60 * SECOND  # that a claim which was not taken is not tried
DAMPING = Damping()
BURST = 1.0  # seconds of a partner's rate that may be sent at once


class Lane(Pool):
    """One service's connections: its providers' names and addresses are its own, room for them is the sidecar's.

    Invariant: the service holds one of `shared` for each connection that is open or coming up.
    """

    def __init__(self, whole: Pool, shared: Shared, key: str) -> None:
        self.whole, self.shared, self.key = whole, shared, key
        self.loop, self.max_connections, self.idle = whole.loop, whole.max_connections, whole.idle
        self.addresses: dict[str, str] = {}
        self.names_by_address: dict[str, str] = {}  # the same the other way round, as in `Pool`
        self.last_response_at: dict[str, int] = {}
        self.idle_by_provider: dict[str, dict[ProviderConnection, None]] = {}

    @property
    def open_count(self) -> int:
        return self.whole.open_count

    @open_count.setter
    def open_count(self, count: int) -> None:
        self.whole.open_count = count

    @property
    def settings(self) -> Settings:  # type: ignore[override]
        return self.whole.settings

    @property
    def options(self) -> Any:  # type: ignore[override]
        return self.whole.options

    def connect(self, name: str, until: int) -> Coroutine[ProviderConnection]:
        while not self.shared.take(self.key):
            oldest = min(
                (c for idle in self.idle_by_provider.values() for c in idle), key=lambda c: c.idle_since, default=None
            )
            if oldest is None:
                raise ConnectError(Outcome.NOT_SENT)
            self.remove_idle(oldest)
            self.close(oldest)
        try:
            return (yield from super().connect(name, until))
        except BaseException:
            self.shared.give(self.key)
            raise

    def close(self, connection: ProviderConnection) -> None:
        super().close(connection)
        self.shared.give(self.key)


class NoDiscovery:
    """Discovery's side of a service's balancer: the sidecar's first one asks for them all."""

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class At:
    """One service's balancer, and what it was told."""

    def __init__(self, host: Host, follower: Follower, service: Service) -> None:
        self.host, self.follower, self.service = host, follower, service
        self.set: ProviderSet = EMPTY
        self.used_at = 0
        self.wakes_at = 0  # when `follower` has something to tell though nothing changes; 0: nobody waits for that
        self.credit = 0.0  # of `part`: a request may go once it is 1
        self.tokens, self.filled_at = 0.0, 0  # of the least of `rates`


class Hosts:
    """Invariants: `catalog` is what the file, the list and the routes make at this moment; each balancer in `ats` has
    been told the providers of its key; all of them have the one map of ids that `first` has, so that the same id under
    two names is never two copies."""

    def __init__(self, loop: Loop, services: Services, first: Host, back: Backend, seed: int) -> None:
        self.loop, self.services = loop, services
        self.first, self.back, self.seed = first, back, seed
        self.known: dict[str, Endpoint] = {}
        self.addresses: dict[str, str] = {}
        self.merged: Merged | None = None
        self.claims: Mapping[str, Any] = {}
        self.claims_read: tuple[Claims | None, int] = (None, 0)
        self.duties: Mapping[str, Duty] = {}  # by partner: who holds one claims its names
        self.seen: dict[str, tuple[str, Seen]] = {}  # by global name: the partner by which it came, and since when
        self.refused: dict[str, int] = {}  # by global name, until when
        self.unsettled: set[str] = set()  # names whose claim may be another than what is seen says
        self.shared = Shared(back.pool.max_connections)
        self.ats: dict[str, At] = {}  # by the service's key
        self.catalog = self._made()
        loop.spawn(self._sweep())
        loop.spawn(self._claim(), self._claim_crashed)

    @property
    def settings(self) -> Settings:
        return self.first.settings

    # ---- a request ------------------------------------------------------------------------------

    def admit(self, name: str, invocation: Invocation) -> Host:
        """The host of the service that a request names; its class becomes the service's. Raises `BadRequest`."""
        found = self.catalog.find(name)
        if isinstance(found, Unknown):
            raise self._no(found.text, STATUS[found.reason])
        at = self.ats.get(found.key)
        if at is None:
            at = self._begin(found)
        at.used_at = self.loop.time
        cls = at.host.settings.classes.get(invocation.cls.name)
        if cls is None or cls.name.lower() not in at.service.contract:
            raise self._no(f"{found.key}: {invocation.cls.name} is not a class of this service", 400)
        if at.set.endpoints and cls.name.lower() not in at.set.classes:
            raise self._no(f"{found.key}: nobody who is there for it now takes {cls.name}; come back", 503)
        self._within(at)
        invocation.cls = cls
        invocation.time_left = min(invocation.time_left, cls.deadline)
        return at.host

    def _no(self, text: str, status: int) -> BadRequest:
        after = min(BODY_RETRY_AFTER, self.settings.max_retry_after)
        if status == 503 and self.settings.retry_after and after >= MS:
            return BadRequest(text, status, ("retry-after", f"{after / SECOND:.3f}"))
        return BadRequest(text, status)

    def _within(self, at: At) -> None:
        """Holds the work sent by a partner's terms: `part` of the service's, and the least of the rates, of which each
        sidecar of the site has its part."""
        if at.set.rates:
            now, rate = self.loop.time, min(at.set.rates.values()) / self.settings.balancers
            filled = at.tokens + (now - at.filled_at) / SECOND * rate
            at.tokens, at.filled_at = min(filled, max(1.0, rate * BURST)), now
            if at.tokens < 1:
                raise self._no(f"{at.service.key}: more than the partner's rate of {rate:g} a second here", 503)
        if at.set.part < 1:
            at.credit = min(at.credit + at.set.part, 2.0)
            if at.credit < 1:
                raise self._no(f"{at.service.key}: more than the partners' share of {at.set.part:g}", 503)
            at.credit -= 1
        if at.set.rates:
            at.tokens -= 1

    # ---- balancers ------------------------------------------------------------------------------

    def _grace(self) -> int:
        return max(c.deadline for c in self.settings.classes.values()) + PAST

    def _fitted(self, service: Service) -> Settings:
        """The platform's settings with the classes as the contract has them. One with none of them serves nothing,
        and its balancer is never asked (`admit`)."""
        classes = self.settings.classes
        fitted = {name: applied(cls, service.contract[name.lower()]) for name, cls in _met(classes, service).items()}
        return replace(self.settings, classes=fitted or classes)

    def _begin(self, service: Service) -> At:
        side = copy.copy(self.back)
        side.pool = Lane(self.back.pool, self.shared, service.key)
        host = Host(self.loop, self._fitted(service), self.seed ^ crc32(service.key.encode()), side, NoDiscovery())
        host.invocations, host.overload = self.first.invocations, self.first.overload
        side.on_attempt_ended = host.attempt_ended
        at = self.ats[service.key] = At(host, Follower(self._grace()), service)
        self._step(service.key, at)
        return at

    def _step(self, key: str, at: At) -> None:
        """Tells one balancer what is another in its service's providers."""
        if self.ats.get(key) is not at:
            return
        at.set = self._wanted(key, at)
        at.follower.grace = self._grace()
        step = at.follower.step(self.loop.now(), at.set)
        if step is not None:
            at.host.update_list(step.update, step.addresses)
        due_at = at.follower.next_at
        if due_at is not None and not 0 < at.wakes_at <= due_at:  # one is under way: it looks again
            at.wakes_at = due_at
            self.loop.after(max(MS, due_at - self.loop.now()), self._drained, key, at, due_at)

    def _drained(self, key: str, at: At, due_at: int) -> None:
        if at.wakes_at == due_at:
            at.wakes_at = 0
        self._step(key, at)

    def _wanted(self, key: str, at: At) -> ProviderSet:
        """None for one that is no more: its providers drain. Its members' names may still stand for others."""
        entry = self.catalog.find(key.partition("+")[0])
        found = entry if isinstance(entry, Service) and entry.key == key else None
        if found is None:
            short = self.catalog.find(key.partition("@")[0])
            found = short if isinstance(short, Service) and short.key == key else None
        if found is None:
            return EMPTY
        if found != at.service:
            at.service = found
            at.host.apply_settings(self._fitted(found))
        return self.catalog.providers(found)

    def _sweep(self) -> Coroutine[None]:
        while True:
            yield Wait(None, 0, self.loop.now() + SWEEP_EVERY)
            due = self.loop.now() - IDLE_FOR
            for key in [key for key, at in self.ats.items() if at.used_at < due]:
                del self.ats[key]

    # ---- what holds -----------------------------------------------------------------------------

    def serves(self) -> bool:
        return bool(self.catalog.entries)

    def _own(self, names: Mapping[str, Mine]) -> dict[str, Any]:
        classes = self.settings.classes.values()
        return {name: one.own(self.known, self.addresses, classes) for name, one in names.items()}

    def _made(self) -> Catalog:
        of_file = self.services
        used, left = (self.merged.used, self.merged.left) if self.merged is not None else ({}, {})
        state = State(self._own(of_file.services), dict(used), dict(left), dict(self.claims), dict(of_file.pins))
        return Catalog(Site(of_file.mesh, self.settings.zone, of_file.meshes), state)

    def use(self, services: Services | None) -> None:
        """Another file, or other settings: all of the catalog anew. What is under way goes on where it is."""
        before, meshes = self.catalog, self.services.meshes
        self.services = services or self.services
        self.catalog = self._made()
        if self.services.meshes != meshes and self.merged is not None:
            self.seen = {}  # a name may be another site's now
            self._see(self.merged, self.merged.used.keys())
        for event in self.catalog.collisions.values():
            if before.collisions.get(event.short) != event:
                say(CATALOG_COLLISION, text=event.text)
        for key, at in list(self.ats.items()):
            at.host.apply_settings(self._fitted(at.service))
            self._step(key, at)

    def _changed(self, changed: Changed) -> None:
        for short, (before, after) in changed.moved.items():
            say(CATALOG_MOVED, name=short, before=before or "-", now=after or "-")
        for event in changed.events:
            say(CATALOG_COLLISION, text=event.text)
        for key in changed.keys | changed.ended:
            at = self.ats.get(key)
            if at is not None:
                self._step(key, at)

    def listed(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Discovery's list, as the operators' words have left it."""
        if update.kind is UpdateKind.FAILED:
            return
        if update.kind is not UpdateKind.CHANGES:
            self.known, self.addresses = {}, {}
        touched = dict(self.services.services)
        if update.kind is UpdateKind.CHANGES:
            changed = [*update.endpoints, *(self.known[e.address] for e in update.endpoints if e.address in self.known)]
            touched = {name: mine for name, mine in touched.items() if any(map(mine.serves, changed))}
        for one in update.endpoints:
            if one.lifecycle is Lifecycle.GONE:
                self.known.pop(one.address, None)
                self.addresses.pop(one.address, None)
            else:
                self.known[one.address], self.addresses[one.address] = one, addresses[one.address]
        now = self._own(touched)
        self._changed(self.catalog.change(State(own={n: o for n, o in now.items() if self.catalog.own.get(n) != o})))

    def routed(self, merged: Merged) -> None:
        """The partners' routes, as this site uses them."""
        self.merged, held = merged, self.catalog
        used = _differs(held.used, merged.used)
        left = _differs(held.left, merged.left)
        if used or left:
            self._changed(held.change(State(used=used, left=left)))
            self._see(merged, used.keys() | left.keys())

    def claimed(self, claims: Claims | None) -> None:
        """The names that the copies hold for meshes."""
        read = claims, claims.changes if claims is not None else 0
        if read == self.claims_read:
            return
        self.claims_read = read
        self.claims = dict(claims.table) if claims is not None else {}
        others = _differs(self.catalog.claims, self.claims)
        if others:
            self.unsettled |= others.keys() & self.seen.keys()
            self._changed(self.catalog.change(State(claims=others)))

    # ---- claims ---------------------------------------------------------------------------------

    def _see(self, merged: Merged, names: Collection[str]) -> None:
        """What the partners offer by names that are theirs, and since when, of those that changed. A claim stays with
        its name through a link that fails: until it was away for long, or the partner has withdrawn the service."""
        now, meshes = self.loop.now(), self.services.meshes
        for name in names:
            used, known = merged.used.get(name), self.seen.get(name)
            if used is None:
                withdrawn = name not in merged.left
                if known is not None and (known[1].declared is not None or known[1].withdrawn is not withdrawn):
                    self.seen[name] = known[0], Seen(None, now, withdrawn)
                    self.unsettled.add(name)
                continue
            site = used.route.path[-1]
            mesh = parts(name)[1]  # the own one speaks in the file, and its names are its without a claim
            if mesh == self.services.mesh or meshes.get(site, site) != mesh or name in self.catalog.refused:
                continue
            declared = Declared(once(used.route.classes))
            if known is None or known[1].declared != declared or known[0] != used.partner:
                self.seen[name] = used.partner, Seen(declared, now)
                self.unsettled.add(name)

    def _claim(self) -> Coroutine[None]:
        """Says in the copies what is to be claimed, for the partners whose lease this sidecar has."""
        while True:
            yield Wait(None, 0, self.loop.now() + LOOK_EVERY)
            for partner, duty in list(self.duties.items()) if self.unsettled else ():
                now = self.loop.now()
                self.unsettled = {name for name in self.unsettled if not self._settled(name)}
                if duty.may_act() is None:
                    continue
                seen = {
                    name: self.seen[name][1]
                    for name in self.unsettled
                    if self.seen[name][0] == partner and self.refused.get(name, 0) <= now
                }
                for act in orders(self.claims, seen, now, DAMPING):
                    try:
                        result = yield from duty.claim(written(act), CLAIM_WITHIN)
                    except LoftweirError:  # the lease or the majority is gone: whoever has it next, or the next look
                        break
                    if isinstance(result, Ok):
                        self.refused.pop(act.name, None)
                        if not isinstance(act, Put):
                            self.seen.pop(act.name, None)
                        say(CATALOG_CLAIMED, name=act.name, index=result.value, why="")
                    else:
                        self.refused[act.name] = self.loop.now() + REFUSED_FOR
                        say(CATALOG_CLAIMED, name=act.name, index=0, why=result.text)

    def _settled(self, name: str) -> bool:
        """Whether the copies have what is seen of a name."""
        if name not in self.seen:
            return True
        claim, declared = self.claims.get(name), self.seen[name][1].declared
        return claim is None if declared is None else claim is not None and claim.declared == declared

    def _claim_crashed(self, _: Exception) -> None:
        self.loop.after(LOOK_EVERY, self._claim_again)

    def _claim_again(self) -> None:
        self.loop.spawn(self._claim(), self._claim_crashed)


def _met(classes: Mapping[str, Any], service: Service) -> dict[str, Any]:
    return {name: cls for name, cls in classes.items() if name.lower() in service.contract}


def _differs(held: Mapping[str, Any], wanted: Mapping[str, Any]) -> dict[str, Any]:
    """What makes one of the other, as `State` has it."""
    gone: dict[str, Any] = dict.fromkeys(held.keys() - wanted.keys())
    return gone | {name: value for name, value in wanted.items() if held.get(name) != value}
