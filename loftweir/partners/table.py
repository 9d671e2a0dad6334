"""A partner's route table: how its JSON form is read and written, and which table results from a response.

No I/O and no clock.

    {"site": "bergen", "epoch": 7, "index": 12, "snapshot": true, "to": "...", "sum": "0a1b...", "routes": [...]}
    {"site": "bergen", "epoch": 7, "index": 13, "snapshot": false, "after": 12, ..., "routes": [], "withdrawn": [...]}

`epoch` grows whenever the offering site starts without its former index; `index` grows with each change. `to` repeats
the nonce of the request: a response with another nonce is not the response to this request. `sum` is a checksum over
the bytes of all routes as they stand after the response. It detects a truncated response, and changes that were applied
to another table than the one they follow.

Invariant: the stored table is the last one that was valid as a whole. A table with a fault in any route is rejected as
a whole, and the error gives the place of the first fault in each route. The same holds for a table over a limit (RFC
4486, section 4: exceeding the maximum number of prefixes ends the session; here the last valid table stays until its
hold time has expired).
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
from loftweir.partners.terms import Terms, parse_terms, terms_to_json

MAX_LISTED_FAULTS = 20  # faults that an error message lists
MAX_NAME_LENGTH = 253  # characters, RFC 1035, section 2.3.4
CHECKSUM_MASK = (1 << 64) - 1

Label = Annotated[str, Meta(pattern=rf"\A{LABEL}\Z")]
Name = Annotated[str, Meta(pattern=rf"\A{NAME}\Z", max_length=MAX_NAME_LENGTH)]
Service = Annotated[str, Meta(pattern=rf"\A{NAME}@{NAME}\Z", max_length=MAX_NAME_LENGTH)]
NonNegativeInt = Annotated[int, Meta(ge=0, le=CHECKSUM_MASK >> 1)]
PositiveFloat = Annotated[float, Meta(gt=0, le=1e12)]


class Limits(NamedTuple):
    """The limits of one partner's table."""

    bytes: int = 8 * 1024 * 1024  # of one response
    routes: int = 2000
    path: int = 8  # sites
    providers: int = 64  # of one route
    classes: int = 64  # of one route


DEFAULT_LIMITS = Limits()


class Fault(NamedTuple):
    """One fault of a table and what was expected in its place."""

    place: str  # such as routes.3.providers.0.name; empty: the table as a whole
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: {self.expected}" if self.place else self.expected


class BadTable(LoftweirError, ValueError):
    """A partner's table is rejected as a whole, and the last valid one stays in use. Each of the `faults` gives its
    place and what was expected there."""

    remedy = (
        "Report the named places to the partner's operators. Its routes are used from the last valid table until the "
        "hold time has expired; other partners are not affected."
    )

    def __init__(self, partner: str, faults: list[Fault]) -> None:
        more = f"; {len(faults) - MAX_LISTED_FAULTS} more" if len(faults) > MAX_LISTED_FAULTS else ""
        super().__init__("; ".join(map(str, faults[:MAX_LISTED_FAULTS])) + more, f"partner {partner}")
        self.partner, self.faults = partner, faults


class OldTable(BadTable):
    """A partner's table is rejected because it is older than the stored one, follows another one, or answers another
    request: it is a repeat of an earlier response, or something between the sites caches responses."""

    remedy = (
        "If this continues, check that nothing between the two sites caches responses, and that the partner's epoch "
        "grows with each start; a lower one is accepted once the partner's routes are gone."
    )


class Provider(msgspec.Struct, frozen=True, gc=False, rename={"kind": "type", "cell": "group"}):
    """A border provider of the partner, with the fields of discovery's list."""

    name: Name
    address: Annotated[str, Meta(max_length=MAX_NAME_LENGTH + 6)]
    zone: Label
    kind: Label
    cell: NonNegativeInt = 0
    status: Literal["active", "leaving"] = "active"
    weight: PositiveFloat = 1.0
    since_ms: NonNegativeInt = 0


class Route(msgspec.Struct, frozen=True, gc=False):
    """A route to one service. All names are in lower case; equal routes have equal fields."""

    service: str
    path: tuple[str, ...]  # sites that the route passed: the sender first, the route's own site last
    providers: tuple[Provider, ...]
    classes: tuple[str, ...]
    share: float | None  # fraction of the service's requests that may be sent; None: not stated
    rate: float | None  # invocations per second that may be sent; None: not stated
    valid_for: int  # ns since the partner's last response
    terms: Terms
    marked: str = ""  # the site that marked it as meant for downstream sites only (RFC 9234, section 5)


class Table(msgspec.Struct, frozen=True):
    """The routes that a partner offers as of an index. A table is never modified; unchanged routes stay the same
    objects in the next one."""

    site: str
    epoch: int
    index: int
    routes: dict[str, Route] = {}
    sums: dict[str, int] = {}  # checksum of each route's bytes as received, by service
    sum: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Epoch and index, by which tables of one partner are ordered."""
        return self.epoch, self.index

    @property
    def etag(self) -> str:
        """A text that differs between tables of different content."""
        return f"{self.epoch}.{self.index}.{self.sum:016x}"


class _RouteForm(msgspec.Struct):
    """The JSON form of a route. Unknown fields are ignored: only terms can restrict a route, and they are parsed
    separately."""

    service: Service
    path: Annotated[tuple[Label, ...], Meta(min_length=1)]
    providers: msgspec.Raw
    classes: Annotated[tuple[Label, ...], Meta(min_length=1)]
    valid_for: Annotated[int, Meta(ge=1, le=86_400_000_000_000)]
    terms: msgspec.Raw = msgspec.Raw(b"null")
    share: Annotated[float, Meta(gt=0, le=1)] | None = None
    rate: PositiveFloat | None = None
    marked: Label | Literal[""] = ""


class _ResponseForm(msgspec.Struct):
    site: Label
    epoch: NonNegativeInt
    index: NonNegativeInt
    snapshot: bool
    sum: Annotated[str, Meta(pattern=r"\A[0-9a-f]{16}\Z")]
    to: Annotated[str, Meta(max_length=128)] = ""
    after: NonNegativeInt | None = None
    routes: list[msgspec.Raw] = []
    withdrawn: list[Service] = []


class TableResponse(msgspec.Struct, frozen=True):
    """A well-formed response of a partner."""

    site: str
    epoch: int
    index: int
    after: int | None  # the index that the changes follow; None: the response has the whole table
    to: str
    sum: int
    routes: dict[str, Route]
    sums: dict[str, int]
    withdrawn: tuple[str, ...]


_RESPONSE_DECODER = msgspec.json.Decoder(_ResponseForm)
_ROUTE_DECODER = msgspec.json.Decoder(_RouteForm)
_PROVIDERS_DECODER = msgspec.json.Decoder(tuple[Provider, ...])
_FAULT_PLACE = re.compile(r"(.*) - at `\$(.*)`", re.DOTALL)


def checksum(encoded: bytes | memoryview) -> int:
    """The 64-bit checksum of a route's JSON form."""
    return int.from_bytes(blake2b(encoded, digest_size=8).digest(), "big")


def parse_response(data: bytes, partner: str, limits: Limits = DEFAULT_LIMITS) -> TableResponse:
    """Parses a response of the partner. Raises `BadTable`, which names every route's first fault and its place."""
    if len(data) > limits.bytes:
        raise BadTable(partner, [Fault("", f"at most {limits.bytes} bytes, not {len(data)}")])
    try:
        response = _RESPONSE_DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise BadTable(partner, [_parse_fault("", error)]) from None
    faults: list[Fault] = []
    if response.site.lower() != partner:
        faults.append(Fault("site", f"{partner}, the partner that was asked"))
    if response.snapshot is not (response.after is None):
        faults.append(Fault("after", "present if snapshot is false, and only then"))
    if response.snapshot and response.withdrawn:
        faults.append(Fault("withdrawn", "present only if snapshot is false"))
    for name in ("routes", "withdrawn"):
        if len(getattr(response, name)) > limits.routes:
            faults.append(Fault(name, f"at most {limits.routes} entries"))
    if faults:
        raise BadTable(partner, faults)
    routes: dict[str, Route] = {}
    sums: dict[str, int] = {}
    withdrawn = tuple(name.lower() for name in response.withdrawn)
    # Most routes of a partner have the same providers and one of few terms, so each is parsed once.
    parsed: dict[bytes, Any] = {}
    for number, row in enumerate(response.routes):
        try:
            route = _build_route(_ROUTE_DECODER.decode(row), partner, limits, parsed)
            if route.service in routes or route.service in withdrawn:
                raise ValueError("each service once - at `$.service`")
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            faults.append(_parse_fault(f"routes.{number}", error))
            continue
        routes[route.service] = route
        sums[route.service] = checksum(row)
    if faults:
        raise BadTable(partner, faults)
    return TableResponse(
        partner,
        response.epoch,
        response.index,
        response.after,
        response.to,
        int(response.sum, 16),
        routes,
        sums,
        withdrawn,
    )


def _parse_fault(place: str, error: Exception) -> Fault:
    """The fault that a message of msgspec, or one in its format, describes; `place`: of the decoded part."""
    match = _FAULT_PLACE.fullmatch(str(error))
    if match is None:
        return Fault(place, str(error) or "JSON that is nested less deeply")
    at = re.sub(r"\[(\d+|\.\.\.)\]", r".\1", match[2]).lstrip(".")
    return Fault(".".join(filter(None, (place, at))), match[1])


def parse_route(row: Any, site: str, limits: Limits = DEFAULT_LIMITS) -> Route:
    """Parses a route of this site as it stands in the operator's file. Raises `BadTable` with the first fault and its
    place within the route."""
    try:
        return _build_route(_ROUTE_DECODER.decode(msgspec.json.encode(row)), site, limits, {})
    except (msgspec.MsgspecError, ValueError, RecursionError, TypeError) as error:
        raise BadTable(site, [_parse_fault("", error)]) from None


def _build_route(form: _RouteForm, partner: str, limits: Limits, parsed: dict[bytes, Any]) -> Route:
    """Checks a route and builds the form that is stored. Raises ValueError with the fault and its place, in the format
    of msgspec's messages."""
    path = tuple(map(str.lower, form.path))
    if path[0] != partner:  # RFC 4271, section 6.3; RFC 7454, section 9
        raise ValueError(f"{partner} as its first site - at `$.path`")
    if len(set(path)) < len(path) or len(path) > limits.path:
        raise ValueError(f"at most {limits.path} sites, each once - at `$.path`")
    if len(form.classes) > limits.classes:
        raise ValueError(f"at most {limits.classes} classes - at `$.classes`")
    if form.share is None and form.rate is None:
        raise ValueError("share, rate or both - at `$.share`")
    providers, terms = bytes(form.providers), bytes(form.terms)
    if providers not in parsed:
        parsed[providers] = _parse_providers(providers, limits)
    if terms not in parsed:
        parsed[terms] = parse_terms(msgspec.json.decode(terms))
    return Route(
        form.service.lower(),
        path,
        parsed[providers],
        tuple(map(str.lower, form.classes)),
        form.share,
        form.rate,
        form.valid_for,
        parsed[terms],
        form.marked.lower(),
    )


def _parse_providers(encoded: bytes, limits: Limits) -> tuple[Provider, ...]:
    try:
        providers = _PROVIDERS_DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        what, _, at = str(error).partition(" - at `$")
        raise ValueError(f"{what} - at `$.providers{at or '`'}") from None
    if len(providers) > limits.providers:
        raise ValueError(f"at most {limits.providers} providers - at `$.providers`")
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


def apply_response(current: Table | None, response: TableResponse, limits: Limits = DEFAULT_LIMITS) -> Table:
    """The table that results from a response. Raises `OldTable` if the response is a repeat or does not follow
    `current`, `BadTable` if its checksum or size is wrong. In either case `current` stays valid."""
    check_order(current, response)
    if response.after is None or current is None:
        routes, sums = response.routes, response.sums
    else:
        if not response.routes and not response.withdrawn and response.index == current.index:
            routes, sums = current.routes, current.sums
        else:
            routes, sums = {**current.routes, **response.routes}, {**current.sums, **response.sums}
            for service in response.withdrawn:
                routes.pop(service, None)
                sums.pop(service, None)
        if len(routes) > limits.routes:
            raise BadTable(response.site, [Fault("routes", f"at most {limits.routes}, together with the stored ones")])
    total = sum(sums.values()) & CHECKSUM_MASK
    if total != response.sum:
        raise BadTable(response.site, [Fault("sum", f"{total:016x}, the checksum of the received routes")])
    if current is not None and routes is current.routes:
        return current
    return Table(response.site, response.epoch, response.index, routes, sums, total)


def check_order(current: Table | None, response: TableResponse) -> None:
    """Raises `OldTable` unless the response continues the current table, or is a whole table that is newer."""
    reason = ""
    if response.after is not None:
        if current is None or (response.epoch, response.after) != current.position:
            reason = "a whole table, or changes that follow the stored one"
        elif response.index < response.after or (
            response.index == response.after and (response.routes or response.withdrawn)
        ):
            reason = f"an index after {response.after}"
    elif current is not None and (response.epoch, response.index) <= current.position:
        reason = f"later than {current.epoch}.{current.index}, not {response.epoch}.{response.index}"
    if reason:
        raise OldTable(response.site, [Fault("index", reason)])


def newer_table(one: Table | None, other: Table | None) -> Table | None:
    """The newer of two tables of one partner. Commutative, associative, idempotent. Two tables with the same epoch and
    index come only from a partner that breaks the protocol; then the checksum decides."""
    if one is None or other is None:
        return one or other
    return max(one, other, key=lambda table: (table.epoch, table.index, table.sum, encode_table(table)))


def encode_table(table: Table) -> bytes:
    """The table in msgpack, for the replicated state."""
    return msgspec.msgpack.encode(table, order="deterministic")


def decode_table(data: bytes) -> Table:
    """The inverse of `encode_table`. Raises `msgspec.MsgspecError` for other data."""
    return msgspec.msgpack.decode(data, type=Table)


def encode_route(route: Route) -> bytes:
    """The JSON form of a route."""
    value: dict[str, Any] = {name: getattr(route, name) for name in route.__struct_fields__}
    value["terms"] = terms_to_json(route.terms)
    return msgspec.json.encode({name: part for name, part in value.items() if part not in (None, "")})


class Offer:
    """The table that this site offers to one neighbour, from which requests are answered.

    Invariant: `changed` has the index of the last change of each service that changed after `floor`. A neighbour whose
    index is older than `floor` gets the whole table.
    """

    MAX_WITHDRAWN = 4096  # withdrawn services that are remembered, so that a response can have the changes only

    def __init__(self, site: str, epoch: int, limits: Limits = DEFAULT_LIMITS) -> None:
        """`epoch`: greater than all earlier ones of this site, such as a replicated counter or, without one, the time
        of the start."""
        self.site, self.epoch, self.index, self.limits = site, epoch, 0, limits
        self.routes: dict[str, Route] = {}
        self.encoded: dict[str, bytes] = {}
        self.sum = 0
        self.changed: dict[str, int] = {}  # includes withdrawn services
        self.floor = 0

    def replace(self, routes: Mapping[str, Route], index: int | None = None) -> bool:
        """Replaces the offered routes; returns whether anything changed. Routes over the limit are left out, because
        the neighbour would otherwise reject the whole table. `index`: of the new table, greater than the previous one,
        where the caller counts the changes."""
        routes = limit_routes(routes, self.limits)
        names = [name for name, route in routes.items() if self.routes.get(name) is not route]
        names += [name for name in self.routes if name not in routes]
        new = {name: encode_route(routes[name]) if name in routes else b"" for name in names}
        new = {name: encoded for name, encoded in new.items() if self.encoded.get(name, b"") != encoded}
        self.routes = dict(routes)
        if index is not None:
            self.index = index
        if not new:
            return False
        if index is None:
            self.index += 1
        for name, encoded in new.items():
            before = self.encoded.pop(name, b"")
            self.sum = (
                self.sum - (checksum(before) if before else 0) + (checksum(encoded) if encoded else 0)
            ) & CHECKSUM_MASK
            if encoded:
                self.encoded[name] = encoded
            self.changed[name] = self.index
        if len(self.changed) > len(self.encoded) + self.MAX_WITHDRAWN:
            self.floor = self.index
            self.changed = dict.fromkeys(self.encoded, self.index)
        return True

    def has_changes(self, after: tuple[int, int] | None) -> bool:
        """Whether a neighbour at this position (epoch, index) gets a response at once."""
        return after != (self.epoch, self.index)

    def response(self, after: tuple[int, int] | None, to: str = "") -> bytes:
        """The JSON response with the changes after a position, or with the whole table if these are not known."""
        head = {"site": self.site, "epoch": self.epoch, "index": self.index, "sum": f"{self.sum:016x}", "to": to}
        has_history = after is not None and after[0] == self.epoch and self.floor <= after[1] <= self.index
        names = [name for name, index in self.changed.items() if has_history and after is not None and index > after[1]]
        if after is None or not has_history or len(names) > self.limits.routes:
            rows = list(self.encoded.values())
            return msgspec.json.encode({**head, "snapshot": True, "routes": list(map(msgspec.Raw, rows))})
        rows = [self.encoded[name] for name in names if name in self.encoded]
        withdrawn = [name for name in names if name not in self.encoded]
        changes = {"snapshot": False, "after": after[1], "routes": list(map(msgspec.Raw, rows)), "withdrawn": withdrawn}
        return msgspec.json.encode({**head, **changes})


def limit_routes(routes: Mapping[str, Route], limits: Limits) -> Mapping[str, Route]:
    """As many routes as a neighbour accepts: those with the shorter paths, this site's own first, then by name."""
    if len(routes) <= limits.routes:
        return routes
    first = sorted(routes, key=lambda name: (len(routes[name].path), name))[: limits.routes]
    return {name: routes[name] for name in first}
