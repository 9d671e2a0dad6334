"""Sites for tests: fleets of real sidecars with neighbours, and toy partners that offer what a test says."""

import http.client
import json
import random
import socket
import threading
import time
from contextlib import suppress
from urllib.parse import parse_qsl, urlencode

import msgspec
from fleet_scene import FleetScene
from scene import StubServer, http_response

from loftweir.partners.table import Offer, one_route
from loftweir.replication import wire
from loftweir.replication.machine import Fenced, Machine, Ok, Order

QUICK = {"wait": "500ms", "silent_after": "300ms", "hold": "3s", "gone": "1500ms", "lease": "1500ms"}
OPEN = {"use": "all", "show": "all", "passes": 3, "until": "forever"}
Order_ = msgspec.msgpack.Decoder(Order)
GIVEN = set()  # ports
CLASSES = ["status-read", "apply-submit", "place-confirm"]


def row(service, addresses=("127.0.0.1:9",), terms=None, **more):
    """A route in a partner's form."""
    providers = [{"name": f"g{n}", "address": a, "zone": "p", "type": "m"} for n, a in enumerate(addresses)]
    made = {"service": service, "providers": providers, "classes": CLASSES, "share": 1.0, "valid_for": 60 * 10**9}
    return {**made, "terms": OPEN | (terms or {}), **more}


class Toy(StubServer):
    """A partner's one sidecar: a table that tests change, and calls that wait for news. `change` makes the bytes of
    each answer of its body; `silent`: none is given."""

    def __init__(self, site, *rows):
        self.site, self.offer = site, Offer(site, int(time.time()))
        self.asks = []  # (life of the asker, mark)
        self.news = threading.Condition()
        self.silent = False
        self.put(*rows)
        super().__init__(self._routes)

    def put(self, *rows):
        with self.news:
            self.offer.put({r["service"]: one_route({"path": [self.site], **r}, self.site) for r in rows})
            self.news.notify_all()

    def begin_anew(self, *rows, epoch=1):
        """With an index that is lower, under a later epoch."""
        with self.news:
            self.offer = Offer(self.site, self.offer.epoch + epoch)
        self.put(*rows)

    def be_silent(self, on):
        with self.news:
            self.silent = on
            self.news.notify_all()

    def _routes(self, head, _):
        query = dict(parse_qsl(head.split()[1].partition("?")[2]))
        after = tuple(map(int, query["after"].split("."))) if "after" in query else None
        with self.news:
            self.asks.append((query["to"].partition(".")[0], after))
            self.news.wait_for(lambda: not self.silent and self.offer.news(after), int(query["wait_ms"]) / 1000)
            if self.silent:
                self.news.wait_for(lambda: not self.silent, 30)
                return None
            return self.change(self.offer.answer(after, query["to"]))

    def change(self, body):
        return http_response(200, body)

    def is_held(self):
        """Whether who asked last has the table as it is."""
        return self.asks[-1][1] == (self.offer.epoch, self.offer.index)

    def lives(self):
        """Who has asked."""
        return {life for life, _ in self.asks}


class Site(FleetScene):
    """One site of a test: `Site.of(test, name)`; it ends with the test."""

    @classmethod
    def of(cls, test, name, **shape):
        site = cls()
        test.addCleanup(site.doCleanups)
        site.name, site.neighbours, site.rows, site.options = name, {}, [], QUICK
        site.fleet(**({"voters": 3, "followers": 1, "providers": 1} | shape))
        site.listens = {n: site.free() for n in site.voters}
        return site

    def free(self):
        """Below the ports that the kernel gives to connections: one of those may go to any before it is listened on."""
        while True:
            port = random.randrange(10_000, 32_000)
            with suppress(OSError), socket.create_server(("127.0.0.1", port)):
                if port not in GIVEN:
                    GIVEN.add(port)
                    return f"127.0.0.1:{port}"

    def knows(self, name, *addresses, **more):
        self.neighbours[name] = {"name": name, "addresses": list(addresses), **more}

    def offers(self, *rows):
        self.rows = list(rows)

    def write(self, *names):
        """The file of the partners, at the sidecars that are named, else at all."""
        rows = [{k: v for k, v in r.items() if k != "valid_for"} for r in self.rows]
        text = json.dumps({"neighbours": list(self.neighbours.values()), "routes": rows})
        for name in names or self.sidecars:
            (self.sidecars[name].folder / "partners.json").write_text(text, encoding="utf-8")

    def begin(self, *names):
        self.write()
        for name, sidecar in self.sidecars.items():
            keys = {"site": self.name, "file": "partners.json", "service": "orders@shop"} | self.options
            if name in self.listens:
                keys["listen"] = self.listens[name]
            sidecar.more = "\n".join(["[partners]", *(f"{k} = {json.dumps(v)}" for k, v in keys.items())])
        return super().begin(*names)

    def reload(self, *names):
        self.write(*names)
        for name in names or self.sidecars:
            self.sidecars[name].signal(1)

    def routes(self, sidecar):
        """What ROUTES says there, by key."""
        answer = sidecar.call("ROUTES", 2)
        return dict(part.split("=", 1) for part in answer.split()[1:] if "=" in part) if answer[:2] == "OK" else {}

    def standing(self, sidecar, partner):
        pairs = dict(pair.split(":") for pair in self.routes(sidecar).get("partners", "").split(",") if ":" in pair)
        return pairs.get(partner, "")

    def running(self):
        return [s for s in self.sidecars.values() if s.program is not None]

    def all(self, check, seconds=10):
        """Waits until it holds at every sidecar that runs."""
        for sidecar in self.running():
            self.wait(lambda sidecar=sidecar: check(sidecar), seconds)

    def asks(self, partner):
        """The sidecars that ask a partner, by their own word."""
        return [s.name for s in self.running() if partner in self.routes(s).get("asks", "").split(",")]

    def fenced(self, duty):
        """The duty's writes in the order of the log: token, key, value, and whether the machine refused each."""
        host, port = self.seats[self.leader().name].split(":")
        machine, found, reader = Machine(), [], wire.Reader()
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.sendall(wire.written(wire.Hello(wire.VERSION, "loftweir", "id", "judge", wire.Kind.FOLLOWER)))
            while True:
                sock.sendall(wire.written(wire.Follow(machine.index, 0)))
                while not isinstance(news := reader.next(), wire.News):
                    if news is None:
                        reader.feed(sock.recv(65536))
                if not news.entries:
                    return found
                for told in news.entries:
                    if not told.data:
                        machine.passed(told.index)
                        continue
                    act, result = Order_.decode(told.data).act, machine.apply(told.index, told.data)
                    if isinstance(act, Fenced) and act.duty == duty:
                        found.append((act.token, act.key, act.value, not isinstance(result, Ok)))

    def kept(self, duty):
        """The keys that a duty has."""
        held = {key: bool(value) for _, key, value, refused in self.fenced(duty) if not refused}
        return {key for key, there in held.items() if there}


def ask(address, site, after=None, wait_ms=0, timeout=5, source="127.0.0.1"):
    """One call for a site's routes: the status, and the answer or its words."""
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


def mark(answer):
    return f"{answer['epoch']}.{answer['index']}"


def services(answer):
    return {r["service"] for r in answer["routes"]}
