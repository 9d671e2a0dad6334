"""One sidecar put together: the loop, the host, the HTTP front and back, discovery, signals, and its end."""

from __future__ import annotations

import os
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from loftweir.config.model import MIB, Options
from loftweir.config.platform import Platform
from loftweir.core.host import Host
from loftweir.core.life import LifecycleEvent, SidecarLifecycle, State
from loftweir.http1.back import Backend
from loftweir.http1.discovery import Discovery
from loftweir.http1.front import Frontend
from loftweir.interface import MembershipUpdate, Settings, UpdateKind
from loftweir.listclock import SHORTEST_FRESH_TIMEOUT
from loftweir.net.loop import MS, READABLE, SECOND, WRITABLE, Coroutine, Loop, Task, Wait
from loftweir.operations.address import DESCRIPTORS, Address
from loftweir.operations.command_handler import CommandHandler
from loftweir.state.disk import Disk
from loftweir.state.sealed import Damaged
from loftweir.state.snapshot import ListSource, ListTracker, Snapshot, choose_list
from loftweir.telemetry import log
from loftweir.telemetry.catalogue import (
    DISCOVERY_LIST,
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

OBEYED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
TICK = SECOND  # how often the log is asked for what it owes
LEAVES_FOR = SECOND  # from a drain on, until connections that rest are closed
SWEEP_EVERY = 50 * MS
# From a reload's end to the next one's beginning. A reload holds the loop for some 14 ms, longer where the file lists
# many providers: signals without end so take an eighth of the processor. Far below the 4 s after which news of a new
# discovery counts.
RELOADS_APART = 100 * MS
HALF_FOR = 2 * SECOND  # from SIGTERM on, that half a request is waited for
LONGEST_COUNTED = 3 * SECOND  # of a deadline, before SIGKILL
ENDS_BEFORE = 600 * MS  # the end, that the last answer is due: SIGKILL may come 0.3 s before the end


class Sidecar:
    """Owns the parts and the order in which they begin and end."""

    def __init__(
        self,
        loop: Loop,
        platform: Platform,
        options: Options,
        sites: PartnersConfig | None = None,
        services: Services | None = None,
    ) -> None:
        """`sites` and `services`: of the files that the operator's names for the partners and the catalog, if any."""
        self.loop = loop
        self.options = options
        self.platform = platform
        limits, memory = options.limits, platform.memory_mb * MIB
        self.life = SidecarLifecycle()
        self.life.changed = self._changed
        self.left_at = 0  # when the latest drain began
        self.commands = CommandHandler(loop, self.life, self.listed, self._takes_clients)
        self.discovery = Discovery(loop, platform.discovery, options, self.commands.update_list, platform.seed)
        shared = max(int(platform.sockets * limits.consumers_of_sockets), 1)
        others = limits.other_sockets + (DESCRIPTORS if platform.operator else 0)
        self.fleet: ReplicationAgent | None = None
        if options.replication.members:
            # Here: a sidecar whose operator names no members has no use for it, and does not pay for it.
            from loftweir.replication import part

            self.fleet = self.commands.fleet = part.ReplicationAgent(
                loop, platform.name, options.replication, self.commands.apply_fleet
            )
            others += part.descriptor_count(platform.name, options.replication)
        self.partners: Partners | None = None
        if sites is not None and self.fleet is not None:
            from loftweir.partners import part as partners

            self.partners = partners.Partners(
                loop, platform.name, options, sites, self.fleet, self._tell, self._settings
            )
            self.commands.partners = self.partners
            others += partners.descriptors(options.partners, sites)
        most_calls = max(platform.sockets - shared - others, 1)
        self.back = Backend(loop, platform.settings, options, most_calls, int(memory * limits.answers_of_memory))
        self.host = Host(loop, platform.settings, platform.seed, self.back, self.discovery)
        self.back.on_attempt_ended = self.host.attempt_ended
        bodies = int(memory * limits.requests_of_memory)
        self.front = Frontend(loop, self.host, self.life, options, platform.sockets, bodies)
        self.front.free_descriptor = self.back.pool.evict_idle
        self.catalog: Hosts | None = None
        self.services_file = options.catalog.file  # another one waits for the next start
        if services is not None and self.partners is not None:
            from loftweir.catalog import hosts
            from loftweir.http1 import named

            self.catalog = self.partners.catalog = hosts.Hosts(loop, services, self.host, self.back, platform.seed)
            self.catalog.leased_tasks = self.partners.leased_tasks
            self.front.client_class, self.front.has_other_providers = (
                named.client_class(self.catalog),
                self.catalog.serves,
            )
        self.disk: Disk | None = None  # where the snapshot is kept, with `state.keep`
        self.list_tracker: ListTracker | None = None
        self.written_at = 0  # when the last snapshot was written, by the loop's clock
        self.writes = False  # a write of the snapshot is due

    def _settings(self) -> Settings:
        return self.host.settings

    def _tell(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """The balancer, of the partners' providers as of any."""
        self.host.update_list(update, addresses)

    def listed(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        if self.partners is None:
            self.host.update_list(update, addresses)
        else:
            self.host.update_list(*self.partners.with_partner_providers(update, addresses))
        if self.catalog is not None:
            self.catalog.update_membership(update, addresses)
        if update.kind in (UpdateKind.FULL, UpdateKind.CHANGES):
            self.front.open()
        if self.list_tracker is not None and update.kind is not UpdateKind.FAILED:
            self.list_tracker.apply(update, addresses)
            if not self.writes:
                self.writes = True
                apart = self.options.state.write_apart
                self.loop.after(max(0, self.written_at + apart - self.loop.now()), self._write)
        emit(
            DISCOVERY_LIST,
            kind=update.kind.value,
            index=update.version,
            providers=len(self.back.pool.addresses),
            changes=len(update.endpoints),
        )

    def use(
        self,
        options: Options,
        discovery: str,
        settings: Settings,
        sites: PartnersConfig | None = None,
        services: Services | None = None,
    ) -> None:
        """Other options and settings, whole, from now on; what was spent at the start waits for the next one."""
        same_site = options.partners.site == self.options.partners.site
        same_catalog = options.catalog.file == self.services_file
        self.options = self.discovery.options = options
        self.front.apply_options(options)
        self.back.apply_settings(options, settings)
        if settings != self.host.settings:
            self.host.apply_settings(settings)
        if self.partners is not None and sites is not None and same_site:
            self.partners.use(sites)  # looks at the settings too
        if self.catalog is not None:
            self.catalog.use(services if same_site and same_catalog else None)
        self.discovery.change_address(discovery)
        self.discovery.apply_settings(settings.discovery_pushes, settings.balancers)

    # ---- life -----------------------------------------------------------------------------------

    def start(self, reload: Callable[[], None]) -> None:
        """`reload` is called on SIGHUP, and answers for what it can't use."""
        platform = self.platform
        known, addresses = self._remembered(platform.known, platform.addresses)
        if known.endpoints:
            self.discovery.version = known.version
        woken, wakes = socket.socketpair()
        woken.setblocking(False)
        wakes.setblocking(False)
        signal.set_wakeup_fd(wakes.fileno(), warn_on_full_buffer=False)
        came: set[int] = set()

        def note(number: int, _: object) -> None:
            # Blocked, it is kept by the kernel as one, however often it comes: a script that sends it without end
            # would leave this process no time between two of them.
            signal.pthread_sigmask(signal.SIG_BLOCK, {number})
            came.add(number)

        for number in OBEYED:
            signal.signal(number, note)
        if platform.operator:
            self.commands.begin(os.environ.get("TMPDIR"))
        if self.fleet is not None:
            self.fleet.recall()
        self.commands.update_list(known, addresses)
        if platform.settings.discovery_pushes:
            # What the agent has counts as told from this process's first moment, and the platform's list is older.
            self.front.opens_at = self.loop.now() + SHORTEST_FRESH_TIMEOUT
        if platform.listen_fd is None:
            self.front.listen(platform.listen)
        else:
            self.front.inherit(platform.listen_fd)
        if platform.operator:
            Address(self.loop, self.commands.execute).listen(platform.operator)
        if self.commands.store is not None:
            self.commands.store.announce_serving()
        if self.commands.found_other_process:
            # News bind soon after this process says that it is ready, and there is one of it: no crowd to spread.
            self.discovery.watch(True)
        self.discovery.apply_settings(platform.settings.discovery_pushes, platform.settings.balancers)
        if self.partners is not None:
            self.partners.start()
        if self.fleet is not None:
            self.fleet.start()
        self.loop.spawn(self._obey(woken, wakes, came, reload))
        self.loop.spawn(self._keep_log())

    def _remembered(
        self, given: MembershipUpdate, addresses: dict[str, str]
    ) -> tuple[MembershipUpdate, dict[str, str]]:
        """The list to start with: the platform's, or the snapshot where it is newer and young enough."""
        folder = os.environ.get("TMPDIR")
        if self.options.state.keep != "on" or not folder:
            return given, addresses
        self.disk = Disk(Path(folder))
        snapshot: Snapshot | None = None
        try:
            snapshot = self.disk.load()
        except Damaged as damaged:
            emit(STATE_DAMAGED, file=str(self.disk.path), at=damaged.at, why=damaged.why)
        except OSError as error:
            emit(STATE_DAMAGED, file=str(self.disk.path), at=0, why=error.strerror or str(error))
        now = time.time_ns()
        chosen = choose_list(given, snapshot, now, self.options.state.trust_for)
        self.list_tracker = ListTracker(snapshot.epoch if snapshot else 0)
        if snapshot is not None and chosen is ListSource.SNAPSHOT:
            given, addresses = snapshot.update()
        age = (now - snapshot.taken_at) // MS if snapshot else 0
        epoch, index = (snapshot.epoch, snapshot.index) if snapshot else (0, given.version)
        emit(STATE_TAKEN, choice=chosen.value, epoch=epoch, index=index, age_ms=age, providers=len(given.endpoints))
        return given, addresses

    def _write(self) -> None:
        self.writes, self.written_at = False, self.loop.now()
        if self.disk is None or self.list_tracker is None:
            return
        try:
            self.disk.save(self.list_tracker.snapshot(time.time_ns()))
        except OSError as error:
            emit(STATE_FAILED, file=str(self.disk.path), why=error.strerror or str(error))

    def _obey(
        self, woken: socket.socket, wakes: socket.socket, came: set[int], reload: Callable[[], None]
    ) -> Coroutine[None]:
        """Works off the signals in `came`; what is read from `woken` says only that there may be some.

        SIGHUPs that come before a reload begins are that one reload, of the files as they are then; those that come
        from then on, until `RELOADS_APART` after its end, are one more. SIGTERM and SIGINT never wait for it. They
        stay blocked: nothing leads back from the end.
        """
        hears_from: int | None = None  # when SIGHUP is heard again; None while it is
        while True:
            if (yield Wait(woken, READABLE, hears_from)):
                woken.recv(4096)
            for number in came - {signal.SIGHUP}:
                came.discard(number)
                if self.life.step(LifecycleEvent.END):
                    emit(STOP_BEGUN, signal=signal.Signals(number).name, open=len(self.host.invocations))
                    self.loop.spawn(self._stop(wakes))
            if hears_from is not None and self.loop.now() >= hears_from:
                hears_from = None
                signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one that waits is noted in this call
            if hears_from is None and signal.SIGHUP in came:
                came.discard(signal.SIGHUP)
                reload()
                hears_from = self.loop.now() + RELOADS_APART

    def _keep_log(self) -> Coroutine[None]:
        """Gives the log its turns: lines that wait for their reader, and numbers of those left out."""
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
            yield Wait(None, 0, self.loop.now() + TICK)
            log.tick()

    def _takes_clients(self) -> bool:
        return self.front.takes_clients()

    def _changed(self, before: State) -> None:
        emit(LIFE_CHANGED, state=self.life.state.value, before=before.value, open=len(self.host.invocations))
        if self.life.state is State.LEAVING:
            self.loop.spawn(self._empty())

    def _empty(self) -> Coroutine[None]:
        """A drain: who sends clients looks at health, and sends new ones a little longer. Kept connections go with
        their next answer, those that nobody used by then are closed, and so is what comes later and rests."""
        left_at = self.left_at = self.loop.now()
        yield Wait(None, 0, left_at + LEAVES_FOR)
        if self.life.state is State.LEAVING and self.left_at == left_at:
            self.life.step(LifecycleEvent.EMPTIED)
        while self.life.state is State.EMPTY:
            self.front.close_unused(half=False)
            yield Wait(None, 0, self.loop.now() + SWEEP_EVERY)

    def _stop(self, wakes: socket.socket) -> Coroutine[None]:
        """What was taken is answered. Where another process takes clients, this one stops at once; else it goes on
        for as long as clients may not know. What comes late gets an answer while there is one to give it."""
        front, limits = self.front, self.options.limits
        if self.writes:
            self._write()  # a change still waiting for `state.write_apart` is not lost with this process
        if self.partners is not None:
            self.partners.leave()
        if self.fleet is not None:
            self.fleet.leave()
        now = self.loop.now()
        longest = max(c.deadline for c in self.host.settings.classes.values())
        last = now + min(longest, LONGEST_COUNTED) + SECOND
        latest = now + longest + SECOND  # SIGKILL may come far later: what was taken with more time still has it
        front.ends_at = last - ENDS_BEFORE
        if self.commands.store is not None and not self.commands.store.is_alone():
            front.stop_accepting()
        yield Wait(None, 0, now + limits.accept_after_term)
        while not front.stop_accepting() and self.loop.now() < front.ends_at:
            yield Wait(None, 0, self.loop.now() + 5 * MS)
        self.life.step(LifecycleEvent.SHUT)
        while front.clients and self.loop.now() < (latest if front.has_unanswered() else last):
            front.close_unused(half=self.loop.now() > now + HALF_FOR)
            yield Wait(None, 0, self.loop.now() + 5 * MS)
        for number in OBEYED:  # Python's own end takes its handlers away: one that comes then would be the exit code
            signal.signal(number, signal.SIG_IGN)
        emit(STOP_DONE, left=front.close())
        if self.partners is not None:
            self.partners.close()
        if self.fleet is not None:
            self.fleet.close()
        wakes.close()
        self.loop.stopped = True
