"""Reads the file of this site's neighbours and of the routes that it offers them, TOML or JSON: all faults at once.

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
from loftweir.partners.table import BadTable, Limits, Route, one_route
from loftweir.partners.terms import FIELDS, read_terms

SECOND, HOUR = 1_000_000_000, 3_600_000_000_000
MOST = 200  # neighbours
ADDRESSES = 16  # of one
VALID_FOR = 60 * SECOND
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
    name: str
    addresses: tuple[str, ...] = ()  # none: it asks here, and is not asked
    asks_from: tuple[Network, ...] = ()  # whoever asks in its name has such an address; none: whoever reaches `listen`
    role: Role = Role.NONE
    preference: int = 0
    shares_keys: bool = False  # its providers and ours drop the repeats of what either has run


class Sites(NamedTuple):
    neighbours: dict[str, Neighbour]
    routes: dict[str, Route]  # this site's own, by service


def load(path: str, site: str, limits: Limits) -> Sites:
    """Raises `Faulty` with every fault: its place, as routes.0.terms.show, the value, and what was expected."""
    faults: list[Fault] = []
    data = _json(path, faults) if path.endswith(".json") else read_table(path, faults)

    def fault(place: str, value: Any, expected: str) -> None:
        faults.append(Fault(path, place, value, expected))

    _keys(data, "", "", fault)
    neighbours: dict[str, Neighbour] = {}
    rows = list(_rows(data, "neighbours", fault))
    for place, row in rows[:MOST]:
        found = _neighbour(place, row, site, fault)
        if found is not None and found.name in neighbours:
            fault(f"{place}.name", found.name, "each neighbour once")
        elif found is not None:
            neighbours[found.name] = found
    if len(rows) > MOST:
        fault("neighbours", len(rows), f"at most {MOST}")
    routes: dict[str, Route] = {}
    for place, row in _rows(data, "routes", fault):
        route = _route(place, row, site, limits, fault)
        if route is not None and route.service in routes:
            fault(f"{place}.service", route.service, "each service once")
        elif route is not None:
            routes[route.service] = route
    if len(routes) > limits.routes:
        fault("routes", len(routes), f"at most {limits.routes}, as `partners.routes` says")
    if faults:
        raise Faulty(faults)
    return Sites(neighbours, routes)


def _json(path: str, faults: list[Fault]) -> Any:
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


def _keys(value: Any, kind: str, place: str, fault: Any) -> bool:
    """Whether it is a table; of its keys, those that are none are faults."""
    if not isinstance(value, dict):
        fault(place, value, "a table")
        return False
    for name in value:
        if name not in KEYS[kind]:
            fault(f"{place}.{name}".lstrip("."), value[name], suggest_key(str(name), KEYS[kind]))
    return True


def _rows(data: Any, name: str, fault: Any) -> Iterator[tuple[str, Any]]:
    rows = data.get(name, []) if isinstance(data, dict) else []
    if not isinstance(rows, list):
        fault(name, rows, f"a list of tables, [[{name}]]")
        return
    for number, row in enumerate(rows):
        if _keys(row, name, f"{name}.{number}", fault):
            yield f"{name}.{number}", row


def _neighbour(place: str, row: dict[str, Any], site: str, fault: Any) -> Neighbour | None:
    faults = 0

    def take(key: str, fits: Any, expected: str, default: Any = MISSING) -> Any:
        nonlocal faults
        value = row.get(key, default)
        if value is not default and not fits(value) or value == MISSING:
            fault(f"{place}.{key}", value, expected)
            faults += 1
        return value

    name = take("name", _label, "a label of RFC 1123, as bergen")
    addresses = take("addresses", _addresses, f"a list of at most {ADDRESSES} host:port", ())
    networks = f"a list of at most {ADDRESSES} networks, as 10.1.0.0/24"
    asks_from = take("asks_from", _networks, networks, ())
    roles = [role.value for role in Role]
    role = take("role", lambda value: value in roles, f"one of {', '.join(roles)}", Role.NONE.value)
    whole = f"a whole number from {-(1 << 31)} to {1 << 31}"
    preference = take("preference", lambda v: type(v) is int and abs(v) <= 1 << 31, whole, 0)
    shares = take("shares_keys", lambda value: isinstance(value, bool), "true or false", False)
    if not faults and name.lower() == site:
        fault(f"{place}.name", name, "another site than this one")
        faults += 1
    if faults:
        return None
    found = tuple(map(ipaddress.ip_network, asks_from))
    return Neighbour(name.lower(), tuple(addresses), found, Role(role), preference, shares)


def _label(value: Any) -> bool:
    try:
        return isinstance(value, str) and bool(parse_label(value))
    except ValueError:
        return False


def _addresses(value: Any) -> bool:
    if not isinstance(value, list) or len(value) > ADDRESSES or not all(isinstance(one, str) for one in value):
        return False
    try:
        return all(split_host_port(one)[1] > 0 for one in value)
    except ValueError:
        return False


def _networks(value: Any) -> bool:
    if not isinstance(value, list) or len(value) > ADDRESSES or not all(isinstance(one, str) for one in value):
        return False
    try:
        return bool(list(map(ipaddress.ip_network, value)))
    except ValueError:
        return False


def _route(place: str, row: dict[str, Any], site: str, limits: Limits, fault: Any) -> Route | None:
    """A route of this site's own: read in the partners' own form, by the reader that the neighbours have."""
    before: list[None] = []

    def wrong(at: str, value: Any, expected: str) -> None:
        before.append(None)
        fault(f"{place}.{at}", value, expected)

    for number, provider in enumerate(row.get("providers", ()) if isinstance(row.get("providers"), list) else ()):
        _keys(provider, "providers", f"providers.{number}", wrong)
    made = {**row, "path": [site], "valid_for": VALID_FOR}
    try:
        if "valid_for" in row:
            made["valid_for"] = parse_quantity(Unit.DURATION, row["valid_for"])
    except ValueError as error:
        wrong("valid_for", row["valid_for"], str(error))
    try:
        if isinstance(row.get("share"), str):
            made["share"] = parse_quantity(Unit.SHARE, row["share"])
    except ValueError as error:
        wrong("share", row["share"], str(error))
    made["terms"] = _terms(row.get("terms", MISSING), wrong)
    if before:
        return None
    try:
        return one_route(made, site, limits)
    except BadTable as error:
        for found in error.faults:
            wrong(found.place, _at(made, found.place), found.expected)
        return None


def _terms(value: Any, wrong: Any) -> Any:
    if value == MISSING or not _keys(value, "terms", "terms", wrong):
        if value == MISSING:
            wrong("terms", value, f"a table of {', '.join(FIELDS)}")
        return None
    until = value.get("until")
    if isinstance(until, str) and until != "forever":
        with suppress(ValueError):
            until = datetime.datetime.fromisoformat(until)
    if isinstance(until, datetime.datetime) and until.tzinfo is not None:
        value = {**value, "until": int(until.timestamp()) * SECOND}
    for name in FIELDS:
        if name in read_terms(value).unknown:
            wrong(f"terms.{name}", value.get(name, MISSING), TERMS[name])
    return value


def _at(value: Any, place: str) -> Any:
    for name in place.split(".") if place else ():
        try:
            value = value[int(name)] if isinstance(value, list) else value[name]
        except (KeyError, IndexError, ValueError, TypeError):
            return MISSING
    return value
