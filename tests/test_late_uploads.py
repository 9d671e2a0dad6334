"""A server that reads a large request slowly: the final answer counts from the client's last byte."""

import re
import socket
import threading
import time

from scene import SidecarTest, address_of, entry, eventually, http_response

MIB = 1024 * 1024
DEADLINE = 2.0  # seconds
LATE = 0.5  # seconds past its deadline from which on a final answer is lost


class SlowReader:
    """A server that reads `rate` bytes a second, and answers each request with the size of its body."""

    def __init__(self, rate):
        self.rate = rate
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with sock:
            try:
                data = b""
                while b"\r\n\r\n" not in data:
                    data += sock.recv(4096)
                head, _, body = data.partition(b"\r\n\r\n")
                length, size = int(re.search(rb"(?i)content-length: (\d+)", head)[1]), len(body)
                while size < length and (data := sock.recv(64 * 1024)):
                    size += len(data)
                    time.sleep(len(data) / self.rate)
                sock.sendall(http_response(200, b"%d" % size))
            except OSError:
                pass


class LateUploadTest(SidecarTest):
    def upload(self, size, piece=0, pause=0.0):
        """Send a request of `size` bytes; return its status and the time from its last byte to its answer."""
        host, port = self.listen.split(":")
        head = (
            f"POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: u{time.monotonic_ns()}\r\nReq-Kind: apply-submit\r\n"
            f"Req-Deadline-Ms: {int(DEADLINE * 1000)}\r\nContent-Length: {size}\r\n\r\n"
        )
        with socket.create_connection((host, int(port)), timeout=30) as sock:
            sock.sendall(head.encode())
            for at in range(0, size, piece or size):
                sock.sendall(bytes(min(piece or size, size - at)))
                time.sleep(pause)
            written_at = time.monotonic()
            status = int(sock.recv(100).split(b" ", 2)[1])
            return status, time.monotonic() - written_at

    def start_before(self, rate):
        server = SlowReader(rate)
        self.addCleanup(server.listener.close)
        limits = {"sockets": 256, "memory_mb": 40}
        self.start(limits=limits, known=[entry("slow", address_of(server.listener))])
        self.assertTrue(eventually(lambda: self.health() == 200))

    def test_the_answer_to_a_large_request_is_not_late_because_its_server_reads_slowly(self):
        for size in (9 * MIB, 12 * MIB):
            with self.subTest(size):
                self.start_before(2 * MIB)
                self.assertLess(self.upload(size)[1], DEADLINE + LATE)

    def test_a_large_request_that_its_server_reads_in_time_is_served(self):
        self.start_before(64 * MIB)
        self.assertEqual(self.upload(12 * MIB)[0], 200)

    def test_a_large_request_that_its_client_writes_slowly_is_served(self):
        self.start_before(64 * MIB)
        self.assertEqual(self.upload(9 * MIB, piece=MIB, pause=0.6)[0], 200)
