"""HTTP port for operators: signed JSON requests, health checks and metrics."""

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
    """Operations that the entry offers to operators.

    Answers are JSON values. An answer with `in_force` false is sent with
    status 202. Any call may raise an ApricotpathError, whose class decides the
    status: InputError 400, NotFoundError 404, ConflictError 409, StoreError 503.
    """

    async def put_bundle(self, envelope: bytes) -> Json:
        """Accept a signed bundle; returns `version` and `in_force`."""

    async def get_bundle(self) -> Json:
        """Return `version` and `envelope` (JSON, or None) of the bundle in force."""

    async def set_data_centre(self, dc: DataCentreId, seq: int, state: ServiceState) -> Json:
        """Take a data centre out of service or bring it back.

        Returns `data_centre`, `seq`, `state`, `in_force`. Raises ConflictError if
        `seq` is not above the current one, unless the status is the current one.
        """

    async def submit_job(self, spec: JobSpec) -> Json:
        """Accept a job; submitting the same job again returns the same answer."""

    async def list_jobs(self, query: Mapping[str, str]) -> Json:
        """Return `jobs`; the query may name `team`, `state` and `limit`."""

    async def job(self, job: JobId) -> Json:
        """Return one job with its tasks."""

    async def cancel_job(self, job: JobId) -> Json:
        """Cancel a job; cancelling it again has no effect."""

    async def hosts(self) -> Json:
        """Return all hosts under the key `hosts`."""

    async def backends(self) -> Json:
        """Return all backend servers under the key `backends`."""

    async def explain(self, query: Mapping[str, str]) -> Json:
        """Explain the state of a `job`, or the rules for `team`, `activity` and `data_centre`."""

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
class VerifiedRequest:
    """An operator's request with verified credentials."""

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
    """A request that is refused before its operation is called; `status` is the HTTP status."""

    def __init__(self, status: int, text: str, rule: str = "") -> None:
        super().__init__(text)
        self.status = status
        self.rule = rule


Operation = Callable[[OperatorServices, VerifiedRequest], Awaitable[Json]]


async def _set_data_centre(services: OperatorServices, request: VerifiedRequest) -> Json:
    value = request.json()
    if not isinstance(value, dict) or set(value) != {"seq", "state"}:
        rule = "must be an object with 'seq' and 'state'"
        raise InputError(f"the body {rule}", "body", rule)
    seq, state = value["seq"], value["state"]
    if isinstance(seq, bool) or not isinstance(seq, int) or not 1 <= seq <= MAX_SEQ:
        rule = f"must be a whole number from 1 to {MAX_SEQ}"
        raise InputError(f"seq {rule}", "seq", rule)
    if state not in [item.value for item in ServiceState]:
        raise InputError("state must be 'in' or 'out'", "state", "must be 'in' or 'out'")
    return await services.set_data_centre(DataCentreId(request.argument), seq, ServiceState(state))


async def _submit_job(services: OperatorServices, request: VerifiedRequest) -> Json:
    return await services.submit_job(job_from_json(request.json()))


# Operations by method and path; a path that ends in / takes one more segment as argument.
OPERATIONS: dict[tuple[str, str], Operation] = {
    ("GET", "/v1/status"): lambda services, _: services.status(),
    ("GET", "/v1/bundle"): lambda services, _: services.get_bundle(),
    ("PUT", "/v1/bundle"): lambda services, request: services.put_bundle(request.body),
    ("PUT", "/v1/datacentres/"): _set_data_centre,
    ("GET", "/v1/jobs"): lambda services, request: services.list_jobs(request.query),
    ("POST", "/v1/jobs"): _submit_job,
    ("GET", "/v1/jobs/"): lambda services, request: services.job(JobId(request.argument)),
    ("DELETE", "/v1/jobs/"): lambda services, request: services.cancel_job(JobId(request.argument)),
    ("GET", "/v1/hosts"): lambda services, _: services.hosts(),
    ("GET", "/v1/backends"): lambda services, _: services.backends(),
    ("GET", "/v1/explain"): lambda services, request: services.explain(request.query),
    ("GET", "/v1/debug"): lambda services, _: services.debug(),
}

# The first matching class decides the HTTP status.
STATUS_OF_ERROR: tuple[tuple[type[ApricotpathError], int], ...] = (
    (SignatureError, 401),
    (InputError, 400),
    (NotFoundError, 404),
    (ConflictError, 409),
    (StoreError, 503),
)


class OperatorApp:
    """The ASGI application of the operators' port.

    `trust` returns the keys trusted at present; `utc_now` is the entry's wall clock.
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
            public_answer = self._public_answer(scope["path"])
            if public_answer is not None:
                return public_answer
        try:
            answer = await self._serve(scope, receive)
            status = 202 if answer.get("in_force") is False else 200
        except ApricotpathError as exc:
            status, answer = error_answer(exc)
        except Exception:
            log.exception("an operator request failed", extra={"path": scope["path"]})
            status, answer = 500, {"error": "the entry failed; its log has details"}
        return status, JSON, json.dumps(answer).encode()

    def _public_answer(self, path: str) -> tuple[int, str, bytes] | None:
        """Return the answer for a path that needs no credentials, or None for other paths."""
        if path == "/healthz":
            return 200, TEXT, b"ok\n"
        if path == "/readyz":
            return (200, TEXT, b"ready\n") if self.services.ready() else (503, TEXT, b"not ready\n")
        if path == "/metrics":
            return 200, "text/plain; version=0.0.4; charset=utf-8", self.services.metrics()
        return None

    async def _serve(self, scope: Scope, receive: Receive) -> Json:
        headers = _read_headers(scope)
        target = _request_target(scope)
        # The credentials are parsed first, so that no body is read from a client without any.
        proof = parse_proof(headers.get("authorization", ""), headers.get("apricotpath-chain", ""))
        body = await _read_body(headers, receive)
        now_ms = int(self._utc_now().timestamp() * 1000)
        method = scope["method"]
        key = check_request(proof, method, target, body, self._trust(), now_ms, self.nonces)
        operation, argument = _find_operation(method, target.partition("?")[0])
        if method != "GET":
            log.info("operator request", extra={"key": key, "method": method, "target": target})
        query = dict(parse_qsl(target.partition("?")[2]))
        return await operation(self.services, VerifiedRequest(argument, query, body))


def error_answer(exc: ApricotpathError) -> tuple[int, Json]:
    """Return the HTTP status and the JSON body for an error."""
    answer: Json = {"error": str(exc)}
    for name in ("path", "rule"):
        if getattr(exc, name, ""):
            answer[name] = getattr(exc, name)
    if isinstance(exc, HttpError):
        return exc.status, answer
    status = next((code for cls, code in STATUS_OF_ERROR if isinstance(exc, cls)), 500)
    return status, answer


def _read_headers(scope: Scope) -> dict[str, str]:
    size = sum(len(name) + len(value) for name, value in scope["headers"])
    if size > MAX_HEADER_BYTES:
        raise HttpError(431, f"the headers have more than {MAX_HEADER_BYTES} bytes", "size")
    return {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]
    }


def _request_target(scope: Scope) -> str:
    """Return the path and query as the client sent and signed them."""
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


def _find_operation(method: str, path: str) -> tuple[Operation, str]:
    """Return the operation for a method and path, and its argument, or raise HttpError."""
    base, _, segment = path.rpartition("/")
    exact_methods = {
        name for name, pattern in OPERATIONS if pattern == path and not pattern.endswith("/")
    }
    if exact_methods:
        if method in exact_methods:
            return OPERATIONS[(method, path)], ""
    elif (
        prefix_methods := {name for name, pattern in OPERATIONS if pattern == f"{base}/"}
    ) and segment:
        if method in prefix_methods:
            return OPERATIONS[(method, f"{base}/")], unquote(segment)
    else:
        raise HttpError(404, f"there is nothing at {path}", "path")
    raise HttpError(405, f"{method} is not possible at {path}", "method")
