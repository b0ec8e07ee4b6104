"""Hypercorn on either event loop, with a shutdown that cuts nothing off."""

import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import hypercorn.asyncio
import hypercorn.trio
import sniffio
from hypercorn.config import Config

from apricotpath.config import Address, LimitSettings
from apricotpath.errors import SettingsError

# Long enough for the longest deadline; the process decides when to stop waiting.
GRACEFUL_TIMEOUT_S = 150.0
KEEP_ALIVE_S = 75.0
BACKLOG = 512


def http_config(address: Address, limits: LimitSettings) -> Config:
    """Return hypercorn's configuration for an address, bounded by the limits."""
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


def require_free(address: Address) -> None:
    """Raise SettingsError if an address cannot be listened on.

    Hypercorn reports an address in use only from within its own tasks, which
    is too late for one clear message.
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
    if sniffio.current_async_library() == "trio":
        await hypercorn.trio.serve(app, config, shutdown_trigger=stop)
    else:
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop)
