"""One sidecar from its configuration to its end: start, reload, run. Used by `python -m loftweir` and the CLI."""

from __future__ import annotations

import dataclasses
import os
import resource
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from loftweir import __version__
from loftweir.config import operator, platform
from loftweir.config.faults import Fault, Faulty
from loftweir.config.model import Log, Options, keys
from loftweir.config.units import format_quantity
from loftweir.interface import Settings
from loftweir.net.loop import Loop
from loftweir.sidecar import Sidecar
from loftweir.telemetry import log
from loftweir.telemetry.catalogue import RELOAD_DONE, RELOAD_FAULT, START_FAILED, START_FAULT, START_LISTENING, Event

if TYPE_CHECKING:
    from loftweir.catalog.file import Services
    from loftweir.partners.file import PartnersConfig

UNUSABLE = 2  # the exit code where the configuration or the start failed


class Configuration(NamedTuple):
    """Both files, read and checked, and those for the partners and services where the operator's names them."""

    platform: platform.Platform
    operator: operator.Loaded
    sites: PartnersConfig | None = None
    services: Services | None = None


class Origin(NamedTuple):
    """Where the configuration is read from, at the start and at each reload."""

    platform_file: str
    operator_file: str
    environment: Mapping[str, str]
    flags: Mapping[str, str]


def origin(
    environment: Mapping[str, str], config: str = "", operator_file: str = "", flags: Mapping[str, str] | None = None
) -> Origin:
    """What the flags leave open, the environment says."""
    return Origin(
        config or environment.get(platform.FILE_VARIABLE, ""),
        operator_file or environment.get(operator.FILE_VARIABLE, ""),
        environment,
        flags or {},
    )


def read(at: Origin, required: frozenset[str] = frozenset()) -> Configuration:
    """All of the configuration; a `Faulty` carries the faults of both files together. `required`: keys that the
    platform's file must have, though it could be read without some."""
    faults: list[Fault] = []
    loaded, of_platform, sites, services = None, None, None, None
    try:
        loaded = operator.load(at.operator_file, at.environment, at.flags)
    except Faulty as error:
        faults += error.faults
    try:
        options = loaded.options if loaded is not None else Options()
        of_platform = platform.load(at.platform_file, at.environment, options, required)
    except Faulty as error:
        faults += error.faults
    if loaded is not None and loaded.options.partners.site:
        # Here: an instance whose operator names no site has no use for it.
        from loftweir.partners import file, table

        partners = loaded.options.partners
        try:
            limits = table.Limits(bytes=partners.table_size, routes=partners.routes)
            sites = file.load(partners.file, partners.site.lower(), limits)
        except Faulty as error:
            faults += error.faults
        if loaded.options.catalog.file:
            from loftweir.catalog import file as catalog

            try:
                services = catalog.load(loaded.options.catalog.file, partners.site.lower())
            except Faulty as error:
                faults += error.faults
    if loaded is None or of_platform is None or faults:
        raise Faulty(faults)
    return Configuration(of_platform, loaded, sites, services)


def say_faults(event: Event, error: Faulty) -> None:
    for fault in error.faults:
        log.emit(event, **fault._asdict())


def changes(old: Options, new: Options) -> dict[str, tuple[Any, Any, bool]]:
    """By path: the old value, the new one as the file has them, and whether it holds without a restart."""
    found = {}
    for key in keys():
        values = [getattr(getattr(options, key.section), key.name) for options in (old, new)]
        if values[0] != values[1]:
            before, after = (format_quantity(key.spec.unit, value) for value in values)
            found[key.path] = before, after, key.spec.live
    return found


def changed_settings(old: Settings, new: Settings) -> list[str]:
    """What is another in the platform's settings, for the log: classes by name, other fields by theirs."""
    names = [f.name for f in dataclasses.fields(Settings) if f.name != "classes"]
    found = [name for name in names if getattr(old, name) != getattr(new, name)]
    both = {**old.classes, **new.classes}
    return found + [f"classes.{name}" for name in both if old.classes.get(name) != new.classes.get(name)]


class Daemon:
    """A started sidecar and the configuration that it runs on."""

    def __init__(self, at: Origin) -> None:
        """Raises Faulty for the configuration, OSError for what can't be had at the start."""
        self.origin = at
        self.configuration = read(at)
        of_platform, loaded, sites, services = self.configuration
        use_log(loaded.options)
        # The platform counts descriptors: running into a limit of its own, the sidecar can make room.
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if of_platform.sockets < soft or soft == resource.RLIM_INFINITY:
            resource.setrlimit(resource.RLIMIT_NOFILE, (of_platform.sockets, hard))
        self.loop = Loop()
        self.sidecar = Sidecar(self.loop, of_platform, loaded.options, sites, services)
        self.sidecar.start(self.reload)
        log.emit(
            START_LISTENING,
            version=__version__,
            pid=os.getpid(),
            address=of_platform.listen,
            discovery=of_platform.discovery,
            providers=len(of_platform.addresses),
            operator=loaded.file,
        )

    def reload(self) -> None:
        """SIGHUP: all of both files, or nothing of them. What can't be used is logged, and the old stays."""
        # The environment is that of the start and can't be replaced: the file's word on discovery is newer.
        environment = {k: v for k, v in self.origin.environment.items() if k != "RELAY_DISCOVERY"}
        try:
            new = read(self.origin._replace(environment=environment), self.configuration.platform.keys)
        except Faulty as error:
            say_faults(RELOAD_FAULT, error)
            return
        except Exception as error:  # a fault of the program's own must not end it either
            log.emit(RELOAD_FAULT, file="", path="", value=repr(error), expected="to be read at all")
            return
        changed = changes(self.configuration.operator.options, new.operator.options)
        self.configuration = new
        use_log(new.operator.options)
        settings = changed_settings(self.sidecar.host.settings, new.platform.settings)
        self.sidecar.use(new.operator.options, new.platform.discovery, new.platform.settings, new.sites, new.services)
        log.emit(
            RELOAD_DONE,
            discovery=new.platform.discovery,
            changed=[path for path, (_, _, live) in changed.items() if live],
            settings=settings,
            restart=[path for path, (_, _, live) in changed.items() if not live],
        )


def use_log(options: Options) -> None:
    chosen = options.log
    log.configure(chosen.format, chosen.level, chosen.keep, chosen.repeat_every)


def run(at: Origin) -> int:
    """Runs one sidecar to its end; gives the program's exit code."""
    use_log(Options(log=Log(format=at.flags.get("log.format", Log().format))))  # until the files are read
    try:
        daemon = Daemon(at)
    except Faulty as error:
        say_faults(START_FAULT, error)
        return UNUSABLE
    except OSError as error:
        log.emit(START_FAILED, why=error)
        return UNUSABLE
    finally:
        if "daemon" not in locals():
            log.close()
    daemon.loop.run()
    log.close()
    return 0
