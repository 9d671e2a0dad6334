"""Reads the file of this site's own services, TOML or JSON: all faults at once.

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

from loftweir.catalog.build import Own
from loftweir.catalog.claims import MOST_SAME, Declared
from loftweir.catalog.contract import ONCE, of
from loftweir.catalog.names import BadName, global_name, mesh_name, parts, short_name
from loftweir.config.faults import MISSING, Fault, Faulty
from loftweir.config.operator import MAX_FILE_BYTES, read_table, suggest_key
from loftweir.interface import Endpoint, RequestClass

MOST = 10_000  # services
KEYS = ("mesh", "meshes", "pins", "services")
OF_SERVICE = ("name", "classes", "once", "same", "types", "names", "groups")


class Mine(msgspec.Struct, frozen=True):
    """One of this site's own services. Of `types`, `names` and `groups`, an empty one leaves out no provider."""

    name: str  # global
    classes: frozenset[str] = frozenset()  # in small letters; empty: all of the settings'
    once: frozenset[str] = frozenset()  # in small letters; called once, whatever the settings say
    same: tuple[str, ...] = ()
    types: frozenset[str] = frozenset()
    names: tuple[str, ...] = ()  # prefixes
    groups: frozenset[int] = frozenset()

    def serves(self, one: Endpoint) -> bool:
        return (
            (not self.types or one.kind in self.types)
            and (not self.names or one.address.startswith(self.names))
            and (not self.groups or one.cell in self.groups)
        )

    def own(self, known: Mapping[str, Endpoint], addresses: Mapping[str, str], classes: Iterable[RequestClass]) -> Own:
        # Partners' tables have the names of classes in small letters, so that a contract has.
        contract = {
            name.lower(): ONCE if name.lower() in self.once else one
            for name, one in of(classes).items()
            if not self.classes or name.lower() in self.classes
        }
        endpoints = {name: one for name, one in known.items() if self.serves(one)}
        return Own(endpoints, {name: addresses[name] for name in endpoints}, Declared(contract, self.same))


class Services(NamedTuple):
    mesh: str
    meshes: dict[str, str]  # by site
    pins: dict[str, str]
    services: dict[str, Mine]  # by global name


def load(path: str, site: str) -> Services:
    """`site`: this one's name, and its mesh's where the file names none. Raises `Faulty` with every fault."""
    faults: list[Fault] = []
    data = _json(path, faults) if path.endswith(".json") else read_table(path, faults)

    def fault(place: str, value: Any, expected: str) -> None:
        faults.append(Fault(path, place, value, expected))

    def named(read: Any, value: Any, place: str) -> str:
        try:
            return str(read(value, place))
        except BadName as error:
            fault(place, value, error.args[0] if error.args else str(error))
            return ""

    for key in data:
        if key not in KEYS:
            fault(key, data[key], suggest_key(str(key), KEYS))
    mesh = named(mesh_name, data.get("mesh", site), "mesh")
    meshes: dict[str, str] = {}
    for name, value in _table(data, "meshes", fault).items():
        meshes[name.lower()] = named(mesh_name, value, f"meshes.{name}")
    meshes.setdefault(site, mesh)
    pins: dict[str, str] = {}
    for name, value in _table(data, "pins", fault).items():
        short, pin = named(short_name, name, f"pins.{name}"), named(global_name, value, f"pins.{name}")
        if short and pin and parts(pin)[0] != short:
            fault(f"pins.{name}", value, f"a service of that name, as {short}@{mesh}")
        pins[short] = pin
    services: dict[str, Mine] = {}
    rows = data.get("services", [])
    if not isinstance(rows, list) or len(rows) > MOST:
        fault("services", rows, f"a list of at most {MOST} tables, [[services]]")
        rows = []
    for number, row in enumerate(rows):
        place = f"services.{number}"
        if not isinstance(row, dict):
            fault(place, row, "a table")
            continue
        for key in row:
            if key not in OF_SERVICE:
                fault(f"{place}.{key}", row[key], suggest_key(str(key), OF_SERVICE))
        name = row.get("name", MISSING)
        if isinstance(name, str) and "@" not in name:
            name = f"{name}@{mesh}"
        name = named(global_name, name, f"{place}.name")
        if name in services:
            fault(f"{place}.name", name, "each service once")
        lists = {key: _list(row, key, int if key == "groups" else str, place, fault) for key in OF_SERVICE[1:]}
        if len(lists["same"]) > MOST_SAME:
            fault(f"{place}.same", len(lists["same"]), f"at most {MOST_SAME}")
        same = tuple(named(global_name, one, f"{place}.same") for one in lists["same"])
        services[name] = Mine(
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


def _json(path: str, faults: list[Fault]) -> dict[str, Any]:
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


def _table(data: Mapping[str, Any], name: str, fault: Any) -> dict[str, Any]:
    found = data.get(name, {})
    if isinstance(found, dict):
        return found
    fault(name, found, f"a table, [{name}]")
    return {}


def _list(row: Mapping[str, Any], key: str, kind: type, place: str, fault: Any) -> list[Any]:
    found = row.get(key, [])
    if isinstance(found, list) and all(type(one) is kind for one in found):
        return found
    fault(f"{place}.{key}", found, f"a list of {'whole numbers' if kind is int else 'texts'}")
    return []
