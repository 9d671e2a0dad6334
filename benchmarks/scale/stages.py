"""The processor time that a sidecar spends on a whole list from discovery, stage by stage.

    python -m benchmarks.scale.stages [--entries 50,100,200,400,580,1160] [--rounds 5]

It runs in this process alone, without sockets: reading the response (h11) and writing the log are left out.
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

BUFFER_BYTES = 1 << 24  # memory for buffers of the data path
CONNECTIONS = 256  # to providers, at most


def milliseconds(step: Callable[[], object], rounds: int) -> float:
    """The median processor time of a step, in ms."""
    taken = []
    for _ in range(rounds):
        began = time.process_time()
        step()
        taken.append(time.process_time() - began)
    return 1000 * statistics.median(taken)


def stages(settings: Settings, entries: int, rounds: int) -> dict[str, float]:
    """The time of each stage for a list of this size, in ms."""
    answer = ujson.dumps(discovery.members(entries).snapshot())
    update, addresses = read_list(ujson.loads(answer))
    loop, options = Loop(), Options()
    overlay, balancer = Overlay(), Balancer(settings, 1)
    back = Backend(loop, settings, options, CONNECTIONS, BUFFER_BYTES)
    steps: dict[str, Callable[[], object]] = {
        "JSON": lambda: ujson.loads(answer),
        "config.lists.read_list": lambda: read_list(ujson.loads(answer)),
        "operations.overlay": lambda: overlay.update(update, addresses),
        "http1.back.Backend.update_list": lambda: back.update_list(update, addresses),
        "balance.Balancer": lambda: balancer.handle(loop.now(), [update]),
    }
    for step in steps.values():
        step()  # so that the measured steps replace an earlier list, as every change but the first does
    taken = {name: milliseconds(step, rounds) for name, step in steps.items()}
    taken["config.lists.read_list"] -= taken["JSON"]
    return taken


def main() -> None:
    """Prints a line for each size of the list."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--entries", default="50,100,200,400,580,1160")
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    settings, faults = settings_and_faults(JsonValues(PLATFORM_SETTINGS))
    assert settings is not None, faults
    for entries in map(int, arguments.entries.split(",")):
        taken = stages(settings, entries, arguments.rounds)
        print(f"{entries:5} entries: " + ", ".join(f"{name} {ms:.2f} ms" for name, ms in taken.items()))


if __name__ == "__main__":
    main()
