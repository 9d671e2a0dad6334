"""Links that fail on command: what passes, what is held, what is reset."""

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
        near = socket.create_connection((host, int(port)), timeout=5)
        self.addCleanup(near.close)
        return near

    def pair(self):
        near = self.connect()
        self.server.settimeout(5)
        far, _ = self.server.accept()
        far.settimeout(5)
        self.addCleanup(far.close)
        return near, far

    def nothing_comes(self, sock):
        sock.settimeout(0.1)
        with self.assertRaises(TimeoutError):
            sock.recv(1)
        sock.settimeout(5)

    def take(self, sock, size):
        data = b""
        while len(data) < size and (read := sock.recv(size - len(data))):
            data += read
        return data

    def test_all_passes_both_ways_and_ends_are_passed_on(self):
        near, far = self.pair()
        sent = bytes(range(256)) * 8192  # more than is held on the way
        writer = threading.Thread(target=near.sendall, args=(sent,))
        writer.start()
        self.assertEqual(self.take(far, len(sent)), sent)
        writer.join(10)
        far.sendall(b"back")
        far.shutdown(socket.SHUT_WR)
        self.assertEqual(self.take(near, 5), b"back")  # and its end
        near.sendall(b"still")  # the other way goes on
        self.assertEqual(self.take(far, 5), b"still")

    def test_a_silent_link_holds_everything_until_it_is_healed(self):
        near, far = self.pair()
        self.link.block()
        near.sendall(b"forth")
        far.sendall(b"back")
        near.shutdown(socket.SHUT_WR)
        self.nothing_comes(far)
        self.nothing_comes(near)
        late = self.connect()  # the kernel takes it, and nobody answers
        self.link.heal()
        self.assertEqual((self.take(far, 6), self.take(near, 4)), (b"forth", b"back"))
        late.sendall(b"x")
        self.server.settimeout(5)
        self.assertEqual(self.server.accept()[0].recv(1), b"x")

    def test_one_way_alone_can_be_silent(self):
        near, far = self.pair()
        self.link.block(forward=True, backward=False)
        near.sendall(b"forth")
        far.sendall(b"back")
        self.assertEqual(self.take(near, 4), b"back")
        self.nothing_comes(far)

    def test_a_refusing_link_resets_what_is_open_and_keeps_its_port(self):
        near, far = self.pair()
        self.link.refuse()
        for sock in (near, far):
            with self.assertRaises(ConnectionError):
                sock.recv(1)
        with self.assertRaises(ConnectionError):
            self.connect()
        self.link.heal()
        near, far = self.pair()
        near.sendall(b"again")
        self.assertEqual(self.take(far, 5), b"again")

    def test_nobody_at_the_other_end_is_a_reset(self):
        self.server.close()
        with self.assertRaises(ConnectionError):
            self.connect().recv(1)

    def test_a_delay_is_at_least_what_it_says_and_keeps_the_order(self):
        near, far = self.pair()
        self.link.delay(0.15)
        began = time.monotonic()
        near.sendall(b"a")
        time.sleep(0.02)
        near.sendall(b"b")
        near.shutdown(socket.SHUT_WR)
        self.assertEqual(self.take(far, 3), b"ab")
        self.assertGreaterEqual(time.monotonic() - began, 0.17)

    def test_a_cut_comes_after_so_many_bytes_and_resets_all(self):
        (near, far), (other, _) = self.pair(), self.pair()
        self.link.reset_after(after=3)
        near.sendall(b"abcdef")
        self.assertEqual(self.take(far, 3), b"abc")
        for sock in (far, near, other):
            with self.assertRaises(ConnectionError):
                sock.recv(1)
        near, far = self.pair()  # and is over
        near.sendall(b"abcdef")
        self.assertEqual(self.take(far, 6), b"abcdef")

    def test_damage_is_of_one_byte(self):
        near, far = self.pair()
        self.link.corrupt(after=2, backward=True)
        far.sendall(b"abc")
        far.sendall(b"def")
        self.assertEqual(self.take(near, 6), b"ab" + bytes([b"c"[0] ^ 0x10]) + b"def")

    def test_an_idle_thread_takes_no_time_whatever_has_ended_behind_a_silent_link(self):
        near, far = self.pair()
        self.link.block()
        near.close()
        far.close()
        time.sleep(0.05)
        began = time.process_time()
        time.sleep(0.3)
        self.assertLess(time.process_time() - began, 0.1)
        self.link.heal()
        self.assertTrue(eventually(lambda: not self.links._connections))
