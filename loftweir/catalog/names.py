"""Names of services: `service@mesh`, and the short `service`. Pure.

A service is one RFC 1123 label, a mesh one or more with dots between (as a SPIFFE trust domain's name is, SPIFFE-ID,
section 2.1); compared without case, kept in small letters. A service has no dots, so that a Host may have the global
name as `service.mesh` too: the sign @ of `service@mesh` parts user from host where a URL is made of it (RFC 3986,
section 3.2), and many clients would not send it.
"""

from __future__ import annotations

import re

from loftweir.errors import LoftweirError

LONGEST = 253  # characters of a name, RFC 1035, section 2.3.4
_LABEL = "[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?"  # RFC 1123, section 2.1, in small letters
_short = re.compile(_LABEL, re.ASCII).fullmatch
_mesh = re.compile(rf"{_LABEL}(?:\.{_LABEL})*", re.ASCII).fullmatch


class BadName(LoftweirError, ValueError):
    """A name in the catalog is not made of RFC 1123 labels, or a pin names another service than its own; its place is
    named, and nothing of what it came with is taken."""

    remedy = "Name it anew where it is declared: letters, digits, hyphens, 63 at most in a label; global: service@mesh."


def _small(text: object, place: str) -> str:
    # Before `lower`, which makes ASCII of other signs (the Kelvin sign becomes a k).
    if not isinstance(text, str) or not text.isascii() or len(text) > LONGEST:
        raise BadName(f"{text!r:.80} is not a name of at most {LONGEST} ASCII characters", place)
    return text.lower()


def short_name(text: object, place: str) -> str:
    """The name in small letters. `place`: where it stands, for `BadName`."""
    name = _small(text, place)
    if _short(name) is None:
        raise BadName(f"{name!r:.80} is not one RFC 1123 label", place)
    return name


def mesh_name(text: object, place: str) -> str:
    name = _small(text, place)
    if _mesh(name) is None:
        raise BadName(f"{name!r:.80} is not RFC 1123 labels with dots between", place)
    return name


def global_name(text: object, place: str) -> str:
    name = _small(text, place)
    service, _, mesh = name.partition("@")
    if _short(service) is None or _mesh(mesh) is None:
        raise BadName(f"{name!r:.80} is not service@mesh of RFC 1123 labels", place)
    return name


def parts(name: str) -> tuple[str, str]:
    """Service and mesh of a global name."""
    service, _, mesh = name.partition("@")
    return service, mesh


def of_host(host: str) -> str:
    """A Host as the catalog's keys have it: small letters, neither port nor the root's dot. What is no name stays as
    something that is no key."""
    name, colon, port = host.partition(":")
    if colon and port and not (port.isascii() and port.isdigit()):
        return ""  # an IPv6 address, or more than a port
    return name.removesuffix(".").lower() if name.isascii() else ""
