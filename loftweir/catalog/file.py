"""Reads the file of this site's own services, in TOML or JSON, and reports all faults at once.

mesh = "shop"

[meshes]
bergen = "mill"

[pins]
orders = "orders@shop"

[[services]]
name = "orders"
classes = ["status-read", "apply-submit"]
once = ["apply-submit"]
types = ["m"]
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec
import ujson

from loftweir.catalog.build import OwnService
from loftweir.catalog.claims import MAX_SAME_NAMES, Declaration
from loftweir.catalog.contract import ONCE, from_classes
from loftweir.catalog.names import BadName, global_name, mesh_name, short_name, split_name
from loftweir.config.faults import MISSING, Fault, Faulty
from loftweir.config.operator import MAX_FILE_BYTES, read_table, suggest_key
from loftweir.interface import Endpoint, RequestClass

MAX_SERVICES = 10_000
KEYS = ("mesh", "meshes", "pins", "services")
SERVICE_KEYS = ("name", "classes", "once", "same", "types", "names", "groups")


class OwnServiceConfig(msgspec.Struct, frozen=True):
    """One of this site's own services. An empty `types`, `names` or `groups` excludes no provider."""

    name: str  # global name
    classes: frozenset[str] = frozenset()  # in lower case; empty: all classes of the settings
    once: frozenset[str] = frozenset()  # in lower case; executed at most once, whatever the settings declare
    same: tuple[str, ...] = ()
    types: frozenset[str] = frozenset()
    names: tuple[str, ...] = ()  # prefixes of providers' names
    groups: frozenset[int] = frozenset()

    def serves(self, one: Endpoint) -> bool:
        """Whether the provider serves this service."""
        return (
            (not self.types or one.kind in self.types)
            and (not self.names or one.address.startswith(self.names))
            and (not self.groups or one.cell in self.groups)
        )

    def to_service(
        self, known: Mapping[str, Endpoint], addresses: Mapping[str, str], classes: Iterable[RequestClass]
    ) -> OwnService:
        """The service with those of the known providers that serve it."""
        # Contracts have class names in lower case, like the partners' tables.
        contract = {
            name.lower(): ONCE if name.lower() in self.once else one
            for name, one in from_classes(classes).items()
            if not self.classes or name.lower() in self.classes
        }
        endpoints = {name: one for name, one in known.items() if self.serves(one)}
        return OwnService(endpoints, {name: addresses[name] for name in endpoints}, Declaration(contract, self.same))


class Services(NamedTuple):
    """The contents of the file of services."""

    mesh: str
    meshes: dict[str, str]  # by site
    pins: dict[str, str]
    services: dict[str, OwnServiceConfig]  # by global name


def load(path: str, site: str) -> Services:
    """Raises `Faulty` with every fault. `site`: the name of this site, and of its mesh if the file names none."""
    faults: list[Fault] = []
    data = _read_json(path, faults) if path.endswith(".json") else read_table(path, faults)

    def fault(place: str, value: Any, expected: str) -> None:
        faults.append(Fault(path, place, value, expected))

    def read_name(read: Any, value: Any, place: str) -> str:
        try:
            return str(read(value, place))
        except BadName as error:
            fault(place, value, error.args[0] if error.args else str(error))
            return ""

    for key in data:
        if key not in KEYS:
            fault(key, data[key], suggest_key(str(key), KEYS))
    mesh = read_name(mesh_name, data.get("mesh", site), "mesh")
    meshes: dict[str, str] = {}
    for name, value in _read_table(data, "meshes", fault).items():
        meshes[name.lower()] = read_name(mesh_name, value, f"meshes.{name}")
    meshes.setdefault(site, mesh)
    pins: dict[str, str] = {}
    for name, value in _read_table(data, "pins", fault).items():
        short, pin = read_name(short_name, name, f"pins.{name}"), read_name(global_name, value, f"pins.{name}")
        if short and pin and split_name(pin)[0] != short:
            fault(f"pins.{name}", value, f"a service of that name, such as {short}@{mesh}")
        pins[short] = pin
    services: dict[str, OwnServiceConfig] = {}
    rows = data.get("services", [])
    if not isinstance(rows, list) or len(rows) > MAX_SERVICES:
        fault("services", rows, f"a list of at most {MAX_SERVICES} tables, [[services]]")
        rows = []
    for number, row in enumerate(rows):
        place = f"services.{number}"
        if not isinstance(row, dict):
            fault(place, row, "a table")
            continue
        for key in row:
            if key not in SERVICE_KEYS:
                fault(f"{place}.{key}", row[key], suggest_key(str(key), SERVICE_KEYS))
        name = row.get("name", MISSING)
        if isinstance(name, str) and "@" not in name:
            name = f"{name}@{mesh}"
        name = read_name(global_name, name, f"{place}.name")
        if name in services:
            fault(f"{place}.name", name, "each service once")
        lists = {key: _read_list(row, key, int if key == "groups" else str, place, fault) for key in SERVICE_KEYS[1:]}
        if len(lists["same"]) > MAX_SAME_NAMES:
            fault(f"{place}.same", len(lists["same"]), f"at most {MAX_SAME_NAMES}")
        same = tuple(read_name(global_name, one, f"{place}.same") for one in lists["same"])
        services[name] = OwnServiceConfig(
            name,
            frozenset(one.lower() for one in lists["classes"]),
            frozenset(one.lower() for one in lists["once"]),
            same,
            frozenset(lists["types"]),
            tuple(lists["names"]),
            frozenset(lists["groups"]),
        )
    if faults:
        raise Faulty(faults)
    return Services(mesh, meshes, pins, services)


def _read_json(path: str, faults: list[Fault]) -> dict[str, Any]:
    try:
        with open(path, "rb") as opened:
            data = opened.read(MAX_FILE_BYTES + 1)
        found = ujson.loads(data.decode("utf-8")) if len(data) <= MAX_FILE_BYTES else None
        if isinstance(found, dict):
            return found
        faults.append(Fault(path, "", len(data), f"an object, in at most {MAX_FILE_BYTES} bytes"))
    except OSError as error:
        faults.append(Fault(path, "", error.strerror or str(error), "a file that can be read"))
    except (ValueError, RecursionError) as error:
        faults.append(Fault(path, "", str(error) or "too deep", "JSON in UTF-8"))
    return {}


def _read_table(data: Mapping[str, Any], name: str, fault: Any) -> dict[str, Any]:
    found = data.get(name, {})
    if isinstance(found, dict):
        return found
    fault(name, found, f"a table, [{name}]")
    return {}


def _read_list(row: Mapping[str, Any], key: str, kind: type, place: str, fault: Any) -> list[Any]:
    value = row.get(key, [])
    if isinstance(value, list) and all(type(item) is kind for item in value):
        return value
    fault(f"{place}.{key}", value, f"a list of {'whole numbers' if kind is int else 'texts'}")
    return []
