"""Test helpers for partners: sites of real sidecars with neighbours, and fake partners whose tables a test controls."""

import http.client
import json
import socket
import threading
import time
from urllib.parse import parse_qsl, urlencode

import msgspec
from fleet_scene import FleetScene
from scene import StubServer, http_response

from loftweir.partners.table import Offer, parse_route
from loftweir.replication import wire
from loftweir.replication.machine import Command, FencedWrite, Machine, Ok

FAST_OPTIONS = {"wait": "500ms", "silent_after": "300ms", "hold": "3s", "gone": "1500ms", "lease": "1500ms"}
OPEN = {"use": "all", "show": "all", "passes": 3, "until": "forever"}
command_decoder = msgspec.msgpack.Decoder(Command)
CLASSES = ["status-read", "apply-submit", "place-confirm"]


def make_route(service, addresses=("127.0.0.1:9",), terms=None, **more):
    """A route in the JSON form of a partner's table."""
    providers = [{"name": f"g{n}", "address": a, "zone": "p", "type": "m"} for n, a in enumerate(addresses)]
    made = {"service": service, "providers": providers, "classes": CLASSES, "share": 1.0, "valid_for": 60 * 10**9}
    return {**made, "terms": OPEN | (terms or {}), **more}


class FakePartner(StubServer):
    """A fake partner with one sidecar. Tests change its table; its requests wait for changes. `make_reply` makes the
    bytes of a response from its body, and while `silent` there is no response."""

    def __init__(self, site, *own_routes):
        self.site, self.offer = site, Offer(site, int(time.time()))
        self.requests = []  # (session instance of the client, position) of each request
        self.table_changed = threading.Condition()
        self.silent = False
        self.replace_routes(*own_routes)
        super().__init__(self._routes)

    def replace_routes(self, *own_routes):
        """Replaces the offered routes."""
        with self.table_changed:
            self.offer.replace({r["service"]: parse_route({"path": [self.site], **r}, self.site) for r in own_routes})
            self.table_changed.notify_all()

    def restart(self, *own_routes, epoch=1):
        """Continues with a lower index under a later epoch."""
        with self.table_changed:
            self.offer = Offer(self.site, self.offer.epoch + epoch)
        self.replace_routes(*own_routes)

    def set_silent(self, on):
        """Stops or resumes sending responses."""
        with self.table_changed:
            self.silent = on
            self.table_changed.notify_all()

    def _routes(self, head, _):
        query = dict(parse_qsl(head.split()[1].partition("?")[2]))
        after = tuple(map(int, query["after"].split("."))) if "after" in query else None
        with self.table_changed:
            self.requests.append((query["to"].partition(".")[0], after))
            self.table_changed.wait_for(
                lambda: not self.silent and self.offer.has_changes(after), int(query["wait_ms"]) / 1000
            )
            if self.silent:
                self.table_changed.wait_for(lambda: not self.silent, 30)
                return None
            return self.make_reply(self.offer.response(after, query["to"]))

    def make_reply(self, body):
        """The bytes that are sent for a response with this body; tests replace it."""
        return http_response(200, body)

    def is_up_to_date(self):
        """Whether the last request had the position of the current table."""
        return self.requests[-1][1] == (self.offer.epoch, self.offer.index)

    def client_instances(self):
        """The session instances that sent requests."""
        return {instance for instance, _ in self.requests}


class PartnerSite(FleetScene):
    """A site made by `PartnerSite.of(test, name)`, which ends with the test."""

    @classmethod
    def of(cls, test, name, **shape):
        """A site that is not started yet."""
        site = cls()
        test.addCleanup(site.doCleanups)
        site.name, site.neighbours, site.own_routes, site.options = name, {}, [], FAST_OPTIONS
        site.fleet(**({"voters": 3, "followers": 1, "providers": 1} | shape))
        site.listens = {n: site.unused_address() for n in site.voters}
        return site

    def add_neighbour(self, name, *addresses, **more):
        """Adds a neighbour to the configuration."""
        self.neighbours[name] = {"name": name, "addresses": list(addresses), **more}

    def offer_routes(self, *own_routes):
        """Replaces this site's own routes in the configuration."""
        self.own_routes = list(own_routes)

    def write_config(self, *names):
        """Writes the partners' file at the named sidecars, by default at all."""
        own_routes = [{k: v for k, v in r.items() if k != "valid_for"} for r in self.own_routes]
        text = json.dumps({"neighbours": list(self.neighbours.values()), "routes": own_routes})
        for name in names or self.sidecars:
            (self.sidecars[name].folder / "partners.json").write_text(text, encoding="utf-8")

    def start_sidecars(self, *names):
        """Writes the configuration and starts the sidecars."""
        self.write_config()
        for name, sidecar in self.sidecars.items():
            keys = {"site": self.name, "file": "partners.json", "service": "orders@shop"} | self.options
            if name in self.listens:
                keys["listen"] = self.listens[name]
            sidecar.extra_config = "\n".join(["[partners]", *(f"{k} = {json.dumps(v)}" for k, v in keys.items())])
        return super().start_sidecars(*names)

    def reload(self, *names):
        """Writes the partners' file and reloads it."""
        self.write_config(*names)
        for name in names or self.sidecars:
            self.sidecars[name].signal(1)

    def routes_status(self, sidecar):
        """The fields of a sidecar's answer to ROUTES."""
        answer = sidecar.call("ROUTES", 2)
        return dict(part.split("=", 1) for part in answer.split()[1:] if "=" in part) if answer[:2] == "OK" else {}

    def freshness(self, sidecar, partner):
        """The freshness of a partner that a sidecar reports."""
        pairs = dict(
            pair.split(":") for pair in self.routes_status(sidecar).get("partners", "").split(",") if ":" in pair
        )
        return pairs.get(partner, "")

    def running(self):
        """The sidecars that run."""
        return [s for s in self.sidecars.values() if s.program is not None]

    def wait_everywhere(self, check, seconds=10):
        """Waits until the check holds at every sidecar that runs."""
        for sidecar in self.running():
            self.wait(lambda sidecar=sidecar: check(sidecar), seconds)

    def asking_sidecars(self, partner):
        """The sidecars that report to have the session with a partner."""
        return [s.name for s in self.running() if partner in self.routes_status(s).get("asks", "").split(",")]

    def fenced_writes(self, lease_name):
        """The lease's fenced writes in log order: token, key, value, and whether the state machine rejected it."""
        host, port = self.seats[self.leader().name].split(":")
        machine, writes, reader = Machine(), [], wire.FrameReader()
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.sendall(
                wire.encode_frame(wire.Hello(wire.VERSION, "loftweir", "id", "observer", wire.ConnectionKind.FOLLOWER))
            )
            while True:
                sock.sendall(wire.encode_frame(wire.FollowRequest(machine.index, 0)))
                while not isinstance(response := reader.next(), wire.FollowResponse):
                    if response is None:
                        reader.feed(sock.recv(65536))
                if not response.entries:
                    return writes
                for entry in response.entries:
                    if not entry.data:
                        machine.skip(entry.index)
                        continue
                    command, result = command_decoder.decode(entry.data).act, machine.apply(entry.index, entry.data)
                    if isinstance(command, FencedWrite) and command.duty == lease_name:
                        writes.append((command.token, command.key, command.value, not isinstance(result, Ok)))

    def stored_keys(self, lease_name):
        """The keys that exist under a lease."""
        present = {key: bool(value) for _, key, value, rejected in self.fenced_writes(lease_name) if not rejected}
        return {key for key, is_present in present.items() if is_present}


def request_routes(address, site, after=None, wait_ms=0, timeout=5, source="127.0.0.1"):
    """Requests a site's routes: returns the status, and the response or the text of the error."""
    query = {"site": site, "to": "m", "wait_ms": wait_ms} | ({"after": after} if after else {})
    client = http.client.HTTPConnection(address, timeout=timeout, source_address=(source, 0))
    try:
        client.request("GET", f"/routes?{urlencode(query)}")
        response = client.getresponse()
        data = response.read()
        return response.status, json.loads(data) if response.status == 200 else data.decode()
    except OSError as error:
        return 0, str(error)
    finally:
        client.close()


def position(response):
    """The epoch and index of a response, as a request gives them."""
    return f"{response['epoch']}.{response['index']}"


def service_names(response):
    """The services of a response."""
    return {r["service"] for r in response["routes"]}
