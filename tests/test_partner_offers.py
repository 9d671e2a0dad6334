"""The listener at which neighbours ask for this site's routes."""

import socket
from ipaddress import ip_network
from types import SimpleNamespace

import pytest
from scene import listener

from loftweir.net.loop import MS, SECOND, Loop
from loftweir.partners.offer import PATH, Listener


class NeighbourOffersStub:
    """Offers one table that never changes."""

    def __init__(self):
        self.offers = {"bergen": SimpleNamespace(has_changes=lambda after: False, response=lambda after, to: b"{}")}

    def rejection_reason(self, site, after):
        return ""


@pytest.mark.parametrize(
    ("change", "status"),
    [
        (lambda neighbours: {}, b"403"),
        (lambda neighbours: {"bergen": SimpleNamespace(asks_from=[ip_network("10.0.0.0/8")])}, b"403"),
        (lambda neighbours: neighbours, b"200"),
    ],
)
def test_a_call_that_waits_is_not_answered_for_a_neighbour_that_was_removed_meanwhile(change, status):
    """Guards against a last confirmation of the routes for a neighbour that operators have taken out."""
    loop = Loop()
    shown = Listener(loop, NeighbourOffersStub(), 4)
    neighbours = {"bergen": SimpleNamespace(asks_from=[])}
    shown.set_neighbours(neighbours)
    with listener() as accepting:
        far = socket.create_connection(accepting.getsockname())
        near, _ = accepting.accept()
    near.setblocking(False)
    shown.connections[near] = task = loop.task(shown._serve(near))
    far.sendall(f"GET {PATH}?site=bergen&after=1.1&wait_ms=300 HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    loop.after(100 * MS, lambda: shown.set_neighbours(change(neighbours)))
    loop.after(SECOND, lambda: setattr(loop, "stopped", True))
    task.step()
    loop.run()
    assert far.recv(4096).split(b" ")[1] == status
