"""Listening sockets, also ones that are opened before the rest of a process is loaded.

Loading a process takes about 0.6 s of a core. Callers that connect meanwhile wait in the backlog
instead of being reset, and are served when it is over. On a small share of a core they would wait
until they give up, so that there the socket is opened at the regular start.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Sequence
from typing import Any, Final

BACKLOG: Final = 1_024
SEND_BUFFER_BYTES: Final = 128 * 1024
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2

# Loading takes 0.9 s at this share; callers of plain services leave after 0.6 s and more.
MIN_CORES_FOR_EARLY_LISTENER: Final = 0.6
ENV_CERTIFICATES_FILE: Final = "SSL_CERT_FILE"

_early_sockets: dict[tuple[str, int], socket.socket] = {}


def make_listening_socket(*, host: str, port: int) -> socket.socket:
    """Return a bound socket; on Linux accepted connections inherit its options.

    A socket that was opened early for the same address is returned in place of a new one.
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
    """Listen for callers as a forwarder's settings file says, before anything checks that file.

    What is wrong with the file or the address is found, and told, by the regular start.
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
        if int(port) == 0 or cores < MIN_CORES_FOR_EARLY_LISTENER:
            return
        listener = make_listening_socket(host=host, port=int(port))
        listener.listen(BACKLOG)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return
    _early_sockets[(host, int(port))] = listener


def _disable_system_certificates(settings: dict[str, Any]) -> None:
    """Keep the HTTP library from loading the system's certificates where no link uses TLS.

    It loads them at its import, used or not, which a start on a small core waits for.
    """
    if settings.get("link", {}).get("tls") is None:
        os.environ.setdefault(ENV_CERTIFICATES_FILE, os.devnull)
