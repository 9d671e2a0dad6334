"""Carries the operators' calls out: the record, the list that holds by it, the life of the sidecar."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Protocol

from loftweir.core.life import LifecycleEvent, SidecarLifecycle
from loftweir.interface import MembershipUpdate
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Wait
from loftweir.operations.calls import Call, Command, No
from loftweir.operations.overlay import Overlay
from loftweir.operations.record import LastCommand, Record
from loftweir.operations.store import Store
from loftweir.state.sealed import Damaged
from loftweir.telemetry.catalogue import RECORD_FAILED, RECORD_HELD, RECORD_READ
from loftweir.telemetry.log import say

LOOK_EVERY = 50 * MS  # at the record: well within the grace that another process's call leaves
TRY_EVERY, TRY_FOR = 5 * MS, 500 * MS  # for the record's lock; a caller waits 1 s
HEALED_WITHIN = 2 * SECOND  # a damaged record: another process that knows it writes it again meanwhile

Told = Callable[[MembershipUpdate, dict[str, str]], None]


class Fleet(Protocol):
    """This sidecar's part in the replicated state, where the operator's file names members."""

    def do(self, call: Call) -> Coroutine[str]: ...


class Partners(Protocol):
    """This sidecar's part among the partners, where the operator's file names a site."""

    def do(self, call: Call) -> str: ...


class CommandHandler:
    """Invariant: what `overlay.record` says holds: the balancer was told, and `life` stands where the drain says."""

    def __init__(self, loop: Loop, life: SidecarLifecycle, told: Told, takes_clients: Callable[[], bool]) -> None:
        self.loop = loop
        self.life = life
        self.told = told
        self.takes_clients = takes_clients
        self.overlay = Overlay()
        self.fleet: Fleet | None = None
        self.partners: Partners | None = None
        self.store: Store | None = None
        self.follows = False  # another process served when this one began
        self.begun = False  # the record was read, or could not be
        self.lacks = False  # the file, something that this process knows

    # ---- discovery ------------------------------------------------------------------------------

    def listed(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        self.told(*self.overlay.update(update, addresses))

    # ---- the fleet ------------------------------------------------------------------------------

    def fleet_said(self, commands: Mapping[str, LastCommand], whole: bool) -> None:
        """What holds for the whole fleet; `whole`: nothing else does. Its times are of the clock of whoever said it:
        of one that is ahead of this one's the provider starts now, not in an hour. Once: one that comes again is not
        news."""
        now, known = self.loop.now(), self.overlay.fleet
        heard = {}
        for name, command in commands.items():
            before = known.get(name)
            if command.at > now:
                command = before if before is not None and before.on == command.on else LastCommand(now, command.on)
            heard[name] = command
        update = self.overlay.lay(heard, whole)
        if update is not None:
            self.told(*update)

    def _fleet(self, call: Call) -> Coroutine[str]:
        if self.fleet is None:
            raise No("replication is off: the operator's file names no replication.members")
        # What this sidecar's list does not name yet, others may serve from: it may be taken out all the same.
        if call.command is Command.FLEET_ENABLE and not self.overlay.knows(call.id):
            raise No("no such upstream")
        return (yield from self.fleet.do(call))

    # ---- the record -----------------------------------------------------------------------------

    def begin(self, folder: str | None) -> None:
        """Takes over what was said to the processes before this one. Without a folder all of it ends with this one."""
        if folder is None:
            self.begun = True
            return
        try:
            self.store = Store(Path(folder))
            self.follows = not self.store.alone()
        except OSError as error:
            say(RECORD_FAILED, folder=folder, why=error)
            self.begun = True
            return
        if not self._read() and self.follows:
            self.loop.after(HEALED_WITHIN, self._give_up_reading)
        else:
            self._begin()
        self.loop.spawn(self._keep(), urgent=True)

    def _begin(self) -> None:
        self.begun = True
        if not self.follows and self.overlay.record.drain.on:
            # Nobody is left whom it was said to. A ban is of a provider, and holds until it is called back.
            self.hold(self.overlay.record.drained(False, self.loop.now()))

    def _give_up_reading(self) -> None:
        if not self.begun:
            self._begin()

    def _read(self) -> bool:
        assert self.store is not None
        try:
            loaded = self.store.load()
        except Damaged as error:
            say(RECORD_READ, why=error)
            return False
        self.hold(self.overlay.record.merged(loaded))
        self.lacks = self.overlay.record != loaded.pruned(self.loop.now())
        return True

    def _keep(self) -> Coroutine[None]:
        """Takes over what another process was told, and writes again what a file lacks."""
        store = self.store
        assert store is not None
        while True:
            yield Wait(None, 0, self.loop.now() + LOOK_EVERY)
            if not store.news():
                continue
            sound = self._read()
            if sound and not self.begun:
                self._begin()
            if self.begun and (not sound or self.lacks):
                try:
                    store.save(self.overlay.record)
                except OSError as error:
                    store.seen = None  # looked at again
                    if not isinstance(error, BlockingIOError):
                        say(RECORD_FAILED, folder=str(store.path.parent), why=error)

    def hold(self, record: Record) -> None:
        """What holds from now on."""
        before, record = self.overlay.record, record.pruned(self.loop.now())
        if record == before:
            return
        update = self.overlay.hold(record)
        if update is not None:
            self.told(*update)
        if record.drain.on != before.drain.on:
            self.life.step(LifecycleEvent.DRAIN if record.drain.on else LifecycleEvent.UNDRAIN)
        say(RECORD_HELD, out=sorted(n for n, w in record.bans.items() if w.on), drain=record.drain.on)

    def _save(self, record: Record) -> Coroutine[Record]:
        """The record as it is in the file then, merged with this one; `No` where it can't be kept."""
        store, until = self.store, self.loop.now() + TRY_FOR
        while store is not None:
            try:
                return store.save(record)
            except OSError as error:
                if not isinstance(error, BlockingIOError) or self.loop.now() >= until:
                    say(RECORD_FAILED, folder=str(store.path.parent), why=error)
                    raise No(f"it can't be kept: {error.strerror}") from None
            yield Wait(None, 0, self.loop.now() + TRY_EVERY)
        return record

    # ---- calls ----------------------------------------------------------------------------------

    def do(self, call: Call) -> Coroutine[str]:
        """What is said after OK; a `No` where the call is not done."""
        now, record = self.loop.now(), self.overlay.record
        if call.command in (Command.FLEET, Command.FLEET_DISABLE, Command.FLEET_ENABLE, Command.FLEET_REMOVE):
            return (yield from self._fleet(call))
        if call.command is Command.ROUTES:
            if self.partners is None:
                raise No("partners are off: the operator's file names no partners.site")
            return self.partners.do(call)
        if call.command is Command.READY:
            if self.life.ends:
                raise No("this process comes to its end")
            if not self.begun or not self.takes_clients():
                raise No("not yet")
            return ""
        if call.command in (Command.DRAIN, Command.UNDRAIN):
            on = call.command is Command.DRAIN
            self.hold(record.drained(on, now))
            yield from self._keep_command()
            return "draining" if on else "serving"
        if not self.overlay.knows(call.id):
            raise No("no such upstream")
        if call.command is Command.DISABLE:
            # It holds in any case: a time after the call it binds, whatever is answered.
            self.hold(record.ban(call.id, True, now))
            yield from self._keep_command()
            return "disabled"
        if record.banned(call.id):
            # The other way round: none is sent to before it is kept that it may be.
            self.hold((yield from self._save(record.ban(call.id, False, now))))
        return "enabled"

    def _keep_command(self) -> Coroutine[None]:
        self.hold((yield from self._save(self.overlay.record)))
