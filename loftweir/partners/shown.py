"""The tables that this site offers to its neighbours: one sidecar writes them to the replicated state, and all read
them.

The holder of the lease `offers` writes each neighbour's table as its merge decides. Every sidecar answers requests from
the replicated state, so that it does not matter which one a neighbour asks: the index of a table is the index in the
log at which it was written, and the epoch is the Unix time in seconds at which the replicated state was first written
to. A neighbour that continues at another sidecar gets a response as soon as that sidecar has read as far.

Invariants:
 1. A response has the table of the replicated state, and only if this sidecar's own merge would show the same now,
    by its own file, its own clock and its knowledge of the partners. While the two differ there is no response. So
    tightened terms take effect at a sidecar as soon as its file has them, and no sidecar shows a stale route.
 2. A sidecar that is cut off from the cluster, or is connected again and does not know yet how far the log is, sends no
    response: a response without changes would confirm a table that may have changed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from loftweir.config.model import Options
from loftweir.errors import LoftweirError
from loftweir.lease.duty import LeasedTask
from loftweir.net.loop import MS, SECOND, Coroutine, Loop, Task, Wait
from loftweir.partners import replicated_table
from loftweir.partners.keeping import WRITE_TIMEOUT, TableWriter, Target
from loftweir.partners.link import limits, stored_keys
from loftweir.partners.merge import Merger
from loftweir.partners.replicated_table import Chunker, Head, NotReadable, TableReader, encode_head
from loftweir.partners.table import Offer, limit_routes
from loftweir.replication.machine import Machine
from loftweir.replication.part import ReplicationAgent
from loftweir.replication.wire import FencedValueQuery
from loftweir.telemetry.catalogue import PARTNERS_NOT_READABLE, PARTNERS_OFFERED, PARTNERS_OFFERS_HERE
from loftweir.telemetry.log import emit

LEASE_NAME = "offers"  # name of the lease
EPOCH = "epoch"  # key of the offered tables' epoch
POLL_INTERVAL = 5 * MS
CONFIRM_TIMEOUT = 2 * SECOND
RETRY_DELAY = 500 * MS


class NeighbourOffers:
    """The offered tables, and their writing while this sidecar has the lease.

    Invariant: `offers` has a table for each neighbour that has one in the replicated state, under the epoch found
    there.
    """

    def __init__(
        self,
        loop: Loop,
        options: Options,
        replication: ReplicationAgent,
        merger: Callable[[], Merger],
        on_change: Callable[[str], None],
    ) -> None:
        """`on_change` is called with each neighbour that may get another response than before."""
        self.loop = loop
        self.options = options.partners
        self.replication = replication
        self.merger = merger
        self.on_change = on_change
        self.limits = limits(options.partners)
        # After this time without contact to a leader, an election may have chosen another one.
        self.max_age = 3 * options.replication.election + options.replication.follow_wait + SECOND
        self.epoch = 0
        self.readers: dict[str, TableReader] = {}
        self.offers: dict[str, Offer] = {}
        # By neighbour: Unix time in ns until which the replicated table may be shown, if this was computed.
        self.valid_until: dict[str, int] = {}
        # The commit index that was confirmed by a quorum after the last reconnect.
        self.confirmed_index: int | None = None
        self.confirming: Task | None = None
        self.leased_task: LeasedTask | None = None
        self.writers: dict[str, TableWriter] = {}
        self.chunkers: dict[str, Chunker] = {}
        self.starting: Task | None = None

    # ---- reading ---------------------------------------------------------------------------------

    def on_state_change(self, machine: Machine, neighbours: Iterable[str]) -> None:
        """Reads what changed in the replicated state."""
        stored_epoch = machine.fenced_values.get((LEASE_NAME, EPOCH))
        epoch = int(stored_epoch.value) if stored_epoch is not None and stored_epoch.value.isdigit() else 0
        if epoch != self.epoch:
            self.epoch, self.readers, self.offers = epoch, {}, {}
        site = self.options.site.lower()
        for to in neighbours:
            reader = self.readers.get(to)
            if reader is None:
                reader = self.readers[to] = TableReader(LEASE_NAME, f"{to}/")
            try:
                if not reader.read(machine.fenced_values, self.loop.now()):
                    continue
            except NotReadable as error:
                emit(PARTNERS_NOT_READABLE, partner=to, why=error)
            if reader.head is None:
                self.offers.pop(to, None)
            else:
                offer = self.offers.get(to)
                if offer is None:
                    offer = self.offers[to] = Offer(site, epoch, self.limits)
                    offer.replace(reader.routes, reader.index)
                    offer.floor = reader.index  # earlier withdrawals are unknown
                else:
                    offer.replace(reader.routes, reader.index)
            self.valid_until.pop(to, None)
            self.on_change(to)

    def rejection_reason(self, to: str, after: tuple[int, int] | None) -> str:
        """The reason why a neighbour with this position can't get a response now; empty if it can."""
        age, offer = self.replication.age(), self.offers.get(to)
        if age is None or age > self.max_age:
            self.confirmed_index = None
            return "this sidecar is cut off from the copies of its site"
        if self.confirmed_index is None:
            if self.confirming is None or self.confirming.over:
                self.confirming = self.loop.spawn(self._confirm_index())
            return "this sidecar has yet to learn how far the copies are"
        if self.replication.index < self.confirmed_index:
            return "this sidecar is behind the copies"
        if offer is None or not self.epoch:
            return "nothing is in the copies yet"
        if after is not None and after > (self.epoch, offer.index):
            return f"it has {self.epoch}.{offer.index}, and is behind"
        if self.loop.now() >= self._valid_until(to):
            return "what the copies have is not what this sidecar may show now"
        return ""

    def _valid_until(self, to: str) -> int:
        until = self.valid_until.get(to)
        if until is None:
            shown, routes = self.merger().merged.shown.get(to, {}), self.readers[to].routes
            until = min((route.terms.until for route in routes.values()), default=1 << 63)
            if any(shown.get(service) != route for service, route in routes.items()):
                until = 0
            self.valid_until[to] = until
        return until

    def _confirm_index(self) -> Coroutine[None]:
        try:
            reading = yield from self.replication.proposer.read(FencedValueQuery(LEASE_NAME, EPOCH), CONFIRM_TIMEOUT)
        except LoftweirError:
            reading = None
        if reading is None or not reading.sure:
            yield Wait(None, 0, self.loop.now() + RETRY_DELAY)
            return
        self.confirmed_index = reading.index
        for to in list(self.readers):
            self.on_change(to)

    # ---- writing ---------------------------------------------------------------------------------

    def refresh(self, neighbours: Iterable[str]) -> None:
        """Adopts a change of the routes that the merge shows to these neighbours."""
        for to in neighbours:
            self.valid_until.pop(to, None)
            if to in self.writers:
                self._set_target(to)
            self.on_change(to)

    def begin(self, token: int) -> None:
        """Starts to write, as the lease was granted. `token`: its fencing token."""
        emit(PARTNERS_OFFERS_HERE, token=token)
        self.starting = self.loop.spawn(self._begin(token))

    def end(self) -> None:
        """Stops writing, as the lease ended."""
        if self.starting is not None:
            self.starting.cancel()
            self.starting = None
        for writer in self.writers.values():
            writer.end()
        self.writers = {}

    def _begin(self, token: int) -> Coroutine[None]:
        leased_task = self.leased_task
        assert leased_task is not None
        while self.replication.machine is None or self.replication.index < token:
            yield Wait(None, 0, self.loop.now() + POLL_INTERVAL)
        written = False
        while not self.epoch:
            if not written:
                try:
                    yield from leased_task.put(EPOCH, str(self.loop.now() // SECOND).encode(), WRITE_TIMEOUT)
                    written = True
                except LoftweirError:
                    yield Wait(None, 0, self.loop.now() + RETRY_DELAY)  # the write may have been applied nevertheless
            else:
                yield Wait(None, 0, self.loop.now() + POLL_INTERVAL)
        self.set_neighbours(self.merger().policy.roles)

    def set_neighbours(self, names: Iterable[str]) -> None:
        """Sets the neighbours to write tables for, if this sidecar has the lease."""
        leased_task, machine, names = self.leased_task, self.replication.machine, set(names)
        if leased_task is None or machine is None or leased_task.valid_token() is None or not self.epoch:
            return
        keys: dict[str, list[str]] = {}
        for key in stored_keys(machine.fenced_values, LEASE_NAME):
            to, slash, table_key = key.partition("/")
            if slash:
                keys.setdefault(to, []).append(table_key)
        for to in self.writers.keys() - names:
            self.writers.pop(to).end()
        for to in names - self.writers.keys():
            writer = self.writers[to] = TableWriter(self.loop, leased_task, f"{to}/")
            head = machine.fenced_values.get((LEASE_NAME, f"{to}/{replicated_table.HEAD}"))
            writer.begin(keys.get(to, ()), head.value if head else None)
            self._set_target(to)
        obsolete = [f"{to}/{key}" for to in keys.keys() - names for key in keys[to]]
        if obsolete:
            self.loop.spawn(self._clear(leased_task, obsolete))

    def _clear(self, leased_task: LeasedTask, keys: list[str]) -> Coroutine[None]:
        """Deletes the tables of former neighbours, heads first. What can't be deleted now is left to the next lease
        holder."""
        try:
            for key in sorted(keys, key=lambda key: not key.endswith(replicated_table.HEAD)):
                yield from leased_task.put(key, b"", WRITE_TIMEOUT)
        except LoftweirError:
            return

    def _set_target(self, to: str) -> None:
        routes = limit_routes(self.merger().merged.shown.get(to, {}), self.limits)
        chunks = self.chunkers.setdefault(to, Chunker()).split(routes, {})
        emit(PARTNERS_OFFERED, neighbour=to, routes=len(routes))
        self.writers[to].set_target(Target(encode_head(Head(chunks=tuple(chunks), routes=len(routes))), chunks))
