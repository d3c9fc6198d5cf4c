"""Options of sockets, and what a process does before it has imported its other modules.

A forwarder opens its listening socket before it has imported its other modules, which takes about
0.6 s of CPU time. Callers that connect during that time wait in the backlog
instead of being refused. On a small share of a core they would time out in the backlog, so the
socket is opened later in that case.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Sequence
from typing import Any, Final

from gypsumrouter.helpers.numbers import MAX_PORT, read_number

BACKLOG: Final = 1_024
SEND_BUFFER_BYTES: Final = 128 * 1024
# A dead peer is detected after about three seconds, on idle connections too.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 2_500

# Below this CPU speed the imports take longer than callers of plain services wait.
MIN_CORES_FOR_EARLY_LISTENER: Final = 0.6
ENV_CERTIFICATES_FILE: Final = "SSL_CERT_FILE"

_early_sockets: dict[tuple[str, int], socket.socket] = {}


def set_keepalive_options(connection: socket.socket) -> None:
    """Enable TCP keepalive and limit the time that sent data may stay unacknowledged."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    set_user_timeout(connection, USER_TIMEOUT_MS)


def set_user_timeout(connection: socket.socket, timeout_ms: int) -> None:
    """Limit the time that sent data may stay unacknowledged, or be held up by a closed window."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def make_listening_socket(*, host: str, port: int) -> socket.socket:
    """Return a bound socket; accepted connections inherit its options on Linux.

    Returns the early listener of the same address if there is one.
    """
    early_socket = _early_sockets.pop((host, port), None)
    if early_socket is not None:
        return early_socket
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener


def open_early_listener(arguments: Sequence[str]) -> None:
    """Start to listen for callers of a forwarder, before its settings are validated.

    Errors in the file or the address are ignored here; the regular start-up reports them.
    """
    if not arguments or arguments[0] != "forwarder" or "--settings" not in arguments[:-1]:
        return
    path = arguments[arguments.index("--settings") + 1]
    try:
        with open(path, encoding="utf-8") as file:
            settings = json.load(file)
        _disable_system_certificates(settings)
        host, _, port = settings["callers"].rpartition(":")
        processor = settings.get("processor", {})
        cores = processor.get("share", 1.0) * processor.get("speed", 1.0)
        number = read_number(port, smallest=1, largest=MAX_PORT)
        if number is None or cores < MIN_CORES_FOR_EARLY_LISTENER:
            return
        listener = make_listening_socket(host=host, port=number)
        listener.listen(BACKLOG)
    except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return
    _early_sockets[(host, number)] = listener


def _disable_system_certificates(settings: dict[str, Any]) -> None:
    """Prevent aiohttp from loading the system's certificates if the links don't use TLS.

    aiohttp loads them when it is imported, which slows down the start.
    """
    if settings.get("link", {}).get("tls") is None:
        os.environ.setdefault(ENV_CERTIFICATES_FILE, os.devnull)
