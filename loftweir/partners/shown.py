"""What this site shows to each neighbour: written to the copies by one sidecar, and read from there by all.

The holder of the duty `offers` writes each neighbour's table as its merge gives it. Whoever is asked answers from the
copies, so that it does not matter who: the index of a table is the index in the log at which it was written, and the
epoch was written once, as the time in seconds, when the copies were begun. A neighbour that goes on at another sidecar
is answered there once that one is as far.

Invariants:
 1. What is answered is what the copies have, and what this sidecar's own merge would show now, by its own file, its own
    clock and what it knows of the partners; where the two differ, nothing is, until they agree again. So terms that
    were tightened hold at a sidecar as soon as its file has them, and what went stale is shown by nobody.
 2. Nothing is answered by a sidecar that is cut off from the copies, or that comes back to them and has yet to learn
    how far they are: no news from such a one would confirm what may have changed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from loftweir.config.model import Options
from loftweir.errors import LoftweirError
from loftweir.lease.duty import Duty
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.partners import replicated_table
from loftweir.partners.keeping import WITHIN, Keeping, Target
from loftweir.partners.link import keys_of, limits
from loftweir.partners.merge import Merger
from loftweir.partners.replicated_table import Cutter, Head, NotReadable, Shelf, written
from loftweir.partners.table import Offer, capped
from loftweir.replication.machine import Machine
from loftweir.replication.part import Part
from loftweir.replication.wire import FactOf
from loftweir.telemetry.catalogue import PARTNERS_NOT_READABLE, PARTNERS_OFFERED, PARTNERS_OFFERS_HERE
from loftweir.telemetry.log import emit

DUTY, EPOCH = "offers", "epoch"
LOOK_EVERY = 5 * MS
SURE_WITHIN = 2 * SECOND
AGAIN = 500 * MS


class Shown:
    """Invariant: `offers` has a table for each neighbour of which the copies have one, under the epoch there."""

    def __init__(
        self, loop: Loop, options: Options, fleet: Part, merger: Callable[[], Merger], changed: Callable[[str], None]
    ) -> None:
        """`changed` is told of each neighbour for whom something else may be answered than before."""
        self.loop = loop
        self.options = options.partners
        self.fleet = fleet
        self.merger = merger
        self.changed = changed
        self.limits = limits(options.partners)
        # Without a word from a leader for longer than it takes to elect one, it may be that others have one.
        self.old = 3 * options.replication.election + options.replication.follow_wait + SECOND
        self.epoch = 0
        self.shelves: dict[str, Shelf] = {}
        self.offers: dict[str, Offer] = {}
        self.fits: dict[str, int] = {}  # until when what the copies have may be shown, as far as it was looked at
        self.sure_from: int | None = None  # the index up to which all was promised before it was asked
        self.asks: Task | None = None
        self.duty: Duty | None = None
        self.keeps: dict[str, Keeping] = {}
        self.cutters: dict[str, Cutter] = {}
        self.writer: Task | None = None

    # ---- read -----------------------------------------------------------------------------------

    def heard(self, machine: Machine, neighbours: Iterable[str]) -> None:
        fact = machine.facts.get((DUTY, EPOCH))
        epoch = int(fact.value) if fact is not None and fact.value.isdigit() else 0
        if epoch != self.epoch:
            self.epoch, self.shelves, self.offers = epoch, {}, {}
        site = self.options.site.lower()
        for to in neighbours:
            shelf = self.shelves.get(to)
            if shelf is None:
                shelf = self.shelves[to] = Shelf(DUTY, f"{to}/")
            try:
                if not shelf.read(machine.facts, self.loop.now()):
                    continue
            except NotReadable as error:
                emit(PARTNERS_NOT_READABLE, partner=to, why=error)
            if shelf.head is None:
                self.offers.pop(to, None)
            else:
                offer = self.offers.get(to)
                if offer is None:
                    offer = self.offers[to] = Offer(site, epoch, self.limits)
                    offer.put(shelf.routes, shelf.index)
                    offer.floor = shelf.index  # what was withdrawn before is not known here
                else:
                    offer.put(shelf.routes, shelf.index)
            self.fits.pop(to, None)
            self.changed(to)

    def why_not(self, to: str, after: tuple[int, int] | None) -> str:
        """Why a neighbour that holds this mark can't be answered now; empty: it can."""
        age, offer = self.fleet.age(), self.offers.get(to)
        if age is None or age > self.old:
            self.sure_from = None
            return "this sidecar is cut off from the copies of its site"
        if self.sure_from is None:
            if self.asks is None or self.asks.over:
                self.asks = self.loop.spawn(self._make_sure())
            return "this sidecar has yet to learn how far the copies are"
        if self.fleet.index < self.sure_from:
            return "this sidecar is behind the copies"
        if offer is None or not self.epoch:
            return "nothing is in the copies yet"
        if after is not None and after > (self.epoch, offer.index):
            return f"it has {self.epoch}.{offer.index}, and is behind"
        if self.loop.now() >= self._fits(to):
            return "what the copies have is not what this sidecar may show now"
        return ""

    def _fits(self, to: str) -> int:
        until = self.fits.get(to)
        if until is None:
            shown, routes = self.merger().merged.shown.get(to, {}), self.shelves[to].routes
            until = min((route.terms.until for route in routes.values()), default=1 << 63)
            if any(shown.get(service) != route for service, route in routes.items()):
                until = 0
            self.fits[to] = until
        return until

    def _make_sure(self) -> Coroutine[None]:
        try:
            held = yield from self.fleet.caller.read(FactOf(DUTY, EPOCH), SURE_WITHIN)
        except LoftweirError:
            held = None
        if held is None or not held.sure:
            yield Wait(None, 0, self.loop.now() + AGAIN)
            return
        self.sure_from = held.index
        for to in list(self.shelves):
            self.changed(to)

    # ---- written --------------------------------------------------------------------------------

    def again(self, neighbours: Iterable[str]) -> None:
        """The merge shows something else to these."""
        for to in neighbours:
            self.fits.pop(to, None)
            if to in self.keeps:
                self._aim(to)
            self.changed(to)

    def begin(self, token: int) -> None:
        emit(PARTNERS_OFFERS_HERE, token=token)
        self.writer = self.loop.spawn(self._begin(token))

    def end(self) -> None:
        if self.writer is not None:
            self.writer.cancel()
            self.writer = None
        for keeping in self.keeps.values():
            keeping.end()
        self.keeps = {}

    def _begin(self, token: int) -> Coroutine[None]:
        duty = self.duty
        assert duty is not None
        while self.fleet.machine is None or self.fleet.index < token:
            yield Wait(None, 0, self.loop.now() + LOOK_EVERY)
        put = False
        while not self.epoch:
            if not put:
                try:
                    yield from duty.put(EPOCH, str(self.loop.now() // SECOND).encode(), WITHIN)
                    put = True
                except LoftweirError:
                    yield Wait(None, 0, self.loop.now() + AGAIN)  # it may be there all the same
            else:
                yield Wait(None, 0, self.loop.now() + LOOK_EVERY)
        self.neighbours(self.merger().policy.roles)

    def neighbours(self, names: Iterable[str]) -> None:
        """These are the neighbours from now on, where this sidecar writes."""
        duty, machine, names = self.duty, self.fleet.machine, set(names)
        if duty is None or machine is None or duty.may_act() is None or not self.epoch:
            return
        keys: dict[str, list[str]] = {}
        for key in keys_of(machine.facts, DUTY):
            to, sign, rest = key.partition("/")
            if sign:
                keys.setdefault(to, []).append(rest)
        for to in self.keeps.keys() - names:
            self.keeps.pop(to).end()
        for to in names - self.keeps.keys():
            keeping = self.keeps[to] = Keeping(self.loop, duty, f"{to}/")
            head = machine.facts.get((DUTY, f"{to}/{replicated_table.HEAD}"))
            keeping.begin(keys.get(to, ()), head.value if head else None)
            self._aim(to)
        left = [f"{to}/{key}" for to in keys.keys() - names for key in keys[to]]
        if left:
            self.loop.spawn(self._clear(duty, left))

    def _clear(self, duty: Duty, keys: list[str]) -> Coroutine[None]:
        """Of neighbours that are none any more: heads first. What can't be taken away now is by the next holder."""
        try:
            for key in sorted(keys, key=lambda key: not key.endswith(replicated_table.HEAD)):
                yield from duty.put(key, b"", WITHIN)
        except LoftweirError:
            return

    def _aim(self, to: str) -> None:
        routes = capped(self.merger().merged.shown.get(to, {}), self.limits)
        chunks = self.cutters.setdefault(to, Cutter()).cut(routes, {})
        emit(PARTNERS_OFFERED, neighbour=to, routes=len(routes))
        self.keeps[to].aim(Target(written(Head(chunks=tuple(chunks), routes=len(routes))), chunks))
