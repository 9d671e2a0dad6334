"""Tests of the network links that fail on command: what they pass on, hold back and reset."""

import socket
import threading
import time
import unittest

from scene import address_of, eventually, listener

from loftweir.standins.faults import Links


class LinkTest(unittest.TestCase):
    def setUp(self):
        self.links = Links()
        self.addCleanup(self.links.close)
        self.server = listener()
        self.addCleanup(self.server.close)
        self.link = self.links.add(address_of(self.server))

    def connect(self):
        host, port = self.link.address.split(":")
        client = socket.create_connection((host, int(port)), timeout=5)
        self.addCleanup(client.close)
        return client

    def connect_through(self):
        client = self.connect()
        self.server.settimeout(5)
        server_side, _ = self.server.accept()
        server_side.settimeout(5)
        self.addCleanup(server_side.close)
        return client, server_side

    def assert_nothing_arrives(self, sock):
        sock.settimeout(0.1)
        with self.assertRaises(TimeoutError):
            sock.recv(1)
        sock.settimeout(5)

    def receive(self, sock, size):
        data = b""
        while len(data) < size and (read := sock.recv(size - len(data))):
            data += read
        return data

    def test_data_passes_in_both_directions_and_ends_are_passed_on(self):
        client, server_side = self.connect_through()
        sent = bytes(range(256)) * 8192  # more than a link buffers
        writer = threading.Thread(target=client.sendall, args=(sent,))
        writer.start()
        self.assertEqual(self.receive(server_side, len(sent)), sent)
        writer.join(10)
        server_side.sendall(b"back")
        server_side.shutdown(socket.SHUT_WR)
        self.assertEqual(self.receive(client, 5), b"back")  # and the end
        client.sendall(b"still")  # the other direction stays open
        self.assertEqual(self.receive(server_side, 5), b"still")

    def test_a_blocked_link_holds_everything_back_until_it_is_healed(self):
        client, server_side = self.connect_through()
        self.link.block()
        client.sendall(b"forth")
        server_side.sendall(b"back")
        client.shutdown(socket.SHUT_WR)
        self.assert_nothing_arrives(server_side)
        self.assert_nothing_arrives(client)
        late = self.connect()  # the kernel accepts it, the link does not
        self.link.heal()
        self.assertEqual((self.receive(server_side, 6), self.receive(client, 4)), (b"forth", b"back"))
        late.sendall(b"x")
        self.server.settimeout(5)
        self.assertEqual(self.server.accept()[0].recv(1), b"x")

    def test_one_direction_alone_can_be_blocked(self):
        client, server_side = self.connect_through()
        self.link.block(forward=True, backward=False)
        client.sendall(b"forth")
        server_side.sendall(b"back")
        self.assertEqual(self.receive(client, 4), b"back")
        self.assert_nothing_arrives(server_side)

    def test_a_refusing_link_resets_open_connections_and_keeps_its_port(self):
        client, server_side = self.connect_through()
        self.link.refuse()
        for sock in (client, server_side):
            with self.assertRaises(ConnectionError):
                sock.recv(1)
        with self.assertRaises(ConnectionError):
            self.connect()
        self.link.heal()
        client, server_side = self.connect_through()
        client.sendall(b"again")
        self.assertEqual(self.receive(server_side, 5), b"again")

    def test_a_connection_to_no_server_is_reset(self):
        self.server.close()
        with self.assertRaises(ConnectionError):
            self.connect().recv(1)

    def test_data_is_delayed_by_at_least_the_given_time_and_stays_in_order(self):
        client, server_side = self.connect_through()
        self.link.delay(0.15)
        began = time.monotonic()
        client.sendall(b"a")
        time.sleep(0.02)
        client.sendall(b"b")
        client.shutdown(socket.SHUT_WR)
        self.assertEqual(self.receive(server_side, 3), b"ab")
        self.assertGreaterEqual(time.monotonic() - began, 0.17)

    def test_reset_after_passes_the_given_bytes_and_then_resets_all_connections(self):
        (client, server_side), (other, _) = self.connect_through(), self.connect_through()
        self.link.reset_after(after=3)
        client.sendall(b"abcdef")
        self.assertEqual(self.receive(server_side, 3), b"abc")
        for sock in (server_side, client, other):
            with self.assertRaises(ConnectionError):
                sock.recv(1)
        client, server_side = self.connect_through()  # the fault is over
        client.sendall(b"abcdef")
        self.assertEqual(self.receive(server_side, 6), b"abcdef")

    def test_corrupt_changes_one_byte(self):
        client, server_side = self.connect_through()
        self.link.corrupt(after=2, backward=True)
        server_side.sendall(b"abc")
        server_side.sendall(b"def")
        self.assertEqual(self.receive(client, 6), b"ab" + bytes([b"c"[0] ^ 0x10]) + b"def")

    def test_the_thread_is_idle_while_ended_connections_wait_behind_a_blocked_link(self):
        client, server_side = self.connect_through()
        self.link.block()
        client.close()
        server_side.close()
        time.sleep(0.05)
        began = time.process_time()
        time.sleep(0.3)
        self.assertLess(time.process_time() - began, 0.1)
        self.link.heal()
        self.assertTrue(eventually(lambda: not self.links._connections))
