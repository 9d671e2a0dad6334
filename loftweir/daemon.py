"""Runs one sidecar from its configuration to its end: start, reload, run. Used by `python -m loftweir` and the CLI."""

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

UNUSABLE = 2  # the exit code if the configuration can't be used or the start failed


class Configuration(NamedTuple):
    """The contents of both files, read and checked, and of the partners' and services' files if they are configured."""

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
    """Return where the configuration is read from; the environment supplies what the flags do not."""
    return Origin(
        config or environment.get(platform.FILE_VARIABLE, ""),
        operator_file or environment.get(operator.FILE_VARIABLE, ""),
        environment,
        flags or {},
    )


def read(at: Origin, required: frozenset[str] = frozenset()) -> Configuration:
    """Read the whole configuration; a `Faulty` error carries the faults of all files together.

    `required`: keys that the platform's file must have, even if it could be read without them.
    """
    faults: list[Fault] = []
    loaded, platform_config, sites, services = None, None, None, None
    try:
        loaded = operator.load(at.operator_file, at.environment, at.flags)
    except Faulty as error:
        faults += error.faults
    try:
        options = loaded.options if loaded is not None else Options()
        platform_config = platform.load(at.platform_file, at.environment, options, required)
    except Faulty as error:
        faults += error.faults
    if loaded is not None and loaded.options.partners.site:
        # Imported here, so that a sidecar without partners doesn't pay for the import.
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
    if loaded is None or platform_config is None or faults:
        raise Faulty(faults)
    return Configuration(platform_config, loaded, sites, services)


def log_faults(event: Event, error: Faulty) -> None:
    """Log one event for each fault."""
    for fault in error.faults:
        log.emit(event, **fault._asdict())


def changes(old: Options, new: Options) -> dict[str, tuple[Any, Any, bool]]:
    """Return the changed options by path: the old and the new value as in the file, and whether it applies at once."""
    changed = {}
    for key in keys():
        values = [getattr(getattr(options, key.section), key.name) for options in (old, new)]
        if values[0] != values[1]:
            before, after = (format_quantity(key.spec.unit, value) for value in values)
            changed[key.path] = before, after, key.spec.live
    return changed


def changed_settings(old: Settings, new: Settings) -> list[str]:
    """Return the names of the platform's settings that differ, for the log; changed classes are listed one by one."""
    names = [f.name for f in dataclasses.fields(Settings) if f.name != "classes"]
    changed = [name for name in names if getattr(old, name) != getattr(new, name)]
    both = {**old.classes, **new.classes}
    return changed + [f"classes.{name}" for name in both if old.classes.get(name) != new.classes.get(name)]


class Daemon:
    """A running sidecar and its configuration."""

    def __init__(self, at: Origin) -> None:
        """Start a sidecar. Raises Faulty for its configuration, and OSError if the system refuses a resource."""
        self.origin = at
        self.configuration = read(at)
        platform_config, loaded, sites, services = self.configuration
        configure_log(loaded.options)
        # The platform limits the number of descriptors. At its own lower limit, the sidecar notices and can free some.
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if platform_config.sockets < soft or soft == resource.RLIM_INFINITY:
            resource.setrlimit(resource.RLIMIT_NOFILE, (platform_config.sockets, hard))
        self.loop = Loop()
        self.sidecar = Sidecar(self.loop, platform_config, loaded.options, sites, services)
        self.sidecar.start(self.reload)
        log.emit(
            START_LISTENING,
            version=__version__,
            pid=os.getpid(),
            address=platform_config.listen,
            discovery=platform_config.discovery,
            providers=len(platform_config.addresses),
            operator=loaded.file,
        )

    def reload(self) -> None:
        """Handle SIGHUP: use all of the files, or nothing. Faults are logged, and the old configuration stays."""
        # The environment is that of the start and can't change, so the file's address of discovery is newer.
        environment = {k: v for k, v in self.origin.environment.items() if k != "RELAY_DISCOVERY"}
        try:
            new = read(self.origin._replace(environment=environment), self.configuration.platform.keys)
        except Faulty as error:
            log_faults(RELOAD_FAULT, error)
            return
        except Exception as error:  # a fault of the program must not end it either
            log.emit(RELOAD_FAULT, file="", path="", value=repr(error), expected="to be read at all")
            return
        changed = changes(self.configuration.operator.options, new.operator.options)
        self.configuration = new
        configure_log(new.operator.options)
        settings = changed_settings(self.sidecar.host.settings, new.platform.settings)
        self.sidecar.apply(new.operator.options, new.platform.discovery, new.platform.settings, new.sites, new.services)
        log.emit(
            RELOAD_DONE,
            discovery=new.platform.discovery,
            changed=[path for path, (_, _, live) in changed.items() if live],
            settings=settings,
            restart=[path for path, (_, _, live) in changed.items() if not live],
        )


def configure_log(options: Options) -> None:
    """Configure the log."""
    chosen = options.log
    log.configure(chosen.format, chosen.level, chosen.keep, chosen.repeat_every)


def run(at: Origin) -> int:
    """Run one sidecar to its end; return the program's exit code."""
    configure_log(Options(log=Log(format=at.flags.get("log.format", Log().format))))  # in use until the files are read
    try:
        daemon = Daemon(at)
    except Faulty as error:
        log_faults(START_FAULT, error)
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
