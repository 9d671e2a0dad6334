"""This sidecar's partners: reads their tables from the replicated state, uses and shows routes, and requests some
tables.

The only module of the package that `sidecar` imports, and only if the operator's file names a site. All decisions
follow from the replicated state, the file and the time, by a `Merger` that decides alike on every sidecar.
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
from loftweir.lease.duty import LeasedTask
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.operations.calls import No, OperatorCommand
from loftweir.partners.file import PartnersConfig
from loftweir.partners.link import PartnerClient, limits, stored_keys, timing
from loftweir.partners.merge import Freshness, MergeChanges, Merger, MergeResult, Policy, Reason
from loftweir.partners.offer import Listener
from loftweir.partners.replicated_table import HEAD, NotReadable, TableReader
from loftweir.partners.shown import LEASE_NAME as OFFERS_LEASE
from loftweir.partners.shown import NeighbourOffers
from loftweir.partners.standby import Standby, border_providers, format_counts, unusable_reason
from loftweir.partners.terms import FOREVER
from loftweir.replication.caller import Proposer
from loftweir.replication.machine import Machine
from loftweir.replication.part import ReplicationAgent
from loftweir.telemetry.catalogue import (
    PARTNERS_LEAKED,
    PARTNERS_NOT_READABLE,
    PARTNERS_STANDBY,
    PARTNERS_TABLE,
)
from loftweir.telemetry.log import emit

# Between the bids of two members for a free lease; the order of members differs for each partner.
BID_INTERVAL = 150 * MS
DRAIN_MARGIN = SECOND  # beyond the longest deadline that a partner's providers drain
CLEAR_TIMEOUT = SECOND
OWN_DESCRIPTORS = 8  # two cluster clients, and the sockets between a closed and a new connection
SPARE_NEIGHBOURS = 16  # for neighbours that a reload adds

NotifyBalancer = Callable[[MembershipUpdate, dict[str, str]], None]


def descriptors(options: PartnersOptions, sites: PartnersConfig) -> int:
    """The greatest number of descriptors that partners use in this sidecar."""
    listens = options.callers + 2 if options.listen else 0
    return OWN_DESCRIPTORS + 2 * (len(sites.neighbours) + SPARE_NEIGHBOURS) + listens


class Catalog(Protocol):
    """The catalog of services, if the operator's file names one: it uses the routes in place of `standby`."""

    def update_routes(self, merged: MergeResult) -> None:
        """Uses the routes of this result from now on."""

    def update_claims(self, claims: Any) -> None:
        """Uses these replicated claims of names from now on."""


class Partners:
    """Connects the tables in the replicated state with the balancer and the neighbours.

    Invariants: `merger` has the current state of each reader; the balancer has been notified of the resulting providers
    (`standby`), and the neighbours are shown the resulting routes (`shown`).
    """

    def __init__(
        self,
        loop: Loop,
        name: str,
        options: Options,
        sites: PartnersConfig,
        replication: ReplicationAgent,
        notify_balancer: NotifyBalancer,
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
        self.replication = replication
        self.notify_balancer = notify_balancer
        self.settings = settings
        self.member_addresses = parse_members(options.replication.members)
        id = secrets.token_hex(8)
        self.proposers = tuple(
            Proposer(loop, name, id, options.replication, self.member_addresses, lambda: replication.index)
            for _ in range(2)
        )
        self.readers: dict[str, TableReader] = {}
        self.clients: dict[str, PartnerClient] = {}
        self.leased_tasks: dict[str, LeasedTask] = {}
        self.merger = Merger(self._policy())
        self.standby = Standby()
        self.unusable = "no route"  # why this sidecar can't use the route
        self.listener: Listener | None = None
        self.shown = NeighbourOffers(loop, options, replication, lambda: self.merger, self._wake_neighbour)
        self.task: Task | None = None  # advances the merger with time
        self.wakes_at = 0
        self.leaving = False
        if options.partners.listen:
            self.listener = Listener(loop, self.shown, options.partners.callers)
        replication.machine_listeners.append(self._on_state_change)

    def _policy(self) -> Policy:
        neighbours = self.sites.neighbours.values()
        return Policy(
            self.site,
            roles={neighbour.name: neighbour.role for neighbour in neighbours},
            preference={neighbour.name: neighbour.preference for neighbour in neighbours},
            offers=self.sites.routes,
            gone_after=self.options.gone,
            limits=limits(self.options),
        )

    # ---- start and end ---------------------------------------------------------------------------

    def start(self) -> None:
        """Starts to listen, to bid for leases and to read."""
        if self.listener is not None:
            self.listener.listen(self.options.listen)
            if self.name in self.member_addresses:
                self.shown.leased_task = self._leased_task(OFFERS_LEASE, self.shown.begin, self.shown.end)
        self.use(self.sites)
        self.task = self.loop.spawn(self._run(), self._crashed)

    def _crashed(self, _: Exception) -> None:
        self.loop.after(SECOND, self._restart)

    def _restart(self) -> None:
        if not self.leaving:
            self.task = self.loop.spawn(self._run(), self._crashed)

    def use(self, sites: PartnersConfig) -> None:
        """Replaces the neighbours and this site's own routes."""
        self.sites = sites
        for name in self.readers.keys() - sites.neighbours.keys():
            self._forget(name)
        for name, neighbour in sites.neighbours.items():
            reader = self.readers.setdefault(name, TableReader(f"partner:{name}"))
            client = self.clients.get(name)
            if client is not None:
                client.neighbour = neighbour
            elif self.name in self.member_addresses:
                client = self.clients[name] = PartnerClient(
                    self.loop, self.site, neighbour, self.options, self.replication, reader
                )
                leased_task = self.leased_tasks[name] = self._leased_task(reader.lease_name, client.begin, client.end)
                client.attach(leased_task)
            if name in self.leased_tasks:
                self.leased_tasks[name].set_wanted(bool(neighbour.addresses) and not self.leaving)
        self.merger = Merger(self._policy(), self.loop.now(), self.merger.partner_states)
        if self.listener is not None:
            self.listener.set_neighbours(sites.neighbours)
        self.shown.set_neighbours(sites.neighbours)
        self.shown.refresh(sites.neighbours)
        self._update_standby()
        if self.catalog is not None:
            self.catalog.update_routes(self.merger.merged)
        if self.replication.machine is not None:
            self._on_state_change(self.replication.machine)

    def _forget(self, name: str) -> None:
        del self.readers[name]
        self.merger.remove_partner(name, self.loop.now())
        if name in self.leased_tasks:
            leased_task = self.leased_tasks.pop(name)
            del self.clients[name]
            self.loop.spawn(self._clear(leased_task))

    def _clear(self, leased_task: LeasedTask) -> Coroutine[None]:
        """Deletes the replicated table of a former neighbour, if this sidecar has its lease, and closes the lease."""
        until = self.loop.now() + CLEAR_TIMEOUT
        machine = self.replication.machine
        try:
            if machine is not None and leased_task.valid_token() is not None:
                for key in sorted(
                    stored_keys(machine.fenced_values, leased_task.lease_name), key=lambda key: key != HEAD
                ):
                    yield from leased_task.put(key, b"", max(MS, until - self.loop.now()))
        except Exception:  # what is left has a bounded size and is not used
            pass
        leased_task.set_wanted(False)
        yield Wait(None, 0, self.loop.now() + CLEAR_TIMEOUT)
        leased_task.close()

    def _leased_task(self, name: str, begin: Callable[[int], None], end: Callable[[], None]) -> LeasedTask:
        commands, reads = self.proposers
        order = sorted(self.member_addresses, key=lambda member: blake2b(f"{member} {name}".encode()).digest())
        bid_delay = BID_INTERVAL * order.index(self.name)
        leased_task = LeasedTask(
            self.loop, self.name, name, self.options.lease, (commands, reads), begin, end, bid_delay
        )
        leased_task.set_wanted(True)
        return leased_task

    def _all_leased_tasks(self) -> list[LeasedTask]:
        return [*self.leased_tasks.values(), *([self.shown.leased_task] if self.shown.leased_task is not None else [])]

    def leave(self) -> None:
        """Prepares for the end of the process: releases the leases, so that others can take them at once, and frees the
        address for the next process. The tables known here stay in use."""
        self.leaving = True
        for leased_task in self._all_leased_tasks():
            leased_task.set_wanted(False)
        if self.listener is not None:
            self.listener.close()

    def close(self) -> None:
        """Ends all work and closes all connections."""
        self.leaving = True
        for leased_task in self._all_leased_tasks():
            leased_task.close()
        for client in self.clients.values():
            client.close()
        self.shown.end()
        if self.task is not None:
            self.task.cancel()
        for proposer in self.proposers:
            proposer.close()

    # ---- state -----------------------------------------------------------------------------------

    def _on_state_change(self, machine: Machine) -> None:
        """Reads what changed in the replicated state."""
        now = self.loop.now()
        for name, reader in self.readers.items():
            try:
                if not reader.read(machine.fenced_values, now):
                    continue
            except NotReadable as error:
                emit(PARTNERS_NOT_READABLE, partner=name, why=error)
            self._update_partner(name, now)
        if self.catalog is not None:
            self.catalog.update_claims(machine.claims)
        if self.listener is not None:
            self.shown.on_state_change(machine, self.readers)
        for leased_task in self._all_leased_tasks():
            leased_task.machine_changed(machine)

    def _update_partner(self, name: str, now: int) -> None:
        before, reader = self.merger.partner_states.get(name), self.readers[name]
        state = reader.partner_state(now, self.timing)
        changed = self.merger.update_partner(name, state, now)
        # A confirmation alone only delays the next change; the task finds that out when it wakes.
        if self.task is not None and min(reader.next_change_at(now, self.timing), self.merger.next_at) < self.wakes_at:
            self.task.wake()
        if before is None or before.freshness is not state.freshness or before.table is not state.table:
            table, left = state.table, self.merger.merged.left
            used = sum(used_route.partner == name for used_route in self.merger.merged.used.values())
            epoch, index = table.position if table is not None else (0, 0)
            freshness, routes = state.freshness.value, len(table.routes) if table is not None else 0
            emit(PARTNERS_TABLE, partner=name, standing=freshness, epoch=epoch, index=index, routes=routes, used=used)
            for service in table.routes if table is not None else ():
                unused = left.get(service, {}).get(name)
                if unused is not None and unused.reason is Reason.LEAKED:
                    emit(PARTNERS_LEAKED, partner=name, service=service, by=unused.who)
        self._apply_changes(changed)

    def _apply_changes(self, changed: MergeChanges) -> None:
        if self.service in changed.used:
            self._update_standby()
        if changed.shown:
            self.shown.refresh(changed.shown)
        if self.catalog is not None:  # the reason why a route is unused may change although no used route did
            self.catalog.update_routes(self.merger.merged)

    def _run(self) -> Coroutine[None]:
        """Advances with time: partners whose table was not confirmed become stale, then gone, and terms expire."""
        while True:
            now = self.loop.now()
            for name, reader in self.readers.items():
                state = self.merger.partner_states.get(name)
                freshness = reader.partner_state(now, self.timing).freshness
                if freshness is not (state.freshness if state is not None else Freshness.GONE):
                    self._update_partner(name, now)
            self._apply_changes(self.merger.advance(now))
            changes = (reader.next_change_at(now, self.timing) for reader in self.readers.values())
            at = min([self.merger.next_at, *changes])
            self.wakes_at = at
            yield Wait(None, 0, None if at >= FOREVER else max(at, now + MS))

    def _wake_neighbour(self, to: str) -> None:
        if self.listener is not None:
            self.listener.wake_waiting(to)

    # ---- use of partners' providers --------------------------------------------------------------

    def with_partner_providers(
        self, update: MembershipUpdate, addresses: dict[str, str]
    ) -> tuple[MembershipUpdate, dict[str, str]]:
        """The update for the balancer that results from one of this site's own providers."""
        needed = self.standby.needed
        combined = self.standby.update(update, addresses)
        if needed is not self.standby.needed:
            self._log_standby()
        self._schedule_drain_end()
        return combined

    def _update_standby(self) -> None:
        used = self.merger.merged.used.get(self.service)
        before, self.unusable = (self.unusable, self.standby.offered.keys()), "no route"
        offered = {}
        if used is not None:
            neighbour = self.sites.neighbours.get(used.partner)
            self.unusable = unusable_reason(used, self.settings(), neighbour is not None and neighbour.shares_keys)
            if not self.unusable:
                offered = border_providers(used, self.merger.partner_states[used.partner].back_at)
        update = self.standby.use(offered)
        if before != (self.unusable, offered.keys()):
            self._log_standby()
        if update is not None:
            self.notify_balancer(*update)
        self._schedule_drain_end()

    def _log_standby(self) -> None:
        if self.service:
            emit(
                PARTNERS_STANDBY,
                service=self.service,
                state=self._standby_state(),
                providers=sorted(self.standby.offered),
            )

    def _standby_state(self) -> str:
        if not self.service:
            return "off"
        if self.unusable:
            return f"no: {self.unusable}"
        return "used" if self.standby.needed else "ready"

    def _schedule_drain_end(self) -> None:
        if self.standby.draining:
            longest = max(c.deadline for c in self.settings().classes.values())
            self.loop.after(longest + DRAIN_MARGIN, self._end_drain)

    def _end_drain(self) -> None:
        update = self.standby.end_drain()
        if update is not None:
            self.notify_balancer(*update)

    # ---- operators' commands ---------------------------------------------------------------------

    def execute(self, command: OperatorCommand) -> str:
        """Answers the ROUTES command: a summary, or the details of one service."""
        return self._service_details(command.id.lower()) if command.id else self._summary()

    def _summary(self) -> str:
        merged, partner_states = self.merger.merged, self.merger.partner_states
        left = format_counts(unused.reason.name.lower() for by in merged.left.values() for unused in by.values())
        shown = ",".join(f"{to}:{len(routes)}" for to, routes in sorted(merged.shown.items())) or "-"
        partners = ",".join(
            f"{name}:{partner_states[name].freshness.value if name in partner_states else Freshness.GONE.value}"
            for name in sorted(self.readers)
        )
        asks = (
            ",".join(
                sorted(name for name, leased_task in self.leased_tasks.items() if leased_task.valid_token() is not None)
            )
            or "-"
        )
        return (
            f"used={len(merged.used)} own={len(self.sites.routes)} left={left} shown={shown} "
            f"partners={partners or '-'} asks={asks} standby={self._standby_state()}"
        )

    def _service_details(self, service: str) -> str:
        merged = self.merger.merged
        used, left = merged.used.get(service), merged.left.get(service, {})
        if used is None and not left and service not in self.sites.routes:
            raise No("no such service in a partner's table, nor of this site's own")
        shown = ",".join(sorted(to for to, routes in merged.shown.items() if service in routes)) or "-"
        by, path, providers = ("-", "-", 0)
        if used is not None:
            by, path, providers = used.partner, ",".join(used.route.path), len(used.route.providers)
        reasons = "; ".join(f"{name}: {unused}" for name, unused in sorted(left.items())) or "-"
        standby = f" standby={self._standby_state()}" if service == self.service else ""
        return f"used={by} path={path} providers={providers} shown={shown}{standby} left={reasons}"
