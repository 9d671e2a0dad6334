"""The operator's file: every key, its type, bounds, default and meaning, in one place.

The reader, the reference page, the annotated example and `config show` are all made from these types. The
platform's own settings are not repeated here: they are `interface.Settings`.

`live` says what a reload does to a key: True, it holds from the next time that it is looked at; False, it was
spent at the start (a socket's queue, descriptors shared out) and a change waits for the next one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Annotated, Any, NamedTuple, get_args, get_type_hints

import msgspec

from loftweir import listclock
from loftweir.config.units import (
    Unit,
    check_address,
    check_plain_text,
    format_quantity,
    parse_label,
    parse_members,
    parse_service,
)
from loftweir.listclock import FRESH_CALLS, SHORTEST_FRESH_TIMEOUT

MS, SECOND, MINUTE, HOUR = 1_000_000, 1_000_000_000, 60_000_000_000, 3_600_000_000_000
KIB, MIB, GIB = 1024, 1024**2, 1024**3


class Spec(NamedTuple):
    """What is known of one key beside its default."""

    unit: Unit
    about: str
    least: float = 0
    most: float = float("inf")
    live: bool = True
    choices: tuple[str, ...] = ()
    check: Callable[[str], object] = check_plain_text  # of text: a ValueError says what was expected

    def expected(self) -> str:
        if self.unit is Unit.TEXT:
            return "text"
        if self.unit is Unit.CHOICE:
            return f"one of {', '.join(self.choices)}"
        least, most = format_quantity(self.unit, self.least), format_quantity(self.unit, self.most)
        return f"{self.unit.value}, from {least} to {most}"


def duration(about: str, least: int, most: int, live: bool = True) -> Spec:
    return Spec(Unit.DURATION, about, least, most, live)


def size(about: str, least: int, most: int, live: bool = True) -> Spec:
    return Spec(Unit.SIZE, about, least, most, live)


def share(about: str, least: float, most: float, live: bool = True) -> Spec:
    return Spec(Unit.SHARE, about, float(least), float(most), live)


def count(about: str, least: int, most: int, live: bool = True) -> Spec:
    return Spec(Unit.COUNT, about, least, most, live)


def choice(about: str, *choices: str, live: bool = True) -> Spec:
    return Spec(Unit.CHOICE, about, live=live, choices=choices)


def text(about: str, check: Callable[[str], object] = check_plain_text, live: bool = True) -> Spec:
    return Spec(Unit.TEXT, about, live=live, check=check)


class Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A table of the file."""


class Limits(Section, frozen=True, kw_only=True):
    """What a consumer may take: time, bytes, connections."""

    request_within: Annotated[
        int,
        duration(
            "for a request's head: the first on a connection from its opening on, a later one from its first byte on; "
            "a body has at least as long",
            10 * MS,
            HOUR,
        ),
    ] = 2500 * MS
    idle_for: Annotated[int, duration("that a consumer's connection may rest between requests", 10 * MS, 24 * HOUR)] = (
        5 * SECOND
    )
    write_within: Annotated[int, duration("for a consumer to read a whole answer", 10 * MS, HOUR)] = 5 * SECOND
    sends_within: Annotated[
        int,
        duration("in which a new connection is not closed to make room: it has not had its turn to send", 0, MINUTE),
    ] = 250 * MS
    linger_for: Annotated[
        int, duration("to read off what follows a last answer, so that it is not reset", 0, MINUTE)
    ] = SECOND
    linger_bytes: Annotated[int, size("read off at most behind a last answer", 0, GIB)] = MIB
    body: Annotated[int, size("of one request's body; over it is answered 413", 1, 64 * MIB)] = 32 * MIB
    body_within: Annotated[
        int, duration("for a request's body, beside what its bytes take at `body_rate`", 10 * MS, HOUR)
    ] = SECOND
    body_rate: Annotated[int, size("a second, the least at which a body has to come", 1, GIB)] = 48 * KIB
    body_silent: Annotated[
        int, duration("with nothing of a body that has begun, until it is given up", 10 * MS, HOUR)
    ] = 2 * SECOND
    held: Annotated[
        int, size("of an answer that are waited for as a whole; a longer one is passed on as it comes", 1, MIB)
    ] = 64 * KIB
    silent_for: Annotated[
        int, duration("with nothing of a long answer, until its provider is given up", 10 * MS, HOUR)
    ] = 5 * SECOND
    answer: Annotated[
        int, size("of one answer's body; over it the invoker call is an error that may have run", 1, GIB)
    ] = 32 * MIB
    answers_of_memory: Annotated[
        float, share("of the platform's `memory_mb` that all answers on their way may take", 0.01, 0.9, live=False)
    ] = 0.125
    requests_of_memory: Annotated[
        float, share("of the platform's `memory_mb` that all requests' bodies may take", 0.01, 0.9, live=False)
    ] = 0.25
    consumers_of_sockets: Annotated[
        float, share("of the platform's `sockets` for consumers; the rest goes to providers", 0.05, 0.9, live=False)
    ] = 0.5
    idle_of_sockets: Annotated[
        float,
        share(
            "of the platform's `sockets` that may rest between requests; over it the longest unused is closed",
            0.01,
            0.9,
            live=False,
        ),
    ] = 0.125
    other_sockets: Annotated[
        int, count("descriptors kept from both for the streams, epoll, the listener and discovery", 8, 1024, live=False)
    ] = 16
    backlog: Annotated[int, count("connections that wait in the listener's queue", 1, 65535, live=False)] = 512
    retry_accept: Annotated[int, duration("until accepting is tried again where there is no room", MS, SECOND)] = 5 * MS
    accept_after_term: Annotated[
        int, duration("that it goes on accepting after SIGTERM: clients learn of a stop later than it does", 0, MINUTE)
    ] = 700 * MS


class Providers(Section, frozen=True, kw_only=True):
    """Connections to providers."""

    idle_margin: Annotated[
        int,
        duration(
            "before the platform's `connIdle` that a resting connection is closed: none then crosses a request",
            0,
            MINUTE,
        ),
    ] = 500 * MS
    rest_least: Annotated[
        int,
        duration(
            "that a connection rests before another request goes over it, while others have rested longer: a "
            "provider that closes behind its answer has then shown it",
            0,
            SECOND,
        ),
    ] = 30 * MS
    information: Annotated[int, count("answers 1xx ahead of one final answer; more never end", 0, 1000)] = 16


class Discovery(Section, frozen=True, kw_only=True):
    """Calls to discovery."""

    wait: Annotated[int, duration("that discovery may hold a watch with no news", 100 * MS, MINUTE)] = 4 * SECOND
    # What a call misses that fails counts as told soon: `listclock` says how these figures fit into that.
    silent_after: Annotated[
        int,
        duration("past its wait, until a watch with no answer is taken for silent, and asked anew", 50 * MS, MINUTE),
    ] = 600 * MS
    answer_within: Annotated[
        int,
        duration("until a call that does not wait is taken for silent, from its connecting on", 50 * MS, MINUTE),
    ] = 1400 * MS
    connect_within: Annotated[
        int, duration("for a connection to discovery to be up, as a part of its call's time", 10 * MS, MINUTE)
    ] = SECOND
    # A watch goes on where its next call comes within 200 ms of the last answer: later ones begin anew.
    calls_apart: Annotated[int, duration("from call to call at least", MS, 180 * MS)] = 100 * MS
    list_size: Annotated[int, size("of one answer of discovery", KIB, 256 * MIB)] = 4 * MIB
    # Where lists are pushed, the agent beside the sidecar answers at no cost and what it has counts as told: it
    # is watched always, a silent one is soon given up and called again.
    agent_wait: Annotated[int, duration("that the agent that pushes lists may hold a watch", 10 * MS, MINUTE)] = SECOND
    agent_silent_after: Annotated[
        int, duration("past its wait, until a call to the agent with no answer is taken for failed", 10 * MS, MINUTE)
    ] = 250 * MS


class Log(Section, frozen=True, kw_only=True):
    """What is logged, and how."""

    format: Annotated[str, choice("of a line on standard error", "json", "logfmt", "console")] = "json"
    level: Annotated[str, choice("the least that is said", "debug", "info", "warning", "error")] = "info"
    repeat_every: Annotated[
        int, duration("in which an event that keeps coming is said once, with the number left out", 0, HOUR)
    ] = 10 * SECOND
    keep: Annotated[
        int, size("of lines kept for a reader that stalls; past it they are dropped and counted", KIB, 64 * MIB)
    ] = 64 * KIB
    access: Annotated[
        str,
        choice(
            "a line for each invocation: none, those not served or slow, these and a sample, or all",
            "off",
            "troubled",
            "sampled",
            "all",
        ),
    ] = "off"
    access_slow: Annotated[int, duration("from which an invocation counts as slow", MS, HOUR)] = 500 * MS
    access_sample: Annotated[float, share("of the others that `sampled` says, chosen by id", 0.0, 1.0)] = 0.01


class State(Section, frozen=True, kw_only=True):
    """The snapshot of the list, in `$TMPDIR`, that a start takes where the platform gives an older one or none."""

    keep: Annotated[str, choice("the last list held, as a snapshot to start with", "off", "on", live=False)] = "off"
    trust_for: Annotated[int, duration("after it was written, that a snapshot may be started with", SECOND, HOUR)] = (
        60 * SECOND
    )
    write_apart: Annotated[int, duration("from one snapshot to the next at least", 10 * MS, MINUTE)] = SECOND


class Replication(Section, frozen=True, kw_only=True):
    """Copies: what is said to the whole fleet is kept by three to five sidecars that vote; off without members."""

    members: Annotated[
        str,
        text(
            "the sidecars that vote, by the platform's `name`, each with the address where it listens for the others: "
            '"n0=127.0.0.1:7101, n1=..."; the same in the file of every sidecar; empty: off',
            parse_members,
            live=False,
        ),
    ] = ""
    cluster: Annotated[str, text("name of the whole; who names another one is turned away", live=False)] = "loftweir"
    folder: Annotated[
        str,
        text(
            "where a sidecar that votes keeps its files, on a disk that outlives the process; no other needs one",
            live=False,
        ),
    ] = ""
    beat: Annotated[
        int, duration("from one sign of life of the leader to the next", 5 * MS, 10 * SECOND, live=False)
    ] = 100 * MS
    election: Annotated[
        int,
        duration(
            "without a leader, from this to twice as long, until another stands; above the longest pause of a disk's "
            "sync and of the network",
            20 * MS,
            MINUTE,
            live=False,
        ),
    ] = 500 * MS
    write_within: Annotated[
        int,
        duration(
            "for the promise that a word to the fleet is kept; past it the answer is an error",
            100 * MS,
            MINUTE,
            live=False,
        ),
    ] = 2 * SECOND
    follow_wait: Annotated[
        int, duration("that a call for news may be held where there are none", 50 * MS, MINUTE, live=False)
    ] = SECOND
    callers: Annotated[
        int,
        count(
            "connections of sidecars that don't vote, which one that votes takes at a time, out of the platform's "
            "`sockets`; over it they are turned away to the others",
            4,
            4096,
            live=False,
        ),
    ] = 32


class Partners(Section, frozen=True, kw_only=True):
    """Other sites' routes and this site's own, by the terms of whose they are; off without a site."""

    site: Annotated[
        str,
        text(
            "name of this site, as its neighbours know it; `replication.members` is needed; empty: off",
            parse_label,
            live=False,
        ),
    ] = ""
    file: Annotated[
        str,
        text(
            "the neighbours and this site's own routes with their terms, in TOML or JSON; the same at every sidecar of "
            "the site. A reload reads it again",
        ),
    ] = ""
    listen: Annotated[
        str,
        text(
            "where neighbours ask this sidecar for this site's routes; set it at those that vote; empty: nowhere",
            check_address,
            live=False,
        ),
    ] = ""
    service: Annotated[
        str,
        text(
            "the service whose providers this sidecar's discovery lists, as orders@shop: a partner's take their place "
            "while none of them is ready; empty: never",
            parse_service,
            live=False,
        ),
    ] = ""
    wait: Annotated[
        int, duration("that a call may be held by a partner with no news", 100 * MS, MINUTE, live=False)
    ] = 5 * SECOND
    silent_after: Annotated[
        int,
        duration("past its wait, until a call with no answer is given up and made anew", 50 * MS, MINUTE, live=False),
    ] = SECOND
    hold: Annotated[
        int,
        duration(
            "with no good answer of a partner, until what it told is stale: used as the last choice, shown to nobody",
            SECOND,
            HOUR,
            live=False,
        ),
    ] = 15 * SECOND
    gone: Annotated[int, duration("of being stale, until nothing of a partner is used", 100 * MS, HOUR, live=False)] = (
        30 * SECOND
    )
    lease: Annotated[
        int,
        duration(
            "of the lease under which one sidecar asks a partner: so long after its end the next one begins",
            SECOND,
            MINUTE,
            live=False,
        ),
    ] = 5 * SECOND
    table_size: Annotated[int, size("of one partner's answer; over it it is refused", 4 * KIB, 8 * MIB, live=False)] = (
        MIB
    )
    routes: Annotated[int, count("of one partner's table; over it it is refused", 1, 2000, live=False)] = 500
    callers: Annotated[
        int,
        count(
            "connections of neighbours taken at `listen` at a time, out of the platform's `sockets`; of more, the one "
            "silent for longest goes",
            2,
            1024,
            live=False,
        ),
    ] = 16


class Catalog(Section, frozen=True, kw_only=True):
    """Several services behind one address: a request's Host names its service; off without a file."""

    file: Annotated[
        str,
        text(
            "this site's own services, who of discovery's providers serves each, and the meshes' names, in TOML or "
            "JSON; the same at every sidecar of the site. A reload reads it again; another path waits for the next "
            "start. `partners.site` is needed; empty: off",
            live=False,
        ),
    ] = ""


class Options(Section, frozen=True, kw_only=True):
    """The operator's file as a whole."""

    limits: Limits = Limits()
    providers: Providers = Providers()
    discovery: Discovery = Discovery()
    log: Log = Log()
    state: State = State()
    replication: Replication = Replication()
    partners: Partners = Partners()
    catalog: Catalog = Catalog()


class Key(NamedTuple):
    """One key of the file."""

    section: str
    name: str
    spec: Spec
    default: Any

    @property
    def path(self) -> str:
        return f"{self.section}.{self.name}"

    @property
    def variable(self) -> str:
        """The environment variable that goes before the file."""
        return f"LOFTWEIR_{self.section}_{self.name}".upper()


def sections() -> dict[str, type[Section]]:
    return {name: kind for name, kind in get_type_hints(Options).items() if isinstance(kind, type)}


def keys() -> Iterator[Key]:
    """All keys, in the file's order."""
    for section, kind in sections().items():
        hints = get_type_hints(kind, include_extras=True)
        for field in msgspec.structs.fields(kind):
            (spec,) = [extra for extra in get_args(hints[field.name])[1:] if isinstance(extra, Spec)]
            yield Key(section, field.name, spec, field.default)


def contradictions(options: Options) -> Iterator[tuple[str, str]]:
    """Pairs of keys that can't both be meant: the path, and what it must be to go with the other."""
    limits, log, discovery = options.limits, options.log, options.discovery
    if limits.sends_within > limits.request_within:
        yield "limits.sends_within", "at most limits.request_within"
    if limits.idle_of_sockets > limits.consumers_of_sockets:
        yield "limits.idle_of_sockets", "at most limits.consumers_of_sockets: those at rest are consumers too"
    if log.access == "sampled" and log.access_sample == 0:
        yield "log.access_sample", "above 0%, since log.access asks for a sample"
    if options.replication.election < 3 * options.replication.beat:
        yield "replication.election", "at least three times replication.beat: one sign of life may be lost"
    if options.partners.site:
        yield from _partners_contradict(options)
    if options.catalog.file and not options.partners.site:
        yield "catalog.file", "empty, or partners.site and replication.members named: names are the whole site's"
    yield from _told_late(discovery)


def _told_late(discovery: Discovery) -> Iterator[tuple[str, str]]:
    """Figures by which a change may be read later than it counts as told."""
    answer, apart = discovery.answer_within, discovery.calls_apart
    asked = listclock.faults(discovery.wait, discovery.silent_after, answer, apart)
    pushed = listclock.faults(discovery.agent_wait, discovery.agent_silent_after, answer, apart, pushed=True)
    for prefix, faults in (("", asked), ("agent_", pushed)):
        for name, most in faults:
            yield (
                f"discovery.{prefix}{name}",
                (
                    f"at most {format_quantity(Unit.DURATION, most)}: a change counts as told 6 s after discovery "
                    "had it, and past a call that fell silent there must be time to ask anew"
                ),
            )


REPLICATION_MARGIN = 500 * MS  # of `partners.hold`, kept for what is confirmed to reach all sidecars


def _partners_contradict(options: Options) -> Iterator[tuple[str, str]]:
    partners = options.partners
    if not options.replication.members:
        yield "partners.site", "empty, or replication.members named: what partners tell is kept in the copies"
    if not partners.file:
        yield "partners.file", "a file, since partners.site names a site"
    least = partners.wait + partners.silent_after + FRESH_CALLS * SHORTEST_FRESH_TIMEOUT + REPLICATION_MARGIN
    if partners.hold < least:
        yield (
            "partners.hold",
            (f"at least {format_quantity(Unit.DURATION, least)}: partners.wait, silent_after, and time to ask anew"),
        )
    if partners.hold < 2 * partners.lease:
        yield "partners.hold", "at least twice partners.lease: the next sidecar has to have asked by then"
