"""Notices: one-way messages between processes, delivered to the subscribers of their type."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Any, Final, TypeVar

from gypsumrouter.core import Application, Remove
from gypsumrouter.link.connection import Connection
from gypsumrouter.link.const import Kind
from gypsumrouter.link.diagnostics import LinkDiagnostics
from gypsumrouter.link.frames import Frame
from gypsumrouter.link.listeners import LogOnce, call_safely
from gypsumrouter.link.models import Hello, Notice
from gypsumrouter.link.notice_codec import decode_notice, encode_notice
from gypsumrouter.link.schema import ENCODE_ERRORS

_LOGGER = logging.getLogger(__name__)
_LOGGED: Final = LogOnce()

N = TypeVar("N", bound=Notice)


class Peer:
    """The process at the other end of a link; `dialed` says that this process opened the link."""

    __slots__ = ("_connection", "dialed", "hello")

    def __init__(self, *, hello: Hello, connection: Connection, dialed: bool) -> None:
        self.hello = hello
        self.dialed = dialed
        self._connection = connection

    @property
    def connected(self) -> bool:
        """Return whether the link is still open."""
        return not self._connection.closed

    def send(self, notice: Notice) -> bool:
        """Send a notice; return False if the link is closed or its send buffer is full.

        A notice that can't be encoded is not sent either; this is logged once for each type.
        """
        if not self.writable:
            return False
        encoded = _encode(notice)
        if encoded is None:
            return False
        self.send_encoded(*encoded)
        return True

    @property
    def writable(self) -> bool:
        """Return whether the link is open and its send buffer is not full."""
        return not (self._connection.closed or self._connection.paused)

    def send_encoded(self, kind: Kind, body: bytes) -> None:
        """Send a notice that has been encoded already."""
        self._connection.last_used_ms = self._connection.clock.now_ms()
        self._connection.send(kind, body=body)


def send_to_all(peers: Iterable[Peer], notice: Notice) -> None:
    """Encode a notice once and send it over several links, except those that are not writable."""
    encoded = _encode(notice)
    if encoded is None:
        return
    for peer in peers:
        if peer.writable:
            peer.send_encoded(*encoded)


def _encode(notice: Notice) -> tuple[Kind, bytes] | None:
    """Encode a notice; None if a value does not fit its field."""
    try:
        return encode_notice(notice)
    except ENCODE_ERRORS as error:
        name = type(notice).__name__
        if _LOGGED.is_first(f"{name} {type(error).__name__}"):
            _LOGGER.error("Can't send a %s: %.200r; logged once", name, error)
        return None


class NoticeHub:
    """Delivers the notices from all links of a process to their listeners."""

    __slots__ = ("_diagnostics", "_listeners")

    def __init__(self, *, app: Application | None = None) -> None:
        self._diagnostics: LinkDiagnostics | None = None
        self._listeners: dict[type[Any], list[Callable[[Peer, Any], None]]] = {}
        if app is not None:
            self.get_diagnostics(app)

    def subscribe(self, kind: type[N], listener: Callable[[Peer, N], None]) -> Remove:
        """Call `listener` for each notice of the type `kind`; return a function that removes it."""
        listeners = self._listeners.setdefault(kind, [])
        listeners.append(listener)

        def remove() -> None:
            if listener in listeners:
                listeners.remove(listener)

        return remove

    def publish(self, peer: Peer, notice: Notice) -> None:
        """Call the listeners of the notice's type."""
        for listener in tuple(self._listeners.get(type(notice), ())):
            call_safely(listener, peer, notice)

    def receive(self, peer: Peer, frame: Frame) -> Notice:
        """Decode the notice in a frame, publish it and return it; raises FrameError."""
        notice = decode_notice(frame.kind, frame.body)
        self.publish(peer, notice)
        return notice

    def get_diagnostics(self, app: Application) -> LinkDiagnostics:
        """Return the diagnostics that the server and the pool of the process share."""
        if self._diagnostics is None:
            self._diagnostics = LinkDiagnostics(app=app)
        return self._diagnostics
