"""What the second review's cases share: the real program as processes, and small stand-ins round it, all on loopback.

A case writes what was sent, answered and run to `record.txt` in its folder, one JSON object a line with the seconds
since its start. It ends with BROKEN if the rule was broken, HELD if it held, NOT_RUN if it could not run; `run.sh`
makes 1, 0 and 2 of these, and 2 of anything else, such as an error of the test itself.
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
import traceback
from contextlib import suppress
from hashlib import blake2b
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MS, SECOND = 1_000_000, 1_000_000_000  # ns
READ, ONCE, KEYED = "status-read", "apply-submit", "place-confirm"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))  # decides what the sidecars draw; times and ports differ from run to run


BROKEN, HELD, NOT_RUN = 10, 0, 2  # exit codes
LONGEST = 112  # s; a case that has not ended by then could not run


class CannotRun(Exception):
    """The case can't be judged."""


def settings(discovery="ask", deadline=3 * SECOND):
    """Settings like those of the almaty-enrol deployment, with one zone."""
    classes = [
        (READ, "repeatable", "all", 600, 1.0),
        (ONCE, "once", "all", 1000, 5.0),
        (KEYED, "by_key", "zone", 1000, 10.0),
    ]
    profiles = [
        {"name": name, "effect": effect, "dedupScope": scope, "target": aim * MS, "hardLimit": deadline,
         "window": 12 * SECOND, "worth": worth, "lateWorth": 0.25, "stream": False}
        for name, effect, scope, aim, worth in classes
    ]  # fmt: skip
    return {
        "zone": "alm-1",
        "dcs": ["alm-1", "alm-2"],
        "balancers": 3,
        "me": 0,
        "discovery": discovery,
        "weights": "rough",
        "quantum": 5 * MS,
        "profiles": profiles,
        "telemetry": {"how": "pull", "fields": ["cpu_share", "failed_ps", "pending"]},
        "allowed": {
            "cancel": True, "connIdle": 5 * SECOND, "connectTimeout": 250 * MS, "maxAttempts": 3, "probes": True,
            "maxRetryAfter": 1500 * MS, "retryAfter": True, "secondCopies": False,
        },
        "safety": {
            "askWithin": 10 * SECOND, "coldFrom": 0.14, "fall": SECOND, "fallMultiple": 2.5, "graceToAnswer": 20 * MS,
            "stopSendingWithin": 750 * MS, "warmWithin": 24 * SECOND,
        },
    }  # fmt: skip


PORTS = random.SystemRandom()
USED = set()  # ports that this case has been given


def free_address():
    """A loopback address that nothing listens at, below the ports that outgoing connections take."""
    while True:
        port = PORTS.randrange(10_000, 32_000)
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            if port not in USED:
                USED.add(port)
                return f"127.0.0.1:{port}"


def address_of(sock):
    """The local address of a socket."""
    return "{}:{}".format(*sock.getsockname())


def dial(address, timeout=10):
    """A connection to an address."""
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def response(body=b"ok", status=200, *headers):
    """A whole HTTP response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def request_bytes(request_id, kind=READ, deadline_ms=3000, body=b"", key=None):
    """A request as the application sends it."""
    method = "GET" if kind == READ else "POST"
    lines = [f"{method} /api HTTP/1.1", "Host: service.internal", f"Req-Id: {request_id}", f"Req-Kind: {kind}"]
    lines.append(f"Req-Deadline-Ms: {deadline_ms}")
    if kind == KEYED:
        lines.append(f"Idempotency-Key: {key or request_id}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class HttpServer:
    """A stand-in server, a thread for each connection. `answer(sock, head, body)` sends the answer itself, and returns
    False to close the connection.
    """

    def __init__(self, answer):
        self.answer = answer
        self.sockets = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = address_of(self.listener)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with suppress(OSError, ValueError):
            file = sock.makefile("rb")
            while line := file.readline():
                fields = {}
                while (field := file.readline()) not in (b"\r\n", b""):
                    name, _, value = field.decode().partition(":")
                    fields[name.strip().lower()] = value.strip()
                fields[""] = line.decode().strip()
                body = file.read(int(fields.get("content-length", 0)))
                path = fields[""].split()[1].partition("?")[0]
                if path in ("/ping", "/_load"):  # a probe
                    sock.sendall(response(b"0.1,0,0"))
                    continue
                if path == "/api" and "req-id" not in fields:
                    sock.sendall(response(status=404))
                    continue
                if self.answer(sock, fields, body) is False:
                    break
        with suppress(OSError):
            sock.close()


class Discovery(HttpServer):
    """A stand-in for discovery: whole lists, and watches that wait for a change."""

    def __init__(self):
        self.index, self.entries, self.versions = 1, {}, {}
        self.condition = threading.Condition()
        super().__init__(self._respond)

    def change(self, *entries):
        """Makes the next version of the list, in which these entries have changed."""
        with self.condition:
            self.index += 1
            for entry in entries:
                self.versions[entry["name"]] = self.index
                self.entries[entry["name"]] = entry
            self.condition.notify_all()

    def body(self, after=None):
        """The list as JSON: the whole, or what changed after a version."""
        entries = [e for n, e in self.entries.items() if after is None or self.versions[n] > after]
        if after is None:
            entries = [e for e in entries if e["status"] != "left"]
        return {"index": self.index, "snapshot": after is None, "endpoints": entries}

    def _respond(self, sock, fields, _):
        query = dict(p.split("=") for p in fields[""].split()[1].partition("?")[2].split("&") if p)
        after = int(query["after"]) if "after" in query else None
        with self.condition:
            if after is not None:
                self.condition.wait_for(lambda: self.index > after, int(query.get("wait_ms", 0)) / 1000)
            data = json.dumps(self.body(after)).encode()
        sock.sendall(response(data))


class Sidecar:
    """One copy of the program, with files of its own; started with the command of the deploy file."""

    def __init__(self, scene, name, operator_file="", **config):
        self.scene, self.name = scene, name
        self.folder = scene.folder / name
        self.folder.mkdir()
        self.listen, self.operator = free_address(), free_address()
        self.operator_file = operator_file
        self.config = {
            "name": name, "listen": self.listen, "discovery": scene.discovery.address, "operator": self.operator,
            "seed": blake2b(f"{SEED} {name}".encode(), digest_size=8).hexdigest(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": scene.discovery.body(), "settings": settings(), **config,
        }  # fmt: skip
        self.program = None
        self.starts = 0

    def start(self):
        """Starts a process. `$TMPDIR` is empty at every start, as the deploy page says."""
        self.starts += 1
        tmp = self.folder / f"tmp-{self.starts}"
        tmp.mkdir()
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        env = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "LOFTWEIR_"))}
        env |= {
            "RELAY_NAME": self.name, "RELAY_CONFIG": str(path), "RELAY_LISTEN": self.listen, "TMPDIR": str(tmp),
            "RELAY_DISCOVERY": self.config["discovery"], "RELAY_OPERATOR": self.operator,
        }  # fmt: skip
        if self.operator_file:
            (self.folder / "loftweir.toml").write_text(self.operator_file, encoding="utf-8")
            env["LOFTWEIR_OPERATOR"] = str(self.folder / "loftweir.toml")
        with (self.folder / "log").open("ab") as log:
            self.program = subprocess.Popen(
                ["/bin/sh", "-c", self.scene.run_command], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.scene.programs.append(self.program)
        self.scene.record("started", sidecar=self.name, start=self.starts)
        return self

    def signal(self, number):
        """Sends a signal to the program."""
        self.scene.record("signal", sidecar=self.name, signal=signal.Signals(number).name)
        self.program.send_signal(number)

    def kill(self):
        """Kills the process, and waits for its end."""
        self.signal(signal.SIGKILL)
        self.program.wait(10)

    def health(self):
        """The status of the health check; 0: no answer."""
        try:
            with dial(self.listen, 1) as sock:
                sock.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return int(sock.recv(4096).split()[1])
        except (OSError, IndexError, ValueError):
            return 0

    def wait_ready(self, seconds=30):
        """Waits until the health check says yes."""
        if not eventually(lambda: self.health() == 200, seconds):
            raise CannotRun(f"{self.name} is not ready: {(self.folder / 'log').read_text()[-2000:]}")

    def call(self, line, timeout=10):
        """One line to the operators' address; returns the answer, empty if there is none."""
        try:
            with dial(self.operator, timeout) as sock:
                sock.sendall(line.encode() + b"\n")
                return b"".join(iter(lambda: sock.recv(4096), b"")).decode().rstrip("\n")
        except OSError:
            return ""


def eventually(check, seconds=10):
    """Polls until `check()` is true or the time is up; returns its last result."""
    end = time.monotonic() + seconds
    while not (result := check()) and time.monotonic() < end:
        time.sleep(0.01)
    return result


class Scene:
    """The surroundings of one case."""

    def __init__(self, folder):
        self.out = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.programs = []
        with open(ROOT / "deploy" / "balancer.toml", encoding="utf-8") as file:
            lines = [line for line in file if line.startswith("run = ")]
        self.run_command = lines[0].split('"')[1]
        self.discovery = Discovery()

    def now(self):
        """Seconds since the start of the case."""
        return time.monotonic() - self.began

    def record(self, event, **fields):
        """Writes one line to the record."""
        with self.lock:
            if not self.out.closed:
                self.out.write(json.dumps({"at": round(self.now(), 4), "event": event, **fields}) + "\n")
                self.out.flush()

    def entry(self, name, server, status="active", zone="alm-1", since_ms=0):
        """An entry of discovery's list."""
        return {
            "name": name, "address": server.address, "zone": zone, "type": "standard", "group": 0, "status": status,
            "weight": 1.0, "since_ms": since_ms,
        }  # fmt: skip

    def close(self):
        """Ends all processes that were started, and removes the temporary folder."""
        for program in self.programs:
            if program.poll() is None:
                with suppress(OSError):
                    program.send_signal(signal.SIGCONT)
                program.kill()
                program.wait(10)
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        with self.lock:
            self.out.close()


def main(file, case):
    """Runs a case: `case(scene)` returns the breaks of the rule that it saw."""
    scene = Scene(Path(file).resolve().parent)

    def stop(why):
        scene.record("verdict", result="could not run", why=why)
        scene.close()
        os._exit(NOT_RUN)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda number, _: stop(f"ended by signal {number}"))
    timer = threading.Timer(LONGEST, stop, (f"no end in {LONGEST} s",))
    timer.daemon = True
    timer.start()
    code = NOT_RUN
    try:
        breaks = case(scene)
        code = BROKEN if breaks else HELD
        scene.record("verdict", result="broken" if breaks else "held", breaks=breaks)
        print("broken" if breaks else "held", *breaks[:5], sep="\n  ")
    except Exception:
        scene.record("verdict", result="could not run", why=traceback.format_exc())
        traceback.print_exc()
    finally:
        timer.cancel()
        scene.close()
        sys.stdout.flush()
        os._exit(code)
