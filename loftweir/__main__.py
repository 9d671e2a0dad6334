"""Starts one real sidecar: reads its environment and its configuration, and runs it.

Run as ``python -m loftweir``. A configuration that can't be used ends it with one line on standard error.
"""

from __future__ import annotations

import os
import resource
import sys
from collections.abc import Iterator, Mapping
from typing import Any

import ujson

from loftweir.adapter import WireError, read_settings
from loftweir.interface import Settings, UpdateKind
from loftweir.net.discovery import read_list
from loftweir.net.http import host_and_port
from loftweir.net.loop import Loop, log
from loftweir.net.sidecar import Limits, Sidecar


def flatten(value: Any, path: str = "") -> Iterator[str]:
    """Nested settings as the path=value pairs that the adapter's reader takes."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count={len(value)}"
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield f"{path}={','.join(map(scalar, value))}"
    else:
        yield f"{path}={scalar(value)}"


def scalar(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return "-" if value is None else str(value)


def read_config(environment: Mapping[str, str]) -> tuple[Any, Limits, Settings]:
    """The configuration, once all of it can be used; an exception says what is wrong with it."""
    with open(environment["RELAY_CONFIG"], encoding="utf-8") as file:
        config = ujson.load(file)
    limits = Limits(int(config["limits"]["sockets"]), int(config["limits"]["memory_mb"]))
    return config, limits, read_settings(flatten(config["settings"]))


def build(loop: Loop, environment: Mapping[str, str]) -> Sidecar:
    """A started sidecar; a ValueError, KeyError or OSError says what is wrong with its configuration."""
    config, limits, settings = read_config(environment)
    listen = environment.get("RELAY_LISTEN") or config["listen"]
    discovery = environment.get("RELAY_DISCOVERY") or config["discovery"]
    host_and_port(listen)
    host_and_port(discovery)
    # The platform counts descriptors: running into a limit of its own, the sidecar can make room.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limits.sockets < soft or soft == resource.RLIM_INFINITY:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limits.sockets, hard))
    known, addresses = read_list(config["known"], UpdateKind.REMEMBERED)
    sidecar = Sidecar(loop, settings, int(str(config["seed"]), 16), discovery, limits)

    def reload() -> str:
        # The environment is that of the start and can't be replaced: the file's word is newer.
        address = str(read_config(environment)[0]["discovery"])
        host_and_port(address)
        return address

    sidecar.start(listen, known, addresses, reload)
    return sidecar


def main() -> int:
    loop = Loop()
    try:
        build(loop, os.environ)
    except KeyError as error:
        log(f"cannot start: {error.args[0]} is missing")
        return 2
    except (WireError, ValueError, TypeError, AttributeError, OSError) as error:
        log(f"cannot start: {error}")
        return 2
    loop.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
