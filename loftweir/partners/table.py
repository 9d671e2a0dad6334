"""A partner's table of routes: its JSON form, read and written; what holds after an answer. No I/O, no clock.

    {"site": "bergen", "epoch": 7, "index": 12, "snapshot": true, "to": "...", "sum": "0a1b...", "routes": [...]}
    {"site": "bergen", "epoch": 7, "index": 13, "snapshot": false, "after": 12, ..., "routes": [], "withdrawn": [...]}

`epoch` grows with each start of whoever offers the table and lost its index; `index` with each change. `to` is the
asker's own mark of this one question: an answer to another is none. `sum` is of all the routes as they stand after the
answer, over the bytes of each: it tells an answer cut short, and changes laid over another table than they follow.

Invariant: what is held is the last table that was good as a whole. One with a fault anywhere is refused whole, with the
place of the fault in each route, and so is one over a limit (RFC 4486, section 4: the maximum of prefixes ends the
session; here the last good table stays until its hold time is over).
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from hashlib import blake2b
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import Meta

from loftweir.config.units import LABEL, NAME, split_host_port
from loftweir.errors import LoftweirError
from loftweir.partners.terms import Terms, plain, read_terms

SHOWN = 20  # faults that an error repeats
LONGEST = 253  # characters of a name, RFC 1035, section 2.3.4
MASK = (1 << 64) - 1

Label = Annotated[str, Meta(pattern=rf"\A{LABEL}\Z")]
Name = Annotated[str, Meta(pattern=rf"\A{NAME}\Z", max_length=LONGEST)]
Service = Annotated[str, Meta(pattern=rf"\A{NAME}@{NAME}\Z", max_length=LONGEST)]
Number = Annotated[int, Meta(ge=0, le=MASK >> 1)]
Above = Annotated[float, Meta(gt=0, le=1e12)]


class Limits(NamedTuple):
    """Of one partner's table."""

    bytes: int = 8 * 1024 * 1024
    routes: int = 2000
    path: int = 8
    providers: int = 64
    names: int = 64  # classes of a route


LIMITS = Limits()


class Fault(NamedTuple):
    place: str  # as routes.3.providers.0.name; empty: the table as a whole
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: {self.expected}" if self.place else self.expected


class BadTable(LoftweirError, ValueError):
    """A partner's table is refused whole, and the last good one stays: each of the `faults` has its place and what was
    expected there."""

    remedy = (
        "Tell the partner's operators the places that are named. Its routes are used from the last good table until "
        "the hold time is over; other partners are not touched."
    )

    def __init__(self, partner: str, faults: list[Fault]) -> None:
        more = f"; {len(faults) - SHOWN} more" if len(faults) > SHOWN else ""
        super().__init__("; ".join(map(str, faults[:SHOWN])) + more, f"partner {partner}")
        self.partner, self.faults = partner, faults


class OldTable(BadTable):
    """A partner's table is refused since it is older than the one held, follows another one, or answers another
    question: it was sent before, or passed by something that keeps answers."""

    remedy = (
        "If it goes on, see that nothing between the two sites keeps answers, and that the partner's epoch grows with "
        "each start; a lower one is taken once the partner's routes are gone."
    )


class Provider(msgspec.Struct, frozen=True, gc=False, rename={"kind": "type", "cell": "group"}):
    """A border provider, in the words of discovery's list."""

    name: Name
    address: Annotated[str, Meta(max_length=LONGEST + 6)]
    zone: Label
    kind: Label
    cell: Number = 0
    status: Literal["active", "leaving"] = "active"
    weight: Above = 1.0
    since_ms: Number = 0


class Route(msgspec.Struct, frozen=True, gc=False):
    """Names are in small letters. Equal routes say the same."""

    service: str
    path: tuple[str, ...]  # sites: the one that told it first, the one whose own it is last
    providers: tuple[Provider, ...]
    classes: tuple[str, ...]
    share: float | None  # the part of the service's work that may be sent; None: not said
    rate: float | None  # invocations a second that may be sent; None: not said
    valid_for: int  # ns since the partner last answered
    terms: Terms
    marked: str = ""  # the site that marked it as only for sites downstream (RFC 9234, section 5)


class Table(msgspec.Struct, frozen=True):
    """What a partner offers as of an index. Never changed in place; unchanged routes stay the same objects."""

    site: str
    epoch: int
    index: int
    routes: dict[str, Route] = {}
    sums: dict[str, int] = {}  # by service, of the bytes as they came
    sum: int = 0

    @property
    def mark(self) -> tuple[int, int]:
        return self.epoch, self.index

    @property
    def etag(self) -> str:
        return f"{self.epoch}.{self.index}.{self.sum:016x}"


class _Route(msgspec.Struct):
    """The JSON form; fields that are not known are passed over: only terms can restrict, and they are read apart."""

    service: Service
    path: Annotated[tuple[Label, ...], Meta(min_length=1)]
    providers: msgspec.Raw
    classes: Annotated[tuple[Label, ...], Meta(min_length=1)]
    valid_for: Annotated[int, Meta(ge=1, le=86_400_000_000_000)]
    terms: msgspec.Raw = msgspec.Raw(b"null")
    share: Annotated[float, Meta(gt=0, le=1)] | None = None
    rate: Above | None = None
    marked: Label | Literal[""] = ""


class _Answer(msgspec.Struct):
    site: Label
    epoch: Number
    index: Number
    snapshot: bool
    sum: Annotated[str, Meta(pattern=r"\A[0-9a-f]{16}\Z")]
    to: Annotated[str, Meta(max_length=128)] = ""
    after: Number | None = None
    routes: list[msgspec.Raw] = []
    withdrawn: list[Service] = []


class Told(msgspec.Struct, frozen=True):
    """An answer that is well formed."""

    site: str
    epoch: int
    index: int
    after: int | None  # None: the whole table
    to: str
    sum: int
    routes: dict[str, Route]
    sums: dict[str, int]
    withdrawn: tuple[str, ...]


_ANSWER, _ROUTE = msgspec.json.Decoder(_Answer), msgspec.json.Decoder(_Route)
_PROVIDERS = msgspec.json.Decoder(tuple[Provider, ...])
_AT = re.compile(r"(.*) - at `\$(.*)`", re.DOTALL)


def summed(raw: bytes | memoryview) -> int:
    return int.from_bytes(blake2b(raw, digest_size=8).digest(), "big")


def read(data: bytes, partner: str, limits: Limits = LIMITS) -> Told:
    """An answer of this partner in its JSON form; `BadTable` names every route's first fault and its place."""
    if len(data) > limits.bytes:
        raise BadTable(partner, [Fault("", f"at most {limits.bytes} bytes, not {len(data)}")])
    try:
        answer = _ANSWER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise BadTable(partner, [_fault("", error)]) from None
    faults: list[Fault] = []
    if answer.site.lower() != partner:
        faults.append(Fault("site", f"{partner}, whose table was asked for"))
    if answer.snapshot is not (answer.after is None):
        faults.append(Fault("after", "there where snapshot is false, and only there"))
    if answer.snapshot and answer.withdrawn:
        faults.append(Fault("withdrawn", "only where snapshot is false"))
    for name in ("routes", "withdrawn"):
        if len(getattr(answer, name)) > limits.routes:
            faults.append(Fault(name, f"at most {limits.routes}"))
    if faults:
        raise BadTable(partner, faults)
    routes: dict[str, Route] = {}
    sums: dict[str, int] = {}
    withdrawn = tuple(name.lower() for name in answer.withdrawn)
    known: dict[bytes, Any] = {}  # most routes of a partner have one border and few kinds of terms: read once
    for number, raw in enumerate(answer.routes):
        try:
            route = _route(_ROUTE.decode(raw), partner, limits, known)
            if route.service in routes or route.service in withdrawn:
                raise ValueError("one word on each service - at `$.service`")
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            faults.append(_fault(f"routes.{number}", error))
            continue
        routes[route.service] = route
        sums[route.service] = summed(raw)
    if faults:
        raise BadTable(partner, faults)
    return Told(
        partner, answer.epoch, answer.index, answer.after, answer.to, int(answer.sum, 16), routes, sums, withdrawn
    )


def _fault(place: str, error: Exception) -> Fault:
    found = _AT.fullmatch(str(error))
    if found is None:
        return Fault(place, str(error) or "JSON that is not so deep")
    at = re.sub(r"\[(\d+|\.\.\.)\]", r".\1", found[2]).lstrip(".")
    return Fault(".".join(filter(None, (place, at))), found[1])


def one_route(row: Any, site: str, limits: Limits = LIMITS) -> Route:
    """A route of this site in its JSON form, as an operator's file has it. `BadTable` has its first fault, with the
    place in the route."""
    try:
        return _route(_ROUTE.decode(msgspec.json.encode(row)), site, limits, {})
    except (msgspec.MsgspecError, ValueError, RecursionError, TypeError) as error:
        raise BadTable(site, [_fault("", error)]) from None


def _route(found: _Route, partner: str, limits: Limits, known: dict[bytes, Any]) -> Route:
    """The kept form; a ValueError says what is wrong and where, in msgspec's way."""
    path = tuple(map(str.lower, found.path))
    if path[0] != partner:  # RFC 4271, section 6.3; RFC 7454, section 9
        raise ValueError(f"{partner} as its first - at `$.path`")
    if len(set(path)) < len(path) or len(path) > limits.path:
        raise ValueError(f"at most {limits.path} sites, each once - at `$.path`")
    if len(found.classes) > limits.names:
        raise ValueError(f"at most {limits.names} - at `$.classes`")
    if found.share is None and found.rate is None:
        raise ValueError("share, rate or both - at `$.share`")
    written, terms = bytes(found.providers), bytes(found.terms)
    if written not in known:
        known[written] = _providers(written, limits)
    if terms not in known:
        known[terms] = read_terms(msgspec.json.decode(terms))
    return Route(
        found.service.lower(),
        path,
        known[written],
        tuple(map(str.lower, found.classes)),
        found.share,
        found.rate,
        found.valid_for,
        known[terms],
        found.marked.lower(),
    )


def _providers(raw: bytes, limits: Limits) -> tuple[Provider, ...]:
    try:
        providers = _PROVIDERS.decode(raw)
    except msgspec.MsgspecError as error:
        what, _, at = str(error).partition(" - at `$")
        raise ValueError(f"{what} - at `$.providers{at or '`'}") from None
    if len(providers) > limits.providers:
        raise ValueError(f"at most {limits.providers} - at `$.providers`")
    found: dict[str, Provider] = {}
    for number, provider in enumerate(providers):
        name = provider.name.lower()
        if name in found:
            raise ValueError(f"each name once - at `$.providers[{number}].name`")
        found[name] = msgspec.structs.replace(provider, name=name)
        try:
            split_host_port(provider.address)
        except ValueError:
            raise ValueError(f"an address as host:port - at `$.providers[{number}].address`") from None
    return tuple(found.values())


def taken(held: Table | None, told: Told, limits: Limits = LIMITS) -> Table:
    """The table that holds after an answer. `OldTable`: it was said before, or follows another than the one held;
    `BadTable`: its sum or its size is not as it must be. Either way `held` goes on to hold."""
    fits(held, told)
    if told.after is None or held is None:
        routes, sums = told.routes, told.sums
    else:
        if not told.routes and not told.withdrawn and told.index == held.index:
            routes, sums = held.routes, held.sums
        else:
            routes, sums = {**held.routes, **told.routes}, {**held.sums, **told.sums}
            for service in told.withdrawn:
                routes.pop(service, None)
                sums.pop(service, None)
        if len(routes) > limits.routes:
            raise BadTable(told.site, [Fault("routes", f"at most {limits.routes}, with those held")])
    total = sum(sums.values()) & MASK
    if total != told.sum:
        raise BadTable(told.site, [Fault("sum", f"{total:016x}, of the routes as they came")])
    if held is not None and routes is held.routes:
        return held
    return Table(told.site, told.epoch, told.index, routes, sums, total)


def fits(held: Table | None, told: Told) -> None:
    """`OldTable` unless the answer goes on from what is held, or stands by itself and is later."""
    why = ""
    if told.after is not None:
        if held is None or (told.epoch, told.after) != held.mark:
            why = "a whole table, or changes after the one held"
        elif told.index < told.after or (told.index == told.after and (told.routes or told.withdrawn)):
            why = f"an index after {told.after}"
    elif held is not None and (told.epoch, told.index) <= held.mark:
        why = f"later than {held.epoch}.{held.index}, not {told.epoch}.{told.index}"
    if why:
        raise OldTable(told.site, [Fault("index", why)])


def later(one: Table | None, other: Table | None) -> Table | None:
    """Of two tables of one partner the one that holds. Commutative, associative, idempotent: of two with one mark,
    which only a partner that does not keep to the rules makes, the sum decides."""
    if one is None or other is None:
        return one or other
    return max(one, other, key=lambda table: (table.epoch, table.index, table.sum, kept(table)))


def kept(table: Table) -> bytes:
    """For the copies, as msgpack."""
    return msgspec.msgpack.encode(table, order="deterministic")


def restored(data: bytes) -> Table:
    """Raises `msgspec.MsgspecError` if it is none of `kept`."""
    return msgspec.msgpack.decode(data, type=Table)


def written(route: Route) -> bytes:
    """A route's JSON form."""
    value: dict[str, Any] = {name: getattr(route, name) for name in route.__struct_fields__}
    value["terms"] = plain(route.terms)
    return msgspec.json.encode({name: part for name, part in value.items() if part not in (None, "")})


class Offer:
    """The table that this site offers to one neighbour, from which it answers.

    Invariant: of each service that changed after `floor`, `changed` has the index; what is older is told whole.
    """

    REMEMBERED = 4096  # withdrawn services, so that changes can be told

    def __init__(self, site: str, epoch: int, limits: Limits = LIMITS) -> None:
        """`epoch`: above all before of this site, as a counter in the copies or, with none, the time of the start."""
        self.site, self.epoch, self.index, self.limits = site, epoch, 0, limits
        self.routes: dict[str, Route] = {}
        self.raw: dict[str, bytes] = {}
        self.sum = 0
        self.changed: dict[str, int] = {}  # those that were withdrawn too
        self.floor = 0

    def put(self, routes: Mapping[str, Route], index: int | None = None) -> bool:
        """What is offered from now on; whether that changed anything. What is over the limit is left out: whoever reads
        it would refuse all of it. `index`: of this table, above the one before, where something else counts them."""
        routes = capped(routes, self.limits)
        names = [name for name, route in routes.items() if self.routes.get(name) is not route]
        names += [name for name in self.routes if name not in routes]
        new = {name: written(routes[name]) if name in routes else b"" for name in names}
        new = {name: raw for name, raw in new.items() if self.raw.get(name, b"") != raw}
        self.routes = dict(routes)
        if index is not None:
            self.index = index
        if not new:
            return False
        if index is None:
            self.index += 1
        for name, raw in new.items():
            before = self.raw.pop(name, b"")
            self.sum = (self.sum - (summed(before) if before else 0) + (summed(raw) if raw else 0)) & MASK
            if raw:
                self.raw[name] = raw
            self.changed[name] = self.index
        if len(self.changed) > len(self.raw) + self.REMEMBERED:
            self.floor = self.index
            self.changed = dict.fromkeys(self.raw, self.index)
        return True

    def news(self, after: tuple[int, int] | None) -> bool:
        """Whether whoever holds this mark (epoch, index) has something to be told at once."""
        return after != (self.epoch, self.index)

    def answer(self, after: tuple[int, int] | None, to: str = "") -> bytes:
        """The changes after a mark; the whole table where these are not known."""
        head = {"site": self.site, "epoch": self.epoch, "index": self.index, "sum": f"{self.sum:016x}", "to": to}
        known = after is not None and after[0] == self.epoch and self.floor <= after[1] <= self.index
        names = [name for name, index in self.changed.items() if known and after is not None and index > after[1]]
        if after is None or not known or len(names) > self.limits.routes:
            rows = list(self.raw.values())
            return msgspec.json.encode({**head, "snapshot": True, "routes": list(map(msgspec.Raw, rows))})
        rows = [self.raw[name] for name in names if name in self.raw]
        out = [name for name in names if name not in self.raw]
        changes = {"snapshot": False, "after": after[1], "routes": list(map(msgspec.Raw, rows)), "withdrawn": out}
        return msgspec.json.encode({**head, **changes})


def capped(routes: Mapping[str, Route], limits: Limits) -> Mapping[str, Route]:
    """At most as many as a reader takes: the shorter paths, this site's own first, then by name."""
    if len(routes) <= limits.routes:
        return routes
    first = sorted(routes, key=lambda name: (len(routes[name].path), name))[: limits.routes]
    return {name: routes[name] for name in first}
