"""Two sites of three sidecars each, that offer each other a service under terms; and the terms at work.

    .venv/bin/python examples/two-sites/run.py

All of it is on free ports of loopback, takes some ten seconds, and has ended when this ends.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from loftweir.standins.toy import ProviderList, platform_config, start_discovery, start_provider  # noqa: E402

LONGEST = 90  # seconds for all of it, on a machine that is busy
OPERATOR = """
[replication]
members = "{members}"
folder = "{folder}/copies"
beat = "50ms"
election = "300ms"

[partners]
site = "{site}"
file = "{partners}"
listen = "{offers}"
service = "orders@shop"
wait = "2s"
silent_after = "500ms"
hold = "6s"
gone = "4s"
lease = "2s"
"""
PARTNERS = """
[[neighbours]]
name = "{other}"
addresses = {addresses}

[[routes]]
service = "orders@shop"
classes = ["status-read", "apply-submit", "place-confirm"]
share = "100%"
providers = [{{name = "{provider}", address = "{at}", zone = "alm-1", type = "standard"}}]
terms = {{use = {use}, show = {{only = ["{other}"]}}, passes = 0, until = "forever"}}
"""


GIVEN = set()


def free():
    """An address that nobody has, and that was not given before."""
    while True:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            address = "{}:{}".format(*sock.getsockname())
        if address not in GIVEN:
            GIVEN.add(address)
            return address


class Site:
    """One site: a provider, a discovery, and three sidecars that vote on what it keeps."""

    def __init__(self, name, folder):
        self.name, self.folder = name, folder / name
        self.folder.mkdir()
        self.provider = start_provider(f"{name}-1")
        self.members = ProviderList([(f"{name}-1", self.provider.address)])
        self.discovery = start_discovery(self.members)
        names = [f"{name}-n{n}" for n in range(3)]
        self.listens, self.desks, self.copies, self.offers = ({n: free() for n in names} for _ in range(4))
        self.programs = {}
        self.partners = self.folder / "partners.toml"

    def allow(self, other, use):
        """What this site's operators say of its route: who may use it."""
        text = PARTNERS.format(
            other=other.name, addresses=json.dumps(list(other.offers.values())), provider=f"{self.name}-1",
            at=self.provider.address, use=use,
        )  # fmt: skip
        self.partners.write_text(text, encoding="utf-8")
        for program in self.programs.values():
            program.send_signal(signal.SIGHUP)

    def start(self):
        members = ", ".join(f"{n}={address}" for n, address in self.copies.items())
        for name, listen in self.listens.items():
            folder = self.folder / name
            (folder / "tmp").mkdir(parents=True)
            config = platform_config(listen, self.members, self.discovery.address) | {"name": name}
            config["operator"] = self.desks[name]
            (folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
            text = OPERATOR.format(
                members=members, folder=folder, site=self.name, partners=self.partners, offers=self.offers[name]
            )
            (folder / "loftweir.toml").write_text(text, encoding="utf-8")
            told = {
                "RELAY_CONFIG": str(folder / "config.json"),
                "LOFTWEIR_OPERATOR": str(folder / "loftweir.toml"),
                "TMPDIR": str(folder / "tmp"),
                "PYTHONPATH": str(ROOT),
            }
            with (folder / "log").open("wb") as log:
                words = [sys.executable, "-m", "loftweir"]
                self.programs[name] = subprocess.Popen(words, env=os.environ | told, stderr=log, cwd=folder)

    def end(self):
        for program in self.programs.values():
            program.terminate()
        for program in self.programs.values():
            try:
                program.wait(15)
            except subprocess.TimeoutExpired:
                program.kill()
                program.wait()
        for toy in (self.provider, self.discovery):
            toy.close()

    def say(self, line, number=0):
        """One line to a sidecar's operators' address, and its answer."""
        host, port = list(self.desks.values())[number].split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=2) as sock:
                sock.sendall(f"{line}\n".encode())
                return b"".join(iter(lambda: sock.recv(4096), b"")).decode().strip()
        except OSError:
            return ""

    def ask(self, number=0):
        """One request through a sidecar: who served it, or the status."""
        host, port = list(self.listens.values())[number].split(":")
        client = http.client.HTTPConnection(host, int(port), timeout=5)
        try:
            head = {"Req-Id": os.urandom(8).hex(), "Req-Kind": "status-read", "Req-Deadline-Ms": "500"}
            client.request("GET", "/api", headers=head)
            answer = client.getresponse()
            words = answer.read().decode()
            return words.split()[0] if answer.status == 200 else str(answer.status)
        except OSError:
            return "0"
        finally:
            client.close()


def until(what, check):
    """Waits for something, and says how long it took."""
    began = time.monotonic()
    while not check():
        time.sleep(0.05)
    print(f"{what}: after {time.monotonic() - began:.1f} s", flush=True)


def play(oslo, bergen):
    def knows(n):
        return oslo.say("READY", n) == "OK" and "partners=bergen:fresh" in oslo.say("ROUTES", n)

    until("oslo's three sidecars know what bergen offers", lambda: all(map(knows, range(3))))
    print("ROUTES at oslo:", oslo.say("ROUTES orders@shop"))
    print("oslo's own provider serves:", oslo.ask())
    oslo.members.set_status("oslo-1", "leaving")
    # At first a part is turned away: what was not known for long counts as cold.
    for n in range(3):
        until(f"it leaves; bergen's serves at oslo-n{n}", lambda n=n: oslo.ask(n) == "bergen-1")
    bergen.allow(oslo, '"nobody"')
    until(
        "bergen's operators: nobody may use it; oslo sends nothing more",
        lambda: all("excluded by its terms" in oslo.say("ROUTES orders@shop", n) for n in range(3)),
    )
    print("ROUTES at oslo:", oslo.say("ROUTES orders@shop"))
    print("a request at oslo is answered:", oslo.ask())
    bergen.allow(oslo, '{only = ["oslo"]}')
    until("oslo may again; bergen's serves", lambda: oslo.ask() == "bergen-1")
    oslo.members.set_status("oslo-1", "active")
    until("oslo's own is back; it serves", lambda: oslo.ask() == "oslo-1")


def main():
    def late(number, frame):
        raise TimeoutError(f"not done within {LONGEST} s")

    signal.signal(signal.SIGALRM, late)
    signal.signal(signal.SIGTERM, late)
    signal.alarm(LONGEST)
    with tempfile.TemporaryDirectory() as folder:
        oslo, bergen = (Site(name, Path(folder)) for name in ("oslo", "bergen"))
        try:
            for site, other in ((oslo, bergen), (bergen, oslo)):
                site.allow(other, f'{{only = ["{other.name}"]}}')
                site.start()
            play(oslo, bergen)
        except TimeoutError as error:
            print(error)
            for log in sorted(Path(folder).glob("*/*/log")):
                print(f"---- {log.parent.name}\n{log.read_text(encoding='utf-8', errors='replace')[-2000:]}")
            return 1
        finally:
            signal.alarm(0)
            for site in (oslo, bergen):
                site.end()
    return 0


if __name__ == "__main__":
    sys.exit(main())
