"""Test helper: runs the real program as a process, with stub providers, a stub discovery and test clients."""

import http.client
import json
import os
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

from loftweir.standins.addresses import Addresses

ROOT = Path(__file__).parent.parent
MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
ADDRESSES = Addresses()
# The classes of the tests.
READ = "status-read"  # may be retried
ONCE = "apply-submit"  # must run once
KEYED = "place-confirm"  # duplicates are dropped by key


def profile(name, effect, scope="all"):
    """A class of requests as the settings have it."""
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
    """Poll until `check()` is true or the time is up; return its last result in both cases."""
    end = time.monotonic() + seconds
    while not (result := check()) and time.monotonic() < end:
        time.sleep(0.01)
    return result


def listener():
    """A listening socket; many are closed at once, so that a program that starts a moment later can use the address."""
    return ADDRESSES.listener()


def address_of(sock):
    """The local address of a socket, as `host:port`."""
    return "{}:{}".format(*sock.getsockname())


def http_response(status, body=b"", *headers):
    """The bytes of a response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def responses(sock):
    """Yield the status and the Connection field of each response until the connection ends, not with a reset."""
    while sock.recv(1, socket.MSG_PEEK):
        response = http.client.HTTPResponse(sock)
        response.fp = sock.makefile("rb", buffering=0)  # reads no byte of the next one
        response.begin()
        response.read()
        yield response.status, response.getheader("Connection")


class StubServer:
    """A server that calls `self.answer` for each request.

    The bytes that it returns or yields are sent; None closes the connection.
    """

    def __init__(self, answer):
        self.answer = answer
        self.seen = []  # (head, body, number of its connection)
        self.ended_connections = []  # numbers of the connections that have ended
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
        self.ended_connections.append(number)
        for end in (lambda: sock.shutdown(socket.SHUT_RDWR), sock.close):
            with suppress(OSError):
                end()

    def close(self):
        """End like a process that dies: the port refuses connections, and open ones are closed."""
        for sock in (self.listener, *self.sockets):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def restart(self):
        """Listen again at the same address, like a new process."""
        host, port = self.address.split(":")
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()


class StubDiscovery(StubServer):
    """A stub of discovery: a list that tests change, and watches that wait for a change."""

    def __init__(self):
        self.index, self.entries, self.changed = 0, [], []
        self.calls_fail = self.whole = False
        self.condition = threading.Condition()
        super().__init__(self._respond)

    def _respond(self, head, _):
        query = dict(part.split("=") for part in head.split()[1].partition("?")[2].split("&") if part)
        with self.condition:
            after = int(query.get("after", -1))
            waited = self.condition.wait_for(
                lambda: self.calls_fail or self.index > after, int(query.get("wait_ms", 0)) / 1000
            )
            if self.calls_fail:
                return http_response(503)
            whole = after < 0 or self.whole
            entries = self.entries if whole else self.changed if waited else []
            return http_response(200, list_body(self.index, entries, whole))

    def change(self, *entries):
        """Make a new version of the list, in which these entries changed; tests set `entries` themselves."""
        with self.condition:
            self.index, self.changed = self.index + 1, list(entries)
            self.condition.notify_all()

    def fail(self, on):
        """Have all calls fail, or succeed again."""
        with self.condition:
            self.calls_fail = on
            self.condition.notify_all()


def list_body(index, entries, whole):
    """The body of a response of discovery."""
    return json.dumps({"index": index, "snapshot": whole, "endpoints": entries}).encode()


def entry(name, address, zone="a", status="active", since_ms=0):
    """An entry of the list, as discovery writes it."""
    place = {"name": name, "address": address, "zone": zone, "type": "m", "group": 0}
    return {**place, "status": status, "weight": 1.0, "since_ms": since_ms}


class SidecarTest(unittest.TestCase):
    """A test case that starts the program with stub providers; all of it ends with the test."""

    environment: dict[str, str] = {}
    operator: str | None = None  # the text of the operator's file, if a test has one
    stderr = None  # where the log is written, instead of a file
    command = [sys.executable, "-m", "loftweir"]

    def start(self, *answers, known=None, fault="", **changes):
        """Start a stub discovery, a stub server for each of `answers`, and the program.

        `known`: the entries of the list in the configuration, by default one for each server. `changes` replace parts
        of the configuration. `fault`: see `run_program`.
        """
        self.discovery = StubDiscovery()
        self.providers = [StubServer(answer) for answer in answers]
        for server in (self.discovery, *self.providers):
            self.addCleanup(server.close)
        self.entries = [entry(f"s{n}", p.address) for n, p in enumerate(self.providers)]
        self.discovery.entries = self.entries if known is None else known
        with listener() as free:
            self.listen = address_of(free)
        self.environment = {"RELAY_DISCOVERY": self.discovery.address}
        self.config = {
            "name": "n0",
            "listen": self.listen,
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": json.loads(list_body(0, self.discovery.entries, True)),
            "settings": SETTINGS,
        }
        self.config |= changes
        self.run_program(json.dumps(self.config), fault)
        if not changes and self.discovery.entries:
            self.assertEqual(eventually(lambda: self.health() == 200), True, self.log())

    def run_program(self, config, fault=""):
        """Start the program with a configuration; its process first runs the code `fault`, to break a part of it."""
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
        """Start a process of the program with the files of this test; all of them write to one log."""
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
        """The program's log so far."""
        return self.errors.read_text()

    def logged(self, event):
        """The records of an event in the program's log so far."""
        records = [json.loads(line) for line in self.log().splitlines() if line.endswith("}")]
        return [record for record in records if record["event"] == event]

    def wait_until_list_read(self):
        """Wait until the program has read the current list: then it asks for the changes after it."""
        target = f"after={self.discovery.index}&"
        self.assertTrue(eventually(lambda: any(target in head for head, *_ in self.discovery.seen)), self.log())

    def client(self):
        """A new client connection."""
        client = http.client.HTTPConnection(self.listen, timeout=10)
        self.addCleanup(client.close)
        return client

    def health(self):
        """The status of the health check; 0 if the program can't be reached."""
        try:
            return self.send_request("GET", "/_health")[0]
        except OSError:
            return 0

    def send_request(self, method, target, headers=None, body=None, client=None):
        """Send a request; return the status, the body and the response."""
        client = client or self.client()
        chunked = "Transfer-Encoding" in (headers or {})
        client.request(method, target, body, headers or {}, encode_chunked=chunked)
        response = client.getresponse()
        return response.status, response.read(), response

    def invoke(self, kind=READ, deadline_ms=2000, target="/api", body=None, client=None, request_id=None):
        """Send a request of a class; return the status, the body and the response."""
        headers = {"Req-Id": request_id or os.urandom(8).hex(), "Req-Kind": kind}
        headers["Req-Deadline-Ms"] = str(deadline_ms)
        if kind == KEYED:
            headers["Idempotency-Key"] = os.urandom(8).hex()
        method = "GET" if kind == READ else "POST"
        return self.send_request(method, target, headers, body if body or kind == READ else b"{}", client)

    def send_raw(self, data):
        """Send bytes on a new connection, and return all that arrives until its end."""
        host, port = self.listen.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(data)
            return b"".join(iter(lambda: sock.recv(65536), b""))

    @contextmanager
    def paused(self, program=None):
        """Stop the program (SIGSTOP) for the body of the `with` statement.

        Everything that is sent to it meanwhile waits in the kernel, and is there at once when it continues. So a race
        is forced: both of its events have happened before the program sees either.
        """
        program = program or self.program
        program.send_signal(signal.SIGSTOP)
        state = Path(f"/proc/{program.pid}/stat")
        self.assertTrue(eventually(lambda: state.read_text().rpartition(") ")[2][0] == "T"))
        try:
            yield
        finally:
            program.send_signal(signal.SIGCONT)

    def terminate(self):
        """Send SIGTERM to the program."""
        self.program.send_signal(signal.SIGTERM)

    def reload(self, config):
        """Replace the configuration and send SIGHUP to the program."""
        self.path.write_text(config, encoding="utf-8")
        self.program.send_signal(signal.SIGHUP)


def ok(head, body):
    """The answer of a server that serves each request."""
    return http_response(200, b"served " + body)


def answer_after(gate):
    """The answer of a server that waits until the test sets the event `gate`."""

    def answer(head, body):
        gate.wait(10)
        return ok(head, body)

    return answer
