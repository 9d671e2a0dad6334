"""`loftweir try`: a sidecar with stand-ins for providers and discovery, on free ports of the loopback interface."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import time
from http.client import HTTPConnection
from pathlib import Path
from types import FrameType

import click

from loftweir.config.units import split_host_port
from loftweir.standins.addresses import LOOPBACK, Addresses
from loftweir.standins.toy import ProviderList, platform_config, start_discovery, start_provider

READY_TIMEOUT = 10.0  # seconds
STOP_TIMEOUT = 10.0  # seconds

INSTRUCTIONS = """
A sidecar with {providers} stand-in providers and a discovery is running. Try in another shell:

  curl -i http://{listen}/_health
  curl -i http://{listen}/api -H 'Req-Id: r1' -H 'Req-Kind: status-read' -H 'Req-Deadline-Ms: 1000'
  curl -i http://{listen}/api -H 'Req-Id: r2' -H 'Req-Kind: apply-submit' -d 'name=A'
  curl -X POST http://{discovery}/leaving/toy-1     # drains it; POST /active/toy-1 ends that

Every request needs a new Req-Id. Ctrl-C stops everything.
"""


@click.command("try")
@click.option("--providers", type=click.IntRange(1, 50), default=3, show_default=True)
@click.option("--log-format", type=click.Choice(["console", "json", "logfmt"]), default="console", show_default=True)
@click.option("--access/--no-access", default=True, show_default=True, help="Log an access line for each request.")
def attempt(providers: int, log_format: str, access: bool) -> None:
    """Start a sidecar with stand-in providers and discovery, and print curl commands to try."""
    signal.signal(signal.SIGTERM, interrupt)
    providers_by_name = {f"toy-{n}": start_provider(f"toy-{n}") for n in range(1, providers + 1)}
    members = ProviderList((name, provider.address) for name, provider in providers_by_name.items())
    discovery = start_discovery(members)
    listen = Addresses(LOOPBACK).unused()
    with tempfile.TemporaryDirectory() as folder:
        config, operator = Path(folder, "config.json"), Path(folder, "loftweir.toml")
        config.write_text(json.dumps(platform_config(listen, members, discovery.address)), encoding="utf-8")
        operator.write_text(f'[log]\naccess = "{"all" if access else "off"}"\n', encoding="utf-8")
        arguments = ["run", "--config", str(config), "--operator", str(operator), "--log-format", log_format]
        sidecar = subprocess.Popen([sys.executable, "-m", "loftweir", *arguments])
        try:
            if not wait_until_ready(sidecar, listen):
                click.echo("the sidecar did not become ready", err=True)
                sys.exit(1)
            click.echo(INSTRUCTIONS.format(providers=providers, listen=listen, discovery=discovery.address))
            sys.exit(sidecar.wait())
        except KeyboardInterrupt:
            click.echo("stopping")
        finally:
            stop(sidecar)
            for server in (*providers_by_name.values(), discovery):
                server.close()


def interrupt(number: int, frame: FrameType | None) -> None:
    """Handles SIGTERM like Ctrl-C."""
    raise KeyboardInterrupt


def wait_until_ready(sidecar: subprocess.Popen[bytes], listen: str) -> bool:
    """Waits for the sidecar to answer its health check; returns False if it does not in time."""
    until = time.monotonic() + READY_TIMEOUT
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


def stop(sidecar: subprocess.Popen[bytes]) -> None:
    """Terminates the sidecar, and kills it if it does not stop in time."""
    if sidecar.poll() is None:
        sidecar.terminate()
    try:
        sidecar.wait(STOP_TIMEOUT)
    except subprocess.TimeoutExpired:
        sidecar.kill()
        sidecar.wait()
