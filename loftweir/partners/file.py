"""Reads the file of this site's neighbours and the routes that it offers them, in TOML or JSON, and reports all faults
at once.

[[neighbours]]
name = "bergen"
addresses = ["10.1.0.5:7400", "10.1.0.6:7400"]
asks_from = ["10.1.0.0/24"]

[[routes]]
service = "orders@shop"
classes = ["status-read"]
share = "100%"
providers = [{name = "gate-1", address = "10.0.0.9:8080", zone = "a", type = "m"}]
terms = {use = {only = ["bergen"]}, show = {only = ["bergen"]}, passes = 0, until = "forever"}
"""

from __future__ import annotations

import datetime
import ipaddress
from collections.abc import Iterator
from contextlib import suppress
from typing import Any, NamedTuple

import msgspec
import ujson

from loftweir.config.faults import MISSING, Fault, Faulty
from loftweir.config.operator import MAX_FILE_BYTES, read_table, suggest_key
from loftweir.config.units import Unit, parse_label, parse_quantity, split_host_port
from loftweir.partners.merge import Role
from loftweir.partners.table import BadTable, Limits, Route, parse_route
from loftweir.partners.terms import FIELDS, parse_terms

SECOND = 1_000_000_000  # ns
MAX_NEIGHBOURS = 200
MAX_ADDRESSES = 16  # of one neighbour
DEFAULT_VALID_FOR = 60 * SECOND
KEYS = {
    "": ("neighbours", "routes"),
    "neighbours": ("name", "addresses", "asks_from", "role", "preference", "shares_keys"),
    "routes": ("service", "providers", "classes", "share", "rate", "valid_for", "terms"),
    "providers": ("name", "address", "zone", "type", "group", "status", "weight", "since_ms"),
    "terms": FIELDS,
}
SITES = '"all", "nobody", {only = [...]} or {but = [...]} with names of sites'
TERMS = {
    "use": SITES,
    "show": SITES,
    "passes": "how many sites may pass it on, from 0 to 255",
    "until": '"forever", or a time with its zone',
}

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class Neighbour(msgspec.Struct, frozen=True):
    """A site that this site exchanges routes with. Names are in lower case."""

    name: str
    addresses: tuple[str, ...] = ()  # where this site requests its routes; empty: it only requests ours
    # Networks that its requests have to come from; empty: any address that reaches `listen`.
    asks_from: tuple[Network, ...] = ()
    role: Role = Role.NONE
    preference: int = 0
    shares_keys: bool = False  # its providers and ours drop duplicates of requests that the other has run


class PartnersConfig(NamedTuple):
    """The contents of the partners' file."""

    neighbours: dict[str, Neighbour]
    routes: dict[str, Route]  # this site's own, by service


def load(path: str, site: str, limits: Limits) -> PartnersConfig:
    """Raises `Faulty` with every fault: its place, such as routes.0.terms.show, the value, and what was expected."""
    faults: list[Fault] = []
    data = _read_json(path, faults) if path.endswith(".json") else read_table(path, faults)

    def fault(place: str, value: Any, expected: str) -> None:
        faults.append(Fault(path, place, value, expected))

    _check_keys(data, "", "", fault)
    neighbours: dict[str, Neighbour] = {}
    rows = list(_tables(data, "neighbours", fault))
    for place, row in rows[:MAX_NEIGHBOURS]:
        neighbour = _parse_neighbour(place, row, site, fault)
        if neighbour is not None and neighbour.name in neighbours:
            fault(f"{place}.name", neighbour.name, "each neighbour once")
        elif neighbour is not None:
            neighbours[neighbour.name] = neighbour
    if len(rows) > MAX_NEIGHBOURS:
        fault("neighbours", len(rows), f"at most {MAX_NEIGHBOURS}")
    routes: dict[str, Route] = {}
    for place, row in _tables(data, "routes", fault):
        route = _parse_route(place, row, site, limits, fault)
        if route is not None and route.service in routes:
            fault(f"{place}.service", route.service, "each service once")
        elif route is not None:
            routes[route.service] = route
    if len(routes) > limits.routes:
        fault("routes", len(routes), f"at most {limits.routes}, by `partners.routes`")
    if faults:
        raise Faulty(faults)
    return PartnersConfig(neighbours, routes)


def _read_json(path: str, faults: list[Fault]) -> Any:
    try:
        with open(path, "rb") as opened:
            data = opened.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"it has more than {MAX_FILE_BYTES} bytes")
        return ujson.loads(data.decode("utf-8"))
    except OSError as error:
        faults.append(Fault(path, "", error.strerror or str(error), "a file that can be read"))
    except (ValueError, RecursionError) as error:
        faults.append(Fault(path, "", str(error) or "too deep", "JSON in UTF-8"))
    return {}


def _check_keys(value: Any, kind: str, place: str, fault: Any) -> bool:
    """Whether the value is a table. Reports its unknown keys as faults."""
    if not isinstance(value, dict):
        fault(place, value, "a table")
        return False
    for name in value:
        if name not in KEYS[kind]:
            fault(f"{place}.{name}".lstrip("."), value[name], suggest_key(str(name), KEYS[kind]))
    return True


def _tables(data: Any, name: str, fault: Any) -> Iterator[tuple[str, Any]]:
    rows = data.get(name, []) if isinstance(data, dict) else []
    if not isinstance(rows, list):
        fault(name, rows, f"a list of tables, [[{name}]]")
        return
    for number, row in enumerate(rows):
        if _check_keys(row, name, f"{name}.{number}", fault):
            yield f"{name}.{number}", row


def _parse_neighbour(place: str, row: dict[str, Any], site: str, fault: Any) -> Neighbour | None:
    faults = 0

    def field(key: str, is_valid: Any, expected: str, default: Any = MISSING) -> Any:
        nonlocal faults
        value = row.get(key, default)
        if value is not default and not is_valid(value) or value == MISSING:
            fault(f"{place}.{key}", value, expected)
            faults += 1
        return value

    name = field("name", _is_label, "a label of RFC 1123, such as bergen")
    addresses = field("addresses", _is_address_list, f"a list of at most {MAX_ADDRESSES} host:port", ())
    networks = f"a list of at most {MAX_ADDRESSES} networks, such as 10.1.0.0/24"
    asks_from = field("asks_from", _is_network_list, networks, ())
    roles = [role.value for role in Role]
    role = field("role", lambda value: value in roles, f"one of {', '.join(roles)}", Role.NONE.value)
    whole_number = f"a whole number from {-(1 << 31)} to {1 << 31}"
    preference = field("preference", lambda v: type(v) is int and abs(v) <= 1 << 31, whole_number, 0)
    shares_keys = field("shares_keys", lambda value: isinstance(value, bool), "true or false", False)
    if not faults and name.lower() == site:
        fault(f"{place}.name", name, "a site other than this one")
        faults += 1
    if faults:
        return None
    client_networks = tuple(map(ipaddress.ip_network, asks_from))
    return Neighbour(name.lower(), tuple(addresses), client_networks, Role(role), preference, shares_keys)


def _is_label(value: Any) -> bool:
    try:
        return isinstance(value, str) and bool(parse_label(value))
    except ValueError:
        return False


def _is_address_list(value: Any) -> bool:
    if not isinstance(value, list) or len(value) > MAX_ADDRESSES or not all(isinstance(item, str) for item in value):
        return False
    try:
        return all(split_host_port(address)[1] > 0 for address in value)
    except ValueError:
        return False


def _is_network_list(value: Any) -> bool:
    if not isinstance(value, list) or len(value) > MAX_ADDRESSES or not all(isinstance(item, str) for item in value):
        return False
    try:
        return bool(list(map(ipaddress.ip_network, value)))
    except ValueError:
        return False


def _parse_route(place: str, row: dict[str, Any], site: str, limits: Limits, fault: Any) -> Route | None:
    """A route of this site, parsed like a route received from a partner."""
    faulty = False

    def report(at: str, value: Any, expected: str) -> None:
        nonlocal faulty
        faulty = True
        fault(f"{place}.{at}", value, expected)

    for number, provider in enumerate(row.get("providers", ()) if isinstance(row.get("providers"), list) else ()):
        _check_keys(provider, "providers", f"providers.{number}", report)
    row_with_defaults = {**row, "path": [site], "valid_for": DEFAULT_VALID_FOR}
    try:
        if "valid_for" in row:
            row_with_defaults["valid_for"] = parse_quantity(Unit.DURATION, row["valid_for"])
    except ValueError as error:
        report("valid_for", row["valid_for"], str(error))
    try:
        if isinstance(row.get("share"), str):
            row_with_defaults["share"] = parse_quantity(Unit.SHARE, row["share"])
    except ValueError as error:
        report("share", row["share"], str(error))
    row_with_defaults["terms"] = _check_terms(row.get("terms", MISSING), report)
    if faulty:
        return None
    try:
        return parse_route(row_with_defaults, site, limits)
    except BadTable as error:
        for route_fault in error.faults:
            report(route_fault.place, _at(row_with_defaults, route_fault.place), route_fault.expected)
        return None


def _check_terms(value: Any, report: Any) -> Any:
    if value == MISSING or not _check_keys(value, "terms", "terms", report):
        if value == MISSING:
            report("terms", value, f"a table of {', '.join(FIELDS)}")
        return None
    until = value.get("until")
    if isinstance(until, str) and until != "forever":
        with suppress(ValueError):
            until = datetime.datetime.fromisoformat(until)
    if isinstance(until, datetime.datetime) and until.tzinfo is not None:
        value = {**value, "until": int(until.timestamp()) * SECOND}
    for name in FIELDS:
        if name in parse_terms(value).unknown:
            report(f"terms.{name}", value.get(name, MISSING), TERMS[name])
    return value


def _at(value: Any, place: str) -> Any:
    """The value at a place such as providers.0.name; MISSING if there is none."""
    for name in place.split(".") if place else ():
        try:
            value = value[int(name)] if isinstance(value, list) else value[name]
        except (KeyError, IndexError, ValueError, TypeError):
            return MISSING
    return value
