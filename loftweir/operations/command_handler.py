"""Carries the operators' calls out: the record, the list that holds by it, the life of the sidecar."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Protocol

from loftweir.core.life import Life, Step
from loftweir.interface import MembershipUpdate
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Wait
from loftweir.operations.calls import No, OperatorCommand, Verb
from loftweir.operations.overlay import Overlay
from loftweir.operations.record import Override, OverrideRecord
from loftweir.operations.store import Store
from loftweir.state.sealed import Damaged
from loftweir.telemetry.catalogue import OPERATOR_RECORD, OPERATOR_RECORD_DAMAGED, OPERATOR_RECORD_FAILED
from loftweir.telemetry.log import emit

LOOK_EVERY = 50 * MS  # at the record: well within the grace that another process's call leaves
TRY_EVERY, TRY_FOR = 5 * MS, 500 * MS  # for the record's lock; a caller waits 1 s
HEALED_WITHIN = 2 * SECOND  # a damaged record: another process that knows it writes it again meanwhile

Told = Callable[[MembershipUpdate, dict[str, str]], None]


class Fleet(Protocol):
    """This sidecar's part in the replicated state, where the operator's file names members."""

    def execute(self, command: OperatorCommand) -> Coroutine[str]: ...


class Partners(Protocol):
    """This sidecar's part among the partners, where the operator's file names a site."""

    def execute(self, command: OperatorCommand) -> str: ...


class CommandHandler:
    """Invariant: what `overlay.record` says holds: the balancer was told, and `life` stands where the drain says."""

    def __init__(self, loop: Loop, life: Life, told: Told, takes_clients: Callable[[], bool]) -> None:
        self.loop = loop
        self.life = life
        self.told = told
        self.takes_clients = takes_clients
        self.overlay = Overlay()
        self.fleet: Fleet | None = None
        self.partners: Partners | None = None
        self.store: Store | None = None
        self.found_other_process = False  # another process served when this one began
        self.begun = False  # the record was read, or could not be
        self.lacks = False  # the file, something that this process knows

    # ---- discovery ------------------------------------------------------------------------------

    def update_list(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        self.told(*self.overlay.update(update, addresses))

    # ---- the fleet ------------------------------------------------------------------------------

    def apply_fleet(self, commands: Mapping[str, Override], whole: bool) -> None:
        """What holds for the whole fleet; `whole`: nothing else does. Its times are of the clock of whoever said it:
        of one that is ahead of this one's the provider starts now, not in an hour. Once: one that comes again is not
        news."""
        now, known = self.loop.now(), self.overlay.fleet
        heard = {}
        for name, command in commands.items():
            before = known.get(name)
            if command.at > now:
                command = (
                    before if before is not None and before.active == command.active else Override(now, command.active)
                )
            heard[name] = command
        update = self.overlay.apply_fleet(heard, whole)
        if update is not None:
            self.told(*update)

    def _fleet(self, command: OperatorCommand) -> Coroutine[str]:
        if self.fleet is None:
            raise No("replication is off: the operator's file names no replication.members")
        # What this sidecar's list does not name yet, others may serve from: it may be taken out all the same.
        if command.verb is Verb.FLEET_ENABLE and not self.overlay.knows(command.id):
            raise No("no such upstream")
        return (yield from self.fleet.execute(command))

    # ---- the record -----------------------------------------------------------------------------

    def begin(self, folder: str | None) -> None:
        """Takes over what was said to the processes before this one. Without a folder all of it ends with this one."""
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
            self.loop.after(HEALED_WITHIN, self._give_up_reading)
        else:
            self._begin()
        self.loop.spawn(self._keep(), urgent=True)

    def _begin(self) -> None:
        self.begun = True
        if not self.found_other_process and self.overlay.record.drain.active:
            # Nobody is left whom it was said to. A ban is of a provider, and holds until it is called back.
            self.apply_record(self.overlay.record.with_drain(False, self.loop.now()))

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
        self.lacks = self.overlay.record != loaded.pruned(self.loop.now())
        return True

    def _keep(self) -> Coroutine[None]:
        """Takes over what another process was told, and writes again what a file lacks."""
        store = self.store
        assert store is not None
        while True:
            yield Wait(None, 0, self.loop.now() + LOOK_EVERY)
            if not store.has_changed():
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
                        emit(OPERATOR_RECORD_FAILED, folder=str(store.path.parent), why=error)

    def apply_record(self, record: OverrideRecord) -> None:
        """What holds from now on."""
        before, record = self.overlay.record, record.pruned(self.loop.now())
        if record == before:
            return
        update = self.overlay.apply_record(record)
        if update is not None:
            self.told(*update)
        if record.drain.active != before.drain.active:
            self.life.step(Step.DRAIN if record.drain.active else Step.UNDRAIN)
        emit(OPERATOR_RECORD, out=sorted(n for n, w in record.overrides.items() if w.active), drain=record.drain.active)

    def _save(self, record: OverrideRecord) -> Coroutine[OverrideRecord]:
        """The record as it is in the file then, merged with this one; `No` where it can't be kept."""
        store, until = self.store, self.loop.now() + TRY_FOR
        while store is not None:
            try:
                return store.save(record)
            except OSError as error:
                if not isinstance(error, BlockingIOError) or self.loop.now() >= until:
                    emit(OPERATOR_RECORD_FAILED, folder=str(store.path.parent), why=error)
                    raise No(f"it can't be kept: {error.strerror}") from None
            yield Wait(None, 0, self.loop.now() + TRY_EVERY)
        return record

    # ---- calls ----------------------------------------------------------------------------------

    def execute(self, command: OperatorCommand) -> Coroutine[str]:
        """What is said after OK; a `No` where the call is not done."""
        now, record = self.loop.now(), self.overlay.record
        if command.verb in (Verb.FLEET, Verb.FLEET_DISABLE, Verb.FLEET_ENABLE, Verb.FLEET_REMOVE):
            return (yield from self._fleet(command))
        if command.verb is Verb.ROUTES:
            if self.partners is None:
                raise No("partners are off: the operator's file names no partners.site")
            return self.partners.execute(command)
        if command.verb is Verb.READY:
            if self.life.ends:
                raise No("this process comes to its end")
            if not self.begun or not self.takes_clients():
                raise No("not yet")
            return ""
        if command.verb in (Verb.DRAIN, Verb.UNDRAIN):
            on = command.verb is Verb.DRAIN
            self.apply_record(record.with_drain(on, now))
            yield from self._keep_command()
            return "draining" if on else "serving"
        if not self.overlay.knows(command.id):
            raise No("no such upstream")
        if command.verb is Verb.DISABLE:
            # It holds in any case: a time after the call it binds, whatever is answered.
            self.apply_record(record.with_override(command.id, True, now))
            yield from self._keep_command()
            return "disabled"
        if record.is_disabled(command.id):
            # The other way round: none is sent to before it is kept that it may be.
            self.apply_record((yield from self._save(record.with_override(command.id, False, now))))
        return "enabled"

    def _keep_command(self) -> Coroutine[None]:
        self.apply_record((yield from self._save(self.overlay.record)))
