"""Hypercorn on asyncio or trio, with a shutdown that completes open answers."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup
from hypercorn.config import Config

from apricotpath.clientlimits import ClientTable
from apricotpath.config import Address, LimitSettings
from apricotpath.errors import SettingsError
from apricotpathd.asgi import serve_asgi

# Longer than the longest request deadline; the process decides when to stop waiting.
GRACEFUL_TIMEOUT_S = 150.0
KEEP_ALIVE_S = 75.0
BACKLOG = 512
# Time limit for flushing the last answers to slow readers; all requests are answered by then.
FLUSH_TIMEOUT_S = 10.0


class HttpServers:
    """The HTTP servers of a process, which end after their `stop` function returns.

    Cancelling a server loses the part of an answer that is still in its
    buffers, and makes hypercorn raise an unrelated error.
    """

    def __init__(self, group: TaskGroup) -> None:
        self._group = group
        self._ended: list[anyio.Event] = []

    def start(self, serve: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run a server in the task group."""
        ended = anyio.Event()
        self._ended.append(ended)
        self._group.start_soon(self._run, ended, serve, args)

    async def wait_ended(self) -> None:
        """Wait until all servers have written their answers, for at most FLUSH_TIMEOUT_S."""
        with anyio.move_on_after(FLUSH_TIMEOUT_S):
            for ended in self._ended:
                await ended.wait()

    async def _run(
        self, ended: anyio.Event, serve: Callable[..., Awaitable[None]], args: Sequence[Any]
    ) -> None:
        try:
            await serve(*args)
        except asyncio.InvalidStateError:
            # Hypercorn reads the results of its connections' tasks although they were cancelled.
            await anyio.lowlevel.checkpoint()
            raise
        finally:
            ended.set()


def http_config(address: Address, limits: LimitSettings) -> Config:
    """Return hypercorn's configuration for an address with these limits."""
    config = Config()
    config.bind = [f"{address.host}:{address.port}"]
    config.backlog = BACKLOG
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.h11_max_incomplete_size = limits.header_bytes
    config.h2_max_header_list_size = limits.header_bytes
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    return config


def require_bindable(address: Address) -> None:
    """Raise SettingsError if the process cannot listen on an address.

    Hypercorn reports an address in use only from within its own tasks, which
    is too late for one clear error message.
    """
    probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        probe.bind((address.host, address.port))
    except OSError as exc:
        text = exc.strerror or str(exc)
        raise SettingsError(f"cannot listen on {address.host}:{address.port}: {text}") from exc
    finally:
        probe.close()


async def serve_http(
    app: Any, address: Address, limits: LimitSettings, stop: Callable[[], Awaitable[None]]
) -> None:
    """Serve an ASGI app until `stop` returns and all open requests are answered."""
    config = http_config(address, limits)
    await serve_asgi(app, config, stop)


async def serve_clients(
    app: Any, address: Address, table: ClientTable, stop: Callable[[], Awaitable[None]]
) -> None:
    """Serve an ASGI app within the limits of a table, as `serve_http` does without."""
    # Needs asyncio; other processes do not load it.
    from apricotpathd.limitedserver import serve_limited

    await serve_limited(app, http_config(address, LimitSettings()), table, stop)
