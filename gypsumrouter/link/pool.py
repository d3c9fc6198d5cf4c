"""Pool of the links that a process opens to instances."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gypsumrouter.core import Application, Remove
from gypsumrouter.helpers.tls import TlsFiles, make_client_context
from gypsumrouter.instances import Address, Instance
from gypsumrouter.link.const import TICKS_PER_IDLE_CHECK
from gypsumrouter.link.dialer import Dialer, DialerContext
from gypsumrouter.link.exchange import Exchange
from gypsumrouter.link.frames import Frame
from gypsumrouter.link.listeners import Listeners, LogOnce
from gypsumrouter.link.liveness import async_run_timer
from gypsumrouter.link.models import Hello, Notice, Open, Status
from gypsumrouter.link.notices import NoticeHub, Peer
from gypsumrouter.link.status import StatusCache, StatusView
from gypsumrouter.outcomes import Refused
from gypsumrouter.settings import Link

_LOGGER = logging.getLogger(__name__)

_DialerKey = tuple[str, Address]


class LinkPool:
    """Opens links to instances on demand and closes idle ones; each process has one pool."""

    __slots__ = (
        "_app",
        "_connect_attempts",
        "_connected",
        "_context",
        "_diagnostics",
        "_dialers",
        "_next_number",
        "_notices",
        "_settings",
        "_status",
        "_statuses",
        "_ticking",
        "_ticks",
    )

    def __init__(self, *, app: Application, settings: Link, key: bytes, notices: NoticeHub) -> None:
        self._app = app
        self._settings = settings
        self._notices = notices
        self._diagnostics = notices.get_diagnostics(app)
        self._dialers: dict[_DialerKey, Dialer] = {}
        self._next_number = 0
        self._ticking = False
        self._ticks = 0
        self._statuses = StatusCache()
        self._status: Listeners[[Hello, Status]] = Listeners()
        self._connect_attempts: Listeners[[str, bool]] = Listeners()
        self._connected: Listeners[[Peer]] = Listeners()
        self._context = self._make_context(key)
        self._diagnostics.add_part("pool", self._dump, self._count_links)
        app.on_stop(self._async_stop)

    async def async_open(self, *, instance: Instance, request: Open) -> Exchange | Refused:
        """Send a request with a new sequence number.

        `Refused` means that the request was not sent to the instance.
        """
        return await self._get_dialer(instance).async_open(request)

    async def async_send(self, *, instance: Instance, notice: Notice) -> bool:
        """Send a notice; return False if the instance is unreachable or the send buffer is full."""
        return await self._get_dialer(instance).async_send(notice)

    def status(self, name: str) -> StatusView | None:
        """Return the last status received from a process, or None."""
        return self._statuses.get(name, self._app.clock.now_ms())

    def on_status(self, listener: Callable[[Hello, Status], None]) -> Remove:
        """Call `listener` for each status received."""
        return self._status.add(listener)

    def on_connect_attempt(self, listener: Callable[[str, bool], None]) -> Remove:
        """Call `listener` after each attempt to connect, with the name and whether it succeeded."""
        return self._connect_attempts.add(listener)

    def on_connected(self, listener: Callable[[Peer], None]) -> Remove:
        """Call `listener` for each new link."""
        return self._connected.add(listener)

    def _make_context(self, key: bytes) -> DialerContext:
        tls = None
        if self._settings.tls is not None:
            tls = make_client_context(self._settings.tls)
        return DialerContext(
            app=self._app,
            settings=self._settings,
            key=key,
            tls=tls,
            counts=self._diagnostics.counts,
            wrong_keys=LogOnce(),
            allocate_number=self._allocate_number,
            on_notice=self._on_notice,
            on_load=self._on_load,
            on_connect_attempt=self._connect_attempts.call,
            on_connected=self._connected.call,
        )

    def _get_dialer(self, instance: Instance) -> Dialer:
        self._start_ticking()
        key = (instance.name, instance.address)
        dialer = self._dialers.get(key)
        if dialer is None:
            dialer = Dialer(context=self._context, instance=instance)
            self._dialers[key] = dialer
        return dialer

    def _allocate_number(self) -> int:
        """Return the next number of this incarnation, for sequences of requests and links."""
        self._next_number += 1
        return self._next_number

    def _start_ticking(self) -> None:
        if self._ticking:
            return
        self._ticking = True
        self._app.async_create_task(
            async_run_timer(clock=self._app.clock, settings=self._settings, on_tick=self._tick),
            "link pool timer",
        )
        if self._settings.tls is None or self._context.tls is None:
            return
        TlsFiles(app=self._app, tls=self._settings.tls, context=self._context.tls).async_start()

    def _tick(self, now_ms: int, late: bool) -> None:
        self._diagnostics.publish()
        self._statuses.sweep(now_ms)
        self._ticks += 1
        checks_idle = self._ticks % TICKS_PER_IDLE_CHECK == 0
        for key, dialer in tuple(self._dialers.items()):
            # Skips most of the links, which may be hundreds without outstanding exchanges.
            if not (late or checks_idle or dialer.in_use):
                continue
            dialer.tick(now_ms, late)
            idle = now_ms - dialer.last_used_ms >= self._settings.idle_close_ms
            if idle and dialer.unused:
                dialer.stop()
                del self._dialers[key]

    def _on_notice(self, peer: Peer, frame: Frame) -> None:
        notice = self._notices.receive(peer, frame)
        if isinstance(notice, Status):
            self._statuses.record(peer.hello, notice, self._app.clock.now_ms())
            self._status.call(peer.hello, notice)

    def _on_load(self, name: str, incarnation: int, load: int) -> None:
        self._statuses.record_load(name, incarnation, load, self._app.clock.now_ms())

    async def _async_stop(self) -> None:
        for dialer in self._dialers.values():
            dialer.stop()
        self._dialers.clear()

    def _count_links(self) -> int:
        return sum(1 for dialer in self._dialers.values() if dialer.connected)

    def _dump(self) -> object:
        return [
            {
                "name": dialer.instance.name,
                "address": str(dialer.instance.address),
                "connected": dialer.connected,
                "incarnation": dialer.incarnation,
                "exchanges": dialer.outstanding,
            }
            for dialer in self._dialers.values()
        ]
