"""Client connections with the catalog of services: the Host field of a request selects the service's balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loftweir.core.invocation import Invocation
from loftweir.http1.client import ClientConnection
from loftweir.http1.message import RequestHead
from loftweir.http1.request import BadRequest

if TYPE_CHECKING:
    from loftweir.catalog.hosts import Hosts


def client_class(hosts: Hosts) -> type[ClientConnection]:
    """Return the connection class of a frontend that serves these services."""

    class ServiceClientConnection(ClientConnection):
        """A client's connection whose requests go to different services.

        Invariant: from a request's head to its final answer, `host` is that of the service which the name meant when
        the head arrived, whatever it means later.
        """

        __slots__ = ()

        def admit(self, head: RequestHead, body: list[bytes]) -> Invocation | None:
            """Check a request's head as the base class does, and select the host by its Host field."""
            self.host = self.front.host
            invocation = super().admit(head, body)
            if invocation is not None:
                if sum(name.lower() == b"host" for name, _ in head.pairs) > 1:
                    raise BadRequest("Host comes twice")
                self.host = hosts.admit(head.fields.get(b"host", b"").decode("latin-1"), invocation)
            return invocation

    return ServiceClientConnection
