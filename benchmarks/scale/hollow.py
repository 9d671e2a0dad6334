"""Stub sidecars: the program's own observer and discovery client, and on request its balancer.

One process runs many on one loop. When all of them have a change, it reports this over its pipe, with the times of the
first and the last. On request it also reports the state of each stub sidecar by name.
"""

from __future__ import annotations

import logging
import random
import secrets
import time
from collections import defaultdict
from collections.abc import Callable
from multiprocessing.connection import Connection as Pipe
from typing import Any, NamedTuple

from loftweir import listclock
from loftweir.config.lists import read_list
from loftweir.config.model import Options
from loftweir.config.units import parse_members
from loftweir.core.host import Host
from loftweir.core.invocation import ProviderAttempt
from loftweir.http1.discovery import Discovery
from loftweir.interface import MembershipUpdate, Settings, UpdateKind
from loftweir.net.loop import READABLE, Coroutine, Loop, Wait
from loftweir.replication.follower import Observer
from loftweir.settings import JsonValues, settings_and_faults
from loftweir.telemetry import log

# Kinds of changes.
OVERRIDE = "word"
LIST = "list"


class StubPlan(NamedTuple):
    """What one process of stub sidecars runs."""

    names: list[str]
    options: Options
    discovery: str
    settings: dict[str, Any]  # the platform's
    known: dict[str, Any] | None  # the list that each starts with, and a balancer for each; None: neither
    far: bool = False  # they reach the voters by the links of the far region


class ChangeReached(NamedTuple):
    """All stub sidecars of a process have a change."""

    kind: str
    number: int  # an override's index, a list's version
    first_at: int  # Unix time, ns
    last_at: int


class StubState(NamedTuple):
    """What one stub sidecar has received."""

    override: int  # the index of its last log entry
    version: int  # of its endpoint list
    out: frozenset[str]  # providers that an override disables


class ArrivalCounter:
    """Counts the stub sidecars that have each change.

    Invariant: `count[k]` is the number of those that have change `k` or a later one.
    """

    def __init__(self, kind: str, total: int, pipe: Pipe) -> None:
        self.kind, self.total, self.pipe = kind, total, pipe
        self.count: dict[int, int] = defaultdict(int)
        self.first: dict[int, int] = {}

    def advance(self, before: int, index: int) -> None:
        """Counts a stub sidecar that went from one change to a later one, and reports those that all now have."""
        now = time.time_ns()
        for passed in range(before + 1, index + 1):
            self.count[passed] += 1
            first_at = self.first.setdefault(passed, now)
            if self.count[passed] == self.total:
                self.pipe.send(ChangeReached(self.kind, passed, first_at, now))


class NoProviders:
    """The providers' side of a balancer that gets no requests."""

    def begin(self, call: ProviderAttempt) -> None:
        """Never called."""
        raise AssertionError("a stub sidecar serves no requests")

    def update_list(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Does nothing: there are no connections."""

    def close_idle(self, provider: str) -> None:
        """Does nothing: there are no connections."""


class StubSidecar:
    """One stub sidecar: an observer, a watch on discovery, and perhaps a balancer."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        plan: StubPlan,
        settings: Settings,
        overrides: ArrivalCounter,
        lists: ArrivalCounter,
    ) -> None:
        self.loop = loop
        self.overrides, self.lists = overrides, lists
        self.index, self.version, self.failures = 0, 0, 0
        self.ask_within = settings.safety.ask_within
        replication = plan.options.replication
        self.follower = Observer(
            loop, name, secrets.token_hex(8), replication, parse_members(replication.members), self._on_entries
        )
        self.discovery = Discovery(loop, plan.discovery, plan.options, self._on_list)
        self.host: Host | None = None
        if plan.known is not None:
            self.host = Host(loop, settings, secrets.randbits(64), NoProviders(), self.discovery)
            update, addresses = read_list(plan.known, UpdateKind.REMEMBERED)
            self.discovery.version = update.version
            self.host.update_list(update, addresses)
        else:  # the first fetch is spread as the balancer spreads it
            self._watch_in(random.randrange(self.ask_within // 2))

    def _watch_in(self, delay: int) -> None:
        self.loop.after(delay, self.discovery.watch, True)

    def _on_entries(self) -> None:
        before, self.index = self.index, self.follower.machine.index
        self.overrides.advance(before, self.index)

    def _on_list(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        if self.host is not None:
            self.host.update_list(update, addresses)
        if update.kind is UpdateKind.FAILED:
            self.failures += 1
            if self.host is None:
                most, least = listclock.backoff(self.ask_within, self.failures)
                self._watch_in(random.randint(least, most))
            return
        self.failures = 0
        before, self.version = self.version, update.version
        self.lists.advance(before, self.version)

    def state(self) -> StubState:
        """What it has received so far."""
        out = frozenset(name for name, override in self.follower.machine.overrides.items() if override.out)
        return StubState(self.index, self.version, out)


def run(plan: StubPlan, pipe: Pipe) -> None:
    """The body of a process of its own; it runs until it is killed.

    Any message over the pipe is answered with the states of all stub sidecars.
    """
    log.LOGGER.setLevel(logging.CRITICAL)
    loop = Loop()
    settings, faults = settings_and_faults(JsonValues(plan.settings))
    assert settings is not None, faults
    overrides, lists = (ArrivalCounter(kind, len(plan.names), pipe) for kind in (OVERRIDE, LIST))
    stubs = {name: StubSidecar(loop, name, plan, settings, overrides, lists) for name in plan.names}
    loop.spawn(_answer(pipe, lambda: {name: stub.state() for name, stub in stubs.items()}))
    loop.run()


def _answer(pipe: Pipe, states: Callable[[], dict[str, StubState]]) -> Coroutine[None]:
    while True:
        yield Wait(pipe, READABLE, None)
        pipe.recv()
        pipe.send(states())
