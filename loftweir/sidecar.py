"""Assembles one sidecar from its parts: loop, host, HTTP frontend and backend, discovery, signals, and shutdown."""

from __future__ import annotations

import os
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from loftweir.config.model import Options
from loftweir.config.platform import Platform
from loftweir.config.spec import MIB
from loftweir.core.host import Host
from loftweir.core.life import TRAITS, LifecycleEvent, SidecarLifecycle, State
from loftweir.http1.back import Backend
from loftweir.http1.discovery import Discovery
from loftweir.http1.front import Frontend
from loftweir.interface import MembershipUpdate, Settings, UpdateKind
from loftweir.listclock import SHORTEST_FRESH_TIMEOUT
from loftweir.memory_watch import MemoryWatch
from loftweir.net.loop import MS, READABLE, SECOND, WRITABLE, Coroutine, Loop, Task, Wait
from loftweir.net.standing import StandingTask
from loftweir.operations.address import DESCRIPTORS, Address
from loftweir.operations.command_handler import CommandHandler
from loftweir.state.disk import Disk
from loftweir.state.sealed import Damaged
from loftweir.state.snapshot import ListSource, ListTracker, Snapshot, choose_list, without_removed
from loftweir.telemetry import log
from loftweir.telemetry.catalogue import (
    DISCOVERY_LIST,
    IDS_NOT_SHARED,
    LIFE_CHANGED,
    STATE_DAMAGED,
    STATE_FAILED,
    STATE_TAKEN,
    STOP_BEGUN,
    STOP_DONE,
)
from loftweir.telemetry.log import emit

if TYPE_CHECKING:
    from loftweir.catalog.file import Services
    from loftweir.catalog.hosts import Hosts
    from loftweir.partners.file import PartnersConfig
    from loftweir.partners.part import Partners
    from loftweir.replication.part import ReplicationAgent

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
LOG_TICK = SECOND  # between two calls that let the log report dropped and repeated lines
DRAIN_NOTICE = SECOND  # from the start of a drain until idle connections are closed; by then clients know of it
SWEEP_EVERY = 50 * MS  # between two passes that close idle connections of a drained sidecar
# From a reload's end to the start of the next one. A reload occupies the loop for some 14 ms, longer if the file lists
# many providers, so an endless stream of signals takes an eighth of the processor. Far below the 4 s after which a
# change of the discovery address counts as known.
RELOADS_APART = 100 * MS
PARTIAL_REQUEST_WAIT = 2 * SECOND  # from SIGTERM on, how long the rest of a partly received request is awaited
LONGEST_COUNTED = 3 * SECOND  # the longest deadline that the end waits for before SIGKILL may come
LONGEST_STOP = 60 * SECOND  # for long responses that are on their way: their clients go on reading
ENDS_BEFORE = 600 * MS  # how long before the end the last response is due: SIGKILL may come 0.3 s before the end


class Sidecar:
    """Owns the parts of a sidecar, and starts and ends them in order."""

    def __init__(
        self,
        loop: Loop,
        platform: Platform,
        options: Options,
        sites: PartnersConfig | None = None,
        services: Services | None = None,
    ) -> None:
        """`sites` and `services`: from the partners' and the catalog's files, if the operator's file names them."""
        self.loop = loop
        self.options = options
        self.platform = platform
        limits, memory = options.limits, platform.memory_mb * MIB
        self.life = SidecarLifecycle()
        self.life.changed = self._changed
        self.drain_began = 0  # when the latest drain began
        self.commands = CommandHandler(loop, self.life, self.update_list, self._takes_clients)
        self.discovery = Discovery(loop, platform.discovery, options, self.receive_list, platform.seed)
        client_sockets = max(int(platform.sockets * limits.consumers_of_sockets), 1)
        other_descriptors = limits.other_sockets + (DESCRIPTORS if platform.operator else 0)
        self.fleet: ReplicationAgent | None = None
        if options.replication.members:
            # Imported here, so that a sidecar without replication doesn't pay for the import.
            from loftweir.replication import part

            self.fleet = self.commands.fleet = part.ReplicationAgent(
                loop, platform.name, options.replication, self.commands.apply_fleet
            )
            other_descriptors += part.descriptor_count(platform.name, options.replication)
        self.partners: Partners | None = None
        if sites is not None and self.fleet is not None:
            from loftweir.partners import part as partners

            self.partners = partners.Partners(
                loop, platform.name, options, sites, self.fleet, self._update_partner_providers, self._settings
            )
            self.commands.partners = self.partners
            other_descriptors += partners.descriptors(options.partners, sites)
        provider_sockets = max(platform.sockets - client_sockets - other_descriptors, 1)
        self.back = Backend(loop, platform.settings, options, provider_sockets, int(memory * limits.answers_of_memory))
        self.host = Host(loop, platform.settings, platform.seed, self.back, self.discovery)
        self.back.on_attempt_ended = self.host.attempt_ended
        bodies = int(memory * limits.requests_of_memory)
        self.front = Frontend(loop, self.host, self.life, options, platform.sockets, bodies)
        self.front.free_descriptor = self.back.connections.evict_idle
        self.memory_watch = MemoryWatch(loop, self.front, self.back, memory)
        self.catalog: Hosts | None = None
        self.services_file = options.catalog.file  # another file is used only from the next start on
        if services is not None and self.partners is not None:
            from loftweir.catalog import hosts
            from loftweir.http1 import named

            self.catalog = self.partners.catalog = hosts.Hosts(loop, services, self.host, self.back, platform.seed)
            self.catalog.leased_tasks = self.partners.leased_tasks
            self.front.client_class = named.client_class(self.catalog)
            self.front.has_other_providers = self.catalog.serves
        self.disk: Disk | None = None  # where the snapshot is stored, with `state.keep`
        self.list_tracker: ListTracker | None = None
        self.written_at = 0  # when the last snapshot was written, by the loop's clock
        self.write_due = False  # a write of the snapshot is due

    def _settings(self) -> Settings:
        """Return the settings in force."""
        return self.host.settings

    def _update_partner_providers(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Pass a list update of the partners' providers to the balancer, like any other update."""
        self.host.update_list(update, addresses)

    def receive_list(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Take discovery's list, or changes to it. The snapshot gets it as it is, without the operators' overrides."""
        if self.list_tracker is not None and update.kind is not UpdateKind.FAILED:
            self.list_tracker.apply(update, addresses)
            self._schedule_snapshot()
        self.commands.update_list(update, addresses)

    def update_list(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Pass a list update, with the operators' overrides applied, to all parts that use it."""
        if self.partners is None:
            self.host.update_list(update, addresses)
        else:
            self.host.update_list(*self.partners.with_partner_providers(update, addresses))
        if self.catalog is not None:
            self.catalog.update_membership(update, addresses)
        if update.kind in (UpdateKind.FULL, UpdateKind.CHANGES):
            self.front.open()
        emit(
            DISCOVERY_LIST,
            kind=update.kind.value,
            index=update.version,
            providers=len(self.back.pool.addresses),
            changes=len(update.endpoints),
        )

    def apply(
        self,
        options: Options,
        discovery: str,
        settings: Settings,
        sites: PartnersConfig | None = None,
        services: Services | None = None,
    ) -> None:
        """Use new options and settings from now on, except those that only a restart applies."""
        same_site = options.partners.site == self.options.partners.site
        same_catalog = options.catalog.file == self.services_file
        self.options = self.discovery.options = options
        self.front.apply_options(options)
        self.back.apply_settings(options, settings)
        if settings != self.host.settings:
            self.host.apply_settings(settings)
        if self.partners is not None and sites is not None and same_site:
            self.partners.use(sites)  # it reads the settings too
        if self.catalog is not None:
            self.catalog.use(services if same_site and same_catalog else None)
        self.discovery.change_address(discovery)
        self.discovery.apply_settings(settings.discovery_pushes, settings.balancers)

    # ---- start and end --------------------------------------------------------------------------

    def start(self, reload: Callable[[], None]) -> None:
        """Start all parts. `reload` is called on SIGHUP, and handles its own errors."""
        platform = self.platform
        known, addresses = self._initial_list(platform.known, platform.addresses)
        if known.endpoints:
            self.discovery.version = known.version
        woken, wakes = socket.socketpair()
        woken.setblocking(False)
        wakes.setblocking(False)
        signal.set_wakeup_fd(wakes.fileno(), warn_on_full_buffer=False)
        received: set[int] = set()

        def record(number: int, _: object) -> None:
            # While it is blocked the kernel keeps only one, however often it arrives. Otherwise a script that sends it
            # without end would leave this process no time between two of them.
            signal.pthread_sigmask(signal.SIG_BLOCK, {number})
            received.add(number)

        for number in HANDLED_SIGNALS:
            signal.signal(number, record)
        if platform.operator:
            self.commands.begin(os.environ.get("TMPDIR"))
            self._share_ids()
        if self.fleet is not None:
            self.fleet.recall()
        self.commands.update_list(known, addresses)
        if platform.settings.discovery_pushes:
            # The sidecar counts as notified of what the agent has from its first moment on, and the platform's list is
            # older than that.
            self.front.opens_at = self.loop.now() + SHORTEST_FRESH_TIMEOUT
        self.memory_watch.fit_budgets()
        if platform.listen_fd is None:
            self.front.listen(platform.listen)
        else:
            self.front.inherit(platform.listen_fd)
        if platform.operator:
            Address(self.loop, self.commands.execute).listen(platform.operator)
        if self.commands.store is not None:
            self.commands.store.announce_serving()
        if self.commands.found_other_process:
            # Changes must be followed soon after this process reports that it is ready. It does not start together with
            # a whole fleet, so its first call needs no jitter.
            self.discovery.watch(True)
        self.discovery.apply_settings(platform.settings.discovery_pushes, platform.settings.balancers)
        if self.partners is not None:
            self.partners.start()
        if self.fleet is not None:
            self.fleet.start()
        StandingTask(self.loop, lambda: self._handle_signals(woken, wakes, received, reload))
        StandingTask(self.loop, self._keep_log)
        StandingTask(self.loop, self.memory_watch.run)

    def _share_ids(self) -> None:
        """Show the ids of requests that must run once to a process that takes this one's place, or had it before."""
        if self.commands.store is None:
            return
        # Imported here, so that a sidecar without an operators' address doesn't pay for the import.
        from loftweir.operations.shared_ids import SharedIds

        folder = self.commands.store.path.parent
        try:
            self.host.sent_ids.others = SharedIds(folder)
        except (OSError, ValueError) as error:
            emit(IDS_NOT_SHARED, folder=str(folder), why=error)

    def _initial_list(
        self, platform_list: MembershipUpdate, addresses: dict[str, str]
    ) -> tuple[MembershipUpdate, dict[str, str]]:
        """Return the list to start with: the platform's, or the snapshot if that is newer and not too old.

        A snapshot that is too old stays as it is until discovery answers: the next start needs what it says is gone.
        """
        folder = os.environ.get("TMPDIR")
        if self.options.state.keep != "on" or not folder:
            return platform_list, addresses
        self.disk = Disk(Path(folder))
        snapshot: Snapshot | None = None
        try:
            snapshot = self.disk.load()
        except Damaged as damaged:
            emit(STATE_DAMAGED, file=str(self.disk.path), at=damaged.at, why=damaged.why)
        except OSError as error:
            emit(STATE_DAMAGED, file=str(self.disk.path), at=0, why=error.strerror or str(error))
        now = time.time_ns()
        chosen = choose_list(platform_list, snapshot, now, self.options.state.trust_for)
        self.list_tracker = ListTracker(snapshot.epoch if snapshot else 0)
        current = platform_list
        if snapshot is not None and chosen is ListSource.SNAPSHOT:
            current, addresses = snapshot.update()
        elif snapshot is not None and chosen is ListSource.OLD:
            current = without_removed(platform_list, snapshot)
        self.list_tracker.apply(current, addresses)
        if chosen is not ListSource.OLD:
            self._schedule_snapshot()
        age = (now - snapshot.taken_at) // MS if snapshot else 0
        epoch, index = (snapshot.epoch, snapshot.index) if snapshot else (0, current.version)
        emit(STATE_TAKEN, choice=chosen.value, epoch=epoch, index=index, age_ms=age, providers=len(current.endpoints))
        return current, addresses

    def _schedule_snapshot(self) -> None:
        """Have the snapshot written, `state.write_apart` after the last one at the earliest."""
        if not self.write_due:
            self.write_due = True
            apart = self.options.state.write_apart
            self.loop.after(max(0, self.written_at + apart - self.loop.now()), self._write_snapshot)

    def _write_snapshot(self) -> None:
        """Write the snapshot of the current list."""
        self.write_due, self.written_at = False, self.loop.now()
        if self.disk is None or self.list_tracker is None:
            return
        try:
            self.disk.save(self.list_tracker.snapshot(time.time_ns()))
        except OSError as error:
            emit(STATE_FAILED, file=str(self.disk.path), why=error.strerror or str(error))

    def _handle_signals(
        self, woken: socket.socket, wakes: socket.socket, received: set[int], reload: Callable[[], None]
    ) -> Coroutine[None]:
        """Handle the signals in `received`; data on `woken` only tells that there may be some.

        All SIGHUPs that arrive before a reload begins cause that one reload, of the files as they are then. Those that
        arrive from then on, until `RELOADS_APART` after its end, cause one more. SIGTERM and SIGINT never wait for a
        reload, and stay blocked: the end can't be undone.
        """
        # When SIGHUP is unblocked; None while it is not blocked, which is not known after an error.
        unblock_at: int | None = self.loop.now()
        while True:
            if (yield Wait(woken, READABLE, unblock_at)):
                woken.recv(4096)
            for number in received - {signal.SIGHUP}:
                received.discard(number)
                if self.life.step(LifecycleEvent.END):
                    emit(STOP_BEGUN, signal=signal.Signals(number).name, open=len(self.host.invocations))
                    self.loop.spawn(self._stop(wakes), self._stop_broken)
            if unblock_at is not None and self.loop.now() >= unblock_at:
                unblock_at = None
                # A pending signal is recorded within this call.
                signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
            if unblock_at is None and signal.SIGHUP in received:
                received.discard(signal.SIGHUP)
                reload()
                unblock_at = self.loop.now() + RELOADS_APART

    def _keep_log(self) -> Coroutine[None]:
        """Drive the log: write lines that wait for their reader, and report how many were dropped."""
        writer = log.writer()
        waiting: list[Task] = []

        def drain() -> Coroutine[None]:
            while not writer.flush():
                yield Wait(writer, WRITABLE, None)

        def blocked() -> None:
            if not waiting or waiting[0].over:
                waiting[:] = [self.loop.spawn(drain())]

        writer.blocked = blocked
        while True:
            yield Wait(None, 0, self.loop.now() + LOG_TICK)
            log.tick()

    def _takes_clients(self) -> bool:
        """Whether clients are accepted and can be served."""
        return self.front.takes_clients()

    def _changed(self, before: State) -> None:
        """Handle a change of the lifecycle's state."""
        emit(LIFE_CHANGED, state=self.life.state.value, before=before.value, open=len(self.host.invocations))
        if self.life.traits.last and not TRAITS[before].last:
            self.front.ending_since = self.loop.now()
        if self.life.state is State.LEAVING:
            self.loop.spawn(self._drain())

    def _drain(self) -> Coroutine[None]:
        """Carry out a drain.

        Whatever sends clients here polls the health check, and sends new ones a little longer. Connections in use end
        with their next response. After that time all idle ones are closed, also those that become idle later.
        """
        drain_began = self.drain_began = self.loop.now()
        yield Wait(None, 0, drain_began + DRAIN_NOTICE)
        if self.life.state is State.LEAVING and self.drain_began == drain_began:
            self.life.step(LifecycleEvent.EMPTIED)
        while self.life.state is State.EMPTY:
            self.front.close_unused(half=False)
            yield Wait(None, 0, self.loop.now() + SWEEP_EVERY)

    def _stop_broken(self, _: Exception) -> None:
        """End the process although its end has failed, once what it has taken had its time."""
        self.loop.after(LONGEST_COUNTED, self._stop_now)

    def _stop_now(self) -> None:
        self.loop.stopped = True

    def _stop(self, wakes: socket.socket) -> Coroutine[None]:
        """End the process; requests that were taken are answered.

        If another process accepts clients at this address, this one stops accepting at once. Otherwise it continues for
        as long as clients may not know of its end. Requests that arrive late are answered while the process is there.
        """
        front, limits = self.front, self.options.limits
        if self.write_due:
            self._write_snapshot()  # a change that still waits for `state.write_apart` must not be lost
        if self.partners is not None:
            self.partners.leave()
        if self.fleet is not None:
            self.fleet.leave()
        now = self.loop.now()
        longest = max(c.deadline for c in self.host.settings.classes.values())
        last = now + min(longest, LONGEST_COUNTED) + SECOND
        latest = now + max(longest + SECOND, LONGEST_STOP)  # SIGKILL may come far later
        front.ends_at = last - ENDS_BEFORE
        if self.commands.store is not None and not self.commands.store.is_alone():
            front.stop_accepting()
        yield Wait(None, 0, now + limits.accept_after_term)
        while not front.stop_accepting() and self.loop.now() < front.ends_at:
            yield Wait(None, 0, self.loop.now() + 5 * MS)
        self.life.step(LifecycleEvent.SHUT)
        until = last
        while front.clients and self.loop.now() < until:
            if front.has_unanswered():  # the last response has time to be acknowledged
                until = max(last, min(self.loop.now() + limits.linger_for, latest))
            front.close_unused(half=self.loop.now() > now + PARTIAL_REQUEST_WAIT)
            yield Wait(None, 0, self.loop.now() + 5 * MS)
        # Python removes its handlers at exit: a signal that arrived then would determine the exit code.
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        emit(STOP_DONE, left=front.close())
        if self.partners is not None:
            self.partners.close()
        if self.fleet is not None:
            self.fleet.close()
        wakes.close()
        self.loop.stopped = True
