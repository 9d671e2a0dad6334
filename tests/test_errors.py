"""The error types: each is caused by a test, each has a remedy, and docs/errors.md lists them all."""

import ast
import io
import re
from unittest import mock

import pytest
from scene import ROOT
from support import SECOND, settings

from loftweir import errors
from loftweir.adapter import Adapter
from loftweir.config.faults import Faulty
from loftweir.config.lists import NotAList, read_list
from loftweir.config.model import Options
from loftweir.daemon import origin, read
from loftweir.http1.discovery import Discovery
from loftweir.http1.list_call import CallFailed
from loftweir.interface import SettingsError
from loftweir.net.loop import Loop
from loftweir.operations.calls import No, parse_command
from loftweir.settings import WireError
from loftweir.state.sealed import Damaged, unseal
from loftweir.telemetry.catalogue import DISCOVERY_LIST_FAILED

errors.import_all_modules()
FAMILY = list(errors.types())
SOURCES = {path: path.read_text(encoding="utf-8") for path in (ROOT / "loftweir").rglob("*.py")}


def call_discovery():
    """Raises the error that is logged when discovery's address does not resolve."""
    loop, logged = Loop(), []
    loop.after(10 * SECOND, setattr, loop, "stopped", True)

    def emit(event, **fields):
        if event is DISCOVERY_LIST_FAILED:
            logged.append(fields["why"])

    with mock.patch("loftweir.http1.discovery.emit", emit):
        Discovery(loop, "nowhere", Options(), lambda *_: setattr(loop, "stopped", True)).fetch()
        loop.run()
    raise logged[0]


CAUSES = {
    CallFailed: (call_discovery, "not up", ""),
    Damaged: (lambda: unseal(b"kept", 1, b"kept 2 0\n"), "of version 2, this one reads 1, at byte 5", "byte 5"),
    Faulty: (lambda: read(origin({})), "environment: RELAY_CONFIG: got (missing), expected", "environment"),
    No: (lambda: parse_command(b"DISABLE"), "usage: DISABLE ID", ""),
    NotAList: (lambda: read_list({"endpoints": []}), "index: got '(missing)', expected a whole number", "index"),
    SettingsError: (lambda: settings(me=7), "settings: me: must be from 0 to balancers - 1", "me"),
    WireError: (lambda: Adapter().run(io.StringIO("TURN\tx\nGO\n"), io.StringIO()), "line 1: TURN: field clock", ""),
}


@pytest.mark.parametrize("kind", CAUSES, ids=lambda kind: kind.__name__)
def test_each_type_is_raised_with_its_text_and_place(kind):
    cause, text, place = CAUSES[kind]
    with pytest.raises(errors.LoftweirError) as caught:
        cause()
    assert type(caught.value) is kind and str(caught.value).startswith(text) and caught.value.where == place
    assert isinstance(caught.value, ValueError) is (kind in (Damaged, Faulty, NotAList, SettingsError))


def test_the_page_lists_every_type():
    page = (ROOT / "docs" / "errors.md").read_text(encoding="utf-8")
    shown = "".join(f"{line}\n" for line in page.splitlines() if line.startswith("|"))
    assert shown == errors.table(), "print the table again: python -m loftweir.errors"


def test_every_type_that_is_raised_has_a_meaning_and_a_remedy():
    raised = set(re.findall(r"\braise (?:\w+\.)?(\w+)", "".join(SOURCES.values())))
    assert set(CAUSES) <= set(FAMILY) and len({kind.__name__ for kind in FAMILY}) == len(FAMILY)
    for kind in FAMILY:
        group = kind.__subclasses__() and kind.__name__ not in raised
        assert kind.__doc__ and "|" not in kind.__doc__ + kind.remedy, kind
        assert group or kind.remedy.endswith("."), f"{kind} has no remedy"


# Types that reach an operator as the text of a log line or answer: the test that causes each and checks that text.
BY_TEXT = {
    "Behind": "test_a_voter_that_is_behind_undoes_nothing_and_a_leader_with_another_history_does",
    "Gap": "test_responses_with_gaps_or_repeats_are_rejected_and_another_voter_is_used",
    "NotFollowed": "test_responses_with_gaps_or_repeats_are_rejected_and_another_voter_is_used",
    "NotTaken": "test_an_override_given_to_an_observer_applies_at_every_sidecar_within_a_second",
    "OtherCopies": "test_a_voter_that_is_behind_undoes_nothing_and_a_leader_with_another_history_does",
    "Removed": "test_without_a_majority_it_reports_the_age_of_its_state_and_acknowledges_nothing",
    "Torn": "test_a_torn_record_after_the_mark_is_cut_off_and_complete_ones_are_used",
}


def test_every_type_is_caused_by_a_test():
    trees = [ast.parse(path.read_text(encoding="utf-8")) for path in (ROOT / "tests").glob("*.py")]
    nodes = [n for tree in trees for n in ast.walk(tree)]
    named = {getattr(n, "id", getattr(n, "attr", "")) for n in nodes}
    tests = {n.name for n in nodes if isinstance(n, ast.FunctionDef)}
    assert set(BY_TEXT.values()) <= tests
    assert not {kind.__name__ for kind in FAMILY if kind.remedy} - named - set(BY_TEXT), "these are caused by no test"


def test_the_docstring_names_every_exception_outside_the_family():
    def kinds(of):
        return {k for kind in of.__subclasses__() for k in {kind, *kinds(kind)}}

    outside = {k.__name__ for k in kinds(Exception) - set(FAMILY) if k.__module__.startswith("loftweir.")}
    assert outside - {"LoftweirError"} == set(re.findall(r"`([A-Z]\w+)`", errors.__doc__)) - {"CallFailed"}
