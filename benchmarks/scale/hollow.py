"""Hollow sidecars: the program's own follower and discovery client, and where it is wanted its decision core.

One process holds many on one loop. When all of them have a change it says so over its pipe, with the time of the last;
who has not got one can be asked by name.
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

WORD, LIST = "word", "list"  # kinds of changes


class Plan(NamedTuple):
    """What one process of hollow sidecars is to be."""

    names: list[str]
    options: Options
    discovery: str
    settings: dict[str, Any]  # the platform's
    known: dict[str, Any] | None  # the list that each starts with, and a decision core for each; None: neither
    far: bool = False  # in the other region


class Reached(NamedTuple):
    """All hollow sidecars of a process have a change."""

    kind: str
    number: int  # a word's index, a list's version
    first_at: int  # Unix time, ns
    last_at: int


class Stand(NamedTuple):
    """How far one of them is."""

    word: int  # the index of the last one that it has
    version: int  # of the list that it has
    out: frozenset[str]  # providers that are out by the fleet's word


class Arrivals:
    """Counts who has which change. Invariant: `count[k]` is the number of those that have `k` or a later one."""

    def __init__(self, kind: str, total: int, pipe: Pipe) -> None:
        self.kind, self.total, self.pipe = kind, total, pipe
        self.count: dict[int, int] = defaultdict(int)
        self.first: dict[int, int] = {}

    def moved(self, before: int, index: int) -> None:
        now = time.time_ns()
        for passed in range(before + 1, index + 1):
            self.count[passed] += 1
            first_at = self.first.setdefault(passed, now)
            if self.count[passed] == self.total:
                self.pipe.send(Reached(self.kind, passed, first_at, now))


class NoProviders:
    """The providers' side of a decision core that is asked for nothing."""

    def begin(self, call: ProviderAttempt) -> None:
        raise AssertionError("a hollow sidecar serves no calls")

    def update_list(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
        """Nobody is connected to."""

    def close_idle(self, provider: str) -> None:
        """Nothing rests."""


class Hollow:
    def __init__(self, loop: Loop, name: str, plan: Plan, settings: Settings, words: Arrivals, lists: Arrivals) -> None:
        self.loop = loop
        self.words, self.lists = words, lists
        self.index, self.version, self.failures = 0, 0, 0
        self.ask_within = settings.safety.ask_within
        replication = plan.options.replication
        self.follower = Observer(
            loop, name, secrets.token_hex(8), replication, parse_members(replication.members), self._applied
        )
        self.discovery = Discovery(loop, plan.discovery, plan.options, self._listed)
        self.host: Host | None = None
        if plan.known is not None:
            self.host = Host(loop, settings, secrets.randbits(64), NoProviders(), self.discovery)
            update, addresses = read_list(plan.known, UpdateKind.REMEMBERED)
            self.discovery.version = update.version
            self.host.update_list(update, addresses)
        else:  # the first call as the decision core spreads it
            self._watch_in(random.randrange(self.ask_within // 2))

    def _watch_in(self, delay: int) -> None:
        self.loop.after(delay, self.discovery.watch, True)

    def _applied(self) -> None:
        before, self.index = self.index, self.follower.machine.index
        self.words.moved(before, self.index)

    def _listed(self, update: MembershipUpdate, addresses: dict[str, str]) -> None:
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
        self.lists.moved(before, self.version)

    def stand(self) -> Stand:
        out = frozenset(name for name, word in self.follower.machine.overrides.items() if word.out)
        return Stand(self.index, self.version, out)


def run(plan: Plan, pipe: Pipe) -> None:
    """A process of its own: runs until it is killed. Any message over the pipe is answered by how all stand."""
    log.LOGGER.setLevel(logging.CRITICAL)
    loop = Loop()
    settings, faults = settings_and_faults(JsonValues(plan.settings))
    assert settings is not None, faults
    words, lists = (Arrivals(kind, len(plan.names), pipe) for kind in (WORD, LIST))
    hollows = {name: Hollow(loop, name, plan, settings, words, lists) for name in plan.names}
    loop.spawn(_answer(pipe, lambda: {name: hollow.stand() for name, hollow in hollows.items()}))
    loop.run()


def _answer(pipe: Pipe, stands: Callable[[], dict[str, Stand]]) -> Coroutine[None]:
    while True:
        yield Wait(pipe, READABLE, None)
        pipe.recv()
        pipe.send(stands())
