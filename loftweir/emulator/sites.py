"""Several sites that offer each other routes, in virtual time: the parts of `loftweir/partners`, links between them.

Links lose, delay, cut and repeat answers, fall silent and part the sites; sites restart, with what they held or
without; one may not keep to the terms. What is random comes from the seed alone. The oracle judges what was used and
what was shown.
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

MS, SECOND = 1_000_000, 1_000_000_000
TIMING = Timing(
    wait=2 * SECOND, silent_after=500 * MS, hold=4 * SECOND, gone=3 * SECOND, again=300 * MS, again_most=SECOND,
    ramp_within=5 * SECOND, half=10 * SECOND, suppress=2500.0, damped_most=15 * SECOND,
)  # fmt: skip
DELAY = 50 * MS  # of a message, at most
TICK = 500 * MS  # between two looks at what each site uses
MAX_HOP_DELAY = TIMING.hold + TIMING.gone + 2 * DELAY + TICK
LIVES = 40 * SECOND  # of the time in which things happen
SETTLES = 35 * SECOND  # ... and in which nothing does
START_TIME = 1_700_000_000 * SECOND


class LinkFaults(msgspec.Struct, frozen=True):
    """Of a message, each a probability."""

    lost: float = 0.0
    cut: float = 0.0
    repeated: float = 0.0  # an answer that was given before comes in its place


class Poll(NamedTuple):
    """A call that waits at a site for news."""

    life: str
    asked: SendRequest
    until: int


class Site:
    """One site: its sessions, its merge, what it offers; `disk` is what its copies keep over a restart."""

    def __init__(self, world: Simulation, name: str, honest: bool) -> None:
        self.world, self.name, self.honest = world, name, honest
        self.neighbours: list[str] = []
        self.own: dict[str, Terms] = {}  # by service; what is withdrawn is not in it
        self.words: dict[str, Terms] = {}
        self.disk: dict[str, PartnerState] = {}
        self.epoch = 0  # in the copies; lost with them
        self.up = False
        self.sessions: dict[str, Session] = {}
        self.offers: dict[str, Offer] = {}
        self.polls: dict[str, Poll] = {}
        self.hoard: dict[str, Route] = {}  # of one that does not keep to the terms: everything it was ever shown
        self.merger = Merger(self.policy())

    def policy(self) -> Policy:
        routes = {s: make_route(s, self.name, terms) for s, terms in self.own.items()}
        roles = dict.fromkeys(self.neighbours, self.world.role)
        return Policy(self.name, roles, offers=routes, restrictions=dict(self.words), gone_after=TIMING.gone)

    def start(self) -> None:
        now = self.world.clock.now
        # With no copies there is no counter: the time of the start is above what was counted up from an earlier one.
        self.epoch = max(self.epoch + 1, now // SECOND)
        life = f"{self.name}-{self.world.random.getrandbits(48):x}"
        self.up = True
        self.polls, self.hoard = {}, {}
        self.offers = {to: Offer(self.name, self.epoch) for to in self.neighbours}
        self.sessions = {n: Session(n, life, self.world.random.random, TIMING) for n in self.neighbours}
        self.merger = Merger(self.policy(), now, self.disk)
        for name, session in self.sessions.items():
            self.done(name, session.start(now, self.disk.get(name)))
        self.offer(self.neighbours)

    def stop(self, lost: bool) -> None:
        self.up = False
        if lost:
            self.disk, self.epoch = {}, 0

    def changed(self) -> None:
        """Its operators have said something else."""
        if self.up:
            self.merger = Merger(self.policy(), self.world.clock.now, self.merger.partner_states)
            self.offer(self.neighbours)

    # ---- as the one that asks -------------------------------------------------------------------

    def done(self, partner: str, actions: Sequence[Action]) -> None:
        world, session = self.world, self.sessions[partner]
        for action in actions:
            if isinstance(action, SendRequest):
                world.ask(self, partner, action)
            elif isinstance(action, ResponseRejected):
                world.event_counts[type(action.error).__name__] += 1
            elif isinstance(action, SessionChanged):
                if action.before is not session.state:
                    world.event_counts[session.state.value] += 1
                held = self.disk[partner] = session.partner_state()
                for service, found in (held.table.routes if held.table is not None else {}).items():
                    self.hoard[service] = found
                changed = self.merger.update_partner(partner, held, world.clock.now)
                self.offer(changed.shown if self.honest else self.neighbours)
        if session.next_at is not None:
            world.clock.call_at(session.next_at, self.tick, partner, session)

    def tick(self, partner: str, session: Session) -> None:
        now = self.world.clock.now
        due = session.next_at
        if self.up and self.sessions.get(partner) is session and due is not None and due <= now:
            self.done(partner, session.tick(now))

    def answered(self, partner: str, life: str, asked: SendRequest, data: bytes) -> None:
        session = self.sessions.get(partner)
        if self.up and session is not None and session.instance == life:
            self.done(partner, session.on_response(self.world.clock.now, asked.number, data))

    # ---- as the one that is asked ---------------------------------------------------------------

    def shown(self, to: str) -> dict[str, Route]:
        if self.honest:
            return self.merger.merged.shown[to]
        found = dict(self.merger.merged.shown[to])
        for service, one in self.hoard.items():
            if to not in one.path and self.name not in one.path:
                found.setdefault(service, msgspec.structs.replace(one, path=(self.name, *one.path)))
        return found

    def offer(self, neighbours: Sequence[str] | set[str]) -> None:
        for to in sorted(neighbours):
            if self.offers[to].replace(self.shown(to)) and to in self.polls:
                self.tell(to)

    def asked(self, by: str, life: str, asked: SendRequest) -> None:
        if not self.up:
            return
        poll = self.polls[by] = Poll(life, asked, self.world.clock.now + asked.wait)
        if asked.wait and not self.offers[by].has_changes(asked.after):
            self.world.clock.call_at(poll.until, self.waited, by, poll)
        else:
            self.tell(by)

    def waited(self, by: str, poll: Poll) -> None:
        if self.up and self.polls.get(by) is poll:
            self.tell(by)

    def tell(self, to: str) -> None:
        self.advance()  # what has come to its end since is not shown any more
        if to not in self.polls:
            return  # that was its news
        poll = self.polls.pop(to)
        for service, one in self.offers[to].routes.items():
            self.world.oracle.shown(self.world.clock.now, self.name, to, service, one.path)
        self.world.tell(self, to, poll, self.offers[to].response(poll.asked.after, poll.asked.nonce))

    def advance(self) -> None:
        self.offer(self.merger.advance(self.world.clock.now).shown)

    # ---- what is seen from outside --------------------------------------------------------------

    def look(self) -> None:
        now = self.world.clock.now
        if not self.up:
            return
        self.advance()
        for service, used in self.merger.merged.used.items():
            self.world.oracle.used(now, self.name, service, used.route.path)
        for left in self.merger.merged.left.values():
            for why in left.values():
                self.world.event_counts[why.reason.name] += 1
                if why.reason is Reason.LEAKED:
                    self.world.leak_counts[why.who] += 1


def make_route(service: str, site: str, terms: Terms) -> Route:
    border = Provider(f"border.{site}", "127.0.0.1:80", "a", "plain")
    # Valid for longer than the session's own times: the bound is to hold by these.
    return Route(service, (site,), (border,), ("read",), 0.5, None, 60 * SECOND, terms)


class Simulation:
    def __init__(self, seed: int, names: Sequence[str], links: Sequence[tuple[str, str]], dishonest: str = "") -> None:
        self.random = random.Random(seed)
        self.clock = Clock(START_TIME)
        self.role = Role.NONE
        self.oracle = Oracle(MAX_HOP_DELAY, frozenset((dishonest,)) - {""})
        self.event_counts: Counter[str] = Counter()
        self.leak_counts: Counter[str] = Counter()
        self.faults = LinkFaults()
        self.down: set[frozenset[str]] = set()
        self.before: dict[tuple[str, str], list[bytes]] = {}  # answers that went over a link
        self.sites = {name: Site(self, name, name != dishonest) for name in names}
        for one, other in links:
            self.sites[one].neighbours.append(other)
            self.sites[other].neighbours.append(one)
        self.wrong: list[str] = []

    # ---- what operators and fate do -------------------------------------------------------------

    def start(self) -> None:
        for site in self.sites.values():
            site.start()
        self.clock.call_later(TICK, self._look)

    def declare(self, site: str, service: str, terms: Terms | None) -> None:
        """The terms of a site's own service; None: it is withdrawn."""
        if terms is None:
            self.sites[site].own.pop(service, None)
        else:
            self.sites[site].own[service] = terms
        self.oracle.declare(self.clock.now, site, service, CLOSED if terms is None else terms)
        self.sites[site].changed()

    def word(self, site: str, service: str, terms: Terms) -> None:
        """What a site adds to the terms of what it passes on."""
        self.sites[site].words[service] = terms
        self.oracle.declare(self.clock.now, site, service, terms)
        self.sites[site].changed()

    def link(self, one: str, other: str, up: bool) -> None:
        (self.down.discard if up else self.down.add)(frozenset((one, other)))

    def restart(self, names: Sequence[str], lost: bool, after: int) -> None:
        """All of them go now, and come back together."""
        for name in names:
            self.sites[name].stop(lost)
            self.clock.call_later(after, self._back, self.sites[name])

    def _back(self, site: Site) -> None:
        if not site.up:
            site.start()

    def run(self, length: int) -> None:
        self.clock.run(self.clock.now + length)

    def _look(self) -> None:
        for site in self.sites.values():
            site.look()
        self.clock.call_later(TICK, self._look)

    # ---- the links ------------------------------------------------------------------------------

    def _goes(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.down and self.random.random() >= self.faults.lost

    def ask(self, by: Site, to: str, asked: SendRequest) -> None:
        if self._goes(by.name, to):
            life = by.sessions[to].instance
            self.clock.call_later(self.random.randrange(MS, DELAY), self.sites[to].asked, by.name, life, asked)

    def tell(self, by: Site, to: str, poll: Poll, data: bytes) -> None:
        if not self._goes(by.name, to):
            return
        answers = self.before.setdefault((by.name, to), [])
        answers.append(data)
        draw = self.random.random()
        if draw < self.faults.cut:
            data = data[: self.random.randrange(len(data))]
        elif draw < self.faults.cut + self.faults.repeated:
            data = self.random.choice(answers)
        delay = self.random.randrange(MS, DELAY)
        self.clock.call_later(delay, self.sites[to].answered, by.name, poll.life, poll.asked, data)

    # ---- at the end -----------------------------------------------------------------------------

    def heal_and_check(self) -> None:
        """Everything heals; then each site uses what a neighbour offers it, and all is as if merged anew."""
        self.faults = LinkFaults()
        self.down.clear()
        self.run(SETTLES)
        now = self.clock.now
        for site in self.sites.values():
            site.merger.advance(now)
            if site.merger.merged != merge(site.merger.partner_states, site.policy(), now):
                self.wrong.append(f"{site.name}: not what a whole merge gives")
            for name in site.neighbours:
                if self.oracle.dishonest or site.sessions[name].state is not SessionState.HOLDING:
                    continue
                for service, terms in self.sites[name].own.items():
                    open_to = terms.may_use(site.name, now) and terms.may_show(site.name, now)
                    if open_to and service not in site.merger.merged.used:
                        self.wrong.append(f"{site.name}: does not use {service} of {name}")
            if any(s.state is not SessionState.HOLDING for s in site.sessions.values()):
                self.wrong.append(f"{site.name}: not all sessions came back")

    def violations(self) -> list[str]:
        return [*map(str, self.oracle.breaches), *self.wrong]


def random_sites(draw: random.Random, names: Sequence[str]) -> SiteSet:
    some = frozenset(draw.sample(names, draw.randrange(0, len(names))))
    return draw.choice((ALL_SITES, ALL_SITES, NO_SITES, SiteSet(some), SiteSet(some, True)))


def random_terms(draw: random.Random, names: Sequence[str], now: int) -> Terms:
    until = FOREVER if draw.random() < 0.8 else now + draw.randrange(SECOND, 15 * SECOND)
    unknown = frozenset(("price",)) if draw.random() < 0.1 else frozenset[str]()
    return Terms(random_sites(draw, names), random_sites(draw, names), draw.randrange(4), until, unknown)


def simulate(seed: int) -> Simulation:
    """One run of random sites, links, faults and words; read `found()` and `seen`."""
    draw = random.Random(f"sites {seed}")
    names = ["aa", "bb", "cc", "dd", "ee"][: draw.randrange(3, 6)]
    links = [(one, draw.choice(names[:number])) for number, one in enumerate(names) if number]
    links += [pair for pair in zip(names, names[2:], strict=False) if draw.random() < 0.6 and pair[::-1] not in links]
    dishonest = draw.choice(names) if draw.random() < 0.35 else ""
    world = Simulation(draw.getrandbits(32), names, links, dishonest)
    if draw.random() < 0.7:
        world.faults = LinkFaults(*(draw.random() * draw.choice((0, 0.05, 0.3)) for _ in range(3)))
    services = [(name, f"s{number}@{name}") for name in names for number in range(draw.randrange(1, 3))]
    for name, service in services:
        world.declare(name, service, OPEN if draw.random() < 0.5 else random_terms(draw, names, START_TIME))
    world.start()
    at = START_TIME
    while True:
        at += draw.randrange(100 * MS, 4 * SECOND)
        if at > START_TIME + LIVES:
            break
        world.clock.run(at)
        kind = draw.choice(("say", "say", "say", "withdraw", "word", "link", "link", "restart", "lost", "flap"))
        name, service = draw.choice(services)
        one, other = draw.choice(links)
        if kind == "say":
            terms = random_terms(draw, names, at)
            before = world.sites[name].own.get(service)
            world.declare(name, service, terms.meet(before) if before and draw.random() < 0.5 else terms)
        elif kind == "withdraw":
            world.declare(name, service, None)
        elif kind == "word":
            world.word(draw.choice([n for n in names if n != name]), service, random_terms(draw, names, at))
        elif kind == "link":
            world.link(one, other, draw.random() < 0.5)
        elif kind == "flap":
            for step in range(6):
                world.clock.call_later(step * 700 * MS, world.link, one, other, step % 2 == 1)
        else:
            both = (one, other) if draw.random() < 0.3 else (one,)
            world.restart(both, kind == "lost", draw.randrange(10 * MS, 6 * SECOND))
    world.heal_and_check()
    return world
