"""Steps for operators.feature."""

import time
from typing import Any

import anyio
import httpx
from behave import given, then, when
from control_steps import signed_bundle
from operator_standin import MemoryEntries
from trio.testing import MockClock

from apricotpath.signing import generate_key, rotate_key, sign_request
from apricotpathd.operators import MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_TARGET_BYTES

TARGET = "/v1/datacentres/suva-depot"
TAKE_OUT = b'{"seq": 1, "state": "out"}'


class OperatorPort:
    """Holds an entry's operator port with bundle 1 in force, and its last answer."""

    def __init__(self, ready: bool) -> None:
        self.key = generate_key()
        self.entries = MemoryEntries(["one"], [self.key.public_text])
        self.services = self.entries.services["one"]
        self.services.is_ready = ready
        assert self.services.control.merge_bundle(signed_bundle(self.key, 1))
        self.answer = httpx.Response(0)
        self.changes_before: list[str] = []
        self.nonce = 0

    def credentials(
        self, method: str, target: str, body: bytes, age_ms: int = 0, key: Any = None
    ) -> dict[str, str]:
        self.nonce += 1
        now_ms = time.time_ns() // 1_000_000 - age_ms
        return sign_request(key or self.key, method, target, body, now_ms, str(self.nonce))

    def send(self, method: str, target: str, body: bytes, headers: dict[str, str]) -> None:
        async def main() -> None:
            async with httpx.AsyncClient(transport=self.entries) as client:
                url = f"http://one{target}"
                self.answer = await client.request(method, url, content=body, headers=headers)

        anyio.run(main)

    def send_signed(self, method: str, target: str, body: bytes) -> None:
        self.send(method, target, body, self.credentials(method, target, body))

    def take_out_with(self, name: str) -> None:
        good = self.credentials("PUT", TARGET, TAKE_OUT)
        variants = {
            "no credentials": {},
            "a bearer token": {"Authorization": "Bearer abc"},
            "a key that is not trusted": self.credentials(
                "PUT", TARGET, TAKE_OUT, key=rotate_key(generate_key())
            ),
            "a signature for another body": self.credentials("PUT", TARGET, b"{}"),
            "a signature for another path": self.credentials("PUT", TARGET + "2", TAKE_OUT),
            "a time 31 s old": self.credentials("PUT", TARGET, TAKE_OUT, age_ms=31_000),
            "a replay": good,
            "a chain that is not JSON": {**good, "Apricotpath-Chain": "AAAA"},
        }
        if name == "a replay":
            self.send("PUT", TARGET, TAKE_OUT, good)
            assert self.answer.status_code == 200
        self.changes_before = list(self.services.changes)
        self.send("PUT", TARGET, TAKE_OUT, variants[name])

    def send_excess(self, excess: str) -> None:
        method, target, body = "PUT", TARGET, TAKE_OUT
        extra: dict[str, str] = {}
        if excess == "a body over the limit":
            body = b" " * (MAX_BODY_BYTES + 1)
            # The declared length is wrong, so the port must count the bytes it reads.
            extra["Content-Length"] = "5"
        elif excess == "a declared length too high":
            extra["Content-Length"] = str(MAX_BODY_BYTES + 1)
        elif excess == "headers over the limit":
            extra["Padding"] = "x" * MAX_HEADER_BYTES
        else:
            target += "x" * MAX_TARGET_BYTES
        self.send(method, target, body, {**self.credentials(method, target, body), **extra})

    def body(self, text: str) -> bytes:
        bundles = {
            "bundle 1": lambda: signed_bundle(self.key, 1),
            "bundle 2": lambda: signed_bundle(self.key, 2),
            "bundle 3": lambda: signed_bundle(self.key, 3),
            "bundle 2 without data centres": lambda: signed_bundle(self.key, 2, datacentres={}),
            "bundle 2 of a stranger": lambda: signed_bundle(generate_key(), 2),
            "nothing": lambda: b"",
        }
        return bundles[text]() if text in bundles else text.encode()

    def incomplete_body(self) -> tuple[float, int]:
        """Send an incomplete body; return the seconds until the answer, and its HTTP status."""
        sent: list[dict[str, Any]] = []
        headers = self.credentials("PUT", TARGET, TAKE_OUT)
        scope = {
            "type": "http",
            "method": "PUT",
            "path": TARGET,
            "query_string": b"",
            "headers": [(name.encode(), value.encode()) for name, value in headers.items()],
        }

        async def receive() -> dict[str, Any]:
            await anyio.sleep_forever()
            raise AssertionError

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        async def main() -> float:
            await self.entries.apps["one"](scope, receive, send)
            return anyio.current_time()

        clock = MockClock(autojump_threshold=0)
        ended = anyio.run(main, backend="trio", backend_options={"clock": clock})
        return ended, sent[0]["status"]


@given("an operator port that is {state}")
def _(context: Any, state: str) -> None:
    context.port = OperatorPort(state == "ready")


@when("the operator port gets GET {path} without credentials")
def _(context: Any, path: str) -> None:
    context.port.send("GET", path, b"", {})


@when("the operator port gets a take-out with {credentials}")
def _(context: Any, credentials: str) -> None:
    context.port.take_out_with(credentials)


@when("the operator port gets a signed request with {excess}")
def _(context: Any, excess: str) -> None:
    context.port.send_excess(excess)


@when("the operator port gets signed {method} {path} with {body}")
def _(context: Any, method: str, path: str, body: str) -> None:
    context.port.send_signed(method, path, context.port.body(body))


@when("the operator port gets bundle 2 while other processes lag")
def _(context: Any) -> None:
    context.port.services.in_force = False
    context.port.send_signed("PUT", "/v1/bundle", context.port.body("bundle 2"))


@when("the operator port's store is out and it gets bundle 2")
def _(context: Any) -> None:
    context.port.services.store_out = True
    context.port.send_signed("PUT", "/v1/bundle", context.port.body("bundle 2"))


@when("the operator port's services raise an unexpected error")
def _(context: Any) -> None:
    context.port.services.broken = True
    context.port.send_signed("GET", "/v1/status", b"")


@then("the operator port answers {status:d}")
def _(context: Any, status: int) -> None:
    answer = context.port.answer
    assert answer.status_code == status, (answer.status_code, answer.text)


@then("the operator port answers {status:d} with path {where} and a rule like {rule}")
def _(context: Any, status: int, where: str, rule: str) -> None:
    answer = context.port.answer
    value = answer.json()
    assert answer.status_code == status, (answer.status_code, value)
    assert value["error"] and "\n" not in value["error"]
    assert value.get("path", "none") == where, value
    assert rule in value.get("rule", "none"), value
    assert set(value) <= {"error", "path", "rule"}


@then("the operator port answers 500 without details")
def _(context: Any) -> None:
    assert context.port.answer.status_code == 500
    assert "secret" not in context.port.answer.text


@then("no further change was made through the operator port")
def _(context: Any) -> None:
    assert context.port.services.changes == context.port.changes_before


@then("a body that stays incomplete is answered 408 after {seconds:d} s")
def _(context: Any, seconds: int) -> None:
    assert context.port.incomplete_body() == (seconds, 408)
