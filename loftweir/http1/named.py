"""A client's connection where the catalog is on: each request goes to the host that its Host field names."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loftweir.core.invocation import Invocation
from loftweir.http1.client import ClientConnection
from loftweir.http1.message import HttpRequest
from loftweir.http1.request import BadRequest

if TYPE_CHECKING:
    from loftweir.catalog.hosts import Hosts


def kind(hosts: Hosts) -> type[ClientConnection]:
    """The connections of a front with these hosts."""

    class Named(ClientConnection):
        """Invariant: `host` is, from a request's head to its answer, that of the service which it named at its head,
        whatever the name stands for by then."""

        __slots__ = ()

        def admit(self, request: HttpRequest) -> Invocation | None:
            self.host = self.front.host
            invocation = super().admit(request)
            if invocation is not None:
                if sum(name.lower() == b"host" for name, _ in request.pairs) > 1:
                    raise BadRequest("Host comes twice")
                self.host = hosts.admit(request.fields.get(b"host", b"").decode("latin-1"), invocation)
            return invocation

    return Named
