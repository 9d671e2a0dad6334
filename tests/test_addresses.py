"""Addresses that tests and benchmarks choose before a program listens on them."""

import subprocess
import sys

import pytest
from scene import ROOT, address_of

from loftweir.standins import addresses
from loftweir.standins.addresses import FIRST_EPHEMERAL_PORT, FIRST_PORT, LOOPBACK, Addresses, NoAddress
from loftweir.standins.faults import Links


def port_of(address):
    return int(address.rpartition(":")[2])


def test_no_address_is_handed_out_twice_also_to_links():
    """A link took any port of the host, and so one that a sidecar of its fleet was about to listen on."""
    pool = Addresses()
    links = Links(pool)
    try:
        chosen = [pool.unused() for _ in range(200)]
        chosen += [links.add(chosen[0]).address for _ in range(50)]
        chosen += [pool.unused() for _ in range(200)]
    finally:
        links.close()
    assert len(set(chosen)) == 450
    assert all(address.startswith(f"{pool.host}:") for address in chosen)


def test_no_port_is_one_that_the_kernel_assigns():
    pool = Addresses(LOOPBACK)
    assert all(FIRST_PORT <= port_of(pool.unused()) < FIRST_EPHEMERAL_PORT for _ in range(100))


def test_each_pool_of_each_process_has_a_host_of_its_own():
    code = "from loftweir.standins.addresses import own_host; print(*(own_host() for _ in range(3)))"
    hosts = [addresses.own_host() for _ in range(3)]
    for _ in range(2):
        hosts += subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True).split()
    assert len(set(hosts)) == 9


def test_ports_in_use_are_passed_over_until_none_is_left(monkeypatch):
    monkeypatch.setattr(addresses, "PORT_COUNT", 3)
    pool = Addresses()
    taken = [pool.listener() for _ in range(3)]
    assert len({address_of(sock) for sock in taken}) == 3
    with pytest.raises(NoAddress, match=pool.host):
        pool.unused()
    taken.pop().close()
    assert port_of(pool.unused()) < FIRST_PORT + 3
    for sock in taken:
        sock.close()
