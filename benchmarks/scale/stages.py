"""Where a sidecar's processor time goes when discovery answers with the whole list, stage by stage.

    python -m benchmarks.scale.stages [--entries 50,100,200,400,580,1160] [--rounds 5]

In this process alone, without sockets: what is left out is reading the answer (h11) and the log.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Callable

import ujson

from benchmarks.scale import discovery
from benchmarks.scale.fleet import PLATFORM_SETTINGS
from loftweir.balance import Balancer
from loftweir.config.lists import read_list
from loftweir.config.model import Options
from loftweir.http1.back import Backend
from loftweir.interface import Settings
from loftweir.net.loop import Loop
from loftweir.operations.overlay import Overlay
from loftweir.settings import JsonValues, settings_and_faults

ROOM = 1 << 24
CONNECTIONS = 256


def milliseconds(step: Callable[[], object], rounds: int) -> float:
    """Median processor time."""
    taken = []
    for _ in range(rounds):
        began = time.process_time()
        step()
        taken.append(time.process_time() - began)
    return 1000 * statistics.median(taken)


def stages(settings: Settings, entries: int, rounds: int) -> dict[str, float]:
    answer = ujson.dumps(discovery.members(entries).snapshot())
    update, addresses = read_list(ujson.loads(answer))
    loop, options = Loop(), Options()
    overlay, balancer = Overlay(), Balancer(settings, 1)
    back = Backend(loop, settings, options, CONNECTIONS, ROOM)
    steps: dict[str, Callable[[], object]] = {
        "JSON": lambda: ujson.loads(answer),
        "config.lists.read_list": lambda: read_list(ujson.loads(answer)),
        "operations.overlay": lambda: overlay.update(update, addresses),
        "http1.back.Back.listed": lambda: back.update_list(update, addresses),
        "balance.Balancer": lambda: balancer.handle(loop.now(), [update]),
    }
    for step in steps.values():
        step()  # a list that is held already, as at every change but the first
    taken = {name: milliseconds(step, rounds) for name, step in steps.items()}
    taken["config.lists.read_list"] -= taken["JSON"]
    return taken


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--entries", default="50,100,200,400,580,1160")
    parser.add_argument("--rounds", type=int, default=5)
    wanted = parser.parse_args()
    settings, faults = settings_and_faults(JsonValues(PLATFORM_SETTINGS))
    assert settings is not None, faults
    for entries in map(int, wanted.entries.split(",")):
        taken = stages(settings, entries, wanted.rounds)
        print(f"{entries:5} entries: " + ", ".join(f"{name} {ms:.2f} ms" for name, ms in taken.items()))


if __name__ == "__main__":
    main()
