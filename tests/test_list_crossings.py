"""Lists that cross: an older one that arrives after a newer change, other addresses, versions counted anew, and a
server told as leaving between two lines of an attempt."""

import json
import socket
import threading
import time
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from scene import (
    ONCE,
    SECOND,
    SETTINGS,
    SidecarTest,
    StubServer,
    address_of,
    answer_after,
    entry,
    eventually,
    http_response,
    list_body,
    ok,
)
from support import settings
from test_list_clock import Clock

from loftweir.config.model import Options
from loftweir.http1.back import Backend, Pool
from loftweir.http1.discovery import Discovery, ListResponse
from loftweir.interface import Endpoint, Lifecycle, MembershipUpdate, UpdateKind
from loftweir.listclock import NOTIFIED_AFTER
from loftweir.net.loop import MAX_TURN_TIME, MS, READABLE, Loop, Wait


class Crossed(Discovery):
    """A watch past 40 and a fetch, out at once in virtual time; what is told is kept as versions."""

    def __init__(self, fetched, watched):
        self.versions, self.fetched, self.watched = [], fetched, watched
        super().__init__(Clock(), "here", Options(), lambda update, _: self.versions.append(update.version))
        self.version = 40
        self.watch(True)
        self.fetch()
        self.loop.run(300 * MS)

    def _connect(self, address, until):
        yield Wait(None, 0, self.loop.now())

    def _call(self, sock, target, until):
        after = target.partition("after=")[2].partition("&")[0]
        whole, version = not after, max(self.watched, int(after)) if after else self.fetched
        kind = UpdateKind.FULL if whole else UpdateKind.CHANGES
        yield Wait(None, 0, self.loop.now() + (200 if whole else 50) * MS)
        member = Endpoint("s0", "a", "m", 0, Lifecycle.READY, 1.0, 0)
        return ListResponse(MembershipUpdate(kind, (member,), version), {"s0": "here"}, True, self.loop.now())


@pytest.mark.parametrize("fetched, watched, told", [(41, 42, [42]), (42, 42, [42]), (43, 42, [42, 43])])
def test_a_fetch_that_a_watch_has_overtaken_is_told_only_where_it_is_newer(fetched, watched, told):
    crossed = Crossed(fetched, watched)
    assert [version for n, version in enumerate(crossed.versions) if version not in crossed.versions[:n]] == told
    assert crossed.version == max(told)


def leaving(listed):
    return listed | {"status": "leaving"}


class Listed(SidecarTest):
    """Two servers, each answering its number, and a watch that stands at version 41."""

    operator = '[log]\nlevel = "debug"\nrepeat_every = "0s"\n'

    def setUp(self):
        self.start(lambda head, body: http_response(200, b"0"), lambda head, body: http_response(200, b"1"))
        self.gate = threading.Event()
        self.addCleanup(self.gate.set)
        with self.catalog.condition:
            self.catalog.index = 40
        self.catalog.change()
        self.assertTrue(eventually(lambda: any("after=41&wait" in head for head, *_ in self.catalog.seen)), self.log())

    def party(self, answer):
        party = StubServer(answer)
        self.addCleanup(party.close)
        return party

    def silent(self):
        return self.party(answer_after(self.gate))

    def moves_to(self, party):
        before = len(self.logged("reload.done"))
        self.config["discovery"] = party.address
        self.reload(json.dumps(self.config))
        self.assertTrue(eventually(lambda: len(self.logged("reload.done")) > before), self.log())
        self.assertTrue(eventually(lambda: party.seen or not party.listener.fileno()), self.log())

    def told(self, kind="changes"):
        return [record for record in self.logged("discovery.list") if record["kind"] == kind and record["changes"]]

    def nothing_goes_to_the_first(self):
        """Counted where it would arrive: a machine under load may be late, and requests then be refused."""
        before = len(self.providers[0].seen)
        answers = {self.invoke()[1] for _ in range(8)}
        self.assertEqual(len(self.providers[0].seen), before, self.log())
        self.assertIn(b"1", answers)


class MovedTest(Listed):
    def test_an_older_whole_list_of_the_new_address_brings_no_drained_server_back(self):
        """It was written before the change that the old watch has brought meanwhile; the next call is not answered."""
        changed = threading.Event()
        self.addCleanup(changed.set)

        def catalog(head, body):
            if len(new.seen) == 1:
                changed.wait(10)
                return http_response(200, list_body(5, self.entries, True))
            return answer_after(self.gate)(head, body)

        new = self.party(catalog)
        self.moves_to(new)
        self.catalog.change(leaving(self.entries[0]))
        self.assertTrue(eventually(self.told), self.log())
        changed.set()
        self.assertTrue(eventually(lambda: len(new.seen) > 1), self.log())
        self.nothing_goes_to_the_first()

    def test_a_new_address_that_failed_first_is_asked_for_its_whole_list(self):
        new = self.party(lambda head, body: http_response(503))
        self.moves_to(new)
        self.assertTrue(eventually(lambda: len(new.seen) > 1), self.log())
        self.assertNotIn("after=", new.seen[1][0], "versions of the address left mean nothing here")

    def test_a_change_on_the_old_watch_counts_after_the_address_was_left_and_come_back_to(self):
        """The new call there is held until the old watch has told the change."""
        catalog = self.catalog.answer
        self.catalog.answer = lambda head, body: (
            catalog(head, body) if "after" in head else answer_after(self.gate)(head, body)
        )
        self.moves_to(self.silent())
        calls = len(self.catalog.seen)
        self.moves_to(self.catalog)
        self.assertTrue(eventually(lambda: len(self.catalog.seen) > calls), self.log())
        self.catalog.change(leaving(self.entries[0]))
        self.assertTrue(eventually(self.told, 3), self.log())
        self.nothing_goes_to_the_first()
        self.assertFalse(self.logged("coroutine.broken"))

    def test_a_change_on_the_old_watch_counts_after_two_moves_whose_calls_are_not_answered(self):
        self.moves_to(self.silent())
        self.moves_to(self.silent())
        self.catalog.change(leaving(self.entries[0]))
        self.assertTrue(eventually(self.told, 3), self.log())
        self.nothing_goes_to_the_first()

    def test_a_change_that_is_there_with_the_signal_counts(self):
        new = self.silent()
        self.config["discovery"] = new.address
        with self.paused():
            self.catalog.change(leaving(self.entries[0]))
            time.sleep(0.1)  # it is written while the program is held, so before the signal is seen
            self.reload(json.dumps(self.config))
        self.assertTrue(eventually(lambda: new.seen and self.told()), self.log())
        self.nothing_goes_to_the_first()

    def test_a_move_while_discovery_is_down_is_heard_at_once(self):
        self.catalog.close()
        self.assertTrue(eventually(lambda: self.logged("discovery.watch_failed")), self.log())
        moved = [leaving(self.entries[0]), self.entries[1]]
        self.moves_to(self.party(lambda head, body: http_response(200, list_body(2, moved, True))))
        self.assertTrue(eventually(lambda: self.told("full"), 1), self.log())
        self.nothing_goes_to_the_first()


class RestartedTest(Listed):
    def test_a_discovery_that_counts_versions_anew_is_asked_for_its_whole_list(self):
        self.catalog.close()
        self.assertTrue(eventually(lambda: self.logged("discovery.watch_failed")), self.log())
        self.catalog.index, self.catalog.entries = 3, [leaving(self.entries[0]), self.entries[1]]
        self.catalog.restart()
        self.assertTrue(eventually(lambda: self.told("full"), NOTIFIED_AFTER / SECOND), self.log())
        self.nothing_goes_to_the_first()


class AttemptTest(SidecarTest):
    """A server is told as leaving while an attempt on it is under way. Between the look for a resting connection and
    the first byte written on it the program does nothing else: there is no crossing to force."""

    def test_a_connection_that_comes_up_after_it_carries_nothing(self):
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(full.close)
        waiting = [socket.create_connection(full.getsockname())]
        self.addCleanup(waiting[0].close)
        other = StubServer(lambda head, body: http_response(200, b"other"))
        self.addCleanup(other.close)
        only = entry("s0", address_of(full))
        allowed = SETTINGS["allowed"] | {"connectTimeout": 5 * SECOND}
        safety = SETTINGS["safety"] | {"stopSendingWithin": 100_000_000}
        self.start(known=[only], settings=SETTINGS | {"allowed": allowed, "safety": safety})
        self.assertTrue(eventually(lambda: self.catalog.seen and self.health() == 200), self.log())
        found = []
        thread = threading.Thread(target=lambda: found.append(self.invoke(ONCE, 3000)))
        thread.start()
        self.addCleanup(thread.join)
        self.assertTrue(eventually(lambda: self.syn_sent(full)), "no attempt begins")
        calls = len(self.catalog.seen)
        self.catalog.change(leaving(only), entry("s1", other.address))
        self.assertTrue(eventually(lambda: len(self.catalog.seen) > calls), self.log())
        full.settimeout(5)
        first, _ = full.accept()
        self.addCleanup(first.close)
        late, _ = full.accept()
        self.addCleanup(late.close)
        late.settimeout(5)
        self.assertEqual(late.recv(4096), b"", "a request was sent to a server that leaves")
        thread.join(5)
        self.assertEqual(found and found[0][:2], (200, b"other"))

    @staticmethod
    def syn_sent(listener):
        """Whether a connection to it waits for its answer: the kernel's word for what no peer can see."""
        remote = f"0100007F:{listener.getsockname()[1]:04X}"
        with open("/proc/net/tcp", encoding="ascii") as table:
            return any(line.split()[2:4] == [remote, "02"] for line in table)

    def test_a_request_half_written_is_finished_and_sent_once(self):
        with socket.create_server(("127.0.0.1", 0)) as slow:
            other = StubServer(ok)
            self.addCleanup(other.close)
            only = entry("s0", address_of(slow))
            self.start(known=[only], settings=SETTINGS)
            self.assertTrue(eventually(lambda: self.catalog.seen and self.health() == 200), self.log())
            found, body = [], b"x" * (8 << 20)
            thread = threading.Thread(target=lambda: found.append(self.invoke(ONCE, 3000, body=body)))
            thread.start()
            self.addCleanup(thread.join)
            slow.settimeout(5)
            sock, _ = slow.accept()
            self.addCleanup(sock.close)
            sock.settimeout(5)
            data = sock.recv(4096)
            calls = len(self.catalog.seen)
            self.catalog.change(leaving(only), entry("s1", other.address))
            self.assertTrue(eventually(lambda: len(self.catalog.seen) > calls), self.log())
            head, _, rest = data.partition(b"\r\n\r\n")
            size = len(rest)
            while size < len(body):
                size += len(sock.recv(1 << 20))
            sock.sendall(http_response(200, b"whole"))
            thread.join(5)
            self.assertEqual(found and found[0][:2], (200, b"whole"), self.log())
            self.assertEqual(other.seen, [])


# ---- a process that is behind, and long lists ---------------------------------------------------------


@pytest.mark.parametrize("queue", ["runnable", "new_work"])
def test_a_list_that_is_there_goes_before_the_requests_that_wait(queue):
    """The requests that wait to be decided are begun once the list is told, however slow each of them is."""
    loop, begun, told = Loop(), [], []
    listener = socket.create_server(("127.0.0.1", 0))
    discovery = Discovery(loop, address_of(listener), Options(), lambda update, _: told.append(len(begun)))

    def serve():
        yield Wait(listener, READABLE, None)
        connection, _ = listener.accept()
        yield Wait(connection, READABLE, None)
        connection.recv(1000)

        def request():
            if not begun:
                connection.send(http_response(200, list_body(1, [entry("s0", "127.0.0.1:1", status="leaving")], True)))
            begun.append(time.sleep(MAX_TURN_TIME / SECOND))
            loop.stopped = loop.stopped or len(begun) == 64

        getattr(loop, queue).extend([request] * 64)

    loop.spawn(serve())
    discovery.fetch()
    loop.run()
    assert told and told[0] <= 2


def providers(count, lifecycle=Lifecycle.READY):
    endpoints = tuple(Endpoint(f"s{n}", "a", "m", 0, lifecycle, 1.0, 0) for n in range(count))
    return endpoints, {f"s{n}": f"127.0.0.1:{n + 1}" for n in range(count)}


def test_a_long_whole_list_is_taken_in_time_that_goes_with_its_length():
    """Each entry was compared with each: 180 ms of processor time for 1,024, in which nothing else is read."""

    def takes(count):
        endpoints, addresses = providers(count)
        update = MembershipUpdate(UpdateKind.FULL, endpoints, 1)
        spent = []
        for _ in range(3):
            back = Backend(Loop(), settings(), Options(), 8, 1 << 20)
            began = time.process_time_ns()
            back.update_list(update, addresses)
            back.update_list(update, addresses)
            spent.append(time.process_time_ns() - began)
        return min(spent)

    assert takes(4000) < 80 * takes(250), "sixteen times as long"


def test_of_two_entries_for_one_server_in_one_list_the_later_one_holds():
    back = Backend(Loop(), settings(), Options(), 8, 1 << 20)
    endpoints, addresses = providers(1)
    left = replace(endpoints[0], lifecycle=Lifecycle.DRAINING)
    back.update_list(MembershipUpdate(UpdateKind.CHANGES, (*endpoints, left), 2), addresses)
    assert not back.pool.addresses
    back.update_list(MembershipUpdate(UpdateKind.CHANGES, (left, *endpoints), 3), addresses)
    assert back.pool.addresses == addresses


@given(st.lists(st.tuples(st.sampled_from("abcd"), st.integers(0, 4)), max_size=30))
def test_an_address_is_that_of_the_one_that_took_it_last(moves):
    pool, whole = Pool(Loop(), settings(), Options(), 8), {}
    for name, number in moves:
        if number:
            whole = {n: a for n, a in whole.items() if a != str(number) and n != name} | {name: str(number)}
            pool.set_address(name, str(number))
        else:
            whole.pop(name, None)
            pool.remove_provider(name)
        assert pool.addresses == whole and pool.names_by_address == {a: n for n, a in whole.items()}
