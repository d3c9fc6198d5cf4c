"""Rig whose links between forwarders, and ways to the store, can be cut in either direction."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from collections.abc import Collection, Mapping
from pathlib import Path
from typing import Any, Final

from bench.detoured_daemon import ENV_DETOURS
from bench.processes import PRODUCT_PYTHON, DaemonProcess, async_start_daemon
from bench.soak_configuration import CALLER_KEY, WORKSPACE, make_route
from bench.soak_rig import DATA_CENTRES, NS_PER_MS, RESTART_S, SoakRig
from gypsumrouter.const import Role
from gypsumrouter.standins import FaultProxy, PlatformRunner
from gypsumrouter.standins.pipes import BOTH_DIRECTIONS, Direction

DETOURED_DAEMON: Final = Path(__file__).with_name("detoured_daemon.py")
TIMEOUT_MS: Final = 8_000
STREAM_EVENTS: Final = 30
STREAM_PAUSE_S: Final = 0.014


class OutOfStepRig(SoakRig):
    """Forwarders in three data centres, each behind a proxy on each of its links.

    There is a streaming service for each of `services`, whose upstreams the caller adds.
    """

    def __init__(
        self,
        *,
        folder: Path,
        forwarders: int,
        services: Collection[str],
        product: Path | None = None,
    ) -> None:
        super().__init__(folder=folder, forwarders=forwarders, product=product)
        self._services = tuple(services)
        self.runners = {service: [] for service in services}
        # The proxy of the link that the first forwarder of a pair opens to the second.
        self._links: dict[tuple[int, int], FaultProxy] = {}

    async def async_start(self) -> None:
        """Start the proxies of the links, and then all else."""
        for dialer in range(self.count):
            for target in range(self.count):
                if dialer != target:
                    proxy = FaultProxy(target=self._port_holders[target][1].address)
                    await proxy.async_start()
                    self._links[dialer, target] = proxy
        await super().async_start()

    async def async_stop(self) -> None:
        """Stop all processes, proxies and stand-ins of this rig."""
        await super().async_stop()
        for proxy in self._links.values():
            await proxy.async_stop()

    async def async_configure(self) -> None:
        """Publish a route of streams that may be resumed for each service."""
        self.version += 1
        routes = [
            make_route(
                service,
                "streaming",
                service,
                resumable=True,
                timeout_ms=TIMEOUT_MS,
                max_attempts=2,
                target_latency_ms=500,
                target_gap_ms=500,
            )
            for service in self._services
        ]
        services = [{"name": service, "engine": {"slots": 64}} for service in self._services]
        await self.store.async_put_configuration(
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "tenants": [{"name": WORKSPACE, "api_keys": [CALLER_KEY]}],
            }
        )

    def get_data_centre(self, number: int) -> str:
        """Return the data centre of a forwarder."""
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def _get_data_centre(self, number: int) -> str:
        return self.get_data_centre(number)

    async def _async_start_process(self, number: int, settings: Mapping[str, Any]) -> DaemonProcess:
        detours = {
            str(self._port_holders[target][1].address): str(proxy.address)
            for (dialer, target), proxy in self._links.items()
            if dialer == number
        }
        python = sys.executable if self._product is None else str(self._product / PRODUCT_PYTHON)
        return await async_start_daemon(
            role=Role.FORWARDER,
            settings=dict(settings),
            folder=self._folder,
            product=self._product,
            command=(python, str(DETOURED_DAEMON)),
            environment={ENV_DETOURS: json.dumps(detours)},
        )

    def list_ways(self, group: Collection[int]) -> list[tuple[FaultProxy, Direction]]:
        """Return the links between a group and all others, with the direction towards the group."""
        ways = []
        for (dialer, target), proxy in self._links.items():
            if (dialer in group) != (target in group):
                towards = Direction.BACK if dialer in group else Direction.FORWARD
                ways.append((proxy, towards))
        return ways

    def cut_links(self, group: Collection[int], *, inward_only: bool = False) -> None:
        """Hold what passes between a group of forwarders and the others, or what goes to them."""
        for proxy, towards in self.list_ways(group):
            proxy.block(directions=(towards,) if inward_only else BOTH_DIRECTIONS)

    def cut_store(self, group: Collection[int], *, inward_only: bool = False) -> None:
        """Hold what passes between the store and a group of forwarders, or what goes to them."""
        directions = (Direction.BACK,) if inward_only else BOTH_DIRECTIONS
        for number in group:
            self.store_proxies[number].block(directions=directions)

    def reopen(self) -> None:
        """Deliver all that was held."""
        for proxy in (*self._links.values(), *self.store_proxies):
            proxy.unblock()

    def signal(self, group: Collection[int], number: signal.Signals) -> None:
        """Send a signal to the processes of a group."""
        for forwarder in group:
            process = self.forwarders[forwarder]
            if process is not None:
                process.send_signal(number)

    async def async_add_upstream(
        self, service: str, name: str, version: str, *, states_start: bool
    ) -> PlatformRunner:
        """Start and list an upstream of a service, which no proxy stands before."""
        engine = PlatformRunner(name=name, events=STREAM_EVENTS, version=version)
        engine.pause_s = STREAM_PAUSE_S
        if states_start:
            engine.started_ms = time.time_ns() // NS_PER_MS
        self.runners[service].append(engine)
        self.data_centres[name] = DATA_CENTRES[0]
        self._runner_addresses[name] = await engine.async_start()
        await self.async_list_runner(service, engine, state="ready")
        return engine

    async def async_restart_upstream(
        self, service: str, engine: PlatformRunner, version: str
    ) -> None:
        """Start an upstream again under its id and address at another version, listed at once."""
        engine.crash()
        await asyncio.sleep(RESTART_S)
        engine.version = version
        if engine.started_ms:
            engine.started_ms = time.time_ns() // NS_PER_MS
        await engine.listener.async_open()
        await self.async_list_runner(service, engine, state="ready")
