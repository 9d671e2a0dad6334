"""Several sites that offer each other routes, in virtual time: the parts of `loftweir/partners` with links in between.

Links lose, delay, truncate and repeat responses, and go down. Sites restart with or without their stored state. One
site may ignore terms. All randomness comes from the seed. The oracle checks which routes were used and shown.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from loftweir.emulator.clock import Clock
from loftweir.partners.merge import Merger, PartnerState, Policy, Reason, Role, merge
from loftweir.partners.oracle import Oracle
from loftweir.partners.session import (
    Action,
    ResponseRejected,
    SendRequest,
    Session,
    SessionChanged,
    SessionState,
    Timing,
)
from loftweir.partners.table import Offer, Provider, Route
from loftweir.partners.terms import ALL_SITES, CLOSED, FOREVER, NO_SITES, OPEN, SiteSet, Terms

MS = 1_000_000
SECOND = 1_000_000_000
TIMING = Timing(
    wait=2 * SECOND, silent_after=500 * MS, hold=4 * SECOND, gone=3 * SECOND, again=300 * MS, again_most=SECOND,
    ramp_within=5 * SECOND, half=10 * SECOND, suppress=2500.0, damped_most=15 * SECOND,
)  # fmt: skip
MAX_MESSAGE_DELAY = 50 * MS
CHECK_INTERVAL = 500 * MS  # between two checks of the routes that each site uses
# How long after a change of terms a neighbour may still use or show a route under the former terms.
MAX_HOP_DELAY = TIMING.hold + TIMING.gone + 2 * MAX_MESSAGE_DELAY + CHECK_INTERVAL
EVENT_PHASE = 40 * SECOND  # length of the time in which faults and changes occur
QUIET_PHASE = 35 * SECOND  # length of the time after it, in which all sessions have to recover
START_TIME = 1_700_000_000 * SECOND
ROUTE_VALIDITY = 60 * SECOND  # longer than the session's times, so that the bound results from these
FLAP_INTERVAL = 700 * MS  # between two changes of a flapping link


class LinkFaults(msgspec.Struct, frozen=True):
    """The probabilities of faults for each message."""

    lost: float = 0.0
    cut: float = 0.0  # a truncated response
    repeated: float = 0.0  # an earlier response in place of the current one


class Poll(NamedTuple):
    """A neighbour's request that waits at a site for changes."""

    instance: str  # the neighbour's process
    request: SendRequest
    until: int


class Site:
    """One site: its sessions, its merged routes and its offers. `stored` survives a restart."""

    def __init__(self, simulation: Simulation, name: str, honest: bool) -> None:
        self.simulation, self.name, self.honest = simulation, name, honest
        self.neighbours: list[str] = []
        self.own: dict[str, Terms] = {}  # by service; withdrawn services are not contained
        self.restrictions: dict[str, Terms] = {}  # what the site adds to the terms of routes that it passes on
        self.stored: dict[str, PartnerState] = {}
        self.epoch = 0  # stored too
        self.up = False
        self.sessions: dict[str, Session] = {}
        self.offers: dict[str, Offer] = {}
        self.polls: dict[str, Poll] = {}
        self.all_received: dict[str, Route] = {}  # every route ever received, which a dishonest site shows
        self.merger = Merger(self.policy())

    def policy(self) -> Policy:
        """The settings of the merge."""
        routes = {s: make_route(s, self.name, terms) for s, terms in self.own.items()}
        roles = dict.fromkeys(self.neighbours, self.simulation.role)
        return Policy(self.name, roles, offers=routes, restrictions=dict(self.restrictions), gone_after=TIMING.gone)

    def start(self) -> None:
        """Starts the site's process from its stored state."""
        now = self.simulation.clock.now
        # If the stored epoch is lost, the start time is higher than any epoch that was counted from an earlier start.
        self.epoch = max(self.epoch + 1, now // SECOND)
        instance = f"{self.name}-{self.simulation.random.getrandbits(48):x}"
        self.up = True
        self.polls, self.all_received = {}, {}
        self.offers = {to: Offer(self.name, self.epoch) for to in self.neighbours}
        draw = self.simulation.random.random
        self.sessions = {n: Session(n, instance, draw, TIMING) for n in self.neighbours}
        self.merger = Merger(self.policy(), now, self.stored)
        for name, session in self.sessions.items():
            self.execute(name, session.start(now, self.stored.get(name)))
        self.update_offers(self.neighbours)

    def stop(self, lose_state: bool) -> None:
        """Ends the process, with or without the loss of its stored state."""
        self.up = False
        if lose_state:
            self.stored, self.epoch = {}, 0

    def policy_changed(self) -> None:
        """Applies changed terms or restrictions."""
        if self.up:
            self.merger = Merger(self.policy(), self.simulation.clock.now, self.merger.partner_states)
            self.update_offers(self.neighbours)

    # ---- as the client of its neighbours --------------------------------------------------------

    def execute(self, partner: str, actions: Sequence[Action]) -> None:
        """Executes the actions of a session and schedules its next tick."""
        simulation, session = self.simulation, self.sessions[partner]
        for action in actions:
            if isinstance(action, SendRequest):
                simulation.send_request(self, partner, action)
            elif isinstance(action, ResponseRejected):
                simulation.event_counts[type(action.error).__name__] += 1
            elif isinstance(action, SessionChanged):
                self._session_changed(partner, session, action)
        if session.next_at is not None:
            simulation.clock.call_at(session.next_at, self.tick, partner, session)

    def _session_changed(self, partner: str, session: Session, action: SessionChanged) -> None:
        if action.before is not session.state:
            self.simulation.event_counts[session.state.value] += 1
        state = self.stored[partner] = session.partner_state()
        for service, received in (state.table.routes if state.table is not None else {}).items():
            self.all_received[service] = received
        changed = self.merger.update_partner(partner, state, self.simulation.clock.now)
        self.update_offers(changed.shown if self.honest else self.neighbours)

    def tick(self, partner: str, session: Session) -> None:
        """Gives a session its tick if it is due and the session is still the current one."""
        now = self.simulation.clock.now
        due = session.next_at
        if self.up and self.sessions.get(partner) is session and due is not None and due <= now:
            self.execute(partner, session.tick(now))

    def receive_response(self, partner: str, instance: str, request: SendRequest, data: bytes) -> None:
        """Passes a response to its session, unless it is for an earlier process of this site."""
        session = self.sessions.get(partner)
        if self.up and session is not None and session.instance == instance:
            self.execute(partner, session.on_response(self.simulation.clock.now, request.number, data))

    # ---- as the server of its neighbours --------------------------------------------------------

    def shown_routes(self, to: str) -> dict[str, Route]:
        """The routes offered to a neighbour. A dishonest site adds everything that it has ever received."""
        if self.honest:
            return self.merger.merged.shown[to]
        routes = dict(self.merger.merged.shown[to])
        for service, received in self.all_received.items():
            if to not in received.path and self.name not in received.path:
                routes.setdefault(service, msgspec.structs.replace(received, path=(self.name, *received.path)))
        return routes

    def update_offers(self, neighbours: Sequence[str] | set[str]) -> None:
        """Updates the offers to some neighbours, and responds to those that wait for a change."""
        for to in sorted(neighbours):
            if self.offers[to].replace(self.shown_routes(to)) and to in self.polls:
                self.respond(to)

    def receive_request(self, by: str, instance: str, request: SendRequest) -> None:
        """Responds at once if there are changes, otherwise when there are some or the wait ends."""
        if not self.up:
            return
        poll = self.polls[by] = Poll(instance, request, self.simulation.clock.now + request.wait)
        if request.wait and not self.offers[by].has_changes(request.after):
            self.simulation.clock.call_at(poll.until, self.wait_ended, by, poll)
        else:
            self.respond(by)

    def wait_ended(self, by: str, poll: Poll) -> None:
        """Responds to a request without changes at the end of its wait."""
        if self.up and self.polls.get(by) is poll:
            self.respond(by)

    def respond(self, to: str) -> None:
        """Responds to a neighbour's waiting request."""
        self.advance()  # routes that have expired since are not shown any more
        if to not in self.polls:
            return  # `advance` has already responded
        poll = self.polls.pop(to)
        for service, route in self.offers[to].routes.items():
            self.simulation.oracle.shown(self.simulation.clock.now, self.name, to, service, route.path)
        self.simulation.send_response(self, to, poll, self.offers[to].response(poll.request.after, poll.request.nonce))

    def advance(self) -> None:
        """Applies the expiry of routes up to now."""
        self.update_offers(self.merger.advance(self.simulation.clock.now).shown)

    # ---- checks ---------------------------------------------------------------------------------

    def check_used_routes(self) -> None:
        """Reports the routes that the site uses to the oracle, and counts the reasons for which others are unused."""
        now = self.simulation.clock.now
        if not self.up:
            return
        self.advance()
        for service, used in self.merger.merged.used.items():
            self.simulation.oracle.used(now, self.name, service, used.route.path)
        for left in self.merger.merged.left.values():
            for why in left.values():
                self.simulation.event_counts[why.reason.name] += 1
                if why.reason is Reason.LEAKED:
                    self.simulation.leak_counts[why.who] += 1


def make_route(service: str, site: str, terms: Terms) -> Route:
    """A route to a service of a site."""
    border = Provider(f"border.{site}", "127.0.0.1:80", "a", "plain")
    return Route(service, (site,), (border,), ("read",), 0.5, None, ROUTE_VALIDITY, terms)


class Simulation:
    """Sites, the links between them, and the oracle."""

    def __init__(self, seed: int, names: Sequence[str], links: Sequence[tuple[str, str]], dishonest: str = "") -> None:
        self.random = random.Random(seed)
        self.clock = Clock(START_TIME)
        self.role = Role.NONE
        self.oracle = Oracle(MAX_HOP_DELAY, frozenset((dishonest,)) - {""})
        self.event_counts: Counter[str] = Counter()
        self.leak_counts: Counter[str] = Counter()
        self.faults = LinkFaults()
        self.down_links: set[frozenset[str]] = set()
        self.sent_responses: dict[tuple[str, str], list[bytes]] = {}  # by sender and receiver
        self.sites = {name: Site(self, name, name != dishonest) for name in names}
        for one, other in links:
            self.sites[one].neighbours.append(other)
            self.sites[other].neighbours.append(one)
        self.convergence_errors: list[str] = []

    # ---- changes and faults ---------------------------------------------------------------------

    def start(self) -> None:
        """Starts all sites."""
        for site in self.sites.values():
            site.start()
        self.clock.call_later(CHECK_INTERVAL, self._check_used_routes)

    def declare(self, site: str, service: str, terms: Terms | None) -> None:
        """Sets the terms of a site's own service; None withdraws it."""
        if terms is None:
            self.sites[site].own.pop(service, None)
        else:
            self.sites[site].own[service] = terms
        self.oracle.declare(self.clock.now, site, service, CLOSED if terms is None else terms)
        self.sites[site].policy_changed()

    def restrict(self, site: str, service: str, terms: Terms) -> None:
        """Sets what a site adds to the terms of a route that it passes on."""
        self.sites[site].restrictions[service] = terms
        self.oracle.declare(self.clock.now, site, service, terms)
        self.sites[site].policy_changed()

    def link(self, one: str, other: str, up: bool) -> None:
        """Brings a link up or down."""
        (self.down_links.discard if up else self.down_links.add)(frozenset((one, other)))

    def restart(self, names: Sequence[str], lose_state: bool, after: int) -> None:
        """Stops some sites at once and starts them together after a time."""
        for name in names:
            self.sites[name].stop(lose_state)
            self.clock.call_later(after, self._start_site, self.sites[name])

    def _start_site(self, site: Site) -> None:
        if not site.up:
            site.start()

    def run(self, duration: int) -> None:
        """Advances virtual time."""
        self.clock.run(self.clock.now + duration)

    def _check_used_routes(self) -> None:
        for site in self.sites.values():
            site.check_used_routes()
        self.clock.call_later(CHECK_INTERVAL, self._check_used_routes)

    # ---- the links ------------------------------------------------------------------------------

    def _passes(self, one: str, other: str) -> bool:
        """Whether the next message passes the link between two sites."""
        return frozenset((one, other)) not in self.down_links and self.random.random() >= self.faults.lost

    def send_request(self, by: Site, to: str, request: SendRequest) -> None:
        """Sends a site's request over the link."""
        if self._passes(by.name, to):
            instance = by.sessions[to].instance
            delay = self.random.randrange(MS, MAX_MESSAGE_DELAY)
            self.clock.call_later(delay, self.sites[to].receive_request, by.name, instance, request)

    def send_response(self, by: Site, to: str, poll: Poll, data: bytes) -> None:
        """Sends a site's response over the link, which may truncate it or replace it by an earlier one."""
        if not self._passes(by.name, to):
            return
        responses = self.sent_responses.setdefault((by.name, to), [])
        responses.append(data)
        draw = self.random.random()
        if draw < self.faults.cut:
            data = data[: self.random.randrange(len(data))]
        elif draw < self.faults.cut + self.faults.repeated:
            data = self.random.choice(responses)
        delay = self.random.randrange(MS, MAX_MESSAGE_DELAY)
        self.clock.call_later(delay, self.sites[to].receive_response, by.name, poll.instance, poll.request, data)

    # ---- the end of a run -----------------------------------------------------------------------

    def heal_and_check(self) -> None:
        """Ends all faults, lets the sites converge, and checks that each one uses what its neighbours offer and has
        the same routes as after a merge of everything."""
        self.faults = LinkFaults()
        self.down_links.clear()
        self.run(QUIET_PHASE)
        now = self.clock.now
        for site in self.sites.values():
            site.merger.advance(now)
            if site.merger.merged != merge(site.merger.partner_states, site.policy(), now):
                self.convergence_errors.append(f"{site.name}: its routes differ from a merge of everything")
            for name in site.neighbours:
                if self.oracle.dishonest or site.sessions[name].state is not SessionState.HOLDING:
                    continue
                for service, terms in self.sites[name].own.items():
                    open_to = terms.may_use(site.name, now) and terms.may_show(site.name, now)
                    if open_to and service not in site.merger.merged.used:
                        self.convergence_errors.append(f"{site.name}: does not use {service} of {name}")
            if any(s.state is not SessionState.HOLDING for s in site.sessions.values()):
                self.convergence_errors.append(f"{site.name}: not all sessions have recovered")

    def violations(self) -> list[str]:
        """All findings of the oracle and of `heal_and_check`."""
        return [*map(str, self.oracle.breaches), *self.convergence_errors]


def random_sites(draw: random.Random, names: Sequence[str]) -> SiteSet:
    """A random set of sites."""
    some = frozenset(draw.sample(names, draw.randrange(0, len(names))))
    return draw.choice((ALL_SITES, ALL_SITES, NO_SITES, SiteSet(some), SiteSet(some, True)))


def random_terms(draw: random.Random, names: Sequence[str], now: int) -> Terms:
    """Random terms, some of them with an end or with an unknown condition."""
    until = FOREVER if draw.random() < 0.8 else now + draw.randrange(SECOND, 15 * SECOND)
    unknown = frozenset(("price",)) if draw.random() < 0.1 else frozenset[str]()
    return Terms(random_sites(draw, names), random_sites(draw, names), draw.randrange(4), until, unknown)


def simulate(seed: int) -> Simulation:
    """Runs random sites, links, faults and changes of terms; `violations()` and `event_counts` contain the result."""
    draw = random.Random(f"sites {seed}")
    names = ["aa", "bb", "cc", "dd", "ee"][: draw.randrange(3, 6)]
    links = [(one, draw.choice(names[:number])) for number, one in enumerate(names) if number]
    links += [pair for pair in zip(names, names[2:], strict=False) if draw.random() < 0.6 and pair[::-1] not in links]
    dishonest = draw.choice(names) if draw.random() < 0.35 else ""
    simulation = Simulation(draw.getrandbits(32), names, links, dishonest)
    if draw.random() < 0.7:
        simulation.faults = LinkFaults(*(draw.random() * draw.choice((0, 0.05, 0.3)) for _ in range(3)))
    services = [(name, f"s{number}@{name}") for name in names for number in range(draw.randrange(1, 3))]
    for name, service in services:
        simulation.declare(name, service, OPEN if draw.random() < 0.5 else random_terms(draw, names, START_TIME))
    simulation.start()
    at = START_TIME
    while True:
        at += draw.randrange(100 * MS, 4 * SECOND)
        if at > START_TIME + EVENT_PHASE:
            break
        simulation.clock.run(at)
        _random_event(simulation, draw, services, links)
    simulation.heal_and_check()
    return simulation


EVENTS = (
    "declare", "declare", "declare", "withdraw", "restrict", "link", "link", "restart", "lose state", "flap",
)  # fmt: skip


def _random_event(
    simulation: Simulation, draw: random.Random, services: Sequence[tuple[str, str]], links: Sequence[tuple[str, str]]
) -> None:
    """Applies one random change of terms or fault."""
    names, now = list(simulation.sites), simulation.clock.now
    kind = draw.choice(EVENTS)
    name, service = draw.choice(services)
    one, other = draw.choice(links)
    if kind == "declare":
        terms = random_terms(draw, names, now)
        before = simulation.sites[name].own.get(service)
        simulation.declare(name, service, terms.meet(before) if before and draw.random() < 0.5 else terms)
    elif kind == "withdraw":
        simulation.declare(name, service, None)
    elif kind == "restrict":
        by = draw.choice([n for n in names if n != name])
        simulation.restrict(by, service, random_terms(draw, names, now))
    elif kind == "link":
        simulation.link(one, other, draw.random() < 0.5)
    elif kind == "flap":
        for step in range(6):
            simulation.clock.call_later(step * FLAP_INTERVAL, simulation.link, one, other, step % 2 == 1)
    else:
        both = (one, other) if draw.random() < 0.3 else (one,)
        simulation.restart(both, kind == "lose state", draw.randrange(10 * MS, 6 * SECOND))
