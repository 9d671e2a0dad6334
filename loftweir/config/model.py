"""The operator's file: the type, bounds, default and meaning of every key.

The reader of the file, the reference page, the annotated example and `config show` are all generated from these types.
The platform's own settings are not here: they are `interface.Settings`.

`live` tells what a reload does with a key. True: the new value is in force the next time that it is used. False: the
value was used up at the start (the length of a socket's queue, the distribution of descriptors), and a change waits for
the next start.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Any, NamedTuple, get_args, get_type_hints

import msgspec

from loftweir.config.spec import (
    GIB,
    HOUR,
    KIB,
    MIB,
    MINUTE,
    MS,
    SECOND,
    Section,
    Spec,
    choice,
    count,
    duration,
    share,
    size,
    text,
)
from loftweir.config.units import (
    check_address,
    parse_label,
    parse_members,
    parse_service,
)


class Limits(Section, frozen=True, kw_only=True):
    """Time, bytes and connections that a client may use."""

    request_within: Annotated[
        int,
        duration(
            "time to send a request's head: for the first on a connection counted from when it was accepted, for "
            "a later one from its first byte; a body gets at least as long",
            10 * MS,
            HOUR,
        ),
    ] = 2500 * MS
    idle_for: Annotated[
        int, duration("how long a client's connection may be idle between requests", 10 * MS, 24 * HOUR)
    ] = 5 * SECOND
    write_within: Annotated[
        int,
        duration(
            "time in which a client's machine takes nothing of an answer, until the client is abandoned; what it has "
            "taken it may first read at 16 KiB a second, for 20 s at most",
            10 * MS,
            HOUR,
        ),
    ] = 5 * SECOND
    sends_within: Annotated[
        int,
        duration(
            "time in which a new connection is not closed to make room, as it has not had the chance to send", 0, MINUTE
        ),
    ] = 250 * MS
    linger_for: Annotated[
        int,
        duration(
            "how long input is read and discarded after a connection's last answer, so that a reset does not destroy "
            "the answer",
            0,
            MINUTE,
        ),
    ] = SECOND
    linger_bytes: Annotated[int, size("most bytes read and discarded after a connection's last answer", 0, GIB)] = MIB
    body: Annotated[int, size("largest body of a request; a larger one is answered 413", 1, 64 * MIB)] = 32 * MIB
    body_within: Annotated[
        int, duration("time for a request's body, in addition to what its bytes take at `body_rate`", 10 * MS, HOUR)
    ] = SECOND
    body_rate: Annotated[int, size("lowest rate at which a body must arrive, in bytes a second", 1, GIB)] = 32 * KIB
    body_silent: Annotated[
        int, duration("time without a byte of a body that has begun, until the request is abandoned", 10 * MS, HOUR)
    ] = 2500 * MS
    held: Annotated[
        int, size("answers up to this size are received as a whole; a longer one is passed on as it arrives", 1, MIB)
    ] = 64 * KIB
    silent_for: Annotated[
        int,
        duration(
            "time without a byte of a long answer, until its provider is abandoned; also time in which its machine "
            "takes nothing of a request's body that is passed on, as in `write_within`",
            10 * MS,
            HOUR,
        ),
    ] = 5 * SECOND
    answer: Annotated[
        int, size("largest body of an answer; a larger one makes the attempt an error that may have run", 1, GIB)
    ] = 32 * MIB
    answers_of_memory: Annotated[
        float, share("share of the platform's `memory_mb` for all answers in flight", 0.01, 0.9, live=False)
    ] = 0.125
    requests_of_memory: Annotated[
        float, share("share of the platform's `memory_mb` for the bodies of all requests", 0.01, 0.9, live=False)
    ] = 0.25
    consumers_of_sockets: Annotated[
        float, share("share of the platform's `sockets` for clients; the rest is for providers", 0.05, 0.9, live=False)
    ] = 0.5
    idle_of_sockets: Annotated[
        float,
        share(
            "share of the platform's `sockets` for idle connections of clients; above it the one longest idle is "
            "closed",
            0.01,
            0.9,
            live=False,
        ),
    ] = 0.125
    other_sockets: Annotated[
        int,
        count(
            "descriptors reserved from both shares for the standard streams, epoll, the listener and discovery",
            8,
            1024,
            live=False,
        ),
    ] = 16
    backlog: Annotated[int, count("connections that wait in the listener's queue", 1, 65535, live=False)] = 512
    retry_accept: Annotated[int, duration("time until accepting is tried again when there is no room", MS, SECOND)] = (
        5 * MS
    )
    accept_after_term: Annotated[
        int,
        duration(
            "how long it accepts connections after SIGTERM: clients learn of a stop later than the sidecar", 0, MINUTE
        ),
    ] = 700 * MS


class Providers(Section, frozen=True, kw_only=True):
    """Connections to providers."""

    idle_margin: Annotated[
        int,
        duration(
            "how long before the platform's `connIdle` an idle connection is closed, so that the provider does "
            "not close it while a request is on its way",
            0,
            MINUTE,
        ),
    ] = 500 * MS
    rest_least: Annotated[
        int,
        duration(
            "how long a connection must be idle before its next request, if others have been idle longer: a "
            "provider that closes after its answer has done so by then",
            0,
            SECOND,
        ),
    ] = 30 * MS
    information: Annotated[
        int,
        count(
            "most 1xx responses ahead of one final response; a longer series may never end and fails the attempt",
            0,
            1000,
        ),
    ] = 16


class Discovery(Section, frozen=True, kw_only=True):
    """Calls to discovery."""

    wait: Annotated[
        int, duration("how long discovery may hold a watch open when there is no update", 100 * MS, MINUTE)
    ] = 4 * SECOND
    # A change that a failed call missed counts as notified soon after: `listclock` relates these figures to that time.
    silent_after: Annotated[
        int,
        duration(
            "time beyond its wait until a watch without an answer counts as silent and is started again",
            50 * MS,
            MINUTE,
        ),
    ] = 600 * MS
    answer_within: Annotated[
        int,
        duration("time until a call that does not wait counts as silent, connecting included", 50 * MS, MINUTE),
    ] = 1400 * MS
    connect_within: Annotated[
        int,
        duration("time for a connection to discovery to be established, as part of its call's time", 10 * MS, MINUTE),
    ] = SECOND
    # Discovery continues a watch if the next call comes within 200 ms of the last answer; a later one starts a new one.
    calls_apart: Annotated[int, duration("shortest time between two calls", MS, 180 * MS)] = 100 * MS
    list_size: Annotated[int, size("largest answer of discovery", KIB, 256 * MIB)] = 4 * MIB
    # If lists are pushed, a local agent answers at no cost, and what it has counts as notified. The sidecar always
    # watches it, and soon abandons a silent call and makes it again.
    agent_wait: Annotated[
        int, duration("how long the agent that pushes lists may hold a watch open", 10 * MS, MINUTE)
    ] = SECOND
    agent_silent_after: Annotated[
        int,
        duration("time beyond its wait until a call to the agent without an answer counts as failed", 10 * MS, MINUTE),
    ] = 250 * MS


class Log(Section, frozen=True, kw_only=True):
    """What is logged, and in which format."""

    format: Annotated[str, choice("format of a line on standard error", "json", "logfmt", "console")] = "json"
    level: Annotated[str, choice("lowest level that is logged", "debug", "info", "warning", "error")] = "info"
    repeat_every: Annotated[
        int, duration("interval in which a repeating event is logged once, with the number of those skipped", 0, HOUR)
    ] = 10 * SECOND
    keep: Annotated[
        int, size("lines buffered for a reader that stalls; beyond it they are dropped and counted", KIB, 64 * MIB)
    ] = 64 * KIB
    access: Annotated[
        str,
        choice(
            "which invocations get a line: none, those not served or slow, these and a sample, or all",
            "off",
            "troubled",
            "sampled",
            "all",
        ),
    ] = "off"
    access_slow: Annotated[int, duration("an invocation that takes this long counts as slow", MS, HOUR)] = 500 * MS
    access_sample: Annotated[
        float, share("share of the other invocations that `sampled` logs, selected by id", 0.0, 1.0)
    ] = 0.01


class State(Section, frozen=True, kw_only=True):
    """The snapshot of the list in `$TMPDIR`, which a start uses if the platform's list is older or empty."""

    keep: Annotated[
        str, choice("whether the current list is stored as a snapshot for the next start", "off", "on", live=False)
    ] = "off"
    trust_for: Annotated[int, duration("how old a snapshot may be when a start uses it", SECOND, HOUR)] = 60 * SECOND
    write_apart: Annotated[int, duration("shortest time between two snapshots", 10 * MS, MINUTE)] = SECOND


class Replication(Section, frozen=True, kw_only=True):
    """The replicated state of the fleet: three to five voting sidecars store it; off without members."""

    members: Annotated[
        str,
        text(
            "the sidecars that vote, by the platform's `name`, each with the address where it listens for the "
            'others: "n0=127.0.0.1:7101, n1=..."; the same in the file of every sidecar; empty: off',
            parse_members,
            live=False,
        ),
    ] = ""
    cluster: Annotated[str, text("name of the cluster; connections from another one are rejected", live=False)] = (
        "loftweir"
    )
    folder: Annotated[
        str,
        text(
            "where a voting sidecar stores its files, on a disk that outlives the process; no other sidecar needs one",
            live=False,
        ),
    ] = ""
    beat: Annotated[int, duration("time between two heartbeats of the leader", 5 * MS, 10 * SECOND, live=False)] = (
        100 * MS
    )
    election: Annotated[
        int,
        duration(
            "time without a heartbeat until an election; each sidecar waits between this and twice as long. It "
            "must exceed the longest stall of a disk's sync and of the network",
            20 * MS,
            MINUTE,
            live=False,
        ),
    ] = 500 * MS
    write_within: Annotated[
        int,
        duration(
            "time to commit a command to the fleet; after it the answer is an error",
            100 * MS,
            MINUTE,
            live=False,
        ),
    ] = 2 * SECOND
    follow_wait: Annotated[
        int, duration("how long a call for updates may be held open when there are none", 50 * MS, MINUTE, live=False)
    ] = SECOND
    callers: Annotated[
        int,
        count(
            "connections of non-voting sidecars that a voting one accepts at a time, out of the platform's "
            "`sockets`; the others are sent to another member",
            4,
            4096,
            live=False,
        ),
    ] = 32


class Partners(Section, frozen=True, kw_only=True):
    """Routes to other sites and offers to them, by the terms of their owners; off without a site."""

    site: Annotated[
        str,
        text(
            "name of this site, as its neighbours know it; needs `replication.members`; empty: off",
            parse_label,
            live=False,
        ),
    ] = ""
    file: Annotated[
        str,
        text(
            "the neighbours and this site's own routes with their terms, in TOML or JSON; the same at every "
            "sidecar of the site. A reload reads it again",
        ),
    ] = ""
    listen: Annotated[
        str,
        text(
            "address at which neighbours fetch this site's routes; set it at the voting sidecars; empty: none",
            check_address,
            live=False,
        ),
    ] = ""
    service: Annotated[
        str,
        text(
            "the service whose providers this sidecar's discovery lists, for example orders@shop: a partner's "
            "providers replace them while none of them is ready; empty: never",
            parse_service,
            live=False,
        ),
    ] = ""
    wait: Annotated[
        int, duration("how long a partner may hold a call open when there is no update", 100 * MS, MINUTE, live=False)
    ] = 5 * SECOND
    silent_after: Annotated[
        int,
        duration(
            "time beyond its wait until a call without an answer is abandoned and made again",
            50 * MS,
            MINUTE,
            live=False,
        ),
    ] = SECOND
    hold: Annotated[
        int,
        duration(
            "time without a valid answer of a partner until its routes are stale: used as the last choice, "
            "offered to nobody",
            SECOND,
            HOUR,
            live=False,
        ),
    ] = 15 * SECOND
    gone: Annotated[
        int, duration("how long a partner's routes may be stale until none of them is used", 100 * MS, HOUR, live=False)
    ] = 30 * SECOND
    lease: Annotated[
        int,
        duration(
            "duration of the lease under which one sidecar fetches from a partner; another takes over this long "
            "after the last renewal",
            SECOND,
            MINUTE,
            live=False,
        ),
    ] = 5 * SECOND
    table_size: Annotated[
        int, size("largest answer of a partner; a larger one is rejected", 4 * KIB, 8 * MIB, live=False)
    ] = MIB
    routes: Annotated[int, count("most routes in a partner's table; a larger one is rejected", 1, 2000, live=False)] = (
        500
    )
    callers: Annotated[
        int,
        count(
            "connections of neighbours accepted at `listen` at a time, out of the platform's `sockets`; one more "
            "closes the one silent for longest",
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
            "this site's own services, which of discovery's providers serve each, and the meshes' names, in TOML "
            "or JSON; the same at every sidecar of the site. A reload reads it again; another path waits for the "
            "next start. Needs `partners.site`; empty: off",
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
        """The key with its section, as `limits.body`."""
        return f"{self.section}.{self.name}"

    @property
    def variable(self) -> str:
        """The environment variable that takes precedence over the file."""
        return f"LOFTWEIR_{self.section}_{self.name}".upper()


def sections() -> dict[str, type[Section]]:
    """The tables of the file by name, in the file's order."""
    return {name: kind for name, kind in get_type_hints(Options).items() if isinstance(kind, type)}


def keys() -> Iterator[Key]:
    """All keys, in the file's order."""
    for section, kind in sections().items():
        hints = get_type_hints(kind, include_extras=True)
        for field in msgspec.structs.fields(kind):
            (spec,) = [extra for extra in get_args(hints[field.name])[1:] if isinstance(extra, Spec)]
            yield Key(section, field.name, spec, field.default)
