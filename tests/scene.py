"""The one helper of the tests on sockets: the real program as a process, with toy parties round it."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from contextlib import contextmanager, suppress
from pathlib import Path

ROOT = Path(__file__).parent.parent
MS, SECOND = 1_000_000, 1_000_000_000
LEAST_PORT, PORT_TRIES = 10_000, 1_000
FIRST_EPHEMERAL_PORT = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
CHOICE = random.SystemRandom()  # tests seed the common one
READ, ONCE, KEYED = "status-read", "apply-submit", "place-confirm"


def profile(name, effect, scope="all"):
    times = {"target": 600 * MS, "hardLimit": 3 * SECOND, "window": 12 * SECOND}
    return {"name": name, "effect": effect, "dedupScope": scope, "stream": False, **times}


SETTINGS = {
    "zone": "a",
    "dcs": ["a", "b"],
    "discovery": "ask",
    "profiles": [profile(READ, "repeatable"), profile(ONCE, "once"), profile(KEYED, "by_key", "zone")],
    "allowed": {
        "connIdle": 2 * SECOND,
        "connectTimeout": 250 * MS,
        "maxAttempts": 3,
        "maxRetryAfter": 1500 * MS,
        "retryAfter": True,
        "secondCopies": False,
    },
    "safety": {
        "askWithin": 2 * SECOND,
        "coldFrom": 0.14,
        "fall": SECOND,
        "fallMultiple": 2.5,
        "graceToAnswer": 20 * MS,
        "stopSendingWithin": 750 * MS,
        "warmWithin": 24 * SECOND,
    },
}


def eventually(check, seconds=10):
    """Polls until `check` holds; what it last gave is returned either way."""
    end = time.monotonic() + seconds
    while not (found := check()) and time.monotonic() < end:
        time.sleep(0.01)
    return found


def listener():
    """A listening socket. Many are closed at once, and their address is left to a program that starts a moment later:
    so it has none of the ports that the system gives to connections, or to whoever asks for any port."""
    for _ in range(PORT_TRIES):
        with suppress(OSError):
            return socket.create_server(("127.0.0.1", CHOICE.randrange(LEAST_PORT, FIRST_EPHEMERAL_PORT)))
    raise OSError("no free port was found")


def address_of(sock):
    return "{}:{}".format(*sock.getsockname())


def http_response(status, body=b"", *headers):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class StubServer:
    """A server that hands each request to `self.answer`; bytes are sent, whole or as they are yielded; None closes the
    connection."""

    def __init__(self, answer):
        self.answer = answer
        self.seen = []  # (head, body, number of its connection)
        self.ends = []  # numbers of the connections that have ended
        self.sockets = []
        self.listener = listener()
        self.address = address_of(self.listener)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.append(sock)
            threading.Thread(target=self._serve, args=(sock, len(self.sockets)), daemon=True).start()

    def _serve(self, sock, number):
        try:
            file = sock.makefile("rb")
            while line := file.readline():
                head = line.decode()
                while (line := file.readline().decode()) not in ("\r\n", ""):
                    head += line
                fields = dict(field.lower().split(": ", 1) for field in head.splitlines()[1:])
                body = file.read(int(fields.get("content-length", 0)))
                self.seen.append((head, body, number))
                data = self.answer(head, body)
                if data is None:
                    break
                for piece in [data] if isinstance(data, bytes) else data:
                    sock.sendall(piece)
        except OSError:
            pass
        self.ends.append(number)
        for end in (lambda: sock.shutdown(socket.SHUT_RDWR), sock.close):
            with suppress(OSError):
                end()

    def close(self):
        """The process dies: its port refuses and its connections end."""
        for sock in (self.listener, *self.sockets):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def restart(self):
        """A new process, at the same address."""
        host, port = self.address.split(":")
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()


class StubDiscovery(StubServer):
    """Discovery: a list that tests change, and watches that wait for a change."""

    def __init__(self):
        self.index, self.entries, self.changed = 0, [], []
        self.calls_fail = self.whole = False
        self.news = threading.Condition()
        super().__init__(self._catalog)

    def _catalog(self, head, _):
        query = dict(part.split("=") for part in head.split()[1].partition("?")[2].split("&") if part)
        with self.news:
            after = int(query.get("after", -1))
            waited = self.news.wait_for(
                lambda: self.calls_fail or self.index > after, int(query.get("wait_ms", 0)) / 1000
            )
            if self.calls_fail:
                return http_response(503)
            whole = after < 0 or self.whole
            entries = self.entries if whole else self.changed if waited else []
            return http_response(200, list_body(self.index, entries, whole))

    def change(self, *entries):
        with self.news:
            self.index, self.changed = self.index + 1, list(entries)
            self.news.notify_all()

    def fail(self, on):
        with self.news:
            self.calls_fail = on
            self.news.notify_all()


def list_body(index, entries, whole):
    return json.dumps({"index": index, "snapshot": whole, "endpoints": entries}).encode()


def entry(name, address, zone="a", status="active", since_ms=0):
    place = {"name": name, "address": address, "zone": zone, "type": "m", "group": 0}
    return {**place, "status": status, "weight": 1.0, "since_ms": since_ms}


class SidecarTest(unittest.TestCase):
    """Starts the program with the providers a test names; all of it ends with the test."""

    environment: dict[str, str] = {}
    operator: str | None = None  # the text of the operator's file, where a test has one
    stderr = None  # where the log goes, instead of a file
    command = [sys.executable, "-m", "loftweir"]

    def start(self, *answers, known=None, fault="", **changes):
        self.catalog = StubDiscovery()
        self.providers = [StubServer(answer) for answer in answers]
        for party in (self.catalog, *self.providers):
            self.addCleanup(party.close)
        self.entries = [entry(f"s{n}", p.address) for n, p in enumerate(self.providers)]
        self.catalog.entries = self.entries if known is None else known
        with listener() as free:
            self.listen = address_of(free)
        self.environment = {"RELAY_DISCOVERY": self.catalog.address}
        self.config = {
            "name": "n0",
            "listen": self.listen,
            "discovery": self.catalog.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": json.loads(list_body(0, self.catalog.entries, True)),
            "settings": SETTINGS,
        }
        self.config |= changes
        self.run_program(json.dumps(self.config), fault)
        if not changes and self.catalog.entries:
            self.assertEqual(eventually(lambda: self.health() == 200), True, self.log())

    def run_program(self, config, fault=""):
        """`fault` is code run before the program, to break a part of it."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "config.json")
        self.path.write_text(config, encoding="utf-8")
        self.errors = Path(folder.name, "log")
        Path(folder.name, "sitecustomize.py").write_text(fault, encoding="utf-8")
        self.operator_path = Path(folder.name, "loftweir.toml")
        if self.operator is not None:
            self.operator_path.write_text(self.operator, encoding="utf-8")
            self.environment = self.environment | {"LOFTWEIR_OPERATOR": str(self.operator_path)}
        self.program = self.launch()

    def launch(self, pass_fds=(), **environment):
        """One process of the program, on the files of this test; the log of all of them is one."""
        folder = str(self.path.parent)
        settings = {"RELAY_CONFIG": str(self.path), "PYTHONPATH": f"{folder}:{ROOT}"} | self.environment | environment
        with self.errors.open("ab") as errors:
            program = subprocess.Popen(
                self.command,
                env=os.environ | settings,
                stderr=self.stderr or errors,
                cwd=folder,
                pass_fds=pass_fds,
            )
        self.addCleanup(program.wait, 10)
        self.addCleanup(program.kill)
        return program

    def log(self):
        return self.errors.read_text()

    def logged(self, event):
        """The records of an event that the program has logged so far."""
        records = [json.loads(line) for line in self.log().splitlines() if line.endswith("}")]
        return [record for record in records if record["event"] == event]

    def wait_until_list_read(self):
        """The program has read the list as it is now: it asks for what comes after that."""
        asked = f"after={self.catalog.index}&"
        self.assertTrue(eventually(lambda: any(asked in head for head, *_ in self.catalog.seen)), self.log())

    def client(self):
        client = http.client.HTTPConnection(self.listen, timeout=10)
        self.addCleanup(client.close)
        return client

    def health(self):
        try:
            return self.send_request("GET", "/_health")[0]
        except OSError:
            return 0

    def send_request(self, method, target, headers=None, body=None, client=None):
        client = client or self.client()
        chunked = "Transfer-Encoding" in (headers or {})
        client.request(method, target, body, headers or {}, encode_chunked=chunked)
        response = client.getresponse()
        return response.status, response.read(), response

    def invoke(self, kind=READ, deadline_ms=2000, target="/api", body=None, client=None, request_id=None):
        headers = {"Req-Id": request_id or os.urandom(8).hex(), "Req-Kind": kind}
        headers["Req-Deadline-Ms"] = str(deadline_ms)
        if kind == KEYED:
            headers["Idempotency-Key"] = os.urandom(8).hex()
        method = "GET" if kind == READ else "POST"
        return self.send_request(method, target, headers, body if body or kind == READ else b"{}", client)

    def send_raw(self, data):
        """Sends bytes on a fresh connection, gives back all that comes until its end."""
        host, port = self.listen.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(data)
            return b"".join(iter(lambda: sock.recv(65536), b""))

    @contextmanager
    def paused(self, program=None):
        """The program gets no turn meanwhile: all that is done to it waits in the kernel, and is there at once when it
        is let go. So a crossing is forced: both sides of it have happened before either is looked at."""
        program = program or self.program
        program.send_signal(signal.SIGSTOP)
        state = Path(f"/proc/{program.pid}/stat")
        self.assertTrue(eventually(lambda: state.read_text().rpartition(") ")[2][0] == "T"))
        try:
            yield
        finally:
            program.send_signal(signal.SIGCONT)

    def terminate(self):
        self.program.send_signal(signal.SIGTERM)

    def reload(self, config):
        """Replaces the configuration and tells the program."""
        self.path.write_text(config, encoding="utf-8")
        self.program.send_signal(signal.SIGHUP)


def ok(head, body):
    return http_response(200, b"served " + body)


def answer_after(gate):
    """An answer that waits until the test opens the gate."""

    def answer(head, body):
        gate.wait(10)
        return ok(head, body)

    return answer
