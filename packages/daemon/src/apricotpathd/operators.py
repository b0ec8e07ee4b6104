"""HTTP for operators: signed JSON requests, health checks and metrics."""

import json
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import parse_qsl, unquote

import anyio

from apricotpath.errors import (
    ApricotpathError,
    ConflictError,
    InputError,
    NotFoundError,
    SignatureError,
    StoreError,
)
from apricotpath.ids import DataCentreId, JobId
from apricotpath.model import JobSpec, ServiceState
from apricotpath.signing import (
    MAX_ENVELOPE_BYTES,
    NonceCache,
    Trust,
    check_request,
    parse_proof,
)
from apricotpath.submission import job_from_json
from apricotpathd.asgi import JSON, TEXT, Receive, Scope, Send, send_body, serve_lifespan
from apricotpathd.component import UtcClock

log = logging.getLogger(__name__)

MAX_BODY_BYTES = MAX_ENVELOPE_BYTES
MAX_HEADER_BYTES = 32 << 10
MAX_TARGET_BYTES = 4 << 10
BODY_TIMEOUT_S = 10.0
MAX_SEQ = 1 << 48

Json = dict[str, Any]


class OperatorServices(Protocol):
    """What the entry does for operators.

    Answers are JSON values. An answer with `in_force` false is sent with
    status 202. Any call may raise an ApricotpathError, whose kind decides the
    status: InputError 400, NotFoundError 404, ConflictError 409, StoreError 503.
    """

    async def put_bundle(self, envelope: bytes) -> Json:
        """Accept a signed bundle; answers `version` and `in_force`."""

    async def get_bundle(self) -> Json:
        """Return `version` and `envelope` (JSON, or None) of the bundle in force."""

    async def set_data_centre(self, dc: DataCentreId, seq: int, state: ServiceState) -> Json:
        """Take a data centre out or bring it back.

        Answers `data_centre`, `seq`, `state`, `in_force`. Raises ConflictError if
        `seq` is not above the known one, unless that status is in place already.
        """

    async def submit_job(self, spec: JobSpec) -> Json:
        """Accept a job; the same job a second time gives the same answer."""

    async def list_jobs(self, query: Mapping[str, str]) -> Json:
        """Return `jobs`; the query may name `team`, `state` and `limit`."""

    async def job(self, job: JobId) -> Json:
        """Return one job with its tasks."""

    async def cancel_job(self, job: JobId) -> Json:
        """Cancel a job; cancelling it again changes nothing."""

    async def hosts(self) -> Json:
        """Return `hosts`."""

    async def backends(self) -> Json:
        """Return `backends`."""

    async def explain(self, query: Mapping[str, str]) -> Json:
        """Explain a `job`, or what the rules say of `team`, `activity` and `data_centre`."""

    async def status(self) -> Json:
        """Return `entry`, `bundle` (`version`, `in_force`) and `data_centres`.

        Each data centre has `data_centre`, `seq`, `state`, `in_service`, `in_force`.
        """

    async def debug(self) -> Json:
        """Return the internal state of the entry."""

    def ready(self) -> bool:
        """Tell whether the load balancer may send requests here."""

    def metrics(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""


@dataclass(frozen=True, slots=True)
class Call:
    """An operator's request whose credentials have been checked."""

    argument: str
    query: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as a JSON value, or raise InputError."""
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            raise InputError("the body is not valid JSON", "body", "must be JSON") from exc


class HttpError(ApricotpathError):
    """A request that is refused before its meaning is looked at."""

    def __init__(self, status: int, text: str, rule: str = "") -> None:
        super().__init__(text)
        self.status = status
        self.rule = rule


Operation = Callable[[OperatorServices, Call], Awaitable[Json]]


async def _set_data_centre(services: OperatorServices, call: Call) -> Json:
    value = call.json()
    if not isinstance(value, dict) or set(value) != {"seq", "state"}:
        rule = "must be an object with 'seq' and 'state'"
        raise InputError(f"the body {rule}", "body", rule)
    seq, state = value["seq"], value["state"]
    if isinstance(seq, bool) or not isinstance(seq, int) or not 1 <= seq <= MAX_SEQ:
        rule = f"must be a whole number from 1 to {MAX_SEQ}"
        raise InputError(f"seq {rule}", "seq", rule)
    if state not in [item.value for item in ServiceState]:
        raise InputError("state must be 'in' or 'out'", "state", "must be 'in' or 'out'")
    return await services.set_data_centre(DataCentreId(call.argument), seq, ServiceState(state))


async def _submit_job(services: OperatorServices, call: Call) -> Json:
    return await services.submit_job(job_from_json(call.json()))


# Operations by path and method; a path that ends in / takes one more part.
OPERATIONS: dict[tuple[str, str], Operation] = {
    ("GET", "/v1/status"): lambda services, _: services.status(),
    ("GET", "/v1/bundle"): lambda services, _: services.get_bundle(),
    ("PUT", "/v1/bundle"): lambda services, call: services.put_bundle(call.body),
    ("PUT", "/v1/datacentres/"): _set_data_centre,
    ("GET", "/v1/jobs"): lambda services, call: services.list_jobs(call.query),
    ("POST", "/v1/jobs"): _submit_job,
    ("GET", "/v1/jobs/"): lambda services, call: services.job(JobId(call.argument)),
    ("DELETE", "/v1/jobs/"): lambda services, call: services.cancel_job(JobId(call.argument)),
    ("GET", "/v1/hosts"): lambda services, _: services.hosts(),
    ("GET", "/v1/backends"): lambda services, _: services.backends(),
    ("GET", "/v1/explain"): lambda services, call: services.explain(call.query),
    ("GET", "/v1/debug"): lambda services, _: services.debug(),
}

# The first class that matches decides.
STATUS_OF_ERROR: tuple[tuple[type[ApricotpathError], int], ...] = (
    (SignatureError, 401),
    (InputError, 400),
    (NotFoundError, 404),
    (ConflictError, 409),
    (StoreError, 503),
)


class OperatorApp:
    """The ASGI application of the operators' port.

    `trust` returns the keys trusted now; `utc_now` is the entry's wall clock.
    """

    def __init__(
        self, services: OperatorServices, trust: Callable[[], Trust], utc_now: UtcClock
    ) -> None:
        self.services = services
        self.nonces = NonceCache()
        self._trust = trust
        self._utc_now = utc_now

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await send_body(send, *await self._respond(scope, receive))

    async def _respond(self, scope: Scope, receive: Receive) -> tuple[int, str, bytes]:
        if scope["method"] in ("GET", "HEAD"):
            open_answer = self._open_answer(scope["path"])
            if open_answer is not None:
                return open_answer
        try:
            answer = await self._serve(scope, receive)
            status = 202 if answer.get("in_force") is False else 200
        except ApricotpathError as exc:
            status, answer = error_answer(exc)
        except Exception:
            log.exception("an operator request failed", extra={"path": scope["path"]})
            status, answer = 500, {"error": "the entry failed; its log has details"}
        return status, JSON, json.dumps(answer).encode()

    def _open_answer(self, path: str) -> tuple[int, str, bytes] | None:
        """Return the answer of a path that needs no credentials, or None."""
        if path == "/healthz":
            return 200, TEXT, b"ok\n"
        if path == "/readyz":
            return (200, TEXT, b"ready\n") if self.services.ready() else (503, TEXT, b"not ready\n")
        if path == "/metrics":
            return 200, "text/plain; version=0.0.4; charset=utf-8", self.services.metrics()
        return None

    async def _serve(self, scope: Scope, receive: Receive) -> Json:
        headers = _headers(scope)
        target = _target(scope)
        # The credentials are parsed first, so that nobody without any can send a body.
        proof = parse_proof(headers.get("authorization", ""), headers.get("apricotpath-chain", ""))
        body = await _read_body(headers, receive)
        now_ms = int(self._utc_now().timestamp() * 1000)
        method = scope["method"]
        key = check_request(proof, method, target, body, self._trust(), now_ms, self.nonces)
        operation, argument = _find(method, target.partition("?")[0])
        if method != "GET":
            log.info("operator request", extra={"key": key, "method": method, "target": target})
        query = dict(parse_qsl(target.partition("?")[2]))
        return await operation(self.services, Call(argument, query, body))


def error_answer(exc: ApricotpathError) -> tuple[int, Json]:
    """Return the status and the body that tell an operator of an error."""
    answer: Json = {"error": str(exc)}
    for name in ("path", "rule"):
        if getattr(exc, name, ""):
            answer[name] = getattr(exc, name)
    if isinstance(exc, HttpError):
        return exc.status, answer
    status = next((code for cls, code in STATUS_OF_ERROR if isinstance(exc, cls)), 500)
    return status, answer


def _headers(scope: Scope) -> dict[str, str]:
    size = sum(len(name) + len(value) for name, value in scope["headers"])
    if size > MAX_HEADER_BYTES:
        raise HttpError(431, f"the headers have more than {MAX_HEADER_BYTES} bytes", "size")
    return {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]
    }


def _target(scope: Scope) -> str:
    """Return path and query as the client sent and signed them."""
    raw = scope.get("raw_path") or scope["path"].encode()
    target: str = raw.partition(b"?")[0].decode("latin-1")
    if scope["query_string"]:
        target = target + "?" + scope["query_string"].decode("latin-1")
    if len(target) > MAX_TARGET_BYTES:
        raise HttpError(414, f"the path has more than {MAX_TARGET_BYTES} bytes", "size")
    return target


async def _read_body(headers: Mapping[str, str], receive: Receive) -> bytes:
    too_large = HttpError(413, f"the body has more than {MAX_BODY_BYTES} bytes", "size")
    length = headers.get("content-length", "0")
    if not length.isdecimal() or len(length) > 16 or int(length) > MAX_BODY_BYTES:
        raise too_large
    body = bytearray()
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise HttpError(400, "the client closed the connection", "body")
                body += message.get("body", b"")
                if len(body) > MAX_BODY_BYTES:
                    raise too_large
                if not message.get("more_body", False):
                    return bytes(body)
    except TimeoutError as exc:
        raise HttpError(408, f"the body took longer than {BODY_TIMEOUT_S:g} s", "time") from exc


def _find(method: str, path: str) -> tuple[Operation, str]:
    """Return the operation of a path and its argument, or raise HttpError."""
    base, _, last = path.rpartition("/")
    plain = {name for name, known in OPERATIONS if known == path and not known.endswith("/")}
    if plain:
        if method in plain:
            return OPERATIONS[(method, path)], ""
    elif (allowed := {name for name, known in OPERATIONS if known == f"{base}/"}) and last:
        if method in allowed:
            return OPERATIONS[(method, f"{base}/")], unquote(last)
    else:
        raise HttpError(404, f"there is nothing at {path}", "path")
    raise HttpError(405, f"{method} is not possible at {path}", "method")
