"""A watch on discovery that falls silent: what it misses is learnt before it binds, also past one failed fresh call."""

import heapq
import json
import random
import threading
import time
from itertools import chain, repeat

import pytest
from scene import SETTINGS, Scene, as_list, eventually, reply
from support import MS, SECOND

from loftweir import listclock
from loftweir.config.model import Discovery as Figures
from loftweir.config.model import Options, contradictions
from loftweir.http1.discovery import CallFailed, Discovery, Silent
from loftweir.interface import MembershipUpdate, UpdateKind
from loftweir.net.loop import Wait

GRACE = 750 * MS


class Clock:
    """The loop as discovery's side uses it, in virtual time."""

    def __init__(self):
        self.time, self.order, self.heap = 0, 0, []

    def now(self):
        return self.time

    def spawn(self, coroutine, crashed=None):
        self.order += 1
        heapq.heappush(self.heap, (self.time, self.order, coroutine))

    def close(self, sock):
        pass

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.time, _, coroutine = heapq.heappop(self.heap)
            wait = next(coroutine, None)
            if wait is not None:
                self.order += 1
                heapq.heappush(self.heap, (max(self.time, wait.until), self.order, coroutine))


class Calls(Discovery):
    """Discovery's side over calls that are answered by a script: each says after how long and what, None: silent."""

    def __init__(self, options, script):
        self.told_at, self.failed_at, self.script = [], [], iter(script)
        super().__init__(Clock(), "here", options, self._told)
        self.drain_grace = GRACE

    def _told(self, update, _):
        (self.failed_at if update.kind is UpdateKind.FAILED else self.told_at).append(self.loop.now())

    def _connect(self, address, until):
        yield Wait(None, 0, self.loop.now() + MS)
        return None

    def _call(self, sock, target, until):
        after, outcome = next(self.script)
        if after is None:
            yield Wait(None, 0, until)
            raise Silent("silent")
        yield Wait(None, 0, self.loop.now() + after)
        if outcome == "fails":
            raise CallFailed("answered 503")
        return MembershipUpdate(UpdateKind.CHANGES, (), outcome), {}, True


SILENT = (None, None)


@pytest.mark.parametrize("first_fails", [(), (SILENT,), ((20 * MS, "fails"),)], ids=["answered", "silent", "fails"])
def test_the_news_of_a_silent_watch_come_before_they_bind_for_any_figures_that_are_taken(first_fails):
    rng, taken = random.Random(7), 0
    for _ in range(500):
        wait, silent_after = rng.randrange(100, 20_000) * MS, rng.randrange(50, 4_000) * MS
        options = Options(discovery=Figures(wait=wait, silent_after=silent_after))
        if list(contradictions(options)):
            assert silent_after > listclock.longest_silence(wait)
            continue
        taken += 1
        answers = rng.randrange(0, 4)  # calls that are answered before the one that falls silent as it is asked
        script = [(rng.randrange(1, wait), n + 1) for n in range(answers)]
        # The fresh answer comes as late as a busy discovery may give it.
        script += [SILENT, *first_fails, (listclock.LEAST - 2 * MS, 99)]
        calls = Calls(options, chain(script, repeat(SILENT)))
        calls.version = 0
        calls.watch(True)
        asked = MS + sum(max(after, 100 * MS) for after, _ in script[:answers])
        calls.loop.run(asked + listclock.told_after(wait) + GRACE)
        assert len(calls.told_at) == answers + 1, (wait, silent_after)
        assert calls.version == 99
    assert taken > 100


@pytest.mark.parametrize("script, asks", [([SILENT] * 3, 3), ([(MS, "fails")], 1)], ids=["silent", "down"])
def test_a_poll_and_a_watch_that_stay_silent_end_with_the_balancers_own_asking(script, asks):
    for method in ("fetch", "watch"):
        calls = Calls(Options(), script)
        calls.fetch() if method == "fetch" else calls.watch(True)
        calls.loop.run(listclock.told_after(0) + GRACE)
        assert len(calls.failed_at) == 1 and not calls.told_at
        assert next(calls.script, None) is None


def test_the_news_of_a_silent_poll_come_before_they_bind():
    calls = Calls(Options(), [SILENT, SILENT, (listclock.LEAST, 1)])
    calls.fetch()
    calls.loop.run(listclock.told_after(0) + GRACE)
    assert len(calls.told_at) == 1 and not calls.failed_at


def test_figures_that_cannot_keep_the_clock_are_faults_that_say_so():
    found = dict(contradictions(Options(discovery=Figures(wait=10 * SECOND, silent_after=2 * SECOND))))
    assert "at most 1s" in found["discovery.silent_after"] and "counts as told" in found["discovery.silent_after"]
    assert "discovery.answer_within" in dict(contradictions(Options(discovery=Figures(answer_within=6 * SECOND))))
    assert not list(contradictions(Options()))


class SilentDiscovery(Scene):
    """The real program: the watch falls silent, or its answer trickles, while its provider begins to drain; the first
    fresh call fails. The balancer's own next asking is far off."""

    operator = '[discovery]\nwait = "4s"\n'

    def falls_silent(self, answer):
        gate, calls = threading.Event(), []
        self.addCleanup(gate.set)
        self.start(lambda head, body: reply(200, b"0"), lambda head, body: reply(200, b"1"))
        self.assertTrue(eventually(lambda: any("after=" in head for head, *_ in self.catalog.seen)), self.log())
        self.config["settings"] = SETTINGS | {"safety": SETTINGS["safety"] | {"askWithin": 60 * SECOND}}
        self.reload(json.dumps(self.config))
        self.assertTrue(eventually(lambda: self.logged("reload.done")), self.log())

        def catalog(head, _):
            calls.append(time.monotonic())
            if len(calls) == 1:
                return answer(gate)
            if len(calls) == 2:
                return reply(503)
            return reply(200, as_list(2 + len(calls), [self.entries[0] | {"status": "leaving"}], False))

        self.catalog.answer = catalog
        self.catalog.change()  # the watch that stands is answered, and the next one falls silent
        self.assertTrue(eventually(lambda: calls, 5))
        told = calls[0] + listclock.told_after(4 * SECOND) / SECOND
        self.assertEqual({self.invoke()[1] for _ in range(8)}, {b"0", b"1"})
        time.sleep(max(0.0, told + GRACE / SECOND - time.monotonic()))
        self.assertEqual({self.invoke()[1] for _ in range(8)}, {b"1"}, self.log())

    def test_a_silent_watch(self):
        self.falls_silent(lambda gate: gate.wait(30) and b"")

    def test_an_answer_that_trickles(self):
        def trickle(gate):
            body = as_list(1, self.entries, True)
            yield f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            for at in range(len(body)):
                yield body[at : at + 1]
                if gate.wait(0.25):
                    return

        self.falls_silent(trickle)
