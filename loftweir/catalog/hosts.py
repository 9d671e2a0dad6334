"""Routes each request to the balancer of the service that its Host names; there is one balancer for each service in
use.

The only module of the catalog that `sidecar` imports, and only if the operator's file names a file of services. It
passes the site's endpoint list, the partners' routes and the file to the catalog and applies the changes that result.
"""

from __future__ import annotations

import copy
from collections.abc import Collection, Mapping
from dataclasses import replace
from typing import Any
from zlib import crc32

from loftweir.catalog.build import (
    Catalog,
    CatalogChanges,
    CatalogState,
    LocalSite,
    Service,
    UnknownReason,
    UnknownService,
)
from loftweir.catalog.claims import Claims, Damping, Declaration, ObservedService, PutClaim, encode, pending_commands
from loftweir.catalog.contract import apply_clause, once_only
from loftweir.catalog.file import OwnServiceConfig, Services
from loftweir.catalog.names import split_name
from loftweir.catalog.providers import NO_PROVIDERS, ProviderFeed, ProviderSet
from loftweir.catalog.shares import SharedLimit
from loftweir.core.host import Host
from loftweir.core.invocation import Invocation
from loftweir.errors import LoftweirError
from loftweir.http1.back import Backend
from loftweir.http1.pool import Connections, ConnectionSlot, Pool
from loftweir.http1.request import BadRequest
from loftweir.http1.response import BODY_RETRY_AFTER
from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, Outcome, Settings, UpdateKind
from loftweir.lease.duty import LeasedTask
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Wait
from loftweir.net.standing import StandingTask
from loftweir.net.stream import ConnectError
from loftweir.partners.merge import MergeResult
from loftweir.replication.machine import Ok
from loftweir.telemetry.catalogue import CATALOG_CLAIMED, CATALOG_COLLISION, CATALOG_MOVED
from loftweir.telemetry.log import emit

STATUS_CODES = {
    UnknownReason.NAME: 404,
    UnknownReason.UNHELD: 404,
    UnknownReason.EXCLUDED: 403,
    UnknownReason.STALE: 503,
    UnknownReason.UNFIT: 503,
}
SWEEP_INTERVAL = 60 * SECOND  # between two removals of idle balancers
IDLE_TIMEOUT = 600 * SECOND  # of a balancer without requests; longer than the longest body and deadline together
DRAIN_MARGIN = SECOND  # beyond the longest deadline, for which a provider drains
CLAIM_INTERVAL = SECOND  # between two looks for claims to submit
CLAIM_TIMEOUT = 3 * SECOND
REJECTED_CLAIM_DELAY = 60 * SECOND  # before a rejected claim is submitted again
DAMPING = Damping()
BURST = 1.0  # seconds of a partner's rate that may be sent at once


class ServiceSlots:
    """Counts the connections of one service: each takes a unit of the limit that the services share, and one of the
    sidecar's connections.
    """

    def __init__(self, connections: Connections, shared: SharedLimit, key: str) -> None:
        self.connections, self.shared, self.key = connections, shared, key

    def acquire_slot(self, pool: Pool) -> ConnectionSlot:
        """Acquire both. While no unit is free, the service's longest idle connection is closed for it."""
        while not self.shared.acquire(self.key):
            if not pool.evict_oldest():
                raise ConnectError(Outcome.NOT_SENT)
        unit = ConnectionSlot(lambda: self.shared.release(self.key))
        try:
            slot = self.connections.acquire_slot(pool)
        except BaseException:
            unit.release()
            raise

        def release() -> None:
            slot.release()
            unit.release()

        return ConnectionSlot(release)


def service_pool(connections: Connections, shared: SharedLimit, key: str) -> Pool:
    """The pool of one service. Its providers' names and addresses are its own."""
    return Pool(connections, ServiceSlots(connections, shared, key))


class NoDiscovery:
    """Discovery for a service's balancer: the sidecar's main balancer requests the endpoint list for all."""

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class ServiceBalancer:
    """The balancer of one service, and its current providers."""

    def __init__(self, host: Host, feed: ProviderFeed, service: Service) -> None:
        self.host, self.feed, self.service = host, feed, service
        self.set: ProviderSet = NO_PROVIDERS
        self.used_at = 0
        self.wakes_at = 0  # time at which `feed` has an update although nothing changes; 0: no timer is set
        self.credit = 0.0  # of `fraction`: a request may be sent once it is 1
        self.tokens = 0.0  # token bucket of the lowest of `rates`
        self.filled_at = 0  # of the token bucket, in ns


class Hosts:
    """The services of this sidecar, and their balancers.

    Invariants: `catalog` follows from the current file, endpoint list and routes; each balancer in `service_balancers`
    has been notified of the providers of its key; all of them share the map of request ids of `main_host`, so that one
    id under two names never makes two requests.
    """

    def __init__(self, loop: Loop, services: Services, main_host: Host, back: Backend, seed: int) -> None:
        self.loop, self.services = loop, services
        self.main_host, self.back, self.seed = main_host, back, seed
        self.known: dict[str, Endpoint] = {}
        self.addresses: dict[str, str] = {}
        self.merged: MergeResult | None = None
        self.claims: Mapping[str, Any] = {}
        self.claims_version: tuple[Claims | None, int] = (None, 0)
        self.leased_tasks: Mapping[str, LeasedTask] = {}  # by partner; the holder of a partner's lease claims its names
        # By global name: the partner that offers it, and what was observed.
        self.observed: dict[str, tuple[str, ObservedService]] = {}
        self.rejected_until: dict[str, int] = {}  # by global name: time before which a rejected claim is not repeated
        self.outdated_claims: set[str] = set()  # names whose claim may differ from what was observed
        self.shared = SharedLimit(back.connections.max_connections)
        self.service_balancers: dict[str, ServiceBalancer] = {}  # by service key
        self.catalog = self._build_catalog()
        StandingTask(loop, self._sweep)
        StandingTask(loop, self._submit_claims)

    @property
    def settings(self) -> Settings:
        """The platform's settings."""
        return self.main_host.settings

    # ---- requests --------------------------------------------------------------------------------

    def admit(self, name: str, invocation: Invocation) -> Host:
        """The host of the service that a request names; the request gets that service's version of its class. Raises
        `BadRequest`."""
        found = self.catalog.find(name)
        if isinstance(found, UnknownService):
            raise self._rejection(found.text, STATUS_CODES[found.reason])
        balancer = self.service_balancers.get(found.key)
        if balancer is None:
            balancer = self._start_balancer(found)
        balancer.used_at = self.loop.time
        cls = balancer.host.settings.classes.get(invocation.cls.name)
        if cls is None or cls.name.lower() not in balancer.service.contract:
            raise self._rejection(f"{found.key}: {invocation.cls.name} is not a class of this service", 400)
        if balancer.set.endpoints and cls.name.lower() not in balancer.set.classes:
            raise self._rejection(f"{found.key}: nobody who is there for it now takes {cls.name}; come back", 503)
        self._enforce_terms(balancer)
        invocation.cls = cls
        invocation.time_left = min(invocation.time_left, cls.deadline)
        return balancer.host

    def _rejection(self, text: str, status: int) -> BadRequest:
        after = min(BODY_RETRY_AFTER, self.settings.max_retry_after)
        if status == 503 and self.settings.retry_after and after >= MS:
            return BadRequest(text, status, ("retry-after", f"{after / SECOND:.3f}"))
        return BadRequest(text, status)

    def _enforce_terms(self, balancer: ServiceBalancer) -> None:
        """Keeps requests within the partners' terms: the `fraction` of the service's requests, and the lowest of the
        rates, of which each sidecar of the site has an equal part."""
        if balancer.set.rates:
            now, rate = self.loop.time, min(balancer.set.rates.values()) / self.settings.balancers
            filled = balancer.tokens + (now - balancer.filled_at) / SECOND * rate
            balancer.tokens, balancer.filled_at = min(filled, max(1.0, rate * BURST)), now
            if balancer.tokens < 1:
                raise self._rejection(
                    f"{balancer.service.key}: more than the partner's rate of {rate:g} a second here", 503
                )
        if balancer.set.fraction < 1:
            balancer.credit = min(balancer.credit + balancer.set.fraction, 2.0)
            if balancer.credit < 1:
                raise self._rejection(
                    f"{balancer.service.key}: more than the partners' share of {balancer.set.fraction:g}", 503
                )
            balancer.credit -= 1
        if balancer.set.rates:
            balancer.tokens -= 1

    # ---- balancers -------------------------------------------------------------------------------

    def _grace(self) -> int:
        return max(c.deadline for c in self.settings.classes.values()) + DRAIN_MARGIN

    def _settings_for(self, service: Service) -> Settings:
        """The platform's settings with the classes of the service's contract. A service without any class gets no
        request (`admit`)."""
        classes = self.settings.classes
        applied = {
            name: apply_clause(cls, service.contract[name.lower()])
            for name, cls in _classes_of(classes, service).items()
        }
        return replace(self.settings, classes=applied or classes)

    def _start_balancer(self, service: Service) -> ServiceBalancer:
        side = copy.copy(self.back)
        side.pool = service_pool(self.back.connections, self.shared, service.key)
        host = Host(
            self.loop, self._settings_for(service), self.seed ^ crc32(service.key.encode()), side, NoDiscovery()
        )
        host.invocations, host.overload = self.main_host.invocations, self.main_host.overload
        host.sent_ids = self.main_host.sent_ids
        side.on_attempt_ended = host.attempt_ended
        balancer = self.service_balancers[service.key] = ServiceBalancer(host, ProviderFeed(self._grace()), service)
        self._update_balancer(service.key, balancer)
        return balancer

    def _update_balancer(self, key: str, balancer: ServiceBalancer) -> None:
        """Notifies one balancer of the changes in its service's providers."""
        if self.service_balancers.get(key) is not balancer:
            return
        balancer.set = self._current_providers(key, balancer)
        balancer.feed.grace = self._grace()
        step = balancer.feed.step(self.loop.now(), balancer.set)
        if step is not None:
            balancer.host.update_list(step.update, step.addresses)
        due_at = balancer.feed.next_at
        if due_at is not None and not 0 < balancer.wakes_at <= due_at:  # else the timer that is set looks again
            balancer.wakes_at = due_at
            self.loop.after(max(MS, due_at - self.loop.now()), self._on_drain_timer, key, balancer, due_at)

    def _on_drain_timer(self, key: str, balancer: ServiceBalancer, due_at: int) -> None:
        if balancer.wakes_at == due_at:
            balancer.wakes_at = 0
        self._update_balancer(key, balancer)

    def _current_providers(self, key: str, balancer: ServiceBalancer) -> ProviderSet:
        """The providers of the balancer's service; none if the service no longer exists, so that its providers drain.
        The names of its members may then refer to other services."""
        entry = self.catalog.find(key.partition("+")[0])
        found = entry if isinstance(entry, Service) and entry.key == key else None
        if found is None:
            short = self.catalog.find(key.partition("@")[0])
            found = short if isinstance(short, Service) and short.key == key else None
        if found is None:
            return NO_PROVIDERS
        if found != balancer.service:
            balancer.service = found
            balancer.host.apply_settings(self._settings_for(found))
        return self.catalog.providers(found)

    def _sweep(self) -> Coroutine[None]:
        """Removes idle balancers."""
        while True:
            yield Wait(None, 0, self.loop.now() + SWEEP_INTERVAL)
            due = self.loop.now() - IDLE_TIMEOUT
            for key in [key for key, balancer in self.service_balancers.items() if balancer.used_at < due]:
                del self.service_balancers[key]

    # ---- state -----------------------------------------------------------------------------------

    def serves(self) -> bool:
        """Whether the catalog has any name."""
        return bool(self.catalog.entries)

    def _own_services(self, names: Mapping[str, OwnServiceConfig]) -> dict[str, Any]:
        classes = self.settings.classes.values()
        return {name: one.to_service(self.known, self.addresses, classes) for name, one in names.items()}

    def _build_catalog(self) -> Catalog:
        config = self.services
        used, left = (self.merged.used, self.merged.left) if self.merged is not None else ({}, {})
        state = CatalogState(
            self._own_services(config.services), dict(used), dict(left), dict(self.claims), dict(config.pins)
        )
        return Catalog(LocalSite(config.mesh, self.settings.zone, config.meshes), state)

    def use(self, services: Services | None) -> None:
        """Applies another file or other settings: the catalog is built again. Requests in flight stay with their
        balancer."""
        before, meshes = self.catalog, self.services.meshes
        self.services = services or self.services
        self.catalog = self._build_catalog()
        if self.services.meshes != meshes and self.merged is not None:
            self.observed = {}  # a name may belong to another site now
            self._observe(self.merged, self.merged.used.keys())
        for event in self.catalog.collisions.values():
            if before.collisions.get(event.short) != event:
                emit(CATALOG_COLLISION, text=event.text)
        for key, balancer in list(self.service_balancers.items()):
            balancer.host.apply_settings(self._settings_for(balancer.service))
            self._update_balancer(key, balancer)

    def _apply_changes(self, changed: CatalogChanges) -> None:
        for short, (before, after) in changed.moved.items():
            emit(CATALOG_MOVED, name=short, before=before or "-", now=after or "-")
        for event in changed.events:
            emit(CATALOG_COLLISION, text=event.text)
        for key in changed.keys | changed.ended:
            balancer = self.service_balancers.get(key)
            if balancer is not None:
                self._update_balancer(key, balancer)

    def update_membership(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Processes an update of the endpoint list, with the operators' overrides."""
        if update.kind is UpdateKind.FAILED:
            return
        if update.kind is not UpdateKind.CHANGES:
            self.known, self.addresses = {}, {}
        affected = dict(self.services.services)
        if update.kind is UpdateKind.CHANGES:
            changed = [*update.endpoints, *(self.known[e.address] for e in update.endpoints if e.address in self.known)]
            affected = {name: config for name, config in affected.items() if any(map(config.serves, changed))}
        for endpoint in update.endpoints:
            if endpoint.lifecycle is Lifecycle.GONE:
                self.known.pop(endpoint.address, None)
                self.addresses.pop(endpoint.address, None)
            else:
                self.known[endpoint.address], self.addresses[endpoint.address] = endpoint, addresses[endpoint.address]
        services = self._own_services(affected)
        self._apply_changes(
            self.catalog.update(
                CatalogState(
                    own={name: service for name, service in services.items() if self.catalog.own.get(name) != service}
                )
            )
        )

    def update_routes(self, merged: MergeResult) -> None:
        """Processes the partners' routes that this site uses."""
        self.merged, catalog = merged, self.catalog
        used = _difference(catalog.used, merged.used)
        left = _difference(catalog.left, merged.left)
        if used or left:
            self._apply_changes(catalog.update(CatalogState(used=used, left=left)))
            self._observe(merged, used.keys() | left.keys())

    def update_claims(self, claims: Claims | None) -> None:
        """Processes the claims in the replicated state."""
        version = claims, claims.changes if claims is not None else 0
        if version == self.claims_version:
            return
        self.claims_version = version
        self.claims = dict(claims.table) if claims is not None else {}
        changes = _difference(self.catalog.claims, self.claims)
        if changes:
            self.outdated_claims |= changes.keys() & self.observed.keys()
            self._apply_changes(self.catalog.update(CatalogState(claims=changes)))

    # ---- claims ----------------------------------------------------------------------------------

    def _observe(self, merged: MergeResult, names: Collection[str]) -> None:
        """Records which names the partners offer that belong to them, and since when. A claim stays with its name while
        a link fails, until the routes were away for long or the partner withdrew the service."""
        now, meshes = self.loop.now(), self.services.meshes
        for name in names:
            used, known = merged.used.get(name), self.observed.get(name)
            if used is None:
                withdrawn = name not in merged.left
                if known is not None and (known[1].declared is not None or known[1].withdrawn is not withdrawn):
                    self.observed[name] = known[0], ObservedService(None, now, withdrawn)
                    self.outdated_claims.add(name)
                continue
            site = used.route.path[-1]
            # The own mesh declares its services in the file, and owns its names without a claim.
            mesh = split_name(name)[1]
            if mesh == self.services.mesh or meshes.get(site, site) != mesh or name in self.catalog.rejected_names:
                continue
            declared = Declaration(once_only(used.route.classes))
            if known is None or known[1].declared != declared or known[0] != used.partner:
                self.observed[name] = used.partner, ObservedService(declared, now)
                self.outdated_claims.add(name)

    def _submit_claims(self) -> Coroutine[None]:
        """Submits the commands for claims, for the partners whose lease this sidecar has."""
        while True:
            yield Wait(None, 0, self.loop.now() + CLAIM_INTERVAL)
            for partner, leased_task in list(self.leased_tasks.items()) if self.outdated_claims else ():
                now = self.loop.now()
                self.outdated_claims = {name for name in self.outdated_claims if not self._is_claim_current(name)}
                if leased_task.valid_token() is None:
                    continue
                observed = {
                    name: self.observed[name][1]
                    for name in self.outdated_claims
                    if self.observed[name][0] == partner and self.rejected_until.get(name, 0) <= now
                }
                for command in pending_commands(self.claims, observed, now, DAMPING):
                    try:
                        result = yield from leased_task.claim(encode(command), CLAIM_TIMEOUT)
                    except LoftweirError:  # no lease or no majority: the next holder, or the next look, continues
                        break
                    if isinstance(result, Ok):
                        self.rejected_until.pop(command.name, None)
                        if not isinstance(command, PutClaim):
                            self.observed.pop(command.name, None)
                        emit(CATALOG_CLAIMED, name=command.name, index=result.value, why="")
                    else:
                        self.rejected_until[command.name] = self.loop.now() + REJECTED_CLAIM_DELAY
                        emit(CATALOG_CLAIMED, name=command.name, index=0, why=result.text)

    def _is_claim_current(self, name: str) -> bool:
        """Whether the replicated claim of a name matches what was observed."""
        if name not in self.observed:
            return True
        claim, declared = self.claims.get(name), self.observed[name][1].declared
        return claim is None if declared is None else claim is not None and claim.declared == declared


def _classes_of(classes: Mapping[str, Any], service: Service) -> dict[str, Any]:
    return {name: cls for name, cls in classes.items() if name.lower() in service.contract}


def _difference(current: Mapping[str, Any], wanted: Mapping[str, Any]) -> dict[str, Any]:
    """The changes from `current` to `wanted`, in the form of `CatalogState`."""
    gone: dict[str, Any] = dict.fromkeys(current.keys() - wanted.keys())
    return gone | {name: value for name, value in wanted.items() if current.get(name) != value}
