"""Upstreams that are processes of their own, and what stands before them."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import socket
import time
from collections.abc import Coroutine
from enum import StrEnum
from typing import Any, Final

import msgspec

from bench.forked_child import ForkedChild
from bench.upstream_host import HostPlan, run_host
from bench.upstream_proxy import Forwarding, ProxyPlan, run_proxy
from gypsumrouter.instances import Address
from gypsumrouter.platform import names
from gypsumrouter.standins import PublishedStoreStandin
from gypsumrouter.standins.listener import PortReservation

# The entry of a start that is gone is removed so much later.
UNLISTED_AFTER_S: Final = 2.0


class Front(StrEnum):
    """What accepts connections for an upstream.

    DIRECT: its process. QUEUE: the kernel, on a socket that a parent process holds. WORKERS: one of
    two processes with one id, on such a socket. Else a proxy.
    """

    DIRECT = "direct"
    QUEUE = "queue"
    WORKERS = "workers"
    PROXY_SILENT = "proxy silent"
    PROXY_CLOSES = "proxy closes"
    PROXY_ONE_WAY = "proxy one way"
    PROXY_STALLS = "proxy stalls"


FORWARDINGS: Final = {
    Front.PROXY_SILENT: Forwarding.SILENT,
    Front.PROXY_CLOSES: Forwarding.CLOSES,
    Front.PROXY_ONE_WAY: Forwarding.ONE_WAY,
    Front.PROXY_STALLS: Forwarding.STALLS,
}


class HostedUpstream:
    """An upstream that is a process of its own, and always has the same address.

    Each start has an id of its own unless `plan.states_start`.
    """

    def __init__(
        self,
        *,
        store: PublishedStoreStandin,
        service: str,
        plan: HostPlan,
        front: Front = Front.DIRECT,
    ) -> None:
        self._store = store
        self._service = service
        self.front = front
        self._port = PortReservation(host="127.0.0.1", port=0)
        self._proxy_port: PortReservation | None = None
        self._proxy: ForkedChild | None = None
        self._listener: socket.socket | None = None
        if front in FORWARDINGS:
            self._proxy_port = PortReservation(host="127.0.0.1", port=0)
        elif front is not Front.DIRECT:
            self._listener = self._port.open_listener()
        self._base = plan.name
        self._starts = itertools.count(1)
        self.plan = msgspec.structs.replace(plan, port=self._port.address.port)
        # The process that ends next, or has ended last, as notes name it.
        self.process = ""
        # When the entry of a start was written, by its process (monotonic seconds).
        self.listed_s: dict[str, float] = {}
        self._children: list[ForkedChild] = []
        # All that were ever made, among them those whose start was cancelled.
        self._made: list[ForkedChild] = []
        self._standby: tuple[HostPlan, list[ForkedChild]] | None = None
        self._born_ms = 0
        self._listing: asyncio.Task[None] | None = None
        self._unlisting: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def processes(self) -> list[str]:
        """Return the processes that run."""
        return [f"{self.plan.name}/{child.pid}" for child in self._children]

    @property
    def address(self) -> Address:
        """Return the address of the store entry."""
        return (self._proxy_port or self._port).address

    async def async_prepare(self) -> None:
        """Make the process of the next start, which does not listen yet."""
        if self._standby is None:
            plan = self._make_plan()
            count = 2 if self.front is Front.WORKERS and not self._children else 1
            self._standby = plan, [await self._async_make_child(plan) for _ in range(count)]

    def _make_plan(self) -> HostPlan:
        if self.front is Front.WORKERS and self._children:
            return msgspec.structs.replace(self.plan, born_ms=self._born_ms)
        number = next(self._starts)
        name = self.plan.name if self.plan.states_start else f"{self._base}-{number}"
        born_ms = time.time_ns() // 1_000_000 if self.front is Front.WORKERS else 0
        return msgspec.structs.replace(self.plan, name=name, born_ms=born_ms)

    async def _async_make_child(self, plan: HostPlan) -> ForkedChild:
        child = ForkedChild(target=run_host, plan=plan, listener=self._listener)
        self._made.append(child)
        await child.async_start()
        return child

    async def async_start(self, *, listing_s: float | None = 0.0) -> None:
        """Start it, and write its store entry after a while; never if that is None."""
        await self.async_prepare()
        if self._proxy_port is not None and self._proxy is None:
            await self.async_start_proxy()
        assert self._standby is not None
        previous, is_worker = self.plan.name, bool(self._children)
        (self.plan, children), self._standby = self._standby, None
        self._born_ms = max([await child.async_command(listen=True) for child in children])
        self._children += children
        self.process = self.processes[0]
        if is_worker:
            # The entry describes the start of both.
            self.listed_s.update(dict.fromkeys(self.processes, 0.0))
            return
        if listing_s is None or previous != self.plan.name:
            self._unlisting = self._run(self._async_unlist(previous))
        if listing_s:
            self._listing = self._run(self._async_list(listing_s))
        elif listing_s is not None:
            await self._async_list(0.0)

    def _run(self, doing: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(doing)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _async_list(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if self._unlisting is not None and self.plan.states_start:
            self._unlisting.cancel()
        start: dict[str, Any] = {"born": self._born_ms} if self.plan.states_start else {}
        await self._store.async_put_runner(
            self.plan.name,
            service=self._service,
            address=self.address,
            slots=self.plan.slots,
            cold_left_ms=0,
            version="v1",
            **start,
        )
        self.listed_s.update(dict.fromkeys(self.processes, time.monotonic()))

    async def _async_unlist(self, name: str) -> None:
        await asyncio.sleep(UNLISTED_AFTER_S)
        await self._store.async_remove(f"{names.PREFIX_SERVERS}{name}")

    async def async_replace(self, name: str) -> None:
        """Start it under another id; the entry of the previous one is removed later."""
        assert self._standby is None
        previous = self.plan.name
        self._base = name
        self.plan = msgspec.structs.replace(self.plan, name=name)
        await self.async_start()
        if self.plan.states_start:
            self._run(self._async_unlist(previous))

    async def async_start_proxy(self) -> None:
        """Start the proxy before it."""
        assert self._proxy_port is not None
        plan = ProxyPlan(
            port=self._proxy_port.address.port,
            target=self.plan.port,
            forwarding=FORWARDINGS[self.front],
        )
        self._proxy = ForkedChild(target=run_proxy, plan=plan)
        self._made.append(self._proxy)
        await self._proxy.async_start()

    async def async_kill_proxy(self) -> None:
        """End the proxy, while the upstream lives; `async_start_proxy` starts it again."""
        assert self._proxy is not None
        os.kill(self._proxy.pid, signal.SIGKILL)
        await self._proxy.async_wait()

    async def async_kill(self, number: signal.Signals) -> None:
        """End it by a signal, or one of its processes; the next one may be prepared already."""
        if self._listing is not None:
            self._listing.cancel()
        if self._children:
            child = self._children.pop(0)
            os.kill(child.pid, number)
            await child.async_wait()
        if self._children:
            self.process = self.processes[0]

    async def async_fall_silent(self, duration_s: float) -> None:
        """Stand still for some seconds, with all connections open, and go on."""
        await _async_hold(self._children[0], duration_s)

    def fall_over(self) -> None:
        """End answers under way, while its process lives on."""
        os.kill(self._children[0].pid, signal.SIGUSR2)

    async def async_hold_proxy(self, duration_s: float) -> None:
        """Let the proxy stand still for some seconds, if there is one."""
        if self._proxy is not None:
            await _async_hold(self._proxy, duration_s)

    async def async_stop(self) -> None:
        """Stop it and release its port."""
        for task in tuple(self._tasks):
            task.cancel()
        for child in self._made:
            await child.async_stop()
        if self._listener is not None:
            self._listener.close()
        if self._proxy_port is not None:
            self._proxy_port.close()
        self._port.close()


async def _async_hold(child: ForkedChild, duration_s: float) -> None:
    os.kill(child.pid, signal.SIGSTOP)
    try:
        await asyncio.sleep(duration_s)
    finally:
        os.kill(child.pid, signal.SIGCONT)
