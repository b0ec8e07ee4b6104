"""Steps for slow request bodies in callers.feature."""

import socket
import time
from typing import Any

import anyio
from behave import then, when
from callers_steps import WAIT_S, LoopbackNet, until

# Bytes of the body; the last one would arrive long after the deadline.
BODY_BYTES = 40


@when("a body arrives a byte each {gap_s:g} seconds under a deadline of {deadline_s:g} seconds")
def trickle(context: Any, gap_s: float, deadline_s: float) -> None:
    head = (
        f"POST /s/scraps/x HTTP/1.1\r\nhost: entry\r\ncontent-length: {BODY_BYTES}\r\n"
        f"apricotpath-class: intake\r\napricotpath-deadline-ms: {1000 * deadline_s:.0f}\r\n\r\n"
    )

    async def actions(net: LoopbackNet) -> None:
        with socket.create_connection(("127.0.0.1", net.port), WAIT_S) as sock:
            sock.sendall(head.encode())
            await until(lambda: net.app.open_requests == 1)
            began = time.monotonic()
            for _ in range(BODY_BYTES):
                if not net.app.open_requests:
                    break
                sock.sendall(b"x")
                await anyio.sleep(gap_s)
            context.took_s = time.monotonic() - began
            context.status = int(sock.recv(1 << 16).split()[1])

    context.callers.net.run_scenario(actions)


@then("the slow body is answered with status {status:d} within {limit_s:g} seconds")
def given_up(context: Any, status: int, limit_s: float) -> None:
    assert context.status == status, context.status
    assert context.took_s <= limit_s, context.took_s
