"""`loftweir try`: a sidecar with stand-ins round it, on free ports of loopback."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from http.client import HTTPConnection
from pathlib import Path
from types import FrameType

import click

from loftweir.config.units import split_host_port
from loftweir.standins.toy import Members, configuration, discovery, provider

READY_WITHIN = 10.0  # seconds
ENDS_WITHIN = 10.0

LINES = """
A sidecar with {providers} stand-in providers and a discovery. Try, from another shell:

  curl -i http://{listen}/_health
  curl -i http://{listen}/api -H 'Req-Id: r1' -H 'Req-Kind: status-read' -H 'Req-Deadline-Ms: 1000'
  curl -i http://{listen}/api -H 'Req-Id: r2' -H 'Req-Kind: apply-submit' -d 'name=A'
  curl -X POST http://{discovery}/leaving/toy-1     # a drain; POST /active/toy-1 ends it

A new Req-Id is due with every request. Ctrl-C ends all of it.
"""


@click.command("try")
@click.option("--providers", type=click.IntRange(1, 50), default=3, show_default=True)
@click.option("--log-format", type=click.Choice(["console", "json", "logfmt"]), default="console", show_default=True)
@click.option("--access/--no-access", default=True, show_default=True, help="An access line for each request.")
def attempt(providers: int, log_format: str, access: bool) -> None:
    """Start a sidecar, stand-in providers and a stand-in discovery; print the curl lines to use."""
    signal.signal(signal.SIGTERM, interrupted)
    toys = {f"toy-{n}": provider(f"toy-{n}") for n in range(1, providers + 1)}
    members = Members((name, toy.address) for name, toy in toys.items())
    catalog = discovery(members)
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    with tempfile.TemporaryDirectory() as folder:
        config, operator = Path(folder, "config.json"), Path(folder, "loftweir.toml")
        config.write_text(json.dumps(configuration(listen, members, catalog.address)), encoding="utf-8")
        operator.write_text(f'[log]\naccess = "{"all" if access else "off"}"\n', encoding="utf-8")
        words = ["run", "--config", str(config), "--operator", str(operator), "--log-format", log_format]
        sidecar = subprocess.Popen([sys.executable, "-m", "loftweir", *words])
        try:
            if not ready(sidecar, listen):
                click.echo("the sidecar did not get ready", err=True)
                sys.exit(1)
            click.echo(LINES.format(providers=providers, listen=listen, discovery=catalog.address))
            sys.exit(sidecar.wait())
        except KeyboardInterrupt:
            click.echo("ending")
        finally:
            end(sidecar)
            for toy in (*toys.values(), catalog):
                toy.close()


def interrupted(number: int, frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def ready(sidecar: subprocess.Popen[bytes], listen: str) -> bool:
    until = time.monotonic() + READY_WITHIN
    while time.monotonic() < until and sidecar.poll() is None:
        client = HTTPConnection(*split_host_port(listen), timeout=1)
        try:
            client.request("GET", "/_health")
            if client.getresponse().status == 200:
                return True
        except OSError:
            time.sleep(0.02)
        finally:
            client.close()
    return False


def end(sidecar: subprocess.Popen[bytes]) -> None:
    """In good order, and then not."""
    if sidecar.poll() is None:
        sidecar.terminate()
    try:
        sidecar.wait(ENDS_WITHIN)
    except subprocess.TimeoutExpired:
        sidecar.kill()
        sidecar.wait()
