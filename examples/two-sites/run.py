"""Runs two sites of three sidecars each, which offer each other a service under terms, and shows the terms at work.

    .venv/bin/python examples/two-sites/run.py

All processes listen on free ports of loopback and end with this script, after some ten seconds.
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

TIMEOUT = 90  # s for the whole example, on a busy machine
# The operator's file of a sidecar.
OPERATOR_FILE = """
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
# The partners' file of a site.
PARTNERS_FILE = """
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


USED_ADDRESSES = set()  # those that `free_address` has returned


def free_address():
    """An unused address that was not returned before."""
    while True:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            address = "{}:{}".format(*sock.getsockname())
        if address not in USED_ADDRESSES:
            USED_ADDRESSES.add(address)
            return address


class Site:
    """One site: a provider, a stub discovery, and three sidecars that are the voters of its cluster."""

    def __init__(self, name, folder):
        self.name, self.folder = name, folder / name
        self.folder.mkdir()
        self.provider = start_provider(f"{name}-1")
        self.members = ProviderList([(f"{name}-1", self.provider.address)])
        self.discovery = start_discovery(self.members)
        names = [f"{name}-n{n}" for n in range(3)]
        self.listen_addresses = {n: free_address() for n in names}
        self.operator_addresses = {n: free_address() for n in names}
        self.member_addresses = {n: free_address() for n in names}
        self.offer_addresses = {n: free_address() for n in names}
        self.programs = {}
        self.partners = self.folder / "partners.toml"

    def allow(self, other, use):
        """Writes the partners' file, with the terms that say who may use this site's route, and reloads it."""
        text = PARTNERS_FILE.format(
            other=other.name, addresses=json.dumps(list(other.offer_addresses.values())), provider=f"{self.name}-1",
            at=self.provider.address, use=use,
        )  # fmt: skip
        self.partners.write_text(text, encoding="utf-8")
        for program in self.programs.values():
            program.send_signal(signal.SIGHUP)

    def start(self):
        """Starts the three sidecars."""
        members = ", ".join(f"{n}={address}" for n, address in self.member_addresses.items())
        for name, listen in self.listen_addresses.items():
            folder = self.folder / name
            (folder / "tmp").mkdir(parents=True)
            config = platform_config(listen, self.members, self.discovery.address) | {"name": name}
            config["operator"] = self.operator_addresses[name]
            (folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
            text = OPERATOR_FILE.format(
                members=members,
                folder=folder,
                site=self.name,
                partners=self.partners,
                offers=self.offer_addresses[name],
            )
            (folder / "loftweir.toml").write_text(text, encoding="utf-8")
            environment = {
                "RELAY_CONFIG": str(folder / "config.json"),
                "LOFTWEIR_OPERATOR": str(folder / "loftweir.toml"),
                "TMPDIR": str(folder / "tmp"),
                "PYTHONPATH": str(ROOT),
            }
            with (folder / "log").open("wb") as log:
                command = [sys.executable, "-m", "loftweir"]
                self.programs[name] = subprocess.Popen(command, env=os.environ | environment, stderr=log, cwd=folder)

    def end(self):
        """Stops all processes of the site."""
        for program in self.programs.values():
            program.terminate()
        for program in self.programs.values():
            try:
                program.wait(15)
            except subprocess.TimeoutExpired:
                program.kill()
                program.wait()
        for server in (self.provider, self.discovery):
            server.close()

    def operator_command(self, line, number=0):
        """Sends one command to a sidecar's operators' address and returns the response; empty: none."""
        host, port = list(self.operator_addresses.values())[number].split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=2) as sock:
                sock.sendall(f"{line}\n".encode())
                return b"".join(iter(lambda: sock.recv(4096), b"")).decode().strip()
        except OSError:
            return ""

    def request(self, number=0):
        """Sends one request through a sidecar and returns the provider's name, or the status if it is not 200."""
        host, port = list(self.listen_addresses.values())[number].split(":")
        client = http.client.HTTPConnection(host, int(port), timeout=5)
        try:
            head = {"Req-Id": os.urandom(8).hex(), "Req-Kind": "status-read", "Req-Deadline-Ms": "500"}
            client.request("GET", "/api", headers=head)
            answer = client.getresponse()
            body = answer.read().decode()
            return body.split()[0] if answer.status == 200 else str(answer.status)
        except OSError:
            return "0"
        finally:
            client.close()


def wait_until(what, check):
    """Polls until the check is true, and prints how long it took."""
    began = time.monotonic()
    while not check():
        time.sleep(0.05)
    print(f"{what}: after {time.monotonic() - began:.1f} s", flush=True)


def run_example(oslo, bergen):
    """Takes the provider of one site away, and changes the terms of the other."""

    def knows(n):
        is_ready = oslo.operator_command("READY", n) == "OK"
        return is_ready and "partners=bergen:fresh" in oslo.operator_command("ROUTES", n)

    wait_until("oslo's three sidecars know what bergen offers", lambda: all(map(knows, range(3))))
    print("ROUTES at oslo:", oslo.operator_command("ROUTES orders@shop"))
    print("oslo's own provider serves:", oslo.request())
    oslo.members.set_status("oslo-1", "leaving")
    # At first some requests are rejected: a provider that was discovered recently counts as cold.
    for n in range(3):
        wait_until(f"it leaves; bergen's serves at oslo-n{n}", lambda n=n: oslo.request(n) == "bergen-1")
    bergen.allow(oslo, '"nobody"')
    wait_until(
        "bergen's operators: nobody may use it; oslo sends nothing more",
        lambda: all("excluded by its terms" in oslo.operator_command("ROUTES orders@shop", n) for n in range(3)),
    )
    print("ROUTES at oslo:", oslo.operator_command("ROUTES orders@shop"))
    print("a request at oslo is answered:", oslo.request())
    bergen.allow(oslo, '{only = ["oslo"]}')
    wait_until("oslo may again; bergen's serves", lambda: oslo.request() == "bergen-1")
    oslo.members.set_status("oslo-1", "active")
    wait_until("oslo's own is back; it serves", lambda: oslo.request() == "oslo-1")


def main():
    """Starts both sites, runs the example, and returns the exit code."""

    def on_timeout(number, frame):
        raise TimeoutError(f"not done within {TIMEOUT} s")

    signal.signal(signal.SIGALRM, on_timeout)
    signal.signal(signal.SIGTERM, on_timeout)
    signal.alarm(TIMEOUT)
    with tempfile.TemporaryDirectory() as folder:
        oslo, bergen = (Site(name, Path(folder)) for name in ("oslo", "bergen"))
        try:
            for site, other in ((oslo, bergen), (bergen, oslo)):
                site.allow(other, f'{{only = ["{other.name}"]}}')
                site.start()
            run_example(oslo, bergen)
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
