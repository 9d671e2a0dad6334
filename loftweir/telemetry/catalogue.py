"""Every event that the program can log: its stable name, level and fields, and what on-call staff make of it.

The table in docs/on-call.md is made from this catalogue (`table`), and tests hold the two together: no event is
said that is not here, with no field that is not here.
"""

from __future__ import annotations

from typing import NamedTuple

DEBUG, INFO, WARNING, ERROR = 10, 20, 30, 40  # the numbers of the standard library's logging
LEVELS = {"debug": DEBUG, "info": INFO, "warning": WARNING, "error": ERROR}


class Event(NamedTuple):
    """One kind of line. Names stay as they are for as long as the event means the same."""

    name: str
    level: int
    fields: tuple[str, ...]
    meaning: str
    action: str = "nothing"
    # A condition that lasts comes round many times a second: said once in an interval for each value of these
    # fields, with the number left out. None: every one is said.
    told_apart_by: tuple[str, ...] | None = ()


START_FAULT = Event(
    "start.fault",
    ERROR,
    ("file", "path", "value", "expected"),
    "the configuration can't be used; one line for each fault, and the program exits with 2",
    "mend what the line names; `loftweir check` shows the same without starting",
    None,
)
START_FAILED = Event(
    "start.failed",
    ERROR,
    ("why",),
    "the configuration is sound but the start failed, as when the address is in use; it exits with 2",
    "free the address, or name another",
    None,
)
START_LISTENING = Event(
    "start.listening",
    INFO,
    ("version", "pid", "address", "discovery", "providers", "operator"),
    "it listens and takes requests; `operator` is the operator's file, if any",
    told_apart_by=None,
)
STOP_BEGUN = Event(
    "stop.begun",
    INFO,
    ("signal", "open"),
    "SIGTERM or SIGINT came; it accepts a little longer and answers the `open` invocations",
    told_apart_by=None,
)
STOP_DONE = Event(
    "stop.done",
    INFO,
    ("left",),
    "all that was taken is answered, or the time for it is over; `left` clients had not been given all they are owed",
    "above 0: look for clients that do not read",
    None,
)
RELOAD_DONE = Event(
    "reload.done",
    INFO,
    ("discovery", "changed", "settings", "restart"),
    "SIGHUP came and both files can be used: `changed` keys and `settings` are in force, requests under way keep their "
    "class; keys under `restart` wait for the next start",
    told_apart_by=None,
)
RELOAD_FAULT = Event(
    "reload.fault",
    ERROR,
    ("file", "path", "value", "expected"),
    "SIGHUP came, but a file can't be used; one line for each fault. The old configuration stays whole",
    "mend the file, send SIGHUP again",
    None,
)
OPERATOR_CALL = Event(
    "operator.call",
    INFO,
    ("call", "answer", "why"),
    "an operator's call came to the second address, and how it was answered; READY only where the answer is ERR",
    "ERR: `why` says what the call lacks",
    ("call", "why"),
)
OPERATOR_RECORD = Event(
    "operator.record",
    INFO,
    ("out", "drain"),
    "what operators have said holds now, whichever process they said it to: providers that are out, and the drain",
    told_apart_by=None,
)
OPERATOR_RECORD_DAMAGED = Event(
    "operator.record_damaged",
    WARNING,
    ("why",),
    "the record in `$TMPDIR` can't be trusted: nothing of it is taken over, and it is written anew",
    "right after an upgrade: ask for the bans in force, and say those again that `operator.record` does not name",
    ("why",),
)
OPERATOR_RECORD_FAILED = Event(
    "operator.record_failed",
    ERROR,
    ("folder", "why"),
    "what an operator said can't be kept in `$TMPDIR`: it holds in this process, and is lost with it",
    "make room there, and make the call again",
    ("why",),
)
LIFE_CHANGED = Event(
    "life.changed",
    INFO,
    ("state", "before", "open"),
    "serving; leaving: drained, health says no; empty: drained, and no connection rests; ending: SIGTERM; shut: no new "
    "connection is taken. `open` invocations are under way",
    told_apart_by=None,
)
DISCOVERY_WATCH_FAILED = Event(
    "discovery.watch_failed",
    WARNING,
    ("why", "address"),
    "the watch ended; the old list serves on. `answered 503`: too many calls there; `not up`: no connection; "
    "`silent`: its machine hangs or is cut off; `broken`: it restarted; `not a list`: something else answers",
    "nothing if rare; else look at discovery. Drains are not seen meanwhile",
    ("why",),
)
DISCOVERY_LIST_FAILED = Event(
    "discovery.list_failed",
    WARNING,
    ("why", "address"),
    "the same, of a single call for the whole list",
    "as above",
    ("why",),
)
STATE_TAKEN = Event(
    "state.taken",
    INFO,
    ("choice", "epoch", "index", "age_ms", "providers"),
    "which list the start took: the platform's (`given`), the snapshot, or the platform's because the snapshot was"
    " older than it (`stale`) or than `state.trust_for` (`old`)",
)
STATE_DAMAGED = Event(
    "state.damaged",
    WARNING,
    ("file", "at", "why"),
    "the snapshot can't be trusted (torn, foreign or altered): it was renamed `.damaged` and the start goes on without",
    "nothing, unless it comes again: then look at the disk of `$TMPDIR`",
)
STATE_FAILED = Event(
    "state.failed",
    ERROR,
    ("file", "why"),
    "the snapshot could not be written: the file holds the one before, and is tried again with the next change",
    "make room in `$TMPDIR`",
    ("why",),
)
REPLICATION_ROLE = Event(
    "replication.role",
    INFO,
    ("role", "term", "leader", "members", "id"),
    "this sidecar's part in the copies: `leader`, `follower`, `asking` or `candidate` (it knows no leader and wants to "
    "be one), `out` (no member, or not yet); an empty `leader` is none that it knows of",
    "many in a row: the network between the members or their disks stall; raise `replication.election`, or mend them",
    None,
)
REPLICATION_BEGUN = Event(
    "replication.begun",
    INFO,
    ("id", "members"),
    "all listed members had empty disks, and this one began the copies with them",
    told_apart_by=None,
)
REPLICATION_OPENED = Event(
    "replication.opened",
    INFO,
    ("id", "begun", "torn", "index", "folder"),
    "the files of a member were read. `begun`: there were none, and it has a new id; `torn`: bytes of a last write that"
    " never finished, normal after a crash",
    told_apart_by=None,
)
REPLICATION_DAMAGED = Event(
    "replication.damaged",
    ERROR,
    ("why", "before", "id", "aside"),
    "a member's files are not what it wrote. They were set `aside`, and it begins anew under another `id`; the id "
    "`before` is taken out of its seat by the leader, and this one in",
    "look at the disk, or at who put the file there; look for `replication.joined`",
    None,
)
REPLICATION_WAITS = Event(
    "replication.waits",
    WARNING,
    ("why",),
    "a listed member is not one yet: it neither begins the copies nor is it taken in, because of `why`",
    "start the listed members that are named, or mend the list; where all but an empty one are lost, empty all folders",
    ("why",),
)
REPLICATION_JOINED = Event(
    "replication.joined",
    INFO,
    ("id", "leader"),
    "the leader took this sidecar in as a member that votes",
    told_apart_by=None,
)
REPLICATION_TURNED_AWAY = Event(
    "replication.turned_away",
    WARNING,
    ("name", "why"),
    "this sidecar and `name` do not speak: another version, cluster, list or id on one of the two sides, or no room",
    "another id: nothing, while a member is replaced; else give all sidecars the same version, `cluster` and `members`",
    ("name", "why"),
)
REPLICATION_ENDED = Event(
    "replication.ended",
    ERROR,
    ("why", "remedy"),
    "this sidecar's part as a member is over: its storage failed, it was taken out, or a fault of the program. It "
    "serves on, and follows the other members",
    "as `remedy` says",
    None,
)
REPLICATION_FOLLOWS = Event(
    "replication.follows",
    INFO,
    ("member", "index", "behind"),
    "it has what is said to the fleet from this member, from now on; `behind` entries came at once",
    told_apart_by=("member",),
)
REPLICATION_LOST = Event(
    "replication.lost",
    WARNING,
    ("member", "why"),
    "no news of the fleet came from this member; the next one is asked. What it knew holds on, and ages (`FLEET`)",
    "nothing if rare; else look at the member that is named, and at the way to it",
    ("member", "why"),
)
REPLICATION_WORDS = Event(
    "replication.words",
    INFO,
    ("out", "index"),
    "what holds for the whole fleet has changed: providers that are out by it",
    told_apart_by=None,
)
REPLICATION_NOT_REMEMBERED = Event(
    "replication.not_remembered",
    WARNING,
    ("folder", "why"),
    "what holds for the fleet can't be kept in `$TMPDIR`, or what was kept can't be read: a start knows nothing of it "
    "until it hears from a member",
    "make room in `$TMPDIR`",
    ("why",),
)
PARTNERS_ASKED_HERE = Event(
    "partners.asked_here",
    INFO,
    ("partner", "token"),
    "this sidecar has the lease of a partner and asks it from now on, for all of the site",
    told_apart_by=None,
)
PARTNERS_LET_GO = Event(
    "partners.let_go",
    INFO,
    ("partner",),
    "this sidecar asks a partner no more: it stops, or its lease ran out or went to another",
    "many in a row: this process or the copies stall; see `replication.role`",
    None,
)
PARTNERS_SESSION = Event(
    "partners.session",
    INFO,
    ("partner", "state", "before"),
    "the session with a partner, at the sidecar that asks it: asking, holding (it answers), stale (silent past its "
    "hold time), gone, damped (fell silent too often: not used until it has held for a while)",
    "stale, gone, damped: look at the partner, and at the way there",
    ("partner", "state"),
)
PARTNERS_CALL_FAILED = Event(
    "partners.call_failed",
    WARNING,
    ("partner", "address", "why"),
    "a call to a partner brought no table; the next address is asked. `not up`, `silent`, `broken`: the way, or its "
    "machine; `answered 403`: it does not know this site; `answered 503`: not now, and why",
    "nothing if rare; else ask the partner's operators",
    ("partner", "why"),
)
PARTNERS_TABLE_REFUSED = Event(
    "partners.table_refused",
    WARNING,
    ("partner", "address", "why"),
    "a partner's table is not taken, and the last good one stays until its hold time is over; `why` names each place",
    "tell the partner's operators the places",
    ("partner", "why"),
)
PARTNERS_TABLE = Event(
    "partners.table",
    INFO,
    ("partner", "standing", "epoch", "index", "routes", "used"),
    "what this sidecar knows of a partner is another: its table, or whether it is `fresh`, `stale` (used as the last "
    "choice, shown to nobody) or `gone`; so many of its `routes` are `used`",
    "stale, gone: look at `partners.call_failed` at the sidecar that asks it (`ROUTES` there names it under `asks`)",
    ("partner", "standing"),
)
PARTNERS_LEAKED = Event(
    "partners.leaked",
    WARNING,
    ("partner", "service", "by"),
    "a route is not used: its own terms say that it must not have come this way, and `by` is who passed it on",
    "tell the operators of `by`, and whose route it is",
    ("partner", "by"),
)
PARTNERS_NOT_KEPT = Event(
    "partners.not_kept",
    WARNING,
    ("duty", "why"),
    "what a partner told, or what is offered, could not be written to the copies; it is tried again",
    "no majority: as for `replication.role`; no room: lower `partners.table_size` or `routes`",
    ("duty",),
)
PARTNERS_NOT_READABLE = Event(
    "partners.not_readable",
    ERROR,
    ("partner", "why"),
    "what the copies have of a partner is not of this version's form: nothing of it is used",
    "run one version in the site",
    ("partner",),
)
PARTNERS_OFFERS_HERE = Event(
    "partners.offers_here",
    INFO,
    ("token",),
    "this sidecar writes what the site shows to its neighbours, for all of the site",
    told_apart_by=None,
)
PARTNERS_OFFERED = Event(
    "partners.offered",
    INFO,
    ("neighbour", "routes"),
    "what is shown to a neighbour is another, at the sidecar that writes it",
    told_apart_by=("neighbour",),
)
PARTNERS_LISTENS = Event(
    "partners.listens",
    INFO,
    ("address", "why"),
    "neighbours may ask here from now on; with `why`: not yet, as when the process before this one has the address",
    "with `why`, and it goes on: free the address, or name another",
    ("address", "why"),
)
PARTNERS_TURNED_AWAY = Event(
    "partners.turned_away",
    WARNING,
    ("site", "why"),
    "who asked for this site's routes is told no: no neighbour of that name, or not now",
    "no neighbour: see `partners.file`; cut off: as for `replication.lost`; not what it may show: give all sidecars of "
    "the site one file",
    ("site", "why"),
)
PARTNERS_STANDBY = Event(
    "partners.standby",
    INFO,
    ("service", "state", "providers"),
    "a partner's providers for this sidecar's own service: `ready` to take the place of its own, `used` as none of "
    "these is ready, or `no` and why",
    "used: look at this site's own providers",
    ("service", "state"),
)
DISCOVERY_NEW_WATCH = Event(
    "discovery.new_watch",
    INFO,
    ("cause", "age_ms", "late_calls"),
    "a new watch is asked for: `asked` by the balancer, `moved` to another address, `anew` at once after a failed call;"
    " news may have been owed for `age_ms`, and `late_calls` calls that were given up are still heard",
    told_apart_by=None,
)
DISCOVERY_WATCH_STANDS = Event(
    "discovery.watch_stands",
    INFO,
    ("version", "age_ms"),
    "the first answer of a watch came, with this version; the last answer before it, of any call, was `age_ms` ago",
    told_apart_by=None,
)
DISCOVERY_CALL_FAILED = Event(
    "discovery.call_failed",
    INFO,
    ("after", "wait_ms", "ended", "ms"),
    "a call to discovery brought no list: `after` is the version past which it asked (-1: the whole list), `wait_ms`"
    " how long it let itself be held, `ended` why it failed (`late: ...`: after it was given up), `ms` after it was"
    " begun, with its connecting",
    told_apart_by=None,
)
DISCOVERY_CALL = Event(
    "discovery.call",
    DEBUG,
    ("after", "wait_ms", "ended", "ms"),
    "a call to discovery that was answered: `ended` is `answered`, or `answered late` (after it was given up, beside"
    " the next ones); the rest as above",
    told_apart_by=None,
)
DISCOVERY_LIST = Event(
    "discovery.list",
    DEBUG,
    ("kind", "index", "providers", "changes"),
    "a list or a change of it was told: its kind, its version, the providers now ready, the entries in it",
    told_apart_by=None,
)
ACCEPT_NO_ROOM = Event(
    "accept.no_room",
    WARNING,
    ("connections", "most"),
    "consumers hold all the connections that there is room for; those that hold no request are closed for others",
    "many clients that say nothing or keep connections for good; a higher `limits.sockets` helps",
)
ACCEPT_FAILED = Event(
    "accept.failed",
    WARNING,
    ("why",),
    "no connection could be taken, most often for want of descriptors or memory",
    "more copies, or higher limits",
    ("why",),
)
CONNECT_NOT_BEGUN = Event(
    "connect.not_begun",
    WARNING,
    ("why",),
    "a connection could not be begun through a fault of this machine; it is tried again, and no provider is blamed",
    "the machine lacks ports, a route, memory or descriptors, by `why`",
    ("why",),
)
LOOP_WATCH_FAILED = Event(
    "loop.watch_failed",
    WARNING,
    ("why",),
    "the kernel could not watch a descriptor for want of memory; it is asked again every 5 ms",
    "the machine is short of memory, or of `fs.epoll.max_user_watches`",
    ("why",),
)
INVOCATION_OVERDUE = Event(
    "invocation.overdue",
    ERROR,
    ("id", "class"),
    "no decision came by the deadline; the consumer was answered 504",
    "a fault of the program: keep the log and report it",
)
INVOCATION_BROKEN = Event(
    "invocation.broken",
    ERROR,
    ("error", "at"),
    "a fault of the program; the request was answered 500, the rest goes on",
    "keep the line and report it",
    ("at",),
)
COROUTINE_BROKEN = Event(
    "coroutine.broken",
    ERROR,
    ("coroutine", "error", "at"),
    "a fault of the program; what it concerned was answered failed, the rest goes on",
    "keep the line and report it",
    ("at",),
)
DECISION_BROKEN = Event(
    "decision.broken",
    ERROR,
    ("about", "error", "at"),
    "a fault of the decision module, or an action that can't be carried out; the request was answered 500",
    "keep the line and report it",
    ("at",),
)
DECISION_NOTE = Event("decision.note", INFO, ("text",), "the decision module has something to say")
ACCESS = Event(
    "access",
    INFO,
    ("id", "class", "status", "how", "ms", "head_ms", "decision_ms", "calls", "write_ms", "patience_ms", "why"),
    "one invocation, where the operator's file asks for it (`log.access`). `how`: served, rejected, failed or gone "
    "(`status` 0); `ms`: from its first byte to its answer's last, `head_ms` of it until it was whole, `decision_ms` "
    "until the first call began, `write_ms` for the answer; `calls`: each invoker call with its provider, outcome "
    "(null: still out), and `connect_ms`, `send_ms`, `answer_ms` one after the other, from the second on "
    "`after_ms`, its beginning; `why`: all, failed, slow, sample",
    told_apart_by=None,
)
CATALOG_MOVED = Event(
    "catalog.moved",
    INFO,
    ("name", "before", "now"),
    "a short name stands for another service from now on, -: for none; what is under way ends where it began",
    told_apart_by=("name",),
)
CATALOG_COLLISION = Event(
    "catalog.collision",
    WARNING,
    ("text",),
    "several meshes have a service of one short name: who has it, by which rule, and what can be done",
    "as the line says: pin the name, or call the others by their global names",
    ("text",),
)
CATALOG_CLAIMED = Event(
    "catalog.claimed",
    INFO,
    ("name", "index", "why"),
    "this sidecar, which has the lease of a partner, claimed a name of its in the copies, or let it go with `index` 0; "
    "with `why`: it was not taken, and is tried again a minute later",
    "with `why`: as it says",
    ("name",),
)
LOG_DROPPED = Event(
    "log.dropped",
    WARNING,
    ("lines",),
    "the log's reader stalled and has caught up; so many lines were left out in between",
    "whoever reads this log is too slow",
    None,
)
LOG_REPEATS = Event(
    "log.repeats",
    INFO,
    ("of", "apart", "left_out"),
    "an event that came again and again within the interval; so many of it were left out",
    "as for the event that `of` names",
    None,
)

EVENTS: dict[str, Event] = {event.name: event for event in list(globals().values()) if isinstance(event, Event)}


def level_name(level: int) -> str:
    return next(name for name, number in LEVELS.items() if number == level)


def table() -> str:
    """The catalogue as the Markdown table of the on-call page."""
    lines = ["| event | level | fields | meaning | what to do |", "| --- | --- | --- | --- | --- |"]
    for e in EVENTS.values():
        fields = ", ".join(f"`{name}`" for name in e.fields)
        lines.append(f"| `{e.name}` | {level_name(e.level)} | {fields} | {e.meaning} | {e.action} |")
    return "\n".join(lines) + "\n"
