"""A site with no ready server of its own uses a partner's, which stand in two data centres; some answers get lost."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scene_2 import (
    KEYED,
    ONCE,
    READ,
    TROUBLE,
    CannotRun,
    Discovery,
    HttpServer,
    Sidecar,
    dial,
    eventually,
    free_address,
    main,
    request_bytes,
    response,
)

WARM = 21.0  # s until a partner's servers, which count as just started, may get retries (warm within 24 s)
REQUESTS = 60
EVERY = 0.15  # s between two requests
LOST_EVERY = 3  # of three answers to keyed requests one gets lost

OPERATOR_FILE = """
[replication]
members = "{members}"
cluster = "{site}"
folder = "{folder}"

[partners]
site = "{site}"
file = "{file}"
listen = "{offers}"
service = "orders@shop"
"""


class DataCentre:
    """What the servers of one data centre have in common: they drop a repeated key for 12 s."""

    def __init__(self, name):
        self.name, self.ran_at, self.lock = name, {}, threading.Lock()

    def run(self, key):
        """Whether this request runs: False, if the key is a repeat."""
        with self.lock:
            now = time.monotonic()
            fresh = now - self.ran_at.get(key, -100) > 12
            if fresh:
                self.ran_at[key] = now
            return fresh


def start_site(scene, name, discovery, file):
    """Starts the three sidecars of a site, all of which vote and show its offers."""
    names = [f"{name}-n{n}" for n in range(3)]
    members = ", ".join(f"{n}={free_address()}" for n in names)
    sidecars, offers = [], []
    for one in names:
        offers.append(free_address())
        text = OPERATOR_FILE.format(
            members=members, site=name, folder=scene.folder / f"copies-{one}", file=file, offers=offers[-1]
        )
        sidecars.append(Sidecar(scene, one, text, discovery=discovery.address, known=discovery.body()))
    return sidecars, offers


def case(scene):
    """Returns the keys that ran more than once."""
    ran = {}  # by key: where it ran
    seen = threading.Lock()
    keyed_count = [0]

    def server(name, centre):
        def answer(sock, fields, _):
            key = fields.get("idempotency-key")
            if key is None:
                scene.record("upstream got", upstream=name, id=fields["req-id"])
                sock.sendall(response(b"by " + name.encode()))
                return True
            fresh = centre.run(key)
            with seen:
                if fresh:
                    ran.setdefault(key, []).append(centre.name)
                    keyed_count[0] += len(ran[key]) == 1
                # the answer to a first attempt gets lost: its connection is reset, as the pages name it
                lost = TROUBLE and fresh and len(ran[key]) == 1 and keyed_count[0] % LOST_EVERY == 0
            scene.record(
                "upstream got", upstream=name, centre=centre.name, id=fields["req-id"], key=key, ran=fresh, lost=lost
            )
            if lost:
                return False
            sock.sendall(response(b"by " + name.encode()))
            return True

        return HttpServer(answer)

    own = server("oslo-1", DataCentre("alm-1"))
    gates = {"gate-1": ("ber-1", server("gate-1", DataCentre("ber-1")))}
    gates["gate-2"] = ("ber-2", server("gate-2", DataCentre("ber-2")))
    # oslo's own server drains: it is listed, and takes nothing new
    scene.discovery.change(scene.entry("oslo-1", own, status="leaving"))
    bergen_discovery = Discovery()
    bergen_discovery.change(*(scene.entry(n, s, zone=zone) for n, (zone, s) in gates.items()))
    files = {site: scene.folder / f"{site}.json" for site in ("oslo", "bergen")}
    oslo, oslo_offers = start_site(scene, "oslo", scene.discovery, files["oslo"])
    bergen, bergen_offers = start_site(scene, "bergen", bergen_discovery, files["bergen"])
    route = {
        "service": "orders@shop",
        "classes": [READ, ONCE, KEYED],
        "share": "100%",
        "providers": [
            {"name": n, "address": s.address, "zone": zone, "type": "standard"} for n, (zone, s) in gates.items()
        ],
        "terms": {"use": {"only": ["oslo"]}, "show": {"only": ["oslo"]}, "passes": 0, "until": "forever"},
    }
    neighbours = {"oslo": ("bergen", bergen_offers, []), "bergen": ("oslo", oslo_offers, [route])}
    for site, (other, addresses, routes) in neighbours.items():
        text = json.dumps({"neighbours": [{"name": other, "addresses": addresses}], "routes": routes})
        files[site].write_text(text, encoding="utf-8")
    for sidecar in (*oslo, *bergen):
        sidecar.start()
    front = oslo[0]
    if not eventually(lambda: "standby=used" in front.call("ROUTES", 2), 40):
        raise CannotRun(f"the partner's route is not used: {front.call('ROUTES')}; {front.call('ROUTES orders@shop')}")
    scene.record("operator", call="ROUTES", answer=front.call("ROUTES"))
    time.sleep(WARM)
    answers = []

    def client(number):
        kind = READ if number % 3 == 0 else KEYED
        with dial(front.listen, 5) as sock:
            sock.sendall(request_bytes(f"r{number}", kind, 2500, b"" if kind == READ else b"{}", f"key-{number}"))
            status = sock.recv(4096).split(b"\r\n")[0].decode()
        answers.append(status)
        scene.record("client got", id=f"r{number}", kind=kind, status=status)

    threads = []
    for number in range(REQUESTS):
        threads.append(threading.Thread(target=client, args=(number,)))
        threads[-1].start()
        time.sleep(EVERY)
    for thread in threads:
        thread.join()
    if not ran:
        raise CannotRun("no keyed request came to a server")
    twice = {key: where for key, where in ran.items() if len(where) > 1}
    scene.record("counts", keys=len(ran), ran_twice=len(twice), answered=len(answers))
    return [f"{key} ran at {' and at '.join(where)}" for key, where in twice.items()]


main(__file__, case)
