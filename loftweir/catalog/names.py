"""Names of services: the global `service@mesh` and the short `service`.

Pure: no I/O and no clock.

A service is one RFC 1123 label; a mesh is one or more labels with dots between (like the name of a SPIFFE trust domain,
SPIFFE-ID, section 2.1). Names are compared without case and stored in lower case. A service has no dots, so that a Host
can also have the global name as `service.mesh`: the @ of `service@mesh` separates user and host in a URL (RFC 3986,
section 3.2), and many clients would not send it.
"""

from __future__ import annotations

import re

from loftweir.errors import LoftweirError

MAX_NAME_LENGTH = 253  # characters, RFC 1035, section 2.3.4
_LABEL = "[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?"  # RFC 1123, section 2.1, in lower case
_match_label = re.compile(_LABEL, re.ASCII).fullmatch
_match_mesh = re.compile(rf"{_LABEL}(?:\.{_LABEL})*", re.ASCII).fullmatch


class BadName(LoftweirError, ValueError):
    """A name in the catalog is not made of RFC 1123 labels, or a pin names another service than its own. The place is
    named, and nothing of the same file, route or command is used."""

    remedy = (
        "Rename it where it is declared: a label has at most 63 letters, digits and hyphens, and a global name is "
        "service@mesh."
    )


def _lower_case(text: object, place: str) -> str:
    # Checked before `lower`, which turns some other characters into ASCII (the Kelvin sign becomes a k).
    if not isinstance(text, str) or not text.isascii() or len(text) > MAX_NAME_LENGTH:
        raise BadName(f"{text!r:.80} is not a name of at most {MAX_NAME_LENGTH} ASCII characters", place)
    return text.lower()


def short_name(text: object, place: str) -> str:
    """Checks a short name and returns it in lower case. `place`: where it was found, for `BadName`."""
    name = _lower_case(text, place)
    if _match_label(name) is None:
        raise BadName(f"{name!r:.80} is not one RFC 1123 label", place)
    return name


def mesh_name(text: object, place: str) -> str:
    """Checks the name of a mesh and returns it in lower case."""
    name = _lower_case(text, place)
    if _match_mesh(name) is None:
        raise BadName(f"{name!r:.80} is not RFC 1123 labels with dots between", place)
    return name


def global_name(text: object, place: str) -> str:
    """Checks a global name and returns it in lower case."""
    name = _lower_case(text, place)
    service, _, mesh = name.partition("@")
    if _match_label(service) is None or _match_mesh(mesh) is None:
        raise BadName(f"{name!r:.80} is not service@mesh of RFC 1123 labels", place)
    return name


def split_name(name: str) -> tuple[str, str]:
    """The service and the mesh of a global name."""
    service, _, mesh = name.partition("@")
    return service, mesh


def host_key(host: str) -> str:
    """The key by which the catalog looks up a Host: in lower case, without the port and the trailing dot of the root.
    Other texts give a key that no name has."""
    name, colon, port = host.partition(":")
    if colon and port and not (port.isascii() and port.isdigit()):
        return ""  # an IPv6 address, or something else than a port after the colon
    return name.removesuffix(".").lower() if name.isascii() else ""
