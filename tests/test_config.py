"""Configuration: all faults are reported with their places, keys are as documented, and sources are recorded."""

import json
import tomllib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from scene import SETTINGS, entry, list_body

from loftweir.config import operator, platform, reference, units
from loftweir.config.faults import MISSING, Faulty
from loftweir.config.model import Options, keys
from loftweir.config.units import DURATIONS, SIZES, Unit, format_quantity, parse_quantity
from loftweir.daemon import changes, origin, read

ROOT = Path(__file__).parent.parent
KEYS = {key.path: key for key in keys()}


def config(**changes):
    """A valid platform's file, with changes."""
    known = json.loads(list_body(0, [entry("s0", "127.0.0.1:1")], True))
    limits = {"sockets": 256, "memory_mb": 192}
    valid = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c", "limits": limits, "known": known}
    return valid | {"settings": SETTINGS} | changes


def faults_of(call):
    """The faults that a call raises, by path."""
    with pytest.raises(Faulty) as caught:
        call()
    return {fault.path: fault for fault in caught.value.faults}


def load(tmp_path, text, environment=None, flags=None):
    """Loads an operator's file with this text."""
    file = tmp_path / "loftweir.toml"
    file.write_text(text, encoding="utf-8")
    return operator.load(str(file), environment or {}, flags)


def test_all_faults_of_the_operators_file_are_reported_with_value_and_expectation(tmp_path):
    text = """
    stray = 1
    providers = 7
    [limits]
    request_wihtin = "1s"
    idle_for = 5
    body = "64 parsecs"
    backlog = 0
    answers_of_memory = "200%"
    write_within = "1s"
    [log]
    access = "loud"
    [limit]
    """
    faults = faults_of(lambda: load(tmp_path, text))
    assert faults.keys() == {
        "stray",
        "providers",
        "limits.request_wihtin",
        "limits.idle_for",
        "limits.body",
        "limits.backlog",
        "limits.answers_of_memory",
        "log.access",
        "limit",
    }
    assert "did you mean limits.request_within?" in faults["limits.request_wihtin"].expected
    assert "did you mean limits?" in faults["limit"].expected
    assert faults["limits.idle_for"].value == 5 and '"250ms"' in faults["limits.idle_for"].expected
    assert "1 to 65535" in faults["limits.backlog"].expected
    assert "off, troubled, sampled, all" in faults["log.access"].expected
    assert str(faults["limits.body"]).endswith(
        'loftweir.toml: limits.body: got \'64 parsecs\', expected a size such as "64KiB" or "4MiB", from 1B to 64MiB'
    )


@pytest.mark.parametrize("data", [b"[limits\n", b"\xff\xfe", b"a=1\na=2\n", b"x = [" * 100_000])
def test_invalid_toml_is_a_single_fault(tmp_path, data):
    file = tmp_path / "loftweir.toml"
    file.write_bytes(data)
    (fault,) = faults_of(lambda: operator.load(str(file), {})).values()
    assert fault.expected == "TOML in UTF-8"


def test_contradicting_keys_are_faults(tmp_path):
    text = '[limits]\nsends_within = "3s"\nidle_of_sockets = "60%"\n[log]\naccess = "sampled"\naccess_sample = "0%"\n'
    faults = faults_of(lambda: load(tmp_path, text))
    assert faults.keys() == {"limits.sends_within", "limits.idle_of_sockets", "log.access_sample"}
    assert faults["limits.sends_within"].value == "3s"


@pytest.mark.parametrize(
    ("members", "place"),
    [
        ("n0=127.0.0.1:1, n1=127.0.0.1:2", "not 2"),
        ("n0=127.0.0.1:1, n1=127.0.0.1:x, n2=127.0.0.1:3", "after n1="),
        ("n0=127.0.0.1:1, n1=127.0.0.1:1, n2=127.0.0.1:3", "after n1="),
        ("n0=127.0.0.1:1, n0=127.0.0.1:2, n2=127.0.0.1:3", "n0 is named twice"),
        ("n0=127.0.0.1:1, 127.0.0.1:2, n2=127.0.0.1:3", "127.0.0.1:2"),
    ],
)
def test_invalid_members_are_reported_with_their_place(tmp_path, members, place):
    faults = faults_of(lambda: load(tmp_path, f'[replication]\nmembers = "{members}"\n'))
    assert place in faults["replication.members"].expected


def test_a_member_without_a_folder_and_an_election_timeout_near_the_heartbeat_are_faults(tmp_path):
    members = "n2=127.0.0.1:3, n1=127.0.0.1:2, n0=127.0.0.1:1"
    options = load(tmp_path, f'[replication]\nmembers = "{members}"\n').options
    assert list(units.parse_members(options.replication.members)) == ["n0", "n1", "n2"]
    assert "name" in platform_faults(tmp_path, config(name="n1"), options=options)
    short = '[replication]\nbeat = "100ms"\nelection = "200ms"\n'
    assert "replication.election" in faults_of(lambda: load(tmp_path, short))


def test_every_documented_key_is_accepted_with_its_example_value(tmp_path):
    text = (ROOT / "deploy" / "loftweir.toml").read_text(encoding="utf-8")
    table = tomllib.loads(text)
    assert {f"{section}.{name}" for section, inner in table.items() for name in inner} == KEYS.keys()
    loaded = load(tmp_path, text)
    assert loaded.options == Options()
    assert set(loaded.sources.values()) == {"file"}


def test_the_reference_pages_match_the_program():
    page = (ROOT / "docs" / "configuration-reference.md").read_text(encoding="utf-8")
    assert page == reference.markdown()
    assert (ROOT / "deploy" / "loftweir.toml").read_text(encoding="utf-8") == reference.toml()


@pytest.mark.parametrize("path", [path for path, key in KEYS.items() if key.spec.unit not in (Unit.CHOICE, Unit.TEXT)])
def test_each_key_accepts_its_bounds_and_nothing_beyond(path):
    spec = KEYS[path].spec
    for bound in (spec.least, spec.most):
        assert operator.convert_value(spec, format_quantity(spec.unit, bound)) == bound
    step = 0.001 if spec.unit is Unit.SHARE else 1
    beyond = [spec.most + step, *([spec.least - step] if spec.least > 0 else [])]
    for value in beyond:
        with pytest.raises(ValueError, match="from"):
            operator.convert_value(spec, format_quantity(spec.unit, value))


def test_a_flag_takes_precedence_over_a_variable_and_that_over_the_file(tmp_path):
    text = '[log]\nlevel = "error"\nformat = "logfmt"\nkeep = "8KiB"\n'
    environment = {"LOFTWEIR_LOG_LEVEL": "warning", "LOFTWEIR_LOG_FORMAT": "json", "LOFTWEIR_LIMITS_BACKLOG": "64"}
    options, sources, _ = load(tmp_path, text, environment, {"log.level": "debug"})
    assert (options.log.level, sources["log.level"]) == ("debug", "flag")
    assert (options.log.format, sources["log.format"]) == ("json", "environment")
    assert (options.log.keep, sources["log.keep"]) == (8192, "file")
    assert (options.limits.backlog, sources["limits.backlog"]) == (64, "environment")
    assert sources["log.access"] == "default"
    faults = faults_of(lambda: load(tmp_path, "", {"LOFTWEIR_LOG_LEVLE": "x", "LOFTWEIR_LOG_KEEP": "x"}))
    assert "LOFTWEIR_LOG_LEVEL?" in faults["LOFTWEIR_LOG_LEVLE"].expected
    assert faults["LOFTWEIR_LOG_KEEP"].file == "environment"


@given(st.sampled_from([*DURATIONS, *SIZES]), st.integers(0, 10**9))
def test_a_formatted_quantity_parses_to_the_same_value(suffix, number):
    unit = Unit.DURATION if suffix in DURATIONS else Unit.SIZE
    value = parse_quantity(unit, f"{number}{suffix}")
    assert value == number * (DURATIONS | SIZES)[suffix]
    assert parse_quantity(unit, format_quantity(unit, value)) == value


@given(st.integers(0, 10**6), st.integers(0, 999))
def test_a_fraction_of_a_second_is_exact(whole, thousandths):
    assert parse_quantity(Unit.DURATION, f"{whole}.{thousandths:03d}s") == (whole * 1000 + thousandths) * 1_000_000


@given(st.one_of(st.text(max_size=12), st.integers(), st.floats(), st.booleans(), st.none()))
def test_any_other_value_is_rejected_with_the_expected_unit(value):
    for unit in (Unit.DURATION, Unit.SIZE, Unit.SHARE):
        try:
            assert parse_quantity(unit, value) >= 0
        except ValueError as error:
            assert str(error).startswith(unit.value)


def platform_faults(tmp_path, data, environment=None, options=None):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(data), encoding="utf-8")
    return faults_of(lambda: platform.load(str(file), environment or {}, options or Options()))


def test_all_faults_of_the_platforms_file_are_reported_with_their_paths(tmp_path):
    settings = json.loads(json.dumps(SETTINGS))
    settings["zone"] = "elsewhere"
    settings["safety"]["coldFrom"] = 7
    settings["profiles"][2]["window"] = 0
    known = {"index": 1, "endpoints": [entry("s0", "127.0.0.1:1", status="asleep") | {"group": "x"}, 5]}
    bad = config(listen="nowhere", seed="xyz", limits={"sockets": True}, settings=settings, known=known)
    faults = platform_faults(tmp_path, bad, {"RELAY_DISCOVERY": "no port"})
    of_entry = {f"known.endpoints.1.{name}" for name in entry("", "")}
    assert faults.keys() == of_entry | {
        "listen",
        "RELAY_DISCOVERY",
        "seed",
        "limits.sockets",
        "limits.memory_mb",
        "settings.zone",
        "settings.safety.coldFrom",
        "settings.profiles.2.window",
        "known.endpoints.0.status",
        "known.endpoints.0.group",
    }
    assert faults["RELAY_DISCOVERY"].file == "environment"
    assert faults["limits.memory_mb"].value == MISSING
    assert "active, leaving, left" in faults["known.endpoints.0.status"].expected


def test_all_unreadable_settings_are_reported(tmp_path):
    settings = json.loads(json.dumps(SETTINGS))
    settings["profiles"][0]["effect"] = "maybe"
    settings["profiles"][1]["target"] = "soon"
    del settings["safety"]["fall"]
    faults = platform_faults(tmp_path, config(settings=settings))
    assert faults.keys() == {"settings.profiles.0.effect", "settings.profiles.1.target", "settings.safety.fall"}


def test_a_contradiction_between_the_two_files_is_a_fault(tmp_path):
    options = load(tmp_path, '[providers]\nrest_least = "1s"\n').options
    short = json.loads(json.dumps(SETTINGS))
    short["allowed"]["connIdle"] = 1_000_000_000
    assert "settings.allowed.connIdle" in platform_faults(tmp_path, config(settings=short), options=options)


def test_the_faults_of_both_files_are_reported_together(tmp_path):
    (tmp_path / "c.json").write_text("{}")
    (tmp_path / "o.toml").write_text("[log]\nlevel = 1\n")
    faults = faults_of(lambda: read(origin({}, str(tmp_path / "c.json"), str(tmp_path / "o.toml"))))
    assert {"log.level", "listen", "settings"} <= faults.keys()


def test_changes_are_listed_by_key_and_whether_a_reload_applies_them(tmp_path):
    new = load(tmp_path, '[limits]\nbacklog = 64\nidle_for = "9s"\n').options
    assert changes(Options(), new) == {
        "limits.backlog": (512, 64, False),
        "limits.idle_for": ("5s", "9s", True),
    }
