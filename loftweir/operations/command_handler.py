"""Carries out operators' commands: stores their overrides, updates the balancer, and drains the sidecar."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Protocol

from loftweir.core.life import LifecycleEvent, SidecarLifecycle
from loftweir.interface import MembershipUpdate
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Wait
from loftweir.net.standing import StandingTask
from loftweir.operations.calls import No, OperatorCommand, Verb
from loftweir.operations.overlay import Overlay
from loftweir.operations.record import Override, OverrideRecord
from loftweir.operations.store import Store
from loftweir.state.sealed import Damaged
from loftweir.telemetry.catalogue import OPERATOR_RECORD, OPERATOR_RECORD_DAMAGED, OPERATOR_RECORD_FAILED
from loftweir.telemetry.log import emit

# How often the record's file is checked: well within the grace after a command that another process received.
POLL_INTERVAL = 50 * MS
LOCK_RETRY_INTERVAL = 5 * MS
LOCK_TIMEOUT = 500 * MS  # for the record's lock; a client waits 1 s for its answer
REPAIR_TIMEOUT = 2 * SECOND  # for another process that knows a damaged record to write it again

UpdateBalancer = Callable[[MembershipUpdate, dict[str, str]], None]


class Fleet(Protocol):
    """This sidecar's part in the replicated state, if the operator's file names members."""

    def execute(self, command: OperatorCommand) -> Coroutine[str]:
        """Carries out a command to the fleet and returns the text after OK; raises `No`."""
        ...


class Partners(Protocol):
    """This sidecar's part in the exchange with partners, if the operator's file names a site."""

    def execute(self, command: OperatorCommand) -> str:
        """Carries out ROUTES and returns the text after OK."""
        ...


class CommandHandler:
    """Invariant: the balancer knows all overrides of `overlay.record`, and `life` drains as the record says."""

    def __init__(
        self, loop: Loop, life: SidecarLifecycle, update_balancer: UpdateBalancer, takes_clients: Callable[[], bool]
    ) -> None:
        self.loop = loop
        self.life = life
        self.update_balancer = update_balancer
        self.takes_clients = takes_clients
        self.overlay = Overlay()
        self.fleet: Fleet | None = None
        self.partners: Partners | None = None
        self.store: Store | None = None
        self.found_other_process = False  # one served when this process started
        self.begun = False  # the record was read, or its reading was given up
        self.file_is_behind = False  # the file lacks an override that this process knows

    # ---- discovery ------------------------------------------------------------------------------

    def update_list(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Passes discovery's list on to the balancer, with the overrides applied."""
        self.update_balancer(*self.overlay.update(update, addresses))

    # ---- the fleet ------------------------------------------------------------------------------

    def apply_fleet(self, overrides: Mapping[str, Override], replace_all: bool) -> None:
        """Applies overrides of the fleet; `replace_all`: they replace all earlier ones.

        Their times come from the clock of whoever sent the command. If that clock is ahead of this one, the provider
        counts as started now and not in an hour. A repeated override keeps the time that it got first.
        """
        now, known = self.loop.now(), self.overlay.fleet
        adjusted = {}
        for name, override in overrides.items():
            before = known.get(name)
            if override.at > now:
                repeated = before is not None and before.active == override.active
                override = before if before is not None and repeated else Override(now, override.active)
            adjusted[name] = override
        update = self.overlay.apply_fleet(adjusted, replace_all)
        if update is not None:
            self.update_balancer(*update)

    def _fleet(self, command: OperatorCommand) -> Coroutine[str]:
        if self.fleet is None:
            raise No("replication is off: the operator's file names no replication.members")
        # Other sidecars may use a provider that this one's list does not name yet, so that any name can be disabled.
        if command.verb is Verb.FLEET_ENABLE and not self.overlay.knows(command.id):
            raise No("no such upstream")
        return (yield from self.fleet.execute(command))

    # ---- the record -----------------------------------------------------------------------------

    def begin(self, folder: str | None) -> None:
        """Takes over the overrides of earlier processes. Without a folder, overrides end with the process."""
        if folder is None:
            self.begun = True
            return
        try:
            self.store = Store(Path(folder))
            self.found_other_process = not self.store.is_alone()
        except OSError as error:
            emit(OPERATOR_RECORD_FAILED, folder=folder, why=error)
            self.begun = True
            return
        if not self._read() and self.found_other_process:
            self.loop.after(REPAIR_TIMEOUT, self._give_up_reading)
        else:
            self._begin()
        StandingTask(self.loop, self._follow_file, urgent=True)

    def _begin(self) -> None:
        self.begun = True
        if not self.found_other_process and self.overlay.record.drain.active:
            # The drain was of processes that have all ended. A disabled provider stays disabled until it is enabled.
            self.apply_record(self.overlay.record.with_drain(False, self.loop.now()))
            self.file_is_behind = True  # else a process that is started beside this one would drain

    def _give_up_reading(self) -> None:
        if not self.begun:
            self._begin()

    def _read(self) -> bool:
        assert self.store is not None
        try:
            loaded = self.store.load()
        except Damaged as error:
            emit(OPERATOR_RECORD_DAMAGED, why=error)
            return False
        self.apply_record(self.overlay.record.merged(loaded))
        self.file_is_behind = self.overlay.record != loaded.pruned(self.loop.now())
        return True

    def _follow_file(self) -> Coroutine[None]:
        """Takes over commands that another process received, and rewrites a file that is damaged or behind."""
        store = self.store
        assert store is not None
        while True:
            yield Wait(None, 0, self.loop.now() + POLL_INTERVAL)
            sound = True
            if store.has_changed():
                sound = self._read()
                if sound and not self.begun:
                    self._begin()
            if self.begun and (not sound or self.file_is_behind):
                try:
                    self.apply_record(store.save(self.overlay.record))
                    self.file_is_behind = False
                except OSError as error:
                    store.last_stamp = None  # read again at the next poll
                    if not isinstance(error, BlockingIOError):
                        emit(OPERATOR_RECORD_FAILED, folder=str(store.path.parent), why=error)

    def apply_record(self, record: OverrideRecord) -> None:
        """Puts a record in force: updates the balancer, and begins or ends the drain."""
        before, record = self.overlay.record, record.pruned(self.loop.now())
        if record == before:
            return
        update = self.overlay.apply_record(record)
        if update is not None:
            self.update_balancer(*update)
        if record.drain.active != before.drain.active:
            self.life.step(LifecycleEvent.DRAIN if record.drain.active else LifecycleEvent.UNDRAIN)
        disabled = sorted(name for name, override in record.overrides.items() if override.active)
        emit(OPERATOR_RECORD, out=disabled, drain=record.drain.active)

    def _save(self, record: OverrideRecord) -> Coroutine[OverrideRecord]:
        """Stores a record and returns it as merged with the file; raises `No` if it can't be stored."""
        store, until = self.store, self.loop.now() + LOCK_TIMEOUT
        while store is not None:
            try:
                return store.save(record)
            except OSError as error:
                if not isinstance(error, BlockingIOError) or self.loop.now() >= until:
                    emit(OPERATOR_RECORD_FAILED, folder=str(store.path.parent), why=error)
                    raise No(f"it can't be kept: {error.strerror}") from None
            yield Wait(None, 0, self.loop.now() + LOCK_RETRY_INTERVAL)
        return record

    # ---- commands -------------------------------------------------------------------------------

    def execute(self, command: OperatorCommand) -> Coroutine[str]:
        """Carries out a command and returns the text after OK; raises `No` if it is not carried out."""
        now, record = self.loop.now(), self.overlay.record
        if command.verb in (Verb.FLEET, Verb.FLEET_DISABLE, Verb.FLEET_ENABLE, Verb.FLEET_REMOVE):
            return (yield from self._fleet(command))
        if command.verb is Verb.ROUTES:
            if self.partners is None:
                raise No("partners are off: the operator's file names no partners.site")
            return self.partners.execute(command)
        if command.verb is Verb.READY:
            if self.life.is_ending:
                raise No("this process comes to its end")
            if not self.begun or not self.takes_clients():
                raise No("not yet")
            return ""
        if command.verb in (Verb.DRAIN, Verb.UNDRAIN):
            on = command.verb is Verb.DRAIN
            self.apply_record(record.with_drain(on, now))
            yield from self._save_overlay_record()
            return "draining" if on else "serving"
        if not self.overlay.knows(command.id):
            raise No("no such upstream")
        if command.verb is Verb.DISABLE:
            # In force before it is stored: the provider must get no request after the command, whatever the answer is.
            self.apply_record(record.with_override(command.id, True, now))
            yield from self._save_overlay_record()
            return "disabled"
        if record.is_disabled(command.id):
            # Stored before it is in force: the provider must get no request until its enabling is stored.
            self.apply_record((yield from self._save(record.with_override(command.id, False, now))))
        return "enabled"

    def _save_overlay_record(self) -> Coroutine[None]:
        self.apply_record((yield from self._save(self.overlay.record)))
