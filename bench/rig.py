"""A fleet of router and side processes with stand-in upstreams."""

from __future__ import annotations

import asyncio
import secrets
import tempfile
from pathlib import Path
from typing import Any, Final

import aiohttp

from bench.processes import DaemonProcess, async_start_daemon
from gypsumrouter.const import MS_PER_S, Role
from gypsumrouter.instances import Address
from gypsumrouter.placement import PlacementKind
from gypsumrouter.standins import FaultProxy, StandinPlatform

LINK_KEY_BYTES: Final = 32
READY_POLL_MS: Final = 20
READY_TIMEOUT_MS: Final = 20_000
CONCURRENT_STARTS: Final = 12
UNREACHABLE: Final = Address(host="127.0.0.1", port=1)
ADDRESS_CALLERS: Final = "callers"
ADDRESS_OPERATORS: Final = "operators"
ADDRESS_LINK: Final = "link"
OPTION_PLACEMENT: Final = "--placement"
HTTP_OK: Final = 200

Sections = dict[str, Any]


class Rig:
    """Starts, replaces and stops the processes of one fleet.

    With `proxied` each link address is behind a fault proxy. `extra` overrides the settings of all
    processes, section by section. `placement` is the placement strategy of the routers.
    """

    def __init__(
        self,
        *,
        platform: StandinPlatform,
        proxied: bool = False,
        extra: Sections | None = None,
        placement: PlacementKind = PlacementKind.RENDEZVOUS,
    ) -> None:
        self.platform = platform
        self.proxied = proxied
        self.extra = extra or {}
        self.placement = placement
        self.sides: dict[str, DaemonProcess] = {}
        self.routers: dict[str, DaemonProcess] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="gypsumrouter-bench-")
        self.folder = Path(self._temporary_folder.name)
        self._key_file = self.folder / "link.key"
        self._key_file.write_text(secrets.token_hex(LINK_KEY_BYTES))
        self._start_semaphore = asyncio.Semaphore(CONCURRENT_STARTS)
        self._session: aiohttp.ClientSession | None = None

    async def async_start(self, *, routers: int) -> None:
        """Start a side for each plan of the platform and the routers; wait until all are ready."""
        await asyncio.gather(*(self.async_start_side(plan.name) for plan in self.platform.plans))
        await asyncio.gather(*(self.async_start_router(index) for index in range(routers)))
        await self.async_wait_ready()

    async def async_start_side(self, name: str) -> DaemonProcess:
        """Start the side of one upstream and add it to the instance list."""
        settings = self.platform.make_side_settings(name, link=self._make_link())
        process, address = await self._async_start(Role.SIDE, settings)
        self.sides[name] = process
        await self._async_list_side(name, address)
        return process

    async def async_start_router(self, index: int) -> DaemonProcess:
        """Start a router and add it to the instance list."""
        deployment = self.platform.deployments[index % len(self.platform.deployments)]
        name = f"{deployment.name}-router-{index + 1}"
        location = {"data_centre": deployment.get_data_centre(index), "region": deployment.region}
        settings = self.platform.make_router_settings(name, link=self._make_link(), **location)
        process, address = await self._async_start(Role.ROUTER, settings)
        self.routers[name] = process
        await self._async_list_router(name, address, **location)
        return process

    async def async_wait_ready(self) -> None:
        """Wait until every process is ready; raises TimeoutError after READY_TIMEOUT_MS."""
        waiting = {**self.sides, **self.routers}
        for _ in range(READY_TIMEOUT_MS // READY_POLL_MS):
            ready = await asyncio.gather(*(self.async_is_ready(item) for item in waiting.values()))
            waiting = {
                name: process
                for (name, process), is_ready in zip(waiting.items(), ready, strict=True)
                if not is_ready
            }
            if not waiting:
                return
            await asyncio.sleep(READY_POLL_MS / MS_PER_S)
        raise TimeoutError(f"not ready within {READY_TIMEOUT_MS} ms: {', '.join(waiting)}")

    async def async_is_ready(self, process: DaemonProcess) -> bool:
        """Return whether a process reports that it is ready."""
        url = f"http://{process.addresses[ADDRESS_OPERATORS]}/readyz"
        try:
            async with self._get_session().get(url) as response:
                return response.status == HTTP_OK
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def async_dump(self, process: DaemonProcess) -> Sections:
        """Return the sections of the state dump of a process."""
        url = f"http://{process.addresses[ADDRESS_OPERATORS]}/dump"
        async with self._get_session().get(url) as response:
            dump = await response.json()
        sections: Sections = dump["sections"]
        return sections

    def list_processes(self) -> list[DaemonProcess]:
        """Return all current routers and sides."""
        return [*self.routers.values(), *self.sides.values()]

    def list_callers(self) -> list[Address]:
        """Return the caller-facing addresses of the routers."""
        return [process.addresses[ADDRESS_CALLERS] for process in self.routers.values()]

    async def async_stop(self) -> None:
        """Stop all processes, the routers first, then proxies and stand-ins."""
        for processes in (self.routers, self.sides):
            await asyncio.gather(*(process.async_stop() for process in processes.values()))
        for proxy in self.proxies.values():
            await proxy.async_stop()
        if self._session is not None:
            await self._session.close()
        await self.platform.async_stop()
        self._temporary_folder.cleanup()

    async def _async_list_side(self, name: str, address: Address) -> None:
        self.platform.register_side(name, address)

    async def _async_list_router(
        self, name: str, address: Address, *, data_centre: str, region: str
    ) -> None:
        self.platform.register_router(name, address, data_centre=data_centre, region=region)

    async def _async_start(self, role: Role, settings: Sections) -> tuple[DaemonProcess, Address]:
        name = settings["instance"]["name"]
        merged = {
            section: _merge_section(settings.get(section, {}), self.extra.get(section, {}))
            for section in settings.keys() | self._list_extra_sections(role)
        }
        proxy = await self._async_make_proxy(name, merged)
        async with self._start_semaphore:
            process = await async_start_daemon(
                role=role, settings=merged, folder=self.folder, options=self._make_options(role)
            )
        address = process.addresses[ADDRESS_LINK]
        if proxy is None:
            return process, address
        proxy.target = address
        return process, proxy.address

    async def _async_make_proxy(self, name: str, settings: Sections) -> FaultProxy | None:
        if not self.proxied:
            return None
        if name in self.proxies:
            await self.proxies[name].async_stop()
        proxy = FaultProxy(target=UNREACHABLE)
        self.proxies[name] = proxy
        address = await proxy.async_start()
        settings["link"] |= {"advertised_host": address.host, "advertised_port": address.port}
        return proxy

    def _list_extra_sections(self, role: Role) -> set[str]:
        unsupported = {"callers"} if role is Role.SIDE else {"upstream"}
        return self.extra.keys() - unsupported

    def _make_options(self, role: Role) -> tuple[str, ...]:
        return (OPTION_PLACEMENT, self.placement.value) if role is Role.ROUTER else ()

    def _make_link(self) -> Sections:
        return {"key_file": str(self._key_file)}

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0))
        return self._session


def _merge_section(base: Sections, extra: Sections) -> Sections:
    return {**base, **extra}
