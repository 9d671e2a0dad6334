"""Checks the head of a client's request and makes an invocation of it. No I/O."""

from __future__ import annotations

from loftweir.core.invocation import InvalidRequest, Invocation, check
from loftweir.http1.message import BodyStream, Fields, RequestHead, forwardable
from loftweir.interface import RequestClass, Settings
from loftweir.net.loop import MS
from loftweir.net.memory import TooLarge

# The fields that the sidecar itself interprets; none of them may occur twice.
OWN_FIELDS = (b"req-id", b"req-kind", b"req-deadline-ms", b"idempotency-key")
HEALTH_PATH = b"/_health"
INVOCATION_PATH = b"/api"
DEADLINE_DIGITS = 9  # the most digits that `Req-Deadline-Ms` may have


class BadRequest(Exception):
    """A request can't be served as it is. Carries the reason, and the status and fields of the response."""

    def __init__(self, why: str, status: int = 400, *headers: tuple[str, str]) -> None:
        super().__init__(why)
        self.status = status
        self.headers = headers


def check_length(fields: Fields, limit: int) -> None:
    """Raise `BadRequest` or `TooLarge` if the body length that a head gives can't be accepted."""
    length = fields.get(b"content-length")
    if length is None:
        return
    if b"transfer-encoding" in fields:
        # A program that goes by the other of the two would find a second request in the body (request smuggling).
        raise BadRequest("Content-Length and Transfer-Encoding together")
    if int(length) > limit:
        raise TooLarge


def is_health_check(request: RequestHead) -> bool:
    """Whether it is a health check of the sidecar itself; raise `BadRequest` for an unknown path or method."""
    path = request.target.partition(b"?")[0]
    if path == HEALTH_PATH:
        return True
    if path != INVOCATION_PATH:
        raise BadRequest("no such path", 404)
    if request.method not in (b"GET", b"POST"):
        raise BadRequest("GET or POST", 405, ("allow", "GET, POST"))
    return False


def to_invocation(head: RequestHead, body: list[bytes] | BodyStream, settings: Settings, traced: bool) -> Invocation:
    """Return the invocation for a request whose body may not have arrived; raise `BadRequest` if it can't be taken."""
    fields = head.fields
    _check_repeated(head)
    request_id, class_name = _text(fields, b"req-id"), _text(fields, b"req-kind", "utf-8")
    try:
        cls = check(settings.classes.get(class_name), class_name, bool(fields.get(b"idempotency-key")))
    except InvalidRequest as error:
        raise BadRequest(f"Req-Kind: {error}") from None
    return Invocation(
        request_id,
        cls,
        _time_left(fields, cls),
        forwardable(head, body),
        write=head.method != b"GET",
        client_retry=fields.get(b"req-retry") == b"1",
        traced=traced,
        key=_routing_key(fields.get(b"req-key")),
    )


def origin_form(target: bytes) -> bytes:
    """Return a request target in origin form, as providers get it: an absolute one also names the sidecar."""
    scheme, sign, rest = target.partition(b"://")
    if not sign or scheme.lower() not in (b"http", b"https"):
        return target
    authority, slash, path = rest.partition(b"/")
    return slash + path if slash else b"/" + authority[len(authority.partition(b"?")[0]) :]


def _check_repeated(request: RequestHead) -> None:
    """Raise `BadRequest` if one of the sidecar's own fields occurs twice."""
    if len(request.fields) == len(request.pairs):
        return
    names = [name for name, _ in request.pairs if name.lower() in OWN_FIELDS]
    if len(names) > len({name.lower() for name in names}):
        raise BadRequest("a Req field or Idempotency-Key comes twice")


def _time_left(fields: Fields, cls: RequestClass) -> int:
    """Return how long the client waits for the final answer, ns: at most as long as its class allows."""
    wait = fields.get(b"req-deadline-ms")
    if wait is None:
        return cls.deadline
    if not wait.isdigit() or len(wait) > DEADLINE_DIGITS or int(wait) <= 0:
        raise BadRequest("Req-Deadline-Ms is not a whole number above 0")
    return min(int(wait) * MS, cls.deadline)


def _text(fields: Fields, name: bytes, encoding: str = "ascii") -> str:
    """Return a field as text; raise `BadRequest` if it is missing or can't be decoded."""
    try:
        text = fields.get(name, b"").decode(encoding)
    except UnicodeDecodeError:
        text = ""
    if not text:
        raise BadRequest(f"{name.decode().title()} is missing or not plain text")
    return text


def _routing_key(value: bytes | None) -> str | None:
    """Return `Req-Key` if it is ASCII, else None: the balancer can do without it, so the request is not rejected."""
    return value.decode("ascii") if value and value.isascii() else None
