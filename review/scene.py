"""Shared by the cases: a record, stand-ins for servers, discovery and clients, sidecars started as the platform does.

All processes listen on free ports of loopback, keep their files in a temporary folder, and end with the scene.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
READ, ONCE, KEYED = "status-read", "apply-submit", "place-confirm"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
SEED = os.environ.get("SEED", "1")  # of what the sidecars and the servers draw; ports are drawn anew in each run
# A loopback address of this process's own, so that no other run of a case can take a port before it is listened on.
HOST = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.1"
LEAST_PORT, FIRST_EPHEMERAL = 10_000, 32_000
PORTS = random.SystemRandom()
USED_PORTS = set()

SETTINGS = {
    "zone": "a",
    "dcs": ["a"],
    "balancers": 3,
    "me": 0,
    "discovery": "ask",
    "weights": "rough",
    "profiles": [
        {"name": READ, "effect": "repeatable", "target": 600 * MS, "hardLimit": 3 * SECOND, "lateWorth": 0.2},
        {"name": ONCE, "effect": "once", "target": SECOND, "hardLimit": 3 * SECOND, "worth": 5.0, "lateWorth": 0.3},
        {
            "name": KEYED,
            "effect": "by_key",
            "dedupScope": "zone",
            "target": SECOND,
            "hardLimit": 2500 * MS,
            "window": 12 * SECOND,
            "worth": 10.0,
            "lateWorth": 0.25,
        },
    ],
    "allowed": {
        "cancel": True,
        "connIdle": 5 * SECOND,
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


def free_port():
    """A free port that the system gives to no outgoing connection."""
    while True:
        port = PORTS.randrange(LEAST_PORT, FIRST_EPHEMERAL)
        if port not in USED_PORTS:
            with suppress(OSError), socket.create_server((HOST, port)):
                USED_PORTS.add(port)
                return port


def free_address():
    """A free address on loopback."""
    return f"{HOST}:{free_port()}"


def connect(address, timeout):
    """A connection to host:port."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def wait_for(check, seconds):
    """Waits until the check is true, and returns its last result."""
    until = time.monotonic() + seconds
    while not (found := check()) and time.monotonic() < until:
        time.sleep(0.02)
    return found


class NotStarted(Exception):
    """The scene could not be set up: the case has not run."""


class Scene:
    """One run of a case: its record, its temporary folder and all its processes."""

    def __init__(self, case):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.case = Path(case).resolve().parent
        self.began = time.time()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.lock = threading.Lock()
        self.file = (self.case / "record.txt").open("w", encoding="utf-8")
        self.processes = []
        self.closers = []
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.command = deploy["run"]
        self.note(begins=self.case.name, trouble=self.trouble, seed=SEED)

    def note(self, at=None, **fields):
        """Writes one line to the record; returns its time in seconds since the scene began."""
        at = (time.time() if at is None else at) - self.began
        with self.lock:
            if not self.file.closed:
                self.file.write(json.dumps({"t": round(at, 4), **fields}) + "\n")
        return at

    def start(self, command, **options):
        """Starts a process that ends with the scene."""
        process = subprocess.Popen(command, cwd=ROOT, **options)
        self.processes.append(process)
        return process

    def end(self):
        """Ends all processes and removes the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                with suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(10)
        for close in self.closers:
            close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def run(self, play):
        """Plays a case to its end, and exits with its code. `play` returns what broke the rule, empty if it held."""
        code, text = NOT_RUN, ""
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        try:
            broken = play(self)
            code, text = (BROKEN if broken else HELD), broken or "the rule held"
        except NotStarted as error:
            text = f"not run: {error}"
        except BaseException as error:
            text = f"not run: {type(error).__name__}: {error}"
            if not isinstance(error, Exception):
                raise
        finally:
            self.note(ends=text, code=code)
            self.end()
            with self.lock:
                self.file.close()
        print(text)
        sys.exit(code)


class Server:
    """A stand-in for a server: `server.py` as a process, which can be killed and started again at its address."""

    def __init__(self, scene, name, *words, zone="a"):
        self.scene, self.name, self.zone = scene, name, zone
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.since_ms = 0
        self.notes = []  # all that it wrote, by all its processes
        self.process = None
        self.start(*words)

    def start(self, *words):
        """Starts a process of it."""
        command = [sys.executable, str(ROOT / "review" / "server.py"), self.name, HOST, str(self.port), *words]
        environment = os.environ | {"SEED": SEED}
        self.process = self.scene.start(
            command, env=environment, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        listens = threading.Event()
        threading.Thread(target=self._read, args=(self.process, listens), daemon=True).start()
        if not listens.wait(10):
            raise NotStarted(f"{self.name} does not listen")

    def _read(self, process, listens):
        for line in process.stdout:
            fields = json.loads(line)
            self.notes.append(fields)
            self.scene.note(**fields)
            listens.set()

    def say(self, word):
        """Says a word to it; see `server.py`."""
        self.scene.note(said=word, to=self.name)
        self.process.stdin.write(word + "\n")
        self.process.stdin.flush()

    def kill(self):
        """Ends its process: its connections are reset, and new ones are refused."""
        self.scene.note(killed=self.name)
        self.process.kill()
        self.process.wait(10)

    def ran(self):
        """The requests that it ran, with their times."""
        return [(fields["run"], fields["at"]) for fields in list(self.notes) if "run" in fields]

    def entry(self, status="active"):
        """Its entry in discovery's list."""
        place = {"name": self.name, "address": self.address, "zone": self.zone, "type": "m", "group": 0}
        return {**place, "status": status, "weight": 1.0, "since_ms": self.since_ms}


class Discovery:
    """A stand-in for discovery: a list and its changes, whole or after a version, with watches."""

    def __init__(self, scene, entries):
        self.scene = scene
        self.index = 1
        self.entries = {entry["name"]: (entry, 1) for entry in entries}
        self.changed = threading.Condition()
        self.listener = socket.create_server((HOST, free_port()), backlog=128)
        self.address = "{}:{}".format(*self.listener.getsockname())
        scene.closers.append(self.listener.close)
        threading.Thread(target=self._accept, daemon=True).start()

    def change(self, *entries):
        """Makes the next version, in which these entries changed."""
        with self.changed:
            self.index += 1
            self.scene.note(list=self.index, changed=[(e["name"], e["status"]) for e in entries])
            for entry in entries:
                self.entries[entry["name"]] = (entry, self.index)
            self.changed.notify_all()

    def known(self):
        """The whole list."""
        listed = [entry for entry, _ in self.entries.values() if entry["status"] != "left"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    def _accept(self):
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        file = sock.makefile("rb")
        with suppress(OSError, ValueError), sock, file:
            while line := file.readline():
                target = line.decode().split(" ")[1]
                while file.readline().strip():
                    pass
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
                body = json.dumps(self._answer(query)).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def _answer(self, query):
        with self.changed:
            if "after" not in query:
                return self.known()
            after = int(query["after"])
            self.changed.wait_for(lambda: self.index > after, int(query.get("wait_ms", 0)) / 1000)
            newer = [entry for entry, index in self.entries.values() if index > after]
            return {"index": self.index, "snapshot": False, "endpoints": newer}


class Sidecar:
    """One sidecar, started with the command `run` of the deploy file. Its files outlive its process."""

    def __init__(self, scene, name, discovery, operator_file):
        """`operator_file`: the text of the operator's file, in which {folder} is this sidecar's folder."""
        self.scene, self.name = scene, name
        self.folder = scene.folder / name
        (self.folder / "tmp").mkdir(parents=True)
        self.listen, self.operator = free_address(), free_address()
        self.config = {
            "name": name,
            "listen": self.listen,
            "discovery": discovery.address,
            "operator": self.operator,
            "seed": random.Random(f"{SEED} {name}").randbytes(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": discovery.known(),
            "settings": SETTINGS,
        }
        self.change()
        self.add(operator_file.replace("{folder}", str(self.folder)))
        self.process = None

    def change(self, **parts):
        """Replaces parts of the platform's file."""
        self.config |= parts
        (self.folder / "config.json").write_text(json.dumps(self.config), encoding="utf-8")

    def add(self, text):
        """Adds sections to the operator's file."""
        with (self.folder / "loftweir.toml").open("a", encoding="utf-8") as file:
            file.write(text + "\n")

    def start(self):
        """Starts a process of it."""
        environment = {
            **{k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "LOFTWEIR_", "PYTHON"))},
            "RELAY_NAME": self.name,
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "LOFTWEIR_OPERATOR": str(self.folder / "loftweir.toml"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        self.scene.note(starts=self.name)
        with (self.folder / "log").open("ab") as log:
            self.process = self.scene.start(
                ["/bin/sh", "-c", self.scene.command], env=environment, stdout=log, stderr=log
            )
        return self

    def signal(self, number):
        """Sends a signal to its process."""
        self.scene.note(signal=signal.Signals(number).name, to=self.name)
        self.process.send_signal(number)

    def log(self):
        """What it logged."""
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace")

    def call(self, line, timeout=10):
        """Says one line at the operators' address; returns the answer, empty if there was none."""
        answer, began = "", time.time()
        try:
            with connect(self.operator, timeout) as sock:
                sock.sendall(line.encode() + b"\n")
                answer = b"".join(iter(lambda: sock.recv(4096), b"")).decode().strip()
        except OSError as error:
            self.scene.note(call=line, to=self.name, failed=str(error))
            return ""
        if line not in ("READY", "FLEET", "ROUTES"):
            self.scene.note(call=line, to=self.name, answer=answer, ms=round((time.time() - began) * 1000))
        return answer

    def fleet(self):
        """The answer to FLEET by key."""
        answer = self.call("FLEET", 2)
        return dict(pair.split("=", 1) for pair in answer.split()[1:]) if answer.startswith("OK ") else {}

    def healthy(self):
        """Whether `GET /_health` answers 200."""
        try:
            with connect(self.listen, 1) as sock:
                sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return sock.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Client:
    """A stand-in for one connection of the application: it sends one request after another, on a kept connection.

    `answers` has, for each request, its id, its class, when it was sent and answered (Unix time), and the status; the
    status is 0 if no connection came up, "ended" if the connection ended after the request's last byte was written and
    without a whole answer, and "silent" if there was no whole answer within the deadline and 1 s.
    """

    def __init__(self, scene, name, sidecar, host="service.internal", deadline_ms=2500):
        self.scene, self.name, self.sidecar, self.host, self.deadline_ms = scene, name, sidecar, host, deadline_ms
        self.sock = self.file = None
        self.answers = []
        self.sent_again = set()  # ids that it sent a second time itself, as a close crossed them

    def request(self, kind, body=b"{}"):
        """Sends one request and returns its status and body."""
        id = os.urandom(8).hex()
        lines = [f"Host: {self.host}", f"Req-Id: {id}", f"Req-Kind: {kind}", f"Req-Deadline-Ms: {self.deadline_ms}"]
        if kind == KEYED:
            lines.append(f"Idempotency-Key: {os.urandom(16).hex()}")
        if kind == READ:
            body = b""
        else:
            lines.append(f"Content-Length: {len(body)}")
        head = f"{'GET' if kind == READ else 'POST'} /api HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n"
        status, text, sent = 0, b"", time.time()
        for kept in (self.sock is not None, False):
            status = 0
            try:
                if self.sock is None:
                    self.sock = connect(self.sidecar.listen, self.deadline_ms / 1000 + 1)
                    self.file = self.sock.makefile("rb")
                sent = time.time()
                self.sock.sendall(head.encode() + body)
                status = "ended"
                status, text = self._answer()
            except TimeoutError:
                status = "silent"
            except OSError:
                pass
            if isinstance(status, str) or not status:
                self.close()
            if status not in (0, "ended") or not kept:
                break  # else a close crossed the request on a kept connection: it is sent once more, on a new one
            self.sent_again.add(id)
        answered = time.time()
        self.answers.append((id, kind, sent, answered, status))
        fields = {"client": self.name, "id": id, "kind": kind, "status": status}
        self.scene.note(at=sent, **fields, ms=round((answered - sent) * 1000), body=text.decode("latin-1"))
        return status, text

    def _answer(self):
        line = self.file.readline()
        if not line:
            return "ended", b""
        status, length, closes = int(line.split(b" ")[1]), 0, False
        while (line := self.file.readline().strip().lower()) != b"":
            name, _, value = line.partition(b":")
            length = int(value) if name == b"content-length" else length
            closes = closes or (name == b"connection" and value.strip() == b"close")
        body = self.file.read(length)
        if len(body) < length:
            return "ended", body
        if closes:
            self.close()
        return status, body

    def close(self):
        """Closes the connection."""
        if self.sock is not None:
            self.file.close()
            self.sock.close()
        self.sock = self.file = None


def cluster(scene, discovery, names, members, text="", cluster_name="review"):
    """Sidecars with one `[replication]`; the first `members` of the names vote. `text`: the rest of the file."""
    seats = ", ".join(f"{name}={free_address()}" for name in names[:members])
    head = f'members = "{seats}"\ncluster = "{cluster_name}"'
    lines = ["[replication]", head, 'folder = "{folder}/copies"', text]
    return {name: Sidecar(scene, name, discovery, "\n".join(lines)) for name in names}


def start_all(sidecars, seconds=25):
    """Starts the sidecars and waits until all are healthy and know a leader."""
    for sidecar in sidecars.values():
        sidecar.start()
    for sidecar in sidecars.values():
        ready = wait_for(lambda s=sidecar: s.healthy() and s.fleet().get("leader", "-") != "-", seconds)
        if not ready:
            raise NotStarted(f"{sidecar.name} is not ready: {sidecar.log()[-600:]}")
