"""Steps for signals.feature; the process has no network."""

import signal
import subprocess
import sys
import time
from typing import Any

from behave import given, then, when

# Between two signals, so that each is handled by itself.
PAUSE_S = 0.2
LIMIT_S = 10.0
PROGRAM = """
import sys
import anyio
from apricotpathd.process import wait_for_stop

def reload():
    print("settings read", flush=True)

async def main():
    async with anyio.create_task_group() as group:
        group.start_soon(tell_when_ready)
        await wait_for_stop(group, reload)
        print("shutting down", flush=True)
        await anyio.sleep(float(sys.argv[2]))
        print("shut down", flush=True)
        group.cancel_scope.cancel()

async def tell_when_ready():
    await anyio.sleep(0.3)
    print("ready", flush=True)

anyio.run(main, backend=sys.argv[1])
"""


@given("a process of signals on {backend} that takes {seconds:d} second to shut down")
def start(context: Any, backend: str, seconds: int) -> None:
    command = [sys.executable, "-c", PROGRAM, backend, str(seconds)]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert context.process.stdout.readline() == "ready\n"


@when("it gets SIGHUP, then SIGTERM, and then {more}")
def send(context: Any, more: str) -> None:
    for name in ("SIGHUP", "SIGTERM", *more.split(", ")):
        context.process.send_signal(signal.Signals[name])
        time.sleep(PAUSE_S)


@then("the process of signals has {ended}, after it read its settings {times:d} times")
def has_ended(context: Any, ended: str, times: int) -> None:
    try:
        output, _ = context.process.communicate(timeout=LIMIT_S)
    finally:
        context.process.kill()
    graceful = ended == "shut down gracefully"
    assert ("shut down\n" in output) is graceful, output
    assert (context.process.returncode == 0) is graceful, context.process.returncode
    assert output.count("settings read") == times, output
