"""The platform's settings: each field with an invalid value is named, and requests are served with all others."""

import copy
import json
import os
import time

import pytest
from scene import MS, SECOND, SidecarTest, StubServer, address_of, entry, eventually, listener, ok, profile
from test_config import config, platform_faults

from loftweir.config import platform
from loftweir.config.faults import MISSING
from loftweir.config.model import Options
from loftweir.interface import Effect, Scope
from loftweir.settings import PathValues, settings_and_faults

MISSING_FIELD = object()  # stands for a field that is left out
LONGEST_DURATION = 2**63 - 1
# Has every field that is read, and none of the names of the site almaty.
SITE = {
    "accounts": [{"name": "t1", "share": 0.5, "quotaPerS": 5.0}, {"name": "t2", "share": 0.5, "quotaPerS": 0}],
    "allowed": {
        "cancel": True, "connIdle": 2 * SECOND, "connectTimeout": 120 * MS, "maxAttempts": 2, "peerMessages": False,
        "maxRetryAfter": 600 * MS, "probes": True, "retryAfter": False, "secondCopies": False,
    },
    "balancers": 3,
    "costs": {"crossZone": 0.06},
    "dcs": ["quay", "w"],
    "discovery": "ask",
    "familyInfo": {"warmKeys": False},
    "me": 0,
    "overShareWorth": 0.1,
    "profiles": [
        profile("q", "repeatable") | {"worth": 1.0, "lateWorth": 0.2, "aimStretch": 0.5, "hardLimit": 250 * MS},
        profile("dues-pay", "by_key", "cell") | {"worth": 8, "lateWorth": 0, "window": 800 * MS},
        profile("berth-look", "once"),
    ],
    "quantum": 5 * MS,
    "safety": {
        "askWithin": 10 * SECOND, "coldFrom": 0.14, "fall": SECOND, "fallMultiple": 2.5, "graceToAnswer": 20 * MS,
        "stopSendingWithin": 500 * MS, "warmWithin": 9 * SECOND,
    },
    "weights": "rough",
    "zone": "quay",
}  # fmt: skip

NOT_TEXT = [5, 0.5, True, "", [], ["x"], {"a": 1}]
NOT_A_CHOICE = [*NOT_TEXT, "x"]
NOT_A_FLAG = ["x", "1", "", 2, -1, 0.5, [], [True], {"a": 1}]
NOT_A_NUMBER = ["x", "5", "", True, [], [1], {"a": 1}, float("inf"), float("nan")]
NOT_0_OR_MORE = [*NOT_A_NUMBER, -1, -(10**30)]
NOT_A_SHARE = [*NOT_0_OR_MORE, 0, 1.5, 10**30]
NOT_ABOVE_0 = [*NOT_0_OR_MORE, 0]
NOT_A_TIME = [*NOT_0_OR_MORE, 0.5, LONGEST_DURATION + 1, 10**30, 1e300]  # 0 is valid
NOT_A_DURATION = [*NOT_A_TIME, 0]
NOT_A_COUNT = [*NOT_ABOVE_0, 0.5]
NOT_A_LIST = [5, True, "x", "", {"a": 1}]

# By path: whether the field is required, and its invalid values.
FIELDS = {
    "accounts": (False, NOT_A_LIST),
    "accounts.1.name": (True, [*NOT_TEXT, "t1"]),
    "accounts.1.quotaPerS": (False, NOT_0_OR_MORE),
    "accounts.1.share": (False, NOT_0_OR_MORE),
    "allowed": (False, [5, "x", [], [1]]),
    "allowed.cancel": (False, NOT_A_FLAG),
    "allowed.connIdle": (False, NOT_A_DURATION),
    "allowed.connectTimeout": (False, NOT_A_DURATION),
    "allowed.maxAttempts": (False, NOT_A_COUNT),
    "allowed.maxRetryAfter": (False, NOT_A_TIME),
    "allowed.peerMessages": (False, NOT_A_FLAG),
    "allowed.probes": (False, NOT_A_FLAG),
    "allowed.retryAfter": (False, NOT_A_FLAG),
    "allowed.secondCopies": (False, NOT_A_FLAG),
    "balancers": (False, [*NOT_A_NUMBER, 0.5]),
    "costs.crossZone": (False, NOT_0_OR_MORE),
    "dcs": (True, [*NOT_A_LIST, [], [""], [5], [["quay"]], ["quay", None]]),
    "discovery": (True, NOT_A_CHOICE),
    "familyInfo.warmKeys": (False, NOT_A_FLAG),
    "me": (False, [*NOT_A_COUNT[:-2], 3, 0.5]),
    "overShareWorth": (False, NOT_0_OR_MORE),
    "profiles": (True, [*NOT_A_LIST, []]),
    "profiles.0": (True, [5, "x", []]),
    "profiles.0.aimStretch": (False, NOT_0_OR_MORE),
    "profiles.0.dedupScope": (False, NOT_A_CHOICE),
    "profiles.0.window": (False, NOT_A_TIME),
    "profiles.1.dedupScope": (True, NOT_A_CHOICE),
    "profiles.1.effect": (True, NOT_A_CHOICE),
    "profiles.1.hardLimit": (True, NOT_A_DURATION),
    "profiles.1.lateWorth": (False, NOT_0_OR_MORE),
    "profiles.1.name": (True, [*NOT_TEXT, "q"]),
    "profiles.1.stream": (False, NOT_A_FLAG),
    "profiles.1.target": (True, NOT_A_DURATION),
    "profiles.1.window": (True, NOT_A_DURATION),
    "profiles.1.worth": (False, NOT_0_OR_MORE),
    "quantum": (False, NOT_A_TIME),
    "safety.askWithin": (True, NOT_A_DURATION),
    "safety.coldFrom": (True, NOT_A_SHARE),
    "safety.fall": (True, NOT_A_TIME),
    "safety.fallMultiple": (True, NOT_ABOVE_0),
    "safety.graceToAnswer": (True, NOT_A_TIME),
    "safety.stopSendingWithin": (True, NOT_A_TIME),
    "safety.warmWithin": (True, NOT_A_TIME),
    "weights": (False, NOT_A_CHOICE),
    "zone": (True, [*NOT_TEXT, "elsewhere"]),
}


def site(**changes):
    """Return the settings with other values at some paths, which have `__` for their dots."""
    settings = copy.deepcopy(SITE)
    for path, value in changes.items():
        *before, last = path.split("__")
        place = settings
        for name in before:
            place = place[int(name) if isinstance(place, list) else name]
        if value is not MISSING_FIELD:
            place[int(last) if isinstance(place, list) else last] = value
        elif isinstance(place, list):
            place[int(last)] = None
        else:
            del place[last]
    return settings


def with_field(path, value):
    return site(**{path.replace(".", "__"): value})


def load(tmp_path, settings):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config(settings=settings)), encoding="utf-8")
    return platform.load(str(file), {}, Options()).settings


def leaves(value, path=""):
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from leaves(inner, f"{path}.{name}" if path else name)
    elif value and isinstance(value, list) and isinstance(value[0], dict):
        yield path
        yield from leaves(value[0], f"{path}.0")
    else:
        yield path


def test_the_table_has_every_field(tmp_path):
    load(tmp_path, SITE)
    assert {path.replace(".0.", ".1.") for path in leaves(SITE)} <= {path.replace(".0.", ".1.") for path in FIELDS}


@pytest.mark.parametrize("path", FIELDS)
def test_a_field_with_an_invalid_value_is_named_and_no_other(path, tmp_path):
    for value in FIELDS[path][1]:
        faults = platform_faults(tmp_path, config(settings=with_field(path, value)))
        assert faults.keys() == {f"settings.{path}"}, value


@pytest.mark.parametrize("path", FIELDS)
def test_a_missing_field_is_named_or_has_its_default(path, tmp_path):
    settings = with_field(path, MISSING_FIELD)
    if not FIELDS[path][0]:
        load(tmp_path, settings)
        return
    faults = platform_faults(tmp_path, config(settings=settings))
    if path == "profiles.0":
        assert faults.keys() == {"settings.profiles.0"}
    else:
        assert [(at, fault.value) for at, fault in faults.items()] == [(f"settings.{path}", MISSING)]


@pytest.mark.parametrize("path", [path for path in FIELDS if path != "accounts"])
def test_null_does_not_stand_for_the_default(path, tmp_path):
    assert platform_faults(tmp_path, config(settings=with_field(path, None))).keys() == {f"settings.{path}"}


def test_unknown_fields_are_ignored(tmp_path):
    more = {"harbour": {"tide": [1, {"a": None}]}, "zone=w": "w", "safety.fall": "x", "profiles.count": 1, "": 5}
    settings = SITE | more | {"safety": SITE["safety"] | {"newer": "x"}}
    settings["profiles"] = [p | {"newer": [], "deadline": -1} for p in SITE["profiles"]]
    assert load(tmp_path, settings) == load(tmp_path, SITE)


PLAIN_NAMES = [
    "q",
    "-",
    "a=b",
    "a.b",
    "count",
    "0",
    "Record_Note.v2",
    "classes.q.aim",
    "a/b?c#d",
    '"q"',
    "%2C",
    "~!@$^&*()|",
]


@pytest.mark.parametrize("name", [*PLAIN_NAMES, "q" * 500])
def test_a_class_a_zone_and_a_tenant_may_have_any_plain_name(name, tmp_path):
    settings = site(profiles__0__name="other", profiles__1__name=name, accounts__0__name=name)
    settings |= {"zone": name, "dcs": ["w", name]}
    loaded = load(tmp_path, settings)
    assert loaded.classes[name].effect is Effect.BY_KEY and loaded.classes[name].scope is Scope.CELL
    assert loaded.zone == name and loaded.zones == ("w", name) and name in loaded.tenants
    settings["profiles"][1]["target"] = 0
    assert platform_faults(tmp_path, config(settings=settings)).keys() == {"settings.profiles.1.target"}


def parse_pairs(settings):
    return settings_and_faults(PathValues(platform.flatten(settings)))


# In pairs, names are any text, and a list of objects is its count.
@pytest.mark.parametrize("path", [path for path in FIELDS if path.rpartition(".")[2] not in
                                  ("accounts", "allowed", "dcs", "name", "profiles", "0", "zone")])  # fmt: skip
def test_fields_in_the_simulators_protocol(path, tmp_path):
    """There `-` stands for an absent value, and numbers are text."""
    assert parse_pairs(SITE) == (load(tmp_path, SITE), [])
    required, invalid = FIELDS[path]
    for value in (None, *invalid):
        if isinstance(value, bool | dict) or value in ("5", "1", [1], [True], ["x"]):
            continue  # invalid in JSON only
        settings, faults = parse_pairs(with_field(path, value))
        expected = [path] if value is not None or required else []
        assert ([fault.path for fault in faults], settings is None) == (expected, bool(expected)), value


@pytest.mark.parametrize(
    ("path", "value", "faulty"),
    [
        ("zone", "elsewhere", "zone"), ("zone", "", "zone"), ("zone", None, "zone"), ("dcs", [], "dcs"),
        ("dcs", None, "dcs"), ("accounts.1.name", "t1", "accounts.1.name"), ("profiles.1.name", "q", "profiles.1.name"),
        ("profiles.1.name", "", "profiles.1.name"), ("profiles", [], "profiles"), ("profiles", "x", "profiles"),
    ],
)  # fmt: skip
def test_names_in_the_simulators_protocol(path, value, faulty):
    settings, faults = parse_pairs(with_field(path, value))
    assert settings is None and [fault.path for fault in faults] == [faulty]


class ServedTest(SidecarTest):
    """The whole program with settings that differ from those of the site almaty."""

    def start_with(self, settings, since_ms=0):
        self.provider = StubServer(ok)
        self.addCleanup(self.provider.close)
        self.start(settings=settings, known=[entry("s0", self.provider.address, settings["zone"], since_ms=since_ms)])
        self.assertTrue(eventually(lambda: self.health() == 200), self.log())

    def send(self, name, client=None, method="POST", **more):
        headers = {"Req-Id": os.urandom(8).hex(), "Req-Kind": name} | {k.replace("_", "-"): v for k, v in more.items()}
        return self.send_request(method, "/api", headers, b"{}" if method == "POST" else None, client)[0]

    def faults(self):
        return [record["path"] for record in self.logged("reload.fault")]

    def test_names_with_unusual_characters_are_served(self):
        names = [*PLAIN_NAMES, "é", "船席"]
        self.start_with(site(profiles=[profile(name, "once") for name in names]))
        self.assertEqual([self.send(name.encode()) for name in names], [200] * len(names))
        self.assertEqual([self.send(name) for name in (b"status-read", b"\xe9", b"\xff\xfe")], [400, 400, 400])

    def test_all_times_at_their_maximum(self):
        longest = [*(f"allowed.{name}" for name in ("connIdle", "connectTimeout", "maxRetryAfter")), "quantum"]
        settings = site(**{path.replace(".", "__"): LONGEST_DURATION for path in longest})
        settings["safety"] |= {
            name: LONGEST_DURATION for name in SITE["safety"] if name not in ("coldFrom", "fallMultiple")
        }
        times = {"target": LONGEST_DURATION, "hardLimit": LONGEST_DURATION, "window": LONGEST_DURATION, "worth": 1e300}
        settings["profiles"] = [p | times for p in settings["profiles"]]
        self.start_with(settings)
        for _ in range(3):
            self.assertEqual(self.send("q", method="GET"), 200)
            self.assertEqual(self.send("dues-pay", Idempotency_Key="k", Req_Deadline_Ms="900"), 200)
        self.terminate()
        self.assertEqual(self.program.wait(10), 0, self.log())
        self.assertNotIn("broken", self.log())

    def test_all_times_at_their_minimum_and_a_provider_whose_clock_is_ahead(self):
        settings = site(quantum=0, allowed__maxRetryAfter=0)
        shortest = {"fall": 0, "graceToAnswer": 0, "stopSendingWithin": 0, "warmWithin": 0, "askWithin": 50 * MS}
        settings["safety"] |= shortest
        self.start_with(settings, since_ms=int(time.time() * 1000) + 60_000)
        # By the list it has not begun to warm up: some requests are rejected, and nothing breaks.
        self.assertLessEqual({self.send("berth-look") for _ in range(8)}, {200, 503})
        self.assertNotIn("broken", self.log())

    def test_pushed_lists_without_ask_within_and_with_an_agent_that_is_down(self):
        settings = site(discovery="push", safety__askWithin=MISSING_FIELD)
        self.start_with(settings)
        self.discovery.close()
        stat = f"/proc/{self.program.pid}/stat"

        def ticks():
            with open(stat, encoding="ascii") as file:
                return sum(map(int, file.read().rpartition(")")[2].split()[11:13]))

        before = ticks()
        time.sleep(1)
        self.assertLess(ticks() - before, 0.3 * os.sysconf("SC_CLK_TCK"), "it must not spin")
        self.assertEqual(self.send("berth-look"), 200)

    def test_a_request_has_the_limits_of_its_own_class_and_tenant_on_reused_connections(self):
        self.start_with(site(accounts=[{"name": n, "share": 0.5} for n in ("t1", "t2")]))
        client = self.client()
        plan = [
            ("q", "t1", {}, 250),
            ("dues-pay", "t2", {"Idempotency-Key": "k2"}, 600),  # its aim, as a later answer is worth nothing
            ("q", "", {"Req-Deadline-Ms": "90"}, 90),
            ("berth-look", "t1", {"Req-Deadline-Ms": "700"}, 700),
            ("q", "t2", {"Req-Deadline-Ms": "99999"}, 250),
            ("berth-look", "t9", {"Req-Key": "k3"}, 3000),
        ] * 3
        for name, tenant, more, _ in plan:
            headers = ({"Req-Owner": tenant} if tenant else {}) | more
            method = "GET" if name == "q" else "POST"
            headers = {field.replace("-", "_"): value for field, value in headers.items()}
            self.assertEqual(self.send(name, client, method, **headers), 200)
        received = self.provider.seen
        self.assertEqual({number for _, _, number in received}, {1}, "all on one connection to the provider")
        for (name, tenant, more, most), (head, _, _) in zip(plan, received, strict=True):
            fields = dict(line.lower().split(": ", 1) for line in head.splitlines()[1:])
            deadline_left = int(fields["req-deadline-ms"])
            self.assertTrue(most * 0.3 < deadline_left <= most, (name, tenant, deadline_left))
            self.assertEqual(fields.get("idempotency-key"), more.get("Idempotency-Key"))
            self.assertIn(fields.get("req-owner", ""), ("", tenant))

    def test_a_start_with_invalid_settings_exits_with_2_and_names_the_field(self):
        for path, value in (
            ("zone", MISSING_FIELD), ("dcs", []), ("profiles.1.name", "q"), ("profiles.1.dedupScope", MISSING_FIELD),
            ("profiles.1.window", 0), ("safety.fall", "x"), ("allowed", 5),
        ):  # fmt: skip
            with self.subTest(path=path):
                with listener() as free:
                    at = address_of(free)
                self.environment = {}
                self.run_program(json.dumps(config(listen=at, settings=with_field(path, value))))
                self.assertEqual(self.program.wait(10), 2, self.log())
                self.assertEqual([record["path"] for record in self.logged("start.fault")], [f"settings.{path}"])

    def test_a_reload_with_invalid_settings_changes_nothing(self):
        self.start_with(SITE)
        for path, value in (
            ("profiles.1.name", "q"), ("profiles.1.dedupScope", "-"), ("zone", ""), ("quantum", LONGEST_DURATION + 1),
        ):  # fmt: skip
            other = with_field(path, value)
            other["profiles"][2]["name"] = "never"
            self.reload(json.dumps(self.config | {"settings": other}))
            self.assertTrue(eventually(lambda path=path: f"settings.{path}" in self.faults()), self.log())
            self.assertEqual((self.send("berth-look"), self.send("never")), (200, 400))
        self.assertEqual((len(self.faults()), self.logged("reload.done")), (4, []))
        self.reload(json.dumps(self.config | {"settings": site(profiles__2__name="later")}))
        self.assertTrue(eventually(lambda: self.logged("reload.done")), self.log())
        self.assertEqual((self.send("berth-look"), self.send("later")), (400, 200))
