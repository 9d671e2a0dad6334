"""A new process at the address of a server that has gone is not taken for the old one."""

import socket
import threading
import time

from scene import KEYED, ONCE, READ, SidecarTest, StubServer, entry, eventually, http_response, ok


def run_ids(server):
    """The ids that a server received, in order."""
    return [head.split("Req-Id: ")[1].split()[0] for head, *_ in server.seen]


class ReusedAddressTest(SidecarTest):
    def successor(self, server, answer=ok):
        """A new server process at the address of one that has ended."""
        host, port = server.address.split(":")
        successor = StubServer.__new__(StubServer)
        successor.answer, successor.seen, successor.ended_connections, successor.sockets = answer, [], [], []
        successor.listener = socket.create_server((host, int(port)))
        successor.address = server.address
        threading.Thread(target=successor._accept, daemon=True).start()
        self.addCleanup(successor.close)
        return successor

    def gone_with_requests(self):
        """Start two servers, the first of which ends with requests of each effect in flight; return their clients."""
        gate = threading.Event()
        self.addCleanup(gate.set)

        def hang(head, body):
            gate.wait(10)
            return

        self.start(hang, ok, known=None)
        return gate

    def test_requests_in_flight_at_an_old_process_do_not_run_at_the_new_one(self):
        """The list names the new process while their connections to the old one are still open."""
        gate = self.gone_with_requests()
        old = self.providers[0]
        self.discovery.entries = [entry("s0", old.address)]
        self.discovery.whole = True
        self.discovery.change()
        self.wait_until_list_read()
        statuses = {}

        def send(kind, number):
            statuses[f"{kind}-{number}"] = self.invoke(kind, 1500, request_id=f"{kind}-{number}")[0]

        threads = [threading.Thread(target=send, args=(kind, n)) for kind in (READ, ONCE, KEYED) for n in range(4)]
        for thread in threads:
            thread.start()
        self.assertTrue(eventually(lambda: len(old.seen) == len(threads)))
        with self.paused():
            old.close()
            new = self.successor(old)
            now_ms = int(time.time() * 1000)
            changed = [entry("s0", old.address, status="left"), entry("new", old.address, since_ms=now_ms)]
            self.discovery.entries, self.discovery.whole = [changed[1]], False
            self.discovery.change(*changed)
        for thread in threads:
            thread.join()
        gate.set()
        self.assertEqual([name for name in run_ids(new) if name.startswith(ONCE)], [])
        self.assertEqual(len(set(run_ids(new))), len(run_ids(new)), "no id comes twice to the new process")
        self.assertEqual(len(statuses), len(threads))

    def test_an_attempt_that_connects_as_the_address_changes_hands_is_not_sent_under_the_old_name(self):
        """The connection opens to the new process, which the list names by then; the request is decided anew."""
        self.start(ok, ok)
        old = self.providers[0]
        self.discovery.whole = True
        for number in range(5):
            with self.subTest(number):
                with self.paused():
                    client = self.client()
                    client.request("POST", "/api", b"{}", {"Req-Id": f"connects-{number}", "Req-Kind": ONCE})
                    old.close()
                    old = self.successor(old, lambda head, body: http_response(200, b"new"))
                    entries = [entry(f"new-{number}", old.address, since_ms=int(time.time() * 1000)), self.entries[1]]
                    self.discovery.entries = entries
                    self.discovery.change()
                self.assertIn(client.getresponse().status, (200, 502, 503))
                ran = run_ids(old) + run_ids(self.providers[1])
                self.assertLessEqual(ran.count(f"connects-{number}"), 1)

    def test_an_old_process_that_still_holds_its_connections_gets_no_request_once_a_new_start_is_told(self):
        """It is cut off or hangs: its connections are open and silent, and its name and address are the new one's."""
        self.start(ok)
        old = self.providers[0]
        for _ in range(3):
            self.assertEqual(self.invoke()[0], 200)
        time.sleep(0.1)
        before = len(old.seen)
        old.listener.shutdown(socket.SHUT_RDWR)
        old.listener.close()
        new = self.successor(old)
        changed = entry("s0", old.address, since_ms=int(time.time() * 1000))
        self.discovery.entries = [changed]
        self.discovery.change(changed)
        self.wait_until_list_read()
        # With a cold server and no other, some requests are rejected.
        self.assertTrue(eventually(lambda: self.invoke(ONCE)[0] == 200))
        self.assertEqual(len(old.seen), before)
        self.assertEqual(len(new.seen), 1)

    def test_a_server_that_restarts_under_its_name_gets_no_request_on_connections_to_the_old_process(self):
        """The list tells only a new start: what is idle leads to the process that has gone."""
        self.start(ok)
        old = self.providers[0]
        for _ in range(3):
            self.assertEqual(self.invoke()[0], 200)
        time.sleep(0.1)
        with self.paused():
            old.close()
            new = self.successor(old)
            changed = entry("s0", old.address, since_ms=int(time.time() * 1000))
            self.discovery.entries = [changed]
            self.discovery.change(changed)
        for number in range(5):
            self.assertEqual(self.invoke(ONCE, request_id=f"after-{number}")[0], 200)
        self.assertEqual(run_ids(new), [f"after-{number}" for number in range(5)])
