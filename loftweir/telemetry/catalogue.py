"""Every event that the program can log: its stable name, its level and fields, and what on-call staff need to know.

The table in docs/on-call.md is made from this catalogue (`table`). Tests check that the program logs no event and no
field that is not listed here.
"""

from __future__ import annotations

from typing import NamedTuple

# The numbers of the standard library's logging.
DEBUG = 10
INFO = 20
WARNING = 30
ERROR = 40
LEVELS = {"debug": DEBUG, "info": INFO, "warning": WARNING, "error": ERROR}


class Event(NamedTuple):
    """One kind of log line. Its name stays the same as long as its meaning does."""

    name: str
    level: int
    fields: tuple[str, ...]
    meaning: str
    action: str = "nothing"
    # A lasting condition repeats an event many times a second: it is then logged once per interval for each combination
    # of these fields' values, with the number of those skipped. None: every one is logged.
    distinguished_by: tuple[str, ...] | None = ()


START_FAULT = Event(
    "start.fault",
    ERROR,
    ("file", "path", "value", "expected"),
    "the configuration can't be used: one line for each fault, and the program exits with 2",
    "correct what the line names; `loftweir check` shows the same without starting",
    None,
)
START_FAILED = Event(
    "start.failed",
    ERROR,
    ("why",),
    "the configuration is valid but the start failed, for example because the address is in use; the exit code is 2",
    "free the address, or configure another one",
    None,
)
START_LISTENING = Event(
    "start.listening",
    INFO,
    ("version", "pid", "address", "discovery", "providers", "operator"),
    "the sidecar listens and takes requests; `operator` is the operator's file, if there is one",
    distinguished_by=None,
)
STOP_BEGUN = Event(
    "stop.begun",
    INFO,
    ("signal", "open"),
    "SIGTERM or SIGINT was received; the sidecar accepts connections a little longer and answers the `open` "
    "invocations",
    distinguished_by=None,
)
STOP_DONE = Event(
    "stop.done",
    INFO,
    ("left",),
    "every invocation was answered, or the time for it is over; `left` clients had not received their whole answer",
    "above 0: look for clients that do not read",
    None,
)
RELOAD_DONE = Event(
    "reload.done",
    INFO,
    ("discovery", "changed", "settings", "restart"),
    "SIGHUP was received and both files are valid: the `changed` keys and `settings` are in force, requests in "
    "flight keep their class; the keys under `restart` wait for the next start",
    distinguished_by=None,
)
RELOAD_FAULT = Event(
    "reload.fault",
    ERROR,
    ("file", "path", "value", "expected"),
    "SIGHUP was received, but a file can't be used: one line for each fault. The whole old configuration stays in"
    " force",
    "correct the file and send SIGHUP again",
    None,
)
OPERATOR_CALL = Event(
    "operator.call",
    INFO,
    ("call", "answer", "why"),
    "a command was received at the operators' address, and how it was answered; READY is logged only if the "
    "answer is ERR",
    "ERR: `why` says what is wrong with the command",
    ("call", "why"),
)
OPERATOR_RECORD = Event(
    "operator.record",
    INFO,
    ("out", "drain"),
    "the operators' overrides have changed, whichever process received the command: the disabled providers "
    "(`out`), and the drain",
    distinguished_by=None,
)
OPERATOR_RECORD_DAMAGED = Event(
    "operator.record_damaged",
    WARNING,
    ("why",),
    "the record in `$TMPDIR` can't be trusted: nothing of it is used, and it is written again",
    "right after an upgrade: find out which providers are to be disabled, and repeat the commands for those that "
    "`operator.record` does not list",
    ("why",),
)
OPERATOR_RECORD_FAILED = Event(
    "operator.record_failed",
    ERROR,
    ("folder", "why"),
    "an operator's command can't be stored in `$TMPDIR`: it is in force in this process and is lost with it",
    "free space there, and repeat the command",
    ("why",),
)
LIFE_CHANGED = Event(
    "life.changed",
    INFO,
    ("state", "before", "open"),
    "serving; leaving: draining, health answers 503; empty: drained, and no idle connection is left; ending: "
    "SIGTERM was received; shut: no new connection is accepted. `open` invocations are in flight",
    distinguished_by=None,
)
DISCOVERY_WATCH_FAILED = Event(
    "discovery.watch_failed",
    WARNING,
    ("why", "address"),
    "the watch ended; the last list stays in use. `answered 503`: too many calls there; `not up`: no connection; "
    "`silent`: its machine hangs or is cut off; `broken`: it restarted; `not a list`: something else answers",
    "nothing if rare; else look at discovery. Drains are not seen meanwhile",
    ("why",),
)
DISCOVERY_LIST_FAILED = Event(
    "discovery.list_failed",
    WARNING,
    ("why", "address"),
    "a single fetch of the whole list failed; the last list stays in use. `why` is as in `discovery.watch_failed`",
    "nothing if rare; else look at discovery",
    ("why",),
)
STATE_TAKEN = Event(
    "state.taken",
    INFO,
    ("choice", "epoch", "index", "age_ms", "providers"),
    "which list the start used: the platform's (`given`), the snapshot, or the platform's because the snapshot "
    "was older than it (`stale`) or older than `state.trust_for` (`old`)",
)
STATE_DAMAGED = Event(
    "state.damaged",
    WARNING,
    ("file", "at", "why"),
    "the snapshot can't be trusted (cut short, of another program, or changed): it was renamed to `.damaged` and "
    "the start continues without it",
    "nothing, unless it happens again: then check the disk of `$TMPDIR`",
)
STATE_FAILED = Event(
    "state.failed",
    ERROR,
    ("file", "why"),
    "the snapshot could not be written: the file still has the one before, and the next change writes it again",
    "free space in `$TMPDIR`",
    ("why",),
)
REPLICATION_ROLE = Event(
    "replication.role",
    INFO,
    ("role", "term", "leader", "members", "id"),
    "this sidecar's role in the cluster: `leader`, `follower`, `asking` (pre-vote) or `candidate` (it knows no "
    "leader and wants to be one), `out` (not a member, or not yet); an empty `leader` means that none is known",
    "many in a row: the network between the members or their disks stall; raise `replication.election`, or repair them",
    None,
)
REPLICATION_BEGUN = Event(
    "replication.begun",
    INFO,
    ("id", "members"),
    "all configured members had empty disks, and this one started the cluster with them",
    distinguished_by=None,
)
REPLICATION_OPENED = Event(
    "replication.opened",
    INFO,
    ("id", "begun", "torn", "index", "folder"),
    "a member's files were read. `begun`: there were none, and it has a new id; `torn`: bytes of a last write "
    "that never finished, normal after a crash",
    distinguished_by=None,
)
REPLICATION_DAMAGED = Event(
    "replication.damaged",
    ERROR,
    ("why", "before", "id", "aside"),
    "a member's files are not what it wrote. They were moved to `aside`, and it starts again under another `id`; "
    "the leader removes the id `before` from its slot and adds this one",
    "check the disk, or who put the file there; look for `replication.joined`",
    None,
)
REPLICATION_WAITS = Event(
    "replication.waits",
    WARNING,
    ("why",),
    "a configured member does not take part yet: it neither starts the cluster nor is added to it, because of `why`",
    "start the configured members that are named, or correct the list; if all but an empty one are lost, empty "
    "all folders",
    ("why",),
)
REPLICATION_JOINED = Event(
    "replication.joined",
    INFO,
    ("id", "leader"),
    "the leader added this sidecar as a voting member",
    distinguished_by=None,
)
REPLICATION_TURNED_AWAY = Event(
    "replication.turned_away",
    WARNING,
    ("name", "why"),
    "this sidecar and `name` do not talk to each other: the version, cluster, list or id differs, or there is no room",
    "another id: nothing, while a member is replaced; else give all sidecars the same version, `cluster` and `members`",
    ("name", "why"),
)
REPLICATION_ENDED = Event(
    "replication.ended",
    ERROR,
    ("why", "remedy"),
    "this sidecar is no longer a member: its storage failed, it was removed, or the program has a fault. It "
    "continues to serve, and follows the other members",
    "do what `remedy` says",
    None,
)
REPLICATION_FOLLOWS = Event(
    "replication.follows",
    INFO,
    ("member", "index", "behind"),
    "from now on this sidecar receives the fleet's state from this member; `behind` entries were received at once",
    distinguished_by=("member",),
)
REPLICATION_LOST = Event(
    "replication.lost",
    WARNING,
    ("member", "why"),
    "this member sent no update of the fleet's state; the next one is tried. The known state stays in force, and "
    "its age grows (`FLEET`)",
    "nothing if rare; else look at the member that is named, and at the network to it",
    ("member", "why"),
)
REPLICATION_WORDS = Event(
    "replication.words",
    INFO,
    ("out", "index"),
    "the fleet's overrides have changed: the providers that they disable",
    distinguished_by=None,
)
REPLICATION_NOT_REMEMBERED = Event(
    "replication.not_remembered",
    WARNING,
    ("folder", "why"),
    "the fleet's state can't be stored in `$TMPDIR`, or what was stored can't be read: after a start it is "
    "unknown until a member sends it",
    "free space in `$TMPDIR`",
    ("why",),
)
PARTNERS_ASKED_HERE = Event(
    "partners.asked_here",
    INFO,
    ("partner", "token"),
    "this sidecar holds the lease of a partner and fetches its routes from now on, for the whole site",
    distinguished_by=None,
)
PARTNERS_LET_GO = Event(
    "partners.let_go",
    INFO,
    ("partner",),
    "this sidecar no longer fetches a partner's routes: it stops, or its lease expired or another sidecar has it",
    "many in a row: this process or the cluster stalls; see `replication.role`",
    None,
)
PARTNERS_SESSION = Event(
    "partners.session",
    INFO,
    ("partner", "state", "before"),
    "the state of the session with a partner, at the sidecar that fetches from it: asking, holding (it answers), "
    "stale (silent beyond its hold time), gone, damped (silent too often: not used until it has answered for a "
    "while)",
    "stale, gone, damped: look at the partner, and at the network to it",
    ("partner", "state"),
)
PARTNERS_CALL_FAILED = Event(
    "partners.call_failed",
    WARNING,
    ("partner", "address", "why"),
    "a call to a partner returned no table; the next address is tried. `not up`, `silent`, `broken`: the network "
    "or its machine; `answered 403`: it does not know this site; `answered 503`: not now, and why",
    "nothing if rare; else ask the partner's operators",
    ("partner", "why"),
)
PARTNERS_TABLE_REFUSED = Event(
    "partners.table_refused",
    WARNING,
    ("partner", "address", "why"),
    "a partner's table is invalid and not used; the last valid one stays until its hold time is over; `why` names"
    " each fault",
    "report the faults to the partner's operators",
    ("partner", "why"),
)
PARTNERS_TABLE = Event(
    "partners.table",
    INFO,
    ("partner", "standing", "epoch", "index", "routes", "used"),
    "what this sidecar knows of a partner has changed: its table, or whether it is `fresh`, `stale` (used as the "
    "last choice, offered to nobody) or `gone`; `used` is how many of its `routes` are used",
    "stale, gone: look at `partners.call_failed` at the sidecar that fetches from it (`ROUTES` there lists it "
    "under `asks`)",
    ("partner", "standing"),
)
PARTNERS_LEAKED = Event(
    "partners.leaked",
    WARNING,
    ("partner", "service", "by"),
    "a route is not used: its own terms forbid the path that it came by, and `by` passed it on",
    "tell the operators of `by`, and those whose route it is",
    ("partner", "by"),
)
PARTNERS_NOT_KEPT = Event(
    "partners.not_kept",
    WARNING,
    ("duty", "why"),
    "a partner's table, or what is offered, could not be written to the cluster; it is tried again",
    "no majority: as for `replication.role`; no room: lower `partners.table_size` or `routes`",
    ("duty",),
)
PARTNERS_NOT_READABLE = Event(
    "partners.not_readable",
    ERROR,
    ("partner", "why"),
    "the cluster's copy of a partner's table is not in this version's form: nothing of it is used",
    "run the same version everywhere in the site",
    ("partner",),
)
PARTNERS_OFFERS_HERE = Event(
    "partners.offers_here",
    INFO,
    ("token",),
    "this sidecar writes what the site offers to its neighbours, for the whole site",
    distinguished_by=None,
)
PARTNERS_OFFERED = Event(
    "partners.offered",
    INFO,
    ("neighbour", "routes"),
    "what is offered to a neighbour has changed, at the sidecar that writes it",
    distinguished_by=("neighbour",),
)
PARTNERS_LISTENS = Event(
    "partners.listens",
    INFO,
    ("address", "why"),
    "neighbours can fetch routes here from now on; with `why`: not yet, for example because the previous process "
    "still has the address",
    "with `why`, if it lasts: free the address, or configure another one",
    ("address", "why"),
)
PARTNERS_TURNED_AWAY = Event(
    "partners.turned_away",
    WARNING,
    ("site", "why"),
    "a request for this site's routes was rejected: it is from no neighbour, or it can't be answered now",
    "no neighbour: see `partners.file`; cut off: as for `replication.lost`; not what it may show: give all "
    "sidecars of the site the same file",
    ("site", "why"),
)
PARTNERS_STANDBY = Event(
    "partners.standby",
    INFO,
    ("service", "state", "providers"),
    "a partner's providers for this sidecar's own service: `ready` to take the place of its own, `used` because "
    "none of these is ready, or `no` and why",
    "used: look at this site's own providers",
    ("service", "state"),
)
DISCOVERY_NEW_WATCH = Event(
    "discovery.new_watch",
    INFO,
    ("cause", "age_ms", "late_calls"),
    "a new watch is started: `asked` by the balancer, `moved` to another address, `anew` at once after a failed "
    "call; updates may have been missing for `age_ms`, and `late_calls` calls that timed out can still be "
    "answered",
    distinguished_by=None,
)
DISCOVERY_WATCH_ESTABLISHED = Event(
    "discovery.watch_stands",
    INFO,
    ("version", "age_ms"),
    "the first answer of a watch was received, with this version; the answer before it, of any call, was received"
    " `age_ms` ago",
    distinguished_by=None,
)
DISCOVERY_CALL_FAILED = Event(
    "discovery.call_failed",
    INFO,
    ("after", "wait_ms", "ended", "ms"),
    "a call to discovery returned no list: `after` is the version after which it asked for changes (-1: the whole"
    " list), `wait_ms` how long discovery was allowed to wait, `ended` why it failed (`late: ...`: after it had "
    "timed out), `ms` the time since its start, connecting included",
    distinguished_by=None,
)
DISCOVERY_CALL = Event(
    "discovery.call",
    DEBUG,
    ("after", "wait_ms", "ended", "ms"),
    "a call to discovery was answered: `ended` is `answered`, or `answered late` (after it had timed out, beside "
    "the next calls); `after`, `wait_ms` and `ms` are as in "
    "`discovery.call_failed`",
    distinguished_by=None,
)
DISCOVERY_LIST = Event(
    "discovery.list",
    DEBUG,
    ("kind", "index", "providers", "changes"),
    "a list, or a change to it, was received: its kind, its version, the providers now ready, the number of its "
    "entries",
    distinguished_by=None,
)
ACCEPT_NO_ROOM = Event(
    "accept.no_room",
    WARNING,
    ("connections", "most"),
    "clients use all the connections that there is room for; those without a request in flight are closed to make room",
    "many clients that send nothing or never close their connections; a higher `limits.sockets` helps",
)
ACCEPT_FAILED = Event(
    "accept.failed",
    WARNING,
    ("why",),
    "a connection could not be accepted, mostly for lack of descriptors or memory",
    "run more sidecars, or raise the limits",
    ("why",),
)
INVOCATION_REPEATED = Event(
    "invocation.repeated",
    WARNING,
    ("id", "class"),
    "a request that must run once has the id of an earlier one that was sent, by this process or another one of this "
    "sidecar; it fails and is not sent",
    "each request needs an id of its own, a client's retry too",
)
IDS_NOT_SHARED = Event(
    "ids.not_shared",
    ERROR,
    ("folder", "why"),
    "the ids of requests that must run once can't be written to `$TMPDIR`: during an upgrade a request whose id comes "
    "to both processes runs twice",
    "free space there, and start the process again",
)
CLIENT_CLOSED = Event(
    "client.closed",
    INFO,
    ("why", "stage", "connections"),
    "a client's connection ended before its time: `why` is `room` (closed for a new connection), `slow` (the client "
    "did not read or write in time) or `reset` (it broke, or the client left); `stage` is how far its request was, "
    "`connections` how many are open",
    "`room` or `slow` in number: look for clients that keep connections without using them",
    ("why", "stage"),
)
REQUEST_REFUSED = Event(
    "request.refused",
    INFO,
    ("status", "why"),
    "a request was answered with an error before it was decided, as its head or body could not be taken",
    "400 and its neighbours: correct the client; 503: see `memory.short`",
    ("status",),
)
MEMORY_LIMITS = Event(
    "memory.limits",
    INFO,
    ("limit_kb", "resident_kb", "requests_kb", "answers_kb", "connections"),
    "how the platform's `memory_mb` is used: what is resident at the start, and the budgets of requests and of answers "
    "beside `connections` clients",
    distinguished_by=None,
)
MEMORY_HIGH = Event(
    "memory.high",
    WARNING,
    ("resident_kb", "limit_kb", "connections", "begun", "busy", "requests_left_kb", "answers_left_kb"),
    "the resident memory, as the kernel counts it, is near the platform's `memory_mb`: `begun` connections have sent a "
    "part of a request, `busy` ones wait for their answer or read it",
    "give it more memory or fewer descriptors; budgets that are not used up point to a fault of the program",
)
MEMORY_SHORT = Event(
    "memory.short",
    WARNING,
    ("of", "bytes", "left_kb"),
    "the budget of requests or answers had no room for so many more `bytes`: the request is rejected, the answer is "
    "passed on as it arrives or, if only its head is too large, given up",
    "many clients with long requests or slow readers: give it more memory",
    ("of",),
)
CONNECT_NOT_BEGUN = Event(
    "connect.not_begun",
    WARNING,
    ("why",),
    "a connection could not be started because of a fault of this machine; it is tried again and does not count "
    "against the provider",
    "the machine lacks ports, a route, memory or descriptors, as `why` says",
    ("why",),
)
LOOP_WATCH_FAILED = Event(
    "loop.watch_failed",
    WARNING,
    ("why",),
    "the kernel could not watch a descriptor for lack of memory; it is tried again every 5 ms",
    "the machine lacks memory, or `fs.epoll.max_user_watches` is too low",
    ("why",),
)
INVOCATION_OVERDUE = Event(
    "invocation.overdue",
    ERROR,
    ("id", "class"),
    "the balancer made no decision by the deadline; the client was answered 504",
    "a fault of the program: keep the log and report it",
)
INVOCATION_BROKEN = Event(
    "invocation.broken",
    ERROR,
    ("error", "at"),
    "a fault of the program; the request was answered 500, everything else continues",
    "keep the line and report it",
    ("at",),
)
COROUTINE_BROKEN = Event(
    "coroutine.broken",
    ERROR,
    ("coroutine", "error", "at"),
    "a fault of the program; what the coroutine served was answered as failed, everything else continues",
    "keep the line and report it",
    ("at",),
)
DECISION_BROKEN = Event(
    "decision.broken",
    ERROR,
    ("about", "error", "at"),
    "a fault of the decision module, or an action of it that can't be carried out; the request was answered 500",
    "keep the line and report it",
    ("at",),
)
DECISION_NOTE = Event(
    "decision.note",
    INFO,
    ("text",),
    "a message of the decision module",
)
ACCESS = Event(
    "access",
    INFO,
    ("id", "class", "status", "how", "ms", "head_ms", "decision_ms", "calls", "write_ms", "patience_ms", "why"),
    "one invocation, if the operator's file asks for it (`log.access`). `how`: served, rejected, failed or gone "
    "(`status` 0); `ms`: from its first byte to the last byte of its answer, of which `head_ms` until the head "
    "was complete, `decision_ms` until the first attempt began, `write_ms` for the answer; `calls`: each attempt "
    "with its provider, its outcome (null: still in flight), and one after the other `connect_ms`, `send_ms`, "
    "`answer_ms`, and from the second on `after_ms`, its beginning; `why`: all, failed, slow, sample",
    distinguished_by=None,
)
CATALOG_MOVED = Event(
    "catalog.moved",
    INFO,
    ("name", "before", "now"),
    "a short name refers to another service from now on (-: to none); requests in flight end where they began",
    distinguished_by=("name",),
)
CATALOG_COLLISION = Event(
    "catalog.collision",
    WARNING,
    ("text",),
    "several meshes have a service with the same short name: which one gets it, by which rule, and what can be done",
    "pin the name, or use the global names of the others, as the line says",
    ("text",),
)
CATALOG_CLAIMED = Event(
    "catalog.claimed",
    INFO,
    ("name", "index", "why"),
    "this sidecar, which holds the lease of a partner, claimed one of its names in the cluster, or released it "
    "with `index` 0; with `why`: this was rejected, and is tried again a minute later",
    "with `why`: remove the cause that it names",
    ("name",),
)
LOG_DROPPED = Event(
    "log.dropped",
    WARNING,
    ("lines",),
    "the log's reader stalled and has caught up; `lines` lines were dropped in between",
    "whoever reads this log is too slow",
    None,
)
LOG_REPEATS = Event(
    "log.repeats",
    INFO,
    ("of", "apart", "left_out"),
    "an event that repeated within the interval; `left_out` of them were skipped",
    "as for the event that `of` names",
    None,
)

EVENTS: dict[str, Event] = {event.name: event for event in list(globals().values()) if isinstance(event, Event)}


def level_name(level: int) -> str:
    """The name of a level's number."""
    return next(name for name, number in LEVELS.items() if number == level)


def table() -> str:
    """The catalogue as the Markdown table of docs/on-call.md."""
    lines = ["| event | level | fields | meaning | what to do |", "| --- | --- | --- | --- | --- |"]
    for event in EVENTS.values():
        fields = ", ".join(f"`{name}`" for name in event.fields)
        level = level_name(event.level)
        lines.append(f"| `{event.name}` | {level} | {fields} | {event.meaning} | {event.action} |")
    return "\n".join(lines) + "\n"
