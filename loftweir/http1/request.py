"""The head of a client's request: whether it can be served, and the invocation that it makes. No I/O."""

from __future__ import annotations

from loftweir.core.invocation import InvalidRequest, Invocation, check
from loftweir.http1.message import Fields, HttpRequest
from loftweir.interface import RequestClass, Settings
from loftweir.net.loop import MS
from loftweir.net.stream import TooLarge

OWN_FIELDS = (b"req-id", b"req-kind", b"req-deadline-ms", b"idempotency-key")
HEALTH_PATH = b"/_health"
INVOCATION_PATH = b"/api"
DEADLINE_DIGITS = 9  # of `Req-Deadline-Ms` at most


class BadRequest(Exception):
    """A request that can't be served as it stands: the reason, and the status of its answer."""

    def __init__(self, why: str, status: int = 400, *headers: tuple[str, str]) -> None:
        super().__init__(why)
        self.status = status
        self.headers = headers


def check_length(fields: Fields, most: int) -> None:
    """Raises `BadRequest` or `TooLarge` where the length given in a head can't be accepted."""
    length = fields.get(b"content-length")
    if length is None:
        return
    if b"transfer-encoding" in fields:
        # Whoever reads it by the other length finds another request in the body.
        raise BadRequest("Content-Length and Transfer-Encoding together")
    if int(length) > most:
        raise TooLarge


def is_health_check(request: HttpRequest) -> bool:
    """Whether the request asks for the sidecar's own health; `BadRequest` where it asks for nothing that is here."""
    path = request.target.partition(b"?")[0]
    if path == HEALTH_PATH:
        return True
    if path != INVOCATION_PATH:
        raise BadRequest("no such path", 404)
    if request.method not in (b"GET", b"POST"):
        raise BadRequest("GET or POST", 405, ("allow", "GET, POST"))
    return False


def to_invocation(request: HttpRequest, settings: Settings, traced: bool) -> Invocation:
    """The invocation that a request makes, but for its body; `BadRequest` where it can't be taken."""
    fields = request.fields
    _check_repeated(request)
    request_id, class_name = _text(fields, b"req-id"), _text(fields, b"req-kind", "utf-8")
    try:
        cls = check(settings.classes.get(class_name), class_name, bool(fields.get(b"idempotency-key")))
    except InvalidRequest as error:
        raise BadRequest(f"Req-Kind: {error}") from None
    return Invocation(
        request_id,
        cls,
        _patience(fields, cls),
        request,
        write=request.method != b"GET",
        client_retry=fields.get(b"req-retry") == b"1",
        traced=traced,
        key=_routing_key(fields.get(b"req-key")),
    )


def origin_form(target: bytes) -> bytes:
    """A target in absolute form names the sidecar too, and providers are asked for its path alone."""
    scheme, sign, rest = target.partition(b"://")
    if not sign or scheme.lower() not in (b"http", b"https"):
        return target
    authority, slash, path = rest.partition(b"/")
    return slash + path if slash else b"/" + authority[len(authority.partition(b"?")[0]) :]


def _check_repeated(request: HttpRequest) -> None:
    if len(request.fields) == len(request.pairs):
        return
    names = [name for name, _ in request.pairs if name.lower() in OWN_FIELDS]
    if len(names) > len({name.lower() for name in names}):
        raise BadRequest("a Req field or Idempotency-Key comes twice")


def _patience(fields: Fields, cls: RequestClass) -> int:
    """How long the client waits for its answer, ns: at most as long as its class allows."""
    wait = fields.get(b"req-deadline-ms")
    if wait is None:
        return cls.deadline
    if not wait.isdigit() or len(wait) > DEADLINE_DIGITS or int(wait) <= 0:
        raise BadRequest("Req-Deadline-Ms is not a whole number above 0")
    return min(int(wait) * MS, cls.deadline)


def _text(fields: Fields, name: bytes, encoding: str = "ascii") -> str:
    try:
        text = fields.get(name, b"").decode(encoding)
    except UnicodeDecodeError:
        text = ""
    if not text:
        raise BadRequest(f"{name.decode().title()} is missing or not plain text")
    return text


def _routing_key(value: bytes | None) -> str | None:
    """`Req-Key`, where it is plain text: the balancer may do without it, and a request is not lost over it."""
    return value.decode("ascii") if value and value.isascii() else None
