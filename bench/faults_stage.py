"""State shared by faults: the rig, the load balancer of the callers and reserved targets."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from typing import Final

from msgspec import Struct, field
from msgspec.structs import replace

from bench.faults_callers import FaultContext
from bench.faults_journal import Journal, Window
from bench.faults_rig import SplitRig, list_sides
from bench.processes import DaemonProcess
from bench.rig import ADDRESS_CALLERS
from gypsumrouter.configuration.models import Pool
from gypsumrouter.const import MS_PER_S
from gypsumrouter.instances import Address
from gypsumrouter.standins import Engine, Service, make_configuration
from gypsumrouter.util.clock import Clock

BALANCER_DELAY_MS: Final = 300
READY_TIMEOUT_MS: Final = 15_000
STOP_TIMEOUT_MS: Final = 20_000
POLL_MS: Final = 10
MIN_ROUTERS: Final = 2


class NoTarget(Exception):
    """Every target of a fault is reserved by another fault."""


class Stage(Struct, kw_only=True):
    """A running fleet under faults; `routers` are the addresses in the load balancer."""

    rig: SplitRig
    context: FaultContext
    journal: Journal
    clock: Clock
    routers: list[Address]
    reserved: set[str] = field(default_factory=set)
    injected_crashes: int = 0
    next_router: int = 0
    version: int = 1
    window_ms: int | None = None
    began_s: float = field(default_factory=time.monotonic)

    @contextmanager
    def reserve_side(
        self, randomness: random.Random, *, pools: Collection[str] = ()
    ) -> Iterator[str]:
        """Reserve a running side; raises NoTarget if none is free."""
        free = [name for name in list_sides(self.rig, pools=pools) if name not in self.reserved]
        with self._reserve(randomness, free) as name:
            yield name

    @contextmanager
    def reserve_router(self, randomness: random.Random) -> Iterator[str]:
        """Reserve a running router; raises NoTarget if too few are free."""
        free = [name for name in self.rig.routers if name not in self.reserved]
        with self._reserve(randomness, free if len(free) > MIN_ROUTERS else []) as name:
            yield name

    def choose_sides(self, randomness: random.Random, count: int) -> list[str]:
        """Return some running sides, reserved or not."""
        names = list_sides(self.rig)
        return randomness.sample(names, min(count, len(names)))

    async def async_pause(self, randomness: random.Random, min_ms: int, max_ms: int) -> None:
        """Sleep for a random time."""
        await self.clock.async_sleep(randomness.randint(min_ms, max_ms))

    async def async_kill_side(self, name: str) -> None:
        """Kill a side; it stays on the instance list."""
        process = self.rig.sides.pop(name)
        await process.async_kill()

    async def async_start_side(self, name: str) -> DaemonProcess:
        """Start a side and wait until it is ready."""
        process = await self.rig.async_start_side(name)
        await self.rig.async_wait_until_ready(process, limit_ms=READY_TIMEOUT_MS)
        return process

    async def async_kill_router(self, name: str) -> None:
        """Kill a router; the load balancer removes it after a delay."""
        process = self.rig.routers.pop(name)
        address = process.addresses[ADDRESS_CALLERS]
        self.journal.record_unavailable(address, "killed")
        await process.async_kill()
        await self.clock.async_sleep(BALANCER_DELAY_MS)
        self.routers.remove(address)

    async def async_start_router(self, index: int) -> DaemonProcess:
        """Start a router and add it to the load balancer once it is ready."""
        process = await self.rig.async_start_router(index)
        await self.rig.async_wait_until_ready(process, limit_ms=READY_TIMEOUT_MS)
        self.routers.append(process.addresses[ADDRESS_CALLERS])
        return process

    async def async_stop_router(self, name: str) -> None:
        """Stop a router gracefully; the load balancer removes it while it drains."""
        process = self.rig.routers.pop(name)
        address = process.addresses[ADDRESS_CALLERS]
        process.send_signal(signal.SIGTERM)
        await self.clock.async_sleep(BALANCER_DELAY_MS)
        self.routers.remove(address)
        await self.async_wait_for_exit(process)
        self.journal.record_unavailable(address, "stopped")
        self.rig.platform.remove_listed(name)

    async def async_wait_for_exit(self, process: DaemonProcess) -> None:
        """Wait for a graceful stop and record the exit code; kill the process on timeout."""
        try:
            async with asyncio.timeout(STOP_TIMEOUT_MS / MS_PER_S):
                code = await process.process.wait()
        except TimeoutError:
            await process.async_kill()
            self.journal.exit_codes["overdue"] += 1
            return
        self.journal.exit_codes[str(code)] += 1

    @contextmanager
    def record_paused(self, process: DaemonProcess) -> Iterator[None]:
        """Record that a router is paused while the context is open."""
        address = process.addresses.get(ADDRESS_CALLERS)
        window: Window | None = None
        if address is not None:
            window = self.journal.record_unavailable(address, "paused")
        try:
            yield
        finally:
            if window is not None:
                window.ended_ms = self.clock.wall_ms()

    def choose_router_index(self, name: str, *, renamed: bool) -> int:
        """Return the index of the replacement of a router."""
        if not renamed:
            return int(name.rpartition("-")[2]) - 1
        self.next_router += 1
        return self.next_router - 1

    def crash_upstream(self, name: str) -> None:
        """Crash an upstream as an injected fault."""
        self.injected_crashes += 1
        self.rig.get_upstream(name).crash()

    def count_crashes(self) -> int:
        """Return the number of upstream crashes that were not injected."""
        engines, services = self.rig.platform.engines, self.rig.platform.services
        crashes = sum(engine.crashes for engine in engines.values())
        crashes += sum(service.crashes for service in services.values())
        return crashes - self.injected_crashes

    def publish(self) -> None:
        """Publish the configuration of the deployments under the next version."""
        self.version += 1
        configuration = make_configuration(*self.rig.platform.deployments, version=self.version)
        pools = tuple(self._set_window(pool) for pool in configuration.pools)
        self.rig.platform.publish(replace(configuration, pools=pools))

    def _set_window(self, pool: Pool) -> Pool:
        if self.window_ms is None or pool.at_most_once is None:
            return pool
        return replace(pool, at_most_once=replace(pool.at_most_once, window_ms=self.window_ms))

    @contextmanager
    def _reserve(self, randomness: random.Random, free: list[str]) -> Iterator[str]:
        if not free:
            raise NoTarget
        name = randomness.choice(free)
        self.reserved.add(name)
        try:
            yield name
        finally:
            self.reserved.discard(name)


def count_executions(upstream: Engine | Service) -> int:
    """Return the number of requests that an upstream has started."""
    match upstream:
        case Engine():
            return upstream.requests
        case Service():
            return len(upstream.executions)


async def async_measure_new_work(
    *, clock: Clock, upstream: Engine | Service, until: asyncio.Event
) -> float:
    """Watch an upstream until an event; return the seconds until its last new execution."""
    began_ms = clock.now_ms()
    last_s = 0.0
    seen = count_executions(upstream)
    while not until.is_set():
        await clock.async_sleep(POLL_MS)
        count = count_executions(upstream)
        if count != seen:
            seen = count
            last_s = (clock.now_ms() - began_ms) / MS_PER_S
    return last_s
