"""Values of the operator's file that are each within their bounds and contradict each other."""

from __future__ import annotations

from collections.abc import Iterator

from loftweir import listclock
from loftweir.config.model import Discovery, Options
from loftweir.config.spec import MS
from loftweir.config.units import Unit, format_quantity
from loftweir.listclock import FRESH_CALLS, SHORTEST_FRESH_TIMEOUT

# The part of `partners.hold` that is reserved for a confirmed table to reach all sidecars of the site.
REPLICATION_MARGIN = 500 * MS


def contradictions(options: Options) -> Iterator[tuple[str, str]]:
    """Keys whose value contradicts that of another one: the path of each, and what it must be instead."""
    limits, log, discovery = options.limits, options.log, options.discovery
    if limits.sends_within > limits.request_within:
        yield "limits.sends_within", "at most limits.request_within"
    if limits.idle_of_sockets > limits.consumers_of_sockets:
        yield "limits.idle_of_sockets", "at most limits.consumers_of_sockets, which includes the idle connections"
    if log.access == "sampled" and log.access_sample == 0:
        yield "log.access_sample", "above 0%, as log.access asks for a sample"
    if options.replication.election < 3 * options.replication.beat:
        yield "replication.election", "at least three times replication.beat, as one heartbeat may be lost"
    if options.partners.site:
        yield from _partner_contradictions(options)
    if options.catalog.file and not options.partners.site:
        yield "catalog.file", "empty, or partners.site and replication.members set, as the whole site shares the names"
    yield from _late_notification(discovery)


def _late_notification(discovery: Discovery) -> Iterator[tuple[str, str]]:
    """Keys with which a sidecar can read a change later than it counts as notified of it."""
    answer, apart = discovery.answer_within, discovery.calls_apart
    own_calls = listclock.faults(discovery.wait, discovery.silent_after, answer, apart)
    pushed = listclock.faults(discovery.agent_wait, discovery.agent_silent_after, answer, apart, pushed=True)
    for prefix, faults in (("", own_calls), ("agent_", pushed)):
        for name, most in faults:
            yield (
                f"discovery.{prefix}{name}",
                (
                    f"at most {format_quantity(Unit.DURATION, most)}: a change counts as told 6 s after discovery "
                    "had it, and there must be time for another call after a silent one"
                ),
            )


def _partner_contradictions(options: Options) -> Iterator[tuple[str, str]]:
    partners = options.partners
    if not options.replication.members:
        yield "partners.site", "empty, or replication.members set, as the cluster stores the partners' routes"
    if not partners.file:
        yield "partners.file", "a file, as partners.site is set"
    least = partners.wait + partners.silent_after + FRESH_CALLS * SHORTEST_FRESH_TIMEOUT + REPLICATION_MARGIN
    if partners.hold < least:
        yield (
            "partners.hold",
            f"at least {format_quantity(Unit.DURATION, least)}: partners.wait, partners.silent_after, and time to try "
            "again",
        )
    if partners.hold < 2 * partners.lease:
        yield "partners.hold", "at least twice partners.lease, so that the next sidecar has fetched by then"
