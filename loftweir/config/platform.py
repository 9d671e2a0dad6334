"""Reads the platform's configuration, a JSON file and a few environment variables, and reports all faults at once."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import ujson

from loftweir.config.faults import MISSING, Fault, Faulty
from loftweir.config.lists import NotAList, read_list
from loftweir.config.model import Options
from loftweir.config.units import parse_members, split_host_port
from loftweir.interface import MembershipUpdate, Settings, UpdateKind
from loftweir.settings import JsonValues, settings_and_faults

FILE_VARIABLE = "RELAY_CONFIG"
LISTEN_FD = "RELAY_LISTEN_FD"
MAX_FILE_BYTES = 64 * 1024 * 1024


class Platform(NamedTuple):
    """The platform's configuration of one sidecar."""

    name: str
    listen: str
    discovery: str
    operator: str  # the operators' address; empty if there is none
    listen_fd: int | None  # the listening socket, if the platform opened it
    seed: int
    sockets: int
    memory_mb: int
    settings: Settings
    known: MembershipUpdate
    addresses: dict[str, str]
    keys: frozenset[str]  # of the file, in the form of `key_paths`
    sources: dict[str, str]  # of listen and discovery: file or environment
    file: str


def flatten(value: Any, path: str = "") -> Iterator[str]:
    """Yields nested values as path=value, for the command line to print."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count={len(value)}"
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield f"{path}={','.join(map(scalar, value))}"
    else:
        yield f"{path}={scalar(value)}"


def scalar(value: Any) -> str:
    """Formats a value that is not nested."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return "-" if value is None else str(value)


class Reader:
    """Looks up values in the file, and collects the faults in `faults`."""

    def __init__(self, file: str, data: Mapping[str, Any]) -> None:
        self.file = file
        self.data = data
        self.faults: list[Fault] = []

    def get(self, path: str) -> Any:
        """The value at a path, or MISSING."""
        value: Any = self.data
        for name in path.split("."):
            value = value.get(name, MISSING) if isinstance(value, dict) else MISSING
        return value

    def fault(self, path: str, expected: str, value: Any = MISSING) -> None:
        """Adds a fault."""
        self.faults.append(Fault(self.file, path, value, expected))

    def whole(self, path: str, least: int, base: int = 10) -> int:
        """A whole number of at least `least`; adds a fault and returns `least` if it is none."""
        value = self.get(path)
        try:
            number = int(str(value), base) if value != MISSING and not isinstance(value, bool | float) else None
        except ValueError:
            number = None
        if number is None or number < least:
            digits = "" if base == 10 else ", in hexadecimal digits"
            self.fault(path, f"a whole number from {least} on{digits}", value)
            return least
        return number

    def address(self, path: str, override: str | None, variable: str) -> tuple[str, str]:
        """An address from the environment or the file, and which of the two; adds a fault if it is none."""
        value = override or self.get(path)
        try:
            split_host_port(value if isinstance(value, str) else "")
        except ValueError:
            at = Fault("environment", variable, value, "") if override else Fault(self.file, path, value, "")
            self.faults.append(at._replace(expected="an address as host:port"))
            return "", ""
        return str(value), "environment" if override else "file"

    def inherited(self, text: str | None) -> int | None:
        """The number of an inherited descriptor, which has to be a listening TCP socket; adds a fault if it is not."""
        if not text:
            return None
        try:
            number = int(text) if text.isascii() and text.isdigit() else -1
            with socket.socket(fileno=os.dup(number)) as sock:
                if sock.type == socket.SOCK_STREAM and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                    return number
        except OSError:
            pass
        self.faults.append(Fault("environment", LISTEN_FD, text, "the number of an open, listening socket"))
        return None

    def settings(self) -> Settings | None:
        """The balancer's settings; adds a fault for each that is wrong."""
        value = self.get("settings")
        if not isinstance(value, dict):
            self.fault("settings", "an object, the sidecar's settings", value)
            return None
        settings, faults = settings_and_faults(JsonValues(value))
        for path, value, expected in faults:
            self.fault(f"settings.{path}" if path else "settings", expected, MISSING if value is None else value)
        return settings

    def known(self) -> tuple[MembershipUpdate, dict[str, str]]:
        """The platform's list of providers, and their addresses; adds a fault for each wrong place."""
        try:
            return read_list(self.get("known"), UpdateKind.REMEMBERED)
        except NotAList as error:
            for path, value, expected in error.faults:
                self.fault(f"known.{path}" if path else "known", expected, value)
            return MembershipUpdate(UpdateKind.REMEMBERED), {}


def key_paths(value: Any, path: str = "") -> Iterator[str]:
    """Yields the paths of all keys of a nested object; of a list of objects the keys that all have, under `*`."""
    if isinstance(value, dict):
        for key, inner in value.items():
            at = f"{path}.{key}" if path else str(key)
            yield at
            yield from key_paths(inner, at)
    elif isinstance(value, list) and value:
        yield from set.intersection(*(set(key_paths(item, f"{path}.*")) for item in value))


def load(
    file: str, environment: Mapping[str, str], options: Options, required: frozenset[str] = frozenset()
) -> Platform:
    """Returns the platform's configuration; raises `Faulty` with every fault, also where it contradicts the options.

    `required`: the keys of the file that this one replaces. Most have a default, but a file that lacks a key of the
    earlier one is more likely incomplete than intended. An empty list lacks none of its entries' keys.
    """
    reader = Reader(file, read_object(file))
    keys = set(key_paths(reader.data))
    for path in sorted(required - keys):
        parent = path.rpartition(".")[0]
        if parent.endswith("*"):
            if not reader.get(parent.removesuffix(".*")):
                continue
        elif parent and parent not in keys:
            continue  # reported already with the key above it
        reader.fault(path, "present, as in the previous file")
    listen, listen_from = reader.address("listen", environment.get("RELAY_LISTEN"), "RELAY_LISTEN")
    discovery, discovery_from = reader.address("discovery", environment.get("RELAY_DISCOVERY"), "RELAY_DISCOVERY")
    operator = ""
    if environment.get("RELAY_OPERATOR") or reader.get("operator") not in (MISSING, None, ""):
        operator, _ = reader.address("operator", environment.get("RELAY_OPERATOR"), "RELAY_OPERATOR")
    listen_fd = reader.inherited(environment.get(LISTEN_FD))
    sockets, memory_mb = reader.whole("limits.sockets", 1), reader.whole("limits.memory_mb", 1)
    seed = reader.whole("seed", 0, 16)
    settings = reader.settings()
    known, addresses = reader.known()
    name = str(reader.data.get("name", ""))
    if name in parse_members(options.replication.members) and not options.replication.folder:
        reader.fault("name", "a name that is not among replication.members, as replication.folder is empty", name)
    if settings is not None:
        usable_for = settings.conn_idle - options.providers.idle_margin
        if options.providers.rest_least >= max(settings.conn_idle // 2, usable_for):
            reader.fault(
                "settings.allowed.connIdle",
                "above the operator's providers.rest_least, as no connection could be reused otherwise",
                settings.conn_idle,
            )
    if reader.faults or settings is None:
        raise Faulty(reader.faults)
    return Platform(
        name,
        listen,
        discovery,
        operator,
        listen_fd,
        seed,
        sockets,
        memory_mb,
        settings,
        known,
        addresses,
        frozenset(key_paths(reader.data)),
        {"listen": listen_from, "discovery": discovery_from},
        file,
    )


def read_object(file: str) -> dict[str, Any]:
    """Reads a JSON file with an object; raises `Faulty` if that fails."""
    if not file:
        raise Faulty([Fault("environment", FILE_VARIABLE, MISSING, "the path of the platform's configuration")])
    try:
        with open(file, "rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
        value = ujson.loads(data.decode("utf-8"))
    except OSError as error:
        raise Faulty([Fault(file, "", error.strerror or str(error), "a file that can be read")]) from None
    except (ValueError, RecursionError) as error:
        raise Faulty([Fault(file, "", str(error) or "too deep", "JSON in UTF-8")]) from None
    if not isinstance(value, dict):
        raise Faulty([Fault(file, "", value, "an object")])
    return value
